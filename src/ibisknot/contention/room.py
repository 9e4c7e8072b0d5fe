"""Tells whether all batch items can be on time with the slots there are."""

from collections.abc import Iterable
import dataclasses
import math

CHECK_PERIOD_S = 0.25
MEAN_S = 5.0
"""Time constant of the mean of the online requests: a wave and its calm."""
USABLE_FRACTION = 0.5
"""Fraction of the free slots that items can use: some run again after waves."""
SHORTAGE_RETENTION_S = 5.0
"""Room counts as short for this time after it was; waves come as often."""


@dataclasses.dataclass(slots=True)
class Room:
    """Whether batch items lack slots.

    Attributes:
        online_mean: Decayed mean of the slots that online requests use.
        checked_s: Monotonic time of the last check.
        short_until_s: Monotonic time until which room counts as short.
    """

    online_mean: float = 0.0
    checked_s: float = -math.inf
    short_until_s: float = -math.inf


def is_check_due(room: Room, now: float) -> bool:
    """Returns whether `check` is due."""
    return now - room.checked_s >= CHECK_PERIOD_S


def is_short(room: Room, now: float) -> bool:
    """Returns whether some batch item will be late for lack of slots."""
    return now < room.short_until_s


def check(
    room: Room,
    now: float,
    *,
    slots: int,
    online: int,
    work: Iterable[tuple[float, float]],
) -> None:
    """Compares the batch items with the slots that online requests leave.

    Args:
        room: Updated in place.
        now: Monotonic time in seconds.
        slots: Slots of all endpoints.
        online: Slots that online requests use now.
        work: Due time and remaining seconds of each batch item.
    """
    elapsed_s = now - room.checked_s
    room.checked_s = now
    weight = 1.0 - math.exp(-elapsed_s / MEAN_S)
    room.online_mean += (online - room.online_mean) * weight
    free = max(1.0, slots - room.online_mean) * USABLE_FRACTION
    if has_excess(work, free, now):
        room.short_until_s = now + SHORTAGE_RETENTION_S


def has_excess(
    work: Iterable[tuple[float, float]], slots: float, now: float
) -> bool:
    """Returns whether the work that is due by some time exceeds the slots.

    Args:
        work: Due time and remaining seconds of each item.
        slots: Slots that run the items.
        now: Monotonic time in seconds.

    >>> has_excess([(4.0, 2.0), (4.0, 2.0)], 1.0, 0.0)
    False
    >>> has_excess([(4.0, 2.0), (4.0, 2.1)], 1.0, 0.0)
    True
    """
    total_s = 0.0
    for due_s, remaining_s in sorted(work):
        if math.isinf(due_s):
            return False
        total_s += remaining_s
        if due_s > now and total_s > (due_s - now) * slots:
            return True
    return False
