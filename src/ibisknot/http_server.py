"""HTTP/1.1 server on h11 that cancels a handler when its caller disconnects."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time

import anyio
from anyio import abc
import h11

from ibisknot import errors
from ibisknot import http11
from ibisknot import logs

SEND_TIMEOUT_S = 8.0
"""A caller to which a send takes longer is taken to have disconnected."""
MAX_PIPELINED_BYTES = 64 * 1024
"""Limit on data that a caller sends while its request is handled."""
CLOSING_WAIT_S = 0.5
"""Time that a connection has for its next request while the server closes.

It is not closed at once: a request may be on its way.
"""


@dataclasses.dataclass(slots=True)
class Limits:
    """Limits on the size of requests and the time to receive them.

    Attributes:
        max_header_bytes: Largest size of a request's head.
        max_body_bytes: Largest size of a request's body.
        header_timeout_s: Time to receive a request's head after its first
            byte.
        idle_timeout_s: Time that a connection may wait for a request, and the
            time to receive a request's body.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Exchange:
    """One request and the methods to respond to it.

    These methods raise CallerGoneError if the caller cannot be sent data.

    Attributes:
        request: The request.
        is_closing: Returns whether the connection is to be closed after the
            response, which then has a `Connection: close` header.
        started: Whether sending the response's head has begun.
        finished: Whether the whole response was sent.
        aborted: Whether the connection ends without a complete response.
    """

    def __init__(
        self,
        request: http11.Request,
        stream: abc.SocketStream,
        parser: h11.Connection,
        *,
        is_closing: Callable[[], bool],
    ) -> None:
        self.request = request
        self.stream = stream
        self.parser = parser
        self.is_closing = is_closing
        self.started = False
        self.finished = False
        self.aborted = False

    async def _send(self, *events: h11.Event) -> None:
        data = b"".join(self.parser.send(event) or b"" for event in events)
        if not data:
            return
        try:
            with anyio.fail_after(SEND_TIMEOUT_S):
                await self.stream.send(data)
        except (TimeoutError, *http11.CONNECTION_ERRORS) as error:
            self.aborted = True
            message = f"sending to the caller failed: {error!r}"
            raise errors.CallerGoneError(message) from None

    def _make_head(self, status: int, headers: http11.Headers) -> h11.Response:
        self.started = True
        if self.is_closing():
            headers = [*headers, (b"Connection", b"close")]
        return h11.Response(status_code=status, headers=headers)

    async def start(self, status: int, headers: http11.Headers) -> None:
        """Sends the head of a response whose body follows in pieces."""
        await self._send(self._make_head(status, headers))

    async def send(self, data: bytes) -> None:
        """Sends a piece of the body."""
        await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        """Ends the response as complete."""
        await self._send(h11.EndOfMessage())
        self.finished = True

    async def respond(
        self, status: int, headers: http11.Headers, body: bytes = b""
    ) -> None:
        """Sends a complete response."""
        size = (b"Content-Length", str(len(body)).encode())
        events: list[h11.Event] = [self._make_head(status, [*headers, size])]
        if body and self.request.method != b"HEAD":
            events.append(h11.Data(data=body))
        await self._send(*events, h11.EndOfMessage())
        self.finished = True

    def abort(self) -> None:
        """Makes the connection end, so that the response is incomplete."""
        self.aborted = True


Handler = Callable[[Exchange], Awaitable[None]]


class Server:
    """Serves HTTP on one address.

    Attributes:
        handler: Responds to requests.
        limits: Current limits, which apply to new requests.
        clock: Returns the monotonic time.
        is_closing: Whether responses ask callers to close their connections
            and idle connections are closed.
        active_requests: Number of requests that are being received or
            handled.
        idle_scopes: Time limits of the connections without a request.
        accept_scope: Cancelled to accept no more connections; None before
            the server listens.
        buffered_bytes: Size of all request bodies in memory.
        max_buffered_bytes: Limit on `buffered_bytes`; requests above it are
            refused.
        open_connections: Number of open connections.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        limits: Limits | None = None,
        max_buffered_bytes: int = 64 * 1024 * 1024,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.handler = handler
        self.limits = limits or Limits()
        self.clock = clock
        self.is_closing = False
        self.active_requests = 0
        self.idle_scopes: set[anyio.CancelScope] = set()
        self.accept_scope: anyio.CancelScope | None = None
        self.buffered_bytes = 0
        self.max_buffered_bytes = max_buffered_bytes
        self.open_connections = 0

    async def serve(self, address: str) -> None:
        """Listens on `host:port` until cancelled."""
        host, _, port = address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=1024
        )
        async with listener, anyio.create_task_group() as task_group:
            with anyio.CancelScope() as self.accept_scope:
                await listener.serve(self.serve_connection, task_group)
            await listener.aclose()

    def start_closing(self) -> None:
        """Closes idle connections soon, and others after their response."""
        self.is_closing = True
        end_s = anyio.current_time() + CLOSING_WAIT_S
        for scope in self.idle_scopes:
            scope.deadline = min(scope.deadline, end_s)

    def stop_accepting(self) -> None:
        """Closes the listener; open connections are served to their end."""
        if self.accept_scope is not None:
            self.accept_scope.cancel()

    async def serve_connection(self, stream: abc.SocketStream) -> None:
        """Handles the requests of one connection, one after another."""
        self.open_connections += 1
        connection = _Connection(self, stream)
        try:
            http11.set_socket_options(stream)
            await connection.run()
        except http11.CONNECTION_ERRORS:
            pass
        except Exception as error:
            logs.event("connection_failed", level="error", error=repr(error))
        finally:
            self.open_connections -= 1
            connection.release_body_bytes()
            await http11.close_abruptly(stream)


class _Connection:
    """One caller's connection.

    Attributes:
        unparsed: Received data that the parser has not been given.
        body_bytes: Size of the current request's body, as counted in the
            server's `buffered_bytes`.
    """

    def __init__(self, server: Server, stream: abc.SocketStream) -> None:
        self.server = server
        self.stream = stream
        self.parser = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=server.limits.max_header_bytes,
        )
        self.unparsed = bytearray()
        self.body_bytes = 0

    async def run(self) -> None:
        """Handles requests until the connection is to be closed."""
        while True:
            if not await self._wait_for_request():
                return
            self.server.active_requests += 1
            try:
                keeps_open = await self._serve_request()
            finally:
                self.server.active_requests -= 1
            if not keeps_open:
                return
            if self.parser.our_state is not h11.DONE:
                await self._linger()
                return
            self.parser.start_next_cycle()

    async def _serve_request(self) -> bool:
        """Receives and handles one request.

        Returns:
            Whether its response is complete.
        """
        try:
            request = await self._read_request()
        except errors.IbisknotError as error:
            await self._reject(error)
            return False
        if request is None:
            return False
        exchange = Exchange(
            request,
            self.stream,
            self.parser,
            is_closing=lambda: self.server.is_closing,
        )
        await self._handle(exchange)
        self.release_body_bytes()
        if exchange.aborted and exchange.started:
            self._make_abort_visible()
        return exchange.finished and not exchange.aborted

    def _make_abort_visible(self) -> None:
        """Makes the close of the connection a reset where it must be one.

        A response to an HTTP/1.0 request may end with its connection. Only a
        reset shows such a caller that the response is incomplete.
        """
        if self.parser.their_http_version == b"1.0":
            http11.reset_on_close(self.stream)

    async def _receive(self) -> bytes:
        if self.unparsed:
            data = bytes(self.unparsed)
            self.unparsed.clear()
            return data
        try:
            return await self.stream.receive(http11.READ_BYTES)
        except anyio.EndOfStream:
            return b""

    async def _read_request(self) -> http11.Request | None:
        """Reads one request; returns None if the connection ends before it.

        Raises:
            IbisknotError: The request is malformed, too large or too slow, or
                too many bodies are in memory.
        """
        limits = self.server.limits
        received_s = self.server.clock()
        try:
            with anyio.fail_after(limits.header_timeout_s):
                head = await self._read_head()
            if head is None:
                return None
            request = http11.Request(
                method=head.method,
                target=head.target,
                headers=http11.raw_headers(head),
                received_s=received_s,
            )
            with anyio.fail_after(limits.idle_timeout_s):
                request.body = await self._read_body(limits.max_body_bytes)
        except TimeoutError:
            raise errors.RequestTimeoutError(
                "the request was not received in time"
            ) from None
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == 431:
                raise errors.HeadersTooLargeError(str(error)) from None
            raise errors.BadRequestError(str(error)) from None
        return request

    async def _wait_for_request(self) -> bool:
        """Waits for the first bytes of a request.

        Returns:
            False if the connection has ended, or is to be closed because it
            was idle for too long or the server is closing.
        """
        if self.unparsed or self.parser.trailing_data[0]:
            return True
        timeout_s = self.server.limits.idle_timeout_s
        if self.server.is_closing:
            timeout_s = CLOSING_WAIT_S
        with anyio.move_on_after(timeout_s) as scope:
            self.server.idle_scopes.add(scope)
            try:
                self.unparsed += await self._receive()
            finally:
                self.server.idle_scopes.discard(scope)
        return bool(self.unparsed)

    async def _read_head(self) -> h11.Request | None:
        while True:
            event = self.parser.next_event()
            if isinstance(event, h11.Request):
                return event
            if isinstance(event, h11.ConnectionClosed):
                return None
            if event is h11.NEED_DATA:
                self.parser.receive_data(await self._receive())

    async def _read_body(self, max_bytes: int) -> bytes:
        body = bytearray()
        while True:
            event = self.parser.next_event()
            if isinstance(event, h11.Data):
                body += event.data
                self._count_body_bytes(len(event.data))
                if len(body) > max_bytes:
                    raise errors.BodyTooLargeError("the body is too large")
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            elif event is h11.NEED_DATA:
                if self.parser.they_are_waiting_for_100_continue:
                    await self._send_continue()
                self.parser.receive_data(await self._receive())
            else:
                raise errors.BadRequestError("the body is incomplete")

    def _count_body_bytes(self, size: int) -> None:
        """Counts bytes of a body, until `release_body_bytes` is called.

        Raises:
            UnavailableError: Too many bodies are in memory.
        """
        self.body_bytes += size
        self.server.buffered_bytes += size
        if self.server.buffered_bytes > self.server.max_buffered_bytes:
            raise errors.UnavailableError(
                "too many request bodies are in memory"
            )

    def release_body_bytes(self) -> None:
        """Subtracts the current body from the server's count."""
        self.server.buffered_bytes -= self.body_bytes
        self.body_bytes = 0

    async def _send_continue(self) -> None:
        event = h11.InformationalResponse(status_code=100, headers=[])
        await self.stream.send(self.parser.send(event) or b"")

    async def _handle(self, exchange: Exchange) -> None:
        """Runs the handler; cancels it when the caller disconnects."""
        try:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(
                    self._watch_for_disconnect,
                    exchange,
                    task_group.cancel_scope,
                )
                await self.server.handler(exchange)
                task_group.cancel_scope.cancel()
        except* errors.CallerGoneError:
            exchange.abort()

    async def _watch_for_disconnect(
        self, exchange: Exchange, handler_scope: anyio.CancelScope
    ) -> None:
        """Cancels the handler when the caller disconnects.

        A caller that sends more than `MAX_PIPELINED_BYTES` ahead is
        disconnected, too.
        """
        while True:
            try:
                data = await self.stream.receive(http11.READ_BYTES)
            except http11.CONNECTION_ERRORS:
                exchange.abort()
                handler_scope.cancel()
                return
            self.unparsed += data
            if len(self.unparsed) > MAX_PIPELINED_BYTES:
                exchange.abort()
                handler_scope.cancel()
                return

    async def _reject(self, error: errors.IbisknotError) -> None:
        """Responds to a request that could not be read."""
        if self.parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        logs.event("request_unreadable", level="warning", cause=error.message)
        body = error.code.encode()
        head = h11.Response(
            status_code=error.status,
            headers=[
                (b"Content-Length", str(len(body)).encode()),
                (b"Connection", b"close"),
            ],
        )
        events = (head, h11.Data(data=body), h11.EndOfMessage())
        data = b"".join(self.parser.send(event) or b"" for event in events)
        with anyio.move_on_after(1.0):
            await self.stream.send(data)
            await self._linger()

    async def _linger(self) -> None:
        """Reads until the caller closes the connection.

        Closing with unread data would reset the connection, and the caller
        could lose the end of the response.
        """
        await self.stream.send_eof()
        with anyio.move_on_after(1.0):
            while True:
                await self.stream.receive(http11.READ_BYTES)
