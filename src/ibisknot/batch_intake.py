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

ATTEMPT_PAUSE_S = 0.1
STORE_RETRY_S = 0.8
FULL_RETRY_S = 1.0
NOTICE_TIMEOUT_S = 0.3
CACHED_JOBS = 64
CACHED_BYTES = 16 * 1024 * 1024
PART_SHARE = 0.7
"""Part of the largest value that a group of items may fill."""
PAGE_BYTES = 900_000
MAXIMUM_COUNTED = 64
"""A budget that names more jobs is counted anew without the ended ones."""


@dataclasses.dataclass(slots=True)
class Known:
    """What a gateway has read of one job.

    Attributes:
        results: Results by position, without gaps.
        revision: The store's revision up to which `results` is complete.
        last_key: Key of the last group that was read.
    """

    meta: batch_records.Meta
    results: list[batch_records.Result] = dataclasses.field(
        default_factory=list
    )
    revision: int = 0
    last_key: str = ""

    def is_complete(self) -> bool:
        """Returns whether every item is listed."""
        return len(self.results) >= self.meta.total

    def size(self) -> int:
        """Returns the bytes of the outputs that are kept."""
        return sum(len(result.output) for result in self.results)


class Intake:
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
        group: anyio.abc.TaskGroup,
    ) -> None:
        self.process = process
        self.store = store
        self.view = view
        self.peers = peers
        self.clock = clock
        self.group = group
        self.known: collections.OrderedDict[str, Known] = (
            collections.OrderedDict()
        )
        self.bodies: collections.OrderedDict[
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
        if submission.id in self.known:
            self._check_owner(self.known[submission.id].meta, organisation)
            return
        unknown = False
        while True:
            try:
                if await self._try_submit(submission, route, organisation):
                    return
            except errors.KeyValueUnknownError as error:
                unknown = True
                cause = error.message
            except errors.RateLimitError as error:
                if not unknown:
                    raise
                cause = error.message
            except errors.KeyValueError as error:
                if not unknown:
                    error.retry_after_s = STORE_RETRY_S
                    raise
                cause = error.message
            if unknown:
                logs.event("job_unknown", job=submission.id, cause=cause)
            if self.clock() + ATTEMPT_PAUSE_S >= deadline_s:
                message = f"job {submission.id} may have been accepted"
                raise errors.KeyValueUnknownError(message)
            await anyio.sleep(ATTEMPT_PAUSE_S)

    async def _try_submit(
        self,
        submission: batch_records.Submission,
        route: serving.Route,
        organisation: str,
    ) -> bool:
        """Tries once; returns whether the job is accepted."""
        key = batch_records.budget_key(route.name, organisation)
        pair = await self.store.get(key)
        budget = batch_records.Budget({})
        if pair is not None:
            budget = batch_records.decode_budget(pair.value)
        if submission.id in budget.jobs:
            found = await self._find(submission.id)
            if found is not None:
                self._check_owner(found.meta, organisation)
                return True
        tokens = submission.tokens()
        many = len(budget.jobs) > MAXIMUM_COUNTED
        if many or not _fits(budget, tokens, route):
            budget = await self._recount(route, organisation)
            if not _fits(budget, tokens, route):
                return await self._refuse_full(submission, organisation)
        budget.jobs[submission.id] = tokens
        guard = pairs.Guard(key, 0 if pair is None else pair.revision)
        return await self._write(submission, route, organisation, budget, guard)

    async def _recount(
        self, route: serving.Route, organisation: str
    ) -> batch_records.Budget:
        """Returns the tokens that an organisation's jobs have waiting now."""
        listing = await self.store.list_prefix(batch_records.OPEN)
        jobs = {}
        for pair in listing.pairs:
            progress = batch_records.decode_progress(pair.value)
            meta = progress.meta
            if (meta.route, meta.organisation) == (route.name, organisation):
                jobs[meta.id] = (
                    0 if progress.closed else (progress.waiting_tokens)
                )
        return batch_records.Budget(jobs)

    async def _refuse_full(
        self, submission: batch_records.Submission, organisation: str
    ) -> bool:
        found = await self._find(submission.id)
        if found is not None:
            self._check_owner(found.meta, organisation)
            return True
        raise errors.RateLimitError(
            f"{organisation} has too many tokens waiting",
            retry_after_s=FULL_RETRY_S,
        )

    async def _write(
        self,
        submission: batch_records.Submission,
        route: serving.Route,
        organisation: str,
        budget: batch_records.Budget,
        guard: pairs.Guard,
    ) -> bool:
        part_bytes = int(self.process.value_bytes * PART_SHARE)
        parts = batch_records.split_items(submission.items, part_bytes)
        meta = batch_records.Meta(
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
            waiting_tokens=submission.tokens(),
        )
        meta_key = batch_records.META + meta.id
        puts = [
            pairs.Put(meta_key, batch_records.encode(meta)),
            pairs.Put(guard.key, batch_records.encode(budget)),
            pairs.Put(
                batch_records.OPEN + meta.id, batch_records.encode(progress)
            ),
        ]
        for number, part in enumerate(parts):
            puts.append(
                pairs.Put(batch_records.spec_key(meta.id, number), part)
            )
        guards = [pairs.Guard(meta_key, 0), guard]
        revision = await self.store.transact(guards, puts)
        if not revision:
            found = await self._find(meta.id)
            if found is None:
                return False
            self._check_owner(found.meta, organisation)
            return True
        self._remember(Known(meta, revision=revision))
        logs.event(
            "job_accepted",
            job=meta.id,
            organisation=organisation,
            items=meta.total,
            owner=progress.owner,
            revision=revision,
        )
        self.group.start_soon(self._notify, meta.id, progress.owner)
        return True

    def _choose_owner(self, job: str) -> str:
        workers = [
            m.name
            for m in self.view.members.values()
            if m.kind == deployment.WORKER
        ]
        return choose_owner(job, workers)

    async def _notify(self, job: str, owner: str) -> None:
        """Tells the owner to look at once; its own reading finds it else."""
        member = self.view.members.get(owner)
        if member is None:
            return
        try:
            await self.peers.call(
                member.address,
                "job_changed",
                ttypes.JobChanged(job=job),
                timeout_s=NOTICE_TIMEOUT_S,
            )
        except errors.IbisknotError as error:
            logs.event("owner_silent", job=job, cause=error.message)

    # Reading --------------------------------------------------------------

    def _check_owner(self, meta: batch_records.Meta, organisation: str) -> None:
        if meta.organisation != organisation:
            raise errors.NotFoundError(f"no batch job {meta.id}")

    def _remember(self, known: Known) -> None:
        self.known[known.meta.id] = known
        self.known.move_to_end(known.meta.id)
        while len(self.known) > CACHED_JOBS or (
            len(self.known) > 1
            and sum(k.size() for k in self.known.values()) > CACHED_BYTES
        ):
            self.known.popitem(last=False)

    async def _find(self, job: str) -> Known | None:
        known = self.known.get(job)
        if known is None:
            pair = await self.store.get(batch_records.META + job)
            if pair is None:
                return None
            known = Known(batch_records.decode_meta(pair.value))
        self._remember(known)
        return known

    async def _job(self, job: str, organisation: str) -> Known:
        """Returns a job of an organisation.

        Raises:
            NotFoundError: There is none.
            KeyValueError: The store does not answer.
        """
        known = await self._find(job)
        if known is None:
            raise errors.NotFoundError(f"no batch job {job}")
        self._check_owner(known.meta, organisation)
        return known

    async def read(
        self, job: str, organisation: str, after: int, wait_s: float
    ) -> tuple[int, list[batch_records.Result]]:
        """Returns a job's size and its results from a position on.

        Args:
            job: The job's id.
            organisation: Whose it is.
            after: The first position to return.
            wait_s: How long to wait for a result.

        Raises:
            NotFoundError: There is no such job.
            KeyValueError: The store does not answer.
        """
        known = await self._job(job, organisation)
        end_s = self.clock() + wait_s
        if _lacks(known, after):
            # Another gateway may have shown results that a watch would tell
            # later, so each call begins with a reading of its own.
            await self._list_new(known)
        while _lacks(known, after) and self.clock() < end_s:
            await self._await_new(known, end_s - self.clock())
        return known.meta.total, _page(known.results[after:])

    async def _list_new(self, known: Known) -> None:
        prefix = batch_records.result_prefix(known.meta.id)
        listing = await self.store.list_prefix(prefix, after=known.last_key)
        known.revision = listing.revision
        for pair in listing.pairs:
            _add_group(known, pair.key, pair.value)

    async def _await_new(self, known: Known, wait_s: float) -> None:
        prefix = batch_records.result_prefix(known.meta.id)
        try:
            news = await self.store.changes(prefix, known.revision, wait_s)
        except errors.HistoryGoneError:
            await self._list_new(known)
            return
        known.revision = max(known.revision, news.revision)
        for change in news.changes:
            if change.value is not None:
                _add_group(known, change.key, change.value)

    async def body(
        self, job: str, organisation: str, item: str
    ) -> bytes | None:
        """Returns the body of an item, or None when there is no such item.

        Raises:
            NotFoundError: There is no such job.
            KeyValueError: The store does not answer.
        """
        known = await self._job(job, organisation)
        items = self.bodies.get(job)
        if items is None:
            found = await read_items(self.store, known.meta)
            items = {entry.id: entry for entry in found}
            self.bodies[job] = items
            while len(self.bodies) > 4:
                self.bodies.popitem(last=False)
        entry = items.get(item)
        return None if entry is None else entry.body

    # Ending ---------------------------------------------------------------

    async def end(self, job: str, organisation: str, deadline_s: float) -> None:
        """Ends a job; returns once that is kept.

        Raises:
            NotFoundError: There is no such job.
            KeyValueError: The store does not answer.
        """
        await self._job(job, organisation)
        while not await self._try_end(job):
            if self.clock() >= deadline_s:
                raise errors.KeyValueError(f"job {job} changes too often")

    async def _try_end(self, job: str) -> bool:
        key = batch_records.OPEN + job
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
            logs.event("job_ended", job=job, revision=revision)
            await self._notify(job, progress.owner)
        return bool(revision)


def choose_owner(job: str, workers: list[str]) -> str:
    """Returns the worker that should run a job, by rendezvous hashing.

    >>> choose_owner("j", []), choose_owner("j", ["w-1"])
    ('', 'w-1')
    """
    return max(
        workers,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{job}/{name}".encode()),
        default="",
    )


async def read_items(
    store: pairs.Store, meta: batch_records.Meta
) -> list[batch_records.Item]:
    """Reads a job's items.

    Raises:
        KeyValueError: The store does not answer, or a part is missing.
    """
    parts = []
    for number in range(meta.parts):
        pair = await store.get(batch_records.spec_key(meta.id, number))
        if pair is None:
            raise errors.KeyValueError(f"job {meta.id} lacks part {number}")
        parts.append(pair.value)
    return batch_records.decode_items(parts)


def _fits(
    budget: batch_records.Budget, tokens: int, route: serving.Route
) -> bool:
    if route.max_tokens <= 0:
        return True
    return sum(budget.jobs.values()) + tokens <= route.max_tokens


def _add_group(known: Known, key: str, value: bytes) -> None:
    """Adds a group of results if it is the next one."""
    position = int(key.rpartition("/")[2])
    if position == len(known.results):
        known.results.extend(batch_records.decode_results(value))
        known.last_key = key


def _lacks(known: Known, after: int) -> bool:
    """Returns whether a result at a position may come that is not known."""
    return len(known.results) <= after and not known.is_complete()


def _page(
    results: list[batch_records.Result],
) -> list[batch_records.Result]:
    """Returns the leading results that fit one answer, at least one."""
    size = 0
    page: list[batch_records.Result] = []
    for result in results:
        size += len(result.output)
        if page and size > PAGE_BYTES:
            break
        page.append(result)
    return page
