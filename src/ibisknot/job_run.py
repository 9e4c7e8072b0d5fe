"""Runs one batch job of the OpenAI-style interface to its final record.

The owner of the job's shard seals both copies of the job, which fences off
former owners, and brings the copies to the same state. It then reads the items
that have no result yet, writes each result to both copies, and at the end
writes the job's final record. The items themselves are run by `job_runner`.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time

import anyio
import msgspec

from ibisknot import bitmaps
from ibisknot import errors
from ibisknot import items
from ibisknot import jobs
from ibisknot import keyvalue
from ibisknot import logs
from ibisknot import metrics
from ibisknot import repairs
from ibisknot import replicas
from ibisknot.gen.segments import ttypes

MIN_READY_ITEMS = 256
"""The next segment is read when fewer items are ready."""
MAX_APPENDED_RESULTS = 500
"""Largest number of results in one message to a store."""
RETRY_PAUSE_S = 0.3
DRAIN_TIMEOUT_S = 20.0
"""Longest time in which stopped items end and their results are written."""
RETRYABLE_ERRORS = (
    errors.UnavailableError,
    errors.PeerError,
    errors.KeyValueError,
)

MakeGuard = Callable[[], Awaitable[keyvalue.Guard]]
"""Makes a guard of writes that are valid only while an epoch owns the shard."""


@dataclasses.dataclass(slots=True, eq=False)
class JobRun:
    """A job that this process runs.

    Attributes:
        job: The job's record as last read.
        shard: Index of the job's shard.
        epoch: Epoch of this process's ownership of the shard, by which former
            owners are fenced off.
        make_guard: Makes a guard for writes; it raises `FencedError` when the
            shard has another owner.
        ownership_scope: Cancelled when the shard is lost.
        feed_scope: Cancelled when no more items may be started.
        done: Bit map of the items with a result on both copies.
        ended_count: Number of items with a result on both copies.
        failed_count: Number of those items whose result is an error.
        ready: Items to run, in order.
        crash_suspects: Items to run with no other item on the endpoint, in
            order.
        delayed: Items whose next attempt is delayed.
        item_scopes: Cancel scopes of the running items by item index.
        unwritten_results: Results that are not on both copies yet.
        next_segment: Index of the segment to read next.
        may_start_items: Whether items may be started.
        cancelled: Whether the job was cancelled.
        at_risk: Whether the job will miss its deadline at the current rate.
        changed: Set at each change of the items or results, and then replaced
            by a new event.
    """

    job: jobs.JobRecord
    shard: int
    epoch: int
    make_guard: MakeGuard
    ownership_scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )
    feed_scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )
    done: bytearray = dataclasses.field(default_factory=bytearray)
    ended_count: int = 0
    failed_count: int = 0
    ready: collections.deque[items.Task] = dataclasses.field(
        default_factory=collections.deque
    )
    crash_suspects: collections.deque[items.Task] = dataclasses.field(
        default_factory=collections.deque
    )
    delayed: list[items.Task] = dataclasses.field(default_factory=list)
    item_scopes: dict[int, anyio.CancelScope] = dataclasses.field(
        default_factory=dict
    )
    unwritten_results: collections.deque[ttypes.Result] = dataclasses.field(
        default_factory=collections.deque
    )
    next_segment: int = 0
    may_start_items: bool = False
    cancelled: bool = False
    at_risk: bool = False
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def notify_change(self) -> None:
        """Wakes the tasks that wait for a change of this run."""
        self.changed.set()
        self.changed = anyio.Event()

    def remaining_items(self) -> int:
        """Returns the number of items without a result on both copies."""
        return self.job.item_count() - self.ended_count

    def has_unfinished_items(self) -> bool:
        """Returns whether any item has no result on both copies yet."""
        return (
            self.next_segment < len(self.job.counts)
            or bool(self.ready or self.crash_suspects or self.delayed)
            or bool(self.item_scopes or self.unwritten_results)
        )


def record_result(
    run: JobRun, task: items.Task, body: bytes, *, failed: bool
) -> None:
    """Queues an item's result, to be written to both copies."""
    result = ttypes.Result(index=task.index, body=body, failed=failed)
    run.unwritten_results.append(result)
    metrics.BATCH_ITEMS.inc({"outcome": "failed" if failed else "ok"})
    run.notify_change()


def requeue_task(run: JobRun, task: items.Task, not_before_s: float) -> None:
    """Queues an item for another attempt.

    Args:
        run: The item's job.
        task: The item.
        not_before_s: Monotonic time from which the attempt may start; 0 allows
            it at once.
    """
    task.not_before_s = not_before_s
    if not_before_s > 0:
        run.delayed.append(task)
    else:
        _make_ready(run, task)


def _make_ready(run: JobRun, task: items.Task) -> None:
    """Queues an item for its next attempt.

    A crash suspect goes to the end of its queue, any other item to the front.
    """
    if task.crash_suspect:
        run.crash_suspects.append(task)
    else:
        run.ready.appendleft(task)


def requeue_due_tasks(run: JobRun, now_s: float) -> None:
    """Makes the delayed items ready whose next attempt is due."""
    if not run.delayed:
        return
    due = [t for t in run.delayed if t.not_before_s <= now_s]
    run.delayed = [t for t in run.delayed if t.not_before_s > now_s]
    for task in due:
        _make_ready(run, task)


async def execute(
    run: JobRun,
    replica_client: replicas.ReplicaClient,
    key_value: keyvalue.KeyValue,
) -> None:
    """Runs a job until its final record is written or the shard is lost.

    After an error the job is started again from the state of its copies.
    """
    with run.ownership_scope:
        while True:
            try:
                await _run_to_end(run, replica_client, key_value)
                return
            except RETRYABLE_ERRORS as error:
                _log_interruption(run, error)
            except errors.SegmentMissingError as error:
                _log_interruption(run, error)
            except errors.FencedError as error:
                _log_interruption(run, error)
                if not await _is_still_owned(run):
                    return
            except Exception as error:
                # An unexpected error in one job must not end the other jobs.
                logs.event(
                    "job_error",
                    level="error",
                    job=run.job.id,
                    error=repr(error),
                )
            await anyio.sleep(RETRY_PAUSE_S)
            if not await _refresh_record(run, key_value):
                return


async def _is_still_owned(run: JobRun) -> bool:
    """Returns False only if the shard is known to have another owner."""
    try:
        await run.make_guard()
    except errors.FencedError:
        return False
    except errors.KeyValueError:
        return True
    return True


async def _refresh_record(run: JobRun, key_value: keyvalue.KeyValue) -> bool:
    """Reads the record again, because a change may have been missed.

    Returns:
        False if the record was deleted, so that there is nothing to run.
    """
    try:
        run.job, _ = await jobs.read_job(key_value, run.job.id)
    except errors.NotFoundError as error:
        _log_interruption(run, error)
        return False
    except errors.KeyValueError as error:
        _log_interruption(run, error)
    if run.job.state == jobs.CANCELLING:
        run.cancelled = True
    return True


def _log_interruption(run: JobRun, error: errors.IbisknotError) -> None:
    logs.event(
        "job_interrupted",
        level="warning",
        job=run.job.id,
        epoch=run.epoch,
        cause=error.message,
    )


async def _run_to_end(
    run: JobRun,
    replica_client: replicas.ReplicaClient,
    key_value: keyvalue.KeyValue,
) -> None:
    """Runs a job from the state of its copies to its final record."""
    while run.item_scopes:
        await run.changed.wait()
    await reconcile_copies(run, replica_client, key_value)
    completion = await repairs.read_completion(replica_client, run.job)
    run.done, run.failed_count = completion.done, completion.failed_count
    run.ended_count = bitmaps.count(run.done)
    run.next_segment = 0
    run.ready.clear()
    run.crash_suspects.clear()
    run.delayed.clear()
    run.unwritten_results.clear()
    if not run.cancelled and time.time() < run.job.deadline_at:
        await _run_items(run, replica_client, key_value)
    await finish_job(run, replica_client, key_value)


async def reconcile_copies(
    run: JobRun,
    replica_client: replicas.ReplicaClient,
    key_value: keyvalue.KeyValue,
) -> keyvalue.Guard:
    """Seals and repairs the copies of the job, and makes them equal.

    Returns:
        A guard for writes that are valid only while this epoch owns the shard.

    Raises:
        FencedError: The shard has another owner.
        IbisknotError: The call has to be repeated.
    """
    owner = repairs.Owner(run.epoch, await run.make_guard())
    await repairs.repair_copies(replica_client, key_value, run.job, owner)
    await repairs.reconcile_results(replica_client, run.job, run.epoch)
    return owner.guard


async def _run_items(
    run: JobRun,
    replica_client: replicas.ReplicaClient,
    key_value: keyvalue.KeyValue,
) -> None:
    """Runs the items until all have results, the deadline or a cancel."""
    remaining_s = run.job.deadline_at - time.time()
    run.feed_scope = anyio.CancelScope()
    try:
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(
                _write_results, run, replica_client, key_value
            )
            with run.feed_scope, anyio.move_on_after(remaining_s):
                await _feed_items(run, replica_client)
            stop_items(run)
            with anyio.move_on_after(DRAIN_TIMEOUT_S):
                while run.item_scopes or run.unwritten_results:
                    await run.changed.wait()
            task_group.cancel_scope.cancel()
    except BaseExceptionGroup as error:
        expected, others = error.split(errors.IbisknotError)
        if others is not None or expected is None:
            raise
        raise _first_error(expected) from None
    finally:
        stop_items(run)


def _first_error(
    error_group: BaseExceptionGroup[errors.IbisknotError],
) -> BaseException:
    """Returns the first error of a group, also of a nested one."""
    error = error_group.exceptions[0]
    return (
        _first_error(error) if isinstance(error, BaseExceptionGroup) else error
    )


def stop_items(run: JobRun) -> None:
    """Prevents new items from starting and cancels the running ones."""
    run.may_start_items = False
    for scope in run.item_scopes.values():
        scope.cancel()


async def _feed_items(
    run: JobRun, replica_client: replicas.ReplicaClient
) -> None:
    """Reads a segment when few items are ready, until all have results."""
    run.may_start_items = True
    while run.has_unfinished_items():
        changed = run.changed
        if len(run.ready) < MIN_READY_ITEMS and run.next_segment < len(
            run.job.counts
        ):
            await _read_segment(run, replica_client)
            continue
        await changed.wait()


async def _read_segment(
    run: JobRun, replica_client: replicas.ReplicaClient
) -> None:
    """Makes the items of the next segment ready that have no result."""
    segment_index = run.next_segment
    lines = await replica_client.read_segment(
        run.job.replicas, run.job.id, segment_index
    )
    first_index = run.job.first_item_index(segment_index)
    for index, line in enumerate(lines, start=first_index):
        if not bitmaps.contains(run.done, index):
            item = msgspec.json.decode(line, type=jobs.Item)
            run.ready.append(items.Task(index, item))
    run.next_segment += 1
    run.notify_change()


async def _write_results(
    run: JobRun,
    replica_client: replicas.ReplicaClient,
    key_value: keyvalue.KeyValue,
) -> None:
    """Appends results to both copies, in order, until cancelled.

    A result is appended again until both copies have it, and is never
    replaced by another one. So the copies cannot differ.
    """
    while True:
        while not run.unwritten_results:
            await run.changed.wait()
        count = min(MAX_APPENDED_RESULTS, len(run.unwritten_results))
        results = [run.unwritten_results[index] for index in range(count)]
        await _append_results(run, replica_client, key_value, results)
        for result in results:
            run.unwritten_results.popleft()
            _record_written(run, result)
        run.notify_change()


def _record_written(run: JobRun, result: ttypes.Result) -> None:
    """Counts an item whose result is on both copies, once."""
    if not bitmaps.contains(run.done, result.index):
        bitmaps.add(run.done, result.index)
        run.ended_count += 1
        run.failed_count += result.failed


async def _append_results(
    run: JobRun,
    replica_client: replicas.ReplicaClient,
    key_value: keyvalue.KeyValue,
    results: list[ttypes.Result],
) -> None:
    """Appends results to both copies, and retries until that succeeds.

    Raises:
        FencedError: The shard has another owner.
    """
    message = ttypes.ResultAppend(
        group=run.job.id, epoch=run.epoch, results=results
    )
    while True:
        failures = await replica_client.call_all(
            run.job.replicas, "result_append", message
        )
        if not failures:
            return
        for error in failures.values():
            if isinstance(error, errors.FencedError):
                raise error
        logs.event(
            "result_append_failed",
            level="warning",
            job=run.job.id,
            stores=sorted(failures),
            cause=next(iter(failures.values())).message,
        )
        await anyio.sleep(RETRY_PAUSE_S)
        try:
            await reconcile_copies(run, replica_client, key_value)
        except RETRYABLE_ERRORS as error:
            _log_interruption(run, error)


async def finish_job(
    run: JobRun,
    replica_client: replicas.ReplicaClient,
    key_value: keyvalue.KeyValue,
) -> None:
    """Writes the job's final record, with the result counts of its copies.

    Raises:
        FencedError: The shard has another owner.
        UnavailableError: Some items have no result, or the record was not
            written; the job has to be run again.
    """
    guard = await reconcile_copies(run, replica_client, key_value)
    completion = await repairs.read_completion(replica_client, run.job)
    job, revision = await jobs.read_job(key_value, run.job.id)
    if job.state in jobs.FINAL_STATES:
        run.job = job
        return
    ended_count = bitmaps.count(completion.done)
    is_complete = ended_count >= job.item_count()
    if job.state == jobs.CANCELLING:
        job.state = jobs.CANCELLED
    elif is_complete:
        job.state = jobs.COMPLETED
    elif time.time() >= job.deadline_at:
        job.state = jobs.EXPIRED
    else:
        raise errors.UnavailableError(f"some items of {job.id} have no result")
    job.completed = ended_count - completion.failed_count
    job.failed = completion.failed_count
    job.finished_at = int(time.time())
    key = jobs.job_key(job.id)
    if not await jobs.replace_record(
        key_value, key, job, revision, guards=[guard]
    ):
        raise errors.UnavailableError(f"the record of {job.id} has changed")
    run.job = job
    metrics.BATCH_JOBS.inc({"state": job.state})
    logs.event(
        "job_finished",
        job=job.id,
        state=job.state,
        completed=job.completed,
        failed=job.failed,
        epoch=run.epoch,
    )
