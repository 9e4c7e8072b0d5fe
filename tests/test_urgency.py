"""Batch requests under overload: those that can be on time run first."""

import heapq
import math

import pytest

from ibisknot import admission
from ibisknot import scheduler
from ibisknot import urgency

SLOTS = 8
DURATION_S = 5.0
DUE_AFTER_S = 18.0
ITEM_COUNT = 160
PERIOD_S = 0.5
"""Period of the items; they need a quarter more than the slots."""


def _group() -> admission.Group:
    group = admission.Group(policy=scheduler.ACTIVE_POLICY)
    admission.set_endpoints(group, 0.0, ["e"], slots={"e": SLOTS})
    return group


def _queued_request(
    index: int, now: float, due_s: float
) -> admission.QueuedRequest:
    return admission.QueuedRequest(
        id=f"i{index}",
        kind=admission.BATCH,
        organisation="o",
        arrived_s=now,
        expires_s=math.inf,
        due_s=due_s,
        expected_duration_s=DURATION_S,
    )


def _count_on_time(*, states_due: bool) -> int:
    """Simulates an overload; returns how many items end when due or before."""
    group = _group()
    events = [(i * PERIOD_S, 0, i) for i in range(ITEM_COUNT)]
    heapq.heapify(events)
    remaining_s = dict.fromkeys(range(ITEM_COUNT), DURATION_S)
    started_s: dict[int, float] = {}
    on_time_count = 0
    while events:
        now, is_end, index = heapq.heappop(events)
        due_s = index * PERIOD_S + DUE_AFTER_S
        if is_end:
            if (
                index not in started_s
                or started_s[index] + remaining_s[index] > now
            ):
                continue
            on_time_count += now <= due_s
            del started_s[index]
            actions = admission.release_ticket(
                group, now, f"i{index}", admission.Measurement()
            )
        else:
            stated_s = due_s if states_due else math.inf
            actions = admission.request_ticket(
                group, now, _queued_request(index, now, stated_s)
            )
        while actions:
            action = actions.pop(0)
            if isinstance(action, admission.Grant):
                granted_index = int(action.ticket.id[1:])
                started_s[granted_index] = now
                heapq.heappush(
                    events, (now + remaining_s[granted_index], 1, granted_index)
                )
    return on_time_count


def test_more_items_are_on_time_when_their_due_times_are_stated() -> None:
    """Guards against an overload that makes every item late."""
    by_arrival = _count_on_time(states_due=False)
    by_due = _count_on_time(states_due=True)
    possible = ITEM_COUNT * PERIOD_S / DURATION_S * SLOTS
    assert by_due > by_arrival
    assert by_due >= 0.8 * min(ITEM_COUNT, possible)


def test_late_item_is_revoked_for_one_that_can_be_on_time() -> None:
    """Guards against slots that are held by requests that are already late."""
    group = _group()
    for index in range(SLOTS):
        admission.request_ticket(
            group, 0.0, _queued_request(index, 0.0, due_s=10.0)
        )
    actions = admission.request_ticket(
        group, 11.0, _queued_request(99, 11.0, due_s=29.0)
    )
    assert [type(a).__name__ for a in actions] == ["Revoke"]


def test_least_urgent_is_the_late_one() -> None:
    """Guards against revoking an item that would have been on time."""
    late = _ticket("late", due_s=3.0)
    urgent = _ticket("urgent", due_s=12.0)
    relaxed = _ticket("relaxed", due_s=30.0)
    assert urgency.least_urgent([urgent, late], 5.0).ticket is late
    assert urgency.least_urgent([urgent, relaxed], 5.0).ticket is relaxed


def _ticket(name: str, *, due_s: float) -> admission.Ticket:
    return admission.Ticket(
        id=name,
        kind=admission.BATCH,
        organisation="o",
        holder="h",
        endpoint="e",
        granted_s=0.0,
        due_s=due_s,
        expected_end_s=8.0,
    )


@pytest.mark.parametrize("revoked", [0, 3])
def test_idle_endpoint_fills_all_slots_with_batch(revoked: int) -> None:
    """Guards against a slot that the decayed online peak keeps from batch."""
    group = _group()
    for index in range(revoked):
        request = _queued_request(index, 0.0, due_s=math.inf)
        request.kind = admission.ONLINE
        admission.request_ticket(group, 0.0, request)
        admission.release_ticket(
            group, 0.5, request.id, admission.Measurement()
        )
    for index in range(10, 10 + 2 * SLOTS):
        admission.request_ticket(
            group, 2.0, _queued_request(index, 2.0, due_s=50.0)
        )
    assert len(admission.all_tickets(group)) == SLOTS
