"""Scenario `noisy-organisation`: one organisation sends 8 times its rate."""

import dataclasses

import anyio
from anyio import to_process

from ibisknot import configuration
from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import generator
from ibisknot.bench import rate_reference
from ibisknot.bench import scenario

NOISY_ORGANISATION = "organisation-3"
NOISY_RATE_FACTOR = 8.0
QUIET_RATE_FACTOR = 0.6
"""Load as a fraction of the rate, except in the noisy phases."""
PHASE_PAIRS = 3
"""Quiet and noisy phases alternate, so that slow drift affects both."""
WARM_UP_S = 2.0
PROCESS_START_DELAY_S = 2.0
"""Time in which the processes that send the load start."""
MAX_TOKENS = 4
MAX_REFUSED_FRACTION = 0.001
MAX_GRANTED_OVER_ALLOWED = 1.0


@dataclasses.dataclass(slots=True)
class Target:
    """The part of a fleet that the generator needs in another process.

    Attributes:
        vms: The VMs by name, without their processes.
        organisation_keys: API key by organisation.
    """

    vms: dict[str, fleet_module.Vm]
    organisation_keys: dict[str, str]


@dataclasses.dataclass(slots=True)
class Phase:
    """A part of the run, in seconds after its start.

    Attributes:
        start_s: The start of the phase.
        end_s: The end of the phase, exclusive.
        is_noisy: Whether the noisy organisation exceeds its rate.
    """

    start_s: float
    end_s: float
    is_noisy: bool


@dataclasses.dataclass(slots=True)
class Measurement:
    """What one run measured.

    Attributes:
        in_rate: Requests of the other organisations that were inside their
            rate.
        in_rate_refused: Those of them that were refused.
        incomplete: Requests without a complete response, except for those
            refused by their rate.
        requests: All requests.
        granted_over_allowed: Largest fraction, of all organisations, of
            requests granted over requests allowed.
        noisy_granted: Granted requests of the noisy organisation.
        noisy_in_rate_requests: Requests of the noisy organisation that were
            inside its rate by the reference.
        quiet_p99_ms: Largest p99 to the first content, of the other
            organisations, in quiet phases.
        noisy_p99_ms: The same in noisy phases.
        latest_start_ms: Largest delay of the generator in sending a request.
    """

    in_rate: int = 0
    in_rate_refused: int = 0
    incomplete: int = 0
    requests: int = 0
    granted_over_allowed: float = 0.0
    noisy_granted: int = 0
    noisy_in_rate_requests: int = 0
    quiet_p99_ms: float = 0.0
    noisy_p99_ms: float = 0.0
    latest_start_ms: float = 0.0

    def refused_fraction(self) -> float:
        """Returns the fraction of in-rate requests that were refused."""
        return self.in_rate_refused / max(1, self.in_rate)

    def p99_ratio(self) -> float:
        """Returns the largest p99 in noisy phases over that in quiet phases."""
        return self.noisy_p99_ms / max(1e-9, self.quiet_p99_ms)


def phases(seconds: float) -> list[Phase]:
    """Returns the alternating phases of a run.

    >>> [(p.start_s, p.end_s, p.is_noisy) for p in phases(6.0)[:2]]
    [(2.0, 3.0, False), (3.0, 4.0, True)]
    """
    length_s = seconds / (2 * PHASE_PAIRS)
    alternating = []
    for index in range(2 * PHASE_PAIRS):
        start_s = WARM_UP_S + index * length_s
        alternating.append(Phase(start_s, start_s + length_s, index % 2 == 1))
    return alternating


def streams(
    rates: dict[str, float], seconds: float
) -> list[generator.RequestStream]:
    """Returns load inside all rates, except for one in the noisy phases."""
    end_s = WARM_UP_S + seconds
    load = [
        generator.RequestStream(
            name, QUIET_RATE_FACTOR * rate, 0.0, end_s, MAX_TOKENS
        )
        for name, rate in rates.items()
        if name != NOISY_ORGANISATION
    ]
    rate = rates[NOISY_ORGANISATION]
    for phase in phases(seconds):
        factor = NOISY_RATE_FACTOR if phase.is_noisy else QUIET_RATE_FACTOR
        load.append(
            generator.RequestStream(
                NOISY_ORGANISATION,
                factor * rate,
                phase.start_s,
                phase.end_s,
                MAX_TOKENS,
            )
        )
    return load


async def run(options: scenario.RunOptions) -> scenario.Result:
    """Applies the load and compares the outcomes with the reference."""
    result = scenario.Result()
    measurement = await _measure(options)
    result.in_rate = measurement.in_rate
    result.in_rate_refused = measurement.in_rate_refused
    _add_fields(result, measurement)
    result.expect(
        measurement.granted_over_allowed <= MAX_GRANTED_OVER_ALLOWED,
        f"granted {measurement.granted_over_allowed:.4f} of the allowed load",
    )
    result.expect(
        measurement.refused_fraction() <= MAX_REFUSED_FRACTION,
        f"refused {measurement.in_rate_refused} in-rate requests",
    )
    result.expect(
        not measurement.incomplete,
        f"{measurement.incomplete} incomplete responses",
    )
    return result


def _add_fields(result: scenario.Result, measurement: Measurement) -> None:
    fields = {
        "granted_over_allowed_max": round(measurement.granted_over_allowed, 4),
        "worst_organisation_p99_ratio": round(measurement.p99_ratio(), 3),
        "worst_organisation_p99_ms_quiet": measurement.quiet_p99_ms,
        "worst_organisation_p99_ms_noisy": measurement.noisy_p99_ms,
        "latest_start_ms": round(measurement.latest_start_ms, 1),
        "requests": measurement.requests,
        "in_rate": measurement.in_rate,
        "in_rate_refused": measurement.in_rate_refused,
        "noisy_granted": measurement.noisy_granted,
        "noisy_granted_by_reference": measurement.noisy_in_rate_requests,
    }
    result.fields.update(fields)


async def _measure(options: scenario.RunOptions) -> Measurement:
    fleet_options = fleet_module.Options(
        topology=options.topology, policy=options.policy, seed=options.seed
    )
    organisations = rate_reference.bench_organisations(options.topology)
    rates = {name: o.rate_per_s for name, o in organisations.items()}
    load = streams(rates, options.seconds)
    async with fleet_module.running(fleet_options) as fleet:
        target = Target(
            vms={
                name: dataclasses.replace(vm, processes={})
                for name, vm in fleet.vms.items()
            },
            organisation_keys=fleet.organisation_keys,
        )
        start_s = anyio.current_time() + PROCESS_START_DELAY_S
        outcomes = await _send_all(target, load, options.seed, start_s)
    return evaluate(outcomes, organisations, options.seconds, start_s)


async def _send_all(
    target: Target,
    load: list[generator.RequestStream],
    seed: int,
    start_s: float,
) -> list[generator.Outcome]:
    """Sends the load of the noisy organisation and of the others.

    The noisy load has a process of its own, so that it does not slow down the
    process that measures the others.
    """
    outcomes: list[generator.Outcome] = []

    async def send_in_process(
        own: list[generator.RequestStream], own_seed: int
    ) -> None:
        outcomes.extend(
            await to_process.run_sync(
                send_streams, target, own, own_seed, start_s
            )
        )

    async with anyio.create_task_group() as task_group:
        noise = [
            stream
            for stream in load
            if stream.organisation == NOISY_ORGANISATION
        ]
        others = [
            stream
            for stream in load
            if stream.organisation != NOISY_ORGANISATION
        ]
        task_group.start_soon(send_in_process, noise, seed + 1)
        task_group.start_soon(send_in_process, others, seed)
    return outcomes


def send_streams(
    target: Target,
    load: list[generator.RequestStream],
    seed: int,
    start_s: float,
) -> list[generator.Outcome]:
    """Sends streams, in a process of their own, and returns the outcomes."""

    async def send() -> list[generator.Outcome]:
        caller = generator.Caller(target, seed=seed)  # type: ignore[arg-type]
        await anyio.sleep_until(start_s)
        return await caller.run(load)

    return anyio.run(send)


def evaluate(
    outcomes: list[generator.Outcome],
    organisations: dict[str, configuration.Organisation],
    seconds: float,
    start_s: float,
) -> Measurement:
    """Compares the outcomes with the reference token buckets."""
    measurement = Measurement(requests=len(outcomes))
    for name, organisation in organisations.items():
        own_outcomes = [o for o in outcomes if o.organisation == name]
        granted_over_allowed = rate_reference.granted_over_allowed(
            own_outcomes, organisation
        )
        measurement.granted_over_allowed = max(
            measurement.granted_over_allowed, granted_over_allowed
        )
        in_rate, refused = rate_reference.count_refused_in_rate(
            own_outcomes, organisation
        )
        if name == NOISY_ORGANISATION:
            measurement.noisy_in_rate_requests = in_rate
            measurement.noisy_granted = sum(
                o.status == 200 for o in own_outcomes
            )
            continue
        measurement.in_rate += in_rate
        measurement.in_rate_refused += refused
        quiet_ms, noisy_ms = _p99s_ms(own_outcomes, start_s, seconds)
        measurement.quiet_p99_ms = max(measurement.quiet_p99_ms, quiet_ms)
        measurement.noisy_p99_ms = max(measurement.noisy_p99_ms, noisy_ms)
    latest_start_s = max(o.sent_s - o.due_s for o in outcomes)
    measurement.latest_start_ms = latest_start_s * 1000
    measurement.incomplete = sum(
        not o.is_complete and o.error_code != rate_reference.RATE_LIMITED
        for o in outcomes
    )
    return measurement


def _p99s_ms(
    outcomes: list[generator.Outcome], start_s: float, seconds: float
) -> tuple[float, float]:
    """Returns an organisation's p99 in quiet and in noisy phases, in ms.

    Latency counts from the time at which a request was sent. Requests start
    independently of other responses, so a late start is due to the bench.
    """
    quiet = generator.Latencies()
    noisy = generator.Latencies()
    for phase in phases(seconds):
        latencies = noisy if phase.is_noisy else quiet
        for outcome in outcomes:
            due_after_start_s = outcome.due_s - start_s
            if (
                outcome.is_complete
                and phase.start_s <= due_after_start_s < phase.end_s
            ):
                latencies.add(
                    outcome.first_content_s - outcome.sent_s + outcome.due_s
                )
    return quiet.quantile_ms(0.99), noisy.quantile_ms(0.99)
