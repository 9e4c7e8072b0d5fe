namespace py ibisknot.gen.config

struct VersionAsk {}

/** The configuration version in force on a VM. */
struct VersionInForce { 1: required i64 version }
