"""Keeps the origins of streams in the store, for a death of all processes.

They are written only while several versions of a service may have begun
streams, and read only if no process knows a stream.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import math
import time

import anyio

from ibisknot import errors
from ibisknot import logs
from ibisknot import pairs
from ibisknot import peer
from ibisknot import software_history
from ibisknot import stream_origins
from ibisknot import timer
from ibisknot.gen.fleet import ttypes

KEY_PREFIX = "ibisknot/streams/"
SCHEDULER_CHECK_PERIOD_S = 0.05
GATEWAY_CHECK_PERIOD_S = 0.25
"""Gateways grant nothing themselves while a scheduler answers."""
WRITE_PERIOD_S = 0.25
"""Longest time for which a first attempt waits to be written with others."""
MAX_GRANT_AGE_S = 5.0
"""Age up to which grants are written when a second version comes or the store
is back."""
LEASE_TTL_S = 2 * stream_origins.RETENTION_S
LEASE_USE_S = stream_origins.RETENTION_S
"""Time for which records get the same lease."""
RETRY_PAUSE_S = 0.5
"""Pause after a call that failed."""
MIN_READ_INTERVAL_S = 1.0
"""Time between two reads of one process.

Only streams whose schedulers have died since can be new to it.
"""


class Writer:
    """Writes what this process grants while several versions serve.

    Each record has a key of its own, so a write without an answer that takes
    effect later replaces nothing.

    Attributes:
        store: The key-value service.
        table: Has the grants.
        history: Says which services have several versions.
        key_prefix: Prefix of the keys of this process.
        written: Number of records that it has tried to write.
        lease_id: The lease of new records.
        lease_since_s: Monotonic time at which it was created.
        next_call_s: Monotonic time before which the store is not called.
    """

    def __init__(
        self,
        own_name: str,
        store: pairs.KeyValueStore,
        table: stream_origins.Table,
        history: software_history.History,
    ) -> None:
        self.store = store
        self.table = table
        self.history = history
        self.key_prefix = f"{KEY_PREFIX}{own_name}/{time.time_ns():x}/"
        self.written = 0
        self.lease_id = 0
        self.lease_since_s = -math.inf
        self.next_call_s = 0.0

    def start(self, clock: timer.Timer, period_s: float) -> None:
        """Starts the periodic check."""
        clock.subscribe("stream_records", period_s, self.check)

    async def check(self, now: float) -> None:
        """Timer callback: writes the grants if that is due."""
        self._drop_old(now)
        services = software_history.services_with_several(self.history, now)
        if not services or now < self.next_call_s or not self._is_due(now):
            return
        grants = list(self.table.grants)
        self.table.grants.clear()
        relevant = [g for g in grants if g.origin.service in services]
        try:
            await self._write(relevant, now)
        except errors.KeyValueError as error:
            self.next_call_s = now + RETRY_PAUSE_S
            self.lease_since_s = -math.inf
            self.table.grants.extendleft(reversed(relevant))
            logs.event(
                "stream_origins_not_written",
                level="warning",
                streams=len(relevant),
                cause=error.message,
            )

    def _drop_old(self, now: float) -> None:
        grants = self.table.grants
        while grants and now - grants[0].granted_s > MAX_GRANT_AGE_S:
            grants.popleft()

    def _is_due(self, now: float) -> bool:
        """Returns whether the grants must be written now.

        A repeated attempt may begin the stream at another version than the one
        that is written, so it is written before its first event.
        """
        grants = self.table.grants
        if not grants:
            return False
        is_repeated = any(grant.origin.number for grant in grants)
        return is_repeated or now - grants[0].granted_s >= WRITE_PERIOD_S

    async def _write(
        self, grants: list[stream_origins.Grant], now: float
    ) -> None:
        """Writes one record.

        Raises:
            KeyValueError: The write failed or may have failed.
        """
        if not grants:
            return
        if now - self.lease_since_s >= LEASE_USE_S:
            self.lease_id = await self.store.grant(LEASE_TTL_S)
            self.lease_since_s = now
        self.written += 1
        key = f"{self.key_prefix}{self.written:08x}"
        put = pairs.Put(key, _encode(grants), self.lease_id)
        await self.store.transact([], [put])


class Reader:
    """Adds the records to what a process remembers.

    Attributes:
        store: The key-value service.
        table: What the process remembers.
        clock: Returns the monotonic time.
        read_s: Monotonic time at which the last complete read began.
        next_call_s: Monotonic time before which the store is not called.
        lock: Held during a read.
    """

    def __init__(
        self,
        store: pairs.KeyValueStore,
        table: stream_origins.Table,
        clock: Callable[[], float],
    ) -> None:
        self.store = store
        self.table = table
        self.clock = clock
        self.read_s = -math.inf
        self.next_call_s = 0.0
        self.lock = anyio.Lock()

    async def read(self) -> bool:
        """Reads the records if that was not done just now.

        Returns:
            Whether the process knows all that is in them.
        """
        async with self.lock:
            now = self.clock()
            if now - self.read_s < MIN_READ_INTERVAL_S:
                return True
            if now < self.next_call_s:
                return False
            try:
                listing = await self.store.list_prefix(KEY_PREFIX)
            except errors.KeyValueError as error:
                self.next_call_s = self.clock() + RETRY_PAUSE_S
                logs.event(
                    "stream_origins_not_read",
                    level="warning",
                    cause=error.message,
                )
                return False
            self.read_s = now
        streams = sum(self._adopt(pair, now) for pair in listing.pairs)
        logs.event(
            "stream_origins_read", records=len(listing.pairs), streams=streams
        )
        return True

    def _adopt(self, pair: pairs.Pair, now: float) -> int:
        """Remembers the streams of one record; returns their number."""
        try:
            record = peer.decode(pair.value, ttypes.StreamRecord)
        except errors.PeerError as error:
            logs.event(
                "stream_origins_unreadable",
                level="warning",
                key=pair.key,
                cause=error.message,
            )
            return 0
        for group in record.sets:
            origin = stream_origins.Origin(
                group.group, group.software, group.number
            )
            for key in group.streams:
                self.table.record_key(key, origin, now)
        return sum(len(group.streams) for group in record.sets)


def _encode(grants: Iterable[stream_origins.Grant]) -> bytes:
    """Returns a record of grants, the streams of one origin together."""
    streams: dict[stream_origins.Origin, list[int]] = collections.defaultdict(
        list
    )
    for grant in grants:
        streams[grant.origin].append(grant.key)
    sets = [
        ttypes.StreamSet(o.service, o.software_version, o.number, keys)
        for o, keys in streams.items()
    ]
    return peer.encode(ttypes.StreamRecord(sets))
