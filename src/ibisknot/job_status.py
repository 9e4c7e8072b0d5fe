"""Operators' view of the batch jobs: progress, estimated finish, risk."""

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

LISTED_ENDED = 50
OWNERS_AT_ONCE = 16


class JobStatus(msgspec.Struct):
    """One job as operators see it.

    Attributes:
        slack_s: Seconds from the estimated finish to the deadline.
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
    """HTTP handler of `/operator/jobs`."""

    def __init__(
        self,
        handlers: batches.Batches,
        check: Callable[[requests.Request], str],
    ) -> None:
        self.handlers = handlers
        self.check = check

    def routes(self) -> list[routing.BaseRoute]:
        """Returns the routes."""
        return [routing.Route("/operator/jobs", self.show)]

    async def show(self, request: requests.Request) -> responses.Response:
        """Lists the jobs: those that run, then the last that ended."""
        self.check(request)
        pairs = await self.handlers.store.list_prefix(jobs.JOBS)
        found = [
            msgspec.json.decode(p.value, type=jobs.JobRecord) for p in pairs
        ]
        running = [job for job in found if job.state not in jobs.FINAL]
        ended = [job for job in found if job.state in jobs.FINAL]
        ended.sort(key=lambda job: job.finished_at or 0, reverse=True)
        shown = await self._running(running)
        shown.sort(key=lambda status: status.deadline_at)
        shown.extend(_status(job) for job in ended[:LISTED_ENDED])
        return web.json_response({"now": int(time.time()), "jobs": shown})

    async def _running(self, found: list[jobs.JobRecord]) -> list[JobStatus]:
        shown: list[JobStatus] = []
        limit = anyio.CapacityLimiter(OWNERS_AT_ONCE)

        async def ask(job: jobs.JobRecord) -> None:
            async with limit:
                progress = await self.handlers.ask_progress(job.id)
            status = _status(job)
            if progress is not None:
                status.completed = progress.completed
                status.failed = progress.failed
                status.at_risk = bool(progress.at_risk)
                status.finish_at = progress.finish_at
            if status.finish_at is not None:
                status.slack_s = job.deadline_at - status.finish_at
            shown.append(status)

        async with anyio.create_task_group() as group:
            for job in found:
                group.start_soon(ask, job)
        return shown


def _status(job: jobs.JobRecord) -> JobStatus:
    return JobStatus(
        job=job.id,
        organisation=job.organisation,
        state=job.state,
        total=job.total(),
        completed=job.completed,
        failed=job.failed,
        deadline_at=job.deadline_at,
        finish_at=job.finished_at,
        stores=job.replicas,
    )
