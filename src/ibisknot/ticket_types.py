"""Tickets, which permit requests to run at endpoints, and requests for them."""

import dataclasses
import math

import anyio

from ibisknot import fleet_endpoint
from ibisknot import serving
from ibisknot.gen.fleet import ttypes
from ibisknot.speeds import speed_samples


@dataclasses.dataclass(slots=True, frozen=True)
class TicketRequest:
    """A request for a ticket at one of a service's endpoints.

    Attributes:
        kind: `online` or `batch`.
        organisation: Organisation whose rate applies, or None.
        max_wait_s: Seconds that the request may wait for its ticket.
        objective_s: Seconds until the first token is due; an online request
            that is expected to miss this is refused at once.
        fingerprint: Hash that a request shares with its resends.
        max_tokens: Tokens of the prompt and of the longest answer.
        prompt_blocks: Hashes of the prompt's leading blocks.
        crash_suspect: Whether it was in flight when an endpoint crashed.
        avoid: Names of the endpoints that have already failed the request.
        is_rate_limited: Whether it consumes a token of the organisation's rate.
        due_s: Monotonic time at which the result is due.
        expected_duration_s: Seconds for which it will hold its ticket.
        software_version: Version of the software that the endpoint must have,
            because it began the output; None if any version may serve.
        stream_id: Id of the caller's request that brings the first event of
            the stream; empty if it cannot be resumed.
        attempt: Number of the attempt for which the ticket is.
        allowed_regions: Regions in which it may run; None for any.
    """

    service: str
    kind: str
    request_id: str
    organisation: serving.Organisation | None
    max_wait_s: float
    objective_s: float = math.inf
    fingerprint: int = 0
    max_tokens: int = 0
    prompt_tokens: int = 0
    prompt_blocks: tuple[int, ...] = ()
    crash_suspect: bool = False
    avoid: frozenset[str] = frozenset()
    is_rate_limited: bool = True
    due_s: float = math.inf
    expected_duration_s: float = 0.0
    software_version: str | None = None
    stream_id: str = ""
    attempt: int = 0
    allowed_regions: frozenset[str] | None = None


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """Permission to run one request at one endpoint.

    Attributes:
        exclusive: Whether no other request may run on the endpoint meanwhile.
        granted_by: Name of the scheduler, empty if chosen by this process.
        revoked: Set when a more urgent request needs the slot.
        acquired_s: Monotonic time at which it was acquired.
        number: Orders the grants of a stream, also those that its holder has
            not accepted; a later one has a higher number.
        pace: When the events of the response have arrived.
    """

    id: str
    request: TicketRequest
    endpoint: fleet_endpoint.Endpoint
    exclusive: bool = False
    granted_by: str = ""
    revoked: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    acquired_s: float = 0.0
    number: int = 0
    pace: speed_samples.Pace = dataclasses.field(
        default_factory=speed_samples.Pace
    )


@dataclasses.dataclass(slots=True)
class PendingRequest:
    """A request that waits for a scheduler's decision.

    Attributes:
        scheduler: Name of the scheduler that was asked last.
        answered: Set when an answer has arrived or the request is to be resent.
        declined: Endpoint of a grant that this process did not accept.
        queued_at: Name of the scheduler that has queued it for a batch item;
            empty while none has.
        asked: Schedulers that were asked.
    """

    scheduler: str = ""
    answered: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    answer: ttypes.PlaceAnswer | None = None
    declined: str = ""
    queued_at: str = ""
    asked: set[str] = dataclasses.field(default_factory=set)


async def cancel_on_revoke(ticket: Ticket, scope: anyio.CancelScope) -> None:
    """Cancels a scope when a ticket is revoked."""
    await ticket.revoked.wait()
    scope.cancel()
