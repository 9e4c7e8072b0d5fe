"""Decides at once whether a request is worth its wait for a place.

The load that this answers comes in waves of a few seconds at several times
the trough, on endpoints that run a fixed number of requests at once. A caller
that is told early when to come back is served in the trough; one that waits
past its objective is served late, and holds a place that another could use.
"""

import dataclasses
import random

HOLD_WEIGHT = 0.05
"""Weight of one measured time in the mean."""
INITIAL_HOLD_S = 0.7
START_S = 0.05
"""Time from a place to the first token, the network included."""
HONOURED_SHARE = 0.33
"""Part of the time left up to which callers honour a time to come back."""
EARLIEST_SHARE = 0.65
"""Callers of a wave come back in the last part of that time."""
QUEUED_WAIT_S = 1.5
"""A request that was queued waits for so long before it is refused."""
SPREAD = 1.25
"""Waits differ from their mean; few should exceed the objective."""
REMEMBERED_S = 6.0
MAXIMUM_REMEMBERED = 5000


@dataclasses.dataclass(slots=True)
class Holding:
    """How long online requests hold their places, as a decayed mean."""

    mean_s: float = INITIAL_HOLD_S


@dataclasses.dataclass(slots=True)
class Refusals:
    """Which callers were refused, and when they came first.

    Attributes:
        first_s: Monotonic time of the first attempt, by fingerprint.
    """

    first_s: dict[int, float] = dataclasses.field(default_factory=dict)


def refused(refusals: Refusals, now: float, fingerprint: int) -> None:
    """Remembers a refusal, so that the caller is known when it returns."""
    if len(refusals.first_s) >= MAXIMUM_REMEMBERED:
        oldest = min(refusals.first_s, key=lambda f: refusals.first_s[f])
        del refusals.first_s[oldest]
    refusals.first_s.setdefault(fingerprint, now)


def returned(refusals: Refusals, now: float, fingerprint: int) -> float | None:
    """Returns when a returning caller came first; None for a new one.

    >>> refusals = Refusals()
    >>> refused(refusals, 1.0, 7)
    >>> returned(refusals, 2.5, 7), returned(refusals, 2.5, 8)
    (1.0, None)
    """
    for known, first_s in list(refusals.first_s.items()):
        if first_s < now - REMEMBERED_S:
            del refusals.first_s[known]
        else:
            break
    return refusals.first_s.get(fingerprint)


def learn(holding: Holding, held_s: float) -> None:
    """Adds the time for which one request held its place."""
    holding.mean_s += HOLD_WEIGHT * (held_s - holding.mean_s)


def expected_wait_s(holding: Holding, *, ahead: int, slots: int) -> float:
    """Returns the time until a place is free for a request.

    Args:
        holding: How long places are held.
        ahead: Requests that wait for a place before this one.
        slots: Places that online requests may use.

    >>> expected_wait_s(Holding(0.8), ahead=3, slots=40)
    0.08
    """
    return holding.mean_s * (ahead + 1) / max(1, slots)


def is_hopeless(
    holding: Holding, *, ahead: int, slots: int, objective_left_s: float
) -> bool:
    """Returns whether a request would begin after its objective.

    >>> is_hopeless(Holding(0.8), ahead=3, slots=40, objective_left_s=0.3)
    False
    >>> is_hopeless(Holding(0.8), ahead=20, slots=40, objective_left_s=0.3)
    True
    """
    wait_s = expected_wait_s(holding, ahead=ahead, slots=slots)
    return wait_s * SPREAD + START_S > objective_left_s


def retry_after_s(
    holding: Holding,
    *,
    ahead: int,
    slots: int,
    left_s: float,
    choice: random.Random,
) -> float:
    """Returns when a refused caller should come back.

    A wave lasts longer than callers honour, so they come back as late as
    they do, spread so that they do not return together.

    Args:
        holding: How long places are held.
        ahead: Requests that wait for a place.
        slots: Places that online requests may use.
        left_s: Time that the caller has left.
        choice: Spreads the callers.

    >>> 1.0 < retry_after_s(
    ...     Holding(), ahead=9, slots=8, left_s=5.0, choice=random.Random(1)
    ... ) < 1.65
    True
    """
    longest_s = HONOURED_SHARE * left_s
    wait_s = expected_wait_s(holding, ahead=ahead, slots=slots)
    earliest_s = min(longest_s, max(EARLIEST_SHARE * longest_s, wait_s))
    return round(choice.uniform(earliest_s, longest_s), 2)
