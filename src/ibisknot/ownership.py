"""Shards owned by one VM at a time, with leases and rising epochs."""

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
