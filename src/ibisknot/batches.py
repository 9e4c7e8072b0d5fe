"""Callers' batch jobs: create, get, list and cancel (OpenAI-compatible)."""

import time
from typing import Any

import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

from ibisknot import distribution
from ibisknot import errors
from ibisknot import files
from ibisknot import jobs
from ibisknot import keyvalue
from ibisknot import online
from ibisknot import ownership
from ibisknot import peer
from ibisknot import settings
from ibisknot import vmlist
from ibisknot import web
from ibisknot.gen.jobs import ttypes

ENDPOINTS = ("/v1/chat/completions", "/v1/completions")
UPDATE_TRIES = 5
LIST_LIMIT = 1000


class BatchRequest(msgspec.Struct):
    """The body of a submission."""

    input_file_id: str
    endpoint: str
    completion_window: str = "24h"
    metadata: dict[str, str] | None = None


def batch_object(job: jobs.JobRecord) -> dict[str, Any]:
    """Returns a job as callers see it."""
    ended = job.state in jobs.FINAL
    error_id = f"{files.ERROR_PREFIX}{job.id}" if job.failed else None
    return {
        "id": job.id,
        "object": "batch",
        "endpoint": job.endpoint,
        "errors": None,
        "input_file_id": job.input_file_id,
        "completion_window": job.completion_window,
        "status": job.state,
        "output_file_id": f"{files.OUTPUT_PREFIX}{job.id}" if ended else None,
        "error_file_id": error_id if ended else None,
        "created_at": job.created_at,
        "in_progress_at": job.created_at,
        "expires_at": job.deadline_at,
        "completed_at": _when(job, jobs.COMPLETED),
        "expired_at": _when(job, jobs.EXPIRED),
        "cancelled_at": _when(job, jobs.CANCELLED),
        "request_counts": {
            "total": job.total(),
            "completed": job.completed,
            "failed": job.failed,
        },
        "metadata": job.metadata,
    }


def _when(job: jobs.JobRecord, state: str) -> int | None:
    return job.finished_at if job.state == state else None


class Batches:
    """HTTP handlers of `/v1/batches`."""

    def __init__(
        self,
        source: distribution.Distribution,
        store: keyvalue.KeyValue,
        peers: peer.Client,
        vms: vmlist.VmList,
        limits: settings.Limits,
        *,
        batch_port: int = 7001,
    ) -> None:
        self.source = source
        self.store = store
        self.peers = peers
        self.vms = vms
        self.limits = limits
        self.batch_port = batch_port

    def routes(self) -> list[routing.BaseRoute]:
        """Returns the routes."""
        return [
            routing.Route("/v1/batches", self.create, methods=["POST"]),
            routing.Route("/v1/batches", self.list_all, methods=["GET"]),
            routing.Route("/v1/batches/{id}", self.get, methods=["GET"]),
            routing.Route(
                "/v1/batches/{id}/cancel", self.cancel, methods=["POST"]
            ),
        ]

    async def create(self, request: requests.Request) -> responses.Response:
        """Accepts a job; a resent submission gives the same one."""
        owner = online.key_owner(self.source, request)
        body = await web.read_body(
            request,
            limit=self.limits.body_bytes,
            timeout_s=self.limits.read_timeout_s,
        )
        wanted = web.decode_body(body, BatchRequest)
        if wanted.endpoint not in ENDPOINTS:
            message = f"endpoint must be one of {', '.join(ENDPOINTS)}"
            raise errors.BadRequestError(message)
        window_s = jobs.window_s(wanted.completion_window)
        file = await jobs.read_file(self.store, wanted.input_file_id)
        if file.organisation != owner.organisation:
            raise errors.NotFoundError(f"no file {wanted.input_file_id}")
        now = int(time.time())
        job = jobs.JobRecord(
            id=jobs.job_id(
                owner.organisation,
                file.id,
                wanted.endpoint,
                wanted.metadata,
                request.headers.get("idempotency-key", ""),
            ),
            organisation=owner.organisation,
            input_file_id=file.id,
            endpoint=wanted.endpoint,
            completion_window=wanted.completion_window,
            created_at=now,
            deadline_at=now + window_s,
            segments=file.segments,
            metadata=wanted.metadata,
        )
        if not await jobs.create(self.store, jobs.job_key(job.id), job):
            job, _ = await jobs.read_job(self.store, job.id)
        return web.json_response(batch_object(job))

    async def _owned(
        self, request: requests.Request
    ) -> tuple[jobs.JobRecord, int]:
        owner = online.key_owner(self.source, request)
        job, revision = await jobs.read_job(
            self.store, request.path_params["id"]
        )
        if job.organisation != owner.organisation:
            raise errors.NotFoundError(f"no batch {job.id}")
        return job, revision

    async def get(self, request: requests.Request) -> responses.Response:
        """Returns a job with its progress."""
        job, _ = await self._owned(request)
        if job.state not in jobs.FINAL:
            await self._add_progress(job)
        return web.json_response(batch_object(job))

    async def _add_progress(self, job: jobs.JobRecord) -> None:
        """Fills in the counts from the job's owner, if it answers."""
        holder = await ownership.holder(self.store, "jobs", jobs.shard(job.id))
        listed = self.vms.vms.get(holder.vm) if holder is not None else None
        if listed is None:
            return
        try:
            progress = await self.peers.call(
                f"{listed.address}:{self.batch_port}",
                "job_progress",
                ttypes.JobAsk(job=job.id),
                ttypes.JobProgress,
            )
        except errors.IbisknotError:
            return
        job.completed = progress.completed
        job.failed = progress.failed

    async def list_all(self, request: requests.Request) -> responses.Response:
        """Lists the organisation's jobs."""
        owner = online.key_owner(self.source, request)
        pairs = await self.store.list_prefix(jobs.JOBS, limit=LIST_LIMIT)
        found = [
            msgspec.json.decode(p.value, type=jobs.JobRecord) for p in pairs
        ]
        data = [
            batch_object(job)
            for job in found
            if job.organisation == owner.organisation
        ]
        return web.json_response(
            {"object": "list", "data": data, "has_more": False}
        )

    async def cancel(self, request: requests.Request) -> responses.Response:
        """Marks a job as cancelling; its owner stops and ends it."""
        for _ in range(UPDATE_TRIES):
            job, revision = await self._owned(request)
            if job.state != jobs.IN_PROGRESS:
                return web.json_response(batch_object(job))
            job.state = jobs.CANCELLING
            key = jobs.job_key(job.id)
            put = keyvalue.Put(key, msgspec.json.encode(job))
            guard = keyvalue.Guard(key, revision)
            if await self.store.transact([guard], [put]):
                return web.json_response(batch_object(job))
        raise errors.ConflictError("the batch is changing; try again")
