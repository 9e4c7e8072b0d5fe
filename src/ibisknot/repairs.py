"""Keeps a job's copies complete: seal, reconcile, replace a lost copy.

The order is what makes it safe. The surviving copies are sealed first, so a
former owner completes nothing more; then the new copy is filled; then it is
named in the job's record by compare-and-swap. Until that write the new copy
counts for nothing.
"""

import dataclasses

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
    copies: replicas.Replicas, job: jobs.JobRecord, epoch: int
) -> Health:
    """Seals the copies of a job and tells which are there.

    Raises:
        FencedError: A higher epoch has sealed a copy.
    """
    health = Health()
    for vm in job.replicas:
        if copies.gone(vm):
            health.lost.append(vm)
            continue
        try:
            await copies.seal(vm, job.id, epoch)
            state = await copies.state(vm, job.id)
        except errors.FencedError:
            raise
        except errors.SegmentMissingError:
            health.lost.append(vm)
            continue
        except errors.IbisknotError:
            health.away.append(vm)
            continue
        whole = state.segments >= len(job.counts)
        (health.sealed if whole else health.lost).append(vm)
    return health


async def secure(
    copies: replicas.Replicas,
    store: keyvalue.KeyValue,
    job: jobs.JobRecord,
    owner: Owner,
) -> None:
    """Seals every copy of a job, and replaces those that are lost.

    Raises:
        FencedError: The shard has another owner.
        UnavailableError: A copy does not answer, or no copy is left.
    """
    health = await inspect(copies, job, owner.epoch)
    if health.away:
        away = ", ".join(health.away)
        raise errors.UnavailableError(f"stores {away} do not answer")
    if not health.lost:
        return
    if not health.sealed:
        raise errors.UnavailableError(f"all copies of {job.id} are lost")
    names = _targets(copies, health)
    for vm in names[len(health.sealed) :]:
        await fill(copies, job, health.sealed[0], vm, owner.epoch)
    await _change(store, job, names, owner.guard)
    logs.event(
        "copy_replaced", job=job.id, lost=health.lost, stores=job.replicas
    )


def _targets(copies: replicas.Replicas, health: Health) -> list[str]:
    """Returns the new replica set; an emptied disk is the last choice."""
    try:
        return copies.choose(health.sealed, avoid=frozenset(health.lost))
    except errors.UnavailableError:
        return copies.choose(health.sealed)


async def fill(
    copies: replicas.Replicas,
    job: jobs.JobRecord,
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
    gone = ttypes.SegmentDelete(group=job.id, epoch=epoch)
    await copies.call(target, "segment_delete", gone)
    await copies.copy_items(source, target, job.id, len(job.counts))
    await copies.seal(target, job.id, epoch)
    await copies.copy_results(source, target, job.id, epoch)


async def _change(
    store: keyvalue.KeyValue,
    job: jobs.JobRecord,
    names: list[str],
    guard: keyvalue.Guard,
) -> None:
    """Writes a new replica set into a job's record."""
    old = list(job.replicas)
    for _ in range(CHANGE_TRIES):
        current, revision = await jobs.read_job(store, job.id)
        if current.replicas != old:
            raise errors.FencedError(f"the stores of {job.id} have changed")
        current.replicas = names
        key = jobs.job_key(job.id)
        if await jobs.replace(store, key, current, revision, guards=[guard]):
            job.replicas = names
            return
    raise errors.FencedError(f"the record of {job.id} could not be changed")


async def reconcile(
    copies: replicas.Replicas, job: jobs.JobRecord, epoch: int
) -> None:
    """Copies results that only some copies have to the others.

    A result that one copy has stays the item's result, even if its owner died
    before it reached the other copy: no second result can then appear.

    Raises:
        IbisknotError: A copy did not answer or refused.
    """
    states = {vm: await copies.state(vm, job.id) for vm in job.replicas}
    for source in job.replicas:
        for target in job.replicas:
            if source == target:
                continue
            missing = indexes(states[source].done) - indexes(
                states[target].done
            )
            if missing:
                await copies.copy_results(
                    source, target, job.id, epoch, missing
                )
                states[target] = await copies.state(target, job.id)


def indexes(bits: bytes) -> set[int]:
    """Returns the items whose bit is set.

    >>> sorted(indexes(bytes([5])))
    [0, 2]
    """
    return {
        8 * place + bit
        for place, byte in enumerate(bits)
        if byte
        for bit in range(8)
        if byte >> bit & 1
    }


@dataclasses.dataclass(slots=True)
class Tally:
    """What the stores hold of a job.

    Attributes:
        done: Items with a result on every copy.
        failed: How many of them ended with an error.
    """

    done: set[int]
    failed: int


async def tally(copies: replicas.Replicas, job: jobs.JobRecord) -> Tally:
    """Counts a job's complete items by what the stores hold.

    Raises:
        PeerError: A copy is not reachable.
    """
    states = [await copies.state(vm, job.id) for vm in job.replicas]
    done = indexes(states[0].done)
    for state in states[1:]:
        done &= indexes(state.done)
    failed = indexes(states[0].failed) & done
    return Tally(done, len(failed))
