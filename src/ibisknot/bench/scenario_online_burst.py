"""Scenario `online-burst`: online bursts on a fleet filled by batch jobs."""

import anyio

from ibisknot.bench import _scenario_load
from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import generator
from ibisknot.bench import scenario

STEADY_REQUESTS_PER_S = 20.0
BURST_REQUESTS_PER_S = 60.0
BURST_S = 1.0
BURST_PERIOD_S = 3.0
ONLINE_MAX_TOKENS = 16
BATCH_MAX_TOKENS = 48
ITEMS_PER_JOB = 1000
JOBS = 16
BATCH_CONCURRENCY = 40
BATCH_FILL_S = 3.0
"""Time for batch jobs to fill the fleet before the measurement starts."""
MAX_TTFT_P99_RATIO = 1.10
MIN_BATCH_FRACTION = 0.90


async def run(options: scenario.RunOptions) -> scenario.Result:
    """Measures online load alone, batch load alone and both together.

    `batch_throughput_fraction` is the batch throughput during online load over
    the capacity that the online load leaves idle, which is the batch
    throughput alone less the online tokens. Wrong or missing responses are
    violations. A missed limit is only reported in `bars_met`, because a busy
    machine changes latencies.
    """
    result = scenario.Result()
    fleet_options = fleet_module.Options(
        topology=options.topology,
        policy=options.policy,
        seed=options.seed,
        batch={"concurrency": BATCH_CONCURRENCY},
    )
    online_s = options.seconds * 0.4
    async with fleet_module.running(fleet_options) as fleet:
        await _scenario_load.raise_rates(fleet)
        await _send_online(fleet, options.seed + 1, 2.0)
        online_alone = await _send_online(fleet, options.seed, online_s)
        jobs = [
            await _scenario_load.submit_job(
                fleet,
                f"burst-{index}",
                items=ITEMS_PER_JOB,
                tokens=BATCH_MAX_TOKENS,
            )
            for index in range(JOBS)
        ]
        await anyio.sleep(BATCH_FILL_S)
        batch_rate_alone = await _measure_batch_rate(
            fleet, jobs, options.seconds * 0.2
        )
        batch_rates: list[float] = []

        async def measure_batch_rate() -> None:
            batch_rates.append(await _measure_batch_rate(fleet, jobs, online_s))

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(measure_batch_rate)
            online_with_batch = await _send_online(
                fleet, options.seed, online_s
            )
        await _scenario_load.cancel_jobs(fleet, jobs)
    _scenario_load.record_outcomes(result, [*online_alone, *online_with_batch])
    online_rate = (
        sum(o.is_complete for o in online_with_batch)
        * ONLINE_MAX_TOKENS
        / online_s
    )
    _add_latency_fields(result, online_alone, online_with_batch)
    result.fields["batch_tokens_per_s_alone"] = round(batch_rate_alone, 1)
    result.fields["batch_tokens_per_s"] = round(batch_rates[0], 1)
    result.fields["online_tokens_per_s"] = round(online_rate, 1)
    fraction = batch_rates[0] / max(1.0, batch_rate_alone - online_rate)
    result.fields["batch_throughput_fraction"] = round(fraction, 3)
    result.fields["bars_met"] = (
        result.fields["ttft_p99_ratio"] <= MAX_TTFT_P99_RATIO
        and fraction >= MIN_BATCH_FRACTION
    )
    return result


def _add_latency_fields(
    result: scenario.Result,
    online_alone: list[generator.Outcome],
    online_with_batch: list[generator.Outcome],
) -> None:
    p99s_ms = []
    for name, outcomes in (
        ("alone", online_alone),
        ("with_batch", online_with_batch),
    ):
        latencies = generator.Latencies()
        for outcome in outcomes:
            if outcome.is_complete:
                latencies.add(outcome.first_content_s)
        result.curves[f"first token {name}"] = latencies.curve()
        result.fields[f"requests_{name}"] = latencies.count()
        result.fields[f"ttft_p50_ms_{name}"] = latencies.quantile_ms(0.5)
        p99s_ms.append(latencies.quantile_ms(0.99))
        result.fields[f"ttft_p99_ms_{name}"] = p99s_ms[-1]
    ratio = p99s_ms[1] / max(0.001, p99s_ms[0])
    result.fields["ttft_p99_ratio"] = round(ratio, 3)


async def _send_online(
    fleet: fleet_module.Fleet, seed: int, seconds: float
) -> list[generator.Outcome]:
    caller = generator.Caller(fleet, seed=seed)
    streams = _scenario_load.steady_streams(
        fleet, STEADY_REQUESTS_PER_S, seconds, tokens=ONLINE_MAX_TOKENS
    )
    start_s = 0.0
    while start_s < seconds:
        end_s = min(seconds, start_s + BURST_S)
        streams.extend(
            generator.RequestStream(
                name, BURST_REQUESTS_PER_S / 2, start_s, end_s
            )
            for name in sorted(fleet.organisation_keys)[:2]
        )
        start_s += BURST_PERIOD_S
    return await caller.run(streams)


async def _measure_batch_rate(
    fleet: fleet_module.Fleet,
    jobs: list[_scenario_load.Job],
    seconds: float,
) -> float:
    """Returns the batch tokens per second over a time."""
    completed_before = await _scenario_load.count_completed(fleet, jobs)
    start_s = anyio.current_time()
    await anyio.sleep(seconds)
    elapsed_s = anyio.current_time() - start_s
    completed_after = await _scenario_load.count_completed(fleet, jobs)
    return (completed_after - completed_before) * BATCH_MAX_TOKENS / elapsed_s
