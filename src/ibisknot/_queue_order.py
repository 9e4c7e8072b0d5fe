"""Which queued requests may be granted next, in order."""

from collections.abc import Callable
from collections.abc import Iterable
import math

from ibisknot import _admission_state
from ibisknot import _fair_queue
from ibisknot import urgency


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
    choose: Callable[
        [Iterable[_fair_queue.QueuedRequest]], _fair_queue.QueuedRequest
    ],
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
    group: _admission_state.Group, now: float
) -> list[_fair_queue.QueuedRequest]:
    """Returns the batch requests that may be granted next, in order.

    Requests that can be on time go first if the next one has a due time.
    """
    order = _fair_order(group.batch_queue, now)
    if not order or order[0].crash_suspect or order[0].due_s == math.inf:
        return order
    return _with_alternatives(
        urgency.next_request(group.batch_queue.all_requests(), now),
        group.batch_queue,
        lambda requests: urgency.next_request(requests, now),
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
