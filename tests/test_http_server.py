"""Limits of the HTTP server, and cancellation when a caller disconnects."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import pytest

from ibisknot import http_client
from ibisknot import http_server

Check = Callable[[str, http_server.Server], Awaitable[None]]


def _run(server: http_server.Server, check: Check) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            task_group.start_soon(listener.serve, server.serve_connection)
            await check(f"127.0.0.1:{port}", server)
            task_group.cancel_scope.cancel()

    anyio.run(main)


async def _echo(exchange: http_server.Exchange) -> None:
    await exchange.respond(200, [], exchange.request.body)


async def _send_bytes(address: str, data: bytes) -> bytes:
    """Sends bytes; returns the data received until the connection ends."""
    host, _, port = address.rpartition(":")
    received = b""
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(data)
        with anyio.move_on_after(1.0):
            while True:
                try:
                    received += await stream.receive()
                except (anyio.EndOfStream, anyio.BrokenResourceError):
                    break
    return received


def test_bodies_over_the_memory_limit_are_refused() -> None:
    """Guards against large bodies that exhaust the process's memory.

    Bodies of finished requests must not count towards the limit.
    """
    server = http_server.Server(_echo, max_buffered_bytes=1000)

    async def check(address: str, _server: http_server.Server) -> None:
        head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n"
        response = await _send_bytes(address, head + b"x" * 2000)
        assert response.startswith(b"HTTP/1.1 503")
        for _ in range(3):
            small = http_client.Call(
                address, b"POST", b"/", [(b"Host", b"h")], b"y" * 900
            )
            status, body = await http_client.Client().fetch(small)
            assert (status, len(body)) == (200, 900)
        assert server.buffered_bytes == 0

    _run(server, check)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"nonsense\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"a" * 20000, b"431"),
        (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999\r\n\r\n"
            + b"x" * 100_000,
            b"413",
        ),
    ],
)
def test_invalid_request_gets_an_error_status(
    data: bytes, status: bytes
) -> None:
    """Guards against closing the connection without a response."""
    limits = http_server.Limits(max_body_bytes=50_000)
    server = http_server.Server(_echo, limits=limits)

    async def check(address: str, _server: http_server.Server) -> None:
        response = await _send_bytes(address, data)
        assert response.startswith(b"HTTP/1.1 " + status)

    _run(server, check)


def test_handler_is_cancelled_when_its_caller_disconnects() -> None:
    """Guards against work for callers that have disconnected."""
    cancelled: list[bool] = []

    async def wait(_exchange: http_server.Exchange) -> None:
        try:
            await anyio.sleep(5.0)
        except BaseException:
            cancelled.append(True)
            raise

    async def check(address: str, server: http_server.Server) -> None:
        host, _, port = address.rpartition(":")
        stream = await anyio.connect_tcp(host, int(port))
        await stream.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
        await anyio.sleep(0.1)
        assert server.active_requests == 1
        await stream.aclose()
        with anyio.fail_after(0.5):
            while server.active_requests:
                await anyio.sleep(0.01)
        assert cancelled == [True]

    _run(http_server.Server(wait), check)
