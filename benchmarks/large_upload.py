"""Accepts a job of 350,000 items and reports the growth of each process.

Starts a fleet, uploads one file while it is generated, submits the job and lets
it run for `RUN_S`. Prints for each program the growth of the resident memory of
the process that grew most.

    python benchmarks/large_upload.py [--items N]
"""

from collections.abc import AsyncIterator
import dataclasses
import time
from typing import Annotated
from typing import Any

import anyio
import cappa
import msgspec
import psutil

from ibisknot.bench import _batch_jobs
from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import topology

CHUNK_ITEMS = 200
SAMPLE_PERIOD_S = 0.1
RUN_S = 6.0
TIMEOUT_S = 110.0
BOUNDARY = "large-upload"


@dataclasses.dataclass
class Arguments:
    """Measures the memory that accepting a large file takes."""

    items: Annotated[int, cappa.Arg(long=True)] = 350_000


def daemon_processes(fleet: fleet_module.Fleet) -> dict[str, psutil.Process]:
    """Returns the processes of the daemons by name."""
    return {
        process.name: psutil.Process(process.handle.pid)
        for vm in fleet.vms.values()
        for process in vm.processes.values()
    }


def resident_bytes(processes: dict[str, psutil.Process]) -> dict[str, int]:
    """Returns the resident memory of each daemon in bytes."""
    return {name: p.memory_info().rss for name, p in processes.items()}


async def form_chunks(items: int) -> AsyncIterator[bytes]:
    """Yields the chunks of a form with one file."""
    head = f"--{BOUNDARY}\r\nContent-Disposition: form-data; "
    yield f'{head}name="purpose"\r\n\r\nbatch\r\n'.encode()
    yield f'{head}name="file"; filename="in.jsonl"\r\n\r\n'.encode()
    for start in range(0, items, CHUNK_ITEMS):
        lines = [
            _batch_jobs.input_line(f"large-{index}", max_tokens=4)
            for index in range(start, min(items, start + CHUNK_ITEMS))
        ]
        yield b"\n".join(lines) + b"\n"
    yield f"\r\n--{BOUNDARY}--\r\n".encode()


async def measure(fleet: fleet_module.Fleet, items: int) -> dict[str, Any]:
    """Uploads a file, submits the job and runs it; returns the report."""
    caller = _batch_jobs.Caller(fleet)
    warm_up_lines = [
        _batch_jobs.input_line(f"warm-{n}", max_tokens=4) for n in range(2000)
    ]
    for _ in range(len(fleet.vms)):
        await caller.upload("organisation-1", warm_up_lines)
    processes = daemon_processes(fleet)
    before = resident_bytes(processes)
    peaks = dict(before)

    async def sample() -> None:
        while True:
            for name, size in resident_bytes(processes).items():
                peaks[name] = max(peaks[name], size)
            await anyio.sleep(SAMPLE_PERIOD_S)

    report: dict[str, Any] = {"items": items}
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(sample)
        await _upload_and_submit(fleet, caller, items, report)
        report["accept_growth_mb"] = growth_mb(before, peaks)
        await anyio.sleep(RUN_S)
        report["run_growth_mb"] = growth_mb(before, peaks)
        task_group.cancel_scope.cancel()
    return report


async def _upload_and_submit(
    fleet: fleet_module.Fleet,
    caller: _batch_jobs.Caller,
    items: int,
    report: dict[str, Any],
) -> None:
    """Uploads the file and submits its job; adds both to the report."""
    key = fleet.organisation_keys["organisation-2"]
    start_s = time.monotonic()
    response = await caller.http_client.post(
        f"{fleet.vms['vm-5'].url()}/v1/files",
        content=form_chunks(items),
        headers={
            "authorization": f"Bearer {key}",
            "content-type": f"multipart/form-data; boundary={BOUNDARY}",
        },
        timeout=TIMEOUT_S,
    )
    response.raise_for_status()
    report["upload_s"] = round(time.monotonic() - start_s, 2)
    report["file_mb"] = round(response.json()["bytes"] / 1e6, 1)
    file_id = response.json()["id"]
    job = await caller.create_job("organisation-2", file_id, [], "24h")
    report["accepted_items"] = job.state["request_counts"]["total"]
    record = await _batch_jobs.read_record(fleet, job)
    report["record_bytes"] = len(msgspec.json.encode(record))


def growth_mb(
    before: dict[str, int], peaks: dict[str, int]
) -> dict[str, float]:
    """Returns the largest growth of a process in megabytes, by program."""
    growth_by_program: dict[str, float] = {}
    for name, size in before.items():
        program = name.rpartition("-")[2]
        process_growth = (peaks[name] - size) / 1e6
        growth_by_program[program] = max(
            growth_by_program.get(program, 0.0), round(process_growth, 1)
        )
    return growth_by_program


async def run(items: int) -> None:
    """Runs the measurement and prints it as JSON."""
    options = fleet_module.Options(topology=topology.UMURUNGA)
    async with fleet_module.running(options) as fleet:
        report = await measure(fleet, items)
    print(msgspec.json.encode(report).decode())


def main() -> None:
    """Entry point of the script."""
    anyio.run(run, cappa.parse(Arguments).items)


if __name__ == "__main__":
    main()
