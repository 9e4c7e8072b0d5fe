"""HTTP/1.1 client with kept connections, for relays and the platform's store.

Each call says whether a byte of it may have reached the other side, which
alone decides whether it may be said not to have run.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import time
from typing import Any

import anyio
from anyio import abc
import h11

from ibisknot import errors
from ibisknot import http11

CONNECT_TIMEOUT_S = 0.25
DEFAULT_IDLE_S = 0.5
"""A server that states no idle timeout may have one below a second."""
IDLE_MARGIN_S = 0.8
MAXIMUM_IDLE = 64
"""Idle connections kept for one address."""
MAXIMUM_SKIPPED = 3
"""Answers to earlier requests that one call reads past."""


@dataclasses.dataclass(slots=True)
class Idle:
    """A kept connection and the monotonic time until which it is used."""

    stream: abc.SocketStream
    until_s: float


@dataclasses.dataclass(slots=True)
class Progress:
    """How far a call has come.

    Attributes:
        sent: Whether a byte of the request may have reached the other side.
        opened: Whether a new connection was opened for it.
    """

    sent: bool = False
    opened: bool = False


@dataclasses.dataclass(slots=True)
class Call:
    """One request to send.

    Attributes:
        is_answer: Tells an answer to this request from a late one to an
            earlier request on the same connection.
        silence_s: Seconds without a byte after which the call has failed, or
            None to wait.
    """

    address: str
    method: bytes
    target: bytes
    headers: http11.Headers
    body: bytes = b""
    is_answer: Callable[[http11.Headers], bool] | None = None
    silence_s: float | None = None
    progress: Progress = dataclasses.field(default_factory=Progress)


class Answer:
    """An answer whose body is read as it arrives.

    Attributes:
        complete: Whether the whole body was read.
    """

    def __init__(self, stream: abc.SocketStream, call: Call) -> None:
        self.stream = stream
        self.call = call
        self.parser = _parser(call)
        self.status = 0
        self.headers: http11.Headers = []
        self.complete = False

    def header(self, name: bytes) -> str | None:
        """Returns a header's value by its name in lower case."""
        return http11.header(self.headers, name)

    async def _event(self) -> Any:
        while True:
            event = self.parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.parser.receive_data(await self._receive())

    async def _receive(self) -> bytes:
        silence_s = self.call.silence_s
        try:
            if silence_s is None:
                return await self.stream.receive(http11.READ_BYTES)
            with anyio.fail_after(silence_s):
                return await self.stream.receive(http11.READ_BYTES)
        except anyio.EndOfStream:
            return b""

    async def read_head(self) -> None:
        """Reads up to the head of this call's answer."""
        for _ in range(MAXIMUM_SKIPPED + 1):
            event = await self._event()
            while isinstance(event, h11.InformationalResponse):
                event = await self._event()
            if not isinstance(event, h11.Response):
                raise h11.RemoteProtocolError("closed without an answer")
            headers = http11.raw_headers(event)
            is_answer = self.call.is_answer
            if is_answer is None or is_answer(headers):
                self.status = event.status_code
                self.headers = headers
                return
            await self._skip()
        raise h11.RemoteProtocolError("only answers to other requests came")

    async def _skip(self) -> None:
        """Reads past an answer to an earlier request."""
        while not isinstance(await self._event(), h11.EndOfMessage):
            pass
        rest, ended = self.parser.trailing_data
        self.parser = _parser(self.call)
        if rest:
            self.parser.receive_data(rest)
        if ended:
            self.parser.receive_data(b"")

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body.

        Raises:
            TruncatedStreamError: The answer broke off or is malformed.
        """
        try:
            while True:
                event = await self._event()
                if isinstance(event, h11.Data):
                    yield bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    self.complete = True
                    return
                else:
                    raise h11.RemoteProtocolError("the answer has no end")
        except (h11.RemoteProtocolError, *http11.BROKEN) as error:
            message = f"{self.call.address} broke off: {error!r}"
            raise errors.TruncatedStreamError(message) from None

    async def read(self, limit_bytes: int) -> bytes:
        """Returns the whole body.

        Raises:
            TruncatedStreamError: It broke off or is over the limit.
        """
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if len(body) > limit_bytes:
                raise errors.TruncatedStreamError(
                    f"{self.call.address}: over {limit_bytes} bytes"
                )
        return bytes(body)

    def is_reusable(self) -> bool:
        """Returns whether the connection can take another request."""
        if not self.complete or self.parser.their_state is not h11.DONE:
            return False
        return not self.parser.trailing_data[0]


class Client:
    """Keeps connections to the addresses that it calls.

    Attributes:
        idle: Kept connections by address, the latest used last.
        opened: Number of connections that were opened.
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float] = time.monotonic,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        local_host: str | None = None,
    ) -> None:
        self.local_host = local_host
        self.clock = clock
        self.connect_timeout_s = connect_timeout_s
        self.idle: dict[str, list[Idle]] = {}
        self.opened = 0

    @contextlib.asynccontextmanager
    async def open(self, call: Call) -> AsyncIterator[Answer]:
        """Sends a call and yields its answer once the head is there.

        The connection is closed when the block ends before the answer is
        complete, which tells the other side to stop its work.

        Raises:
            EndpointError: No answer came; `ran` says what is known.
        """
        stream = await self._connection(call)
        reused = False
        try:
            async with anyio.create_task_group() as group:
                sender = _Sender(stream, call)
                group.start_soon(sender.run)
                answer = Answer(stream, call)
                try:
                    await answer.read_head()
                except (h11.RemoteProtocolError, *http11.BROKEN) as error:
                    group.cancel_scope.cancel()
                    raise _lost(call, error) from None
                yield answer
                reused = answer.is_reusable() and sender.done
                group.cancel_scope.cancel()
        except BaseExceptionGroup as raised:
            raise _only(raised) from None
        finally:
            if reused:
                self._keep(call.address, stream, answer)
            else:
                await http11.abort(stream)

    async def fetch(
        self, call: Call, *, limit_bytes: int = 16 * 1024 * 1024
    ) -> tuple[int, bytes]:
        """Sends a call and returns status and body.

        Raises:
            EndpointError: No whole answer came; `ran` says what is known.
        """
        async with self.open(call) as answer:
            return answer.status, await answer.read(limit_bytes)

    async def _connection(self, call: Call) -> abc.SocketStream:
        kept = self.idle.get(call.address, [])
        while kept:
            entry = kept.pop()
            if self.clock() < entry.until_s and http11.is_quiet(entry.stream):
                return entry.stream
            await http11.abort(entry.stream)
        self.opened += 1
        call.progress.opened = True
        return await http11.dial(
            call.address, self.connect_timeout_s, local_host=self.local_host
        )

    def _keep(
        self, address: str, stream: abc.SocketStream, answer: Answer
    ) -> None:
        idle_s = _idle_s(answer.header(b"keep-alive"))
        kept = self.idle.setdefault(address, [])
        kept.append(Idle(stream, self.clock() + idle_s))

    async def close_idle(self) -> None:
        """Closes the kept connections that are too old or too many."""
        now = self.clock()
        for address, kept in list(self.idle.items()):
            stay = [e for e in kept if now < e.until_s][-MAXIMUM_IDLE:]
            gone = [e for e in kept if e not in stay]
            kept[:] = stay
            if not kept:
                self.idle.pop(address, None)
            for entry in gone:
                await http11.abort(entry.stream)


class _Sender:
    """Writes a request while its answer is read."""

    def __init__(self, stream: abc.SocketStream, call: Call) -> None:
        self.stream = stream
        self.call = call
        self.done = False

    async def run(self) -> None:
        call = self.call
        parser = h11.Connection(h11.CLIENT)
        data = parser.send(_request(call)) or b""
        if call.body:
            data += parser.send(h11.Data(data=call.body)) or b""
        data += parser.send(h11.EndOfMessage()) or b""
        call.progress.sent = True
        try:
            await self.stream.send(data)
            self.done = True
        except http11.BROKEN:
            # The reader finds out whether an answer came all the same.
            pass


def _request(call: Call) -> h11.Request:
    headers = list(call.headers)
    if call.body or call.method not in (b"GET", b"HEAD", b"DELETE"):
        size = str(len(call.body)).encode()
        headers.append((b"Content-Length", size))
    return h11.Request(method=call.method, target=call.target, headers=headers)


def _parser(call: Call) -> h11.Connection:
    """Returns a parser that expects the answer to a call."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(_request(call))
    if call.body:
        parser.send(h11.Data(data=call.body))
    parser.send(h11.EndOfMessage())
    return parser


def _lost(call: Call, error: BaseException) -> errors.EndpointError:
    ran = errors.UNKNOWN if call.progress.sent else errors.NOT_RUN
    message = f"no answer from {call.address}: {error!r}"
    return errors.EndpointError(message, ran=ran)


def _only(raised: BaseExceptionGroup[BaseException]) -> BaseException:
    """Returns the one error that a task group raised."""
    error: BaseException = raised
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _idle_s(keep_alive: str | None) -> float:
    """Returns how long a connection may be idle before it is closed.

    >>> _idle_s(None), _idle_s("timeout=5, max=9"), _idle_s("max=9")
    (0.5, 4.2, 0.5)
    """
    for part in (keep_alive or "").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return max(0.1, int(value) - IDLE_MARGIN_S)
    return DEFAULT_IDLE_S
