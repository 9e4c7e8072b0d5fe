"""Grants, refuses and revokes tickets of an admission group."""

from collections.abc import Callable
import math

from ibisknot import _admission_state
from ibisknot import _fair_queue
from ibisknot import breaker
from ibisknot import routing
from ibisknot import urgency

ONLINE_LIMIT_FRACTION = 0.5
"""Part of an endpoint's limit up to which online requests gather there.

Online requests that are spread over all endpoints meet a full batch on each
of them; gathered on a few, they leave the other endpoints to batch.
"""
IDLE_ONLINE_PEAK = 0.5
"""Online requests in flight, decayed, below which batch may use everything."""
SHARED_LIMIT_FRACTION = 0.4
"""Part of the limit that online and batch together use where online gathers."""


DECAY_ROUNDING_SLOTS = 0.2
"""A decayed level never reaches zero, and must not cost a slot for long."""

ChooseEndpoint = Callable[
    [list[_admission_state.Endpoint], _fair_queue.QueuedRequest],
    _admission_state.Endpoint,
]


def least_expected_first_token(
    candidates: list[_admission_state.Endpoint],
    waiting: _fair_queue.QueuedRequest,
) -> _admission_state.Endpoint:
    """Chooses the endpoint with the least expected time to first token."""
    views = [
        routing.Candidate(e.name, e.unrevoked_count(), e.capacity, e.view)
        for e in candidates
    ]
    chosen = routing.choose(views, waiting.prompt_blocks, waiting.prompt_words)
    return next(e for e in candidates if e.name == chosen.name)


def least_expected_after_revocation(
    policy: _admission_state.Policy,
) -> ChooseEndpoint:
    """Returns the choice for online requests, to which batch gives way.

    An endpoint counts the batch sequences that would still run beside one
    more online request, not those that would be revoked for it.
    """

    def choose(
        candidates: list[_admission_state.Endpoint],
        waiting: _fair_queue.QueuedRequest,
    ) -> _admission_state.Endpoint:
        views = [
            routing.Candidate(
                e.name, _running_after_revocation(e, policy), e.capacity, e.view
            )
            for e in candidates
        ]
        chosen = routing.choose(
            views, waiting.prompt_blocks, waiting.prompt_words
        )
        return next(e for e in candidates if e.name == chosen.name)

    return choose


def _running_after_revocation(
    endpoint: _admission_state.Endpoint, policy: _admission_state.Policy
) -> int:
    online = endpoint.online_count()
    batch = len(endpoint.unrevoked_batch())
    if policy.revokes_batch:
        idle = endpoint.capacity.limit - policy.displaced_per_online * (
            online + 1
        )
        batch = min(batch, max(0, int(idle - policy.headroom_slots)))
    return online + batch


def decide(
    group: _admission_state.Group,
    now: float,
    choose: ChooseEndpoint | None = None,
) -> list[_admission_state.Action]:
    """Grants, refuses and revokes until nothing more can be done."""
    online_choice = choose or least_expected_after_revocation(group.policy)
    batch_choice = choose or least_expected_first_token
    actions: list[_admission_state.Action] = []
    for queue in (group.online_queue, group.batch_queue):
        for waiting in queue.expire(now):
            actions.append(
                _admission_state.Refuse(
                    waiting.id, "no endpoint was free in time"
                )
            )
    _reserve_for_crash_suspect(group)
    _consolidate_online(group, now)
    while _grant_online(group, now, online_choice, actions):
        pass
    if group.policy.revokes_batch:
        for endpoint in group.endpoints.values():
            _revoke_excess_batch(endpoint, now, group.policy, actions)
    while _grant_batch(group, now, batch_choice, actions):
        pass
    if group.policy.revokes_batch:
        _revoke_late_batch(group, now, actions)
    return actions


def _usable_endpoints(
    group: _admission_state.Group,
    now: float,
    waiting: _fair_queue.QueuedRequest | None = None,
) -> list[_admission_state.Endpoint]:
    found = [
        e for e in group.endpoints.values() if breaker.allows(e.circuit, now)
    ]
    if waiting is None:
        return found
    others = [e for e in found if e.name not in waiting.avoid]
    return others or found


def _reserve_for_crash_suspect(group: _admission_state.Group) -> None:
    """Reserves one endpoint while a suspect waits and there is a choice."""
    suspects = [w for w in group.online_queue.all_requests() if w.crash_suspect]
    suspects += [w for w in group.batch_queue.all_requests() if w.crash_suspect]
    for endpoint in group.endpoints.values():
        if endpoint.reserved and not suspects:
            endpoint.reserved = False
    if not suspects or len(group.endpoints) < 2:
        return
    if any(e.reserved for e in group.endpoints.values()):
        return
    choices = [
        e
        for e in group.endpoints.values()
        if e.name not in suspects[0].avoid and not e.has_exclusive()
    ]
    if len(choices) > 1:
        chosen = min(
            choices, key=lambda e: (e.online_count(), len(e.tickets), e.name)
        )
        chosen.reserved = True


def _consolidate_online(group: _admission_state.Group, now: float) -> None:
    """Marks the endpoints that online requests are sent to first."""
    ready = [
        e
        for _, e in sorted(group.endpoints.items())
        if not e.reserved
        and not e.has_exclusive()
        and breaker.allows(e.circuit, now)
    ]
    for endpoint in group.endpoints.values():
        endpoint.prefers_online = False
    if len(ready) < 2 or not (
        group.policy.revokes_batch and group.policy.consolidates_online
    ):
        return
    level = sum(
        _admission_state.decayed_online_peak(e, now) for e in ready
    ) + len(group.online_queue.all_requests())
    for endpoint in ready[:-1]:
        if level < IDLE_ONLINE_PEAK:
            return
        endpoint.prefers_online = True
        level -= endpoint.capacity.limit * ONLINE_LIMIT_FRACTION


def _online_first_endpoints(
    endpoints: list[_admission_state.Endpoint],
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints that take online requests first."""
    return [
        e
        for e in endpoints
        if e.prefers_online
        and e.online_count() < e.capacity.limit * ONLINE_LIMIT_FRACTION
    ]


def _empty_endpoints(
    endpoints: list[_admission_state.Endpoint],
) -> list[_admission_state.Endpoint]:
    """Returns where a suspect may run; only an empty endpoint will do."""
    return [e for e in endpoints if not e.tickets]


def _shareable_endpoints(
    endpoints: list[_admission_state.Endpoint],
) -> list[_admission_state.Endpoint]:
    return [e for e in endpoints if not e.reserved and not e.has_exclusive()]


def _has_free_slot(endpoint: _admission_state.Endpoint) -> bool:
    return endpoint.unrevoked_count() < int(endpoint.capacity.limit)


def _grant_online(
    group: _admission_state.Group,
    now: float,
    choose: ChooseEndpoint,
    actions: list[_admission_state.Action],
) -> bool:
    """Grants one waiting online request if one can be granted."""
    for waiting in _online_order(group, now):
        usable = _usable_endpoints(group, now, waiting)
        if waiting.crash_suspect and len(group.endpoints) > 1:
            free = _empty_endpoints(usable)
            if free:
                _grant(group, now, waiting, choose(free, waiting), actions)
                return True
            _revoke_on_reserved(group, actions)
            continue
        shared = _shareable_endpoints(usable)
        free = [e for e in shared if _has_free_slot(e)]
        free = _online_first_endpoints(free) or free
        if not free and group.policy.revokes_batch:
            free = _revoke_one_batch(shared, now, actions)
        if free:
            _grant(group, now, waiting, choose(free, waiting), actions)
            return True
    return False


def _online_order(
    group: _admission_state.Group, now: float
) -> list[_fair_queue.QueuedRequest]:
    if not group.policy.in_arrival_order:
        return _fair_order(group.online_queue, now)
    oldest = group.online_queue.oldest()
    if oldest is None or not oldest.crash_suspect:
        return [] if oldest is None else [oldest]
    return _fair_order(group.online_queue, now)


def _batch_order(
    group: _admission_state.Group, now: float
) -> list[_fair_queue.QueuedRequest]:
    """Returns the next batch request, those that can be on time first."""
    order = _fair_order(group.batch_queue, now)
    if not order or order[0].crash_suspect or order[0].due_s == math.inf:
        return order
    return [urgency.first(group.batch_queue.all_requests(), now)]


def _fair_order(
    queue: _fair_queue.FairQueue, now: float
) -> list[_fair_queue.QueuedRequest]:
    """Returns the next request, and those that a suspect must not hold up."""
    first = queue.next_request(now)
    if first is None:
        return []
    if not first.crash_suspect:
        return [first]
    others = [w for w in queue.all_requests() if not w.crash_suspect]
    others.sort(
        key=lambda w: (
            queue.service_received(w.organisation, now),
            w.arrived_s,
            w.id,
        )
    )
    return [first, *others[:1]]


def _revoke_one_batch(
    endpoints: list[_admission_state.Endpoint],
    now: float,
    actions: list[_admission_state.Action],
) -> list[_admission_state.Endpoint]:
    """Revokes one batch ticket: a late one, or where most of them run."""
    with_batch = [e for e in endpoints if e.unrevoked_batch()]
    if not with_batch:
        return []
    chosen = max(
        with_batch,
        key=lambda e: (
            urgency.least_urgent(e.unrevoked_batch(), now).is_late,
            len(e.unrevoked_batch()),
            e.name,
        ),
    )
    _revoke(urgency.least_urgent(chosen.unrevoked_batch(), now).held, actions)
    return [chosen] if _has_free_slot(chosen) else []


def _revoke(
    held: _admission_state.Ticket, actions: list[_admission_state.Action]
) -> None:
    held.revoked = True
    actions.append(_admission_state.Revoke(held.id, held.holder))


def _revoke_on_reserved(
    group: _admission_state.Group, actions: list[_admission_state.Action]
) -> None:
    if not group.policy.revokes_batch:
        return
    for endpoint in group.endpoints.values():
        if endpoint.reserved:
            for held in endpoint.unrevoked_batch():
                _revoke(held, actions)


def _batch_limit(
    endpoint: _admission_state.Endpoint,
    now: float,
    policy: _admission_state.Policy,
) -> int:
    online = _admission_state.decayed_online_peak(endpoint, now)
    if endpoint.prefers_online:
        beside = endpoint.capacity.limit * SHARED_LIMIT_FRACTION - online
        return max(0, math.floor(beside * policy.batch_weight))
    idle = (
        endpoint.capacity.limit
        - policy.displaced_per_online * online
        - policy.headroom_slots
    )
    return max(0, math.floor(idle * policy.batch_weight + DECAY_ROUNDING_SLOTS))


def _revoke_excess_batch(
    endpoint: _admission_state.Endpoint,
    now: float,
    policy: _admission_state.Policy,
    actions: list[_admission_state.Action],
) -> None:
    """Revokes the batch tickets that online requests would suffer from."""
    if not endpoint.online_count() and not endpoint.prefers_online:
        return
    allowed = _batch_limit(endpoint, now, policy)
    for _ in range(len(endpoint.unrevoked_batch()) - allowed):
        _revoke(
            urgency.least_urgent(endpoint.unrevoked_batch(), now).held, actions
        )


def _revoke_late_batch(
    group: _admission_state.Group,
    now: float,
    actions: list[_admission_state.Action],
) -> None:
    """Revokes a late batch ticket for a request that can be on time."""
    waiting = [
        w for w in group.batch_queue.all_requests() if w.due_s < math.inf
    ]
    count = sum(urgency.can_be_on_time(w, now) for w in waiting)
    late = [
        held
        for endpoint in _shareable_endpoints(_usable_endpoints(group, now))
        for held in endpoint.unrevoked_batch()
        if urgency.is_late(held, now)
    ]
    leaving = sum(t.revoked for t in _admission_state.all_tickets(group))
    for held in late[: max(0, count - leaving)]:
        _revoke(held, actions)


def _grant_batch(
    group: _admission_state.Group,
    now: float,
    choose: ChooseEndpoint,
    actions: list[_admission_state.Action],
) -> bool:
    """Grants one waiting batch request unless online requests wait."""
    if any(not w.crash_suspect for w in group.online_queue.all_requests()):
        return False
    for waiting in _batch_order(group, now):
        usable = _usable_endpoints(group, now, waiting)
        if waiting.crash_suspect and len(group.endpoints) > 1:
            free = _empty_endpoints(usable)
            if not free:
                _revoke_on_reserved(group, actions)
        else:
            free = [
                e
                for e in _shareable_endpoints(usable)
                if _batch_count(e) < _batch_limit(e, now, group.policy)
            ]
        if free:
            _grant(group, now, waiting, choose(free, waiting), actions)
            return True
    return False


def _batch_count(endpoint: _admission_state.Endpoint) -> int:
    """Returns the batch tickets, those being cancelled included."""
    return sum(
        t.kind == _admission_state.BATCH for t in endpoint.tickets.values()
    )


def _grant(
    group: _admission_state.Group,
    now: float,
    waiting: _fair_queue.QueuedRequest,
    endpoint: _admission_state.Endpoint,
    actions: list[_admission_state.Action],
) -> None:
    _admission_state.queue_of(group, waiting.kind).remove_granted(waiting, now)
    held = _admission_state.Ticket(
        id=waiting.id,
        kind=waiting.kind,
        organisation=waiting.organisation,
        holder=waiting.holder,
        endpoint=endpoint.name,
        granted_s=now,
        max_tokens=waiting.max_tokens,
        prompt_words=waiting.prompt_words,
        running_at_grant=len(endpoint.tickets),
        crash_suspect=waiting.crash_suspect,
        due_s=waiting.due_s,
        expected_end_s=now + waiting.expected_duration_s,
        exclusive=waiting.crash_suspect and not endpoint.tickets,
    )
    if waiting.crash_suspect:
        endpoint.reserved = False
    breaker.record_sent(endpoint.circuit)
    routing.record_prompt(endpoint.view, waiting.prompt_blocks)
    _admission_state.add_ticket(endpoint, now, held)
    actions.append(_admission_state.Grant(held))
