"""Chooses the batch ticket whose revocation loses least.

A revoked item keeps its output and resumes later; its prompt is processed
again. An item on time is worth ten times a late one, and its value grows with
its size.
"""

from collections.abc import Iterable

from ibisknot import _admission_state
from ibisknot.contention import ranking

PAUSE_S = 2.5
"""Expected seconds until a revoked item gets another slot: a wave's length."""
ALMOST_DONE_S = 0.5
"""An item with less time to run is revoked last: it frees its slot anyway."""
MIN_REMAINING_S = 0.05
MAX_REMAINING_S = 600.0
LATENESS_TOLERANCE = 0.1
"""Error of an expected end, as a fraction of the time that remains."""
LATE_VALUE = 0.1
"""Value of a late item, as a fraction of that of one on time."""

LOSES_NOTHING = 0
LOSES_SPARE_TIME = 1
LOSES_ITS_VALUE = 2

Key = tuple[int, float, float, str]


def remaining_s(ticket: _admission_state.Ticket, now: float) -> float:
    """Returns the seconds for which a ticket is expected to be held yet.

    One that is held for longer than expected may be held as long again.
    """
    left_s = abs(ticket.expected_end_s - now)
    return min(MAX_REMAINING_S, max(MIN_REMAINING_S, left_s))


def is_late(ticket: _admission_state.Ticket, now: float) -> bool:
    """Returns whether a ticket's result will be late beyond doubt."""
    left_s = remaining_s(ticket, now)
    return now + left_s > ticket.due_s + LATENESS_TOLERANCE * left_s


def key(ticket: _admission_state.Ticket, now: float) -> Key:
    """Returns the key by which tickets are revoked, the least one first."""
    left_s = remaining_s(ticket, now)
    if is_late(ticket, now):
        if left_s < ALMOST_DONE_S:
            return LOSES_ITS_VALUE, LATE_VALUE, -left_s, ticket.id
        return LOSES_NOTHING, -left_s, -ticket.granted_s, ticket.id
    slack_s = ticket.due_s - now - left_s
    if slack_s >= PAUSE_S and left_s >= ALMOST_DONE_S:
        # A large item will lose more time to later waves.
        spare_s = slack_s - ranking.SPARE_FRACTION * left_s
        return LOSES_SPARE_TIME, -spare_s, -ticket.granted_s, ticket.id
    value_per_s = max(1, ticket.max_tokens) / left_s
    return LOSES_ITS_VALUE, value_per_s, -ticket.granted_s, ticket.id


def least_loss(
    tickets: Iterable[_admission_state.Ticket], now: float
) -> _admission_state.Ticket:
    """Returns the ticket whose revocation loses least."""
    return min(tickets, key=lambda t: key(t, now))
