"""Tests of a batch job's run under faults, with one and with two owners."""

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
from ibisknot import job_run
from ibisknot import jobs
from ibisknot import outputs
from ibisknot import repairs
from ibisknot import store

pytestmark = pytest.mark.anyio


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    """Removes pauses and threads, so that the order of steps is repeatable."""

    async def run_inline(function: Any, *arguments: Any) -> Any:
        return function(*arguments)

    monkeypatch.setattr(store.to_thread, "run_sync", run_inline)
    monkeypatch.setattr(os, "fsync", lambda _descriptor: None)
    monkeypatch.setattr(job_run, "RETRY_PAUSE_S", 0.0)
    monkeypatch.setattr(jobs, "READ_BACK_PAUSES_S", (0.0,))


def check_completed(world: batch_world.World, total: int) -> None:
    job = world.job_record()
    assert job.state == jobs.COMPLETED
    assert job.completed == total
    first, second = [world.result_bodies(vm) for vm in job.replicas]
    assert first == second
    assert sorted(first) == list(range(total))


async def test_job_completes_on_both_copies(tmp_path: pathlib.Path) -> None:
    """Guards against results that are on one copy only."""
    world = batch_world.World(tmp_path)
    await batch_world.accept_job(world, [3, 2])
    batch_world.set_owner(world, "x", 1)
    await batch_world.run_owner(world, "x", 1)
    check_completed(world, 5)


async def test_lost_store_is_replaced(tmp_path: pathlib.Path) -> None:
    """Guards against a job that stops when the VM of a copy is lost."""
    world = batch_world.World(tmp_path)
    await batch_world.accept_job(world, [3])
    world.unlist("vm-0")
    batch_world.set_owner(world, "x", 1)
    await batch_world.run_owner(world, "x", 1)
    check_completed(world, 3)
    assert world.job_record().replicas == ["vm-1", "vm-2"]


async def test_copy_on_emptied_disk_is_replaced(tmp_path: pathlib.Path) -> None:
    """Guards against an empty disk that is counted as a copy."""
    world = batch_world.World(tmp_path)
    await batch_world.accept_job(world, [3])
    world.empty_disk("vm-1")
    batch_world.set_owner(world, "x", 1)
    await batch_world.run_owner(world, "x", 1)
    check_completed(world, 3)
    assert world.job_record().replicas == ["vm-0", "vm-2"]


async def test_result_on_one_copy_stays(tmp_path: pathlib.Path) -> None:
    """Guards against a second result of an item.

    An owner that crashes between two appends leaves a result on one copy.
    """
    world = batch_world.World(tmp_path)
    await batch_world.accept_job(world, [2])
    segment_store = world.services["vm-1"].segment_store
    segment_store.seal_group("batch-1", 1)
    result = batch_world.store.ttypes.Result(
        index=1, body=b"first", failed=False
    )
    segment_store.append_results("batch-1", [(1, [result])])
    batch_world.set_owner(world, "x", 2)
    await batch_world.run_owner(world, "x", 2)
    check_completed(world, 2)
    assert world.complete_results()[1] == b"first"


async def test_file_without_a_job_is_repaired(tmp_path: pathlib.Path) -> None:
    """Guards against a file that is lost when two VMs fail in turn."""
    world = batch_world.World(tmp_path)
    replica_client = world.replica_client("x")
    stores = await replica_client.write_segment(
        ["vm-0", "vm-1"], "file-1", 0, [b"a"]
    )
    file = jobs.FileRecord("file-1", "o", "f", "batch", 1, 0, [1], stores)
    key = jobs.file_key(file.id)
    world.key_value.put(key, jobs.encode_record(file))
    batch_world.set_owner(world, "x", 1)
    await batch_world.accept_job(world, [1])
    run, client = batch_world.make_run(world, "x", 1)
    world.unlist("vm-0")
    owner = repairs.Owner(1, await run.make_guard())
    await repairs.repair_copies(replica_client, client, file, owner)
    assert file.replicas == ["vm-1", "vm-2"]
    world.unlist("vm-1")
    assert await replica_client.read_segment(["vm-2"], "file-1", 0) == [b"a"]
    assert b'"vm-1","vm-2"' in world.key_value.pairs[key].value


async def test_unexpected_error_ends_no_other_job(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an error in one job that ends the process."""
    world = batch_world.World(tmp_path)
    await batch_world.accept_job(world, [2])
    batch_world.set_owner(world, "x", 1)
    read_completion = repairs.read_completion
    faults = [KeyError("vm-9")]

    async def failing(*arguments: Any) -> repairs.Completion:
        if faults:
            raise faults.pop()
        return await read_completion(*arguments)

    monkeypatch.setattr(repairs, "read_completion", failing)
    await batch_world.run_owner(world, "x", 1)
    check_completed(world, 2)


async def test_repair_deletes_old_copy_first(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against results that an interrupted repair left on a new copy."""
    world = batch_world.World(tmp_path)
    await batch_world.accept_job(world, [1])
    for vm, body in (("vm-1", b"right"), ("vm-2", b"stale")):
        segment_store = world.services[vm].segment_store
        segment_store.write_segment("batch-1", 0, [batch_world.input_line(0)])
        segment_store.seal_group("batch-1", 1)
        result = batch_world.store.ttypes.Result(
            index=0, body=body, failed=False
        )
        segment_store.append_results("batch-1", [(1, [result])])
    world.unlist("vm-0")
    batch_world.set_owner(world, "x", 2)
    await batch_world.run_owner(world, "x", 2)
    check_completed(world, 1)
    assert world.complete_results() == {0: b"right"}


async def test_output_is_readable_with_one_unreachable_store(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against output that is readable only from both stores."""
    world = batch_world.World(tmp_path)
    await batch_world.accept_job(world, [4])
    batch_world.set_owner(world, "x", 1)
    await batch_world.run_owner(world, "x", 1)
    for vm in ("vm-0", "vm-1"):
        world.unreachable = {vm}
        replica_client = world.replica_client("reader")
        found = [
            r.index
            async for r in outputs.merge_results(
                replica_client, world.job_record()
            )
        ]
        assert found == [0, 1, 2, 3]
    world.unreachable = {"vm-0", "vm-1"}
    with pytest.raises(errors.UnavailableError):
        async for _ in outputs.merge_results(
            world.replica_client("reader"), world.job_record()
        ):
            pass


async def test_cancel_keeps_results_so_far(tmp_path: pathlib.Path) -> None:
    """Guards against a cancelled job without its results so far."""
    world = batch_world.World(tmp_path)
    job = await batch_world.accept_job(world, [4])
    batch_world.set_owner(world, "x", 1)
    run, client = batch_world.make_run(world, "x", 1)
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(
            job_run.execute, run, world.replica_client("x"), client
        )
        while not run.ready:
            await anyio.sleep(0)
        job_run.record_result(run, run.ready.popleft(), b"r", failed=False)
        while not run.done:
            await anyio.sleep(0)
        job.state = jobs.CANCELLING
        world.key_value.put(jobs.job_key(job.id), jobs.encode_record(job))
        run.cancelled = True
        run.feed_scope.cancel()
    assert world.job_record().state == jobs.CANCELLED
    assert world.job_record().completed == 1
    assert world.complete_results() == {0: b"r"}


async def test_deadline_expires_the_job(tmp_path: pathlib.Path) -> None:
    """Guards against a job that runs after its deadline."""
    world = batch_world.World(tmp_path)
    job = await batch_world.accept_job(world, [4])
    job.deadline_at = 1
    world.key_value.put(jobs.job_key(job.id), jobs.encode_record(job))
    batch_world.set_owner(world, "x", 1)
    await batch_world.run_owner(world, "x", 1)
    assert world.job_record().state == jobs.EXPIRED


async def test_run_of_a_deleted_job_ends(tmp_path: pathlib.Path) -> None:
    """Guards against a deleted record that ends the batch process."""
    world = batch_world.World(tmp_path)
    job = await batch_world.accept_job(world, [2])
    batch_world.set_owner(world, "x", 1)
    run, client = batch_world.make_run(world, "x", 1, batch_world.open_gate)
    del world.key_value.pairs[jobs.job_key(job.id)]
    with anyio.fail_after(60.0):
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(batch_world.answer_items, run, "x")
            replica_client = world.replica_client("x", batch_world.open_gate)
            await job_run.execute(run, replica_client, client)
            task_group.cancel_scope.cancel()
    assert jobs.job_key(job.id) not in world.key_value.pairs


async def test_former_owner_cannot_finish(tmp_path: pathlib.Path) -> None:
    """Guards against a final record by an owner paused beyond its lease."""
    world = batch_world.World(tmp_path)
    await batch_world.accept_job(world, [2])
    batch_world.set_owner(world, "y", 2)
    await batch_world.run_owner(world, "x", 1)
    assert world.job_record().state == jobs.IN_PROGRESS
    assert world.complete_results() == {}


async def test_owner_superseded_before_its_write_cannot_finish(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a final record written by a former owner.

    The new owner acquires the shard just before the write, so the record still
    has the revision that the former owner read.
    """
    world = batch_world.World(tmp_path)
    await batch_world.accept_job(world, [2])
    batch_world.set_owner(world, "x", 1)
    world.key_value.before_write = lambda: batch_world.set_owner(world, "y", 2)
    await batch_world.run_owner(world, "x", 1)
    assert world.job_record().state == jobs.IN_PROGRESS


async def test_owner_superseded_before_its_write_keeps_the_replicas(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against replicas that a former owner writes to the record."""
    world = batch_world.World(tmp_path)
    await batch_world.accept_job(world, [2])
    world.unlist("vm-0")
    batch_world.set_owner(world, "x", 1)
    world.key_value.before_write = lambda: batch_world.set_owner(world, "y", 2)
    await batch_world.run_owner(world, "x", 1)
    assert world.job_record().replicas == ["vm-0", "vm-1"]


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
    takeover_step=strategies.integers(0, 40),
    fault_step=strategies.integers(0, 60),
    fault=FAULTS,
    victim=strategies.sampled_from(["vm-0", "vm-1"]),
)
def test_interleaved_owners_complete_each_item_once(
    seed: int,
    takeover_step: int,
    fault_step: int,
    fault: str,
    victim: str,
) -> None:
    """Guards against a lost, repeated or changed result with two owners.

    The second owner acquires the shard at a random step, and one fault is
    injected.
    """
    with tempfile.TemporaryDirectory() as name:
        driver = Driver(pathlib.Path(name), seed, takeover_step)
        driver.faults[fault_step] = (fault, victim)
        anyio.run(driver.run)
        check_completed(driver.world, 3)
        assert driver.changed_items == []


class Driver:
    """Runs two owners whose steps are interleaved in a seeded random order.

    Attributes:
        world: The stores, the key-value service and the job.
        rng: Chooses the call that goes on next.
        takeover_step: Step at which the second owner acquires the shard.
        faults: Fault to inject and its VM, by step.
        paused_calls: Owner and event of each call that waits at a gate.
        first_results: Result of each item when it was first complete.
        changed_items: Indexes of items whose complete result changed or is on
            no copy.
        ended_owners: Number of owners whose run has ended.
    """

    def __init__(
        self, folder: pathlib.Path, seed: int, takeover_step: int
    ) -> None:
        self.world = batch_world.World(folder)
        self.rng = random.Random(seed)
        self.takeover_step = takeover_step
        self.faults: dict[int, tuple[str, str]] = {}
        self.paused_calls: list[tuple[str, anyio.Event]] = []
        self.first_results: dict[int, bytes] = {}
        self.changed_items: list[int] = []
        self.ended_owners = 0

    async def gate(self, owner: str) -> None:
        """Pauses a call of an owner until it is resumed."""
        event = anyio.Event()
        self.paused_calls.append((owner, event))
        await event.wait()

    async def run_owner(self, owner: str, epoch: int) -> None:
        await batch_world.run_owner(self.world, owner, epoch, self.gate)
        self.ended_owners += 1

    async def run(self) -> None:
        await batch_world.accept_job(self.world, [2, 1])
        batch_world.set_owner(self.world, "x", 1)
        owner_count = 1
        with anyio.fail_after(60):
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(self.run_owner, "x", 1)
                step = 0
                while self.ended_owners < owner_count or owner_count < 2:
                    if owner_count == 1 and (
                        step >= self.takeover_step or self.ended_owners
                    ):
                        owner_count = 2
                        batch_world.set_owner(self.world, "y", 2)
                        task_group.start_soon(self.run_owner, "y", 2)
                    self.inject_fault(step)
                    await self.wait_until_paused()
                    self.resume_one_call()
                    step += 1
                    self.check_results()

        await self.repair_copies()
        self.check_results()

    async def repair_copies(self) -> None:
        """Repairs the job's copies, as maintenance does for an ended job."""
        run, client = batch_world.make_run(self.world, "y", 2)
        owner = repairs.Owner(2, await run.make_guard())
        replica_client = self.world.replica_client("y")
        await repairs.repair_copies(replica_client, client, run.job, owner)

    async def wait_until_paused(self) -> None:
        """Waits until every owner is paused at a gate or has ended."""
        for _ in range(500):
            await anyio.sleep(0)
            if self.paused_calls:
                break
        for _ in range(5):
            await anyio.sleep(0)

    def inject_fault(self, step: int) -> None:
        fault, victim = self.faults.get(step, ("none", ""))
        if fault == "unlist":
            self.world.unlist(victim)
        elif fault == "empty":
            self.world.empty_disk(victim)
        elif fault == "lost-append":
            self.world.answers_to_lose = 2
        elif fault == "lost-transact":
            self.world.key_value.answers_to_lose = 2

    def resume_one_call(self) -> None:
        if not self.paused_calls:
            return
        # Each owner is equally likely to go on, whatever its number of calls.
        owner = self.rng.choice(sorted({name for name, _ in self.paused_calls}))
        open_calls = [entry for entry in self.paused_calls if entry[0] == owner]
        chosen_call = self.rng.choice(open_calls)
        self.paused_calls.remove(chosen_call)
        chosen_call[1].set()

    def check_results(self) -> None:
        copies = [
            self.world.result_bodies(vm)
            for vm in self.world.job_record().replicas
        ]
        for index, body in self.first_results.items():
            found = {copy[index] for copy in copies if index in copy}
            if found != {body} and index not in self.changed_items:
                self.changed_items.append(index)
        for index, body in self.world.complete_results().items():
            self.first_results.setdefault(index, body)
