"""Decides which tickets of an admission group to grant, refuse or revoke."""

import math

from ibisknot import _admission_state
from ibisknot import _endpoint_choice
from ibisknot import _fair_queue
from ibisknot import _queue_order
from ibisknot import breaker
from ibisknot import request_limits
from ibisknot import routing
from ibisknot import urgency

ONLINE_LIMIT_FRACTION = 0.5
"""Fraction of an endpoint's limit up to which online is consolidated there.

Online requests that are spread over all endpoints share each of them with a
full batch. Consolidated on a few, they leave the other endpoints to batch.
"""
IDLE_ONLINE_PEAK = 0.5
"""Decayed peak of online requests below which no endpoint prefers them.

Batch may then use all endpoints.
"""
SHARED_LIMIT_FRACTION = 0.4
"""Fraction of the limit that online and batch use together.

It applies to endpoints that prefer online requests.
"""
DECAY_ROUNDING_SLOTS = 0.2
"""Added to batch's slots before they are rounded down.

A decayed peak never reaches zero; its remainder must not take a slot from
batch for long.
"""


def decide(
    group: _admission_state.Group,
    now: float,
    choose: _endpoint_choice.ChooseEndpoint | None = None,
) -> list[_admission_state.Action]:
    """Grants, refuses and revokes tickets until nothing more can be done.

    Called after each event that changes the group.

    Args:
        group: Updated in place.
        now: Monotonic time in seconds.
        choose: Replaces the choice of endpoints; for tests.

    Returns:
        The actions to carry out.
    """
    choose_for_online = (
        choose or _endpoint_choice.least_expected_after_revocation(group.policy)
    )
    choose_for_batch = choose or _endpoint_choice.least_expected_first_token
    actions: list[_admission_state.Action] = []
    for queue in (group.online_queue, group.batch_queue):
        for request in queue.expire(now):
            actions.append(
                _admission_state.Refuse(
                    request.id, "no endpoint was free in time"
                )
            )
    group.online_queue.move_late_back(now)
    _refuse_unservable(group, actions)
    _reserve_for_crash_suspect(group)
    _consolidate_online(group, now)
    while _grant_online(group, now, choose_for_online, actions):
        pass
    if group.policy.revokes_batch:
        for endpoint in group.endpoints.values():
            _revoke_excess_batch(endpoint, now, group.policy, actions)
    while _grant_batch(group, now, choose_for_batch, actions):
        pass
    if group.policy.revokes_batch:
        _revoke_late_batch(group, now, actions)
    return actions


def _refuse_unservable(
    group: _admission_state.Group, actions: list[_admission_state.Action]
) -> None:
    """Refuses requests that need software which no endpoint has any more."""
    for queue in (group.online_queue, group.batch_queue):
        bound = [
            r for r in queue.all_requests() if r.software_version is not None
        ]
        if not bound:
            continue
        versions = {e.software_version for e in group.endpoints.values()}
        for request in bound:
            if request.software_version not in versions:
                queue.remove(request.id)
                actions.append(
                    _admission_state.Refuse(
                        request.id,
                        "no endpoint has the software",
                        is_software_gone=True,
                    )
                )


def _has_software(
    endpoint: _admission_state.Endpoint, request: _fair_queue.QueuedRequest
) -> bool:
    """Returns whether an endpoint has the software that a request needs."""
    return request.software_version in (None, endpoint.software_version)


def _usable_endpoints(
    group: _admission_state.Group,
    now: float,
    request: _fair_queue.QueuedRequest | None = None,
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints whose breaker and limit allow a request.

    Those without the software that it needs are left out, and those that it
    avoids if there are others.
    """
    allowed = [
        e
        for e in group.endpoints.values()
        if (request is None or _has_software(e, request))
        and breaker.allows(e.circuit, now)
        and request_limits.allows(e.bucket, now)
    ]
    if request is None:
        return allowed
    others = [e for e in allowed if e.name not in request.avoid]
    return others or allowed


def _reserve_for_crash_suspect(group: _admission_state.Group) -> None:
    """Reserves one of several endpoints while a crash suspect is queued."""
    suspects = [r for r in group.online_queue.all_requests() if r.crash_suspect]
    suspects += [r for r in group.batch_queue.all_requests() if r.crash_suspect]
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
        if e.name not in suspects[0].avoid
        and _has_software(e, suspects[0])
        and not e.has_exclusive()
    ]
    if choices:
        chosen = min(
            choices, key=lambda e: (e.online_count(), len(e.tickets), e.name)
        )
        chosen.reserved = True


def _consolidate_online(group: _admission_state.Group, now: float) -> None:
    """Marks the endpoints that online requests are sent to first.

    At least one endpoint is left to batch.
    """
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
    online = sum(
        _admission_state.decayed_online_peak(e, now) for e in ready
    ) + len(group.online_queue.all_requests())
    for endpoint in ready[:-1]:
        if online < IDLE_ONLINE_PEAK:
            return
        endpoint.prefers_online = True
        online -= endpoint.capacity.limit * ONLINE_LIMIT_FRACTION


def _online_first_endpoints(
    endpoints: list[_admission_state.Endpoint],
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints that prefer online and can take more of it."""
    return [
        e
        for e in endpoints
        if e.prefers_online
        and e.online_count() < e.capacity.limit * ONLINE_LIMIT_FRACTION
    ]


def _empty_endpoints(
    endpoints: list[_admission_state.Endpoint],
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints without tickets; crash suspects need one."""
    return [e for e in endpoints if not e.tickets]


def _shareable_endpoints(
    endpoints: list[_admission_state.Endpoint],
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints where requests may run beside others."""
    return [e for e in endpoints if not e.reserved and not e.has_exclusive()]


def _spare_endpoints(
    endpoints: list[_admission_state.Endpoint], now: float
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints at which a request costs no later one."""
    return [e for e in endpoints if request_limits.is_spare(e.bucket, now)]


def _has_cold(group: _admission_state.Group) -> bool:
    """Returns whether an endpoint is cold."""
    return any(
        request_limits.is_cold(e.bucket) for e in group.endpoints.values()
    )


def _warm_endpoints(
    endpoints: list[_admission_state.Endpoint],
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints that are not cold."""
    return [e for e in endpoints if not request_limits.is_cold(e.bucket)]


def _cold_endpoints(
    endpoints: list[_admission_state.Endpoint],
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints that are cold."""
    return [e for e in endpoints if request_limits.is_cold(e.bucket)]


def _limited_endpoints(
    endpoints: list[_admission_state.Endpoint],
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints that name a limit on requests."""
    return [e for e in endpoints if e.bucket is not None]


def _has_free_slot(endpoint: _admission_state.Endpoint) -> bool:
    return endpoint.unrevoked_count() < int(endpoint.capacity.limit)


def _grant_online(
    group: _admission_state.Group,
    now: float,
    choose: _endpoint_choice.ChooseEndpoint,
    actions: list[_admission_state.Action],
) -> bool:
    """Grants one queued online request if possible; returns whether it did."""
    has_cold = _has_cold(group)
    for request in _queue_order.online_order(group, now):
        usable = _usable_endpoints(group, now, request)
        if request.crash_suspect and len(group.endpoints) > 1:
            free = _empty_endpoints(usable)
            if free:
                _grant(group, now, request, choose(free, request), actions)
                return True
            _revoke_on_reserved(group, actions)
            continue
        shared = _shareable_endpoints(usable)
        warm = _warm_endpoints(shared) if has_cold else shared
        free = _free_for_online(group, warm, now, actions)
        if not free and has_cold:
            # A cold endpoint is slow: batch yields at a warm one first.
            cold = _cold_endpoints(shared)
            free = _free_for_online(group, cold, now, actions)
        if free:
            _grant(group, now, request, choose(free, request), actions)
            return True
    return False


def _free_for_online(
    group: _admission_state.Group,
    endpoints: list[_admission_state.Endpoint],
    now: float,
    actions: list[_admission_state.Action],
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints to choose from for an online request.

    If none has a free slot, a batch ticket is revoked.
    """
    free = [e for e in endpoints if _has_free_slot(e)]
    # Requests that limits allow are kept for the next wave. Those that cannot
    # be kept are used, so that an endpoint can end its limit.
    free = _spare_endpoints(free, now) or free
    free = _online_first_endpoints(free) or free
    if not free and group.policy.revokes_batch:
        free = _revoke_one_batch(endpoints, now, actions)
    return free


def _revoke_one_batch(
    endpoints: list[_admission_state.Endpoint],
    now: float,
    actions: list[_admission_state.Action],
) -> list[_admission_state.Endpoint]:
    """Revokes one batch ticket: a late one, or where most of them run.

    Returns:
        The endpoint of that ticket if it has a free slot now, else nothing.
    """
    with_batch = [e for e in endpoints if e.unrevoked_batch_count()]
    if not with_batch:
        return []
    chosen = max(
        with_batch,
        key=lambda e: (
            urgency.least_urgent(e.unrevoked_batch(), now).is_late,
            e.unrevoked_batch_count(),
            e.name,
        ),
    )
    ticket = urgency.least_urgent(chosen.unrevoked_batch(), now).ticket
    _revoke(chosen, ticket, actions)
    return [chosen] if _has_free_slot(chosen) else []


def _revoke(
    endpoint: _admission_state.Endpoint,
    ticket: _admission_state.Ticket,
    actions: list[_admission_state.Action],
) -> None:
    """Marks a ticket as revoked and adds the action for it."""
    _admission_state.revoke_ticket(endpoint, ticket)
    actions.append(_admission_state.Revoke(ticket.id, ticket.holder))


def _revoke_on_reserved(
    group: _admission_state.Group, actions: list[_admission_state.Action]
) -> None:
    """Revokes the batch tickets on the reserved endpoint."""
    if not group.policy.revokes_batch:
        return
    for endpoint in group.endpoints.values():
        if endpoint.reserved:
            for ticket in endpoint.unrevoked_batch():
                _revoke(endpoint, ticket, actions)


def _batch_limit(
    endpoint: _admission_state.Endpoint,
    now: float,
    policy: _admission_state.Policy,
) -> int:
    """Returns how many batch tickets an endpoint may have."""
    online = _admission_state.decayed_online_peak(endpoint, now)
    if endpoint.prefers_online:
        shared_slots = endpoint.capacity.limit * SHARED_LIMIT_FRACTION - online
        return max(0, math.floor(shared_slots * policy.batch_weight))
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
    """Revokes batch tickets over the limit where online requests run."""
    if not endpoint.online_count() and not endpoint.prefers_online:
        return
    limit = _batch_limit(endpoint, now, policy)
    for _ in range(endpoint.unrevoked_batch_count() - limit):
        _revoke(
            endpoint,
            urgency.least_urgent(endpoint.unrevoked_batch(), now).ticket,
            actions,
        )


def _revoke_late_batch(
    group: _admission_state.Group,
    now: float,
    actions: list[_admission_state.Action],
) -> None:
    """Revokes a late batch ticket for each queued request that can be on time.

    Tickets that are already revoked will free their slots, so each of them
    counts for one such request.
    """
    if not group.batch_queue.size:
        return
    with_due_time = [
        r for r in group.batch_queue.all_requests() if r.due_s < math.inf
    ]
    on_time = sum(urgency.can_be_on_time(r, now) for r in with_due_time)
    late = [
        (endpoint, ticket)
        for endpoint in _shareable_endpoints(_usable_endpoints(group, now))
        for ticket in endpoint.unrevoked_batch()
        if urgency.is_late(ticket, now)
    ]
    endpoints = (*group.endpoints.values(), *group.draining.values())
    revoked = sum(e.revoked for e in endpoints)
    for endpoint, ticket in late[: max(0, on_time - revoked)]:
        _revoke(endpoint, ticket, actions)


def _grant_batch(
    group: _admission_state.Group,
    now: float,
    choose: _endpoint_choice.ChooseEndpoint,
    actions: list[_admission_state.Action],
) -> bool:
    """Grants one queued batch request if possible; returns whether it did.

    None is granted while online requests are queued, crash suspects aside.
    """
    if any(not r.crash_suspect for r in group.online_queue.all_requests()):
        return False
    has_cold = _has_cold(group)
    for request in _queue_order.batch_order(group, now):
        usable = _usable_endpoints(group, now, request)
        if request.crash_suspect and len(group.endpoints) > 1:
            free = _empty_endpoints(usable)
            if not free:
                _revoke_on_reserved(group, actions)
        else:
            free = [
                e
                for e in _shareable_endpoints(usable)
                if e.batch_count() < _batch_limit(e, now, group.policy)
            ]
            if has_cold and not _warm_endpoints(usable):
                # Online requests come first where nothing else serves them.
                free = [
                    e
                    for e in free
                    if not request_limits.keeps_for_online(e.bucket)
                ]
            # A limit counts requests, and a batch item runs for as long as
            # many online requests.
            free = _limited_endpoints(free) or free
        if free:
            _grant(group, now, request, choose(free, request), actions)
            return True
    return False


def _grant(
    group: _admission_state.Group,
    now: float,
    request: _fair_queue.QueuedRequest,
    endpoint: _admission_state.Endpoint,
    actions: list[_admission_state.Action],
) -> None:
    """Moves a request from its queue to a ticket on an endpoint."""
    _admission_state.queue_of(group, request.kind).remove_granted(request, now)
    ticket = _admission_state.Ticket(
        id=request.id,
        kind=request.kind,
        organisation=request.organisation,
        holder=request.holder,
        endpoint=endpoint.name,
        granted_s=now,
        max_tokens=request.max_tokens,
        prompt_words=request.prompt_words,
        running_at_grant=len(endpoint.tickets),
        crash_suspect=request.crash_suspect,
        due_s=request.due_s,
        expected_end_s=now + request.expected_duration_s,
        exclusive=request.crash_suspect and not endpoint.tickets,
    )
    if request.crash_suspect:
        endpoint.reserved = False
    breaker.record_sent(endpoint.circuit)
    request_limits.consume(endpoint.bucket, now)
    routing.record_prompt(endpoint.view, request.prompt_blocks)
    _admission_state.add_ticket(endpoint, now, ticket)
    actions.append(_admission_state.Grant(ticket))
