"""Scenario `crash-request`: a request crashes each endpoint that runs it."""

import dataclasses

import anyio
import httpx
import msgspec

from ibisknot.bench import _scenario_load
from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import generator
from ibisknot.bench import scenario
from ibisknot.standins import standin_engine

ONLINE_PER_S = 30.0
ONLINE_TOKENS = 48
RESENDS = 8
RESEND_PAUSE_S = 0.5
FIRST_AFTER_S = 2.0
CRASH_BAR = 2
CRASH_CODE = "crash_request"


@dataclasses.dataclass(slots=True)
class Resends:
    """What the caller of the crash request saw.

    Attributes:
        codes: Error code of each answer.
        refused_after: Answers before the first refusal, -1 without one.
    """

    codes: list[str] = dataclasses.field(default_factory=list)
    refused_after: int = -1


async def run(options: scenario.RunOptions) -> scenario.Result:
    """Sends a crash request again and again beside ordinary load."""
    result = scenario.Result()
    started = fleet_module.Options(
        topology=options.topology, policy=options.policy, seed=options.seed
    )
    resends = Resends()
    async with fleet_module.running(started) as fleet:
        await _scenario_load.raise_rates(fleet)
        caller = generator.Caller(fleet, seed=options.seed)
        streams = _scenario_load.steady_streams(
            fleet, ONLINE_PER_S, options.seconds, tokens=ONLINE_TOKENS
        )
        async with anyio.create_task_group() as group:
            group.start_soon(_resend, fleet, resends)
            answers = await caller.run(streams)
        await anyio.sleep(2 * fleet_module.POLL_S)
        crashes = sum(fleet.crash_counts.values())
    failed = _scenario_load.incomplete_outcomes(answers)
    _scenario_load.record_outcomes(result, answers)
    result.fields["requests"] = len(answers)
    result.fields["endpoints_crashed"] = crashes
    result.fields["other_requests_failed"] = len(failed)
    result.fields["resends"] = len(resends.codes)
    result.fields["codes"] = resends.codes
    result.expect(crashes <= CRASH_BAR, f"{crashes} endpoints crashed")
    last = resends.codes[-1] if resends.codes else ""
    result.expect(last == CRASH_CODE, f"the last resend ended with {last!r}")
    return result


async def _resend(fleet: fleet_module.Fleet, resends: Resends) -> None:
    await anyio.sleep(FIRST_AFTER_S)
    for number in range(RESENDS):
        code = await _send(fleet, number)
        resends.codes.append(code)
        await anyio.sleep(RESEND_PAUSE_S)


async def _send(fleet: fleet_module.Fleet, number: int) -> str:
    """Sends the crash request to the next VM; returns the error's code."""
    vms = list(fleet.vms.values())
    body = {
        "model": fleet_module.MODEL,
        "messages": [{"role": "user", "content": standin_engine.CRASH_MARKER}],
        "stream": number % 2 == 1,
    }
    try:
        response = await fleet.client.post(
            f"{vms[number % len(vms)].url()}/v1/chat/completions",
            json=body,
            headers=_scenario_load.authorization_headers(
                fleet, "organisation-1"
            ),
        )
        return msgspec.json.decode(response.content)["error"]["code"]
    except httpx.HTTPError as error:
        return type(error).__name__
