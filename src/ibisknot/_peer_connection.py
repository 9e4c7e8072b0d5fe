"""The calling side of one connection between two processes."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
from anyio import abc

from ibisknot import errors
from ibisknot.gen.peer import ttypes
from ibisknot.locality import scopes


class Connection:
    """One multiplexed connection to a peer.

    Attributes:
        stream: The connection.
        send_lock: Held while a frame is sent.
        pending_calls: Event and response of each call without a response, by
            envelope id; the event without a response means that the
            connection was closed.
        is_closed: Whether no further call may use the connection.
        unanswered_since_s: Monotonic time of the first message that was sent
            since the last one was received, or None.
        scope: Whether the peer is in the `own` or an `other` data centre.
        takes_compressed: Whether the peer takes compressed payloads.
    """

    def __init__(
        self, stream: abc.ByteStream, scope: str = scopes.UNKNOWN
    ) -> None:
        self.stream = stream
        self.scope = scope
        self.takes_compressed = False
        self.send_lock = anyio.Lock()
        self.pending_calls: dict[
            int, tuple[anyio.Event, list[ttypes.Envelope]]
        ] = {}
        self.is_closed = False
        self.unanswered_since_s: float | None = None

    def is_unresponsive(self, timeout_s: float) -> bool:
        """Returns whether the connection may be interrupted without notice.

        A call's timeout is not enough: a busy peer may respond later than
        that, and a new connection would increase its load.

        Args:
            timeout_s: Seconds without a response after which it is so.
        """
        if self.unanswered_since_s is None:
            return False
        return anyio.current_time() - self.unanswered_since_s >= timeout_s

    async def abort(self) -> None:
        """Closes the connection without a handshake."""
        self.is_closed = True
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self.stream)

    async def receive_responses(
        self, receive: Callable[[], Awaitable[ttypes.Envelope]]
    ) -> None:
        """Passes responses to the pending calls until the connection ends.

        Args:
            receive: Returns the next envelope of the connection.
        """
        try:
            while True:
                envelope = await receive()
                self.unanswered_since_s = None
                self.takes_compressed |= bool(envelope.takes_compressed)
                pending = self.pending_calls.pop(envelope.id, None)
                if pending is not None:
                    pending[1].append(envelope)
                    pending[0].set()
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            errors.PeerError,
            OSError,
        ):
            pass
        finally:
            self.is_closed = True
            for event, _ in self.pending_calls.values():
                event.set()
            self.pending_calls.clear()
            with anyio.CancelScope(shield=True), anyio.move_on_after(1):
                await self.stream.aclose()
