"""Keeps the software history in the store, for a restart of all processes.

It is written only when a version comes or has been gone for long.
"""

from collections.abc import Callable
from collections.abc import Iterable

from ibisknot import errors
from ibisknot import fleetview
from ibisknot import logs
from ibisknot import pairs
from ibisknot import peer
from ibisknot import software_history
from ibisknot import timer
from ibisknot.gen.fleet import ttypes

KEY = "ibisknot/software"
CHECK_PERIOD_S = 0.5
MAX_WRITERS = 3
"""Processes in the order of readers that write the record."""
WRITE_STAGGER_S = 1.0
"""Time that each writer leaves to the one before it."""
RETRY_PAUSE_S = 1.0
"""Pause after a call that failed."""


class Keeper:
    """Reads the record at the start, and keeps it up to date.

    Attributes:
        own_name: Name of this process.
        store: The key-value service.
        view: Has the endpoints.
        history: What this process has seen; updated here.
        clock: Returns the monotonic time.
        recorded: What the record holds, as last read or written.
        revision: Store revision of the record; 0 if there is none.
        differs_since_s: Monotonic time since which the record differs from
            the history, or None.
        next_call_s: Monotonic time before which the store is not called.
    """

    def __init__(
        self,
        own_name: str,
        store: pairs.KeyValueStore,
        view: fleetview.View,
        history: software_history.History,
        clock: Callable[[], float],
    ) -> None:
        self.own_name = own_name
        self.store = store
        self.view = view
        self.history = history
        self.clock = clock
        self.recorded: set[tuple[str, str]] = set()
        self.revision = 0
        self.differs_since_s: float | None = None
        self.next_call_s = 0.0

    def start(self, clock: timer.Timer) -> None:
        """Starts the periodic check."""
        clock.subscribe("software", CHECK_PERIOD_S, self.check)

    def observe(self) -> None:
        """Records which software serves now."""
        software_history.observe(
            self.history, self.view.endpoints.values(), self.clock()
        )

    async def check(self, now: float) -> None:
        """Timer callback: reads or writes the record if that is due."""
        self.observe()
        if now < self.next_call_s:
            return
        try:
            if not self.history.has_record:
                await self._read()
            elif self._is_write_due(now):
                await self._read()
                await self._write()
        except errors.KeyValueError as error:
            self.next_call_s = now + RETRY_PAUSE_S
            logs.event(
                "software_record_failed", level="warning", cause=error.message
            )

    async def refresh(self) -> None:
        """Adds what other processes have recorded to the history.

        Raises:
            KeyValueError: The store did not answer.
        """
        self.observe()
        await self._read()

    def _is_write_due(self, now: float) -> bool:
        """Returns whether this process should write the record."""
        position = fleetview.reader_position(self.view, self.own_name)
        if position >= MAX_WRITERS or self._wanted() == self.recorded:
            self.differs_since_s = None
            return False
        if self.differs_since_s is None:
            self.differs_since_s = now
        return now - self.differs_since_s >= WRITE_STAGGER_S * position

    def _wanted(self) -> set[tuple[str, str]]:
        """Returns what the record should hold."""
        return software_history.recent(self.history, self.clock())

    async def _read(self) -> None:
        """Reads the record and adds what others have written to the history.

        What this process has read or written before is not added again: its
        own history says for how long that has been gone.

        Raises:
            KeyValueError: The store did not answer.
        """
        pair = await self.store.get(KEY)
        found = set() if pair is None else _decode(pair.value)
        software_history.adopt(
            self.history, found - self.recorded, self.clock()
        )
        self.revision = 0 if pair is None else pair.revision
        self.recorded = found

    async def _write(self) -> None:
        """Replaces the record if nobody has changed it since it was read.

        Raises:
            KeyValueError: The write failed or may have failed.
        """
        wanted = self._wanted()
        if wanted == self.recorded:
            return
        guard = pairs.Guard(KEY, self.revision)
        put = pairs.Put(KEY, _encode(wanted))
        revision = await self.store.transact([guard], [put])
        if revision:
            self.recorded = wanted
            self.revision = revision
            logs.event("software_recorded", software=sorted(wanted))


def to_wire(
    software: Iterable[tuple[str, str]],
) -> list[ttypes.ServiceSoftware]:
    """Returns services and versions as processes send and record them."""
    versions: dict[str, list[str]] = {}
    for service, version in sorted(software):
        versions.setdefault(service, []).append(version)
    return [ttypes.ServiceSoftware(s, v) for s, v in versions.items()]


def from_wire(
    services: Iterable[ttypes.ServiceSoftware],
) -> set[tuple[str, str]]:
    """Returns the services and versions of a message or record."""
    return {(s.name, version) for s in services for version in s.versions}


def _encode(software: set[tuple[str, str]]) -> bytes:
    return peer.encode(ttypes.SoftwareRecord(to_wire(software)))


def _decode(value: bytes) -> set[tuple[str, str]]:
    """Decodes a record.

    Raises:
        KeyValueError: It cannot be read.
    """
    try:
        record = peer.decode(value, ttypes.SoftwareRecord)
    except errors.PeerError as error:
        message = f"the software record cannot be read: {error.message}"
        raise errors.KeyValueError(message) from None
    return from_wire(record.services)
