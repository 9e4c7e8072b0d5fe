"""One connection of a caller: reads requests and runs their handler."""

import typing

import anyio
from anyio import abc
from anyio import lowlevel
import h11

from ibisknot import errors
from ibisknot import http11
from ibisknot import http_exchange
from ibisknot import turns
from ibisknot.client_limits import budget
from ibisknot.client_limits import client_stream

if typing.TYPE_CHECKING:
    from ibisknot import http_server

MAX_PIPELINED_BYTES = 16 * 1024
"""Data that is read while a request is handled; more waits until its end."""
LEFT_CHECK_PERIOD_S = 0.25
"""Period of the check whether a caller that is not read has disconnected."""
MAX_FRAMING_FACTOR = 8
"""Bytes that a chunked body may take for each of its own.

A chunk of one byte takes 6.
"""
MAX_LINGER_BYTES = 8 * 1024 * 1024
"""Data of a refused request that is read so that its caller gets the refusal.

It is more than the largest body.
"""
BODIES = "bodies"
"""Cause of refusals: too many bodies are in memory."""
CLOSING_WAIT_S = 0.5
"""Time that a connection has for its next request while the server closes.

It is not closed at once: a request may be on its way.
"""


class Connection:
    """One caller's connection.

    Attributes:
        account: Is charged for what was received and is not yet handled.
        unparsed: Received data that the parser has not been given.
        body_bytes: Size of the current request's body, as counted in the
            server's `buffered_bytes`.
    """

    def __init__(
        self,
        server: "http_server.Server",
        stream: abc.SocketStream,
        account: budget.Account,
    ) -> None:
        self.server = server
        self.stream = stream
        self.account = account
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
                self.server.receiving.discard(self)
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
        refusal: tuple[int, str] | None = None
        request: http11.Request | None = None
        try:
            request = await self._read_request()
        except errors.IbisknotError as error:
            refusal = error.status, error.code
        if refusal is not None:
            # The error's traceback has held the body until here.
            self.release()
            await self._reject(*refusal)
            return False
        if request is None or self.account.is_closed:
            # A connection that was closed may have been sent a refusal.
            return False
        limit = self.server.clients.limit
        exchange = http_exchange.Exchange(
            request,
            self.stream,
            self.parser,
            is_closing=lambda: self.server.is_closing,
            charge=self._charge,
        )
        limit.begin_work(self.account)
        try:
            await self._handle(exchange)
        finally:
            limit.end_work(self.account)
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

    def _charge(self, size: int) -> bool:
        return self.server.clients.limit.charge(self.account, size)

    async def _receive(self) -> bytes:
        """Returns the next data, which is charged; empty at the end.

        Raises:
            UnavailableError: Too much is held for clients.
        """
        if self.unparsed:
            data = bytes(self.unparsed)
            self.unparsed.clear()
            return data
        try:
            data = await self.stream.receive(client_stream.READ_BYTES)
        except anyio.EndOfStream:
            return b""
        if not self._charge(len(data)):
            self.server.clients.refusals.record(
                self.server.quota.name, budget.MEMORY, self.account.address
            )
            raise errors.UnavailableError("clients hold too much memory")
        return data

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
        ahead_bytes = len(self.unparsed) + len(self.parser.trailing_data[0])
        # What the last request took is no longer held.
        self._charge(ahead_bytes - self.account.held_bytes)
        if ahead_bytes:
            # Callers that wait for their responses have a turn in between.
            await lowlevel.checkpoint()
            return True
        timeout_s = self.server.limits.idle_timeout_s
        if self.server.is_closing:
            timeout_s = CLOSING_WAIT_S
        with anyio.move_on_after(timeout_s) as scope:
            self.server.idle_scopes.add(scope)
            try:
                self.unparsed += await self._receive()
            except errors.UnavailableError:
                return False
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
        wire_bytes = 0
        turn = turns.Counter()
        while True:
            event = self.parser.next_event()
            if isinstance(event, h11.Data):
                body += event.data
                self._count_body_bytes(len(event.data))
                if len(body) > max_bytes:
                    raise errors.BodyTooLargeError("the body is too large")
                await turn.spend(len(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            elif event is h11.NEED_DATA:
                if self.parser.they_are_waiting_for_100_continue:
                    await self._send_continue()
                data = await self._receive()
                turn.reset()
                wire_bytes += len(data)
                self._check_framing(wire_bytes, len(body))
                self.parser.receive_data(data)
            else:
                raise errors.BadRequestError("the body is incomplete")

    def _check_framing(self, wire_bytes: int, body_bytes: int) -> None:
        """Refuses a body that has much more framing than content.

        Raises:
            BadRequestError: It has, such as long chunk extensions.
        """
        allowed_bytes = (
            self.server.limits.max_header_bytes
            + 2 * client_stream.READ_BYTES
            + MAX_FRAMING_FACTOR * body_bytes
        )
        if wire_bytes > allowed_bytes:
            raise errors.BadRequestError("the body has too much framing")

    def _count_body_bytes(self, size: int) -> None:
        """Counts bytes of a body, until `release_body_bytes` is called.

        If too many bodies are in memory, the largest one that is still being
        received is refused.

        Raises:
            UnavailableError: This is the largest one.
        """
        server = self.server
        self.body_bytes += size
        server.buffered_bytes += size
        server.receiving.add(self)
        while server.buffered_bytes > server.max_buffered_bytes:
            largest = max(server.receiving, key=lambda c: c.body_bytes)
            if largest is self or largest.account not in server.quota.accounts:
                raise errors.UnavailableError(
                    "too many request bodies are in memory"
                )
            largest.release()
            server.clients.limit.close(largest.account, BODIES)

    def release_body_bytes(self) -> None:
        """Subtracts the current body from the server's count."""
        self.server.receiving.discard(self)
        self.server.buffered_bytes -= self.body_bytes
        self.body_bytes = 0

    def release(self) -> None:
        """Gives back all that is charged, except for the connection itself."""
        self.release_body_bytes()
        self._charge(-self.account.held_bytes)

    async def _send_continue(self) -> None:
        event = h11.InformationalResponse(status_code=100, headers=[])
        await self.stream.send(self.parser.send(event) or b"")

    async def _handle(self, exchange: http_exchange.Exchange) -> None:
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
        self, exchange: http_exchange.Exchange, handler_scope: anyio.CancelScope
    ) -> None:
        """Cancels the handler when the caller disconnects.

        A caller that has sent `MAX_PIPELINED_BYTES` ahead is not read until
        the end of the request.
        """
        try:
            while True:
                if len(self.unparsed) < MAX_PIPELINED_BYTES:
                    data = await self.stream.receive(MAX_PIPELINED_BYTES)
                    self.unparsed += data
                    self._charge(len(data))
                    continue
                await anyio.sleep(LEFT_CHECK_PERIOD_S)
                if http11.has_left(self.stream):
                    break
        except http11.CONNECTION_ERRORS:
            pass
        exchange.abort()
        handler_scope.cancel()

    async def _reject(self, status: int, code: str) -> None:
        """Responds to a request that could not be read.

        Args:
            status: Status of the response.
            code: Its body, and the cause for the log.
        """
        if self.parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        self.server.clients.refusals.record(
            self.server.quota.name, code, self.account.address
        )
        body = code.encode()
        head = h11.Response(
            status_code=status,
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
        remaining_bytes = MAX_LINGER_BYTES
        with anyio.move_on_after(1.0):
            while remaining_bytes > 0:
                remaining_bytes -= len(
                    await self.stream.receive(client_stream.READ_BYTES)
                )
