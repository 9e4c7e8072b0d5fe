"""`ibisknot-entry`: the callers' and operators' entry on every VM."""

import dataclasses
import functools
from typing import Annotated
from typing import Any

import anyio
import cappa
from starlette import requests
from starlette import responses
from starlette import routing

import ibisknot
from ibisknot import admitter as admitter_module
from ibisknot import batches
from ibisknot import claims_owner
from ibisknot import claims_runner
from ibisknot import deduplicate
from ibisknot import dispatch
from ibisknot import distribution
from ibisknot import engine
from ibisknot import engine_control
from ibisknot import errors
from ibisknot import exchange
from ibisknot import files
from ibisknot import follow
from ibisknot import job_status
from ibisknot import logs
from ibisknot import membership
from ibisknot import membership_runner
from ibisknot import model_dispatch
from ibisknot import notices as notices_module
from ibisknot import online
from ibisknot import operators
from ibisknot import program
from ibisknot import rate_limits
from ibisknot import rates_runner
from ibisknot import recent
from ibisknot import replicas
from ibisknot import service_dispatch
from ibisknot import settings
from ibisknot import survey
from ibisknot import tickets
from ibisknot import web
from ibisknot.gen.config import ttypes

READY_POLL_S = 0.02
HAND_BACK_TIMEOUT_S = 2.0


@dataclasses.dataclass
class Arguments:
    """Serves callers and operators on one VM."""

    settings: Annotated[str, cappa.Arg(help="Settings file.")]
    check_settings: Annotated[
        bool, cappa.Arg(long=True, help="Check the settings file and exit.")
    ] = False


@dataclasses.dataclass(slots=True)
class Parts:
    """The parts that an entry's online path uses."""

    daemon: program.Daemon
    view: membership.View
    source: distribution.Distribution
    engines: engine.Engines
    admitter: admitter_module.Admitter
    tickets: tickets.Client
    notices: notices_module.Notices
    shares: rates_runner.Runner
    claims: claims_runner.Client


def online_parts(
    daemon: program.Daemon,
    source: distribution.Distribution,
    engines: engine.Engines,
    loaded: settings.Entry,
) -> Parts:
    """Starts the parts of the online path."""
    view = start_membership(daemon)
    admitter = admitter_module.Admitter(
        daemon, source, engines, view.live, loaded
    )
    admitter.register(daemon.server)
    return Parts(
        daemon=daemon,
        view=view,
        source=source,
        engines=engines,
        admitter=admitter,
        tickets=tickets.Client(
            daemon, source, view.live, local_admitter=admitter
        ),
        notices=start_notices(daemon, view),
        shares=start_rates(daemon, source, view),
        claims=start_claims(daemon, view),
    )


def online_pipeline(parts: Parts, *, policy: str) -> exchange.Next:
    """Puts the online path together."""
    naive = policy == settings.NAIVE
    return (naive_pipeline if naive else fleet_pipeline)(parts)


def naive_pipeline(parts: Parts) -> exchange.Next:
    """Returns the baseline: static rates, a random endpoint."""
    source, vms = parts.source, parts.daemon.vms
    return exchange.pipeline(
        online.trace,
        online.account,
        online.authenticate(source),
        online.identify(source),
        online.limit_rate_static(source, lambda: len(vms.live())),
        online.check_whole,
        dispatch.naive_filter(source, parts.engines),
    )


def fleet_pipeline(parts: Parts) -> exchange.Next:
    """Returns the path whose decisions are made with the whole fleet."""
    source = parts.source
    models = model_dispatch.ModelDispatch(
        source, parts.engines, parts.tickets, parts.notices
    )
    services = service_dispatch.ServiceDispatch(source, parts.engines)
    return exchange.pipeline(
        online.trace,
        online.account,
        online.authenticate(source),
        online.identify(source),
        rate_limits.limit_rate(parts.shares),
        online.check_whole,
        deduplicate.claim_once(parts.claims, parts.daemon.group),
        online.refuse_crash_requests(parts.notices),
        dispatch.fleet_filter(models.run, services.run),
    )


def start_membership(daemon: program.Daemon) -> membership.View:
    """Starts the probes; returns this VM's view of the fleet."""
    runner = membership_runner.Runner(
        vm=daemon.loaded.vm.name,
        listed=lambda: list(daemon.vms.vms.values()),
        peers=daemon.peers,
        port=daemon.loaded.peer_port,
        clock=daemon.clock,
    )
    runner.start(daemon.server)
    return runner.view


def start_notices(
    daemon: program.Daemon, view: membership.View
) -> notices_module.Notices:
    """Starts this VM's part in the notices of crashes."""
    loaded = daemon.loaded
    own = f"{loaded.vm.address}:{loaded.peer_port}"

    def others() -> list[str]:
        ports = (loaded.entry_port, loaded.batch_port)
        found = [f"{vm.address}:{port}" for vm in view.live() for port in ports]
        return [address for address in found if address != own]

    return notices_module.Notices(
        daemon.server, daemon.peers, daemon.clock, daemon.group, others
    )


def start_rates(
    daemon: program.Daemon,
    source: distribution.Distribution,
    view: membership.View,
) -> rates_runner.Runner:
    """Starts this VM's part in the rates over the fleet."""
    runner = rates_runner.Runner(
        vm=daemon.loaded.vm.name,
        task_group=daemon.group,
        key_value=daemon.store,
        peers=daemon.peers,
        vms=daemon.vms,
        active_vms=view.live,
        port=daemon.loaded.peer_port,
        clock=daemon.clock,
        allowance=lambda name: rate_limits.allowance(source, name),
    )
    runner.start(daemon.server)
    return runner


def start_claims(
    daemon: program.Daemon, view: membership.View
) -> claims_runner.Client:
    """Starts this VM's part in the idempotency claims."""
    client = claims_runner.Client(
        vm=daemon.loaded.vm.name,
        peers=daemon.peers,
        live=view.live,
        port=daemon.loaded.peer_port,
    )
    client.owner = claims_owner.Owner(
        vm=daemon.loaded.vm.name,
        group=daemon.group,
        store=daemon.store,
        clock=daemon.clock,
        preferred=client.preferred,
        vm_gone=lambda name: name not in daemon.vms.vms,
    )
    client.owner.start(daemon.server)
    return client


def online_routes(
    step: exchange.Next,
    source: distribution.Distribution,
    limits: settings.Limits,
) -> list[routing.BaseRoute]:
    """Returns the routes of the online path."""
    handle = online.handler(step, source, limits)
    methods = ["GET", "POST", "PUT", "PATCH", "DELETE"]
    return [
        routing.Route("/v1/chat/completions", handle, methods=["POST"]),
        routing.Route("/v1/completions", handle, methods=["POST"]),
        routing.Route("/services/{service}", handle, methods=methods),
        routing.Route(
            "/services/{service}/{path:path}", handle, methods=methods
        ),
    ]


def model_routes(source: distribution.Distribution) -> list[routing.BaseRoute]:
    """Returns the routes that list the models."""

    def describe(name: str) -> dict[str, Any]:
        return {
            "id": name,
            "object": "model",
            "created": 0,
            "owned_by": "ibisknot",
        }

    async def list_models(request: requests.Request) -> responses.Response:
        online.key_owner(source, request)
        data = [describe(name) for name in sorted(source.current.models)]
        return web.json_response({"object": "list", "data": data})

    async def get_model(request: requests.Request) -> responses.Response:
        online.key_owner(source, request)
        name = request.path_params["model"]
        if name not in source.current.models:
            message = f"the model {name!r} does not exist"
            raise errors.ModelNotFoundError(message)
        return web.json_response(describe(name))

    return [
        routing.Route("/v1/models", list_models),
        routing.Route("/v1/models/{model}", get_model),
    ]


async def become_ready(
    daemon: program.Daemon,
    source: distribution.Distribution,
    loaded: settings.Entry,
) -> None:
    """Reports ready once the configuration is known.

    A VM that took requests earlier would refuse them as if the models and
    keys did not exist.
    """
    while not source.is_current(daemon.clock.now()):
        await anyio.sleep(READY_POLL_S)
    if daemon.stop.is_set():
        return
    daemon.ready = True
    logs.event("entry_ready", vm=loaded.vm.name, policy=loaded.policy)


async def run(loaded: settings.Entry) -> None:
    """Runs the program until it is told to stop."""
    async with program.daemon(loaded, name="ibisknot-entry") as daemon:
        source = distribution.Distribution(
            me=loaded.vm.name, listed=lambda: list(daemon.vms.vms)
        )
        engines = engine.Engines(overrides=loaded.address_overrides)
        follower = follow.start_entry(daemon, source)
        copies = replicas.ReplicaClient(
            daemon.peers, daemon.vms, port=loaded.store_port
        )

        async def in_force(_ask: ttypes.VersionAsk) -> Any:
            return ttypes.VersionInForce(version=source.current.version)

        recent.keep(daemon.server)
        asked = survey.Survey(
            daemon.peers, daemon.vms, loaded.peer_port, loaded.batch_port
        )
        daemon.server.on("version_in_force", ttypes.VersionAsk, in_force)
        parts = online_parts(daemon, source, engines, loaded)
        step = online_pipeline(parts, policy=loaded.policy)
        follower.live = parts.view.live
        ordering = engine_control.start_orders(
            daemon, loaded, source, engines, parts.view.live
        )
        file_handlers = files.Files(source, daemon.store, copies, loaded.limits)
        batch_handlers = batches.Batches(
            source,
            daemon.store,
            daemon.peers,
            daemon.vms,
            loaded.limits,
            copies,
        )
        operator_handlers = operators.Operators(
            follower,
            daemon.store,
            loaded,
            asked,
            functools.partial(engine_control.load, engines),
        )
        statuses = job_status.JobStatuses(
            batch_handlers, operator_handlers.operator
        )

        async def drain() -> None:
            await anyio.sleep(loaded.drain_notice_s)
            await parts.admitter.drain()
            with anyio.move_on_after(HAND_BACK_TIMEOUT_S):
                await parts.shares.release_all()
                await ordering.give_back()

        daemon.ready = False
        daemon.group.start_soon(become_ready, daemon, source, loaded)
        await daemon.serve(
            [
                *online_routes(step, source, loaded.limits),
                *model_routes(source),
                *file_handlers.routes(),
                *batch_handlers.routes(),
                *operator_handlers.routes(),
                *statuses.routes(),
            ],
            tls_files=loaded.tls,
            drain=drain,
            graceful_s=loaded.drain_timeout_s,
            limits=loaded.limits,
        )
        await engines.aclose()


def main() -> None:
    """Entry point of the program."""
    arguments = cappa.parse(Arguments, version=ibisknot.__version__)
    loaded = settings.load_or_exit(
        arguments.settings,
        settings.Entry,
        check_only=arguments.check_settings,
    )
    program.run(run, loaded)
