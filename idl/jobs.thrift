namespace py ibisknot.gen.jobs

struct JobAsk { 1: required string job }

struct JobProgress {
  1: required string job,
  2: required i64 total,
  3: required i64 completed,
  4: required i64 failed,
  /** Wall-clock seconds of the estimated finish; absent when unknown. */
  5: optional i64 finish_at,
  6: optional bool at_risk,
}

/** Tells a job's owner at once that the job's record is now `cancelling`. */
struct JobCancel { 1: required string job }
