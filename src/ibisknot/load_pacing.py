"""Limits on loads of models, which share the weight store's rate."""

import dataclasses

from ibisknot import settings


@dataclasses.dataclass(slots=True)
class LoadPace:
    """When the next load may start.

    Attributes:
        next_start_s: Monotonic time from which the next load may start.
    """

    next_start_s: float = float("-inf")


def max_concurrent_loads(order_settings: settings.Orders) -> int:
    """Returns how many loads may run at a time.

    With more, the weight store could not send the weights of each of them
    within `longest_order_s`.

    >>> max_concurrent_loads(settings.Orders(
    ...     weight_rate_bytes_s=1e9, weight_bytes=10**10, longest_order_s=30.0))
    3
    """
    transferable_bytes = (
        order_settings.weight_rate_bytes_s * order_settings.longest_order_s
    )
    return max(1, int(transferable_bytes / order_settings.weight_bytes))


def may_start(pace: LoadPace, now: float) -> bool:
    """Returns whether another load may start at the monotonic time `now`."""
    return now >= pace.next_start_s


def record_start(
    pace: LoadPace, now: float, order_settings: settings.Orders
) -> None:
    """Records a start; the next load waits for the transfer time of one."""
    transfer_s = (
        order_settings.weight_bytes / order_settings.weight_rate_bytes_s
    )
    pace.next_start_s = max(now, pace.next_start_s) + transfer_s
