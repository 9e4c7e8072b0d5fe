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

READY_LOW = 256
"""A further segment is read when fewer items are ready."""
APPEND_RESULTS = 500
RETRY_S = 0.3
DRAIN_TIMEOUT_S = 20.0
TOLERATED = (errors.UnavailableError, errors.PeerError, errors.KeyValueError)

GuardCall = Callable[[], Awaitable[keyvalue.Guard]]


@dataclasses.dataclass(slots=True, eq=False)
class Run:
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
    guard: GuardCall
    life: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )
    work: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )
    done: bytearray = dataclasses.field(default_factory=bytearray)
    ended: int = 0
    failed: int = 0
    ready: collections.deque[items.Work] = dataclasses.field(
        default_factory=collections.deque
    )
    suspects: collections.deque[items.Work] = dataclasses.field(
        default_factory=collections.deque
    )
    delayed: list[items.Work] = dataclasses.field(default_factory=list)
    flying: dict[int, anyio.CancelScope] = dataclasses.field(
        default_factory=dict
    )
    results: collections.deque[ttypes.Result] = dataclasses.field(
        default_factory=collections.deque
    )
    next_segment: int = 0
    active: bool = False
    cancelled: bool = False
    at_risk: bool = False
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    def wake(self) -> None:
        """Wakes what waits for a change of this run."""
        self.changed.set()
        self.changed = anyio.Event()

    def remaining(self) -> int:
        """Returns the items without a result on both copies."""
        return self.job.total() - self.ended

    def unfinished(self) -> bool:
        """Returns whether any item has neither ended nor been given up."""
        return (
            self.next_segment < len(self.job.counts)
            or bool(self.ready or self.suspects or self.delayed)
            or bool(self.flying or self.results)
        )


def record(run: Run, work: items.Work, body: bytes, *, failed: bool) -> None:
    """Takes an item's result, to be written to both copies."""
    result = ttypes.Result(index=work.index, body=body, failed=failed)
    run.results.append(result)
    metrics.BATCH_ITEMS.inc({"outcome": "failed" if failed else "ok"})
    run.wake()


def put_back(run: Run, work: items.Work, not_before_s: float) -> None:
    """Takes an item back that has to be tried again."""
    work.not_before_s = not_before_s
    if not_before_s > 0:
        run.delayed.append(work)
    else:
        _make_ready(run, work)


def _make_ready(run: Run, work: items.Work) -> None:
    if work.suspect:
        run.suspects.append(work)
    else:
        run.ready.appendleft(work)


def release_delayed(run: Run, now_s: float) -> None:
    """Makes the delayed items ready whose time has come."""
    if not run.delayed:
        return
    due = [work for work in run.delayed if work.not_before_s <= now_s]
    run.delayed = [w for w in run.delayed if w.not_before_s > now_s]
    for work in due:
        _make_ready(run, work)


async def execute(
    run: Run, copies: replicas.ReplicaClient, store: keyvalue.KeyValue
) -> None:
    """Runs a job to its final record, or until the shard is lost."""
    with run.life:
        while True:
            try:
                await _whole(run, copies, store)
                return
            except TOLERATED as error:
                _interrupted(run, error)
            except errors.SegmentMissingError as error:
                _interrupted(run, error)
            except errors.FencedError as error:
                _interrupted(run, error)
                if not await _still_owned(run):
                    return
            except Exception as error:
                # One job's fault must not end the jobs beside it.
                logs.event(
                    "job_error",
                    level="error",
                    job=run.job.id,
                    error=repr(error),
                )
            await anyio.sleep(RETRY_S)
            await _refresh(run, store)


async def _still_owned(run: Run) -> bool:
    try:
        await run.guard()
    except errors.FencedError:
        return False
    except errors.KeyValueError:
        return True
    return True


async def _refresh(run: Run, store: keyvalue.KeyValue) -> None:
    """Reads the record again; it may have changed unnoticed."""
    try:
        run.job, _ = await jobs.read_job(store, run.job.id)
    except errors.KeyValueError as error:
        _interrupted(run, error)
    if run.job.state == jobs.CANCELLING:
        run.cancelled = True


def _interrupted(run: Run, error: errors.IbisknotError) -> None:
    logs.event(
        "job_interrupted",
        level="warning",
        job=run.job.id,
        epoch=run.epoch,
        cause=error.message,
    )


async def _whole(
    run: Run, copies: replicas.ReplicaClient, store: keyvalue.KeyValue
) -> None:
    while run.flying:
        await run.changed.wait()
    await secure(run, copies, store)
    tally = await repairs.read_completion(copies, run.job)
    run.done, run.failed = tally.done, tally.failed_count
    run.ended = bitmaps.count(run.done)
    run.next_segment = 0
    run.ready.clear()
    run.suspects.clear()
    run.delayed.clear()
    run.results.clear()
    if not run.cancelled and time.time() < run.job.deadline_at:
        await _work(run, copies, store)
    await finish(run, copies, store)


async def secure(
    run: Run, copies: replicas.ReplicaClient, store: keyvalue.KeyValue
) -> keyvalue.Guard:
    """Seals, repairs and reconciles the copies of the job.

    Returns:
        A guard that holds only while this epoch owns the shard.

    Raises:
        FencedError: The shard has another owner.
        IbisknotError: It has to be tried again.
    """
    owner = repairs.Owner(run.epoch, await run.guard())
    await repairs.repair_copies(copies, store, run.job, owner)
    await repairs.reconcile_results(copies, run.job, run.epoch)
    return owner.guard


async def _work(
    run: Run, copies: replicas.ReplicaClient, store: keyvalue.KeyValue
) -> None:
    """Runs the items until all have ended, the deadline or a cancel."""
    left_s = run.job.deadline_at - time.time()
    run.work = anyio.CancelScope()
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(_write_results, run, copies, store)
            with run.work, anyio.move_on_after(left_s):
                await _feed(run, copies)
            stop(run)
            with anyio.move_on_after(DRAIN_TIMEOUT_S):
                while run.flying or run.results:
                    await run.changed.wait()
            group.cancel_scope.cancel()
    except BaseExceptionGroup as error:
        known, others = error.split(errors.IbisknotError)
        if others is not None or known is None:
            raise
        raise _first(known) from None
    finally:
        stop(run)


def _first(group: BaseExceptionGroup[errors.IbisknotError]) -> BaseException:
    found = group.exceptions[0]
    return _first(found) if isinstance(found, BaseExceptionGroup) else found


def stop(run: Run) -> None:
    """Lets no more items start and ends those that run."""
    run.active = False
    for scope in run.flying.values():
        scope.cancel()


async def _feed(run: Run, copies: replicas.ReplicaClient) -> None:
    """Keeps items ready until every item has ended."""
    run.active = True
    while run.unfinished():
        changed = run.changed
        if len(run.ready) < READY_LOW and run.next_segment < len(
            run.job.counts
        ):
            await _read_segment(run, copies)
            continue
        await changed.wait()


async def _read_segment(run: Run, copies: replicas.ReplicaClient) -> None:
    number = run.next_segment
    lines = await copies.read_segment(run.job.replicas, run.job.id, number)
    first = run.job.first(number)
    for index, line in enumerate(lines, start=first):
        if not bitmaps.contains(run.done, index):
            item = msgspec.json.decode(line, type=jobs.Item)
            run.ready.append(items.Work(index, item))
    run.next_segment += 1
    run.wake()


async def _write_results(
    run: Run, copies: replicas.ReplicaClient, store: keyvalue.KeyValue
) -> None:
    """Appends results to both copies, in order, until cancelled.

    A result is appended again until both copies have it, never another one
    in its place; so the copies cannot come to differ.
    """
    while True:
        while not run.results:
            await run.changed.wait()
        count = min(APPEND_RESULTS, len(run.results))
        batch = [run.results[place] for place in range(count)]
        await _append(run, copies, store, batch)
        for result in batch:
            run.results.popleft()
            _note(run, result)
        run.wake()


def _note(run: Run, result: ttypes.Result) -> None:
    if not bitmaps.contains(run.done, result.index):
        bitmaps.add(run.done, result.index)
        run.ended += 1
        run.failed += result.failed


async def _append(
    run: Run,
    copies: replicas.ReplicaClient,
    store: keyvalue.KeyValue,
    batch: list[ttypes.Result],
) -> None:
    message = ttypes.ResultAppend(
        group=run.job.id, epoch=run.epoch, results=batch
    )
    while True:
        failed = await copies.call_all(
            run.job.replicas, "result_append", message
        )
        if not failed:
            return
        for error in failed.values():
            if isinstance(error, errors.FencedError):
                raise error
        logs.event(
            "result_append_failed",
            level="warning",
            job=run.job.id,
            stores=sorted(failed),
            cause=next(iter(failed.values())).message,
        )
        await anyio.sleep(RETRY_S)
        try:
            await secure(run, copies, store)
        except TOLERATED as error:
            _interrupted(run, error)


async def finish(
    run: Run, copies: replicas.ReplicaClient, store: keyvalue.KeyValue
) -> None:
    """Writes the job's final record, with counts of what the stores hold.

    Raises:
        FencedError: The shard has another owner.
        UnavailableError: Items are not complete, or the record was not
            written; it has to be tried again.
    """
    guard = await secure(run, copies, store)
    tally = await repairs.read_completion(copies, run.job)
    job, revision = await jobs.read_job(store, run.job.id)
    if job.state in jobs.FINAL:
        run.job = job
        return
    ended = bitmaps.count(tally.done)
    whole = ended >= job.total()
    if job.state == jobs.CANCELLING:
        job.state = jobs.CANCELLED
    elif whole:
        job.state = jobs.COMPLETED
    elif time.time() >= job.deadline_at:
        job.state = jobs.EXPIRED
    else:
        raise errors.UnavailableError(f"items of {job.id} are not complete")
    job.completed = ended - tally.failed_count
    job.failed = tally.failed_count
    job.finished_at = int(time.time())
    key = jobs.job_key(job.id)
    if not await jobs.replace(store, key, job, revision, guards=[guard]):
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
