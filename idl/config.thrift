namespace py ibisknot.gen.config

struct VersionAsk {}

/** The configuration version in force on a VM. */
struct VersionInForce { 1: required i64 version }

/** Tells a peer what the sender has, and asks for what is newer. */
struct ConfigDigest {
  1: required string vm,
  2: required i64 version,
  /** Whether the answer says which VMs the peer has heard of. */
  3: required bool wants_heard,
  /** Digest by group; given when changes alone do not lead to the newest state. */
  4: optional map<string, string> digests,
}

/** What leads from the asker's version to the sender's. */
struct ConfigDelta {
  1: required string vm,
  2: required i64 version,
  /** Age of the newest confirmation by the key-value service; -1 when none. */
  3: required i64 service_age_ms,
  /** Hash (4 bytes) and age in units of 20 ms (1 byte) of each VM heard of. */
  4: required binary heard,
  /** The head record; absent when the asker has the same version or a newer one. */
  5: optional binary head,
  /** Changes of each version after the asker's. */
  6: optional list<binary> changes,
  /** Whole groups that differ from the asker's digests. */
  7: optional map<string, binary> groups,
  /** Whether the asker has to send its digests to get the newest state. */
  8: required bool needs_digests,
}

struct EventsAsk { 1: required string subject }

/** Recent decision events about a subject, each as one JSON object. */
struct Events { 1: required list<binary> events }
