"""Decides which tickets of an admission group to grant, refuse or revoke."""

from ibisknot import _admission_state
from ibisknot import _batch_revocation
from ibisknot import _endpoint_choice
from ibisknot import _endpoint_filters
from ibisknot import _fair_queue
from ibisknot import _queue_order
from ibisknot import breaker
from ibisknot import request_limits
from ibisknot import routing
from ibisknot.contention import memory
from ibisknot.contention import ranking
from ibisknot.contention import room
from ibisknot.locality import endpoint_delays
from ibisknot.speeds import choice

IDLE_ONLINE_PEAK = 0.5
"""Decayed peak of online requests below which no endpoint prefers them.

Batch may then use all endpoints.
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
    delays = endpoint_delays.weighed(group, now)
    choose_for_online = (
        choose
        or _endpoint_choice.least_expected_after_revocation(
            group.policy, delays
        )
    )
    choose_for_batch = choose or _endpoint_choice.least_expected(delays)
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
            _batch_revocation.revoke_excess(
                endpoint, now, group.policy, actions
            )
    _queue_order.check_room(group, now)
    while _grant_batch(group, now, choose_for_batch, actions):
        pass
    if group.policy.revokes_batch and group.batch_queue.size:
        shared = _endpoint_filters.shareable(
            _endpoint_filters.usable(group, now)
        )
        _batch_revocation.revoke_late(group, shared, now, actions)
    return actions


def _refuse_unservable(
    group: _admission_state.Group, actions: list[_admission_state.Action]
) -> None:
    """Refuses requests that no endpoint can serve, now or later.

    These need software which no endpoint has any more, or more memory than
    an endpoint has.
    """
    for queue in (group.online_queue, group.batch_queue):
        for request in memory.too_large(
            queue.all_requests(), group.memory_tokens
        ):
            queue.remove(request.id)
            actions.append(
                _admission_state.Refuse(
                    request.id, "it exceeds the memory of an endpoint"
                )
            )
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
        and _endpoint_filters.has_software(e, suspects[0])
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
    for endpoint in group.endpoints.values():
        endpoint.prefers_online = False
    if not (group.policy.revokes_batch and group.policy.consolidates_online):
        return
    ready = [
        e
        for _, e in sorted(group.endpoints.items())
        if not e.reserved
        and not e.has_exclusive()
        and breaker.allows(e.circuit, now)
    ]
    if len(ready) < 2:
        return
    online = sum(
        _admission_state.decayed_online_peak(e, now) for e in ready
    ) + len(group.online_queue.all_requests())
    for endpoint in ready[:-1]:
        if online < IDLE_ONLINE_PEAK:
            return
        endpoint.prefers_online = True
        online -= (
            endpoint.capacity.limit * _endpoint_filters.ONLINE_LIMIT_FRACTION
        )


def _grant_online(
    group: _admission_state.Group,
    now: float,
    choose: _endpoint_choice.ChooseEndpoint,
    actions: list[_admission_state.Action],
) -> bool:
    """Grants one queued online request if possible; returns whether it did."""
    has_cold = _endpoint_filters.has_cold(group)
    order, kept = _keep_memory(
        group,
        _queue_order.online_order(group, now),
        group.online_queue,
        _fair_queue.oldest,
        now,
    )
    for request in order:
        usable = _endpoint_filters.usable(group, now, request)
        if request is not order[0]:
            usable = [e for e in usable if e.name != kept]
        if request.crash_suspect and len(group.endpoints) > 1:
            free = _endpoint_filters.empty(usable)
            if free:
                _grant(group, now, request, choose(free, request), actions)
                return True
            _batch_revocation.revoke_on_reserved(group, actions)
            continue
        shared = _endpoint_filters.shareable(usable)
        warm = _endpoint_filters.warm(shared) if has_cold else shared
        actions_before = len(actions)
        free = _free_for_online(group, warm, now, request, actions)
        has_revoked = len(actions) > actions_before
        if (
            not free
            and has_cold
            and not has_revoked
            and not _will_have_room(group, warm, request)
        ):
            # A cold endpoint is slow: batch yields at a warm one first.
            cold = _endpoint_filters.cold(shared)
            free = _free_for_online(group, cold, now, request, actions)
        if free:
            _grant(group, now, request, choose(free, request), actions)
            return True
    return False


def _free_for_online(
    group: _admission_state.Group,
    endpoints: list[_admission_state.Endpoint],
    now: float,
    request: _fair_queue.QueuedRequest,
    actions: list[_admission_state.Action],
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints to choose from for an online request.

    If none has a free slot, a batch ticket is revoked.
    """
    free = [e for e in endpoints if _batch_revocation.has_free_slot(e)]
    free = _with_memory(group, free, request)
    # Requests that limits allow are kept for the next wave. Those that cannot
    # be kept are used, so that an endpoint can end its limit.
    free = _endpoint_filters.spare(free, now) or free
    free = _endpoint_filters.online_first(free) or free
    speeds = group.speeds
    fast = choice.for_online(speeds, free, now) or choice.for_online(
        speeds, free, now, choice.VERY_SLOW
    )
    if not fast and group.policy.revokes_batch:
        others = choice.for_online(speeds, endpoints, now, choice.VERY_SLOW)
        fast = _revoke_for_online(
            group, others or endpoints, now, request, actions
        )
    return fast or free


def _with_memory(
    group: _admission_state.Group,
    endpoints: list[_admission_state.Endpoint],
    request: _fair_queue.QueuedRequest,
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints whose memory can hold a request."""
    return [
        e
        for e in endpoints
        if memory.fits(e, request.max_tokens, group.memory_tokens)
    ]


def _keep_memory(
    group: _admission_state.Group,
    order: list[_fair_queue.QueuedRequest],
    queue: _fair_queue.FairQueue,
    choose_request: _queue_order.ChooseRequest,
    now: float,
) -> tuple[list[_fair_queue.QueuedRequest], str]:
    """Keeps an endpoint for a request that no memory can hold yet.

    Meanwhile, the next one that fits may run at the others.

    Returns:
        The requests that may be granted next, and the name of the endpoint
        that only the first of them may use; empty if none is kept.
    """
    if group.memory_tokens == memory.UNSTATED or len(order) != 1:
        return order, ""
    first = order[0]
    shared = _endpoint_filters.shareable(
        _endpoint_filters.usable(group, now, first)
    )
    kept = memory.kept_endpoint(shared, first, group.memory_tokens)
    if not kept:
        return order, ""
    others = memory.others_that_fit(
        queue.all_requests(),
        first,
        _endpoint_filters.shareable(
            [e for e in _endpoint_filters.usable(group, now) if e.name != kept]
        ),
        group.memory_tokens,
    )
    return [first, *([choose_request(others)] if others else [])], kept


def _revoke_for_online(
    group: _admission_state.Group,
    endpoints: list[_admission_state.Endpoint],
    now: float,
    request: _fair_queue.QueuedRequest,
    actions: list[_admission_state.Action],
) -> list[_admission_state.Endpoint]:
    """Revokes one batch ticket, unless memory is about to be released.

    Returns:
        The endpoint of that ticket if it can run the request now, else nothing.
    """
    if _will_have_room(group, endpoints, request):
        return []
    tokens = request.max_tokens
    large_enough = [
        e
        for e in endpoints
        if memory.fits_beside_online(e, tokens, group.memory_tokens)
    ]
    candidates = memory.to_make_room_at(
        large_enough, tokens, group.memory_tokens
    )
    freed = _batch_revocation.revoke_one(candidates, now, group.policy, actions)
    return _with_memory(group, freed, request)


def _will_have_room(
    group: _admission_state.Group,
    endpoints: list[_admission_state.Endpoint],
    request: _fair_queue.QueuedRequest,
) -> bool:
    """Returns whether one has room once revoked tickets are released."""
    return any(
        _batch_revocation.has_free_slot(e)
        and memory.will_fit(e, request.max_tokens, group.memory_tokens)
        for e in endpoints
    )


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
    if not _may_grant_batch(group, now):
        return False
    has_cold = _endpoint_filters.has_cold(group)
    choose_request = _queue_order.choose_batch(group, now)
    order, kept = _keep_memory(
        group,
        _queue_order.batch_order(group, now, choose_request),
        group.batch_queue,
        choose_request,
        now,
    )
    for request in _in_time_first(group, order, choose_request, now):
        usable = _endpoint_filters.usable(group, now, request)
        if request is not order[0]:
            usable = [e for e in usable if e.name != kept]
        if request.crash_suspect and len(group.endpoints) > 1:
            free = _endpoint_filters.empty(usable)
            if not free:
                _batch_revocation.revoke_on_reserved(group, actions)
        else:
            free = _with_batch_slot(usable, now, group.policy)
            if has_cold and not _endpoint_filters.warm(usable):
                # Online requests come first where nothing else serves them.
                free = [
                    e
                    for e in free
                    if not request_limits.keeps_for_online(e.bucket)
                ]
            free = _with_memory(group, free, request)
            # A limit counts requests, and a batch item runs for as long as
            # many online requests.
            free = _endpoint_filters.limited(free) or free
            free = choice.for_batch(group.speeds, free, request, now)
        if free:
            _grant(group, now, request, choose(free, request), actions)
            return True
    return False


def _in_time_first(
    group: _admission_state.Group,
    order: list[_fair_queue.QueuedRequest],
    choose_request: _queue_order.ChooseRequest,
    now: float,
) -> list[_fair_queue.QueuedRequest]:
    """Puts another batch request first if the next one would end too late.

    That is one that could be on time at a faster endpoint than those that
    have a slot now.
    """
    if len(order) != 1 or ranking.slack_s(order[0], now) < 0.0:
        return order
    usable = _endpoint_filters.usable(group, now)
    free = _with_batch_slot(usable, now, group.policy)
    is_short = room.is_short(group.batch_room, now)
    if not is_short and not choice.all_slow(group.speeds, free, now):
        return order
    if choice.in_time(group.speeds, free, order[0], now):
        return order

    def can_run(
        endpoint: _admission_state.Endpoint, request: _fair_queue.QueuedRequest
    ) -> bool:
        return _endpoint_filters.has_software(
            endpoint, request
        ) and memory.fits(endpoint, request.max_tokens, group.memory_tokens)

    others = choice.in_time_somewhere(
        group.speeds, free, group.batch_queue.all_requests(), now, can_run
    )
    if not others:
        return order
    return [choose_request(others)]


def _with_batch_slot(
    usable: list[_admission_state.Endpoint],
    now: float,
    policy: _admission_state.Policy,
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints that may have one more batch ticket."""
    return [
        e
        for e in _endpoint_filters.shareable(usable)
        # The first comparison spares the second one at full endpoints.
        if e.batch_count() < e.capacity.limit
        and e.batch_count() < _batch_revocation.batch_limit(e, now, policy)
    ]


def _may_grant_batch(group: _admission_state.Group, now: float) -> bool:
    """Returns whether it is worthwhile to order the batch requests."""
    if not group.batch_queue.size:
        return False
    usable = _endpoint_filters.usable(group, now)
    if _with_batch_slot(usable, now, group.policy):
        return True
    return any(r.crash_suspect for r in group.batch_queue.all_requests())


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
        expected_end_s=now
        + choice.duration_s(
            group.speeds, endpoint.name, request.expected_duration_s, now
        ),
        exclusive=request.crash_suspect and not endpoint.tickets,
    )
    if request.crash_suspect:
        endpoint.reserved = False
    breaker.record_sent(endpoint.circuit)
    request_limits.consume(endpoint.bucket, now)
    routing.record_prompt(endpoint.view, request.prompt_blocks)
    choice.record_grant(group.speeds, request, endpoint.name, now)
    _admission_state.add_ticket(endpoint, now, ticket)
    actions.append(_admission_state.Grant(ticket))
