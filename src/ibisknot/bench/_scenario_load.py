"""Load, jobs and counts that several scenarios use."""

from collections.abc import Iterable
import dataclasses

import anyio
import httpx
import msgspec

from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import generator
from ibisknot.bench import scenario

HIGH_RATE_PER_S = 10_000.0
HEALTH_PERIOD_S = 0.2
HEALTH_TIMEOUT_S = 0.5
UPLOAD_TIMEOUT_S = 30.0


async def raise_rates(fleet: fleet_module.Fleet) -> None:
    """Raises all rates, so that no request of a scenario is rate-limited."""
    change = {"rate_per_s": HIGH_RATE_PER_S, "burst": HIGH_RATE_PER_S}
    intent = {
        "organisations": {name: change for name in fleet.organisation_keys}
    }
    await fleet.wait_in_force(await fleet.confirm_intent(intent))


def authorization_headers(
    fleet: fleet_module.Fleet, organisation: str
) -> dict[str, str]:
    """Returns the headers of an organisation's request."""
    return {"authorization": f"Bearer {fleet.organisation_keys[organisation]}"}


def steady_streams(
    fleet: fleet_module.Fleet, rate_per_s: float, end_s: float, *, tokens: int
) -> list[generator.RequestStream]:
    """Returns one stream for each organisation, with equal rates.

    Args:
        fleet: The fleet.
        rate_per_s: Mean requests a second of all streams together.
        end_s: End of the streams, in seconds after the start of the run.
        tokens: Tokens that each request lets the engine generate.
    """
    share = rate_per_s / len(fleet.organisation_keys)
    return [
        generator.RequestStream(name, share, 0.0, end_s, max_tokens=tokens)
        for name in fleet.organisation_keys
    ]


def is_refused(outcome: generator.Outcome) -> bool:
    """Returns whether a request was refused by its organisation's rate.

    Such a request was not accepted, so it is neither lost nor incomplete; it
    counts in `refused_in_rate_fraction`.
    """
    return outcome.status == 429


def incomplete_outcomes(
    outcomes: Iterable[generator.Outcome],
) -> list[generator.Outcome]:
    """Returns the outcomes of accepted requests without a complete response."""
    return [
        outcome
        for outcome in outcomes
        if not outcome.is_complete and not is_refused(outcome)
    ]


def record_outcomes(
    result: scenario.Result, outcomes: list[generator.Outcome]
) -> None:
    """Counts refusals, and records incomplete responses as violations.

    All requests count as within the rate.
    """
    result.in_rate += len(outcomes)
    result.in_rate_refused += sum(is_refused(o) for o in outcomes)
    for outcome in incomplete_outcomes(outcomes):
        result.lost += 1
        text = f"{outcome.status} {outcome.error_code}"
        result.violations.append(f"incomplete response: {text}")


@dataclasses.dataclass(slots=True)
class Job:
    """A batch job that the bench submitted.

    Attributes:
        id: The batch job's id.
        base_url: Base URL of the VM that accepted it.
        organisation: Name of the organisation that owns it.
    """

    id: str
    base_url: str
    organisation: str


def _encode_items(job_name: str, count: int, tokens: int) -> bytes:
    lines = []
    for index in range(count):
        text = f"{job_name} item {index} " + "lot description " * 8
        body = {
            "model": fleet_module.MODEL,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": tokens,
        }
        item = {
            "custom_id": f"{job_name}-{index}",
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": body,
        }
        lines.append(msgspec.json.encode(item))
    return b"\n".join(lines) + b"\n"


async def submit_job(
    fleet: fleet_module.Fleet, name: str, *, items: int, tokens: int
) -> Job:
    """Uploads and submits a batch job.

    The job's name determines the organisation and the VM.

    Args:
        fleet: The fleet.
        name: Name of the input file and prefix of the items' custom ids.
        items: Count of items.
        tokens: Tokens that each item lets the engine generate.

    Raises:
        HTTPStatusError: The job was not accepted.
    """
    vms = list(fleet.vms.values())
    name_sum = sum(name.encode())
    organisations = sorted(fleet.organisation_keys)
    organisation = organisations[name_sum % len(organisations)]
    base_url = vms[name_sum % len(vms)].url()
    response = await fleet.client.post(
        f"{base_url}/v1/files",
        files={"file": (f"{name}.jsonl", _encode_items(name, items, tokens))},
        data={"purpose": "batch"},
        headers=authorization_headers(fleet, organisation),
        timeout=UPLOAD_TIMEOUT_S,
    )
    response.raise_for_status()
    batch_request = {
        "input_file_id": response.json()["id"],
        "endpoint": "/v1/chat/completions",
        "completion_window": "1h",
    }
    response = await fleet.client.post(
        f"{base_url}/v1/batches",
        json=batch_request,
        headers=authorization_headers(fleet, organisation),
        timeout=UPLOAD_TIMEOUT_S,
    )
    response.raise_for_status()
    return Job(response.json()["id"], base_url, organisation)


async def count_completed(
    fleet: fleet_module.Fleet, jobs: Iterable[Job]
) -> int:
    """Returns the count of items that the jobs have completed so far."""
    counts: list[int] = []

    async def count(job: Job) -> None:
        response = await fleet.client.get(
            f"{job.base_url}/v1/batches/{job.id}",
            headers=authorization_headers(fleet, job.organisation),
        )
        response.raise_for_status()
        counts.append(response.json()["request_counts"]["completed"])

    async with anyio.create_task_group() as task_group:
        for job in jobs:
            task_group.start_soon(count, job)
    return sum(counts)


async def cancel_jobs(fleet: fleet_module.Fleet, jobs: Iterable[Job]) -> None:
    """Requests the cancellation of jobs; responses are not checked."""
    for job in jobs:
        await fleet.client.post(
            f"{job.base_url}/v1/batches/{job.id}/cancel",
            headers=authorization_headers(fleet, job.organisation),
        )


class BalancedCaller(generator.Caller):
    """A caller behind the platform's load balancer.

    The load balancer sends requests only to VMs whose last health check
    succeeded; it checks every `HEALTH_PERIOD_S`, so it may be out of date.

    Attributes:
        healthy_vms: Names of the VMs whose last check succeeded.
    """

    def __init__(self, fleet: fleet_module.Fleet, *, seed: int) -> None:
        super().__init__(fleet, seed=seed)
        self.healthy_vms = sorted(fleet.vms)

    def next_url(self) -> str:
        """Returns the base URL of the next healthy VM, or of any if none is."""
        names = self.healthy_vms or sorted(self.fleet.vms)
        return self.fleet.vms[
            names[next(self.request_counter) % len(names)]
        ].url()

    async def poll_health(self) -> None:
        """Checks the VMs' health until cancelled."""
        while True:
            async with anyio.create_task_group() as task_group:
                for name in self.fleet.vms:
                    task_group.start_soon(self._check_vm, name)
            await anyio.sleep(HEALTH_PERIOD_S)

    async def _check_vm(self, name: str) -> None:
        url = f"{self.fleet.vms[name].direct_url()}/readyz"
        try:
            response = await self.client.get(url, timeout=HEALTH_TIMEOUT_S)
            is_ready = response.status_code == 200
        except httpx.HTTPError:
            is_ready = False
        others = [n for n in self.healthy_vms if n != name]
        self.healthy_vms = sorted([*others, name] if is_ready else others)


async def count_served(fleet: fleet_module.Fleet, endpoint: str) -> int:
    """Returns the count of requests that an engine has run."""
    url = f"{fleet.endpoints[endpoint].url}/admin/served"
    response = await fleet.client.get(url)
    response.raise_for_status()
    return len(response.json())
