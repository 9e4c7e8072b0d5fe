"""Reading of uploads as they arrive, and records of jobs."""

from collections.abc import AsyncIterator
from typing import Any

import pytest
from starlette import requests

from ibisknot import errors
from ibisknot import jobs
from ibisknot import settings
from ibisknot import uploads

pytestmark = pytest.mark.anyio

HEAD = (
    b'--B\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
    b'--B\r\nContent-Disposition: form-data; name="file";'
    b' filename="in.jsonl"\r\n\r\n'
)
TAIL = b"\r\n--B--\r\n"


def request(body: bytes, chunk_bytes: int) -> requests.Request:
    chunks = [
        body[start : start + chunk_bytes]
        for start in range(0, len(body), chunk_bytes)
    ]

    async def receive() -> dict[str, Any]:
        more = len(chunks) > 1
        return {
            "type": "http.request",
            "body": chunks.pop(0),
            "more_body": more,
        }

    kind = b"multipart/form-data; boundary=B"
    scope = {"type": "http", "headers": [(b"content-type", kind)]}
    return requests.Request(scope, receive)


async def read(body: bytes, chunk_bytes: int = 7, **limits: Any) -> list[bytes]:
    form = uploads.UploadForm(settings.Limits(**limits))
    received: list[bytes] = []
    async for lines in uploads.read_lines(request(body, chunk_bytes), form):
        received.extend(lines)
    return received


@pytest.mark.parametrize("chunk_bytes", [1, 3, 64, 10_000])
async def test_lines_do_not_depend_on_the_chunks(chunk_bytes: int) -> None:
    """Guards against a line that is split where a chunk of the body ends."""
    body = HEAD + b"one\n\ntwo\r\n--Bx\nthree" + TAIL
    found = await read(body, chunk_bytes)
    assert [line.strip() for line in found] == [
        b"one",
        b"two",
        b"--Bx",
        b"three",
    ]


@pytest.mark.parametrize(
    "body",
    [HEAD + b"one\ntw", b"--B--\r\n", b"nonsense", HEAD + b"a" + HEAD[2:]],
)
async def test_malformed_form_is_refused(body: bytes) -> None:
    """Guards against an incomplete upload that is accepted as a file."""
    with pytest.raises(errors.BadRequestError):
        await read(body)


async def test_limits_are_checked_while_the_file_arrives() -> None:
    """Guards against a file that fills the memory or the disk."""
    body = HEAD + b"x" * 5000 + TAIL
    with pytest.raises(errors.BodyTooLargeError):
        await read(body, body_bytes=100)
    with pytest.raises(errors.BodyTooLargeError):
        await read(body, file_bytes=1000)


async def test_segments_are_limited() -> None:
    """Guards against a segment that does not fit into a peer message."""

    async def source() -> AsyncIterator[list[bytes]]:
        yield [b"x"] * (jobs.MAX_SEGMENT_ITEMS + 1)
        yield [b"y" * (jobs.MAX_SEGMENT_BYTES // 2 + 1)] * 2

    found = [s async for s in uploads.split_into_segments(source())]
    assert [len(segment) for segment in found] == [jobs.MAX_SEGMENT_ITEMS, 2, 1]


def job_record(counts: list[int]) -> jobs.JobRecord:
    return jobs.JobRecord(
        id="batch-" + "0" * 32,
        organisation="o" * 100,
        input_file_id="file-" + "0" * 32,
        endpoint="/v1/chat/completions",
        completion_window="24h",
        created_at=2**40,
        deadline_at=2**40,
        counts=counts,
        replicas=["vm-" + "0" * 40] * 2,
        metadata={str(n): "m" * 512 for n in range(16)},
    )


def test_record_of_the_largest_job_fits() -> None:
    """Guards against a record above the key-value service's 1 MB limit."""
    segment_count = -(-jobs.MAX_FILE_ITEMS // jobs.MAX_SEGMENT_ITEMS)
    limits = settings.Limits(body_bytes=4 * 1024 * 1024)
    # Two consecutive segments together are larger than SEGMENT_BYTES.
    segment_count += 2 * limits.file_bytes // jobs.MAX_SEGMENT_BYTES
    assert len(jobs.encode_record(job_record([1000] * segment_count))) < 200_000
    with pytest.raises(errors.BodyTooLargeError):
        jobs.encode_record(job_record([1000] * 400_000))


def test_only_a_resent_submission_has_the_same_id() -> None:
    """Guards against a duplicate job, and against two jobs with one id."""
    first = jobs.derive_job_id("a", "f", "/e", "1h", None, "")
    assert first == jobs.derive_job_id("a", "f", "/e", "1h", None, "")
    others = [
        jobs.derive_job_id("b", "f", "/e", "1h", None, ""),
        jobs.derive_job_id("a", "f", "/e", "2h", None, ""),
        jobs.derive_job_id("a", "f", "/e", "1h", {"x": "y"}, ""),
        jobs.derive_job_id("a", "f", "/e", "1h", None, "k"),
    ]
    assert len({first, *others}) == 5
