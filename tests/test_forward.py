"""Forwarding: retries, resumed streams and true refusals."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
from anyio import abc
import pytest
import scripted

from ibisknot import errors
from ibisknot import serving


def _stream(*pieces: bytes, ends: bool = True) -> scripted.Script:
    async def script(stream: abc.SocketStream, _head: bytes) -> None:
        await stream.send(scripted.STREAM_HEAD)
        for piece in pieces:
            await stream.send(scripted.encode_chunk(piece))
            await anyio.sleep(0.01)
        if ends:
            await stream.send(scripted.STREAM_END)
        else:
            await stream.aclose()

    return script


def _raw(data: bytes, *, closes: bool = False) -> scripted.Script:
    async def script(stream: abc.SocketStream, _head: bytes) -> None:
        await stream.send(data)
        if closes:
            await stream.aclose()

    return script


async def _close(stream: abc.SocketStream, _head: bytes) -> None:
    await stream.aclose()


def _run(
    endpoints: list[scripted.ScriptedEndpoint],
    found: serving.Route,
    check: Callable[[str, scripted.ScriptedTickets], Awaitable[None]],
) -> None:
    async def main() -> None:
        async with scripted.serving_endpoints(*endpoints):
            async with anyio.create_task_group() as group:
                places = scripted.ScriptedTickets(endpoints)
                address = await scripted.serve_forwarder(places, found, group)
                await check(address, places)
                group.cancel_scope.cancel()

    anyio.run(main)


def test_resumed_stream_drops_the_half_event_of_the_first_endpoint() -> None:
    """Guards against joining half an event with another endpoint's bytes."""
    first = scripted.ScriptedEndpoint(
        "e1",
        [_stream(scripted.encode_event(1, "a") + b"id: 2\ndat", ends=False)],
    )
    second = scripted.ScriptedEndpoint(
        "e2", [_stream(scripted.encode_event(2, "b"))]
    )

    async def check(address: str, _places: scripted.ScriptedTickets) -> None:
        status, body = await scripted.send_request(address)
        assert status == 200
        assert body == scripted.encode_event(1, "a") + scripted.encode_event(
            2, "b"
        )
        assert b"last-event-id: 1" in second.received_heads[0].lower()

    _run([first, second], scripted.make_route(), check)


def test_stream_that_may_not_be_resumed_is_cut() -> None:
    """Guards against an answer that looks whole, and against a second run."""
    first = scripted.ScriptedEndpoint(
        "e1", [_stream(scripted.encode_event(1, "a"), ends=False)]
    )
    second = scripted.ScriptedEndpoint(
        "e2", [_stream(scripted.encode_event(2, "b"))]
    )

    async def check(address: str, _places: scripted.ScriptedTickets) -> None:
        with pytest.raises(errors.EndpointError):
            await scripted.send_request(address)
        assert second.received_heads == []

    _run([first, second], scripted.make_route(resumable=False), check)


def test_request_that_may_have_run_is_not_said_to_be_refused() -> None:
    """Guards against a 503 for a request that an endpoint may have run."""
    first = scripted.ScriptedEndpoint("e1", [_close])
    second = scripted.ScriptedEndpoint(
        "e2", [_stream(scripted.encode_event(1, "a"))]
    )

    async def check(address: str, _places: scripted.ScriptedTickets) -> None:
        status, _ = await scripted.send_request(address)
        assert status == 502
        assert second.received_heads == []

    _run([first, second], scripted.make_route(resumable=False), check)


def test_refusal_of_an_endpoint_is_tried_elsewhere() -> None:
    """Guards against giving up a request that no endpoint has run."""
    refusal = (
        b"HTTP/1.1 503 Busy\r\nX-Ibisknot-Request-Id: r1\r\n"
        b"X-Ibisknot-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    )
    first = scripted.ScriptedEndpoint("e1", [_raw(refusal)])
    second = scripted.ScriptedEndpoint(
        "e2", [_stream(scripted.encode_event(1, "a"))]
    )

    async def check(address: str, _places: scripted.ScriptedTickets) -> None:
        status, body = await scripted.send_request(address)
        assert (status, body) == (200, scripted.encode_event(1, "a"))

    _run(
        [first, second],
        scripted.make_route(resumable=False, max_attempts=1),
        check,
    )


def test_request_that_fails_wherever_it_runs_is_refused() -> None:
    """Guards against a resent request that crashes one engine after another."""
    endpoints = [scripted.ScriptedEndpoint(f"e{n}", [_close]) for n in range(6)]

    async def check(address: str, _places: scripted.ScriptedTickets) -> None:
        statuses = [(await scripted.send_request(address))[0] for _ in range(4)]
        assert statuses == [502, 502, 502, 503]
        assert sum(len(e.received_heads) for e in endpoints) == 3

    _run(endpoints, scripted.make_route(resumable=False), check)


def test_late_answer_to_an_earlier_request_is_passed_over() -> None:
    """Guards against relaying an answer that belongs to another request."""
    stale = (
        b"HTTP/1.1 200 OK\r\nX-Ibisknot-Request-Id: r0\r\n"
        b"Content-Length: 5\r\n\r\nstale"
    )
    own = (
        b"HTTP/1.1 200 OK\r\nX-Ibisknot-Request-Id: r1\r\n"
        b"Content-Length: 3\r\n\r\nown"
    )
    first = scripted.ScriptedEndpoint("e1", [_raw(stale + own)])

    async def check(address: str, _places: scripted.ScriptedTickets) -> None:
        assert await scripted.send_request(address) == (200, b"own")

    _run([first], scripted.make_route(resumable=False), check)


def test_failure_of_an_endpoint_is_returned_unchanged() -> None:
    """Guards against another status than the one that the endpoint gave."""
    failure = (
        b"HTTP/1.1 500 Oops\r\nX-Ibisknot-Request-Id: r1\r\n"
        b"X-Ibisknot-Response-Stamp: s\r\nContent-Length: 2\r\n\r\nno"
    )
    first = scripted.ScriptedEndpoint("e1", [_raw(failure)])

    async def check(address: str, places: scripted.ScriptedTickets) -> None:
        assert await scripted.send_request(address) == (500, b"no")
        assert places.outcomes == ["failed"]

    _run([first], scripted.make_route(resumable=False), check)


def test_answer_without_length_that_is_cut_is_not_whole() -> None:
    """Guards against passing on a truncated body as complete."""
    head = (
        b"HTTP/1.1 200 OK\r\nX-Ibisknot-Request-Id: r1\r\n"
        b"Content-Length: 10\r\n\r\nhalf"
    )
    first = scripted.ScriptedEndpoint("e1", [_raw(head, closes=True)])

    async def check(address: str, _places: scripted.ScriptedTickets) -> None:
        with pytest.raises(errors.EndpointError):
            await scripted.send_request(address)

    _run([first], scripted.make_route(resumable=False), check)
