"""`ibisknot-standin-vms`: the platform's VM list, with lag."""

import dataclasses
from typing import Annotated

import anyio
import cappa
import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

import ibisknot
from ibisknot import vmlist
from ibisknot import web
from ibisknot.standins import standin


class Service:
    """Serves a list of VMs; a change shows after `lag_s` seconds."""

    def __init__(self, *, lag_s: float) -> None:
        self.lag_s = lag_s
        self.shown: list[vmlist.ListedVm] = []
        self.pending: list[tuple[float, list[vmlist.ListedVm]]] = []

    def routes(self) -> list[routing.BaseRoute]:
        """Returns the routes."""
        return [
            routing.Route("/vms", self.show, methods=["GET"]),
            routing.Route("/admin/vms", self.replace, methods=["POST"]),
        ]

    async def show(self, _request: requests.Request) -> responses.Response:
        """Returns the list as the platform shows it now."""
        now = anyio.current_time()
        while self.pending and self.pending[0][0] <= now:
            self.shown = self.pending.pop(0)[1]
        return web.json_response(self.shown)

    async def replace(self, request: requests.Request) -> responses.Response:
        """Replaces the list; the first one shows at once."""
        body = await request.body()
        wanted = msgspec.json.decode(body, type=list[vmlist.ListedVm])
        first = not self.shown and not self.pending
        lag_s = 0.0 if first else self.lag_s
        self.pending.append((anyio.current_time() + lag_s, wanted))
        return web.json_response({"shown_after_s": lag_s})


@dataclasses.dataclass
class Arguments:
    """Stands in for the platform's list of live and leaving VMs."""

    address: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    port: Annotated[int, cappa.Arg(long=True)] = 2380
    lag_s: Annotated[float, cappa.Arg(long=True)] = 1.0


def main() -> None:
    """Entry point of the program."""
    arguments = cappa.parse(Arguments, version=ibisknot.__version__)
    service = Service(lag_s=arguments.lag_s)
    standin.run(
        service.routes(), address=arguments.address, port=arguments.port
    )
