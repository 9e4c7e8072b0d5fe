"""Encodes the large parts of a fleet view for updates between processes.

A change of the configuration or of the endpoints' entries goes to every
process, so its size counts once for each of them. Both repeat the same names
in each record and compress well.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import zlib

from ibisknot import errors
from ibisknot import pairs
from ibisknot import peer
from ibisknot.gen.fleet import ttypes

COMPRESSION_LEVEL = 1
"""The fastest level; higher ones save little on short records."""
MAX_DECODED_BYTES = 64 * 1024 * 1024


class Compressor:
    """Compresses a part once for all processes that lack it.

    Attributes:
        configuration_revision: Revision of `configuration`.
        configuration: The compressed configuration.
        entries: The entries from which `compressed_entries` was made. A view
            replaces its entries as a whole.
        compressed_entries: The compressed entries.
    """

    def __init__(self) -> None:
        self.configuration_revision = -1
        self.configuration = b""
        self.entries: Mapping[str, pairs.Pair] | None = None
        self.compressed_entries = b""

    def compress_configuration(self, revision: int, encoded: bytes) -> bytes:
        """Returns a configuration in compressed form."""
        if revision != self.configuration_revision:
            self.configuration = zlib.compress(encoded, COMPRESSION_LEVEL)
            self.configuration_revision = revision
        return self.configuration

    def compress_entries(self, entries: Mapping[str, pairs.Pair]) -> bytes:
        """Returns the entries of a view, by key, in compressed form."""
        if entries is not self.entries:
            listed = ttypes.ListedEntries(to_wire(entries.values()))
            self.compressed_entries = zlib.compress(
                peer.encode(listed), COMPRESSION_LEVEL
            )
            self.entries = entries
        return self.compressed_entries


def to_wire(entries: Iterable[pairs.Pair]) -> list[ttypes.ListedEntry]:
    """Encodes entries as peers represent them."""
    return [ttypes.ListedEntry(p.key, p.value, p.revision) for p in entries]


def configuration_of(update: ttypes.ViewNews) -> bytes | None:
    """Returns the configuration of an update, or None if it has none.

    Raises:
        PeerError: It cannot be decompressed.
    """
    if update.compressed_configuration is not None:
        return _decompress(update.compressed_configuration)
    configuration: bytes | None = update.configuration
    return configuration


def entries_of(update: ttypes.ViewNews) -> list[pairs.Pair] | None:
    """Returns the endpoints' entries of an update, or None if it has none.

    Raises:
        PeerError: They cannot be decompressed or decoded.
    """
    listed = update.endpoints
    if update.compressed_endpoints is not None:
        encoded = _decompress(update.compressed_endpoints)
        listed = peer.decode(encoded, ttypes.ListedEntries).entries
    if listed is None:
        return None
    return [pairs.Pair(e.name, e.value, e.revision) for e in listed]


def _decompress(data: bytes) -> bytes:
    """Decompresses data up to a limit.

    Raises:
        PeerError: The data is malformed, incomplete or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        decoded = decompressor.decompress(data, MAX_DECODED_BYTES)
    except zlib.error as error:
        raise errors.PeerError(f"a part cannot be read: {error}") from None
    if not decompressor.eof:
        raise errors.PeerError("a part is incomplete or too large")
    return decoded
