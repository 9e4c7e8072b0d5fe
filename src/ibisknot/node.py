"""What every process on a platform has: view, peers, timer and shutdown."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import pathlib
import signal

import anyio
from anyio import abc

from ibisknot import deployment
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import http_client
from ibisknot import http_server
from ibisknot import logs
from ibisknot import metrics
from ibisknot import pairs
from ibisknot import peer
from ibisknot import placement
from ibisknot import store_relay
from ibisknot import timer
from ibisknot import view_runner

SETTINGS_PERIOD_S = 1.0
IDLE_PERIOD_S = 1.0
STORE_CONNECT_S = 0.5
LEAVE_S = 0.4
"""The process's entry ends by itself when the store does not answer."""


@dataclasses.dataclass(slots=True)
class Platform:
    """What an adapter provides.

    Attributes:
        load: Reads the settings at a path.
        store: Makes a client of the key-value service at an address.
    """

    settings_path: str
    load: Callable[[str], deployment.Process]
    store: Callable[[str, http_client.Client], pairs.Store]
    layout: view_runner.Layout


@dataclasses.dataclass(slots=True)
class Node:
    """The parts that a process is put together from.

    Attributes:
        group: Runs its tasks; cancelled at the end.
        client: HTTP client for endpoints and the store.
        stop: Set when shutdown was requested.
    """

    process: deployment.Process
    group: abc.TaskGroup
    clock: timer.Timer
    client: http_client.Client
    store: pairs.Store
    server: peer.Server
    peers: peer.Client
    runner: view_runner.Runner
    places: placement.Client
    stop: anyio.Event


@contextlib.asynccontextmanager
async def node(platform: Platform, *, program: str) -> AsyncIterator[Node]:
    """Starts a process's common parts and stops them at the end."""
    process = platform.load(platform.settings_path)
    logs.event(
        "started",
        program=program,
        vm=process.name,
        data_centre=process.data_centre,
        store=process.store,
    )
    clock = timer.Timer()
    client = http_client.Client()
    store_client = http_client.Client(
        connect_timeout_s=STORE_CONNECT_S, local_host=process.ip
    )
    async with anyio.create_task_group() as group:
        peers = peer.Client(group)
        server = peer.Server()
        direct = platform.store(process.store, store_client)
        view = fleetview.View()
        store = store_relay.Store(direct, view, peers, process.name, clock.now)
        store.start(server)
        runner = view_runner.Runner(
            process, store, direct, view, platform.layout, peers, clock, group
        )
        places = placement.Client(process, runner.view, peers, clock, group)
        made = Node(
            process=process,
            group=group,
            clock=clock,
            client=client,
            store=store,
            server=server,
            peers=peers,
            runner=runner,
            places=places,
            stop=anyio.Event(),
        )
        runner.start(server)
        places.start(server)

        async def close_idle(_now: float) -> None:
            await client.close_idle()
            await store_client.close_idle()

        clock.subscribe("idle", IDLE_PERIOD_S, close_idle)
        watch = _SettingsWatch(platform, process)
        clock.subscribe("settings", SETTINGS_PERIOD_S, watch.tick)
        group.start_soon(_signals, made, watch)
        group.start_soon(server.serve, process.ip, process.peer_port)
        group.start_soon(_serve_metrics, process)
        group.start_soon(clock.run)
        yield made
        with anyio.move_on_after(LEAVE_S):
            await runner.registration.leave()
        group.cancel_scope.cancel()
    logs.event("stopped", program=program, vm=process.name)
    logs.flush()


class _SettingsWatch:
    """Reads the settings file again when it has changed."""

    def __init__(self, platform: Platform, process: deployment.Process) -> None:
        self.platform = platform
        self.process = process
        self.stamp = self._stamp()

    def _stamp(self) -> tuple[int, int]:
        try:
            found = pathlib.Path(self.platform.settings_path).stat()
        except OSError:
            return (0, 0)
        return (found.st_mtime_ns, found.st_size)

    async def tick(self, _now: float) -> None:
        """Timer callback: looks whether the file has changed."""
        stamp = self._stamp()
        if stamp != self.stamp:
            self.stamp = stamp
            self.reload("file")

    def reload(self, cause: str) -> None:
        """Reads the file; what cannot change at run time is logged."""
        try:
            loaded = self.platform.load(self.platform.settings_path)
        except errors.SettingsError as error:
            logs.event("settings_invalid", level="error", cause=error.message)
            return
        changed = [
            field.name
            for field in dataclasses.fields(loaded)
            if getattr(loaded, field.name) != getattr(self.process, field.name)
        ]
        logs.event("settings_reloaded", cause=cause, changed=changed)
        # Only these may change while the process runs.
        self.process.seeds = loaded.seeds
        self.process.bounds = loaded.bounds


async def _signals(made: Node, watch: _SettingsWatch) -> None:
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as received:
        async for number in received:
            if number == signal.SIGHUP:
                watch.reload("signal")
            else:
                logs.event("stopping", signal=int(number))
                made.stop.set()


async def _serve_metrics(process: deployment.Process) -> None:
    async def handle(exchange: http_server.Exchange) -> None:
        accept = exchange.message.header(b"accept") or "text/plain"
        body, headers = metrics.render(accept)
        fields = [(k.encode(), v.encode()) for k, v in headers.items()]
        await exchange.respond(200, fields, body)

    address = f"{process.ip}:{process.metrics_port}"
    try:
        await http_server.Server(handle).serve(address)
    except OSError as error:
        logs.event("metrics_not_served", level="error", cause=repr(error))
