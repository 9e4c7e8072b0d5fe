"""Shards owned by one VM at a time, with rising epochs.

Kinds with a lease (`take`) are free once the lease has run out. The others
(`take_over`) change owner at any time, and rely on the epoch alone.
"""

from collections.abc import Callable
import uuid

import msgspec
import xxhash

from ibisknot import errors
from ibisknot import keyvalue

SHARDS = "/ibisknot/shards/"
EPOCHS = "/ibisknot/epochs/"


class Holder(msgspec.Struct):
    """The VM that holds a shard, and its fencing number."""

    vm: str
    epoch: int


def preferred(kind: str, shard: int, vms: list[str]) -> str | None:
    """Returns the VM that should own a shard, by rendezvous hashing.

    >>> preferred("jobs", 0, [])
    >>> preferred("jobs", 0, ["a"])
    'a'
    """
    return max(
        vms,
        key=lambda vm: xxhash.xxh3_64_intdigest(
            f"{kind}/{shard}/{vm}".encode()
        ),
        default=None,
    )


def ranked(
    kind: str, shard: int, vms: list[str], *, count: int = 2
) -> list[str]:
    """Returns the VM that should own a shard, and those that come next.

    >>> ranked("rates", 0, ["a", "b", "c"])[0] == preferred(
    ...     "rates", 0, ["a", "b", "c"]
    ... )
    True
    """
    left = list(vms)
    found: list[str] = []
    while left and len(found) < count:
        first = preferred(kind, shard, left)
        assert first is not None
        left.remove(first)
        found.append(first)
    return found


def shard_key(kind: str, shard: int) -> str:
    """Returns the key of a shard's holder."""
    return f"{SHARDS}{kind}/{shard:04d}"


async def holder(
    store: keyvalue.KeyValue, kind: str, shard: int
) -> Holder | None:
    """Returns a shard's holder.

    Raises:
        KeyValueError: The service did not answer.
    """
    pair = await store.get(shard_key(kind, shard))
    if pair is None:
        return None
    return msgspec.json.decode(pair.value, type=Holder)


async def take(
    store: keyvalue.KeyValue, kind: str, shard: int, *, vm: str, lease: int
) -> int | None:
    """Takes a shard that nobody holds.

    Returns:
        The new epoch, or None when another VM holds the shard.

    Raises:
        KeyValueError: The service did not answer.
    """
    key = shard_key(kind, shard)
    epoch_key = f"{EPOCHS}{kind}/{shard:04d}"
    pair = await store.get(epoch_key)
    epoch = int(pair.value) + 1 if pair is not None else 1
    guards = [
        keyvalue.Guard(key, 0),
        keyvalue.Guard(epoch_key, pair.revision if pair is not None else 0),
    ]
    value = msgspec.json.encode(Holder(vm, epoch))
    puts = [
        keyvalue.Put(key, value, lease),
        keyvalue.Put(epoch_key, str(epoch).encode()),
    ]
    try:
        done = await store.transact(guards, puts)
    except errors.KeyValueUnknownError:
        done = await holder(store, kind, shard) == Holder(vm, epoch)
    return epoch if done else None


class Record(msgspec.Struct):
    """The record of a shard that is owned without a lease.

    Attributes:
        vm: The VM that owns the shard.
        epoch: Rises by one with each change of owner.
        operation: Id of the write, by which a lost answer is resolved.
        holders: VMs, each with its process, that may hold something of it.
    """

    vm: str
    epoch: int
    operation: str
    holders: list[str] = []


def operation() -> str:
    """Returns a new operation id."""
    return uuid.uuid4().hex


async def read(
    store: keyvalue.KeyValue, kind: str, shard: int
) -> tuple[Record | None, int]:
    """Returns a shard's record and its revision, 0 when there is none.

    Raises:
        KeyValueError: The service did not answer.
    """
    pair = await store.get(shard_key(kind, shard))
    if pair is None:
        return None, 0
    return msgspec.json.decode(pair.value, type=Record), pair.revision


async def replace(
    store: keyvalue.KeyValue,
    kind: str,
    shard: int,
    record: Record,
    revision: int,
) -> int | None:
    """Writes a shard's record if it has not changed since it was read.

    The record is read back in any case: for its revision, and to resolve a
    lost answer.

    Returns:
        The new revision, or None when another write came first.

    Raises:
        KeyValueError: The service did not answer.
    """
    key = shard_key(kind, shard)
    put = keyvalue.Put(key, msgspec.json.encode(record))
    try:
        guard = keyvalue.Guard(key, revision)
        if not await store.transact([guard], [put]):
            return None
    except errors.KeyValueUnknownError:
        pass
    found, written = await read(store, kind, shard)
    if found is None or found.operation != record.operation:
        return None
    return written


async def take_over(
    store: keyvalue.KeyValue,
    kind: str,
    shard: int,
    *,
    vm: str,
    change: Callable[[list[str]], list[str]] = list,
) -> tuple[Record, int] | None:
    """Takes a shard from whoever owns it, by compare-and-swap of epoch + 1.

    Args:
        store: The key-value service.
        kind: Kind of the shard.
        shard: Its number.
        vm: The new owner.
        change: Returns the new list of holders from the old one.

    Returns:
        The record written and its revision, or None when another VM was
        first.

    Raises:
        KeyValueError: The service did not answer.
    """
    found, revision = await read(store, kind, shard)
    record = Record(
        vm=vm,
        epoch=found.epoch + 1 if found is not None else 1,
        operation=operation(),
        holders=change(found.holders if found is not None else []),
    )
    written = await replace(store, kind, shard, record, revision)
    return (record, written) if written is not None else None
