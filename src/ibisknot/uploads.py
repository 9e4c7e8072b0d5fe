"""Reads an uploaded file as it arrives, line by line.

The multipart form is parsed chunk by chunk, so that neither the file nor a
large part of it is ever in memory.
"""

from collections.abc import AsyncIterator
import dataclasses
import hashlib
from typing import Any

import anyio
import msgspec
from python_multipart import exceptions
from python_multipart import multipart
from starlette import requests

from ibisknot import errors
from ibisknot import jobs
from ibisknot import settings

MAX_FIELD_BYTES = 1024
MAX_HEADER_BYTES = 4096
FILE_PART = "file"
PURPOSE_PART = "purpose"


@dataclasses.dataclass(slots=True)
class UploadForm:
    """State of an upload's form, as far as it has arrived.

    Attributes:
        limits: Limits on the sizes of the file and of a line, and on the time
            between two chunks.
        part_name: Name of the part that is being received.
        filename: Name of the file; None until its part begins.
        fields: Values of the parts other than the file, by name.
        header_name: Received bytes of the name of a part's header.
        header_value: Received bytes of the value of that header.
        headers: Complete headers of the part, by name in lower case.
        partial_line: Received bytes of a line that is not complete.
        complete_lines: Complete lines that `read_lines` has not yielded yet.
        size_bytes: Received size of the file.
        is_complete: Whether the end of the form has arrived.
    """

    limits: settings.Limits
    part_name: str = ""
    filename: str | None = None
    fields: dict[str, bytes] = dataclasses.field(default_factory=dict)
    header_name: bytes = b""
    header_value: bytes = b""
    headers: dict[bytes, bytes] = dataclasses.field(default_factory=dict)
    partial_line: bytearray = dataclasses.field(default_factory=bytearray)
    complete_lines: list[bytes] = dataclasses.field(default_factory=list)
    size_bytes: int = 0
    is_complete: bool = False


def _begin_part(form: UploadForm) -> None:
    """Parser callback: a part begins."""
    form.headers = {}
    form.header_name = b""
    form.header_value = b""


def _read_disposition(form: UploadForm) -> None:
    """Parser callback: reads the part's name after its last header."""
    disposition = form.headers.get(b"content-disposition", b"")
    _, options = multipart.parse_options_header(disposition)
    form.part_name = options.get(b"name", b"").decode(errors="replace")
    if form.part_name == FILE_PART:
        if form.filename is not None:
            raise errors.BadRequestError("the form has more than one file")
        name = options.get(b"filename", b"").decode(errors="replace")
        form.filename = name or "upload.jsonl"


def _end_header(form: UploadForm) -> None:
    """Parser callback: a header is complete."""
    form.headers[form.header_name.lower()] = form.header_value
    form.header_name = b""
    form.header_value = b""


def _append_header(form: UploadForm, name: bytes, value: bytes) -> None:
    """Parser callback: bytes of a header's name or value arrived."""
    form.header_name += name
    form.header_value += value
    if len(form.header_name) + len(form.header_value) > MAX_HEADER_BYTES:
        raise errors.BadRequestError("a part's header is too long")


def _append_data(form: UploadForm, chunk: bytes) -> None:
    """Parser callback: bytes of a part's content arrived."""
    if form.part_name == FILE_PART:
        _append_lines(form, chunk)
        return
    value = form.fields.get(form.part_name, b"") + chunk
    if len(value) > MAX_FIELD_BYTES or len(form.fields) > 16:
        raise errors.BadRequestError("the form's fields are too large")
    form.fields[form.part_name] = value


def _append_lines(form: UploadForm, chunk: bytes) -> None:
    """Splits bytes of the file into lines; drops blank lines."""
    form.size_bytes += len(chunk)
    if form.size_bytes > form.limits.file_bytes:
        message = f"the file is over {form.limits.file_bytes} bytes"
        raise errors.BodyTooLargeError(message)
    first, *others = chunk.split(b"\n")
    form.partial_line += first
    for line in others:
        if form.partial_line.strip():
            form.complete_lines.append(bytes(form.partial_line))
        form.partial_line = bytearray(line)
    if len(form.partial_line) > form.limits.body_bytes:
        message = f"a line is over {form.limits.body_bytes} bytes"
        raise errors.BodyTooLargeError(message)


def _end_part(form: UploadForm) -> None:
    """Parser callback: a part is complete."""
    if form.part_name == FILE_PART and form.partial_line.strip():
        form.complete_lines.append(bytes(form.partial_line))
    form.partial_line = bytearray()
    form.part_name = ""


def _end_form(form: UploadForm) -> None:
    """Parser callback: the form is complete."""
    form.is_complete = True


def form_parser(form: UploadForm, boundary: bytes) -> multipart.MultipartParser:
    """Returns a parser that updates `form` with each chunk written to it."""
    callbacks: Any = {
        "on_part_begin": lambda: _begin_part(form),
        "on_header_field": lambda d, a, b: _append_header(form, d[a:b], b""),
        "on_header_value": lambda d, a, b: _append_header(form, b"", d[a:b]),
        "on_header_end": lambda: _end_header(form),
        "on_headers_finished": lambda: _read_disposition(form),
        "on_part_data": lambda d, a, b: _append_data(form, d[a:b]),
        "on_part_end": lambda: _end_part(form),
        "on_end": lambda: _end_form(form),
    }
    return multipart.MultipartParser(boundary, callbacks)


def form_boundary(request: requests.Request) -> bytes:
    """Returns the boundary of a request's multipart form.

    Raises:
        BadRequestError: The request has no multipart form.
    """
    header = request.headers.get("content-type", "")
    kind, options = multipart.parse_options_header(header)
    boundary = options.get(b"boundary", b"")
    if kind != b"multipart/form-data" or not boundary:
        raise errors.BadRequestError("a multipart form is needed")
    return boundary


async def read_lines(
    request: requests.Request, form: UploadForm
) -> AsyncIterator[list[bytes]]:
    """Yields the file's lines in batches as they arrive; updates `form`.

    Raises:
        BadRequestError: The form is malformed, incomplete or has no file.
        BodyTooLargeError: The file or a line is over its limit.
        RequestTimeoutError: No chunk arrived within the read timeout.
    """
    parser = form_parser(form, form_boundary(request))
    stream = request.stream().__aiter__()
    while True:
        try:
            with anyio.fail_after(form.limits.read_timeout_s):
                chunk = await anext(stream)
            parser.write(chunk)
        except StopAsyncIteration:
            break
        except TimeoutError:
            message = "no data of the upload arrived in time"
            raise errors.RequestTimeoutError(message) from None
        except requests.ClientDisconnect:
            raise errors.BadRequestError("the caller disconnected") from None
        except exceptions.FormParserError as error:
            raise errors.BadRequestError(f"malformed form: {error}") from None
        batch, form.complete_lines = form.complete_lines, []
        if batch:
            yield batch
    if not form.is_complete:
        raise errors.BadRequestError("the form is incomplete")
    if form.filename is None:
        raise errors.BadRequestError("the form has no file")


async def split_into_segments(
    line_batches: AsyncIterator[list[bytes]],
) -> AsyncIterator[list[bytes]]:
    """Groups lines into segments, each limited in items and bytes."""
    segment: list[bytes] = []
    size_bytes = 0
    async for batch in line_batches:
        for line in batch:
            exceeds_size = size_bytes + len(line) > jobs.MAX_SEGMENT_BYTES
            if segment and (
                exceeds_size or len(segment) >= jobs.MAX_SEGMENT_ITEMS
            ):
                yield segment
                segment, size_bytes = [], 0
            segment.append(line)
            size_bytes += len(line)
    if segment:
        yield segment


def check_item(line: bytes, line_index: int) -> None:
    """Checks that a line of an input file is a batch item.

    Raises:
        BadRequestError: It is not.
    """
    try:
        msgspec.json.decode(line, type=jobs.Item)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        message = f"line {line_index + 1} is not a batch item: {error}"
        raise errors.BadRequestError(message) from None


def update_digest(hasher: Any, line: bytes) -> None:
    """Adds one line to the digest of a file's content."""
    hasher.update(len(line).to_bytes(8, "big"))
    hasher.update(line)


def content_digest(lines: list[bytes]) -> str:
    """Returns the digest of a file's content as hexadecimal text.

    >>> content_digest([b"ab"]) == content_digest([b"a", b"b"])
    False
    """
    hasher = hashlib.blake2b(digest_size=16)
    for line in lines:
        update_digest(hasher, line)
    return hasher.hexdigest()


def file_id(organisation: str, purpose: str, digest: str) -> str:
    """Returns a file's id, which is the same for a resent upload.

    Args:
        organisation: Organisation of the caller.
        purpose: Purpose given with the file.
        digest: Digest of the content, as `content_digest` returns it.

    >>> file_id("a", "batch", "0") == file_id("b", "batch", "0")
    False
    """
    parts = msgspec.json.encode((organisation, purpose, digest))
    return f"file-{hashlib.blake2b(parts, digest_size=16).hexdigest()}"
