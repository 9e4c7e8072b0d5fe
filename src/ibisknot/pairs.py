"""What the key-value service stores, checks, writes and reports."""

import dataclasses
from typing import Protocol


@dataclasses.dataclass(slots=True)
class Pair:
    """A stored key with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(slots=True)
class Guard:
    """A condition of a transaction.

    The key's last change must have this revision; 0 means it is absent.
    """

    key: str
    revision: int


@dataclasses.dataclass(slots=True)
class Put:
    """A write within a transaction."""

    key: str
    value: bytes
    lease_id: int = 0


@dataclasses.dataclass(slots=True)
class Change:
    """One watched event; `value` is None when the key was deleted."""

    key: str
    value: bytes | None
    revision: int


@dataclasses.dataclass(slots=True)
class Listing:
    """Pairs in key order, with the store's revision when they were read."""

    pairs: list[Pair]
    revision: int


@dataclasses.dataclass(slots=True)
class Changes:
    """Watched events, and the revision up to which they reach."""

    changes: list[Change]
    revision: int


class KeyValueStore(Protocol):
    """What the product needs of a key-value service."""

    async def get(self, key: str) -> Pair | None:
        """Returns the pair stored under a key, or None."""

    async def list_prefix(
        self, prefix: str, *, after: str = "", stale: bool = False
    ) -> Listing:
        """Returns the pairs whose key has a prefix, in key order."""

    async def changes(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Waits for changes below a prefix after a revision."""

    async def transact(
        self,
        guards: list[Guard],
        puts: list[Put],
        *,
        deletes: list[str] = ...,
    ) -> int:
        """Writes all or nothing; returns the revision, or 0."""

    async def grant(self, ttl_s: float) -> int:
        """Creates a lease and returns its id."""

    async def keep_alive(self, lease_id: int) -> bool:
        """Renews a lease; False means that it has already ended."""

    async def revoke(self, lease_id: int) -> None:
        """Ends a lease and deletes the keys bound to it."""
