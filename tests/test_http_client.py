"""Time without progress, and checked answers, of the HTTP client."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
from anyio import abc
import pytest

from ibisknot import errors
from ibisknot import http11
from ibisknot import http_call
from ibisknot import http_client

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
Script = Callable[[abc.SocketStream], Awaitable[None]]


def _run(script: Script, check: Callable[[str], Awaitable[None]]) -> None:
    """Serves each connection by a script, and runs a check."""

    async def serve(stream: abc.SocketStream) -> None:
        async with stream:
            try:
                await script(stream)
            except (anyio.BrokenResourceError, anyio.EndOfStream):
                return

    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            task_group.start_soon(listener.serve, serve)
            await check(f"127.0.0.1:{port}")
            task_group.cancel_scope.cancel()

    anyio.run(main)


def _call(address: str, **fields: object) -> http_call.Call:
    return http_call.Call(
        address,
        b"GET",
        b"/",
        [(b"Host", b"h")],
        **fields,  # type: ignore[arg-type]
    )


async def _trickle(stream: abc.SocketStream) -> None:
    await stream.receive()
    await stream.send(HEAD)
    for _ in range(40):
        await anyio.sleep(0.05)
        await stream.send(b"1\r\n:\r\n")
    await stream.send(b"0\r\n\r\n")
    await anyio.sleep(5.0)


def test_data_that_is_not_useful_does_not_keep_a_call_alive() -> None:
    """Guards against an endpoint that sends a byte now and then for ever."""

    async def check(address: str) -> None:
        call = _call(address, read_timeout_s=0.4, needs_useful_data=True)
        async with http_client.Client().send(call) as response:
            with pytest.raises(errors.StalledError):
                await response.read_body(1000)

    _run(_trickle, check)


def test_reported_progress_keeps_a_call_alive() -> None:
    """Guards against cutting a slow response that its reader can use."""

    async def check(address: str) -> None:
        call = _call(address, read_timeout_s=0.4, needs_useful_data=True)
        received = b""
        async with http_client.Client().send(call) as response:
            async for chunk in response.chunks():
                received += chunk
                response.record_progress()
        assert received == b":" * 40

    _run(_trickle, check)


def test_data_that_came_during_a_pause_of_the_process_is_read() -> None:
    """Guards against giving up sound work after the own process was paused."""

    async def script(stream: abc.SocketStream) -> None:
        await stream.receive()
        await stream.send(HEAD + b"2\r\nok\r\n")
        await anyio.sleep(0.1)
        await stream.send(b"0\r\n\r\n")
        await anyio.sleep(5.0)

    async def check(address: str) -> None:
        call = _call(address, read_timeout_s=0.3, needs_useful_data=True)
        async with http_client.Client().send(call) as response:
            await anyio.sleep(0.6)
            assert await response.read_body(1000) == b"ok"

    _run(script, check)


def test_silent_server_is_a_stall() -> None:
    """Guards against waiting without end for a head."""

    async def script(stream: abc.SocketStream) -> None:
        await stream.receive()
        await anyio.sleep(5.0)

    async def check(address: str) -> None:
        call = _call(address, read_timeout_s=0.2)
        with pytest.raises(errors.StalledError) as raised:
            await http_client.Client().fetch(call)
        assert raised.value.ran == errors.UNKNOWN

    _run(script, check)


def test_connection_of_an_answer_that_fails_its_check_is_not_reused() -> None:
    """Guards against a late copy of an answer that shifts all later ones."""
    opened: list[int] = []

    async def script(stream: abc.SocketStream) -> None:
        opened.append(1)
        while True:
            await stream.receive()
            await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    def refuse(_status: int, _body: bytes) -> None:
        raise errors.KeyValueError("another answer")

    async def check(address: str) -> None:
        client = http_client.Client()
        with pytest.raises(errors.KeyValueError):
            await client.fetch(_call(address), check=refuse)
        await client.fetch(_call(address))
        await client.fetch(_call(address))
        assert len(opened) == 2

    _run(script, check)


SIZED_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"X-Ibisknot-Request-Id: r1\r\nContent-Length: 12\r\n\r\n"
)


@pytest.mark.parametrize("is_reset", [False, True])
def test_head_that_ends_in_its_middle_is_no_response(is_reset: bool) -> None:
    """Guards against a cut head that is relayed as a whole, empty answer."""

    async def check() -> None:
        async with anyio.create_task_group() as task_group:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            sizes = iter(range(len(SIZED_HEAD)))

            async def serve(stream: anyio.abc.SocketStream) -> None:
                async with stream:
                    await stream.receive()
                    await stream.send(SIZED_HEAD[: next(sizes)])
                    if is_reset:
                        http11.reset_on_close(stream)

            task_group.start_soon(listener.serve, serve)
            client = http_client.Client(connect_timeout_s=5.0)
            for _ in range(len(SIZED_HEAD)):
                call = http_call.Call(
                    address=f"127.0.0.1:{port}",
                    method=b"POST",
                    target=b"/",
                    headers=[(b"Host", b"h")],
                )
                with pytest.raises(errors.EndpointError):
                    await client.fetch(call)
            task_group.cancel_scope.cancel()

    anyio.run(check)
