"""One batch job from its seal to its final record."""

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
"""A further segment is read when fewer items are ready."""
MAX_APPENDED_RESULTS = 500
RETRY_PAUSE_S = 0.3
DRAIN_TIMEOUT_S = 20.0
RETRYABLE_ERRORS = (
    errors.UnavailableError,
    errors.PeerError,
    errors.KeyValueError,
)

MakeGuard = Callable[[], Awaitable[keyvalue.Guard]]


@dataclasses.dataclass(slots=True, eq=False)
class JobRun:
    """A job that this process runs.

    Attributes:
        job: The job's record as last seen.
        shard: Its shard.
        epoch: The fencing number of the shard.
        guard: Makes a guard that holds only while the epoch owns the shard.
        life: Cancelled when the shard is lost.
        work: Cancelled when no more items may run.
        done: Bit map of the items with a result on both copies.
        ended: Number of them.
        failed: How many of them ended with an error.
        ready: Items to run, in order.
        suspects: Items to run alone, in order.
        delayed: Items to run later.
        flying: The scope of each item that runs now.
        results: Results that are not on both copies yet.
        next_segment: The segment to read next.
        active: Whether items may be started.
        cancelled: Whether the job was cancelled.
        at_risk: Whether the deadline will be missed at the present rate.
        changed: Set at each result and each item that is ready.
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
        """Wakes what waits for a change of this run."""
        self.changed.set()
        self.changed = anyio.Event()

    def remaining_items(self) -> int:
        """Returns the items without a result on both copies."""
        return self.job.item_count() - self.ended_count

    def has_unfinished_items(self) -> bool:
        """Returns whether any item has neither ended nor been given up."""
        return (
            self.next_segment < len(self.job.counts)
            or bool(self.ready or self.crash_suspects or self.delayed)
            or bool(self.item_scopes or self.unwritten_results)
        )


def record_result(
    run: JobRun, task: items.Task, body: bytes, *, failed: bool
) -> None:
    """Takes an item's result, to be written to both copies."""
    result = ttypes.Result(index=task.index, body=body, failed=failed)
    run.unwritten_results.append(result)
    metrics.BATCH_ITEMS.inc({"outcome": "failed" if failed else "ok"})
    run.notify_change()


def requeue_task(run: JobRun, task: items.Task, not_before_s: float) -> None:
    """Takes an item back that has to be tried again."""
    task.not_before_s = not_before_s
    if not_before_s > 0:
        run.delayed.append(task)
    else:
        _make_ready(run, task)


def _make_ready(run: JobRun, task: items.Task) -> None:
    if task.crash_suspect:
        run.crash_suspects.append(task)
    else:
        run.ready.appendleft(task)


def requeue_due_tasks(run: JobRun, now_s: float) -> None:
    """Makes the delayed items ready whose time has come."""
    if not run.delayed:
        return
    due = [work for work in run.delayed if work.not_before_s <= now_s]
    run.delayed = [w for w in run.delayed if w.not_before_s > now_s]
    for work in due:
        _make_ready(run, work)


async def execute(
    run: JobRun,
    replica_client: replicas.ReplicaClient,
    key_value: keyvalue.KeyValue,
) -> None:
    """Runs a job to its final record, or until the shard is lost."""
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
                # One job's fault must not end the jobs beside it.
                logs.event(
                    "job_error",
                    level="error",
                    job=run.job.id,
                    error=repr(error),
                )
            await anyio.sleep(RETRY_PAUSE_S)
            await _refresh_record(run, key_value)


async def _is_still_owned(run: JobRun) -> bool:
    try:
        await run.make_guard()
    except errors.FencedError:
        return False
    except errors.KeyValueError:
        return True
    return True


async def _refresh_record(run: JobRun, key_value: keyvalue.KeyValue) -> None:
    """Reads the record again; it may have changed unnoticed."""
    try:
        run.job, _ = await jobs.read_job(key_value, run.job.id)
    except errors.KeyValueError as error:
        _log_interruption(run, error)
    if run.job.state == jobs.CANCELLING:
        run.cancelled = True


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
    """Seals, repairs and reconciles the copies of the job.

    Returns:
        A guard that holds only while this epoch owns the shard.

    Raises:
        FencedError: The shard has another owner.
        IbisknotError: It has to be tried again.
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
    """Runs the items until all have ended, the deadline or a cancel."""
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
    error = error_group.exceptions[0]
    return (
        _first_error(error) if isinstance(error, BaseExceptionGroup) else error
    )


def stop_items(run: JobRun) -> None:
    """Lets no more items start and ends those that run."""
    run.may_start_items = False
    for scope in run.item_scopes.values():
        scope.cancel()


async def _feed_items(
    run: JobRun, replica_client: replicas.ReplicaClient
) -> None:
    """Keeps items ready until every item has ended."""
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

    A result is appended again until both copies have it, never another one
    in its place; so the copies cannot come to differ.
    """
    while True:
        while not run.unwritten_results:
            await run.changed.wait()
        count = min(MAX_APPENDED_RESULTS, len(run.unwritten_results))
        results = [run.unwritten_results[place] for place in range(count)]
        await _append_results(run, replica_client, key_value, results)
        for result in results:
            run.unwritten_results.popleft()
            _record_written(run, result)
        run.notify_change()


def _record_written(run: JobRun, result: ttypes.Result) -> None:
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
    """Writes the job's final record, with counts of what the stores hold.

    Raises:
        FencedError: The shard has another owner.
        UnavailableError: Items are not complete, or the record was not
            written; it has to be tried again.
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
        raise errors.UnavailableError(f"items of {job.id} are not complete")
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
