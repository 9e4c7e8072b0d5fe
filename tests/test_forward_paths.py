"""Forwarding over paths that are lost: what callers and schedulers are told."""

from collections.abc import Awaitable
from collections.abc import Callable

import scripted

from ibisknot import admission
from ibisknot import errors
from ibisknot import forward
from ibisknot import http11
from ibisknot import http_call

EVENT = scripted.encode_event(1, "a")


def _paths(
    connect: Callable[
        [str, float | None, frozenset[str] | None],
        Awaitable[http_call.Connection],
    ],
) -> http_call.Paths:
    """Returns paths of which every one that breaks was lost."""

    async def is_lost(_address: str) -> bool:
        return True

    return http_call.Paths(
        connect=connect,
        check_soon=lambda _address: None,
        is_lost=is_lost,
        is_known_lost=lambda _address: False,
        record_received=lambda: None,
        is_silent=lambda _seconds: False,
    )


async def _connect(
    address: str, _max_s: float | None, _allowed: frozenset[str] | None
) -> http_call.Connection:
    stream = await http11.connect(address, scripted.CONNECT_TIMEOUT_S)
    return http_call.Connection(stream)


def _endpoints(*scripts: scripted.Script) -> list[scripted.ScriptedEndpoint]:
    return [
        scripted.ScriptedEndpoint(f"e{n}", [script])
        for n, script in enumerate(scripts)
    ]


def test_request_without_any_path_is_refused_at_once() -> None:
    """Guards against a hopeless request that tries one endpoint after another.

    The schedulers must not hear that the endpoints are unreachable.
    """

    async def refuse(
        _address: str, _max_s: float | None, _allowed: frozenset[str] | None
    ) -> http_call.Connection:
        raise errors.PathLostError("no path", ran=errors.NOT_RUN)

    async def check(address: str, tickets: scripted.ScriptedTickets) -> None:
        status, body = await scripted.send_request(address)
        assert (status, body) == (503, b"endpoint_path_lost")
        assert (
            tickets.outcomes == [admission.CANCELLED] * forward.MAX_LOST_PATHS
        )

    scripted.run_forwarder(
        _endpoints(*[scripted.script_stream(EVENT)] * 6),
        scripted.make_route(),
        check,
        _paths(refuse),
    )


def test_stream_goes_on_after_its_path_was_lost() -> None:
    """Guards against a cut that counts as a failure of the endpoint."""
    first, second = _endpoints(
        scripted.script_stream(EVENT, ends=False),
        scripted.script_stream(scripted.encode_event(2, "b")),
    )

    async def check(address: str, tickets: scripted.ScriptedTickets) -> None:
        status, body = await scripted.send_request(address)
        assert status == 200
        assert body == EVENT + scripted.encode_event(2, "b")
        assert b"Last-Event-Id: 1" in second.received_heads[0]
        assert tickets.outcomes == [admission.CANCELLED, admission.OK]

    scripted.run_forwarder(
        [first, second], scripted.make_route(), check, _paths(_connect)
    )


def test_request_that_ran_before_its_path_was_lost_gets_no_503() -> None:
    """Guards against a 503, which states that a request has not run."""
    calls: list[str] = []

    async def connect_once(
        address: str, max_s: float | None, allowed: frozenset[str] | None
    ) -> http_call.Connection:
        calls.append(address)
        if len(calls) > 1:
            raise errors.PathLostError("no path", ran=errors.NOT_RUN)
        return await _connect(address, max_s, allowed)

    async def check(address: str, _tickets: scripted.ScriptedTickets) -> None:
        status, _ = await scripted.send_request(address)
        assert status == 502
        assert len(calls) == 1 + forward.MAX_LOST_PATHS

    scripted.run_forwarder(
        _endpoints(*[scripted.close_connection] * 4),
        scripted.make_route(max_attempts=4),
        check,
        _paths(connect_once),
    )


def test_unsafe_request_is_not_sent_again_after_a_lost_path() -> None:
    """Guards against a request that runs twice over two paths."""
    first, second = _endpoints(
        scripted.close_connection, scripted.script_stream(EVENT)
    )

    async def check(address: str, _tickets: scripted.ScriptedTickets) -> None:
        status, _ = await scripted.send_request(address)
        assert status == 502
        assert second.received_heads == []

    scripted.run_forwarder(
        [first, second],
        scripted.make_route(resumable=False),
        check,
        _paths(_connect),
    )
