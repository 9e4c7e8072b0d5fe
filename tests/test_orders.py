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
from ibisknot import order_records
from ibisknot import orders
from ibisknot import orders_runner
from ibisknot import sections
from ibisknot import settings
from ibisknot import weights

LIMITS = settings.Orders(
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
    taken: list[tuple[int, orders.Order]] = dataclasses.field(
        default_factory=list
    )


class World:
    """A clock, engines, and runners that share a key-value service."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, count: int) -> None:
        self.now = 100.0
        monkeypatch.setattr(anyio, "current_time", lambda: self.now)
        self.store = ScriptedKeyValue()
        self.engines = {
            f"e{n}": SimulatedEngine({"small": "1"}) for n in range(count)
        }
        self.least_serving = count
        self.most_loading = 0
        self.crash_on = ""
        self.live = ["vm-1"]

    def wanted(self, version: int, model: str) -> configuration.Configuration:
        return configuration.Configuration(
            version=version,
            models={"small": configuration.Model(model)},
            endpoints={
                name: configuration.Endpoint(
                    "engine", name, ["small"], "x", simulated.checks_fencing
                )
                for name, simulated in self.engines.items()
            },
        )

    def runner(self, name: str, group: abc.TaskGroup) -> orders_runner.Runner:
        source = distribution.LocalConfiguration(
            vm_name=name, listed_vms=lambda: [name]
        )
        return orders_runner.Runner(
            source,
            self.store,
            live=lambda: self.live,
            limits=LIMITS,
            report=self.report,
            send=self.send,
            group=group,
        )

    def state(
        self,
        runner: orders_runner.Runner,
        wanted: configuration.Configuration,
    ) -> None:
        head = sections.Head(wanted.version)
        runner.source.adopt(sections.State(head, wanted), [])

    async def report(self, url: str) -> orders.Report | None:
        engine = self.engines[url]
        if self.now < engine.crashed_until_s:
            return None
        return orders.Report(
            dict(engine.versions), dict(engine.adapters), slots=8
        )

    async def send(self, url: str, order: orders.Order, fencing: int) -> str:
        engine = self.engines[url]
        if self.now < engine.crashed_until_s:
            raise errors.EndpointError("down")
        if engine.checks_fencing and fencing < engine.fencing:
            raise errors.FencedError("old number")
        engine.fencing = max(engine.fencing, fencing)
        engine.taken.append((fencing, order))
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
            if order.version == self.crash_on:
                engine.versions["small"] = "1"
                engine.crashed_until_s = self.now + 4.0
        loading = [e for e in self.engines.values() if e.loading is not None]
        self.most_loading = max(self.most_loading, len(loading))
        serving = len(self.engines) - len(loading)
        self.least_serving = min(self.least_serving, serving)
        self.store.service.data.expire(self.now)

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

    def versions(self) -> set[str]:
        return {engine.versions["small"] for engine in self.engines.values()}


@pytest.mark.anyio
async def test_rolling_change_keeps_engines_serving(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a change of version that stops the online traffic."""
    world = World(monkeypatch, 5)
    async with anyio.create_task_group() as group:
        runner = world.runner("vm-1", group)
        world.state(runner, world.wanted(1, "1"))
        await world.run([runner], 5.0)
        assert runner.book.models["small"].good == "1"
        world.state(runner, world.wanted(2, "2"))
        await world.run([runner], 1.0)
        await world.run([runner], 2.0)
        changed = [e for e in world.engines.values() if e.taken]
        assert len(changed) == 1, "one engine tries a new version first"
        await world.run([runner], 30.0)
    assert world.versions() == {"2"}
    assert world.least_serving >= 3
    assert world.most_loading <= weights.loads_at_once(LIMITS)
    assert all(len(e.taken) == 1 for e in world.engines.values())


@pytest.mark.anyio
@pytest.mark.parametrize("crash", [False, True])
async def test_bad_version_is_stopped_and_shown(
    monkeypatch: pytest.MonkeyPatch, crash: bool
) -> None:
    """Guards against a version that fails on one engine after another."""
    world = World(monkeypatch, 5)
    version = "crashing" if crash else "broken"
    world.crash_on = "crashing"
    async with anyio.create_task_group() as group:
        runner = world.runner("vm-1", group)
        world.state(runner, world.wanted(1, "1"))
        await world.run([runner], 2.0)
        wanted = world.wanted(2, version)
        world.state(runner, wanted)
        await world.run([runner], 60.0)
        tried = sum(len(e.taken) for e in world.engines.values())
        shown = await order_records.shown(world.store, wanted)
        stopped = [s for s in shown if s.state == "stopped"]
        assert [(s.model, s.wanted) for s in stopped] == [("small", version)]
        assert stopped[0].reason
        assert tried == orders.MAXIMUM_FAILURES
        assert world.versions() == {"1"}
        world.state(runner, world.wanted(3, "3"))
        await world.run([runner], 40.0)
    assert world.versions() == {"3"}


@pytest.mark.anyio
async def test_new_holder_fences_the_old_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against late orders of a paused holder."""
    world = World(monkeypatch, 2)
    world.engines["e1"].checks_fencing = False
    async with anyio.create_task_group() as group:
        old = world.runner("vm-1", group)
        new = world.runner("vm-2", group)
        for runner in (old, new):
            world.state(runner, world.wanted(1, "1"))
        await world.run([old], 2.0)
        first = old.epoch
        assert first > 0
        # The old holder is paused; another VM is preferred meanwhile.
        world.live = ["vm-2"]
        world.state(new, world.wanted(2, "2"))
        taken_s = world.now
        await world.run([new], 6.0)
        assert new.epoch > first
        assert not world.engines["e1"].taken, "ordered before the wait was over"
        assert world.engines["e0"].taken[-1][0] == new.epoch
        with pytest.raises(errors.FencedError):
            order = orders.Order("e0", orders.LOAD, "small", "9")
            await world.send("e0", order, first)
        assert not old.holds()
        await world.run([new], 60.0)
        assert world.now > taken_s
    assert world.versions() == {"2"}


@pytest.mark.anyio
async def test_order_of_a_lost_holder_is_sent_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an order that was recorded but never sent."""
    world = World(monkeypatch, 1)
    async with anyio.create_task_group() as group:
        old = world.runner("vm-1", group)
        world.state(old, world.wanted(1, "2"))

        async def vanish(url: str, order: orders.Order, fencing: int) -> str:
            raise errors.EndpointError("the holder died before it sent")

        old.send = vanish
        await world.run([old], 1.5)
        new = world.runner("vm-2", group)
        world.live = ["vm-2"]
        world.state(new, world.wanted(1, "2"))
        await world.run([new], 15.0)
    assert world.versions() == {"2"}
    assert [fencing for fencing, _ in world.engines["e0"].taken] == [new.epoch]


@pytest.mark.anyio
async def test_lost_answers_neither_lose_nor_repeat_orders(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against orders without a record when answers are lost."""
    world = World(monkeypatch, 3)
    async with anyio.create_task_group() as group:
        runner = world.runner("vm-1", group)
        world.state(runner, world.wanted(1, "2"))
        world.store.script["/v3/kv/txn"] = [LOSE] * 100
        await world.run([runner], 40.0)
    assert world.versions() == {"2"}
    assert all(len(e.taken) == 1 for e in world.engines.values())


@pytest.mark.anyio
async def test_adapters_follow_their_model(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an adapter that is ordered before its model."""
    world = World(monkeypatch, 1)
    async with anyio.create_task_group() as group:
        runner = world.runner("vm-1", group)
        wanted = world.wanted(1, "2")
        wanted.models["small"].adapters = ["polite"]
        world.state(runner, wanted)
        await world.run([runner], 10.0)
    kinds = [order.kind for _, order in world.engines["e0"].taken]
    assert kinds == [orders.LOAD, orders.LOAD_ADAPTER]


def test_busy_engines_are_not_taken_out() -> None:
    """Guards against a change that takes capacity which traffic needs."""
    busy = orders.Report({"small": "1"}, running=8, slots=10)
    engines = {f"e{n}": orders.Engine(report=busy) for n in range(4)}
    order = orders.Order("e0", orders.LOAD, "small", "2")
    assert not orders.may_load(order, engines, {}, at_once=4)
    idle = orders.Report({"small": "1"}, running=1, slots=10)
    engines = {f"e{n}": orders.Engine(report=idle) for n in range(4)}
    assert orders.may_load(order, engines, {}, at_once=4)


def test_weight_store_rate_bounds_loads() -> None:
    """Guards against loads that together outrun the weight store."""
    pace = weights.Pace()
    starts = 0
    for step in range(1000):
        if weights.may_start(pace, step * 0.01):
            weights.started(pace, step * 0.01, LIMITS)
            starts += 1
    assert starts == 20
