"""Measures an entry's processor time for each request and each token.

Usage: python benchmarks/token_cost.py

One VM relays streams of two lengths. The slope between the lengths is the cost
of a token, the intercept that of a request. With engines that answer at once,
one chunk holds many tokens; with engines that take their time, each token
comes in a chunk of its own.
"""

import json

import anyio
import httpx
import psutil

from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import topology

SHORT_TOKENS = 10
LONG_TOKENS = 210
REQUESTS = 40
RATE_PER_S = 10_000


def _cpu_s(fleet: fleet_module.Fleet) -> float:
    pid = fleet.vms["vm-1"].processes["entry"].handle.pid
    used = psutil.Process(pid).cpu_times()
    return used.user + used.system


async def _stream(
    client: httpx.AsyncClient, fleet: fleet_module.Fleet, tokens: int
) -> int:
    """Reads one stream; returns the number of events in it."""
    key = fleet.organisations["organisation-1"]
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


async def _measure(
    client: httpx.AsyncClient, fleet: fleet_module.Fleet, tokens: int
) -> tuple[float, float]:
    """Returns processor seconds and events for each request."""
    before_s = _cpu_s(fleet)
    events = 0

    async def add() -> None:
        nonlocal events
        found = await _stream(client, fleet, tokens)
        events += found

    async with anyio.create_task_group() as group:
        for _ in range(REQUESTS):
            group.start_soon(add)
    return (_cpu_s(fleet) - before_s) / REQUESTS, events / REQUESTS


async def measure(engine_flags: list[str]) -> dict[str, float]:
    """Returns the costs with one kind of engine."""
    options = fleet_module.Options(
        topology=topology.UMURUNGA.resized(vms=1, engines=2),
        programs=("entry",),
        engine_flags=engine_flags,
    )
    async with fleet_module.running(options) as fleet:
        rates = {"rate_per_s": RATE_PER_S, "burst": RATE_PER_S}
        await fleet.confirm({"organisations": {"organisation-1": rates}})
        async with httpx.AsyncClient(timeout=60, trust_env=False) as client:
            await _measure(client, fleet, SHORT_TOKENS)
            short_s, short = await _measure(client, fleet, SHORT_TOKENS)
            long_s, long = await _measure(client, fleet, LONG_TOKENS)
    token_s = (long_s - short_s) / (long - short)
    return {
        "request_cpu_ms": round((short_s - short * token_s) * 1e3, 3),
        "token_cpu_us": round(token_s * 1e6, 2),
        "events_short": short,
        "events_long": long,
    }


async def main() -> None:
    """Prints the costs as one JSON object."""
    report = {
        "at_once": await measure(["--instant"]),
        "one_by_one": await measure([]),
    }
    print(json.dumps(report))


if __name__ == "__main__":
    anyio.run(main)
