"""Loads at once and their pace, so that the weight store's rate is kept."""

import dataclasses

from ibisknot import settings


@dataclasses.dataclass(slots=True)
class LoadPace:
    """When loads may start.

    Attributes:
        next_s: Monotonic time of the next start.
    """

    next_start_s: float = float("-inf")


def max_concurrent_loads(order_settings: settings.Orders) -> int:
    """Returns how many loads may run so that each ends in time.

    >>> max_concurrent_loads(settings.Orders(
    ...     weight_rate_bytes_s=1e9, weight_bytes=10**10, longest_order_s=30.0))
    3
    """
    transferable_bytes = (
        order_settings.weight_rate_bytes_s * order_settings.longest_order_s
    )
    return max(1, int(transferable_bytes / order_settings.weight_bytes))


def may_start(pace: LoadPace, now: float) -> bool:
    """Returns whether the weight store has capacity for another load."""
    return now >= pace.next_start_s


def record_start(
    pace: LoadPace, now: float, order_settings: settings.Orders
) -> None:
    """Notes that a load has started."""
    transfer_s = (
        order_settings.weight_bytes / order_settings.weight_rate_bytes_s
    )
    pace.next_start_s = max(now, pace.next_start_s) + transfer_s
