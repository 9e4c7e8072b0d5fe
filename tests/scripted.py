"""Endpoints that respond with scripted bytes, and a forwarder before them."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
import contextlib
import dataclasses
import random
import socket

import anyio
from anyio import abc
import fake_pairs_store

from ibisknot import errors
from ibisknot import fleet_endpoint
from ibisknot import forward
from ibisknot import gateway
from ibisknot import http11
from ibisknot import http_call
from ibisknot import http_client
from ibisknot import http_server
from ibisknot import peer
from ibisknot import prompt_crash_notices
from ibisknot import prompt_crash_records
from ibisknot import request_metadata
from ibisknot import serving
from ibisknot import stream_origins
from ibisknot import ticket_types
from ibisknot import timer
from ibisknot.platform import programs

Script = Callable[[abc.SocketStream, bytes], Awaitable[None]]

STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Ibisknot-Request-Id: r1\r\n"
    b"X-Ibisknot-Response-Stamp: s\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
CONNECT_TIMEOUT_S = 5.0
"""A busy machine must not turn a slow connection into a refusal."""
STREAM_END = b"0\r\n\r\n"


def encode_chunk(data: bytes) -> bytes:
    """Encodes one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def encode_event(event_id: int, data: str) -> bytes:
    """Encodes one complete server-sent event."""
    return f"id: {event_id}\ndata: {data}\n\n".encode()


@dataclasses.dataclass
class ScriptedEndpoint:
    """An endpoint that runs the next script for each request.

    Attributes:
        name: Name of the endpoint.
        scripts: Scripts for the next requests; each gets the connection and
            the request's head, and writes the response.
        address: Host and port on which it serves.
        received_heads: Heads of the received requests.
        listener: Accepts its connections.
        software_version: Version of its software.
        connections: The connections that were opened to it.
    """

    name: str
    scripts: list[Script]
    address: str = ""
    received_heads: list[bytes] = dataclasses.field(default_factory=list)
    listener: abc.Listener[abc.SocketStream] | None = None
    software_version: str = "v1"
    connections: list[abc.SocketStream] = dataclasses.field(
        default_factory=list
    )

    async def crash(self, stream: abc.SocketStream, _head: bytes) -> None:
        """Script: starts the response, then ends the endpoint."""
        await stream.send(STREAM_HEAD)
        assert self.listener is not None
        await self.listener.aclose()
        await anyio.aclose_forcefully(stream)

    async def crash_with_output(
        self, stream: abc.SocketStream, head: bytes
    ) -> None:
        """Script: sends an event, then ends the endpoint."""
        await stream.send(STREAM_HEAD + encode_chunk(encode_event(1, "a")))
        await anyio.sleep(0.05)
        await self.close(stream, head)

    async def close(self, stream: abc.SocketStream, _head: bytes) -> None:
        """Script: ends the endpoint without an answer."""
        assert self.listener is not None
        await self.listener.aclose()
        await anyio.aclose_forcefully(stream)

    async def serve(self, stream: abc.SocketStream) -> None:
        """Handles the requests of one connection."""
        self.connections.append(stream)
        async with stream:
            while True:
                try:
                    head = await stream.receive()
                    while b"\r\n\r\n" not in head:
                        head += await stream.receive()
                except (
                    anyio.EndOfStream,
                    anyio.BrokenResourceError,
                    anyio.ClosedResourceError,
                ):
                    return
                self.received_heads.append(head)
                script = self.scripts.pop(0)
                await script(stream, head)

    def endpoint(self) -> fleet_endpoint.Endpoint:
        """Returns this endpoint as an entry of the endpoint list."""
        return fleet_endpoint.Endpoint(
            name=self.name,
            service="s",
            address=self.address,
            data_centre="d",
            slots=8,
            leaving=False,
            software_version=self.software_version,
        )


async def _serve_until_closed(
    listener: abc.Listener[abc.SocketStream], endpoint: ScriptedEndpoint
) -> None:
    try:
        await listener.serve(endpoint.serve)
    except* anyio.ClosedResourceError:
        # The endpoint has crashed.
        pass


@contextlib.asynccontextmanager
async def serving_endpoints(
    *endpoints: ScriptedEndpoint,
) -> AsyncIterator[None]:
    """Serves endpoints on loopback."""
    async with anyio.create_task_group() as task_group:
        for endpoint in endpoints:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            endpoint.address = f"127.0.0.1:{port}"
            endpoint.listener = listener
            task_group.start_soon(_serve_until_closed, listener, endpoint)
        yield
        task_group.cancel_scope.cancel()


class ScriptedTickets:
    """Grants one ticket at each endpoint, in a fixed order.

    Attributes:
        remaining: Endpoints for which no ticket was granted yet.
        outcomes: Outcomes of the released tickets.
        limits: The limits that endpoints have named, by their names.
        leaving_names: Endpoints that have said that they leave.
        prompt_crashes: The forwarder's notices of crashes.
        gates: Events that the next tickets wait for.
        rng: Chooses among the services of a route.
        requests: The requests for tickets.
        origins: The software that began streams, by the streams' ids.
        released: The released tickets.
        refusals: Errors that the next requests get, one each; None grants.
    """

    def __init__(self, endpoints: list[ScriptedEndpoint]) -> None:
        self.refusals: list[errors.IbisknotError | None] = []
        self.rng = random.Random(0)
        self.requests: list[ticket_types.TicketRequest] = []
        self.origins: dict[str, stream_origins.Origin] = {}
        self.remaining = list(endpoints)
        self.outcomes: list[str] = []
        self.released: list[ticket_types.Ticket] = []
        self.gates: list[anyio.Event] = []
        self.limits: dict[str, float | None] = {}
        self.leaving_names: list[str] = []
        self.prompt_crashes: prompt_crash_notices.Notices | None = None

    async def acquire(
        self, request: ticket_types.TicketRequest
    ) -> ticket_types.Ticket:
        """Returns a ticket at the next endpoint with the needed software.

        Raises:
            OverloadedError: No endpoint remains.
            SoftwareGoneError: None that remains has the needed software.
        """
        self.requests.append(request)
        refusal = self.refusals.pop(0) if self.refusals else None
        if refusal is not None:
            raise refusal
        if self.gates:
            await self.gates.pop(0).wait()
        needed = request.software_version
        for endpoint in self.remaining:
            if needed in (None, endpoint.software_version):
                self.remaining.remove(endpoint)
                return ticket_types.Ticket("p", request, endpoint.endpoint())
        if self.remaining:
            raise errors.SoftwareGoneError("no endpoint has the software")
        raise errors.OverloadedError("no endpoint remains", retry_after_s=1.0)

    async def find_origin(
        self, stream_id: str, _services: Collection[str]
    ) -> stream_origins.Origin:
        """Returns what `origins` holds.

        Raises:
            UnavailableError: It does not hold the stream.
        """
        if stream_id not in self.origins:
            raise errors.UnavailableError("the stream is not known")
        return self.origins[stream_id]

    def record_limit(
        self, endpoint: fleet_endpoint.Endpoint, rate_per_s: float | None
    ) -> None:
        """Records the limit of an endpoint, by its name."""
        self.limits[endpoint.name] = rate_per_s

    def record_answer(
        self, endpoint: fleet_endpoint.Endpoint, says_leaving: bool
    ) -> None:
        """Records the endpoints that say that they leave."""
        if says_leaving:
            self.leaving_names.append(endpoint.name)

    def checker(self, _endpoint: fleet_endpoint.Endpoint) -> Callable[[], None]:
        """Returns a function that lets every request be sent."""
        return lambda: None

    @property
    def leaving(self) -> "ScriptedTickets":
        """Returns what records that endpoints leave."""
        return self

    def release(self, ticket: ticket_types.Ticket, outcome: str) -> None:
        """Records the outcome."""
        self.outcomes.append(outcome)
        self.released.append(ticket)


def make_route(**changed: object) -> serving.Route:
    """Returns a route of resumable streams with some fields changed."""
    default = serving.Route(
        name="r",
        host="h",
        prefix="/a/",
        kind=serving.STREAM,
        targets=(serving.Target("s", 1.0),),
        timeout_s=5.0,
        objective_s=1.0,
        max_attempts=2,
        resumable=True,
    )
    return dataclasses.replace(default, **changed)  # type: ignore[arg-type]


async def serve_forwarder(
    tickets: ScriptedTickets,
    route: serving.Route,
    task_group: abc.TaskGroup,
    paths: http_call.Paths | None = None,
) -> str:
    """Serves callers with a forwarder; returns its address."""
    clock = timer.Timer()
    tickets.prompt_crashes = prompt_crash_notices.Notices(
        peer.Client(task_group),
        clock,
        task_group,
        lambda: [],
        prompt_crash_records.Records(fake_pairs_store.FakeStore(), clock.now),
    )
    forwarder = forward.Forwarder(
        tickets,  # type: ignore[arg-type]
        http_client.Client(connect_timeout_s=CONNECT_TIMEOUT_S, paths=paths),
        programs.REQUEST_DIALECT,
        clock,
        tickets.prompt_crashes,
        tickets.find_origin,
    )

    async def handle(exchange: http_server.Exchange) -> None:
        request = exchange.request
        metadata: request_metadata.CallerMetadata = (
            programs.REQUEST_DIALECT.decode_metadata(request.headers)
        )
        task = forward.Task(
            exchange=exchange,
            metadata=metadata,
            route=route,
            organisation=None,
            service="s",
            deadline_s=clock.now() + 4.0,
            caller_deadline_s=None,
        )
        try:
            await forwarder.forward(task)
        except errors.IbisknotError as error:
            if exchange.started:
                exchange.abort()
                return
            status = gateway.response_status(error)
            await exchange.respond(status, [], error.code.encode())

    server = http_server.Server(handle)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(anyio.abc.SocketAttribute.local_port)
    task_group.start_soon(listener.serve, server.serve_connection)
    return f"127.0.0.1:{port}"


async def send_request(
    address: str,
    body: bytes = b"x",
    *,
    headers: http11.Headers | None = None,
) -> tuple[int, bytes]:
    """Sends one request and returns the status and body of the response.

    Args:
        address: Address of the forwarder.
        body: Body of the request.
        headers: Headers to add.

    Raises:
        EndpointError: The response is incomplete.
    """
    request = http_call.Call(
        address=address,
        method=b"POST",
        target=b"/a/1",
        headers=[
            (b"Host", b"h"),
            (b"X-Ibisknot-Request-Id", b"r1"),
            *(headers or []),
        ],
        body=body,
    )
    client = http_client.Client(connect_timeout_s=CONNECT_TIMEOUT_S)
    return await client.fetch(request)


def script_stream(*pieces: bytes, ends: bool = True) -> Script:
    """Returns a script that sends a stream in pieces."""

    async def script(stream: abc.SocketStream, _head: bytes) -> None:
        await stream.send(STREAM_HEAD)
        for piece in pieces:
            await stream.send(encode_chunk(piece))
            await anyio.sleep(0.01)
        if ends:
            await stream.send(STREAM_END)
        else:
            await stream.aclose()

    return script


def script_bytes(data: bytes, *, closes: bool = False) -> Script:
    """Returns a script that sends bytes."""

    async def script(stream: abc.SocketStream, _head: bytes) -> None:
        await stream.send(data)
        if closes:
            await stream.aclose()

    return script


FLOOD_BUFFER_BYTES = 64 * 1024
"""Buffer of what a flood has sent and the other end has not received."""


class Flood:
    """Script: sends the same bytes as fast as it can, until it is closed.

    Attributes:
        first: What is sent once, before.
        data: What is then repeated.
        sent_bytes: Size of what was sent.
    """

    def __init__(self, data: bytes, *, first: bytes = b"") -> None:
        self.first = first
        self.data = data * max(1, 32 * 1024 // len(data))
        self.sent_bytes = 0

    async def __call__(self, stream: abc.SocketStream, _head: bytes) -> None:
        """Sends until the connection is closed."""
        raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        raw_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, FLOOD_BUFFER_BYTES
        )
        try:
            await stream.send(STREAM_HEAD)
            if self.first:
                await stream.send(encode_chunk(self.first))
            while True:
                await stream.send(encode_chunk(self.data))
                self.sent_bytes += len(self.data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return


FLOODS = [
    b"\n\n",
    b"\r\n",
    b": \n\n",
    b"data:\n\n",
    b"id: 7\n\n",
    b"data: without id\n\n",
    encode_event(7, "again"),
    encode_event(6, "f") + encode_event(7, "g"),
]
"""Events that bring a stream no further, but for the first one."""


async def close_connection(stream: abc.SocketStream, _head: bytes) -> None:
    """Script: closes the connection without an answer."""
    await stream.aclose()


def run_forwarder(
    endpoints: list[ScriptedEndpoint],
    route: serving.Route,
    check: Callable[[str, ScriptedTickets], Awaitable[None]],
    paths: http_call.Paths | None = None,
) -> None:
    """Runs a check of a forwarder before endpoints, by its address."""

    async def main() -> None:
        async with serving_endpoints(*endpoints):
            async with anyio.create_task_group() as task_group:
                tickets = ScriptedTickets(endpoints)
                address = await serve_forwarder(
                    tickets, route, task_group, paths
                )
                await check(address, tickets)
                task_group.cancel_scope.cancel()

    anyio.run(main)
