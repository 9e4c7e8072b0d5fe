"""Runs the batch jobs that a worker owns and takes over those of lost workers.

The owner in a job's record avoids duplicate work, and answers reads of the
job. Results stay correct because each append is guarded by the record's
revision.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import math
import time

import anyio

from ibisknot import batch_item
from ibisknot import batch_job
from ibisknot import batch_record_writer
from ibisknot import batch_records
from ibisknot import batch_task
from ibisknot import closed_jobs
from ibisknot import deployment
from ibisknot import ended_jobs
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import isolation
from ibisknot import item_places
from ibisknot import job_owners
from ibisknot import job_reader
from ibisknot import job_succession
from ibisknot import logs
from ibisknot import metrics
from ibisknot import pairs
from ibisknot import peer
from ibisknot import registration
from ibisknot import result_listing
from ibisknot import serving
from ibisknot import timer
from ibisknot import unread_jobs
from ibisknot.gen.fleet import ttypes
from ibisknot.progress import journal

POLL_RETRY_S = 0.5
"""Time after a failed read or listing in which the jobs are listed again.

A job whose notification came during an outage starts soon after its end.
"""
POLL_CHECK_PERIOD_S = 0.25
"""Period at which a worker checks whether a listing is due."""
NO_LEASE = -1
"""Marks a job whose record this worker no longer follows."""


class Worker:
    """Runs batch jobs on one worker.

    Attributes:
        records: Writes the jobs' records.
        listing: Lists the jobs' results.
        jobs: Jobs that run here, by id.
        succession: Decides which jobs of departed workers continue here.
        closed: Jobs whose end this worker has heard of.
        is_draining: Whether this worker starts no more jobs and items.
        entry: This worker's entry among the members.
        started_s: Monotonic time of this process's start.
        next_poll_s: Monotonic time of the next listing of the open jobs.
        poll_pacing: Spreads the listings of all workers over time.
        polled_lease_count: Count of this worker's leases at the last listing.
        ended_jobs: Jobs of which all results were listed here, by id, the
            last one at the end.
        owners: Owners of the open jobs that were listed last, by job id.
        unread_parts: Items of notified jobs whose record could not be read,
            as they are stored, by job id.
        unix_s: Returns the Unix time in seconds.
        progress: Keeps the progress of items on the disk; None without one.
        wait_to_retry: Waits until a call of the store that failed may be
            repeated.
        failed_jobs: Jobs that ended with an unexpected error here.
        places: Limits the number of items that run here.
    """

    def __init__(
        self,
        process: deployment.Process,
        store: pairs.KeyValueStore,
        view: fleetview.View,
        peers: peer.Client,
        item_runner: batch_item.Runner,
        clock: timer.Timer,
        task_group: isolation.TaskStarter,
        entry: registration.Registration,
        *,
        unix_s: Callable[[], float] = time.time,
        wait_to_retry: Callable[[], Awaitable[None]] = result_listing.pause,
    ) -> None:
        self.process = process
        self.records = batch_record_writer.RecordWriter(
            process, store, entry, clock.now
        )
        self.entry = entry
        self.listing = result_listing.ResultListing(
            process.name,
            self.records,
            store,
            view,
            self._stop_job,
            clock.now,
            unix_s,
            wait_to_retry,
        )
        self.wait_to_retry = wait_to_retry
        self.started_s = clock.now()
        self.next_poll_s = 0.0
        self.poll_pacing = job_owners.PollPacing()
        self.polled_lease_count = 0
        self.store = store
        self.view = view
        self.peers = peers
        self.item_runner = item_runner
        self.clock = clock
        self.task_group = task_group
        self.unix_s = unix_s
        self.jobs: dict[str, batch_job.Job] = {}
        self.ended_jobs: collections.OrderedDict[str, batch_job.Job] = (
            collections.OrderedDict()
        )
        self.owners: dict[str, str] = {}
        self.unread_parts: dict[str, list[bytes]] = {}
        self.succession = job_succession.Succession(
            process.name,
            lambda: entry.own_member.started_ms,
            view,
            clock.now,
            self._poll_within,
        )
        self.closed = closed_jobs.ClosedJobs()
        self.is_draining = False
        self.progress: journal.Journal | None = None
        self.failed_jobs = isolation.Failures()
        self.places = item_places.Places()

    def start(self, server: peer.Server) -> None:
        """Registers the peer method and the poll of open jobs."""
        server.on("job_changed", ttypes.JobChanged, self.on_job_changed)
        self.clock.subscribe("jobs", POLL_CHECK_PERIOD_S, self._poll_if_due)

    def on_members_changed(self) -> None:
        """Lists the jobs again soon when a worker has been lost."""
        self.succession.on_members_changed(self.owners.values())

    def _poll_within(self, delay_s: float) -> None:
        self.next_poll_s = min(self.next_poll_s, self.clock.now() + delay_s)

    async def _poll_if_due(self, now: float) -> None:
        """Timer callback: lists the open jobs when that is due.

        After this worker's entry was missing, its jobs may have other owners.
        """
        was_missing = self.entry.lease_count != self.polled_lease_count
        if now >= self.next_poll_s or was_missing:
            await self.poll(now)

    async def on_job_changed(self, message: ttypes.JobChanged) -> None:
        """Peer method: the record of a job of this worker has changed."""
        isolation.start(
            self.task_group,
            "job_message",
            message.job,
            self._read_job,
            message.job,
            message.parts,
        )

    async def _read_job(
        self, job_id: str, parts: list[bytes] | None = None
    ) -> None:
        """Reads and applies a job's record; `parts` has a new job's items.

        The next listing repeats a read that has failed.
        """
        if job_id in self.closed or (parts and job_id in self.jobs):
            # The gateway repeats a notification that it has sent before.
            return
        lease_count = self.entry.lease_count
        try:
            pair = await self.store.get(batch_records.OPEN_PREFIX + job_id)
        except errors.KeyValueError as error:
            logs.event("job_not_read", job=job_id, cause=error.message)
            if parts:
                unread_jobs.retain(self.unread_parts, job_id, parts)
            self._poll_within(POLL_RETRY_S)
            return
        if pair is not None:
            await self._apply_record(pair, lease_count)
            self._set_items(job_id, parts)
        elif job_id in self.jobs:
            # Another worker has moved the record of a job that has ended.
            self._poll_within(0.0)

    def _set_items(self, job_id: str, parts: list[bytes] | None) -> None:
        """Sets the items of a job that was just started."""
        job = self.jobs.get(job_id)
        if job is not None and parts and not job.items:
            job.items = batch_records.decode_items(parts)

    async def poll(self, now: float) -> None:
        """Lists the open jobs and applies their records."""
        self.next_poll_s = now + self.poll_pacing.next_delay_s(
            len(self._workers())
        )
        lease_count = self.entry.lease_count
        self.polled_lease_count = lease_count
        unread_parts = dict(self.unread_parts)
        try:
            listing = await self.store.list_prefix(batch_records.OPEN_PREFIX)
        except errors.KeyValueError:
            self._poll_within(POLL_RETRY_S)
            return
        for job_id in unread_parts:
            self.unread_parts.pop(job_id, None)
        self.succession.update(now)
        owners = {}
        for pair in listing.pairs:
            job_id = pair.key.removeprefix(batch_records.OPEN_PREFIX)
            owners[job_id] = await self._apply_contained(pair, lease_count)
            self._set_items(job_id, unread_parts.get(job_id))
        self.owners = owners
        for job_id, job in list(self.jobs.items()):
            if job_id not in owners and job.revision < listing.revision:
                self._stop_job(job_id, "it is no longer open")

    async def _apply_contained(self, pair: pairs.Pair, lease_count: int) -> str:
        """Applies a record; its failure does not concern other records."""
        try:
            return await self._apply_record(pair, lease_count)
        except Exception as error:
            isolation.record("job_record", pair.key, error)
            return ""

    async def _apply_record(self, pair: pairs.Pair, lease_count: int) -> str:
        """Starts, stops or takes over a job as its record demands.

        Args:
            pair: The record.
            lease_count: Count of this worker's leases before it was read.

        Returns:
            The owner that the record names; empty if it cannot be decoded.
        """
        try:
            progress = batch_records.decode_progress(pair.value)
        except errors.KeyValueError as error:
            logs.event("job_unreadable", key=pair.key, cause=error.message)
            return ""
        if progress.closed:
            self.closed.add(progress.meta.id)
        job = self.jobs.get(progress.meta.id)
        if job is None:
            await self._apply_foreign_record(pair, progress, lease_count)
        else:
            await self._apply_own_record(job, pair, progress, lease_count)
        return progress.owner

    async def _apply_own_record(
        self,
        job: batch_job.Job,
        pair: pairs.Pair,
        progress: batch_records.Progress,
        lease_count: int,
    ) -> None:
        """Continues or stops a job that runs here as its record demands."""
        job_id = progress.meta.id
        if pair.revision >= job.revision:
            if pair.revision > job.revision:
                job.progress = progress
                job.revision = pair.revision
            job.lease_count = lease_count
        if progress.closed:
            self._stop_job(job_id, "its caller has cancelled it")
            await self.records.move_to_ended(pair, progress)
        elif not batch_job.runs_at(progress, self.process.name):
            self._stop_job(job_id, f"{progress.owner} runs it")
        else:
            self._start_items(job)

    async def _apply_foreign_record(
        self,
        pair: pairs.Pair,
        progress: batch_records.Progress,
        lease_count: int,
    ) -> None:
        """Starts or takes over a job that does not run here."""
        if progress.closed:
            await self._apply_foreign_end(pair, progress)
        elif progress.owner == self.process.name:
            if self.is_draining:
                await self._pass_on(pair, progress)
            else:
                doubtful_until_s = self.started_s + batch_job.LATE_WRITE_S
                self._start_job(
                    batch_job.Job(
                        progress,
                        pair.revision,
                        lease_count=lease_count,
                        doubtful_until_s=doubtful_until_s,
                    )
                )
        elif self._is_successor(progress):
            revision = await self.records.take_over(pair, progress)
            if not revision:
                self._poll_within(job_succession.TAKEOVER_S)
            else:
                self._start_job(
                    batch_job.Job(
                        progress,
                        revision,
                        lease_count=lease_count,
                        doubtful_until_s=-math.inf,
                    )
                )

    async def _apply_foreign_end(
        self, pair: pairs.Pair, progress: batch_records.Progress
    ) -> None:
        """Moves the record of a job that has ended, or tells who runs it.

        The gateway that has written the end may have told nobody. Records of
        jobs that have ended are moved at once, so this one was forgotten.
        """
        if progress.owner == self.process.name or self._is_successor(progress):
            await self.records.move_to_ended(pair, progress)
            return
        for worker in batch_job.runners(progress):
            self.task_group.start_soon(
                job_owners.notify,
                self.view,
                self.peers,
                progress.meta.id,
                worker,
            )

    def _is_successor(self, progress: batch_records.Progress) -> bool:
        """Returns whether this worker succeeds a job's departed owner."""
        return not self.is_draining and self.succession.is_successor(progress)

    async def _pass_on(
        self, pair: pairs.Pair, progress: batch_records.Progress
    ) -> None:
        """Gives a job that arrives while this worker drains to another one."""
        others = self.other_workers(progress.meta)
        if not others:
            return
        owner = job_owners.choose_owner(progress.meta.id, others)
        if not await self.records.pass_on(pair, progress, owner):
            # The write may have been done without an answer.
            self._poll_within(POLL_RETRY_S)
        await self.notify_owner(progress)

    def other_workers(self, meta: batch_records.JobMeta) -> list[str]:
        """Returns the names of the other workers that may run a job."""
        workers = job_owners.allowed_workers(
            self.view, meta.route, meta.organisation
        )
        return [w for w in workers if w != self.process.name]

    def _workers(self) -> list[str]:
        return job_owners.worker_names(self.view)

    def find_job(self, job_id: str) -> batch_job.Job | None:
        """Returns a job that runs here or has ended here."""
        return self.jobs.get(job_id) or self.ended_jobs.get(job_id)

    def _start_job(self, job: batch_job.Job) -> None:
        job_id = job.progress.meta.id
        may_start = self.failed_jobs.may_start(job_id, self.clock.now())
        if job_id in self.closed:
            logs.event("job_not_started", job=job_id, cause="it has ended")
        elif job_id not in self.jobs and may_start:
            self.jobs[job_id] = job
            isolation.start(self.task_group, "job", job_id, self._run_job, job)

    def _stop_job(self, job_id: str, cause: str) -> None:
        """Cancels everything that runs for a job; `cause` is only logged."""
        job = self.jobs.pop(job_id, None)
        if job is not None:
            logs.event("job_stopped", job=job_id, cause=cause)
            job.lease_count = NO_LEASE
            batch_job.notify_readers(job)
            job.cancel_scope.cancel()

    async def _run_job(self, job: batch_job.Job) -> None:
        """Runs a job until its results are written or it is stopped."""
        job_id = job.progress.meta.id
        logs.event(
            "job_started",
            job=job_id,
            listed=len(job.progress.listed),
            total=job.progress.meta.total,
        )
        try:
            with job.cancel_scope:
                await self._load_items(job)
                async with anyio.create_task_group() as task_group:
                    job.task_group = task_group
                    self._start_items(job)
                    await self.listing.list_results(job)
                    task_group.cancel_scope.cancel()
        except Exception:
            # The next listing starts the job again, after a growing pause.
            self.failed_jobs.record(job_id, self.clock.now())
            raise
        finally:
            if self.jobs.get(job_id) is job:
                del self.jobs[job_id]
                if batch_job.has_all_results(job):
                    ended_jobs.retain(self.ended_jobs, job)

    def _start_items(self, job: batch_job.Job) -> None:
        """Starts the items that have no result and do not run."""
        progress = job.progress
        if job.task_group is None or self.is_draining:
            return
        if progress.owner != self.process.name:
            return
        unwritten = {i for i, _, _ in job.unwritten}
        skipped = {*progress.listed, *unwritten, *job.tasks}
        if not self.succession.are_kept_items_lost(progress):
            skipped.update(progress.kept)
        for index, item in enumerate(job.items):
            if index not in skipped:
                task = self._make_task(job, index, item)
                job.tasks[index] = task
                isolation.start(
                    job.task_group, "item", item.id, self._run_item, job, task
                )

    async def _load_items(self, job: batch_job.Job) -> None:
        while not job.items:
            try:
                job.items = await job_reader.read_items(
                    self.store, job.progress.meta
                )
            except errors.KeyValueError as error:
                job_id = job.progress.meta.id
                logs.event("job_not_read", job=job_id, cause=error.message)
                await self.wait_to_retry()

    def _make_task(
        self, job: batch_job.Job, index: int, item: batch_records.Item
    ) -> batch_task.Task:
        meta = job.progress.meta
        age_s = self.unix_s() - meta.submitted_ms / 1000
        task = batch_task.Task(
            job_id=meta.id,
            index=index,
            item=item,
            route_name=meta.route,
            host=meta.host,
            organisation=serving.Organisation(meta.organisation),
            submitted_s=self.clock.now() - age_s,
        )
        if self.progress is not None:
            self.progress.track(task)
        return task

    async def _run_item(
        self, job: batch_job.Job, task: batch_task.Task
    ) -> None:
        """Runs an item and queues its result, to be written."""
        result = None
        try:
            async with self.places.take(job.progress.meta.route):
                result = await self.item_runner.run(task)
        finally:
            job.tasks.pop(task.index, None)
            if self.progress is not None:
                self.progress.finish(task, result)
        if result is not None:
            metrics.BATCH_ITEMS.inc({"outcome": result.state})
            job.unwritten.append((task.index, result, task.item.tokens))
        job.changed.set()

    async def notify_owner(self, progress: batch_records.Progress) -> None:
        """Notifies a job's owner of its record."""
        job_id = progress.meta.id
        await job_owners.notify(self.view, self.peers, job_id, progress.owner)
