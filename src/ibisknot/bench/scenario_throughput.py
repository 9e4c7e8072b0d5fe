"""Scenario `throughput`: the cost of one entry before instant engines."""

import dataclasses
import os
import pathlib
import random

import msgspec

from ibisknot.bench import _fleet_types
from ibisknot.bench import _raw_client
from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import generator
from ibisknot.bench import scenario
from ibisknot.bench import topology as topology_module

VMS = 3
ENGINES = 4
RATE_PER_S = 1e6
CALLERS = 32
WARM_S = 1.0
SATURATED_FRACTION = 0.3
SLICES = 6
TOKENS = 4
ADDED_P99_BAR_MS = 5.0
HALF = 0.5
PATH = "/v1/chat/completions"


async def run(options: scenario.RunOptions) -> scenario.Result:
    """Measures requests a second and core, and the latency that is added.

    All requests go to one VM of three; the others take part in admission.
    The added latency is the difference of quantiles between requests through
    the entry and requests sent to the engines directly, in alternating
    slices at half of the rate at which the entry is saturated.
    """
    result = scenario.Result()
    started = fleet_module.Options(
        topology=_topology(options.topology),
        policy=options.policy,
        seed=options.seed,
        engine_flags=["--instant"],
        entry={"log": {"level": "warning"}},
    )
    async with fleet_module.running(started) as fleet:
        entry = _entry(fleet)
        direct = _direct(fleet)
        await _raw_client.saturate(entry, callers=CALLERS, seconds=WARM_S)
        seconds = options.seconds * SATURATED_FRACTION
        before_s = _entry_cpu_s(fleet)
        latencies = await _raw_client.saturate(
            entry, callers=CALLERS, seconds=seconds
        )
        used_s = _entry_cpu_s(fleet) - before_s
        rate_per_s = latencies.count() / seconds
        result.fields["requests_per_s"] = round(rate_per_s, 1)
        per_core = latencies.count() / max(0.001, used_s)
        result.fields["requests_per_s_per_core"] = round(per_core, 1)
        left_s = options.seconds - seconds
        await _added(entry, direct, options, rate_per_s * HALF, left_s, result)
        for target in (entry, *direct):
            result.expect(target.failed == 0, f"{target.failed} failed answers")
            await target.aclose()
    return result


def _topology(chosen: topology_module.Topology) -> topology_module.Topology:
    return topology_module.Topology(
        name=chosen.name,
        data_centres=chosen.data_centres,
        vms=VMS,
        stores=2,
        engines=ENGINES,
        delay_s=chosen.delay_s,
        client_delay_s=chosen.client_delay_s,
        rates=(RATE_PER_S,),
    )


def _body() -> bytes:
    message = {"role": "user", "content": "which strap fits this watch"}
    body = {
        "model": fleet_module.MODEL,
        "messages": [message],
        "max_tokens": TOKENS,
        "stream": True,
    }
    return msgspec.json.encode(body)


def _entry(fleet: fleet_module.Fleet) -> _raw_client.Target:
    host = f"{fleet.vms['vm-1'].address}:{_fleet_types.ENTRY_PORT}"
    key = fleet.organisation_keys["organisation-1"]
    request = _raw_client.encode_post(host, PATH, _body(), key=key)
    return _raw_client.Target(host, request)


def _direct(fleet: fleet_module.Fleet) -> list[_raw_client.Target]:
    hosts = [
        endpoint.url.removeprefix("http://")
        for endpoint in fleet.endpoints.values()
        if endpoint.kind == "engine"
    ]
    return [
        _raw_client.Target(host, _raw_client.encode_post(host, PATH, _body()))
        for host in hosts
    ]


def _entry_cpu_s(fleet: fleet_module.Fleet) -> float:
    """Returns the CPU seconds that all entries have used so far."""
    ticks = 0
    for vm in fleet.vms.values():
        pid = vm.processes["entry"].handle.pid
        text = pathlib.Path(f"/proc/{pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(slots=True)
class _Sides:
    through: generator.Latencies
    direct: generator.Latencies


async def _added(
    entry: _raw_client.Target,
    direct: list[_raw_client.Target],
    options: scenario.RunOptions,
    rate_per_s: float,
    seconds: float,
    result: scenario.Result,
) -> None:
    """Measures both ways in alternating slices, so that noise hits both."""
    sides = _Sides(generator.Latencies(), generator.Latencies())
    choice = random.Random(options.seed)
    slice_s = seconds / (2 * SLICES)
    for number in range(SLICES):
        await _raw_client.send_at_rate(
            direct[number % len(direct)],
            sides.direct,
            rate_per_s=rate_per_s,
            seconds=slice_s,
            rng=choice,
        )
        await _raw_client.send_at_rate(
            entry,
            sides.through,
            rate_per_s=rate_per_s,
            seconds=slice_s,
            rng=choice,
        )
    result.fields["half_load_per_s"] = round(rate_per_s, 1)
    for name, quantile in (("p50", 0.5), ("p99", 0.99)):
        through_ms = sides.through.quantile_ms(quantile)
        direct_ms = sides.direct.quantile_ms(quantile)
        result.fields[f"through_{name}_ms"] = through_ms
        result.fields[f"direct_{name}_ms"] = direct_ms
        added_ms = round(through_ms - direct_ms, 3)
        result.fields[f"added_latency_{name}_ms"] = added_ms
    added_ms = result.fields["added_latency_p99_ms"]
    result.fields["bars_met"] = added_ms <= ADDED_P99_BAR_MS
    result.curves["through the entry"] = sides.through.curve()
    result.curves["direct to the engine"] = sides.direct.curve()
