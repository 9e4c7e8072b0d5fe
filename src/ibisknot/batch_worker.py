"""Runs the batch jobs that a worker owns, and takes over those of lost ones.

The owner in a job's record is a hint that saves work. What keeps results
right is that each append has the record as its guard.
"""

from collections.abc import Callable
import dataclasses
import time

import anyio
from anyio import abc

from ibisknot import batch_intake
from ibisknot import batch_item
from ibisknot import batch_records
from ibisknot import deployment
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import logs
from ibisknot import metrics
from ibisknot import pairs
from ibisknot import peer
from ibisknot import serving
from ibisknot import timer
from ibisknot.gen.fleet import ttypes

POLL_PERIOD_S = 1.5
TAKEOVER_S = 1.5
"""An owner that is not in the fleet for this time has lost its jobs."""
GATHER_S = 0.15
"""Results that come within this time are written together."""
RETRY_S = 0.3
MAXIMUM_RUNNING = 200
"""Items that one worker runs or waits to run."""


@dataclasses.dataclass(slots=True)
class Running:
    """A job that this worker runs.

    Attributes:
        progress: Its record as last read or written.
        revision: The store's revision of that record.
        items: Its items, once read.
        done: Results that are not written yet.
        changed: Set when a result was added or the job was ended.
        scope: Cancels its items.
        works: The items in progress, by number.
        items_group: Runs the items, once they are read.
    """

    progress: batch_records.Progress
    revision: int
    items: list[batch_records.Item] = dataclasses.field(default_factory=list)
    done: list[tuple[int, batch_records.Result, int]] = dataclasses.field(
        default_factory=list
    )
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )
    works: dict[int, batch_item.Work] = dataclasses.field(default_factory=dict)
    items_group: abc.TaskGroup | None = None


class Worker:
    """Runs jobs on one worker.

    Attributes:
        running: The jobs that run here by id.
        missing_s: Monotonic time since which an owner is not in the fleet.
        leaving: Whether this worker takes no more jobs.
    """

    def __init__(
        self,
        process: deployment.Process,
        store: pairs.Store,
        view: fleetview.View,
        peers: peer.Client,
        items: batch_item.Runner,
        clock: timer.Timer,
        group: abc.TaskGroup,
        *,
        unix_s: Callable[[], float] = time.time,
    ) -> None:
        self.process = process
        self.store = store
        self.view = view
        self.peers = peers
        self.items = items
        self.clock = clock
        self.group = group
        self.unix_s = unix_s
        self.running: dict[str, Running] = {}
        self.missing_s: dict[str, float] = {}
        self.leaving = False
        self.limit = anyio.Semaphore(MAXIMUM_RUNNING)

    def start(self, server: peer.Server) -> None:
        """Registers the peer method and the periodic reading."""
        server.on("job_changed", ttypes.JobChanged, self.on_changed)
        self.clock.subscribe("jobs", POLL_PERIOD_S, self.poll)

    # Finding jobs ---------------------------------------------------------

    async def on_changed(self, message: ttypes.JobChanged) -> None:
        """Peer method: a job of this worker is new or has ended."""
        self.group.start_soon(self._look, message.job)

    async def _look(self, job: str) -> None:
        try:
            pair = await self.store.get(batch_records.OPEN + job)
        except errors.KeyValueError as error:
            logs.event("job_not_read", job=job, cause=error.message)
            return
        if pair is not None:
            await self._consider(pair)

    async def poll(self, now: float) -> None:
        """Timer callback: reads which jobs are open."""
        try:
            listing = await self.store.list_prefix(batch_records.OPEN)
        except errors.KeyValueError:
            return
        self._note_owners(now)
        open_jobs = set()
        for pair in listing.pairs:
            open_jobs.add(pair.key.removeprefix(batch_records.OPEN))
            await self._consider(pair)
        for job, running in list(self.running.items()):
            if job not in open_jobs and running.revision < listing.revision:
                self._stop(job, "it is no longer open")

    def _note_owners(self, now: float) -> None:
        """Notes since when an owner has been missing."""
        for name in list(self.missing_s):
            if name in self.view.members:
                del self.missing_s[name]
            elif now - self.view.members_read_s > 2 * POLL_PERIOD_S:
                # Nothing is known of the fleet now.
                self.missing_s[name] = now

    async def _consider(self, pair: pairs.Pair) -> None:
        try:
            progress = batch_records.decode_progress(pair.value)
        except errors.KeyValueError as error:
            logs.event("job_unreadable", key=pair.key, cause=error.message)
            return
        job = progress.meta.id
        running = self.running.get(job)
        if running is not None:
            if pair.revision > running.revision:
                running.progress = progress
                running.revision = pair.revision
            if progress.closed:
                self._stop(job, "its caller has ended it")
                await self._finish_closed(pair, progress)
            elif not self._runs_here(progress):
                self._stop(job, f"{progress.owner} runs it")
            else:
                self._start_items(running)
            return
        if progress.closed:
            if progress.owner == self.process.name or self._may_take(progress):
                await self._finish_closed(pair, progress)
        elif progress.owner == self.process.name and not self.leaving:
            self._run(progress, pair.revision)
        elif self._may_take(progress):
            await self._take(pair, progress)

    def _may_take(self, progress: batch_records.Progress) -> bool:
        """Returns whether a job's owner is lost and this worker is next."""
        if self.leaving or not self._is_lost(progress.owner):
            return False
        chosen = batch_intake.choose_owner(progress.meta.id, self._workers())
        return chosen == self.process.name

    def _is_lost(self, worker: str) -> bool:
        """Returns whether a worker has been out of the fleet for some time."""
        if not worker:
            return True
        if worker in self._workers():
            return False
        now = self.clock.now()
        return now - self.missing_s.setdefault(worker, now) >= TAKEOVER_S

    def _workers(self) -> list[str]:
        return [
            m.name
            for m in self.view.members.values()
            if m.kind == deployment.WORKER
        ]

    async def _take(
        self, pair: pairs.Pair, progress: batch_records.Progress
    ) -> None:
        before = progress.owner
        progress.owner = self.process.name
        put = pairs.Put(pair.key, batch_records.encode(progress))
        guard = pairs.Guard(pair.key, pair.revision)
        try:
            revision = await self.store.transact([guard], [put])
        except errors.KeyValueError:
            return
        if revision:
            logs.event(
                "job_taken_over",
                job=progress.meta.id,
                owner_before=before,
                revision=revision,
            )
            self._run(progress, revision)

    async def _finish_closed(
        self, pair: pairs.Pair, progress: batch_records.Progress
    ) -> None:
        """Moves the record of a job that its caller has ended."""
        ended = batch_records.ENDED + progress.meta.id
        put = pairs.Put(ended, batch_records.encode(progress))
        guard = pairs.Guard(pair.key, pair.revision)
        try:
            await self.store.transact([guard], [put], deletes=[pair.key])
        except errors.KeyValueError:
            # The next reading finds it again.
            return

    # Running --------------------------------------------------------------

    def _run(self, progress: batch_records.Progress, revision: int) -> None:
        job = progress.meta.id
        if job in self.running:
            return
        running = Running(progress, revision)
        self.running[job] = running
        self.group.start_soon(self._run_job, running)

    def _stop(self, job: str, cause: str) -> None:
        running = self.running.pop(job, None)
        if running is not None:
            logs.event("job_stopped", job=job, cause=cause)
            running.scope.cancel()

    async def _run_job(self, running: Running) -> None:
        job = running.progress.meta.id
        logs.event(
            "job_started",
            job=job,
            listed=len(running.progress.listed),
            total=running.progress.meta.total,
        )
        with running.scope:
            await self._load(running)
            async with anyio.create_task_group() as group:
                running.items_group = group
                self._start_items(running)
                await self._write_results(running)
                group.cancel_scope.cancel()
        if self.running.get(job) is running:
            del self.running[job]

    def _runs_here(self, progress: batch_records.Progress) -> bool:
        name = self.process.name
        return name in (progress.owner, progress.kept_by)

    def _start_items(self, running: Running) -> None:
        """Starts the items that are neither listed nor in progress."""
        progress = running.progress
        if running.items_group is None or self.leaving:
            return
        if progress.owner != self.process.name:
            return
        done = {number for number, _, _ in running.done}
        skipped = {*progress.listed, *done, *running.works}
        if not self._is_lost(progress.kept_by):
            skipped.update(progress.kept)
        for number, item in enumerate(running.items):
            if number not in skipped:
                work = self._work(running, number, item)
                running.works[number] = work
                running.items_group.start_soon(self._run_item, running, work)

    async def _load(self, running: Running) -> None:
        while not running.items:
            try:
                running.items = await batch_intake.read_items(
                    self.store, running.progress.meta
                )
            except errors.KeyValueError as error:
                job = running.progress.meta.id
                logs.event("job_not_read", job=job, cause=error.message)
                await anyio.sleep(RETRY_S)

    def _work(
        self,
        running: Running,
        number: int,
        item: batch_records.Item,
    ) -> batch_item.Work:
        meta = running.progress.meta
        age_s = self.unix_s() - meta.submitted_ms / 1000
        return batch_item.Work(
            job=meta.id,
            number=number,
            item=item,
            route_name=meta.route,
            host=meta.host,
            organisation=serving.Organisation(meta.organisation),
            submitted_s=self.clock.now() - age_s,
        )

    async def _run_item(self, running: Running, work: batch_item.Work) -> None:
        async with self.limit:
            result = await self.items.run(work)
        running.works.pop(work.number, None)
        if result is not None:
            metrics.BATCH_ITEMS.inc({"outcome": result.state})
            running.done.append((work.number, result, work.item.tokens))
        running.changed.set()

    # Leaving --------------------------------------------------------------

    async def leave(self, end_s: float) -> None:
        """Hands the jobs over, and finishes the items in progress.

        Args:
            end_s: Monotonic time at which this must be over.
        """
        self.leaving = True
        for running in list(self.running.values()):
            for work in list(running.works.values()):
                if not work.is_sent:
                    work.scope.cancel()
        async with anyio.create_task_group() as group:
            for running in list(self.running.values()):
                group.start_soon(self._hand_over, running, end_s)
        while self._is_busy() and self.clock.now() < end_s:
            await anyio.sleep(GATHER_S)
        logs.event(
            "jobs_left",
            jobs=len(self.running),
            items=sum(len(r.works) for r in self.running.values()),
        )

    def _is_busy(self) -> bool:
        return any(r.works or r.done for r in self.running.values())

    async def _hand_over(self, running: Running, end_s: float) -> None:
        """Gives a job to another worker, but for the items in progress."""
        others = [w for w in self._workers() if w != self.process.name]
        if not others:
            return
        while self.clock.now() < end_s:
            progress = running.progress
            if progress.is_complete() or progress.owner != self.process.name:
                return
            after = batch_records.hand_over(
                progress,
                owner=batch_intake.choose_owner(progress.meta.id, others),
                kept=[*running.works, *(n for n, _, _ in running.done)],
            )
            try:
                if await self._put_progress(running, after):
                    await self._notify(after)
                    return
                await self._reload(running)
            except errors.KeyValueError as error:
                logs.event(
                    "job_not_handed_over",
                    job=progress.meta.id,
                    cause=error.message,
                )
                await anyio.sleep(RETRY_S)
                await self._reload(running)

    async def _put_progress(
        self, running: Running, after: batch_records.Progress
    ) -> bool:
        key = batch_records.OPEN + after.meta.id
        guard = pairs.Guard(key, running.revision)
        put = pairs.Put(key, batch_records.encode(after))
        revision = await self.store.transact([guard], [put])
        if revision:
            running.progress = after
            running.revision = revision
            running.changed.set()
            logs.event(
                "job_handed_over",
                job=after.meta.id,
                owner=after.owner,
                kept=len(after.kept),
                revision=revision,
            )
        return bool(revision)

    async def _notify(self, progress: batch_records.Progress) -> None:
        member = self.view.members.get(progress.owner)
        if member is None:
            return
        try:
            await self.peers.call(
                member.address,
                "job_changed",
                ttypes.JobChanged(job=progress.meta.id),
                timeout_s=batch_intake.NOTICE_TIMEOUT_S,
            )
        except errors.IbisknotError as error:
            job = progress.meta.id
            logs.event("owner_silent", job=job, cause=error.message)

    # Writing --------------------------------------------------------------

    async def _write_results(self, running: Running) -> None:
        """Appends results until all items are listed or run elsewhere."""
        while self._has_work(running):
            await running.changed.wait()
            await anyio.sleep(GATHER_S)
            running.changed = anyio.Event()
            while running.done:
                try:
                    await self._append(running)
                except errors.KeyValueError as error:
                    logs.event(
                        "results_not_written",
                        job=running.progress.meta.id,
                        waiting=len(running.done),
                        cause=error.message,
                    )
                    await anyio.sleep(RETRY_S)
                    await self._reload(running)

    def _has_work(self, running: Running) -> bool:
        if running.progress.is_complete():
            return False
        is_owner = running.progress.owner == self.process.name
        return is_owner or bool(running.works or running.done)

    async def _append(self, running: Running) -> None:
        """Writes the results that wait, once."""
        limit_bytes = int(self.process.value_bytes * batch_intake.PART_SHARE)
        taken = batch_records.leading(running.done, limit_bytes)
        before = running.progress
        after, results = batch_records.append(before, taken)
        if results:
            revision = await self._transact(running, before, after, results)
            if not revision:
                await self._reload(running)
                return
            running.progress = after
            running.revision = revision
            logs.event(
                "results_listed",
                job=before.meta.id,
                position=len(before.listed),
                count=len(results),
                revision=revision,
            )
        del running.done[: len(taken)]

    async def _transact(
        self,
        running: Running,
        before: batch_records.Progress,
        after: batch_records.Progress,
        results: list[batch_records.Result],
    ) -> int:
        job = before.meta.id
        key = batch_records.OPEN + job
        guard = pairs.Guard(key, running.revision)
        group_key = batch_records.result_key(job, len(before.listed))
        puts = [pairs.Put(group_key, batch_records.encode(results))]
        record = batch_records.encode(after)
        if after.is_complete():
            puts.append(pairs.Put(batch_records.ENDED + job, record))
            return await self.store.transact([guard], puts, deletes=[key])
        puts.append(pairs.Put(key, record))
        return await self.store.transact([guard], puts)

    async def _reload(self, running: Running) -> None:
        """Reads the record after a write that failed or is in doubt."""
        job = running.progress.meta.id
        try:
            pair = await self.store.get(batch_records.OPEN + job)
        except errors.KeyValueError:
            return
        if pair is None:
            self._stop(job, "it has ended")
            return
        running.progress = batch_records.decode_progress(pair.value)
        running.revision = pair.revision
        if not self._runs_here(running.progress):
            self._stop(job, f"{running.progress.owner} runs it")
