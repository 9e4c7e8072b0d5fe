"""Scenario `noisy-organisation`: one organisation sends 8 times its rate."""

import dataclasses

import anyio
from anyio import to_process

from ibisknot import configuration
from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import generator
from ibisknot.bench import rate_reference
from ibisknot.bench import scenario

NOISY = "organisation-3"
NOISE_FACTOR = 8.0
INSIDE_FACTOR = 0.6
"""Load of the other organisations as a part of their rate."""
ROUNDS = 3
"""Quiet and noisy phases alternate, so that slow drift affects both."""
WARM_UP_S = 2.0
PROCESS_START_S = 2.0
"""Time that the processes of the load need to start."""
TOKENS = 4
REFUSED_LIMIT = 0.001
GRANTED_LIMIT = 1.0


@dataclasses.dataclass(slots=True)
class Target:
    """The part of a fleet that the generator needs in another process."""

    vms: dict[str, fleet_module.Vm]
    organisation_keys: dict[str, str]


@dataclasses.dataclass(slots=True)
class Phase:
    """A part of the run, in seconds after its start."""

    start_s: float
    end_s: float
    noisy: bool


@dataclasses.dataclass(slots=True)
class Found:
    """What one version did."""

    in_rate: int = 0
    in_rate_refused: int = 0
    not_whole: int = 0
    requests: int = 0
    granted_over_allowed: float = 0.0
    noisy_granted: int = 0
    noisy_in_rate: int = 0
    quiet_p99_ms: float = 0.0
    noisy_p99_ms: float = 0.0
    late_start_ms: float = 0.0

    def refused_fraction(self) -> float:
        """Returns the fraction of in-rate requests that were refused."""
        return self.in_rate_refused / max(1, self.in_rate)

    def p99_ratio(self) -> float:
        """Returns the worst organisation's p99 with noise over without."""
        return self.noisy_p99_ms / max(1e-9, self.quiet_p99_ms)


def phases(seconds: float) -> list[Phase]:
    """Returns the alternating phases of a run.

    >>> [(p.start_s, p.end_s, p.noisy) for p in phases(6.0)[:2]]
    [(2.0, 3.0, False), (3.0, 4.0, True)]
    """
    length_s = seconds / (2 * ROUNDS)
    found = []
    for number in range(2 * ROUNDS):
        start_s = WARM_UP_S + number * length_s
        found.append(Phase(start_s, start_s + length_s, number % 2 == 1))
    return found


def streams(
    rates: dict[str, float], seconds: float
) -> list[generator.RequestStream]:
    """Returns the load: all inside their rate, one noisy in its phases."""
    end_s = WARM_UP_S + seconds
    found = [
        generator.RequestStream(name, INSIDE_FACTOR * rate, 0.0, end_s, TOKENS)
        for name, rate in rates.items()
        if name != NOISY
    ]
    rate = rates[NOISY]
    for phase in phases(seconds):
        factor = NOISE_FACTOR if phase.noisy else INSIDE_FACTOR
        found.append(
            generator.RequestStream(
                NOISY, factor * rate, phase.start_s, phase.end_s, TOKENS
            )
        )
    return found


async def run(options: scenario.RunOptions) -> scenario.Result:
    """Applies the load and compares the answers with the reference."""
    result = scenario.Result()
    found = await _measure(options)
    result.in_rate = found.in_rate
    result.in_rate_refused = found.in_rate_refused
    _report(result, found)
    result.expect(
        found.granted_over_allowed <= GRANTED_LIMIT,
        f"granted {found.granted_over_allowed:.4f} of what is allowed",
    )
    result.expect(
        found.refused_fraction() <= REFUSED_LIMIT,
        f"refused {found.in_rate_refused} in-rate requests",
    )
    result.expect(not found.not_whole, f"{found.not_whole} answers not whole")
    return result


def _report(result: scenario.Result, found: Found) -> None:
    fields = {
        "granted_over_allowed_max": round(found.granted_over_allowed, 4),
        "worst_organisation_p99_ratio": round(found.p99_ratio(), 3),
        "worst_organisation_p99_ms_quiet": found.quiet_p99_ms,
        "worst_organisation_p99_ms_noisy": found.noisy_p99_ms,
        "latest_start_ms": round(found.late_start_ms, 1),
        "requests": found.requests,
        "in_rate": found.in_rate,
        "in_rate_refused": found.in_rate_refused,
        "noisy_granted": found.noisy_granted,
        "noisy_granted_by_reference": found.noisy_in_rate,
    }
    result.fields.update(fields)


async def _measure(options: scenario.RunOptions) -> Found:
    started = fleet_module.Options(
        topology=options.topology, policy=options.policy, seed=options.seed
    )
    wanted = rate_reference.bench_organisations(options.topology)
    rates = {name: o.rate_per_s for name, o in wanted.items()}
    load = streams(rates, options.seconds)
    async with fleet_module.running(started) as fleet:
        target = Target(
            vms={
                name: dataclasses.replace(vm, processes={})
                for name, vm in fleet.vms.items()
            },
            organisation_keys=fleet.organisation_keys,
        )
        start_s = anyio.current_time() + PROCESS_START_S
        answers = await _send_all(target, load, options.seed, start_s)
    return evaluate(answers, wanted, options.seconds, start_s)


async def _send_all(
    target: Target,
    load: list[generator.RequestStream],
    seed: int,
    start_s: float,
) -> list[generator.Outcome]:
    """Sends the load of the noisy organisation and of the others apart.

    The noise has a process of its own, so that it does not slow down the
    process that measures the others.
    """
    found: list[generator.Outcome] = []

    async def send(own: list[generator.RequestStream], own_seed: int) -> None:
        found.extend(
            await to_process.run_sync(
                send_streams, target, own, own_seed, start_s
            )
        )

    async with anyio.create_task_group() as group:
        noise = [stream for stream in load if stream.organisation == NOISY]
        others = [stream for stream in load if stream.organisation != NOISY]
        group.start_soon(send, noise, seed + 1)
        group.start_soon(send, others, seed)
    return found


def send_streams(
    target: Target,
    load: list[generator.RequestStream],
    seed: int,
    start_s: float,
) -> list[generator.Outcome]:
    """Sends streams from a process of their own; returns all answers."""

    async def send() -> list[generator.Outcome]:
        caller = generator.Caller(target, seed=seed)  # type: ignore[arg-type]
        await anyio.sleep_until(start_s)
        return await caller.run(load)

    return anyio.run(send)


def evaluate(
    answers: list[generator.Outcome],
    organisations: dict[str, configuration.Organisation],
    seconds: float,
    begin_s: float,
) -> Found:
    """Compares what was answered with the reference buckets."""
    found = Found(requests=len(answers))
    for name, organisation in organisations.items():
        own = [a for a in answers if a.organisation == name]
        over = rate_reference.granted_over_allowed(own, organisation)
        found.granted_over_allowed = max(found.granted_over_allowed, over)
        inside, refused = rate_reference.count_refused_in_rate(
            own, organisation
        )
        if name == NOISY:
            found.noisy_in_rate = inside
            found.noisy_granted = sum(a.status == 200 for a in own)
            continue
        found.in_rate += inside
        found.in_rate_refused += refused
        quiet_ms, noisy_ms = _p99s(own, begin_s, seconds)
        found.quiet_p99_ms = max(found.quiet_p99_ms, quiet_ms)
        found.noisy_p99_ms = max(found.noisy_p99_ms, noisy_ms)
    late_s = max(a.sent_s - a.due_s for a in answers)
    found.late_start_ms = late_s * 1000
    found.not_whole = sum(
        not a.is_complete and a.error_code != rate_reference.RATE_LIMITED
        for a in answers
    )
    return found


def _p99s(
    answers: list[generator.Outcome], begin_s: float, seconds: float
) -> tuple[float, float]:
    """Returns an organisation's p99 without and with noise, in ms.

    It counts from the time a request was sent: each request starts without
    regard to the others' answers, so a late start is the bench's own.
    """
    quiet = generator.Latencies()
    noisy = generator.Latencies()
    for phase in phases(seconds):
        latencies = noisy if phase.noisy else quiet
        for answer in answers:
            at_s = answer.due_s - begin_s
            if answer.is_complete and phase.start_s <= at_s < phase.end_s:
                latencies.add(
                    answer.first_content_s - answer.sent_s + answer.due_s
                )
    return quiet.quantile_ms(0.99), noisy.quantile_ms(0.99)
