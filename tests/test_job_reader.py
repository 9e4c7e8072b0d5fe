"""Reads of a job's results through the worker that runs it."""

from typing import Any

import anyio
import job_world
import pytest

from ibisknot import batch_job
from ibisknot import errors
from ibisknot import job_reader
from ibisknot import result_listing


def test_reads_of_a_running_job_make_no_store_calls() -> None:
    """Guards against calls that grow with the callers who wait for jobs."""

    async def scenario(world: job_world.World) -> None:
        await world.start_job()
        await world.finish_item(1)
        world.store.calls.clear()
        for _ in range(20):
            assert await world.read() == ["i1"]
            assert await world.read(first_index=1) == []
        assert not world.store.calls

    job_world.run(scenario)


def test_read_returns_as_soon_as_a_result_is_listed() -> None:
    """Guards against callers who poll because a read returns too early."""

    async def scenario(world: job_world.World) -> None:
        await world.start_job()
        found: list[str] = []

        async def read() -> None:
            found.extend(await world.read(wait_s=5.0))

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(read)
            await anyio.wait_all_tasks_blocked()
            assert not found
            await world.finish_item(2)
        assert found == ["i2"]

    job_world.run(scenario)


def test_ended_job_is_read_without_the_store() -> None:
    """Guards against store calls for jobs that were read to their end."""

    async def scenario(world: job_world.World) -> None:
        await world.start_job()
        for index in (0, 1, 2):
            await world.finish_item(index)
        assert not world.worker.jobs
        world.store.calls.clear()
        world.boot_time_s += 100
        assert await world.read() == ["i0", "i1", "i2"]
        assert not world.store.calls

    job_world.run(scenario)


def test_results_of_an_earlier_owner_are_returned() -> None:
    """Guards against results that are missing after a takeover."""

    async def scenario(world: job_world.World) -> None:
        await world.store_job(job_world.record(owner="w0"))
        await world.list_elsewhere(2)
        progress = world.stored_job()
        progress.owner = "w0"
        await world.store_job(progress)
        await world.entry.renew(0.0)
        await world.poll()
        world.clock.time_s += batch_job.LATE_WRITE_S
        await world.finish_item(0)
        assert await world.read() == ["i2", "i0"]
        assert world.peers.count("job_read") == 1

    job_world.run(scenario)


def test_worker_whose_entry_may_be_gone_does_not_answer() -> None:
    """Guards against results that disappear between two reads.

    A worker that was suspended does not know that another one has taken its
    job over and listed a result, which another gateway has returned.
    """

    async def scenario(world: job_world.World) -> None:
        await world.start_job()
        world.boot_time_s += world.entry.lease_ttl_s
        await world.list_elsewhere(0)
        assert await world.read() == ["i0"]

    job_world.run(scenario)


def test_worker_whose_entry_was_missing_reads_the_record_first() -> None:
    """Guards against a lost job that looks like an own one after a lapse."""

    async def scenario(world: job_world.World) -> None:
        await world.start_job()
        await world.list_elsewhere(0)
        world.store.stored.pop(job_world.MEMBERS_PREFIX + "w0")
        world.entry.lease_id = 0
        await world.entry.renew(0.0)
        assert await world.read() == ["i0"]

    job_world.run(scenario)


def test_worker_does_not_answer_while_a_late_write_may_take_effect() -> None:
    """Guards against a result that a late write lists unknown to the worker."""

    async def scenario(world: job_world.World) -> None:
        await world.start_job()
        await world.finish_item(0)
        world.store.lost_answers = 1
        await world.finish_item(1)
        job = world.worker.jobs["j"]
        assert job.doubtful_until_s > world.clock.now()
        assert await world.read() == ["i0", "i1"]
        assert world.store.calls["list"]
        # The guard of the late write no longer holds after the next write.
        job.progress = world.stored_job()
        job.revision = world.store.stored[job_world.OPEN_KEY].revision
        job.unwritten.clear()
        job.unwritten.append((2, job_world.result(2), 1))
        await world.worker.records.append_results(job)
        assert job.doubtful_until_s < world.clock.now()

    job_world.run(scenario)


def test_lost_answer_is_settled_by_the_next_read_of_the_record() -> None:
    """Guards against reads that go to the store for the 10 s of a late write.

    The write has taken effect, so no other one of this worker can do so.
    """

    async def scenario(world: job_world.World) -> None:
        await world.start_job()
        world.store.lost_answers = 1
        await world.finish_item(1)
        await anyio.sleep(2 * result_listing.STORE_RETRY_PAUSE_S)
        assert await world.read() == ["i1"]
        world.store.calls.clear()
        assert await world.read(first_index=1) == []
        assert not world.store.calls

    job_world.run(scenario)


def test_reads_wait_for_the_end_of_an_outage_without_store_calls() -> None:
    """Guards against refused reads, and calls that grow with the readers.

    The worker does not know for how long its entry exists, and no process
    could read more from the store.
    """

    async def scenario(world: job_world.World) -> None:
        await world.start_job()
        world.store.calls.clear()
        world.store.is_down = True
        world.reader.is_outage = lambda: world.store.is_down
        world.peers.answers_of_worker.is_outage = lambda: world.store.is_down
        world.boot_time_s += world.entry.lease_ttl_s
        await world.finish_item(0)
        found: list[str] = []

        async def read() -> None:
            found.extend(await world.read(wait_s=5.0))

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(read)
            await anyio.sleep(0.5)
            assert not found
            assert not world.store.calls["list"]
            world.store.is_down = False
            await world.entry.renew(0.0)
        assert found == ["i0"]

    job_world.run(scenario)


def test_read_in_an_outage_does_not_wait_for_a_silent_store(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a refusal that comes after the caller's time-out."""

    async def scenario(world: job_world.World) -> None:
        await world.store_job(job_world.record(owner="w0"))
        world.peers.unresponsive.add("w0:1")
        world.reader.is_outage = lambda: True

        async def give_no_answer(_key: str) -> None:
            await anyio.sleep_forever()

        monkeypatch.setattr(world.store, "get", give_no_answer)
        with pytest.raises(errors.KeyValueError):
            await world.read()

    job_world.run(scenario)


def test_complete_job_is_read_from_the_cache_in_an_outage() -> None:
    """Guards against known results that wait for the end of an outage."""

    async def scenario(world: job_world.World) -> None:
        await world.start_job()
        for index in (0, 1, 2):
            await world.finish_item(index)
        world.peers.unresponsive.add("w0:1")
        assert len(await world.read()) == 3
        world.store.is_down = True
        world.reader.is_outage = lambda: True
        assert len(await world.read(wait_s=5.0)) == 3

    job_world.run(scenario)


def test_failed_read_is_repeated_while_its_caller_waits() -> None:
    """Guards against a caller who gets no results until it asks again."""

    async def scenario(world: job_world.World) -> None:
        await world.store_job(job_world.record(owner="w0"))
        await world.list_elsewhere(2)
        world.peers.unresponsive.add("w0:1")
        world.store.is_down = True
        with pytest.raises(errors.KeyValueError) as raised:
            await world.read()
        assert raised.value.retry_after_s
        found: list[str] = []

        async def read() -> None:
            found.extend(await world.read(wait_s=5.0))

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(read)
            await anyio.wait_all_tasks_blocked()
            world.store.is_down = False
        assert found == ["i2"]

    job_world.run(scenario)


def test_worker_does_not_answer_while_a_write_waits_for_its_answer() -> None:
    """Guards against results that only readers of the store have seen."""

    async def scenario(world: job_world.World) -> None:
        await world.start_job()
        job = world.worker.jobs["j"]
        job.write_started_s = world.clock.now()
        world.store.calls.clear()
        await world.read()
        assert not world.store.calls
        world.clock.time_s += 2 * batch_job.MAX_PENDING_WRITE_S
        await world.read()
        assert world.store.calls["list"]

    job_world.run(scenario)


def test_start_of_a_write_is_recorded_until_its_answer() -> None:
    """Guards against a worker that does not know of its own open write."""

    async def scenario(world: job_world.World) -> None:
        await world.start_job()
        job = world.worker.jobs["j"]
        seen: list[float | None] = []
        transact = world.store.transact

        async def record(*args: Any, **kwargs: Any) -> int:
            seen.append(job.write_started_s)
            return await transact(*args, **kwargs)

        world.store.transact = record  # type: ignore[method-assign]
        await world.finish_item(0)
        assert seen == [world.clock.now()]
        assert job.write_started_s is None

    job_world.run(scenario)


def test_new_process_does_not_answer_before_its_first_write() -> None:
    """Guards against a write of the ended process that takes effect late."""

    async def scenario(world: job_world.World) -> None:
        await world.entry.renew(0.0)
        await world.store_job(job_world.record(owner="w0"))
        await world.poll()
        await world.read()
        assert world.store.calls["list"]

    job_world.run(scenario)


def test_worker_does_not_answer_while_another_one_keeps_items() -> None:
    """Guards against results of kept items that the owner does not know."""

    async def scenario(world: job_world.World) -> None:
        await world.start_job(kept=[1], kept_by="w1")
        await world.list_elsewhere(1)
        assert await world.read() == ["i1"]

    job_world.run(scenario)


def test_silent_worker_is_not_asked_again_at_once() -> None:
    """Guards against reads that each wait for a worker that is lost."""

    async def scenario(world: job_world.World) -> None:
        await world.store_job(job_world.record(owner="w0"))
        world.peers.unresponsive.add("w0:1")
        assert await world.read() == []
        assert await world.read() == []
        assert world.peers.count("job_read") == 1
        world.clock.time_s += job_reader.SILENT_PAUSE_S
        assert await world.read() == []
        assert world.peers.count("job_read") == 2

    job_world.run(scenario)


def test_worker_names_the_one_that_runs_a_job() -> None:
    """Guards against store reads of every job whose owner has changed."""

    async def scenario(world: job_world.World) -> None:
        await world.store_job(job_world.record(owner="w1"))
        await world.poll()
        await world.read()
        asked = [address for address, method, _ in world.peers.calls]
        assert asked == ["w0:1", "w1:1"]

    job_world.run(scenario)


def test_job_of_another_organisation_is_not_found() -> None:
    """Guards against results that an organisation reads of another one."""

    async def scenario(world: job_world.World) -> None:
        await world.start_job()
        with pytest.raises(errors.NotFoundError):
            await world.reader.read_results("j", "two", 0, 0.0)

    job_world.run(scenario)


def test_body_of_an_item_is_read_without_the_store() -> None:
    """Guards against store calls for each body of a running job."""

    async def scenario(world: job_world.World) -> None:
        await world.start_job()
        world.store.calls.clear()
        reader = world.reader
        assert await reader.read_item_body("j", "one", "i1") == b"body"
        assert await reader.read_item_body("j", "one", "unknown") is None
        with pytest.raises(errors.NotFoundError):
            await reader.read_item_body("j", "two", "i1")
        assert not world.store.calls

    job_world.run(scenario)


def test_body_is_read_from_the_store_when_the_worker_is_lost() -> None:
    """Guards against bodies that disappear with a worker."""

    async def scenario(world: job_world.World) -> None:
        await world.start_job()
        world.peers.unresponsive.add("w0:1")
        body = await world.reader.read_item_body("j", "one", "i2")
        assert body == b"body"

    job_world.run(scenario)
