namespace py ibisknot.gen.peer

enum Kind { REQUEST = 1, RESPONSE = 2, ONE_WAY = 3 }

enum Compression { ZLIB = 1 }

/** Outer message of every frame between ibisknot processes. */
struct Envelope {
  1: required i64 id,
  2: required Kind kind,
  3: required string method,
  4: required binary payload,
  5: optional string trace_parent,
  /** Error code of a failed call; absent when the call succeeded. */
  6: optional string error_code,
  7: optional string error_message,
  /** How the payload is compressed; absent if it is not. */
  8: optional Compression compression,
  /** Whether the sender takes compressed payloads over this connection. */
  9: optional bool takes_compressed,
}

struct Empty {}
