"""Which queued requests may be granted next, in order."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import math

from ibisknot import _admission_state
from ibisknot import _fair_queue
from ibisknot import urgency
from ibisknot.contention import ranking
from ibisknot.contention import room

ChooseRequest = Callable[
    [Iterable[_fair_queue.QueuedRequest]], _fair_queue.QueuedRequest
]
"""Chooses the next one of several requests."""


def online_order(
    group: _admission_state.Group, now: float
) -> list[_fair_queue.QueuedRequest]:
    """Returns the online requests that may be granted next, in order."""
    if not group.policy.in_arrival_order:
        return _fair_order(group.online_queue, now)
    oldest = group.online_queue.oldest()
    if oldest is None or not oldest.crash_suspect:
        return _with_alternatives(
            oldest, group.online_queue, _fair_queue.oldest
        )
    return _fair_order(group.online_queue, now)


def _with_alternatives(
    first: _fair_queue.QueuedRequest | None,
    queue: _fair_queue.FairQueue,
    choose: ChooseRequest,
) -> list[_fair_queue.QueuedRequest]:
    """Returns a request and those that need not wait for the same endpoints.

    A request that needs certain software must not delay those that other
    endpoints can serve.

    Args:
        first: The request whose turn it is, or None if there is none.
        queue: The queue that has it.
        choose: Chooses the next one of several requests.
    """
    order = [] if first is None else [first]
    while order and order[-1].software_version is not None:
        waiting = {r.software_version for r in order}
        others = [
            r for r in queue.all_requests() if r.software_version not in waiting
        ]
        if not others:
            break
        order.append(choose(others))
    return order


def batch_order(
    group: _admission_state.Group, now: float, choose: ChooseRequest
) -> list[_fair_queue.QueuedRequest]:
    """Returns the batch requests that may be granted next, in order.

    Requests that can be on time go first if the next one has a due time.

    Args:
        group: The admission group.
        now: Monotonic time in seconds.
        choose: Chooses the next one of several requests with a due time.
    """
    order = _fair_order(group.batch_queue, now)
    if not order or order[0].crash_suspect or order[0].due_s == math.inf:
        return order
    return _with_alternatives(
        choose(group.batch_queue.all_requests()), group.batch_queue, choose
    )


def choose_batch(group: _admission_state.Group, now: float) -> ChooseRequest:
    """Returns a function that chooses the batch request to run next."""
    if not room.is_short(group.batch_room, now):
        return lambda requests: urgency.next_request(requests, now)
    in_flight = collections.Counter(
        ticket.organisation
        for endpoint in group.endpoints.values()
        for ticket in endpoint.unrevoked_batch()
    )
    levels = ranking.levels(in_flight, group.batch_queue.queues)
    return ranking.next_request(now, levels)


def check_room(group: _admission_state.Group, now: float) -> None:
    """Compares the batch requests with the slots, from time to time."""
    if not group.policy.weighs_losses:
        return
    if not room.is_check_due(group.batch_room, now):
        return
    endpoints = group.endpoints.values()
    work = [
        (t.due_s, max(0.0, t.expected_end_s - now))
        for endpoint in endpoints
        for t in endpoint.unrevoked_batch()
    ]
    work += [
        (r.due_s, r.expected_duration_s)
        for r in group.batch_queue.all_requests()
    ]
    room.check(
        group.batch_room,
        now,
        slots=sum(int(e.capacity.limit) for e in endpoints),
        online=sum(e.online_count() for e in endpoints),
        work=work,
    )


def _fair_order(
    queue: _fair_queue.FairQueue, now: float
) -> list[_fair_queue.QueuedRequest]:
    """Returns the next request and, if it is a crash suspect, the next other.

    A crash suspect waits for an empty endpoint and must not delay the others.
    """
    first = queue.next_request(now)
    if first is None:
        return []

    def least_served(
        requests: Iterable[_fair_queue.QueuedRequest],
    ) -> _fair_queue.QueuedRequest:
        return min(
            requests,
            key=lambda r: (
                queue.service_received(r.organisation, now),
                r.arrived_s,
                r.id,
            ),
        )

    if not first.crash_suspect:
        return _with_alternatives(first, queue, least_served)
    others = [r for r in queue.all_requests() if not r.crash_suspect]
    if not others:
        return [first]
    return [
        first,
        *_with_alternatives(least_served(others), queue, least_served),
    ]
