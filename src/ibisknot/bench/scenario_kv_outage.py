"""Scenario `kv-outage`: the key-value service is slow, down or lossy."""

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

OUTAGE_S = 10.0
CALL_DELAY_S = 0.4
LOST_RESPONSE_FRACTION = 0.5
ONLINE_RATE_FRACTION = 0.4
"""Online load as a fraction of each organisation's rate."""
CALLS_PER_S = 8.0
CALL_TIMEOUT_S = 20.0
MAX_ATTEMPTS = 4
RETRY_PAUSE_S = 1.0
DOUBLED_FRACTION = 0.3
"""Fraction of the calls that are sent through two VMs at once."""
MAX_TOKENS = 8
CALLERS = ("organisation-1", "organisation-2")


class _ErrorBody(msgspec.Struct):
    """The fields that the scenario reads from an error response."""

    code: str
    ran: str


class _ErrorResponse(msgspec.Struct):
    error: _ErrorBody


@dataclasses.dataclass(slots=True)
class Call:
    """A call that must not run twice, with the results of its attempts.

    Attributes:
        idempotency_key: The idempotency key of all attempts.
        organisation: The calling organisation.
        statuses: HTTP status of each attempt, 0 for a failed connection.
        ran: Whether each attempt ran: `errors.RAN`, `NOT_RUN` or `UNKNOWN`.
        error_codes: Error code of each attempt, empty for a success.
    """

    idempotency_key: str
    organisation: str
    statuses: list[int] = dataclasses.field(default_factory=list)
    ran: list[str] = dataclasses.field(default_factory=list)
    error_codes: list[str] = dataclasses.field(default_factory=list)


async def run(options: scenario.RunOptions) -> scenario.Result:
    """Applies online load and non-idempotent calls during the faults."""
    result = scenario.Result()
    fleet_options = fleet_module.Options(
        topology=options.topology, policy=options.policy, seed=options.seed
    )
    calls: list[Call] = []
    async with fleet_module.running(fleet_options) as fleet:
        organisations = rate_reference.bench_organisations(options.topology)
        caller = generator.Caller(fleet, seed=options.seed)
        streams = [
            generator.RequestStream(
                name,
                ONLINE_RATE_FRACTION * organisation.rate_per_s,
                0.0,
                _load_duration_s(options),
                MAX_TOKENS,
            )
            for name, organisation in organisations.items()
        ]
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(_inject_faults, fleet, options)
            task_group.start_soon(_send_calls, fleet, options, calls)
            outcomes = await caller.run(streams)
        runs_url = f"{fleet.endpoints['plain-1'].url}/admin/runs"
        runs = (await fleet.client.get(runs_url)).json()
    _check_online(outcomes, organisations, result)
    _check_calls(calls, runs, result)
    return result


def _load_duration_s(options: scenario.RunOptions) -> float:
    """Returns the seconds of load, which include time around the outage."""
    return max(options.seconds, OUTAGE_S + 8.0)


async def _inject_faults(
    fleet: fleet_module.Fleet, options: scenario.RunOptions
) -> None:
    phase_s = (_load_duration_s(options) - OUTAGE_S) / 4
    await anyio.sleep(phase_s)
    await fleet.set_key_value_faults(
        delay_s=CALL_DELAY_S, lose_answers=LOST_RESPONSE_FRACTION
    )
    await anyio.sleep(phase_s)
    await fleet.set_key_value_faults(down=True)
    await anyio.sleep(OUTAGE_S)
    await fleet.set_key_value_faults(lose_answers=LOST_RESPONSE_FRACTION)
    await anyio.sleep(phase_s)
    await fleet.set_key_value_faults()


async def _send_calls(
    fleet: fleet_module.Fleet, options: scenario.RunOptions, calls: list[Call]
) -> None:
    """Sends the non-idempotent calls at a fixed rate, with retries."""
    rng = random.Random(options.seed)
    start_s = anyio.current_time()
    count = int(CALLS_PER_S * _load_duration_s(options))
    async with httpx.AsyncClient(
        timeout=CALL_TIMEOUT_S,
        trust_env=False,
        limits=httpx.Limits(max_connections=1000),
    ) as client:
        async with anyio.create_task_group() as task_group:
            for index in range(count):
                await anyio.sleep_until(start_s + index / CALLS_PER_S)
                organisation = CALLERS[index % len(CALLERS)]
                call = Call(f"call-{options.seed}-{index}", organisation)
                calls.append(call)
                vms = rng.sample(sorted(fleet.vms), 2)
                task_group.start_soon(_send_call, fleet, client, call, vms)
                if rng.random() < DOUBLED_FRACTION:
                    task_group.start_soon(
                        _send_call, fleet, client, call, vms[::-1]
                    )


async def _send_call(
    fleet: fleet_module.Fleet,
    client: httpx.AsyncClient,
    call: Call,
    vms: list[str],
) -> None:
    """Sends one call and retries it at the other VM until it succeeds."""
    for attempt in range(MAX_ATTEMPTS):
        vm = fleet.vms[vms[attempt % len(vms)]]
        if await _attempt_call(fleet, client, call, vm):
            return
        await anyio.sleep(RETRY_PAUSE_S)


async def _attempt_call(
    fleet: fleet_module.Fleet,
    client: httpx.AsyncClient,
    call: Call,
    vm: fleet_module.Vm,
) -> bool:
    """Sends a call once and returns whether it succeeded."""
    key = fleet.organisation_keys[call.organisation]
    try:
        response = await client.post(
            f"{vm.url()}/services/{fleet_module.NON_IDEMPOTENT_ROUTE}/place",
            content=call.idempotency_key.encode(),
            headers={
                "authorization": f"Bearer {key}",
                "idempotency-key": call.idempotency_key,
            },
        )
    except httpx.HTTPError as error:
        call.statuses.append(0)
        call.ran.append(errors.UNKNOWN)
        call.error_codes.append(type(error).__name__)
        return False
    call.statuses.append(response.status_code)
    if response.status_code == 200:
        call.ran.append(errors.RAN)
        call.error_codes.append("")
        return True
    try:
        error_body = msgspec.json.decode(
            response.content, type=_ErrorResponse
        ).error
    except msgspec.MsgspecError:
        error_body = _ErrorBody("no_typed_error", errors.UNKNOWN)
    call.ran.append(error_body.ran)
    call.error_codes.append(error_body.code)
    return False


def _check_online(
    outcomes: list[generator.Outcome],
    organisations: dict[str, configuration.Organisation],
    result: scenario.Result,
) -> None:
    complete_count = sum(outcome.is_complete for outcome in outcomes)
    for name, organisation in organisations.items():
        own_outcomes = [o for o in outcomes if o.organisation == name]
        in_rate, refused = rate_reference.count_refused_in_rate(
            own_outcomes, organisation
        )
        result.in_rate += in_rate
        result.in_rate_refused += refused
    fraction = complete_count / max(1, len(outcomes))
    result.fields["online_ok_fraction"] = round(fraction, 5)
    result.fields["online_requests"] = len(outcomes)
    result.fields["online_failures"] = _count_names(
        [o.error_code or str(o.status) for o in outcomes if not o.is_complete]
    )
    result.expect(complete_count == len(outcomes), "online requests failed")


def _check_calls(
    calls: list[Call],
    runs: dict[str, int],
    result: scenario.Result,
) -> None:
    run_twice = [
        call.idempotency_key
        for call in calls
        if runs.get(call.idempotency_key, 0) > 1
    ]
    succeeded = [call for call in calls if 200 in call.statuses]
    unknown = [
        c for c in calls if errors.UNKNOWN in c.ran and c not in succeeded
    ]
    result.duplicated += len(run_twice)
    for call in calls:
        count = runs.get(call.idempotency_key, 0)
        all_not_run = set(call.ran) == {errors.NOT_RUN}
        result.expect(
            not (all_not_run and count),
            f"{call.idempotency_key} ran {count} times after a not_run refusal",
        )
        result.expect(
            bool(count) or call not in succeeded,
            f"{call.idempotency_key} got a response but did not run",
        )
    result.fields["non_idempotent_run_twice"] = len(run_twice)
    result.fields["non_idempotent_calls"] = len(calls)
    result.fields["non_idempotent_answered"] = len(succeeded)
    result.fields["non_idempotent_unknown"] = len(unknown)
    result.fields["non_idempotent_refusals"] = _count_names(
        [code for call in calls for code in call.error_codes if code]
    )


def _count_names(names: list[str]) -> dict[str, int]:
    return {name: names.count(name) for name in sorted(set(names))}
