"""Callers' files: upload, listing and download (OpenAI-compatible)."""

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
LIST_LIMIT = 1000
ACCEPT_TRIES = 5
CONCURRENT_UPLOADS = 4
"""Each upload holds a segment and its encodings in memory."""


def file_object(record: jobs.FileRecord) -> dict[str, Any]:
    """Returns a file as callers see it."""
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
class Staged:
    """An upload's segments before their file is accepted."""

    group: str
    replicas: list[str] = dataclasses.field(default_factory=list)


class Files:
    """HTTP handlers of `/v1/files`."""

    def __init__(
        self,
        source: distribution.Distribution,
        store: keyvalue.KeyValue,
        copies: replicas.Replicas,
        limits: settings.Limits,
    ) -> None:
        self.source = source
        self.store = store
        self.copies = copies
        self.limits = limits
        self.uploading = anyio.CapacityLimiter(CONCURRENT_UPLOADS)

    def routes(self) -> list[routing.BaseRoute]:
        """Returns the routes."""
        return [
            routing.Route("/v1/files", self.upload, methods=["POST"]),
            routing.Route("/v1/files", self.list_all, methods=["GET"]),
            routing.Route("/v1/files/{id}", self.get, methods=["GET"]),
            routing.Route("/v1/files/{id}", self.delete, methods=["DELETE"]),
            routing.Route("/v1/files/{id}/content", self.content),
        ]

    async def upload(self, request: requests.Request) -> responses.Response:
        """Stores an uploaded file on two disks, then records it."""
        owner = online.key_owner(self.source, request)
        async with self.uploading:
            staged = Staged(f"up-{uuid.uuid4().hex}")
            try:
                record = await self._receive(
                    owner.organisation, request, staged
                )
                record = await self._accept(record, staged)
            finally:
                with anyio.CancelScope(shield=True):
                    names = staged.replicas
                    await self.copies.delete(names, staged.group, 0)
        return web.json_response(file_object(record))

    async def _receive(
        self, organisation: str, request: requests.Request, staged: Staged
    ) -> jobs.FileRecord:
        """Writes a file's segments as they arrive."""
        form = uploads.Form(self.limits)
        digest = hashlib.blake2b(digest_size=16)
        counts: list[int] = []
        position = 0
        async for items in uploads.segments(uploads.lines(request, form)):
            for line in items:
                uploads.check_item(line, position)
                uploads.digest_line(digest, line)
                position += 1
            if position > jobs.MAXIMUM_ITEMS:
                message = f"a file holds at most {jobs.MAXIMUM_ITEMS} items"
                raise errors.BodyTooLargeError(message)
            if not counts:
                staged.replicas = self.copies.choose([])
            staged.replicas = await self.copies.write(
                staged.replicas, staged.group, len(counts), items
            )
            counts.append(len(items))
        if not counts:
            raise errors.BadRequestError("the file is empty")
        purpose = form.fields.get(uploads.PURPOSE_PART, b"batch").decode()
        return jobs.FileRecord(
            id=uploads.file_id(organisation, purpose, digest.hexdigest()),
            organisation=organisation,
            filename=form.filename or "upload.jsonl",
            purpose=purpose,
            size_bytes=form.size_bytes,
            created_at=int(time.time()),
            counts=counts,
            replicas=staged.replicas,
        )

    async def _accept(
        self, record: jobs.FileRecord, staged: Staged
    ) -> jobs.FileRecord:
        """Records a file whose segments are on two disks, once."""
        key = jobs.file_key(record.id)
        for _ in range(ACCEPT_TRIES):
            pair = await self.store.get(key)
            if pair is not None:
                known = msgspec.json.decode(pair.value, type=jobs.FileRecord)
                if not known.deleting:
                    return known
                await self._finish_delete(known, pair.revision)
            failed = await self.copies.link(
                record.replicas, staged.group, record.id, len(record.counts)
            )
            if failed:
                raise errors.UnavailableError(
                    f"a store failed: {next(iter(failed.values())).message}",
                    retry_after_s=1.0,
                )
            if await jobs.create(self.store, key, record):
                logs.event(
                    "file_accepted", file=record.id, stores=record.replicas
                )
                return record
        raise errors.ConflictError("the file is changing; try again")

    async def _owned(self, request: requests.Request) -> jobs.FileRecord:
        owner = online.key_owner(self.source, request)
        record = await jobs.read_file(self.store, request.path_params["id"])
        if record.organisation != owner.organisation:
            raise errors.NotFoundError(f"no file {record.id}")
        return record

    async def list_all(self, request: requests.Request) -> responses.Response:
        """Lists the organisation's files."""
        owner = online.key_owner(self.source, request)
        pairs = await self.store.list_prefix(jobs.FILES, limit=LIST_LIMIT)
        records = [
            msgspec.json.decode(p.value, type=jobs.FileRecord) for p in pairs
        ]
        data = [
            file_object(r)
            for r in records
            if r.organisation == owner.organisation and not r.deleting
        ]
        return web.json_response(
            {"object": "list", "data": data, "has_more": False}
        )

    async def get(self, request: requests.Request) -> responses.Response:
        """Returns a file's record."""
        name = request.path_params["id"]
        if name.startswith((OUTPUT_PREFIX, ERROR_PREFIX)):
            job = await self._job(request)
            return web.json_response(
                {
                    "id": name,
                    "object": "file",
                    "bytes": 0,
                    "created_at": job.created_at,
                    "filename": f"{name}.jsonl",
                    "purpose": "batch_output",
                    "status": "processed",
                }
            )
        return web.json_response(file_object(await self._owned(request)))

    async def delete(self, request: requests.Request) -> responses.Response:
        """Deletes a file, or a finished job's results.

        Jobs made from a file have its segments under their own name, so they
        go on.
        """
        name = request.path_params["id"]
        if name.startswith((OUTPUT_PREFIX, ERROR_PREFIX)):
            await self._delete_results(await self._job(request))
        else:
            record = await self._owned(request)
            pair = await self.store.get(jobs.file_key(record.id))
            record.deleting = True
            key = jobs.file_key(record.id)
            revision = pair.revision if pair is not None else 0
            if not await jobs.replace(self.store, key, record, revision):
                raise errors.ConflictError("the file is changing; try again")
            pair = await self.store.get(key)
            if pair is not None:
                await self._finish_delete(record, pair.revision)
        return web.json_response(
            {"id": name, "object": "file", "deleted": True}
        )

    async def _finish_delete(
        self, record: jobs.FileRecord, revision: int
    ) -> None:
        """Removes the segments, then the record of a file.

        The record goes last, so that a delete that broke off is completed by
        the next delete or upload of the same file.
        """
        await self.copies.delete(record.replicas, record.id, jobs.LAST_EPOCH)
        key = jobs.file_key(record.id)
        await self.store.transact(
            [keyvalue.Guard(key, revision)], [], deletes=[key]
        )

    async def _delete_results(self, job: jobs.JobRecord) -> None:
        if job.state not in jobs.FINAL:
            raise errors.ConflictError(f"batch {job.id} has not ended")
        job, revision = await jobs.read_job(self.store, job.id)
        job.deleted = True
        key = jobs.job_key(job.id)
        if not await jobs.replace(self.store, key, job, revision):
            raise errors.ConflictError("the batch is changing; try again")
        await self.copies.delete(job.replicas, job.id, jobs.LAST_EPOCH)

    async def _job(self, request: requests.Request) -> jobs.JobRecord:
        owner = online.key_owner(self.source, request)
        name = request.path_params["id"]
        job_id = name.removeprefix(OUTPUT_PREFIX).removeprefix(ERROR_PREFIX)
        job, _ = await jobs.read_job(self.store, job_id)
        if job.organisation != owner.organisation:
            raise errors.NotFoundError(f"no file {name}")
        if job.deleted:
            raise errors.NotFoundError(f"file {name} was deleted")
        return job

    async def content(self, request: requests.Request) -> responses.Response:
        """Streams a file's content."""
        name = request.path_params["id"]
        if name.startswith((OUTPUT_PREFIX, ERROR_PREFIX)):
            job = await self._job(request)
            failed = name.startswith(ERROR_PREFIX)
            body = self._results(job, failed=failed)
        else:
            body = self._items(await self._owned(request))
        return responses.StreamingResponse(body, media_type="application/jsonl")

    async def _items(self, record: jobs.FileRecord) -> AsyncIterator[bytes]:
        for number in range(len(record.counts)):
            for item in await self.copies.segment(
                record.replicas, record.id, number
            ):
                yield item + b"\n"

    async def _results(
        self, job: jobs.JobRecord, *, failed: bool
    ) -> AsyncIterator[bytes]:
        async for result in outputs.merged(self.copies, job):
            if result.failed == failed:
                yield result.body + b"\n"
