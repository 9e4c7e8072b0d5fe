"""`ibisknot-standin-vms`: the platform's VM list, which changes late."""

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
    """Serves a list of VMs.

    Attributes:
        lag_s: Seconds until a change becomes visible.
        visible_vms: The list that is served.
        pending_lists: Newer lists with the times at which they become
            visible, oldest first.
    """

    def __init__(self, *, lag_s: float) -> None:
        self.lag_s = lag_s
        self.visible_vms: list[vmlist.ListedVm] = []
        self.pending_lists: list[tuple[float, list[vmlist.ListedVm]]] = []

    def routes(self) -> list[routing.BaseRoute]:
        """Returns the routes."""
        return [
            routing.Route("/vms", self.list_vms, methods=["GET"]),
            routing.Route("/admin/vms", self.replace_vms, methods=["POST"]),
        ]

    async def list_vms(self, _request: requests.Request) -> responses.Response:
        """Returns the visible list."""
        now = anyio.current_time()
        while self.pending_lists and self.pending_lists[0][0] <= now:
            self.visible_vms = self.pending_lists.pop(0)[1]
        return web.json_response(self.visible_vms)

    async def replace_vms(
        self, request: requests.Request
    ) -> responses.Response:
        """Replaces the list; the first one becomes visible at once."""
        body = await request.body()
        vms = msgspec.json.decode(body, type=list[vmlist.ListedVm])
        is_first = not self.visible_vms and not self.pending_lists
        lag_s = 0.0 if is_first else self.lag_s
        self.pending_lists.append((anyio.current_time() + lag_s, vms))
        return web.json_response({"shown_after_s": lag_s})


@dataclasses.dataclass
class Arguments:
    """Stands in for the platform's list of active and draining VMs."""

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
