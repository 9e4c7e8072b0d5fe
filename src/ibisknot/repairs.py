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

RECORD_UPDATE_ATTEMPTS = 5


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
class CopyHealth:
    """What was found of a job's copies.

    Attributes:
        sealed: Copies that are whole and sealed by this owner.
        lost: Copies whose VM is gone or whose disk does not have the group.
        away: Copies that do not answer but are still listed.
    """

    sealed: list[str] = dataclasses.field(default_factory=list)
    lost: list[str] = dataclasses.field(default_factory=list)
    unreachable: list[str] = dataclasses.field(default_factory=list)


async def seal_copies(
    replica_client: replicas.ReplicaClient, record: jobs.Record, epoch: int
) -> CopyHealth:
    """Seals the copies of a job and tells which are there.

    Raises:
        FencedError: A higher epoch has sealed a copy.
    """
    health = CopyHealth()
    for vm in record.replicas:
        if replica_client.is_unlisted(vm):
            health.lost.append(vm)
            continue
        try:
            await replica_client.seal_copy(vm, record.id, epoch)
            state = await replica_client.copy_state(vm, record.id)
        except errors.FencedError:
            raise
        except errors.SegmentMissingError:
            health.lost.append(vm)
            continue
        except errors.IbisknotError:
            health.unreachable.append(vm)
            continue
        whole = state.segments >= len(record.counts)
        (health.sealed if whole else health.lost).append(vm)
    return health


async def repair_copies(
    replica_client: replicas.ReplicaClient,
    key_value: keyvalue.KeyValue,
    record: jobs.Record,
    owner: Owner,
) -> None:
    """Seals every copy of a job, and replaces those that are lost.

    Raises:
        FencedError: The shard has another owner.
        UnavailableError: A copy does not answer, or no copy is left.
    """
    health = await seal_copies(replica_client, record, owner.epoch)
    if health.unreachable:
        unreachable = ", ".join(health.unreachable)
        raise errors.UnavailableError(f"stores {unreachable} do not answer")
    if not health.lost:
        return
    if not health.sealed:
        raise errors.UnavailableError(f"all copies of {record.id} are lost")
    vms = _choose_vms(replica_client, health)
    for vm in vms[len(health.sealed) :]:
        await create_copy(
            replica_client, record, health.sealed[0], vm, owner.epoch
        )
    await _update_replicas(key_value, record, vms, owner.guard)
    logs.event(
        "copy_replaced",
        group=record.id,
        lost=health.lost,
        stores=record.replicas,
    )


def _choose_vms(
    replica_client: replicas.ReplicaClient, health: CopyHealth
) -> list[str]:
    """Returns the new replica set; an emptied disk is the last choice."""
    try:
        return replica_client.choose_vms(
            health.sealed, avoid=frozenset(health.lost)
        )
    except errors.UnavailableError:
        return replica_client.choose_vms(health.sealed)


async def create_copy(
    replica_client: replicas.ReplicaClient,
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
    delete_message = ttypes.SegmentDelete(group=record.id, epoch=epoch)
    await replica_client.call(target, "segment_delete", delete_message)
    await replica_client.copy_segments(
        source, target, record.id, len(record.counts)
    )
    await replica_client.seal_copy(target, record.id, epoch)
    await replica_client.copy_results(source, target, record.id, epoch)


async def _update_replicas(
    key_value: keyvalue.KeyValue,
    record: jobs.Record,
    vms: list[str],
    guard: keyvalue.Guard,
) -> None:
    """Writes a new replica set into a record."""
    key = jobs.key(record)
    for _ in range(RECORD_UPDATE_ATTEMPTS):
        pair = await key_value.get(key)
        if pair is None:
            raise errors.NotFoundError(f"{record.id} was deleted")
        current = msgspec.json.decode(pair.value, type=type(record))
        if current.replicas != record.replicas or jobs.closed(current):
            raise errors.FencedError(f"the stores of {record.id} have changed")
        current.replicas = vms
        if await jobs.replace(
            key_value, key, current, pair.revision, guards=[guard]
        ):
            record.replicas = vms
            return
    raise errors.FencedError(f"the record of {record.id} could not be changed")


async def reconcile_results(
    replica_client: replicas.ReplicaClient, record: jobs.Record, epoch: int
) -> None:
    """Copies results that only some copies have to the others.

    A result that one copy has stays the item's result, even if its owner died
    before it reached the other copy: no second result can then appear.

    Raises:
        IbisknotError: A copy did not answer or refused.
    """
    states = {
        vm: await replica_client.copy_state(vm, record.id)
        for vm in record.replicas
    }
    for source in record.replicas:
        for target in record.replicas:
            if source == target:
                continue
            missing = bitmaps.difference(
                states[source].done, states[target].done
            )
            if bitmaps.count(missing):
                await replica_client.copy_results(
                    source, target, record.id, epoch, missing
                )
                states[target] = await replica_client.copy_state(
                    target, record.id
                )


@dataclasses.dataclass(slots=True)
class Completion:
    """What the stores hold of a job.

    Attributes:
        done: Bit map of the items with a result on every copy.
        failed: How many of them ended with an error.
    """

    done: bytearray
    failed_count: int


async def read_completion(
    replica_client: replicas.ReplicaClient, record: jobs.Record
) -> Completion:
    """Counts a job's complete items by what the stores hold.

    Raises:
        PeerError: A copy is not reachable.
    """
    states = [
        await replica_client.copy_state(vm, record.id) for vm in record.replicas
    ]
    done = bytearray(states[0].done)
    for state in states[1:]:
        done = bitmaps.intersection(done, state.done)
    failed = bitmaps.intersection(states[0].failed, done)
    return Completion(done, bitmaps.count(failed))
