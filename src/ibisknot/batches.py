"""Callers' batch jobs: create, get, list and cancel (OpenAI-compatible)."""

import math
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
from ibisknot import logs
from ibisknot import online
from ibisknot import ownership
from ibisknot import peer
from ibisknot import replicas
from ibisknot import settings
from ibisknot import vmlist
from ibisknot import web
from ibisknot.gen.jobs import ttypes

ENDPOINTS = ("/v1/chat/completions", "/v1/completions")
UPDATE_TRIES = 5
LIST_LIMIT = 1000
OWNER_TIMEOUT_S = 1.0


class BatchRequest(msgspec.Struct):
    """The body of a submission."""

    input_file_id: str
    endpoint: str
    completion_window: str = "24h"
    metadata: dict[str, str] | None = None


def batch_object(
    job: jobs.JobRecord, progress: ttypes.JobProgress | None = None
) -> dict[str, Any]:
    """Returns a job as callers see it, with its owner's word on progress."""
    ended = job.state in jobs.FINAL and not job.deleted
    if progress is not None:
        job.completed = progress.completed
        job.failed = progress.failed
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
        "estimated_finish_at": progress.finish_at if progress else None,
        "deadline_at_risk": bool(progress and progress.at_risk),
    }


def _new_job(
    wanted: BatchRequest,
    file: jobs.FileRecord,
    window_s: int,
    request: requests.Request,
) -> jobs.JobRecord:
    now = time.time()
    return jobs.JobRecord(
        id=jobs.job_id(
            file.organisation,
            file.id,
            wanted.endpoint,
            wanted.completion_window,
            wanted.metadata,
            request.headers.get("idempotency-key", ""),
        ),
        organisation=file.organisation,
        input_file_id=file.id,
        endpoint=wanted.endpoint,
        completion_window=wanted.completion_window,
        created_at=int(now),
        deadline_at=math.ceil(now) + window_s,
        counts=file.counts,
        replicas=list(file.replicas),
        metadata=wanted.metadata,
    )


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
        copies: replicas.ReplicaClient,
        *,
        batch_port: int = 7001,
    ) -> None:
        self.source = source
        self.store = store
        self.peers = peers
        self.vms = vms
        self.limits = limits
        self.copies = copies
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
        job = _new_job(wanted, file, window_s, request)
        job = await self._accept(job, file)
        return web.json_response(batch_object(job))

    async def _accept(
        self, job: jobs.JobRecord, file: jobs.FileRecord
    ) -> jobs.JobRecord:
        """Gives the job its own copy of the items, then records it, once."""
        try:
            known, _ = await jobs.read_job(self.store, job.id)
        except errors.NotFoundError:
            pass
        else:
            return known
        await self._copy_items(job, file)
        if await jobs.create(self.store, jobs.job_key(job.id), job):
            logs.event("job_accepted", job=job.id, stores=job.replicas)
            return job
        known, _ = await jobs.read_job(self.store, job.id)
        return known

    async def _copy_items(
        self, job: jobs.JobRecord, file: jobs.FileRecord
    ) -> None:
        """Puts the items under the job's name on two stores.

        Raises:
            UnavailableError: Too few stores took them.
        """
        count = len(job.counts)
        failed = await self.copies.link_segments(
            job.replicas, file.id, job.id, count
        )
        kept = [name for name in job.replicas if name not in failed]
        if not kept:
            cause = next(iter(failed.values())).message
            text = f"no store has the file's items: {cause}"
            raise errors.UnavailableError(text, retry_after_s=1.0)
        job.replicas = await self.copies.ensure_copies(
            kept, job.id, count, set(failed)
        )

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
            progress = await self.ask_progress(job.id)
            return web.json_response(batch_object(job, progress))
        return web.json_response(batch_object(job))

    async def _owner(self, job: str) -> str | None:
        """Returns the peer address of a job's owner, if it is known."""
        holder = await ownership.read_owner(self.store, "jobs", jobs.shard(job))
        listed = self.vms.by_name.get(holder.vm) if holder is not None else None
        if listed is None:
            return None
        return f"{listed.address}:{self.batch_port}"

    async def ask_progress(self, job: str) -> ttypes.JobProgress | None:
        """Returns a running job's progress, if its owner answers."""
        try:
            address = await self._owner(job)
            if address is None:
                return None
            return await self.peers.call(
                address,
                "job_progress",
                ttypes.JobAsk(job=job),
                ttypes.JobProgress,
                timeout_s=OWNER_TIMEOUT_S,
            )
        except errors.IbisknotError:
            return None

    async def _tell_owner(self, job: str) -> None:
        """Tells the owner of a cancel; its watch tells it too."""
        try:
            address = await self._owner(job)
            if address is not None:
                await self.peers.call(
                    address,
                    "job_cancel",
                    ttypes.JobCancel(job=job),
                    timeout_s=OWNER_TIMEOUT_S,
                )
        except errors.IbisknotError as error:
            logs.event("owner_not_told", level="warning", cause=error.message)

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
            if await jobs.replace(self.store, key, job, revision):
                await self._tell_owner(job.id)
                return web.json_response(batch_object(job))
        raise errors.ConflictError("the batch is changing; try again")
