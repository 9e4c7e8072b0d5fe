"""The limit and the naive policy of a day, and reading a day from logs."""

import json

import pytest

from ibisknot import admission
from ibisknot.bench import planner
from ibisknot.bench import recording

VALUATION = planner.Valuation(endpoint_slots=1)


def _online(arrived_s: float, held_s: float = 0.5) -> recording.Request:
    return recording.Request(
        admission.ONLINE, arrived_s, arrived_s, arrived_s + held_s, held_s
    )


def _batch(arrived_s: float, held_s: float) -> recording.Request:
    return recording.Request(
        admission.BATCH, arrived_s, arrived_s, arrived_s + held_s, held_s
    )


def _day(slots: int, *requests: recording.Request) -> recording.Day:
    return recording.Day(list(requests), [(0.0, slots)])


def test_limit_is_total_worth_with_enough_slots() -> None:
    """Guards against a limit below the worth that a policy serves."""
    day = _day(2, _online(0.0), _online(0.0), _batch(0.5, 4.0))
    fractions = planner.compare(day, VALUATION)
    assert (fractions.actual, fractions.limit) == (1.0, pytest.approx(1.0))


def test_limit_counts_each_slot_once() -> None:
    """Guards against a plan that runs two requests in one slot."""
    day = _day(1, _online(0.0), _online(0.0))
    best = VALUATION.online + VALUATION.online_late
    assert planner.limit_worth(day, VALUATION) == pytest.approx(best)


def test_plan_interrupts_batch_for_online_requests() -> None:
    """Guards against a limit in which batch items delay online requests."""
    day = _day(1, _batch(0.0, 10.0), _online(1.0), _online(2.0))
    everything = VALUATION.batch + 2 * VALUATION.online
    assert planner.limit_worth(day, VALUATION) == pytest.approx(everything)
    late_items = [_batch(0.0, 12.0), _batch(0.0, 12.0)]
    partly = planner.limit_worth(_day(1, *late_items), VALUATION)
    assert VALUATION.batch < partly < 2 * VALUATION.batch


def test_naive_policy_makes_online_requests_wait_behind_batch() -> None:
    """Guards against a baseline that is better than the naive policy."""
    day = _day(1, _batch(0.0, 2.0), _online(0.1), _online(20.0))
    worth = VALUATION.batch + VALUATION.online_late + VALUATION.online
    assert planner.naive_worth(day, VALUATION) == pytest.approx(worth)


def _line(second: float, event: str, **fields: object) -> str:
    time = f"2026-01-01T00:00:{second:09.6f}+00:00"
    line = {"time": time, "level": "info", "event": event, **fields}
    return f"  {second} vm1 " + json.dumps(line)


def test_day_is_read_from_log_lines() -> None:
    """Guards against an item with two tickets that counts as two requests."""
    item_fields = {"kind": "batch", "request": "a"}
    lines = [
        "service            servers arrivals",
        _line(1.0, "place_queued", slots=8),
        _line(3.0, "place_taken", place="p1", waited_s=2.0, **item_fields),
        _line(4.0, "place_returned", place="p1", outcome="cancelled"),
        _line(6.0, "place_taken", place="p2", waited_s=1.0, **item_fields),
        _line(9.0, "place_returned", place="p2", outcome="ok"),
        _line(9.5, "place_refused", state="overloaded"),
        '{"time" and no JSON',
    ]
    day = recording.read_day(lines)
    (request,) = day.requests
    assert request.held_s == pytest.approx(4.0)
    assert request.completed_s is not None
    assert request.completed_s - request.arrived_s == pytest.approx(8.0)
    assert (day.slots[0][1], day.refused_count) == (8, 1)
