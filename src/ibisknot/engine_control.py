"""Orders to engines and their reports, over HTTP."""

from collections.abc import Callable
import functools
from typing import Any

import anyio
import httpx
import msgspec

from ibisknot import distribution
from ibisknot import effects
from ibisknot import endpoint_http
from ibisknot import errors
from ibisknot import orders
from ibisknot import orders_runner
from ibisknot import program
from ibisknot import settings
from ibisknot import vmlist

READ_TIMEOUT_S = 1.0


async def _read(
    engines: endpoint_http.EndpointClient, url: str
) -> bytes | None:
    try:
        with anyio.fail_after(READ_TIMEOUT_S):
            async with engines.open(
                "GET", url, headers={}, body=b""
            ) as response:
                data = await response.aread()
                return data if response.status_code == 200 else None
    except (errors.IbisknotError, httpx.HTTPError, TimeoutError):
        return None


async def load(
    engines: endpoint_http.EndpointClient, url: str
) -> effects.Load | None:
    """Returns an engine's load, None when it does not answer."""
    data = await _read(engines, url + "/engine/load")
    try:
        return msgspec.json.decode(data or b"", type=effects.Load)
    except msgspec.MsgspecError:
        return None


async def report(
    engines: endpoint_http.EndpointClient, url: str
) -> orders.Report | None:
    """Returns what an engine has loaded, None when it does not answer.

    The state is current and the load lags, as engines have it.
    """
    data = await _read(engines, url + "/engine/state")
    try:
        found = msgspec.json.decode(data or b"", type=orders.Report)
    except msgspec.MsgspecError:
        return None
    lagged = await load(engines, url)
    if lagged is not None:
        found.running = lagged.running
        found.waiting = lagged.waiting
        found.slots = max(1, lagged.slots)
    return found


def _body(order: orders.Order, fencing: int) -> bytes:
    fields: dict[str, Any] = msgspec.structs.asdict(order)
    del fields["endpoint"]
    return msgspec.json.encode({**fields, "fencing": fencing})


async def send(
    engines: endpoint_http.EndpointClient,
    url: str,
    order: orders.Order,
    fencing: int,
    *,
    timeout_s: float,
) -> str:
    """Sends an order; returns an empty text, or why the engine refused.

    Raises:
        FencedError: The engine has seen a higher fencing number.
        EndpointError: The engine did not answer.
    """
    headers = {"content-type": "application/json"}
    try:
        with anyio.fail_after(timeout_s):
            async with engines.open(
                "POST",
                url + "/engine/orders",
                headers=headers,
                body=_body(order, fencing),
            ) as response:
                data = await response.aread()
    except (httpx.HTTPError, TimeoutError) as error:
        message = f"no answer to an order from {url}: {error!r}"
        raise errors.EndpointError(message) from None
    if response.status_code == 200:
        return ""
    refusal = _message(data)
    if response.status_code == errors.FencedError.status:
        raise errors.FencedError(refusal)
    return refusal


def _message(data: bytes) -> str:
    try:
        return str(msgspec.json.decode(data)["error"]["message"])
    except (msgspec.MsgspecError, KeyError, TypeError):
        return data.decode(errors="replace")[:200] or "refused"


def start_orders(
    daemon: program.Daemon,
    loaded: settings.Entry,
    source: distribution.LocalConfiguration,
    engines: endpoint_http.EndpointClient,
    live: Callable[[], list[vmlist.ListedVm]],
) -> orders_runner.Runner:
    """Starts this VM's part in the orders to engines."""
    timeout_s = loaded.orders.longest_order_s
    runner = orders_runner.Runner(
        source,
        daemon.key_value,
        live=lambda: [vm.name for vm in live()],
        limits=loaded.orders,
        report=functools.partial(report, engines),
        send=functools.partial(send, engines, timeout_s=timeout_s),
        group=daemon.task_group,
    )
    daemon.clock.subscribe("orders", orders_runner.TICK_S, runner.tick)
    return runner
