"""Ownership of batch jobs by workers."""

from typing import Any

import anyio
from anyio import abc
import fake_fleet
import fake_pairs_store

from ibisknot import batch_records
from ibisknot import batch_worker
from ibisknot import deployment
from ibisknot import fleetview
from ibisknot import pairs

OPEN_KEY = batch_records.OPEN_PREFIX + "j"


class _ItemRunner:
    """Collects the items that are started; each waits until it is cancelled.

    Attributes:
        started: Indexes of the items in the order of their starts.
    """

    def __init__(self) -> None:
        self.started: list[int] = []

    async def run(self, task: Any) -> None:
        self.started.append(task.index)
        with task.cancel_scope:
            await anyio.sleep_forever()


def _record(**fields: Any) -> batch_records.Progress:
    meta = batch_records.JobMeta("j", "one", "batch", "host", 2, 0, 1)
    return batch_records.Progress(meta, listed=[], waiting_tokens=2, **fields)


async def _store_job(
    store: fake_pairs_store.FakeStore, progress: batch_records.Progress
) -> None:
    items = [
        batch_records.Item(f"i{n}", "/", [], b"", 1)
        for n in range(progress.meta.total)
    ]
    (part,) = batch_records.split_items(items, 10_000)
    puts = [
        pairs.Put(OPEN_KEY, batch_records.encode(progress)),
        pairs.Put(batch_records.items_key("j", 0), part),
    ]
    await store.transact([], puts)


def _stored_job(
    store: fake_pairs_store.FakeStore,
) -> batch_records.Progress:
    return batch_records.decode_progress(store.stored[OPEN_KEY].value)


class _World:
    """A worker `w0` of a fleet with two workers.

    Attributes:
        runner: Collects the items that the worker starts.
    """

    def __init__(self, task_group: abc.TaskGroup) -> None:
        self.store = fake_pairs_store.FakeStore()
        self.view = fake_fleet.view(gateways=1, workers=2)
        self.clock = fake_fleet.Clock()
        self.runner = _ItemRunner()
        self.worker = batch_worker.Worker(
            fake_fleet.process("w0"),
            self.store,  # type: ignore[arg-type]
            self.view,
            fake_fleet.Peers(),  # type: ignore[arg-type]
            self.runner,  # type: ignore[arg-type]
            self.clock,  # type: ignore[arg-type]
            task_group,
            started_ms=self.view.members["w0"].started_ms,
        )

    async def poll(self) -> None:
        """Runs the poll, and the tasks that it starts until they wait."""
        await self.worker.poll(self.clock.now())
        await anyio.wait_all_tasks_blocked()


def _run(scenario: Any) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            await scenario(_World(task_group))
            task_group.cancel_scope.cancel()

    anyio.run(main)


def test_draining_worker_passes_on_a_job_that_it_is_given() -> None:
    """Guards against a job that a gateway gives to a worker just emptied.

    The emptied worker stays in the fleet, so nobody else takes the job over.
    """

    async def scenario(world: _World) -> None:
        world.worker.is_draining = True
        await _store_job(world.store, _record(owner="w0"))
        await world.poll()
        assert _stored_job(world.store).owner == "w1"
        assert world.runner.started == []

    _run(scenario)


def test_draining_worker_without_others_leaves_a_job_where_it_is() -> None:
    """Guards against a job without an owner when all workers drain."""

    async def scenario(world: _World) -> None:
        world.worker.is_draining = True
        del world.view.members["w1"]
        await _store_job(world.store, _record(owner="w0"))
        await world.poll()
        assert _stored_job(world.store).owner == "w0"

    _run(scenario)


def test_items_kept_by_a_worker_that_has_restarted_are_run_again() -> None:
    """Guards against items that are kept by a process that no longer exists.

    A worker that is stopped keeps its running items. When it is started again
    under the same name, it knows nothing of them.
    """

    async def scenario(world: _World) -> None:
        record = _record(
            owner="w0", kept=[1], kept_by="w1", kept_by_started_ms=1
        )
        await _store_job(world.store, record)
        await world.poll()
        assert world.runner.started == [0]
        restarted = fleetview.Member("w1", deployment.WORKER, "d", "w1:1", 2)
        world.view.members["w1"] = restarted
        await world.poll()
        assert world.runner.started == [0, 1]

    _run(scenario)


def test_worker_runs_the_items_that_its_previous_process_kept() -> None:
    """Guards against a restarted worker that waits for its own old process."""

    async def scenario(world: _World) -> None:
        record = _record(
            owner="w0", kept=[0, 1], kept_by="w0", kept_by_started_ms=0
        )
        await _store_job(world.store, record)
        await world.poll()
        assert world.runner.started == [0, 1]

    _run(scenario)
