"""Grants, refuses and revokes tickets of an admission group."""

from collections.abc import Callable
import math

from ibisknot import _fair
from ibisknot import _group
from ibisknot import breaker
from ibisknot import routing
from ibisknot import urgency

ONLINE_SHARE = 0.5
"""Part of an endpoint's limit up to which online requests gather there.

Online requests that are spread over all endpoints meet a full batch on each
of them; gathered on a few, they leave the other endpoints to batch.
"""
ONLINE_IDLE = 0.5
"""Online requests in flight, decayed, below which batch may use everything."""
BESIDE_SHARE = 0.4
"""Part of the limit that online and batch together use where online gathers."""


ROUNDING = 0.2
"""A decayed level never reaches zero, and must not cost a slot for long."""

Choose = Callable[[list[_group.Endpoint], _fair.Waiting], _group.Endpoint]


def least_expected(
    candidates: list[_group.Endpoint], waiting: _fair.Waiting
) -> _group.Endpoint:
    """Chooses the endpoint with the least expected time to first token."""
    views = [
        routing.Candidate(e.name, e.staying(), e.capacity, e.known)
        for e in candidates
    ]
    chosen = routing.choose(views, waiting.blocks, waiting.words)
    return next(e for e in candidates if e.name == chosen.name)


def least_expected_after_yield(policy: _group.Policy) -> Choose:
    """Returns the choice for online requests, to which batch gives way.

    An endpoint counts the batch sequences that would still run beside one
    more online request, not those that would be revoked for it.
    """

    def choose(
        candidates: list[_group.Endpoint], waiting: _fair.Waiting
    ) -> _group.Endpoint:
        views = [
            routing.Candidate(
                e.name, _after_yield(e, policy), e.capacity, e.known
            )
            for e in candidates
        ]
        chosen = routing.choose(views, waiting.blocks, waiting.words)
        return next(e for e in candidates if e.name == chosen.name)

    return choose


def _after_yield(endpoint: _group.Endpoint, policy: _group.Policy) -> int:
    online = endpoint.online()
    batch = len(endpoint.batch())
    if policy.revokes:
        idle = endpoint.capacity.limit - policy.displaced * (online + 1)
        batch = min(batch, max(0, int(idle - policy.headroom)))
    return online + batch


def pump(
    group: _group.Group, now: float, choose: Choose | None = None
) -> list[_group.Action]:
    """Grants, refuses and revokes until nothing more can be done."""
    online_choice = choose or least_expected_after_yield(group.policy)
    batch_choice = choose or least_expected
    actions: list[_group.Action] = []
    for queue in (group.online, group.batch):
        for waiting in queue.expire(now):
            actions.append(
                _group.Refuse(waiting.id, "no endpoint was free in time")
            )
    _reserve(group)
    _gather(group, now)
    while _grant_online(group, now, online_choice, actions):
        pass
    if group.policy.revokes:
        for endpoint in group.endpoints.values():
            _yield_batch(endpoint, now, group.policy, actions)
    while _grant_batch(group, now, batch_choice, actions):
        pass
    if group.policy.revokes:
        _yield_late(group, now, actions)
    return actions


def _usable(
    group: _group.Group, now: float, waiting: _fair.Waiting | None = None
) -> list[_group.Endpoint]:
    found = [
        e for e in group.endpoints.values() if breaker.allows(e.circuit, now)
    ]
    if waiting is None:
        return found
    others = [e for e in found if e.name not in waiting.avoid]
    return others or found


def _reserve(group: _group.Group) -> None:
    """Reserves one endpoint while a suspect waits and there is a choice."""
    suspects = [w for w in group.online.all() if w.suspect]
    suspects += [w for w in group.batch.all() if w.suspect]
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
        if e.name not in suspects[0].avoid and not e.has_alone()
    ]
    if len(choices) > 1:
        chosen = min(choices, key=lambda e: (e.online(), len(e.held), e.name))
        chosen.reserved = True


def _gather(group: _group.Group, now: float) -> None:
    """Marks the endpoints that online requests are sent to first."""
    ready = [
        e
        for _, e in sorted(group.endpoints.items())
        if not e.reserved
        and not e.has_alone()
        and breaker.allows(e.circuit, now)
    ]
    for endpoint in group.endpoints.values():
        endpoint.gathers = False
    if len(ready) < 2 or not (group.policy.revokes and group.policy.gathers):
        return
    level = sum(_group.level(e, now) for e in ready) + len(group.online.all())
    for endpoint in ready[:-1]:
        if level < ONLINE_IDLE:
            return
        endpoint.gathers = True
        level -= endpoint.capacity.limit * ONLINE_SHARE


def _gathering(endpoints: list[_group.Endpoint]) -> list[_group.Endpoint]:
    """Returns the endpoints that take online requests first."""
    return [
        e
        for e in endpoints
        if e.gathers and e.online() < e.capacity.limit * ONLINE_SHARE
    ]


def _alone_choice(endpoints: list[_group.Endpoint]) -> list[_group.Endpoint]:
    """Returns where a suspect may run; only an empty endpoint will do."""
    return [e for e in endpoints if not e.held]


def _shared(endpoints: list[_group.Endpoint]) -> list[_group.Endpoint]:
    return [e for e in endpoints if not e.reserved and not e.has_alone()]


def _room(endpoint: _group.Endpoint) -> bool:
    return endpoint.staying() < int(endpoint.capacity.limit)


def _grant_online(
    group: _group.Group,
    now: float,
    choose: Choose,
    actions: list[_group.Action],
) -> bool:
    """Grants one waiting online request if one can be granted."""
    for waiting in _online_order(group, now):
        usable = _usable(group, now, waiting)
        if waiting.suspect and len(group.endpoints) > 1:
            free = _alone_choice(usable)
            if free:
                _grant(group, now, waiting, choose(free, waiting), actions)
                return True
            _empty_reserved(group, actions)
            continue
        shared = _shared(usable)
        free = [e for e in shared if _room(e)]
        free = _gathering(free) or free
        if not free and group.policy.revokes:
            free = _make_room(shared, now, actions)
        if free:
            _grant(group, now, waiting, choose(free, waiting), actions)
            return True
    return False


def _online_order(group: _group.Group, now: float) -> list[_fair.Waiting]:
    if not group.policy.by_arrival:
        return _in_order(group.online, now)
    oldest = group.online.oldest()
    if oldest is None or not oldest.suspect:
        return [] if oldest is None else [oldest]
    return _in_order(group.online, now)


def _batch_order(group: _group.Group, now: float) -> list[_fair.Waiting]:
    """Returns the next batch request, those that can be on time first."""
    order = _in_order(group.batch, now)
    if not order or order[0].suspect or order[0].due_s == math.inf:
        return order
    return [urgency.first(group.batch.all(), now)]


def _in_order(queue: _fair.Fair, now: float) -> list[_fair.Waiting]:
    """Returns the next request, and those that a suspect must not hold up."""
    first = queue.first(now)
    if first is None:
        return []
    if not first.suspect:
        return [first]
    others = [w for w in queue.all() if not w.suspect]
    others.sort(
        key=lambda w: (queue.given(w.organisation, now), w.arrived_s, w.id)
    )
    return [first, *others[:1]]


def _make_room(
    endpoints: list[_group.Endpoint],
    now: float,
    actions: list[_group.Action],
) -> list[_group.Endpoint]:
    """Revokes one batch ticket: a late one, or where most of them run."""
    with_batch = [e for e in endpoints if e.batch()]
    if not with_batch:
        return []
    chosen = max(
        with_batch,
        key=lambda e: (
            urgency.least_urgent(e.batch(), now).is_late,
            len(e.batch()),
            e.name,
        ),
    )
    _revoke(urgency.least_urgent(chosen.batch(), now).held, actions)
    return [chosen] if _room(chosen) else []


def _revoke(held: _group.Held, actions: list[_group.Action]) -> None:
    held.revoked = True
    actions.append(_group.Revoke(held.id, held.holder))


def _empty_reserved(group: _group.Group, actions: list[_group.Action]) -> None:
    if not group.policy.revokes:
        return
    for endpoint in group.endpoints.values():
        if endpoint.reserved:
            for held in endpoint.batch():
                _revoke(held, actions)


def _allowed_batch(
    endpoint: _group.Endpoint, now: float, policy: _group.Policy
) -> int:
    online = _group.level(endpoint, now)
    if endpoint.gathers:
        beside = endpoint.capacity.limit * BESIDE_SHARE - online
        return max(0, math.floor(beside * policy.batch_weight))
    idle = endpoint.capacity.limit - policy.displaced * online - policy.headroom
    return max(0, math.floor(idle * policy.batch_weight + ROUNDING))


def _yield_batch(
    endpoint: _group.Endpoint,
    now: float,
    policy: _group.Policy,
    actions: list[_group.Action],
) -> None:
    """Revokes the batch tickets that online requests would suffer from."""
    if not endpoint.online() and not endpoint.gathers:
        return
    allowed = _allowed_batch(endpoint, now, policy)
    for _ in range(len(endpoint.batch()) - allowed):
        _revoke(urgency.least_urgent(endpoint.batch(), now).held, actions)


def _yield_late(
    group: _group.Group, now: float, actions: list[_group.Action]
) -> None:
    """Revokes a late batch ticket for a request that can be on time."""
    waiting = [w for w in group.batch.all() if w.due_s < math.inf]
    count = sum(urgency.can_be_on_time(w, now) for w in waiting)
    late = [
        held
        for endpoint in _shared(_usable(group, now))
        for held in endpoint.batch()
        if urgency.is_late(held, now)
    ]
    leaving = sum(t.revoked for t in _group.all_held(group))
    for held in late[: max(0, count - leaving)]:
        _revoke(held, actions)


def _grant_batch(
    group: _group.Group,
    now: float,
    choose: Choose,
    actions: list[_group.Action],
) -> bool:
    """Grants one waiting batch request unless online requests wait."""
    if any(not w.suspect for w in group.online.all()):
        return False
    for waiting in _batch_order(group, now):
        usable = _usable(group, now, waiting)
        if waiting.suspect and len(group.endpoints) > 1:
            free = _alone_choice(usable)
            if not free:
                _empty_reserved(group, actions)
        else:
            free = [
                e
                for e in _shared(usable)
                if _batch_total(e) < _allowed_batch(e, now, group.policy)
            ]
        if free:
            _grant(group, now, waiting, choose(free, waiting), actions)
            return True
    return False


def _batch_total(endpoint: _group.Endpoint) -> int:
    """Returns the batch tickets, those being cancelled included."""
    return sum(t.kind == _group.BATCH for t in endpoint.held.values())


def _grant(
    group: _group.Group,
    now: float,
    waiting: _fair.Waiting,
    endpoint: _group.Endpoint,
    actions: list[_group.Action],
) -> None:
    _group.queue_of(group, waiting.kind).take(waiting, now)
    held = _group.Held(
        id=waiting.id,
        kind=waiting.kind,
        organisation=waiting.organisation,
        holder=waiting.holder,
        endpoint=endpoint.name,
        granted_s=now,
        tokens=waiting.tokens,
        words=waiting.words,
        beside=len(endpoint.held),
        suspect=waiting.suspect,
        due_s=waiting.due_s,
        ends_s=now + waiting.needs_s,
        alone=waiting.suspect and not endpoint.held,
    )
    if waiting.suspect:
        endpoint.reserved = False
    breaker.sent(endpoint.circuit)
    routing.sent(endpoint.known, waiting.blocks)
    _group.put(endpoint, now, held)
    actions.append(_group.Grant(held))
