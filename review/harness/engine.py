"""Stand-in for a model engine of the platform."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import math
import time

import store
import wire

HEARTBEAT_S = 1.2
SLOTS = 8
EVENT_S = 0.01


@dataclasses.dataclass(slots=True)
class Run:
    """One request that an engine began to run.

    Attributes:
        at_s: Monotonic time at which it began.
        end_s: Monotonic time of its end; infinite while it runs.
        is_whole: Whether all events were sent.
    """

    at_s: float
    engine: str
    request_id: str
    target: str
    tenant: str
    last_event_id: int
    end_s: float = math.inf
    is_whole: bool = False


Behaviour = Callable[
    ["Engine", wire.Message, asyncio.StreamWriter], Awaitable[bool | None]
]
"""Answers a request in place of the engine; None leaves it to the engine."""


class Engine:
    """An engine that answers with a stream of numbered events.

    Attributes:
        runs: All requests that began to run.
        behaviour: Answers in place of this engine, if there is one.
        make_text: Returns the data of an event from the request's id and the
            event's number.
    """

    def __init__(
        self,
        name: str,
        address: str,
        platform: store.Store,
        *,
        service: str,
        zone: str,
    ) -> None:
        self.name = name
        self.address = address
        self.platform = platform
        self.service = service
        self.zone = zone
        self.slots = asyncio.Semaphore(SLOTS)
        self.event_s = EVENT_S
        self.make_text = event_text
        self.runs: list[Run] = []
        self.behaviour: Behaviour | None = None
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)

    async def start(self) -> None:
        """Listens, and writes its entry to the store."""
        await wire.serve(self.address, self.handle)
        self.heartbeat = asyncio.create_task(self._report())

    async def _report(self) -> None:
        while True:
            self.sequence += 1
            await self.platform.write(
                f"servers/{self.name}",
                {
                    "Service": self.service,
                    "Address": self.address,
                    "Zone": self.zone,
                    "Version": "v1",
                    "Slots": SLOTS,
                    "State": "ready",
                    "ColdRemainingMs": 0,
                    "Stage": "both",
                    "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
                    "Seq": self.sequence,
                    "born": self.born_ms,
                },
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(
        self, request: wire.Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Runs one request."""
        headers = request.headers
        request_id = headers.get("x-ibisknot-request-id", "")
        own = {"X-Ibisknot-Request-Id": request_id}
        expected = headers.get("x-ibisknot-expect-instance", self.name)
        if expected != self.name:
            wire.respond(writer, 421, b"", own)
            return True
        if self.behaviour is not None:
            done = await self.behaviour(self, request, writer)
            if done is not None:
                return done
        async with self.slots:
            run = self.record_run(request)
            try:
                await self.stream(request, writer)
                run.is_whole = True
            finally:
                run.end_s = time.monotonic()
        return True

    def record_run(self, request: wire.Message) -> Run:
        """Records that a request began to run."""
        headers = request.headers
        run = Run(
            time.monotonic(),
            self.name,
            headers.get("x-ibisknot-request-id", ""),
            request.start[1],
            headers.get("x-ibisknot-tenant", ""),
            int(headers.get("last-event-id", "0")),
        )
        self.runs.append(run)
        return run

    async def stream(
        self, request: wire.Message, writer: asyncio.StreamWriter
    ) -> None:
        """Sends the events of a request, in chunks."""
        headers = request.headers
        request_id = headers.get("x-ibisknot-request-id", "")
        usage = headers.get("x-ibisknot-token-usage", "1,4")
        first = int(headers.get("last-event-id", "0")) + 1
        last = int(usage.partition(",")[2])
        writer.write(
            "HTTP/1.1 200 OK\r\n"
            f"X-Ibisknot-Request-Id: {request_id}\r\n"
            f"X-Ibisknot-Response-Stamp: {self.name}.{request_id}\r\n"
            "X-Ibisknot-Weight-Versions: 1\r\n"
            "Content-Type: text/event-stream\r\n"
            "Keep-Alive: timeout=5\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode("latin-1")
        )
        for number in range(first, last + 1):
            await asyncio.sleep(self.event_s)
            if writer.is_closing():
                raise ConnectionResetError("the caller has left")
            text = self.make_text(request_id, number)
            event = f"id: {number}\ndata: {text}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def event_text(request_id: str, number: int) -> str:
    """Returns the data of an event."""
    return f"{request_id}.{number}"


def whole_output(request_id: str, events: int) -> str:
    """Returns the output that a complete item must have."""
    return "\n".join(event_text(request_id, n) for n in range(1, events + 1))
