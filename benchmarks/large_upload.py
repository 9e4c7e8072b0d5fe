"""Accepts a job of 350,000 items and reports the growth of each process.

Starts a fleet, sends one file as it is generated, submits the job, lets it run
for some seconds and cancels it. Prints the growth of the resident memory of
the process that grew most, by program.

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

from ibisknot.bench import _batch_parts
from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import topology

PIECE_ITEMS = 200
SAMPLE_PERIOD_S = 0.1
RUN_S = 6.0
TIMEOUT_S = 110.0
BOUNDARY = "large-upload"


@dataclasses.dataclass
class Arguments:
    """Measures the memory that accepting a large file takes."""

    items: Annotated[int, cappa.Arg(long=True)] = 350_000


def programs(fleet: fleet_module.Fleet) -> dict[str, psutil.Process]:
    """Returns the daemons by name."""
    return {
        process.name: psutil.Process(process.handle.pid)
        for vm in fleet.vms.values()
        for process in vm.processes.values()
    }


def resident(found: dict[str, psutil.Process]) -> dict[str, int]:
    """Returns the resident bytes of each daemon."""
    return {name: p.memory_info().rss for name, p in found.items()}


async def form(items: int) -> AsyncIterator[bytes]:
    """Yields a form with one file, piece by piece."""
    head = f"--{BOUNDARY}\r\nContent-Disposition: form-data; "
    yield f'{head}name="purpose"\r\n\r\nbatch\r\n'.encode()
    yield f'{head}name="file"; filename="in.jsonl"\r\n\r\n'.encode()
    for start in range(0, items, PIECE_ITEMS):
        lines = [
            _batch_parts.item(f"large-{number}", tokens=4)
            for number in range(start, min(items, start + PIECE_ITEMS))
        ]
        yield b"\n".join(lines) + b"\n"
    yield f"\r\n--{BOUNDARY}--\r\n".encode()


async def measure(fleet: fleet_module.Fleet, items: int) -> dict[str, Any]:
    """Uploads, submits, runs and cancels; returns what was seen."""
    caller = _batch_parts.Caller(fleet)
    warm = [_batch_parts.item(f"warm-{n}", tokens=4) for n in range(2000)]
    for _ in range(len(fleet.vms)):
        await caller.upload("organisation-1", warm)
    found = programs(fleet)
    before = resident(found)
    peaks = dict(before)

    async def sample() -> None:
        while True:
            for name, size in resident(found).items():
                peaks[name] = max(peaks[name], size)
            await anyio.sleep(SAMPLE_PERIOD_S)

    report: dict[str, Any] = {"items": items}
    async with anyio.create_task_group() as group:
        group.start_soon(sample)
        await _accept(fleet, caller, items, report)
        report["accept_growth_mb"] = growth(before, peaks)
        await anyio.sleep(RUN_S)
        report["run_growth_mb"] = growth(before, peaks)
        group.cancel_scope.cancel()
    return report


async def _accept(
    fleet: fleet_module.Fleet,
    caller: _batch_parts.Caller,
    items: int,
    report: dict[str, Any],
) -> None:
    key = fleet.organisations["organisation-2"]
    start_s = time.monotonic()
    response = await caller.client.post(
        f"{fleet.vms['vm-5'].url()}/v1/files",
        content=form(items),
        headers={
            "authorization": f"Bearer {key}",
            "content-type": f"multipart/form-data; boundary={BOUNDARY}",
        },
        timeout=TIMEOUT_S,
    )
    response.raise_for_status()
    report["upload_s"] = round(time.monotonic() - start_s, 2)
    report["file_mb"] = round(response.json()["bytes"] / 1e6, 1)
    file = response.json()["id"]
    job = await caller.create("organisation-2", file, [], "24h")
    report["accepted_items"] = job.seen["request_counts"]["total"]
    record = await _batch_parts.record(fleet, job)
    report["record_bytes"] = len(msgspec.json.encode(record))


def growth(before: dict[str, int], peaks: dict[str, int]) -> dict[str, float]:
    """Returns the largest growth of a process by program, in megabytes."""
    found: dict[str, float] = {}
    for name, size in before.items():
        program = name.rpartition("-")[2]
        grown = (peaks[name] - size) / 1e6
        found[program] = max(found.get(program, 0.0), round(grown, 1))
    return found


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
