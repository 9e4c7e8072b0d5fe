"""`ibisknot-standin-proxy`: TCP proxy that injects faults."""

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
QUEUE_CHUNKS = 1024
HALF_OPEN_POLL_S = 0.05
# uvloop raises RuntimeError for an operation on a closed transport.
CLOSED = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
    RuntimeError,
)


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """What goes wrong on a link.

    Attributes:
        delay_s: One-way delay.
        jitter_s: Added to the delay at random, by connection, so that
            connections overtake each other.
        cut: Refuse and close connections.
        half_open: Swallow bytes in both directions without closing.
        drop_answers: Forward requests, then drop what comes back.
    """

    delay_s: float = 0.0
    jitter_s: float = 0.0
    cut: bool = False
    half_open: bool = False
    drop_answers: bool = False


class Link(msgspec.Struct, forbid_unknown_fields=True):
    """A listener and where it forwards to."""

    name: str
    listen: str
    target: str
    faults: Faults = msgspec.field(default_factory=Faults)


class Change(msgspec.Struct, forbid_unknown_fields=True):
    """Changes some faults of the links whose names match a pattern."""

    pattern: str
    faults: dict[str, float | bool]


class Service:
    """Forwards connections and injects faults."""

    def __init__(self, *, seed: int) -> None:
        self.links: dict[str, Link] = {}
        self.random = random.Random(seed)
        self.group: abc.TaskGroup | None = None
        self.scopes: dict[str, dict[int, anyio.CancelScope]] = {}
        self.numbers = itertools.count()

    def routes(self) -> list[routing.BaseRoute]:
        """Returns the routes."""
        post = ["POST"]
        return [
            routing.Route("/admin/links", self.add, methods=post),
            routing.Route("/admin/links", self.show),
            routing.Route("/admin/faults", self.change, methods=post),
        ]

    async def background(self) -> None:
        """Holds the tasks of the links."""
        async with anyio.create_task_group() as group:
            self.group = group
            await anyio.sleep_forever()

    async def add(self, request: requests.Request) -> responses.Response:
        """Adds links."""
        links = web.decode_body(await request.body(), list[Link])
        assert self.group is not None
        for link in links:
            self.links[link.name] = link
            self.scopes[link.name] = {}
            host, _, port = link.listen.rpartition(":")
            listener = await anyio.create_tcp_listener(
                local_host=host, local_port=int(port)
            )
            self.group.start_soon(self._listen, listener, link.name)
        return web.json_response({"links": len(self.links)})

    async def show(self, _request: requests.Request) -> responses.Response:
        """Returns all links."""
        return web.json_response(list(self.links.values()))

    async def change(self, request: requests.Request) -> responses.Response:
        """Changes the given faults; those that are not given stay."""
        change = web.decode_body(await request.body(), Change)
        names = fnmatch.filter(self.links, change.pattern)
        for name in names:
            link = self.links[name]
            merged = {**msgspec.to_builtins(link.faults), **change.faults}
            try:
                link.faults = msgspec.convert(merged, Faults)
            except msgspec.ValidationError as error:
                raise errors.BadRequestError(str(error)) from None
            if link.faults.cut:
                for scope in list(self.scopes[name].values()):
                    scope.cancel()
        return web.json_response({"changed": len(names)})

    async def _listen(
        self, listener: abc.Listener[abc.SocketStream], name: str
    ) -> None:
        async def handle(stream: abc.SocketStream) -> None:
            await self._connection(stream, name)

        async with listener:
            await listener.serve(handle)

    async def _connection(self, stream: abc.SocketStream, name: str) -> None:
        link = self.links[name]
        async with stream:
            if link.faults.cut:
                return
            host, _, port = link.target.rpartition(":")
            # The handshake takes one round trip before the first byte.
            await anyio.sleep(2 * link.faults.delay_s)
            try:
                with anyio.fail_after(CONNECT_TIMEOUT_S):
                    other = await anyio.connect_tcp(host, int(port))
            except (OSError, TimeoutError):
                return
            jitter_s = self.random.random() * link.faults.jitter_s
            async with other:
                await self._forward(Connection(name, jitter_s), stream, other)

    async def _forward(
        self,
        connection: "Connection",
        stream: abc.SocketStream,
        other: abc.SocketStream,
    ) -> None:
        number = next(self.numbers)
        async with anyio.create_task_group() as group:
            connection.scope = group.cancel_scope
            self.scopes[connection.name][number] = group.cancel_scope
            try:
                group.start_soon(self._pump, connection, stream, other, False)
                await self._pump(connection, other, stream, True)
                while self.links[connection.name].faults.half_open:
                    await anyio.sleep(HALF_OPEN_POLL_S)
                group.cancel_scope.cancel()
            finally:
                self.scopes[connection.name].pop(number, None)

    async def _pump(
        self,
        connection: "Connection",
        source: abc.SocketStream,
        target: abc.SocketStream,
        answers: bool,
    ) -> None:
        """Forwards bytes in one direction, each after the link's delay."""
        send, receive = anyio.create_memory_object_stream[tuple[float, bytes]](
            QUEUE_CHUNKS
        )
        async with anyio.create_task_group() as group:
            group.start_soon(
                self._deliver, connection, receive, target, answers
            )
            async with send:
                await self._collect(connection, source, send)

    async def _collect(
        self,
        connection: "Connection",
        source: abc.SocketStream,
        send: abc.ObjectSendStream[tuple[float, bytes]],
    ) -> None:
        link = self.links[connection.name]
        try:
            while True:
                data = await source.receive(CHUNK_BYTES)
                delay_s = link.faults.delay_s + connection.jitter_s
                await send.send((anyio.current_time() + delay_s, data))
        except CLOSED:
            pass

    async def _deliver(
        self,
        connection: "Connection",
        receive: abc.ObjectReceiveStream[tuple[float, bytes]],
        target: abc.SocketStream,
        answers: bool,
    ) -> None:
        link = self.links[connection.name]
        try:
            async with receive:
                async for due_s, data in receive:
                    if due_s > anyio.current_time():
                        await anyio.sleep_until(due_s)
                    faults = link.faults
                    dropped = faults.half_open
                    dropped |= answers and faults.drop_answers
                    if dropped:
                        connection.lost_bytes = True
                    elif connection.lost_bytes:
                        # A stream with a gap must never look whole.
                        connection.scope.cancel()
                    else:
                        await target.send(data)
            if not link.faults.half_open:
                await target.send_eof()
        except CLOSED:
            pass


@dataclasses.dataclass(slots=True)
class Connection:
    """One forwarded connection.

    Attributes:
        name: Its link.
        jitter_s: Its own share of the link's jitter.
        lost_bytes: Whether bytes were dropped.
        scope: Ends the connection.
    """

    name: str
    jitter_s: float
    lost_bytes: bool = False
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
