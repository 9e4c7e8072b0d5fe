"""Scenario `batch-deadline`: deadlines of different slack on one owner.

All jobs fall into one shard, so that one owner has to order them. The long
one comes first and has time; the short ones come later and have little.
"""

import anyio

from ibisknot import jobs
from ibisknot import uploads
from ibisknot.bench import _batch_parts
from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import scenario

ENGINE_FLAGS = ["--slots", "8", "--step-s", "0.02"]
"""Slow engines, so that they and not the machine bound the throughput."""
CONCURRENCY = 40
TOKENS = 8
LONG_ITEMS_PER_S = 100
LONG_WINDOW_S = 120
SHORT_ITEMS = 80
SHORT_WINDOWS_S = (6, 8, 10, 12)
CANCELLED_ITEMS = 400
CANCEL_LIMIT_S = 3.0
CANCEL_WATCH_S = 2.0


async def run(options: scenario.RunOptions) -> scenario.Result:
    """Submits, resends and cancels jobs; all deadlines can be met."""
    result = scenario.Result()
    started = fleet_module.Options(
        topology=options.topology,
        policy=options.policy,
        seed=options.seed,
        engine_flags=ENGINE_FLAGS,
        batch={"concurrency": CONCURRENCY},
    )
    async with fleet_module.running(started) as fleet:
        caller = _batch_parts.Caller(fleet)
        await _cancel(fleet, caller, options, result)
        before = await fleet.read_key_value_calls()
        made = await _submit(caller, options, result)
        await caller.wait(made, LONG_WINDOW_S)
        after = await fleet.read_key_value_calls()
        once = await _batch_parts.check(caller, made, result)
    accepted = sum(len(job.names) for job in made)
    met = sum(_met(job) for job in made)
    writes = after["calls"].get("txn", 0) - before["calls"].get("txn", 0)
    result.fields["items_accepted"] = accepted
    result.fields["items_completed_once"] = once
    result.fields["met_deadline_fraction"] = met / len(made)
    result.fields["kv_writes_per_job"] = round(writes / len(made), 2)
    result.fields["late_s"] = [_late_s(job) for job in made]
    result.expect(once == accepted, f"{once} of {accepted} items once")
    if options.policy == "fleet":
        result.expect(met == len(made), f"{met} of {len(made)} in time")
    return result


def _met(job: _batch_parts.Job) -> bool:
    return job.seen["status"] == jobs.COMPLETED and _late_s(job) <= 0


def _late_s(job: _batch_parts.Job) -> int:
    """Returns how late a job ended; negative when it was early."""
    ended = job.seen["completed_at"] or job.seen["expired_at"]
    return (ended or job.seen["expires_at"] + 1) - job.seen["expires_at"]


def _same_shard(
    organisation: str, name: str, count: int, window: str, shard: int | None
) -> list[bytes]:
    """Returns items whose job falls into a shard."""
    for number in range(1000):
        prefix = f"{name}-{number}"
        lines = [
            _batch_parts.item(f"{prefix}-{place}", tokens=TOKENS)
            for place in range(count)
        ]
        if shard is None or _shard(organisation, lines, window) == shard:
            return lines
    raise AssertionError("no prefix found")


def _shard(organisation: str, lines: list[bytes], window: str) -> int:
    content = uploads.content_digest(lines)
    file = uploads.file_id(organisation, "batch", content)
    endpoint = "/v1/chat/completions"
    return jobs.shard_of(
        jobs.derive_job_id(organisation, file, endpoint, window, None, "")
    )


async def _submit(
    caller: _batch_parts.Caller,
    options: scenario.RunOptions,
    result: scenario.Result,
) -> list[_batch_parts.Job]:
    """Submits the long job, then short ones, one of them twice."""
    window = f"{LONG_WINDOW_S}s"
    count = int(options.seconds * LONG_ITEMS_PER_S)
    name = f"long-{options.seed}"
    lines = _same_shard("organisation-1", name, count, window, None)
    lines[10:10] = _batch_parts.impossible(name, tokens=TOKENS)
    shard = _shard("organisation-1", lines, window)
    made = [await caller.submit("organisation-1", lines, window)]
    for number, window_s in enumerate(SHORT_WINDOWS_S):
        organisation = f"organisation-{2 + number}"
        window = f"{window_s}s"
        name = f"short-{options.seed}-{number}"
        lines = _same_shard(organisation, name, SHORT_ITEMS, window, shard)
        made.append(await caller.submit(organisation, lines, window))
    again = await caller.submit(organisation, lines, window)
    result.expect(again.file == made[-1].file, "a resent file is another one")
    result.expect(again.id == made[-1].id, "a resent job is another one")
    return made


async def _cancel(
    fleet: fleet_module.Fleet,
    caller: _batch_parts.Caller,
    options: scenario.RunOptions,
    result: scenario.Result,
) -> None:
    """Cancels a running job and watches the engines."""
    lines = [
        _batch_parts.item(f"cancelled-{options.seed}-{n}", tokens=TOKENS)
        for n in range(CANCELLED_ITEMS)
    ]
    job = await caller.submit("organisation-8", lines, "1h")
    with anyio.move_on_after(10.0):
        while job.seen["request_counts"]["completed"] == 0:
            await caller.read(job)
            await anyio.sleep(0.05)
    path = f"/v1/batches/{job.id}/cancel"
    await caller.call("POST", path, job.organisation)
    await anyio.sleep(CANCEL_LIMIT_S)
    before = await _batch_parts.served(fleet, job)
    await anyio.sleep(CANCEL_WATCH_S)
    late = await _batch_parts.served(fleet, job) - before
    await caller.wait([job], 5.0)
    result.fields["dispatched_before_cancel"] = len(before)
    result.fields["dispatched_after_cancel"] = len(late)
    result.expect(not late, f"{len(late)} items began after the cancel")
    status = job.seen["status"]
    result.expect(status == jobs.CANCELLED, f"cancelled job is {status}")
    if status == jobs.CANCELLED:
        counts = await caller.output(job)
        total = job.seen["request_counts"]["completed"]
        result.fields["cancelled_readable"] = len(counts)
        result.duplicated += sum(count > 1 for count in counts.values())
        result.expect(0 < len(counts) == total, "cancelled output not whole")
