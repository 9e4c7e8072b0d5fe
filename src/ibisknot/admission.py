"""Admission decisions of one group: which request runs at which endpoint.

The functions do no input or output. Each takes the group's state, the time
and an event, changes only that state, and returns the actions to carry out.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import itertools
import math

from ibisknot import _admission_state
from ibisknot import _capacity
from ibisknot import _decisions
from ibisknot import _fair_queue
from ibisknot import breaker
from ibisknot import request_limits
from ibisknot import routing
from ibisknot.speeds import table

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
find_endpoint = _admission_state.find_endpoint

ENDED_RETENTION_S = 10.0
"""Retention of the ids of released tickets, for messages that come late."""
MAX_EXPIRED_IDS = 200
"""Ids of released tickets that one tick removes."""
MAX_GRANT_DELIVERY_S = 2.0
"""Longest time that a grant takes to reach its holder.

A younger ticket is kept although its holder does not report it.
"""


def set_endpoints(
    group: _admission_state.Group,
    now: float,
    names: Iterable[str],
    *,
    slots: Mapping[str, int] | None = None,
    data_centres: Mapping[str, str] | None = None,
    software_versions: Mapping[str, str] | None = None,
    cold: Mapping[str, request_limits.ColdLimit] | None = None,
    capacities: dict[str, Capacity] | None = None,
) -> list[_admission_state.Action]:
    """Sets the active endpoints; other endpoints drain.

    Args:
        group: Updated in place.
        now: Monotonic time in seconds.
        names: Names of the active endpoints.
        slots: Slots of each endpoint for which they are configured and need
            not be estimated.
        data_centres: Data centre of each endpoint for which it is known.
        software_versions: Version of the software of each endpoint for which
            it is known.
        cold: What the cold ones among the endpoints take. It must be known
            before the first request is granted.
        capacities: What was learnt of endpoints, by their names; that of new
            endpoints is added.
    """
    active = set(names)
    for name in list(group.endpoints):
        if name not in active:
            group.draining[name] = group.endpoints.pop(name)
    for name in sorted(active):
        if name not in group.endpoints:
            endpoint = group.draining.pop(
                name, None
            ) or _admission_state.Endpoint(name, online_peak_s=now)
            if capacities is not None:
                endpoint.capacity = capacities.setdefault(
                    name, endpoint.capacity
                )
            group.endpoints[name] = endpoint
    for name in [n for n, e in group.draining.items() if not e.tickets]:
        del group.draining[name]
    for name, count in (slots or {}).items():
        if name in group.endpoints:
            group.endpoints[name].capacity.limit = float(count)
    for name, data_centre in (data_centres or {}).items():
        if name in group.endpoints:
            group.endpoints[name].data_centre = data_centre
    for name, version in (software_versions or {}).items():
        if name in group.endpoints:
            group.endpoints[name].software_version = version
    for name, limit in (cold or {}).items():
        if name in group.endpoints:
            _set_cold(group.endpoints[name], limit, now)
    return _decisions.decide(group, now)


def request_ticket(
    group: _admission_state.Group,
    now: float,
    request: _fair_queue.QueuedRequest,
) -> list[_admission_state.Action]:
    """Queues a request for a ticket and grants what can be granted.

    A repeated request whose ticket is in flight is granted it again; one
    whose ticket was released is refused.
    """
    if request.id in group.ended_s:
        return [_admission_state.Refuse(request.id, "the ticket was released")]
    ticket = _admission_state.find_ticket(group, request.id)
    if ticket is not None:
        return [_admission_state.Grant(ticket)]
    _admission_state.queue_of(group, request.kind).push(request)
    return _decisions.decide(group, now)


def cancel_request(
    group: _admission_state.Group, now: float, request_id: str
) -> list[_admission_state.Action]:
    """Removes a request from its queue; a granted ticket stays in flight."""
    _remove_queued(group, request_id)
    return _decisions.decide(group, now)


def _remove_queued(group: _admission_state.Group, request_id: str) -> None:
    """Removes a request from the queue that has it."""
    if not group.online_queue.remove(request_id):
        group.batch_queue.remove(request_id)


def release_ticket(
    group: _admission_state.Group,
    now: float,
    ticket_id: str,
    measurement: _admission_state.Measurement,
) -> list[_admission_state.Action]:
    """Ends a ticket, or cancels its request if that is still queued.

    Args:
        group: Updated in place.
        now: Monotonic time in seconds.
        ticket_id: Id of the ticket and of its request.
        measurement: What the holder measured.
    """
    group.ended_s[ticket_id] = now
    ticket = _admission_state.find_ticket(group, ticket_id)
    if ticket is None:
        return cancel_request(group, now, ticket_id)
    _admission_state.remove_ticket(group, now, ticket)
    _record_measurement(group, now, ticket, measurement)
    _record_speed(group, now, ticket, measurement)
    return _decisions.decide(group, now)


def reconcile(
    group: _admission_state.Group,
    now: float,
    holder: str,
    reported: Iterable[_admission_state.Ticket],
) -> list[_admission_state.Action]:
    """Replaces the tickets of a holder by those that it reports.

    Tickets whose grant may still be on its way to the holder are kept.

    Args:
        group: Updated in place.
        now: Monotonic time in seconds.
        holder: Peer address of the holder.
        reported: The tickets that it holds.
    """
    reported_by_id = {t.id: t for t in reported}
    for recorded in _admission_state.all_tickets(group):
        if recorded.holder != holder or recorded.id in reported_by_id:
            continue
        if now - recorded.granted_s >= MAX_GRANT_DELIVERY_S:
            _admission_state.remove_ticket(group, now, recorded)
    for ticket in reported_by_id.values():
        _adopt(group, now, ticket)
    return _decisions.decide(group, now)


def adopt_ticket(
    group: _admission_state.Group,
    now: float,
    ticket: _admission_state.Ticket,
    *,
    counts_against_limit: bool = True,
) -> list[_admission_state.Action]:
    """Adds a ticket that another VM or the holder itself granted.

    Args:
        group: The admission group.
        now: Monotonic time in seconds.
        ticket: The ticket.
        counts_against_limit: Whether the limit of its endpoint has not been
            charged elsewhere.
    """
    if not _adopt(group, now, ticket):
        return []
    endpoint = _admission_state.find_endpoint(group, ticket.endpoint)
    if endpoint is not None and counts_against_limit:
        request_limits.consume(endpoint.bucket, now)
    elif endpoint is not None:
        request_limits.record_sent(endpoint.bucket, now)
    return _decisions.decide(group, now)


def has_limits(group: _admission_state.Group) -> bool:
    """Returns whether an endpoint names a limit on requests."""
    return any(e.bucket is not None for e in group.endpoints.values())


def add_accrued(
    group: _admission_state.Group, accrued_s: float, burst_fraction: float
) -> None:
    """Adds time for which the limits of endpoints have accrued here.

    Args:
        group: The admission group.
        accrued_s: Seconds of each limit.
        burst_fraction: Fraction of a burst that may be saved up here.
    """
    for endpoint in group.endpoints.values():
        if endpoint.bucket is not None:
            request_limits.add_accrued(
                endpoint.bucket, accrued_s, burst_fraction
            )


def _set_cold(
    endpoint: _admission_state.Endpoint,
    limit: request_limits.ColdLimit,
    now: float,
) -> None:
    endpoint.bucket = request_limits.set_cold(
        endpoint.bucket,
        limit,
        now,
        granted_s=[t.granted_s for t in endpoint.tickets.values()],
    )


def set_request_limit(
    group: _admission_state.Group,
    now: float,
    name: str,
    rate_per_s: float,
    cold: request_limits.ColdLimit | None = None,
) -> list[_admission_state.Action]:
    """Sets the requests a second that an endpoint takes, or infinity.

    They accrue by `add_accrued`.

    Args:
        group: The admission group.
        now: Monotonic time in seconds.
        name: Name of the endpoint.
        rate_per_s: Requests a second that it names; infinite if none.
        cold: What it takes while it is cold; None if it is warm.
    """
    endpoint = _admission_state.find_endpoint(group, name)
    if endpoint is not None and cold is not None:
        _set_cold(endpoint, cold, now)
        return _decisions.decide(group, now)
    if endpoint is None or (endpoint.bucket is None and rate_per_s == math.inf):
        return []
    endpoint.bucket = request_limits.set_rate(
        endpoint.bucket, rate_per_s, now, accrues_by_time=False
    )
    return _decisions.decide(group, now)


def _adopt(
    group: _admission_state.Group, now: float, ticket: _admission_state.Ticket
) -> bool:
    """Adds a ticket where its holder uses it.

    Returns:
        Whether that changed the tickets in flight.
    """
    _remove_queued(group, ticket.id)
    recorded = _admission_state.find_ticket(group, ticket.id)
    endpoint = _admission_state.find_endpoint(group, ticket.endpoint)
    if ticket.id in group.ended_s or endpoint is None:
        return False
    if recorded is not None and recorded.endpoint == ticket.endpoint:
        return False
    if recorded is not None:
        _admission_state.remove_ticket(group, now, recorded)
    ticket.running_at_grant = len(endpoint.tickets)
    _admission_state.add_ticket(endpoint, now, ticket)
    return True


def is_queued(group: _admission_state.Group, request_id: str) -> bool:
    """Returns whether a request is queued."""
    all_queued = (
        *group.online_queue.all_requests(),
        *group.batch_queue.all_requests(),
    )
    return any(queued.id == request_id for queued in all_queued)


def queued_batch_ids(group: _admission_state.Group) -> set[str]:
    """Returns the ids of the queued batch requests."""
    return {request.id for request in group.batch_queue.all_requests()}


def reclaim_tickets(
    group: _admission_state.Group, now: float, holder: str
) -> list[_admission_state.Action]:
    """Reclaims the tickets of a holder whose process is lost.

    Its queued requests are removed too.
    """
    for ticket in _admission_state.all_tickets(group):
        if ticket.holder == holder:
            _admission_state.remove_ticket(group, now, ticket)
            group.ended_s[ticket.id] = now
    for queue in (group.online_queue, group.batch_queue):
        for queued in queue.all_requests():
            if queued.holder == holder:
                queue.remove(queued.id)
    return _decisions.decide(group, now)


def record_load(
    group: _admission_state.Group, name: str, report: routing.LoadReport
) -> None:
    """Records a load report of an engine; the report lags the engine's load."""
    endpoint = group.endpoints.get(name)
    if endpoint is not None:
        routing.apply_load_report(endpoint.view, report)


def tick(
    group: _admission_state.Group, now: float
) -> list[_admission_state.Action]:
    """Expires queued requests and ids of released tickets.

    Called periodically.
    """
    # The ids are in the order of their ends.
    for ticket_id, ended_s in list(
        itertools.islice(group.ended_s.items(), MAX_EXPIRED_IDS)
    ):
        if ended_s >= now - ENDED_RETENTION_S:
            break
        del group.ended_s[ticket_id]
    return _decisions.decide(group, now)


def load(group: _admission_state.Group) -> float:
    """Returns the online requests, in flight or queued, per slot.

    Batch requests are not counted, because they are revoked for online ones.
    """
    online = sum(e.online_count() for e in group.endpoints.values())
    limit = sum(e.capacity.limit for e in group.endpoints.values())
    return (online + group.online_queue.size) / max(1.0, limit)


def _record_speed(
    group: _admission_state.Group,
    now: float,
    ticket: _admission_state.Ticket,
    measurement: _admission_state.Measurement,
) -> None:
    """Records how fast an endpoint was while a ticket was held."""
    endpoint = group.endpoints.get(ticket.endpoint)
    if endpoint is None or measurement.event_gap_s is None:
        return
    table.record(
        group.speeds,
        now,
        endpoint.name,
        kind=ticket.kind,
        load=(ticket.running_at_grant + len(endpoint.tickets)) / 2 + 1,
        gap_s=measurement.event_gap_s,
    )


def _record_measurement(
    group: _admission_state.Group,
    now: float,
    ticket: _admission_state.Ticket,
    measurement: _admission_state.Measurement,
) -> None:
    """Updates the breaker and the capacity of a released ticket's endpoint."""
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
        endpoint_down = measurement.outcome in (
            _admission_state.UNREACHABLE,
            _admission_state.CRASHED,
        )
        breaker.record_failure(
            endpoint.circuit, now, endpoint_down=endpoint_down
        )
