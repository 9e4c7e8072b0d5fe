"""Speeds of endpoints: what is learnt of them, and how it is used."""

import math
import random

import anyio
import contention_world
import fake_fleet
import pytest
import scripted

from ibisknot import admission
from ibisknot import placement
from ibisknot import scheduler
from ibisknot import ticket_types
from ibisknot.gen.fleet import ttypes
from ibisknot.speeds import choice
from ibisknot.speeds import speed_samples
from ibisknot.speeds import table

SPEEDS = (0.55, 0.8, 1.0, 1.1, 1.2, 1.2)
PERIOD_S = 0.25
"""Time between two responses of an endpoint."""


def _record(
    speeds: table.Table,
    slowness: dict[str, float],
    *,
    seconds: tuple[float, float],
    loads: dict[str, tuple[int, int]] | None = None,
) -> None:
    """Records responses of endpoints for some time.

    Args:
        speeds: Updated in place.
        slowness: Gap of each endpoint, relative to the usual one.
        seconds: Begin and end.
        loads: Least and largest load of each endpoint, 1 and 8 if left out.
    """
    rng = random.Random(5)
    now = seconds[0]
    while now < seconds[1]:
        for name, slow in slowness.items():
            load = rng.randint(*(loads or {}).get(name, (1, 8)))
            gap_s = 0.02 * (1.0 + 0.1 * load) * slow * rng.uniform(0.8, 1.2)
            table.record(
                speeds, now, name, kind="online", load=load, gap_s=gap_s
            )
        now += PERIOD_S


def _slowness(speeds: table.Table, now: float) -> dict[str, float]:
    return {n: table.slowness(speeds, now, n) for n in sorted(speeds.estimates)}


def test_slowness_is_relative_to_what_is_usual_at_the_same_load() -> None:
    """Guards against a busy endpoint that is taken for a slow one."""
    speeds = table.Table()
    even = {f"e{n}": 1.0 for n in range(6)}
    loads = {"e0": (7, 8), "e1": (1, 2)}
    _record(speeds, even, seconds=(0.0, 20.0), loads=loads)
    assert all(0.85 < s < 1.15 for s in _slowness(speeds, 20.0).values())
    speeds = table.Table()
    uneven = {f"e{n}": 1.0 / speed for n, speed in enumerate(SPEEDS)}
    _record(speeds, uneven, seconds=(0.0, 20.0))
    found = _slowness(speeds, 20.0)
    assert found["e0"] > table.SLOW > 1.1 > found["e2"] > found["e5"]


def test_endpoint_that_becomes_slow_is_found_and_recovers() -> None:
    """Guards against an endpoint that serves slowly while its probes are good.

    It must be seen within two seconds, however long it was sound before.
    """
    speeds = table.Table()
    even = {f"e{n}": 1.0 for n in range(6)}
    _record(speeds, even, seconds=(0.0, 60.0))
    _record(speeds, even | {"e3": 3.0}, seconds=(60.0, 62.0))
    assert table.slowness(speeds, 62.0, "e3") >= table.SLOW
    assert speeds.changed == {"e3"}
    others = [s for n, s in _slowness(speeds, 62.0).items() if n != "e3"]
    assert max(others) < table.RECOVERED
    _record(speeds, even, seconds=(62.0, 65.0))
    assert table.slowness(speeds, 65.0, "e3") < table.RECOVERED


@pytest.mark.parametrize("samples", [0, 1, 2])
def test_endpoint_with_few_samples_counts_as_usual(samples: int) -> None:
    """Guards against a decision by one response that was slow by chance."""
    speeds = table.Table()
    _record(speeds, {f"e{n}": 1.0 for n in range(4)}, seconds=(0.0, 5.0))
    seconds = (5.0, 5.0 + samples * PERIOD_S)
    _record(speeds, {"new": 4.0}, seconds=seconds)
    assert table.slowness(speeds, seconds[1], "new") == 1.0
    assert table.slowness(table.Table(), 0.0, "new") == 1.0


def test_evidence_expires_and_ends_with_the_start() -> None:
    """Guards against an endpoint that is avoided for what it once was."""
    speeds = table.Table()
    table.set_starts(speeds, {"e0": 1, "e1": 1})
    slow = {f"e{n}": 1.0 for n in range(4)} | {"e0": 3.0}
    _record(speeds, slow, seconds=(0.0, 10.0))
    assert table.slowness(speeds, 10.0, "e0") > table.SLOW
    assert table.slowness(speeds, 40.0, "e0") == 1.0
    table.set_starts(speeds, {"e0": 2, "e1": 1})
    assert table.slowness(speeds, 10.0, "e0") == 1.0
    assert "e1" in speeds.estimates


@pytest.mark.parametrize("gap_s", [None, 0.0, -1.0, math.nan, math.inf, 1e6])
def test_absurd_reports_are_ignored(gap_s: float | None) -> None:
    """Guards against a report that makes an endpoint fast or slow for long."""
    speeds = table.Table()
    _record(speeds, {f"e{n}": 1.0 for n in range(4)}, seconds=(0.0, 5.0))
    before = _slowness(speeds, 5.0)
    table.record(speeds, 5.0, "e0", kind="online", load=4, gap_s=gap_s)
    assert _slowness(speeds, 5.0) == before


def _group(slowness: dict[str, float], *, slots: int = 2) -> admission.Group:
    group = admission.Group(policy=scheduler.ACTIVE_POLICY)
    names = {name: slots for name in slowness}
    admission.set_endpoints(group, 0.0, names, slots=names)
    _record(group.speeds, slowness, seconds=(0.0, 10.0))
    for name in names:
        group.speeds.last_online_s[name] = 10.0
    return group


def _endpoint_of(
    group: admission.Group,
    name: str,
    now: float,
    *,
    kind: str = admission.ONLINE,
    duration_s: float = 0.0,
    due_s: float = math.inf,
) -> str:
    """Returns the endpoint that a request gets, or nothing."""
    request = admission.QueuedRequest(
        name,
        kind,
        "o",
        now,
        now + 9.0,
        due_s=due_s,
        expected_duration_s=duration_s,
    )
    admission.request_ticket(group, now, request)
    ticket = admission.find_ticket(group, name)
    return "" if ticket is None else ticket.endpoint


SLOW_E0 = {"e0": 2.0, "e1": 1.0, "e2": 1.0, "e3": 1.0}


def test_online_requests_use_a_slow_endpoint_last() -> None:
    """Guards against requests that are late beside free slots elsewhere."""
    group = _group(SLOW_E0)
    placed = [_endpoint_of(group, f"r{n}", 10.0) for n in range(8)]
    assert placed.index("e0") == 6
    assert placed.count("e0") == 2


def test_slow_endpoint_still_gets_a_few_requests() -> None:
    """Guards against an endpoint that is never seen to recover."""
    group = _group(SLOW_E0, slots=8)
    for number in range(4):
        _endpoint_of(group, f"r{number}", 10.0)
    later_s = 10.0 + choice.PROBE_PERIOD_S
    placed = [_endpoint_of(group, f"l{n}", later_s) for n in range(6)]
    assert placed.count("e0") == 1


@pytest.mark.parametrize(("slowness", "revokes"), [(2.0, False), (6.0, True)])
def test_batch_is_revoked_only_to_avoid_a_very_slow_endpoint(
    slowness: float, revokes: bool
) -> None:
    """Guards against lost work of batch for a small gain of online."""
    group = _group(SLOW_E0 | {"e0": slowness})
    for number in range(8):
        _endpoint_of(group, f"b{number}", 10.0, kind=admission.BATCH)
    for ticket in admission.all_tickets(group):
        if ticket.endpoint == "e0":
            admission.release_ticket(
                group, 10.1, ticket.id, admission.Measurement()
            )
    placed = _endpoint_of(group, "r", 10.2)
    assert (placed != "e0") == revokes


def test_long_item_goes_where_it_ends_in_time() -> None:
    """Guards against a long item that is late at a slow endpoint."""
    slowness = {"e0": 3.0, "e1": 2.5} | {f"e{n}": 1.0 for n in range(2, 9)}
    group = _group(slowness, slots=1)
    group.speeds.mean_batch_s = 3.0

    def place(name: str, duration_s: float) -> str:
        return _endpoint_of(
            group,
            name,
            10.0,
            kind=admission.BATCH,
            duration_s=duration_s,
            due_s=25.0,
        )

    placed = {place(f"l{n}", 10.0) for n in range(7)}
    assert placed == {f"e{n}" for n in range(2, 9)}
    # The others are slow: this item waits, and a short one does not.
    assert not place("c", 10.0)
    assert place("d", 2.0)
    ticket = admission.find_ticket(group, "d")
    assert ticket is not None
    assert ticket.expected_end_s > 12.5


def test_item_that_needs_a_full_endpoint_delays_no_other() -> None:
    """Guards against a queue that waits for an item without an endpoint."""
    group = _group(SLOW_E0 | {"e0": 3.0}, slots=1)
    group.endpoints["e1"].software_version = "v2"
    due_s = {"a": 25.0, "b": 25.0, "c": 25.0, "large": 25.0, "bound": 26.0}
    for name, due in due_s.items():
        request = admission.QueuedRequest(
            name, admission.BATCH, "o", 10.0, 30.0, due_s=due
        )
        request.expected_duration_s = 1.0 if name == "bound" else 10.0
        request.software_version = "v2" if name == "bound" else None
        admission.request_ticket(group, 10.0, request)
    assert {t.endpoint for t in admission.all_tickets(group)} == {
        "e1",
        "e2",
        "e3",
    }
    placed = _endpoint_of(
        group, "d", 10.0, kind=admission.BATCH, duration_s=2.0, due_s=27.0
    )
    assert placed == "e0"


def test_reported_gaps_serve_uneven_endpoints_no_worse() -> None:
    """Guards against speeds that help some requests and harm others."""
    worlds = []
    for reports in (False, True):
        load = contention_world.Load(
            batch_fraction=0.6,
            online_per_s=(12.0, 60.0),
            endpoints=len(SPEEDS),
            duration_s=30.0,
            speeds=SPEEDS,
            slowdown=0.05,
            reports_gaps=reports,
        )
        world = contention_world.World(load, scheduler.ACTIVE_POLICY)
        world.run()
        worlds.append(world)
    before, after = worlds
    assert after.value() >= 0.98 * before.value()
    assert sum(after.online_ends_s) < sum(before.online_ends_s)


def test_gap_is_unknown_if_the_reader_was_slow_or_events_were_few() -> None:
    """Guards against an endpoint that is blamed for its callers."""
    event = b"data: a\n\n"
    pace = speed_samples.Pace()
    for second in range(4):
        speed_samples.record_chunk(pace, float(second), event)
    assert speed_samples.event_gap_s(pace) is None
    # The end of an event may be cut.
    speed_samples.record_chunk(pace, 4.0, event + event[:-1])
    speed_samples.record_chunk(pace, 5.0, event[-1:])
    assert speed_samples.event_gap_s(pace) == 1.0
    speed_samples.record_pause(pace, 1.0)
    assert speed_samples.event_gap_s(pace) is None


def test_holder_reports_the_gap_to_the_schedulers() -> None:
    """Guards against schedulers that learn nothing of the speeds."""

    async def main() -> None:
        peers = fake_fleet.Peers()
        task_group = fake_fleet.TaskGroup()
        clock = fake_fleet.Clock()
        fleet_view = fake_fleet.view(endpoints=1)
        client = placement.Client(
            fake_fleet.process(),
            fleet_view,
            peers,  # type: ignore[arg-type]
            clock,  # type: ignore[arg-type]
            task_group,
        )
        request = ticket_types.TicketRequest(
            "s", admission.ONLINE, "r", None, max_wait_s=1.0
        )
        ticket = ticket_types.Ticket("t", request, fake_fleet.endpoint("e0"))
        client.tickets["t"] = ticket
        speed_samples.start(ticket.pace, 1.0)
        for number in range(6):
            speed_samples.record_events(ticket.pace, 1.5 + number, 1)
        client.release(ticket, admission.OK)
        await task_group.run()
        sent = [m for _, method, m in peers.calls if method == "place_returned"]
        assert len(sent) == 2
        assert (sent[0].event_gap_s, sent[0].first_event_s) == (1.0, 0.5)
        worker = scheduler.Scheduler(
            "w0",
            fleet_view,
            peers,  # type: ignore[arg-type]
            clock,  # type: ignore[arg-type]
            task_group,
        )
        for number in range(20):
            await worker.on_request(fake_fleet.place_ask(number))
            await worker.on_released(
                ttypes.PlaceReturned("s", f"r{number}", "e0", "ok", 0.02)
            )
        assert "e0" in worker.services["s"].group.speeds.estimates

    anyio.run(main)


@pytest.mark.parametrize("resumable", [True, False])
def test_streams_are_measured_while_they_are_relayed(resumable: bool) -> None:
    """Guards against tickets that are released without a measurement."""
    events = [scripted.encode_event(n, "x") for n in range(1, 9)]

    async def check(address: str, tickets: scripted.ScriptedTickets) -> None:
        await scripted.send_request(address)
        (released,) = tickets.released
        assert released.pace.sent_s is not None
        assert released.pace.first_s is not None

    scripted.run_forwarder(
        [scripted.ScriptedEndpoint("e", [scripted.script_stream(*events)])],
        scripted.make_route(resumable=resumable),
        check,
    )
