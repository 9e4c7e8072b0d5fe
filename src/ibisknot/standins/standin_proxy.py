"""`ibisknot-standin-proxy`: a TCP proxy that injects faults."""

import dataclasses
import fnmatch
import itertools
import random
from typing import Annotated

import anyio
from anyio import abc
import cappa
import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

import ibisknot
from ibisknot import errors
from ibisknot import web
from ibisknot.standins import standin

CHUNK_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 2.0
MAX_QUEUED_CHUNKS = 1024
HALF_OPEN_POLL_S = 0.05
# uvloop raises RuntimeError for an operation on a closed transport.
CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
    RuntimeError,
)


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of a link.

    Attributes:
        delay_s: Delay in each direction in seconds.
        jitter_s: Maximum of a random delay in seconds that each connection
            adds, so that messages of different connections are reordered.
        cut: Whether connections are closed and refused.
        half_open: Whether bytes are dropped in both directions without
            closing connections.
        drop_answers: Whether bytes are dropped in the direction to the
            caller only.
    """

    delay_s: float = 0.0
    jitter_s: float = 0.0
    cut: bool = False
    half_open: bool = False
    drop_answers: bool = False


class Link(msgspec.Struct, forbid_unknown_fields=True):
    """A listening address and the target that its connections go to.

    Attributes:
        name: Unique name of the link.
        listen: Host and port to listen at.
        target: Host and port to connect to.
        faults: Faults in force.
    """

    name: str
    listen: str
    target: str
    faults: Faults = msgspec.field(default_factory=Faults)


class FaultChange(msgspec.Struct, forbid_unknown_fields=True):
    """A change of some faults of links.

    Attributes:
        pattern: Pattern of the links' names, as in `fnmatch`.
        faults: New values by field of `Faults`.
    """

    pattern: str
    faults: dict[str, float | bool]


class Service:
    """Forwards connections and injects faults.

    Attributes:
        links: Links by name.
        rng: Chooses the jitter of connections.
        task_group: Runs the tasks of the links.
        connection_scopes: Cancel scopes of the open connections by link name
            and connection id.
        connection_ids: Generates the ids of connections.
    """

    def __init__(self, *, seed: int) -> None:
        self.links: dict[str, Link] = {}
        self.rng = random.Random(seed)
        self.task_group: abc.TaskGroup | None = None
        self.connection_scopes: dict[str, dict[int, anyio.CancelScope]] = {}
        self.connection_ids = itertools.count()

    def routes(self) -> list[routing.BaseRoute]:
        """Returns the routes."""
        post = ["POST"]
        return [
            routing.Route("/admin/links", self.add_links, methods=post),
            routing.Route("/admin/links", self.list_links),
            routing.Route("/admin/faults", self.change_faults, methods=post),
        ]

    async def background(self) -> None:
        """Runs the tasks of the links until cancelled."""
        async with anyio.create_task_group() as task_group:
            self.task_group = task_group
            await anyio.sleep_forever()

    async def add_links(self, request: requests.Request) -> responses.Response:
        """Adds links and listens at their addresses."""
        links = web.decode_body(await request.body(), list[Link])
        assert self.task_group is not None
        for link in links:
            self.links[link.name] = link
            self.connection_scopes[link.name] = {}
            host, _, port = link.listen.rpartition(":")
            listener = await anyio.create_tcp_listener(
                local_host=host, local_port=int(port)
            )
            self.task_group.start_soon(
                self._accept_connections, listener, link.name
            )
        return web.json_response({"links": len(self.links)})

    async def list_links(
        self, _request: requests.Request
    ) -> responses.Response:
        """Returns all links."""
        return web.json_response(list(self.links.values()))

    async def change_faults(
        self, request: requests.Request
    ) -> responses.Response:
        """Changes the given faults of the matching links; the others stay."""
        change = web.decode_body(await request.body(), FaultChange)
        names = fnmatch.filter(self.links, change.pattern)
        for name in names:
            link = self.links[name]
            merged = {**msgspec.to_builtins(link.faults), **change.faults}
            try:
                link.faults = msgspec.convert(merged, Faults)
            except msgspec.ValidationError as error:
                raise errors.BadRequestError(str(error)) from None
            if link.faults.cut:
                for scope in list(self.connection_scopes[name].values()):
                    scope.cancel()
        return web.json_response({"changed": len(names)})

    async def _accept_connections(
        self, listener: abc.Listener[abc.SocketStream], name: str
    ) -> None:
        async def handle(stream: abc.SocketStream) -> None:
            await self._handle_connection(stream, name)

        async with listener:
            await listener.serve(handle)

    async def _handle_connection(
        self, caller: abc.SocketStream, name: str
    ) -> None:
        link = self.links[name]
        async with caller:
            if link.faults.cut:
                return
            host, _, port = link.target.rpartition(":")
            # The handshake takes one round trip before the first byte.
            await anyio.sleep(2 * link.faults.delay_s)
            try:
                with anyio.fail_after(CONNECT_TIMEOUT_S):
                    target = await anyio.connect_tcp(host, int(port))
            except (OSError, TimeoutError):
                return
            jitter_s = self.rng.random() * link.faults.jitter_s
            async with target:
                await self._forward(Connection(name, jitter_s), caller, target)

    async def _forward(
        self,
        connection: "Connection",
        caller: abc.SocketStream,
        target: abc.SocketStream,
    ) -> None:
        connection_id = next(self.connection_ids)
        async with anyio.create_task_group() as task_group:
            connection.scope = task_group.cancel_scope
            self.connection_scopes[connection.link_name][connection_id] = (
                task_group.cancel_scope
            )
            try:
                task_group.start_soon(
                    self._copy_bytes, connection, caller, target, False
                )
                await self._copy_bytes(connection, target, caller, True)
                while self.links[connection.link_name].faults.half_open:
                    await anyio.sleep(HALF_OPEN_POLL_S)
                task_group.cancel_scope.cancel()
            finally:
                self.connection_scopes[connection.link_name].pop(
                    connection_id, None
                )

    async def _copy_bytes(
        self,
        connection: "Connection",
        source: abc.SocketStream,
        destination: abc.SocketStream,
        is_response: bool,
    ) -> None:
        """Forwards bytes in one direction, each after the link's delay."""
        send, receive = anyio.create_memory_object_stream[tuple[float, bytes]](
            MAX_QUEUED_CHUNKS
        )
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(
                self._send_chunks, connection, receive, destination, is_response
            )
            async with send:
                await self._receive_chunks(connection, source, send)

    async def _receive_chunks(
        self,
        connection: "Connection",
        source: abc.SocketStream,
        send: abc.ObjectSendStream[tuple[float, bytes]],
    ) -> None:
        link = self.links[connection.link_name]
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                delay_s = link.faults.delay_s + connection.jitter_s
                await send.send((anyio.current_time() + delay_s, data))
        except CONNECTION_ERRORS:
            pass

    async def _send_chunks(
        self,
        connection: "Connection",
        receive: abc.ObjectReceiveStream[tuple[float, bytes]],
        destination: abc.SocketStream,
        is_response: bool,
    ) -> None:
        link = self.links[connection.link_name]
        try:
            async with receive:
                async for due_s, data in receive:
                    if due_s > anyio.current_time():
                        await anyio.sleep_until(due_s)
                    faults = link.faults
                    is_dropped = faults.half_open
                    is_dropped |= is_response and faults.drop_answers
                    if is_dropped:
                        connection.has_lost_bytes = True
                    elif connection.has_lost_bytes:
                        # A stream with a gap must not look complete.
                        connection.scope.cancel()
                    else:
                        await destination.send(data)
            if not link.faults.half_open:
                await destination.send_eof()
        except CONNECTION_ERRORS:
            pass


@dataclasses.dataclass(slots=True)
class Connection:
    """One forwarded connection.

    Attributes:
        link_name: Name of the connection's link.
        jitter_s: Seconds that are added to the link's delay.
        has_lost_bytes: Whether bytes were dropped.
        scope: Cancelled to end the connection.
    """

    link_name: str
    jitter_s: float
    has_lost_bytes: bool = False
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )


@dataclasses.dataclass
class Arguments:
    """Forwards TCP connections and injects faults."""

    address: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    port: Annotated[int, cappa.Arg(long=True)] = 9300
    seed: Annotated[int, cappa.Arg(long=True)] = 0


def main() -> None:
    """Entry point of the program."""
    arguments = cappa.parse(Arguments, version=ibisknot.__version__)
    service = Service(seed=arguments.seed)
    standin.run(
        service.routes(),
        address=arguments.address,
        port=arguments.port,
        background=service.background,
    )
