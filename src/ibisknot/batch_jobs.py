"""Submits and cancels batch jobs at a gateway.

All state is in the key-value service, so any gateway can handle any job. A
write without a response is repeated under the same guards until its outcome is
known. A submission is reported as refused only when it is certain that the job
does not run.
"""

from collections.abc import Callable
import time

import anyio

from ibisknot import batch_job
from ibisknot import batch_records
from ibisknot import deployment
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import isolation
from ibisknot import job_owners
from ibisknot import job_reader
from ibisknot import listed_results
from ibisknot import logs
from ibisknot import pairs
from ibisknot import peer
from ibisknot import serving
from ibisknot.outage import gate

SUBMIT_RETRY_PAUSE_S = 0.1
CANCEL_RETRY_PAUSE_S = 0.02
END_NOTICE_WAIT_S = 1.0
"""Time for which an end is not acknowledged while a worker does not know."""
STORE_RETRY_AFTER_S = 0.8
OVER_LIMIT_RETRY_AFTER_S = 1.0
NO_WORKER_RETRY_AFTER_S = 1.0
MAX_PARTS = 24
"""Values that hold a job's items; one write takes 32 entries in all."""
MAX_COUNTED_JOBS = 64
"""A record of waiting tokens with more jobs is rebuilt without ended ones."""


class Jobs:
    """Submits and cancels batch jobs for one gateway.

    Attributes:
        reader: Reads jobs, and caches those that were submitted here.
        is_outage: Returns whether no process reaches the store.
    """

    def __init__(
        self,
        process: deployment.Process,
        store: pairs.KeyValueStore,
        view: fleetview.View,
        peers: peer.Client,
        clock: Callable[[], float],
        task_group: isolation.TaskStarter,
        *,
        is_outage: Callable[[], bool] = gate.no_outage,
    ) -> None:
        self.process = process
        self.store = store
        self.view = view
        self.peers = peers
        self.clock = clock
        self.task_group = task_group
        self.is_outage = is_outage
        self.reader = job_reader.Reader(
            store, view, peers, clock, is_outage=is_outage
        )

    async def submit(
        self,
        submission: batch_records.Submission,
        route: serving.Route,
        organisation: str,
        deadline_s: float,
    ) -> None:
        """Accepts a job; returns once all of it is stored.

        A job with this id that is already stored counts as accepted.

        Args:
            submission: The job.
            route: The route of the request that submitted it.
            organisation: Name of the organisation that submitted it.
            deadline_s: Monotonic time at which retries end.

        Raises:
            BodyTooLargeError: The store cannot hold the job.
            KeyValueRefusedError: The store refuses the job.
            NotFoundError: Another organisation has a job with this id.
            RateLimitError: Too many tokens of the organisation are waiting.
            OverloadedError: No worker is in the regions that are allowed.
            KeyValueError: The store is unavailable and nothing was written.
            KeyValueUnknownError: It is unknown whether the job was accepted.
        """
        parts = self._split(submission)
        cached = self.reader.cached_jobs.get(submission.id)
        if cached is not None:
            self._check_access(cached, organisation)
            return
        self._check_regions(route, organisation)
        is_outcome_unknown = False
        while True:
            try:
                if await self._try_submit(
                    submission, parts, route, organisation
                ):
                    return
            except errors.KeyValueRefusedError:
                raise
            except errors.KeyValueUnknownError as error:
                is_outcome_unknown = True
                cause = error.message
            except errors.RateLimitError as error:
                if not is_outcome_unknown:
                    raise
                cause = error.message
            except errors.KeyValueError as error:
                if not is_outcome_unknown and not await self._wait_for_store(
                    deadline_s
                ):
                    error.retry_after_s = STORE_RETRY_AFTER_S
                    raise
                cause = error.message
            if is_outcome_unknown:
                logs.event("job_unknown", job=submission.id, cause=cause)
                await self._wait_for_store(deadline_s)
            if self.clock() + SUBMIT_RETRY_PAUSE_S >= deadline_s:
                if is_outcome_unknown:
                    self._notify_probable_owner(
                        submission.id, parts, route, organisation
                    )
                message = f"job {submission.id} may have been accepted"
                raise errors.KeyValueUnknownError(message)
            await anyio.sleep(SUBMIT_RETRY_PAUSE_S)

    async def _wait_for_store(self, deadline_s: float) -> bool:
        """Waits for the end of an outage; returns whether it has ended in time.

        It returns False at once while other processes reach the store: another
        gateway may then accept the job.
        """
        if not self.is_outage():
            return False
        while self.is_outage():
            if self.clock() + 2 * SUBMIT_RETRY_PAUSE_S >= deadline_s:
                return False
            await anyio.sleep(SUBMIT_RETRY_PAUSE_S)
        return True

    def _notify_probable_owner(
        self,
        job_id: str,
        parts: list[bytes],
        route: serving.Route,
        organisation: str,
    ) -> None:
        """Notifies the owner of a job whose write was not answered.

        The owner reads the job's record, which may name another worker by now
        or not exist.
        """
        workers = job_owners.allowed_workers(
            self.view, route.name, organisation
        )
        owner = job_owners.choose_owner(job_id, workers)
        self._start_notify(job_id, owner, parts)

    def _start_notify(
        self, job_id: str, owner: str, parts: list[bytes] | None = None
    ) -> None:
        self.task_group.start_soon(
            job_owners.notify, self.view, self.peers, job_id, owner, parts
        )

    def _check_regions(self, route: serving.Route, organisation: str) -> None:
        """Refuses a job that no worker may run.

        Raises:
            OverloadedError: No worker is in the regions that are allowed.
        """
        if job_owners.allowed_workers(self.view, route.name, organisation):
            return
        if job_owners.worker_names(self.view):
            raise errors.OverloadedError(
                f"no worker may run jobs of {route.name}",
                retry_after_s=NO_WORKER_RETRY_AFTER_S,
            )

    def _split(self, submission: batch_records.Submission) -> list[bytes]:
        """Encodes a job's items in parts that the store can hold.

        Raises:
            BodyTooLargeError: The store cannot hold the job.
        """
        value_bytes = self.process.value_bytes
        parts = batch_records.split_items(
            submission.items, batch_records.max_part_bytes(value_bytes)
        )
        largest = max(map(len, parts))
        if largest > value_bytes:
            raise errors.BodyTooLargeError(
                f"an item takes {largest} bytes, {value_bytes} are allowed"
            )
        if len(parts) > MAX_PARTS:
            raise errors.BodyTooLargeError(
                f"the items take {len(parts)} values, {MAX_PARTS} are allowed"
            )
        return parts

    async def _try_submit(
        self,
        submission: batch_records.Submission,
        parts: list[bytes],
        route: serving.Route,
        organisation: str,
    ) -> bool:
        """Tries once to submit a job; returns whether it is stored now."""
        key = batch_records.waiting_tokens_key(route.name, organisation)
        pair = await self.store.get(key)
        waiting = batch_records.WaitingTokens({})
        if pair is not None:
            waiting = batch_records.decode_waiting_tokens(pair.value)
        if submission.id in waiting.jobs and await self._is_stored(
            submission.id, parts, route, organisation
        ):
            return True
        tokens = submission.total_tokens()
        has_many_jobs = len(waiting.jobs) > MAX_COUNTED_JOBS
        if has_many_jobs or not _is_within_limit(waiting, tokens, route):
            waiting = await self._count_waiting_tokens(route, organisation)
            if not _is_within_limit(waiting, tokens, route):
                return await self._refuse_over_limit(
                    submission, parts, route, organisation
                )
        waiting.jobs[submission.id] = tokens
        guard = pairs.Guard(key, 0 if pair is None else pair.revision)
        return await self._create(
            submission, parts, route, organisation, waiting, guard
        )

    async def _is_stored(
        self,
        job_id: str,
        parts: list[bytes],
        route: serving.Route,
        organisation: str,
    ) -> bool:
        """Returns whether a job is already stored, and notifies its owner.

        The process whose write of the job was not answered has notified
        nobody.

        Raises:
            NotFoundError: Another organisation has a job with this id.
            KeyValueError: The store does not respond.
        """
        job = await self.reader.find_job(job_id)
        if job is None:
            return False
        self._check_access(job, organisation)
        self._notify_probable_owner(job_id, parts, route, organisation)
        return True

    async def _count_waiting_tokens(
        self, route: serving.Route, organisation: str
    ) -> batch_records.WaitingTokens:
        """Counts the waiting tokens of an organisation's open jobs."""
        listing = await self.store.list_prefix(batch_records.OPEN_PREFIX)
        tokens_by_job = {}
        for pair in listing.pairs:
            try:
                progress = batch_records.decode_progress(pair.value)
            except errors.KeyValueError as error:
                logs.event("job_unreadable", key=pair.key, cause=error.message)
                continue
            meta = progress.meta
            if (meta.route, meta.organisation) == (route.name, organisation):
                tokens_by_job[meta.id] = (
                    0 if progress.closed else progress.waiting_tokens
                )
        return batch_records.WaitingTokens(tokens_by_job)

    async def _refuse_over_limit(
        self,
        submission: batch_records.Submission,
        parts: list[bytes],
        route: serving.Route,
        organisation: str,
    ) -> bool:
        """Returns True if the job is already stored, else refuses it."""
        if await self._is_stored(submission.id, parts, route, organisation):
            return True
        raise errors.RateLimitError(
            f"{organisation} has too many batch tokens waiting",
            retry_after_s=OVER_LIMIT_RETRY_AFTER_S,
        )

    async def _create(
        self,
        submission: batch_records.Submission,
        parts: list[bytes],
        route: serving.Route,
        organisation: str,
        waiting: batch_records.WaitingTokens,
        guard: pairs.Guard,
    ) -> bool:
        """Writes a job's records; returns whether the job is stored now."""
        workers = job_owners.allowed_workers(
            self.view, route.name, organisation
        )
        meta = batch_records.JobMeta(
            id=submission.id,
            organisation=organisation,
            route=route.name,
            host=route.host,
            total=len(submission.items),
            submitted_ms=int(time.time() * 1000),
            parts=len(parts),
        )
        progress = batch_records.Progress(
            meta=meta,
            owner=job_owners.choose_owner(submission.id, workers),
            listed=[],
            waiting_tokens=submission.total_tokens(),
        )
        meta_key = batch_records.META_PREFIX + meta.id
        puts = [
            pairs.Put(meta_key, batch_records.encode(meta)),
            pairs.Put(guard.key, batch_records.encode(waiting)),
            pairs.Put(
                batch_records.OPEN_PREFIX + meta.id,
                batch_records.encode(progress),
            ),
        ]
        for index, part in enumerate(parts):
            puts.append(
                pairs.Put(batch_records.items_key(meta.id, index), part)
            )
        guards = [pairs.Guard(meta_key, 0), guard]
        revision = await self.store.transact(guards, puts)
        if not revision:
            return await self._is_stored(meta.id, parts, route, organisation)
        self._cache_new_job(meta, revision)
        logs.event(
            "job_accepted",
            job=meta.id,
            organisation=organisation,
            items=meta.total,
            owner=progress.owner,
            revision=revision,
        )
        self._start_notify(meta.id, progress.owner, parts)
        return True

    def _cache_new_job(
        self, meta: batch_records.JobMeta, revision: int
    ) -> None:
        listed = listed_results.ListedResults(revision=revision)
        self.reader.cache_job(job_reader.CachedJob(meta, listed))

    def _check_access(
        self, job: job_reader.CachedJob, organisation: str
    ) -> None:
        job_reader.check_access(
            job.meta.id, job.meta.organisation, organisation
        )

    async def cancel(
        self, job_id: str, organisation: str, deadline_s: float
    ) -> None:
        """Cancels a job; retries until that is stored, up to the deadline.

        Returns when the workers that run the job have been told, or do not
        respond; these are told later.

        Raises:
            NotFoundError: The organisation has no such job.
            KeyValueError: The store does not respond, or the job's record
                changed between each read and write until the deadline.
        """
        while True:
            runners = await self._try_cancel(job_id, organisation)
            if runners is not None:
                break
            if self.clock() >= deadline_s:
                raise errors.KeyValueError(f"job {job_id} changes too often")
            await anyio.sleep(CANCEL_RETRY_PAUSE_S)
        await self._tell_end(job_id, runners)

    async def _try_cancel(
        self, job_id: str, organisation: str
    ) -> set[str] | None:
        """Tries once to cancel a job.

        Returns:
            None if the job may go on; otherwise the workers that may not know
            of the end. Who has written it does not matter: a write without an
            answer, or of a gateway that was killed, has told nobody.
        """
        key = batch_records.OPEN_PREFIX + job_id
        may_exist = batch_records.may_exist(job_id)
        pair = await self.store.get(key) if may_exist else None
        if pair is None:
            await self.reader.get_job(job_id, organisation)
            return set()
        progress = batch_records.decode_progress(pair.value)
        job_reader.check_access(
            job_id, progress.meta.organisation, organisation
        )
        if progress.closed:
            return batch_job.runners(progress)
        progress.closed = True
        guards = [pairs.Guard(key, pair.revision)]
        puts = [pairs.Put(key, batch_records.encode(progress))]
        try:
            revision = await self.store.transact(guards, puts)
        except errors.KeyValueUnknownError:
            return None
        if not revision:
            return None
        logs.event("job_ended", job=job_id, revision=revision)
        return batch_job.runners(progress)

    async def _tell_end(self, job_id: str, workers: set[str]) -> None:
        """Tells workers of a job's end; waits a while until they know."""
        notices = [self._start_end_notice(job_id, name) for name in workers]
        with anyio.move_on_after(END_NOTICE_WAIT_S):
            for is_over in notices:
                await is_over.wait()
            return
        logs.event("job_end_not_told", level="warning", job=job_id)

    def _start_end_notice(self, job_id: str, worker: str) -> anyio.Event:
        """Starts to tell a worker; returns an event that is set at the end."""
        is_over = anyio.Event()

        async def tell() -> None:
            await job_owners.notify(
                self.view,
                self.peers,
                job_id,
                worker,
                attempts=job_owners.END_NOTIFY_ATTEMPTS,
            )
            is_over.set()

        self.task_group.start_soon(tell)
        return is_over


def _is_within_limit(
    waiting: batch_records.WaitingTokens, tokens: int, route: serving.Route
) -> bool:
    """Returns whether a job's tokens fit the route's limit, if any."""
    if route.max_waiting_tokens <= 0:
        return True
    return sum(waiting.jobs.values()) + tokens <= route.max_waiting_tokens
