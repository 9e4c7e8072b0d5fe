"""`ibisknot-gateway`: serves callers on the platform's entry VMs."""

from collections.abc import Callable

import anyio

from ibisknot import batch_api
from ibisknot import batch_jobs
from ibisknot import forward
from ibisknot import gateway
from ibisknot import http_server
from ibisknot import logs
from ibisknot import node
from ibisknot import stream_records
from ibisknot.client_limits import listener

BALANCER_NOTICE_S = 2.8
"""Time for which requests are accepted after the VM reports not ready.

The load balancer polls once a second, and removes a VM after two failures.
What comes later is refused: it might not be completed in the grace period.
"""
EXIT_MARGIN_S = 0.7
"""Time kept for the shutdown before the VM's grace period ends."""
LAST_ANSWER_MARGIN_S = 0.2
"""Time before the exit in which the last requests are answered."""
DRAIN_POLL_PERIOD_S = 0.05
LAST_CONNECTIONS_S = http_server.CLOSING_WAIT_S + 0.2
"""Time in which connections without a request end before the process exits."""
BODY_MEMORY_DIVISOR = 5
"""Buffered request bodies may use one part in this many of the memory."""


async def run(
    platform: node.Platform,
    dialect: forward.Dialect,
    batch_dialect: batch_api.Dialect,
) -> None:
    """Runs the gateway until a shutdown is requested."""
    async with node.start(platform, program="ibisknot-gateway") as gateway_node:
        view = gateway_node.runner.view
        forwarder = forward.Forwarder(
            gateway_node.tickets,
            gateway_node.client,
            dialect,
            gateway_node.clock,
            gateway_node.prompt_crashes,
            gateway_node.streams.find,
        )
        stream_records.Writer(
            gateway_node.process.name,
            gateway_node.store,
            gateway_node.streams.table,
            gateway_node.streams.history,
        ).start(gateway_node.clock, stream_records.GATEWAY_CHECK_PERIOD_S)
        jobs = batch_jobs.Jobs(
            gateway_node.process,
            gateway_node.store,
            view,
            gateway_node.peers,
            gateway_node.clock.now,
            gateway_node.tasks,
            is_outage=gateway_node.store.gate.is_outage,
        )
        batch_handler = batch_api.Handler(jobs, batch_dialect)
        caller_gateway = gateway.Gateway(
            view,
            forwarder,
            dialect,
            gateway_node.clock,
            batch_handler=batch_handler.handle,
        )
        server = http_server.Server(
            caller_gateway.handle,
            max_buffered_bytes=gateway_node.process.memory_bytes
            // BODY_MEMORY_DIVISOR,
            clock=gateway_node.clock.now,
            clients=gateway_node.clients,
        )

        def apply_limits() -> None:
            assert view.configuration is not None
            server.limits = view.configuration.limits

        gateway_node.runner.configuration_callbacks.append(apply_limits)
        gateway_node.task_group.start_soon(_serve_readiness, gateway_node)
        assert gateway_node.process.listen is not None
        gateway_node.task_group.start_soon(
            server.serve, gateway_node.process.listen
        )
        await gateway_node.stop_requested.wait()
        await _drain(gateway_node, server, caller_gateway)


async def _serve_readiness(gateway_node: node.Node) -> None:
    """Serves the load balancer's readiness check."""
    was_ready: list[bool] = [False]

    async def handle(exchange: http_server.Exchange) -> None:
        configured = gateway_node.runner.view.configuration is not None
        ready = configured and not gateway_node.stop_requested.is_set()
        if ready != was_ready[0]:
            was_ready[0] = ready
            logs.event("ready" if ready else "not_ready", configured=configured)
        await exchange.respond(200 if ready else 503, [])

    if gateway_node.process.ready_listen is not None:
        server = http_server.Server(
            handle, clients=gateway_node.clients, name=listener.READINESS
        )
        await server.serve(gateway_node.process.ready_listen)


async def _drain(
    gateway_node: node.Node,
    server: http_server.Server,
    caller_gateway: gateway.Gateway,
) -> None:
    """Serves what still arrives until every request is answered.

    It stops waiting `EXIT_MARGIN_S` before the process is killed.
    """
    started_s = gateway_node.clock.now()
    end_s = started_s + gateway_node.process.bounds.grace_s - EXIT_MARGIN_S
    caller_gateway.end_by(end_s - LAST_ANSWER_MARGIN_S)
    # Each answer from now on asks its caller to open another connection.
    server.start_closing()
    await anyio.sleep(BALANCER_NOTICE_S)
    caller_gateway.is_stopping = True
    await _wait_until(lambda: not server.active_requests, gateway_node, end_s)
    await gateway_node.tunnels.drain(end_s)
    # Connections that were accepted until now still get an answer.
    server.stop_accepting()
    await _wait_until(
        lambda: not server.open_connections,
        gateway_node,
        min(end_s, gateway_node.clock.now() + LAST_CONNECTIONS_S),
    )
    logs.event(
        "drained",
        left=server.active_requests,
        took_s=round(gateway_node.clock.now() - started_s, 3),
    )


async def _wait_until(
    is_done: Callable[[], bool], gateway_node: node.Node, end_s: float
) -> None:
    """Waits for a condition, but at most until a monotonic time."""
    while not is_done() and gateway_node.clock.now() < end_s:
        await anyio.sleep(DRAIN_POLL_PERIOD_S)
