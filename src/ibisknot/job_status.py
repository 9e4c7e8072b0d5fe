"""Shows operators the progress and estimated finish of batch jobs."""

from collections.abc import Callable
import time

import anyio
import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

from ibisknot import batches
from ibisknot import jobs
from ibisknot import web

MAX_LISTED_ENDED_JOBS = 50
MAX_CONCURRENT_OWNER_CALLS = 16


class JobStatus(msgspec.Struct):
    """State of one job.

    Attributes:
        job: Id of the job.
        state: State in the job's record.
        total: Number of items.
        completed: Number of items with a response.
        failed: Number of items with an error.
        deadline_at: Wall-clock seconds since 1970.
        finish_at: Wall-clock seconds since 1970 of the actual or estimated
            finish; None if there is no estimate.
        slack_s: Seconds from the estimated finish to the deadline; None if
            there is no estimate or the job has ended.
        at_risk: Whether the job will miss its deadline at the current rate.
        stores: Names of the VMs with a copy of items and results.
    """

    job: str
    organisation: str
    state: str
    total: int
    completed: int
    failed: int
    deadline_at: int
    finish_at: int | None = None
    slack_s: int | None = None
    at_risk: bool = False
    stores: list[str] = []


class JobStatuses:
    """HTTP handler of `/operator/jobs`.

    Attributes:
        batch_handlers: Reads the jobs and requests their progress.
        check_operator: Returns the name of the operator who sent a request;
            raises an error if no operator did.
    """

    def __init__(
        self,
        batch_handlers: batches.Batches,
        check_operator: Callable[[requests.Request], str],
    ) -> None:
        self.batch_handlers = batch_handlers
        self.check_operator = check_operator

    def routes(self) -> list[routing.BaseRoute]:
        """Returns the route of the handler."""
        return [routing.Route("/operator/jobs", self.list_jobs)]

    async def list_jobs(self, request: requests.Request) -> responses.Response:
        """Lists the running jobs by deadline, then those that ended last."""
        self.check_operator(request)
        pairs = await self.batch_handlers.key_value.list_prefix(
            jobs.JOB_KEY_PREFIX
        )
        records = [
            msgspec.json.decode(p.value, type=jobs.JobRecord) for p in pairs
        ]
        running = [job for job in records if job.state not in jobs.FINAL_STATES]
        ended = [job for job in records if job.state in jobs.FINAL_STATES]
        ended.sort(key=lambda job: job.finished_at or 0, reverse=True)
        statuses = await self._running_statuses(running)
        statuses.sort(key=lambda status: status.deadline_at)
        statuses.extend(
            _make_status(job) for job in ended[:MAX_LISTED_ENDED_JOBS]
        )
        return web.json_response({"now": int(time.time()), "jobs": statuses})

    async def _running_statuses(
        self, records: list[jobs.JobRecord]
    ) -> list[JobStatus]:
        """Returns the states of running jobs, with their owners' progress."""
        statuses: list[JobStatus] = []
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_OWNER_CALLS)

        async def add_status(job: jobs.JobRecord) -> None:
            async with limiter:
                progress = await self.batch_handlers.request_progress(job.id)
            status = _make_status(job)
            if progress is not None:
                status.completed = progress.completed
                status.failed = progress.failed
                status.at_risk = bool(progress.at_risk)
                status.finish_at = progress.finish_at
            if status.finish_at is not None:
                status.slack_s = job.deadline_at - status.finish_at
            statuses.append(status)

        async with anyio.create_task_group() as task_group:
            for job in records:
                task_group.start_soon(add_status, job)
        return statuses


def _make_status(job: jobs.JobRecord) -> JobStatus:
    """Returns a job's state as its record has it."""
    return JobStatus(
        job=job.id,
        organisation=job.organisation,
        state=job.state,
        total=job.item_count(),
        completed=job.completed,
        failed=job.failed,
        deadline_at=job.deadline_at,
        finish_at=job.finished_at,
        stores=job.replicas,
    )
