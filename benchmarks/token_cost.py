"""Measures an entry's processor time for each request and each token.

Usage: python benchmarks/token_cost.py

One VM relays streams of two lengths. The slope between the lengths is the cost
of a token, the intercept that of a request. Engines that answer at once send
many tokens in a chunk. The other engines send each token in its own chunk.
"""

import json

import anyio
import httpx
import psutil

from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import topology

SHORT_TOKENS = 10
LONG_TOKENS = 210
REQUEST_COUNT = 40
RATE_PER_S = 10_000


def _cpu_s(fleet: fleet_module.Fleet) -> float:
    """Returns the processor seconds that the entry has used."""
    pid = fleet.vms["vm-1"].processes["entry"].handle.pid
    used = psutil.Process(pid).cpu_times()
    return used.user + used.system


async def _stream_events(
    client: httpx.AsyncClient, fleet: fleet_module.Fleet, tokens: int
) -> int:
    """Reads one stream; returns the number of its events."""
    key = fleet.organisation_keys["organisation-1"]
    body = {
        "model": fleet_module.MODEL,
        "messages": [{"role": "user", "content": f"count {tokens}"}],
        "max_tokens": tokens,
        "stream": True,
    }
    response = await client.post(
        f"{fleet.vms['vm-1'].direct_url()}/v1/chat/completions",
        json=body,
        headers={"authorization": f"Bearer {key}"},
    )
    response.raise_for_status()
    return response.text.count("data: ")


async def _measure_streams(
    client: httpx.AsyncClient, fleet: fleet_module.Fleet, tokens: int
) -> tuple[float, float]:
    """Returns the processor seconds and the events of a request, averaged."""
    before_s = _cpu_s(fleet)
    event_count = 0

    async def read_stream() -> None:
        nonlocal event_count
        found = await _stream_events(client, fleet, tokens)
        event_count += found

    async with anyio.create_task_group() as task_group:
        for _ in range(REQUEST_COUNT):
            task_group.start_soon(read_stream)
    return (
        _cpu_s(fleet) - before_s
    ) / REQUEST_COUNT, event_count / REQUEST_COUNT


async def measure_costs(engine_flags: list[str]) -> dict[str, float]:
    """Returns the costs with one kind of engine.

    Args:
        engine_flags: Command-line flags of the stand-in engines.
    """
    options = fleet_module.Options(
        topology=topology.UMURUNGA.resized(vms=1, engines=2),
        programs=("entry",),
        engine_flags=engine_flags,
    )
    async with fleet_module.running(options) as fleet:
        allowance = {"rate_per_s": RATE_PER_S, "burst": RATE_PER_S}
        await fleet.confirm_intent(
            {"organisations": {"organisation-1": allowance}}
        )
        async with httpx.AsyncClient(timeout=60, trust_env=False) as client:
            await _measure_streams(client, fleet, SHORT_TOKENS)
            short_s, short_events = await _measure_streams(
                client, fleet, SHORT_TOKENS
            )
            long_s, long_events = await _measure_streams(
                client, fleet, LONG_TOKENS
            )
    token_s = (long_s - short_s) / (long_events - short_events)
    return {
        "request_cpu_ms": round((short_s - short_events * token_s) * 1e3, 3),
        "token_cpu_us": round(token_s * 1e6, 2),
        "events_short": short_events,
        "events_long": long_events,
    }


async def main() -> None:
    """Prints the costs as one JSON object."""
    report = {
        "at_once": await measure_costs(["--instant"]),
        "one_by_one": await measure_costs([]),
    }
    print(json.dumps(report))


if __name__ == "__main__":
    anyio.run(main)
