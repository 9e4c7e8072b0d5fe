"""HTTP handlers of batch jobs, compatible with the OpenAI API."""

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

SUPPORTED_API_PATHS = ("/v1/chat/completions", "/v1/completions")
"""Values of `endpoint`: paths of the API to which items are requests."""
UPDATE_ATTEMPTS = 5
OWNER_TIMEOUT_S = 1.0
"""Timeout of a call to the owner of a job's shard."""


class BatchRequest(msgspec.Struct):
    """Body of a submission.

    Attributes:
        endpoint: Path of the API to which the items are requests.
        completion_window: Time allowed for the job, such as `24h`.
        metadata: Names and values that the caller attaches to the job.
    """

    input_file_id: str
    endpoint: str
    completion_window: str = "24h"
    metadata: dict[str, str] | None = None


def batch_object(
    job: jobs.JobRecord, progress: ttypes.JobProgress | None = None
) -> dict[str, Any]:
    """Returns a job as the API describes it.

    Args:
        job: The job's record; its counts are replaced by those of `progress`.
        progress: Progress that the job's owner reported; None if the job has
            ended or the owner did not respond.
    """
    has_output = job.state in jobs.FINAL_STATES and not job.deleted
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
        "output_file_id": f"{files.OUTPUT_PREFIX}{job.id}"
        if has_output
        else None,
        "error_file_id": error_id if has_output else None,
        "created_at": job.created_at,
        "in_progress_at": job.created_at,
        "expires_at": job.deadline_at,
        "completed_at": _finished_at(job, jobs.COMPLETED),
        "expired_at": _finished_at(job, jobs.EXPIRED),
        "cancelled_at": _finished_at(job, jobs.CANCELLED),
        "request_counts": {
            "total": job.item_count(),
            "completed": job.completed,
            "failed": job.failed,
        },
        "metadata": job.metadata,
        "estimated_finish_at": progress.finish_at if progress else None,
        "deadline_at_risk": bool(progress and progress.at_risk),
    }


def _make_job_record(
    submission: BatchRequest,
    file: jobs.FileRecord,
    window_s: int,
    request: requests.Request,
) -> jobs.JobRecord:
    """Returns the record of a submission; `window_s` is its time in seconds."""
    now = time.time()
    return jobs.JobRecord(
        id=jobs.derive_job_id(
            file.organisation,
            file.id,
            submission.endpoint,
            submission.completion_window,
            submission.metadata,
            request.headers.get("idempotency-key", ""),
        ),
        organisation=file.organisation,
        input_file_id=file.id,
        endpoint=submission.endpoint,
        completion_window=submission.completion_window,
        created_at=int(now),
        deadline_at=math.ceil(now) + window_s,
        counts=file.counts,
        replicas=list(file.replicas),
        metadata=submission.metadata,
    )


def _finished_at(job: jobs.JobRecord, state: str) -> int | None:
    """Returns when a job ended in a final state; None if it did not."""
    return job.finished_at if job.state == state else None


class Batches:
    """HTTP handlers of `/v1/batches`.

    Attributes:
        source: The configuration in force, which identifies callers' keys.
        key_value: The key-value service, which has the records.
        peers: Calls the owners of the jobs' shards.
        vms: The listed VMs, by which owners are addressed.
        limits: Limits of a submission's body.
        replica_client: Calls the stores, which have the items.
        batch_port: Port of the batch program on each VM.
    """

    def __init__(
        self,
        source: distribution.LocalConfiguration,
        key_value: keyvalue.KeyValue,
        peers: peer.Client,
        vms: vmlist.VmList,
        limits: settings.Limits,
        replica_client: replicas.ReplicaClient,
        *,
        batch_port: int = 7001,
    ) -> None:
        self.source = source
        self.key_value = key_value
        self.peers = peers
        self.vms = vms
        self.limits = limits
        self.replica_client = replica_client
        self.batch_port = batch_port

    def routes(self) -> list[routing.BaseRoute]:
        """Returns the routes of the handlers."""
        return [
            routing.Route("/v1/batches", self.create_batch, methods=["POST"]),
            routing.Route("/v1/batches", self.list_batches, methods=["GET"]),
            routing.Route("/v1/batches/{id}", self.get_batch, methods=["GET"]),
            routing.Route(
                "/v1/batches/{id}/cancel", self.cancel_batch, methods=["POST"]
            ),
        ]

    async def create_batch(
        self, request: requests.Request
    ) -> responses.Response:
        """Accepts a job; a repeated submission returns the same job."""
        caller = online.key_owner(self.source, request)
        body = await web.read_body(
            request,
            max_bytes=self.limits.body_bytes,
            timeout_s=self.limits.read_timeout_s,
        )
        submission = web.decode_body(body, BatchRequest)
        if submission.endpoint not in SUPPORTED_API_PATHS:
            message = (
                f"endpoint must be one of {', '.join(SUPPORTED_API_PATHS)}"
            )
            raise errors.BadRequestError(message)
        window_s = jobs.parse_window_s(submission.completion_window)
        file = await jobs.read_file(self.key_value, submission.input_file_id)
        if file.organisation != caller.organisation:
            raise errors.NotFoundError(f"no file {submission.input_file_id}")
        job = _make_job_record(submission, file, window_s, request)
        job = await self._accept(job, file)
        return web.json_response(batch_object(job))

    async def _accept(
        self, job: jobs.JobRecord, file: jobs.FileRecord
    ) -> jobs.JobRecord:
        """Copies the items to the job's segment group, then records the job.

        If the job exists already, it is returned unchanged.
        """
        try:
            existing, _ = await jobs.read_job(self.key_value, job.id)
        except errors.NotFoundError:
            pass
        else:
            return existing
        await self._copy_items(job, file)
        if await jobs.create_record(self.key_value, jobs.job_key(job.id), job):
            logs.event("job_accepted", job=job.id, stores=job.replicas)
            return job
        existing, _ = await jobs.read_job(self.key_value, job.id)
        return existing

    async def _copy_items(
        self, job: jobs.JobRecord, file: jobs.FileRecord
    ) -> None:
        """Creates the job's segment group on two stores from the file's group.

        Sets `job.replicas` to the VMs of the stores.

        Raises:
            UnavailableError: Too few stores created the group.
        """
        segment_count = len(job.counts)
        failures = await self.replica_client.link_segments(
            job.replicas, file.id, job.id, segment_count
        )
        linked = [name for name in job.replicas if name not in failures]
        if not linked:
            cause = next(iter(failures.values())).message
            message = f"no store could copy the file's items: {cause}"
            raise errors.UnavailableError(message, retry_after_s=1.0)
        job.replicas = await self.replica_client.ensure_copies(
            linked, job.id, segment_count, set(failures)
        )

    async def _read_callers_job(
        self, request: requests.Request
    ) -> tuple[jobs.JobRecord, int]:
        """Returns the requested job and the revision of its record.

        Raises:
            NotFoundError: The caller's organisation has no such job.
        """
        caller = online.key_owner(self.source, request)
        job, revision = await jobs.read_job(
            self.key_value, request.path_params["id"]
        )
        if job.organisation != caller.organisation:
            raise errors.NotFoundError(f"no batch {job.id}")
        return job, revision

    async def get_batch(self, request: requests.Request) -> responses.Response:
        """Returns a job with its progress."""
        job, _ = await self._read_callers_job(request)
        if job.state not in jobs.FINAL_STATES:
            progress = await self.request_progress(job.id)
            return web.json_response(batch_object(job, progress))
        return web.json_response(batch_object(job))

    async def _owner_address(self, job_id: str) -> str | None:
        """Returns the peer address of the owner of a job's shard.

        None if the shard has no owner or its VM is not listed.
        """
        owner = await ownership.read_owner(
            self.key_value, "jobs", jobs.shard_of(job_id)
        )
        vm = self.vms.by_name.get(owner.vm) if owner is not None else None
        if vm is None:
            return None
        return f"{vm.address}:{self.batch_port}"

    async def request_progress(self, job_id: str) -> ttypes.JobProgress | None:
        """Returns a running job's progress; None if there is no response."""
        try:
            address = await self._owner_address(job_id)
            if address is None:
                return None
            return await self.peers.call(
                address,
                "job_progress",
                ttypes.JobAsk(job=job_id),
                ttypes.JobProgress,
                timeout_s=OWNER_TIMEOUT_S,
            )
        except errors.IbisknotError:
            return None

    async def _notify_owner(self, job_id: str) -> None:
        """Notifies the owner of a cancelled job.

        A failure is only logged, as the owner also watches the record.
        """
        try:
            address = await self._owner_address(job_id)
            if address is not None:
                await self.peers.call(
                    address,
                    "job_cancel",
                    ttypes.JobCancel(job=job_id),
                    timeout_s=OWNER_TIMEOUT_S,
                )
        except errors.IbisknotError as error:
            logs.event("owner_not_told", level="warning", cause=error.message)

    async def list_batches(
        self, request: requests.Request
    ) -> responses.Response:
        """Lists the organisation's jobs."""
        caller = online.key_owner(self.source, request)
        listing = await jobs.list_records(
            self.key_value,
            jobs.JOB_KEY_PREFIX,
            jobs.JobRecord,
            lambda job: job.organisation == caller.organisation,
        )
        return web.json_response(
            {
                "object": "list",
                "data": [batch_object(job) for job in listing.records],
                "has_more": listing.has_more,
            }
        )

    async def cancel_batch(
        self, request: requests.Request
    ) -> responses.Response:
        """Marks a job as cancelling; the owner then stops and ends it."""
        for _ in range(UPDATE_ATTEMPTS):
            job, revision = await self._read_callers_job(request)
            if job.state == jobs.CANCELLING:
                # Whoever has written that may have told nobody.
                await self._notify_owner(job.id)
            if job.state != jobs.IN_PROGRESS:
                return web.json_response(batch_object(job))
            job.state = jobs.CANCELLING
            key = jobs.job_key(job.id)
            if await jobs.replace_record(self.key_value, key, job, revision):
                await self._notify_owner(job.id)
                return web.json_response(batch_object(job))
        raise errors.ConflictError("the batch is changing; try again")
