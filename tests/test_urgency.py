"""Batch work under overload: what is still on time goes first."""

import heapq
import math

import pytest

from ibisknot import admission
from ibisknot import scheduler
from ibisknot import urgency

SLOTS = 8
RUN_S = 5.0
DUE_S = 18.0
ITEMS = 160
PERIOD_S = 0.5
"""An item each half second, of five seconds, is a quarter over the slots."""


def _group() -> admission.Group:
    group = admission.Group(policy=scheduler.ACTIVE_POLICY)
    admission.set_endpoints(group, 0.0, ["e"], slots={"e": SLOTS})
    return group


def _waiting(number: int, now: float, due_s: float) -> admission.QueuedRequest:
    return admission.QueuedRequest(
        id=f"i{number}",
        kind=admission.BATCH,
        organisation="o",
        arrived_s=now,
        expires_s=math.inf,
        due_s=due_s,
        expected_duration_s=RUN_S,
    )


def _on_time(*, states_due: bool) -> int:
    """Plays the overload; returns how many items are done when due."""
    group = _group()
    events = [(n * PERIOD_S, 0, n) for n in range(ITEMS)]
    heapq.heapify(events)
    left = dict.fromkeys(range(ITEMS), RUN_S)
    started: dict[int, float] = {}
    done = 0
    while events:
        now, is_end, number = heapq.heappop(events)
        due_s = number * PERIOD_S + DUE_S
        if is_end:
            if number not in started or started[number] + left[number] > now:
                continue
            done += now <= due_s
            del started[number]
            actions = admission.release_ticket(
                group, now, f"i{number}", admission.Measurement()
            )
        else:
            stated_s = due_s if states_due else math.inf
            actions = admission.request_ticket(
                group, now, _waiting(number, now, stated_s)
            )
        while actions:
            action = actions.pop(0)
            if isinstance(action, admission.Grant):
                granted = int(action.ticket.id[1:])
                started[granted] = now
                heapq.heappush(events, (now + left[granted], 1, granted))
    return done


def test_more_items_are_on_time_when_their_due_times_are_known() -> None:
    """Guards against an overload that makes every item late."""
    by_arrival = _on_time(states_due=False)
    by_due = _on_time(states_due=True)
    possible = ITEMS * PERIOD_S / RUN_S * SLOTS
    assert by_due > by_arrival
    assert by_due >= 0.8 * min(ITEMS, possible)


def test_late_item_gives_way_to_one_that_can_be_on_time() -> None:
    """Guards against places that are held by work that is already late."""
    group = _group()
    for number in range(SLOTS):
        admission.request_ticket(group, 0.0, _waiting(number, 0.0, due_s=10.0))
    actions = admission.request_ticket(
        group, 11.0, _waiting(99, 11.0, due_s=29.0)
    )
    assert [type(a).__name__ for a in actions] == ["Revoke"]


def test_least_urgent_is_the_late_one() -> None:
    """Guards against revoking an item that would have been on time."""
    late = _held("late", due_s=3.0)
    urgent = _held("urgent", due_s=12.0)
    relaxed = _held("relaxed", due_s=30.0)
    assert urgency.least_urgent([urgent, late], 5.0).ticket is late
    assert urgency.least_urgent([urgent, relaxed], 5.0).ticket is relaxed


def _held(name: str, *, due_s: float) -> admission.Ticket:
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
    """Guards against a slot that the decayed online level leaves empty."""
    group = _group()
    for number in range(revoked):
        waiting = _waiting(number, 0.0, due_s=math.inf)
        waiting.kind = admission.ONLINE
        admission.request_ticket(group, 0.0, waiting)
        admission.release_ticket(
            group, 0.5, waiting.id, admission.Measurement()
        )
    for number in range(10, 10 + 2 * SLOTS):
        admission.request_ticket(group, 2.0, _waiting(number, 2.0, due_s=50.0))
    assert len(admission.all_tickets(group)) == SLOTS
