namespace py ibisknot.gen.claims

enum Decision { RUN = 1, RECORDED = 2, CONFLICT = 3, UNKNOWN = 4, RUNNING = 5 }

/** An answer that was recorded under a claim. */
struct Recorded {
  1: required i64 status,
  2: required map<string, string> headers,
  3: required binary body,
}

/** Claims a request, or joins the request that holds the claim. */
struct ClaimBegin {
  1: required string claim,
  /** Digest of method, path and body. */
  2: required string digest,
  /** VM that wants to run the request. */
  3: required string vm,
  /** Request id of this try. */
  4: required string request,
  /** Whether the claim is committed before the request may run. */
  5: required bool durable,
  /** Seconds to wait for the answer of a running request. */
  6: required double wait_s,
}

struct ClaimDecision {
  1: required Decision decision,
  2: optional Recorded recorded,
}

/** Ends a claim; `ran` is `not_run`, `ran` or `unknown`. */
struct ClaimEnd {
  1: required string claim,
  2: required string request,
  3: required string ran,
  4: optional Recorded recorded,
}
