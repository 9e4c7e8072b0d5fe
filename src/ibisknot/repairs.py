"""Keeps the copies of a job complete: seals, reconciles and replaces them.

Safety depends on the order when a lost copy is replaced. First the surviving
copies are sealed, so that a former owner can complete no more items. Then the
new copy is written. Last, the job's record names the new copy, by
compare-and-swap; before that write no process reads from the new copy.
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
    """The owner of the job's shard, in whose name copies are repaired.

    Attributes:
        epoch: Epoch of the owner, which fences former owners.
        guard: Condition of a write that is true while this epoch owns the
            shard.
    """

    epoch: int
    guard: keyvalue.Guard


@dataclasses.dataclass(slots=True)
class CopyHealth:
    """State of a job's copies, by the names of their VMs.

    Attributes:
        sealed: Copies that have all segments and are sealed by this owner.
        lost: Copies whose VM is no longer listed, whose disk does not have
            the group, or which lack segments.
        unreachable: Copies on listed VMs whose store did not answer.
    """

    sealed: list[str] = dataclasses.field(default_factory=list)
    lost: list[str] = dataclasses.field(default_factory=list)
    unreachable: list[str] = dataclasses.field(default_factory=list)


async def seal_copies(
    replica_client: replicas.ReplicaClient, record: jobs.Record, epoch: int
) -> CopyHealth:
    """Seals the copies of a job and returns their state.

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
            state = await replica_client.read_state(vm, record.id)
        except errors.FencedError:
            raise
        except errors.SegmentMissingError:
            health.lost.append(vm)
            continue
        except errors.IbisknotError:
            health.unreachable.append(vm)
            continue
        has_all_segments = state.segments >= len(record.counts)
        (health.sealed if has_all_segments else health.lost).append(vm)
    return health


async def repair_copies(
    replica_client: replicas.ReplicaClient,
    key_value: keyvalue.KeyValue,
    record: jobs.Record,
    owner: Owner,
) -> None:
    """Seals every copy of a job, and replaces those that are lost.

    Updates `record.replicas` when copies were replaced.

    Raises:
        FencedError: The shard has another owner.
        NotFoundError: The job's record was deleted.
        UnavailableError: A store does not answer, or all copies are lost.
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
    """Returns the VMs of the copies after the repair.

    VMs that lost their copy are used only if there are too few others.
    """
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
    """Creates a complete new copy of a job on a VM.

    The group that an interrupted repair left on the target is deleted first:
    it may have results that are not on the other copies.

    Args:
        replica_client: Calls the stores.
        record: The job's record.
        source: VM with a sealed copy.
        target: VM of the new copy.
        epoch: Epoch of the owner.

    Raises:
        IbisknotError: A store did not answer or returned an error.
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
    """Writes the VMs of the copies into a job's record.

    Raises:
        FencedError: The shard has another owner, the record names other
            copies, or it could not be written.
        NotFoundError: The record was deleted.
    """
    key = jobs.record_key(record)
    for _ in range(RECORD_UPDATE_ATTEMPTS):
        pair = await key_value.get(key)
        if pair is None:
            raise errors.NotFoundError(f"{record.id} was deleted")
        current = msgspec.json.decode(pair.value, type=type(record))
        if current.replicas != record.replicas or jobs.is_deleted(current):
            raise errors.FencedError(f"the stores of {record.id} have changed")
        current.replicas = vms
        if await jobs.replace_record(
            key_value, key, current, pair.revision, guards=[guard]
        ):
            record.replicas = vms
            return
    raise errors.FencedError(f"the record of {record.id} could not be changed")


async def reconcile_results(
    replica_client: replicas.ReplicaClient, record: jobs.Record, epoch: int
) -> None:
    """Copies results that only some copies have to the others.

    A result on any copy is the item's final result, even if the owner that
    wrote it crashed before it reached the other copy. So an item never gets
    two different results.

    Raises:
        IbisknotError: A store did not answer or returned an error.
    """
    states = {
        vm: await replica_client.read_state(vm, record.id)
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
                states[target] = await replica_client.read_state(
                    target, record.id
                )


@dataclasses.dataclass(slots=True)
class Completion:
    """The items of a job that are complete.

    Attributes:
        done: Bit map of the items with a result on every copy.
        failed_count: Number of those items whose result is an error.
    """

    done: bytearray
    failed_count: int


async def read_completion(
    replica_client: replicas.ReplicaClient, record: jobs.Record
) -> Completion:
    """Reads from all copies which items of a job are complete.

    Raises:
        PeerError: A store is not reachable.
    """
    states = [
        await replica_client.read_state(vm, record.id) for vm in record.replicas
    ]
    done = bytearray(states[0].done)
    for state in states[1:]:
        done = bitmaps.intersection(done, state.done)
    failed = bitmaps.intersection(states[0].failed, done)
    return Completion(done, bitmaps.count(failed))
