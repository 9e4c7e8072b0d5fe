"""Bodies of endpoints' responses, read up to a limit.

A faulty endpoint may send bytes without end, until its caller closes.
"""

from collections.abc import AsyncIterator

import httpx

from ibisknot import errors
from ibisknot import turns

MAX_BODY_BYTES = 8 * 1024 * 1024
MAX_EVENT_BYTES = 1024 * 1024
"""Largest size of a line, or of an event that is not complete."""


async def read(
    response: httpx.Response, *, max_bytes: int = MAX_BODY_BYTES
) -> bytes:
    """Returns a whole body.

    Raises:
        HTTPError: The connection broke.
        TruncatedStreamError: The body is larger than `max_bytes`.
    """
    body = bytearray()
    async for chunk in response.aiter_bytes():
        body += chunk
        check_size(len(body), max_bytes)
    return bytes(body)


async def lines(
    response: httpx.Response, *, max_bytes: int = MAX_BODY_BYTES
) -> AsyncIterator[str]:
    """Yields the lines of a body without their ends.

    Raises:
        HTTPError: The connection broke.
        TruncatedStreamError: The body is larger than `max_bytes`, or a line
            is larger than `MAX_EVENT_BYTES`.
    """
    size = 0
    incomplete = bytearray()
    turn = turns.Counter()
    async for chunk in response.aiter_bytes():
        size += len(chunk)
        check_size(size, max_bytes)
        first, *others = chunk.split(b"\n")
        incomplete += first
        for part in others:
            yield _decode_line(incomplete)
            await turn.spend(len(part))
            incomplete = bytearray(part)
        check_size(len(incomplete), MAX_EVENT_BYTES)
    if incomplete:
        yield incomplete.decode("utf-8", "replace")


def _decode_line(line: bytearray) -> str:
    return line.removesuffix(b"\r").decode("utf-8", "replace")


def check_size(size: int, max_bytes: int) -> None:
    """Raises TruncatedStreamError for a size over a limit."""
    if size > max_bytes:
        raise errors.TruncatedStreamError(
            f"the endpoint's response is over {max_bytes} bytes"
        )
