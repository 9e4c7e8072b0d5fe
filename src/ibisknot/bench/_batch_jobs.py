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

CALL_TIMEOUT_S = 30.0
POLL_PERIOD_S = 0.25
MAX_CALL_ATTEMPTS = 20
RETRY_PAUSE_S = 0.5
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
    input_file_id: str
    id: str
    custom_ids: list[str]
    state: dict[str, Any]


def input_line(
    custom_id: str, *, max_tokens: int, model: str = fleet_module.MODEL
) -> bytes:
    """Returns one line of an input file."""
    body = {
        "model": model,
        "messages": [{"role": "user", "content": f"summary of {custom_id}"}],
        "max_tokens": max_tokens,
    }
    return msgspec.json.encode(
        {
            "custom_id": custom_id,
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": body,
        }
    )


def failing_lines(prefix: str, *, max_tokens: int) -> list[bytes]:
    """Returns items that can never be done, one of each kind."""
    malformed = msgspec.json.decode(
        input_line(f"{prefix}-bad", max_tokens=max_tokens)
    )
    malformed["body"]["messages"] = 7
    crash = msgspec.json.decode(
        input_line(f"{prefix}-crash", max_tokens=max_tokens)
    )
    content = f"{prefix} {standin_engine.CRASH_MARKER}"
    crash["body"]["messages"][0]["content"] = content
    return [
        input_line(f"{prefix}-absent", max_tokens=max_tokens, model="absent"),
        msgspec.json.encode(malformed),
        msgspec.json.encode(crash),
    ]


class Caller:
    """A caller of batch jobs that goes on at another VM when one fails."""

    def __init__(self, fleet: fleet_module.Fleet) -> None:
        self.fleet = fleet
        self.next_vm_index = 0
        self.retries = 0
        self.http_client = httpx.AsyncClient(
            timeout=CALL_TIMEOUT_S, trust_env=False
        )

    async def call(
        self,
        method: str,
        path: str,
        organisation: str,
        **request_arguments: Any,
    ) -> httpx.Response:
        """Calls a VM; sends again when the VM or a part of it is away.

        Raises:
            HTTPStatusError: The call was refused for good.
        """
        key = self.fleet.organisation_keys[organisation]
        headers = {"authorization": f"Bearer {key}"}
        response: httpx.Response | None = None
        for _ in range(MAX_CALL_ATTEMPTS):
            names = sorted(self.fleet.listed_vms)
            vm = self.fleet.vms[names[self.next_vm_index % len(names)]]
            self.next_vm_index += 1
            try:
                response = await self.http_client.request(
                    method,
                    vm.url() + path,
                    headers=headers,
                    **request_arguments,
                )
                if response.status_code not in RETRIED_STATUSES:
                    break
            except httpx.HTTPError:
                pass
            self.retries += 1
            await anyio.sleep(RETRY_PAUSE_S)
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

    async def create_job(
        self,
        organisation: str,
        input_file_id: str,
        lines: list[bytes],
        completion_window: str,
    ) -> Job:
        """Submits a job of an uploaded file."""
        job_request = {
            "input_file_id": input_file_id,
            "endpoint": "/v1/chat/completions",
            "completion_window": completion_window,
        }
        response = await self.call(
            "POST", "/v1/batches", organisation, json=job_request
        )
        created = response.json()
        custom_ids = [msgspec.json.decode(line)["custom_id"] for line in lines]
        return Job(
            organisation, input_file_id, created["id"], custom_ids, created
        )

    async def submit_job(
        self, organisation: str, lines: list[bytes], completion_window: str
    ) -> Job:
        """Uploads a file and submits a job of it."""
        input_file_id = await self.upload(organisation, lines)
        return await self.create_job(
            organisation, input_file_id, lines, completion_window
        )

    async def refresh(self, job: Job) -> dict[str, Any]:
        """Reads a job's state."""
        path = f"/v1/batches/{job.id}"
        job.state = (await self.call("GET", path, job.organisation)).json()
        return job.state

    async def wait_until_ended(
        self, submitted: list[Job], timeout_s: float
    ) -> None:
        """Waits until jobs have ended, or the time is over."""
        with anyio.move_on_after(timeout_s):
            for job in submitted:
                while job.state["status"] not in jobs.FINAL_STATES:
                    await self.refresh(job)
                    await anyio.sleep(POLL_PERIOD_S)

    async def count_output_lines(self, job: Job) -> dict[str, int]:
        """Returns how often each item is in the output and error files."""
        counts: dict[str, int] = {}
        for field in ("output_file_id", "error_file_id"):
            file_id = job.state[field]
            if file_id is None:
                continue
            response = await self.call(
                "GET", f"/v1/files/{file_id}/content", job.organisation
            )
            for line in response.content.splitlines():
                custom_id = msgspec.json.decode(line)["custom_id"]
                counts[custom_id] = counts.get(custom_id, 0) + 1
        return counts


async def check_jobs(
    caller: Caller, submitted: list[Job], result: scenario.Result
) -> int:
    """Checks that ended jobs have each item once; returns how many have."""
    completed_once = 0
    for job in submitted:
        result.expect(
            job.state["status"] == jobs.COMPLETED,
            f"job {job.id} is {job.state['status']}",
        )
        if job.state["status"] not in jobs.FINAL_STATES:
            result.lost += len(job.custom_ids)
            continue
        counts = await caller.count_output_lines(job)
        completed_once += sum(
            counts.get(name, 0) == 1 for name in job.custom_ids
        )
        result.lost += sum(name not in counts for name in job.custom_ids)
        result.duplicated += sum(count > 1 for count in counts.values())
        _check_counts(job, len(counts), result)
    return completed_once


def _check_counts(job: Job, output_lines: int, result: scenario.Result) -> None:
    counts = job.state["request_counts"]
    total = counts["completed"] + counts["failed"]
    result.expect(
        total == output_lines,
        f"job {job.id} counts {total} items, its output has {output_lines}",
    )


async def started_attempts(fleet: fleet_module.Fleet, job: Job) -> set[str]:
    """Returns the tries of a job's items that the engines have begun."""
    attempt_ids: set[str] = set()
    for endpoint in fleet.endpoints.values():
        if endpoint.kind != "engine":
            continue
        try:
            response = await fleet.client.get(f"{endpoint.url}/admin/served")
        except httpx.HTTPError:
            continue
        attempt_ids.update(n for n in response.json() if n.startswith(job.id))
    return attempt_ids


@contextlib.asynccontextmanager
async def connect_key_value(
    fleet: fleet_module.Fleet,
) -> AsyncIterator[keyvalue.KeyValue]:
    """A connection of the bench to the key-value service."""
    key_value_client = keyvalue.KeyValue(
        settings.KeyValue(url=fleet.key_value_url)
    )
    try:
        yield key_value_client
    finally:
        await key_value_client.aclose()


async def read_record(fleet: fleet_module.Fleet, job: Job) -> jobs.JobRecord:
    """Returns a job's record."""
    async with connect_key_value(fleet) as key_value:
        return (await jobs.read_job(key_value, job.id))[0]
