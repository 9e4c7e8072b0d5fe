namespace py ibisknot.gen.jobs

struct JobAsk { 1: required string job }

struct JobProgress {
  1: required string job,
  2: required i64 total,
  3: required i64 completed,
  4: required i64 failed,
}
