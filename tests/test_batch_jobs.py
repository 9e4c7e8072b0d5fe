"""Submissions of batch jobs at a gateway."""

import dataclasses

import anyio
from anyio import abc
import fake_fleet
import fake_pairs_store
import pytest
import rate_world
import scripted

from ibisknot import batch_jobs
from ibisknot import batch_records
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import pairs
from ibisknot import serving

ROUTE = scripted.make_route(kind=serving.BATCH)


def _submit(
    store: fake_pairs_store.FakeStore, body: bytes
) -> errors.IbisknotError | None:
    """Submits a job of two items, the second one with this body."""
    items = [
        batch_records.Item("a", "/", [], b"", 1),
        batch_records.Item("b", "/", [], body, 1),
    ]

    async def main() -> errors.IbisknotError | None:
        async with anyio.create_task_group() as task_group:
            try:
                await _jobs(store, task_group).submit(
                    batch_records.Submission("j", items),
                    ROUTE,
                    "one",
                    fake_fleet.START_S + 1.0,
                )
            except errors.IbisknotError as error:
                return error
            finally:
                task_group.cancel_scope.cancel()
        return None

    return anyio.run(main)


def _jobs(
    store: fake_pairs_store.FakeStore, task_group: abc.TaskGroup
) -> batch_jobs.Jobs:
    return batch_jobs.Jobs(
        fake_fleet.process(),
        store,
        fake_fleet.view(),
        fake_fleet.Peers(),  # type: ignore[arg-type]
        fake_fleet.Clock().now,
        task_group,
    )


def test_item_that_no_value_can_hold_is_refused_at_once() -> None:
    """Guards against a submission that is tried until its deadline."""
    store = fake_pairs_store.FakeStore()
    error = _submit(store, b"x" * fake_fleet.process().value_bytes)
    assert isinstance(error, errors.BodyTooLargeError)
    assert not store.calls


def test_job_that_the_store_refuses_is_refused_at_once() -> None:
    """Guards against the same refused write until the deadline."""
    store = fake_pairs_store.FakeStore()
    store.max_value_bytes = 1000
    error = _submit(store, b"x" * 1000)
    assert isinstance(error, errors.KeyValueRefusedError)
    assert store.refused == 1


def test_owner_is_notified_of_a_job_whose_write_was_not_answered() -> None:
    """Guards against a job that waits for its owner's next listing."""
    store = fake_pairs_store.FakeStore()
    store.lost_answers = 1
    peers = fake_fleet.Peers()

    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            jobs = _jobs(store, task_group)
            jobs.peers = peers  # type: ignore[assignment]
            item = batch_records.Item("a", "/", [], b"", 1)
            await jobs.submit(
                batch_records.Submission("j", [item]),
                ROUTE,
                "one",
                fake_fleet.START_S + 1.0,
            )

    anyio.run(main)
    ((address, _, message),) = peers.calls
    stored = store.stored[batch_records.OPEN_PREFIX + "j"]
    progress = batch_records.decode_progress(stored.value)
    assert address == f"{progress.owner}:1"
    assert message.parts


def test_unanswered_job_is_announced_only_in_its_regions() -> None:
    """Guards against a body that is sent to a worker elsewhere."""
    peers = fake_fleet.Peers()

    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            for number in range(10):
                store = fake_pairs_store.FakeStore()
                store.lost_answers = 1
                jobs = _jobs(store, task_group)
                jobs.peers = peers  # type: ignore[assignment]
                jobs.view = _view_of_two_regions()
                item = batch_records.Item("a", "/", [], b"", 1)
                await jobs.submit(
                    batch_records.Submission(f"j{number}", [item]),
                    ROUTE,
                    "one",
                    fake_fleet.START_S + 1.0,
                )

    anyio.run(main)
    assert {address for address, _, _ in peers.calls} == {"w1:1"}


async def _store_job(
    store: fake_pairs_store.FakeStore, *, kept_by: str = ""
) -> None:
    """Stores the record of an open job of worker `w0`."""
    meta = batch_records.JobMeta("j", "one", ROUTE.name, "host", 1, 0, 1)
    progress = batch_records.Progress(meta, "w0", [], 1, kept_by=kept_by)
    key = batch_records.OPEN_PREFIX + "j"
    await store.transact([], [pairs.Put(key, batch_records.encode(progress))])


async def _cancel(
    store: fake_pairs_store.FakeStore,
    peers: fake_fleet.Peers,
    task_group: abc.TaskGroup,
) -> None:
    """Sends the end of the job to a new gateway."""
    jobs = _jobs(store, task_group)
    jobs.peers = peers  # type: ignore[assignment]
    await jobs.cancel("j", "one", fake_fleet.START_S + 1.0)


@pytest.mark.parametrize("fault", ["none", "lost", "late", "killed", "three"])
def test_end_is_acknowledged_after_its_workers_were_told(fault: str) -> None:
    """Guards against items that run after the end of their job.

    The write of the end may be lost or late, it may be that of a gateway that
    was killed, or several gateways may get the end at the same time.
    """
    store = fake_pairs_store.FakeStore()
    peers = fake_fleet.Peers()
    told: list[int] = []

    async def cancel(task_group: abc.TaskGroup) -> None:
        await _cancel(store, peers, task_group)
        told.append(peers.count("job_changed"))

    async def main() -> None:
        await _store_job(store, kept_by="w1")
        store.lost_answers = int(fault == "lost")
        store.late_writes = int(fault == "late")
        if fault == "killed":
            store.lost_answers = 1
            with anyio.move_on_after(0.0):
                async with anyio.create_task_group() as task_group:
                    await _cancel(store, fake_fleet.Peers(), task_group)
        async with anyio.create_task_group() as task_group:
            for _ in range(3 if fault == "three" else 1):
                task_group.start_soon(cancel, task_group)

    anyio.run(main)
    assert min(told) >= 2
    assert {address for address, _, _ in peers.calls} == {"w0:1", "w1:1"}


def test_end_is_told_again_until_the_worker_responds() -> None:
    """Guards against an end whose message was lost."""
    store = fake_pairs_store.FakeStore()
    peers = fake_fleet.Peers()
    peers.unresponsive = {"w0:1"}

    async def main() -> None:
        await _store_job(store)
        async with anyio.create_task_group() as task_group:
            with anyio.fail_after(2 * batch_jobs.END_NOTICE_WAIT_S):
                await _cancel(store, peers, task_group)
            lost = peers.count("job_changed")
            assert lost > 1
            peers.unresponsive.clear()
        assert peers.count("job_changed") == lost + 1

    anyio.run(main)


def _view_of_two_regions() -> fleetview.View:
    """Returns a view in which organisation `one` may use only worker `w1`."""
    view = fake_fleet.view(workers=2)
    view.regions = {"d": "south", "n": "north"}
    view.members["w1"] = dataclasses.replace(
        view.members["w1"], data_centre="n"
    )
    view.configuration = rate_world._configuration()
    view.configuration.organisations = {
        "one": serving.Organisation("one", allowed_regions=frozenset({"north"}))
    }
    return view


def test_submission_waits_for_the_end_of_an_outage() -> None:
    """Guards against jobs that wait for their callers' next attempts.

    The store is not called before it is back.
    """
    store = fake_pairs_store.FakeStore()
    store.is_down = True

    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            jobs = _jobs(store, task_group)
            jobs.is_outage = lambda: store.is_down
            item = batch_records.Item("a", "/", [], b"", 1)
            submission = batch_records.Submission("j", [item])

            async def submit() -> None:
                deadline_s = fake_fleet.START_S + 3.0
                await jobs.submit(submission, ROUTE, "one", deadline_s)

            task_group.start_soon(submit)
            await anyio.sleep(3 * batch_jobs.SUBMIT_RETRY_PAUSE_S)
            assert store.calls == {"get": 1}
            store.is_down = False

    anyio.run(main)
    assert batch_records.OPEN_PREFIX + "j" in store.stored


def test_submission_in_an_outage_is_refused_at_its_deadline() -> None:
    """Guards against a caller that gets no response, or an uncertain one."""
    store = fake_pairs_store.FakeStore()
    store.is_down = True
    clock = fake_fleet.Clock()

    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            jobs = _jobs(store, task_group)
            jobs.clock = clock.now

            def is_outage() -> bool:
                clock.time_s += 0.5
                return True

            jobs.is_outage = is_outage
            item = batch_records.Item("a", "/", [], b"", 1)
            submission = batch_records.Submission("j", [item])
            with pytest.raises(errors.KeyValueError) as raised:
                await jobs.submit(submission, ROUTE, "one", clock.now() + 3.0)
            assert raised.value.ran == errors.NOT_RUN
            after_s = raised.value.retry_after_s
            assert after_s == batch_jobs.STORE_RETRY_AFTER_S

    anyio.run(main)
