"""Frames of the messages between processes."""

from collections.abc import Callable
import ssl
import struct

import anyio
from anyio import abc
from anyio.streams import tls as anyio_tls

from ibisknot import errors
from ibisknot import turns

MAX_FRAME_BYTES = 16 * 1024 * 1024
BLOCK_BYTES = 64 * 1024
"""Size of the blocks in which a frame is collected."""
FREE_FRAME_BYTES = 32 * 1024
"""Parts of a frame up to this size are received also without memory."""
LENGTH = struct.Struct("!I")


async def receive_frame(
    stream: abc.ByteStream,
    received: bytearray,
    charge: Callable[[int], bool] = lambda _size: True,
    turn: turns.Counter | None = None,
) -> bytes:
    """Returns the next frame's content.

    Args:
        stream: The connection.
        received: Buffer of the bytes that were received and not yet returned.
        charge: Counts bytes that are held; returns whether there is memory.
        turn: Counts the frames that are returned without a wait; None if the
            sender awaits a response to each.

    Raises:
        PeerError: The frame is over the limit, or there is no memory for it.
    """

    async def receive() -> bytes:
        data = await stream.receive()
        if turn is not None:
            turn.reset()
        if not charge(len(data)) and len(received) > FREE_FRAME_BYTES:
            raise errors.PeerError("no memory for a frame")
        return data

    while len(received) < LENGTH.size:
        received += await receive()
    (size,) = LENGTH.unpack(received[: LENGTH.size])
    if size > MAX_FRAME_BYTES:
        raise errors.PeerError(f"a frame of {size} bytes is over the limit")
    end = LENGTH.size + size
    if len(received) >= end:
        with memoryview(received) as view:
            frame = bytes(view[LENGTH.size : end])
        del received[:end]
        charge(-end)
        if turn is not None:
            await turn.spend(size)
        return frame
    # One buffer that grows to megabytes would be moved in memory again and
    # again, and leave gaps there.
    blocks = [received]
    total_bytes = len(received)
    while total_bytes < end:
        data = await receive()
        total_bytes += len(data)
        if len(blocks[-1]) >= BLOCK_BYTES:
            blocks.append(bytearray())
        blocks[-1] += data
    content = b"".join(blocks)
    received[:] = content[end:]
    charge(-end)
    return content[LENGTH.size : end]


async def wrap_tls(
    stream: abc.ByteStream,
    context: ssl.SSLContext,
    timeout_s: float,
    *,
    server_side: bool,
) -> abc.ByteStream:
    """Does the TLS handshake; closes the stream if it fails.

    Raises:
        OSError: The peer has no valid certificate.
        TimeoutError: The handshake took too long.
    """
    try:
        with anyio.fail_after(timeout_s):
            # Frames have a length, so truncation is detected without a
            # closing handshake, which fails on a broken connection.
            return await anyio_tls.TLSStream.wrap(
                stream,
                server_side=server_side,
                ssl_context=context,
                standard_compatible=False,
            )
    except BaseException:
        await anyio.aclose_forcefully(stream)
        raise
