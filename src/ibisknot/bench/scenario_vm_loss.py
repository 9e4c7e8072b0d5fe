"""Scenario `vm-loss`: two VMs are killed and one is paused under load."""

import anyio

from ibisknot import admission_groups
from ibisknot import settings
from ibisknot.bench import _scenario_load
from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import generator
from ibisknot.bench import scenario
from ibisknot.bench import scenario_vm_loss_batch

ONLINE_PER_S = 25.0
ONLINE_TOKENS = 32
KILL_AFTER_S = 2.0
PAUSE_S = 8.0
"""Longer than the batch lease of 5 s."""
RESENDS = 5
RESEND_PAUSE_S = 0.3
RETRIED_STATUSES = (0, 502, 503, 504)


class Resending(_scenario_load.BalancedCaller):
    """A caller that sends a request again when its VM was lost.

    Attributes:
        resent: How often a request was sent again.
        final: The last answer to each request.
    """

    def __init__(self, fleet: fleet_module.Fleet, *, seed: int) -> None:
        super().__init__(fleet, seed=seed)
        self.resent = 0
        self.final: list[generator.Outcome] = []

    async def send(
        self, stream: generator.RequestStream, due_s: float
    ) -> generator.Outcome:
        """Sends one request until it is answered or refused for good."""
        answer = await super().send(stream, due_s)
        for _ in range(RESENDS):
            if answer.is_complete or _scenario_load.is_refused(answer):
                break
            self.resent += 1
            await anyio.sleep(RESEND_PAUSE_S)
            answer = await super().send(stream, due_s)
        self.final.append(answer)
        return answer


def admitting_vm(fleet: fleet_module.Fleet) -> str:
    """Returns the VM that admits for the model's first group."""
    group = f"{fleet_module.MODEL}/0"
    vm = admission_groups.choose_admitter(
        group, fleet.listed_vms.values(), excluded=[]
    )
    assert vm is not None
    return vm.name


def victims(fleet: fleet_module.Fleet) -> tuple[list[str], str]:
    """Returns the VMs to kill, the admitting one first, and one to pause."""
    first = admitting_vm(fleet)
    others = [name for name in fleet.vms if name != first]
    return [first, others[0]], others[1]


async def run(options: scenario.RunOptions) -> scenario.Result:
    """Loses VMs under online load, then VMs and disks under batch jobs.

    The baseline runs the online part alone: its batch path differs only in
    the order of jobs and the choice of engines.
    """
    result = await _online(options)
    if options.policy == settings.NAIVE_POLICY:
        return result
    batch = await scenario_vm_loss_batch.run(options)
    result.violations.extend(batch.violations)
    result.lost += batch.lost
    result.duplicated += batch.duplicated
    result.fields.update(batch.fields)
    return result


async def _online(options: scenario.RunOptions) -> scenario.Result:
    """Loses VMs under online load; every request must still be answered."""
    result = scenario.Result()
    started = fleet_module.Options(
        topology=options.topology, policy=options.policy, seed=options.seed
    )
    async with fleet_module.running(started) as fleet:
        await _scenario_load.raise_rates(fleet)
        caller = Resending(fleet, seed=options.seed)
        streams = _scenario_load.steady_streams(
            fleet, ONLINE_PER_S, options.seconds, tokens=ONLINE_TOKENS
        )
        async with anyio.create_task_group() as group:
            group.start_soon(caller.poll_health)
            async with anyio.create_task_group() as faults:
                faults.start_soon(_lose, fleet)
                await caller.run(streams)
            group.cancel_scope.cancel()
    _scenario_load.record_outcomes(result, caller.final)
    result.fields["online_accepted"] = len(caller.final)
    result.fields["online_answered"] = sum(a.is_complete for a in caller.final)
    result.fields["online_resent"] = caller.resent
    slow = generator.Latencies()
    for answer in caller.final:
        slow.add(answer.total_s)
    result.fields["online_total_p99_ms"] = slow.quantile_ms(0.99)
    return result


async def _lose(fleet: fleet_module.Fleet) -> None:
    """Kills two VMs and pauses a third past its lease."""
    await anyio.sleep(KILL_AFTER_S)
    killed, paused = victims(fleet)
    for name in killed:
        await fleet.kill_vm(name)
    fleet.pause_vm(paused)
    await anyio.sleep(PAUSE_S)
    fleet.resume_vm(paused)
