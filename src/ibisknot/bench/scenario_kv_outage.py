"""Scenario `kv-outage`: the key-value service is slow, down, and forgetful."""

import dataclasses
import random

import anyio
import httpx
import msgspec

from ibisknot import configuration
from ibisknot import errors
from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import generator
from ibisknot.bench import rate_reference
from ibisknot.bench import scenario

DOWN_S = 10.0
SLOW_DELAY_S = 0.4
LOST_FRACTION = 0.5
ONLINE_FACTOR = 0.4
"""Online load as a part of each organisation's rate."""
CALLS_PER_S = 8.0
CALL_TIMEOUT_S = 20.0
TRIES = 4
RETRY_PAUSE_S = 1.0
DOUBLED_FRACTION = 0.3
"""Calls that are sent through two VMs at once."""
TOKENS = 8
CALLERS = ("organisation-1", "organisation-2")


class _Error(msgspec.Struct):
    """What an error answer states."""

    code: str
    ran: str


class _Answer(msgspec.Struct):
    error: _Error


@dataclasses.dataclass(slots=True)
class Call:
    """One call that may run once, with the outcomes of all its tries."""

    key: str
    organisation: str
    statuses: list[int] = dataclasses.field(default_factory=list)
    ran: list[str] = dataclasses.field(default_factory=list)
    codes: list[str] = dataclasses.field(default_factory=list)


async def run(options: scenario.RunOptions) -> scenario.Result:
    """Applies both kinds of load while the faults come and go."""
    result = scenario.Result()
    started = fleet_module.Options(
        topology=options.topology, policy=options.policy, seed=options.seed
    )
    calls: list[Call] = []
    async with fleet_module.running(started) as fleet:
        wanted = rate_reference.bench_organisations(options.topology)
        caller = generator.Caller(fleet, seed=options.seed)
        load = [
            generator.RequestStream(
                name,
                ONLINE_FACTOR * organisation.rate_per_s,
                0.0,
                _length_s(options),
                TOKENS,
            )
            for name, organisation in wanted.items()
        ]
        async with anyio.create_task_group() as group:
            group.start_soon(_faults, fleet, options)
            group.start_soon(_call_all, fleet, options, calls)
            answers = await caller.run(load)
        url = f"{fleet.endpoints['plain-1'].url}/admin/runs"
        runs = (await fleet.client.get(url)).json()
    _check_online(answers, wanted, result)
    _check_calls(calls, runs, result)
    return result


def _length_s(options: scenario.RunOptions) -> float:
    """Returns the seconds of load: the outage and some time around it."""
    return max(options.seconds, DOWN_S + 8.0)


async def _faults(
    fleet: fleet_module.Fleet, options: scenario.RunOptions
) -> None:
    around_s = (_length_s(options) - DOWN_S) / 4
    await anyio.sleep(around_s)
    await fleet.set_key_value_faults(
        delay_s=SLOW_DELAY_S, lose_answers=LOST_FRACTION
    )
    await anyio.sleep(around_s)
    await fleet.set_key_value_faults(down=True)
    await anyio.sleep(DOWN_S)
    await fleet.set_key_value_faults(lose_answers=LOST_FRACTION)
    await anyio.sleep(around_s)
    await fleet.set_key_value_faults()


async def _call_all(
    fleet: fleet_module.Fleet, options: scenario.RunOptions, calls: list[Call]
) -> None:
    """Sends calls that may run once, on schedule, with resends."""
    choice = random.Random(options.seed)
    start_s = anyio.current_time()
    count = int(CALLS_PER_S * _length_s(options))
    async with httpx.AsyncClient(
        timeout=CALL_TIMEOUT_S,
        trust_env=False,
        limits=httpx.Limits(max_connections=1000),
    ) as client:
        async with anyio.create_task_group() as group:
            for number in range(count):
                await anyio.sleep_until(start_s + number / CALLS_PER_S)
                name = CALLERS[number % len(CALLERS)]
                call = Call(f"call-{options.seed}-{number}", name)
                calls.append(call)
                vms = choice.sample(sorted(fleet.vms), 2)
                group.start_soon(_call, fleet, client, call, vms)
                if choice.random() < DOUBLED_FRACTION:
                    group.start_soon(_call, fleet, client, call, vms[::-1])


async def _call(
    fleet: fleet_module.Fleet,
    client: httpx.AsyncClient,
    call: Call,
    vms: list[str],
) -> None:
    """Sends one call; resends it through another VM until it is answered."""
    for number in range(TRIES):
        vm = fleet.vms[vms[number % len(vms)]]
        if await _try(fleet, client, call, vm):
            return
        await anyio.sleep(RETRY_PAUSE_S)


async def _try(
    fleet: fleet_module.Fleet,
    client: httpx.AsyncClient,
    call: Call,
    vm: fleet_module.Vm,
) -> bool:
    """Sends a call once; returns whether that settles it."""
    key = fleet.organisation_keys[call.organisation]
    try:
        response = await client.post(
            f"{vm.url()}/services/{fleet_module.NON_IDEMPOTENT_ROUTE}/place",
            content=call.key.encode(),
            headers={
                "authorization": f"Bearer {key}",
                "idempotency-key": call.key,
            },
        )
    except httpx.HTTPError as error:
        call.statuses.append(0)
        call.ran.append(errors.UNKNOWN)
        call.codes.append(type(error).__name__)
        return False
    call.statuses.append(response.status_code)
    if response.status_code == 200:
        call.ran.append(errors.RAN)
        call.codes.append("")
        return True
    try:
        answer = msgspec.json.decode(response.content, type=_Answer).error
    except msgspec.MsgspecError:
        answer = _Error("no_typed_error", errors.UNKNOWN)
    call.ran.append(answer.ran)
    call.codes.append(answer.code)
    return False


def _check_online(
    answers: list[generator.Outcome],
    organisations: dict[str, configuration.Organisation],
    result: scenario.Result,
) -> None:
    whole = sum(answer.is_complete for answer in answers)
    for name, organisation in organisations.items():
        own = [a for a in answers if a.organisation == name]
        inside, refused = rate_reference.count_refused_in_rate(
            own, organisation
        )
        result.in_rate += inside
        result.in_rate_refused += refused
    fraction = whole / max(1, len(answers))
    result.fields["online_ok_fraction"] = round(fraction, 5)
    result.fields["online_requests"] = len(answers)
    result.fields["online_failures"] = _counts(
        [a.error_code or str(a.status) for a in answers if not a.is_complete]
    )
    result.expect(whole == len(answers), "online requests failed")


def _check_calls(
    calls: list[Call],
    runs: dict[str, int],
    result: scenario.Result,
) -> None:
    twice = [call.key for call in calls if runs.get(call.key, 0) > 1]
    answered = [call for call in calls if 200 in call.statuses]
    unknown = [
        c for c in calls if errors.UNKNOWN in c.ran and c not in answered
    ]
    result.duplicated += len(twice)
    for call in calls:
        count = runs.get(call.key, 0)
        only_not_run = set(call.ran) == {errors.NOT_RUN}
        result.expect(
            not (only_not_run and count),
            f"{call.key} ran {count} times but was refused as not run",
        )
        result.expect(
            bool(count) or call not in answered,
            f"{call.key} was answered but did not run",
        )
    result.fields["non_idempotent_run_twice"] = len(twice)
    result.fields["non_idempotent_calls"] = len(calls)
    result.fields["non_idempotent_answered"] = len(answered)
    result.fields["non_idempotent_unknown"] = len(unknown)
    result.fields["non_idempotent_refusals"] = _counts(
        [code for call in calls for code in call.codes if code]
    )


def _counts(names: list[str]) -> dict[str, int]:
    return {name: names.count(name) for name in sorted(set(names))}
