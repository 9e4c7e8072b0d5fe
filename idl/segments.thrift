namespace py ibisknot.gen.segments

struct Result {
  1: required i64 index,
  2: required binary body,
  3: required bool failed,
}

/** Writes one whole segment of a group; an equal rewrite is accepted, a different one refused. */
struct SegmentWrite {
  1: required string group,
  2: required i64 number,
  3: required list<binary> items,
}

struct SegmentWritten { 1: required string digest }

/** Gives a group's segments to another group; the source may then be deleted. */
struct SegmentLink {
  1: required string source,
  2: required string target,
  3: required i64 count,
}

struct SegmentRead {
  1: required string group,
  2: required i64 number,
}

struct SegmentItems { 1: required list<binary> items }

/** Refuses every later append to the group's results with a lower epoch. */
struct SegmentSeal {
  1: required string group,
  2: required i64 epoch,
}

/** Appends results; the first result of an item stays. */
struct ResultAppend {
  1: required string group,
  2: required i64 epoch,
  3: required list<Result> results,
}

/** Asks for results of item `first` and later, as many as fit into an answer. */
struct ResultRead {
  1: required string group,
  2: required i64 first,
}

/** Results in item order; `next` is the item to go on with, or -1 at the end. */
struct Results {
  1: required list<Result> results,
  2: required i64 next,
}

struct GroupAsk { 1: required string group }

/** Bit maps of the items with a result, and of those whose result is an error. */
struct GroupState {
  1: required i64 epoch,
  2: required i64 segments,
  3: required binary done,
  4: required binary failed,
}

struct GroupsAsk { 1: required list<string> groups }

struct GroupsMissing { 1: required list<string> groups }

/** Deletes a group unless a higher epoch has sealed it. */
struct SegmentDelete {
  1: required string group,
  2: required i64 epoch,
}
