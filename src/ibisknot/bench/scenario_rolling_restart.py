"""Scenario `rolling-restart`: VMs restart in turn, an endpoint drains."""

import dataclasses

import anyio

from ibisknot.bench import _scenario_load
from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import scenario

ONLINE_REQUESTS_PER_S = 25.0
ONLINE_MAX_TOKENS = 64
DRAIN_NOTICE_S = 0.6
RESTARTS_TIMEOUT_S = 90.0
DRAIN_LIMIT_S = 3.0
"""Time from which a draining endpoint gets no more requests."""
DRAINED_ENDPOINT = "engine-2"
RESTARTS_BEFORE_DRAIN = 2
"""Count of restarts before the endpoint starts to drain."""


@dataclasses.dataclass(slots=True)
class Progress:
    """Results of the restarts so far.

    Attributes:
        restarted: Count of VMs that are ready again after their restart.
        bad_exits: VM and exit status of entries whose status was not 0.
        served_by_drain_limit: Count of requests that the draining endpoint
            had run `DRAIN_LIMIT_S` after it started to drain, -1 before.
    """

    restarted: int = 0
    bad_exits: list[str] = dataclasses.field(default_factory=list)
    served_by_drain_limit: int = -1


async def run(options: scenario.RunOptions) -> scenario.Result:
    """Restarts all VMs in turn under load that a balancer distributes."""
    result = scenario.Result()
    fleet_options = fleet_module.Options(
        topology=options.topology,
        policy=options.policy,
        seed=options.seed,
        entry={"drain_notice_s": DRAIN_NOTICE_S},
    )
    progress = Progress()
    async with fleet_module.running(fleet_options) as fleet:
        await _scenario_load.raise_rates(fleet)
        caller = _scenario_load.BalancedCaller(fleet, seed=options.seed)
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(caller.poll_health)
            async with anyio.create_task_group() as load_tasks:
                load_tasks.start_soon(_apply_load, caller, options, progress)
                with anyio.move_on_after(RESTARTS_TIMEOUT_S):
                    await _restart_all(fleet, progress)
            task_group.cancel_scope.cancel()
        late_dispatches = (
            await _scenario_load.count_served(fleet, DRAINED_ENDPOINT)
            - progress.served_by_drain_limit
        )
    incomplete = _scenario_load.incomplete_outcomes(caller.outcomes)
    _scenario_load.record_outcomes(result, caller.outcomes)
    result.fields["requests"] = len(caller.outcomes)
    result.fields["restarted"] = progress.restarted
    result.fields["requests_cut"] = len(incomplete)
    result.fields["late_dispatches_to_leaving"] = late_dispatches
    result.expect(
        late_dispatches == 0,
        f"{late_dispatches} late dispatches to {DRAINED_ENDPOINT}",
    )
    all_restarted = progress.restarted == len(fleet.vms)
    result.expect(all_restarted, f"only {progress.restarted} VMs restarted")
    result.expect(not progress.bad_exits, f"exits: {progress.bad_exits}")
    return result


async def _apply_load(
    caller: _scenario_load.BalancedCaller,
    options: scenario.RunOptions,
    progress: Progress,
) -> None:
    """Applies load for the run's seconds and until all VMs have restarted."""
    fleet = caller.fleet
    start_s = anyio.current_time()
    while True:
        elapsed_s = anyio.current_time() - start_s
        all_restarted = progress.restarted == len(fleet.vms)
        if elapsed_s >= RESTARTS_TIMEOUT_S:
            return
        if elapsed_s >= options.seconds and all_restarted:
            return
        await caller.run(
            _scenario_load.steady_streams(
                fleet, ONLINE_REQUESTS_PER_S, 1.0, tokens=ONLINE_MAX_TOKENS
            )
        )


async def _restart_all(fleet: fleet_module.Fleet, progress: Progress) -> None:
    for index, name in enumerate(fleet.vms):
        if index == RESTARTS_BEFORE_DRAIN:
            await _drain_endpoint(fleet, progress)
        statuses = await fleet.restart_vm(name)
        if statuses["entry"] != 0:
            progress.bad_exits.append(f"{name}: {statuses['entry']}")
        progress.restarted += 1


async def _drain_endpoint(
    fleet: fleet_module.Fleet, progress: Progress
) -> None:
    await fleet.drain_endpoint(DRAINED_ENDPOINT)
    await anyio.sleep(DRAIN_LIMIT_S)
    progress.served_by_drain_limit = await _scenario_load.count_served(
        fleet, DRAINED_ENDPOINT
    )
