"""The batch part of `vm-loss`: owners and stores are lost during jobs.

A VM with a store is killed right after its store has acknowledged a file, one
owner is killed, another is paused until its lease has ended, a disk is
replaced by an empty one, and responses of the key-value service are lost.
"""

import shutil

import anyio

from ibisknot import jobs
from ibisknot import ownership
from ibisknot.bench import _batch_jobs
from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import scenario

ITEMS_PER_JOB = 400
MAX_TOKENS = 8
ENGINE_FLAGS = ["--slots", "8", "--step-s", "0.02"]
LEASE_S = 3.0
PAUSE_S = LEASE_S + 3.0
LIST_LAG_S = 1.5
END_TIMEOUT_S = 60.0


async def run(options: scenario.RunOptions) -> scenario.Result:
    """Starts a fleet and loses owners and stores during batch jobs."""
    result = scenario.Result()
    fleet_options = fleet_module.Options(
        topology=options.topology,
        policy=options.policy,
        seed=options.seed,
        engine_flags=ENGINE_FLAGS,
        batch={"lease_s": LEASE_S},
    )
    async with fleet_module.running(fleet_options) as fleet:
        await run_jobs_with_faults(fleet, result, seed=options.seed)
    return result


async def run_jobs_with_faults(
    fleet: fleet_module.Fleet, result: scenario.Result, *, seed: int
) -> None:
    """Loses owners and stores during jobs and checks the jobs' output."""
    caller = _batch_jobs.Caller(fleet)
    await fleet.set_key_value_faults(lose_answers=0.3)
    submitted = [await _submit_job(caller, seed, index) for index in range(3)]
    stores_at_submission = [
        (await _batch_jobs.read_record(fleet, j)).replicas for j in submitted
    ]
    await _kill_store(fleet, submitted[0])
    await _kill_owner(fleet, caller, submitted[1])
    await _pause_owner(fleet, caller, submitted[2])
    await fleet.set_key_value_faults(lose_answers=0.0)
    submitted.append(await _submit_job(caller, seed, 3))
    stores_at_submission.append(
        (await _batch_jobs.read_record(fleet, submitted[3])).replicas
    )
    await _replace_disk(fleet, caller, submitted[3])
    await caller.wait_until_ended(submitted, END_TIMEOUT_S)
    completed_once = await _batch_jobs.check_jobs(caller, submitted, result)
    accepted = sum(len(job.custom_ids) for job in submitted)
    result.fields["accepted"] = accepted
    result.fields["completed_once"] = completed_once
    result.fields["batch_resent"] = caller.retries
    result.expect(
        completed_once == accepted,
        f"{completed_once} of {accepted} items completed once",
    )
    await _check_copies(fleet, submitted, result)
    records = [await _batch_jobs.read_record(fleet, job) for job in submitted]
    result.fields["copies_replaced"] = sum(
        record.replicas != before
        for record, before in zip(records, stores_at_submission, strict=True)
    )


async def _submit_job(
    caller: _batch_jobs.Caller, seed: int, index: int
) -> _batch_jobs.Job:
    lines = [
        _batch_jobs.input_line(
            f"loss-{seed}-{index}-{item_index}", max_tokens=MAX_TOKENS
        )
        for item_index in range(ITEMS_PER_JOB)
    ]
    organisation = f"organisation-{index + 1}"
    return await caller.submit_job(organisation, lines, "1h")


async def _kill_store(fleet: fleet_module.Fleet, job: _batch_jobs.Job) -> None:
    """Kills a VM whose store has just acknowledged a file, and unlists it."""
    record = await _batch_jobs.read_record(fleet, job)
    await _lose_vm(fleet, record.replicas[0])


async def _lose_vm(fleet: fleet_module.Fleet, name: str) -> None:
    await fleet.kill_vm(name)
    await fleet.unlist_vm(name)


async def _find_owner(fleet: fleet_module.Fleet, job: _batch_jobs.Job) -> str:
    """Returns the VM that owns a job's shard."""
    async with _batch_jobs.connect_key_value(fleet) as key_value:
        with anyio.move_on_after(4 * LEASE_S):
            while True:
                shard = jobs.shard_of(job.id)
                owner = await ownership.read_owner(key_value, "jobs", shard)
                if owner is not None and owner.vm in fleet.listed_vms:
                    return owner.vm
                await anyio.sleep(0.1)
    raise AssertionError(f"no owner of job {job.id}")


async def _wait_for_first_result(
    caller: _batch_jobs.Caller, job: _batch_jobs.Job
) -> None:
    """Waits until an item of a job is completed, or the job has ended."""
    with anyio.move_on_after(20.0):
        while job.state["request_counts"]["completed"] == 0:
            await caller.refresh(job)
            if job.state["status"] in jobs.FINAL_STATES:
                return
            await anyio.sleep(0.05)


async def _kill_owner(
    fleet: fleet_module.Fleet,
    caller: _batch_jobs.Caller,
    job: _batch_jobs.Job,
) -> None:
    """Kills the VM of an owner, or only its batch process, during its job.

    Only the batch process is killed if the VM has a disk: a job has two
    copies, which do not survive the loss of two stores at once.
    """
    await _wait_for_first_result(caller, job)
    name = await _find_owner(fleet, job)
    if fleet.vms[name].has_disk:
        process = fleet.vms[name].processes["batch"]
        process.handle.kill()
        return
    await _lose_vm(fleet, name)


async def _pause_owner(
    fleet: fleet_module.Fleet,
    caller: _batch_jobs.Caller,
    job: _batch_jobs.Job,
) -> None:
    """Pauses an owner during its job until its lease has ended."""
    name = await _find_owner(fleet, job)
    fleet.pause_vm(name)
    await anyio.sleep(PAUSE_S)
    fleet.resume_vm(name)
    await caller.refresh(job)


async def _replace_disk(
    fleet: fleet_module.Fleet,
    caller: _batch_jobs.Caller,
    job: _batch_jobs.Job,
) -> None:
    """Replaces a store's disk by an empty one during a job."""
    await _wait_for_first_result(caller, job)
    record = await _batch_jobs.read_record(fleet, job)
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


async def _check_copies(
    fleet: fleet_module.Fleet,
    submitted: list[_batch_jobs.Job],
    result: scenario.Result,
) -> None:
    """Checks that all copies of each job are on listed VMs again."""
    unrepaired = list(submitted)
    with anyio.move_on_after(30.0):
        while unrepaired:
            record = await _batch_jobs.read_record(fleet, unrepaired[0])
            if all(vm in fleet.listed_vms for vm in record.replicas):
                unrepaired.pop(0)
            await anyio.sleep(0.1)
    result.fields["unrepaired"] = len(unrepaired)
    result.expect(
        not unrepaired, f"{len(unrepaired)} jobs have a copy on an unlisted VM"
    )
