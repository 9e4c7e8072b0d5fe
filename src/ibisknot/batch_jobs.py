"""Submits batch jobs, reads their results and cancels them at a gateway.

All state is in the key-value service, so any gateway can handle any job. A
write without a response is repeated under the same guards until its outcome is
known. A submission is reported as refused only when it is certain that the job
does not run.
"""

import collections
from collections.abc import Callable
import dataclasses
import time

import anyio
import xxhash

from ibisknot import batch_records
from ibisknot import deployment
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import logs
from ibisknot import pairs
from ibisknot import peer
from ibisknot import serving
from ibisknot.gen.fleet import ttypes

SUBMIT_RETRY_PAUSE_S = 0.1
STORE_RETRY_AFTER_S = 0.8
OVER_LIMIT_RETRY_AFTER_S = 1.0
NOTIFY_TIMEOUT_S = 0.3
MAX_CACHED_JOBS = 64
MAX_CACHED_BYTES = 16 * 1024 * 1024
"""Largest total length of the outputs in all cached jobs."""
VALUE_FRACTION = 0.7
"""Fraction of the store's maximum value size that one value may fill."""
MAX_PAGE_BYTES = 900_000
MAX_COUNTED_JOBS = 64
"""A record of waiting tokens with more jobs is rebuilt without ended ones."""


@dataclasses.dataclass(slots=True)
class CachedJob:
    """What a gateway has read about one job.

    Attributes:
        meta: The job's fixed properties.
        results: Results in the order in which they were listed, from the
            first one without gaps.
        revision: Store revision up to which `results` is complete.
        last_key: Key of the last value of results that was read.
    """

    meta: batch_records.JobMeta
    results: list[batch_records.ItemResult] = dataclasses.field(
        default_factory=list
    )
    revision: int = 0
    last_key: str = ""

    def is_complete(self) -> bool:
        """Returns whether `results` has a result for every item."""
        return len(self.results) >= self.meta.total

    def output_size(self) -> int:
        """Returns the length of all cached outputs."""
        return sum(len(result.output) for result in self.results)


class Jobs:
    """Submits, reads and cancels batch jobs for one gateway.

    Attributes:
        cached_jobs: The most recently used jobs, by id.
        cached_items: Items by id, of the jobs whose bodies were read last.
    """

    def __init__(
        self,
        process: deployment.Process,
        store: pairs.KeyValueStore,
        view: fleetview.View,
        peers: peer.Client,
        clock: Callable[[], float],
        task_group: anyio.abc.TaskGroup,
    ) -> None:
        self.process = process
        self.store = store
        self.view = view
        self.peers = peers
        self.clock = clock
        self.task_group = task_group
        self.cached_jobs: collections.OrderedDict[str, CachedJob] = (
            collections.OrderedDict()
        )
        self.cached_items: collections.OrderedDict[
            str, dict[str, batch_records.Item]
        ] = collections.OrderedDict()

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
            NotFoundError: Another organisation has a job with this id.
            RateLimitError: Too many tokens of the organisation are waiting.
            KeyValueError: The store is unavailable and nothing was written.
            KeyValueUnknownError: It is unknown whether the job was accepted.
        """
        if submission.id in self.cached_jobs:
            self._check_access(
                self.cached_jobs[submission.id].meta, organisation
            )
            return
        is_outcome_unknown = False
        while True:
            try:
                if await self._try_submit(submission, route, organisation):
                    return
            except errors.KeyValueUnknownError as error:
                is_outcome_unknown = True
                cause = error.message
            except errors.RateLimitError as error:
                if not is_outcome_unknown:
                    raise
                cause = error.message
            except errors.KeyValueError as error:
                if not is_outcome_unknown:
                    error.retry_after_s = STORE_RETRY_AFTER_S
                    raise
                cause = error.message
            if is_outcome_unknown:
                logs.event("job_unknown", job=submission.id, cause=cause)
            if self.clock() + SUBMIT_RETRY_PAUSE_S >= deadline_s:
                message = f"job {submission.id} may have been accepted"
                raise errors.KeyValueUnknownError(message)
            await anyio.sleep(SUBMIT_RETRY_PAUSE_S)

    async def _try_submit(
        self,
        submission: batch_records.Submission,
        route: serving.Route,
        organisation: str,
    ) -> bool:
        """Tries once to submit a job; returns whether it is stored now."""
        key = batch_records.waiting_tokens_key(route.name, organisation)
        pair = await self.store.get(key)
        waiting = batch_records.WaitingTokens({})
        if pair is not None:
            waiting = batch_records.decode_waiting_tokens(pair.value)
        if submission.id in waiting.jobs:
            job = await self._find_job(submission.id)
            if job is not None:
                self._check_access(job.meta, organisation)
                return True
        tokens = submission.total_tokens()
        has_many_jobs = len(waiting.jobs) > MAX_COUNTED_JOBS
        if has_many_jobs or not _is_within_limit(waiting, tokens, route):
            waiting = await self._count_waiting_tokens(route, organisation)
            if not _is_within_limit(waiting, tokens, route):
                return await self._refuse_over_limit(submission, organisation)
        waiting.jobs[submission.id] = tokens
        guard = pairs.Guard(key, 0 if pair is None else pair.revision)
        return await self._create(
            submission, route, organisation, waiting, guard
        )

    async def _count_waiting_tokens(
        self, route: serving.Route, organisation: str
    ) -> batch_records.WaitingTokens:
        """Counts the waiting tokens of an organisation's open jobs."""
        listing = await self.store.list_prefix(batch_records.OPEN_PREFIX)
        tokens_by_job = {}
        for pair in listing.pairs:
            progress = batch_records.decode_progress(pair.value)
            meta = progress.meta
            if (meta.route, meta.organisation) == (route.name, organisation):
                tokens_by_job[meta.id] = (
                    0 if progress.closed else progress.waiting_tokens
                )
        return batch_records.WaitingTokens(tokens_by_job)

    async def _refuse_over_limit(
        self, submission: batch_records.Submission, organisation: str
    ) -> bool:
        """Returns True if the job is already stored, else refuses it."""
        job = await self._find_job(submission.id)
        if job is not None:
            self._check_access(job.meta, organisation)
            return True
        raise errors.RateLimitError(
            f"{organisation} has too many batch tokens waiting",
            retry_after_s=OVER_LIMIT_RETRY_AFTER_S,
        )

    async def _create(
        self,
        submission: batch_records.Submission,
        route: serving.Route,
        organisation: str,
        waiting: batch_records.WaitingTokens,
        guard: pairs.Guard,
    ) -> bool:
        """Writes a job's records; returns whether the job is stored now."""
        max_part_bytes = int(self.process.value_bytes * VALUE_FRACTION)
        parts = batch_records.split_items(submission.items, max_part_bytes)
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
            owner=self._choose_owner(submission.id),
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
            job = await self._find_job(meta.id)
            if job is None:
                return False
            self._check_access(job.meta, organisation)
            return True
        self._cache_job(CachedJob(meta, revision=revision))
        logs.event(
            "job_accepted",
            job=meta.id,
            organisation=organisation,
            items=meta.total,
            owner=progress.owner,
            revision=revision,
        )
        self.task_group.start_soon(self._notify_owner, meta.id, progress.owner)
        return True

    def _choose_owner(self, job_id: str) -> str:
        """Chooses the worker that owns a new job; empty if there is none."""
        workers = [
            m.name
            for m in self.view.members.values()
            if m.kind == deployment.WORKER
        ]
        return choose_owner(job_id, workers)

    async def _notify_owner(self, job_id: str, owner: str) -> None:
        """Notifies a job's owner; a lost notification only delays it."""
        member = self.view.members.get(owner)
        if member is None:
            return
        try:
            await self.peers.call(
                member.address,
                "job_changed",
                ttypes.JobChanged(job=job_id),
                timeout_s=NOTIFY_TIMEOUT_S,
            )
        except errors.IbisknotError as error:
            logs.event("owner_silent", job=job_id, cause=error.message)

    def _check_access(
        self, meta: batch_records.JobMeta, organisation: str
    ) -> None:
        """Raises NotFoundError for a job of another organisation."""
        if meta.organisation != organisation:
            raise errors.NotFoundError(f"no batch job {meta.id}")

    def _cache_job(self, job: CachedJob) -> None:
        """Caches a job as the one used last; evicts jobs over the limits."""
        self.cached_jobs[job.meta.id] = job
        self.cached_jobs.move_to_end(job.meta.id)
        while len(self.cached_jobs) > MAX_CACHED_JOBS or (
            len(self.cached_jobs) > 1
            and sum(j.output_size() for j in self.cached_jobs.values())
            > MAX_CACHED_BYTES
        ):
            self.cached_jobs.popitem(last=False)

    async def _find_job(self, job_id: str) -> CachedJob | None:
        """Returns a job from the cache or the store; None if it is unknown."""
        job = self.cached_jobs.get(job_id)
        if job is None:
            pair = await self.store.get(batch_records.META_PREFIX + job_id)
            if pair is None:
                return None
            job = CachedJob(batch_records.decode_meta(pair.value))
        self._cache_job(job)
        return job

    async def _get_job(self, job_id: str, organisation: str) -> CachedJob:
        """Returns an organisation's job; raises NotFoundError without one."""
        job = await self._find_job(job_id)
        if job is None:
            raise errors.NotFoundError(f"no batch job {job_id}")
        self._check_access(job.meta, organisation)
        return job

    async def read_results(
        self, job_id: str, organisation: str, first_index: int, wait_s: float
    ) -> tuple[int, list[batch_records.ItemResult]]:
        """Returns one page of a job's results.

        Args:
            job_id: Id of the job.
            organisation: Name of the organisation that reads it.
            first_index: Index of the first result to return.
            wait_s: Seconds to wait if that result does not exist yet.

        Returns:
            The number of the job's items, and the results.

        Raises:
            NotFoundError: The organisation has no such job.
            KeyValueError: The store does not respond.
        """
        job = await self._get_job(job_id, organisation)
        deadline_s = self.clock() + wait_s
        if _is_pending(job, first_index):
            # Another gateway may already have returned results that a watch
            # would deliver later, so each call first lists the results.
            await self._load_new_results(job)
        while _is_pending(job, first_index) and self.clock() < deadline_s:
            await self._wait_for_results(job, deadline_s - self.clock())
        return job.meta.total, _first_page(job.results[first_index:])

    async def _load_new_results(self, job: CachedJob) -> None:
        """Lists the results after the cached ones and adds them."""
        prefix = batch_records.results_prefix(job.meta.id)
        listing = await self.store.list_prefix(prefix, after=job.last_key)
        job.revision = listing.revision
        for pair in listing.pairs:
            _add_results(job, pair.key, pair.value)

    async def _wait_for_results(self, job: CachedJob, wait_s: float) -> None:
        """Watches a job's results for `wait_s` seconds and adds new ones."""
        prefix = batch_records.results_prefix(job.meta.id)
        try:
            watched = await self.store.changes(prefix, job.revision, wait_s)
        except errors.HistoryGoneError:
            await self._load_new_results(job)
            return
        job.revision = max(job.revision, watched.revision)
        for change in watched.changes:
            if change.value is not None:
                _add_results(job, change.key, change.value)

    async def read_item_body(
        self, job_id: str, organisation: str, item_id: str
    ) -> bytes | None:
        """Returns the request body of an item; None if there is no such item.

        Raises:
            NotFoundError: The organisation has no such job.
            KeyValueError: The store does not respond.
        """
        job = await self._get_job(job_id, organisation)
        items_by_id = self.cached_items.get(job_id)
        if items_by_id is None:
            items = await read_items(self.store, job.meta)
            items_by_id = {entry.id: entry for entry in items}
            self.cached_items[job_id] = items_by_id
            while len(self.cached_items) > 4:
                self.cached_items.popitem(last=False)
        item = items_by_id.get(item_id)
        return None if item is None else item.body

    async def cancel(
        self, job_id: str, organisation: str, deadline_s: float
    ) -> None:
        """Cancels a job; retries until that is stored, up to the deadline.

        Raises:
            NotFoundError: The organisation has no such job.
            KeyValueError: The store does not respond, or the job's record
                changed between each read and write until the deadline.
        """
        await self._get_job(job_id, organisation)
        while not await self._try_cancel(job_id):
            if self.clock() >= deadline_s:
                raise errors.KeyValueError(f"job {job_id} changes too often")

    async def _try_cancel(self, job_id: str) -> bool:
        """Tries once to cancel a job; returns whether it has ended."""
        key = batch_records.OPEN_PREFIX + job_id
        pair = await self.store.get(key)
        if pair is None:
            return True
        progress = batch_records.decode_progress(pair.value)
        if progress.closed:
            return True
        progress.closed = True
        guards = [pairs.Guard(key, pair.revision)]
        puts = [pairs.Put(key, batch_records.encode(progress))]
        try:
            revision = await self.store.transact(guards, puts)
        except errors.KeyValueUnknownError:
            return False
        if revision:
            logs.event("job_ended", job=job_id, revision=revision)
            await self._notify_owner(job_id, progress.owner)
        return bool(revision)


def choose_owner(job_id: str, workers: list[str]) -> str:
    """Chooses a job's owner by rendezvous hashing; empty without workers.

    >>> choose_owner("j", []), choose_owner("j", ["w-1"])
    ('', 'w-1')
    """
    return max(
        workers,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{job_id}/{name}".encode()),
        default="",
    )


async def read_items(
    store: pairs.KeyValueStore, meta: batch_records.JobMeta
) -> list[batch_records.Item]:
    """Reads all items of a job from the store.

    Raises:
        KeyValueError: The store does not respond, or a part is missing.
    """
    parts = []
    for index in range(meta.parts):
        pair = await store.get(batch_records.items_key(meta.id, index))
        if pair is None:
            raise errors.KeyValueError(f"job {meta.id} has no part {index}")
        parts.append(pair.value)
    return batch_records.decode_items(parts)


def _is_within_limit(
    waiting: batch_records.WaitingTokens, tokens: int, route: serving.Route
) -> bool:
    """Returns whether a job's tokens fit the route's limit, if any."""
    if route.max_waiting_tokens <= 0:
        return True
    return sum(waiting.jobs.values()) + tokens <= route.max_waiting_tokens


def _add_results(job: CachedJob, key: str, value: bytes) -> None:
    """Adds the results of one value if they directly follow the cached ones."""
    first_index = int(key.rpartition("/")[2])
    if first_index == len(job.results):
        job.results.extend(batch_records.decode_results(value))
        job.last_key = key


def _is_pending(job: CachedJob, index: int) -> bool:
    """Returns whether the result at an index is not cached but may follow."""
    return len(job.results) <= index and not job.is_complete()


def _first_page(
    results: list[batch_records.ItemResult],
) -> list[batch_records.ItemResult]:
    """Returns the leading results that fit one page, at least one."""
    size_bytes = 0
    page: list[batch_records.ItemResult] = []
    for result in results:
        size_bytes += len(result.output)
        if page and size_bytes > MAX_PAGE_BYTES:
            break
        page.append(result)
    return page
