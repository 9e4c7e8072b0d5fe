"""Decides at once whether a request is worth its wait for a place.

The load that this answers comes in waves of a few seconds at several times
the trough, on endpoints that run a fixed number of requests at once. A caller
that is told early when to come back is served in the trough; one that waits
past its objective is served late, and holds a place that another could use.
"""

import dataclasses
import random

HOLD_TIME_WEIGHT = 0.05
"""Weight of one measured time in the mean."""
INITIAL_HOLD_TIME_S = 0.7
FIRST_TOKEN_LATENCY_S = 0.05
"""Time from a place to the first token, the network included."""
HONOURED_FRACTION = 0.33
"""Part of the time left up to which callers honour a time to come back."""
EARLIEST_RETRY_FRACTION = 0.65
"""Callers of a wave come back in the last part of that time."""
QUEUE_TIMEOUT_S = 1.5
"""A request that was queued waits for so long before it is refused."""
WAIT_SPREAD_FACTOR = 1.25
"""Waits differ from their mean; few should exceed the objective."""
REFUSAL_RETENTION_S = 6.0
MAX_REFUSALS = 5000


@dataclasses.dataclass(slots=True)
class HoldTime:
    """How long online requests hold their places, as a decayed mean."""

    mean_s: float = INITIAL_HOLD_TIME_S


@dataclasses.dataclass(slots=True)
class Refusals:
    """Which callers were refused, and when they came first.

    Attributes:
        first_s: Monotonic time of the first attempt, by fingerprint.
    """

    first_attempt_s: dict[int, float] = dataclasses.field(default_factory=dict)


def record_refusal(refusals: Refusals, now: float, fingerprint: int) -> None:
    """Remembers a refusal, so that the caller is known when it returns."""
    if len(refusals.first_attempt_s) >= MAX_REFUSALS:
        oldest = min(
            refusals.first_attempt_s, key=lambda f: refusals.first_attempt_s[f]
        )
        del refusals.first_attempt_s[oldest]
    refusals.first_attempt_s.setdefault(fingerprint, now)


def find_first_attempt_s(
    refusals: Refusals, now: float, fingerprint: int
) -> float | None:
    """Returns when a returning caller came first; None for a new one.

    >>> refusals = Refusals()
    >>> record_refusal(refusals, 1.0, 7)
    >>> find_first_attempt_s(refusals, 2.5, 7)
    1.0
    >>> find_first_attempt_s(refusals, 2.5, 8) is None
    True
    """
    for refused_fingerprint, first_s in list(refusals.first_attempt_s.items()):
        if first_s < now - REFUSAL_RETENTION_S:
            del refusals.first_attempt_s[refused_fingerprint]
        else:
            break
    return refusals.first_attempt_s.get(fingerprint)


def record_hold_time(hold_time: HoldTime, held_s: float) -> None:
    """Adds the time for which one request held its place."""
    hold_time.mean_s += HOLD_TIME_WEIGHT * (held_s - hold_time.mean_s)


def expected_wait_s(hold_time: HoldTime, *, queued: int, slots: int) -> float:
    """Returns the time until a place is free for a request.

    Args:
        hold_time: How long places are held.
        queued: Requests that wait for a place before this one.
        slots: Places that online requests may use.

    >>> expected_wait_s(HoldTime(0.8), queued=3, slots=40)
    0.08
    """
    return hold_time.mean_s * (queued + 1) / max(1, slots)


def would_miss_objective(
    hold_time: HoldTime,
    *,
    queued: int,
    slots: int,
    remaining_objective_s: float,
) -> bool:
    """Returns whether a request would begin after its objective.

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
    slots: int,
    remaining_s: float,
    rng: random.Random,
) -> float:
    """Returns when a refused caller should come back.

    A wave lasts longer than callers honour, so they come back as late as
    they do, spread so that they do not return together.

    Args:
        hold_time: How long places are held.
        queued: Requests that wait for a place.
        slots: Places that online requests may use.
        remaining_s: Time that the caller has left.
        rng: Spreads the callers.

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
