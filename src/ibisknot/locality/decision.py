"""Decides which data centres' endpoints may take a request, and at what cost.

The cost of a crossing is its network delay and the price of its bytes. It is
compared with the time that a request gains on endpoints that are less full. A
data centre begins to use another one when that gain is well above the cost,
and stops when it is well below.
"""

from collections.abc import Iterable
import dataclasses
import math

LOG_PERIOD_S = 5.0
"""Shortest time between two log lines about the same two data centres."""


@dataclasses.dataclass(slots=True, frozen=True)
class Policy:
    """The price of leaving a data centre, and when it is worthwhile.

    Attributes:
        min_endpoints: Usable endpoints of a service that a data centre needs
            for its requests to prefer them. With fewer of them, a slot is too
            large a part of their load for a comparison of means.
        network_delay_s: Seconds that a first event from another data centre
            takes longer.
        byte_price_s: Seconds of delay that are worth a byte that does not
            cross; a megabyte is worth one second.
        prompt_token_bytes: Bytes of a token of the prompt.
        output_token_bytes: Bytes of the event that carries a token.
        online_full_load_s: Seconds by which a first event is later at a full
            endpoint than at an empty one.
        batch_full_load_fraction: Fraction of its duration by which a batch
            item takes longer at a full endpoint than at an empty one.
        min_load_difference: Difference of loads up to which nothing is gained;
            it is a little more than one of eight slots.
        leave_factor: Multiple of the cost from which on a gain begins the use
            of another data centre.
        return_factor: Multiple of the cost below which a gain ends it.
    """

    min_endpoints: int = 4
    network_delay_s: float = 0.003
    byte_price_s: float = 1e-6
    prompt_token_bytes: float = 5.0
    output_token_bytes: float = 200.0
    online_full_load_s: float = 0.05
    batch_full_load_fraction: float = 0.3
    min_load_difference: float = 0.15
    leave_factor: float = 1.5
    return_factor: float = 0.75


@dataclasses.dataclass(slots=True, frozen=True)
class Demand:
    """A request, as far as its place matters.

    Attributes:
        home: Data centre of the process that has it; empty if unknown.
        kind: `online` or `batch`.
        prompt_tokens: Tokens of its prompt.
        output_tokens: Largest number of tokens that it generates.
        duration_s: Seconds for which it is expected to occupy a slot.
        spare_s: Seconds until its grant is too late for its objective.
    """

    home: str
    kind: str
    prompt_tokens: int = 0
    output_tokens: int = 0
    duration_s: float = 0.0
    spare_s: float = math.inf


@dataclasses.dataclass(slots=True)
class Load:
    """Load of the usable endpoints of one data centre.

    Attributes:
        endpoints: Number of endpoints.
        used: Slots in use.
        slots: All slots.
    """

    endpoints: int = 0
    used: int = 0
    slots: int = 0

    def fraction(self) -> float:
        """Returns the fraction of the slots in use; 1 without slots."""
        return self.used / self.slots if self.slots > 0 else 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Flow:
    """Requests of one kind from one data centre to another one."""

    kind: str
    home: str
    other: str


@dataclasses.dataclass(slots=True, frozen=True)
class Change:
    """A flow that has begun or stopped."""

    flow: Flow
    has_begun: bool


@dataclasses.dataclass(slots=True)
class State:
    """The flows of one service.

    Attributes:
        flows: The flows that are worthwhile now.
        logged: What was last logged of each flow, and the monotonic time.
    """

    flows: set[Flow] = dataclasses.field(default_factory=set)
    logged: dict[Flow, tuple[bool, float]] = dataclasses.field(
        default_factory=dict
    )


def loads(endpoints: Iterable[tuple[str, int, int]]) -> dict[str, Load]:
    """Returns the load of each data centre.

    Args:
        endpoints: Data centre, slots in use and all slots of each usable
            endpoint.

    >>> loads([("a", 1, 8), ("a", 3, 8), ("b", 0, 8)])["a"].fraction()
    0.25
    """
    found: dict[str, Load] = {}
    for name, used, slots in endpoints:
        load = found.setdefault(name, Load())
        load.endpoints += 1
        load.used += max(0, used)
        load.slots += max(0, slots)
    return found


def prefers_home(
    demand: Demand, loads: dict[str, Load], policy: Policy
) -> bool:
    """Returns whether a request's data centre has enough endpoints."""
    home = loads.get(demand.home)
    if not demand.home or home is None:
        return False
    return home.endpoints >= policy.min_endpoints


def price_s(demand: Demand, policy: Policy) -> float:
    """Returns the cost in seconds of serving a request elsewhere.

    A request that is nearly late only counts the delay.
    """
    size_bytes = (
        max(0, demand.prompt_tokens) * policy.prompt_token_bytes
        + max(0, demand.output_tokens) * policy.output_token_bytes
    )
    price = policy.network_delay_s + size_bytes * policy.byte_price_s
    if demand.spare_s < price * policy.leave_factor:
        return policy.network_delay_s
    return price


def full_load_s(demand: Demand, policy: Policy) -> float:
    """Returns the seconds that a full endpoint costs against an empty one."""
    if demand.kind == "online":
        return policy.online_full_load_s
    duration_s = demand.duration_s if math.isfinite(demand.duration_s) else 0.0
    return max(
        policy.online_full_load_s,
        policy.batch_full_load_fraction * duration_s,
    )


def update(
    state: State, demand: Demand, loads: dict[str, Load], policy: Policy
) -> None:
    """Begins and stops flows from a request's data centre.

    Args:
        state: Updated in place.
        demand: The request.
        loads: Load of each data centre.
        policy: The price.
    """
    state.flows -= {f for f in state.flows if f.other not in loads}
    home_load = loads[demand.home].fraction()
    price = price_s(demand, policy)
    for other, load in loads.items():
        if other in ("", demand.home):
            continue
        flow = Flow(demand.kind, demand.home, other)
        gain_s = full_load_s(demand, policy) * (home_load - load.fraction())
        if gain_s > price * policy.leave_factor:
            state.flows.add(flow)
        elif gain_s < price * policy.return_factor:
            state.flows.discard(flow)


def crossing_s(
    state: State,
    demand: Demand,
    policy: Policy,
    *,
    other: str,
    home_load: float,
    other_load: float,
) -> float:
    """Returns the cost in seconds of an endpoint in another data centre.

    It is negative if the endpoint is so much less full than the ones at home
    that a request gains time there.

    Args:
        state: The flows.
        demand: The request.
        policy: The price.
        other: Data centre of the endpoint.
        home_load: Fraction of the slots in use at the least full endpoint of
            the request's data centre that can take it; 1 if there is none.
        other_load: The same of the endpoint.
    """
    flow = Flow(demand.kind, demand.home, other)
    is_open = flow in state.flows
    factor = policy.return_factor if is_open else policy.leave_factor
    full_s = full_load_s(demand, policy)
    cost_s = max(
        price_s(demand, policy) * factor, full_s * policy.min_load_difference
    )
    return cost_s - full_s * (home_load - other_load)


def is_home_enough(
    home: str,
    loads: dict[str, Load],
    processes: dict[str, int],
    policy: Policy,
) -> bool:
    """Returns whether requests may stay at home while no scheduler responds.

    Nobody knows the loads then. Home is enough if it has as many slots for
    each of its processes as the whole fleet.

    Args:
        home: Data centre of this process.
        loads: The endpoints and slots of each data centre.
        processes: Number of processes in each data centre.
        policy: The smallest number of endpoints.
    """
    if not prefers_home(Demand(home, ""), loads, policy):
        return False
    all_slots = sum(load.slots for load in loads.values())
    all_processes = sum(processes.values())
    return loads[home].slots * all_processes >= all_slots * processes.get(
        home, 0
    )


def take_changes(state: State, now: float) -> list[Change]:
    """Returns the changes to log, and records that they were logged.

    Args:
        state: Updated in place.
        now: Monotonic time in seconds.
    """
    changes = []
    for flow in state.flows | state.logged.keys():
        is_open = flow in state.flows
        was_open, logged_s = state.logged.get(flow, (False, -math.inf))
        if is_open != was_open and now - logged_s >= LOG_PERIOD_S:
            state.logged[flow] = (is_open, now)
            changes.append(Change(flow, is_open))
    return changes
