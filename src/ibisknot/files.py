"""Callers' files: upload, listing and download (OpenAI-compatible)."""

from collections.abc import AsyncIterator
import time
from typing import Any

import msgspec
from starlette import datastructures
from starlette import requests
from starlette import responses
from starlette import routing
import xxhash

from ibisknot import distribution
from ibisknot import errors
from ibisknot import jobs
from ibisknot import keyvalue
from ibisknot import online
from ibisknot import replicas
from ibisknot import settings
from ibisknot import web

OUTPUT_PREFIX = "file-out-"
ERROR_PREFIX = "file-err-"
LIST_LIMIT = 1000


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
        async with request.form(max_files=1, max_fields=16) as form:
            file = form.get("file")
            if not isinstance(file, datastructures.UploadFile):
                raise errors.BadRequestError("the form needs a file")
            purpose = str(form.get("purpose", "batch"))
            record = await self._store(owner.organisation, purpose, file)
        return web.json_response(file_object(record))

    async def _store(
        self, organisation: str, purpose: str, file: datastructures.UploadFile
    ) -> jobs.FileRecord:
        digest = xxhash.xxh3_128(f"{organisation}/{purpose}/".encode())
        segments: list[jobs.SegmentRecord] = []
        size = 0
        count = 0
        async for chunk in _segments(_lines(file, self.limits.body_bytes)):
            for line in chunk:
                _check_item(line, count)
                digest.update(line + b"\n")
                size += len(line) + 1
                count += 1
            if count > jobs.MAXIMUM_ITEMS:
                message = f"a file holds at most {jobs.MAXIMUM_ITEMS} items"
                raise errors.BodyTooLargeError(message)
            # A resent file has the same prefix digests, so its segments are
            # rewritten in place rather than stored twice.
            segment = f"seg-{digest.hexdigest()}"
            names = await self.copies.write(segment, chunk)
            segments.append(jobs.SegmentRecord(segment, len(chunk), names))
        if not segments:
            raise errors.BadRequestError("the file is empty")
        record = jobs.FileRecord(
            id=f"file-{digest.hexdigest()}",
            organisation=organisation,
            filename=file.filename or "upload.jsonl",
            purpose=purpose,
            size_bytes=size,
            created_at=int(time.time()),
            segments=segments,
        )
        if not await jobs.create(self.store, jobs.FILES + record.id, record):
            return await jobs.read_file(self.store, record.id)
        return record

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
            if r.organisation == owner.organisation
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
        """Deletes a file's record; jobs made from it keep their segments."""
        record = await self._owned(request)
        await self.store.transact([], [], deletes=[jobs.FILES + record.id])
        return web.json_response(
            {"id": record.id, "object": "file", "deleted": True}
        )

    async def _job(self, request: requests.Request) -> jobs.JobRecord:
        owner = online.key_owner(self.source, request)
        name = request.path_params["id"]
        job_id = name.removeprefix(OUTPUT_PREFIX).removeprefix(ERROR_PREFIX)
        job, _ = await jobs.read_job(self.store, job_id)
        if job.organisation != owner.organisation:
            raise errors.NotFoundError(f"no file {name}")
        return job

    async def content(self, request: requests.Request) -> responses.Response:
        """Streams a file's content."""
        name = request.path_params["id"]
        if name.startswith((OUTPUT_PREFIX, ERROR_PREFIX)):
            job = await self._job(request)
            failed = name.startswith(ERROR_PREFIX)
            body = self._results(job, failed=failed)
        else:
            body = self._items((await self._owned(request)).segments)
        return responses.StreamingResponse(body, media_type="application/jsonl")

    async def _items(
        self, records: list[jobs.SegmentRecord]
    ) -> AsyncIterator[bytes]:
        for record in records:
            async for item in self.copies.items(record):
                yield item + b"\n"

    async def _results(
        self, job: jobs.JobRecord, *, failed: bool
    ) -> AsyncIterator[bytes]:
        for record in job.segments:
            for result in await self.copies.results(record):
                if result.failed == failed:
                    yield result.body + b"\n"


def _check_item(line: bytes, number: int) -> None:
    try:
        msgspec.json.decode(line, type=jobs.Item)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        message = f"line {number + 1} is no batch item: {error}"
        raise errors.BadRequestError(message) from None


async def _lines(
    file: datastructures.UploadFile, limit: int
) -> AsyncIterator[bytes]:
    rest = b""
    while chunk := await file.read(256 * 1024):
        lines = (rest + chunk).split(b"\n")
        rest = lines.pop()
        if len(rest) > limit:
            raise errors.BodyTooLargeError(f"a line is over {limit} bytes")
        for line in lines:
            if line.strip():
                yield line
    if rest.strip():
        yield rest


async def _segments(
    lines: AsyncIterator[bytes],
) -> AsyncIterator[list[bytes]]:
    chunk: list[bytes] = []
    size = 0
    async for line in lines:
        full = size + len(line) > jobs.SEGMENT_BYTES
        if chunk and (full or len(chunk) >= jobs.SEGMENT_ITEMS):
            yield chunk
            chunk, size = [], 0
        chunk.append(line)
        size += len(line)
    if chunk:
        yield chunk
