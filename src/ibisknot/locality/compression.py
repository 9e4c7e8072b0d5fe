"""Compresses the payloads of messages between data centres.

Results and reports repeat field names, ids and the frames of events, so that
the fastest level saves most of their bytes.
"""

import zlib

from ibisknot import errors
from ibisknot.gen.peer import ttypes

MIN_BYTES = 400
"""A shorter payload is sent as it is."""
MAX_BYTES = 256 * 1024
"""A longer payload is sent as it is, as it would block the event loop."""
LEVEL = 1


def pack(payload: bytes) -> tuple[bytes, int | None]:
    """Returns a payload to send, and how it is compressed, if it is.

    >>> pack(b"a")
    (b'a', None)
    >>> unpack(*pack(b"event " * 100)) == b"event " * 100
    True
    """
    if not MIN_BYTES <= len(payload) <= MAX_BYTES:
        return payload, None
    compressed = zlib.compress(payload, LEVEL)
    if len(compressed) >= len(payload):
        return payload, None
    return compressed, ttypes.Compression.ZLIB


def unpack(payload: bytes, compression: int | None) -> bytes:
    """Returns a received payload without its compression.

    Raises:
        PeerError: It is malformed, or longer than any that is compressed.
    """
    if compression is None:
        return payload
    if compression != ttypes.Compression.ZLIB:
        raise errors.PeerError(f"unknown compression {compression} from peer")
    inflater = zlib.decompressobj()
    try:
        unpacked = inflater.decompress(payload, MAX_BYTES)
    except zlib.error as error:
        text = f"malformed compression from peer: {error!r}"
        raise errors.PeerError(text) from None
    if not inflater.eof:
        raise errors.PeerError("a compressed payload is over the limit")
    return unpacked
