"""Scenario `online-burst`: batch fills the fleet and online bursts."""

import anyio

from ibisknot.bench import _scenario_load
from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import generator
from ibisknot.bench import scenario

STEADY_PER_S = 20.0
BURST_PER_S = 60.0
BURST_S = 1.0
BURST_PERIOD_S = 3.0
ONLINE_TOKENS = 16
BATCH_TOKENS = 48
BATCH_ITEMS = 1000
JOBS = 16
BATCH_CONCURRENCY = 40
FILL_S = 3.0
"""Time for batch to fill the fleet before it is measured."""
RATIO_BAR = 1.10
FRACTION_BAR = 0.90


async def run(options: scenario.RunOptions) -> scenario.Result:
    """Measures online alone, batch alone and both together.

    `batch_throughput_fraction` is the batch throughput beside online load
    over what that load leaves idle: batch throughput alone less the online
    tokens. Wrong or missing answers are violations; the bars are reported as
    `bars_met`, because a busy machine moves latencies.
    """
    result = scenario.Result()
    started = fleet_module.Options(
        topology=options.topology,
        policy=options.policy,
        seed=options.seed,
        batch={"concurrency": BATCH_CONCURRENCY},
    )
    online_s = options.seconds * 0.4
    async with fleet_module.running(started) as fleet:
        await _scenario_load.raise_rates(fleet)
        await _online(fleet, options.seed + 1, 2.0)
        alone = await _online(fleet, options.seed, online_s)
        jobs = [
            await _scenario_load.submit_job(
                fleet,
                f"burst-{number}",
                items=BATCH_ITEMS,
                tokens=BATCH_TOKENS,
            )
            for number in range(JOBS)
        ]
        await anyio.sleep(FILL_S)
        batch_alone = await _batch_rate(fleet, jobs, options.seconds * 0.2)
        measured: list[float] = []

        async def count() -> None:
            measured.append(await _batch_rate(fleet, jobs, online_s))

        async with anyio.create_task_group() as group:
            group.start_soon(count)
            both = await _online(fleet, options.seed, online_s)
        await _scenario_load.cancel_jobs(fleet, jobs)
    _scenario_load.record_outcomes(result, [*alone, *both])
    online_rate = sum(a.is_complete for a in both) * ONLINE_TOKENS / online_s
    _fields(result, alone, both)
    result.fields["batch_tokens_per_s_alone"] = round(batch_alone, 1)
    result.fields["batch_tokens_per_s"] = round(measured[0], 1)
    result.fields["online_tokens_per_s"] = round(online_rate, 1)
    fraction = measured[0] / max(1.0, batch_alone - online_rate)
    result.fields["batch_throughput_fraction"] = round(fraction, 3)
    result.fields["bars_met"] = (
        result.fields["ttft_p99_ratio"] <= RATIO_BAR
        and fraction >= FRACTION_BAR
    )
    return result


def _fields(
    result: scenario.Result,
    alone: list[generator.Outcome],
    both: list[generator.Outcome],
) -> None:
    found = []
    for name, answers in (("alone", alone), ("with_batch", both)):
        latencies = generator.Latencies()
        for answer in answers:
            if answer.is_complete:
                latencies.add(answer.first_content_s)
        result.curves[f"first token {name}"] = latencies.curve()
        result.fields[f"requests_{name}"] = latencies.count()
        result.fields[f"ttft_p50_ms_{name}"] = latencies.quantile_ms(0.5)
        found.append(latencies.quantile_ms(0.99))
        result.fields[f"ttft_p99_ms_{name}"] = found[-1]
    ratio = found[1] / max(0.001, found[0])
    result.fields["ttft_p99_ratio"] = round(ratio, 3)


async def _online(
    fleet: fleet_module.Fleet, seed: int, seconds: float
) -> list[generator.Outcome]:
    caller = generator.Caller(fleet, seed=seed)
    streams = _scenario_load.steady_streams(
        fleet, STEADY_PER_S, seconds, tokens=ONLINE_TOKENS
    )
    start_s = 0.0
    while start_s < seconds:
        end_s = min(seconds, start_s + BURST_S)
        streams.extend(
            generator.RequestStream(name, BURST_PER_S / 2, start_s, end_s)
            for name in sorted(fleet.organisation_keys)[:2]
        )
        start_s += BURST_PERIOD_S
    return await caller.run(streams)


async def _batch_rate(
    fleet: fleet_module.Fleet,
    jobs: list[_scenario_load.Job],
    seconds: float,
) -> float:
    """Returns the batch tokens a second over a time."""
    before = await _scenario_load.count_completed(fleet, jobs)
    start_s = anyio.current_time()
    await anyio.sleep(seconds)
    elapsed_s = anyio.current_time() - start_s
    after = await _scenario_load.count_completed(fleet, jobs)
    return (after - before) * BATCH_TOKENS / elapsed_s
