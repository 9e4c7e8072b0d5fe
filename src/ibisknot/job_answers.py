"""Answers gateways' questions about jobs at the worker that runs them.

A worker answers from memory only while no other process can have listed a
result that it does not know. Otherwise the gateway reads the store.
"""

from collections.abc import Callable

import anyio

from ibisknot import batch_job
from ibisknot import batch_records
from ibisknot import batch_worker
from ibisknot import errors
from ibisknot import listed_results
from ibisknot import logs
from ibisknot import pairs
from ibisknot import peer
from ibisknot import registration
from ibisknot.gen.fleet import ttypes
from ibisknot.outage import gate

MAX_WAIT_S = 2.0
OUTAGE_CHECK_S = 0.1
"""Period at which a read that waits for the store is checked again."""


class Answers:
    """Answers reads of one worker's jobs.

    Attributes:
        worker: Runs the jobs.
        entry: This worker's entry among the members. Nobody takes jobs over
            while the entry exists.
        store: The key-value service.
        clock: Returns the monotonic time in seconds.
        is_outage: Returns whether no process reaches the store. A read then
            waits here: the gateway could not read more.
    """

    def __init__(
        self,
        worker: batch_worker.Worker,
        entry: registration.Registration,
        store: pairs.KeyValueStore,
        clock: Callable[[], float],
        *,
        is_outage: Callable[[], bool] = gate.no_outage,
    ) -> None:
        self.worker = worker
        self.entry = entry
        self.store = store
        self.clock = clock
        self.is_outage = is_outage

    def start(self, server: peer.Server) -> None:
        """Registers the peer methods."""
        server.on("job_read", ttypes.JobRead, self.on_read)
        server.on("job_item", ttypes.JobItemRead, self.on_item_read)

    async def on_read(self, request: ttypes.JobRead) -> ttypes.JobPage:
        """Peer method: returns one page of a job's results."""
        job = self.worker.find_job(request.job)
        if job is None:
            return _uncertain(self.worker.owners.get(request.job, ""))
        deadline_s = self.clock() + min(MAX_WAIT_S, request.wait_s)
        while True:
            is_outage = self.is_outage()
            is_certain = await self._knows_all_results(job, is_outage)
            remaining_s = deadline_s - self.clock()
            is_new = len(job.listed.results) > request.first_index
            if is_certain and (is_new or job.progress.is_complete()):
                return _page(job, request.first_index)
            if remaining_s <= 0 or not (is_certain or is_outage):
                break
            if not is_certain:
                remaining_s = min(remaining_s, OUTAGE_CHECK_S)
            with anyio.move_on_after(remaining_s):
                await job.results_changed.wait()
        if is_certain:
            return _page(job, request.first_index)
        return _uncertain(job.progress.owner)

    async def on_item_read(self, request: ttypes.JobItemRead) -> ttypes.JobItem:
        """Peer method: returns the body of an item, which never changes."""
        job = self.worker.find_job(request.job)
        if job is None or not job.items:
            owner = self.worker.owners.get(request.job, "")
            return ttypes.JobItem(certain=False, owner=owner, organisation="")
        bodies = (e.body for e in job.items if e.id == request.item)
        return ttypes.JobItem(
            certain=True,
            owner=self.worker.process.name,
            organisation=job.progress.meta.organisation,
            body=next(bodies, None),
        )

    async def _knows_all_results(
        self, job: batch_job.Job, is_outage: bool
    ) -> bool:
        """Returns whether every listed result of a job is known here.

        Results that an earlier owner has listed are read first.
        """
        if len(job.listed.results) < len(job.progress.listed) and not is_outage:
            job_id = job.progress.meta.id
            try:
                await listed_results.load(self.store, job_id, job.listed)
            except errors.KeyValueError as error:
                logs.event("results_not_read", job=job_id, cause=error.message)
                return False
        if len(job.listed.results) < len(job.progress.listed):
            return False
        if batch_job.has_all_results(job):
            return True
        return self.entry.is_certain() and batch_job.is_only_writer(
            job,
            worker=self.worker.process.name,
            lease_count=self.entry.lease_count,
            now=self.clock(),
        )


def _uncertain(owner: str) -> ttypes.JobPage:
    return ttypes.JobPage(
        certain=False, owner=owner, organisation="", total=0, results=b""
    )


def _page(job: batch_job.Job, first_index: int) -> ttypes.JobPage:
    meta = job.progress.meta
    page = listed_results.first_page(job.listed.results[first_index:])
    return ttypes.JobPage(
        certain=True,
        owner=job.progress.owner,
        organisation=meta.organisation,
        total=meta.total,
        results=batch_records.encode(page),
    )
