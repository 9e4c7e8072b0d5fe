namespace py ibisknot.gen.segments

struct Result {
  1: required i64 index,
  2: required binary body,
  3: required bool failed,
}

/** Writes one whole segment; an equal rewrite is accepted, a different one refused. */
struct SegmentWrite {
  1: required string segment,
  2: required list<binary> items,
}

struct SegmentWritten { 1: required string digest }

struct SegmentRead {
  1: required string segment,
  2: required i64 first,
  3: required i64 count,
}

struct SegmentItems { 1: required list<binary> items }

/** Refuses every later append to the segment's results with a lower epoch. */
struct SegmentSeal {
  1: required string segment,
  2: required i64 epoch,
}

/** Appends results; the first result of an item stays. */
struct ResultAppend {
  1: required string segment,
  2: required i64 epoch,
  3: required list<Result> results,
}

struct ResultRead {
  1: required string segment,
}

struct Results { 1: required list<Result> results }

struct SegmentDelete { 1: required string segment }
