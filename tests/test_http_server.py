"""Limits of the HTTP server, and cancellation when a caller disconnects."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import pytest

from ibisknot import http_call
from ibisknot import http_client
from ibisknot import http_server
from ibisknot.client_limits import listener

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
            small = http_call.Call(
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


def test_request_that_is_being_received_counts_as_active() -> None:
    """Guards against a planned stop that cuts a request without an answer."""

    async def check(address: str, server: http_server.Server) -> None:
        host, _, port = address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(b"POST / HTTP/1.1\r\nHost: h\r\n")
            await anyio.sleep(0.1)
            assert server.active_requests == 1
            await stream.send(b"Content-Length: 2\r\n\r\nok")
            assert (await stream.receive()).startswith(b"HTTP/1.1 200")
        with anyio.fail_after(1.0):
            while server.active_requests:
                await anyio.sleep(0.01)

    _run(http_server.Server(_echo), check)


def test_server_that_stops_accepting_answers_open_connections() -> None:
    """Guards against a planned stop that cuts accepted connections."""

    async def main() -> None:
        server = http_server.Server(_echo)
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        await listener.aclose()
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(server.serve, f"127.0.0.1:{port}")
            while server.accept_scope is None:
                await anyio.sleep(0.01)
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await anyio.sleep(0.1)
                server.stop_accepting()
                await anyio.sleep(0.1)
                await stream.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
                assert (await stream.receive()).startswith(b"HTTP/1.1 200")
            with pytest.raises(OSError):
                await anyio.connect_tcp("127.0.0.1", port)
            task_group.cancel_scope.cancel()

    anyio.run(main)


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_aborted_response_does_not_look_complete(version: bytes) -> None:
    """Guards against half an answer that a caller takes for all of it.

    The end of the connection ends a response to an HTTP/1.0 request.
    """

    async def fail_halfway(exchange: http_server.Exchange) -> None:
        await exchange.start(200, [])
        await exchange.send(b"half")
        await anyio.sleep(0.1)
        exchange.abort()

    async def check(address: str, _server: http_server.Server) -> None:
        host, _, port = address.rpartition(":")
        received = b""
        is_reset = False
        async with await anyio.connect_tcp(host, int(port)) as stream:
            await stream.send(b"GET / HTTP/" + version + b"\r\nHost: h\r\n\r\n")
            try:
                while True:
                    received += await stream.receive()
            except anyio.EndOfStream:
                pass
            except anyio.BrokenResourceError:
                is_reset = True
        has_end = b"chunked" in received and received.endswith(b"0\r\n\r\n")
        is_chunked = b"chunked" in received
        assert is_reset or (is_chunked and not has_end)

    _run(http_server.Server(fail_halfway), check)


def test_connection_that_is_open_when_the_server_closes_is_answered() -> None:
    """Guards against a planned stop that cuts a request on its way."""

    async def check(address: str, server: http_server.Server) -> None:
        host, _, port = address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            while not server.open_connections:
                await anyio.sleep(0.01)
            server.start_closing()
            await stream.send(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            response = await stream.receive()
        assert response.startswith(b"HTTP/1.1 200")
        assert b"connection: close" in response.lower()

    _run(http_server.Server(_echo), check)


def test_idle_connections_end_soon_when_the_server_closes() -> None:
    """Guards against a stop that waits for callers who send nothing."""

    async def check(address: str, server: http_server.Server) -> None:
        host, _, port = address.rpartition(":")
        async with await anyio.connect_tcp(host, int(port)) as stream:
            while not server.idle_scopes:
                await anyio.sleep(0.01)
            server.start_closing()
            with pytest.raises(anyio.EndOfStream), anyio.fail_after(10.0):
                await stream.receive()

    _run(http_server.Server(_echo), check)


def test_refusal_of_a_connection_whose_response_has_ended() -> None:
    """Guards against a listener that ends with the connection it closes."""

    async def main() -> None:
        clients = listener.unlimited()
        server = http_server.Server(_echo, clients=clients)
        server.quota.max_connections = 1
        with listener.listen("127.0.0.1", 0) as raw_socket:
            port = raw_socket.getsockname()[1]
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(server.serve, f"127.0.0.1:{port}")
            while server.accept_scope is None:
                await anyio.sleep(0.01)
            malformed = await anyio.connect_tcp("127.0.0.1", port)
            await malformed.send(b"nonsense\r\n\r\n")
            assert (await malformed.receive()).startswith(b"HTTP/1.1 400")
            response = await _send_bytes(
                f"127.0.0.1:{port}",
                b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
            )
            assert response.startswith(b"HTTP/1.1 200")
            await malformed.aclose()
            task_group.cancel_scope.cancel()

    anyio.run(main)
