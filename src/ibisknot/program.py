"""Common parts of every daemon: peers, timer, health checks, shutdown."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
from typing import Any

import anyio
from anyio import abc
from starlette import requests
from starlette import responses
from starlette import routing

from ibisknot import errors
from ibisknot import keyvalue
from ibisknot import logs
from ibisknot import metrics
from ibisknot import peer
from ibisknot import settings
from ibisknot import timer
from ibisknot import tls
from ibisknot import traces
from ibisknot import vmlist
from ibisknot import web

DaemonSettings = settings.Entry | settings.Batch | settings.Store


@dataclasses.dataclass(slots=True)
class Daemon:
    """Common parts of a running daemon.

    Attributes:
        program_settings: Settings of the program.
        task_group: Runs the daemon's tasks; cancelled at the end.
        clock: Runs periodic callbacks and returns the monotonic time.
        key_value: Client of the key-value service.
        vm_list: Client of the platform's VM list.
        server: Receives calls of peers.
        peers: Makes calls to peers.
        stop_requested: Set when shutdown was requested.
        certificates: Reloads certificates when their files change.
        is_ready: Whether `/readyz` responds with 200.
    """

    program_settings: DaemonSettings
    task_group: abc.TaskGroup
    clock: timer.Timer
    key_value: keyvalue.KeyValue
    vm_list: vmlist.VmList
    server: peer.Server
    peers: peer.Client
    stop_requested: anyio.Event
    certificates: tls.Reloader
    is_ready: bool = True

    async def refresh_vms(self, _now: float) -> None:
        """Timer callback: reads the platform's VM list."""
        try:
            await self.vm_list.refresh()
        except errors.UnavailableError as error:
            logs.event("vm_list_failed", level="warning", error=error.message)

    async def serve(
        self,
        routes: list[routing.BaseRoute],
        *,
        tls_files: settings.Tls | None = None,
        drain: Callable[[], Awaitable[None]] | None = None,
        drain_timeout_s: float = 5.0,
        limits: settings.Limits | None = None,
    ) -> None:
        """Serves HTTP until shutdown was requested and `drain` has ended.

        Args:
            routes: The routes of the program; the health checks and metrics
                are added.
            tls_files: Certificate files, or None for plain HTTP.
            drain: Called when shutdown was requested, before the server
                stops accepting requests.
            drain_timeout_s: Seconds in which running requests may end after
                that.
            limits: Limits of the HTTP server; the defaults if None.
        """
        http_limits = limits or settings.Limits()
        drained = anyio.Event()

        async def drain_on_stop() -> None:
            await self.stop_requested.wait()
            self.is_ready = False
            if drain is not None:
                await drain()
            drained.set()

        self.task_group.start_soon(drain_on_stop)
        app = web.make_application([*self._own_routes(), *routes])
        await web.serve(
            app,
            address=self.program_settings.vm.address,
            port=self.program_settings.http_port,
            stop=drained,
            tls=tls_files,
            tls_context=self.certificates.watch(
                tls_files, tls.caller_listener_context(tls_files)
            ),
            drain_timeout_s=drain_timeout_s,
            idle_timeout_s=http_limits.idle_timeout_s,
            send_timeout_s=http_limits.send_timeout_s,
        )

    def _own_routes(self) -> list[routing.BaseRoute]:
        """Returns the routes of the health checks and metrics."""

        async def healthz(_request: requests.Request) -> responses.Response:
            return web.json_response({"status": "ok"})

        async def readyz(_request: requests.Request) -> responses.Response:
            status = 200 if self.is_ready else 503
            return web.json_response({"ready": self.is_ready}, status=status)

        async def metrics_page(request: requests.Request) -> responses.Response:
            accept = request.headers.get("accept", "text/plain")
            body, headers = metrics.render(accept)
            return responses.Response(body, headers=headers)

        return [
            routing.Route("/healthz", healthz),
            routing.Route("/readyz", readyz),
            routing.Route("/metrics", metrics_page),
        ]


@contextlib.asynccontextmanager
async def start(
    program_settings: DaemonSettings, *, name: str
) -> AsyncIterator[Daemon]:
    """Runs a daemon's common parts until the context ends.

    Args:
        program_settings: Settings of the program.
        name: Name of the program, for the log and traces.
    """
    logs.start(program_settings.log)
    traces.start(
        program_settings.trace, program=name, vm=program_settings.vm.name
    )
    clock = timer.Timer()
    key_value = keyvalue.KeyValue(program_settings.key_value)
    vm_list = vmlist.VmList(program_settings.vm_list)
    stop_requested = anyio.Event()
    certificates = tls.Reloader()
    peer_tls = program_settings.peer_tls
    server_tls = certificates.watch(
        peer_tls, tls.peer_listener_context(peer_tls)
    )
    client_tls = certificates.watch(peer_tls, tls.peer_client_context(peer_tls))
    async with anyio.create_task_group() as task_group:
        started = Daemon(
            program_settings=program_settings,
            task_group=task_group,
            clock=clock,
            key_value=key_value,
            vm_list=vm_list,
            server=peer.Server(tls=server_tls),
            peers=peer.Client(
                task_group,
                address_overrides=program_settings.address_overrides,
                tls=client_tls,
            ),
            stop_requested=stop_requested,
            certificates=certificates,
        )
        await started.refresh_vms(0.0)
        clock.subscribe(
            "vm_list", program_settings.vm_list.period_s, started.refresh_vms
        )
        clock.subscribe("tls", tls.RELOAD_PERIOD_S, certificates.tick)
        task_group.start_soon(clock.run)
        task_group.start_soon(web.stop_on_signal, stop_requested)
        task_group.start_soon(
            started.server.serve,
            program_settings.vm.address,
            program_settings.peer_port,
        )
        yield started
        task_group.cancel_scope.cancel()
    await key_value.aclose()
    await vm_list.aclose()
    logs.event("stopped", program=name)


def run(main: Callable[[Any], Awaitable[None]], program_settings: Any) -> None:
    """Runs a daemon's main function on a new event loop.

    Args:
        main: The main function.
        program_settings: Its argument, the settings of the program.
    """
    anyio.run(
        main,
        program_settings,
        backend="asyncio",
        backend_options={"use_uvloop": True},
    )
