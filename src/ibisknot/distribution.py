"""Keeps the configuration in force current on a VM, and commits new ones."""

import uuid

import anyio
import msgspec

from ibisknot import configuration
from ibisknot import errors
from ibisknot import keyvalue
from ibisknot import logs
from ibisknot import metrics

PREFIX = "/ibisknot/config/"
HEAD = PREFIX + "head"
SNAPSHOT = PREFIX + "snapshot"
READ_PERIOD_S = 1.0
WATCH_RETRY_S = 0.2


class Head(msgspec.Struct):
    """The current version and the operation that wrote it."""

    version: int
    operation: str


class Change(msgspec.Struct):
    """The record of one confirmed change."""

    version: int
    author: str
    operation: str
    intent: msgspec.Raw


class Distribution:
    """The configuration in force on this VM.

    Attributes:
        current: The configuration in force; its version only goes up.
        keys: Owner of each valid key by the key's hash.
        confirmed_s: Monotonic time at which it was last known to be current.
    """

    def __init__(self, store: keyvalue.KeyValue) -> None:
        self.store = store
        self.current = configuration.Configuration()
        self.keys: dict[str, configuration.KeyOwner] = {}
        self.confirmed_s = -1e9
        self.changed = anyio.Event()

    def adopt(self, wanted: configuration.Configuration) -> bool:
        """Puts a configuration in force unless it is older."""
        if wanted.version <= self.current.version:
            return False
        self.current = wanted
        self.keys = configuration.key_index(wanted)
        metrics.CONFIGURATION_VERSION.set({}, wanted.version)
        logs.event("configuration_in_force", version=wanted.version)
        self.changed.set()
        self.changed = anyio.Event()
        return True

    async def read(self) -> None:
        """Reads the current configuration from the key-value service.

        Raises:
            KeyValueError: The service did not answer.
        """
        asked_s = anyio.current_time()
        pair = await self.store.get(SNAPSHOT)
        if pair is not None:
            self.adopt(configuration.decode(pair.value))
        self.confirmed_s = asked_s

    async def run(self) -> None:
        """Follows the key-value service until cancelled."""
        while True:
            try:
                await self.read()
                async for changes in self.store.watch(SNAPSHOT):
                    for change in changes:
                        if change.value is not None:
                            self.adopt(configuration.decode(change.value))
                    self.confirmed_s = anyio.current_time()
            except errors.KeyValueError as error:
                logs.event(
                    "configuration_watch_failed",
                    level="warning",
                    error=error.message,
                )
            await anyio.sleep(WATCH_RETRY_S)

    async def refresh(self, _now: float) -> None:
        """Timer callback: confirms that the configuration is current."""
        await self.read()

    async def commit(
        self,
        wanted: configuration.Configuration,
        *,
        author: str,
        intent: bytes,
    ) -> None:
        """Writes a configuration if its predecessor is still the current one.

        A lost answer is resolved by reading the operation id back.

        Raises:
            ConflictError: Another change came first.
            KeyValueUnknownError: The outcome could not be read back.
            KeyValueError: The service did not take the call.
        """
        operation = uuid.uuid4().hex
        head = await self.store.get(HEAD)
        base = wanted.version - 1
        if head is None:
            found, revision = 0, 0
        else:
            found = msgspec.json.decode(head.value, type=Head).version
            revision = head.revision
        if found != base:
            message = f"version {found} is current, not {base}"
            raise errors.ConflictError(message)
        new_head = Head(version=wanted.version, operation=operation)
        change = Change(wanted.version, author, operation, msgspec.Raw(intent))
        puts = [
            keyvalue.Put(HEAD, msgspec.json.encode(new_head)),
            keyvalue.Put(SNAPSHOT, configuration.encode(wanted)),
            keyvalue.Put(
                f"{PREFIX}v/{wanted.version:012d}",
                msgspec.json.encode(change),
            ),
        ]
        try:
            done = await self.store.transact(
                [keyvalue.Guard(HEAD, revision)], puts
            )
        except errors.KeyValueUnknownError:
            done = await self._wrote(wanted.version, operation)
        if not done:
            raise errors.ConflictError(f"version {base} is no longer current")
        self.adopt(wanted)

    async def _wrote(self, version: int, operation: str) -> bool:
        """Reads back whether an operation took effect."""
        pair = await self.store.get(f"{PREFIX}v/{version:012d}")
        if pair is None:
            return False
        found = msgspec.json.decode(pair.value, type=Change)
        return found.operation == operation

    async def history(self, *, limit: int = 100) -> list[Change]:
        """Returns the newest confirmed changes, newest first.

        Raises:
            KeyValueError: The service did not answer.
        """
        pairs = await self.store.list_prefix(f"{PREFIX}v/")
        changes = [msgspec.json.decode(p.value, type=Change) for p in pairs]
        return changes[::-1][:limit]
