"""Keeps refusals of prompt parts in the store, for a restart of all processes.

A record has a lease, so that the store deletes it when its refusal has ended.
"""

from collections.abc import Callable
from collections.abc import Collection
import time

import anyio

from ibisknot import _prompt_crash_messages
from ibisknot import errors
from ibisknot import guarded_key
from ibisknot import logs
from ibisknot import pairs
from ibisknot import peer
from ibisknot import prompt_crashes
from ibisknot.gen.fleet import ttypes

KEY_PREFIX = "ibisknot/refusals/"
MAX_LEASE_S = 600.0
MAX_WRITES = 5
"""Tries of one write."""
WRITE_PAUSE_S = 2.0


class Records:
    """Writes and reads the records of refusals.

    Attributes:
        store: The key-value service.
        clock: Returns the monotonic time.
        unix_time: Returns the Unix time, which processes share roughly.
    """

    def __init__(
        self,
        store: pairs.KeyValueStore,
        clock: Callable[[], float],
        *,
        unix_time: Callable[[], float] = time.time,
    ) -> None:
        self.store = store
        self.clock = clock
        self.unix_time = unix_time

    async def replace(
        self,
        history: prompt_crashes.History,
        ended: Collection[prompt_crashes.Parts],
        begun: Collection[prompt_crashes.Parts],
    ) -> None:
        """Writes refusals that have begun, and deletes those that ended.

        A write that fails is tried again while it still holds.
        """
        pending = {*begun, *ended}
        doubtful_leases: list[int] = []
        for _ in range(MAX_WRITES):
            for parts in list(pending):
                if await self._try_write(
                    history, parts, parts in begun, doubtful_leases
                ):
                    pending.discard(parts)
            if not pending:
                break
            await anyio.sleep(WRITE_PAUSE_S)
        await self._end_leases(doubtful_leases)

    async def _try_write(
        self,
        history: prompt_crashes.History,
        parts: prompt_crashes.Parts,
        has_begun: bool,
        doubtful_leases: list[int],
    ) -> bool:
        """Writes or deletes one record.

        Args:
            history: Has the refusals.
            parts: The parts whose refusal has begun or ended.
            has_begun: Whether it has begun.
            doubtful_leases: Gets the lease of a write without an answer.

        Returns:
            Whether nothing is left to do.
        """
        refusal = history.refusals.get(parts)
        if has_begun == (refusal is None):
            # The opposite has happened since, and is written by itself.
            return True
        try:
            if refusal is None:
                # The guard spares a record that is written after this read.
                await guarded_key.GuardedKey(
                    self.store, _key(parts), revision=None
                ).delete()
            else:
                await self._write(parts, refusal, doubtful_leases)
        except errors.KeyValueError as error:
            logs.event(
                "refusal_not_written",
                level="warning",
                begun=has_begun,
                cause=error.message,
            )
            return False
        return True

    async def _write(
        self,
        parts: prompt_crashes.Parts,
        refusal: prompt_crashes.Refusal,
        doubtful_leases: list[int],
    ) -> None:
        """Writes the record of one refusal.

        Raises:
            KeyValueError: The store did not take the write.
        """
        record = ttypes.RefusalRecord(
            refusal=_prompt_crash_messages.refusal(
                parts, refusal, self.clock()
            ),
            written_ms=int(self.unix_time() * 1000),
        )
        remaining_s = max(0.0, record.refusal.remaining_s)
        lease = await self.store.grant(min(MAX_LEASE_S, remaining_s))
        try:
            await guarded_key.GuardedKey(self.store, _key(parts)).write(
                peer.encode(record), lease
            )
        except errors.KeyValueUnknownError:
            doubtful_leases.append(lease)
            raise

    async def _end_leases(self, leases: list[int]) -> None:
        """Ends the leases of writes without an answer.

        Such a write could otherwise bring a record back that was deleted in
        between.
        """
        for lease in leases:
            try:
                await self.store.revoke(lease)
            except errors.KeyValueError as error:
                logs.event("lease_not_ended", cause=error.message)

    async def load(
        self,
    ) -> list[tuple[prompt_crashes.Parts, prompt_crashes.Refusal]]:
        """Returns the refusals of the records.

        Raises:
            KeyValueError: The store did not answer.
        """
        listing = await self.store.list_prefix(KEY_PREFIX, stale=True)
        return [
            found
            for pair in listing.pairs
            if (found := self._decode(pair)) is not None
        ]

    def _decode(
        self, pair: pairs.Pair
    ) -> tuple[prompt_crashes.Parts, prompt_crashes.Refusal] | None:
        """Returns a record's refusal, or None if it cannot be read."""
        try:
            record = peer.decode(pair.value, ttypes.RefusalRecord)
        except errors.PeerError as error:
            logs.event(
                "refusal_unreadable", level="warning", cause=error.message
            )
            return None
        # Clocks may differ, so a record may seem to come from the future.
        age_s = max(0.0, self.unix_time() - record.written_ms / 1000)
        refusal = _prompt_crash_messages.to_refusal(
            record.refusal, self.clock() - age_s
        )
        return frozenset(record.refusal.parts), refusal


def _key(parts: prompt_crashes.Parts) -> str:
    """Returns the key of a refusal's record."""
    return f"{KEY_PREFIX}{prompt_crashes.hash_parts(parts):016x}"
