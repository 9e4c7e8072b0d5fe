"""Tests orders to engines, with simulated engines and a simulated clock."""

import dataclasses

import anyio
from anyio import abc
import pytest
from scripted_keyvalue import LOSE
from scripted_keyvalue import ScriptedKeyValue

from ibisknot import configuration
from ibisknot import distribution
from ibisknot import errors
from ibisknot import keyvalue
from ibisknot import load_pacing
from ibisknot import order_records
from ibisknot import orders
from ibisknot import orders_runner
from ibisknot import sections
from ibisknot import settings

ORDER_SETTINGS = settings.Orders(
    lease_s=3.0,
    longest_pause_s=4.0,
    longest_order_s=5.0,
    trial_s=2.0,
    weight_rate_bytes_s=1e9,
    weight_bytes=500_000_000,
)


@dataclasses.dataclass
class SimulatedEngine:
    """A simulated engine.

    Attributes:
        versions: Loaded version by model.
        checks_fencing: Whether it refuses orders with a lower fencing number.
        adapters: Loaded adapters by model.
        fencing: Highest fencing number of the orders that it accepted.
        load: The load in progress, with the time at which it ends.
        crashed_until_s: Time until which it does not answer.
        accepted: The orders that it accepted, with their fencing numbers.
    """

    versions: dict[str, str]
    checks_fencing: bool = True
    adapters: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    fencing: int = 0
    load: tuple[float, orders.Order] | None = None
    crashed_until_s: float = -1.0
    accepted: list[tuple[int, orders.Order]] = dataclasses.field(
        default_factory=list
    )


class World:
    """A clock, engines, and runners that share a key-value service.

    Attributes:
        now: The simulated time in seconds.
        key_value: The shared key-value service.
        engines: Simulated engines by endpoint name, which is also their URL.
        min_serving: Smallest number of engines without a load in progress.
        max_loading: Largest number of engines with a load in progress.
        crashing_version: Version that crashes an engine once it is loaded.
        active_vms: VMs from which the owner of the shard is chosen.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, count: int) -> None:
        self.now = 100.0
        monkeypatch.setattr(anyio, "current_time", lambda: self.now)
        self.key_value = ScriptedKeyValue()
        self.engines = {
            f"e{n}": SimulatedEngine({"small": "1"}) for n in range(count)
        }
        self.min_serving = count
        self.max_loading = 0
        self.crashing_version = ""
        self.active_vms = ["vm-1"]

    def make_configuration(
        self, version: int, model_version: str
    ) -> configuration.Configuration:
        return configuration.Configuration(
            version=version,
            models={"small": configuration.Model(model_version)},
            endpoints={
                name: configuration.Endpoint(
                    "engine", name, ["small"], "x", simulated.checks_fencing
                )
                for name, simulated in self.engines.items()
            },
        )

    def make_runner(
        self, name: str, task_group: abc.TaskGroup
    ) -> orders_runner.Runner:
        source = distribution.LocalConfiguration(
            vm_name=name, listed_vms=lambda: [name]
        )
        return orders_runner.Runner(
            source,
            self.key_value,
            active_vms=lambda: self.active_vms,
            order_settings=ORDER_SETTINGS,
            read_report=self.read_report,
            send_order=self.send_order,
            task_group=task_group,
        )

    def set_configuration(
        self,
        runner: orders_runner.Runner,
        wanted: configuration.Configuration,
    ) -> None:
        head = sections.Head(wanted.version)
        runner.source.adopt(sections.State(head, wanted), [])

    async def read_report(self, url: str) -> orders.EngineReport | None:
        engine = self.engines[url]
        if self.now < engine.crashed_until_s:
            return None
        return orders.EngineReport(
            dict(engine.versions), dict(engine.adapters), slots=8
        )

    async def send_order(
        self, url: str, order: orders.Order, fencing: int
    ) -> str:
        engine = self.engines[url]
        if self.now < engine.crashed_until_s:
            raise errors.EndpointError("down")
        if engine.checks_fencing and fencing < engine.fencing:
            raise errors.FencedError("old fencing number")
        engine.fencing = max(engine.fencing, fencing)
        engine.accepted.append((fencing, order))
        if order.version == "broken":
            return "does not load"
        if order.kind == orders.LOAD_ADAPTER:
            engine.adapters.setdefault(order.model, []).append(order.adapter)
            return ""
        engine.load = (self.now + 1.0, order)
        return ""

    def advance(self, seconds: float) -> None:
        self.now += seconds
        for engine in self.engines.values():
            if engine.load is None or engine.load[0] > self.now:
                continue
            order = engine.load[1]
            engine.load = None
            engine.versions[order.model] = order.version
            if order.version == self.crashing_version:
                engine.versions["small"] = "1"
                engine.crashed_until_s = self.now + 4.0
        loading = [e for e in self.engines.values() if e.load is not None]
        self.max_loading = max(self.max_loading, len(loading))
        serving = len(self.engines) - len(loading)
        self.min_serving = min(self.min_serving, serving)
        self.key_value.service.database.expire_leases(self.now)

    async def run(
        self, runners: list[orders_runner.Runner], seconds: float
    ) -> None:
        end_s = self.now + seconds
        while self.now < end_s:
            self.advance(0.5)
            for runner in runners:
                try:
                    await runner.tick(self.now)
                except errors.KeyValueError:
                    pass
                await anyio.lowlevel.checkpoint()
                await anyio.lowlevel.checkpoint()

    def loaded_versions(self) -> set[str]:
        return {engine.versions["small"] for engine in self.engines.values()}


@pytest.mark.anyio
async def test_rolling_change_keeps_engines_serving(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a version change that leaves too few engines serving."""
    world = World(monkeypatch, 5)
    async with anyio.create_task_group() as task_group:
        runner = world.make_runner("vm-1", task_group)
        world.set_configuration(runner, world.make_configuration(1, "1"))
        await world.run([runner], 5.0)
        assert runner.records.models["small"].good == "1"
        world.set_configuration(runner, world.make_configuration(2, "2"))
        await world.run([runner], 1.0)
        await world.run([runner], 2.0)
        changed = [e for e in world.engines.values() if e.accepted]
        assert len(changed) == 1, "one engine tries a new version first"
        await world.run([runner], 30.0)
    assert world.loaded_versions() == {"2"}
    assert world.min_serving >= 3
    assert world.max_loading <= load_pacing.max_concurrent_loads(ORDER_SETTINGS)
    assert all(len(e.accepted) == 1 for e in world.engines.values())


@pytest.mark.anyio
@pytest.mark.parametrize("crash", [False, True])
async def test_bad_version_is_stopped_and_shown(
    monkeypatch: pytest.MonkeyPatch, crash: bool
) -> None:
    """Guards against a broken version that is loaded on all engines."""
    world = World(monkeypatch, 5)
    version = "crashing" if crash else "broken"
    world.crashing_version = "crashing"
    async with anyio.create_task_group() as task_group:
        runner = world.make_runner("vm-1", task_group)
        world.set_configuration(runner, world.make_configuration(1, "1"))
        await world.run([runner], 2.0)
        wanted = world.make_configuration(2, version)
        world.set_configuration(runner, wanted)
        await world.run([runner], 60.0)
        load_count = sum(len(e.accepted) for e in world.engines.values())
        statuses = await order_records.read_order_statuses(
            world.key_value, wanted
        )
        stopped = [s for s in statuses if s.state == "stopped"]
        assert [(s.model, s.wanted) for s in stopped] == [("small", version)]
        assert stopped[0].reason
        assert load_count == orders.MAX_VERSION_FAILURES
        assert world.loaded_versions() == {"1"}
        world.set_configuration(runner, world.make_configuration(3, "3"))
        await world.run([runner], 40.0)
    assert world.loaded_versions() == {"3"}


@pytest.mark.anyio
async def test_new_owner_fences_the_old_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against late orders of an owner that was paused."""
    world = World(monkeypatch, 2)
    world.engines["e1"].checks_fencing = False
    async with anyio.create_task_group() as task_group:
        old = world.make_runner("vm-1", task_group)
        new = world.make_runner("vm-2", task_group)
        for runner in (old, new):
            world.set_configuration(runner, world.make_configuration(1, "1"))
        await world.run([old], 2.0)
        old_epoch = old.epoch
        assert old_epoch > 0
        # The old owner is paused while another VM becomes the preferred owner.
        world.active_vms = ["vm-2"]
        world.set_configuration(new, world.make_configuration(2, "2"))
        takeover_s = world.now
        await world.run([new], 6.0)
        assert new.epoch > old_epoch
        assert not world.engines["e1"].accepted, (
            "ordered before the wait was over"
        )
        assert world.engines["e0"].accepted[-1][0] == new.epoch
        with pytest.raises(errors.FencedError):
            order = orders.Order("e0", orders.LOAD, "small", "9")
            await world.send_order("e0", order, old_epoch)
        assert not old.owns_shard()
        await world.run([new], 60.0)
        assert world.now > takeover_s
    assert world.loaded_versions() == {"2"}


@pytest.mark.anyio
async def test_shard_whose_records_could_not_be_read_is_released(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a shard that is owned while nobody sends its orders."""
    world = World(monkeypatch, 1)
    async with anyio.create_task_group() as task_group:
        runner = world.make_runner("vm-1", task_group)
        world.set_configuration(runner, world.make_configuration(1, "1"))
        read_all = runner.records.read_all

        async def fail(_guard: keyvalue.Guard) -> None:
            raise errors.KeyValueError("the service did not answer")

        monkeypatch.setattr(runner.records, "read_all", fail)
        await world.run([runner], 0.5)
        assert not runner.owns_shard()
        monkeypatch.setattr(runner.records, "read_all", read_all)
        await world.run([runner], 1.0)
        assert runner.owns_shard()


@pytest.mark.anyio
async def test_order_of_a_lost_owner_is_sent_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an order that was recorded but never sent."""
    world = World(monkeypatch, 1)
    async with anyio.create_task_group() as task_group:
        old = world.make_runner("vm-1", task_group)
        world.set_configuration(old, world.make_configuration(1, "2"))

        async def fail_before_sending(
            url: str, order: orders.Order, fencing: int
        ) -> str:
            raise errors.EndpointError("the owner stopped before it sent")

        old.send_order = fail_before_sending
        await world.run([old], 1.5)
        new = world.make_runner("vm-2", task_group)
        world.active_vms = ["vm-2"]
        world.set_configuration(new, world.make_configuration(1, "2"))
        await world.run([new], 15.0)
    assert world.loaded_versions() == {"2"}
    assert [fencing for fencing, _ in world.engines["e0"].accepted] == [
        new.epoch
    ]


@pytest.mark.anyio
async def test_lost_write_responses_neither_lose_nor_repeat_orders(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against lost or repeated orders when write responses are lost."""
    world = World(monkeypatch, 3)
    async with anyio.create_task_group() as task_group:
        runner = world.make_runner("vm-1", task_group)
        world.set_configuration(runner, world.make_configuration(1, "2"))
        world.key_value.script["/v3/kv/txn"] = [LOSE] * 100
        await world.run([runner], 40.0)
    assert world.loaded_versions() == {"2"}
    assert all(len(e.accepted) == 1 for e in world.engines.values())


@pytest.mark.anyio
async def test_adapters_follow_their_model(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an adapter that is ordered before its model."""
    world = World(monkeypatch, 1)
    async with anyio.create_task_group() as task_group:
        runner = world.make_runner("vm-1", task_group)
        wanted = world.make_configuration(1, "2")
        wanted.models["small"].adapters = ["polite"]
        world.set_configuration(runner, wanted)
        await world.run([runner], 10.0)
    kinds = [order.kind for _, order in world.engines["e0"].accepted]
    assert kinds == [orders.LOAD, orders.LOAD_ADAPTER]


def test_busy_engines_keep_serving() -> None:
    """Guards against a load on an engine whose capacity is needed."""
    busy = orders.EngineReport({"small": "1"}, running=8, slots=10)
    engines = {f"e{n}": orders.EngineState(report=busy) for n in range(4)}
    order = orders.Order("e0", orders.LOAD, "small", "2")
    assert not orders.may_load(order, engines, {}, max_concurrent_loads=4)
    idle = orders.EngineReport({"small": "1"}, running=1, slots=10)
    engines = {f"e{n}": orders.EngineState(report=idle) for n in range(4)}
    assert orders.may_load(order, engines, {}, max_concurrent_loads=4)


def test_weight_store_rate_bounds_loads() -> None:
    """Guards against loads that together exceed the weight store's rate."""
    pace = load_pacing.LoadPace()
    start_count = 0
    for step in range(1000):
        if load_pacing.may_start(pace, step * 0.01):
            load_pacing.record_start(pace, step * 0.01, ORDER_SETTINGS)
            start_count += 1
    assert start_count == 20
