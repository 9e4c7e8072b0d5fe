namespace py ibisknot.gen.rates

/** Asks the owner of a shard for units, and for tokens of waiting requests. */
struct RateAsk {
  1: required string organisation,
  2: required i64 epoch,
  /** VM and process of the asker, as the shard record names holders. */
  3: required string holder,
  4: required i64 units,
  /** Millionths of a request that waiting requests need now. */
  5: required i64 tokens,
  /** An earlier transfer with this holder may have been lost. */
  6: required bool lost,
}

/** Units with their tokens, and tokens that were drawn for waiting requests. */
struct RateGrant {
  1: required i64 epoch,
  2: required i64 units,
  3: required i64 tokens,
  4: required i64 drawn,
  /** Seconds until the owner expects the next whole token. */
  5: required double wait_s,
}

/** Gives units to the VM that owns the shard next; only `holder` takes them. */
struct RateLend {
  1: required string organisation,
  2: required i64 epoch,
  3: required string holder,
  4: required i64 units,
  5: required i64 tokens,
}

/** Hands units and their tokens back to the owner. */
struct RateReturn {
  1: required string organisation,
  2: required i64 epoch,
  3: required string holder,
  4: required i64 units,
  5: required i64 tokens,
}

/** Asks a holder for tokens; the answer is a RateReturn. */
struct RateRecall {
  1: required string organisation,
  2: required i64 epoch,
  3: required i64 tokens,
}

/** A new owner asks a holder what it holds. */
struct RateCollect {
  1: required i64 shard,
  2: required i64 epoch,
  /** VM of the new owner, for the holder's next asks. */
  3: required string owner,
}

struct RateHeld {
  1: required string organisation,
  /** Units that stay with the holder. */
  2: required i64 units,
  /** Tokens that move to the new owner with the units given up. */
  3: required i64 tokens,
}

struct RateReport {
  1: required string holder,
  2: required i64 epoch,
  3: required list<RateHeld> held,
}

/** Asks the VM that should own a shard next to take it. */
struct RateHandover { 1: required i64 shard }
