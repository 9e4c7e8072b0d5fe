"""Loads at once and their pace, so that the weight store's rate is kept."""

import dataclasses

from ibisknot import settings


@dataclasses.dataclass(slots=True)
class Pace:
    """When loads may start.

    Attributes:
        next_s: Monotonic time of the next start.
    """

    next_s: float = float("-inf")


def loads_at_once(limits: settings.Orders) -> int:
    """Returns how many loads may run so that each ends in time.

    >>> loads_at_once(settings.Orders(
    ...     weight_rate_bytes_s=1e9, weight_bytes=10**10, longest_order_s=30.0))
    3
    """
    fits = limits.weight_rate_bytes_s * limits.longest_order_s
    return max(1, int(fits / limits.weight_bytes))


def may_start(pace: Pace, now: float) -> bool:
    """Returns whether the weight store has capacity for another load."""
    return now >= pace.next_s


def started(pace: Pace, now: float, limits: settings.Orders) -> None:
    """Notes that a load has started."""
    cost_s = limits.weight_bytes / limits.weight_rate_bytes_s
    pace.next_s = max(now, pace.next_s) + cost_s
