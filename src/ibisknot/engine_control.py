"""HTTP calls to engines: sends orders, reads reports and load."""

from collections.abc import Callable
import functools
from typing import Any

import anyio
import httpx
import msgspec

from ibisknot import distribution
from ibisknot import effects
from ibisknot import endpoint_body
from ibisknot import endpoint_http
from ibisknot import errors
from ibisknot import orders
from ibisknot import orders_runner
from ibisknot import program
from ibisknot import settings
from ibisknot import vmlist

READ_TIMEOUT_S = 1.0
"""Seconds until an engine must have sent its state or its load."""


async def _get(
    endpoint_client: endpoint_http.EndpointClient, url: str
) -> bytes | None:
    try:
        with anyio.fail_after(READ_TIMEOUT_S):
            async with endpoint_client.open(
                "GET", url, headers={}, body=b""
            ) as response:
                data = await endpoint_body.read(response)
                return data if response.status_code == 200 else None
    except (errors.IbisknotError, httpx.HTTPError, TimeoutError):
        return None


async def read_load(
    endpoint_client: endpoint_http.EndpointClient, url: str
) -> effects.Load | None:
    """Returns an engine's load; None if it does not answer."""
    data = await _get(endpoint_client, url + "/engine/load")
    try:
        return msgspec.json.decode(data or b"", type=effects.Load)
    except msgspec.MsgspecError:
        return None


async def read_report(
    endpoint_client: endpoint_http.EndpointClient, url: str
) -> orders.EngineReport | None:
    """Returns what an engine has loaded; None if it does not answer.

    The engine reports its versions, adapters and role without delay, and its
    load with a delay.
    """
    data = await _get(endpoint_client, url + "/engine/state")
    try:
        engine_report = msgspec.json.decode(
            data or b"", type=orders.EngineReport
        )
    except msgspec.MsgspecError:
        return None
    engine_load = await read_load(endpoint_client, url)
    if engine_load is not None:
        engine_report.running = engine_load.running
        engine_report.waiting = engine_load.waiting
        engine_report.slots = max(1, engine_load.slots)
    return engine_report


def _encode_order(order: orders.Order, fencing: int) -> bytes:
    fields: dict[str, Any] = msgspec.structs.asdict(order)
    del fields["endpoint"]
    return msgspec.json.encode({**fields, "fencing": fencing})


async def send_order(
    endpoint_client: endpoint_http.EndpointClient,
    url: str,
    order: orders.Order,
    fencing: int,
    *,
    timeout_s: float,
) -> str:
    """Sends an order; returns an empty text, or why the engine refused.

    Args:
        endpoint_client: Client for the engine.
        url: URL of the engine.
        order: The order.
        fencing: Fencing number of the order.
        timeout_s: Seconds until the engine must have responded.

    Raises:
        FencedError: The engine has seen a higher fencing number.
        EndpointError: The engine did not answer.
    """
    headers = {"content-type": "application/json"}
    try:
        with anyio.fail_after(timeout_s):
            async with endpoint_client.open(
                "POST",
                url + "/engine/orders",
                headers=headers,
                body=_encode_order(order, fencing),
            ) as response:
                data = await endpoint_body.read(response)
    except (httpx.HTTPError, TimeoutError) as error:
        message = f"no response to an order from {url}: {error!r}"
        raise errors.EndpointError(message) from None
    if response.status_code == 200:
        return ""
    refusal = _decode_refusal(data)
    if response.status_code == errors.FencedError.status:
        raise errors.FencedError(refusal)
    return refusal


def _decode_refusal(data: bytes) -> str:
    try:
        return str(msgspec.json.decode(data)["error"]["message"])
    except (msgspec.MsgspecError, KeyError, TypeError):
        return data.decode(errors="replace")[:200] or "refused"


def start_order_runner(
    daemon: program.Daemon,
    entry_settings: settings.Entry,
    source: distribution.LocalConfiguration,
    endpoint_client: endpoint_http.EndpointClient,
    active_vms: Callable[[], list[vmlist.ListedVm]],
) -> orders_runner.Runner:
    """Starts the runner that sends orders while this VM owns the shard."""
    timeout_s = entry_settings.orders.longest_order_s
    runner = orders_runner.Runner(
        source,
        daemon.key_value,
        active_vms=lambda: [vm.name for vm in active_vms()],
        order_settings=entry_settings.orders,
        read_report=functools.partial(read_report, endpoint_client),
        send_order=functools.partial(
            send_order, endpoint_client, timeout_s=timeout_s
        ),
        task_group=daemon.task_group,
    )
    daemon.clock.subscribe("orders", orders_runner.TICK_PERIOD_S, runner.tick)
    return runner
