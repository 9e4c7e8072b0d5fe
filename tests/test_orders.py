"""Orders to engines, with simulated engines and a simulated clock."""

import dataclasses

import anyio
from anyio import abc
import pytest
from scripted_keyvalue import LOSE
from scripted_keyvalue import ScriptedKeyValue

from ibisknot import configuration
from ibisknot import distribution
from ibisknot import errors
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
    """An engine; `loading` is the end and the content of a load."""

    versions: dict[str, str]
    checks_fencing: bool = True
    adapters: dict[str, list[str]] = dataclasses.field(default_factory=dict)
    fencing: int = 0
    loading: tuple[float, orders.Order] | None = None
    crashed_until_s: float = -1.0
    accepted: list[tuple[int, orders.Order]] = dataclasses.field(
        default_factory=list
    )


class World:
    """A clock, engines, and runners that share a key-value service."""

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

    def wanted(
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
            raise errors.FencedError("old number")
        engine.fencing = max(engine.fencing, fencing)
        engine.accepted.append((fencing, order))
        if order.version == "broken":
            return "does not load"
        if order.kind == orders.LOAD_ADAPTER:
            engine.adapters.setdefault(order.model, []).append(order.adapter)
            return ""
        engine.loading = (self.now + 1.0, order)
        return ""

    def advance(self, seconds: float) -> None:
        self.now += seconds
        for engine in self.engines.values():
            if engine.loading is None or engine.loading[0] > self.now:
                continue
            order = engine.loading[1]
            engine.loading = None
            engine.versions[order.model] = order.version
            if order.version == self.crashing_version:
                engine.versions["small"] = "1"
                engine.crashed_until_s = self.now + 4.0
        loading = [e for e in self.engines.values() if e.loading is not None]
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
    """Guards against a change of version that stops the online traffic."""
    world = World(monkeypatch, 5)
    async with anyio.create_task_group() as group:
        runner = world.make_runner("vm-1", group)
        world.set_configuration(runner, world.wanted(1, "1"))
        await world.run([runner], 5.0)
        assert runner.records.models["small"].good == "1"
        world.set_configuration(runner, world.wanted(2, "2"))
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
    """Guards against a version that fails on one engine after another."""
    world = World(monkeypatch, 5)
    version = "crashing" if crash else "broken"
    world.crashing_version = "crashing"
    async with anyio.create_task_group() as group:
        runner = world.make_runner("vm-1", group)
        world.set_configuration(runner, world.wanted(1, "1"))
        await world.run([runner], 2.0)
        wanted = world.wanted(2, version)
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
        world.set_configuration(runner, world.wanted(3, "3"))
        await world.run([runner], 40.0)
    assert world.loaded_versions() == {"3"}


@pytest.mark.anyio
async def test_new_owner_fences_the_old_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against late orders of a paused holder."""
    world = World(monkeypatch, 2)
    world.engines["e1"].checks_fencing = False
    async with anyio.create_task_group() as group:
        old = world.make_runner("vm-1", group)
        new = world.make_runner("vm-2", group)
        for runner in (old, new):
            world.set_configuration(runner, world.wanted(1, "1"))
        await world.run([old], 2.0)
        old_epoch = old.epoch
        assert old_epoch > 0
        # The old holder is paused; another VM is preferred meanwhile.
        world.active_vms = ["vm-2"]
        world.set_configuration(new, world.wanted(2, "2"))
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
async def test_order_of_a_lost_owner_is_sent_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an order that was recorded but never sent."""
    world = World(monkeypatch, 1)
    async with anyio.create_task_group() as group:
        old = world.make_runner("vm-1", group)
        world.set_configuration(old, world.wanted(1, "2"))

        async def fail_before_sending(
            url: str, order: orders.Order, fencing: int
        ) -> str:
            raise errors.EndpointError("the holder died before it sent")

        old.send_order = fail_before_sending
        await world.run([old], 1.5)
        new = world.make_runner("vm-2", group)
        world.active_vms = ["vm-2"]
        world.set_configuration(new, world.wanted(1, "2"))
        await world.run([new], 15.0)
    assert world.loaded_versions() == {"2"}
    assert [fencing for fencing, _ in world.engines["e0"].accepted] == [
        new.epoch
    ]


@pytest.mark.anyio
async def test_lost_write_responses_neither_lose_nor_repeat_orders(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against orders without a record when answers are lost."""
    world = World(monkeypatch, 3)
    async with anyio.create_task_group() as group:
        runner = world.make_runner("vm-1", group)
        world.set_configuration(runner, world.wanted(1, "2"))
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
    async with anyio.create_task_group() as group:
        runner = world.make_runner("vm-1", group)
        wanted = world.wanted(1, "2")
        wanted.models["small"].adapters = ["polite"]
        world.set_configuration(runner, wanted)
        await world.run([runner], 10.0)
    kinds = [order.kind for _, order in world.engines["e0"].accepted]
    assert kinds == [orders.LOAD, orders.LOAD_ADAPTER]


def test_busy_engines_keep_serving() -> None:
    """Guards against a change that takes capacity which traffic needs."""
    busy = orders.EngineReport({"small": "1"}, running=8, slots=10)
    engines = {f"e{n}": orders.EngineState(report=busy) for n in range(4)}
    order = orders.Order("e0", orders.LOAD, "small", "2")
    assert not orders.may_load(order, engines, {}, max_concurrent_loads=4)
    idle = orders.EngineReport({"small": "1"}, running=1, slots=10)
    engines = {f"e{n}": orders.EngineState(report=idle) for n in range(4)}
    assert orders.may_load(order, engines, {}, max_concurrent_loads=4)


def test_weight_store_rate_bounds_loads() -> None:
    """Guards against loads that together outrun the weight store."""
    pace = load_pacing.LoadPace()
    start_count = 0
    for step in range(1000):
        if load_pacing.may_start(pace, step * 0.01):
            load_pacing.record_start(pace, step * 0.01, ORDER_SETTINGS)
            start_count += 1
    assert start_count == 20
