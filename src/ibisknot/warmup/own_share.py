"""One process's share of a cold endpoint's requests, without a scheduler.

Requests that each of many processes has saved up could all be sent at once. So
a process saves up none: it may send one in the moment in which its share has
accrued a whole request, or that one is lost. The processes reach this moment
one after the other. The functions do no input or output.
"""

import dataclasses
import math

FRACTION = 0.5
"""Fraction of an endpoint's rate that all processes use without a scheduler.

Nothing keeps two processes from sending in the same moment.
"""
MAX_ACCRUED_S = 0.5
"""Longest time that accrues at once.

Otherwise a wave of requests finds the time of the pause before it.
"""
USABLE_S = 0.2
"""Time in which a request must be sent or is lost."""


@dataclasses.dataclass(slots=True)
class Share:
    """The share of one process.

    Attributes:
        level: Part of a request that has accrued, below one.
        usable_until_s: Monotonic time until which a request may be sent.
    """

    level: float
    usable_until_s: float = -math.inf


def add_accrued(
    share: Share,
    accrued_s: float,
    rate_per_s: float,
    now: float,
    *,
    processes: int,
) -> None:
    """Adds time that the process uses itself.

    Args:
        share: Updated in place.
        accrued_s: Seconds that were not passed on to a scheduler.
        rate_per_s: Requests a second that the endpoint takes of all.
        now: Monotonic time in seconds.
        processes: Number of the processes.

    >>> share = Share(0.9)
    >>> add_accrued(share, 0.5, 4.0, 10.0, processes=5)
    >>> allows(share, 10.1), allows(share, 10.3), round(share.level, 3)
    (True, False, 0.1)
    """
    share_per_s = FRACTION * rate_per_s / max(1, processes)
    share.level += min(MAX_ACCRUED_S, accrued_s) * share_per_s
    if share.level >= 1.0:
        share.level = math.fmod(share.level, 1.0)
        share.usable_until_s = now + USABLE_S


def allows(share: Share | None, now: float) -> bool:
    """Returns whether a request may be sent now."""
    return share is None or now <= share.usable_until_s


def consume(share: Share | None) -> None:
    """Counts a request that is sent."""
    if share is not None:
        share.usable_until_s = -math.inf
