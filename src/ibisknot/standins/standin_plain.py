"""`ibisknot-standin-plain`: a service that counts the runs of requests."""

import dataclasses
from typing import Annotated

import anyio
import cappa
from starlette import requests
from starlette import responses
from starlette import routing

import ibisknot
from ibisknot import web
from ibisknot.standins import standin

METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]
IDEMPOTENCY_KEY_HEADER = "idempotency-key"


class Service:
    """Counts runs by idempotency key, or by request id without one.

    Attributes:
        delay_s: Seconds that a request takes.
        runs: Number of runs by key.
    """

    def __init__(self, *, delay_s: float) -> None:
        self.delay_s = delay_s
        self.runs: dict[str, int] = {}

    def routes(self) -> list[routing.BaseRoute]:
        """Returns the routes."""
        return [
            routing.Route("/admin/runs", self.list_runs),
            routing.Route("/{path:path}", self.handle, methods=METHODS),
        ]

    async def handle(self, request: requests.Request) -> responses.Response:
        """Runs a request and returns what arrived."""
        request_id = request.headers.get("x-request-id", "")
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER, request_id)
        self.runs[key] = self.runs.get(key, 0) + 1
        body = await request.body()
        await anyio.sleep(self.delay_s)
        return web.json_response(
            {
                "key": key,
                "run": self.runs[key],
                "path": request.url.path,
                "query": str(request.url.query),
                "headers": dict(request.headers),
                "body": body.decode(errors="replace"),
            }
        )

    async def list_runs(self, _request: requests.Request) -> responses.Response:
        """Returns the number of runs by key."""
        return web.json_response(self.runs)


@dataclasses.dataclass
class Arguments:
    """Stands in for a plain service."""

    address: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    port: Annotated[int, cappa.Arg(long=True)] = 9100
    delay_s: Annotated[float, cappa.Arg(long=True)] = 0.01


def main() -> None:
    """Entry point of the program."""
    arguments = cappa.parse(Arguments, version=ibisknot.__version__)
    service = Service(delay_s=arguments.delay_s)
    standin.run(
        service.routes(), address=arguments.address, port=arguments.port
    )
