"""One batch job under faults, with one and with two owners."""

import os
import pathlib
import random
import tempfile
from typing import Any

import anyio
import batch_world
import hypothesis
from hypothesis import strategies
import pytest

from ibisknot import errors
from ibisknot import jobs
from ibisknot import outputs
from ibisknot import repairs
from ibisknot import runs
from ibisknot import store

pytestmark = pytest.mark.anyio


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes retries immediate, and the order of steps the same each time."""

    async def run_inline(function: Any, *arguments: Any) -> Any:
        return function(*arguments)

    monkeypatch.setattr(store.to_thread, "run_sync", run_inline)
    monkeypatch.setattr(os, "fsync", lambda _descriptor: None)
    monkeypatch.setattr(runs, "RETRY_S", 0.0)
    monkeypatch.setattr(jobs, "READ_BACK_PAUSES_S", (0.0,))


def check_completed(world: batch_world.World, total: int) -> None:
    job = world.job()
    assert job.state == jobs.COMPLETED
    assert job.completed == total
    first, second = [world.bodies(vm) for vm in job.replicas]
    assert first == second
    assert sorted(first) == list(range(total))


async def test_job_completes_on_both_copies(tmp_path: pathlib.Path) -> None:
    """Guards against results that only one copy has."""
    world = batch_world.World(tmp_path)
    await batch_world.accept(world, [3, 2])
    batch_world.take(world, "x", 1)
    await batch_world.own(world, "x", 1)
    check_completed(world, 5)


async def test_lost_store_is_replaced(tmp_path: pathlib.Path) -> None:
    """Guards against a job that stops when the VM of a copy is gone."""
    world = batch_world.World(tmp_path)
    await batch_world.accept(world, [3])
    world.unlist("vm-0")
    batch_world.take(world, "x", 1)
    await batch_world.own(world, "x", 1)
    check_completed(world, 3)
    assert world.job().replicas == ["vm-1", "vm-2"]


async def test_emptied_disk_is_replaced(tmp_path: pathlib.Path) -> None:
    """Guards against an empty disk passing for a copy."""
    world = batch_world.World(tmp_path)
    await batch_world.accept(world, [3])
    world.empty_disk("vm-1")
    batch_world.take(world, "x", 1)
    await batch_world.own(world, "x", 1)
    check_completed(world, 3)
    assert world.job().replicas == ["vm-0", "vm-2"]


async def test_result_on_one_copy_stays(tmp_path: pathlib.Path) -> None:
    """Guards against two results after an owner died between appends."""
    world = batch_world.World(tmp_path)
    await batch_world.accept(world, [2])
    kept = world.services["vm-1"].segment_store
    kept.seal_group("batch-1", 1)
    result = batch_world.store.ttypes.Result(
        index=1, body=b"first", failed=False
    )
    kept.append_results("batch-1", [(1, [result])])
    batch_world.take(world, "x", 2)
    await batch_world.own(world, "x", 2)
    check_completed(world, 2)
    assert world.complete()[1] == b"first"


async def test_file_without_a_job_is_repaired(tmp_path: pathlib.Path) -> None:
    """Guards against an acknowledged file that two losses in turn take."""
    world = batch_world.World(tmp_path)
    copies = world.copies("x")
    stores = await copies.write_segment(["vm-0", "vm-1"], "file-1", 0, [b"a"])
    file = jobs.FileRecord("file-1", "o", "f", "batch", 1, 0, [1], stores)
    key = jobs.file_key(file.id)
    world.kv.put(key, jobs.encode(file))
    batch_world.take(world, "x", 1)
    await batch_world.accept(world, [1])
    run, client = batch_world.make_run(world, "x", 1)
    world.unlist("vm-0")
    owner = repairs.Owner(1, await run.guard())
    await repairs.repair_copies(copies, client, file, owner)
    assert file.replicas == ["vm-1", "vm-2"]
    world.unlist("vm-1")
    assert await copies.read_segment(["vm-2"], "file-1", 0) == [b"a"]
    assert b'"vm-1","vm-2"' in world.kv.pairs[key].value


async def test_unexpected_error_ends_no_other_job(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against one job's fault ending the whole process."""
    world = batch_world.World(tmp_path)
    await batch_world.accept(world, [2])
    batch_world.take(world, "x", 1)
    tally = repairs.read_completion
    faults = [KeyError("vm-9")]

    async def failing(*arguments: Any) -> repairs.Completion:
        if faults:
            raise faults.pop()
        return await tally(*arguments)

    monkeypatch.setattr(repairs, "read_completion", failing)
    await batch_world.own(world, "x", 1)
    check_completed(world, 2)


async def test_repair_starts_from_nothing(tmp_path: pathlib.Path) -> None:
    """Guards against what a broken-off repair left on the new copy."""
    world = batch_world.World(tmp_path)
    await batch_world.accept(world, [1])
    for vm, body in (("vm-1", b"right"), ("vm-2", b"stale")):
        kept = world.services[vm].segment_store
        kept.write_segment("batch-1", 0, [batch_world.line(0)])
        kept.seal_group("batch-1", 1)
        result = batch_world.store.ttypes.Result(
            index=0, body=body, failed=False
        )
        kept.append_results("batch-1", [(1, [result])])
    world.unlist("vm-0")
    batch_world.take(world, "x", 2)
    await batch_world.own(world, "x", 2)
    check_completed(world, 1)
    assert world.complete() == {0: b"right"}


async def test_output_is_readable_with_one_store_away(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against output that needs both stores."""
    world = batch_world.World(tmp_path)
    await batch_world.accept(world, [4])
    batch_world.take(world, "x", 1)
    await batch_world.own(world, "x", 1)
    for away in ("vm-0", "vm-1"):
        world.away = {away}
        copies = world.copies("reader")
        found = [
            r.index async for r in outputs.merge_results(copies, world.job())
        ]
        assert found == [0, 1, 2, 3]
    world.away = {"vm-0", "vm-1"}
    with pytest.raises(errors.UnavailableError):
        async for _ in outputs.merge_results(
            world.copies("reader"), world.job()
        ):
            pass


async def test_cancel_keeps_results_so_far(tmp_path: pathlib.Path) -> None:
    """Guards against a cancelled job without its readable results."""
    world = batch_world.World(tmp_path)
    job = await batch_world.accept(world, [4])
    batch_world.take(world, "x", 1)
    run, client = batch_world.make_run(world, "x", 1)
    async with anyio.create_task_group() as group:
        group.start_soon(runs.execute, run, world.copies("x"), client)
        while not run.ready:
            await anyio.sleep(0)
        runs.record(run, run.ready.popleft(), b"r", failed=False)
        while not run.done:
            await anyio.sleep(0)
        job.state = jobs.CANCELLING
        world.kv.put(jobs.job_key(job.id), jobs.encode(job))
        run.cancelled = True
        run.work.cancel()
    assert world.job().state == jobs.CANCELLED
    assert world.job().completed == 1
    assert world.complete() == {0: b"r"}


async def test_deadline_expires_the_job(tmp_path: pathlib.Path) -> None:
    """Guards against a job that goes on after its deadline."""
    world = batch_world.World(tmp_path)
    job = await batch_world.accept(world, [4])
    job.deadline_at = 1
    world.kv.put(jobs.job_key(job.id), jobs.encode(job))
    batch_world.take(world, "x", 1)
    await batch_world.own(world, "x", 1)
    assert world.job().state == jobs.EXPIRED


async def test_former_owner_cannot_finish(tmp_path: pathlib.Path) -> None:
    """Guards against a final state from an owner paused past its lease."""
    world = batch_world.World(tmp_path)
    await batch_world.accept(world, [2])
    batch_world.take(world, "y", 2)
    await batch_world.own(world, "x", 1)
    assert world.job().state == jobs.IN_PROGRESS
    assert world.complete() == {}


async def test_owner_superseded_before_its_write_cannot_finish(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a final record that is guarded by its revision only."""
    world = batch_world.World(tmp_path)
    await batch_world.accept(world, [2])
    batch_world.take(world, "x", 1)
    world.kv.before_write = lambda: batch_world.take(world, "y", 2)
    await batch_world.own(world, "x", 1)
    assert world.job().state == jobs.IN_PROGRESS


async def test_owner_superseded_before_its_write_keeps_the_replicas(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a replica set that a former owner chose."""
    world = batch_world.World(tmp_path)
    await batch_world.accept(world, [2])
    world.unlist("vm-0")
    batch_world.take(world, "x", 1)
    world.kv.before_write = lambda: batch_world.take(world, "y", 2)
    await batch_world.own(world, "x", 1)
    assert world.job().replicas == ["vm-0", "vm-1"]


FAULTS = strategies.sampled_from(
    ["none", "unlist", "empty", "lost-append", "lost-transact"]
)


@hypothesis.settings(
    derandomize=True,
    max_examples=150,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(
    seed=strategies.integers(0, 10_000),
    taken_at=strategies.integers(0, 40),
    fault_at=strategies.integers(0, 60),
    fault=FAULTS,
    victim=strategies.sampled_from(["vm-0", "vm-1"]),
)
def test_interleaved_owners_complete_each_item_once(
    seed: int,
    taken_at: int,
    fault_at: int,
    fault: str,
    victim: str,
) -> None:
    """Guards against a lost, repeated or changed result with two owners."""
    with tempfile.TemporaryDirectory() as name:
        driver = Driver(pathlib.Path(name), seed, taken_at)
        driver.faults[fault_at] = (fault, victim)
        anyio.run(driver.run)
        check_completed(driver.world, 3)
        assert driver.changed == []


class Driver:
    """Lets two owners' steps pass in an order that the seed gives.

    Attributes:
        seen: Result of each item when it was first complete.
        changed: Items whose complete result changed or was on no copy.
    """

    def __init__(self, folder: pathlib.Path, seed: int, taken_at: int) -> None:
        self.world = batch_world.World(folder)
        self.choice = random.Random(seed)
        self.taken_at = taken_at
        self.faults: dict[int, tuple[str, str]] = {}
        self.waiting: list[tuple[str, anyio.Event]] = []
        self.seen: dict[int, bytes] = {}
        self.changed: list[int] = []
        self.ended = 0

    async def gate(self, owner: str) -> None:
        event = anyio.Event()
        self.waiting.append((owner, event))
        await event.wait()

    async def own(self, owner: str, epoch: int) -> None:
        await batch_world.own(self.world, owner, epoch, self.gate)
        self.ended += 1

    async def run(self) -> None:
        await batch_world.accept(self.world, [2, 1])
        batch_world.take(self.world, "x", 1)
        owners = 1
        with anyio.fail_after(60):
            async with anyio.create_task_group() as group:
                group.start_soon(self.own, "x", 1)
                step = 0
                while self.ended < owners or owners < 2:
                    if owners == 1 and (step >= self.taken_at or self.ended):
                        owners = 2
                        batch_world.take(self.world, "y", 2)
                        group.start_soon(self.own, "y", 2)
                    self.inject(step)
                    await self.settle()
                    self.pass_one()
                    step += 1
                    self.check()

        await self.upkeep()
        self.check()

    async def upkeep(self) -> None:
        """Repairs a copy that was lost after the job had ended."""
        run, client = batch_world.make_run(self.world, "y", 2)
        owner = repairs.Owner(2, await run.guard())
        copies = self.world.copies("y")
        await repairs.repair_copies(copies, client, run.job, owner)

    async def settle(self) -> None:
        """Waits until every owner stands at a gate or has ended."""
        for _ in range(500):
            await anyio.sleep(0)
            if self.waiting:
                break
        for _ in range(5):
            await anyio.sleep(0)

    def inject(self, step: int) -> None:
        fault, victim = self.faults.get(step, ("none", ""))
        if fault == "unlist":
            self.world.unlist(victim)
        elif fault == "empty":
            self.world.empty_disk(victim)
        elif fault == "lost-append":
            self.world.lose_answers = 2
        elif fault == "lost-transact":
            self.world.kv.lose_answers = 2

    def pass_one(self) -> None:
        if not self.waiting:
            return
        # Either owner is as likely to go on, however many calls it has open.
        owner = self.choice.choice(sorted({name for name, _ in self.waiting}))
        open_calls = [entry for entry in self.waiting if entry[0] == owner]
        chosen = self.choice.choice(open_calls)
        self.waiting.remove(chosen)
        chosen[1].set()

    def check(self) -> None:
        held = [self.world.bodies(vm) for vm in self.world.job().replicas]
        for index, body in self.seen.items():
            found = {copy[index] for copy in held if index in copy}
            if found != {body} and index not in self.changed:
                self.changed.append(index)
        for index, body in self.world.complete().items():
            self.seen.setdefault(index, body)
