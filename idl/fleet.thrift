namespace py ibisknot.gen.fleet

/** An entry of the platform's list of endpoints, as it was read. */
struct ListedEntry {
  1: required string name,
  2: required binary value,
  3: required i64 revision,
}

/** A process of the fleet. */
struct Member {
  1: required string name,
  /** `gateway` or `worker`. */
  2: required string kind,
  3: required string data_centre,
  /** Peer address `host:port`. */
  4: required string address,
  /** Unix milliseconds of the process's start. */
  5: required i64 born_ms,
}

/** What a process knows, as far as the receiver needs it. */
struct ViewNews {
  1: required string sender,
  2: required i64 configuration_revision,
  /** The configuration as stated; absent when only the revision is told. */
  3: optional binary configuration,
  4: required i64 endpoints_revision,
  /** Seconds since the store was read. */
  5: required double endpoints_age_s,
  6: optional list<ListedEntry> endpoints,
  7: required i64 members_revision,
  8: optional list<Member> members,
  /** Hash of what the entries say, so that they need not be repeated. */
  9: required i64 endpoints_digest,
  /** Hash of the members, so that they need not be repeated. */
  10: optional i64 members_digest,
  /** Seconds since the members were read from the store. */
  11: optional double members_age_s,
  /** Seconds since a process that follows the operator's keys confirmed that
      the configuration is the newest; absent if that is not known. */
  12: optional double configuration_age_s,
  /** Name of that process. */
  13: optional string configuration_follower,
  /** The store's revision up to which the evacuations are known; absent if no
      data centre was ever evacuated. */
  14: optional i64 evacuations_revision,
  /** Names of the data centres whose endpoints get no requests. */
  15: optional list<string> evacuated_data_centres,
  /** The configuration, compressed by zlib, in place of `configuration`. */
  16: optional binary compressed_configuration,
  /** A `ListedEntries`, compressed by zlib, in place of `endpoints`. */
  17: optional binary compressed_endpoints,
}

/** The entries of the platform's list of endpoints. */
struct ListedEntries { 1: required list<ListedEntry> entries }

/** The receiver's revisions after it took the news. */
struct ViewAck {
  1: required i64 configuration_revision,
  2: required i64 endpoints_revision,
  /** Whether the receiver lacks the entries that the digest stands for. */
  3: required bool wants_entries,
  /** Whether the receiver lacks the members that the digest stands for. */
  4: optional bool wants_members,
  /** Whether the receiver reads the compressed fields of `ViewNews`. */
  5: optional bool reads_compressed,
}

struct ViewAsk {
  1: required string sender,
  /** Whether the sender reads the compressed fields of `ViewNews`. */
  2: optional bool reads_compressed,
  /** What the sender has, so that it is not sent again. */
  3: optional i64 configuration_revision,
  4: optional i64 endpoints_digest,
  5: optional i64 members_digest,
}

/** The limit that an endpoint has named in an answer. */
struct EndpointLimit {
  1: required string endpoint,
  /** Unix milliseconds of the endpoint's start. */
  2: required i64 born_ms,
  /** Requests a second; negative if the answer named no limit. */
  3: required double rate_per_s,
  /** Seconds since the answer. */
  4: required double age_s,
}

struct EndpointLimits { 1: required list<EndpointLimit> limits }

/** A grant to serve a stream that may be resumed later. */
struct StreamAttempt {
  /** Id of the caller's request that brings the first event. */
  1: required string stream,
  /** Orders the grants of a stream; a later one replaces what earlier ones say. */
  2: required i32 number,
}

/** A service, and versions of the software of its endpoints. */
struct ServiceSoftware {
  1: required string name,
  2: required list<string> versions,
}

/** Record of the software that has served lately. */
struct SoftwareRecord { 1: required list<ServiceSoftware> services }

/** Streams that were granted to one software under one number. */
struct StreamSet {
  /** Name of the service. */
  1: required string group,
  2: required string software,
  3: required i32 number,
  /** Hashes of the streams' ids. */
  4: required list<i64> streams,
}

/** Record of the software that began some streams. */
struct StreamRecord { 1: required list<StreamSet> sets }

/** Asks which software began a stream. */
struct StreamOriginAsk { 1: required string stream }

struct StreamOrigin {
  /** Whether the process knows the stream; if not, only 5 and 6 say anything. */
  1: required bool known,
  /** Name of the service. */
  2: optional string group,
  3: optional string software,
  4: optional i32 number,
  /** The software that has served lately, by service. */
  5: required list<ServiceSoftware> recent,
  /** Whether that covers the whole time of a stream. */
  6: required bool complete,
}

/** Asks the scheduler for a place at an endpoint. */
struct PlaceAsk {
  /** Unique over the fleet; a repeated ask is the same request. */
  1: required string id,
  2: required string group,
  /** `online` or `batch`. */
  3: required string kind,
  4: required string organisation,
  /** Tokens of the prompt and of the longest answer. */
  5: required i64 tokens,
  6: required i64 prompt_tokens,
  /** Hashes of the prompt's leading parts. */
  7: required list<i64> blocks,
  /** Peer address of the process that asks. */
  8: required string holder,
  /** Seconds that the request may wait for a place. */
  9: required double wait_s,
  10: required double waited_s,
  11: required bool suspect,
  /** Endpoints that have already failed this request. */
  12: required list<string> avoid,
  /** Requests a second; 0 means that no rate is to be checked. */
  13: required double rate_per_s,
  14: required double burst,
  /** Seconds until the result is due. */
  17: required double due_s,
  /** Seconds that the request will hold its place. */
  18: required double needs_s,
  /** Seconds until a waiting request is better refused. */
  19: required double objective_s,
  /** What a request and its resends have in common. */
  20: required i64 fingerprint,
  /** Data centre of the process that asks. */
  21: optional string data_centre,
  /** What the asker knows, for a scheduler that has not had its report yet. */
  22: optional list<EndpointLimit> limits,
  /** Software version that the endpoint must have; absent if any may serve. */
  23: optional string software,
  /** Stream that the request begins or continues, if it is resumable. */
  24: optional StreamAttempt stream,
  /** Seconds of the asker's share that it passes on; see `PlacesHeld`. */
  25: optional double accrued_s,
}

enum PlaceState {
  GRANTED = 1,
  QUEUED = 2,
  OVERLOADED = 3,
  OVER_RATE = 4,
  UNSERVED = 5,
  /** No endpoint has the software that the request needs. */
  SOFTWARE_GONE = 6,
}

struct PlaceAnswer {
  1: required string id,
  2: required PlaceState state,
  3: required string endpoint,
  4: required double retry_after_s,
  5: required bool alone,
  /** Software version of the endpoint, as the scheduler has it. */
  6: optional string software,
  /** Name of the scheduler, if it sends the answer by itself. */
  7: optional string scheduler,
}

/** A place that is taken, told to every scheduler. */
struct Place {
  1: required string id,
  2: required string group,
  3: required string endpoint,
  4: required string kind,
  5: required string organisation,
  6: required i64 tokens,
  7: required bool suspect,
  /** Seconds until the result is due. */
  8: required double due_s,
  /** Seconds that the request will hold its place from now on. */
  9: required double needs_s,
  /** Software version of the endpoint, as the holder has it. */
  10: optional string software,
  11: optional StreamAttempt stream,
}

struct PlaceTaken {
  1: required string holder,
  2: required Place place,
  /** Name of the scheduler; empty if the holder chose the place itself. */
  3: optional string granted_by,
}

struct PlaceReturned {
  1: required string group,
  2: required string id,
  3: required string endpoint,
  /** `ok`, `cancelled`, `unreachable`, `failed` or `crashed`. */
  4: required string outcome,
  /** Mean seconds between the events of the response; absent if unknown. */
  5: optional double event_gap_s,
  /** Seconds from the send to the first event; absent if unknown. */
  6: optional double first_event_s,
}

/** All places that a process holds. */
struct PlacesHeld {
  1: required string holder,
  2: required list<Place> places,
  /** The limits of endpoints that the process knows. */
  3: optional list<EndpointLimit> limits,
  /**
   * Seconds of the process's share of rates and limits that it passes on to
   * this scheduler; 0 if another one gets them. Builds before `accrual` send
   * none.
   */
  4: optional double accrued_s,
  /** Ids of the batch asks that the process believes to be queued here. */
  5: optional list<string> queued,
}

/** The answer to `PlacesHeld`. */
struct ReportAccepted {
  /** Whether the scheduler grants only what is passed on to it. */
  1: optional bool counts_accrued,
  /** Those of `queued` that are not queued here and are to be sent again. */
  2: optional list<string> not_queued,
}

/** A place that its holder gives back at once. */
struct PlaceRevoked {
  1: required string id,
  /** Name of the process that revokes it. */
  2: required string scheduler,
}

/** A batch job changed; its worker should look at once. */
struct JobChanged {
  1: required string job,
  /** The items of a new job, as the store holds them, to save a read. */
  2: optional list<binary> parts,
}

/** Reads results of a batch job from the worker that runs it. */
struct JobRead {
  1: required string job,
  /** Index of the first result to return, in the order of listing. */
  2: required i32 first_index,
  /** Seconds to wait while that result does not exist. */
  3: required double wait_s,
}

/** Results of a batch job, if the worker is certain that it knows them all. */
struct JobPage {
  /** When it is false, only `owner` says anything. */
  1: required bool certain,
  /** Name of the worker that runs the job, as far as this one knows. */
  2: required string owner,
  3: required string organisation,
  /** Number of the job's items. */
  4: required i32 total,
  /** The results, encoded as in the store. */
  5: required binary results,
}

/** Reads the body of one item from the worker that runs its job. */
struct JobItemRead { 1: required string job, 2: required string item }

struct JobItem {
  /** When it is false, only `owner` says anything. */
  1: required bool certain,
  /** Name of the worker that runs the job, as far as this one knows. */
  2: required string owner,
  3: required string organisation,
  /** Absent if the job has no such item. */
  4: optional binary body,
}

/** A call of the key-value service, made for a process that it turns away. */
struct StoreCall {
  1: required string method,
  /** The arguments, encoded by the caller. */
  2: required binary arguments,
}

struct StoreAnswer { 1: required binary result }

/** A request that was in progress at a crash and had no output. */
struct CrashCandidate {
  /** What the request has in common with its resends. */
  1: required i64 fingerprint,
  /** Hashes of the parts of its prompt that may be the cause. */
  2: required list<i64> parts,
}

/** A crash of an endpoint. */
struct EndpointCrash {
  /** Name and start of the endpoint. */
  1: required string endpoint,
  2: required double age_s,
  3: required list<CrashCandidate> candidates,
}

/** A request with a part of a prompt was answered. */
struct PartCompletion { 1: required i64 part, 2: required double age_s }

/** Requests that have all of these parts are refused. */
struct PartRefusal {
  1: required list<i64> parts,
  2: required i32 crash_count,
  /** Seconds since the last crash. */
  3: required double age_s,
  /** Seconds until requests are admitted again. */
  4: required double remaining_s,
  5: required double duration_s,
}

/** News of the parts of prompts that may crash endpoints. */
struct PromptCrashNews {
  1: required list<EndpointCrash> crashes,
  2: required list<PartCompletion> completions,
  3: required list<PartRefusal> refusals,
  /** Whether the sender knows more than what came since its start. */
  4: optional bool is_settled,
}

/** Asks for all that the receiver knows, if its digest is another one. */
struct PromptCrashAsk { 1: required i64 digest }

/** A refusal as it is written to the store. */
struct RefusalRecord {
  1: required PartRefusal refusal,
  /** Unix milliseconds at which it was written. */
  2: required i64 written_ms,
}

/** Asks a process to connect to an endpoint for another process. */
struct TunnelOpen {
  /** Address of the endpoint, `host:port`. */
  1: required string endpoint,
  /** Seconds after which the tunnel ends; absent for no limit. */
  2: optional double max_s,
}

enum TunnelState {
  /** The connection's bytes follow in both directions. */
  OPENED = 0,
  /** The process does not reach the endpoint, but reaches others. */
  UNREACHABLE = 1,
  /** The process reaches neither this endpoint nor others. */
  CUT_OFF = 2,
  /** The process has too many tunnels, stops, or does not list the endpoint. */
  REFUSED = 3,
}

struct TunnelOpened { 1: required TunnelState state }
