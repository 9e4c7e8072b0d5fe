"""Connections to endpoints through another process of the fleet.

A process without links to the endpoints opens a tunnel through a helper that
has them. The bytes of both directions are sent in frames, so that the end of
the endpoint's connection, its break and the loss of the helper are told apart.
A helper connects only directly: a tunnel has one hop.
"""

from collections.abc import Callable
from collections.abc import Mapping
import struct
from typing import Any

import anyio
from anyio import abc

from ibisknot import errors
from ibisknot import http11
from ibisknot import metrics
from ibisknot import peer
from ibisknot import turns
from ibisknot.gen.fleet import ttypes

METHOD = "tunnel_open"
CHANNEL = "tunnel"
"""Channel of the bytes in a tunnel, in metrics."""
MAX_FRAME_BYTES = 1024 * 1024
LENGTH = struct.Struct("!I")
"""Length of the frame that follows, or one of the marks below."""
END = 0
"""Mark: the endpoint has ended its connection.

The number of bytes that it has received follows. Builds up to c14e653 neither
send nor read it.
"""
COUNT = struct.Struct("!Q")
COUNT_WAIT_S = 0.2
BROKEN = 0xFFFFFFFF
"""Mark: the endpoint's connection broke."""


class Stream(abc.ByteStream):
    """One end of a tunnel, used like a connection to the endpoint.

    Attributes:
        inner: The connection to the other process.
        received: Bytes that were received and not yet returned.
        remaining_bytes: Bytes of the current frame that are still to come.
        is_ended: Whether the endpoint's connection has ended.
        sent_bytes: Bytes that were sent to the endpoint.
        delivered_bytes: Bytes that it had received when its connection ended;
            None if the helper has not said it.
        turn: Counts the frames that were read without a pause.
        scope: Whether the helper is in the `own` or an `other` data centre.
    """

    def __init__(
        self,
        inner: abc.ByteStream,
        received: bytearray,
        scope: str | None = None,
    ) -> None:
        self.inner = inner
        self.scope = scope
        self.received = received
        self.remaining_bytes = 0
        self.is_ended = False
        self.sent_bytes = 0
        self.delivered_bytes: int | None = None
        self.turn = turns.Counter()

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Returns bytes of the endpoint.

        Raises:
            EndOfStream: The endpoint has ended its connection.
            PathLostError: The helper was lost.
            BrokenResourceError: The endpoint's connection broke.
        """
        if self.is_ended:
            raise anyio.EndOfStream
        while not self.remaining_bytes:
            await self._begin_frame()
        await self._fill(1)
        size = min(max_bytes, self.remaining_bytes, len(self.received))
        await self.turn.spend(size)
        data = bytes(self.received[:size])
        del self.received[:size]
        self.remaining_bytes -= size
        return data

    def has_begun_frame(self) -> bool:
        """Returns whether a part of a frame was received and not returned."""
        return bool(self.remaining_bytes or self.received)

    async def _begin_frame(self) -> None:
        """Reads the length of the next frame, or a mark."""
        await self._fill(LENGTH.size)
        (length,) = LENGTH.unpack(self.received[: LENGTH.size])
        del self.received[: LENGTH.size]
        if length == END:
            self.is_ended = True
            await self._read_count()
            raise anyio.EndOfStream
        if length == BROKEN:
            raise anyio.BrokenResourceError
        if length > MAX_FRAME_BYTES:
            raise http11.PathLostError
        self.remaining_bytes = length

    async def _read_count(self) -> None:
        """Reads how much the endpoint has received, if the helper says it."""
        try:
            with anyio.move_on_after(COUNT_WAIT_S):
                await self._fill(COUNT.size)
                (count,) = COUNT.unpack(self.received[: COUNT.size])
                self.delivered_bytes = count
        except http11.PathLostError:
            return

    async def _fill(self, size: int) -> None:
        """Receives until `size` bytes are there."""
        while len(self.received) < size:
            try:
                data = await self.inner.receive()
                self.turn.reset()
                self.received += data
                self._count(received=len(data))
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                OSError,
            ) as error:
                raise http11.PathLostError from error

    async def send(self, item: bytes) -> None:
        """Sends bytes to the endpoint."""
        for start in range(0, len(item), MAX_FRAME_BYTES):
            piece = item[start : start + MAX_FRAME_BYTES]
            await self.inner.send(LENGTH.pack(len(piece)) + piece)
            self.sent_bytes += len(piece)
            self._count(sent=LENGTH.size + len(piece))

    def _count(self, *, sent: int = 0, received: int = 0) -> None:
        """Counts bytes at the end that has opened the tunnel."""
        if self.scope is not None:
            metrics.count_bytes(
                CHANNEL, sent=sent, received=received, scope=self.scope
            )

    async def send_end(self, delivered_bytes: int) -> None:
        """Tells the other end that the endpoint's connection has ended.

        Args:
            delivered_bytes: Bytes that the endpoint has received.
        """
        await self.inner.send(LENGTH.pack(END) + COUNT.pack(delivered_bytes))

    async def send_broken(self) -> None:
        """Tells the other end that the endpoint's connection broke."""
        await self.inner.send(LENGTH.pack(BROKEN))

    async def send_eof(self) -> None:
        """Does nothing: a request ends by its framing."""

    async def aclose(self) -> None:
        """Closes the tunnel, and with it the endpoint's connection."""
        await self.inner.aclose()

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """The attributes of the connection to the other process."""
        return self.inner.extra_attributes


async def connect(
    peers: peer.Client,
    helper_address: str,
    endpoint_address: str,
    *,
    max_s: float | None = None,
) -> tuple[int, Stream | None]:
    """Opens a tunnel through a helper.

    Args:
        peers: Client of the other processes.
        helper_address: Peer address of the helper.
        endpoint_address: Address of the endpoint, `host:port`.
        max_s: Seconds after which the helper ends the tunnel.

    Returns:
        The `TunnelState` that the helper answered, and the tunnel if it is
        open.

    Raises:
        PeerError: The helper is not reachable or did not answer.
    """
    inner, received, opened = await peers.open_stream(
        helper_address,
        METHOD,
        ttypes.TunnelOpen(endpoint=endpoint_address, max_s=max_s),
        ttypes.TunnelOpened,
    )
    if opened.state == ttypes.TunnelState.OPENED:
        http11.set_socket_options(inner)
        scope = peers.scope_of(helper_address)
        return opened.state, Stream(inner, received, scope)
    with anyio.CancelScope(shield=True):
        await anyio.aclose_forcefully(inner)
    return opened.state, None


def decode_open(payload: bytes) -> ttypes.TunnelOpen:
    """Decodes the call that opens a tunnel.

    Raises:
        PeerError: It is malformed.
    """
    message: ttypes.TunnelOpen = peer.decode(payload, ttypes.TunnelOpen)
    if message.max_s is not None and not message.max_s > 0:
        raise errors.PeerError("a tunnel without time")
    return message
