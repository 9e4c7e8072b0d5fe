"""Records of which VM owns a shard, with an epoch that rises by each change.

A shard of a kind with a lease (`acquire`) is free once the lease has ended. A
shard of another kind (`take_over`) may change its owner at any time; there only
the epoch fences off older owners.
"""

from collections.abc import Callable
import uuid

import msgspec
import xxhash

from ibisknot import errors
from ibisknot import keyvalue

SHARD_PREFIX = "/ibisknot/shards/"
EPOCH_PREFIX = "/ibisknot/epochs/"


class Owner(msgspec.Struct):
    """The VM that owns a shard under a lease, and its epoch."""

    vm: str
    epoch: int


def preferred_owner(kind: str, shard: int, vms: list[str]) -> str | None:
    """Returns the VM that should own a shard, by rendezvous hashing.

    The result is None if `vms` is empty.

    >>> preferred_owner("jobs", 0, [])
    >>> preferred_owner("jobs", 0, ["a"])
    'a'
    """
    return max(
        vms,
        key=lambda vm: xxhash.xxh3_64_intdigest(
            f"{kind}/{shard}/{vm}".encode()
        ),
        default=None,
    )


def ranked_owners(
    kind: str, shard: int, vms: list[str], *, count: int = 2
) -> list[str]:
    """Returns the VM that should own a shard, then its successors.

    The result has at most `count` names.

    >>> ranked_owners("rates", 0, ["a", "b", "c"])[0] == preferred_owner(
    ...     "rates", 0, ["a", "b", "c"]
    ... )
    True
    """
    remaining = list(vms)
    owners: list[str] = []
    while remaining and len(owners) < count:
        preferred = preferred_owner(kind, shard, remaining)
        assert preferred is not None
        remaining.remove(preferred)
        owners.append(preferred)
    return owners


def shard_key(kind: str, shard: int) -> str:
    """Returns the key of a shard's record."""
    return f"{SHARD_PREFIX}{kind}/{shard:04d}"


async def read_owner(
    key_value: keyvalue.KeyValue, kind: str, shard: int
) -> Owner | None:
    """Returns the owner of a shard with a lease, None when it has none.

    Raises:
        KeyValueError: The service did not answer.
    """
    pair = await key_value.get(shard_key(kind, shard))
    if pair is None:
        return None
    return msgspec.json.decode(pair.value, type=Owner)


async def acquire(
    key_value: keyvalue.KeyValue,
    kind: str,
    shard: int,
    *,
    vm: str,
    lease_id: int,
) -> int | None:
    """Acquires a shard that has no owner.

    Args:
        key_value: The key-value service.
        kind: Kind of the shard.
        shard: Index of the shard.
        vm: The new owner.
        lease_id: Id of the lease that the ownership is bound to.

    Returns:
        The new epoch, or None when another VM owns the shard.

    Raises:
        KeyValueError: The service did not answer.
    """
    key = shard_key(kind, shard)
    epoch_key = f"{EPOCH_PREFIX}{kind}/{shard:04d}"
    pair = await key_value.get(epoch_key)
    epoch = int(pair.value) + 1 if pair is not None else 1
    guards = [
        keyvalue.Guard(key, 0),
        keyvalue.Guard(epoch_key, pair.revision if pair is not None else 0),
    ]
    value = msgspec.json.encode(Owner(vm, epoch))
    puts = [
        keyvalue.Put(key, value, lease_id),
        keyvalue.Put(epoch_key, str(epoch).encode()),
    ]
    try:
        is_owner = await key_value.transact(guards, puts)
    except errors.KeyValueUnknownError:
        is_owner = await read_owner(key_value, kind, shard) == Owner(vm, epoch)
    return epoch if is_owner else None


class ShardRecord(msgspec.Struct):
    """The record of a shard that is owned without a lease.

    Attributes:
        vm: The VM that owns the shard.
        epoch: Rises by one with each change of owner.
        operation: Unique id of the write, which shows after a lost answer
            whether the write was applied.
        holders: Processes, each as `vm/process`, that may hold a part of what
            the owner distributes.
    """

    vm: str
    epoch: int
    operation: str
    holders: list[str] = []


def new_operation_id() -> str:
    """Returns a new unique id for a write of a record."""
    return uuid.uuid4().hex


async def read_record(
    key_value: keyvalue.KeyValue, kind: str, shard: int
) -> tuple[ShardRecord | None, int]:
    """Returns a shard's record and its revision; None and 0 without one.

    Raises:
        KeyValueError: The service did not answer.
    """
    pair = await key_value.get(shard_key(kind, shard))
    if pair is None:
        return None, 0
    return msgspec.json.decode(pair.value, type=ShardRecord), pair.revision


async def replace_record(
    key_value: keyvalue.KeyValue,
    kind: str,
    shard: int,
    record: ShardRecord,
    revision: int,
) -> int | None:
    """Writes a shard's record if it has not changed since it was read.

    Afterwards the record is read again: this returns its new revision, and
    shows after a lost answer whether the write was applied.

    Args:
        key_value: The key-value service.
        kind: Kind of the shard.
        shard: Index of the shard.
        record: The new record.
        revision: Revision of the record that it replaces, 0 for none.

    Returns:
        The new revision, or None when another write came first.

    Raises:
        KeyValueError: The service did not answer.
    """
    key = shard_key(kind, shard)
    put = keyvalue.Put(key, msgspec.json.encode(record))
    try:
        guard = keyvalue.Guard(key, revision)
        if not await key_value.transact([guard], [put]):
            return None
    except errors.KeyValueUnknownError:
        pass
    current, new_revision = await read_record(key_value, kind, shard)
    if current is None or current.operation != record.operation:
        return None
    return new_revision


async def take_over(
    key_value: keyvalue.KeyValue,
    kind: str,
    shard: int,
    *,
    vm: str,
    update_holders: Callable[[list[str]], list[str]] = list,
) -> tuple[ShardRecord, int] | None:
    """Takes a shard over from its present owner, if any.

    The record is replaced by compare-and-swap with one of the next epoch.

    Args:
        key_value: The key-value service.
        kind: Kind of the shard.
        shard: Index of the shard.
        vm: The new owner.
        update_holders: Called with the present holders; returns the new ones.

    Returns:
        The record written and its revision, or None when another VM was
        first.

    Raises:
        KeyValueError: The service did not answer.
    """
    current, revision = await read_record(key_value, kind, shard)
    record = ShardRecord(
        vm=vm,
        epoch=current.epoch + 1 if current is not None else 1,
        operation=new_operation_id(),
        holders=update_holders(current.holders if current is not None else []),
    )
    new_revision = await replace_record(
        key_value, kind, shard, record, revision
    )
    return (record, new_revision) if new_revision is not None else None
