"""`ibisknot-standin-proxy`: TCP proxy that injects faults."""

import dataclasses
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
from ibisknot import standin
from ibisknot import web

CHUNK_BYTES = 64 * 1024
CONNECT_TIMEOUT_S = 2.0


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
            routing.Route("/admin/links/{name}", self.change, methods=post),
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

    async def change(self, request: requests.Request) -> responses.Response:
        """Changes the faults of the links whose names have a prefix."""
        faults = web.decode_body(await request.body(), Faults)
        prefix = request.path_params["name"]
        changed = [n for n in self.links if n.startswith(prefix)]
        for name in changed:
            self.links[name].faults = faults
            if faults.cut:
                for scope in list(self.scopes[name].values()):
                    scope.cancel()
        return web.json_response({"changed": len(changed)})

    async def _listen(
        self, listener: abc.Listener[abc.SocketStream], name: str
    ) -> None:
        async def handle(stream: abc.SocketStream) -> None:
            await self._connection(stream, name)

        async with listener:
            await listener.serve(handle)

    async def _connection(self, stream: abc.SocketStream, name: str) -> None:
        link = self.links[name]
        number = next(self.numbers)
        async with stream:
            if link.faults.cut:
                return
            host, _, port = link.target.rpartition(":")
            try:
                with anyio.fail_after(CONNECT_TIMEOUT_S):
                    other = await anyio.connect_tcp(host, int(port))
            except (OSError, TimeoutError):
                return
            jitter_s = self.random.random() * link.faults.jitter_s
            async with other, anyio.create_task_group() as group:
                self.scopes[name][number] = group.cancel_scope
                try:
                    group.start_soon(
                        self._pump, stream, other, name, jitter_s, False
                    )
                    await self._pump(other, stream, name, jitter_s, True)
                    group.cancel_scope.cancel()
                finally:
                    self.scopes[name].pop(number, None)

    async def _pump(
        self,
        source: abc.SocketStream,
        target: abc.SocketStream,
        name: str,
        jitter_s: float,
        answers: bool,
    ) -> None:
        """Forwards bytes in one direction, each after the link's delay."""
        send, receive = anyio.create_memory_object_stream[tuple[float, bytes]](
            1024
        )

        async def deliver() -> None:
            async for due_s, data in receive:
                await anyio.sleep_until(due_s)
                faults = self.links[name].faults
                if faults.half_open or (answers and faults.drop_answers):
                    continue
                await target.send(data)

        try:
            async with anyio.create_task_group() as group:
                group.start_soon(deliver)
                async with send:
                    while True:
                        data = await source.receive(CHUNK_BYTES)
                        delay_s = self.links[name].faults.delay_s + jitter_s
                        await send.send((anyio.current_time() + delay_s, data))
        except* (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
            pass
        except* anyio.ClosedResourceError:
            pass


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
