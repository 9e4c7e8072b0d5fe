namespace py ibisknot.gen.admission

/** Asks the VM that admits for a group for a ticket. */
struct TicketAsk {
  /** Chosen by the holder; unique over the fleet. */
  1: required string id,
  2: required string group,
  /** `online` or `batch`. */
  3: required string kind,
  4: required string organisation,
  /** Tokens that the request will generate at most. */
  5: required i64 tokens,
  /** Words of the prompt. */
  6: required i64 words,
  /** Chained hashes of the prompt's leading blocks. */
  7: required list<i64> blocks,
  /** Peer address `host:port` of the process that asks. */
  8: required string holder,
  /** Seconds to wait for a ticket before the answer "still waiting". */
  9: required double wait_s,
  /** Seconds that the request has already waited. */
  10: required double waited_s,
  /** Whether the request was in flight on an endpoint that crashed. */
  11: required bool suspect,
  /** Endpoints that have already failed this request. */
  12: required list<string> avoid,
}

/** Answer to an ask; without an endpoint the request still waits. */
struct TicketGrant {
  1: required string endpoint,
  /** Whether nothing else runs on the endpoint. */
  2: required bool alone,
  /** Requests in flight or waiting for each unit of capacity. */
  3: required double load,
}

struct TicketReturn {
  1: required string group,
  2: required string id,
  3: required string endpoint,
  /** `ok`, `cancelled`, `unreachable`, `failed` or `crashed`. */
  4: required string outcome,
  5: required double first_token_s,
  6: required double token_gap_s,
  7: required i64 tokens,
}

/** Tells the holder of a batch ticket to cancel its stream. */
struct TicketRevoke { 1: required string id }

struct InFlightAsk { 1: required string group }

struct InFlight {
  1: required string id,
  2: required string endpoint,
  3: required string kind,
  4: required string organisation,
  5: required i64 tokens,
  6: required bool suspect,
}

struct InFlightReport { 1: required list<InFlight> tickets }

/** A request was in flight on an endpoint that crashed, or is cleared. */
struct CrashNotice {
  1: required string fingerprint,
  2: required string endpoint,
  /** Request id, so that a notice that arrives twice counts once. */
  3: required string request,
  /** Whether the request ran alone. */
  4: required bool alone,
  /** Whether the request has run to its end, so that it is no suspect. */
  5: required bool cleared,
  /** Whether no token had come when the endpoint crashed. */
  6: required bool strong,
}
