namespace py ibisknot.gen.membership

/** What one VM says about the state of another. */
struct MemberUpdate {
  1: required string vm,
  2: required bool suspect,
  3: required i64 incarnation,
}

/** The newest version of a named payload of one VM. */
struct PayloadDelta {
  1: required string vm,
  2: required string name,
  3: required i64 version,
  4: required binary data,
}

/** Piggybacked news; its size has a byte budget. */
struct News {
  1: required list<MemberUpdate> members,
  2: required list<PayloadDelta> payloads,
}

struct Probe {
  1: required string vm,
  2: required News news,
}

struct ProbeAck {
  1: required string vm,
  2: required News news,
}

/** Asks a peer to probe a third VM. */
struct IndirectProbe {
  1: required string vm,
  2: required string target,
  3: required News news,
}
