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
LONGEST_RETRY_S = 1.6
SHORTEST_RETRY_S = 0.2


@dataclasses.dataclass(slots=True)
class Holding:
    """How long online requests hold their places, as a decayed mean."""

    mean_s: float = INITIAL_HOLD_S


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
    return wait_s + START_S > objective_left_s


def retry_after_s(
    holding: Holding, *, ahead: int, slots: int, choice: random.Random
) -> float:
    """Returns when a refused caller should come back.

    The time covers the queue that is there now, and is spread so that the
    callers of one wave do not return together.
    """
    wait_s = expected_wait_s(holding, ahead=ahead, slots=slots)
    earliest_s = min(LONGEST_RETRY_S / 2, max(SHORTEST_RETRY_S, wait_s))
    return round(choice.uniform(earliest_s, LONGEST_RETRY_S), 2)
