"""Types of the key-value service: pairs, transactions and changes."""

import dataclasses
from typing import Protocol

MAX_KEY_BYTES = 200


@dataclasses.dataclass(slots=True)
class Pair:
    """A stored key-value pair.

    Peers send it as a tuple of its fields in this order.

    Attributes:
        key: The key.
        value: The value.
        revision: The service's revision of the pair's last change.
    """

    key: str
    value: bytes
    revision: int


@dataclasses.dataclass(slots=True)
class Guard:
    """A condition of a transaction.

    Peers send it as a tuple of its fields in this order.

    Attributes:
        key: The key that is compared.
        revision: Required revision of the key's last change; 0 requires that
            the key does not exist.
    """

    key: str
    revision: int


@dataclasses.dataclass(slots=True)
class Put:
    """A write within a transaction.

    Peers send it as a tuple of its fields in this order.

    Attributes:
        key: The key.
        value: The value.
        lease_id: Lease at whose end the key is deleted; 0 for none.
    """

    key: str
    value: bytes
    lease_id: int = 0


@dataclasses.dataclass(slots=True)
class Change:
    """A watched change of a key.

    Attributes:
        key: The key.
        value: The new value, or None if the key was deleted.
        revision: The service's revision of the change.
    """

    key: str
    value: bytes | None
    revision: int


@dataclasses.dataclass(slots=True)
class Listing:
    """The pairs below a prefix.

    Attributes:
        pairs: The pairs in key order.
        revision: The service's revision when the read started.
    """

    pairs: list[Pair]
    revision: int


@dataclasses.dataclass(slots=True)
class Changes:
    """The changes that a watch returned.

    Attributes:
        changes: The changes in the order of their revisions.
        revision: The revision up to which the changes are complete.
    """

    changes: list[Change]
    revision: int


class KeyValueStore(Protocol):
    """Interface of a client of the key-value service on the users' platform.

    `keyvalue.KeyValue`, the client for the own interface, has other results.

    All calls raise KeyValueError if the service does not take the call, and
    `transact` raises KeyValueUnknownError if it may have taken effect.
    """

    async def get(self, key: str) -> Pair | None:
        """Returns the pair stored under a key, or None."""

    async def list_prefix(
        self, prefix: str, *, after: str = "", stale: bool = False
    ) -> Listing:
        """Returns the pairs whose key has a prefix, in key order.

        Args:
            prefix: The prefix.
            after: Only keys greater than this one are returned.
            stale: Whether an older state of the service may be returned.
        """

    async def changes(self, prefix: str, after: int, wait_s: float) -> Changes:
        """Waits for changes of the keys with a prefix after a revision.

        Returns without changes after `wait_s` seconds.

        Raises:
            HistoryGoneError: The service no longer has these changes.
        """

    async def transact(
        self,
        guards: list[Guard],
        puts: list[Put],
        *,
        deletes: list[str] = ...,
    ) -> int:
        """Applies a transaction; returns its revision, or 0 if a guard fails.

        Raises:
            LeaseEndedError: A put names a lease that has ended.
        """

    async def grant(self, ttl_s: float) -> int:
        """Creates a lease of `ttl_s` seconds and returns its id."""

    async def keep_alive(self, lease_id: int) -> bool:
        """Renews a lease; False means that it has already ended."""

    async def revoke(self, lease_id: int) -> None:
        """Ends a lease and deletes the keys bound to it."""
