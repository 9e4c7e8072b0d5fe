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

ONLINE_REQUESTS_PER_S = 30.0
ONLINE_MAX_TOKENS = 48
MAX_SENDS = 8
RESEND_PAUSE_S = 0.5
FIRST_SEND_DELAY_S = 2.0
MAX_ENDPOINT_CRASHES = 2
CRASH_CODE = "crash_request"


@dataclasses.dataclass(slots=True)
class CrashResponses:
    """Responses to the crash request.

    Attributes:
        error_codes: Error code of each response.
        responses_before_refusal: Count of responses before the first refusal,
            -1 for none.
    """

    error_codes: list[str] = dataclasses.field(default_factory=list)
    responses_before_refusal: int = -1


async def run(options: scenario.RunOptions) -> scenario.Result:
    """Sends a crash request repeatedly, together with ordinary load."""
    result = scenario.Result()
    fleet_options = fleet_module.Options(
        topology=options.topology, policy=options.policy, seed=options.seed
    )
    crash_responses = CrashResponses()
    async with fleet_module.running(fleet_options) as fleet:
        await _scenario_load.raise_rates(fleet)
        caller = generator.Caller(fleet, seed=options.seed)
        streams = _scenario_load.steady_streams(
            fleet,
            ONLINE_REQUESTS_PER_S,
            options.seconds,
            tokens=ONLINE_MAX_TOKENS,
        )
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(_send_repeatedly, fleet, crash_responses)
            outcomes = await caller.run(streams)
        await anyio.sleep(2 * fleet_module.POLL_PERIOD_S)
        crashes = sum(fleet.crash_counts.values())
    failed = _scenario_load.incomplete_outcomes(outcomes)
    _scenario_load.record_outcomes(result, outcomes)
    result.fields["requests"] = len(outcomes)
    result.fields["endpoints_crashed"] = crashes
    result.fields["other_requests_failed"] = len(failed)
    result.fields["resends"] = len(crash_responses.error_codes)
    result.fields["codes"] = crash_responses.error_codes
    result.expect(
        crashes <= MAX_ENDPOINT_CRASHES, f"{crashes} endpoints crashed"
    )
    last_code = (
        crash_responses.error_codes[-1] if crash_responses.error_codes else ""
    )
    result.expect(
        last_code == CRASH_CODE, f"the last resend ended with {last_code!r}"
    )
    return result


async def _send_repeatedly(
    fleet: fleet_module.Fleet, crash_responses: CrashResponses
) -> None:
    await anyio.sleep(FIRST_SEND_DELAY_S)
    for index in range(MAX_SENDS):
        error_code = await _send_crash_request(fleet, index)
        crash_responses.error_codes.append(error_code)
        await anyio.sleep(RESEND_PAUSE_S)


async def _send_crash_request(fleet: fleet_module.Fleet, index: int) -> str:
    """Sends the crash request to the next VM and returns the error code."""
    vms = list(fleet.vms.values())
    body = {
        "model": fleet_module.MODEL,
        "messages": [{"role": "user", "content": standin_engine.CRASH_MARKER}],
        "stream": index % 2 == 1,
    }
    try:
        response = await fleet.client.post(
            f"{vms[index % len(vms)].url()}/v1/chat/completions",
            json=body,
            headers=_scenario_load.authorization_headers(
                fleet, "organisation-1"
            ),
        )
        return msgspec.json.decode(response.content)["error"]["code"]
    except httpx.HTTPError as error:
        return type(error).__name__
