"""Limits on requests that endpoints name in their answers.

A limit holds for the requests of all processes together, until an answer of
the endpoint names another one or none. The functions do no input or output.
"""

import collections
from collections.abc import Iterable
import dataclasses
import math

BURST_S = 2.0
"""Requests of this time may be sent at once after a pause.

Online requests come in waves; without a burst, the requests that an endpoint
would have taken between two waves are lost.
"""
MIN_BURST = 2.0
MIN_RATE_PER_S = 0.2
"""An endpoint that names less gets a request now and then.

Without any it could not say that its limit has ended.
"""
INITIAL_LEVEL = 1.0
COLD_WINDOW_S = 1.1
"""Window of the bound on a cold endpoint's requests.

It includes some variation of the time that they take to arrive.
"""
COLD_BATCH_LEVEL = 1.5
"""Level of a cold endpoint's bucket from which it has a request for batch.

Below it the next request is left to an online one.
"""


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


@dataclasses.dataclass(slots=True, frozen=True)
class ColdLimit:
    """What an endpoint takes while it is cold.

    Attributes:
        rate_per_s: Requests a second.
        burst: Requests that may be sent at once.
    """

    rate_per_s: float
    burst: float


@dataclasses.dataclass(slots=True)
class Bucket:
    """Requests that may be sent to an endpoint.

    Attributes:
        rate_per_s: Requests a second.
        capacity: Largest level, the requests that may be sent at once.
        level: Number of requests that may be sent now; below zero after
            requests that nobody asked for here.
        updated_s: Monotonic time of `level`.
        accrues_by_time: Whether the level rises as time passes, and not only
            by `add_accrued`.
        max_in_window: Requests within `COLD_WINDOW_S` after which no other one
            may be sent to a cold endpoint; infinite while it is warm.
        sent_s: Monotonic times of the last requests to a cold endpoint.
        cap: Level that may be saved up here, a part of `capacity`.
    """

    rate_per_s: float
    capacity: float
    level: float
    updated_s: float
    accrues_by_time: bool = True
    max_in_window: float = math.inf
    sent_s: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    cap: float = math.inf


def set_rate(
    bucket: Bucket | None,
    rate_per_s: float,
    now: float,
    *,
    accrues_by_time: bool = True,
) -> Bucket | None:
    """Returns the bucket after an endpoint has named a rate.

    Args:
        bucket: The bucket before, or None if there was no limit.
        rate_per_s: Requests a second; infinite without a limit.
        now: Monotonic time in seconds.
        accrues_by_time: Whether a new bucket fills as time passes.
    """
    if rate_per_s == math.inf:
        return None
    if bucket is None:
        bucket = Bucket(0.0, MIN_BURST, INITIAL_LEVEL, now, accrues_by_time)
    _refill(bucket, now)
    bucket.rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
    bucket.capacity = max(MIN_BURST, bucket.rate_per_s * BURST_S)
    bucket.level = min(bucket.level, bucket.capacity)
    bucket.max_in_window = math.inf
    bucket.sent_s.clear()
    return bucket


def set_cold(
    bucket: Bucket | None,
    limit: ColdLimit,
    now: float,
    *,
    granted_s: Iterable[float] = (),
) -> Bucket:
    """Returns the bucket of an endpoint that is cold.

    Nothing is saved up when it turns cold, and requests of the last moment
    count, because they may not have been sent yet.

    Args:
        bucket: The bucket before, or None if there was no limit.
        limit: What the endpoint takes.
        now: Monotonic time in seconds.
        granted_s: Monotonic times at which its requests were granted.

    >>> bucket = set_cold(None, ColdLimit(3.0, 2.0), 10.0, granted_s=[8.0, 9.5])
    >>> bucket.level, is_cold(bucket)
    (-1.0, True)
    """
    if bucket is None:
        bucket = Bucket(0.0, 0.0, 0.0, now, accrues_by_time=False)
    if not is_cold(bucket):
        recent_s = sorted(t for t in granted_s if now - t < COLD_WINDOW_S)
        bucket.sent_s.extend(recent_s)
        bucket.level = -float(len(recent_s))
    bucket.rate_per_s = limit.rate_per_s
    bucket.capacity = limit.burst
    bucket.max_in_window = limit.rate_per_s + limit.burst
    bucket.level = max(-bucket.capacity, min(bucket.level, bucket.capacity))
    return bucket


def is_cold(bucket: Bucket | None) -> bool:
    """Returns whether a bucket is that of a cold endpoint."""
    return bucket is not None and bucket.max_in_window < math.inf


def record_sent(bucket: Bucket | None, now: float) -> None:
    """Records a request to an endpoint, which may be cold."""
    if bucket is not None and is_cold(bucket):
        bucket.sent_s.append(now)


def _has_full_window(bucket: Bucket, now: float) -> bool:
    while bucket.sent_s and now - bucket.sent_s[0] >= COLD_WINDOW_S:
        bucket.sent_s.popleft()
    return len(bucket.sent_s) + 1 > bucket.max_in_window


def keeps_for_online(bucket: Bucket | None) -> bool:
    """Returns whether a batch request would take an online request's turn."""
    if bucket is None or not is_cold(bucket):
        return False
    return bucket.level < min(COLD_BATCH_LEVEL, bucket.cap)


def set_share(
    bucket: Bucket | None, rate_per_s: float, now: float, *, processes: int
) -> Bucket | None:
    """Returns one process's bucket where each keeps to an equal share.

    It fills by `add_accrued` only.

    Args:
        bucket: The bucket before, or None if there was no limit.
        rate_per_s: Requests a second of all; infinite without a limit.
        now: Monotonic time in seconds.
        processes: Number of the processes.

    >>> bucket = set_share(None, 2.0, 10.0, processes=4)
    >>> add_accrued(bucket, 1.9, 1.0)
    >>> allows(bucket, 99.0)
    False
    >>> add_accrued(bucket, 0.1, 1.0)
    >>> allows(bucket, 99.0)
    True
    """
    if rate_per_s == math.inf:
        return None
    if bucket is None:
        bucket = Bucket(0.0, 1.0, 0.0, now, accrues_by_time=False)
    _refill(bucket, now)
    bucket.rate_per_s = max(MIN_RATE_PER_S, rate_per_s) / max(1, processes)
    return bucket


def allows(bucket: Bucket | None, now: float) -> bool:
    """Returns whether a request may be sent.

    Args:
        bucket: The endpoint's bucket, or None without a limit.
        now: Monotonic time in seconds.

    >>> bucket = set_rate(None, 2.0, 10.0)
    >>> allows(None, 10.0), allows(bucket, 10.0)
    (True, True)
    >>> consume(bucket, 10.0)
    >>> allows(bucket, 10.4), allows(bucket, 10.5)
    (False, True)
    """
    if bucket is None:
        return True
    _refill(bucket, now)
    return bucket.level >= 1.0 and not _has_full_window(bucket, now)


def is_spare(bucket: Bucket | None, now: float) -> bool:
    """Returns whether a request now would leave nothing less for later.

    >>> bucket = set_rate(None, 2.0, 10.0)
    >>> is_spare(None, 10.0), is_spare(bucket, 10.0), is_spare(bucket, 12.0)
    (True, False, True)
    """
    if bucket is None:
        return True
    _refill(bucket, now)
    return bucket.level >= bucket.capacity


def consume(bucket: Bucket | None, now: float) -> None:
    """Counts a request that is sent to the endpoint."""
    if bucket is not None:
        _refill(bucket, now)
        bucket.level = max(-bucket.capacity, bucket.level - 1.0)
        record_sent(bucket, now)


def add_accrued(
    bucket: Bucket, accrued_s: float, burst_fraction: float
) -> None:
    """Adds the requests of time that was passed on to this process.

    Args:
        bucket: A bucket that does not accrue by time.
        accrued_s: Seconds for which the bucket's rate has accrued.
        burst_fraction: Fraction of the capacity that may be saved up here.
    """
    level = bucket.level + accrued_s * bucket.rate_per_s
    cap = bucket.capacity * burst_fraction
    if is_cold(bucket) and burst_fraction > 0.0:
        # The burst is small, and a part of the fleet needs one request of it.
        cap = max(1.0, cap)
    bucket.cap = cap
    bucket.level = min(level, cap)


def is_newer(known: NamedLimit | None, named: NamedLimit) -> bool:
    """Returns whether a limit replaces the one that is known."""
    if known is None:
        return True
    return (named.born_ms, named.named_s) > (known.born_ms, known.named_s)


def _refill(bucket: Bucket, now: float) -> None:
    elapsed_s = max(0.0, now - bucket.updated_s)
    bucket.updated_s = now
    if not bucket.accrues_by_time:
        return
    bucket.level = min(
        bucket.capacity, bucket.level + elapsed_s * bucket.rate_per_s
    )
