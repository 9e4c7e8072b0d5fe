"""State of one admission group and the actions of its decisions."""

import dataclasses
import math

from ibisknot import _capacity
from ibisknot import _fair_queue
from ibisknot import breaker
from ibisknot import routing

ONLINE = "online"
BATCH = "batch"
OK = "ok"
CANCELLED = "cancelled"
UNREACHABLE = "unreachable"
FAILED = "failed"
CRASHED = "crashed"
ONLINE_PEAK_HALF_LIFE_S = 0.25
"""Batch comes back at this rate after a burst of online requests."""


@dataclasses.dataclass(slots=True)
class Policy:
    """How a group is shared between online and batch.

    Attributes:
        batch_weight: Share of the idle capacity that batch may fill.
        displaced: Batch sequences that give way to one online request, so
            that it does not share its steps with a full batch.
        revokes: Whether batch tickets are revoked.
        gathers: Whether online requests are gathered on few endpoints.
        headroom: Slots of an endpoint that batch leaves free.
        by_arrival: Whether online requests are served in order of arrival,
            and not those of the worst-served organisation first.
    """

    batch_weight: float = 1.0
    displaced_per_online: float = 4.0
    revokes_batch: bool = True
    consolidates_online: bool = True
    headroom_slots: float = 1.0
    in_arrival_order: bool = False


@dataclasses.dataclass(slots=True)
class Ticket:
    """A ticket that is in flight.

    Attributes:
        beside: Sequences on the endpoint when it was granted.
        revoked: Whether its holder was told to cancel.
        alone: Whether nothing else may run beside it.
        due_s: Monotonic time at which its result is due.
        ends_s: Monotonic time at which it is expected to end.
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
        held: Tickets in flight by id.
        online_level: Decayed peak of the online tickets.
        level_s: Time of `online_level`.
        reserved: Whether it empties for a request that must run alone.
        gathers: Whether online requests are sent here first.
    """

    name: str
    capacity: _capacity.Capacity = dataclasses.field(
        default_factory=_capacity.Capacity
    )
    circuit: breaker.Breaker = dataclasses.field(
        default_factory=breaker.Breaker
    )
    view: routing.EndpointView = dataclasses.field(
        default_factory=routing.EndpointView
    )
    tickets: dict[str, Ticket] = dataclasses.field(default_factory=dict)
    online_peak: float = 0.0
    online_peak_s: float = 0.0
    reserved: bool = False
    prefers_online: bool = False

    def online_count(self) -> int:
        """Returns the number of online tickets."""
        return sum(t.kind == ONLINE for t in self.tickets.values())

    def unrevoked_batch(self) -> list[Ticket]:
        """Returns the batch tickets that are not revoked."""
        return [
            t
            for t in self.tickets.values()
            if t.kind == BATCH and not t.revoked
        ]

    def unrevoked_count(self) -> int:
        """Returns the number of tickets that are not revoked."""
        return sum(not t.revoked for t in self.tickets.values())

    def expected_token_gap_s(self) -> float:
        """Returns the expected time between tokens as it is loaded now."""
        return _capacity.expected_token_gap_s(self.capacity, len(self.tickets))

    def has_exclusive(self) -> bool:
        """Returns whether a request that must run alone is in flight."""
        return any(t.exclusive for t in self.tickets.values())


@dataclasses.dataclass(slots=True)
class Group:
    """State of one admission group.

    Attributes:
        endpoints: The active endpoints by name.
        leaving: Endpoints that get no new work but still have tickets.
        online: Waiting online requests.
        batch: Waiting batch requests.
        ended: Time at which each ticket was returned, by id.
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


@dataclasses.dataclass(slots=True, frozen=True)
class Grant:
    """Gives a waiting request its ticket."""

    ticket: Ticket


@dataclasses.dataclass(slots=True, frozen=True)
class Refuse:
    """Ends the wait of a request without a ticket."""

    id: str
    cause: str


@dataclasses.dataclass(slots=True, frozen=True)
class Revoke:
    """Tells the holder of a batch ticket to cancel its stream."""

    id: str
    holder: str


Action = Grant | Refuse | Revoke


@dataclasses.dataclass(slots=True, frozen=True)
class Measurement:
    """What the holder of a ticket measured.

    Attributes:
        outcome: `ok`, `cancelled`, `unreachable`, `failed` or `crashed`.
        first_token_s: Seconds from dispatch to the first token.
        token_gap_s: Mean seconds between tokens.
        tokens: Tokens that were generated.
    """

    outcome: str = OK
    first_token_s: float = 0.0
    token_gap_s: float = 0.0
    tokens: int = 0


def queue_of(group: Group, kind: str) -> _fair_queue.FairQueue:
    """Returns the queue of a kind of request."""
    return group.online_queue if kind == ONLINE else group.batch_queue


def all_tickets(group: Group) -> list[Ticket]:
    """Returns all tickets in flight."""
    both = (*group.endpoints.values(), *group.draining.values())
    return [held for endpoint in both for held in endpoint.tickets.values()]


def find_endpoint(group: Group, name: str) -> Endpoint | None:
    """Returns an endpoint, active or leaving."""
    return group.endpoints.get(name) or group.draining.get(name)


def find_ticket(group: Group, ticket_id: str) -> Ticket | None:
    """Returns a ticket in flight by its id."""
    for endpoint in (*group.endpoints.values(), *group.draining.values()):
        if ticket_id in endpoint.tickets:
            return endpoint.tickets[ticket_id]
    return None


def decayed_online_peak(endpoint: Endpoint, now: float) -> float:
    """Returns the decayed peak of the online tickets."""
    elapsed_s = max(0.0, now - endpoint.online_peak_s)
    faded = endpoint.online_peak * 0.5 ** (elapsed_s / ONLINE_PEAK_HALF_LIFE_S)
    return max(float(endpoint.online_count()), faded)


def add_ticket(endpoint: Endpoint, now: float, ticket: Ticket) -> None:
    """Puts a ticket on an endpoint."""
    endpoint.online_peak = decayed_online_peak(endpoint, now)
    endpoint.tickets[ticket.id] = ticket
    endpoint.online_peak = max(endpoint.online_peak, endpoint.online_count())
    endpoint.online_peak_s = now
    routing.record_running(endpoint.view, now, len(endpoint.tickets))


def remove_ticket(group: Group, now: float, ticket: Ticket) -> None:
    """Takes a ticket off its endpoint."""
    endpoint = find_endpoint(group, ticket.endpoint)
    if endpoint is None:
        return
    endpoint.online_peak = decayed_online_peak(endpoint, now)
    endpoint.online_peak_s = now
    endpoint.tickets.pop(ticket.id, None)
    routing.record_running(endpoint.view, now, len(endpoint.tickets))
