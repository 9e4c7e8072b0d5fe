"""HTTP/1.1 server on h11 that tells a handler when its caller leaves."""

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
"""A caller that reads nothing for so long has gone."""
PIPELINED_BYTES = 64 * 1024
CLOSE_POLL_S = 0.25


@dataclasses.dataclass(slots=True)
class Limits:
    """What callers may send, and how long they may take."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Exchange:
    """One request and the means to answer it.

    Attributes:
        message: The request.
        started: Whether the head of the answer was sent.
        finished: Whether the whole answer was sent.
        aborted: Whether the connection ends without a whole answer.
        closing: Whether the answer tells the caller to close.
    """

    def __init__(
        self,
        message: http11.Message,
        stream: abc.SocketStream,
        parser: h11.Connection,
        *,
        closing: Callable[[], bool],
    ) -> None:
        self.message = message
        self.stream = stream
        self.parser = parser
        self.closing = closing
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
        except (TimeoutError, *http11.BROKEN) as error:
            self.aborted = True
            message = f"the caller reads no more: {error!r}"
            raise errors.CallerGoneError(message) from None

    def _head(self, status: int, headers: http11.Headers) -> h11.Response:
        self.started = True
        if self.closing():
            headers = [*headers, (b"Connection", b"close")]
        return h11.Response(status_code=status, headers=headers)

    async def start(self, status: int, headers: http11.Headers) -> None:
        """Sends the head of an answer whose body follows in pieces."""
        await self._send(self._head(status, headers))

    async def send(self, data: bytes) -> None:
        """Sends a piece of the body."""
        await self._send(h11.Data(data=data))

    async def finish(self) -> None:
        """Ends the answer as complete."""
        await self._send(h11.EndOfMessage())
        self.finished = True

    async def respond(
        self, status: int, headers: http11.Headers, body: bytes = b""
    ) -> None:
        """Sends a whole answer."""
        size = (b"Content-Length", str(len(body)).encode())
        events: list[h11.Event] = [self._head(status, [*headers, size])]
        if body and self.message.method != b"HEAD":
            events.append(h11.Data(data=body))
        await self._send(*events, h11.EndOfMessage())
        self.finished = True

    def abort(self) -> None:
        """Ends the connection so that the answer does not look complete."""
        self.aborted = True


Handler = Callable[[Exchange], Awaitable[None]]


class Server:
    """Serves one address.

    Attributes:
        limits: Limits in force; new requests take the current ones.
        closing: Whether answers tell callers to close.
        active: Number of requests that are being answered.
        buffered: Bytes of the bodies that are held now.
        buffer_bytes: Bodies beyond this are refused.
        connections: Number of open connections.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        limits: Limits | None = None,
        buffer_bytes: int = 64 * 1024 * 1024,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.handler = handler
        self.limits = limits or Limits()
        self.clock = clock
        self.closing = False
        self.active = 0
        self.buffered = 0
        self.buffer_bytes = buffer_bytes
        self.connections = 0

    async def serve(self, address: str) -> None:
        """Listens on `host:port` until cancelled."""
        host, _, port = address.rpartition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=int(port), backlog=1024
        )
        async with listener:
            await listener.serve(self.serve_connection)

    async def serve_connection(self, stream: abc.SocketStream) -> None:
        """Answers the requests of one connection."""
        self.connections += 1
        connection = _Connection(self, stream)
        try:
            http11.prepare(stream)
            await connection.run()
        except http11.BROKEN:
            pass
        except Exception as error:
            logs.event("connection_failed", level="error", error=repr(error))
        finally:
            self.connections -= 1
            connection.release()
            await http11.abort(stream)


class _Connection:
    """One caller's connection.

    Attributes:
        early: Bytes that arrived while a request was being answered.
        held: Bytes of the present request's body.
    """

    def __init__(self, server: Server, stream: abc.SocketStream) -> None:
        self.server = server
        self.stream = stream
        self.parser = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=server.limits.header_bytes,
        )
        self.early = bytearray()
        self.held = 0

    async def run(self) -> None:
        while True:
            try:
                message = await self._read()
            except errors.IbisknotError as error:
                await self._reject(error)
                return
            if message is None:
                return
            exchange = Exchange(
                message,
                self.stream,
                self.parser,
                closing=lambda: self.server.closing,
            )
            await self._answer(exchange)
            self.release()
            if exchange.aborted or not exchange.finished:
                return
            if self.parser.our_state is not h11.DONE:
                await self._linger()
                return
            self.parser.start_next_cycle()

    async def _receive(self) -> bytes:
        if self.early:
            data = bytes(self.early)
            self.early.clear()
            return data
        try:
            return await self.stream.receive(http11.READ_BYTES)
        except anyio.EndOfStream:
            return b""

    async def _read(self) -> http11.Message | None:
        """Reads one request; None when the caller sends no more.

        Raises:
            IbisknotError: The request is malformed, too large or too slow.
        """
        limits = self.server.limits
        if not self.early and not self.parser.trailing_data[0]:
            data = await self._first_bytes(limits.idle_timeout_s)
            if not data:
                return None
            self.early += data
        received_s = self.server.clock()
        try:
            with anyio.fail_after(limits.header_timeout_s):
                head = await self._head()
            if head is None:
                return None
            message = http11.Message(
                method=head.method,
                target=head.target,
                headers=http11.raw_headers(head),
                received_s=received_s,
            )
            with anyio.fail_after(limits.idle_timeout_s):
                message.body = await self._body(limits.body_bytes)
        except TimeoutError:
            raise errors.RequestTimeoutError("the request is slow") from None
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == 431:
                raise errors.HeadersTooLargeError(str(error)) from None
            raise errors.BadRequestError(str(error)) from None
        return message

    async def _first_bytes(self, idle_timeout_s: float) -> bytes:
        """Waits for the next request; returns nothing to close."""
        deadline = self.server.clock() + idle_timeout_s
        while self.server.clock() < deadline:
            with anyio.move_on_after(CLOSE_POLL_S):
                return await self._receive()
            if self.server.closing:
                return b""
        return b""

    async def _head(self) -> h11.Request | None:
        while True:
            event = self.parser.next_event()
            if isinstance(event, h11.Request):
                return event
            if isinstance(event, h11.ConnectionClosed):
                return None
            if event is h11.NEED_DATA:
                self.parser.receive_data(await self._receive())

    async def _body(self, limit_bytes: int) -> bytes:
        body = bytearray()
        while True:
            event = self.parser.next_event()
            if isinstance(event, h11.Data):
                body += event.data
                self._hold(len(event.data))
                if len(body) > limit_bytes:
                    raise errors.BodyTooLargeError("the body is too large")
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            elif event is h11.NEED_DATA:
                if self.parser.they_are_waiting_for_100_continue:
                    await self._continue()
                self.parser.receive_data(await self._receive())
            else:
                raise errors.BadRequestError("the body is cut off")

    def _hold(self, size: int) -> None:
        """Counts bytes of a body until its request has been answered.

        Raises:
            UnavailableError: The process holds too many bodies.
        """
        self.held += size
        self.server.buffered += size
        if self.server.buffered > self.server.buffer_bytes:
            raise errors.UnavailableError("too many bodies are held")

    def release(self) -> None:
        """Ends the count of the bytes that this connection holds."""
        self.server.buffered -= self.held
        self.held = 0

    async def _continue(self) -> None:
        event = h11.InformationalResponse(status_code=100, headers=[])
        await self.stream.send(self.parser.send(event) or b"")

    async def _answer(self, exchange: Exchange) -> None:
        self.server.active += 1
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._watch, exchange, group.cancel_scope)
                await self.server.handler(exchange)
                group.cancel_scope.cancel()
        except* errors.CallerGoneError:
            exchange.abort()
        finally:
            self.server.active -= 1

    async def _watch(
        self, exchange: Exchange, scope: anyio.CancelScope
    ) -> None:
        """Cancels the handler when the caller leaves."""
        while True:
            try:
                data = await self.stream.receive(http11.READ_BYTES)
            except http11.BROKEN:
                exchange.abort()
                scope.cancel()
                return
            self.early += data
            if len(self.early) > PIPELINED_BYTES:
                exchange.abort()
                scope.cancel()
                return

    async def _reject(self, error: errors.IbisknotError) -> None:
        """Answers a request that could not be read, and closes."""
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
        """Reads until the caller closes, so that no reset cuts the answer."""
        await self.stream.send_eof()
        with anyio.move_on_after(1.0):
            while True:
                await self.stream.receive(http11.READ_BYTES)
