"""Orders batch requests by whether their result can still be on time.

This is made for overload: more batch work than fits beside the online requests.
In order of arrival, every request would be equally late. The requests that can
no longer be on time are therefore run last, so that the others are on time.
"""

from collections.abc import Iterable
import dataclasses

from ibisknot import _admission_state
from ibisknot import _fair_queue

RUN_TIME_MARGIN = 1.4
"""Factor on the expected duration; requests that are revoked take longer."""


@dataclasses.dataclass(slots=True, frozen=True)
class RevocationChoice:
    """A ticket to revoke.

    Attributes:
        ticket: The ticket.
        is_late: Whether its result would be late anyway.
    """

    ticket: _admission_state.Ticket
    is_late: bool


def can_be_on_time(request: _fair_queue.QueuedRequest, now: float) -> bool:
    """Returns whether a request that starts now can still be on time.

    >>> queued = _fair_queue.QueuedRequest(
    ...     "a", "batch", "o", 0.0, 9.0, due_s=10.0
    ... )
    >>> queued.expected_duration_s = 5.0
    >>> can_be_on_time(queued, 1.0), can_be_on_time(queued, 5.0)
    (True, False)
    """
    return now + request.expected_duration_s * RUN_TIME_MARGIN <= request.due_s


def is_late(ticket: _admission_state.Ticket, now: float) -> bool:
    """Returns whether a ticket's result is late or expected to be late."""
    return max(now, ticket.expected_end_s) > ticket.due_s


def next_request(
    queue: Iterable[_fair_queue.QueuedRequest], now: float
) -> _fair_queue.QueuedRequest:
    """Returns the request to run next: the earliest due that can be on time.

    If none can be on time, it is the earliest due of all.
    """
    return min(
        queue,
        key=lambda r: (not can_be_on_time(r, now), r.due_s, r.arrived_s, r.id),
    )


def least_urgent(
    tickets: Iterable[_admission_state.Ticket], now: float
) -> RevocationChoice:
    """Returns the ticket to revoke: a late one, or else the latest due."""
    ticket = max(
        tickets,
        key=lambda t: (is_late(t, now), t.due_s, t.granted_s, t.id),
    )
    return RevocationChoice(ticket, is_late(ticket, now))
