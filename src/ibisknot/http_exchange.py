"""One request of a caller and the methods to respond to it."""

from collections.abc import Callable

import anyio
from anyio import abc
import h11

from ibisknot import errors
from ibisknot import http11

SEND_TIMEOUT_S = 8.0
"""A caller to which a send takes longer is taken to have disconnected."""
FULL_RETRY_AFTER_S = 0.5
PIECE_BYTES = 64 * 1024
"""A larger body is sent in pieces, so that it is held only once."""


class Exchange:
    """One request and the methods to respond to it.

    These methods raise CallerGoneError if the caller cannot be sent data.

    Attributes:
        request: The request.
        is_closing: Returns whether the connection is to be closed after the
            response, which then has a `Connection: close` header.
        charge: Counts bytes that are held until the caller has taken them.
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
        charge: Callable[[int], object] = lambda _size: None,
    ) -> None:
        self.request = request
        self.stream = stream
        self.parser = parser
        self.is_closing = is_closing
        self.charge = charge
        self.started = False
        self.finished = False
        self.aborted = False

    async def _send(self, *events: h11.Event) -> None:
        data = b"".join(self.parser.send(event) or b"" for event in events)
        if not data:
            return
        self.charge(len(data))
        try:
            with anyio.fail_after(SEND_TIMEOUT_S):
                await self.stream.send(data)
        except (TimeoutError, *http11.CONNECTION_ERRORS) as error:
            self.aborted = True
            message = f"sending to the caller failed: {error!r}"
            raise errors.CallerGoneError(message) from None
        finally:
            self.charge(-len(data))

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
        if len(body) > PIECE_BYTES and self.request.method != b"HEAD":
            await self._respond_in_pieces(status, headers, body)
            return
        size = (b"Content-Length", str(len(body)).encode())
        events: list[h11.Event] = [self._make_head(status, [*headers, size])]
        if body and self.request.method != b"HEAD":
            events.append(h11.Data(data=body))
        await self._send(*events, h11.EndOfMessage())
        self.finished = True

    async def _respond_in_pieces(
        self, status: int, headers: http11.Headers, body: bytes
    ) -> None:
        """Sends a complete response with a large body.

        Raises:
            UnavailableError: Too much is held for clients.
            CallerGoneError: The caller does not take it in time.
        """
        if self.charge(len(body)) is False:
            self.charge(-len(body))
            raise errors.UnavailableError(
                "clients hold too much memory", retry_after_s=FULL_RETRY_AFTER_S
            )
        size = (b"Content-Length", str(len(body)).encode())
        try:
            with anyio.fail_after(SEND_TIMEOUT_S):
                await self.start(status, [*headers, size])
                for first in range(0, len(body), PIECE_BYTES):
                    await self.send(body[first : first + PIECE_BYTES])
                await self.finish()
        except TimeoutError:
            self.aborted = True
            raise errors.CallerGoneError(
                "the caller takes the response too slowly"
            ) from None
        finally:
            self.charge(-len(body))

    def abort(self) -> None:
        """Makes the connection end, so that the response is incomplete."""
        self.aborted = True
