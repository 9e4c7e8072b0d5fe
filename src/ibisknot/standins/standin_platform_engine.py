"""`ibisknot-standin-platform-engine`: a model engine of the users' platform.

It writes its entry to the key-value service, runs as many requests at once as
it has slots, responds to each with a stream of numbered events, and resumes
streams.
"""

from collections.abc import AsyncIterator
import dataclasses
import time
from typing import Annotated

import anyio
import cappa
import httpx
import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

import ibisknot
from ibisknot import web
from ibisknot.standins import standin

HEARTBEAT_PERIOD_S = 0.5
REQUEST_ID_HEADER = "X-Ibisknot-Request-Id"


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of the engine.

    Attributes:
        cut_after: Number of events after which streams end early; -1 means
            never.
        half_event: Whether they end in the middle of an event.
        status: Status of all responses.
        silent: Whether the engine stops writing its entry.
        request_limit: Requests a second that the engine names as its limit;
            -1 means none.
        leaving: Text of the header by which responses say that the engine is
            about to leave; empty for no header.
        event_s: Pause before each event in seconds; 0 means the one of the
            arguments.
    """

    cut_after: int = -1
    half_event: bool = False
    status: int = 200
    silent: bool = False
    request_limit: float = -1.0
    leaving: str = ""
    event_s: float = 0.0


@dataclasses.dataclass
class Arguments:
    """Stands in for a model engine of the users' platform."""

    store: Annotated[str, cappa.Arg(long=True)]
    name: Annotated[str, cappa.Arg(long=True)]
    service: Annotated[str, cappa.Arg(long=True)] = "llm"
    zone: Annotated[str, cappa.Arg(long=True)] = "d1"
    address: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    port: Annotated[int, cappa.Arg(long=True)] = 8080
    slots: Annotated[int, cappa.Arg(long=True)] = 4
    event_s: Annotated[float, cappa.Arg(long=True)] = 0.01
    software: Annotated[str, cappa.Arg(long=True)] = "v1"


class Engine:
    """The engine.

    Attributes:
        arguments: Arguments of the program.
        faults: Faults in force.
        slots: Limits the requests that run at the same time.
        runs: The requests that began to run, in order.
        state: `ready` or `draining`.
        entry_sequence: Number of times that the entry was written.
        started_ms: Start time in Unix milliseconds.
    """

    def __init__(self, arguments: Arguments) -> None:
        self.arguments = arguments
        self.faults = Faults()
        self.slots = anyio.Semaphore(arguments.slots)
        self.runs: list[dict[str, str]] = []
        self.state = "ready"
        self.entry_sequence = 0
        self.started_ms = int(time.time() * 1000)

    def routes(self) -> list[routing.BaseRoute]:
        """Returns the routes."""
        return [
            routing.Route("/admin/faults", self.set_faults, methods=["POST"]),
            routing.Route("/admin/drain", self.drain, methods=["POST"]),
            routing.Route("/admin/runs", self.list_runs),
            routing.Route("/{path:path}", self.serve, methods=["POST"]),
        ]

    async def serve(self, request: requests.Request) -> responses.Response:
        """Runs a request."""
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        headers = {
            REQUEST_ID_HEADER: request_id,
            "X-Ibisknot-Response-Stamp": f"s-{request_id}",
        }
        if self.faults.request_limit >= 0.0:
            headers["Server-Limit"] = str(self.faults.request_limit)
        if self.faults.leaving:
            headers["Server-Leaving"] = self.faults.leaving
        expected = request.headers.get("X-Ibisknot-Expect-Instance")
        if expected not in (None, self.arguments.name):
            return responses.Response(status_code=421, headers=headers)
        body = await request.body()
        self.runs.append(
            {
                "id": request_id,
                "tenant": request.headers.get("X-Ibisknot-Tenant", ""),
                "authorization": request.headers.get("Authorization", ""),
                "target": str(request.url.path),
                "last_event_id": request.headers.get("Last-Event-Id", ""),
                "body": body.decode("latin-1"),
                "received_s": str(time.monotonic()),
            }
        )
        if self.faults.status != 200:
            return responses.Response(
                status_code=self.faults.status, headers=headers
            )
        first_id = int(request.headers.get("Last-Event-Id", "0")) + 1
        last_id = int(request.headers.get("X-Ibisknot-Token-Usage", "0,5")[2:])
        return responses.StreamingResponse(
            self.stream_events(request_id, first_id, last_id),
            headers=headers,
            media_type="text/event-stream",
        )

    async def stream_events(
        self, request_id: str, first_id: int, last_id: int
    ) -> AsyncIterator[bytes]:
        """Yields the events with ids from `first_id` to `last_id`."""
        async with self.slots:
            for sent, event_id in enumerate(range(first_id, last_id + 1)):
                if sent == self.faults.cut_after:
                    if self.faults.half_event:
                        yield f"id: {event_id}\nda".encode()
                    raise ConnectionAbortedError("cut by a fault")
                await anyio.sleep(self.faults.event_s or self.arguments.event_s)
                yield (
                    f"id: {event_id}\ndata: {request_id}.{event_id}\n\n"
                ).encode()

    async def set_faults(self, request: requests.Request) -> responses.Response:
        """Sets the faults."""
        self.faults = web.decode_body(await request.body(), Faults)
        return web.json_response(self.faults)

    async def drain(self, _request: requests.Request) -> responses.Response:
        """Begins to drain: the entry says that the engine shuts down."""
        self.state = "draining"
        await self.write_entry()
        return web.json_response({})

    async def list_runs(self, _request: requests.Request) -> responses.Response:
        """Returns the requests that began to run."""
        return web.json_response(self.runs)

    async def write_entry(self) -> None:
        """Writes the engine's entry to the key-value service."""
        self.entry_sequence += 1
        arguments = self.arguments
        entry = {
            "Service": arguments.service,
            "Address": f"{arguments.address}:{arguments.port}",
            "Zone": arguments.zone,
            "Version": arguments.software,
            "Slots": arguments.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Seq": self.entry_sequence,
            "born": self.started_ms,
        }
        async with httpx.AsyncClient(trust_env=False) as client:
            await client.post(
                f"{arguments.store}/admin/operator",
                json={f"servers/{arguments.name}": entry},
            )

    async def run_heartbeats(self) -> None:
        """Writes the entry periodically until cancelled."""
        while True:
            try:
                if not self.faults.silent:
                    await self.write_entry()
            except httpx.HTTPError:
                # The service is not reachable; the next heartbeat tries again.
                pass
            await anyio.sleep(HEARTBEAT_PERIOD_S)


def main() -> None:
    """Entry point of the program."""
    arguments = cappa.parse(Arguments, version=ibisknot.__version__)
    engine = Engine(arguments)
    standin.run(
        engine.routes(),
        address=arguments.address,
        port=arguments.port,
        background=engine.run_heartbeats,
    )
