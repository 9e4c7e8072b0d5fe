"""Decides which request runs where, for one admission group.

Every function is pure: it takes the group's state, the time and an event,
changes only that state, and returns the actions to carry out.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from ibisknot import _capacity
from ibisknot import _fair
from ibisknot import _group
from ibisknot import _pump
from ibisknot import breaker
from ibisknot import routing

ONLINE = _group.ONLINE
BATCH = _group.BATCH
OK = _group.OK
CANCELLED = _group.CANCELLED
UNREACHABLE = _group.UNREACHABLE
FAILED = _group.FAILED
CRASHED = _group.CRASHED
Policy = _group.Policy
Held = _group.Held
Endpoint = _group.Endpoint
Group = _group.Group
Grant = _group.Grant
Refuse = _group.Refuse
Revoke = _group.Revoke
Action = _group.Action
Measured = _group.Measured
Waiting = _fair.Waiting
Capacity = _capacity.Capacity
all_held = _group.all_held
find = _group.find

ENDED_KEEP_S = 10.0
"""Ids of returned tickets are kept so long for messages that come late."""
TAKEN_BACK_AFTER_S = 2.0
"""A grant may be on its way to its holder for so long."""


def set_endpoints(
    group: _group.Group,
    now: float,
    names: Iterable[str],
    *,
    slots: Mapping[str, int] | None = None,
) -> list[_group.Action]:
    """Puts the list of active endpoints in force.

    Args:
        group: Updated in place.
        now: Monotonic time in seconds.
        names: The active endpoints.
        slots: What each endpoint runs at once, where it is stated and need
            not be learnt.
    """
    wanted = set(names)
    for name in list(group.endpoints):
        if name not in wanted:
            group.leaving[name] = group.endpoints.pop(name)
    for name in sorted(wanted):
        if name not in group.endpoints:
            known = group.leaving.pop(name, None)
            group.endpoints[name] = known or _group.Endpoint(name, level_s=now)
    for name in [n for n, e in group.leaving.items() if not e.held]:
        del group.leaving[name]
    for name, count in (slots or {}).items():
        if name in group.endpoints:
            group.endpoints[name].capacity.limit = float(count)
    return _pump.pump(group, now)


def ask(
    group: _group.Group, now: float, waiting: _fair.Waiting
) -> list[_group.Action]:
    """Takes a request into the queue and grants what can be granted."""
    if waiting.id in group.ended:
        return [_group.Refuse(waiting.id, "the ticket was given back")]
    held = _group.find(group, waiting.id)
    if held is not None:
        return [_group.Grant(held)]
    _group.queue_of(group, waiting.kind).push(waiting)
    return _pump.pump(group, now)


def give_up(
    group: _group.Group, now: float, number: str
) -> list[_group.Action]:
    """Takes a request out of the queue; a ticket stays until returned."""
    _forget_waiting(group, number)
    return _pump.pump(group, now)


def _forget_waiting(group: _group.Group, number: str) -> None:
    if not group.online.remove(number):
        group.batch.remove(number)


def give_back(
    group: _group.Group, now: float, number: str, measured: _group.Measured
) -> list[_group.Action]:
    """Takes a ticket back, or ends the wait of a caller that has gone."""
    group.ended[number] = now
    held = _group.find(group, number)
    if held is None:
        return give_up(group, now, number)
    _group.remove(group, now, held)
    _learn(group, now, held, measured)
    return _pump.pump(group, now)


def reconcile(
    group: _group.Group,
    now: float,
    holder: str,
    reported: Iterable[_group.Held],
) -> list[_group.Action]:
    """Adopts what a holder says it has in flight."""
    theirs = {t.id: t for t in reported}
    for held in _group.all_held(group):
        if held.holder != holder or held.id in theirs:
            continue
        if now - held.granted_s >= TAKEN_BACK_AFTER_S:
            _group.remove(group, now, held)
    for ticket in theirs.values():
        _take_in(group, now, ticket)
    return _pump.pump(group, now)


def adopt(
    group: _group.Group, now: float, ticket: _group.Held
) -> list[_group.Action]:
    """Adopts a ticket that another VM granted or its holder took itself."""
    return _pump.pump(group, now) if _take_in(group, now, ticket) else []


def _take_in(group: _group.Group, now: float, ticket: _group.Held) -> bool:
    """Counts a ticket where its holder uses it; False if nothing changed."""
    _forget_waiting(group, ticket.id)
    known = _group.find(group, ticket.id)
    endpoint = _group.endpoint_of(group, ticket.endpoint)
    if ticket.id in group.ended or endpoint is None:
        return False
    if known is not None and known.endpoint == ticket.endpoint:
        return False
    if known is not None:
        _group.remove(group, now, known)
    _group.put(endpoint, now, ticket)
    return True


def is_waiting(group: _group.Group, number: str) -> bool:
    """Returns whether a request is in the queue."""
    both = (*group.online.all(), *group.batch.all())
    return any(waiting.id == number for waiting in both)


def take_back(
    group: _group.Group, now: float, holder: str
) -> list[_group.Action]:
    """Takes back the tickets of a holder that died."""
    for held in _group.all_held(group):
        if held.holder == holder:
            _group.remove(group, now, held)
            group.ended[held.id] = now
    for queue in (group.online, group.batch):
        for waiting in queue.all():
            if waiting.holder == holder:
                queue.remove(waiting.id)
    return _pump.pump(group, now)


def report_load(group: _group.Group, name: str, report: routing.Report) -> None:
    """Applies an engine's lagged load report."""
    endpoint = group.endpoints.get(name)
    if endpoint is not None:
        routing.reported(endpoint.known, report)


def tick(group: _group.Group, now: float) -> list[_group.Action]:
    """Does what only the passing of time causes."""
    for number in [n for n, s in group.ended.items() if s < now - ENDED_KEEP_S]:
        del group.ended[number]
    return _pump.pump(group, now)


def load(group: _group.Group) -> float:
    """Returns what is in flight or waits, by unit of capacity.

    Batch does not count, because it gives way.
    """
    online = sum(e.online() for e in group.endpoints.values())
    limit = sum(e.capacity.limit for e in group.endpoints.values())
    return (online + group.online.size) / max(1.0, limit)


def _learn(
    group: _group.Group,
    now: float,
    held: _group.Held,
    measured: _group.Measured,
) -> None:
    endpoint = _group.endpoint_of(group, held.endpoint)
    if endpoint is None:
        return
    if measured.outcome == _group.OK:
        breaker.succeeded(endpoint.circuit)
        _capacity.learn(
            endpoint.capacity,
            running=(held.beside + len(endpoint.held)) / 2 + 1,
            token_gap_s=measured.token_gap_s,
            first_token_s=measured.first_token_s,
            words=held.words,
        )
    elif measured.outcome == _group.CANCELLED:
        endpoint.circuit.probing = False
    else:
        down = measured.outcome in (_group.UNREACHABLE, _group.CRASHED)
        breaker.failed(endpoint.circuit, now, certain=down)
