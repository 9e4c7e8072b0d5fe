"""Keeps refusals in the store, for a restart of all processes.

A record has a lease, so that the store deletes it when its refusal has ended.
"""

from collections.abc import Callable
from collections.abc import Collection
import time

import anyio

from ibisknot import _prompt_crash_messages
from ibisknot import crash_refusals
from ibisknot import errors
from ibisknot import guarded_key
from ibisknot import logs
from ibisknot import pairs
from ibisknot import peer
from ibisknot import prompt_crashes
from ibisknot.gen.fleet import ttypes

KEY_PREFIX = "ibisknot/refusals/"
REQUEST_KEY_PREFIX = KEY_PREFIX + "request-"
"""Earlier builds take these records for refusals of a part that none has."""
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
        find: crash_refusals.FindRefusal,
        ended: Collection[crash_refusals.Subject],
        begun: Collection[crash_refusals.Subject],
    ) -> None:
        """Writes refusals that have begun, and deletes those that ended.

        A write that fails is tried again while it still holds.
        """
        pending = {*begun, *ended}
        doubtful_leases: list[int] = []
        for _ in range(MAX_WRITES):
            for subject in list(pending):
                if await self._try_write(
                    find, subject, subject in begun, doubtful_leases
                ):
                    pending.discard(subject)
            if not pending:
                break
            await anyio.sleep(WRITE_PAUSE_S)
        await self._end_leases(doubtful_leases)

    async def _try_write(
        self,
        find: crash_refusals.FindRefusal,
        subject: crash_refusals.Subject,
        has_begun: bool,
        doubtful_leases: list[int],
    ) -> bool:
        """Writes or deletes one record.

        Args:
            find: Finds the refusals.
            subject: What was refused or is no longer refused.
            has_begun: Whether it has begun.
            doubtful_leases: Gets the lease of a write without an answer.

        Returns:
            Whether nothing is left to do.
        """
        refusal = find(subject)
        if has_begun == (refusal is None):
            # The opposite has happened since, and is written by itself.
            return True
        try:
            if refusal is None:
                # The guard spares a record that is written after this read.
                await guarded_key.GuardedKey(
                    self.store, _key(subject), revision=None
                ).delete()
            else:
                await self._write(subject, refusal, doubtful_leases)
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
        subject: crash_refusals.Subject,
        refusal: prompt_crashes.Refusal,
        doubtful_leases: list[int],
    ) -> None:
        """Writes the record of one refusal.

        Raises:
            KeyValueError: The store did not take the write.
        """
        parts = frozenset((subject,)) if isinstance(subject, int) else subject
        record = ttypes.RefusalRecord(
            refusal=_prompt_crash_messages.refusal(
                parts, refusal, self.clock()
            ),
            written_ms=int(self.unix_time() * 1000),
        )
        remaining_s = max(0.0, record.refusal.remaining_s)
        lease = await self.store.grant(min(MAX_LEASE_S, remaining_s))
        try:
            await guarded_key.GuardedKey(self.store, _key(subject)).write(
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
    ) -> list[tuple[crash_refusals.Subject, prompt_crashes.Refusal]]:
        """Returns the refusals of the records.

        Raises:
            KeyValueError: The store did not answer.
        """
        listing = await self.store.list_prefix(KEY_PREFIX)
        return [
            found
            for pair in listing.pairs
            if (found := self._decode(pair)) is not None
        ]

    def _decode(
        self, pair: pairs.Pair
    ) -> tuple[crash_refusals.Subject, prompt_crashes.Refusal] | None:
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
        parts = frozenset(record.refusal.parts)
        if pair.key.startswith(REQUEST_KEY_PREFIX) and len(parts) == 1:
            return next(iter(parts)), refusal
        return parts, refusal


def _key(subject: crash_refusals.Subject) -> str:
    """Returns the key of a refusal's record."""
    if isinstance(subject, int):
        return f"{REQUEST_KEY_PREFIX}{subject:016x}"
    return f"{KEY_PREFIX}{prompt_crashes.hash_parts(subject):016x}"
