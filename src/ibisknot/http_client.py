"""HTTP/1.1 client that reuses connections to endpoints and the store.

It records for each call whether the server may have received a part of it:
only a call of which nothing was sent is certain not to have run.
"""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import math
import time
from typing import Any

import anyio
from anyio import abc
import h11

from ibisknot import errors
from ibisknot import http11

CONNECT_TIMEOUT_S = 0.25
DEFAULT_IDLE_TIMEOUT_S = 0.5
"""Used for servers that state no idle timeout: theirs may be below 1 s."""
IDLE_TIMEOUT_MARGIN_S = 0.8
"""Time before the server's idle timeout at which reuse ends."""
MAX_IDLE_CONNECTIONS = 64
"""Idle connections that are retained for one address."""
MAX_SKIPPED_RESPONSES = 3
"""Responses to earlier requests that one call skips."""
MAX_SKIPPED_BYTES = 1024 * 1024
"""Size of the bodies of these responses."""
MAX_INFORMATIONAL_RESPONSES = 8
"""Responses such as `100 Continue` before the final one."""
MAX_READS_AFTER_TIMEOUT = 3
"""Reads after the time without progress has passed.

A process that was paused finds the data that came in the meantime.
"""
LATE_READ_TIMEOUT_S = 0.05
SILENCE_S = 0.3
"""Time without data after which the path to a server is doubted."""


@dataclasses.dataclass(slots=True)
class Connection:
    """A connection to a server.

    Attributes:
        stream: Its bytes.
        is_direct: Whether no other process relays it.
    """

    stream: abc.ByteStream
    is_direct: bool = True


@dataclasses.dataclass(slots=True)
class Paths:
    """How servers are reached whose paths may be lost.

    Attributes:
        connect: Opens a connection to an address, which the relaying process
            may end after some seconds; raises EndpointError.
        check_soon: Starts a check of the path to an address.
        is_lost: Returns whether the path to an address was lost, after a
            check if that is not known.
        is_known_lost: The same without a check.
        record_received: Called with each direct receipt of data.
        is_silent: Returns whether no server has sent data for some seconds.
    """

    connect: Callable[[str, float | None], Awaitable[Connection]]
    check_soon: Callable[[str], None]
    is_lost: Callable[[str], Awaitable[bool]]
    is_known_lost: Callable[[str], bool]
    record_received: Callable[[], None]
    is_silent: Callable[[float], bool]


@dataclasses.dataclass(slots=True)
class IdleConnection:
    """An open connection that a later call may use.

    Attributes:
        usable_until_s: Monotonic time until which it may be reused.
    """

    stream: abc.ByteStream
    usable_until_s: float


@dataclasses.dataclass(slots=True)
class Progress:
    """Progress of a call.

    Attributes:
        sending_started: Whether the server may have received a part of the
            request.
        connection_opened: Whether a new connection was opened for it.
        broke_off: Whether the connection failed before the response's end.
    """

    sending_started: bool = False
    connection_opened: bool = False
    broke_off: bool = False


@dataclasses.dataclass(slots=True)
class Call:
    """One request to send.

    Attributes:
        address: Address of the server, `host:port`.
        target: Path and query as they are sent.
        headers: Headers without those of the body's framing.
        is_own_response: Returns whether a response with these headers belongs
            to this request. A late response to an earlier request on the same
            connection does not. None accepts every response.
        read_timeout_s: Seconds without progress after which the call fails,
            or None for no limit. `needs_useful_data` says what progress is.
        needs_useful_data: Whether only a response's head and what its reader
            reports by `Response.record_progress` count as progress, so that
            single bytes now and then do not keep a call alive. Otherwise all
            received data counts.
        encode_headers: Returns the headers when the request is sent, or None
            if `headers` has them.
        max_s: Seconds after which a process that relays the call may end it.
        progress: Progress of the call.
    """

    address: str
    method: bytes
    target: bytes
    headers: http11.Headers = dataclasses.field(default_factory=list)
    body: bytes = b""
    encode_headers: Callable[[], http11.Headers] | None = None
    max_s: float | None = None
    is_own_response: Callable[[http11.Headers], bool] | None = None
    read_timeout_s: float | None = None
    needs_useful_data: bool = False
    progress: Progress = dataclasses.field(default_factory=Progress)


class Response:
    """A response whose body is read as it arrives.

    Attributes:
        parser: Parser of the data received on the connection.
        status: Status code, 0 until the head was read.
        headers: Headers, empty until the head was read.
        complete: Whether the whole body was read.
        skipped_bytes: Size of the bodies of skipped responses.
        progress_s: Monotonic time of the last progress.
        reads_after_timeout: Reads since the time without progress has passed.
        watched_paths: The paths if the connection depends on one of them.
        silent_scope: Cancelled when the path is lost while data is awaited.
        is_silent: Whether data has been awaited for `SILENCE_S`.
        is_path_lost: Whether the path was lost.
    """

    def __init__(
        self,
        stream: abc.ByteStream,
        call: Call,
        watched_paths: Paths | None = None,
    ) -> None:
        self.stream = stream
        self.call = call
        self.watched_paths = watched_paths
        self.silent_scope = anyio.CancelScope()
        self.is_silent = False
        self.is_path_lost = False
        self.parser = _make_parser(call)
        self.status = 0
        self.headers: http11.Headers = []
        self.complete = False
        self.skipped_bytes = 0
        self.progress_s = anyio.current_time()
        self.reads_after_timeout = 0

    def record_progress(self) -> None:
        """Restarts the time without progress after which the call fails."""
        self.progress_s = anyio.current_time()
        self.reads_after_timeout = 0

    def get_header(self, name: bytes) -> str | None:
        """Returns a header's first value by its name in lower case."""
        return http11.get_header(self.headers, name)

    async def _next_event(self) -> Any:
        while True:
            event = self.parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.parser.receive_data(await self._receive())

    async def _receive(self) -> bytes:
        """Returns received data; empty at the end of the connection.

        Raises:
            TimeoutError: There was no progress for the call's read timeout.
        """
        timeout_s = self.call.read_timeout_s
        try:
            if timeout_s is None:
                return await self._read()
            with anyio.fail_after(self._remaining_s(timeout_s)):
                data = await self._read()
        except anyio.EndOfStream:
            return b""
        if not self.call.needs_useful_data:
            self.record_progress()
        return data

    async def _read(self) -> bytes:
        """Returns received data; doubts the path while there is none.

        Raises:
            PathLostError: The path was lost.
        """
        paths = self.watched_paths
        if paths is None:
            return await self.stream.receive(http11.READ_BYTES)
        try:
            while True:
                with anyio.move_on_after(SILENCE_S) as self.silent_scope:
                    data = await self.stream.receive(http11.READ_BYTES)
                    paths.record_received()
                    return data
                self._doubt_path(paths)
        finally:
            self.is_silent = False

    def _doubt_path(self, paths: Paths) -> None:
        """Has the path checked if other servers are silent as well.

        Raises:
            PathLostError: The path was lost.
        """
        self.is_silent = True
        if self.is_path_lost or paths.is_known_lost(self.call.address):
            raise http11.PathLostError
        if paths.is_silent(SILENCE_S):
            paths.check_soon(self.call.address)

    def end_silent_read(self) -> None:
        """Ends a read that waits on a path that was lost."""
        if self.is_silent:
            self.is_path_lost = True
            self.silent_scope.cancel()

    def _remaining_s(self, timeout_s: float) -> float:
        """Returns the seconds for which the next read may wait.

        Raises:
            TimeoutError: The reads after the timeout are used up.
        """
        remaining_s = self.progress_s + timeout_s - anyio.current_time()
        if remaining_s > 0.0:
            return remaining_s
        self.reads_after_timeout += 1
        if self.reads_after_timeout > MAX_READS_AFTER_TIMEOUT:
            raise TimeoutError
        return LATE_READ_TIMEOUT_S

    async def read_head(self) -> None:
        """Reads the head of the response to this call.

        Raises:
            RemoteProtocolError: There is no response to this call.
        """
        for _ in range(MAX_SKIPPED_RESPONSES + 1):
            event = await self._next_final_event()
            if not isinstance(event, h11.Response):
                raise h11.RemoteProtocolError("closed without a response")
            headers = http11.raw_headers(event)
            is_own_response = self.call.is_own_response
            if is_own_response is None or is_own_response(headers):
                self.status = event.status_code
                self.headers = headers
                self.record_progress()
                return
            await self._skip_response()
        raise h11.RemoteProtocolError(
            "received only responses to other requests"
        )

    async def _next_final_event(self) -> Any:
        """Returns the next event that is not an informational response."""
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_event()
            if not isinstance(event, h11.InformationalResponse):
                return event
        raise h11.RemoteProtocolError("too many informational responses")

    async def _skip_response(self) -> None:
        """Skips a response to an earlier request.

        Raises:
            RemoteProtocolError: The skipped responses are too large.
        """
        event = await self._next_event()
        while not isinstance(event, h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise h11.RemoteProtocolError("a skipped response is cut")
            self.skipped_bytes += len(event.data)
            if self.skipped_bytes > MAX_SKIPPED_BYTES:
                raise h11.RemoteProtocolError("skipped responses are too large")
            event = await self._next_event()
        remaining, ended = self.parser.trailing_data
        self.parser = _make_parser(self.call)
        if remaining:
            self.parser.receive_data(remaining)
        if ended:
            self.parser.receive_data(b"")

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body in pieces.

        Raises:
            TruncatedStreamError: The response is incomplete or malformed.
            StalledError: There was no progress for the call's read timeout.
        """
        try:
            while True:
                event = await self._next_event()
                if isinstance(event, h11.Data):
                    yield bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    self.complete = True
                    return
                else:
                    raise h11.RemoteProtocolError("the response is incomplete")
        except TimeoutError:
            self.call.progress.broke_off = True
            raise _stalled_error(self.call, errors.RAN) from None
        except (h11.RemoteProtocolError, *http11.CONNECTION_ERRORS) as error:
            self.call.progress.broke_off = True
            message = (
                f"response of {self.call.address} is incomplete: {error!r}"
            )
            if isinstance(error, http11.PathLostError):
                raise errors.PathLostError(message, ran=errors.RAN) from None
            raise errors.TruncatedStreamError(message) from None

    async def read_body(self, max_bytes: int) -> bytes:
        """Returns the whole body.

        Args:
            max_bytes: Largest size of the body.

        Raises:
            TruncatedStreamError: It is incomplete, malformed or too large.
        """
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if len(body) > max_bytes:
                raise errors.TruncatedStreamError(
                    f"response of {self.call.address} is over {max_bytes} bytes"
                )
        return bytes(body)

    def is_reusable(self) -> bool:
        """Returns whether the connection can be used for another request."""
        if not self.complete or self.parser.their_state is not h11.DONE:
            return False
        return not self.parser.trailing_data[0]


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
        paths: Paths | None = None,
    ) -> None:
        self.paths = paths
        self.responses: set[Response] = set()
        self.local_host = local_host
        self.clock = clock
        self.connect_timeout_s = connect_timeout_s
        self.idle_connections: dict[str, list[IdleConnection]] = {}
        self.opened_count = 0

    @contextlib.asynccontextmanager
    async def send(self, call: Call) -> AsyncIterator[Response]:
        """Sends a call and yields its response once the head was received.

        If the block ends before the response is complete, the connection is
        closed, so that the server stops its work.

        Raises:
            EndpointError: There is no response; `ran` tells whether the
                request may have run.
        """
        connection = await self._take_connection(call)
        stream = connection.stream
        if call.encode_headers is not None:
            call.headers = call.encode_headers()
        response = Response(
            stream, call, self.paths if connection.is_direct else None
        )
        self.responses.add(response)
        reusable = False
        try:
            async with anyio.create_task_group() as task_group:
                sender = _Sender(stream, call)
                task_group.start_soon(sender.send)
                try:
                    await response.read_head()
                except (
                    h11.RemoteProtocolError,
                    *http11.CONNECTION_ERRORS,
                ) as error:
                    task_group.cancel_scope.cancel()
                    raise _no_response_error(call, error) from None
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
        self, call: Call, error: errors.EndpointError
    ) -> errors.EndpointError:
        """Returns the error of a call whose connection may have lost its path.

        An endpoint is not to blame for a lost path.
        """
        if self.paths is None or not call.progress.broke_off:
            return error
        if isinstance(error, errors.PathLostError):
            return error
        has_links = not self.paths.is_silent(SILENCE_S)
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
        call: Call,
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

    async def _take_connection(self, call: Call) -> Connection:
        """Returns an idle connection, or a new one if none is usable."""
        idle = self.idle_connections.get(call.address, [])
        while idle:
            connection = idle.pop()
            if self.clock() < connection.usable_until_s and http11.is_idle(
                connection.stream
            ):
                return Connection(connection.stream)
            await http11.close_abruptly(connection.stream)
        self.opened_count += 1
        call.progress.connection_opened = True
        if self.paths is not None:
            return await self.paths.connect(call.address, call.max_s)
        stream = await http11.connect(
            call.address, self.connect_timeout_s, local_host=self.local_host
        )
        return Connection(stream)

    def _store_connection(
        self, address: str, stream: abc.ByteStream, response: Response
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
    """

    def __init__(self, stream: abc.ByteStream, call: Call) -> None:
        self.stream = stream
        self.call = call
        self.done = False

    async def send(self) -> None:
        """Sends the request; `done` stays False if the connection ends."""
        call = self.call
        parser = h11.Connection(h11.CLIENT)
        data = parser.send(_make_request(call)) or b""
        if call.body:
            data += parser.send(h11.Data(data=call.body)) or b""
        data += parser.send(h11.EndOfMessage()) or b""
        call.progress.sending_started = True
        try:
            await self.stream.send(data)
            self.done = True
        except http11.CONNECTION_ERRORS:
            # The server may have responded before it closed the connection;
            # the reader of the response decides.
            pass


def _make_request(call: Call) -> h11.Request:
    headers = list(call.headers)
    if call.body or call.method not in (b"GET", b"HEAD", b"DELETE"):
        size = str(len(call.body)).encode()
        headers.append((b"Content-Length", size))
    return h11.Request(method=call.method, target=call.target, headers=headers)


def _make_parser(call: Call) -> h11.Connection:
    """Returns a parser for the response to a call."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(_make_request(call))
    if call.body:
        parser.send(h11.Data(data=call.body))
    parser.send(h11.EndOfMessage())
    return parser


def _no_response_error(
    call: Call, error: BaseException
) -> errors.EndpointError:
    ran = errors.UNKNOWN if call.progress.sending_started else errors.NOT_RUN
    call.progress.broke_off = True
    if isinstance(error, http11.PathLostError):
        message = f"the path to {call.address} was lost"
        return errors.PathLostError(message, ran=ran)
    if isinstance(error, TimeoutError):
        return _stalled_error(call, ran)
    message = f"no response from {call.address}: {error!r}"
    return errors.EndpointError(message, ran=ran)


def _stalled_error(call: Call, ran: str) -> errors.StalledError:
    message = f"{call.address}: no progress for {call.read_timeout_s} s"
    return errors.StalledError(message, ran=ran)


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
