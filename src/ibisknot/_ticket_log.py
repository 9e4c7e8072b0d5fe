"""Log entries of a holder's tickets, which log events call places."""

from ibisknot import logs
from ibisknot import ticket_types
from ibisknot.gen.fleet import ttypes

State = ttypes.PlaceState


def acquired(ticket: ticket_types.Ticket, waited_s: float) -> None:
    """Logs that a ticket was acquired, and after how long."""
    logs.event(
        "place_taken",
        request=ticket.request.request_id,
        place=ticket.id,
        kind=ticket.request.kind,
        endpoint=ticket.endpoint.name,
        granted_by=ticket.granted_by,
        waited_s=round(waited_s, 3),
    )


def refused(
    request: ticket_types.TicketRequest,
    answer: ttypes.PlaceAnswer,
    scheduler: str,
    waited_s: float,
) -> None:
    """Logs that a scheduler refused a request for a ticket."""
    logs.event(
        "place_refused",
        request=request.request_id,
        place=answer.id,
        scheduler=scheduler,
        state=State._VALUES_TO_NAMES[answer.state].lower(),
        waited_s=round(waited_s, 3),
    )


def chosen_alone(
    ticket: ticket_types.Ticket, own: int, view_age_s: float
) -> None:
    """Logs that this process has chosen an endpoint without a scheduler.

    Args:
        ticket: The ticket.
        own: Requests that this process has there already.
        view_age_s: Seconds since the endpoints were read.
    """
    logs.event(
        "place_chosen_alone",
        request=ticket.request.request_id,
        endpoint=ticket.endpoint.name,
        own=own,
        view_age_s=round(view_age_s, 3),
    )


def released(ticket: ticket_types.Ticket, outcome: str) -> None:
    """Logs that a ticket was released."""
    logs.event(
        "place_returned",
        request=ticket.request.request_id,
        place=ticket.id,
        endpoint=ticket.endpoint.name,
        outcome=outcome,
    )


def revoked(ticket: ticket_types.Ticket, scheduler: str) -> None:
    """Logs that a scheduler has revoked a ticket."""
    logs.event(
        "place_revoked",
        request=ticket.request.request_id,
        place=ticket.id,
        endpoint=ticket.endpoint.name,
        revoked_by=scheduler,
    )
