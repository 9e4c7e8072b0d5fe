"""Which software began the streams that callers may resume."""

import collections
import dataclasses
import sys

import xxhash

RETENTION_S = 30.0
"""Time for which a stream is remembered after its last attempt.

It is longer than callers wait for a stream to be complete.
"""
MAX_STREAMS = 50_000
"""Streams that one process remembers; the oldest are forgotten first."""


@dataclasses.dataclass(slots=True, frozen=True)
class Origin:
    """The software that began a stream.

    Attributes:
        service: Name of the service.
        software_version: Version of the endpoint's software.
        number: Orders the grants of a stream. A later one replaces what an
            earlier one says, because no event had reached the caller before it,
            or it is for the same software.
    """

    service: str
    software_version: str
    number: int


@dataclasses.dataclass(slots=True, frozen=True)
class Grant:
    """An attempt that this process has granted.

    Attributes:
        key: Hash of the stream's id.
        origin: Where the attempt runs.
        granted_s: Monotonic time of the grant.
    """

    key: int
    origin: Origin
    granted_s: float


class Table:
    """The origins that one process knows.

    Attributes:
        origins: Origin of each stream and the monotonic time at which it was
            recorded, by a hash of the stream's id, the latest last.
        grants: The grants of this process that are not in the store, the
            latest last.
    """

    def __init__(self) -> None:
        self.origins: collections.OrderedDict[int, tuple[Origin, float]] = (
            collections.OrderedDict()
        )
        self.grants: collections.deque[Grant] = collections.deque(
            maxlen=MAX_STREAMS
        )

    def record_grant(self, stream_id: str, origin: Origin, now: float) -> None:
        """Records an attempt that this process has granted.

        Args:
            stream_id: Id of the stream; nothing is recorded if it is empty.
            origin: Where the attempt runs.
            now: Monotonic time in seconds.
        """
        if stream_id:
            self.record(stream_id, origin, now)
            self.grants.append(Grant(hash_id(stream_id), origin, now))

    def record(self, stream_id: str, origin: Origin, now: float) -> None:
        """Records an attempt to begin or continue a stream.

        Args:
            stream_id: Id of the stream; nothing is recorded if it is empty.
            origin: Where the attempt runs.
            now: Monotonic time in seconds.
        """
        if stream_id:
            self.record_key(hash_id(stream_id), origin, now)

    def record_key(self, key: int, origin: Origin, now: float) -> None:
        """Records an attempt to serve the stream whose id has a hash."""
        known = self.origins.pop(key, None)
        if known is not None and known[0].number > origin.number:
            origin = known[0]
        # Messages bring the same names again and again.
        stored = Origin(
            sys.intern(origin.service),
            sys.intern(origin.software_version),
            origin.number,
        )
        self.origins[key] = (stored, now)
        self._forget_old(now)

    def find(self, stream_id: str) -> Origin | None:
        """Returns the origin of a stream, or None if it is not known.

        >>> table = Table()
        >>> table.record("a", Origin("s", "v1", 1), now=0.0)
        >>> table.find("a")
        Origin(service='s', software_version='v1', number=1)
        >>> table.find("b")
        """
        known = self.origins.get(hash_id(stream_id))
        return None if known is None else known[0]

    def _forget_old(self, now: float) -> None:
        """Forgets what is too old or too much."""
        while self.origins:
            key, (_, recorded_s) = next(iter(self.origins.items()))
            is_old = now - recorded_s > RETENTION_S
            if not is_old and len(self.origins) <= MAX_STREAMS:
                return
            del self.origins[key]


def hash_id(stream_id: str) -> int:
    """Returns the hash of a stream's id, which fits into a signed integer."""
    return xxhash.xxh3_64_intdigest(stream_id.encode()) >> 1
