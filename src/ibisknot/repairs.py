"""Keeps a job's copies complete: seal, reconcile, replace a lost copy.

The order is what makes it safe. The surviving copies are sealed first, so a
former owner completes nothing more; then the new copy is filled; then it is
named in the job's record by compare-and-swap. Until that write the new copy
counts for nothing.
"""

import dataclasses

import msgspec

from ibisknot import bitmaps
from ibisknot import errors
from ibisknot import jobs
from ibisknot import keyvalue
from ibisknot import logs
from ibisknot import replicas
from ibisknot.gen.segments import ttypes

CHANGE_TRIES = 5


@dataclasses.dataclass(slots=True)
class Owner:
    """Who repairs.

    Attributes:
        epoch: The fencing number of the job's shard.
        guard: Holds only while this epoch owns the shard.
    """

    epoch: int
    guard: keyvalue.Guard


@dataclasses.dataclass(slots=True)
class Health:
    """What was found of a job's copies.

    Attributes:
        sealed: Copies that are whole and sealed by this owner.
        lost: Copies whose VM is gone or whose disk does not have the group.
        away: Copies that do not answer but are still listed.
    """

    sealed: list[str] = dataclasses.field(default_factory=list)
    lost: list[str] = dataclasses.field(default_factory=list)
    away: list[str] = dataclasses.field(default_factory=list)


async def inspect(
    copies: replicas.Replicas, record: jobs.Record, epoch: int
) -> Health:
    """Seals the copies of a job and tells which are there.

    Raises:
        FencedError: A higher epoch has sealed a copy.
    """
    health = Health()
    for vm in record.replicas:
        if copies.gone(vm):
            health.lost.append(vm)
            continue
        try:
            await copies.seal(vm, record.id, epoch)
            state = await copies.state(vm, record.id)
        except errors.FencedError:
            raise
        except errors.SegmentMissingError:
            health.lost.append(vm)
            continue
        except errors.IbisknotError:
            health.away.append(vm)
            continue
        whole = state.segments >= len(record.counts)
        (health.sealed if whole else health.lost).append(vm)
    return health


async def secure(
    copies: replicas.Replicas,
    store: keyvalue.KeyValue,
    record: jobs.Record,
    owner: Owner,
) -> None:
    """Seals every copy of a job, and replaces those that are lost.

    Raises:
        FencedError: The shard has another owner.
        UnavailableError: A copy does not answer, or no copy is left.
    """
    health = await inspect(copies, record, owner.epoch)
    if health.away:
        away = ", ".join(health.away)
        raise errors.UnavailableError(f"stores {away} do not answer")
    if not health.lost:
        return
    if not health.sealed:
        raise errors.UnavailableError(f"all copies of {record.id} are lost")
    names = _targets(copies, health)
    for vm in names[len(health.sealed) :]:
        await fill(copies, record, health.sealed[0], vm, owner.epoch)
    await _change(store, record, names, owner.guard)
    logs.event(
        "copy_replaced",
        group=record.id,
        lost=health.lost,
        stores=record.replicas,
    )


def _targets(copies: replicas.Replicas, health: Health) -> list[str]:
    """Returns the new replica set; an emptied disk is the last choice."""
    try:
        return copies.choose(health.sealed, avoid=frozenset(health.lost))
    except errors.UnavailableError:
        return copies.choose(health.sealed)


async def fill(
    copies: replicas.Replicas,
    record: jobs.Record,
    source: str,
    target: str,
    epoch: int,
) -> None:
    """Makes a new copy of a job, from nothing.

    What an earlier repair left on the target is removed first: it may hold
    results that were never complete.

    Raises:
        IbisknotError: One of the stores did not answer or refused.
    """
    gone = ttypes.SegmentDelete(group=record.id, epoch=epoch)
    await copies.call(target, "segment_delete", gone)
    await copies.copy_items(source, target, record.id, len(record.counts))
    await copies.seal(target, record.id, epoch)
    await copies.copy_results(source, target, record.id, epoch)


async def _change(
    store: keyvalue.KeyValue,
    record: jobs.Record,
    names: list[str],
    guard: keyvalue.Guard,
) -> None:
    """Writes a new replica set into a record."""
    key = jobs.key(record)
    for _ in range(CHANGE_TRIES):
        pair = await store.get(key)
        if pair is None:
            raise errors.NotFoundError(f"{record.id} was deleted")
        current = msgspec.json.decode(pair.value, type=type(record))
        if current.replicas != record.replicas or jobs.closed(current):
            raise errors.FencedError(f"the stores of {record.id} have changed")
        current.replicas = names
        if await jobs.replace(
            store, key, current, pair.revision, guards=[guard]
        ):
            record.replicas = names
            return
    raise errors.FencedError(f"the record of {record.id} could not be changed")


async def reconcile(
    copies: replicas.Replicas, record: jobs.Record, epoch: int
) -> None:
    """Copies results that only some copies have to the others.

    A result that one copy has stays the item's result, even if its owner died
    before it reached the other copy: no second result can then appear.

    Raises:
        IbisknotError: A copy did not answer or refused.
    """
    states = {vm: await copies.state(vm, record.id) for vm in record.replicas}
    for source in record.replicas:
        for target in record.replicas:
            if source == target:
                continue
            missing = bitmaps.without(states[source].done, states[target].done)
            if bitmaps.count(missing):
                await copies.copy_results(
                    source, target, record.id, epoch, missing
                )
                states[target] = await copies.state(target, record.id)


@dataclasses.dataclass(slots=True)
class Tally:
    """What the stores hold of a job.

    Attributes:
        done: Bit map of the items with a result on every copy.
        failed: How many of them ended with an error.
    """

    done: bytearray
    failed: int


async def tally(copies: replicas.Replicas, record: jobs.Record) -> Tally:
    """Counts a job's complete items by what the stores hold.

    Raises:
        PeerError: A copy is not reachable.
    """
    states = [await copies.state(vm, record.id) for vm in record.replicas]
    done = bytearray(states[0].done)
    for state in states[1:]:
        done = bitmaps.both(done, state.done)
    failed = bitmaps.both(states[0].failed, done)
    return Tally(done, bitmaps.count(failed))
