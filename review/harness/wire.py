"""HTTP/1.1 for the stand-ins and the clients of the review's scripts."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
from typing import Any

MAX_HEAD_BYTES = 64 * 1024


@dataclasses.dataclass(slots=True)
class Message:
    """A request or a response.

    Attributes:
        start: The words of the first line.
        headers: Values by names in lower case.
        body: The whole body.
        peer: Host of the other side; empty for responses.
        is_complete: Whether the body was received to its end.
    """

    start: list[str]
    headers: dict[str, str]
    body: bytes = b""
    peer: str = ""
    is_complete: bool = True

    @property
    def status(self) -> int:
        """Returns the status of a response."""
        return int(self.start[1])

    def json(self) -> Any:
        """Returns the decoded body."""
        return json.loads(self.body)


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[bool]]
"""Answers a request; returns whether the connection may be used again."""


async def _read_head(reader: asyncio.StreamReader) -> Message | None:
    """Returns the head of the next message, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first.split(" ", 2), headers)


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Returns a body in chunks."""
    body = b""
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return body
        body += data[:-2]


async def _read_body(
    reader: asyncio.StreamReader, message: Message, *, is_response: bool
) -> None:
    """Reads the body of a message."""
    headers = message.headers
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            message.body = await _read_chunks(reader)
        elif "content-length" in headers:
            size = int(headers["content-length"])
            message.body = await reader.readexactly(size)
        elif is_response:
            message.body = await reader.read()
    except (asyncio.IncompleteReadError, ConnectionError):
        message.is_complete = False


def respond(
    writer: asyncio.StreamWriter,
    status: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> None:
    """Writes a complete response."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
    lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body)


async def serve(address: str, handler: Handler) -> asyncio.Server:
    """Serves HTTP at `host:port`."""

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                request = await _read_head(reader)
                if request is None:
                    return
                request.peer = peer
                await _read_body(reader, request, is_response=False)
                if not request.is_complete:
                    return
                if not await handler(request, writer):
                    return
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    host, _, port = address.rpartition(":")
    return await asyncio.start_server(
        on_connection, host, int(port), limit=MAX_HEAD_BYTES * 64, backlog=512
    )


async def call(
    address: str,
    method: str,
    target: str,
    *,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Message | None:
    """Sends a request on a new connection; None without a whole response."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _exchange(address, method, target, headers, body)
    except (TimeoutError, OSError):
        return None


async def _exchange(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None,
    body: bytes,
) -> Message | None:
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        fields = {"Host": address, "Content-Length": str(len(body))}
        fields |= headers or {}
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{k}: {v}" for k, v in fields.items()]
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        writer.write(head + body)
        response = await _read_head(reader)
        if response is None:
            return None
        await _read_body(reader, response, is_response=True)
        return response if response.is_complete else None
    finally:
        writer.close()
