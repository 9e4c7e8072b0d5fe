"""HTTP/1.1 over asyncio streams, for the stand-ins and the test clients."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses

MAX_HEAD_BYTES = 256 * 1024
Headers = dict[str, str]


@dataclasses.dataclass
class Request:
    """A request that a stand-in has received.

    Attributes:
        method: Method.
        target: Path and query.
        headers: Values by name in lower case.
        body: The whole body.
        peer: Address of the sender.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    peer: str


@dataclasses.dataclass
class Answer:
    """A response that a client has received.

    Attributes:
        status: Status, 0 if there was none.
        headers: Values by name in lower case.
        body: The body, as far as it came.
        complete: Whether the response ended as its framing says.
    """

    status: int
    headers: Headers
    body: bytes
    complete: bool


def parse_headers(lines: list[str]) -> Headers:
    """Returns header lines by name in lower case."""
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return headers


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, Headers] | None:
    """Returns the first line and the headers; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    return lines[0], parse_headers(lines[1:])


async def read_request(
    reader: asyncio.StreamReader, peer: str
) -> Request | None:
    """Reads one request; None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    size = int(head[1].get("content-length", "0"))
    try:
        body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, OSError):
        return None
    return Request(method, target, head[1], body, peer)


def encode_response(
    status: int, body: bytes = b"", headers: Headers | None = None
) -> bytes:
    """Returns a response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return "\r\n".join([*lines, "", ""]).encode() + body


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[bool]]
"""Answers a request; returns whether the connection stays open."""


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Listens and handles the requests of each connection in turn."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                request = await read_request(reader, peer)
                if request is None or not await handler(request, writer):
                    break
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(
        handle, host, port, limit=MAX_HEAD_BYTES, backlog=512
    )


def encode_request(
    method: str, target: str, headers: Headers, body: bytes = b""
) -> bytes:
    """Returns a request as bytes."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Reads one response."""
    head = await read_head(reader)
    if head is None:
        return Answer(0, {}, b"", complete=False)
    status = int(head[0].split(" ")[1])
    headers = head[1]
    body = b""
    try:
        if headers.get("transfer-encoding", "") == "chunked":
            while True:
                line = await reader.readuntil(b"\r\n")
                size = int(line.strip(), 16)
                piece = await reader.readexactly(size + 2)
                if size == 0:
                    return Answer(status, headers, body, complete=True)
                body += piece[:-2]
        body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, OSError, KeyError, ValueError):
        return Answer(status, headers, body, complete=False)
    return Answer(status, headers, body, complete=True)


async def call(
    address: str,
    method: str,
    target: str,
    headers: Headers | None = None,
    body: bytes = b"",
    timeout_s: float = 10.0,
) -> Answer:
    """Makes one call on a connection of its own; status 0 without answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                host, int(port), limit=MAX_HEAD_BYTES
            )
            fields = {"Host": address} | (headers or {})
            writer.write(encode_request(method, target, fields, body))
            with contextlib.suppress(OSError):
                await writer.drain()
            return await read_answer(reader)
    except (OSError, TimeoutError):
        return Answer(0, {}, b"", complete=False)
    finally:
        if writer is not None:
            writer.close()
