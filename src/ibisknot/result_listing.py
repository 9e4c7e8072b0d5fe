"""Lists the results of a running batch job in the key-value service."""

from collections.abc import Awaitable
from collections.abc import Callable
import math

import anyio

from ibisknot import batch_job
from ibisknot import batch_record_writer
from ibisknot import batch_records
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import logs
from ibisknot import pairs

MIN_WRITE_DELAY_S = 0.1
MAX_WRITE_DELAY_S = 0.4
"""Results that arrive within this time are written in one transaction."""
URGENT_S = 4.0
"""Time before a job is due from which its results are written at once."""
STORE_RETRY_PAUSE_S = 0.3


async def pause() -> None:
    """Waits as a worker does that does not know when the store is back."""
    await anyio.sleep(STORE_RETRY_PAUSE_S)


class ResultListing:
    """Lists the results of the jobs of one worker.

    Attributes:
        worker_name: Name of the worker.
        records: Writes the jobs' records.
        store: The key-value service.
        view: Has the routes, which say when a job is due.
        stop_job: Stops a job that no longer runs here, from its id and the
            cause.
        clock: Returns the monotonic time in seconds.
        unix_s: Returns the Unix time in seconds.
        wait_to_retry: Waits until a call that failed may be repeated.
    """

    def __init__(
        self,
        worker_name: str,
        records: batch_record_writer.RecordWriter,
        store: pairs.KeyValueStore,
        view: fleetview.View,
        stop_job: Callable[[str, str], None],
        clock: Callable[[], float],
        unix_s: Callable[[], float],
        wait_to_retry: Callable[[], Awaitable[None]],
    ) -> None:
        self.worker_name = worker_name
        self.records = records
        self.store = store
        self.view = view
        self.stop_job = stop_job
        self.clock = clock
        self.unix_s = unix_s
        self.wait_to_retry = wait_to_retry

    async def list_results(self, job: batch_job.Job) -> None:
        """Writes a job's results until all are listed or run elsewhere."""
        while self._has_work(job):
            await job.changed.wait()
            await self._collect_results(job)
            while job.unwritten:
                try:
                    if not await self.records.append_results(job):
                        await self.reload(job)
                except errors.KeyValueError as error:
                    await self._recover(job, error)

    async def _recover(
        self, job: batch_job.Job, error: errors.KeyValueError
    ) -> None:
        """Prepares the next write after one that failed.

        The record is read first if the write may have taken effect. Any other
        change of the record is found by the next write.
        """
        if isinstance(error, errors.KeyValueRefusedError):
            self.records.write_less(job)
        logs.event(
            "results_not_written",
            job=job.progress.meta.id,
            waiting=len(job.unwritten),
            cause=error.message,
        )
        await self.wait_to_retry()
        if isinstance(error, errors.KeyValueUnknownError):
            await self.reload(job)

    async def _collect_results(self, job: batch_job.Job) -> None:
        """Waits for further results that one transaction can write as well.

        It returns early when no item runs, and when the job is nearly due.
        """
        end_s = self.clock() + MAX_WRITE_DELAY_S
        while True:
            job.changed = anyio.Event()
            remaining_s = end_s - self.clock()
            if not job.tasks or self._is_nearly_due(job):
                remaining_s = min(remaining_s, MIN_WRITE_DELAY_S)
            with anyio.move_on_after(remaining_s) as scope:
                await job.changed.wait()
            if scope.cancelled_caught or remaining_s <= 0:
                return

    def _is_nearly_due(self, job: batch_job.Job) -> bool:
        """Returns whether a job's results are due within `URGENT_S`."""
        meta = job.progress.meta
        configuration = self.view.configuration
        if configuration is None:
            return True
        route = configuration.find_route_by_name(meta.route)
        if route is None or not route.completion_target_s:
            return True
        age_s = self.unix_s() - meta.submitted_ms / 1000
        return age_s > route.completion_target_s - URGENT_S

    def _has_work(self, job: batch_job.Job) -> bool:
        """Returns whether this worker still has results to produce or write."""
        if job.progress.is_complete():
            return False
        is_owner = job.progress.owner == self.worker_name
        return is_owner or bool(job.tasks or job.unwritten)

    async def reload(self, job: batch_job.Job) -> None:
        """Reads a job's record after a write that failed or may have failed."""
        job_id = job.progress.meta.id
        try:
            pair = await self.store.get(batch_records.OPEN_PREFIX + job_id)
        except errors.KeyValueError:
            return
        if pair is None:
            self.stop_job(job_id, "it has ended")
            return
        if pair.revision > job.revision:
            # The guards of all writes without an answer no longer hold.
            job.doubtful_until_s = -math.inf
        job.progress = batch_records.decode_progress(pair.value)
        job.revision = pair.revision
        if not batch_job.runs_at(job.progress, self.worker_name):
            self.stop_job(job_id, f"{job.progress.owner} runs it")
