"""No request is sent to a data centre that the operator evacuates."""

import dataclasses
import pathlib
import random
import time
from typing import Any

import anyio
import fake_fleet
import fake_pairs_store
import platform_fleet
import pytest
import rate_world
import scripted
import tunnel_world

from ibisknot import admission
from ibisknot import deployment
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import http_call
from ibisknot import http_client
from ibisknot import pairs
from ibisknot import store_layout
from ibisknot import ticket_types
from ibisknot import tunnel
from ibisknot import view_exchange
from ibisknot import view_runner
from ibisknot.evacuation import known
from ibisknot.gen.fleet import ttypes

State = ttypes.PlaceState
PREFIX = "o/evacuate/"


def _evacuated(*names: str, revision: int = 5) -> known.Known:
    return known.after_listing(known.Known(), names, revision)


def _runner(name: str, store: fake_pairs_store.FakeStore) -> view_runner.Runner:
    """Returns a process that knows nothing of evacuations yet."""
    view = fake_fleet.view(endpoints=2)
    view.configuration = rate_world._configuration()
    process = fake_fleet.process(name)
    process.kind = view.members[name].kind
    return view_runner.Runner(
        process,
        store,
        store,
        view,
        store_layout.Layout(
            "o/",
            "o/c",
            "e/",
            "m/",
            lambda _encoded: rate_world._configuration(),
            lambda _pair: None,
            PREFIX,
        ),
        fake_fleet.Peers(),  # type: ignore[arg-type]
        fake_fleet.Clock(),  # type: ignore[arg-type]
        fake_fleet.TaskGroup(),
    )


def _write(store: fake_pairs_store.FakeStore, name: str, on: bool) -> None:
    """Writes or deletes the operator's order to evacuate a data centre."""
    key = PREFIX + name
    puts, deletes = ([pairs.Put(key, b"{}")], []) if on else ([], [key])

    async def write() -> None:
        await store.transact([], puts, deletes=deletes)

    anyio.run(write)


def _send(source: view_runner.Runner, target: view_runner.Runner) -> None:
    """Sends a short update from one process to another."""
    update = source.exchange._compose_update()
    anyio.run(target.exchange.on_update, update)


@pytest.mark.parametrize("seed", range(20))
def test_processes_agree_and_never_go_back(seed: int) -> None:
    """Guards against orders that are lost, or come back, on their way.

    Only some processes read the store now and then; all tell each other.
    """
    rng = random.Random(seed)
    store = fake_pairs_store.FakeStore()
    names = ["w0", "w1", "g0", "g1"]
    runners = [_runner(name, store) for name in names]
    truth = {0: frozenset[str]()}
    for _ in range(200):
        action = rng.randrange(4)
        if action == 0:
            name, on = rng.choice("abc"), rng.random() < 0.5
            _write(store, name, on)
            before = truth[store.revision - 1]
            truth[store.revision] = before - {name} | ({name} if on else set())
        elif action == 1:
            anyio.run(rng.choice(runners[:3]).operator_watch._read_all)
        else:
            source, target = rng.sample(runners, 2)
            revision = target.view.evacuations.revision
            _send(source, target)
            assert target.view.evacuations.revision >= revision
        for runner in runners:
            evacuations = runner.view.evacuations
            assert evacuations.data_centres == truth[evacuations.revision]
    anyio.run(runners[0].operator_watch._read_all)
    for target in runners[1:]:
        _send(runners[0], target)
        assert target.view.evacuations.data_centres == truth[store.revision]


def test_nothing_is_sent_before_an_evacuation_was_seen() -> None:
    """Guards against larger updates in fleets that never evacuate.

    An order that was taken back is told on, so that all hear of it.
    """
    store = fake_pairs_store.FakeStore()
    store.revision = 7
    worker = _runner("w0", store)
    anyio.run(worker.operator_watch._read_all)
    update = worker.exchange._compose_update()
    assert update.evacuations_revision is None
    assert update.evacuated_data_centres is None
    order = pairs.Change(PREFIX + "a", b"{}", 8)
    worker._apply_operator_change(order)
    worker._apply_operator_change(dataclasses.replace(order, value=None))
    assert worker.exchange._compose_update().evacuated_data_centres == []


def test_process_that_starts_adopts_evacuations_before_the_rest() -> None:
    """Guards against old entries that are used without their evacuation.

    The update is too old for a process that has just started to use the
    configuration and the entries in it.
    """
    gateway = _runner("g0", fake_pairs_store.FakeStore())
    gateway.view.configuration = None
    gateway.view.endpoints = {}
    seen: list[frozenset[str]] = []
    gateway.configuration_callbacks.append(
        lambda: seen.append(gateway.view.evacuations.data_centres)
    )
    worker = _runner("w0", fake_pairs_store.FakeStore())
    worker.view.evacuations = _evacuated("d")
    worker.view.encoded_configuration = b"c"
    worker.view.configuration_revision = 3
    update = worker.exchange._compose_update(configuration=True)
    update.configuration_age_s = view_exchange.RECENT_READ_S + 1.0
    anyio.run(gateway.exchange.on_update, update)
    assert gateway.view.configuration is None
    assert gateway.view.evacuations.data_centres == {"d"}
    update.configuration_age_s = 0.0
    anyio.run(gateway.exchange.on_update, update)
    assert seen == [{"d"}]


@pytest.mark.parametrize(("name", "sends"), [("w0", 3), ("g1", 3)])
def test_process_that_reads_an_order_tells_all(name: str, sends: int) -> None:
    """Guards against gateways that hear of an order only by chance."""
    store = fake_pairs_store.FakeStore()
    _write(store, "d", True)
    runner = _runner(name, store)
    anyio.run(runner.operator_watch._read_all)
    peers: Any = runner.peers
    peers.answers["view_news"] = lambda _a, _m: ttypes.ViewAck(0, 0, False)
    anyio.run(runner.task_group.run)  # type: ignore[attr-defined]
    assert len({address for address, _, _ in peers.calls}) == sends


def test_unknown_data_centre_is_kept_and_logged_once(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against an order that is lost as its endpoints come later."""
    store = fake_pairs_store.FakeStore()
    _write(store, "later", True)
    runner = _runner("w0", store)
    for _ in range(3):
        anyio.run(runner.operator_watch._read_all)
    assert caplog.text.count("evacuated_data_centre_unknown") == 1
    later = dataclasses.replace(fake_fleet.endpoint("x"), data_centre="later")
    runner.view.endpoints["x"] = later
    names = [e.name for e in fleetview.active_endpoints(runner.view, "s")]
    assert names == ["e0", "e1"]


class _World(rate_world.World):
    """A fleet whose endpoint `e0` is in data centre `a`, `e1` in `b`.

    Attributes:
        used: Second and endpoint of each request.
    """

    def __init__(self, plan: rate_world.Plan, seed: int) -> None:
        super().__init__(plan, seed)
        self.used: list[tuple[float, str]] = []
        for name, data_centre in (("e0", "a"), ("e1", "b")):
            endpoint = fake_fleet.endpoint(name, slots=1000)
            self.view.endpoints[name] = dataclasses.replace(
                endpoint, data_centre=data_centre
            )

    async def request(self, gateway: str) -> None:
        """Makes a request with a prompt of its own at a gateway."""
        client = self.clients[gateway]
        self.asked += 1
        ticket = await client.acquire(
            ticket_types.TicketRequest(
                service="s",
                kind=admission.ONLINE,
                request_id=f"r{self.asked}",
                organisation=None,
                max_wait_s=1.0,
                prompt_blocks=(self.asked,),
            )
        )
        self.used.append((self.seconds(), ticket.endpoint.name))
        client.release(ticket, admission.OK)

    async def _wake(self) -> None:
        await super()._wake()
        names = ["a"] if 3.0 <= self.seconds() < 6.0 else []
        self.view.evacuations = known.Known(1, frozenset(names), True)


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("fault", ["none", "cut", "killed", "all killed"])
def test_evacuated_endpoints_get_nothing_over_changes_of_scheduler(
    seed: int, fault: str
) -> None:
    """Guards against grants of a standby, and of processes without any."""
    rng = random.Random(seed)
    start_s = rng.uniform(2.5, 4.0)
    plan = rate_world.Plan()
    if fault == "cut":
        plan.is_cut = lambda source, target, now: (
            now >= start_s and target == "w0" and source < "g5"
        )
    if fault == "killed":
        plan.killed_s = {"w0": [start_s]}
    if fault == "all killed":
        plan.killed_s = {f"w{n}": [start_s, start_s + 1.0] for n in range(3)}
    world = _World(plan, seed)
    anyio.run(world.play, 8.0, lambda _seconds, _name: 4.0)
    for is_expected, start, end in (
        (True, 0.0, 3.0),
        (False, 3.0, 6.0),
        (True, 6.5, 8.0),
    ):
        used = {name for now, name in world.used if start <= now < end}
        assert used == ({"e0", "e1"} if is_expected else {"e1"})


def test_grant_of_a_scheduler_that_knows_nothing_is_declined() -> None:
    """Guards against a scheduler that has just started, or an older build."""

    async def main() -> None:
        world = _World(rate_world.Plan(), 1)
        client = world.clients["g0"]
        client.view = dataclasses.replace(
            world.view, evacuations=_evacuated("a")
        )
        client.leaving.view = client.view
        for _ in range(20):
            await world.request("g0")
        assert {name for _, name in world.used} == {"e1"}
        client.view.evacuations = _evacuated("a", "b", revision=6)
        with pytest.raises(errors.OverloadedError) as raised:
            client.leaving.check_service("s", None)
        assert raised.value.ran == errors.NOT_RUN
        assert raised.value.retry_after_s

    anyio.run(main)


def test_request_with_a_ticket_is_not_sent_after_an_evacuation() -> None:
    """Guards against a ticket from before the evacuation.

    The order arrives while the request connects to its endpoint.
    """

    async def main() -> None:
        endpoint = scripted.ScriptedEndpoint(
            "e0", [scripted.script_bytes(b"HTTP/1.1 200 OK\r\n\r\n")]
        )
        world = _World(rate_world.Plan(), 1)
        table = world.clients["g0"].leaving
        async with scripted.serving_endpoints(endpoint):
            call = http_call.Call(
                endpoint.address,
                b"GET",
                b"/",
                [(b"Host", b"h")],
                check_sendable=table.checker(endpoint.endpoint()),
            )
            world.view.evacuations = _evacuated("d")
            with pytest.raises(errors.EndpointRefusedError) as raised:
                await http_client.Client().fetch(call)
            assert raised.value.ran == errors.NOT_RUN
            assert endpoint.received_heads == []

    anyio.run(main)


@pytest.mark.parametrize("is_evacuated", [False, True])
def test_helper_relays_no_request_to_an_evacuated_endpoint(
    is_evacuated: bool,
) -> None:
    """Guards against the requests of a process that does not know yet.

    A tunnel can be opened, as it shows whether the endpoint is up.
    """

    async def main() -> None:
        endpoint = scripted.ScriptedEndpoint(
            "e0", [scripted.script_bytes(b"x", closes=True)]
        )
        async with tunnel_world.fleet(endpoint) as (caller, _helper):
            view = caller.connector.view
            state, stream = await tunnel.connect(
                caller.connector.peers,
                view.members["g1"].address,
                endpoint.address,
                max_s=None,
            )
            assert state == ttypes.TunnelState.OPENED
            assert stream is not None
            if is_evacuated:
                view.evacuations = _evacuated("d")
            await stream.send(b"GET / HTTP/1.1\r\n\r\n")
            with anyio.fail_after(10.0):
                try:
                    assert await stream.receive() == b"x"
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    assert is_evacuated
            assert bool(endpoint.received_heads) != is_evacuated

    anyio.run(main)


def test_evacuation_reaches_gateways_that_the_store_turns_away(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against orders that only processes with the store obey.

    A worker is killed meanwhile, so that the other one schedules.
    """
    with platform_fleet.run_fleet(tmp_path) as fleet:
        fleet.start_engine(2, "--zone=d2")
        fleet.wait_for_endpoint("e-2")
        assert fleet.submit("j-1", 30, events=100).status_code == 202
        platform_fleet.wait_for(lambda: fleet.runs(2))
        fleet.set_store_faults(refuse=[fleet.ip(20), fleet.ip(21)])
        fleet.write_as_operator({"op/evacuate/d2": {}})
        fleet.programs["store-0"].stop()
        time.sleep(deployment.Bounds().evacuation_s)
        count = len(fleet.runs(2))
        answers = [fleet.chat(n % 2) for n in range(40)]
        assert {a.status_code for a in answers} == {200}
        assert len(fleet.runs(2)) == count
        fleet.write_as_operator({"op/evacuate/d2": None})

        fleet.submit("j-2", 30)
        platform_fleet.wait_for(lambda: len(fleet.runs(2)) > count)
        fleet.write_as_operator(
            {"op/evacuate/d1": {}, "op/evacuate/d2": {}, "op/evacuate/x": {}}
        )
        platform_fleet.wait_for(lambda: fleet.chat(1).status_code == 503)
        assert float(fleet.chat(1).headers["Retry-After"]) > 0.0
