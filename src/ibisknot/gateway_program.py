"""`ibisknot-gateway`: serves callers on the platform's entry VMs."""

import anyio

from ibisknot import batch_api
from ibisknot import batch_jobs
from ibisknot import deployment
from ibisknot import forward
from ibisknot import gateway
from ibisknot import http_server
from ibisknot import logs
from ibisknot import node
from ibisknot import notices

NOTICE_S = 3.2
"""The balancer asks once a second, and leaves a VM out after two misses."""
EXIT_MARGIN_S = 0.7
POLL_S = 0.05
BODY_SHARE = 5
"""Bodies that are held may fill this part of the memory."""


async def run(
    platform: node.Platform,
    dialect: forward.Dialect,
    batch_dialect: batch_api.Dialect,
) -> None:
    """Runs the program until it is told to stop."""
    async with node.start(platform, program="ibisknot-gateway") as made:
        view = made.runner.view

        def others() -> list[str]:
            return [
                member.address
                for member in made.runner.others()
                if member.kind == deployment.GATEWAY
            ]

        forwarder = forward.Forwarder(
            made.tickets,
            made.client,
            dialect,
            made.clock,
            notices.Notices(
                made.server, made.peers, made.clock, made.task_group, others
            ),
        )
        intake = batch_jobs.Jobs(
            made.process,
            made.store,
            view,
            made.peers,
            made.clock.now,
            made.task_group,
        )
        calls = batch_api.Handler(intake, batch_dialect, made.clock)
        handler = gateway.Gateway(
            view, forwarder, dialect, made.clock, batch=calls.handle
        )
        server = http_server.Server(
            handler.handle,
            buffer_bytes=made.process.memory_bytes // BODY_SHARE,
            clock=made.clock.now,
        )

        def apply_limits() -> None:
            assert view.configuration is not None
            server.limits = view.configuration.limits

        made.runner.configured.append(apply_limits)
        made.task_group.start_soon(_serve_readiness, made)
        assert made.process.listen is not None
        made.task_group.start_soon(server.serve, made.process.listen)
        await made.stop_requested.wait()
        await _drain(made, server, handler)


async def _serve_readiness(made: node.Node) -> None:
    """Answers the balancer's question whether to send callers here."""
    was_ready: list[bool] = [False]

    async def handle(exchange: http_server.Exchange) -> None:
        configured = made.runner.view.configuration is not None
        ready = configured and not made.stop_requested.is_set()
        if ready != was_ready[0]:
            was_ready[0] = ready
            logs.event("ready" if ready else "not_ready", configured=configured)
        await exchange.respond(200 if ready else 503, [])

    if made.process.ready_listen is not None:
        await http_server.Server(handle).serve(made.process.ready_listen)


async def _drain(
    made: node.Node, server: http_server.Server, handler: gateway.Gateway
) -> None:
    """Takes what still arrives, and leaves when all of it is answered."""
    started_s = made.clock.now()
    end_s = started_s + made.process.bounds.grace_s - EXIT_MARGIN_S
    # From now on each answer tells its caller to open another connection.
    server.closing = True
    await anyio.sleep(NOTICE_S)
    handler.closing = True
    while server.active and made.clock.now() < end_s:
        await anyio.sleep(POLL_S)
    logs.event(
        "drained",
        left=server.active,
        took_s=round(made.clock.now() - started_s, 3),
    )
