"""Batch jobs of the bench: submission, waiting and checks of the output."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
from typing import Any

import anyio
import httpx
import msgspec

from ibisknot import jobs
from ibisknot import keyvalue
from ibisknot import settings
from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import scenario
from ibisknot.standins import standin_engine

TIMEOUT_S = 30.0
POLL_S = 0.25
RESENDS = 20
RESEND_PAUSE_S = 0.5
RETRIED_STATUSES = (502, 503, 504)


@dataclasses.dataclass(slots=True)
class Job:
    """A batch job of the bench.

    Attributes:
        organisation: Whose key submits it.
        file: The input file's id.
        id: The job's id.
        names: The items' custom ids.
        seen: The job as last read.
    """

    organisation: str
    file: str
    id: str
    names: list[str]
    seen: dict[str, Any]


def item(name: str, *, tokens: int, model: str = fleet_module.MODEL) -> bytes:
    """Returns one line of an input file."""
    body = {
        "model": model,
        "messages": [{"role": "user", "content": f"summary of {name}"}],
        "max_tokens": tokens,
    }
    return msgspec.json.encode(
        {
            "custom_id": name,
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": body,
        }
    )


def impossible(prefix: str, *, tokens: int) -> list[bytes]:
    """Returns items that can never be done, one of each kind."""
    bad = msgspec.json.decode(item(f"{prefix}-bad", tokens=tokens))
    bad["body"]["messages"] = 7
    crash = msgspec.json.decode(item(f"{prefix}-crash", tokens=tokens))
    text = f"{prefix} {standin_engine.CRASH_MARKER}"
    crash["body"]["messages"][0]["content"] = text
    return [
        item(f"{prefix}-absent", tokens=tokens, model="absent"),
        msgspec.json.encode(bad),
        msgspec.json.encode(crash),
    ]


class Caller:
    """A caller of batch jobs that goes on at another VM when one fails."""

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        self.fleet = fleet
        self.turn = 0
        self.resent = 0
        self.client = httpx.AsyncClient(timeout=TIMEOUT_S, trust_env=False)

    async def call(
        self, method: str, path: str, organisation: str, **arguments: Any
    ) -> httpx.Response:
        """Calls a VM; sends again when the VM or a part of it is away.

        Raises:
            HTTPStatusError: The call was refused for good.
        """
        key = self.fleet.organisation_keys[organisation]
        headers = {"authorization": f"Bearer {key}"}
        response: httpx.Response | None = None
        for _ in range(RESENDS):
            names = sorted(self.fleet.listed_vms)
            vm = self.fleet.vms[names[self.turn % len(names)]]
            self.turn += 1
            try:
                response = await self.client.request(
                    method, vm.url() + path, headers=headers, **arguments
                )
                if response.status_code not in RETRIED_STATUSES:
                    break
            except httpx.HTTPError:
                pass
            self.resent += 1
            await anyio.sleep(RESEND_PAUSE_S)
        if response is None:
            raise httpx.ReadError(f"no VM answered {path}")
        response.raise_for_status()
        return response

    async def upload(self, organisation: str, lines: list[bytes]) -> str:
        """Uploads an input file; returns its id."""
        response = await self.call(
            "POST",
            "/v1/files",
            organisation,
            files={"file": ("input.jsonl", b"\n".join(lines))},
            data={"purpose": "batch"},
        )
        return response.json()["id"]

    async def create(
        self, organisation: str, file: str, lines: list[bytes], window: str
    ) -> Job:
        """Submits a job of an uploaded file."""
        wanted = {
            "input_file_id": file,
            "endpoint": "/v1/chat/completions",
            "completion_window": window,
        }
        response = await self.call(
            "POST", "/v1/batches", organisation, json=wanted
        )
        made = response.json()
        names = [msgspec.json.decode(line)["custom_id"] for line in lines]
        return Job(organisation, file, made["id"], names, made)

    async def submit(
        self, organisation: str, lines: list[bytes], window: str
    ) -> Job:
        """Uploads a file and submits a job of it."""
        file = await self.upload(organisation, lines)
        return await self.create(organisation, file, lines, window)

    async def read(self, job: Job) -> dict[str, Any]:
        """Reads a job's state."""
        path = f"/v1/batches/{job.id}"
        job.seen = (await self.call("GET", path, job.organisation)).json()
        return job.seen

    async def wait(self, waiting: list[Job], timeout_s: float) -> None:
        """Waits until jobs have ended, or the time is over."""
        with anyio.move_on_after(timeout_s):
            for job in waiting:
                while job.seen["status"] not in jobs.FINAL_STATES:
                    await self.read(job)
                    await anyio.sleep(POLL_S)

    async def output(self, job: Job) -> dict[str, int]:
        """Returns how often each item is in the output and error files."""
        counts: dict[str, int] = {}
        for field in ("output_file_id", "error_file_id"):
            name = job.seen[field]
            if name is None:
                continue
            response = await self.call(
                "GET", f"/v1/files/{name}/content", job.organisation
            )
            for line in response.content.splitlines():
                custom_id = msgspec.json.decode(line)["custom_id"]
                counts[custom_id] = counts.get(custom_id, 0) + 1
        return counts


async def check(
    caller: Caller, made: list[Job], result: scenario.Result
) -> int:
    """Checks that ended jobs have each item once; returns how many have."""
    once = 0
    for job in made:
        result.expect(
            job.seen["status"] == jobs.COMPLETED,
            f"job {job.id} is {job.seen['status']}",
        )
        if job.seen["status"] not in jobs.FINAL_STATES:
            result.lost += len(job.names)
            continue
        counts = await caller.output(job)
        once += sum(counts.get(name, 0) == 1 for name in job.names)
        result.lost += sum(name not in counts for name in job.names)
        result.duplicated += sum(count > 1 for count in counts.values())
        _check_counts(job, len(counts), result)
    return once


def _check_counts(job: Job, found: int, result: scenario.Result) -> None:
    counts = job.seen["request_counts"]
    total = counts["completed"] + counts["failed"]
    result.expect(
        total == found,
        f"job {job.id} counts {total} items, its output has {found}",
    )


async def served(fleet: fleet_module.Fleet, job: Job) -> set[str]:
    """Returns the tries of a job's items that the engines have begun."""
    found: set[str] = set()
    for endpoint in fleet.endpoints.values():
        if endpoint.kind != "engine":
            continue
        try:
            response = await fleet.client.get(f"{endpoint.url}/admin/served")
        except httpx.HTTPError:
            continue
        found.update(n for n in response.json() if n.startswith(job.id))
    return found


@contextlib.asynccontextmanager
async def key_value(
    fleet: fleet_module.Fleet,
) -> AsyncIterator[keyvalue.KeyValue]:
    """A connection of the bench to the key-value service."""
    store = keyvalue.KeyValue(settings.KeyValue(url=fleet.key_value_url))
    try:
        yield store
    finally:
        await store.aclose()


async def record(fleet: fleet_module.Fleet, job: Job) -> jobs.JobRecord:
    """Returns a job's record."""
    async with key_value(fleet) as store:
        return (await jobs.read_job(store, job.id))[0]
