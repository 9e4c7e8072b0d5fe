"""Token buckets.

They enforce rates that are split evenly over the gateways, and serve the bench
as a reference for the rates that the fleet shares.
"""

import dataclasses


@dataclasses.dataclass(slots=True)
class Bucket:
    """A token bucket.

    Attributes:
        level: Tokens in the bucket; one token pays for one request.
        updated_s: Monotonic time up to which tokens have accrued.
    """

    level: float
    updated_s: float


def refill(bucket: Bucket, now: float, *, rate: float, burst: float) -> None:
    """Adds the tokens that accrued since the last update, up to `burst`."""
    elapsed_s = max(0.0, now - bucket.updated_s)
    bucket.level = min(burst, bucket.level + elapsed_s * rate)
    bucket.updated_s = now


def consume(bucket: Bucket, now: float, *, rate: float, burst: float) -> bool:
    """Consumes one token if there is one; returns whether there was.

    >>> bucket = Bucket(level=1.0, updated_s=0.0)
    >>> [consume(bucket, t, rate=1.0, burst=1.0) for t in (0.0, 0.5, 1.0)]
    [True, False, True]
    """
    refill(bucket, now, rate=rate, burst=burst)
    if bucket.level < 1.0:
        return False
    bucket.level -= 1.0
    return True


def next_token_s(bucket: Bucket, *, rate: float) -> float:
    """Returns the seconds until the next whole token, for Retry-After."""
    return max(0.0, 1.0 - bucket.level) / rate
