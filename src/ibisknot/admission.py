"""Decides which request runs where, for one admission group.

Every function is pure: it takes the group's state, the time and an event,
changes only that state, and returns the actions to carry out.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from ibisknot import _admission_state
from ibisknot import _capacity
from ibisknot import _decisions
from ibisknot import _fair_queue
from ibisknot import breaker
from ibisknot import routing

ONLINE = _admission_state.ONLINE
BATCH = _admission_state.BATCH
OK = _admission_state.OK
CANCELLED = _admission_state.CANCELLED
UNREACHABLE = _admission_state.UNREACHABLE
FAILED = _admission_state.FAILED
CRASHED = _admission_state.CRASHED
Policy = _admission_state.Policy
Ticket = _admission_state.Ticket
Endpoint = _admission_state.Endpoint
Group = _admission_state.Group
Grant = _admission_state.Grant
Refuse = _admission_state.Refuse
Revoke = _admission_state.Revoke
Action = _admission_state.Action
Measurement = _admission_state.Measurement
QueuedRequest = _fair_queue.QueuedRequest
Capacity = _capacity.Capacity
all_tickets = _admission_state.all_tickets
find_ticket = _admission_state.find_ticket

ENDED_RETENTION_S = 10.0
"""Ids of returned tickets are kept so long for messages that come late."""
GRANT_DELIVERY_S = 2.0
"""A grant may be on its way to its holder for so long."""


def set_endpoints(
    group: _admission_state.Group,
    now: float,
    names: Iterable[str],
    *,
    slots: Mapping[str, int] | None = None,
) -> list[_admission_state.Action]:
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
            group.draining[name] = group.endpoints.pop(name)
    for name in sorted(wanted):
        if name not in group.endpoints:
            known = group.draining.pop(name, None)
            group.endpoints[name] = known or _admission_state.Endpoint(
                name, online_peak_s=now
            )
    for name in [n for n, e in group.draining.items() if not e.tickets]:
        del group.draining[name]
    for name, count in (slots or {}).items():
        if name in group.endpoints:
            group.endpoints[name].capacity.limit = float(count)
    return _decisions.decide(group, now)


def request_ticket(
    group: _admission_state.Group,
    now: float,
    request: _fair_queue.QueuedRequest,
) -> list[_admission_state.Action]:
    """Takes a request into the queue and grants what can be granted."""
    if request.id in group.ended_s:
        return [
            _admission_state.Refuse(request.id, "the ticket was given back")
        ]
    held = _admission_state.find_ticket(group, request.id)
    if held is not None:
        return [_admission_state.Grant(held)]
    _admission_state.queue_of(group, request.kind).push(request)
    return _decisions.decide(group, now)


def cancel_request(
    group: _admission_state.Group, now: float, request_id: str
) -> list[_admission_state.Action]:
    """Takes a request out of the queue; a ticket stays until returned."""
    _remove_queued(group, request_id)
    return _decisions.decide(group, now)


def _remove_queued(group: _admission_state.Group, request_id: str) -> None:
    if not group.online_queue.remove(request_id):
        group.batch_queue.remove(request_id)


def release_ticket(
    group: _admission_state.Group,
    now: float,
    ticket_id: str,
    measurement: _admission_state.Measurement,
) -> list[_admission_state.Action]:
    """Takes a ticket back, or ends the wait of a caller that has gone."""
    group.ended_s[ticket_id] = now
    held = _admission_state.find_ticket(group, ticket_id)
    if held is None:
        return cancel_request(group, now, ticket_id)
    _admission_state.remove_ticket(group, now, held)
    _record_measurement(group, now, held, measurement)
    return _decisions.decide(group, now)


def reconcile(
    group: _admission_state.Group,
    now: float,
    holder: str,
    reported: Iterable[_admission_state.Ticket],
) -> list[_admission_state.Action]:
    """Adopts what a holder says it has in flight."""
    theirs = {t.id: t for t in reported}
    for held in _admission_state.all_tickets(group):
        if held.holder != holder or held.id in theirs:
            continue
        if now - held.granted_s >= GRANT_DELIVERY_S:
            _admission_state.remove_ticket(group, now, held)
    for ticket in theirs.values():
        _adopt(group, now, ticket)
    return _decisions.decide(group, now)


def adopt_ticket(
    group: _admission_state.Group, now: float, ticket: _admission_state.Ticket
) -> list[_admission_state.Action]:
    """Adopts a ticket that another VM granted or its holder took itself."""
    return _decisions.decide(group, now) if _adopt(group, now, ticket) else []


def _adopt(
    group: _admission_state.Group, now: float, ticket: _admission_state.Ticket
) -> bool:
    """Counts a ticket where its holder uses it; False if nothing changed."""
    _remove_queued(group, ticket.id)
    known = _admission_state.find_ticket(group, ticket.id)
    endpoint = _admission_state.find_endpoint(group, ticket.endpoint)
    if ticket.id in group.ended_s or endpoint is None:
        return False
    if known is not None and known.endpoint == ticket.endpoint:
        return False
    if known is not None:
        _admission_state.remove_ticket(group, now, known)
    _admission_state.add_ticket(endpoint, now, ticket)
    return True


def is_queued(group: _admission_state.Group, request_id: str) -> bool:
    """Returns whether a request is in the queue."""
    both = (
        *group.online_queue.all_requests(),
        *group.batch_queue.all_requests(),
    )
    return any(waiting.id == request_id for waiting in both)


def reclaim_tickets(
    group: _admission_state.Group, now: float, holder: str
) -> list[_admission_state.Action]:
    """Takes back the tickets of a holder that died."""
    for held in _admission_state.all_tickets(group):
        if held.holder == holder:
            _admission_state.remove_ticket(group, now, held)
            group.ended_s[held.id] = now
    for queue in (group.online_queue, group.batch_queue):
        for waiting in queue.all_requests():
            if waiting.holder == holder:
                queue.remove(waiting.id)
    return _decisions.decide(group, now)


def record_load(
    group: _admission_state.Group, name: str, report: routing.LoadReport
) -> None:
    """Applies an engine's lagged load report."""
    endpoint = group.endpoints.get(name)
    if endpoint is not None:
        routing.apply_load_report(endpoint.view, report)


def tick(
    group: _admission_state.Group, now: float
) -> list[_admission_state.Action]:
    """Does what only the passing of time causes."""
    for number in [
        n for n, s in group.ended_s.items() if s < now - ENDED_RETENTION_S
    ]:
        del group.ended_s[number]
    return _decisions.decide(group, now)


def load(group: _admission_state.Group) -> float:
    """Returns what is in flight or waits, by unit of capacity.

    Batch does not count, because it gives way.
    """
    online = sum(e.online_count() for e in group.endpoints.values())
    limit = sum(e.capacity.limit for e in group.endpoints.values())
    return (online + group.online_queue.size) / max(1.0, limit)


def _record_measurement(
    group: _admission_state.Group,
    now: float,
    ticket: _admission_state.Ticket,
    measurement: _admission_state.Measurement,
) -> None:
    endpoint = _admission_state.find_endpoint(group, ticket.endpoint)
    if endpoint is None:
        return
    if measurement.outcome == _admission_state.OK:
        breaker.record_success(endpoint.circuit)
        _capacity.record_sample(
            endpoint.capacity,
            running=(ticket.running_at_grant + len(endpoint.tickets)) / 2 + 1,
            token_gap_s=measurement.token_gap_s,
            first_token_s=measurement.first_token_s,
            prompt_words=ticket.prompt_words,
        )
    elif measurement.outcome == _admission_state.CANCELLED:
        endpoint.circuit.probing = False
    else:
        down = measurement.outcome in (
            _admission_state.UNREACHABLE,
            _admission_state.CRASHED,
        )
        breaker.record_failure(endpoint.circuit, now, endpoint_down=down)
