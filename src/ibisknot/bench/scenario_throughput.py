"""Scenario `throughput`: the cost of one entry with instant engines."""

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

VM_COUNT = 3
ENGINE_COUNT = 4
RATE_PER_S = 1e6
CONNECTIONS = 32
WARM_UP_S = 1.0
SATURATION_TIME_FRACTION = 0.3
SLICE_PAIRS = 6
MAX_TOKENS = 4
MAX_ADDED_P99_MS = 5.0
PACED_RATE_FRACTION = 0.5
PATH = "/v1/chat/completions"


async def run(options: scenario.RunOptions) -> scenario.Result:
    """Measures requests per second and core, and the added latency.

    All requests go to one VM of three; the others take part in admission.
    The added latency is the difference of quantiles between requests through
    the entry and requests sent to the engines directly. Both are sent in
    alternating slices at half of the rate that saturates the entry.
    """
    result = scenario.Result()
    fleet_options = fleet_module.Options(
        topology=_make_topology(options.topology),
        policy=options.policy,
        seed=options.seed,
        engine_flags=["--instant"],
        entry={"log": {"level": "warning"}},
    )
    async with fleet_module.running(fleet_options) as fleet:
        entry = _entry_target(fleet)
        engines = _engine_targets(fleet)
        await _raw_client.saturate(
            entry, callers=CONNECTIONS, seconds=WARM_UP_S
        )
        seconds = options.seconds * SATURATION_TIME_FRACTION
        cpu_before_s = _entry_cpu_s(fleet)
        latencies = await _raw_client.saturate(
            entry, callers=CONNECTIONS, seconds=seconds
        )
        cpu_used_s = _entry_cpu_s(fleet) - cpu_before_s
        rate_per_s = latencies.count() / seconds
        result.fields["requests_per_s"] = round(rate_per_s, 1)
        per_core = latencies.count() / max(0.001, cpu_used_s)
        result.fields["requests_per_s_per_core"] = round(per_core, 1)
        remaining_s = options.seconds - seconds
        await _measure_added_latency(
            entry,
            engines,
            options,
            rate_per_s * PACED_RATE_FRACTION,
            remaining_s,
            result,
        )
        for target in (entry, *engines):
            result.expect(
                target.failed == 0, f"{target.failed} failed responses"
            )
            await target.aclose()
    return result


def _make_topology(
    requested: topology_module.Topology,
) -> topology_module.Topology:
    return topology_module.Topology(
        name=requested.name,
        data_centres=requested.data_centres,
        vms=VM_COUNT,
        stores=2,
        engines=ENGINE_COUNT,
        delay_s=requested.delay_s,
        client_delay_s=requested.client_delay_s,
        rates=(RATE_PER_S,),
    )


def _request_body() -> bytes:
    message = {"role": "user", "content": "which strap fits this watch"}
    body = {
        "model": fleet_module.MODEL,
        "messages": [message],
        "max_tokens": MAX_TOKENS,
        "stream": True,
    }
    return msgspec.json.encode(body)


def _entry_target(fleet: fleet_module.Fleet) -> _raw_client.Target:
    host = f"{fleet.vms['vm-1'].address}:{_fleet_types.ENTRY_PORT}"
    key = fleet.organisation_keys["organisation-1"]
    request = _raw_client.encode_post(host, PATH, _request_body(), key=key)
    return _raw_client.Target(host, request)


def _engine_targets(fleet: fleet_module.Fleet) -> list[_raw_client.Target]:
    hosts = [
        endpoint.url.removeprefix("http://")
        for endpoint in fleet.endpoints.values()
        if endpoint.kind == "engine"
    ]
    return [
        _raw_client.Target(
            host, _raw_client.encode_post(host, PATH, _request_body())
        )
        for host in hosts
    ]


def _entry_cpu_s(fleet: fleet_module.Fleet) -> float:
    """Returns the processor seconds that all entries have used so far."""
    ticks = 0
    for vm in fleet.vms.values():
        pid = vm.processes["entry"].handle.pid
        text = pathlib.Path(f"/proc/{pid}/stat").read_text()
        fields = text.rpartition(")")[2].split()
        ticks += int(fields[11]) + int(fields[12])
    return ticks / os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(slots=True)
class _LatencyPair:
    through_entry: generator.Latencies
    direct: generator.Latencies


async def _measure_added_latency(
    entry: _raw_client.Target,
    engines: list[_raw_client.Target],
    options: scenario.RunOptions,
    rate_per_s: float,
    seconds: float,
    result: scenario.Result,
) -> None:
    """Measures both paths in alternating slices, so that noise affects both."""
    latencies = _LatencyPair(generator.Latencies(), generator.Latencies())
    rng = random.Random(options.seed)
    slice_s = seconds / (2 * SLICE_PAIRS)
    for index in range(SLICE_PAIRS):
        await _raw_client.send_at_rate(
            engines[index % len(engines)],
            latencies.direct,
            rate_per_s=rate_per_s,
            seconds=slice_s,
            rng=rng,
        )
        await _raw_client.send_at_rate(
            entry,
            latencies.through_entry,
            rate_per_s=rate_per_s,
            seconds=slice_s,
            rng=rng,
        )
    result.fields["half_load_per_s"] = round(rate_per_s, 1)
    for name, quantile in (("p50", 0.5), ("p99", 0.99)):
        through_ms = latencies.through_entry.quantile_ms(quantile)
        direct_ms = latencies.direct.quantile_ms(quantile)
        result.fields[f"through_{name}_ms"] = through_ms
        result.fields[f"direct_{name}_ms"] = direct_ms
        added_ms = round(through_ms - direct_ms, 3)
        result.fields[f"added_latency_{name}_ms"] = added_ms
    added_ms = result.fields["added_latency_p99_ms"]
    result.fields["bars_met"] = added_ms <= MAX_ADDED_P99_MS
    result.curves["through the entry"] = latencies.through_entry.curve()
    result.curves["direct to the engine"] = latencies.direct.curve()
