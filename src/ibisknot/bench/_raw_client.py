"""A minimal HTTP/1.1 client for load, so that it is not the bottleneck.

It sends prepared bytes over persistent connections, and parses responses only
as far as needed to find their end.
"""

import dataclasses
import random

import anyio
from anyio import abc

from ibisknot.bench import generator

HEAD_END = b"\r\n\r\n"
CHUNKED_ENCODING = b"transfer-encoding: chunked"
LAST_CHUNK = b"0\r\n\r\n"
CONTENT_LENGTH = b"content-length: "
RESPONSE_TIMEOUT_S = 30.0


def encode_post(host: str, path: str, body: bytes, *, key: str = "") -> bytes:
    """Returns the bytes of a POST request."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"host: {host}",
        "content-type: application/json",
        f"content-length: {len(body)}",
    ]
    if key:
        lines.append(f"authorization: Bearer {key}")
    return "\r\n".join(lines).encode() + HEAD_END + body


def is_complete(response: bytes) -> bool:
    r"""Returns whether the bytes received are a complete response.

    >>> head = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n"
    >>> is_complete(head + b"a"), is_complete(head + b"ab")
    (False, True)
    """
    head, separator, body = response.partition(HEAD_END)
    if not separator:
        return False
    lowered = head.lower()
    if CHUNKED_ENCODING in lowered:
        return body.endswith(LAST_CHUNK)
    _, _, rest = lowered.partition(CONTENT_LENGTH)
    return len(body) >= int(rest.partition(b"\r")[0])


@dataclasses.dataclass(slots=True)
class Target:
    """A server under load.

    Attributes:
        address: IP address and port.
        request: The bytes of each request.
        idle_connections: Open connections without a request.
        failed: Count of responses that were incomplete or had a status other
            than 200.
    """

    address: str
    request: bytes
    idle_connections: list[abc.SocketStream] = dataclasses.field(
        default_factory=list
    )
    failed: int = 0

    async def send_request(self) -> None:
        """Sends one request and reads its response."""
        connection = await self._take_connection()
        response = b""
        try:
            await connection.send(self.request)
            while not is_complete(response):
                response += await connection.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            self.failed += 1
            await connection.aclose()
            return
        if not response.startswith(b"HTTP/1.1 200"):
            self.failed += 1
        self.idle_connections.append(connection)

    async def _take_connection(self) -> abc.SocketStream:
        if self.idle_connections:
            return self.idle_connections.pop()
        ip_address, _, port = self.address.rpartition(":")
        return await anyio.connect_tcp(ip_address, int(port))

    async def aclose(self) -> None:
        """Closes the idle connections."""
        for connection in self.idle_connections:
            await connection.aclose()
        self.idle_connections.clear()


async def saturate(
    target: Target, *, callers: int, seconds: float
) -> generator.Latencies:
    """Sends requests back to back from a number of callers.

    Args:
        target: The server under load.
        callers: Count of concurrent requests.
        seconds: How long requests are started, in seconds.
    """
    latencies = generator.Latencies()
    end_s = anyio.current_time() + seconds

    async def send_requests() -> None:
        while (start_s := anyio.current_time()) < end_s:
            await target.send_request()
            latencies.add(anyio.current_time() - start_s)

    with _timeout_scope(seconds):
        async with anyio.create_task_group() as task_group:
            for _ in range(callers):
                task_group.start_soon(send_requests)
    return latencies


async def send_at_rate(
    target: Target,
    latencies: generator.Latencies,
    *,
    rate_per_s: float,
    seconds: float,
    rng: random.Random,
) -> None:
    """Sends requests at random times; adds latencies from their due times.

    Args:
        target: The server under load.
        latencies: Receives the latency of each request.
        rate_per_s: Mean requests a second; arrivals are a Poisson process.
        seconds: How long requests are started, in seconds.
        rng: Source of the arrival times.
    """
    start_s = anyio.current_time()

    async def send_request(due_s: float) -> None:
        await target.send_request()
        latencies.add(anyio.current_time() - due_s)

    with _timeout_scope(seconds):
        async with anyio.create_task_group() as task_group:
            due_s = start_s
            while True:
                due_s += rng.expovariate(rate_per_s)
                if due_s >= start_s + seconds:
                    break
                if due_s > anyio.current_time():
                    await anyio.sleep_until(due_s)
                task_group.start_soon(send_request, due_s)


def _timeout_scope(seconds: float) -> anyio.CancelScope:
    """Returns a scope that ends a load loop if responses never arrive."""
    deadline_s = anyio.current_time() + seconds + RESPONSE_TIMEOUT_S
    return anyio.CancelScope(deadline=deadline_s)
