"""Connections over lost paths, and what a failure says of the endpoint."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import pytest
import scripted
import tunnel_world

from ibisknot import endpoint_paths
from ibisknot import errors
from ibisknot import http11
from ibisknot import http_call
from ibisknot import http_client

World = list[tunnel_world.Process]
Endpoints = list[scripted.ScriptedEndpoint]


def _run(
    check: Callable[[World, Endpoints], Awaitable[None]], *, helpers: int = 1
) -> None:
    """Runs a check of processes before three endpoints."""

    async def main() -> None:
        endpoints = [
            scripted.ScriptedEndpoint(name, []) for name in ("e0", "e1", "e2")
        ]
        async with tunnel_world.fleet(*endpoints, helpers=helpers) as processes:
            with anyio.fail_after(20.0):
                await check(processes, endpoints)

    anyio.run(main)


async def _stop(endpoint: scripted.ScriptedEndpoint) -> None:
    assert endpoint.listener is not None
    await endpoint.listener.aclose()


@pytest.mark.parametrize("cut", [tunnel_world.HANG, tunnel_world.REFUSE])
def test_cut_off_process_connects_through_another_one(cut: str) -> None:
    """Guards against a gateway that serves nothing without own links."""

    async def check(processes: World, endpoints: Endpoints) -> None:
        connector = processes[0].connector
        connector.cut = cut
        for endpoint in endpoints:
            connection = await connector.connect(endpoint.address, None)
            assert not connection.is_direct
            await http11.close_abruptly(connection.stream)
            await connector.is_path_lost(endpoint.address)
        assert endpoint_paths.is_cut_off(connector.paths)

    _run(check)


def test_dead_endpoint_is_not_taken_for_a_lost_path() -> None:
    """Guards against requests that go on to an endpoint that is down."""

    async def check(processes: World, endpoints: Endpoints) -> None:
        await _stop(endpoints[0])
        with pytest.raises(errors.EndpointError) as raised:
            await processes[0].connector.connect(endpoints[0].address, None)
        assert not isinstance(raised.value, errors.PathLostError)
        assert raised.value.ran == errors.NOT_RUN
        assert not processes[0].connector.paths.lost_s

    _run(check)


def test_unreachable_endpoint_is_not_blamed_when_all_are_cut_off() -> None:
    """Guards against sound endpoints that are closed to all gateways."""

    async def check(processes: World, endpoints: Endpoints) -> None:
        for process in processes:
            process.connector.cut = tunnel_world.REFUSE
        with pytest.raises(errors.PathLostError):
            await processes[0].connector.connect(endpoints[0].address, None)

    _run(check)


def test_single_process_blames_the_endpoint() -> None:
    """Guards against a dead endpoint that nobody ever reports."""

    async def check(processes: World, endpoints: Endpoints) -> None:
        processes[0].connector.cut = tunnel_world.REFUSE
        with pytest.raises(errors.EndpointError) as raised:
            await processes[0].connector.connect(endpoints[0].address, None)
        assert not isinstance(raised.value, errors.PathLostError)

    _run(check, helpers=0)


def test_helper_that_dies_is_replaced() -> None:
    """Guards against requests that fail with the only helper in use."""

    async def check(processes: World, endpoints: Endpoints) -> None:
        connector = processes[0].connector
        connector.cut = tunnel_world.REFUSE
        processes[1].scope.cancel()
        opened = [
            await connector.connect(endpoint.address, None)
            for endpoint in endpoints
        ]
        assert processes[2].tunnels.open_tunnels == len(endpoints)
        for connection in opened:
            await http11.close_abruptly(connection.stream)

    _run(check, helpers=2)


def test_helpers_share_the_load() -> None:
    """Guards against one helper that carries all of a cut zone."""

    async def check(processes: World, endpoints: Endpoints) -> None:
        connector = processes[0].connector
        connector.cut = tunnel_world.REFUSE
        opened = [
            await connector.connect(endpoints[0].address, None)
            for _ in range(30)
        ]
        counts = [process.tunnels.open_tunnels for process in processes[1:]]
        assert sum(counts) == 30
        assert min(counts) >= 3
        for connection in opened:
            await http11.close_abruptly(connection.stream)

    _run(check, helpers=3)


def test_links_are_used_again_when_they_are_back() -> None:
    """Guards against tunnels that outlive the cut."""

    async def check(processes: World, endpoints: Endpoints) -> None:
        connector = processes[0].connector
        connector.cut = tunnel_world.REFUSE
        for endpoint in endpoints[:2]:
            connection = await connector.connect(endpoint.address, None)
            await http11.close_abruptly(connection.stream)
        assert endpoint_paths.is_cut_off(connector.paths)
        connector.cut = ""
        connector.paths.next_probe_s = 0.0
        while connector.paths.lost_s:
            connection = await connector.connect(endpoints[2].address, None)
            await http11.close_abruptly(connection.stream)
            await anyio.sleep(0.01)
        connection = await connector.connect(endpoints[0].address, None)
        assert connection.is_direct
        await http11.close_abruptly(connection.stream)

    _run(check)


async def _never(_stream: object, _head: bytes) -> None:
    await anyio.sleep_forever()


def _call(
    endpoint: scripted.ScriptedEndpoint, *, may_run_again: bool = True
) -> http_call.Call:
    return http_call.Call(
        read_timeout_s=30.0 if may_run_again else None,
        address=endpoint.address,
        method=b"POST",
        target=b"/",
        headers=[(b"Host", b"h")],
    )


def _client(process: tunnel_world.Process) -> http_client.Client:
    client = http_client.Client(paths=process.connector.http_paths())
    process.connector.loss_callbacks.append(client.on_path_lost)
    return client


def test_request_that_waits_on_a_lost_path_ends_early() -> None:
    """Guards against requests that hang until their deadline in a cut."""

    async def check(processes: World, endpoints: Endpoints) -> None:
        endpoints[0].scripts = [_never]
        client = _client(processes[0])

        async def cut_links() -> None:
            await anyio.sleep(0.1)
            processes[0].connector.cut = tunnel_world.HANG

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(cut_links)
            with pytest.raises(errors.PathLostError) as raised:
                await client.fetch(_call(endpoints[0]))
        assert raised.value.ran == errors.UNKNOWN

    _run(check)


def test_call_that_may_run_once_outlives_the_path_for_new_connections() -> None:
    """Guards against answers that are cut although they still arrive."""

    async def answer_late(stream: object, _head: bytes) -> None:
        await anyio.sleep(0.7)
        await scripted.script_bytes(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        )(stream, b"")  # type: ignore[arg-type]

    async def check(processes: World, endpoints: Endpoints) -> None:
        connector = processes[0].connector
        endpoints[0].scripts = [answer_late]
        client = _client(processes[0])

        async def lose_path() -> None:
            await anyio.sleep(0.1)
            connector._record_received()
            connector._record_lost(endpoints[0].address)

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(lose_path)
            call = _call(endpoints[0], may_run_again=False)
            assert await client.fetch(call) == (200, b"ok")

    _run(check)


def test_silent_endpoint_is_not_taken_for_a_lost_path() -> None:
    """Guards against a cut answer of a sound endpoint that pauses."""

    async def answer_late(stream: object, _head: bytes) -> None:
        await anyio.sleep(1.5)
        await scripted.script_bytes(
            b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        )(stream, b"")  # type: ignore[arg-type]

    async def check(processes: World, endpoints: Endpoints) -> None:
        endpoints[0].scripts = [answer_late]
        client = _client(processes[0])
        assert await client.fetch(_call(endpoints[0])) == (200, b"ok")

    _run(check)


def test_answer_that_breaks_off_in_a_cut_is_not_the_endpoints_fault() -> None:
    """Guards against sound prompts and endpoints that a cut makes suspect."""

    async def check(processes: World, endpoints: Endpoints) -> None:
        connector = processes[0].connector

        async def cut_off(stream: object, head: bytes) -> None:
            connector.cut = tunnel_world.REFUSE
            await scripted.close_connection(stream, head)  # type: ignore[arg-type]

        endpoints[0].scripts = [cut_off]
        with pytest.raises(errors.PathLostError):
            await _client(processes[0]).fetch(_call(endpoints[0]))

    _run(check)


def test_answer_that_breaks_off_is_the_endpoints_fault() -> None:
    """Guards against crashes that are never seen."""

    async def check(processes: World, endpoints: Endpoints) -> None:
        endpoints[0].scripts = [scripted.close_connection]
        with pytest.raises(errors.EndpointError) as raised:
            await _client(processes[0]).fetch(_call(endpoints[0]))
        assert not isinstance(raised.value, errors.PathLostError)

    _run(check)
