"""Scenario `smoke`: each kind of request and change once, with 9 VMs."""

import anyio
import msgspec

from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import generator
from ibisknot.bench import scenario
from ibisknot.standins import _engine_text

BATCH_ITEMS = 40
BATCH_MAX_TOKENS = 8
BATCH_TIMEOUT_S = 60.0
WITHDRAWAL_LIMIT_S = 3.0
IN_FORCE_LIMIT_S = 3.0


async def run(options: scenario.RunOptions) -> scenario.Result:
    """Checks online, service and batch requests, a change and a withdrawal."""
    result = scenario.Result()
    fleet_options = fleet_module.Options(
        topology=options.topology, policy=options.policy, seed=options.seed
    )
    async with fleet_module.running(fleet_options) as fleet:
        await _check_online(fleet, options, result)
        await _check_services(fleet, result)
        await _check_batch(fleet, result)
        await _check_change(fleet, result)
        await _check_key_withdrawal(fleet, result)
    return result


def _authorization(
    fleet: fleet_module.Fleet, organisation: str
) -> dict[str, str]:
    key = fleet.organisation_keys[organisation]
    return {"authorization": f"Bearer {key}"}


async def _check_online(
    fleet: fleet_module.Fleet,
    options: scenario.RunOptions,
    result: scenario.Result,
) -> None:
    caller = generator.Caller(fleet, seed=options.seed)
    end_s = min(options.seconds, 5.0)
    streams = [
        generator.RequestStream(name, 3.0, 0.0, end_s)
        for name in fleet.organisation_keys
    ]
    outcomes = await caller.run(streams)
    complete_outcomes = [outcome for outcome in outcomes if outcome.is_complete]
    latencies = generator.Latencies()
    for outcome in complete_outcomes:
        latencies.add(outcome.first_content_s)
    result.curves["first token"] = latencies.curve()
    result.in_rate = len(outcomes)
    result.in_rate_refused = sum(o.status == 429 for o in outcomes)
    for outcome in outcomes:
        result.expect(
            outcome.is_complete,
            f"incomplete response: {outcome.status} {outcome.error_code}",
        )
    result.fields["requests"] = len(outcomes)
    result.fields["vms"] = len(fleet.vms)
    result.fields["online_ok"] = len(complete_outcomes) == len(outcomes)
    result.fields["ttft_p50_ms"] = latencies.quantile_ms(0.5)
    result.fields["ttft_p99_ms"] = latencies.quantile_ms(0.99)


async def _check_services(
    fleet: fleet_module.Fleet, result: scenario.Result
) -> None:
    base_url = fleet.vms["vm-2"].url()
    url = f"{base_url}/services/{fleet_module.ANONYMOUS_ROUTE}/hours"
    response = await fleet.client.get(url)
    result.expect(response.status_code == 200, "anonymous route not served")
    url = f"{base_url}/services/{fleet_module.PLAIN_ROUTE}/price"
    response = await fleet.client.post(url, content=b"{}")
    result.expect(response.status_code == 401, "route served without a key")
    headers = _authorization(fleet, "organisation-1")
    response = await fleet.client.post(url, content=b"{}", headers=headers)
    body = response.text
    result.expect(response.status_code == 200, "route not served with a key")
    is_key_leaked = fleet.organisation_keys["organisation-1"] in body
    result.expect(not is_key_leaked, "the endpoint received the caller's key")


def input_file(
    item_count: int, *, max_tokens: int, prefix: str = "item"
) -> bytes:
    """Returns a batch input file."""
    lines = []
    for index in range(item_count):
        body = {
            "model": fleet_module.MODEL,
            "messages": [{"role": "user", "content": f"{prefix} {index}"}],
            "max_tokens": max_tokens,
        }
        input_line = {
            "custom_id": f"{prefix}-{index}",
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": body,
        }
        lines.append(msgspec.json.encode(input_line))
    return b"\n".join(lines) + b"\n"


async def _check_batch(
    fleet: fleet_module.Fleet, result: scenario.Result
) -> None:
    base_url = fleet.vms["vm-3"].url()
    headers = _authorization(fleet, "organisation-2")
    file_content = input_file(BATCH_ITEMS, max_tokens=BATCH_MAX_TOKENS)
    response = await fleet.client.post(
        f"{base_url}/v1/files",
        files={"file": ("input.jsonl", file_content)},
        data={"purpose": "batch"},
        headers=headers,
    )
    result.expect(response.status_code == 200, f"upload: {response.text}")
    if response.status_code != 200:
        return
    job_request = {
        "input_file_id": response.json()["id"],
        "endpoint": "/v1/chat/completions",
        "completion_window": "1h",
    }
    url = f"{base_url}/v1/batches"
    response = await fleet.client.post(url, json=job_request, headers=headers)
    repeated = await fleet.client.post(url, json=job_request, headers=headers)
    result.expect(response.status_code == 200, f"batch: {response.text}")
    is_same_job = response.json().get("id") == repeated.json().get("id")
    result.expect(is_same_job, "a repeated submission created another job")
    job = response.json()
    with anyio.move_on_after(BATCH_TIMEOUT_S):
        while job["status"] not in ("completed", "failed"):
            await anyio.sleep(0.2)
            response = await fleet.client.get(
                f"{url}/{job['id']}", headers=headers
            )
            job = response.json()
    result.expect(job["status"] == "completed", f"batch {job['status']}")
    await _check_output(fleet, base_url, job, headers, result)


async def _check_output(
    fleet: fleet_module.Fleet,
    base_url: str,
    job: dict[str, str],
    headers: dict[str, str],
    result: scenario.Result,
) -> None:
    url = f"{base_url}/v1/files/{job['output_file_id']}/content"
    response = await fleet.client.get(url, headers=headers)
    line_counts: dict[str, int] = {}
    for line in response.content.splitlines():
        output = msgspec.json.decode(line)
        custom_id = output["custom_id"]
        line_counts[custom_id] = line_counts.get(custom_id, 0) + 1
        content = custom_id.replace("-", " ")
        prompt = generator.chat_prompt(content)
        message = output["response"]["body"]["choices"][0]["message"]
        is_expected = message["content"] == _engine_text.text(
            prompt, BATCH_MAX_TOKENS
        )
        result.expect(is_expected, f"wrong result for {custom_id}")
    custom_ids = {f"item-{index}" for index in range(BATCH_ITEMS)}
    result.lost += len(custom_ids - line_counts.keys())
    result.duplicated += sum(count > 1 for count in line_counts.values())
    result.fields["batch_ok"] = custom_ids == line_counts.keys()


async def _check_change(
    fleet: fleet_module.Fleet, result: scenario.Result
) -> None:
    intent = {"organisations": {"organisation-3": {"rate_per_s": 25}}}
    version = await fleet.confirm_intent(intent, vm="vm-4")
    in_force_s = await fleet.wait_in_force(version)
    result.fields["config_in_force_s"] = round(in_force_s, 3)
    result.expect(in_force_s <= IN_FORCE_LIMIT_S, "change in force too late")


async def _check_key_withdrawal(
    fleet: fleet_module.Fleet, result: scenario.Result
) -> None:
    organisation = "organisation-4"
    intent = {"organisations": {organisation: {"keys": {"first": None}}}}
    await fleet.confirm_intent(intent, vm="vm-5")
    start_s = anyio.current_time()
    headers = _authorization(fleet, organisation)
    accepting_vms = set(fleet.vms)
    with anyio.move_on_after(2 * WITHDRAWAL_LIMIT_S):
        while accepting_vms:
            for vm in sorted(accepting_vms):
                url = f"{fleet.vms[vm].url()}/v1/models"
                response = await fleet.client.get(url, headers=headers)
                if response.status_code == 401:
                    accepting_vms.discard(vm)
    elapsed_s = anyio.current_time() - start_s
    result.fields["key_withdrawal_s"] = round(elapsed_s, 3)
    result.expect(
        not accepting_vms, f"key still accepted on {sorted(accepting_vms)}"
    )
    result.expect(elapsed_s <= WITHDRAWAL_LIMIT_S, "withdrawal took too long")
