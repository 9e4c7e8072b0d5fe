"""Scenario `rolling-restart`: all VMs restart in turn, an endpoint leaves."""

import dataclasses

import anyio

from ibisknot.bench import _scenario_load
from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import scenario

ONLINE_PER_S = 25.0
ONLINE_TOKENS = 64
DRAIN_NOTICE_S = 0.6
RESTARTS_TIMEOUT_S = 90.0
LEAVE_BAR_S = 3.0
LEAVING = "engine-2"
LEAVE_AFTER = 2
"""Restarts before the endpoint is marked leaving."""


@dataclasses.dataclass(slots=True)
class Progress:
    """What the restarts have shown.

    Attributes:
        restarted: VMs that were ready again.
        bad_exits: Entries whose exit status was not 0.
        served: Requests that the leaving endpoint had run at the bar.
    """

    restarted: int = 0
    bad_exits: list[str] = dataclasses.field(default_factory=list)
    served: int = -1


async def run(options: scenario.RunOptions) -> scenario.Result:
    """Restarts every VM under load behind the balancer."""
    result = scenario.Result()
    started = fleet_module.Options(
        topology=options.topology,
        policy=options.policy,
        seed=options.seed,
        entry={"drain_notice_s": DRAIN_NOTICE_S},
    )
    progress = Progress()
    async with fleet_module.running(started) as fleet:
        await _scenario_load.raise_rates(fleet)
        caller = _scenario_load.BalancedCaller(fleet, seed=options.seed)
        async with anyio.create_task_group() as group:
            group.start_soon(caller.poll_health)
            async with anyio.create_task_group() as loads:
                loads.start_soon(_load, caller, options, progress)
                with anyio.move_on_after(RESTARTS_TIMEOUT_S):
                    await _restart_all(fleet, progress)
            group.cancel_scope.cancel()
        late = (
            await _scenario_load.count_served(fleet, LEAVING) - progress.served
        )
    cut = _scenario_load.incomplete_outcomes(caller.outcomes)
    _scenario_load.record_outcomes(result, caller.outcomes)
    result.fields["requests"] = len(caller.outcomes)
    result.fields["restarted"] = progress.restarted
    result.fields["requests_cut"] = len(cut)
    result.fields["late_dispatches_to_leaving"] = late
    result.expect(late == 0, f"{late} late dispatches to {LEAVING}")
    whole = progress.restarted == len(fleet.vms)
    result.expect(whole, f"only {progress.restarted} VMs restarted")
    result.expect(not progress.bad_exits, f"exits: {progress.bad_exits}")
    return result


async def _load(
    caller: _scenario_load.BalancedCaller,
    options: scenario.RunOptions,
    progress: Progress,
) -> None:
    """Applies load for the run's seconds and until all VMs are back."""
    fleet = caller.fleet
    start_s = anyio.current_time()
    while True:
        elapsed_s = anyio.current_time() - start_s
        done = progress.restarted == len(fleet.vms)
        if elapsed_s >= RESTARTS_TIMEOUT_S:
            return
        if elapsed_s >= options.seconds and done:
            return
        await caller.run(
            _scenario_load.steady_streams(
                fleet, ONLINE_PER_S, 1.0, tokens=ONLINE_TOKENS
            )
        )


async def _restart_all(fleet: fleet_module.Fleet, progress: Progress) -> None:
    for number, name in enumerate(fleet.vms):
        if number == LEAVE_AFTER:
            await _leave(fleet, progress)
        statuses = await fleet.restart_vm(name)
        if statuses["entry"] != 0:
            progress.bad_exits.append(f"{name}: {statuses['entry']}")
        progress.restarted += 1


async def _leave(fleet: fleet_module.Fleet, progress: Progress) -> None:
    await fleet.drain_endpoint(LEAVING)
    await anyio.sleep(LEAVE_BAR_S)
    progress.served = await _scenario_load.count_served(fleet, LEAVING)
