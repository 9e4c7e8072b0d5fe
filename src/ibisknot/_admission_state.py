"""State of one admission group, and the actions that decisions return."""

import dataclasses
import math

from ibisknot import _capacity
from ibisknot import _fair_queue
from ibisknot import breaker
from ibisknot import request_limits
from ibisknot import routing
from ibisknot.contention import room
from ibisknot.locality import decision as locality_decision
from ibisknot.speeds import table

ONLINE = "online"
BATCH = "batch"
OK = "ok"
CANCELLED = "cancelled"
UNREACHABLE = "unreachable"
FAILED = "failed"
CRASHED = "crashed"
ONLINE_PEAK_HALF_LIFE_S = 0.25
"""Half-life of the online peak.

Batch gets the slots back at this rate after a burst of online requests.
"""


@dataclasses.dataclass(slots=True)
class Policy:
    """How a group's capacity is shared between online and batch requests.

    Attributes:
        batch_weight: Fraction of the idle slots that batch may use.
        displaced_per_online: Batch sequences that each online request
            displaces from its endpoint, so that it does not share its steps
            with a full batch.
        revokes_batch: Whether batch tickets are revoked.
        consolidates_online: Whether online requests are placed on few
            endpoints; this needs `revokes_batch`.
        headroom_slots: Slots of each endpoint that batch leaves free.
        in_arrival_order: Whether online requests are granted in order of
            arrival, and not those of the least-served organisation first.
        weighs_losses: Whether batch requests that cannot all be on time are
            granted and revoked so that the least value is lost.
    """

    batch_weight: float = 1.0
    displaced_per_online: float = 4.0
    revokes_batch: bool = True
    consolidates_online: bool = True
    headroom_slots: float = 1.0
    in_arrival_order: bool = False
    weighs_losses: bool = False


@dataclasses.dataclass(slots=True)
class Ticket:
    """Permission for one request to run at one endpoint.

    Attributes:
        id: Id of the ticket and of its request.
        kind: `online` or `batch`.
        organisation: The organisation that the request is charged to.
        holder: Peer address of the process that holds the ticket.
        endpoint: Name of the endpoint.
        granted_s: Monotonic time at which it was granted or adopted.
        max_tokens: Largest number of tokens that the request generates.
        prompt_words: Words in the prompt.
        running_at_grant: Tickets on the endpoint just before the grant.
        crash_suspect: Whether the request was in flight on an endpoint that
            crashed.
        revoked: Whether its holder was asked to cancel the request.
        exclusive: Whether nothing else may run on the endpoint.
        due_s: Monotonic time at which its result is due.
        expected_end_s: Monotonic time at which it is expected to end.
    """

    id: str
    kind: str
    organisation: str
    holder: str
    endpoint: str
    granted_s: float
    max_tokens: int = 0
    prompt_words: int = 0
    running_at_grant: int = 0
    crash_suspect: bool = False
    revoked: bool = False
    exclusive: bool = False
    due_s: float = math.inf
    expected_end_s: float = -math.inf


@dataclasses.dataclass(slots=True)
class Endpoint:
    """One endpoint of the group.

    Attributes:
        name: Name of the endpoint in the configuration.
        data_centre: Name of its data centre; empty if it is not known.
        software_version: Version of its software; empty if it is not known.
        capacity: Estimated capacity of its engine.
        circuit: Its circuit breaker.
        bucket: Requests that it takes, or None if it names no limit.
        view: Its cache and load as this process has them.
        tickets: Tickets in flight by id; changed only by this module's
            functions, which count them.
        online: Number of online tickets.
        revoked: Number of revoked tickets.
        exclusive: Number of exclusive tickets.
        held_tokens: Tokens of all its tickets.
        online_peak: Decayed peak of the number of online tickets.
        online_peak_s: Monotonic time of `online_peak`.
        reserved: Whether it is being emptied for an exclusive request.
        prefers_online: Whether online requests are sent here first.
    """

    name: str
    data_centre: str = ""
    software_version: str = ""
    capacity: _capacity.Capacity = dataclasses.field(
        default_factory=_capacity.Capacity
    )
    circuit: breaker.Breaker = dataclasses.field(
        default_factory=breaker.Breaker
    )
    bucket: request_limits.Bucket | None = None
    view: routing.EndpointView = dataclasses.field(
        default_factory=routing.EndpointView
    )
    tickets: dict[str, Ticket] = dataclasses.field(default_factory=dict)
    online: int = 0
    revoked: int = 0
    exclusive: int = 0
    held_tokens: int = 0
    online_peak: float = 0.0
    online_peak_s: float = 0.0
    reserved: bool = False
    prefers_online: bool = False

    def online_count(self) -> int:
        """Returns the number of online tickets."""
        return self.online

    def batch_count(self) -> int:
        """Returns the number of batch tickets, revoked ones included."""
        return len(self.tickets) - self.online

    def unrevoked_batch_count(self) -> int:
        """Returns the number of batch tickets that are not revoked."""
        return len(self.tickets) - self.online - self.revoked

    def unrevoked_batch(self) -> list[Ticket]:
        """Returns the batch tickets that are not revoked."""
        return [
            t
            for t in self.tickets.values()
            if t.kind == BATCH and not t.revoked
        ]

    def unrevoked_count(self) -> int:
        """Returns the number of tickets that are not revoked."""
        return len(self.tickets) - self.revoked

    def expected_token_gap_s(self) -> float:
        """Returns the expected seconds between tokens at the current load."""
        return _capacity.expected_token_gap_s(self.capacity, len(self.tickets))

    def has_exclusive(self) -> bool:
        """Returns whether an exclusive ticket is in flight."""
        return self.exclusive > 0


@dataclasses.dataclass(slots=True)
class Group:
    """State of one admission group.

    Attributes:
        policy: How capacity is shared between online and batch requests.
        endpoints: The active endpoints by name.
        draining: Endpoints by name that get no new requests but still have
            tickets.
        online_queue: Queued online requests.
        batch_queue: Queued batch requests.
        ended_s: Monotonic time at which each ticket was released, by id.
        locality: Which data centres send requests to which others.
        batch_room: Whether batch requests lack slots.
        memory_tokens: Tokens that the memory of each endpoint holds; 0 if that
            is not stated.
        speeds: How fast the endpoints are.
    """

    policy: Policy = dataclasses.field(default_factory=Policy)
    endpoints: dict[str, Endpoint] = dataclasses.field(default_factory=dict)
    draining: dict[str, Endpoint] = dataclasses.field(default_factory=dict)
    online_queue: _fair_queue.FairQueue = dataclasses.field(
        default_factory=_fair_queue.FairQueue
    )
    batch_queue: _fair_queue.FairQueue = dataclasses.field(
        default_factory=_fair_queue.FairQueue
    )
    ended_s: dict[str, float] = dataclasses.field(default_factory=dict)
    locality: locality_decision.State = dataclasses.field(
        default_factory=locality_decision.State
    )
    batch_room: room.Room = dataclasses.field(default_factory=room.Room)
    memory_tokens: int = 0
    speeds: table.Table = dataclasses.field(default_factory=table.Table)


@dataclasses.dataclass(slots=True, frozen=True)
class Grant:
    """Action: send a queued request its ticket."""

    ticket: Ticket


@dataclasses.dataclass(slots=True, frozen=True)
class Refuse:
    """Action: refuse a queued request.

    Attributes:
        id: Id of the request.
        cause: The cause, as text for the caller.
        is_software_gone: Whether no endpoint has the software that it needs.
    """

    id: str
    cause: str
    is_software_gone: bool = False


@dataclasses.dataclass(slots=True, frozen=True)
class Revoke:
    """Action: make the holder of a batch ticket cancel its request.

    Attributes:
        id: Id of the ticket.
        holder: Peer address of the ticket's holder.
    """

    id: str
    holder: str


Action = Grant | Refuse | Revoke


@dataclasses.dataclass(slots=True, frozen=True)
class Measurement:
    """What the holder of a ticket measured while the request ran.

    Attributes:
        outcome: `ok`, `cancelled`, `unreachable`, `failed` or `crashed`.
        first_token_s: Seconds from dispatch to the first token.
        token_gap_s: Mean seconds between tokens.
        tokens: Tokens that were generated.
        event_gap_s: Mean seconds between events, for the speed of endpoints
            whose slots are stated; None if it is unknown.
    """

    outcome: str = OK
    first_token_s: float = 0.0
    token_gap_s: float = 0.0
    tokens: int = 0
    event_gap_s: float | None = None


def queue_of(group: Group, kind: str) -> _fair_queue.FairQueue:
    """Returns the queue of requests of a kind, `online` or `batch`."""
    return group.online_queue if kind == ONLINE else group.batch_queue


def all_tickets(group: Group) -> list[Ticket]:
    """Returns the tickets in flight on active and draining endpoints."""
    endpoints = (*group.endpoints.values(), *group.draining.values())
    return [
        ticket for endpoint in endpoints for ticket in endpoint.tickets.values()
    ]


def find_endpoint(group: Group, name: str) -> Endpoint | None:
    """Returns an active or draining endpoint by its name, or None."""
    return group.endpoints.get(name) or group.draining.get(name)


def find_ticket(group: Group, ticket_id: str) -> Ticket | None:
    """Returns a ticket in flight by its id, or None."""
    for endpoint in (*group.endpoints.values(), *group.draining.values()):
        if ticket_id in endpoint.tickets:
            return endpoint.tickets[ticket_id]
    return None


def decayed_online_peak(endpoint: Endpoint, now: float) -> float:
    """Returns the decayed peak of the number of online tickets."""
    elapsed_s = max(0.0, now - endpoint.online_peak_s)
    decayed = endpoint.online_peak * 0.5 ** (
        elapsed_s / ONLINE_PEAK_HALF_LIFE_S
    )
    return max(float(endpoint.online_count()), decayed)


def add_ticket(endpoint: Endpoint, now: float, ticket: Ticket) -> None:
    """Adds a ticket to an endpoint."""
    endpoint.online_peak = decayed_online_peak(endpoint, now)
    replaced = endpoint.tickets.get(ticket.id)
    if replaced is not None:
        _count(endpoint, replaced, -1)
    endpoint.tickets[ticket.id] = ticket
    _count(endpoint, ticket, 1)
    endpoint.online_peak = max(endpoint.online_peak, endpoint.online_count())
    endpoint.online_peak_s = now
    routing.record_running(endpoint.view, now, len(endpoint.tickets))


def revoke_ticket(endpoint: Endpoint, ticket: Ticket) -> None:
    """Marks a batch ticket of an endpoint as revoked."""
    if not ticket.revoked:
        ticket.revoked = True
        endpoint.revoked += 1


def _count(endpoint: Endpoint, ticket: Ticket, change: int) -> None:
    """Adds a ticket to the counts, or subtracts it."""
    endpoint.online += change * (ticket.kind == ONLINE)
    endpoint.revoked += change * ticket.revoked
    endpoint.exclusive += change * ticket.exclusive
    endpoint.held_tokens += change * max(0, ticket.max_tokens)


def remove_ticket(group: Group, now: float, ticket: Ticket) -> None:
    """Removes a ticket from its endpoint.

    If it was the probe of a half-open circuit, another one may follow, also
    when nobody says how this one ended.
    """
    endpoint = find_endpoint(group, ticket.endpoint)
    if endpoint is None:
        return
    endpoint.circuit.probing = False
    endpoint.online_peak = decayed_online_peak(endpoint, now)
    endpoint.online_peak_s = now
    removed = endpoint.tickets.pop(ticket.id, None)
    if removed is not None:
        _count(endpoint, removed, -1)
    routing.record_running(endpoint.view, now, len(endpoint.tickets))
