"""Limits on requests that endpoints name in their answers.

A limit holds for the requests of all processes together, until an answer of
the endpoint names another one or none. The functions do no input or output.
"""

import dataclasses
import math

BURST_S = 1.0
"""Requests of this time that may be sent at once."""
MIN_BURST = 2.0
"""One of these requests is left to online requests."""
MIN_RATE_PER_S = 0.2
"""An endpoint that names less gets a request now and then.

Without any it could not say that its limit has ended.
"""
INITIAL_LEVEL = 1.0


@dataclasses.dataclass(slots=True)
class NamedLimit:
    """What an endpoint has named in its last answer.

    Attributes:
        born_ms: Start of the endpoint in Unix milliseconds.
        rate_per_s: Requests a second; infinite without a limit.
        named_s: Monotonic time of the answer.
    """

    born_ms: int
    rate_per_s: float
    named_s: float


@dataclasses.dataclass(slots=True)
class Bucket:
    """Requests that may be sent to an endpoint.

    Attributes:
        rate_per_s: Requests a second.
        level: Number of requests that may be sent now; below zero after
            requests that nobody asked for here.
        updated_s: Monotonic time of `level`.
    """

    rate_per_s: float
    level: float
    updated_s: float


def make_bucket(rate_per_s: float, now: float) -> Bucket | None:
    """Returns the bucket of a new limit, or None for an infinite one."""
    if rate_per_s == math.inf:
        return None
    return Bucket(max(MIN_RATE_PER_S, rate_per_s), INITIAL_LEVEL, now)


def set_rate(
    bucket: Bucket | None, rate_per_s: float, now: float
) -> Bucket | None:
    """Returns the bucket after an endpoint has named another rate."""
    if bucket is None or rate_per_s == math.inf:
        return make_bucket(rate_per_s, now)
    _refill(bucket, now)
    bucket.rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
    bucket.level = min(bucket.level, _capacity(bucket))
    return bucket


def allows(bucket: Bucket | None, now: float, *, reserved: float = 0.0) -> bool:
    """Returns whether a request may be sent.

    Args:
        bucket: The endpoint's bucket, or None without a limit.
        now: Monotonic time in seconds.
        reserved: Number of requests that are left to others.

    >>> bucket = make_bucket(2.0, 10.0)
    >>> allows(bucket, 10.0), allows(bucket, 10.0, reserved=1.0)
    (True, False)
    >>> consume(bucket, 10.0)
    >>> allows(bucket, 10.4), allows(bucket, 10.5)
    (False, True)
    """
    if bucket is None:
        return True
    _refill(bucket, now)
    return bucket.level >= 1.0 + reserved


def consume(bucket: Bucket | None, now: float) -> None:
    """Counts a request that is sent to the endpoint."""
    if bucket is not None:
        _refill(bucket, now)
        bucket.level = max(-_capacity(bucket), bucket.level - 1.0)


def is_newer(known: NamedLimit | None, named: NamedLimit) -> bool:
    """Returns whether a limit replaces the one that is known."""
    if known is None:
        return True
    return (named.born_ms, named.named_s) > (known.born_ms, known.named_s)


def _refill(bucket: Bucket, now: float) -> None:
    elapsed_s = max(0.0, now - bucket.updated_s)
    bucket.updated_s = now
    bucket.level = min(
        _capacity(bucket), bucket.level + elapsed_s * bucket.rate_per_s
    )


def _capacity(bucket: Bucket) -> float:
    """Returns the largest level, the requests that may be sent at once."""
    return max(MIN_BURST, bucket.rate_per_s * BURST_S)
