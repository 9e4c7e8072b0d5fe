"""Accepts batch jobs, reads their results and ends them.

Everything is kept in the key-value service, so any gateway answers for any
job. A write without an answer is repeated under the same guards until it is
known; a caller is told that nothing runs only when that is certain.
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
MAX_CACHED_OUTPUT_BYTES = 16 * 1024 * 1024
VALUE_FRACTION = 0.7
"""Part of the largest value that a group of items may fill."""
MAX_PAGE_BYTES = 900_000
MAX_COUNTED_JOBS = 64
"""A budget that names more jobs is counted anew without the ended ones."""


@dataclasses.dataclass(slots=True)
class CachedJob:
    """What a gateway has read of one job.

    Attributes:
        results: Results by position, without gaps.
        revision: The store's revision up to which `results` is complete.
        last_key: Key of the last group that was read.
    """

    description: batch_records.JobDescription
    results: list[batch_records.ItemResult] = dataclasses.field(
        default_factory=list
    )
    revision: int = 0
    last_results_key: str = ""

    def is_complete(self) -> bool:
        """Returns whether every item is listed."""
        return len(self.results) >= self.description.total

    def output_size(self) -> int:
        """Returns the bytes of the outputs that are kept."""
        return sum(len(result.output) for result in self.results)


class Jobs:
    """Answers the calls of batch jobs at one gateway.

    Attributes:
        known: The jobs that were used last.
        bodies: Items of the jobs whose bodies were asked for.
    """

    def __init__(
        self,
        process: deployment.Process,
        store: pairs.Store,
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

    # Accepting ------------------------------------------------------------

    async def submit(
        self,
        submission: batch_records.Submission,
        route: serving.Route,
        organisation: str,
        deadline_s: float,
    ) -> None:
        """Accepts a job; returns once all of it is kept.

        Args:
            submission: The job.
            route: The route that it came on.
            organisation: Whose it is.
            deadline_s: Monotonic time up to which the caller waits.

        Raises:
            RateLimitError: It does not fit into what may wait.
            KeyValueError: The store is away and nothing was written.
            KeyValueUnknownError: It is not known whether it was accepted.
        """
        if submission.id in self.cached_jobs:
            self._check_organisation(
                self.cached_jobs[submission.id].description, organisation
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
        """Tries once; returns whether the job is accepted."""
        key = batch_records.waiting_tokens_key(route.name, organisation)
        pair = await self.store.get(key)
        waiting = batch_records.WaitingTokens({})
        if pair is not None:
            waiting = batch_records.decode_waiting_tokens(pair.value)
        if submission.id in waiting.jobs:
            job = await self._find_job(submission.id)
            if job is not None:
                self._check_organisation(job.description, organisation)
                return True
        tokens = submission.total_tokens()
        has_many_jobs = len(waiting.jobs) > MAX_COUNTED_JOBS
        if has_many_jobs or not _is_within_limit(waiting, tokens, route):
            waiting = await self._count_waiting_tokens(route, organisation)
            if not _is_within_limit(waiting, tokens, route):
                return await self._refuse_over_limit(submission, organisation)
        waiting.jobs[submission.id] = tokens
        guard = pairs.Guard(key, 0 if pair is None else pair.revision)
        return await self._create_job(
            submission, route, organisation, waiting, guard
        )

    async def _count_waiting_tokens(
        self, route: serving.Route, organisation: str
    ) -> batch_records.WaitingTokens:
        """Returns the tokens that an organisation's jobs have waiting now."""
        listing = await self.store.list_prefix(batch_records.OPEN_PREFIX)
        tokens_by_job = {}
        for pair in listing.pairs:
            progress = batch_records.decode_progress(pair.value)
            description = progress.meta
            if (description.route, description.organisation) == (
                route.name,
                organisation,
            ):
                tokens_by_job[description.id] = (
                    0 if progress.closed else (progress.waiting_tokens)
                )
        return batch_records.WaitingTokens(tokens_by_job)

    async def _refuse_over_limit(
        self, submission: batch_records.Submission, organisation: str
    ) -> bool:
        job = await self._find_job(submission.id)
        if job is not None:
            self._check_organisation(job.description, organisation)
            return True
        raise errors.RateLimitError(
            f"{organisation} has too many tokens waiting",
            retry_after_s=OVER_LIMIT_RETRY_AFTER_S,
        )

    async def _create_job(
        self,
        submission: batch_records.Submission,
        route: serving.Route,
        organisation: str,
        waiting: batch_records.WaitingTokens,
        guard: pairs.Guard,
    ) -> bool:
        max_part_bytes = int(self.process.value_bytes * VALUE_FRACTION)
        parts = batch_records.split_items(submission.items, max_part_bytes)
        description = batch_records.JobDescription(
            id=submission.id,
            organisation=organisation,
            route=route.name,
            host=route.host,
            total=len(submission.items),
            submitted_ms=int(time.time() * 1000),
            parts=len(parts),
        )
        progress = batch_records.Progress(
            meta=description,
            owner=self._choose_owner(submission.id),
            listed=[],
            waiting_tokens=submission.total_tokens(),
        )
        description_key = batch_records.DESCRIPTION_PREFIX + description.id
        puts = [
            pairs.Put(description_key, batch_records.encode(description)),
            pairs.Put(guard.key, batch_records.encode(waiting)),
            pairs.Put(
                batch_records.OPEN_PREFIX + description.id,
                batch_records.encode(progress),
            ),
        ]
        for index, part in enumerate(parts):
            puts.append(
                pairs.Put(batch_records.items_key(description.id, index), part)
            )
        guards = [pairs.Guard(description_key, 0), guard]
        revision = await self.store.transact(guards, puts)
        if not revision:
            job = await self._find_job(description.id)
            if job is None:
                return False
            self._check_organisation(job.description, organisation)
            return True
        self._cache_job(CachedJob(description, revision=revision))
        logs.event(
            "job_accepted",
            job=description.id,
            organisation=organisation,
            items=description.total,
            owner=progress.owner,
            revision=revision,
        )
        self.task_group.start_soon(
            self._notify_owner, description.id, progress.owner
        )
        return True

    def _choose_owner(self, job_id: str) -> str:
        workers = [
            m.name
            for m in self.view.members.values()
            if m.kind == deployment.WORKER
        ]
        return choose_owner(job_id, workers)

    async def _notify_owner(self, job_id: str, owner: str) -> None:
        """Tells the owner to look at once; its own reading finds it else."""
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

    # Reading --------------------------------------------------------------

    def _check_organisation(
        self, description: batch_records.JobDescription, organisation: str
    ) -> None:
        if description.organisation != organisation:
            raise errors.NotFoundError(f"no batch job {description.id}")

    def _cache_job(self, job: CachedJob) -> None:
        self.cached_jobs[job.description.id] = job
        self.cached_jobs.move_to_end(job.description.id)
        while len(self.cached_jobs) > MAX_CACHED_JOBS or (
            len(self.cached_jobs) > 1
            and sum(k.output_size() for k in self.cached_jobs.values())
            > MAX_CACHED_OUTPUT_BYTES
        ):
            self.cached_jobs.popitem(last=False)

    async def _find_job(self, job_id: str) -> CachedJob | None:
        job = self.cached_jobs.get(job_id)
        if job is None:
            pair = await self.store.get(
                batch_records.DESCRIPTION_PREFIX + job_id
            )
            if pair is None:
                return None
            job = CachedJob(batch_records.decode_description(pair.value))
        self._cache_job(job)
        return job

    async def _get_job(self, job_id: str, organisation: str) -> CachedJob:
        """Returns a job of an organisation.

        Raises:
            NotFoundError: There is none.
            KeyValueError: The store does not answer.
        """
        job = await self._find_job(job_id)
        if job is None:
            raise errors.NotFoundError(f"no batch job {job_id}")
        self._check_organisation(job.description, organisation)
        return job

    async def read_results(
        self,
        job_id: str,
        organisation: str,
        first_index: int,
        max_wait_s: float,
    ) -> tuple[int, list[batch_records.ItemResult]]:
        """Returns a job's size and its results from a position on.

        Args:
            job_id: The job's id.
            organisation: Whose it is.
            first_index: The first position to return.
            max_wait_s: How long to wait for a result, in seconds.

        Raises:
            NotFoundError: There is no such job.
            KeyValueError: The store does not answer.
        """
        job = await self._get_job(job_id, organisation)
        deadline_s = self.clock() + max_wait_s
        if _is_result_pending(job, first_index):
            # Another gateway may have shown results that a watch would tell
            # later, so each call begins with a reading of its own.
            await self._load_new_results(job)
        while (
            _is_result_pending(job, first_index) and self.clock() < deadline_s
        ):
            await self._wait_for_results(job, deadline_s - self.clock())
        return job.description.total, _first_page(job.results[first_index:])

    async def _load_new_results(self, job: CachedJob) -> None:
        prefix = batch_records.results_prefix(job.description.id)
        listing = await self.store.list_prefix(
            prefix, after=job.last_results_key
        )
        job.revision = listing.revision
        for pair in listing.pairs:
            _add_results(job, pair.key, pair.value)

    async def _wait_for_results(self, job: CachedJob, wait_s: float) -> None:
        prefix = batch_records.results_prefix(job.description.id)
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
        """Returns the body of an item, or None when there is no such item.

        Raises:
            NotFoundError: There is no such job.
            KeyValueError: The store does not answer.
        """
        job = await self._get_job(job_id, organisation)
        items_by_id = self.cached_items.get(job_id)
        if items_by_id is None:
            items = await read_items(self.store, job.description)
            items_by_id = {entry.id: entry for entry in items}
            self.cached_items[job_id] = items_by_id
            while len(self.cached_items) > 4:
                self.cached_items.popitem(last=False)
        item = items_by_id.get(item_id)
        return None if item is None else item.body

    # Ending ---------------------------------------------------------------

    async def cancel(
        self, job_id: str, organisation: str, deadline_s: float
    ) -> None:
        """Ends a job; returns once that is kept.

        Raises:
            NotFoundError: There is no such job.
            KeyValueError: The store does not answer.
        """
        await self._get_job(job_id, organisation)
        while not await self._try_cancel(job_id):
            if self.clock() >= deadline_s:
                raise errors.KeyValueError(f"job {job_id} changes too often")

    async def _try_cancel(self, job_id: str) -> bool:
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
    """Returns the worker that should run a job, by rendezvous hashing.

    >>> choose_owner("j", []), choose_owner("j", ["w-1"])
    ('', 'w-1')
    """
    return max(
        workers,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{job_id}/{name}".encode()),
        default="",
    )


async def read_items(
    store: pairs.Store, description: batch_records.JobDescription
) -> list[batch_records.Item]:
    """Reads a job's items.

    Raises:
        KeyValueError: The store does not answer, or a part is missing.
    """
    parts = []
    for index in range(description.parts):
        pair = await store.get(batch_records.items_key(description.id, index))
        if pair is None:
            raise errors.KeyValueError(
                f"job {description.id} lacks part {index}"
            )
        parts.append(pair.value)
    return batch_records.decode_items(parts)


def _is_within_limit(
    waiting: batch_records.WaitingTokens, tokens: int, route: serving.Route
) -> bool:
    if route.max_waiting_tokens <= 0:
        return True
    return sum(waiting.jobs.values()) + tokens <= route.max_waiting_tokens


def _add_results(job: CachedJob, key: str, value: bytes) -> None:
    """Adds a group of results if it is the next one."""
    first_index = int(key.rpartition("/")[2])
    if first_index == len(job.results):
        job.results.extend(batch_records.decode_results(value))
        job.last_results_key = key


def _is_result_pending(job: CachedJob, index: int) -> bool:
    """Returns whether a result at a position may come that is not known."""
    return len(job.results) <= index and not job.is_complete()


def _first_page(
    results: list[batch_records.ItemResult],
) -> list[batch_records.ItemResult]:
    """Returns the leading results that fit one answer, at least one."""
    size_bytes = 0
    page: list[batch_records.ItemResult] = []
    for result in results:
        size_bytes += len(result.output)
        if page and size_bytes > MAX_PAGE_BYTES:
            break
        page.append(result)
    return page
