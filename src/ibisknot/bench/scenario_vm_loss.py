"""Scenario `vm-loss`: two VMs are killed and one is paused under load."""

import anyio

from ibisknot import admission_groups
from ibisknot import settings
from ibisknot.bench import _scenario_load
from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import generator
from ibisknot.bench import scenario
from ibisknot.bench import scenario_vm_loss_batch

ONLINE_REQUESTS_PER_S = 25.0
ONLINE_MAX_TOKENS = 32
KILL_DELAY_S = 2.0
PAUSE_S = 8.0
"""Longer than the batch lease of 5 s."""
MAX_RETRIES = 5
RETRY_PAUSE_S = 0.3
RETRIED_STATUSES = (0, 502, 503, 504)


class RetryingCaller(_scenario_load.BalancedCaller):
    """A caller that retries a request when its VM was lost.

    Attributes:
        retries: Count of retries of all requests.
        final_outcomes: The last outcome of each request.
    """

    def __init__(self, fleet: fleet_module.Fleet, *, seed: int) -> None:
        super().__init__(fleet, seed=seed)
        self.retries = 0
        self.final_outcomes: list[generator.Outcome] = []

    async def send(
        self, stream: generator.RequestStream, due_s: float
    ) -> generator.Outcome:
        """Sends a request and retries it unless it is completed or refused."""
        outcome = await super().send(stream, due_s)
        for _ in range(MAX_RETRIES):
            if outcome.is_complete or _scenario_load.is_refused(outcome):
                break
            self.retries += 1
            await anyio.sleep(RETRY_PAUSE_S)
            outcome = await super().send(stream, due_s)
        self.final_outcomes.append(outcome)
        return outcome


def find_admitter(fleet: fleet_module.Fleet) -> str:
    """Returns the admitter of the model's first admission group."""
    admission_group = f"{fleet_module.MODEL}/0"
    admitter = admission_groups.choose_admitter(
        admission_group, fleet.listed_vms.values(), excluded=[]
    )
    assert admitter is not None
    return admitter.name


def choose_vms_to_lose(fleet: fleet_module.Fleet) -> tuple[list[str], str]:
    """Returns the VMs to kill, the admitter first, and one VM to pause."""
    admitter = find_admitter(fleet)
    other_vms = [name for name in fleet.vms if name != admitter]
    return [admitter, other_vms[0]], other_vms[1]


async def run(options: scenario.RunOptions) -> scenario.Result:
    """Loses VMs under online load, then VMs and disks under batch jobs.

    The baseline runs the online part only: its batch path differs only in the
    order of jobs and the choice of engines.
    """
    result = await _run_online(options)
    if options.policy == settings.NAIVE_POLICY:
        return result
    batch_result = await scenario_vm_loss_batch.run(options)
    result.violations.extend(batch_result.violations)
    result.lost += batch_result.lost
    result.duplicated += batch_result.duplicated
    result.fields.update(batch_result.fields)
    return result


async def _run_online(options: scenario.RunOptions) -> scenario.Result:
    """Loses VMs under online load; each request must get a response."""
    result = scenario.Result()
    fleet_options = fleet_module.Options(
        topology=options.topology, policy=options.policy, seed=options.seed
    )
    async with fleet_module.running(fleet_options) as fleet:
        await _scenario_load.raise_rates(fleet)
        caller = RetryingCaller(fleet, seed=options.seed)
        streams = _scenario_load.steady_streams(
            fleet,
            ONLINE_REQUESTS_PER_S,
            options.seconds,
            tokens=ONLINE_MAX_TOKENS,
        )
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(caller.poll_health)
            async with anyio.create_task_group() as fault_tasks:
                fault_tasks.start_soon(_lose_vms, fleet)
                await caller.run(streams)
            task_group.cancel_scope.cancel()
    _scenario_load.record_outcomes(result, caller.final_outcomes)
    result.fields["online_accepted"] = len(caller.final_outcomes)
    result.fields["online_answered"] = sum(
        o.is_complete for o in caller.final_outcomes
    )
    result.fields["online_resent"] = caller.retries
    latencies = generator.Latencies()
    for outcome in caller.final_outcomes:
        latencies.add(outcome.total_s)
    result.fields["online_total_p99_ms"] = latencies.quantile_ms(0.99)
    return result


async def _lose_vms(fleet: fleet_module.Fleet) -> None:
    """Kills two VMs and pauses a third until its lease has ended."""
    await anyio.sleep(KILL_DELAY_S)
    killed, paused = choose_vms_to_lose(fleet)
    for name in killed:
        await fleet.kill_vm(name)
    fleet.pause_vm(paused)
    await anyio.sleep(PAUSE_S)
    fleet.resume_vm(paused)
