"""A small HTTP/1.1 server on asyncio for the stand-ins of the review."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
from typing import Any
from urllib import parse

REASONS = {200: "OK", 404: "Not Found", 412: "Precondition Failed"}


class Request:
    """One request with its whole body."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.path, _, query = target.partition("?")
        self.query = dict(parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self) -> Any:
        """Returns the decoded body."""
        return json.loads(self.body or b"{}")


Answer = tuple[int, dict[str, str], bytes]
Handler = Callable[
    [Request, asyncio.StreamReader, asyncio.StreamWriter],
    Awaitable[Answer | None],
]
"""Returns an answer, `SENT` after one that it has sent itself, or None to end
the channel."""
SENT: Answer = (0, {}, b"")


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Reads a request; returns None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body)


def encode(answer: Answer) -> bytes:
    """Returns the bytes of an answer with its length."""
    status, headers, body = answer
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def json_answer(value: Any, status: int = 200) -> Answer:
    """Returns an answer with a JSON body."""
    headers = {"Content-Type": "application/json"}
    return status, headers, json.dumps(value).encode()


async def serve(address: str, port: int, handler: Handler) -> None:
    """Serves until cancelled."""

    async def on_channel(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                answer = await handler(request, reader, writer)
                if answer is None:
                    break
                if answer is not SENT:
                    writer.write(encode(answer))
                    await writer.drain()
        except (ConnectionError, TimeoutError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(
        on_channel, address, port, limit=64 * 1024 * 1024, backlog=512
    )
    async with server:
        await server.serve_forever()
