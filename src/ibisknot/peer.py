"""Calls between ibisknot processes: Thrift messages over framed TCP.

A frame is a four-byte length followed by an Envelope in Thrift's compact
protocol. Calls on one connection are correlated by id, so responses may
arrive in any order.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import ssl
from typing import Any

import anyio
from anyio import abc
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from ibisknot import _peer_connection
from ibisknot import errors
from ibisknot import isolation
from ibisknot import logs
from ibisknot import metrics
from ibisknot import peer_calls
from ibisknot import peer_frames
from ibisknot import traces
from ibisknot import turns
from ibisknot.client_limits import budget
from ibisknot.client_limits import listener
from ibisknot.gen.peer import ttypes
from ibisknot.locality import compression
from ibisknot.locality import scopes

MAX_FRAME_BYTES = peer_frames.MAX_FRAME_BYTES
CONNECT_TIMEOUT_S = 1.0
UNRESPONSIVE_TIMEOUT_S = 1.0
"""Time without a response after which a connection is replaced."""
_STREAM_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)

Handler = Callable[[Any], Awaitable[Any]]
StreamHandler = Callable[
    [abc.ByteStream, bytearray, ttypes.Envelope], Awaitable[None]
]
"""Takes over a connection, the bytes that were received after the first frame,
and the call in that frame."""


def encode(message: Any) -> bytes:
    """Encodes a generated Thrift structure."""
    buffer = TTransport.TMemoryBuffer()
    message.write(TCompactProtocol.TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def decode(payload: bytes, message_type: type[Any]) -> Any:
    """Decodes a generated Thrift structure.

    Raises:
        PeerError: The payload is not a message of this type.
    """
    message = message_type()
    buffer = TTransport.TMemoryBuffer(payload)
    try:
        message.read(TCompactProtocol.TCompactProtocolAccelerated(buffer))
        message.validate()
    except Exception as error:
        text = f"malformed {message_type.__name__} from peer: {error!r}"
        raise errors.PeerError(text) from None
    return message


async def send_frame(
    stream: abc.ByteStream,
    lock: anyio.Lock,
    envelope: ttypes.Envelope,
    scope: str | None = None,
) -> None:
    """Sends an envelope; the lock keeps frames of one connection apart.

    Args:
        stream: The connection.
        lock: Lock of the connection.
        envelope: The envelope.
        scope: Scope of the peer that is called; None for a response.
    """
    frame = encode(envelope)
    async with lock:
        await stream.send(peer_frames.LENGTH.pack(len(frame)) + frame)
    size = peer_frames.LENGTH.size + len(frame)
    metrics.count_bytes(envelope.method, sent=size, scope=scope)


def _decode_envelope(frame: bytes, scope: str | None = None) -> ttypes.Envelope:
    """Decodes a received frame and counts its bytes."""
    envelope = decode(frame, ttypes.Envelope)
    size = peer_frames.LENGTH.size + len(frame)
    metrics.count_bytes(envelope.method, received=size, scope=scope)
    envelope.payload = compression.unpack(
        envelope.payload, envelope.compression
    )
    return envelope


class Server:
    """Receives peers' calls and sends the responses.

    Attributes:
        tls: Context of the connections, or None for plain TCP.
        handlers: Request type and handler of each method, by name.
        stream_handlers: Handlers that take over a connection, by the method
            of its first call.
        clients: Limits of the clients of all listeners.
    """

    def __init__(
        self,
        *,
        tls: ssl.SSLContext | None = None,
        clients: listener.Clients | None = None,
    ) -> None:
        self.tls = tls
        self.clients = clients or listener.unlimited()
        self.handlers: dict[str, tuple[type[Any], Handler]] = {}
        self.stream_handlers: dict[str, StreamHandler] = {}

    def on(
        self, method: str, request_type: type[Any], handler: Handler
    ) -> None:
        """Registers the handler of a method and its request's type."""
        self.handlers[method] = (request_type, handler)

    def on_stream(self, method: str, handler: StreamHandler) -> None:
        """Registers the handler of connections that begin with a method."""
        self.stream_handlers[method] = handler

    async def serve(self, address: str, port: int) -> None:
        """Listens at an address and port until cancelled."""
        quota = self.clients.quota(listener.PEERS)
        accepting = listener.Listener(
            self.clients, quota, self._serve_connection
        )
        async with anyio.create_task_group() as task_group:
            with listener.listen(address, port) as raw_socket:
                await accepting.serve(raw_socket, task_group)

    async def _serve_connection(
        self, stream: abc.ByteStream, account: budget.Account | None = None
    ) -> None:
        """Handles each call of a connection in a task until it is closed.

        A malformed frame closes the connection.
        """
        if account is None:
            quota = self.clients.quota(listener.PEERS)
            account = budget.Account(quota, "", lambda _cause: None)
        try:
            if self.tls is not None:
                stream = await peer_frames.wrap_tls(
                    stream, self.tls, CONNECT_TIMEOUT_S, server_side=True
                )
            async with stream, anyio.create_task_group() as task_group:
                calls = peer_calls.Calls(stream, self.clients.limit, account)
                await self._receive_calls(calls, task_group)
        except* (OSError, *_STREAM_ERRORS):
            pass
        except* errors.PeerError as group_error:
            if self.clients.refusals.record(
                listener.PEERS, "malformed", account.address
            ):
                logs.event(
                    "peer_connection_refused",
                    level="warning",
                    error=repr(group_error.exceptions[0]),
                )

    async def _receive_calls(
        self, calls: peer_calls.Calls, task_group: abc.TaskGroup
    ) -> None:
        """Starts a task for each call, until a handler takes over."""
        received = bytearray()
        turn = turns.Counter()
        while True:
            frame = await peer_frames.receive_frame(
                calls.stream, received, calls.charge, turn
            )
            envelope = _decode_envelope(frame)
            if envelope.method in self.stream_handlers:
                calls.limit.begin_work(calls.account)
                take_over = self.stream_handlers[envelope.method]
                await take_over(calls.stream, received, envelope)
                return
            # A compressed payload is shorter in its frame than in memory.
            held_bytes = max(len(frame), len(envelope.payload))
            calls.begin(held_bytes)
            task_group.start_soon(self._respond, calls, envelope, held_bytes)
            await calls.wait_for_room()

    async def _respond(
        self,
        calls: peer_calls.Calls,
        request: ttypes.Envelope,
        held_bytes: int,
    ) -> None:
        """Handles a call and sends its result or error, unless one-way.

        Args:
            calls: The calls of the connection.
            request: The call.
            held_bytes: What the connection was charged for the call.
        """
        response = ttypes.Envelope(
            id=request.id,
            kind=ttypes.Kind.RESPONSE,
            method=request.method,
            payload=b"",
        )
        try:
            try:
                response.payload = await self._dispatch(request)
            except errors.IbisknotError as error:
                response.error_code = error.code
                response.error_message = error.message
            except Exception as error:
                logs.event(
                    "peer_handler_failed",
                    level="error",
                    method=request.method,
                    error=repr(error),
                )
                response.error_code = errors.IbisknotError.code
                response.error_message = f"{request.method} failed"
            if request.takes_compressed:
                response.takes_compressed = True
                response.payload, response.compression = compression.pack(
                    response.payload
                )
            if request.kind == ttypes.Kind.REQUEST:
                await calls.send(
                    lambda: send_frame(calls.stream, calls.lock, response),
                    len(response.payload),
                )
        finally:
            calls.end(held_bytes, completed=request.method in self.handlers)

    async def _dispatch(self, request: ttypes.Envelope) -> bytes:
        """Runs the handler of a call and returns the encoded response.

        Raises:
            NotFoundError: No handler is registered for the method.
            PeerError: The payload is malformed.
        """
        if request.method not in self.handlers:
            raise errors.NotFoundError(f"no peer method {request.method}")
        request_type, handler = self.handlers[request.method]
        message = decode(request.payload, request_type)
        with traces.span(request.method, parent=request.trace_parent):
            response = await handler(message)
        return encode(response if response is not None else ttypes.Empty())


class Client:
    """Calls peers over one connection to each address.

    Attributes:
        task_group: Runs the connections.
        address_overrides: Addresses to connect to, by the peers' own address.
        tls: Context of the connections, or None for plain TCP.
        scope_of: Returns whether a peer is in the own data centre; messages to
            others are compressed.
        connections: The last connection to each address.
        connect_locks: Held while a connection to an address is opened.
        message_ids: Ids of the next envelopes.
    """

    def __init__(
        self,
        task_group: isolation.TaskStarter,
        *,
        address_overrides: dict[str, str] | None = None,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self.task_group = task_group
        self.address_overrides = address_overrides or {}
        self.tls = tls
        self.scope_of: scopes.ScopeOf = scopes.unknown
        self.connections: dict[str, _peer_connection.Connection] = {}
        self.connect_locks: dict[str, anyio.Lock] = {}
        self.message_ids = itertools.count(1)

    async def _connect(self, address: str) -> _peer_connection.Connection:
        """Returns the open connection to an address, or opens one.

        Raises:
            PeerError: The peer is not reachable.
        """
        lock = self.connect_locks.setdefault(address, anyio.Lock())
        async with lock:
            existing = self.connections.get(address)
            if existing is not None and not existing.is_closed:
                return existing
            connection = _peer_connection.Connection(
                await self._open_connection(address), self.scope_of(address)
            )
            self.connections[address] = connection
            received = bytearray()
            turn = turns.Counter()

            async def receive() -> ttypes.Envelope:
                frame = await peer_frames.receive_frame(
                    connection.stream, received, turn=turn
                )
                return _decode_envelope(frame, connection.scope)

            self.task_group.start_soon(connection.receive_responses, receive)
            return connection

    async def _open_connection(self, address: str) -> abc.ByteStream:
        """Opens a connection to an address.

        Raises:
            PeerError: The peer is not reachable.
        """
        dial_address = self.address_overrides.get(address, address)
        host, _, port = dial_address.rpartition(":")
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_S):
                stream: abc.ByteStream = await anyio.connect_tcp(
                    host, int(port)
                )
                if self.tls is None:
                    return stream
                return await peer_frames.wrap_tls(
                    stream, self.tls, CONNECT_TIMEOUT_S, server_side=False
                )
        except (
            OSError,
            TimeoutError,
            anyio.EndOfStream,
            anyio.BrokenResourceError,
        ) as error:
            message = f"peer {address} not reachable: {error!r}"
            raise errors.PeerError(message, ran=errors.NOT_RUN) from None

    async def open_stream(
        self,
        address: str,
        method: str,
        request: Any,
        response_type: type[Any],
    ) -> tuple[abc.ByteStream, bytearray, Any]:
        """Opens a connection that a peer's `on_stream` handler takes over.

        Args:
            address: The peer's `host:port`.
            method: The method's name.
            request: The request, a generated Thrift structure.
            response_type: The generated Thrift type of the response.

        Returns:
            The connection, bytes that were received after the response, and
            the decoded response.

        Raises:
            PeerError: The peer is not reachable or did not respond.
        """
        stream = await self._open_connection(address)
        received = bytearray()
        envelope = ttypes.Envelope(
            id=next(self.message_ids),
            kind=ttypes.Kind.REQUEST,
            method=method,
            payload=encode(request),
        )
        try:
            scope = self.scope_of(address)
            await send_frame(stream, anyio.Lock(), envelope, scope)
            frame = await peer_frames.receive_frame(stream, received)
            answer = _decode_envelope(frame, scope)
            response = decode(answer.payload, response_type)
        except BaseException as error:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
            if isinstance(error, (OSError, *_STREAM_ERRORS)):
                message = f"no answer from {address} to {method}: {error!r}"
                raise errors.PeerError(message) from None
            raise
        return stream, received, response

    async def call(
        self,
        address: str,
        method: str,
        request: Any,
        response_type: type[Any] = ttypes.Empty,
        *,
        timeout_s: float = 2.0,
    ) -> Any:
        """Calls a peer's method and returns its decoded response.

        Args:
            address: The peer's `host:port`.
            method: The method's name.
            request: The request, a generated Thrift structure.
            response_type: The generated Thrift type of the response.
            timeout_s: Maximum time in seconds to connect, and again from
                sending the request until the response.

        Raises:
            PeerError: The peer is not reachable or did not respond in time.
            IbisknotError: The error with which the peer responded.
        """
        try:
            with anyio.fail_after(timeout_s):
                connection = await self._connect(address)
        except TimeoutError:
            message = f"peer {address} not reachable in {timeout_s} s"
            raise errors.PeerError(message, ran=errors.NOT_RUN) from None
        envelope = ttypes.Envelope(
            id=next(self.message_ids),
            kind=ttypes.Kind.REQUEST,
            method=method,
            payload=encode(request),
            trace_parent=traces.headers().get("traceparent"),
        )
        connection.scope = self.scope_of(address)
        if connection.scope == scopes.OTHER:
            envelope.takes_compressed = True
            if connection.takes_compressed:
                envelope.payload, envelope.compression = compression.pack(
                    envelope.payload
                )
        answered = anyio.Event()
        responses: list[ttypes.Envelope] = []
        if connection.unanswered_since_s is None:
            connection.unanswered_since_s = anyio.current_time()
        connection.pending_calls[envelope.id] = (answered, responses)
        try:
            with anyio.fail_after(timeout_s):
                await send_frame(
                    connection.stream,
                    connection.send_lock,
                    envelope,
                    connection.scope,
                )
                await answered.wait()
        except (
            TimeoutError,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ) as error:
            if connection.is_unresponsive(UNRESPONSIVE_TIMEOUT_S):
                await connection.abort()
            message = f"no answer from {address} to {method}: {error!r}"
            raise errors.PeerError(message) from None
        finally:
            connection.pending_calls.pop(envelope.id, None)
        if not responses:
            raise errors.PeerError(f"connection to {address} lost")
        response = responses[0]
        if response.error_code is not None:
            raise errors.from_code(response.error_code, response.error_message)
        return decode(response.payload, response_type)
