"""`ibisknot-entry`: the callers' and operators' entry on every VM."""

import dataclasses
from typing import Annotated
from typing import Any

import anyio
import cappa
from starlette import requests
from starlette import responses
from starlette import routing

import ibisknot
from ibisknot import batches
from ibisknot import dispatch
from ibisknot import distribution
from ibisknot import engine
from ibisknot import errors
from ibisknot import exchange
from ibisknot import files
from ibisknot import logs
from ibisknot import online
from ibisknot import operators
from ibisknot import program
from ibisknot import replicas
from ibisknot import settings
from ibisknot import vmlist
from ibisknot import web
from ibisknot.gen.config import ttypes

STATUS_TIMEOUT_S = 1.0


@dataclasses.dataclass
class Arguments:
    """Serves callers and operators on one VM."""

    settings: Annotated[str, cappa.Arg(help="Settings file.")]
    check_settings: Annotated[
        bool, cappa.Arg(long=True, help="Check the settings file and exit.")
    ] = False


def online_pipeline(
    daemon: program.Daemon,
    source: distribution.Distribution,
    engines: engine.Engines,
) -> exchange.Next:
    """Puts the online path together."""
    return exchange.pipeline(
        online.trace,
        online.account,
        online.identify(source),
        online.authenticate(source),
        online.limit_rate_static(source, lambda: len(daemon.vms.live())),
        online.check_whole,
        dispatch.naive_filter(source, engines),
    )


def online_routes(
    step: exchange.Next, limits: settings.Limits
) -> list[routing.BaseRoute]:
    """Returns the routes of the online path."""
    handle = online.handler(step, limits)
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


async def run(loaded: settings.Entry) -> None:
    """Runs the program until it is told to stop."""
    async with program.daemon(loaded, name="ibisknot-entry") as daemon:
        source = distribution.Distribution(daemon.store)
        engines = engine.Engines(overrides=loaded.address_overrides)
        daemon.group.start_soon(source.run)
        daemon.clock.subscribe(
            "configuration", distribution.READ_PERIOD_S, source.refresh
        )
        copies = replicas.Replicas(
            daemon.peers, daemon.vms, port=loaded.store_port
        )

        async def in_force(_ask: ttypes.VersionAsk) -> Any:
            return ttypes.VersionInForce(version=source.current.version)

        async def ask_version(vm: vmlist.ListedVm) -> int | None:
            try:
                answer = await daemon.peers.call(
                    f"{vm.address}:{loaded.peer_port}",
                    "version_in_force",
                    ttypes.VersionAsk(),
                    ttypes.VersionInForce,
                    timeout_s=STATUS_TIMEOUT_S,
                )
            except errors.IbisknotError:
                return None
            return answer.version

        daemon.server.on("version_in_force", ttypes.VersionAsk, in_force)
        step = online_pipeline(daemon, source, engines)
        file_handlers = files.Files(source, daemon.store, copies, loaded.limits)
        batch_handlers = batches.Batches(
            source, daemon.store, daemon.peers, daemon.vms, loaded.limits
        )
        operator_handlers = operators.Operators(
            source, daemon.store, daemon.vms, loaded, ask_version
        )

        async def drain() -> None:
            await anyio.sleep(loaded.drain_notice_s)

        logs.event("entry_ready", vm=loaded.vm.name, policy=loaded.policy)
        await daemon.serve(
            [
                *online_routes(step, loaded.limits),
                *model_routes(source),
                *file_handlers.routes(),
                *batch_handlers.routes(),
                *operator_handlers.routes(),
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
