"""Scenario `smoke`: the whole path once, with 9 VMs."""

import anyio
import msgspec

from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import generator
from ibisknot.bench import scenario
from ibisknot.standins import _engine_text

BATCH_ITEMS = 40
BATCH_TOKENS = 8
BATCH_TIMEOUT_S = 60.0
WITHDRAWAL_LIMIT_S = 3.0
IN_FORCE_LIMIT_S = 3.0


async def run(options: scenario.RunOptions) -> scenario.Result:
    """Runs online, streaming, batch, a change and a key withdrawal."""
    result = scenario.Result()
    started = fleet_module.Options(
        topology=options.topology, policy=options.policy, seed=options.seed
    )
    async with fleet_module.running(started) as fleet:
        await _online(fleet, options, result)
        await _services(fleet, result)
        await _batch(fleet, result)
        await _change(fleet, result)
        await _withdrawal(fleet, result)
    return result


def _headers(fleet: fleet_module.Fleet, organisation: str) -> dict[str, str]:
    key = fleet.organisation_keys[organisation]
    return {"authorization": f"Bearer {key}"}


async def _online(
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
    answers = await caller.run(streams)
    whole = [answer for answer in answers if answer.is_complete]
    latencies = generator.Latencies()
    for answer in whole:
        latencies.add(answer.first_content_s)
    result.curves["first token"] = latencies.curve()
    result.in_rate = len(answers)
    result.in_rate_refused = sum(a.status == 429 for a in answers)
    for answer in answers:
        result.expect(
            answer.is_complete,
            f"answer not whole: {answer.status} {answer.error_code}",
        )
    result.fields["requests"] = len(answers)
    result.fields["vms"] = len(fleet.vms)
    result.fields["online_ok"] = len(whole) == len(answers)
    result.fields["ttft_p50_ms"] = latencies.quantile_ms(0.5)
    result.fields["ttft_p99_ms"] = latencies.quantile_ms(0.99)


async def _services(fleet: fleet_module.Fleet, result: scenario.Result) -> None:
    base = fleet.vms["vm-2"].url()
    url = f"{base}/services/{fleet_module.ANONYMOUS_ROUTE}/hours"
    response = await fleet.client.get(url)
    result.expect(response.status_code == 200, "open route not served")
    url = f"{base}/services/{fleet_module.PLAIN_ROUTE}/price"
    response = await fleet.client.post(url, content=b"{}")
    result.expect(response.status_code == 401, "route served without a key")
    headers = _headers(fleet, "organisation-1")
    response = await fleet.client.post(url, content=b"{}", headers=headers)
    seen = response.text
    result.expect(response.status_code == 200, "keyed route not served")
    leaked = fleet.organisation_keys["organisation-1"] in seen
    result.expect(not leaked, "the endpoint saw the caller's key")


def batch_lines(count: int, *, tokens: int, prefix: str = "item") -> bytes:
    """Returns a batch input file."""
    lines = []
    for number in range(count):
        body = {
            "model": fleet_module.MODEL,
            "messages": [{"role": "user", "content": f"{prefix} {number}"}],
            "max_tokens": tokens,
        }
        item = {
            "custom_id": f"{prefix}-{number}",
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": body,
        }
        lines.append(msgspec.json.encode(item))
    return b"\n".join(lines) + b"\n"


async def _batch(fleet: fleet_module.Fleet, result: scenario.Result) -> None:
    base = fleet.vms["vm-3"].url()
    headers = _headers(fleet, "organisation-2")
    data = batch_lines(BATCH_ITEMS, tokens=BATCH_TOKENS)
    response = await fleet.client.post(
        f"{base}/v1/files",
        files={"file": ("input.jsonl", data)},
        data={"purpose": "batch"},
        headers=headers,
    )
    result.expect(response.status_code == 200, f"upload: {response.text}")
    if response.status_code != 200:
        return
    wanted = {
        "input_file_id": response.json()["id"],
        "endpoint": "/v1/chat/completions",
        "completion_window": "1h",
    }
    url = f"{base}/v1/batches"
    response = await fleet.client.post(url, json=wanted, headers=headers)
    again = await fleet.client.post(url, json=wanted, headers=headers)
    result.expect(response.status_code == 200, f"batch: {response.text}")
    same = response.json().get("id") == again.json().get("id")
    result.expect(same, "a resent submission made another job")
    batch = response.json()
    with anyio.move_on_after(BATCH_TIMEOUT_S):
        while batch["status"] not in ("completed", "failed"):
            await anyio.sleep(0.2)
            response = await fleet.client.get(
                f"{url}/{batch['id']}", headers=headers
            )
            batch = response.json()
    result.expect(batch["status"] == "completed", f"batch {batch['status']}")
    await _check_output(fleet, base, batch, headers, result)


async def _check_output(
    fleet: fleet_module.Fleet,
    base: str,
    batch: dict[str, str],
    headers: dict[str, str],
    result: scenario.Result,
) -> None:
    url = f"{base}/v1/files/{batch['output_file_id']}/content"
    response = await fleet.client.get(url, headers=headers)
    found: dict[str, int] = {}
    for line in response.content.splitlines():
        output = msgspec.json.decode(line)
        name = output["custom_id"]
        found[name] = found.get(name, 0) + 1
        content = name.replace("-", " ")
        prompt = generator.chat_prompt(content)
        message = output["response"]["body"]["choices"][0]["message"]
        right = message["content"] == _engine_text.text(prompt, BATCH_TOKENS)
        result.expect(right, f"wrong result of {name}")
    wanted = {f"item-{number}" for number in range(BATCH_ITEMS)}
    result.lost += len(wanted - found.keys())
    result.duplicated += sum(count > 1 for count in found.values())
    result.fields["batch_ok"] = wanted == found.keys()


async def _change(fleet: fleet_module.Fleet, result: scenario.Result) -> None:
    intent = {"organisations": {"organisation-3": {"rate_per_s": 25}}}
    version = await fleet.confirm_intent(intent, vm="vm-4")
    in_force_s = await fleet.wait_in_force(version)
    result.fields["config_in_force_s"] = round(in_force_s, 3)
    result.expect(in_force_s <= IN_FORCE_LIMIT_S, "change not in force in time")


async def _withdrawal(
    fleet: fleet_module.Fleet, result: scenario.Result
) -> None:
    name = "organisation-4"
    intent = {"organisations": {name: {"keys": {"first": None}}}}
    await fleet.confirm_intent(intent, vm="vm-5")
    start_s = anyio.current_time()
    headers = _headers(fleet, name)
    waiting = set(fleet.vms)
    with anyio.move_on_after(2 * WITHDRAWAL_LIMIT_S):
        while waiting:
            for vm in sorted(waiting):
                url = f"{fleet.vms[vm].url()}/v1/models"
                response = await fleet.client.get(url, headers=headers)
                if response.status_code == 401:
                    waiting.discard(vm)
    elapsed_s = anyio.current_time() - start_s
    result.fields["key_withdrawal_s"] = round(elapsed_s, 3)
    result.expect(not waiting, f"key still works on {sorted(waiting)}")
    result.expect(elapsed_s <= WITHDRAWAL_LIMIT_S, "withdrawal took too long")
