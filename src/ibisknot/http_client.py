"""HTTP/1.1 client that reuses connections to endpoints and the store."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import math
import time

import anyio
from anyio import abc
import h11

from ibisknot import errors
from ibisknot import http11
from ibisknot import http_call
from ibisknot import http_response
from ibisknot import tunnel

CONNECT_TIMEOUT_S = 0.25
DEFAULT_IDLE_TIMEOUT_S = 0.5
"""Used for servers that state no idle timeout: theirs may be below 1 s."""
IDLE_TIMEOUT_MARGIN_S = 0.8
"""Time before the server's idle timeout at which reuse ends."""
DELIVERY_WAIT_S = 0.5
"""Time after the end of a response's connection in which the request must be
delivered."""
DELIVERY_POLL_PERIOD_S = 0.01
RELAY_MARGIN_S = 0.05
"""Time that a helper of an earlier build may take to pass on the last frame."""
MAX_IDLE_CONNECTIONS = 64
"""Idle connections that are retained for one address."""


@dataclasses.dataclass(slots=True)
class IdleConnection:
    """An open connection that a later call may use.

    Attributes:
        usable_until_s: Monotonic time until which it may be reused.
    """

    stream: abc.ByteStream
    usable_until_s: float


class Client:
    """Sends calls and keeps their connections for later calls.

    Attributes:
        local_host: Address to connect from, or None for any.
        clock: Returns the monotonic time.
        connect_timeout_s: Seconds after which connecting fails.
        idle_connections: Idle connections by address, the most recently
            used last.
        opened_count: Number of connections that were opened.
        paths: How servers are reached whose paths may be lost, or None if
            all are reached directly.
        responses: The responses that are being received.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float] = time.monotonic,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        local_host: str | None = None,
        paths: http_call.Paths | None = None,
    ) -> None:
        self.paths = paths
        self.responses: set[http_response.Response] = set()
        self.local_host = local_host
        self.clock = clock
        self.connect_timeout_s = connect_timeout_s
        self.idle_connections: dict[str, list[IdleConnection]] = {}
        self.opened_count = 0

    @contextlib.asynccontextmanager
    async def send(
        self, call: http_call.Call
    ) -> AsyncIterator[http_response.Response]:
        """Sends a call and yields its response once the head was received.

        If the block ends before the response is complete, the connection is
        closed, so that the server stops its work.

        Raises:
            EndpointError: There is no response; `ran` tells whether the
                request may have run.
        """
        connection = await self._take_connection(call)
        stream = connection.stream
        try:
            if call.check_sendable is not None:
                call.check_sendable()
            if call.encode_headers is not None:
                call.headers = call.encode_headers()
            sender = _Sender(stream, call)
            response = http_response.Response(
                stream,
                call,
                self.paths if connection.is_direct else None,
                sender.is_delivered,
            )
        except h11.LocalProtocolError as error:
            await http11.close_abruptly(stream)
            message = f"the request to {call.address} is not valid: {error}"
            raise errors.UnsendableError(message) from None
        except errors.EndpointError:
            await http11.close_abruptly(stream)
            raise
        self.responses.add(response)
        reusable = False
        try:
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(sender.send)
                try:
                    await response.read_head()
                except (
                    h11.RemoteProtocolError,
                    *http11.CONNECTION_ERRORS,
                ) as error:
                    task_group.cancel_scope.cancel()
                    raise http_call.no_response_error(call, error) from None
                yield response
                reusable = response.is_reusable() and sender.done
                task_group.cancel_scope.cancel()
        except BaseExceptionGroup as raised:
            cause = _unwrap(raised)
            if connection.is_direct and isinstance(cause, errors.EndpointError):
                cause = await self._explain(call, cause)
            raise cause from None
        finally:
            self.responses.discard(response)
            if reusable and connection.is_direct:
                self._store_connection(call.address, stream, response)
            else:
                await http11.close_abruptly(stream)

    async def _explain(
        self, call: http_call.Call, error: errors.EndpointError
    ) -> errors.EndpointError:
        """Returns the error of a call whose connection may have lost its path.

        An endpoint is not to blame for a lost path.
        """
        if self.paths is None or not call.progress.broke_off:
            return error
        if isinstance(error, errors.PathLostError):
            return error
        has_links = not self.paths.is_silent(http_response.SILENCE_S)
        if has_links and isinstance(error, errors.StalledError):
            return error
        if not await self.paths.is_lost(call.address):
            return error
        return errors.PathLostError(error.message, ran=error.ran)

    def on_path_lost(self, address: str) -> None:
        """Ends what waits on a lost path, and closes its idle connections.

        Connections on which data still arrives are kept.
        """
        assert self.paths is not None
        for response in self.responses:
            if self.paths.is_known_lost(response.call.address):
                response.end_silent_read()
        for idle_address, idle in self.idle_connections.items():
            if self.paths.is_known_lost(idle_address):
                for connection in idle:
                    connection.usable_until_s = -math.inf

    async def fetch(
        self,
        call: http_call.Call,
        *,
        max_bytes: int = 16 * 1024 * 1024,
        check: Callable[[int, bytes], None] | None = None,
    ) -> tuple[int, bytes]:
        """Sends a call and returns the status and body of the response.

        Args:
            call: The call.
            max_bytes: Largest size of the body.
            check: Called with status and body. If it raises, the connection
                is not used again.

        Raises:
            EndpointError: There is no complete response; `ran` tells whether
                the request may have run.
        """
        async with self.send(call) as response:
            body = await response.read_body(max_bytes)
            if check is not None:
                check(response.status, body)
            return response.status, body

    async def _take_connection(
        self, call: http_call.Call
    ) -> http_call.Connection:
        """Returns an idle connection, or a new one if none is usable."""
        idle = self.idle_connections.get(call.address, [])
        while idle:
            connection = idle.pop()
            if self.clock() < connection.usable_until_s and http11.is_idle(
                connection.stream
            ):
                return http_call.Connection(connection.stream)
            await http11.close_abruptly(connection.stream)
        self.opened_count += 1
        call.progress.connection_opened = True
        if self.paths is not None:
            return await self.paths.connect(
                call.address, call.max_s, call.allowed_regions
            )
        stream = await http11.connect(
            call.address, self.connect_timeout_s, local_host=self.local_host
        )
        return http_call.Connection(stream)

    def _store_connection(
        self,
        address: str,
        stream: abc.ByteStream,
        response: http_response.Response,
    ) -> None:
        """Retains a connection for later calls."""
        idle_s = _idle_timeout_s(response.get_header(b"keep-alive"))
        idle = self.idle_connections.setdefault(address, [])
        idle.append(IdleConnection(stream, self.clock() + idle_s))

    async def evict_idle(self) -> None:
        """Closes idle connections that are too old or above the count limit.

        It is called periodically.
        """
        now = self.clock()
        for address, idle in list(self.idle_connections.items()):
            retained = [e for e in idle if now < e.usable_until_s][
                -MAX_IDLE_CONNECTIONS:
            ]
            evicted = [e for e in idle if e not in retained]
            idle[:] = retained
            if not idle:
                self.idle_connections.pop(address, None)
            for connection in evicted:
                await http11.close_abruptly(connection.stream)


class _Sender:
    """Sends a request while its response is read.

    Attributes:
        done: Whether the whole request was sent.
        done_s: Monotonic time at which it was.
        ended: Set when nothing more is sent.
    """

    def __init__(self, stream: abc.ByteStream, call: http_call.Call) -> None:
        self.stream = stream
        self.call = call
        self.done = False
        self.done_s = math.inf
        self.ended = anyio.Event()

    async def send(self) -> None:
        """Sends the request; `done` stays False if the connection ends."""
        call = self.call
        parser = h11.Connection(h11.CLIENT)
        data = parser.send(http_call.make_request(call)) or b""
        if call.body:
            data += parser.send(h11.Data(data=call.body)) or b""
        data += parser.send(h11.EndOfMessage()) or b""
        call.progress.sending_started = True
        try:
            await self.stream.send(data)
            self.done = True
            self.done_s = anyio.current_time()
        except http11.CONNECTION_ERRORS:
            # The server may have responded before it closed the connection;
            # the reader of the response decides.
            pass
        finally:
            self.ended.set()

    async def is_delivered(self) -> bool:
        """Returns whether the other end has received the whole request.

        Called when that has ended the connection. It waits for what is on the
        way, because a reset may still be on the way as well.
        """
        asked_s = anyio.current_time()
        with anyio.move_on_after(DELIVERY_WAIT_S):
            await self.ended.wait()
            if not self.done:
                return False
            if isinstance(self.stream, tunnel.Stream):
                return self._is_delivered_by(self.stream, asked_s)
            while http11.undelivered_bytes(self.stream):
                await anyio.sleep(DELIVERY_POLL_PERIOD_S)
            return not http11.is_reset(self.stream)
        return False

    def _is_delivered_by(self, stream: tunnel.Stream, ended_s: float) -> bool:
        """Returns whether a helper has delivered the whole request.

        A helper of an earlier build does not say so. The last of several
        frames may not have been passed on when the response ended.

        Args:
            stream: The tunnel.
            ended_s: Monotonic time at which the response has ended.
        """
        if stream.delivered_bytes is not None:
            return stream.delivered_bytes == stream.sent_bytes
        has_one_frame = stream.sent_bytes <= tunnel.MAX_FRAME_BYTES
        return has_one_frame or ended_s - self.done_s >= RELAY_MARGIN_S


def _unwrap(group: BaseExceptionGroup[BaseException]) -> BaseException:
    """Returns the first single error in nested exception groups."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _idle_timeout_s(keep_alive_header: str | None) -> float:
    """Returns the seconds for which an idle connection may be reused.

    Args:
        keep_alive_header: The server's `Keep-Alive` header, or None.

    >>> headers = [None, "timeout=5, max=9", "max=9"]
    >>> [_idle_timeout_s(header) for header in headers]
    [0.5, 4.2, 0.5]
    """
    for part in (keep_alive_header or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return max(0.1, int(value) - IDLE_TIMEOUT_MARGIN_S)
    return DEFAULT_IDLE_TIMEOUT_S
