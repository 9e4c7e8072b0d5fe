"""Processes that reach endpoints directly or through each other, in tests."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses

import anyio
from anyio import abc
import fake_fleet
import scripted

from ibisknot import deployment
from ibisknot import endpoint_connector
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import peer
from ibisknot import timer
from ibisknot import tunnel_server

HANG = "hang"
REFUSE = "refuse"


class CutConnector(endpoint_connector.Connector):
    """A connector whose direct connections can be cut.

    Attributes:
        cut: `HANG` or `REFUSE` while it has no links, or nothing.
        direct_attempts: Addresses to which it tried to connect directly.
    """

    cut = ""

    async def connect_directly(self, address: str) -> abc.SocketStream:
        """Connects, unless the links are cut.

        Raises:
            EndpointError: There is no link.
        """
        self.direct_attempts.append(address)
        if self.cut == HANG:
            await anyio.sleep(self.connect_timeout_s)
        if self.cut:
            raise errors.EndpointError("no link", ran=errors.NOT_RUN)
        return await super().connect_directly(address)

    direct_attempts: list[str] = []


@dataclasses.dataclass
class Process:
    """A process of the fleet.

    Attributes:
        connector: Opens its connections.
        tunnels: Serves the tunnels of others.
        is_stopping: Whether it opens no further tunnel.
        scope: Cancelled when the process dies.
    """

    connector: CutConnector
    tunnels: tunnel_server.Server
    is_stopping: bool = False
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )


@contextlib.asynccontextmanager
async def fleet(
    *endpoints: scripted.ScriptedEndpoint, helpers: int = 1
) -> AsyncIterator[list[Process]]:
    """Runs processes that list the endpoints; the first has no helper's role.

    Args:
        *endpoints: The endpoints, which are served until the end.
        helpers: Number of the other processes.
    """
    view = fleetview.View()
    async with scripted.serving_endpoints(*endpoints):
        view.endpoints = {e.name: e.endpoint() for e in endpoints}
        async with anyio.create_task_group() as task_group:
            processes = []
            for index in range(1 + helpers):
                processes.append(await _start(f"g{index}", view, task_group))
            yield processes
            task_group.cancel_scope.cancel()


async def _start(
    name: str, view: fleetview.View, task_group: abc.TaskGroup
) -> Process:
    """Starts a process on a port of its own."""
    server = peer.Server()
    connector = CutConnector(
        view,
        name,
        "d",
        peer.Client(task_group),
        timer.Timer(),
        task_group,
        # A busy machine must not turn a slow connection into a refusal.
        connect_timeout_s=0.5,
    )
    connector.direct_attempts = []
    process = Process(
        connector,
        tunnel_server.Server(view, connector, lambda: process.is_stopping),
    )
    process.tunnels.start(server)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    member = fake_fleet.member(name, deployment.GATEWAY)
    view.members[name] = dataclasses.replace(
        member, address=f"127.0.0.1:{port}"
    )

    async def serve() -> None:
        with process.scope:
            async with listener:
                await listener.serve(server._serve_connection)

    task_group.start_soon(serve)
    return process
