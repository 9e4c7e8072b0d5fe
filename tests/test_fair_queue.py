"""The order of queued requests, and those that cannot be on time any more."""

import math

from ibisknot import _fair_queue


def _queue(*requests: _fair_queue.QueuedRequest) -> _fair_queue.FairQueue:
    queue = _fair_queue.FairQueue()
    for request in requests:
        queue.push(request)
    return queue


def _request(
    name: str,
    arrived_s: float,
    on_time_until_s: float = math.inf,
    *,
    organisation: str = "o",
) -> _fair_queue.QueuedRequest:
    return _fair_queue.QueuedRequest(
        name,
        "online",
        organisation,
        arrived_s,
        expires_s=100.0,
        on_time_until_s=on_time_until_s,
    )


def _drain(queue: _fair_queue.FairQueue, now: float) -> list[str]:
    """Returns the ids of all requests in the order of their grants."""
    order = []
    while (request := queue.oldest()) is not None:
        queue.remove_granted(request, now)
        order.append(request.id)
    return order


def test_late_request_yields_to_those_that_can_be_on_time() -> None:
    """Guards against a queue in which every request is late."""
    queue = _queue(
        _request("late", 1.0, 2.0),
        _request("later", 1.5, 2.5, organisation="p"),
        _request("on time", 2.0, 3.0, organisation="q"),
        _request("without an objective", 2.2),
    )
    queue.move_late_back(2.6)
    assert queue.on_time_count() == 2
    assert _drain(queue, 2.6) == [
        "on time",
        "without an objective",
        "late",
        "later",
    ]
    assert (queue.size, queue.late_count) == (0, 0)


def test_request_stays_in_its_place_until_it_is_late() -> None:
    """Guards against an order that changes without a reason."""
    queue = _queue(_request("b", 2.0, 5.0), _request("a", 1.0, 4.0))
    queue.move_late_back(3.9)
    assert queue.late_count == 0
    queue.move_late_back(4.0)
    assert _drain(queue, 4.0) == ["b", "a"]


def test_removed_late_request_is_not_counted() -> None:
    """Guards against refusals for requests that have left the queue."""
    queue = _queue(_request("a", 1.0, 2.0), _request("b", 1.0, 9.0))
    queue.move_late_back(3.0)
    assert queue.remove("a")
    assert (queue.size, queue.on_time_count()) == (1, 1)
