"""What one connection of a client can make a process hold or do."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import pytest

from ibisknot import http_connection
from ibisknot import http_server
from ibisknot import turns
from ibisknot.client_limits import budget
from ibisknot.client_limits import client_stream
from ibisknot.client_limits import listener

HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"
Check = Callable[[int], Awaitable[None]]


async def _echo(exchange: http_server.Exchange) -> None:
    await exchange.respond(200, [], exchange.request.body)


def _run(server: http_server.Server, check: Check) -> None:
    """Runs a check, which is given the server's port."""

    async def main() -> None:
        with listener.listen("127.0.0.1", 0) as raw_socket:
            port = raw_socket.getsockname()[1]
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(server.serve, f"127.0.0.1:{port}")
            while server.accept_scope is None:
                await anyio.sleep(0.01)
            with anyio.fail_after(30.0):
                await check(port)
            task_group.cancel_scope.cancel()

    anyio.run(main)


async def _send_all(port: int, data: bytes) -> bytes:
    """Returns what a client that sends data receives."""
    received = b""
    async with await anyio.connect_tcp("127.0.0.1", port) as stream:
        try:
            await stream.send(data)
            while True:
                received += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return received


def test_unread_connection_holds_two_pieces() -> None:
    """Guards against a client that is received faster than it is served."""
    held: list[int] = []

    async def main() -> None:
        sent = anyio.Event()

        async def serve(
            stream: client_stream.Stream, _account: budget.Account
        ) -> None:
            first = await stream.receive(1)
            await sent.wait()
            held.append(len(first) + sum(map(len, stream.protocol.pieces)))

        clients = listener.unlimited()
        accepting = listener.Listener(clients, clients.quota("callers"), serve)
        async with anyio.create_task_group() as task_group:
            with listener.listen("127.0.0.1", 0) as raw_socket:
                port = raw_socket.getsockname()[1]
                task_group.start_soon(accepting.serve, raw_socket, task_group)
                stream = await anyio.connect_tcp("127.0.0.1", port)
                with anyio.move_on_after(1.0):
                    await stream.send(b"x" * 32 * 1024 * 1024)
                sent.set()
                while not held:
                    await anyio.sleep(0.01)
                await stream.aclose()
                task_group.cancel_scope.cancel()

    anyio.run(main)
    assert 0 < held[0] <= 2 * client_stream.READ_BYTES


def test_requests_sent_ahead_are_not_read_while_one_is_handled() -> None:
    """Guards against pipelined requests that pile up or get lost."""
    gate: list[anyio.Event] = []
    answered: list[bytes] = []

    async def wait(exchange: http_server.Exchange) -> None:
        if not gate:
            gate.append(anyio.Event())
            await gate[0].wait()
        answered.append(exchange.request.target)
        await exchange.respond(200, [])

    clients = listener.unlimited()
    server = http_server.Server(wait, clients=clients)
    padding = b"P: " + b"p" * 4000 + b"\r\n\r\n"
    count = 60
    requests = b"".join(
        f"GET /{n} HTTP/1.1\r\nHost: h\r\n".encode() + padding
        for n in range(count)
    )

    async def check(port: int) -> None:
        stream = await anyio.connect_tcp("127.0.0.1", port)
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(stream.send, requests)
            while not gate:
                await anyio.sleep(0.01)
            await anyio.sleep(0.5)
            (account,) = server.quota.accounts
            limit = http_connection.MAX_PIPELINED_BYTES
            assert account.held_bytes <= 2 * limit + client_stream.READ_BYTES
            gate[0].set()
            received = b""
            while received.count(b"HTTP/1.1 200") < count:
                received += await stream.receive()
        assert answered == [f"/{n}".encode() for n in range(count)]
        await stream.aclose()

    _run(server, check)


def test_caller_that_leaves_while_it_is_not_read_ends_its_request() -> None:
    """Guards against work for a caller that pipelined and has left."""
    ended: list[bool] = []

    async def wait(_exchange: http_server.Exchange) -> None:
        try:
            await anyio.sleep(20.0)
        finally:
            ended.append(True)

    async def check(port: int) -> None:
        stream = await anyio.connect_tcp("127.0.0.1", port)
        head = HEAD + b"Content-Length: 0\r\n\r\n"
        with anyio.move_on_after(0.5):
            await stream.send(head + b"x" * 1024 * 1024)
        await stream.aclose()
        while not ended:
            await anyio.sleep(0.01)

    _run(http_server.Server(wait), check)


def test_large_unfinished_body_makes_room_for_a_small_one() -> None:
    """Guards against small requests that are refused for large ones."""
    server = http_server.Server(_echo, max_buffered_bytes=100_000)

    async def check(port: int) -> None:
        async with anyio.create_task_group() as task_group:
            large = HEAD + b"Content-Length: 200000\r\n\r\n" + b"l" * 90_000
            received: list[bytes] = []

            async def send_large() -> None:
                received.append(await _send_all(port, large))

            task_group.start_soon(send_large)
            while server.buffered_bytes < 90_000:
                await anyio.sleep(0.01)
            small = HEAD + b"Connection: close\r\nContent-Length: 20000\r\n\r\n"
            answer = await _send_all(port, small + b"s" * 20_000)
            assert answer.startswith(b"HTTP/1.1 200")
        assert received[0] == b"" or received[0].startswith(b"HTTP/1.1 503")
        assert server.buffered_bytes == 0

    _run(server, check)


def test_refused_body_is_not_held_until_its_caller_leaves() -> None:
    """Guards against refused bodies that leave no room for others."""
    limits = http_server.Limits(max_body_bytes=10_000)
    server = http_server.Server(_echo, limits=limits)

    async def check(port: int) -> None:
        stream = await anyio.connect_tcp("127.0.0.1", port)
        body = b"Content-Length: 20000\r\n\r\n" + b"l" * 15_000
        await stream.send(HEAD + body)
        assert (await stream.receive()).startswith(b"HTTP/1.1 413")
        assert server.open_connections == 1
        assert server.buffered_bytes == 0
        assert server.quota.held_bytes == 0
        assert not server.receiving
        await stream.aclose()

    _run(server, check)


@pytest.mark.parametrize(
    ("chunk", "status"),
    [(b"1;e=" + b"x" * 5000 + b"\r\nb\r\n", b"400"), (b"1\r\nb\r\n", b"200")],
)
def test_chunked_body_with_much_framing(chunk: bytes, status: bytes) -> None:
    """Guards against endless extensions, and against refusing small chunks."""
    head = HEAD + b"Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"

    async def check(port: int) -> None:
        data = head + chunk * 1000 + b"0\r\n\r\n"
        assert (await _send_all(port, data)).startswith(b"HTTP/1.1 " + status)

    _run(http_server.Server(_echo), check)


def test_request_of_a_closed_connection_does_not_run() -> None:
    """Guards against a request that runs after its refusal.

    The whole of it was received before the connection was closed, and others
    have a turn while its body is parsed.
    """
    handled: list[bytes] = []

    async def record(exchange: http_server.Exchange) -> None:
        handled.append(exchange.request.target)
        await exchange.respond(200, [])

    server = http_server.Server(record)
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    chunks = b"1\r\nb\r\n" * 32 * turns.PARTS_PER_TURN

    async def check(port: int) -> None:
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(_send_all, port, head + chunks + b"0\r\n\r\n")
            while not server.receiving:
                await anyio.sleep(0.0)
            (account,) = server.quota.accounts
            server.clients.limit.close(account, budget.MEMORY)
            while server.open_connections:
                await anyio.sleep(0.01)
        assert handled == []

    _run(server, check)


def test_refused_connection_is_told_that_nothing_has_run() -> None:
    """Guards against a refusal that a caller takes for a lost request."""

    async def main() -> None:
        started = anyio.Event()

        async def wait(_exchange: http_server.Exchange) -> None:
            started.set()
            await anyio.sleep(20.0)

        server = http_server.Server(wait)
        server.quota.max_connections = 1
        with listener.listen("127.0.0.1", 0) as raw_socket:
            port = raw_socket.getsockname()[1]
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(server.serve, f"127.0.0.1:{port}")
            while server.accept_scope is None:
                await anyio.sleep(0.01)
            first = await anyio.connect_tcp("127.0.0.1", port)
            await first.send(HEAD + b"Content-Length: 0\r\n\r\n")
            await started.wait()
            answer = await _send_all(port, b"")
            assert answer.startswith(b"HTTP/1.1 503")
            assert server.active_requests == 1
            await first.aclose()
            task_group.cancel_scope.cancel()

    anyio.run(main)
