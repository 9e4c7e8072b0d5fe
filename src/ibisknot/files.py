"""HTTP handlers of callers' files (OpenAI-compatible).

The output and error files of a batch job have no record of their own: their
ids are made from the job's id, and their lines are read from its results.
"""

from collections.abc import AsyncIterator
import dataclasses
import hashlib
import time
from typing import Any
import uuid

import anyio
import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

from ibisknot import distribution
from ibisknot import errors
from ibisknot import jobs
from ibisknot import keyvalue
from ibisknot import logs
from ibisknot import online
from ibisknot import outputs
from ibisknot import replicas
from ibisknot import settings
from ibisknot import uploads
from ibisknot import web

OUTPUT_PREFIX = "file-out-"
ERROR_PREFIX = "file-err-"
RECORD_ATTEMPTS = 5
CONCURRENT_UPLOADS_LIMIT = 4
"""Bounds the memory: each upload has a segment and its encodings in it."""


def file_object(record: jobs.FileRecord) -> dict[str, Any]:
    """Returns a file in the form in which callers get it."""
    return {
        "id": record.id,
        "object": "file",
        "bytes": record.size_bytes,
        "created_at": record.created_at,
        "filename": record.filename,
        "purpose": record.purpose,
        "status": "processed",
    }


@dataclasses.dataclass(slots=True)
class StagedUpload:
    """Segments of an upload whose file is not accepted yet.

    Attributes:
        group: Name of their temporary segment group.
        vms: VMs that have a copy of the group.
    """

    group: str
    vms: list[str] = dataclasses.field(default_factory=list)


class Files:
    """HTTP handlers of `/v1/files`.

    Attributes:
        source: The configuration in force, which identifies callers' keys.
        key_value: The key-value service, which has the records.
        replica_client: Calls the stores, which have the segments.
        limits: Limits of an upload.
        upload_limiter: Bounds the number of concurrent uploads.
    """

    def __init__(
        self,
        source: distribution.LocalConfiguration,
        key_value: keyvalue.KeyValue,
        replica_client: replicas.ReplicaClient,
        limits: settings.Limits,
    ) -> None:
        self.source = source
        self.key_value = key_value
        self.replica_client = replica_client
        self.limits = limits
        self.upload_limiter = anyio.CapacityLimiter(CONCURRENT_UPLOADS_LIMIT)

    def routes(self) -> list[routing.BaseRoute]:
        """Returns the routes of the handlers."""
        return [
            routing.Route("/v1/files", self.upload_file, methods=["POST"]),
            routing.Route("/v1/files", self.list_files, methods=["GET"]),
            routing.Route("/v1/files/{id}", self.get_file, methods=["GET"]),
            routing.Route(
                "/v1/files/{id}", self.delete_file, methods=["DELETE"]
            ),
            routing.Route("/v1/files/{id}/content", self.stream_content),
        ]

    async def upload_file(
        self, request: requests.Request
    ) -> responses.Response:
        """Writes an uploaded file to several stores, then records it.

        The upload's temporary segment group is deleted in any case; the group
        of an accepted file has links to its segments.
        """
        owner = online.key_owner(self.source, request)
        async with self.upload_limiter:
            staged = StagedUpload(f"up-{uuid.uuid4().hex}")
            try:
                record = await self._write_segments(
                    owner.organisation, request, staged
                )
                record = await self._record_file(record, staged)
            finally:
                with anyio.CancelScope(shield=True):
                    vms = staged.vms
                    await self.replica_client.delete_group(vms, staged.group, 0)
        return web.json_response(file_object(record))

    async def _write_segments(
        self, organisation: str, request: requests.Request, staged: StagedUpload
    ) -> jobs.FileRecord:
        """Writes a file's segments as they arrive; returns its record.

        Raises:
            BadRequestError: The form or an item is invalid.
            BodyTooLargeError: The file is over a limit.
            DiskFullError: A disk is full and there is no other store.
            UnavailableError: Too few stores accepted a segment.
        """
        form = uploads.UploadForm(self.limits)
        hasher = hashlib.blake2b(digest_size=16)
        counts: list[int] = []
        item_count = 0
        async for items in uploads.split_into_segments(
            uploads.read_lines(request, form)
        ):
            for line in items:
                uploads.check_item(line, item_count)
                uploads.update_digest(hasher, line)
                item_count += 1
            if item_count > jobs.MAX_FILE_ITEMS:
                message = f"a file may have {jobs.MAX_FILE_ITEMS} items at most"
                raise errors.BodyTooLargeError(message)
            if not counts:
                staged.vms = self.replica_client.choose_vms([])
            staged.vms = await self.replica_client.write_segment(
                staged.vms, staged.group, len(counts), items
            )
            counts.append(len(items))
        if not counts:
            raise errors.BadRequestError("the file is empty")
        purpose = form.fields.get(uploads.PURPOSE_PART, b"batch").decode()
        return jobs.FileRecord(
            id=uploads.file_id(organisation, purpose, hasher.hexdigest()),
            organisation=organisation,
            filename=form.filename or "upload.jsonl",
            purpose=purpose,
            size_bytes=form.size_bytes,
            created_at=int(time.time()),
            counts=counts,
            replicas=staged.vms,
        )

    async def _record_file(
        self, record: jobs.FileRecord, staged: StagedUpload
    ) -> jobs.FileRecord:
        """Gives a file its segments and its record, unless it exists.

        Args:
            record: Record to create.
            staged: The upload whose segments the file gets.

        Returns:
            The record, or that of an earlier upload of the same file.

        Raises:
            ConflictError: Concurrent requests keep changing the record.
            UnavailableError: A store failed.
        """
        key = jobs.file_key(record.id)
        for _ in range(RECORD_ATTEMPTS):
            pair = await self.key_value.get(key)
            if pair is not None:
                existing = msgspec.json.decode(pair.value, type=jobs.FileRecord)
                if not existing.deleting:
                    return existing
                await self._finish_delete(existing, pair.revision)
            failures = await self.replica_client.link_segments(
                record.replicas, staged.group, record.id, len(record.counts)
            )
            if failures:
                raise errors.UnavailableError(
                    f"a store failed: {next(iter(failures.values())).message}",
                    retry_after_s=1.0,
                )
            if await jobs.create_record(self.key_value, key, record):
                logs.event(
                    "file_accepted", file=record.id, stores=record.replicas
                )
                return record
        raise errors.ConflictError("the file is changing; try again")

    async def _read_owned_file(
        self, request: requests.Request
    ) -> jobs.FileRecord:
        """Returns the file of a request, if the caller's organisation has it.

        Raises:
            NotFoundError: It does not.
        """
        owner = online.key_owner(self.source, request)
        record = await jobs.read_file(self.key_value, request.path_params["id"])
        if record.organisation != owner.organisation:
            raise errors.NotFoundError(f"no file {record.id}")
        return record

    async def list_files(self, request: requests.Request) -> responses.Response:
        """Lists the organisation's files."""
        owner = online.key_owner(self.source, request)
        listing = await jobs.list_records(
            self.key_value,
            jobs.FILE_KEY_PREFIX,
            jobs.FileRecord,
            lambda r: r.organisation == owner.organisation and not r.deleting,
        )
        return web.json_response(
            {
                "object": "list",
                "data": [file_object(record) for record in listing.records],
                "has_more": listing.has_more,
            }
        )

    async def get_file(self, request: requests.Request) -> responses.Response:
        """Returns the metadata of a file or of a job's output."""
        file_id = request.path_params["id"]
        if file_id.startswith((OUTPUT_PREFIX, ERROR_PREFIX)):
            job = await self._read_owned_job(request)
            return web.json_response(
                {
                    "id": file_id,
                    "object": "file",
                    "bytes": 0,
                    "created_at": job.created_at,
                    "filename": f"{file_id}.jsonl",
                    "purpose": "batch_output",
                    "status": "processed",
                }
            )
        return web.json_response(
            file_object(await self._read_owned_file(request))
        )

    async def delete_file(
        self, request: requests.Request
    ) -> responses.Response:
        """Deletes a file, or an ended job's results.

        Jobs made from a file continue: their own segment groups have links to
        the file's segments.
        """
        file_id = request.path_params["id"]
        if file_id.startswith((OUTPUT_PREFIX, ERROR_PREFIX)):
            await self._delete_job_results(await self._read_owned_job(request))
        else:
            record = await self._read_owned_file(request)
            pair = await self.key_value.get(jobs.file_key(record.id))
            record.deleting = True
            key = jobs.file_key(record.id)
            revision = pair.revision if pair is not None else 0
            if not await jobs.replace_record(
                self.key_value, key, record, revision
            ):
                raise errors.ConflictError("the file is changing; try again")
            pair = await self.key_value.get(key)
            if pair is not None:
                await self._finish_delete(record, pair.revision)
        return web.json_response(
            {"id": file_id, "object": "file", "deleted": True}
        )

    async def _finish_delete(
        self, record: jobs.FileRecord, revision: int
    ) -> None:
        """Deletes the segments, then the record of a file.

        The record is deleted last, so that the next delete or upload of the
        same file completes a delete that was interrupted.
        """
        await self.replica_client.delete_group(
            record.replicas, record.id, jobs.LAST_EPOCH
        )
        key = jobs.file_key(record.id)
        await self.key_value.transact(
            [keyvalue.Guard(key, revision)], [], deletes=[key]
        )

    async def _delete_job_results(self, job: jobs.JobRecord) -> None:
        """Marks an ended job as deleted, then deletes its segment group.

        Raises:
            ConflictError: The job has not ended, or its record changed.
        """
        if job.state not in jobs.FINAL_STATES:
            raise errors.ConflictError(f"batch {job.id} has not ended")
        job, revision = await jobs.read_job(self.key_value, job.id)
        job.deleted = True
        key = jobs.job_key(job.id)
        if not await jobs.replace_record(self.key_value, key, job, revision):
            raise errors.ConflictError("the batch is changing; try again")
        await self.replica_client.delete_group(
            job.replicas, job.id, jobs.LAST_EPOCH
        )

    async def _read_owned_job(
        self, request: requests.Request
    ) -> jobs.JobRecord:
        """Returns the job of an output file, if the organisation has it.

        Raises:
            NotFoundError: It does not, or the results were deleted.
        """
        owner = online.key_owner(self.source, request)
        file_id = request.path_params["id"]
        job_id = file_id.removeprefix(OUTPUT_PREFIX).removeprefix(ERROR_PREFIX)
        job, _ = await jobs.read_job(self.key_value, job_id)
        if job.organisation != owner.organisation:
            raise errors.NotFoundError(f"no file {file_id}")
        if job.deleted:
            raise errors.NotFoundError(f"file {file_id} was deleted")
        return job

    async def stream_content(
        self, request: requests.Request
    ) -> responses.Response:
        """Streams the content of a file or of a job's output."""
        file_id = request.path_params["id"]
        if file_id.startswith((OUTPUT_PREFIX, ERROR_PREFIX)):
            job = await self._read_owned_job(request)
            failed = file_id.startswith(ERROR_PREFIX)
            body = self._result_lines(job, failed=failed)
        else:
            body = self._file_lines(await self._read_owned_file(request))
        return responses.StreamingResponse(body, media_type="application/jsonl")

    async def _file_lines(
        self, record: jobs.FileRecord
    ) -> AsyncIterator[bytes]:
        """Yields the lines of an uploaded file."""
        for index in range(len(record.counts)):
            for item in await self.replica_client.read_segment(
                record.replicas, record.id, index
            ):
                yield item + b"\n"

    async def _result_lines(
        self, job: jobs.JobRecord, *, failed: bool
    ) -> AsyncIterator[bytes]:
        """Yields the lines of a job's output file or error file."""
        async for result in outputs.merge_results(self.replica_client, job):
            if result.failed == failed:
                yield result.body + b"\n"
