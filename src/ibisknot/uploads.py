"""Reads an uploaded file as it arrives, item by item.

The form's parts are parsed as they come in, so neither the file nor a large
part of it is ever held.
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

MAXIMUM_FIELD_BYTES = 1024
MAXIMUM_HEADER_BYTES = 4096
FILE_PART = "file"
PURPOSE_PART = "purpose"


@dataclasses.dataclass(slots=True)
class UploadForm:
    """What has arrived of an upload's form.

    Attributes:
        limits: Bounds of the upload.
        part: Name of the part that arrives now.
        filename: The file's name, once its part began.
        fields: Values of the other parts.
        rest: The bytes of a line that is not whole yet.
        lines: Whole lines that have not been taken.
        ended: Whether the whole form has arrived.
    """

    limits: settings.Limits
    part_name: str = ""
    filename: str | None = None
    fields: dict[str, bytes] = dataclasses.field(default_factory=dict)
    header_name: bytes = b""
    header_value: bytes = b""
    headers: dict[bytes, bytes] = dataclasses.field(default_factory=dict)
    partial_line: bytes = b""
    whole_lines: list[bytes] = dataclasses.field(default_factory=list)
    size_bytes: int = 0
    is_complete: bool = False


def _begin_part(form: UploadForm) -> None:
    form.headers = {}
    form.header_name = b""
    form.header_value = b""


def _end_headers(form: UploadForm) -> None:
    disposition = form.headers.get(b"content-disposition", b"")
    _, options = multipart.parse_options_header(disposition)
    form.part_name = options.get(b"name", b"").decode(errors="replace")
    if form.part_name == FILE_PART:
        if form.filename is not None:
            raise errors.BadRequestError("the form has more than one file")
        name = options.get(b"filename", b"").decode(errors="replace")
        form.filename = name or "upload.jsonl"


def _end_header(form: UploadForm) -> None:
    form.headers[form.header_name.lower()] = form.header_value
    form.header_name = b""
    form.header_value = b""


def _append_header(form: UploadForm, name: bytes, value: bytes) -> None:
    form.header_name += name
    form.header_value += value
    if len(form.header_name) + len(form.header_value) > MAXIMUM_HEADER_BYTES:
        raise errors.BadRequestError("a part's header is too long")


def _append_data(form: UploadForm, chunk: bytes) -> None:
    if form.part_name == FILE_PART:
        _append_lines(form, chunk)
        return
    value = form.fields.get(form.part_name, b"") + chunk
    if len(value) > MAXIMUM_FIELD_BYTES or len(form.fields) > 16:
        raise errors.BadRequestError("the form's fields are too large")
    form.fields[form.part_name] = value


def _append_lines(form: UploadForm, chunk: bytes) -> None:
    form.size_bytes += len(chunk)
    if form.size_bytes > form.limits.file_bytes:
        message = f"the file is over {form.limits.file_bytes} bytes"
        raise errors.BodyTooLargeError(message)
    lines = (form.partial_line + chunk).split(b"\n")
    form.partial_line = lines.pop()
    form.whole_lines.extend(line for line in lines if line.strip())
    if len(form.partial_line) > form.limits.body_bytes:
        message = f"a line is over {form.limits.body_bytes} bytes"
        raise errors.BodyTooLargeError(message)


def _end_part(form: UploadForm) -> None:
    if form.part_name == FILE_PART and form.partial_line.strip():
        form.whole_lines.append(form.partial_line)
    form.partial_line = b""
    form.part_name = ""


def _end_form(form: UploadForm) -> None:
    form.is_complete = True


def form_parser(form: UploadForm, boundary: bytes) -> multipart.MultipartParser:
    """Returns a push parser that fills a form."""
    callbacks: Any = {
        "on_part_begin": lambda: _begin_part(form),
        "on_header_field": lambda d, a, b: _append_header(form, d[a:b], b""),
        "on_header_value": lambda d, a, b: _append_header(form, b"", d[a:b]),
        "on_header_end": lambda: _end_header(form),
        "on_headers_finished": lambda: _end_headers(form),
        "on_part_data": lambda d, a, b: _append_data(form, d[a:b]),
        "on_part_end": lambda: _end_part(form),
        "on_end": lambda: _end_form(form),
    }
    return multipart.MultipartParser(boundary, callbacks)


def form_boundary(request: requests.Request) -> bytes:
    """Returns the boundary of a request's form.

    Raises:
        BadRequestError: The request carries no form.
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
    """Yields the file's lines as they arrive.

    Raises:
        BadRequestError: The form is malformed or was cut off.
        BodyTooLargeError: The file or a line is over its limit.
        RequestTimeoutError: The caller sent too slowly.
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
            message = "the upload stopped arriving"
            raise errors.RequestTimeoutError(message) from None
        except requests.ClientDisconnect:
            raise errors.BadRequestError("the caller closed early") from None
        except exceptions.FormParserError as error:
            raise errors.BadRequestError(f"malformed form: {error}") from None
        batch, form.whole_lines = form.whole_lines, []
        if batch:
            yield batch
    if not form.is_complete:
        raise errors.BadRequestError("the form was cut off")
    if form.filename is None:
        raise errors.BadRequestError("the form needs a file")


async def split_into_segments(
    line_batches: AsyncIterator[list[bytes]],
) -> AsyncIterator[list[bytes]]:
    """Groups lines into segments, each bounded in items and bytes."""
    segment: list[bytes] = []
    size_bytes = 0
    async for batch in line_batches:
        for line in batch:
            full = size_bytes + len(line) > jobs.SEGMENT_BYTES
            if segment and (full or len(segment) >= jobs.SEGMENT_ITEMS):
                yield segment
                segment, size_bytes = [], 0
            segment.append(line)
            size_bytes += len(line)
    if segment:
        yield segment


def check_item(line: bytes, line_index: int) -> None:
    """Checks one line of a batch input file.

    Raises:
        BadRequestError: It is no batch item.
    """
    try:
        msgspec.json.decode(line, type=jobs.Item)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        message = f"line {line_index + 1} is no batch item: {error}"
        raise errors.BadRequestError(message) from None


def update_digest(hasher: Any, line: bytes) -> None:
    """Takes one line into the digest of a file's content."""
    hasher.update(len(line).to_bytes(8, "big"))
    hasher.update(line)


def content_digest(lines: list[bytes]) -> str:
    """Returns the digest of a whole file's lines.

    >>> content_digest([b"ab"]) == content_digest([b"a", b"b"])
    False
    """
    hasher = hashlib.blake2b(digest_size=16)
    for line in lines:
        update_digest(hasher, line)
    return hasher.hexdigest()


def file_id(organisation: str, purpose: str, content: str) -> str:
    """Returns a file's id; a resent upload gives the same one.

    >>> file_id("a", "batch", "0") == file_id("b", "batch", "0")
    False
    """
    parts = msgspec.json.encode((organisation, purpose, content))
    return f"file-{hashlib.blake2b(parts, digest_size=16).hexdigest()}"
