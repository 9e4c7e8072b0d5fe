"""A connection of a client that holds a bounded part of what it sent.

anyio's streams of accepted connections read on until the program has taken
all that arrived once. A client that sends faster than it is served is never
paused, and everything it sends stays in memory.
"""

import asyncio
import collections
import socket
from typing import cast

import anyio
from anyio import abc
from anyio import lowlevel

READ_BYTES = 32 * 1024
"""Largest piece that is received at once.

Up to two such pieces are held for a connection.
"""
SOCKET_BUFFER_BYTES = 32 * 1024
"""Set size of each socket buffer of a client's connection."""


class Protocol(asyncio.BufferedProtocol):
    """Receives pieces, and pauses the connection while one is not taken.

    Attributes:
        buffer: Receives the bytes; shared by the connections of a listener,
            because they are copied before the next call.
        transport: The connection, once it is open.
        pieces: Received and not yet taken.
        reader: Set when there is something to read; None while nobody waits.
        writer: Set when all that was written has been sent; None while
            nothing is left to send.
        is_ended: Whether the client has ended its direction.
        is_lost: Whether the connection has ended.
        error: Why it was lost.
    """

    def __init__(self, buffer: memoryview) -> None:
        self.buffer = buffer
        self.transport: asyncio.Transport | None = None
        self.pieces: collections.deque[bytes] = collections.deque()
        self.reader: asyncio.Future[None] | None = None
        self.writer: asyncio.Future[None] | None = None
        self.is_ended = False
        self.is_lost = False
        self.error: Exception | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Makes `send` wait until all is sent."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(0)

    def get_buffer(self, sizehint: int) -> memoryview:  # noqa: ARG002
        """Returns where to receive bytes."""
        return self.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Takes what was received; pauses if nobody waits for it."""
        self.pieces.append(bytes(self.buffer[:nbytes]))
        if self.reader is None:
            assert self.transport is not None
            self.transport.pause_reading()
        else:
            self._wake_reader()

    def eof_received(self) -> bool:
        """Keeps the connection open for the response."""
        self.is_ended = True
        self._wake_reader()
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Wakes those who wait."""
        self.is_lost = True
        self.error = exc
        self._wake_reader()
        self.resume_writing()

    def pause_writing(self) -> None:
        """Bytes are left to send."""
        if self.writer is None:
            self.writer = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """All bytes were sent, or the connection was lost."""
        if self.writer is not None and not self.writer.done():
            self.writer.set_result(None)
        self.writer = None

    def _wake_reader(self) -> None:
        if self.reader is not None and not self.reader.done():
            self.reader.set_result(None)
        self.reader = None


class Stream(abc.SocketStream):
    """A client's connection, used like one of anyio.

    Attributes:
        transport: The connection.
        protocol: Holds what was received.
        is_closed: Whether this process has closed it.
        is_ending: Whether this process has ended its direction.
    """

    def __init__(
        self, transport: asyncio.Transport, protocol: Protocol
    ) -> None:
        self.transport = transport
        self.protocol = protocol
        self.is_closed = False
        self.is_ending = False

    async def receive(self, max_bytes: int = READ_BYTES) -> bytes:
        """Returns received bytes; see `anyio.abc.ByteReceiveStream`."""
        protocol = self.protocol
        if protocol.pieces:
            await lowlevel.checkpoint()
        while not protocol.pieces:
            self._check_readable()
            self.transport.resume_reading()
            reader = asyncio.get_running_loop().create_future()
            protocol.reader = reader
            try:
                await reader
            finally:
                if protocol.reader is reader:
                    protocol.reader = None
        piece = protocol.pieces.popleft()
        if len(piece) > max_bytes:
            protocol.pieces.appendleft(piece[max_bytes:])
            return piece[:max_bytes]
        return piece

    def _check_readable(self) -> None:
        if self.is_closed:
            raise anyio.ClosedResourceError
        if self.protocol.error is not None:
            raise anyio.BrokenResourceError from self.protocol.error
        if self.protocol.is_ended or self.protocol.is_lost:
            raise anyio.EndOfStream

    async def send(self, item: bytes) -> None:
        """Sends bytes and waits until none is left to send."""
        await lowlevel.checkpoint_if_cancelled()
        await self._drain()
        self._check_writable()
        self.transport.write(item)
        if self.protocol.writer is None:
            await lowlevel.cancel_shielded_checkpoint()
            return
        await self._drain()
        self._check_writable()

    async def _drain(self) -> None:
        while self.protocol.writer is not None:
            # The future is shared by those who wait: one that is cancelled
            # must not cancel the others.
            await asyncio.shield(self.protocol.writer)

    def _check_writable(self) -> None:
        if self.is_closed:
            raise anyio.ClosedResourceError
        if self.protocol.is_lost or self.transport.is_closing():
            raise anyio.BrokenResourceError from self.protocol.error

    def abort(self, last_data: bytes = b"") -> None:
        """Closes at once; what is left to send is dropped.

        Args:
            last_data: Sent before, if that is possible without waiting.
        """
        is_open = not (self.is_ending or self.transport.is_closing())
        if last_data and is_open:
            self.transport.write(last_data)
        self.is_closed = True
        self.protocol.pieces.clear()
        self.transport.abort()

    async def send_eof(self) -> None:
        """Ends this direction."""
        self.is_ending = True
        try:
            self.transport.write_eof()
        except OSError:
            pass

    async def aclose(self) -> None:
        """Closes at once."""
        self.abort()
        await lowlevel.checkpoint()

    @property
    def _raw_socket(self) -> socket.socket:
        """The socket, from which anyio takes the typed attributes."""
        raw_socket: socket.socket = self.transport.get_extra_info("socket")
        return raw_socket


async def wrap(raw_socket: socket.socket, buffer: memoryview) -> Stream:
    """Returns the stream of an accepted connection."""
    loop = asyncio.get_running_loop()
    transport, protocol = await loop.connect_accepted_socket(
        lambda: Protocol(buffer), raw_socket
    )
    return Stream(cast(asyncio.Transport, transport), protocol)


def set_socket_buffers(raw_socket: socket.socket) -> None:
    """Sets the socket buffers' size; connections inherit a listener's."""
    size = SOCKET_BUFFER_BYTES
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, size)
