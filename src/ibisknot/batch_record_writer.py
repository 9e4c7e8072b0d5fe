"""Guarded writes of the records of batch jobs by the worker that runs them.

Each write requires that the job's record has not changed since it was read, so
a worker that is not up to date changes nothing.
"""

from collections.abc import Callable
from collections.abc import Sequence

from ibisknot import batch_job
from ibisknot import batch_records
from ibisknot import deployment
from ibisknot import errors
from ibisknot import listed_results
from ibisknot import logs
from ibisknot import pairs
from ibisknot import registration


class RecordWriter:
    """Writes the records of the jobs of one worker.

    Attributes:
        process: Settings of the worker.
        store: The key-value service.
        entry: This worker's entry among the members.
        clock: Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        process: deployment.Process,
        store: pairs.KeyValueStore,
        entry: registration.Registration,
        clock: Callable[[], float],
    ) -> None:
        self.process = process
        self.store = store
        self.entry = entry
        self.clock = clock

    async def take_over(
        self, pair: pairs.Pair, progress: batch_records.Progress
    ) -> int:
        """Writes this worker as a job's owner; returns the revision, or 0.

        The store refuses it if the previous owner's entry exists: a worker
        that is only missing in an old list of members keeps its jobs.
        """
        previous_owner = progress.owner
        progress.owner = self.process.name
        guards = []
        if previous_owner:
            guards.append(pairs.Guard(self.entry.key(previous_owner), 0))
        revision = await self._try_write(pair, progress, guards)
        if revision:
            logs.event(
                "job_taken_over",
                job=progress.meta.id,
                owner_before=previous_owner,
                revision=revision,
            )
        return revision

    async def pass_on(
        self, pair: pairs.Pair, progress: batch_records.Progress, owner: str
    ) -> bool:
        """Writes another owner of a job of which nothing runs here."""
        progress.owner = owner
        revision = await self._try_write(pair, progress)
        if revision:
            logs.event(
                "job_passed_on",
                job=progress.meta.id,
                owner=owner,
                revision=revision,
            )
        return bool(revision)

    async def move_to_ended(
        self, pair: pairs.Pair, progress: batch_records.Progress
    ) -> None:
        """Moves the record of a cancelled job to the ended jobs."""
        ended_key = batch_records.ENDED_PREFIX + progress.meta.id
        put = pairs.Put(ended_key, batch_records.encode(progress))
        guard = pairs.Guard(pair.key, pair.revision)
        try:
            await self.store.transact([guard], [put], deletes=[pair.key])
        except errors.KeyValueError:
            # The next poll finds the record again.
            return

    async def _try_write(
        self,
        pair: pairs.Pair,
        progress: batch_records.Progress,
        guards: Sequence[pairs.Guard] = (),
    ) -> int:
        """Replaces a record; returns 0 if the next poll must try again."""
        put = pairs.Put(pair.key, batch_records.encode(progress))
        guard = pairs.Guard(pair.key, pair.revision)
        try:
            return await self.store.transact([guard, *guards], [put])
        except errors.KeyValueError:
            return 0

    async def hand_over(
        self, job: batch_job.Job, updated: batch_records.Progress
    ) -> bool:
        """Writes a new owner; returns False if the record has changed.

        Raises:
            KeyValueError: The write failed or may have failed.
        """
        key = batch_records.OPEN_PREFIX + updated.meta.id
        guard = pairs.Guard(key, job.revision)
        put = pairs.Put(key, batch_records.encode(updated))
        revision = await self._write(job, updated, [guard], [put])
        if revision:
            job.changed.set()
            logs.event(
                "job_handed_over",
                job=updated.meta.id,
                owner=updated.owner,
                kept=len(updated.kept),
                revision=revision,
            )
        return bool(revision)

    async def append_results(self, job: batch_job.Job) -> bool:
        """Tries once to write the leading unwritten results.

        Returns:
            False if the record has changed and must be read again.

        Raises:
            KeyValueRefusedError: The store can never take these results.
            KeyValueError: The write failed or may have failed.
        """
        written = batch_records.leading_results(
            job.unwritten, self._max_results_bytes(job)
        )
        progress = job.progress
        updated, results = batch_records.append_results(progress, written)
        if results:
            revision = await self._commit(job, updated, results)
            if not revision:
                return False
            logs.event(
                "results_listed",
                job=progress.meta.id,
                position=len(progress.listed),
                count=len(results),
                revision=revision,
            )
        del job.unwritten[: len(written)]
        return True

    def _max_results_bytes(self, job: batch_job.Job) -> int:
        """Returns the bytes of results that one write may hold."""
        limit = batch_records.max_part_bytes(self.process.value_bytes)
        return min(limit, job.max_results_bytes)

    def write_less(self, job: batch_job.Job) -> None:
        """Makes the next write differ from one that the store refused.

        It holds half as many bytes. A single result that is refused is
        replaced by a failure, so that it does not hold up the others.
        """
        refused = batch_records.leading_results(
            job.unwritten, self._max_results_bytes(job)
        )
        if len(refused) > 1:
            size = sum(len(batch_records.encode(r)) for _, r, _ in refused)
            job.max_results_bytes = size // 2
            return
        index, result, tokens = refused[0]
        failure = batch_records.ItemResult(result.id, batch_records.FAILED, "")
        job.unwritten[0] = (index, failure, tokens)
        logs.event(
            "result_not_storable",
            level="warning",
            job=job.progress.meta.id,
            request=result.id,
            size_bytes=len(batch_records.encode(result)),
        )

    async def _commit(
        self,
        job: batch_job.Job,
        updated: batch_records.Progress,
        results: Sequence[batch_records.ItemResult],
    ) -> int:
        """Writes results and record; returns the revision, 0 if refused."""
        job_id = updated.meta.id
        key = batch_records.OPEN_PREFIX + job_id
        guard = pairs.Guard(key, job.revision)
        first_index = len(job.progress.listed)
        results_key = batch_records.results_key(job_id, first_index)
        puts = [pairs.Put(results_key, batch_records.encode(results))]
        record = batch_records.encode(updated)
        if updated.is_complete():
            puts.append(pairs.Put(batch_records.ENDED_PREFIX + job_id, record))
            deletes = [key]
        else:
            puts.append(pairs.Put(key, record))
            deletes = []
        revision = await self._write(job, updated, [guard], puts, deletes)
        if revision:
            listed_results.add(job.listed, results_key, results)
            batch_job.notify_readers(job)
        return revision

    async def _write(
        self,
        job: batch_job.Job,
        updated: batch_records.Progress,
        guards: list[pairs.Guard],
        puts: list[pairs.Put],
        deletes: Sequence[str] = (),
    ) -> int:
        """Writes a job's record; returns the revision, 0 if refused.

        Raises:
            KeyValueError: The write failed or may have failed.
        """
        lease_count = self.entry.lease_count
        job.write_started_s = self.clock()
        try:
            revision = await self.store.transact(
                guards, puts, deletes=list(deletes)
            )
        except errors.KeyValueUnknownError:
            job.doubtful_until_s = self.clock() + batch_job.LATE_WRITE_S
            raise
        finally:
            job.write_started_s = None
        if revision:
            batch_job.record_own_write(job, updated, revision, lease_count)
        return revision
