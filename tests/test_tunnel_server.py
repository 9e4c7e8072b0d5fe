"""Tunnels through real sockets: ends, losses, and who is let through."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
from anyio import abc
import pytest
import scripted
import tunnel_world

from ibisknot import endpoint_paths
from ibisknot import http11
from ibisknot import tunnel
from ibisknot.gen.fleet import ttypes

State = ttypes.TunnelState
REQUEST = b"GET / HTTP/1.1\r\n\r\n"


def _run(
    script: scripted.Script,
    check: Callable[
        [tunnel_world.Process, tunnel.Stream, scripted.ScriptedEndpoint],
        Awaitable[None],
    ],
) -> None:
    """Opens a tunnel to an endpoint and runs a check of it."""

    async def main() -> None:
        endpoint = scripted.ScriptedEndpoint("e0", [script])
        async with tunnel_world.fleet(endpoint) as (caller, helper):
            state, stream = await _open(caller, endpoint.address)
            assert state == State.OPENED
            assert stream is not None
            with anyio.fail_after(10.0):
                await check(helper, stream, endpoint)
            await http11.close_abruptly(stream)

    anyio.run(main)


async def _open(
    caller: tunnel_world.Process, address: str, max_s: float | None = None
) -> tuple[int, tunnel.Stream | None]:
    connector = caller.connector
    helper = connector.view.members["g1"]
    return await tunnel.connect(
        connector.peers, helper.address, address, max_s=max_s
    )


async def _wait_for(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(10.0):
        while not condition():
            await anyio.sleep(0.01)


def test_large_answer_is_relayed_unchanged() -> None:
    """Guards against bytes that are lost or repeated at frame borders."""
    answer = bytes(range(256)) * 12_000

    async def check(
        _helper: tunnel_world.Process,
        stream: tunnel.Stream,
        endpoint: scripted.ScriptedEndpoint,
    ) -> None:
        await stream.send(REQUEST)
        received = b""
        with pytest.raises(anyio.EndOfStream):
            while True:
                received += await stream.receive(1000)
        assert received == answer
        assert endpoint.received_heads == [REQUEST]

    _run(scripted.script_bytes(answer, closes=True), check)


async def _reset(stream: abc.SocketStream, _head: bytes) -> None:
    await stream.send(b"part")
    # The reset must not overtake the data.
    await anyio.sleep(0.1)
    http11.reset_on_close(stream)
    await anyio.aclose_forcefully(stream)


def test_reset_by_the_endpoint_does_not_look_like_an_end() -> None:
    """Guards against half an answer that looks complete."""

    async def check(
        _helper: tunnel_world.Process,
        stream: tunnel.Stream,
        _endpoint: scripted.ScriptedEndpoint,
    ) -> None:
        await stream.send(REQUEST)
        assert await stream.receive() == b"part"
        with pytest.raises(anyio.BrokenResourceError) as raised:
            await stream.receive()
        assert not isinstance(raised.value, http11.PathLostError)

    _run(_reset, check)


def test_loss_of_the_helper_is_not_blamed_on_the_endpoint() -> None:
    """Guards against an end or a break that no endpoint has caused."""

    async def check(
        helper: tunnel_world.Process,
        stream: tunnel.Stream,
        _endpoint: scripted.ScriptedEndpoint,
    ) -> None:
        helper.scope.cancel()
        with pytest.raises(http11.PathLostError):
            await stream.receive()

    _run(scripted.close_connection, check)


def test_endpoint_is_left_when_the_caller_leaves() -> None:
    """Guards against work for callers that are gone, over both hops."""
    ended = anyio.Event()

    async def wait_for_end(stream: abc.SocketStream, _head: bytes) -> None:
        try:
            await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            ended.set()

    async def check(
        helper: tunnel_world.Process,
        stream: tunnel.Stream,
        _endpoint: scripted.ScriptedEndpoint,
    ) -> None:
        await stream.send(REQUEST)
        await anyio.sleep(0.05)
        assert helper.tunnels.open_tunnels == 1
        await http11.close_abruptly(stream)
        await ended.wait()
        await _wait_for(lambda: not helper.tunnels.open_tunnels)

    _run(wait_for_end, check)


def test_process_that_stops_waits_for_its_tunnels() -> None:
    """Guards against streams that are cut by the planned stop of a helper."""

    async def main() -> None:
        endpoint = scripted.ScriptedEndpoint("e0", [])
        async with tunnel_world.fleet(endpoint) as (caller, helper):
            _, stream = await _open(caller, endpoint.address)
            assert stream is not None
            clock = helper.connector.clock
            await helper.tunnels.drain(clock.now() + 0.1)
            assert helper.tunnels.open_tunnels == 1
            await http11.close_abruptly(stream)
            await helper.tunnels.drain(clock.now() + 10.0)
            assert helper.tunnels.open_tunnels == 0

    anyio.run(main)


def test_tunnel_ends_at_the_deadline_of_its_request() -> None:
    """Guards against work for a caller that vanished without a word."""

    async def main() -> None:
        endpoint = scripted.ScriptedEndpoint("e0", [])
        async with tunnel_world.fleet(endpoint) as (caller, helper):
            _, stream = await _open(caller, endpoint.address, max_s=0.05)
            assert stream is not None
            await _wait_for(lambda: not helper.tunnels.open_tunnels)
            with pytest.raises(http11.PathLostError):
                await stream.receive()

    anyio.run(main)


@pytest.mark.parametrize(
    ("prepare", "expected"),
    [
        (lambda helper: None, State.OPENED),
        (lambda helper: setattr(helper, "is_stopping", True), State.REFUSED),
        (
            lambda helper: setattr(helper.tunnels, "open_tunnels", 10_000),
            State.REFUSED,
        ),
        (
            lambda helper: setattr(helper.connector, "cut", "refuse"),
            State.CUT_OFF,
        ),
        (
            lambda helper: helper.connector.paths.lost_s.update(
                {"a:1": 1e9, "b:1": 1e9}
            ),
            State.CUT_OFF,
        ),
    ],
    ids=["idle", "stopping", "full", "cut off", "known as cut off"],
)
def test_helper_says_whether_it_can_help(
    prepare: Callable[[tunnel_world.Process], None], expected: int
) -> None:
    """Guards against a helper that is asked in vain again and again."""

    async def main() -> None:
        endpoints = [
            scripted.ScriptedEndpoint(name, []) for name in ("e0", "e1")
        ]
        async with tunnel_world.fleet(*endpoints) as (caller, helper):
            prepare(helper)
            state, stream = await _open(caller, endpoints[0].address)
            assert state == expected
            if stream is not None:
                await http11.close_abruptly(stream)

    anyio.run(main)


def test_helper_with_links_says_that_an_endpoint_is_down() -> None:
    """Guards against a dead endpoint that looks like a lost path."""

    async def main() -> None:
        endpoints = [
            scripted.ScriptedEndpoint(name, []) for name in ("e0", "e1")
        ]
        async with tunnel_world.fleet(*endpoints) as (caller, _helper):
            dead = endpoints[0]
            assert dead.listener is not None
            await dead.listener.aclose()
            state, _ = await _open(caller, dead.address)
            assert state == State.UNREACHABLE

    anyio.run(main)


def test_tunnels_lead_to_listed_endpoints_only() -> None:
    """Guards against a process that connects to any address it is told."""

    async def main() -> None:
        listed = scripted.ScriptedEndpoint("e0", [])
        other = scripted.ScriptedEndpoint("e1", [])
        async with tunnel_world.fleet(listed) as (caller, helper):
            async with scripted.serving_endpoints(other):
                state, _ = await _open(caller, other.address)
            assert state == State.REFUSED
            assert helper.connector.direct_attempts == []

    anyio.run(main)


def test_helper_uses_no_helper_of_its_own() -> None:
    """Guards against a request that goes over more than one hop."""

    async def main() -> None:
        endpoint = scripted.ScriptedEndpoint("e0", [])
        async with tunnel_world.fleet(endpoint, helpers=2) as processes:
            for process in processes[:2]:
                process.connector.cut = tunnel_world.REFUSE
            await _open(processes[0], endpoint.address)
            assert processes[2].connector.direct_attempts == []
            assert not endpoint_paths.is_cut_off(processes[1].connector.paths)

    anyio.run(main)
