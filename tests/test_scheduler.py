"""The scheduler of places: exact counts, true refusals, rates, takeover."""

import math
from typing import Any

import anyio
import fake_fleet

from ibisknot import fleetview
from ibisknot import rates
from ibisknot import scheduler
from ibisknot.gen.fleet import ttypes

State = ttypes.PlaceState


def _scheduler(
    view: fleetview.View,
) -> tuple[scheduler.Scheduler, fake_fleet.Peers, fake_fleet.Clock, Any]:
    peers = fake_fleet.Peers()
    clock = fake_fleet.Clock()
    group = fake_fleet.TaskGroup()
    made = scheduler.Scheduler("w0", view, peers, clock, group)  # type: ignore[arg-type]
    return made, peers, clock, group


def _ask(number: int, **changed: Any) -> ttypes.PlaceAsk:
    fields: dict[str, Any] = {
        "id": f"r{number}",
        "group": "s",
        "kind": "online",
        "organisation": "o",
        "tokens": 10,
        "prompt_tokens": 5,
        "blocks": [],
        "holder": "g0:1",
        "wait_s": 5.0,
        "waited_s": 0.0,
        "suspect": False,
        "avoid": [],
        "rate_per_s": 0.0,
        "burst": 0.0,
        "due_s": math.inf,
        "needs_s": 0.0,
        "objective_s": 5.0,
        "fingerprint": number,
    }
    return ttypes.PlaceAsk(**(fields | changed))


def _place(number: str) -> ttypes.Place:
    return ttypes.Place(
        id=number,
        group="s",
        endpoint="e0",
        kind="online",
        organisation="o",
        tokens=1,
        suspect=False,
        due_s=math.inf,
        needs_s=0.0,
    )


def test_no_more_places_than_slots_and_the_next_is_pushed() -> None:
    """Guards against requests that wait in an endpoint's own queue."""

    async def main() -> None:
        made, peers, _, group = _scheduler(fake_fleet.view(endpoints=1))
        states = [(await made.on_request(_ask(n))).state for n in range(3)]
        assert states == [State.GRANTED, State.GRANTED, State.QUEUED]
        again = await made.on_request(_ask(2))
        assert again.state == State.QUEUED
        await made.on_released(
            ttypes.PlaceReturned(
                group="s", id="r0", endpoint="e0", outcome="ok"
            )
        )
        await group.run()
        address, method, answer = peers.calls[-1]
        assert (address, method) == ("g0:1", "place_answer")
        assert (answer.id, answer.state) == ("r2", State.GRANTED)

    anyio.run(main)


def test_request_that_would_be_late_is_refused_at_once() -> None:
    """Guards against a caller that waits past its objective for a refusal."""

    async def main() -> None:
        made, _, _, _ = _scheduler(fake_fleet.view(endpoints=1))
        for number in range(2):
            await made.on_request(_ask(number))
        answer = await made.on_request(_ask(9, objective_s=0.3))
        assert answer.state == State.OVERLOADED
        assert answer.retry_after_s > 0.0

    anyio.run(main)


def test_standby_that_was_told_of_places_grants_no_more() -> None:
    """Guards against a new leader that gives every slot out again."""

    async def main() -> None:
        made, _, _, _ = _scheduler(fake_fleet.view(endpoints=1))
        for number in range(2):
            place = _place(f"old{number}")
            await made.on_acquired(
                ttypes.PlaceTaken(holder="g1:1", place=place)
            )
        answer = await made.on_request(_ask(1))
        assert answer.state == State.QUEUED

    anyio.run(main)


def test_standby_revokes_nothing_for_what_another_scheduler_granted() -> None:
    """Guards against two schedulers that both revoke for one request."""

    async def main() -> None:
        made, peers, clock, group = _scheduler(fake_fleet.view(endpoints=1))
        due = {"kind": "batch", "needs_s": 4.0}
        for number in range(2):
            asked = _ask(number, due_s=20.0, holder="w0:1", **due)
            assert (await made.on_request(asked)).state == State.GRANTED
        clock.time_s += scheduler.ACTIVE_TIMEOUT_S + 0.1
        await made.tick(clock.now())
        await made.on_acquired(
            ttypes.PlaceTaken(holder="g1:1", place=_place("online"))
        )
        await group.run()
        assert peers.count("place_revoked") == 0
        await made.on_request(_ask(9))
        await group.run()
        revoked = [m for _, name, m in peers.calls if name == "place_revoked"]
        assert revoked
        assert {message.scheduler for message in revoked} == {"w0"}

    anyio.run(main)


def test_request_that_another_scheduler_granted_waits_no_longer() -> None:
    """Guards against revoking for a request that already runs."""

    async def main() -> None:
        made, peers, _, group = _scheduler(fake_fleet.view(endpoints=1))
        batch = {"kind": "batch", "holder": "w0:1"}
        for number in range(2):
            late = _ask(number, due_s=1.0, needs_s=4.0, **batch)
            assert (await made.on_request(late)).state == State.GRANTED
        soon = _ask(2, due_s=20.0, needs_s=4.0, **batch)
        assert (await made.on_request(soon)).state == State.QUEUED
        await group.run()
        assert peers.count("place_revoked") == 1
        taken = ttypes.PlaceTaken(holder="w0:1", place=_place("r2"))
        await made.on_acquired(taken)
        await made.on_released(
            ttypes.PlaceReturned(
                group="s", id="r0", endpoint="e0", outcome="cancelled"
            )
        )
        await made.on_released(
            ttypes.PlaceReturned(
                group="s", id="r1", endpoint="e0", outcome="cancelled"
            )
        )
        await group.run()
        assert peers.count("place_answer") == 0

    anyio.run(main)


def test_places_of_a_holder_that_never_reported_come_back() -> None:
    """Guards against slots lost to a process that died soon after its start."""

    async def main() -> None:
        made, _, clock, _ = _scheduler(fake_fleet.view(endpoints=1))
        taken = ttypes.PlaceTaken(holder="w1:1", place=_place("told"))
        await made.on_acquired(taken)
        granted = await made.on_request(_ask(0, holder="w2:1"))
        assert granted.state == State.GRANTED
        assert (await made.on_request(_ask(1))).state == State.QUEUED
        clock.time_s += scheduler.HOLDER_REPORT_TIMEOUT_S + 0.1
        await made.tick(clock.now())
        states = [(await made.on_request(_ask(n))).state for n in (2, 3, 4)]
        assert states == [State.GRANTED, State.GRANTED, State.QUEUED]

    anyio.run(main)


def test_rate_counts_over_all_gateways() -> None:
    """Guards against granting each gateway the whole rate."""

    async def main() -> None:
        view = fake_fleet.view(endpoints=50)
        made, _, _, _ = _scheduler(view)
        asks = [
            _ask(n, rate_per_s=10.0, burst=10.0, holder=f"g{n % 2}:1")
            for n in range(20)
        ]
        states = [(await made.on_request(ask)).state for ask in asks]
        granted = states.count(State.GRANTED)
        assert granted == 10 * scheduler.INITIAL_FILL
        assert states.count(State.OVER_RATE) == 20 - granted

    anyio.run(main)


def test_burst_is_whole_once_the_scheduler_has_run_for_a_while() -> None:
    """Guards against half a burst for an organisation's first requests."""

    async def main() -> None:
        made, _, clock, _ = _scheduler(fake_fleet.view(endpoints=50))
        clock.time_s += 30.0
        asks = [_ask(n, rate_per_s=10.0, burst=10.0) for n in range(20)]
        states = [(await made.on_request(ask)).state for ask in asks]
        assert states.count(State.GRANTED) == 10

    anyio.run(main)


def test_part_of_a_gateway_that_is_cut_off_is_not_given_out_twice() -> None:
    """Guards against a rate that is used here and at a cut gateway too."""

    async def main() -> None:
        made, _, clock, _ = _scheduler(fake_fleet.view(gateways=4))
        for name in ("g0", "g1", "g2", "g3"):
            await made.on_report(
                ttypes.PlacesHeld(holder=f"{name}:1", places=[])
            )
        assert made._local_units(clock.now()) == rates.ORGANISATION_UNITS
        clock.time_s += scheduler.GATEWAY_REPORT_TIMEOUT_S + 0.1
        await made.on_report(ttypes.PlacesHeld(holder="g0:1", places=[]))
        assert made._local_units(clock.now()) == rates.ORGANISATION_UNITS // 4

    anyio.run(main)


def test_places_come_back_after_this_process_was_cut_off() -> None:
    """Guards against a leader that believes busy endpoints to be empty."""

    async def main() -> None:
        made, _, clock, _ = _scheduler(fake_fleet.view(endpoints=1))
        await made.on_report(ttypes.PlacesHeld(holder="g0:1", places=[]))
        for number in range(2):
            await made.on_request(_ask(number))
        clock.time_s += scheduler.HOLDER_REPORT_TIMEOUT_S + 0.1
        await made.tick(clock.now())
        places = [_place(f"r{number}") for number in range(2)]
        await made.on_report(ttypes.PlacesHeld(holder="g0:1", places=places))
        answer = await made.on_request(_ask(5, holder="g1:1"))
        assert answer.state == State.QUEUED

    anyio.run(main)


def test_new_scheduler_gives_out_the_whole_rate_at_once() -> None:
    """Guards against refusals after a restart, before all have reported."""

    async def main() -> None:
        made, _, clock, _ = _scheduler(fake_fleet.view(gateways=4))
        clock.time_s += 0.5
        await made.on_report(ttypes.PlacesHeld(holder="g0:1", places=[]))
        assert made._local_units(clock.now()) == rates.ORGANISATION_UNITS
        clock.time_s += scheduler.GATEWAY_REPORT_TIMEOUT_S
        await made.on_report(ttypes.PlacesHeld(holder="g0:1", places=[]))
        assert made._local_units(clock.now()) == rates.ORGANISATION_UNITS // 4

    anyio.run(main)


def test_places_of_a_lost_holder_come_back() -> None:
    """Guards against slots that a killed gateway holds for ever."""

    async def main() -> None:
        made, _, clock, _ = _scheduler(fake_fleet.view(endpoints=1))
        await made.on_report(ttypes.PlacesHeld(holder="g0:1", places=[]))
        for number in range(2):
            await made.on_request(_ask(number))
        clock.time_s += scheduler.HOLDER_REPORT_TIMEOUT_S + 0.1
        await made.tick(clock.now())
        answer = await made.on_request(_ask(5, holder="g1:1"))
        assert answer.state == State.GRANTED

    anyio.run(main)


def test_caller_that_comes_back_is_served_before_new_ones() -> None:
    """Guards against refusing a caller again that was told to come back."""

    async def main() -> None:
        made, _, clock, group = _scheduler(fake_fleet.view(endpoints=1))
        for number in range(2):
            await made.on_request(_ask(number))
        refused = await made.on_request(_ask(9, objective_s=0.3))
        assert refused.state == State.OVERLOADED
        clock.time_s += 1.0
        waits = await made.on_request(_ask(10, objective_s=5.0))
        assert waits.state == State.QUEUED
        back = await made.on_request(_ask(11, objective_s=0.3, fingerprint=9))
        assert back.state == State.QUEUED
        await made.on_released(
            ttypes.PlaceReturned(
                group="s", id="r0", endpoint="e0", outcome="ok"
            )
        )
        peers = group.tasks
        assert [task[1][2].id for task in peers] == ["r11"]

    anyio.run(main)
