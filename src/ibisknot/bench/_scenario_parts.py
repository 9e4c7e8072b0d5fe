"""Load and counts that the admission scenarios have in common."""

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


async def lift_rates(fleet: fleet_module.Fleet) -> None:
    """Raises all rates, so that a scenario measures something else."""
    change = {"rate_per_s": HIGH_RATE_PER_S, "burst": HIGH_RATE_PER_S}
    intent = {"organisations": {name: change for name in fleet.organisations}}
    await fleet.wait_in_force(await fleet.confirm(intent))


def headers(fleet: fleet_module.Fleet, organisation: str) -> dict[str, str]:
    """Returns the headers of an organisation's request."""
    return {"authorization": f"Bearer {fleet.organisations[organisation]}"}


def steady(
    fleet: fleet_module.Fleet, rate_per_s: float, end_s: float, *, tokens: int
) -> list[generator.Stream]:
    """Returns an even load of all organisations together."""
    share = rate_per_s / len(fleet.organisations)
    return [
        generator.Stream(name, share, 0.0, end_s, tokens=tokens)
        for name in fleet.organisations
    ]


def is_refused(answer: generator.Answer) -> bool:
    """Returns whether a request was refused by its organisation's rate.

    Such a request was not accepted, so it is neither lost nor cut; it counts
    in `refused_in_rate_fraction`.
    """
    return answer.status == 429


def cut(answers: Iterable[generator.Answer]) -> list[generator.Answer]:
    """Returns the accepted requests without a whole answer."""
    return [a for a in answers if not a.whole and not is_refused(a)]


def add_answers(
    result: scenario.Result, answers: list[generator.Answer]
) -> None:
    """Counts refusals inside the rate and answers that are not whole."""
    result.in_rate += len(answers)
    result.in_rate_refused += sum(is_refused(a) for a in answers)
    for answer in cut(answers):
        result.lost += 1
        text = f"{answer.status} {answer.code}"
        result.violations.append(f"answer not whole: {text}")


@dataclasses.dataclass(slots=True)
class Job:
    """A batch job of the bench."""

    id: str
    base: str
    organisation: str


def _lines(name: str, count: int, tokens: int) -> bytes:
    lines = []
    for number in range(count):
        text = f"{name} item {number} " + "lot description " * 8
        body = {
            "model": fleet_module.MODEL,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": tokens,
        }
        item = {
            "custom_id": f"{name}-{number}",
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": body,
        }
        lines.append(msgspec.json.encode(item))
    return b"\n".join(lines) + b"\n"


async def submit(
    fleet: fleet_module.Fleet, name: str, *, items: int, tokens: int
) -> Job:
    """Submits one job of an organisation chosen by the job's name.

    Raises:
        HTTPStatusError: The job was not accepted.
    """
    vms = list(fleet.vms.values())
    number = sum(name.encode())
    organisations = sorted(fleet.organisations)
    organisation = organisations[number % len(organisations)]
    base = vms[number % len(vms)].url()
    response = await fleet.client.post(
        f"{base}/v1/files",
        files={"file": (f"{name}.jsonl", _lines(name, items, tokens))},
        data={"purpose": "batch"},
        headers=headers(fleet, organisation),
        timeout=UPLOAD_TIMEOUT_S,
    )
    response.raise_for_status()
    wanted = {
        "input_file_id": response.json()["id"],
        "endpoint": "/v1/chat/completions",
        "completion_window": "1h",
    }
    response = await fleet.client.post(
        f"{base}/v1/batches",
        json=wanted,
        headers=headers(fleet, organisation),
        timeout=UPLOAD_TIMEOUT_S,
    )
    response.raise_for_status()
    return Job(response.json()["id"], base, organisation)


async def completed(fleet: fleet_module.Fleet, jobs: Iterable[Job]) -> int:
    """Returns the items that the jobs have completed so far."""
    counts: list[int] = []

    async def count(job: Job) -> None:
        response = await fleet.client.get(
            f"{job.base}/v1/batches/{job.id}",
            headers=headers(fleet, job.organisation),
        )
        response.raise_for_status()
        counts.append(response.json()["request_counts"]["completed"])

    async with anyio.create_task_group() as group:
        for job in jobs:
            group.start_soon(count, job)
    return sum(counts)


async def cancel(fleet: fleet_module.Fleet, jobs: Iterable[Job]) -> None:
    """Cancels jobs."""
    for job in jobs:
        await fleet.client.post(
            f"{job.base}/v1/batches/{job.id}/cancel",
            headers=headers(fleet, job.organisation),
        )


class Balanced(generator.Caller):
    """A caller behind the platform's balancer.

    The balancer sends requests only to VMs whose health check succeeds, as
    far as it knows: it looks once in `HEALTH_PERIOD_S`.

    Attributes:
        healthy: Names of the VMs that were ready at the last check.
    """

    def __init__(self, fleet: fleet_module.Fleet, *, seed: int) -> None:
        super().__init__(fleet, seed=seed)
        self.healthy = sorted(fleet.vms)

    def next_url(self) -> str:
        """Returns a ready VM's base URL."""
        names = self.healthy or sorted(self.fleet.vms)
        return self.fleet.vms[names[next(self.turn) % len(names)]].url()

    async def watch(self) -> None:
        """Checks the VMs' health until cancelled."""
        while True:
            async with anyio.create_task_group() as group:
                for name in self.fleet.vms:
                    group.start_soon(self._check, name)
            await anyio.sleep(HEALTH_PERIOD_S)

    async def _check(self, name: str) -> None:
        url = f"{self.fleet.vms[name].direct_url()}/readyz"
        try:
            response = await self.client.get(url, timeout=HEALTH_TIMEOUT_S)
            ready = response.status_code == 200
        except httpx.HTTPError:
            ready = False
        others = [n for n in self.healthy if n != name]
        self.healthy = sorted([*others, name] if ready else others)


async def served(fleet: fleet_module.Fleet, endpoint: str) -> int:
    """Returns the number of requests that an engine has run."""
    url = f"{fleet.endpoints[endpoint].url}/admin/served"
    response = await fleet.client.get(url)
    response.raise_for_status()
    return len(response.json())
