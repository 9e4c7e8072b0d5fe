"""Messages to and from schedulers about tickets, on the wire called places."""

from collections.abc import Iterable

from ibisknot import admission
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import leaving_endpoints
from ibisknot import stream_origins
from ibisknot import ticket_types
from ibisknot.gen.fleet import ttypes
from ibisknot.speeds import speed_samples

State = ttypes.PlaceState


def ask(
    request: ticket_types.TicketRequest,
    ticket_id: str,
    *,
    holder: str,
    data_centre: str,
    waited_s: float,
    now: float,
    number: int,
    accrued_s: float,
    leaving: frozenset[str],
    limits: list[ttypes.EndpointLimit] | None = None,
) -> ttypes.PlaceAsk:
    """Returns the message that asks a scheduler for a ticket.

    Args:
        request: The request for a ticket.
        ticket_id: Id of the ticket.
        holder: Peer address of this process.
        data_centre: Data centre of this process.
        waited_s: Seconds for which the request has waited.
        now: Monotonic time in seconds.
        number: Number that a grant will have among those of its stream.
        accrued_s: Seconds of this process's share of rates that it passes on.
        leaving: Endpoints that this process does not use any more.
        limits: The limits of endpoints, for a scheduler that knows none yet.
    """
    organisation = request.organisation
    allowance = None
    if organisation is not None and request.is_rate_limited:
        allowance = organisation.allowance()
    return ttypes.PlaceAsk(
        id=ticket_id,
        group=request.service,
        kind=request.kind,
        organisation=organisation.name if organisation else "",
        tokens=request.max_tokens,
        prompt_tokens=request.prompt_tokens,
        blocks=list(request.prompt_blocks),
        holder=holder,
        wait_s=request.max_wait_s - waited_s,
        waited_s=waited_s,
        suspect=request.crash_suspect,
        avoid=sorted(request.avoid | leaving),
        rate_per_s=allowance.rate if allowance else 0.0,
        burst=allowance.burst if allowance else 0.0,
        due_s=request.due_s - now,
        needs_s=request.expected_duration_s,
        objective_s=request.objective_s - waited_s,
        fingerprint=request.fingerprint,
        data_centre=data_centre,
        limits=limits,
        software=request.software_version,
        stream=_stream_attempt(request, number),
        accrued_s=accrued_s,
    )


def _stream_attempt(
    request: ticket_types.TicketRequest, number: int
) -> ttypes.StreamAttempt | None:
    if not request.stream_id:
        return None
    return ttypes.StreamAttempt(request.stream_id, number)


def place(ticket: ticket_types.Ticket, now: float) -> ttypes.Place:
    """Returns a ticket as schedulers are told of it.

    Args:
        ticket: The ticket.
        now: Monotonic time in seconds.
    """
    request = ticket.request
    end_s = ticket.acquired_s + request.expected_duration_s
    return ttypes.Place(
        id=ticket.id,
        group=request.service,
        endpoint=ticket.endpoint.name,
        kind=request.kind,
        organisation=request.organisation.name if request.organisation else "",
        tokens=request.max_tokens,
        suspect=request.crash_suspect,
        due_s=request.due_s - now,
        needs_s=max(0.0, end_s - now),
        software=ticket.endpoint.software_version,
        stream=_stream_attempt(request, ticket.number),
    )


def places(
    tickets: Iterable[ticket_types.Ticket], now: float
) -> list[ttypes.Place]:
    """Returns tickets as schedulers are told of them."""
    return [place(ticket, now) for ticket in tickets]


def returned(ticket: ticket_types.Ticket, outcome: str) -> ttypes.PlaceReturned:
    """Returns the message that a ticket is released.

    It says how fast the endpoint was, as far as that is known.
    """
    return ttypes.PlaceReturned(
        group=ticket.request.service,
        id=ticket.id,
        endpoint=ticket.endpoint.name,
        outcome=outcome,
        event_gap_s=speed_samples.event_gap_s(ticket.pace),
        first_event_s=speed_samples.first_event_s(ticket.pace),
    )


def cancelled(
    request: ticket_types.TicketRequest, ticket_id: str, declined: str
) -> ttypes.PlaceReturned:
    """Returns the message that a request needs no ticket any more.

    Args:
        request: The request.
        ticket_id: Id of its ticket.
        declined: Endpoint of a grant that was declined, or empty.
    """
    return ttypes.PlaceReturned(
        group=request.service,
        id=ticket_id,
        endpoint=declined,
        outcome=admission.CANCELLED,
    )


def origin(ticket: ticket_types.Ticket) -> stream_origins.Origin:
    """Returns which software a ticket lets begin a stream."""
    return stream_origins.Origin(
        ticket.endpoint.service,
        ticket.endpoint.software_version,
        ticket.number,
    )


def accepted_ticket(
    view: fleetview.View,
    leaving: leaving_endpoints.Table,
    request: ticket_types.TicketRequest,
    ticket_id: str,
    answer: ttypes.PlaceAnswer,
    scheduler: str,
) -> ticket_types.Ticket | None:
    """Returns the ticket of a grant, or None if it must be declined."""
    endpoint = view.endpoints.get(answer.endpoint)
    if endpoint is None or not leaving.allows(request, endpoint):
        # The scheduler's view is older than this process's.
        return None
    version = endpoint.software_version
    if request.software_version not in (None, version):
        return None
    if answer.software not in (None, version):
        # One of the views is from before the endpoint's restart.
        return None
    return ticket_types.Ticket(
        ticket_id, request, endpoint, answer.alone, scheduler
    )


def refusal_error(
    request: ticket_types.TicketRequest, answer: ttypes.PlaceAnswer
) -> errors.IbisknotError:
    """Returns the error that tells a caller of a scheduler's refusal."""
    retry_s = answer.retry_after_s
    if answer.state == State.OVER_RATE:
        name = request.organisation.name if request.organisation else ""
        message = f"{name} is over its rate"
        return errors.RateLimitError(message, retry_after_s=retry_s)
    if answer.state == State.SOFTWARE_GONE:
        message = (
            f"no endpoint of {request.service} has software "
            f"{request.software_version!r} any more"
        )
        return errors.SoftwareGoneError(message)
    if answer.state == State.UNSERVED:
        message = f"no endpoint serves {request.service}"
        return errors.OverloadedError(message, retry_after_s=retry_s)
    message = f"no endpoint of {request.service} will be free in time"
    return errors.OverloadedError(message, retry_after_s=retry_s)
