"""Messages between the scheduler and the holders of tickets."""

from ibisknot import _service
from ibisknot import admission
from ibisknot.gen.fleet import ttypes


def to_ticket(wire: ttypes.Place, holder: str, now: float) -> admission.Ticket:
    """Returns a ticket that a holder has reported.

    Args:
        wire: The ticket as the holder describes it.
        holder: Peer address of the holder.
        now: Monotonic time in seconds.
    """
    return admission.Ticket(
        id=wire.id,
        kind=wire.kind,
        organisation=wire.organisation,
        holder=holder,
        endpoint=wire.endpoint,
        granted_s=now,
        max_tokens=wire.tokens,
        crash_suspect=wire.suspect,
        due_s=now + wire.due_s,
        expected_end_s=now + wire.needs_s,
    )


def answer(
    ticket_id: str,
    state: int,
    endpoint: str = "",
    *,
    retry_s: float = 0.0,
    alone: bool = False,
    software: str | None = None,
) -> ttypes.PlaceAnswer:
    """Returns the answer to a request for a ticket.

    Args:
        ticket_id: Id of the ticket and of its request.
        state: The decision.
        endpoint: Name of the endpoint of a granted ticket.
        retry_s: Seconds after which a refused caller may retry.
        alone: Whether nothing else may run on the endpoint.
        software: Version of the endpoint's software.
    """
    return ttypes.PlaceAnswer(
        id=ticket_id,
        state=state,
        endpoint=endpoint,
        retry_after_s=retry_s,
        alone=alone,
        software=software,
    )


def grant(
    service: _service.Service, ticket: admission.Ticket
) -> ttypes.PlaceAnswer:
    """Returns the message that grants a ticket."""
    return answer(
        ticket.id,
        ttypes.PlaceState.GRANTED,
        ticket.endpoint,
        alone=ticket.exclusive,
        software=service.software_version(ticket.endpoint),
    )


def refusal(refused: admission.Refuse, retry_s: float) -> ttypes.PlaceAnswer:
    """Returns the answer to a queued request that is refused.

    Args:
        refused: The refusal.
        retry_s: Seconds after which a retry may succeed.
    """
    if refused.is_software_gone:
        return answer(refused.id, ttypes.PlaceState.SOFTWARE_GONE)
    return answer(refused.id, ttypes.PlaceState.OVERLOADED, retry_s=retry_s)
