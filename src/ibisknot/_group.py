"""State of one admission group and the actions of its decisions."""

import dataclasses
import math

from ibisknot import _capacity
from ibisknot import _fair
from ibisknot import breaker
from ibisknot import routing

ONLINE = "online"
BATCH = "batch"
OK = "ok"
CANCELLED = "cancelled"
UNREACHABLE = "unreachable"
FAILED = "failed"
CRASHED = "crashed"
LEVEL_HALF_LIFE_S = 0.25
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
    displaced: float = 4.0
    revokes: bool = True
    gathers: bool = True
    headroom: float = 1.0
    by_arrival: bool = False


@dataclasses.dataclass(slots=True)
class Held:
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
    tokens: int = 0
    words: int = 0
    beside: int = 0
    suspect: bool = False
    revoked: bool = False
    alone: bool = False
    due_s: float = math.inf
    ends_s: float = -math.inf


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
    known: routing.Known = dataclasses.field(default_factory=routing.Known)
    held: dict[str, Held] = dataclasses.field(default_factory=dict)
    online_level: float = 0.0
    level_s: float = 0.0
    reserved: bool = False
    gathers: bool = False

    def online(self) -> int:
        """Returns the number of online tickets."""
        return sum(t.kind == ONLINE for t in self.held.values())

    def batch(self) -> list[Held]:
        """Returns the batch tickets that are not revoked."""
        return [
            t for t in self.held.values() if t.kind == BATCH and not t.revoked
        ]

    def staying(self) -> int:
        """Returns the number of tickets that are not revoked."""
        return sum(not t.revoked for t in self.held.values())

    def gap_s(self) -> float:
        """Returns the expected time between tokens as it is loaded now."""
        return _capacity.gap_s(self.capacity, len(self.held))

    def has_alone(self) -> bool:
        """Returns whether a request that must run alone is in flight."""
        return any(t.alone for t in self.held.values())


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
    leaving: dict[str, Endpoint] = dataclasses.field(default_factory=dict)
    online: _fair.Fair = dataclasses.field(default_factory=_fair.Fair)
    batch: _fair.Fair = dataclasses.field(default_factory=_fair.Fair)
    ended: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True, frozen=True)
class Grant:
    """Gives a waiting request its ticket."""

    ticket: Held


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
class Measured:
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


def queue_of(group: Group, kind: str) -> _fair.Fair:
    """Returns the queue of a kind of request."""
    return group.online if kind == ONLINE else group.batch


def all_held(group: Group) -> list[Held]:
    """Returns all tickets in flight."""
    both = (*group.endpoints.values(), *group.leaving.values())
    return [held for endpoint in both for held in endpoint.held.values()]


def endpoint_of(group: Group, name: str) -> Endpoint | None:
    """Returns an endpoint, active or leaving."""
    return group.endpoints.get(name) or group.leaving.get(name)


def find(group: Group, number: str) -> Held | None:
    """Returns a ticket in flight by its id."""
    for endpoint in (*group.endpoints.values(), *group.leaving.values()):
        if number in endpoint.held:
            return endpoint.held[number]
    return None


def level(endpoint: Endpoint, now: float) -> float:
    """Returns the decayed peak of the online tickets."""
    elapsed_s = max(0.0, now - endpoint.level_s)
    faded = endpoint.online_level * 0.5 ** (elapsed_s / LEVEL_HALF_LIFE_S)
    return max(float(endpoint.online()), faded)


def put(endpoint: Endpoint, now: float, held: Held) -> None:
    """Puts a ticket on an endpoint."""
    endpoint.online_level = level(endpoint, now)
    endpoint.held[held.id] = held
    endpoint.online_level = max(endpoint.online_level, endpoint.online())
    endpoint.level_s = now
    routing.count(endpoint.known, now, len(endpoint.held))


def remove(group: Group, now: float, held: Held) -> None:
    """Takes a ticket off its endpoint."""
    endpoint = endpoint_of(group, held.endpoint)
    if endpoint is None:
        return
    endpoint.online_level = level(endpoint, now)
    endpoint.level_s = now
    endpoint.held.pop(held.id, None)
    routing.count(endpoint.known, now, len(endpoint.held))
