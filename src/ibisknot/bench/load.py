"""`ibisknot-load`: load, faults, experiments and reports."""

import dataclasses
import pathlib
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
from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import scenario
from ibisknot.bench import scenario_batch_deadline
from ibisknot.bench import scenario_config_storm
from ibisknot.bench import scenario_crash_request
from ibisknot.bench import scenario_fleet_cost
from ibisknot.bench import scenario_kv_outage
from ibisknot.bench import scenario_noisy_organisation
from ibisknot.bench import scenario_online_burst
from ibisknot.bench import scenario_rolling_restart
from ibisknot.bench import scenario_smoke
from ibisknot.bench import scenario_throughput
from ibisknot.bench import scenario_vm_loss
from ibisknot.bench import topology as topology_module

SCENARIOS: dict[str, scenario.Scenario] = {
    "smoke": scenario_smoke.run,
    "noisy-organisation": scenario_noisy_organisation.run,
    "kv-outage": scenario_kv_outage.run,
    "config-storm": scenario_config_storm.run,
    "fleet-cost": scenario_fleet_cost.run,
    "online-burst": scenario_online_burst.run,
    "batch-deadline": scenario_batch_deadline.run,
    "vm-loss": scenario_vm_loss.run,
    "throughput": scenario_throughput.run,
    "crash-request": scenario_crash_request.run,
    "rolling-restart": scenario_rolling_restart.run,
}
BASELINE_SCENARIOS = {
    "online-burst",
    "noisy-organisation",
    "crash-request",
    "rolling-restart",
    "vm-loss",
    "batch-deadline",
}
"""Scenarios that also run with the naive policy, for comparison."""
EXIT_VIOLATION = 1
EXIT_USAGE = 2
EXIT_INTERRUPTED = 130


@dataclasses.dataclass
class List:
    """Lists the scenarios."""


@cappa.command(name="run")
@dataclasses.dataclass
class RunScenario:
    """Runs a scenario and prints its report."""

    scenario: Annotated[str, cappa.Arg(help="The scenario's name.")]
    seconds: Annotated[float, cappa.Arg(long=True)] = 20.0
    seed: Annotated[int, cappa.Arg(long=True)] = 0
    topology: Annotated[str, cappa.Arg(long=True)] = "umurunga"
    baseline: Annotated[
        bool, cappa.Arg(long=True, help="Run only with the naive policy.")
    ] = False
    json: Annotated[bool, cappa.Arg(long=True)] = False
    save: Annotated[
        str | None, cappa.Arg(long=True, help="Folder for the result.")
    ] = None


@dataclasses.dataclass
class Bench:
    """Runs scenarios briefly, saves the runs and writes the report page."""

    scenarios: Annotated[
        str, cappa.Arg(long=True, help="Names with commas; default all.")
    ] = ""
    seconds: Annotated[float, cappa.Arg(long=True)] = 10.0
    seed: Annotated[int, cappa.Arg(long=True)] = 0
    topology: Annotated[str, cappa.Arg(long=True)] = "umurunga"
    save: Annotated[str, cappa.Arg(long=True)] = "results"


@dataclasses.dataclass
class Report:
    """Writes an HTML page with plots of saved runs."""

    folder: Annotated[str, cappa.Arg(help="Folder of saved runs.")] = "results"


@dataclasses.dataclass
class Plan:
    """Compares recorded days with the best possible plan for them."""

    logs: Annotated[list[str], cappa.Arg(help="Log files, one for each day.")]
    plot: Annotated[
        str | None, cappa.Arg(long=True, help="PNG file for the plot.")
    ] = None
    online_worth: Annotated[float, cappa.Arg(long=True)] = 3.1
    online_late: Annotated[float, cappa.Arg(long=True)] = 0.47
    batch_worth: Annotated[float, cappa.Arg(long=True)] = 19.0
    batch_late: Annotated[float, cappa.Arg(long=True)] = 1.9


@cappa.command(name="fleet")
@dataclasses.dataclass
class RunFleet:
    """Starts a local fleet and runs it until SIGINT or SIGTERM."""

    topology: Annotated[str, cappa.Arg(long=True)] = "umurunga"
    seed: Annotated[int, cappa.Arg(long=True)] = 0
    json: Annotated[bool, cappa.Arg(long=True)] = False


@dataclasses.dataclass
class Arguments:
    """Runs load and faults against a local fleet."""

    command: cappa.Subcommands[
        List | RunScenario | RunFleet | Bench | Report | Plan
    ]


def _find_topology(name: str) -> topology_module.Topology:
    if name not in topology_module.TOPOLOGIES:
        valid = ", ".join(topology_module.TOPOLOGIES)
        print(f"unknown topology {name!r}; valid: {valid}", file=sys.stderr)
        raise SystemExit(EXIT_USAGE)
    return topology_module.TOPOLOGIES[name]


async def run_scenario(command: RunScenario) -> scenario.SavedRun:
    """Runs a scenario and returns its report and curves.

    A scenario in `BASELINE_SCENARIOS` also runs with the naive policy, whose
    fields get the prefix `baseline_`.
    """
    options = scenario.RunOptions(
        topology=_find_topology(command.topology),
        seconds=command.seconds,
        seed=command.seed,
        policy="naive" if command.baseline else "fleet",
    )
    run = await _run_policy(command.scenario, options)
    if not command.baseline and command.scenario in BASELINE_SCENARIOS:
        naive = dataclasses.replace(options, policy="naive")
        baseline = await _run_policy(command.scenario, naive)
        run = scenario.add_baseline(run, baseline)
    return run


async def _run_policy(
    name: str, options: scenario.RunOptions
) -> scenario.SavedRun:
    result = await SCENARIOS[name](options)
    return scenario.SavedRun(result.report(name, options), result.curves)


async def _run_until_signal(command: RunScenario) -> scenario.SavedRun | None:
    """Runs a scenario; SIGINT or SIGTERM cancels it and ends its processes.

    Returns:
        The run, or None if it was cancelled.
    """
    run: scenario.SavedRun | None = None
    async with anyio.create_task_group() as task_group:
        with anyio.open_signal_receiver(
            signal.SIGINT, signal.SIGTERM
        ) as signals:

            async def wait() -> None:
                async for _ in signals:
                    task_group.cancel_scope.cancel()
                    return

            task_group.start_soon(wait)
            run = await run_scenario(command)
            task_group.cancel_scope.cancel()
    return run


def _run_and_print(command: RunScenario) -> dict[str, Any]:
    """Runs a scenario, saves and prints it; returns its report."""
    run = anyio.run(
        _run_until_signal, command, backend_options={"use_uvloop": True}
    )
    if run is None:
        raise SystemExit(EXIT_INTERRUPTED)
    if command.save is not None:
        scenario.save(run, pathlib.Path(command.save))
    _print_report(run.report, as_json=command.json)
    return run.report


def _print_report(report: dict[str, Any], *, as_json: bool) -> None:
    if as_json:
        print(msgspec.json.encode(report).decode(), flush=True)
        return
    title = f"{report['scenario']} on {report['topology']}"
    table = rich_table.Table("field", "value", title=title)
    for name, value in report.items():
        if name not in ("violations", *scenario.SHARED_FIELDS):
            table.add_row(name.replace("_", " "), _format_value(value))
    console = rich_console.Console()
    console.print(table)
    for violation in report["violations"]:
        console.print(f"violation: {violation}", markup=False)
    seconds, seed = report["seconds"], report["seed"]
    verdict = "all checks passed" if report["ok"] else "CHECKS FAILED"
    console.print(f"{verdict} ({seconds:g} s of load, seed {seed})")


def _format_value(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.4g}"
    return str(value)


def _run_bench(command: Bench) -> bool:
    """Runs scenarios one after another; returns whether all passed."""
    folder = pathlib.Path(command.save)
    passed = True
    for name in (
        command.scenarios.split(",") if command.scenarios else SCENARIOS
    ):
        run_command = RunScenario(
            scenario=name,
            seconds=command.seconds,
            seed=command.seed,
            topology=command.topology,
            save=command.save,
        )
        _check_scenario(name)
        passed = bool(_run_and_print(run_command)["ok"]) and passed
    _write_report(folder)
    return passed


def _write_report(folder: pathlib.Path) -> None:
    # Imported here so that commands without plots do not load the large
    # plotting library.
    from ibisknot.bench import report

    path = report.write(folder)
    print(f"report: {path}")


def _compare_plans(command: Plan) -> None:
    # Imported here so that other commands do not load the large solver
    # library.
    from ibisknot.bench import planner
    from ibisknot.bench import recording

    valuation = planner.Valuation(
        online=command.online_worth,
        online_late=command.online_late,
        batch=command.batch_worth,
        batch_late=command.batch_late,
    )
    table = rich_table.Table("day", "naive", "actual", "limit", "reached")
    days: dict[str, planner.WorthFractions] = {}
    for name in command.logs:
        path = pathlib.Path(name)
        with path.open(encoding="utf-8", errors="replace") as lines:
            day = recording.read_day(lines)
        if not day.requests or not day.slots:
            print(f"{name}: the log has no granted tickets", file=sys.stderr)
            raise SystemExit(EXIT_USAGE)
        fractions = planner.compare(day, valuation)
        days[path.stem] = fractions
        cells = (
            fractions.naive,
            fractions.actual,
            fractions.limit,
            fractions.reached_fraction(),
        )
        table.add_row(path.stem, *(f"{field:.3f}" for field in cells))
    rich_console.Console().print(table)
    if command.plot is not None:
        planner.draw_fractions(days, pathlib.Path(command.plot))


def _check_scenario(name: str) -> None:
    if name not in SCENARIOS:
        valid = ", ".join(SCENARIOS)
        print(f"unknown scenario {name!r}; valid: {valid}", file=sys.stderr)
        raise SystemExit(EXIT_USAGE)


async def _run_fleet(command: RunFleet) -> None:
    options = fleet_module.Options(
        topology=_find_topology(command.topology), seed=command.seed
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
        anyio.run(_run_fleet, command)
    elif isinstance(command, Report):
        _write_report(pathlib.Path(command.folder))
    elif isinstance(command, Plan):
        _compare_plans(command)
    elif isinstance(command, Bench):
        if not _run_bench(command):
            raise SystemExit(EXIT_VIOLATION)
    else:
        _check_scenario(command.scenario)
        if not _run_and_print(command)["ok"]:
            raise SystemExit(EXIT_VIOLATION)
