"""Reads batch jobs at a gateway.

The worker that runs a job is asked for its results, so that questions about
jobs make no calls of the key-value service. The service is read when that
worker does not answer or is not certain to know every result.
"""

import collections
from collections.abc import Callable
import dataclasses
from typing import Any

import anyio

from ibisknot import batch_records
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import job_owners
from ibisknot import listed_results
from ibisknot import logs
from ibisknot import pairs
from ibisknot import peer
from ibisknot.gen.fleet import ttypes
from ibisknot.outage import gate

MAX_CACHED_JOBS = 64
MAX_CACHED_BYTES = 16 * 1024 * 1024
"""Memory for the outputs in all cached jobs."""
MAX_CACHED_ITEM_LISTS = 4
MAX_KNOWN_OWNERS = 4096
MAX_WORKERS_ASKED = 2
"""A worker that does not run a job may name the one that does."""
ANSWER_MARGIN_S = 0.4
"""Time for a worker's answer after the time that it may wait."""
MAX_WAIT_S = 30.0
"""Longest time for which a caller may wait for results."""
RETRY_PAUSE_S = 0.2
"""Pause before a failed read is repeated in the time that its caller waits."""
OUTAGE_READ_S = 0.3
"""Time for the last attempt of a read in an outage, at its deadline."""
RETRY_AFTER_S = 0.5
SILENT_PAUSE_S = 2.0
"""Time for which a worker that did not answer is not asked."""


@dataclasses.dataclass(slots=True)
class CachedJob:
    """What a gateway has read about one job from the store.

    Attributes:
        meta: The job's fixed properties.
        listed: The results that were read.
    """

    meta: batch_records.JobMeta
    listed: listed_results.ListedResults = dataclasses.field(
        default_factory=listed_results.ListedResults
    )

    def is_complete(self) -> bool:
        """Returns whether every item's result is cached."""
        return len(self.listed.results) >= self.meta.total

    def is_pending(self, index: int) -> bool:
        """Returns whether the result at an index may still follow."""
        return len(self.listed.results) <= index and not self.is_complete()


class Reader:
    """Reads jobs for one gateway.

    Attributes:
        cached_jobs: The most recently used jobs, by id.
        cached_items: Items by id, of the jobs whose bodies were read last.
        owners: Names of the workers that answered last, by job id.
        silent_until_s: Monotonic time until which a worker is not asked, by
            name.
        is_outage: Returns whether no process reaches the store.
    """

    def __init__(
        self,
        store: pairs.KeyValueStore,
        view: fleetview.View,
        peers: peer.Client,
        clock: Callable[[], float],
        *,
        is_outage: Callable[[], bool] = gate.no_outage,
    ) -> None:
        self.is_outage = is_outage
        self.store = store
        self.view = view
        self.peers = peers
        self.clock = clock
        self.cached_jobs: collections.OrderedDict[str, CachedJob] = (
            collections.OrderedDict()
        )
        self.cached_items: collections.OrderedDict[
            str, dict[str, batch_records.Item]
        ] = collections.OrderedDict()
        self.owners: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self.silent_until_s: dict[str, float] = {}

    def cache_job(self, job: CachedJob) -> None:
        """Caches a job as the one used last; evicts jobs over the limits."""
        self.cached_jobs[job.meta.id] = job
        self.cached_jobs.move_to_end(job.meta.id)
        while len(self.cached_jobs) > MAX_CACHED_JOBS or (
            len(self.cached_jobs) > 1
            and self._cached_bytes() > MAX_CACHED_BYTES
        ):
            self.cached_jobs.popitem(last=False)

    def _cached_bytes(self) -> int:
        return sum(j.listed.memory_bytes() for j in self.cached_jobs.values())

    async def find_job(self, job_id: str) -> CachedJob | None:
        """Returns a job from the cache or the store; None if it is unknown."""
        if not batch_records.may_exist(job_id):
            return None
        job = self.cached_jobs.get(job_id)
        if job is None:
            pair = await self.store.get(batch_records.META_PREFIX + job_id)
            if pair is None:
                return None
            job = CachedJob(batch_records.decode_meta(pair.value))
        self.cache_job(job)
        return job

    async def get_job(self, job_id: str, organisation: str) -> CachedJob:
        """Returns an organisation's job.

        Raises:
            NotFoundError: The organisation has no such job.
            KeyValueError: The store does not respond.
        """
        job = await self.find_job(job_id)
        if job is None:
            raise errors.NotFoundError(f"no batch job {job_id}")
        check_access(job_id, job.meta.organisation, organisation)
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
        deadline_s = self.clock() + min(wait_s, MAX_WAIT_S)
        while True:
            try:
                return await self._try_read(
                    job_id, organisation, first_index, deadline_s
                )
            except errors.KeyValueError as error:
                error.retry_after_s = RETRY_AFTER_S
                if self.clock() + RETRY_PAUSE_S >= deadline_s:
                    raise
            await anyio.sleep(RETRY_PAUSE_S)

    async def _try_read(
        self,
        job_id: str,
        organisation: str,
        first_index: int,
        deadline_s: float,
    ) -> tuple[int, list[batch_records.ItemResult]]:
        """Reads one page from the worker that runs the job, or the store.

        While no process reaches the store, only the worker is asked until the
        deadline.

        Raises:
            NotFoundError: The organisation has no such job.
            KeyValueError: The store does not respond.
        """
        cached = self.cached_jobs.get(job_id)
        is_complete = cached is not None and cached.is_complete()
        if not is_complete:
            wait_s = max(0.0, deadline_s - self.clock())
            request = ttypes.JobRead(
                job=job_id, first_index=first_index, wait_s=wait_s
            )
            page = await self._ask_workers(
                job_id, "job_read", request, ttypes.JobPage, wait_s
            )
            if page is not None:
                check_access(job_id, page.organisation, organisation)
                results = batch_records.decode_results(page.results)
                return page.total, results
        if is_complete or not self.is_outage():
            return await self._read_from_store(
                job_id, organisation, first_index, deadline_s
            )
        if self.clock() + RETRY_PAUSE_S < deadline_s:
            raise errors.KeyValueError("no process reaches the store")
        # The view may be old although the store answers.
        with anyio.move_on_after(OUTAGE_READ_S):
            return await self._read_from_store(
                job_id, organisation, first_index, deadline_s
            )
        raise errors.KeyValueError("no process reaches the store")

    # Workers --------------------------------------------------------------

    async def _ask_workers(
        self,
        job_id: str,
        method: str,
        request: Any,
        answer_type: type[Any],
        wait_s: float = 0.0,
    ) -> Any:
        """Returns the answer of the worker that runs a job.

        Args:
            job_id: Id of the job.
            method: Name of the peer method.
            request: The request.
            answer_type: Type of the answer, with `certain` and `owner`.
            wait_s: Seconds for which the worker may wait.

        Returns:
            The answer, or None if no worker answers or is certain.
        """
        name = self.owners.get(job_id) or job_owners.choose_owner(
            job_id, job_owners.worker_names(self.view)
        )
        for _ in range(MAX_WORKERS_ASKED):
            member = self.view.members.get(name)
            is_silent = self.clock() < self.silent_until_s.get(name, 0.0)
            if member is None or is_silent:
                return None
            try:
                answer = await self.peers.call(
                    member.address,
                    method,
                    request,
                    answer_type,
                    timeout_s=wait_s + ANSWER_MARGIN_S,
                )
            except errors.IbisknotError as error:
                self._record_silence(job_id, name, error.message)
                return None
            if answer.certain:
                self._record_owner(job_id, name)
                return answer
            if answer.owner in ("", name):
                return None
            name = answer.owner
        return None

    def _record_silence(self, job_id: str, name: str, cause: str) -> None:
        self.silent_until_s[name] = self.clock() + SILENT_PAUSE_S
        logs.event("job_worker_silent", job=job_id, worker=name, cause=cause)

    def _record_owner(self, job_id: str, name: str) -> None:
        self.owners[job_id] = name
        self.owners.move_to_end(job_id)
        if len(self.owners) > MAX_KNOWN_OWNERS:
            self.owners.popitem(last=False)

    # Store ----------------------------------------------------------------

    async def _read_from_store(
        self,
        job_id: str,
        organisation: str,
        first_index: int,
        deadline_s: float,
    ) -> tuple[int, list[batch_records.ItemResult]]:
        """Reads one page of a job's results from the store or the cache."""
        job = await self.get_job(job_id, organisation)
        if job.is_pending(first_index):
            # Another gateway may already have returned results that a watch
            # would deliver later, so each call first lists the results.
            await listed_results.load(self.store, job_id, job.listed)
        while job.is_pending(first_index) and self.clock() < deadline_s:
            await self._wait_for_results(job, deadline_s - self.clock())
        remaining = job.listed.results[first_index:]
        return job.meta.total, listed_results.first_page(remaining)

    async def _wait_for_results(self, job: CachedJob, wait_s: float) -> None:
        """Watches a job's results for `wait_s` seconds and adds new ones."""
        listed = job.listed
        prefix = batch_records.results_prefix(job.meta.id)
        try:
            watched = await self.store.changes(prefix, listed.revision, wait_s)
        except errors.HistoryGoneError:
            await listed_results.load(self.store, job.meta.id, listed)
            return
        listed.revision = max(listed.revision, watched.revision)
        for change in watched.changes:
            if change.value is not None:
                results = batch_records.decode_results(change.value)
                listed_results.add(listed, change.key, results)

    async def read_item_body(
        self, job_id: str, organisation: str, item_id: str
    ) -> bytes | None:
        """Returns the request body of an item; None if there is no such item.

        Raises:
            NotFoundError: The organisation has no such job.
            KeyValueError: The store does not respond.
        """
        answer = await self._ask_workers(
            job_id,
            "job_item",
            ttypes.JobItemRead(job=job_id, item=item_id),
            ttypes.JobItem,
        )
        if answer is not None:
            check_access(job_id, answer.organisation, organisation)
            return answer.body
        job = await self.get_job(job_id, organisation)
        items_by_id = self.cached_items.get(job_id)
        if items_by_id is None:
            items = await read_items(self.store, job.meta)
            items_by_id = {entry.id: entry for entry in items}
            self.cached_items[job_id] = items_by_id
            while len(self.cached_items) > MAX_CACHED_ITEM_LISTS:
                self.cached_items.popitem(last=False)
        item = items_by_id.get(item_id)
        return None if item is None else item.body


def check_access(job_id: str, owner: str, organisation: str) -> None:
    """Raises NotFoundError for a job of another organisation."""
    if owner != organisation:
        raise errors.NotFoundError(f"no batch job {job_id}")


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
