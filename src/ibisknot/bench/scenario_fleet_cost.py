"""Scenario `fleet-cost`: the cost of the control plane by fleet size.

For each size, a fleet of entries starts without callers' traffic, applies
configuration changes at a fixed rate, and is measured over a window: processor
time, memory, control bytes and key-value calls.
"""

import dataclasses
import statistics
from typing import Any

import anyio
import numpy
import psutil

from ibisknot import api_keys
from ibisknot import logs
from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import scenario

VM_SIZES = (9, 18, 36, 72)
ORGANISATION_SIZES = (8, 100, 1000, 6800)
CHANGE_PERIODS_S = (0.0, 2.0, 0.5)
SETTLE_S = 5.0
SETTLE_PER_VM_S = 0.25
"""Updates about members that have just started spread for this long."""
SAMPLE_VMS = 6
EXTRAPOLATED_VMS = 420
EXTRAPOLATED_ORGANISATIONS = 6800
MAX_GROWTH = 1.25
MAX_INTENT_ORGANISATIONS = 500


@dataclasses.dataclass(slots=True)
class Size:
    """A fleet size to measure.

    Attributes:
        vms: Count of VMs, each with one entry.
        organisations: Count of organisations in the configuration.
        change_period_s: Seconds between configuration changes, 0 for none.
    """

    vms: int
    organisations: int
    change_period_s: float


@dataclasses.dataclass(slots=True)
class Cost:
    """The cost of one entry at a size, as the median of the sampled VMs.

    Attributes:
        size: The fleet size.
        cpu_fraction: Used fraction of a core.
        rss_mb: Resident memory in megabytes.
        bytes_per_s: Control bytes sent and received per second.
        kv_calls_per_s: Key-value calls of the whole fleet per second, by kind.
        kv_watches: Count of open watches at the key-value service.
        in_force_s: Largest time in seconds from a change's confirmation until
            it is in force on all VMs.
    """

    size: Size
    cpu_fraction: float
    rss_mb: float
    bytes_per_s: float
    kv_calls_per_s: dict[str, float]
    kv_watches: int
    in_force_s: float

    def report(self) -> dict[str, Any]:
        """Returns the fields for the report and the log."""
        return dataclasses.asdict(self)


@dataclasses.dataclass(slots=True)
class Reading:
    """Counters of one VM's entry at one time.

    Attributes:
        cpu_s: Processor time used so far, in seconds.
        rss_bytes: Resident memory in bytes.
        control_bytes: Control bytes sent and received so far.
    """

    cpu_s: float
    rss_bytes: int
    control_bytes: float


def sizes(smallest: int = VM_SIZES[0]) -> list[Size]:
    """Returns the sizes: each dimension varies while the others are fixed.

    >>> len(sizes())
    9
    """
    fewest_organisations = ORGANISATION_SIZES[0]
    points = [Size(vms, fewest_organisations, 0.0) for vms in VM_SIZES]
    points.extend(
        Size(smallest, count, 0.0) for count in ORGANISATION_SIZES[1:]
    )
    points.extend(
        Size(smallest, fewest_organisations, period)
        for period in CHANGE_PERIODS_S[1:]
    )
    return points


def control_bytes(text: str) -> float:
    """Returns the sum of the control byte counters in a metrics page.

    >>> control_bytes('ibisknot_control_bytes_total{channel="peer"} 7')
    7.0
    """
    return sum(
        float(line.rpartition(" ")[2])
        for line in text.splitlines()
        if line.startswith("ibisknot_control_bytes_total")
    )


async def _read_counters(fleet: fleet_module.Fleet, name: str) -> Reading:
    vm = fleet.vms[name]
    response = await fleet.client.get(f"{vm.url()}/metrics")
    process = psutil.Process(vm.processes["entry"].handle.pid)
    cpu_times = process.cpu_times()
    return Reading(
        cpu_s=cpu_times.user + cpu_times.system,
        rss_bytes=process.memory_info().rss,
        control_bytes=control_bytes(response.text),
    )


async def _add_organisations(fleet: fleet_module.Fleet, count: int) -> None:
    """Adds organisations until there are `count` of them."""
    missing = max(0, count - len(fleet.organisation_keys))
    for first in range(0, missing, MAX_INTENT_ORGANISATIONS):
        last = min(missing, first + MAX_INTENT_ORGANISATIONS)
        entries = {
            f"organisation-{index}": {
                "rate_per_s": 5,
                "burst": 5,
                "keys": {"first": {"digest": api_keys.digest(f"key-{index}")}},
            }
            for index in range(first, last)
        }
        await fleet.confirm_intent({"organisations": entries})


async def _apply_changes(
    fleet: fleet_module.Fleet, size: Size, seconds: float
) -> float:
    """Confirms changes at the size's rate for a time.

    Returns:
        The largest time in seconds until a change was in force on all VMs.
    """
    slowest_s = 0.0
    end_s = anyio.current_time() + seconds
    change_count = 0
    while size.change_period_s and anyio.current_time() < end_s:
        next_s = anyio.current_time() + size.change_period_s
        change_count += 1
        intent = {
            "organisations": {"organisation-1": {"burst": 50 + change_count}}
        }
        version = await fleet.confirm_intent(intent)
        slowest_s = max(slowest_s, await fleet.wait_in_force(version))
        await anyio.sleep_until(next_s)
    await anyio.sleep_until(end_s)
    return slowest_s


async def measure(options: scenario.RunOptions, size: Size) -> Cost:
    """Starts a fleet of a size and measures the cost of its control plane."""
    topology = options.topology.resized(vms=size.vms, engines=2)
    fleet_options = fleet_module.Options(
        topology=topology,
        policy=options.policy,
        seed=options.seed,
        programs=("entry",),
    )
    async with fleet_module.running(fleet_options) as fleet:
        await _add_organisations(fleet, size.organisations)
        await anyio.sleep(SETTLE_S + SETTLE_PER_VM_S * size.vms)
        return await _measure_window(fleet, size, options.seconds)


async def _measure_window(
    fleet: fleet_module.Fleet, size: Size, seconds: float
) -> Cost:
    """Measures over one window, without VM 1, which serves the operator."""
    names = list(fleet.vms)[1 : 1 + SAMPLE_VMS]
    before = {name: await _read_counters(fleet, name) for name in names}
    calls_before = (await fleet.read_key_value_calls())["calls"]
    start_s = anyio.current_time()
    slowest_s = await _apply_changes(fleet, size, seconds)
    elapsed_s = anyio.current_time() - start_s
    calls = await fleet.read_key_value_calls()
    after = {name: await _read_counters(fleet, name) for name in names}

    def median(field: str) -> float:
        return statistics.median(
            getattr(after[n], field) - getattr(before[n], field) for n in names
        )

    call_rates = {
        kind: (count - calls_before.get(kind, 0)) / elapsed_s
        for kind, count in calls["calls"].items()
    }
    memory = statistics.median(after[n].rss_bytes for n in names)
    return Cost(
        size=size,
        cpu_fraction=median("cpu_s") / elapsed_s,
        rss_mb=memory / 1e6,
        bytes_per_s=median("control_bytes") / elapsed_s,
        kv_calls_per_s=call_rates,
        kv_watches=calls["watching"],
        in_force_s=slowest_s,
    )


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Returns the intercept and slope of the least-squares line.

    >>> [round(value, 6) for value in fit_line([(0, 1), (1, 3), (2, 5)])]
    [1.0, 2.0]
    """
    x_values = [x for x, _ in points]
    y_values = [y for _, y in points]
    gradient, intercept = numpy.polyfit(x_values, y_values, 1)
    return float(intercept), float(gradient)


def _kv_calls_per_s(cost: Cost) -> float:
    return sum(cost.kv_calls_per_s.values())


def extrapolate(costs: list[Cost]) -> dict[str, Any]:
    """Returns slopes by VMs and organisations, and the extrapolated cost."""
    fewest_organisations = ORGANISATION_SIZES[0]
    without_changes = [c for c in costs if c.size.change_period_s == 0]
    by_vms = [
        c
        for c in without_changes
        if c.size.organisations == fewest_organisations
    ]
    smallest = min(c.size.vms for c in without_changes)
    by_organisations = [c for c in without_changes if c.size.vms == smallest]
    estimates: dict[str, Any] = {}
    for field in ("cpu_fraction", "rss_mb", "bytes_per_s"):
        intercept, per_vm = fit_line(
            [(c.size.vms, getattr(c, field)) for c in by_vms]
        )
        _, per_organisation = fit_line(
            [
                (c.size.organisations, getattr(c, field))
                for c in by_organisations
            ]
        )
        estimates[field] = {
            "base": intercept,
            "per_vm": per_vm,
            "per_organisation": per_organisation,
            "at_target": intercept
            + per_vm * EXTRAPOLATED_VMS
            + per_organisation
            * (EXTRAPOLATED_ORGANISATIONS - fewest_organisations),
        }
    intercept, per_vm = fit_line(
        [(c.size.vms, _kv_calls_per_s(c)) for c in by_vms]
    )
    estimates["kv_calls_per_s"] = {
        "base": intercept,
        "per_vm": per_vm,
        "at_target": intercept + per_vm * EXTRAPOLATED_VMS,
    }
    return estimates


def _growth(costs: list[Cost], field: str) -> float:
    """Returns the cost at 72 VMs divided by the cost at 18 VMs."""
    fewest_organisations = ORGANISATION_SIZES[0]
    cost_by_vms = {
        c.size.vms: getattr(c, field)
        for c in costs
        if c.size.change_period_s == 0
        and c.size.organisations == fewest_organisations
    }
    return cost_by_vms[72] / cost_by_vms[18] if cost_by_vms.get(18) else 0.0


async def run(options: scenario.RunOptions) -> scenario.Result:
    """Measures each size, one after the other."""
    result = scenario.Result()
    costs = []
    for size in sizes():
        cost = await measure(options, size)
        logs.event("fleet_cost", **cost.report())
        costs.append(cost)
    result.fields["points"] = [cost.report() for cost in costs]
    result.fields["slopes"] = extrapolate(costs)
    for field in ("cpu_fraction", "rss_mb", "bytes_per_s"):
        result.fields[f"{field}_72_over_18"] = _growth(costs, field)
    call_rates = [
        _kv_calls_per_s(c)
        for c in costs
        if c.size.vms in (VM_SIZES[0], VM_SIZES[-1])
        and c.size.change_period_s == 0
        and c.size.organisations == ORGANISATION_SIZES[0]
    ]
    fleet_growth = VM_SIZES[-1] / VM_SIZES[0] - 1
    calls_growth = call_rates[1] / call_rates[0] - 1 if call_rates[0] else 0.0
    result.fields["kv_calls_growth_over_fleet_growth"] = (
        calls_growth / fleet_growth
    )
    result.fields["growth_limit"] = MAX_GROWTH
    return result
