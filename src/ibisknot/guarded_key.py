"""A key of the store, written only on top of the state that was last seen.

A write without an answer may take effect seconds later. Its guard then no
longer holds if anybody has written the key since, so it replaces nothing.
"""

from ibisknot import errors
from ibisknot import pairs

MAX_TRIES = 4
"""Writes in a row that may find that another process has written the key."""


class GuardedKey:
    """Writes one key, guarded by its revision.

    Attributes:
        store: The key-value service.
        key: The key.
        revision: Revision of the key as last seen, 0 if it did not exist;
            None if it must be read first.
    """

    def __init__(
        self,
        store: pairs.KeyValueStore,
        key: str,
        *,
        revision: int | None = 0,
    ) -> None:
        self.store = store
        self.key = key
        self.revision = revision

    async def read(self) -> int:
        """Reads the revision of the key; returns 0 if it does not exist.

        Raises:
            KeyValueError: The store did not answer.
        """
        found = await self.store.get(self.key)
        self.revision = 0 if found is None else found.revision
        return self.revision

    async def write(self, value: bytes, lease_id: int = 0) -> None:
        """Writes the key, whoever wrote it before.

        Args:
            value: The new value.
            lease_id: Lease at whose end the key is deleted; 0 for none.

        Raises:
            KeyValueUnknownError: The write may have taken effect.
            LeaseEndedError: The lease has ended.
            KeyValueError: The store did not take the write, or others write
                the key all the time.
        """
        put = pairs.Put(self.key, value, lease_id)
        await self._replace([put], [])

    async def delete(self) -> None:
        """Deletes the key if it exists.

        Raises:
            KeyValueUnknownError: The deletion may have taken effect.
            KeyValueError: The store did not take the deletion, or others write
                the key all the time.
        """
        if self.revision is None:
            await self.read()
        if self.revision:
            await self._replace([], [self.key])

    async def _replace(self, puts: list[pairs.Put], deletes: list[str]) -> None:
        for _ in range(MAX_TRIES):
            seen = await self.read() if self.revision is None else self.revision
            revision = await self.store.transact(
                [pairs.Guard(self.key, seen)], puts, deletes=deletes
            )
            if revision:
                self.revision = revision if puts else 0
                return
            if not await self.read() and deletes:
                return
        raise errors.KeyValueError(f"others write {self.key} all the time")
