"""Submission, polling and output checks of the bench's batch jobs."""

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
        organisation: The organisation whose key submits it.
        input_file_id: The id of the uploaded input file.
        id: The job's id.
        custom_ids: The custom ids of its items.
        state: The batch object of the API as last read.
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
    """Returns one item of each kind that always fails.

    The kinds are a model that does not exist, a malformed request, and a
    request that the engine answers with an error.
    """
    malformed = msgspec.json.decode(
        input_line(f"{prefix}-bad", max_tokens=max_tokens)
    )
    malformed["body"]["messages"] = 7
    failing = msgspec.json.decode(
        input_line(f"{prefix}-failing", max_tokens=max_tokens)
    )
    content = f"{prefix} {standin_engine.FAILURE_MARKER}"
    failing["body"]["messages"][0]["content"] = content
    return [
        input_line(f"{prefix}-absent", max_tokens=max_tokens, model="absent"),
        msgspec.json.encode(malformed),
        msgspec.json.encode(failing),
    ]


class Caller:
    """A caller of the batch API that retries at the next VM.

    Attributes:
        fleet: The fleet that it calls.
        next_vm_index: Index of the next VM among the listed VMs, by name.
        retries: Count of calls that were sent again.
        http_client: The client of all calls.
    """

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
        """Calls the next VM; retries if a VM is unreachable or unavailable.

        Raises:
            HTTPStatusError: The call was refused, or the last attempt failed
                with a status in `RETRIED_STATUSES`.
            ReadError: No attempt got a response.
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
            raise httpx.ReadError(f"no VM responded to {path}")
        response.raise_for_status()
        return response

    async def upload(self, organisation: str, lines: list[bytes]) -> str:
        """Uploads an input file and returns its id."""
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
        """Submits a job with an uploaded input file."""
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
        """Uploads an input file and submits a job with it."""
        input_file_id = await self.upload(organisation, lines)
        return await self.create_job(
            organisation, input_file_id, lines, completion_window
        )

    async def refresh(self, job: Job) -> dict[str, Any]:
        """Reads a job's state from the API again."""
        path = f"/v1/batches/{job.id}"
        job.state = (await self.call("GET", path, job.organisation)).json()
        return job.state

    async def wait_until_ended(
        self, submitted: list[Job], timeout_s: float
    ) -> None:
        """Waits until all jobs have ended, at most for `timeout_s` seconds."""
        with anyio.move_on_after(timeout_s):
            for job in submitted:
                while job.state["status"] not in jobs.FINAL_STATES:
                    await self.refresh(job)
                    await anyio.sleep(POLL_PERIOD_S)

    async def count_output_lines(self, job: Job) -> dict[str, int]:
        """Returns the count of output and error lines by custom id."""
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
    """Checks that jobs completed with one output line for each item.

    Returns:
        The count of items with one output line.
    """
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
    """Returns the ids of the attempts of a job that engines have started."""
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
    """Yields a client of the key-value service and closes it afterwards."""
    key_value_client = keyvalue.KeyValue(
        settings.KeyValue(url=fleet.key_value_url)
    )
    try:
        yield key_value_client
    finally:
        await key_value_client.aclose()


async def read_record(fleet: fleet_module.Fleet, job: Job) -> jobs.JobRecord:
    """Reads a job's record from the key-value service."""
    async with connect_key_value(fleet) as key_value:
        return (await jobs.read_job(key_value, job.id))[0]
