"""Which batch tickets are revoked for more urgent requests."""

import math

from ibisknot import _admission_state
from ibisknot import urgency
from ibisknot.contention import losses

SHARED_LIMIT_FRACTION = 0.4
"""Fraction of the limit that online and batch use together.

It applies to endpoints that prefer online requests.
"""
DECAY_ROUNDING_SLOTS = 0.2
"""Added to batch's slots before they are rounded down.

A decayed peak never reaches zero; its remainder must not take a slot from
batch for long.
"""


def has_free_slot(endpoint: _admission_state.Endpoint) -> bool:
    """Returns whether a slot is free once revoked tickets are released."""
    return endpoint.unrevoked_count() < int(endpoint.capacity.limit)


def revoke_one(
    endpoints: list[_admission_state.Endpoint],
    now: float,
    policy: _admission_state.Policy,
    actions: list[_admission_state.Action],
) -> list[_admission_state.Endpoint]:
    """Revokes one batch ticket.

    Returns:
        The endpoint of that ticket if it has a free slot now, else nothing.
    """
    with_batch = [e for e in endpoints if e.unrevoked_batch_count()]
    if not with_batch:
        return []
    chosen, ticket = _ticket_to_revoke(with_batch, now, policy)
    _revoke(chosen, ticket, actions)
    return [chosen] if has_free_slot(chosen) else []


def _ticket_to_revoke(
    endpoints: list[_admission_state.Endpoint],
    now: float,
    policy: _admission_state.Policy,
) -> tuple[_admission_state.Endpoint, _admission_state.Ticket]:
    """Returns the batch ticket to revoke at one of several endpoints.

    Without weighing losses, it is a late one, or where most of them run.
    """
    if policy.weighs_losses:
        tickets = [(e, t) for e in endpoints for t in e.unrevoked_batch()]
        return min(tickets, key=lambda pair: losses.key(pair[1], now))
    chosen = max(
        endpoints,
        key=lambda e: (
            urgency.least_urgent(e.unrevoked_batch(), now).is_late,
            e.unrevoked_batch_count(),
            e.name,
        ),
    )
    return chosen, urgency.least_urgent(chosen.unrevoked_batch(), now).ticket


def _revoke(
    endpoint: _admission_state.Endpoint,
    ticket: _admission_state.Ticket,
    actions: list[_admission_state.Action],
) -> None:
    """Marks a ticket as revoked and adds the action for it."""
    _admission_state.revoke_ticket(endpoint, ticket)
    actions.append(_admission_state.Revoke(ticket.id, ticket.holder))


def revoke_on_reserved(
    group: _admission_state.Group, actions: list[_admission_state.Action]
) -> None:
    """Revokes the batch tickets on the reserved endpoint."""
    if not group.policy.revokes_batch:
        return
    for endpoint in group.endpoints.values():
        if endpoint.reserved:
            for ticket in endpoint.unrevoked_batch():
                _revoke(endpoint, ticket, actions)


def batch_limit(
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


def revoke_excess(
    endpoint: _admission_state.Endpoint,
    now: float,
    policy: _admission_state.Policy,
    actions: list[_admission_state.Action],
) -> None:
    """Revokes batch tickets over the limit where online requests run."""
    if not endpoint.online_count() and not endpoint.prefers_online:
        return
    limit = batch_limit(endpoint, now, policy)
    for _ in range(endpoint.unrevoked_batch_count() - limit):
        _, ticket = _ticket_to_revoke([endpoint], now, policy)
        _revoke(endpoint, ticket, actions)


def revoke_late(
    group: _admission_state.Group,
    endpoints: list[_admission_state.Endpoint],
    now: float,
    actions: list[_admission_state.Action],
) -> None:
    """Revokes a late batch ticket for each queued request that can be on time.

    Tickets that are already revoked will free their slots, so each of them
    counts for one such request.

    Args:
        group: The admission group.
        endpoints: Endpoints at which the queued requests could run.
        now: Monotonic time in seconds.
        actions: Revocations are added here.
    """
    with_due_time = [
        r for r in group.batch_queue.all_requests() if r.due_s < math.inf
    ]
    on_time = sum(urgency.can_be_on_time(r, now) for r in with_due_time)
    everywhere = (*group.endpoints.values(), *group.draining.values())
    count = on_time - sum(e.revoked for e in everywhere)
    if count <= 0:
        return
    for endpoint, ticket in _late_tickets(endpoints, now, group.policy)[:count]:
        _revoke(endpoint, ticket, actions)


def _late_tickets(
    endpoints: list[_admission_state.Endpoint],
    now: float,
    policy: _admission_state.Policy,
) -> list[tuple[_admission_state.Endpoint, _admission_state.Ticket]]:
    """Returns the late tickets, those to revoke first at the front."""
    tickets = [(e, t) for e in endpoints for t in e.unrevoked_batch()]
    if not policy.weighs_losses:
        return [pair for pair in tickets if urgency.is_late(pair[1], now)]
    keys = [
        (losses.key(ticket, now), e, ticket)
        for e, ticket in tickets
        if losses.is_late(ticket, now)
    ]
    late = [k for k in keys if k[0][0] == losses.LOSES_NOTHING]
    late.sort(key=lambda k: k[0])
    return [(endpoint, ticket) for _, endpoint, ticket in late]
