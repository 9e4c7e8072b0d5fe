"""Endpoints that are cold get no more requests than they take."""

import dataclasses
import math
import random
from typing import Any

import anyio
import fake_fleet
import fake_pairs_store
import pytest
import rate_world
import test_evacuation

from ibisknot import admission
from ibisknot import deployment
from ibisknot import errors
from ibisknot import fallback
from ibisknot import fleet_endpoint
from ibisknot import fleetview
from ibisknot import pairs
from ibisknot import request_limits
from ibisknot import scheduler
from ibisknot import serving
from ibisknot import ticket_types
from ibisknot.gen.fleet import ttypes
from ibisknot.platform import configuration
from ibisknot.platform import entries
from ibisknot.warmup import observation

State = ttypes.PlaceState
DURATION_S = 20.0
WARM_UP = serving.WarmUp(DURATION_S, 3.0)
FIXED_DIGEST = 5315171062216334426
"""Digest of `_fixed_view`, from the build before warm-ups were known."""


def _bound(rate_per_s: float) -> float:
    bounds = deployment.Bounds()
    return rate_per_s * bounds.cold_overage + bounds.cold_slack


def _set_cold(view: fleetview.View, name: str, until_s: float) -> None:
    seen = observation.Seen(0, 1, until_s, -math.inf, -math.inf, True)
    view.observations[name] = seen


def _make_limited(view: fleetview.View, rate_per_s: float = 3.0) -> None:
    view.configuration = rate_world._configuration()
    warm_up = serving.WarmUp(DURATION_S, rate_per_s)
    view.configuration.warm_ups = {"s": warm_up}


class _World(rate_world.World):
    """Nine gateways and three schedulers, with endpoints that may be cold.

    Attributes:
        sent: Second and endpoint of each request.
        cold_from_s: Seconds from which an endpoint is cold, by its name.
    """

    def __init__(
        self, plan: rate_world.Plan, seed: int, rate_per_s: float = 3.0
    ) -> None:
        super().__init__(plan, seed)
        _make_limited(self.view, rate_per_s)
        self.sent: list[tuple[float, str]] = []
        self.cold_from_s: dict[str, float] = {}
        for name in ("e0", "e1", "e2"):
            self.view.endpoints[name] = fake_fleet.endpoint(name, slots=10**6)
            self.cold_from_s[name] = -math.inf

    async def _wake(self) -> None:
        await super()._wake()
        for name, from_s in self.cold_from_s.items():
            if self.seconds() >= from_s:
                _set_cold(self.view, name, math.inf)

    async def request(self, gateway: str) -> None:
        """Makes a request that does not wait."""
        client = self.clients[gateway]
        self.asked += 1
        request = ticket_types.TicketRequest(
            service="s",
            kind=admission.ONLINE,
            request_id=f"r{self.asked}",
            organisation=None,
            max_wait_s=1.0,
            objective_s=0.0,
            fingerprint=self.asked,
            prompt_blocks=(self.asked,),
        )
        try:
            ticket = await client.acquire(request)
        except errors.OverloadedError:
            return
        self.sent.append((self.seconds(), ticket.endpoint.name))
        client.release(ticket, admission.OK)

    def most_in_second(self, name: str) -> int:
        """Returns the most requests in a second in which one is cold."""
        times = [
            now
            for now, endpoint in self.sent
            if endpoint == name and now >= self.cold_from_s[name]
        ]
        return max(
            (sum(t <= u < t + 1.0 for u in times) for t in times), default=0
        )


def _plan(fault: str, rng: random.Random) -> rate_world.Plan:
    start_s = rng.uniform(1.0, 5.0)
    zone = rng.randrange(3)
    plan = rate_world.Plan()
    if fault == "cut":
        plan.is_cut = lambda source, target, now: (
            start_s <= now < start_s + 4.0
            and zone in (rate_world.zone_of(source), rate_world.zone_of(target))
            and rate_world.zone_of(source) != rate_world.zone_of(target)
        )
    if fault == "frozen":
        plan.frozen = {"w0": [(start_s, start_s + rng.uniform(0.4, 3.0))]}
    if fault == "killed":
        plan.killed_s = {"w0": [start_s, start_s + 3.0], "w1": [start_s + 1.5]}
    if fault == "no scheduler":
        down = [start_s + n for n in range(6)]
        plan.killed_s = {"w0": down, "w1": down, "w2": down}
    return plan


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("rate_per_s", [0.5, 3.0, 8.0])
@pytest.mark.parametrize(
    "fault", ["none", "cut", "frozen", "killed", "no scheduler"]
)
def test_cold_endpoints_get_no_more_than_they_take(
    fault: str, rate_per_s: float, seed: int
) -> None:
    """Guards against bursts that add up over processes and schedulers.

    All endpoints are cold, and there are far more requests than they take.
    """
    world = _World(_plan(fault, random.Random(seed)), seed, rate_per_s)
    anyio.run(world.play, 9.0, lambda _seconds, _name: 9.0)
    for name in world.cold_from_s:
        assert world.most_in_second(name) <= _bound(rate_per_s)
    if fault == "none":
        assert len(world.sent) >= 0.9 * 3 * rate_per_s * 9.0
    if fault == "no scheduler":
        alone = [now for now, _ in world.sent if 5.5 <= now < 7.0]
        assert alone or rate_per_s < 3.0


@pytest.mark.parametrize("seed", range(6))
def test_endpoints_that_turn_cold_are_held_back_at_once(seed: int) -> None:
    """Guards against a burst when an endpoint turns cold under load."""
    rng = random.Random(seed)
    world = _World(_plan("killed" if seed % 2 else "none", rng), seed)
    for name in world.cold_from_s:
        world.cold_from_s[name] = rng.uniform(0.5, 6.0)
    anyio.run(world.play, 9.0, lambda _seconds, _name: 9.0)
    for name in world.cold_from_s:
        assert world.most_in_second(name) <= _bound(3.0)


class _Scheduler:
    """One scheduler whose endpoint `e0` is warm and `e1` cold."""

    def __init__(self, *, slots: int = 2, warm: int = 1) -> None:
        self.view = fake_fleet.view(endpoints=0)
        self.view.endpoints = {
            name: fake_fleet.endpoint(name, slots=slots)
            for name in [f"e{n}" for n in range(warm)] + ["e1"]
        }
        _make_limited(self.view)
        self.clock = fake_fleet.Clock()
        self.peers = fake_fleet.Peers()
        self.tasks = fake_fleet.TaskGroup()
        self.worker = scheduler.Scheduler(
            "w0",
            self.view,
            self.peers,  # type: ignore[arg-type]
            self.clock,  # type: ignore[arg-type]
            self.tasks,
        )
        self.count = 0
        _set_cold(self.view, "e1", math.inf)

    async def start(self) -> None:
        """Lets the cold endpoint's requests accrue."""
        self.worker.service("s")
        self.worker.update_endpoints()
        await self.pass_time(2.0)

    async def pass_time(self, seconds: float) -> None:
        """Lets time pass on all processes."""
        await self.worker.tick(self.clock.time_s)
        self.clock.time_s += seconds
        fake_fleet.pass_on(self.worker, seconds)
        await self.worker.tick(self.clock.time_s)

    async def ask(self, **changed: Any) -> str:
        """Requests a ticket; returns its endpoint, or nothing."""
        self.count += 1
        answer = await self.worker.on_request(
            fake_fleet.place_ask(self.count, **changed)
        )
        return answer.endpoint if answer.state == State.GRANTED else ""


def test_online_goes_to_warm_endpoints_and_batch_yields_there() -> None:
    """Guards against slow responses while a warm slot can be had."""

    async def main() -> None:
        world = _Scheduler()
        await world.start()
        batch = [await world.ask(kind="batch") for _ in range(4)]
        assert batch == ["e1", "e1", "e0", "e0"]
        await world.pass_time(1.0)
        assert [await world.ask() for _ in range(2)] == ["e0", "e0"]
        assert await world.ask() == "e1"

    anyio.run(main)


def test_batch_leaves_a_request_to_online_where_all_are_cold() -> None:
    """Guards against online requests behind items at cold endpoints."""

    async def main() -> None:
        world = _Scheduler(slots=9, warm=0)
        await world.start()
        asked = [await world.ask(kind=k) for k in ("batch", "batch", "online")]
        assert asked == ["e1", "", "e1"]
        # Half of the processes are silent, so that less is saved up.
        for _ in range(60):
            for address in ("g0:1", "g1:1"):
                world.worker.accruals.credit(address, 0.1)
            world.clock.time_s += 0.1
            await world.worker.tick(world.clock.time_s)
        assert await world.ask(kind="batch") == "e1"

    anyio.run(main)


def test_time_that_is_passed_on_late_allows_no_burst() -> None:
    """Guards against a wave after a pause in which no time was passed on.

    Each request brings the time of one process that has waited.
    """
    bucket = request_limits.set_cold(
        None, request_limits.ColdLimit(3.0, 2.0), 10.0
    )
    sent_s = []
    for step in range(200):
        now = 10.0 + step * 0.01
        request_limits.add_accrued(bucket, 0.5, 1.0)
        if request_limits.allows(bucket, now):
            request_limits.consume(bucket, now)
            sent_s.append(now)
    assert sum(now < 11.0 for now in sent_s) == 5
    assert len(sent_s) == 10


def test_queue_does_not_burst_at_an_endpoint_that_comes_cold() -> None:
    """Guards against queued requests that all go to a new endpoint."""

    async def main() -> None:
        world = _Scheduler(slots=9, warm=0)
        cold = world.view.endpoints.pop("e1")
        world.view.endpoints["e0"] = fake_fleet.endpoint("e0", slots=1)
        world.worker.service("s")
        world.worker.update_endpoints()
        for _ in range(9):
            await world.ask()
        world.view.endpoints["e1"] = cold
        world.worker.update_endpoints()
        group = world.worker.service("s").group
        assert not group.endpoints["e1"].tickets
        await world.pass_time(1.0)
        assert 2 <= len(group.endpoints["e1"].tickets) <= 3
        _set_cold(world.view, "e1", world.clock.time_s)
        await world.pass_time(0.1)
        for _ in range(9):
            await world.ask()
        assert len(group.endpoints["e1"].tickets) == 9

    anyio.run(main)


def test_cold_endpoint_that_names_no_requests_can_end_its_limit() -> None:
    """Guards against a limit of zero that no response can end."""

    async def main() -> None:
        world = _Scheduler(slots=99, warm=0)
        world.worker.service("s")
        world.worker.update_endpoints()
        started_ms = world.view.endpoints["e1"].born_ms
        world.worker.limits.adopt(
            [ttypes.EndpointLimit("e1", started_ms, 0.0, 0.0)]
        )
        for _ in range(40):
            await world.pass_time(0.5)
            await world.ask()
        tickets = world.worker.service("s").group.endpoints["e1"].tickets
        most = 20.0 * request_limits.MIN_RATE_PER_S
        assert 1 <= len(tickets) <= most

    anyio.run(main)


def test_process_without_a_scheduler_prefers_warm_endpoints() -> None:
    """Guards against cold endpoints that are used without need."""
    view = fake_fleet.view(endpoints=2)
    _make_limited(view)
    _set_cold(view, "e1", math.inf)
    alone = fallback.Fallback(view, random.Random(1))
    for step in range(400):
        alone.add_accrued(0.4, step * 0.4)
        chosen = alone.choose_endpoint(
            "s", step * 0.4, avoid=frozenset(), in_flight={"e0": 9}
        )
        assert chosen.name == "e0"


def test_ticket_from_before_an_endpoint_turned_cold_is_not_used() -> None:
    """Guards against requests that were granted when it was warm.

    The end of one cold period varies with the endpoint's heartbeats.
    """
    world = _World(rate_world.Plan(), 1)
    endpoint = world.view.endpoints["e0"]
    checks = []
    for until_s in (100.0, 101.0, 120.0):
        _set_cold(world.view, "e0", until_s)
        checks.append(world.clients["g0"].leaving.checker(endpoint))
    checks[2]()
    for check in checks[:2]:
        with pytest.raises(errors.EndpointRefusedError):
            check()
    _set_cold(world.view, "e0", 101.0)
    checks[0]()


def _read(age_s: float = 0.0, now: float = 1000.0) -> observation.Read:
    return observation.Read(now, now - age_s, (now - age_s) * 1000)


def _endpoint(
    cold_s: float | None, revision: int, born_s: float = 1.0
) -> fleet_endpoint.Endpoint:
    return dataclasses.replace(
        fake_fleet.endpoint("e0"),
        born_ms=int(born_s * 1000),
        cold_s=cold_s,
        revision=revision,
    )


def _until_s(*reads: tuple[fleet_endpoint.Endpoint, observation.Read]) -> float:
    """Returns until when an endpoint is cold after some reads."""
    seen: dict[str, observation.Seen] = {}
    for endpoint, read in reads:
        observation.observe(seen, [endpoint], {"s": WARM_UP}, read)
    return seen["e0"].cold_until_s


def test_entries_say_until_when_an_endpoint_is_cold() -> None:
    """Guards against an end that moves with each read, or with an old one."""
    margin_s = observation.MARGIN_S
    first = (_endpoint(9.0, 5), _read())
    assert _until_s((_endpoint(0.0, 5), _read())) == -math.inf
    assert _until_s(first) == 1009.0 + margin_s
    assert _until_s(first, (_endpoint(9.0, 5), _read(now=1004.0))) == (
        1009.0 + margin_s
    )
    assert _until_s(first, (_endpoint(0.0, 4), _read(now=1004.0))) == (
        1009.0 + margin_s
    )
    assert _until_s(first, (_endpoint(20.0, 6), _read(now=1004.0))) == (
        1024.0 + margin_s
    )
    assert _until_s(first, (_endpoint(0.0, 6), _read(now=1004.0))) == -math.inf


def test_endpoint_is_cold_that_may_have_just_started() -> None:
    """Guards against entries that do not say yet that an endpoint is cold."""
    new = (_endpoint(0.0, 5, 995.0), _read())
    assert _until_s(new) == 1015.0
    assert _until_s(new, (_endpoint(0.0, 6, 995.0), _read(now=1002.0))) == 1015
    # It may have started since these entries were read.
    old = (_endpoint(0.0, 5), _read(DURATION_S + 1.0))
    assert _until_s(old) == 1000.0 + DURATION_S
    fresh = (_endpoint(0.0, 5), _read(now=1002.0))
    assert _until_s(old, fresh) == -math.inf


def test_unreadable_time_counts_once_for_each_start() -> None:
    """Guards against an endpoint that is cold for ever, or not at all."""
    seen: dict[str, observation.Seen] = {}
    logged = 0
    for step in range(40):
        endpoint = _endpoint(None, step)
        read = _read(now=1000.0 + step)
        logged += len(
            observation.observe(seen, [endpoint], {"s": WARM_UP}, read)
        )
        assert seen["e0"].cold_until_s == 1000.0 + DURATION_S
    assert logged == 1
    started = _endpoint(None, 41, born_s=2.0)
    assert observation.observe(seen, [started], {"s": WARM_UP}, _read())


def _fixed_view() -> fleetview.View:
    view = fleetview.View()
    view.endpoints = {
        f"e{n}": fleet_endpoint.Endpoint(
            f"e{n}",
            "llm",
            f"10.0.0.{n}:80",
            f"d{n % 2}",
            8,
            n == 2,
            born_ms=1_700_000_000_000 + n,
            software_version="v1",
        )
        for n in range(3)
    }
    return view


def test_digest_covers_only_cold_endpoints_of_limited_services() -> None:
    """Guards against builds that always send each other all entries."""
    view = _fixed_view()
    assert fleetview.endpoints_digest(view) == FIXED_DIGEST
    cold = dataclasses.replace(view.endpoints["e0"], cold_s=9.0, revision=7)
    view.endpoints["e0"] = cold
    _make_limited(view)
    assert fleetview.endpoints_digest(view) == FIXED_DIGEST
    assert view.configuration is not None
    view.configuration.warm_ups = {"llm": WARM_UP}
    digests = set()
    for cold_s in (9.0, 8.5, 20.0, 0.0):
        cold = dataclasses.replace(cold, cold_s=cold_s)
        view.endpoints["e0"] = cold
        digests.add(fleetview.endpoints_digest(view))
    assert len(digests) == 3
    assert FIXED_DIGEST in digests


@pytest.mark.parametrize(
    ("written", "cold_s"), [("9000", 9.0), ('"x"', None), ("-1", None)]
)
def test_entry_says_how_long_it_stays_cold(
    written: str, cold_s: float | None
) -> None:
    """Guards against endpoints that are lost for a value out of range."""
    value = (
        '{"Service":"s","Address":"h:1","Zone":"z","State":"ready","Slots":1,'
        f'"Version":"v","ColdRemainingMs":{written},"Seq":1}}'
    )
    endpoint = entries.decode(pairs.Pair("servers/e", value.encode(), 7))
    assert endpoint is not None
    assert (endpoint.cold_s, endpoint.revision) == (cold_s, 7)


@pytest.mark.parametrize(
    ("fields", "is_limited"),
    [
        ('"ColdStartS":20,"ColdPerS":3', True),
        ('"ColdStartS":20', False),
        ('"ColdStartS":20,"ColdPerS":"x"', False),
        ('"ColdStartS":-20,"ColdPerS":3', False),
        ('"ColdStartS":1e9,"ColdPerS":true', False),
    ],
)
def test_service_states_its_warm_up(fields: str, is_limited: bool) -> None:
    """Guards against limits that nobody has stated."""
    value = f'{{"Version":1,"Services":[{{"Name":"s",{fields}}}]}}'
    decoded = configuration.decode(value.encode())
    assert decoded.warm_ups == ({"s": WARM_UP} if is_limited else {})


def test_entries_from_before_the_configuration_count() -> None:
    """Guards against endpoints that are warm until their next entry."""
    runner = test_evacuation._runner("g0", fake_pairs_store.FakeStore())
    view = runner.view
    view.endpoints_read_s = runner.clock.now() - 1.0
    view.endpoints["e0"] = _endpoint(9.0, 5)
    limited = rate_world._configuration()
    limited.version, limited.warm_ups = 2, {"s": WARM_UP}
    runner.layout = dataclasses.replace(
        runner.layout, decode_configuration=lambda _encoded: limited
    )
    runner._observe_warm_ups()
    assert not view.observations
    runner.adopt_configuration(5, b"c", "w0")
    assert view.observations["e0"].cold_until_s == (
        view.endpoints_read_s + 9.0 + observation.MARGIN_S
    )
