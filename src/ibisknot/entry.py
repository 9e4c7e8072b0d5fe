"""`ibisknot-entry`: serves callers and operators; it runs on every VM."""

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
from ibisknot import claims_client
from ibisknot import claims_owner
from ibisknot import configuration_follower
from ibisknot import crash_notices
from ibisknot import deduplication
from ibisknot import dispatch
from ibisknot import distribution
from ibisknot import endpoint_http
from ibisknot import engine_control
from ibisknot import errors
from ibisknot import exchange
from ibisknot import files
from ibisknot import fleet_queries
from ibisknot import job_status
from ibisknot import logs
from ibisknot import membership
from ibisknot import membership_runner
from ibisknot import model_dispatch
from ibisknot import online
from ibisknot import operator_api
from ibisknot import program
from ibisknot import rate_limits
from ibisknot import rates_runner
from ibisknot import recent_events
from ibisknot import replicas
from ibisknot import service_dispatch
from ibisknot import settings
from ibisknot import tickets
from ibisknot import web
from ibisknot.gen.config import ttypes

READY_POLL_INTERVAL_S = 0.02
RELEASE_TIMEOUT_S = 2.0
"""Time for the release of rates and orders at shutdown."""


@dataclasses.dataclass
class Arguments:
    """Serves callers and operators on one VM."""

    settings: Annotated[str, cappa.Arg(help="Settings file.")]
    check_settings: Annotated[
        bool, cappa.Arg(long=True, help="Check the settings file and exit.")
    ] = False


@dataclasses.dataclass(slots=True)
class OnlineComponents:
    """Components of the online path.

    Attributes:
        daemon: The process with its peers, VMs and timer.
        view: This VM's view of the fleet.
        source: The configuration in force.
        endpoint_client: Client of engines and plain services.
        admitter: Grants tickets of the admission groups that this VM decides
            on.
        tickets: Acquires tickets from the admitters.
        notices: Crash notices.
        rates: This VM's shares of the organisations' rates.
        claims: Client of idempotency claims.
    """

    daemon: program.Daemon
    view: membership.View
    source: distribution.LocalConfiguration
    endpoint_client: endpoint_http.EndpointClient
    admitter: admitter_module.Admitter
    tickets: tickets.Client
    notices: crash_notices.CrashNotices
    rates: rates_runner.Runner
    claims: claims_client.Client


def start_online_components(
    daemon: program.Daemon,
    source: distribution.LocalConfiguration,
    endpoint_client: endpoint_http.EndpointClient,
    entry_settings: settings.Entry,
) -> OnlineComponents:
    """Starts the components of the online path."""
    view = start_membership(daemon)
    admitter = admitter_module.Admitter(
        daemon, source, endpoint_client, view.active_vms, entry_settings
    )
    admitter.register(daemon.server)
    return OnlineComponents(
        daemon=daemon,
        view=view,
        source=source,
        endpoint_client=endpoint_client,
        admitter=admitter,
        tickets=tickets.Client(
            daemon, source, view.active_vms, local_admitter=admitter
        ),
        notices=start_notices(daemon, view),
        rates=start_rates(daemon, source, view),
        claims=start_claims(daemon, view),
    )


def online_pipeline(
    components: OnlineComponents, *, policy: str
) -> exchange.Handler:
    """Returns the online path of a policy, `naive` or the fleet's."""
    naive = policy == settings.NAIVE_POLICY
    return (naive_pipeline if naive else fleet_pipeline)(components)


def naive_pipeline(components: OnlineComponents) -> exchange.Handler:
    """Returns the naive policy's path: static rates, a random endpoint."""
    source, vms = components.source, components.daemon.vm_list
    return exchange.pipeline(
        online.trace,
        online.record_outcome,
        online.authenticate(source),
        online.identify_target(source),
        online.limit_rate_static(source, lambda: len(vms.active_vms())),
        online.check_complete,
        dispatch.naive_filter(source, components.endpoint_client),
    )


def fleet_pipeline(components: OnlineComponents) -> exchange.Handler:
    """Returns the path whose decisions take the whole fleet into account."""
    source = components.source
    models = model_dispatch.ModelDispatch(
        source,
        components.endpoint_client,
        components.tickets,
        components.notices,
    )
    services = service_dispatch.ServiceDispatch(
        source, components.endpoint_client
    )
    return exchange.pipeline(
        online.trace,
        online.record_outcome,
        online.authenticate(source),
        online.identify_target(source),
        rate_limits.limit_rate(components.rates),
        online.check_complete,
        deduplication.claim_once(
            components.claims, components.daemon.task_group
        ),
        online.refuse_crash_requests(components.notices),
        dispatch.fleet_filter(models.run, services.run),
    )


def start_membership(daemon: program.Daemon) -> membership.View:
    """Starts the membership probes; returns this VM's view of the fleet."""
    runner = membership_runner.Runner(
        vm=daemon.program_settings.vm.name,
        listed_vms=lambda: list(daemon.vm_list.by_name.values()),
        peers=daemon.peers,
        port=daemon.program_settings.peer_port,
        clock=daemon.clock,
    )
    runner.start(daemon.server)
    return runner.view


def start_notices(
    daemon: program.Daemon, view: membership.View
) -> crash_notices.CrashNotices:
    """Starts receiving crash notices; returns the object that sends them."""
    daemon_settings = daemon.program_settings
    own_address = f"{daemon_settings.vm.address}:{daemon_settings.peer_port}"

    def peer_addresses() -> list[str]:
        ports = (daemon_settings.entry_port, daemon_settings.batch_port)
        addresses = [
            f"{vm.address}:{port}" for vm in view.active_vms() for port in ports
        ]
        return [address for address in addresses if address != own_address]

    return crash_notices.CrashNotices(
        daemon.server,
        daemon.peers,
        daemon.clock,
        daemon.task_group,
        peer_addresses,
    )


def start_rates(
    daemon: program.Daemon,
    source: distribution.LocalConfiguration,
    view: membership.View,
) -> rates_runner.Runner:
    """Starts the runner of this VM's shares of the organisations' rates."""
    runner = rates_runner.Runner(
        vm=daemon.program_settings.vm.name,
        task_group=daemon.task_group,
        key_value=daemon.key_value,
        peers=daemon.peers,
        vms=daemon.vm_list,
        active_vms=view.active_vms,
        port=daemon.program_settings.peer_port,
        clock=daemon.clock,
        allowance=lambda name: rate_limits.allowance(source, name),
    )
    runner.start(daemon.server)
    return runner


def start_claims(
    daemon: program.Daemon, view: membership.View
) -> claims_client.Client:
    """Starts the owner of claims on this VM; returns a client of all owners."""
    client = claims_client.Client(
        vm=daemon.program_settings.vm.name,
        peers=daemon.peers,
        active_vms=view.active_vms,
        port=daemon.program_settings.peer_port,
    )
    client.owner = claims_owner.Owner(
        vm=daemon.program_settings.vm.name,
        task_group=daemon.task_group,
        key_value=daemon.key_value,
        clock=daemon.clock,
        preferred_owner=client.preferred_owner,
        is_departed=lambda name: name not in daemon.vm_list.by_name,
    )
    client.owner.start(daemon.server)
    return client


def online_routes(
    pipeline: exchange.Handler,
    source: distribution.LocalConfiguration,
    limits: settings.Limits,
) -> list[routing.BaseRoute]:
    """Returns the routes of the online path."""
    handle = online.handler(pipeline, source, limits)
    methods = ["GET", "POST", "PUT", "PATCH", "DELETE"]
    return [
        routing.Route("/v1/chat/completions", handle, methods=["POST"]),
        routing.Route("/v1/completions", handle, methods=["POST"]),
        routing.Route("/services/{service}", handle, methods=methods),
        routing.Route(
            "/services/{service}/{path:path}", handle, methods=methods
        ),
    ]


def model_routes(
    source: distribution.LocalConfiguration,
) -> list[routing.BaseRoute]:
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
    source: distribution.LocalConfiguration,
    entry_settings: settings.Entry,
) -> None:
    """Reports the process ready once its configuration is current.

    Earlier, requests would be refused as if the models and keys did not exist.
    """
    while not source.is_fresh(daemon.clock.now()):
        await anyio.sleep(READY_POLL_INTERVAL_S)
    if daemon.stop_requested.is_set():
        return
    daemon.is_ready = True
    logs.event(
        "entry_ready", vm=entry_settings.vm.name, policy=entry_settings.policy
    )


async def run(entry_settings: settings.Entry) -> None:
    """Runs the program until it is signalled to stop."""
    async with program.start(entry_settings, name="ibisknot-entry") as daemon:
        source = distribution.LocalConfiguration(
            vm_name=entry_settings.vm.name,
            listed_vms=lambda: list(daemon.vm_list.by_name),
        )
        endpoint_client = endpoint_http.EndpointClient(
            address_overrides=entry_settings.address_overrides
        )
        follower = configuration_follower.start_entry(daemon, source)
        replica_client = replicas.ReplicaClient(
            daemon.peers, daemon.vm_list, port=entry_settings.store_port
        )

        async def version_in_force(_request: ttypes.VersionAsk) -> Any:
            return ttypes.VersionInForce(version=source.current.version)

        recent_events.start_recording(daemon.server)
        queries = fleet_queries.FleetQueries(
            daemon.peers,
            daemon.vm_list,
            entry_settings.peer_port,
            entry_settings.batch_port,
        )
        daemon.server.on(
            "version_in_force", ttypes.VersionAsk, version_in_force
        )
        components = start_online_components(
            daemon, source, endpoint_client, entry_settings
        )
        pipeline = online_pipeline(components, policy=entry_settings.policy)
        follower.active_vms = components.view.active_vms
        order_runner = engine_control.start_order_runner(
            daemon,
            entry_settings,
            source,
            endpoint_client,
            components.view.active_vms,
        )
        file_handlers = files.Files(
            source, daemon.key_value, replica_client, entry_settings.limits
        )
        batch_handlers = batches.Batches(
            source,
            daemon.key_value,
            daemon.peers,
            daemon.vm_list,
            entry_settings.limits,
            replica_client,
        )
        operator_handlers = operator_api.Handler(
            follower,
            daemon.key_value,
            entry_settings,
            queries,
            functools.partial(engine_control.read_load, endpoint_client),
        )
        status_handlers = job_status.JobStatuses(
            batch_handlers, operator_handlers.authenticate
        )

        async def drain() -> None:
            await anyio.sleep(entry_settings.drain_notice_s)
            await components.admitter.drain()
            with anyio.move_on_after(RELEASE_TIMEOUT_S):
                await components.rates.release_all()
                await order_runner.release_shard()

        daemon.is_ready = False
        daemon.task_group.start_soon(
            become_ready, daemon, source, entry_settings
        )
        await daemon.serve(
            [
                *online_routes(pipeline, source, entry_settings.limits),
                *model_routes(source),
                *file_handlers.routes(),
                *batch_handlers.routes(),
                *operator_handlers.routes(),
                *status_handlers.routes(),
            ],
            tls_files=entry_settings.tls,
            drain=drain,
            drain_timeout_s=entry_settings.drain_timeout_s,
            limits=entry_settings.limits,
        )
        await endpoint_client.aclose()


def main() -> None:
    """Entry point of the program."""
    arguments = cappa.parse(Arguments, version=ibisknot.__version__)
    entry_settings = settings.load_or_exit(
        arguments.settings,
        settings.Entry,
        check_only=arguments.check_settings,
    )
    program.run(run, entry_settings)
