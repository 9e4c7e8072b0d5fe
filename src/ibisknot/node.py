"""Common parts of every process: fleet view, peers, timer, shutdown."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import pathlib
import signal

import anyio
from anyio import abc

from ibisknot import deployment
from ibisknot import endpoint_connector
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import http_client
from ibisknot import http_server
from ibisknot import isolation
from ibisknot import logs
from ibisknot import metrics
from ibisknot import pairs
from ibisknot import peer
from ibisknot import placement
from ibisknot import prompt_crash_notices
from ibisknot import prompt_crash_records
from ibisknot import software_history
from ibisknot import software_records
from ibisknot import store_layout
from ibisknot import store_relay
from ibisknot import stream_lookup
from ibisknot import stream_origins
from ibisknot import stream_records
from ibisknot import timer
from ibisknot import tunnel_server
from ibisknot import view_runner
from ibisknot.client_limits import listener
from ibisknot.client_limits import refusals
from ibisknot.locality import scopes
from ibisknot.outage import gate

SETTINGS_POLL_PERIOD_S = 1.0
IDLE_CHECK_PERIOD_S = 1.0
STORE_CONNECT_TIMEOUT_S = 0.5
DEREGISTER_TIMEOUT_S = 0.4
"""The member entry expires with its lease when the store does not respond."""


@dataclasses.dataclass(slots=True)
class Platform:
    """What an adapter of a platform provides.

    Attributes:
        settings_path: Path of the settings file.
        load_settings: Reads the settings file at a path.
        make_store: Creates a client of the key-value service at an address.
        layout: Keys and encodings of the fleet's state in the store.
    """

    settings_path: str
    load_settings: Callable[[str], deployment.Process]
    make_store: Callable[[str, http_client.Client], pairs.KeyValueStore]
    layout: store_layout.Layout


@dataclasses.dataclass(slots=True)
class Node:
    """Common parts of a running process.

    Attributes:
        process: The process's settings.
        task_group: Runs what the process cannot do without; cancelled at the
            end.
        tasks: Runs all other tasks, each as a unit of its own.
        clock: Runs periodic callbacks and returns the monotonic time.
        client: HTTP client for requests to endpoints.
        store: Key-value service, reached through peers if necessary.
        clients: Limits of the clients of all listeners.
        server: Receives messages of other processes.
        peers: Sends messages to other processes.
        runner: Keeps the process's view of the fleet up to date.
        tickets: Client that requests tickets from the schedulers.
        prompt_crashes: Parts of prompts that have crashed endpoints.
        streams: Finds out which software began a stream.
        tunnels: Connects to endpoints for other processes.
        stop_requested: Set when shutdown was requested.
    """

    process: deployment.Process
    task_group: abc.TaskGroup
    tasks: isolation.Tasks
    clock: timer.Timer
    client: http_client.Client
    store: store_relay.RelayingStore
    clients: listener.Clients
    server: peer.Server
    peers: peer.Client
    runner: view_runner.Runner
    tickets: placement.Client
    prompt_crashes: prompt_crash_notices.Notices
    streams: stream_lookup.Lookup
    tunnels: tunnel_server.Server
    stop_requested: anyio.Event


@contextlib.asynccontextmanager
async def start(platform: Platform, *, program: str) -> AsyncIterator[Node]:
    """Runs a process's common parts until the context ends.

    Args:
        platform: What the platform's adapter provides.
        program: Name of the program, for the log.

    Raises:
        SettingsError: The settings file is invalid.
    """
    process = platform.load_settings(platform.settings_path)
    logs.event(
        "started",
        program=program,
        vm=process.name,
        data_centre=process.data_centre,
        store=process.store,
    )
    clock = timer.Timer()
    store_client = http_client.Client(
        connect_timeout_s=STORE_CONNECT_TIMEOUT_S, local_host=process.ip
    )
    async with anyio.create_task_group() as task_group:
        tasks = isolation.Tasks(task_group)
        peers = peer.Client(tasks)
        clients = listener.make(process, clock.now)
        server = peer.Server(clients=clients)
        direct_store = platform.make_store(process.store, store_client)
        view = fleetview.View(bounds=process.bounds, regions=process.regions)
        peers.scope_of = scopes.of_members(view, process.data_centre)
        connector = endpoint_connector.Connector(
            view, process.name, process.data_centre, peers, clock, tasks
        )
        client = http_client.Client(paths=connector.http_paths())
        connector.loss_callbacks.append(client.on_path_lost)
        store = store_relay.RelayingStore(
            direct_store, view, peers, process.name, clock.now
        )
        store.start(server)
        clock.subscribe("store_gate", gate.CHECK_PERIOD_S, store.gate.check)
        runner = view_runner.Runner(
            process,
            store,
            direct_store,
            view,
            platform.layout,
            peers,
            clock,
            tasks,
        )
        origins = stream_origins.Table()
        tickets = placement.Client(
            process, view, peers, clock, tasks, origins=origins
        )
        stop_requested = anyio.Event()
        tunnels = tunnel_server.Server(
            view,
            connector,
            stop_requested.is_set,
            max_tunnels=tunnel_server.max_tunnels(process.descriptors),
        )
        history = software_history.History()
        software = software_records.Keeper(
            process.name, store, view, history, clock.now
        )

        async def refresh_software() -> bool:
            try:
                await runner.read_entries()
                await software.refresh()
            except errors.KeyValueError:
                return False
            return True

        started = Node(
            process=process,
            task_group=task_group,
            tasks=tasks,
            clock=clock,
            client=client,
            store=store,
            clients=clients,
            server=server,
            peers=peers,
            runner=runner,
            tickets=tickets,
            prompt_crashes=prompt_crash_notices.Notices(
                peers,
                clock,
                tasks,
                lambda: [m.address for m in runner.other_members()],
                prompt_crash_records.Records(store, clock.now),
                is_path_lost=connector.is_path_lost,
                is_in_touch=lambda: runner.hears_from_others(clock.now()),
            ),
            streams=stream_lookup.Lookup(
                origins,
                history,
                stream_records.Reader(store, origins, clock.now),
                view,
                peers,
                clock.now,
                schedulers=tickets.schedulers,
                others=runner.other_members,
                refresh=refresh_software,
            ),
            tunnels=tunnels,
            stop_requested=stop_requested,
        )
        runner.change_callbacks.append(software.observe)
        software.start(clock)
        started.streams.start(server)
        runner.start(server)
        tickets.start(server)
        tunnels.start(server)
        started.prompt_crashes.start(server)

        async def close_idle(_now: float) -> None:
            await client.evict_idle()
            await store_client.evict_idle()

        clock.subscribe("clients", refusals.LOG_PERIOD_S, clients.refusals.tick)
        clock.subscribe("idle", IDLE_CHECK_PERIOD_S, close_idle)
        settings_watch = _SettingsWatch(platform, process)
        clock.subscribe("settings", SETTINGS_POLL_PERIOD_S, settings_watch.poll)
        task_group.start_soon(_handle_signals, started, settings_watch)
        task_group.start_soon(server.serve, process.ip, process.peer_port)
        task_group.start_soon(_serve_metrics, process, clients)
        task_group.start_soon(clock.run)
        yield started
        with anyio.move_on_after(DEREGISTER_TIMEOUT_S):
            await runner.registration.deregister()
        task_group.cancel_scope.cancel()
    logs.event("stopped", program=program, vm=process.name)
    logs.flush()


class _SettingsWatch:
    """Reloads the settings file when it has changed.

    Attributes:
        process: The settings in use.
        file_stamp: Modification time in nanoseconds and size of the file when
            it was last checked.
    """

    def __init__(self, platform: Platform, process: deployment.Process) -> None:
        self.platform = platform
        self.process = process
        self.file_stamp = self._read_stamp()

    def _read_stamp(self) -> tuple[int, int]:
        try:
            status = pathlib.Path(self.platform.settings_path).stat()
        except OSError:
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)

    async def poll(self, _now: float) -> None:
        """Timer callback: reloads the file if its stamp has changed."""
        stamp = self._read_stamp()
        if stamp != self.file_stamp:
            self.file_stamp = stamp
            self.reload("file")

    def reload(self, cause: str) -> None:
        """Reloads the file and applies what may change at run time.

        Every changed field is logged, also those that need a restart.
        """
        try:
            loaded = self.platform.load_settings(self.platform.settings_path)
        except errors.SettingsError as error:
            logs.event("settings_invalid", level="error", cause=error.message)
            return
        changed = [
            field.name
            for field in dataclasses.fields(loaded)
            if getattr(loaded, field.name) != getattr(self.process, field.name)
        ]
        logs.event("settings_reloaded", cause=cause, changed=changed)
        # All other settings need a restart.
        self.process.seeds = loaded.seeds
        self.process.bounds = loaded.bounds


async def _handle_signals(node: Node, settings_watch: _SettingsWatch) -> None:
    with anyio.open_signal_receiver(
        signal.SIGTERM, signal.SIGINT, signal.SIGHUP
    ) as received:
        async for signal_number in received:
            if signal_number == signal.SIGHUP:
                settings_watch.reload("signal")
            else:
                logs.event("stopping", signal=int(signal_number))
                node.stop_requested.set()


async def _serve_metrics(
    process: deployment.Process, clients: listener.Clients
) -> None:
    async def handle(exchange: http_server.Exchange) -> None:
        accept = exchange.request.get_header(b"accept") or "text/plain"
        body, headers = metrics.render(accept)
        fields = [(k.encode(), v.encode()) for k, v in headers.items()]
        await exchange.respond(200, fields, body)

    address = f"{process.ip}:{process.metrics_port}"
    try:
        server = http_server.Server(
            handle, clients=clients, name=listener.METRICS
        )
        await server.serve(address)
    except OSError as error:
        logs.event("metrics_not_served", level="error", cause=repr(error))
