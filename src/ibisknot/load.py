"""`ibisknot-load`: load, faults, experiments and reports."""

import dataclasses
import signal
import sys
from typing import Annotated
from typing import Any

import anyio
import cappa
import msgspec
from rich import console as rich_console
from rich import table as rich_table

import ibisknot
from ibisknot import fleet as fleet_module
from ibisknot import scenario
from ibisknot import scenario_crash_request
from ibisknot import scenario_fleet_cost
from ibisknot import scenario_online_burst
from ibisknot import scenario_rolling_restart
from ibisknot import scenario_smoke
from ibisknot import scenario_vm_loss
from ibisknot import topology as topology_module

SCENARIOS: dict[str, scenario.Scenario] = {
    "smoke": scenario_smoke.run,
    "fleet-cost": scenario_fleet_cost.run,
    "online-burst": scenario_online_burst.run,
    "crash-request": scenario_crash_request.run,
    "rolling-restart": scenario_rolling_restart.run,
    "vm-loss": scenario_vm_loss.run,
}
WITH_BASELINE = {
    "online-burst",
    "noisy-organisation",
    "crash-request",
    "rolling-restart",
    "vm-loss",
}
"""Scenarios whose naive version runs as well, for comparison."""
EXIT_VIOLATION = 1
EXIT_USAGE = 2
EXIT_INTERRUPTED = 130


@dataclasses.dataclass
class List:
    """Lists the scenarios."""


@cappa.command(name="run")
@dataclasses.dataclass
class RunScenario:
    """Runs a scenario and prints what it found."""

    scenario: Annotated[str, cappa.Arg(help="The scenario's name.")]
    seconds: Annotated[float, cappa.Arg(long=True)] = 20.0
    seed: Annotated[int, cappa.Arg(long=True)] = 0
    topology: Annotated[str, cappa.Arg(long=True)] = "umurunga"
    baseline: Annotated[
        bool, cappa.Arg(long=True, help="Run the naive version alone.")
    ] = False
    json: Annotated[bool, cappa.Arg(long=True)] = False


@cappa.command(name="fleet")
@dataclasses.dataclass
class RunFleet:
    """Starts a local fleet and keeps it up until SIGINT or SIGTERM."""

    topology: Annotated[str, cappa.Arg(long=True)] = "umurunga"
    seed: Annotated[int, cappa.Arg(long=True)] = 0
    json: Annotated[bool, cappa.Arg(long=True)] = False


@dataclasses.dataclass
class Arguments:
    """Runs load and faults against a local fleet."""

    command: cappa.Subcommands[List | RunScenario | RunFleet]


def _topology(name: str) -> topology_module.Topology:
    if name not in topology_module.TOPOLOGIES:
        known = ", ".join(topology_module.TOPOLOGIES)
        print(f"unknown topology {name!r}; known: {known}", file=sys.stderr)
        raise SystemExit(EXIT_USAGE)
    return topology_module.TOPOLOGIES[name]


async def run_scenario(command: RunScenario) -> dict[str, Any]:
    """Runs a scenario and returns its report.

    A scenario in `WITH_BASELINE` also runs with the naive policy, whose
    fields get the prefix `baseline_`.
    """
    run = SCENARIOS[command.scenario]
    options = scenario.Run(
        topology=_topology(command.topology),
        seconds=command.seconds,
        seed=command.seed,
        policy="naive" if command.baseline else "fleet",
    )
    report = (await run(options)).report(command.scenario, options)
    if command.baseline or command.scenario not in WITH_BASELINE:
        return report
    naive = dataclasses.replace(options, policy="naive")
    baseline = (await run(naive)).report(command.scenario, naive)
    return scenario.compared(report, baseline)


async def _run_until_signal(command: RunScenario) -> dict[str, Any] | None:
    """Runs a scenario; a signal ends it with all its processes."""
    report: dict[str, Any] | None = None
    async with anyio.create_task_group() as group:
        with anyio.open_signal_receiver(
            signal.SIGINT, signal.SIGTERM
        ) as signals:

            async def wait() -> None:
                async for _ in signals:
                    group.cancel_scope.cancel()
                    return

            group.start_soon(wait)
            report = await run_scenario(command)
            group.cancel_scope.cancel()
    return report


def _show(report: dict[str, Any], *, as_json: bool) -> None:
    if as_json:
        print(msgspec.json.encode(report).decode(), flush=True)
        return
    table = rich_table.Table("field", "value")
    for name, value in report.items():
        table.add_row(name, str(value))
    rich_console.Console().print(table)


async def _keep_fleet(command: RunFleet) -> None:
    options = fleet_module.Options(
        topology=_topology(command.topology), seed=command.seed
    )
    with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async with fleet_module.running(options) as fleet:
            text = msgspec.json.encode(fleet.describe()).decode()
            print(text, flush=True)
            async for _ in signals:
                break


def main() -> None:
    """Entry point of the program."""
    arguments = cappa.parse(Arguments, version=ibisknot.__version__)
    command = arguments.command
    if isinstance(command, List):
        for name in SCENARIOS:
            print(name)
    elif isinstance(command, RunFleet):
        anyio.run(_keep_fleet, command)
    else:
        if command.scenario not in SCENARIOS:
            print(f"unknown scenario {command.scenario!r}", file=sys.stderr)
            raise SystemExit(EXIT_USAGE)
        report = anyio.run(_run_until_signal, command)
        if report is None:
            raise SystemExit(EXIT_INTERRUPTED)
        _show(report, as_json=command.json)
        if not report["ok"]:
            raise SystemExit(EXIT_VIOLATION)
