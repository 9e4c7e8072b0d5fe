"""Stands in for a model engine, as the platform's protocol describes it.

It writes its entry to the store, runs as many requests at once as it has
slots, and answers each with numbered events, as many as the output tokens that
the request names. A request with the body `--deadly` crashes it as soon as it
begins to run. With `--flood` its first answers are, after their head, a
text without end, until the caller closes the channel.
"""

import argparse
import asyncio
import http.client
import json
import os
import signal
import time
from typing import Any
from urllib import parse

import web

HEARTBEAT_S = 1.2
SILENT_HEARTBEATS = 3
FLOOD_BYTES = 64 * 1024


class Engine:
    """The engine."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.arguments = arguments
        self.slots = asyncio.Semaphore(arguments.slots)
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self.running = 0
        self.floods_left = arguments.flood_count
        self.flood = arguments.flood.encode().decode("unicode_escape").encode()

    def note(self, event: str, **fields: Any) -> None:
        """Writes what the engine saw to its log."""
        line = {"t": round(time.time(), 3), "engine": self.arguments.name}
        print(json.dumps(line | {"event": event} | fields), flush=True)

    def write_entry(self) -> None:
        """Writes the entry to the store."""
        self.sequence += 1
        arguments = self.arguments
        entry = {
            "Service": arguments.service,
            "Address": f"{arguments.address}:{arguments.port}",
            "Zone": arguments.zone,
            "Version": "v1",
            "Slots": arguments.slots,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Seq": self.sequence,
            "born": self.born_ms,
        }
        body = {
            "values": {f"servers/{arguments.name}": entry},
            "ttl_s": SILENT_HEARTBEATS * HEARTBEAT_S,
        }
        store = parse.urlsplit(arguments.store)
        channel = http.client.HTTPConnection(store.netloc, timeout=2.0)
        channel.request("POST", "/admin/put", json.dumps(body))
        channel.getresponse().read()
        channel.close()

    async def run_heartbeats(self) -> None:
        """Writes the entry periodically."""
        while True:
            try:
                await asyncio.to_thread(self.write_entry)
            except OSError:
                pass
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(
        self,
        request: web.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> web.Answer | None:
        """Runs one request."""
        if request.method == "GET":
            headers = {"X-Ibisknot-Instance-Id": self.arguments.name}
            return 200, headers, b""
        request_id = request.headers.get("x-ibisknot-request-id", "")
        headers = {
            "X-Ibisknot-Request-Id": request_id,
            "X-Ibisknot-Response-Stamp": f"{self.arguments.name}.{request_id}",
            "Keep-Alive": "timeout=5",
        }
        expected = request.headers.get("x-ibisknot-expect-instance")
        if expected not in (None, self.arguments.name):
            return 421, headers | {"X-Ibisknot-Not-Run": "1"}, b""
        reached_s = round(time.time(), 3)
        async with self.slots:
            self.running += 1
            self.note(
                "run",
                id=request_id,
                reached=reached_s,
                tenant=request.headers.get("x-ibisknot-tenant"),
                last_event_id=request.headers.get("last-event-id"),
                running=self.running,
            )
            if self.arguments.deadly.encode() == request.body:
                # It crashes like a process that is killed.
                os.kill(os.getpid(), signal.SIGKILL)
            try:
                return await self._answer(request, headers, reader, writer)
            except ConnectionError:
                self.note("left", id=request_id)
                return None
            finally:
                self.running -= 1

    async def _answer(
        self,
        request: web.Request,
        headers: dict[str, str],
        _reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> web.Answer | None:
        head = ["HTTP/1.1 200 OK"]
        head += [f"{name}: {value}" for name, value in headers.items()]
        head += ["Content-Type: text/event-stream"]
        if self.flood and self.floods_left > 0:
            self.floods_left -= 1
            self.note("flood", id=headers["X-Ibisknot-Request-Id"])
            # An answer may have no length and end with its channel.
            head += ["Connection: close", "", ""]
            writer.write("\r\n".join(head).encode())
            piece = self.flood * (FLOOD_BYTES // len(self.flood))
            while True:
                writer.write(piece)
                await writer.drain()
        head += ["Transfer-Encoding: chunked", "", ""]
        writer.write("\r\n".join(head).encode())
        await asyncio.sleep(self.arguments.first_ms / 1000)
        first = int(request.headers.get("last-event-id", "0")) + 1
        usage = request.headers.get("x-ibisknot-token-usage", "0,5")
        last = int(usage.partition(",")[2])
        request_id = headers["X-Ibisknot-Request-Id"]
        for number in range(first, last + 1):
            await asyncio.sleep(self.arguments.event_ms / 1000)
            event = f"id: {number}\ndata: {request_id}.{number}\n\n"
            writer.write(f"{len(event):x}\r\n{event}\r\n".encode())
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.note("done", id=request_id)
        return web.SENT


async def main() -> None:
    """Runs the engine."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--store", required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--address", required=True)
    parser.add_argument("--port", type=int, default=8080)
    parser.add_argument("--service", default="llm")
    parser.add_argument("--zone", default="z1")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--event-ms", type=float, default=5.0)
    parser.add_argument("--first-ms", type=float, default=0.0)
    parser.add_argument("--deadly", default="")
    parser.add_argument("--flood", default="")
    parser.add_argument("--flood-count", type=int, default=0)
    arguments = parser.parse_args()
    engine = Engine(arguments)
    heartbeats = asyncio.create_task(engine.run_heartbeats())
    try:
        await web.serve(arguments.address, arguments.port, engine.handle)
    finally:
        heartbeats.cancel()


if __name__ == "__main__":
    asyncio.run(main())
