"""Decides when a scheduler that was given up is used again."""

from ibisknot import fleetview

MAX_REPORT_S = 0.2
"""Time that a report to a scheduler may take, as for an online request.

Reports have a longer time-out.
"""


def may_regain(took_s: float, other: fleetview.Member | None) -> bool:
    """Returns whether a scheduler that has accepted a report is used again.

    One that is too slow for online requests is so only if no other one
    responds.

    Args:
        took_s: Seconds that the report took.
        other: A scheduler that responds, or None.

    >>> member = fleetview.Member("w-2", "worker", "d", "w-2:1", 1)
    >>> [may_regain(took_s, member) for took_s in (0.1, 0.3)]
    [True, False]
    >>> may_regain(0.3, None)
    True
    """
    return took_s < MAX_REPORT_S or other is None
