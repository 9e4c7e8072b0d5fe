"""The batch part of `vm-loss`: owners and stores are lost under jobs.

A disk VM is killed right after it acknowledged, an owner is killed, another
is paused past its lease, a disk is replaced by an empty one, and answers of
the key-value service are lost.
"""

import shutil

import anyio

from ibisknot import jobs
from ibisknot import ownership
from ibisknot.bench import _batch_parts
from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import scenario

ITEMS = 400
TOKENS = 8
ENGINE_FLAGS = ["--slots", "8", "--step-s", "0.02"]
LEASE_S = 3.0
PAUSE_S = LEASE_S + 3.0
LIST_LAG_S = 1.5
END_TIMEOUT_S = 60.0


async def run(options: scenario.RunOptions) -> scenario.Result:
    """Starts a fleet of its own and loses its VMs."""
    result = scenario.Result()
    started = fleet_module.Options(
        topology=options.topology,
        policy=options.policy,
        seed=options.seed,
        engine_flags=ENGINE_FLAGS,
        batch={"lease_s": LEASE_S},
    )
    async with fleet_module.running(started) as fleet:
        await exercise(fleet, result, seed=options.seed)
    return result


async def exercise(
    fleet: fleet_module.Fleet, result: scenario.Result, *, seed: int
) -> None:
    """Loses owners and stores under jobs, and checks what comes out."""
    caller = _batch_parts.Caller(fleet)
    await fleet.set_key_value_faults(lose_answers=0.3)
    made = [await _submit(caller, seed, number) for number in range(3)]
    stores = [(await _batch_parts.record(fleet, j)).replicas for j in made]
    await _kill_store(fleet, made[0])
    await _kill_owner(fleet, caller, made[1])
    await _pause_owner(fleet, caller, made[2])
    await fleet.set_key_value_faults(lose_answers=0.0)
    made.append(await _submit(caller, seed, 3))
    stores.append((await _batch_parts.record(fleet, made[3])).replicas)
    await _empty_store(fleet, caller, made[3])
    await caller.wait(made, END_TIMEOUT_S)
    once = await _batch_parts.check(caller, made, result)
    accepted = sum(len(job.names) for job in made)
    result.fields["accepted"] = accepted
    result.fields["completed_once"] = once
    result.fields["batch_resent"] = caller.resent
    result.expect(once == accepted, f"{once} of {accepted} items once")
    await _check_repaired(fleet, made, result)
    records = [await _batch_parts.record(fleet, job) for job in made]
    result.fields["copies_replaced"] = sum(
        record.replicas != before
        for record, before in zip(records, stores, strict=True)
    )


async def _submit(
    caller: _batch_parts.Caller, seed: int, number: int
) -> _batch_parts.Job:
    lines = [
        _batch_parts.item(f"loss-{seed}-{number}-{place}", tokens=TOKENS)
        for place in range(ITEMS)
    ]
    organisation = f"organisation-{number + 1}"
    return await caller.submit(organisation, lines, "1h")


async def _kill_store(fleet: fleet_module.Fleet, job: _batch_parts.Job) -> None:
    """Kills a VM whose store has just acknowledged; it is gone."""
    record = await _batch_parts.record(fleet, job)
    await _lose(fleet, record.replicas[0])


async def _lose(fleet: fleet_module.Fleet, name: str) -> None:
    await fleet.kill_vm(name)
    await fleet.unlist_vm(name)


async def _owner(fleet: fleet_module.Fleet, job: _batch_parts.Job) -> str:
    """Returns the VM that holds a job's shard."""
    async with _batch_parts.key_value(fleet) as store:
        with anyio.move_on_after(4 * LEASE_S):
            while True:
                shard = jobs.shard_of(job.id)
                holder = await ownership.read_owner(store, "jobs", shard)
                if holder is not None and holder.vm in fleet.listed_vms:
                    return holder.vm
                await anyio.sleep(0.1)
    raise AssertionError(f"no owner of job {job.id}")


async def _begun(caller: _batch_parts.Caller, job: _batch_parts.Job) -> None:
    """Waits until some items of a job have a result."""
    with anyio.move_on_after(20.0):
        while job.seen["request_counts"]["completed"] == 0:
            await caller.read(job)
            if job.seen["status"] in jobs.FINAL_STATES:
                return
            await anyio.sleep(0.05)


async def _kill_owner(
    fleet: fleet_module.Fleet,
    caller: _batch_parts.Caller,
    job: _batch_parts.Job,
) -> None:
    """Kills an owner in the middle of its job, unless it is a store.

    Two lost stores at once are more than two copies bear, so only the
    owner's batch process dies when its VM has a disk.
    """
    await _begun(caller, job)
    name = await _owner(fleet, job)
    if fleet.vms[name].has_disk:
        process = fleet.vms[name].processes["batch"]
        process.handle.kill()
        return
    await _lose(fleet, name)


async def _pause_owner(
    fleet: fleet_module.Fleet,
    caller: _batch_parts.Caller,
    job: _batch_parts.Job,
) -> None:
    """Pauses an owner past its lease, in the middle of its job."""
    name = await _owner(fleet, job)
    fleet.pause_vm(name)
    await anyio.sleep(PAUSE_S)
    fleet.resume_vm(name)
    await caller.read(job)


async def _empty_store(
    fleet: fleet_module.Fleet,
    caller: _batch_parts.Caller,
    job: _batch_parts.Job,
) -> None:
    """Replaces a store's disk by an empty one, in the middle of a job."""
    await _begun(caller, job)
    record = await _batch_parts.record(fleet, job)
    name = record.replicas[-1]
    process = fleet.vms[name].processes["store"]
    process.handle.kill()
    process.handle.wait()
    shutil.rmtree(fleet.folder / f"{name}-data", ignore_errors=True)
    fleet.vms[name].processes["store"] = fleet.spawn(
        process.name,
        process.command[0].rpartition("/")[2],
        *process.command[1:],
    )


async def _check_repaired(
    fleet: fleet_module.Fleet,
    made: list[_batch_parts.Job],
    result: scenario.Result,
) -> None:
    """Checks that every job has two listed copies again."""
    unrepaired = list(made)
    with anyio.move_on_after(30.0):
        while unrepaired:
            record = await _batch_parts.record(fleet, unrepaired[0])
            if all(vm in fleet.listed_vms for vm in record.replicas):
                unrepaired.pop(0)
            await anyio.sleep(0.1)
    result.fields["unrepaired"] = len(unrepaired)
    result.expect(not unrepaired, f"{len(unrepaired)} jobs lack a copy")
