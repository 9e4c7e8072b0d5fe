"""Ownership of batch jobs by workers."""

import itertools
import random

import anyio
import fake_fleet
import job_world
import msgspec
import pytest

from ibisknot import batch_job
from ibisknot import batch_records
from ibisknot import batch_worker
from ibisknot import deployment
from ibisknot import fleetview
from ibisknot import http_server
from ibisknot import job_owners
from ibisknot import job_succession
from ibisknot import pairs
from ibisknot import result_listing
from ibisknot import serving


def test_draining_worker_passes_on_a_job_that_it_is_given() -> None:
    """Guards against a job that a gateway gives to a worker just emptied.

    The emptied worker stays in the fleet, so nobody else takes the job over.
    """

    async def scenario(world: job_world.World) -> None:
        world.worker.is_draining = True
        await world.store_job(job_world.record(owner="w0"))
        await world.poll()
        assert world.stored_job().owner == "w1"
        assert world.runner.started == []

    job_world.run(scenario)


def test_draining_worker_without_others_leaves_a_job_where_it_is() -> None:
    """Guards against a job without an owner when all workers drain."""

    async def scenario(world: job_world.World) -> None:
        world.worker.is_draining = True
        del world.view.members["w1"]
        await world.store_job(job_world.record(owner="w0"))
        await world.poll()
        assert world.stored_job().owner == "w0"

    job_world.run(scenario)


def test_items_kept_by_a_worker_that_has_restarted_are_run_again() -> None:
    """Guards against items that are kept by a process that no longer exists.

    A worker that is stopped keeps its running items. When it is started again
    under the same name, it knows nothing of them.
    """

    async def scenario(world: job_world.World) -> None:
        record = job_world.record(
            owner="w0", kept=[1], kept_by="w1", kept_by_started_ms=1
        )
        await world.store_job(record)
        await world.poll()
        assert world.runner.started == [0, 2]
        restarted = fleetview.Member("w1", deployment.WORKER, "d", "w1:1", 2)
        world.view.members["w1"] = restarted
        await world.poll()
        assert world.runner.started == [0, 2, 1]

    job_world.run(scenario)


def test_worker_runs_the_items_that_its_previous_process_kept() -> None:
    """Guards against a restarted worker that waits for its own old process."""

    async def scenario(world: job_world.World) -> None:
        record = job_world.record(
            owner="w0", kept=[0, 1], kept_by="w0", kept_by_started_ms=0
        )
        await world.store_job(record)
        await world.poll()
        assert world.runner.started == [0, 1, 2]

    job_world.run(scenario)


async def _miss_worker(world: job_world.World) -> None:
    """Lets worker `w1` be absent from the view for the time of a takeover."""
    del world.view.members["w1"]
    # `w0` is the only worker left in the view, so it is the successor.
    await world.poll()
    world.view.members_read_s = world.clock.now()
    world.clock.time_s += job_succession.TAKEOVER_S
    await world.poll()


def test_job_of_a_worker_that_is_only_unseen_is_not_taken_over() -> None:
    """Guards against running work that is started again elsewhere.

    An old list of members lacks a worker that has registered since.
    """

    async def scenario(world: job_world.World) -> None:
        await world.store.transact(
            [], [pairs.Put(job_world.MEMBERS_PREFIX + "w1", b"")]
        )
        await world.store_job(job_world.record(owner="w1"))
        await _miss_worker(world)
        assert world.stored_job().owner == "w1"
        assert world.runner.started == []

    job_world.run(scenario)


def test_job_of_a_worker_that_has_left_is_taken_over() -> None:
    """Guards against a job that nobody continues."""

    async def scenario(world: job_world.World) -> None:
        await world.store_job(job_world.record(owner="w1"))
        await _miss_worker(world)
        assert world.stored_job().owner == "w0"
        assert world.runner.started == [0, 1, 2]

    job_world.run(scenario)


def test_loss_of_a_worker_brings_the_next_listing_forward() -> None:
    """Guards against jobs that wait for the rare listing of a large fleet."""

    async def scenario(world: job_world.World) -> None:
        await world.store_job(job_world.record(owner="w1"))
        await world.poll()
        world.worker.next_poll_s = world.clock.now() + 60
        world.view.members_read_s = world.clock.now()
        del world.view.members["w1"]
        world.worker.on_members_changed()
        world.clock.time_s += job_succession.TAKEOVER_S
        await world.worker._poll_if_due(world.clock.now())
        await anyio.wait_all_tasks_blocked()
        assert world.runner.started == [0, 1, 2]

    job_world.run(scenario)


def test_listings_of_all_workers_are_bounded() -> None:
    """Guards against store calls that grow with the number of workers."""
    for workers in (4, 14, 30, 200):
        rate = workers / job_owners.poll_period_s(workers)
        assert rate <= job_owners.MAX_FLEET_POLLS_PER_S


def test_listings_of_workers_that_start_together_are_spread() -> None:
    """Guards against ends of jobs that nobody sees for a whole period."""
    workers = 30
    times = [
        _poll_times(workers, random.Random(seed)) for seed in range(workers)
    ]
    period_s = job_owners.poll_period_s(workers)
    seen = sorted(t for polls in times for t in polls if t > 2 * period_s)
    gaps = [b - a for a, b in itertools.pairwise(seen) if b < 100.0]
    assert max(gaps) < 3.0
    rate = len([t for t in seen if t < 100.0]) / (100.0 - 2 * period_s)
    assert rate <= 1.05 * job_owners.MAX_FLEET_POLLS_PER_S


def _poll_times(workers: int, rng: random.Random) -> list[float]:
    pacing = job_owners.PollPacing(rng)
    times = [0.0]
    while times[-1] < 120.0:
        times.append(times[-1] + pacing.next_delay_s(workers))
    return times


def _closed(owner: str, kept_by: str = "") -> batch_records.Progress:
    progress = job_world.record(owner=owner)
    progress.closed = True
    progress.kept_by = kept_by
    return progress


def test_worker_that_lists_a_forgotten_end_tells_who_runs_the_job() -> None:
    """Guards against items that run until their worker's rare listing.

    The gateway was killed after it had written the end.
    """

    async def scenario(world: job_world.World) -> None:
        world.view.members["w2"] = fake_fleet.member("w2", deployment.WORKER)
        await world.store_job(_closed("w1", kept_by="w2"))
        await world.poll()
        told = {a for a, m, _ in world.peers.calls if m == "job_changed"}
        assert told == {"w1:1", "w2:1"}

    job_world.run(scenario)


def test_record_from_before_a_jobs_end_does_not_start_it() -> None:
    """Guards against items that run after the end was acknowledged.

    The worker reads the record, or takes the job over, while the end is
    written, and hears of the end before its own call has returned.
    """

    async def scenario(world: job_world.World) -> None:
        await world.store_job(job_world.record(owner="w0"))
        before = world.store.stored[job_world.OPEN_KEY]
        await world.store_job(_closed("w0"))
        await world.worker._read_job("j")
        await world.worker._apply_record(before, world.entry.lease_count)
        await anyio.wait_all_tasks_blocked()
        assert not world.worker.jobs
        assert world.runner.started == []

    job_world.run(scenario)


def test_end_that_another_worker_has_recorded_stops_the_items() -> None:
    """Guards against a job that goes on after its record was moved."""

    async def scenario(world: job_world.World) -> None:
        await world.start_job()
        world.worker.next_poll_s = world.clock.now() + 60
        await world.store.transact([], [], deletes=[job_world.OPEN_KEY])
        await world.worker._read_job("j")
        await world.worker._poll_if_due(world.clock.now())
        await anyio.wait_all_tasks_blocked()
        assert not world.worker.jobs

    job_world.run(scenario)


def test_repeated_news_of_an_end_costs_no_read() -> None:
    """Guards against store calls for each gateway that is sent an end."""

    async def scenario(world: job_world.World) -> None:
        await world.start_job()
        await world.store_job(_closed("w0"))
        await world.worker._read_job("j")
        reads = world.store.calls["get"]
        await world.worker._read_job("j")
        assert world.store.calls["get"] == reads

    job_world.run(scenario)


def test_results_that_end_together_are_written_together() -> None:
    """Guards against a store call for each result of a job."""

    async def scenario(world: job_world.World) -> None:
        world.view.configuration = _configuration(completion_target_s=60.0)
        world.worker.unix_s = lambda: 0.0
        world.worker.listing.unix_s = lambda: 0.0
        await world.start_job()
        writes = world.store.calls["transact"]
        for index in (0, 1, 2):
            world.runner.finished[index].set()
            await anyio.sleep(result_listing.MIN_WRITE_DELAY_S)
        await anyio.sleep(2 * result_listing.MIN_WRITE_DELAY_S)
        assert not world.worker.jobs
        assert world.store.calls["transact"] == writes + 1

    job_world.run(scenario)


def test_results_of_a_job_that_is_nearly_due_are_written_at_once() -> None:
    """Guards against results that are listed after they were due."""

    async def scenario(world: job_world.World) -> None:
        world.view.configuration = _configuration(completion_target_s=1.0)
        await world.start_job()
        await world.finish_item(1)
        assert world.stored_job().listed == [1]

    job_world.run(scenario)


def _configuration(*, completion_target_s: float) -> serving.Configuration:
    """Returns a configuration with the route of the test's jobs."""
    route = serving.Route(
        "batch",
        "host",
        "/",
        serving.BATCH,
        (),
        completion_target_s=completion_target_s,
    )
    return serving.Configuration(
        1, [route], frozenset(), {}, {}, False, http_server.Limits()
    )


def test_unexpected_error_of_a_job_does_not_end_the_others() -> None:
    """Guards against one job that ends a worker, and all its jobs, for ever."""

    async def scenario(world: job_world.World) -> None:
        run_job = world.worker._run_job

        async def fail_for_odd(job: batch_job.Job) -> None:
            if job.progress.meta.id == "odd":
                raise UnicodeEncodeError("latin-1", "\u0171", 0, 1, "odd")
            await run_job(job)

        world.worker._run_job = fail_for_odd  # type: ignore[method-assign]
        odd = job_world.record(owner="w0")
        odd.meta = msgspec.structs.replace(odd.meta, id="odd")
        key = batch_records.OPEN_PREFIX + "odd"
        put = pairs.Put(key, batch_records.encode(odd))
        await world.store.transact([], [put])
        await world.store_job(job_world.record(owner="w0"))
        await world.poll()
        assert world.runner.started == [0, 1, 2]

    job_world.run(scenario)


def test_record_that_cannot_be_applied_does_not_hide_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against jobs that are never seen behind an odd record."""

    async def scenario(world: job_world.World) -> None:
        put = pairs.Put(batch_records.OPEN_PREFIX + "a", b"odd")
        await world.store.transact([], [put])
        await world.store_job(job_world.record(owner="w0"))
        decode = batch_records.decode_progress

        def fail_for_odd(value: bytes) -> batch_records.Progress:
            if value == b"odd":
                raise RecursionError
            return decode(value)

        monkeypatch.setattr(batch_records, "decode_progress", fail_for_odd)
        await world.poll()
        assert world.runner.started == [0, 1, 2]

    job_world.run(scenario)


def test_job_whose_notification_came_in_an_outage_starts_after_it() -> None:
    """Guards against a job that waits for the rare listing of a large fleet.

    The owner could not read the record when it was notified, and its next
    listing fell into the outage as well.
    """

    async def scenario(world: job_world.World) -> None:
        world.worker.next_poll_s = world.clock.now() + 60
        await world.store_job(job_world.record(owner="w0"))
        part = world.store.stored[batch_records.items_key("j", 0)].value
        world.store.is_down = True
        await world.worker._read_job("j", [part])
        world.clock.time_s += batch_worker.POLL_RETRY_S
        await world.worker._poll_if_due(world.clock.now())
        world.store.is_down = False
        world.store.calls.clear()
        world.clock.time_s += batch_worker.POLL_RETRY_S
        await world.worker._poll_if_due(world.clock.now())
        await anyio.wait_all_tasks_blocked()
        assert world.runner.started == [0, 1, 2]
        assert world.store.calls == {"list": 1}

    job_world.run(scenario)


def test_items_that_wait_for_their_records_are_bounded() -> None:
    """Guards against memory that grows with large jobs in an outage."""
    part = bytes(1024 * 1024)

    async def scenario(world: job_world.World) -> None:
        world.store.is_down = True
        for number in range(20):
            await world.worker._read_job(f"j{number}", [part, part])
            await world.poll()
        assert len(world.worker.unread_parts) == 8

    job_world.run(scenario)
