"""HTTP/1.1 to endpoints over kept connections, with h11 as the codec.

It stands below `httpx` responses in place of httpx's own transport, which
enters some twenty cancel scopes for each request.
"""

from collections.abc import AsyncIterator
import dataclasses
import select
from urllib import parse

import anyio
from anyio import abc
import h11
import httpx

CHUNK_BYTES = 64 * 1024
BROKEN = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
)


@dataclasses.dataclass(slots=True)
class Connection:
    """A connection to an endpoint."""

    address: str
    stream: abc.SocketStream
    codec: h11.Connection

    def usable(self) -> bool:
        """Returns whether an idle connection is still open and silent."""
        try:
            raw = self.stream.extra(abc.SocketAttribute.raw_socket)
            poll = select.poll()
            poll.register(raw, select.POLLIN)
            return not poll.poll(0)
        except (OSError, ValueError, RuntimeError):
            # The transport has closed meanwhile.
            return False


class Transport:
    """Sends requests and keeps connections that can be used again.

    Attributes:
        connect_timeout_s: Seconds for a connection to open.
        read_timeout_s: Seconds without any byte of an answer.
        idle: Kept connections by address.
    """

    def __init__(
        self, *, connect_timeout_s: float, read_timeout_s: float
    ) -> None:
        self.connect_timeout_s = connect_timeout_s
        self.read_timeout_s = read_timeout_s
        self.idle: dict[str, list[Connection]] = {}

    async def send(
        self,
        method: str,
        url: str,
        address: str,
        *,
        headers: dict[str, str],
        body: bytes,
    ) -> httpx.Response:
        """Sends a request; returns the answer with its body unread.

        Args:
            method: The HTTP method.
            url: The request's URL.
            address: The `host:port` to dial.
            headers: Headers without `host` and `content-length`.
            body: The whole body.

        Raises:
            httpx.ConnectError: The endpoint cannot be reached.
            httpx.HTTPError: It broke off, was silent or sent no HTTP.
        """
        connection = await self._connection(address)
        try:
            data = _request(connection.codec, method, url, headers, body)
            await connection.stream.send(data)
            event = await self._event(connection)
            while isinstance(event, h11.InformationalResponse):
                event = await self._event(connection)
            if not isinstance(event, h11.Response):
                raise httpx.RemoteProtocolError("the endpoint sent no answer")
        except BaseException as error:
            await self._close(connection)
            if isinstance(error, BROKEN):
                raise httpx.ReadError(repr(error)) from None
            raise
        return httpx.Response(
            event.status_code,
            headers=list(event.headers),
            stream=_Body(self, connection),
        )

    async def _connection(self, address: str) -> Connection:
        kept = self.idle.setdefault(address, [])
        while kept:
            connection = kept.pop()
            if connection.usable():
                return connection
            await self._close(connection)
        host, _, port = address.rpartition(":")
        try:
            with anyio.fail_after(self.connect_timeout_s):
                stream = await anyio.connect_tcp(host, int(port))
        except TimeoutError:
            raise httpx.ConnectTimeout(f"{address} timed out") from None
        except OSError as error:
            raise httpx.ConnectError(f"{address}: {error!r}") from None
        return Connection(address, stream, h11.Connection(h11.CLIENT))

    async def _event(self, connection: Connection) -> h11.Event | type:
        """Returns the next event of an answer.

        Raises:
            httpx.HTTPError: It broke off, was silent or sent no HTTP.
        """
        while True:
            try:
                event = connection.codec.next_event()
            except h11.RemoteProtocolError as error:
                raise httpx.RemoteProtocolError(str(error)) from None
            if event is not h11.NEED_DATA:
                return event
            try:
                with anyio.fail_after(self.read_timeout_s):
                    data = await connection.stream.receive(CHUNK_BYTES)
            except anyio.EndOfStream:
                data = b""
            except TimeoutError:
                message = f"no byte for {self.read_timeout_s:g} s"
                raise httpx.ReadTimeout(message) from None
            except BROKEN as error:
                raise httpx.ReadError(repr(error)) from None
            connection.codec.receive_data(data)

    async def finish(self, connection: Connection) -> None:
        """Keeps a connection whose answer is complete, else closes it."""
        codec = connection.codec
        if codec.our_state is h11.DONE and codec.their_state is h11.DONE:
            codec.start_next_cycle()
            self.idle.setdefault(connection.address, []).append(connection)
        else:
            await self._close(connection)

    async def _close(self, connection: Connection) -> None:
        with anyio.CancelScope(shield=True):
            try:
                await connection.stream.aclose()
            except BROKEN:
                pass

    async def aclose(self) -> None:
        """Closes the kept connections."""
        for kept in self.idle.values():
            for connection in kept:
                await self._close(connection)
        self.idle.clear()


class _Body(httpx.AsyncByteStream):
    """An answer's body; its connection is kept when it was read whole."""

    def __init__(self, transport: Transport, connection: Connection) -> None:
        self.transport = transport
        self.connection: Connection | None = connection

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yields the parts of the body as they arrive."""
        while self.connection is not None:
            event = await self.transport._event(self.connection)
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                # Another request may use the connection before the caller
                # has taken the last part.
                await self.aclose()
            else:
                raise httpx.RemoteProtocolError("the answer was cut")

    async def aclose(self) -> None:
        """Gives the connection back."""
        connection, self.connection = self.connection, None
        if connection is not None:
            await self.transport.finish(connection)


def _request(
    codec: h11.Connection,
    method: str,
    url: str,
    headers: dict[str, str],
    body: bytes,
) -> bytes:
    """Returns the bytes of a request.

    Raises:
        httpx.LocalProtocolError: A header or the path is not valid.
    """
    parts = parse.urlsplit(url)
    target = parts.path or "/"
    if parts.query:
        target = f"{target}?{parts.query}"
    lines = [("host", parts.netloc), ("content-length", str(len(body)))]
    lines.extend(headers.items())
    try:
        head = codec.send(
            h11.Request(method=method, target=target, headers=lines)
        )
        codec.send(h11.Data(data=body))
        codec.send(h11.EndOfMessage())
    except (h11.LocalProtocolError, UnicodeEncodeError) as error:
        raise httpx.LocalProtocolError(str(error)) from None
    return (head or b"") + body
