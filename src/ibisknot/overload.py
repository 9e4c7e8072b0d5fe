"""Refuses at once the online requests that would start after their objective.

This is made for load in waves of a few seconds at several times the load
between them, on endpoints that run a fixed number of requests at once. A
caller that is refused early retries after the wave and is served in time. One
that waits past its objective is served late, and holds a slot that another
request could use; so it yields to those that can still be on time. Else, where
the load stays over the slots, every request would wait behind late ones.
"""

import dataclasses
import random

MIN_SLOTS = 0.1
"""Least slots that are assumed, while endpoints take hardly any requests."""
HOLD_TIME_WEIGHT = 0.05
"""Weight of the newest hold time in the mean."""
INITIAL_HOLD_TIME_S = 0.7
FIRST_TOKEN_LATENCY_S = 0.05
"""Time from the ticket to the first token, the network included."""
HONOURED_FRACTION = 0.33
"""Longest retry delay that callers honour, as a fraction of their time left."""
EARLIEST_RETRY_FRACTION = 0.85
"""Start of the range of retry delays, as a fraction of the longest one."""
QUEUE_TIMEOUT_S = 1.5
"""Time after which a queued online request is refused."""
WAIT_SPREAD_FACTOR = 1.5
"""Factor on the mean wait, so that few actual waits exceed the objective."""
REFUSAL_RETENTION_S = 6.0
MAX_REFUSALS = 5000


@dataclasses.dataclass(slots=True)
class HoldTime:
    """How long online requests hold their tickets.

    Attributes:
        mean_s: Exponentially decayed mean of the hold times in seconds.
    """

    mean_s: float = INITIAL_HOLD_TIME_S


@dataclasses.dataclass(slots=True)
class Refusals:
    """The callers that were refused lately.

    Attributes:
        first_seen_s: Monotonic time of the first refused attempt, by
            fingerprint of the request.
    """

    first_seen_s: dict[int, float] = dataclasses.field(default_factory=dict)


def record_refusal(refusals: Refusals, now: float, fingerprint: int) -> None:
    """Records a refusal, so that the caller's retry is recognised."""
    if len(refusals.first_seen_s) >= MAX_REFUSALS:
        oldest = min(
            refusals.first_seen_s, key=lambda f: refusals.first_seen_s[f]
        )
        del refusals.first_seen_s[oldest]
    refusals.first_seen_s.setdefault(fingerprint, now)


def first_seen_s(
    refusals: Refusals, now: float, fingerprint: int
) -> float | None:
    """Returns the time of a caller's first refused attempt, or None.

    >>> refusals = Refusals()
    >>> record_refusal(refusals, 1.0, 7)
    >>> first_seen_s(refusals, 2.5, 7)
    1.0
    >>> first_seen_s(refusals, 2.5, 8) is None
    True
    """
    for refused_fingerprint, first_s in list(refusals.first_seen_s.items()):
        if first_s < now - REFUSAL_RETENTION_S:
            del refusals.first_seen_s[refused_fingerprint]
        else:
            break
    return refusals.first_seen_s.get(fingerprint)


def record_hold_time(hold_time: HoldTime, held_s: float) -> None:
    """Adds the seconds for which one online request held its ticket."""
    hold_time.mean_s += HOLD_TIME_WEIGHT * (held_s - hold_time.mean_s)


def expected_wait_s(hold_time: HoldTime, *, queued: int, slots: float) -> float:
    """Returns the seconds until a slot is free for a request.

    Args:
        hold_time: How long requests hold their tickets.
        queued: Count of the requests that are queued before this one.
        slots: Count of the slots that online requests may use.

    >>> expected_wait_s(HoldTime(0.8), queued=3, slots=40)
    0.08
    """
    return hold_time.mean_s * (queued + 1) / max(MIN_SLOTS, slots)


def would_miss_objective(
    hold_time: HoldTime,
    *,
    queued: int,
    slots: float,
    remaining_objective_s: float,
) -> bool:
    """Returns whether the first token is expected after its objective.

    Args:
        hold_time: How long requests hold their tickets.
        queued: Count of the requests that are queued before this one.
        slots: Count of the slots that online requests may use.
        remaining_objective_s: Seconds until the first token is due.

    >>> hold_time = HoldTime(0.8)
    >>> would_miss_objective(
    ...     hold_time, queued=3, slots=40, remaining_objective_s=0.3
    ... )
    False
    >>> would_miss_objective(
    ...     hold_time, queued=20, slots=40, remaining_objective_s=0.3
    ... )
    True
    """
    wait_s = expected_wait_s(hold_time, queued=queued, slots=slots)
    return (
        wait_s * WAIT_SPREAD_FACTOR + FIRST_TOKEN_LATENCY_S
        > remaining_objective_s
    )


def retry_after_s(
    hold_time: HoldTime,
    *,
    queued: int,
    slots: float,
    remaining_s: float,
    rng: random.Random,
) -> float:
    """Returns the seconds after which a refused caller should retry.

    A wave lasts longer than the delay that callers honour. The delay is
    therefore near that limit, and random so that callers don't retry together.

    Args:
        hold_time: How long requests hold their tickets.
        queued: Count of the requests that are queued.
        slots: Count of the slots that online requests may use.
        remaining_s: Seconds until the caller's deadline.
        rng: Source of the random delay.

    >>> 1.0 < retry_after_s(
    ...     HoldTime(), queued=9, slots=8, remaining_s=5.0, rng=random.Random(1)
    ... ) < 1.65
    True
    """
    longest_s = HONOURED_FRACTION * remaining_s
    wait_s = expected_wait_s(hold_time, queued=queued, slots=slots)
    earliest_s = min(
        longest_s, max(EARLIEST_RETRY_FRACTION * longest_s, wait_s)
    )
    return round(rng.uniform(earliest_s, longest_s), 2)
