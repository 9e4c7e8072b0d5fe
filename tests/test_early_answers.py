"""Answers that may not be whole, or are none, over direct paths and tunnels."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
from anyio import abc
import pytest
import scripted
import tunnel_world

from ibisknot import errors
from ibisknot import http11
from ibisknot import http_call
from ibisknot import serving
from ibisknot import tunnel

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Ibisknot-Request-Id: r1\r\n"
    b"X-Ibisknot-Response-Stamp: s\r\n"
)
"""Head of an answer without a length, which ends with its connection."""
STREAM_TYPE = b"Content-Type: text/event-stream\r\n"
EVENT = scripted.encode_event(1, "a")
UPLOAD = b"u" * 3_900_000
"""More than the buffers of both ends take."""
ROUTES = {
    "safe": scripted.make_route(
        kind=serving.SAFE, resumable=False, max_attempts=1
    ),
    "unsafe": scripted.make_route(
        kind=serving.UNSAFE, resumable=False, max_attempts=1
    ),
    "stream": scripted.make_route(resumable=False, max_attempts=1),
    "resumable": scripted.make_route(max_attempts=1),
}


def _answer(route: str) -> bytes:
    """Returns an answer of one whole event or a few bytes."""
    if route in ("stream", "resumable"):
        return HEAD + STREAM_TYPE + b"\r\n" + EVENT
    return HEAD + b"\r\npart"


async def _reset(stream: abc.SocketStream) -> None:
    http11.reset_on_close(stream)
    await anyio.aclose_forcefully(stream)


def _ends_then_resets(answer: bytes) -> scripted.Script:
    """Answers at once, ends its direction, and resets a while later."""

    async def script(stream: abc.SocketStream, _head: bytes) -> None:
        await stream.send(answer)
        await stream.send_eof()
        await anyio.sleep(0.2)
        await _reset(stream)

    return script


def _resets(answer: bytes) -> scripted.Script:
    """Answers at once, and resets the connection."""

    async def script(stream: abc.SocketStream, _head: bytes) -> None:
        await stream.send(answer)
        await anyio.sleep(0.1)
        await _reset(stream)

    return script


def _closes(answer: bytes) -> scripted.Script:
    """Answers at once, and closes with the upload unread."""

    async def script(stream: abc.SocketStream, _head: bytes) -> None:
        await stream.send(answer)
        await stream.aclose()

    return script


def _reads_a_part(answer: bytes) -> scripted.Script:
    """Reads slowly, answers in the middle, and ends its direction."""

    async def script(stream: abc.SocketStream, _head: bytes) -> None:
        for _ in range(10):
            await stream.receive(10_000)
            await anyio.sleep(0.01)
        await stream.send(answer)
        await stream.send_eof()
        await anyio.sleep(1.0)
        await _reset(stream)

    return script


def _reads_all(answer: bytes) -> scripted.Script:
    """Answers before it has read the upload, which it then does."""

    async def script(stream: abc.SocketStream, head: bytes) -> None:
        await stream.send(answer)
        received = len(head.partition(b"\r\n\r\n")[2])
        while received < len(UPLOAD):
            received += len(await stream.receive())
        await stream.aclose()

    return script


def _run(
    script: scripted.Script,
    route: serving.Route,
    check: Callable[[str], Awaitable[None]],
    *,
    through_tunnel: bool,
) -> None:
    """Runs a check of a forwarder before an endpoint, by its address."""

    async def main() -> None:
        endpoint = scripted.ScriptedEndpoint("e0", [script])
        async with tunnel_world.fleet(endpoint) as (caller, _helper):
            connector = caller.connector

            async def connect(
                address: str, max_s: float | None, _: frozenset[str] | None
            ) -> http_call.Connection:
                if not through_tunnel:
                    stream = await http11.connect(
                        address, scripted.CONNECT_TIMEOUT_S
                    )
                    return http_call.Connection(stream)
                helper = connector.view.members["g1"]
                _state, opened = await tunnel.connect(
                    connector.peers, helper.address, address, max_s=max_s
                )
                assert opened is not None
                return http_call.Connection(opened, is_direct=False)

            paths = connector.http_paths()
            paths.connect = connect
            async with anyio.create_task_group() as task_group:
                address = await scripted.serve_forwarder(
                    scripted.ScriptedTickets([endpoint]),
                    route,
                    task_group,
                    paths,
                )
                await check(address)
                task_group.cancel_scope.cancel()

    anyio.run(main)


@pytest.mark.parametrize("through_tunnel", [False, True])
@pytest.mark.parametrize("route", ROUTES)
@pytest.mark.parametrize(
    "make", [_ends_then_resets, _resets, _closes, _reads_a_part]
)
def test_answer_before_the_upload_was_read_does_not_look_complete(
    make: Callable[[bytes], scripted.Script], route: str, through_tunnel: bool
) -> None:
    """Guards against a part of an answer that a caller takes for the whole.

    The endpoint ends the connection while the request is being written.
    """

    async def check(address: str) -> None:
        try:
            status, _ = await scripted.send_request(address, UPLOAD)
        except errors.EndpointError:
            return
        assert status == 502

    _run(
        make(_answer(route)),
        ROUTES[route],
        check,
        through_tunnel=through_tunnel,
    )


@pytest.mark.parametrize("through_tunnel", [False, True])
@pytest.mark.parametrize("route", ROUTES)
def test_early_answer_of_an_endpoint_that_reads_on_is_whole(
    route: str, through_tunnel: bool
) -> None:
    """Guards against breaking off answers that come before a long upload."""
    answer = _answer(route)

    async def check(address: str) -> None:
        status, body = await scripted.send_request(address, UPLOAD)
        assert (status, body) == (200, answer.partition(b"\r\n\r\n")[2])

    _run(
        _reads_all(answer), ROUTES[route], check, through_tunnel=through_tunnel
    )


@pytest.mark.parametrize("through_tunnel", [False, True])
def test_answer_to_a_short_request_may_end_with_its_connection(
    through_tunnel: bool,
) -> None:
    """Guards against breaking off answers that have no length."""

    async def check(address: str) -> None:
        assert (await scripted.send_request(address))[0] == 200

    _run(
        scripted.script_bytes(_answer("safe"), closes=True),
        ROUTES["safe"],
        check,
        through_tunnel=through_tunnel,
    )


@pytest.mark.parametrize("through_tunnel", [False, True])
@pytest.mark.parametrize(
    "status",
    ["0", "00", "000", "099", "100", "101", "199", "600", "999", "1000", "-20"],
)
def test_status_of_no_answer_does_not_reach_the_caller(
    status: str, through_tunnel: bool
) -> None:
    """Guards against bytes that a caller takes for an answer."""
    data = HEAD.replace(b"200 OK", status.encode() + b" Odd")

    async def check(address: str) -> None:
        found, body = await scripted.send_request(address)
        assert found == 502
        assert body != b"odd"

    _run(
        scripted.script_bytes(
            data + b"Content-Length: 3\r\n\r\nodd", closes=True
        ),
        ROUTES["unsafe"],
        check,
        through_tunnel=through_tunnel,
    )
