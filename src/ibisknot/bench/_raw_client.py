"""A lean HTTP/1.1 client for load, so that the client is not the bottleneck.

It sends prepared bytes over kept connections and looks only for the end of
each answer.
"""

import dataclasses
import random

import anyio
from anyio import abc

from ibisknot.bench import generator

HEAD_END = b"\r\n\r\n"
CHUNKED = b"transfer-encoding: chunked"
LAST_CHUNK = b"0\r\n\r\n"
LENGTH = b"content-length: "
ANSWER_TIMEOUT_S = 30.0


def post(host: str, path: str, body: bytes, *, key: str = "") -> bytes:
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


def whole(answer: bytes) -> bool:
    r"""Returns whether the bytes of an answer are complete.

    >>> head = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n"
    >>> whole(head + b"a"), whole(head + b"ab")
    (False, True)
    """
    head, found, body = answer.partition(HEAD_END)
    if not found:
        return False
    lowered = head.lower()
    if CHUNKED in lowered:
        return body.endswith(LAST_CHUNK)
    _, _, rest = lowered.partition(LENGTH)
    return len(body) >= int(rest.partition(b"\r")[0])


@dataclasses.dataclass(slots=True)
class Target:
    """Where load goes to.

    Attributes:
        host: Address and port.
        request: The bytes of each request.
        idle: Kept connections.
        failed: Answers that were not whole or not 200.
    """

    host: str
    request: bytes
    idle: list[abc.SocketStream] = dataclasses.field(default_factory=list)
    failed: int = 0

    async def ask(self) -> None:
        """Sends one request and reads its answer."""
        stream = await self._connection()
        answer = b""
        try:
            await stream.send(self.request)
            while not whole(answer):
                answer += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            self.failed += 1
            await stream.aclose()
            return
        if not answer.startswith(b"HTTP/1.1 200"):
            self.failed += 1
        self.idle.append(stream)

    async def _connection(self) -> abc.SocketStream:
        if self.idle:
            return self.idle.pop()
        address, _, port = self.host.rpartition(":")
        return await anyio.connect_tcp(address, int(port))

    async def aclose(self) -> None:
        """Closes the kept connections."""
        for stream in self.idle:
            await stream.aclose()
        self.idle.clear()


async def saturate(
    target: Target, *, callers: int, seconds: float
) -> generator.Latencies:
    """Keeps a number of callers asking without pause."""
    latencies = generator.Latencies()
    end_s = anyio.current_time() + seconds

    async def ask() -> None:
        while (start_s := anyio.current_time()) < end_s:
            await target.ask()
            latencies.add(anyio.current_time() - start_s)

    with _bounded(seconds):
        async with anyio.create_task_group() as group:
            for _ in range(callers):
                group.start_soon(ask)
    return latencies


async def pace(
    target: Target,
    latencies: generator.Latencies,
    *,
    rate_per_s: float,
    seconds: float,
    choice: random.Random,
) -> None:
    """Asks at random times of a mean rate; adds latencies from the due time."""
    start_s = anyio.current_time()

    async def ask(due_s: float) -> None:
        await target.ask()
        latencies.add(anyio.current_time() - due_s)

    with _bounded(seconds):
        async with anyio.create_task_group() as group:
            due_s = start_s
            while True:
                due_s += choice.expovariate(rate_per_s)
                if due_s >= start_s + seconds:
                    break
                if due_s > anyio.current_time():
                    await anyio.sleep_until(due_s)
                group.start_soon(ask, due_s)


def _bounded(seconds: float) -> anyio.CancelScope:
    """Returns a scope that ends a load loop whose answers never come."""
    deadline_s = anyio.current_time() + seconds + ANSWER_TIMEOUT_S
    return anyio.CancelScope(deadline=deadline_s)
