"""Scenario `batch-deadline`: jobs with different slack on one owner.

All jobs belong to one shard, so that one owner schedules them. The long job is
submitted first and has much slack; the short jobs follow and have little.
"""

import anyio

from ibisknot import jobs
from ibisknot import uploads
from ibisknot.bench import _batch_jobs
from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import scenario

ENGINE_FLAGS = ["--slots", "8", "--step-s", "0.02"]
"""Slow engines, so that the machine does not limit the throughput."""
BATCH_CONCURRENCY = 40
MAX_TOKENS = 8
LONG_JOB_ITEMS_PER_S = 100
LONG_JOB_WINDOW_S = 120
SHORT_JOB_ITEMS = 80
SHORT_JOB_WINDOWS_S = (6, 8, 10, 12)
CANCELLED_JOB_ITEMS = 400
CANCEL_GRACE_S = 3.0
"""Time from a cancel until no more items may start."""
CANCEL_OBSERVATION_S = 2.0


async def run(options: scenario.RunOptions) -> scenario.Result:
    """Submits, resubmits and cancels jobs; all deadlines can be met."""
    result = scenario.Result()
    fleet_options = fleet_module.Options(
        topology=options.topology,
        policy=options.policy,
        seed=options.seed,
        engine_flags=ENGINE_FLAGS,
        batch={"concurrency": BATCH_CONCURRENCY},
    )
    async with fleet_module.running(fleet_options) as fleet:
        caller = _batch_jobs.Caller(fleet)
        await _check_cancellation(fleet, caller, options, result)
        calls_before = await fleet.read_key_value_calls()
        submitted = await _submit_jobs(caller, options, result)
        await caller.wait_until_ended(submitted, LONG_JOB_WINDOW_S)
        calls_after = await fleet.read_key_value_calls()
        completed_once = await _batch_jobs.check_jobs(caller, submitted, result)
    accepted = sum(len(job.custom_ids) for job in submitted)
    met_deadlines = sum(_met_deadline(job) for job in submitted)
    writes = calls_after["calls"].get("txn", 0) - calls_before["calls"].get(
        "txn", 0
    )
    result.fields["items_accepted"] = accepted
    result.fields["items_completed_once"] = completed_once
    result.fields["met_deadline_fraction"] = met_deadlines / len(submitted)
    result.fields["kv_writes_per_job"] = round(writes / len(submitted), 2)
    result.fields["late_s"] = [_lateness_s(job) for job in submitted]
    result.expect(
        completed_once == accepted,
        f"{completed_once} of {accepted} items completed once",
    )
    if options.policy == "fleet":
        result.expect(
            met_deadlines == len(submitted),
            f"{met_deadlines} of {len(submitted)} met their deadline",
        )
    return result


def _met_deadline(job: _batch_jobs.Job) -> bool:
    return job.state["status"] == jobs.COMPLETED and _lateness_s(job) <= 0


def _lateness_s(job: _batch_jobs.Job) -> int:
    """Returns the seconds from a job's deadline to its end.

    They are negative for a job that ended before its deadline.
    """
    ended_at = job.state["completed_at"] or job.state["expired_at"]
    return (ended_at or job.state["expires_at"] + 1) - job.state["expires_at"]


def _lines_in_shard(
    organisation: str,
    prefix_base: str,
    item_count: int,
    completion_window: str,
    shard: int | None,
) -> list[bytes]:
    """Returns items whose job belongs to a shard, or to any if it is None.

    The job id, and with it the shard, follows from the items' custom ids.
    """
    for attempt in range(1000):
        prefix = f"{prefix_base}-{attempt}"
        lines = [
            _batch_jobs.input_line(f"{prefix}-{index}", max_tokens=MAX_TOKENS)
            for index in range(item_count)
        ]
        if (
            shard is None
            or _shard_of_job(organisation, lines, completion_window) == shard
        ):
            return lines
    raise AssertionError("no prefix gives a job in the shard")


def _shard_of_job(
    organisation: str, lines: list[bytes], completion_window: str
) -> int:
    digest = uploads.content_digest(lines)
    input_file_id = uploads.file_id(organisation, "batch", digest)
    endpoint = "/v1/chat/completions"
    return jobs.shard_of(
        jobs.derive_job_id(
            organisation, input_file_id, endpoint, completion_window, None, ""
        )
    )


async def _submit_jobs(
    caller: _batch_jobs.Caller,
    options: scenario.RunOptions,
    result: scenario.Result,
) -> list[_batch_jobs.Job]:
    """Submits the long job, then the short jobs, the last of them twice."""
    completion_window = f"{LONG_JOB_WINDOW_S}s"
    item_count = int(options.seconds * LONG_JOB_ITEMS_PER_S)
    prefix = f"long-{options.seed}"
    lines = _lines_in_shard(
        "organisation-1", prefix, item_count, completion_window, None
    )
    lines[10:10] = _batch_jobs.failing_lines(prefix, max_tokens=MAX_TOKENS)
    shard = _shard_of_job("organisation-1", lines, completion_window)
    submitted = [
        await caller.submit_job("organisation-1", lines, completion_window)
    ]
    for index, window_s in enumerate(SHORT_JOB_WINDOWS_S):
        organisation = f"organisation-{2 + index}"
        completion_window = f"{window_s}s"
        prefix = f"short-{options.seed}-{index}"
        lines = _lines_in_shard(
            organisation, prefix, SHORT_JOB_ITEMS, completion_window, shard
        )
        submitted.append(
            await caller.submit_job(organisation, lines, completion_window)
        )
    resubmitted = await caller.submit_job(
        organisation, lines, completion_window
    )
    result.expect(
        resubmitted.input_file_id == submitted[-1].input_file_id,
        "a file uploaded again has another id",
    )
    result.expect(
        resubmitted.id == submitted[-1].id,
        "a job submitted again has another id",
    )
    return submitted


async def _check_cancellation(
    fleet: fleet_module.Fleet,
    caller: _batch_jobs.Caller,
    options: scenario.RunOptions,
    result: scenario.Result,
) -> None:
    """Cancels a running job and checks that engines start no more items."""
    lines = [
        _batch_jobs.input_line(
            f"cancelled-{options.seed}-{n}", max_tokens=MAX_TOKENS
        )
        for n in range(CANCELLED_JOB_ITEMS)
    ]
    job = await caller.submit_job("organisation-8", lines, "1h")
    with anyio.move_on_after(10.0):
        while job.state["request_counts"]["completed"] == 0:
            await caller.refresh(job)
            await anyio.sleep(0.05)
    path = f"/v1/batches/{job.id}/cancel"
    await caller.call("POST", path, job.organisation)
    await anyio.sleep(CANCEL_GRACE_S)
    started_before = await _batch_jobs.started_attempts(fleet, job)
    await anyio.sleep(CANCEL_OBSERVATION_S)
    started_late = (
        await _batch_jobs.started_attempts(fleet, job) - started_before
    )
    await caller.wait_until_ended([job], 5.0)
    result.fields["dispatched_before_cancel"] = len(started_before)
    result.fields["dispatched_after_cancel"] = len(started_late)
    result.expect(
        not started_late, f"{len(started_late)} items started after the cancel"
    )
    status = job.state["status"]
    result.expect(
        status == jobs.CANCELLED, f"cancelled job has status {status}"
    )
    if status == jobs.CANCELLED:
        output_lines = await caller.count_output_lines(job)
        completed_items = job.state["request_counts"]["completed"]
        result.fields["cancelled_readable"] = len(output_lines)
        result.duplicated += sum(count > 1 for count in output_lines.values())
        result.expect(
            0 < len(output_lines) == completed_items,
            "output of the cancelled job is incomplete",
        )
