"""What the key-value service stores, checks, writes and reports."""

import dataclasses


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
    lease: int = 0


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
