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
class Form:
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
    part: str = ""
    filename: str | None = None
    fields: dict[str, bytes] = dataclasses.field(default_factory=dict)
    header: bytes = b""
    value: bytes = b""
    headers: dict[bytes, bytes] = dataclasses.field(default_factory=dict)
    rest: bytes = b""
    lines: list[bytes] = dataclasses.field(default_factory=list)
    size_bytes: int = 0
    ended: bool = False


def _begin_part(form: Form) -> None:
    form.headers = {}
    form.header = b""
    form.value = b""


def _end_headers(form: Form) -> None:
    disposition = form.headers.get(b"content-disposition", b"")
    _, options = multipart.parse_options_header(disposition)
    form.part = options.get(b"name", b"").decode(errors="replace")
    if form.part == FILE_PART:
        if form.filename is not None:
            raise errors.BadRequestError("the form has more than one file")
        name = options.get(b"filename", b"").decode(errors="replace")
        form.filename = name or "upload.jsonl"


def _end_header(form: Form) -> None:
    form.headers[form.header.lower()] = form.value
    form.header = b""
    form.value = b""


def _take_header(form: Form, name: bytes, value: bytes) -> None:
    form.header += name
    form.value += value
    if len(form.header) + len(form.value) > MAXIMUM_HEADER_BYTES:
        raise errors.BadRequestError("a part's header is too long")


def _take_data(form: Form, data: bytes) -> None:
    if form.part == FILE_PART:
        _take_lines(form, data)
        return
    found = form.fields.get(form.part, b"") + data
    if len(found) > MAXIMUM_FIELD_BYTES or len(form.fields) > 16:
        raise errors.BadRequestError("the form's fields are too large")
    form.fields[form.part] = found


def _take_lines(form: Form, data: bytes) -> None:
    form.size_bytes += len(data)
    if form.size_bytes > form.limits.file_bytes:
        message = f"the file is over {form.limits.file_bytes} bytes"
        raise errors.BodyTooLargeError(message)
    lines = (form.rest + data).split(b"\n")
    form.rest = lines.pop()
    form.lines.extend(line for line in lines if line.strip())
    if len(form.rest) > form.limits.body_bytes:
        message = f"a line is over {form.limits.body_bytes} bytes"
        raise errors.BodyTooLargeError(message)


def _end_part(form: Form) -> None:
    if form.part == FILE_PART and form.rest.strip():
        form.lines.append(form.rest)
    form.rest = b""
    form.part = ""


def _end_form(form: Form) -> None:
    form.ended = True


def parser(form: Form, boundary: bytes) -> multipart.MultipartParser:
    """Returns a push parser that fills a form."""
    callbacks: Any = {
        "on_part_begin": lambda: _begin_part(form),
        "on_header_field": lambda d, a, b: _take_header(form, d[a:b], b""),
        "on_header_value": lambda d, a, b: _take_header(form, b"", d[a:b]),
        "on_header_end": lambda: _end_header(form),
        "on_headers_finished": lambda: _end_headers(form),
        "on_part_data": lambda d, a, b: _take_data(form, d[a:b]),
        "on_part_end": lambda: _end_part(form),
        "on_end": lambda: _end_form(form),
    }
    return multipart.MultipartParser(boundary, callbacks)


def boundary_of(request: requests.Request) -> bytes:
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


async def lines(
    request: requests.Request, form: Form
) -> AsyncIterator[list[bytes]]:
    """Yields the file's lines as they arrive.

    Raises:
        BadRequestError: The form is malformed or was cut off.
        BodyTooLargeError: The file or a line is over its limit.
        RequestTimeoutError: The caller sent too slowly.
    """
    feed = parser(form, boundary_of(request))
    stream = request.stream().__aiter__()
    while True:
        try:
            with anyio.fail_after(form.limits.read_timeout_s):
                chunk = await anext(stream)
            feed.write(chunk)
        except StopAsyncIteration:
            break
        except TimeoutError:
            message = "the upload stopped arriving"
            raise errors.RequestTimeoutError(message) from None
        except requests.ClientDisconnect:
            raise errors.BadRequestError("the caller closed early") from None
        except exceptions.FormParserError as error:
            raise errors.BadRequestError(f"malformed form: {error}") from None
        taken, form.lines = form.lines, []
        if taken:
            yield taken
    if not form.ended:
        raise errors.BadRequestError("the form was cut off")
    if form.filename is None:
        raise errors.BadRequestError("the form needs a file")


async def segments(
    source: AsyncIterator[list[bytes]],
) -> AsyncIterator[list[bytes]]:
    """Groups lines into segments, each bounded in items and bytes."""
    segment: list[bytes] = []
    size = 0
    async for chunk in source:
        for line in chunk:
            full = size + len(line) > jobs.SEGMENT_BYTES
            if segment and (full or len(segment) >= jobs.SEGMENT_ITEMS):
                yield segment
                segment, size = [], 0
            segment.append(line)
            size += len(line)
    if segment:
        yield segment


def check_item(line: bytes, number: int) -> None:
    """Checks one line of a batch input file.

    Raises:
        BadRequestError: It is no batch item.
    """
    try:
        msgspec.json.decode(line, type=jobs.Item)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        message = f"line {number + 1} is no batch item: {error}"
        raise errors.BadRequestError(message) from None


def digest_line(state: Any, line: bytes) -> None:
    """Takes one line into the digest of a file's content."""
    state.update(len(line).to_bytes(8, "big"))
    state.update(line)


def content_digest(items: list[bytes]) -> str:
    """Returns the digest of a whole file's lines.

    >>> content_digest([b"ab"]) == content_digest([b"a", b"b"])
    False
    """
    state = hashlib.blake2b(digest_size=16)
    for line in items:
        digest_line(state, line)
    return state.hexdigest()


def file_id(organisation: str, purpose: str, content: str) -> str:
    """Returns a file's id; a resent upload gives the same one.

    >>> file_id("a", "batch", "0") == file_id("b", "batch", "0")
    False
    """
    parts = msgspec.json.encode((organisation, purpose, content))
    return f"file-{hashlib.blake2b(parts, digest_size=16).hexdigest()}"
