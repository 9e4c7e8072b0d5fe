"""What every daemon has: settings, peers, timer, health and shutdown."""

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

AnyDaemon = settings.Entry | settings.Batch | settings.Store


@dataclasses.dataclass(slots=True)
class Daemon:
    """The parts that a daemon's program is put together from.

    Attributes:
        loaded: Its settings.
        group: Runs its tasks; cancelled at the end.
        clock: The timer service.
        store: The key-value service.
        vms: The platform's VM list.
        server: Answers peers.
        peers: Calls peers.
        stop: Set when shutdown was requested.
        certificates: Reloads certificates whose files change.
        ready: Whether `/readyz` answers 200.
    """

    loaded: AnyDaemon
    group: abc.TaskGroup
    clock: timer.Timer
    store: keyvalue.KeyValue
    vms: vmlist.VmList
    server: peer.Server
    peers: peer.Client
    stop: anyio.Event
    certificates: tls.Reloader
    ready: bool = True

    async def refresh_vms(self, _now: float) -> None:
        """Timer callback: reads the platform's VM list."""
        try:
            await self.vms.refresh()
        except errors.UnavailableError as error:
            logs.event("vm_list_failed", level="warning", error=error.message)

    async def serve(
        self,
        routes: list[routing.BaseRoute],
        *,
        tls_files: settings.Tls | None = None,
        drain: Callable[[], Awaitable[None]] | None = None,
        graceful_s: float = 5.0,
        limits: settings.Limits | None = None,
    ) -> None:
        """Serves HTTP until shutdown is requested and drained."""
        bounds = limits or settings.Limits()
        stopped = anyio.Event()

        async def finish() -> None:
            await self.stop.wait()
            self.ready = False
            if drain is not None:
                await drain()
            stopped.set()

        self.group.start_soon(finish)
        app = web.make_application([*self._own_routes(), *routes])
        await web.serve(
            app,
            address=self.loaded.vm.address,
            port=self.loaded.http_port,
            stop=stopped,
            tls=tls_files,
            tls_context=self.certificates.watch(
                tls_files, tls.caller_context(tls_files)
            ),
            drain_timeout_s=graceful_s,
            idle_timeout_s=bounds.idle_timeout_s,
            send_timeout_s=bounds.send_timeout_s,
        )

    def _own_routes(self) -> list[routing.BaseRoute]:
        async def healthz(_request: requests.Request) -> responses.Response:
            return web.json_response({"status": "ok"})

        async def readyz(_request: requests.Request) -> responses.Response:
            status = 200 if self.ready else 503
            return web.json_response({"ready": self.ready}, status=status)

        async def measured(request: requests.Request) -> responses.Response:
            accept = request.headers.get("accept", "text/plain")
            body, headers = metrics.render(accept)
            return responses.Response(body, headers=headers)

        return [
            routing.Route("/healthz", healthz),
            routing.Route("/readyz", readyz),
            routing.Route("/metrics", measured),
        ]


@contextlib.asynccontextmanager
async def daemon(loaded: AnyDaemon, *, name: str) -> AsyncIterator[Daemon]:
    """Starts a daemon's common parts and stops them at the end."""
    logs.start(loaded.log)
    traces.start(loaded.trace, program=name, vm=loaded.vm.name)
    clock = timer.Timer()
    store = keyvalue.KeyValue(loaded.key_value)
    vms = vmlist.VmList(loaded.vm_list)
    stop = anyio.Event()
    certificates = tls.Reloader()
    peer_tls = loaded.peer_tls
    server_tls = certificates.watch(peer_tls, tls.server_context(peer_tls))
    client_tls = certificates.watch(peer_tls, tls.client_context(peer_tls))
    async with anyio.create_task_group() as group:
        made = Daemon(
            loaded=loaded,
            group=group,
            clock=clock,
            store=store,
            vms=vms,
            server=peer.Server(tls=server_tls),
            peers=peer.Client(
                group,
                overrides=loaded.address_overrides,
                tls=client_tls,
            ),
            stop=stop,
            certificates=certificates,
        )
        await made.refresh_vms(0.0)
        clock.subscribe("vm_list", loaded.vm_list.period_s, made.refresh_vms)
        clock.subscribe("tls", tls.RELOAD_PERIOD_S, certificates.tick)
        group.start_soon(clock.run)
        group.start_soon(web.stop_on_signal, stop)
        group.start_soon(made.server.serve, loaded.vm.address, loaded.peer_port)
        yield made
        group.cancel_scope.cancel()
    await store.aclose()
    await vms.aclose()
    logs.event("stopped", program=name)


def run(main: Callable[[Any], Awaitable[None]], loaded: Any) -> None:
    """Runs a daemon's main function on the event loop."""
    anyio.run(
        main,
        loaded,
        backend="asyncio",
        backend_options={"use_uvloop": True},
    )
