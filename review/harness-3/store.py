"""Stand-in of the platform's store, as the platform's pages describe it.

It runs as a process of its own. Paths below `/admin/` are for the test alone.
"""

import asyncio
import json
import random
import sys
import time
from urllib import parse

import wire

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
DELAY_S = 0.004
LOST_S = 10.0
"""A channel on which an answer is lost returns nothing further."""


class Store:
    """Keys with revisions, leases and a history."""

    def __init__(self) -> None:
        self.revision = 100
        self.items: dict[str, dict] = {}
        self.history: list[dict] = []
        self.leases: dict[int, list[float]] = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.silent_until_s = 0.0
        self.silent_for: set[str] = set()
        self.lose_until_s = 0.0
        self.lose_share = 0.0
        self.lose_late_s = 0.0
        self.rng = random.Random(1)
        self.tasks: set[asyncio.Task[None]] = set()

    def record(self, event: dict) -> None:
        """Appends a change to the history."""
        self.history.append(event)
        del self.history[:-20000]
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key: str, value: str, lease: int) -> None:
        """Sets a key at the current revision."""
        old = self.items.get(key)
        item = {
            "Key": key,
            "Value": value,
            "Revision": self.revision,
            "Created": old["Created"] if old else self.revision,
            "Lease": lease,
        }
        self.items[key] = item
        self.record(item)

    def delete(self, key: str) -> None:
        """Removes a key at the current revision."""
        if self.items.pop(key, None) is not None:
            self.record(
                {"Key": key, "Revision": self.revision, "Tombstone": True}
            )

    def end_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        self.leases.pop(lease, None)
        keys = [k for k, i in self.items.items() if i["Lease"] == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self.delete(key)

    async def expire(self) -> None:
        """Ends leases that were not renewed."""
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (end_s, _) in list(self.leases.items()):
                if end_s < now:
                    self.end_lease(lease)

    def transact(self, call: dict) -> tuple[int, dict]:
        """Applies a write call if its conditions hold."""
        current = []
        holds = True
        for row in call.get("ExpectedRev", []):
            item = self.items.get(row["Key"])
            revision = item["Revision"] if item else 0
            holds = holds and revision == row["Revision"]
            if item:
                current.append(item)
        if not holds:
            return 412, {"Items": current}
        puts = call.get("Puts", [])
        for entry in puts:
            lease = entry.get("Lease", 0)
            if lease and lease not in self.leases:
                return 404, {}
        self.revision += 1
        for entry in puts:
            self.put(entry["Key"], entry["Value"], entry.get("Lease", 0))
        for key in call.get("Remove", []):
            self.delete(key)
        return 200, {"Revision": self.revision}

    def page(self, query: dict) -> dict:
        """Returns one page of a listing."""
        prefix, after = query["Prefix"], query.get("After", "")
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        items: list[dict] = []
        size = 0
        for key in keys:
            size += len(self.items[key]["Value"])
            if items and (len(items) >= PAGE_ITEMS or size > PAGE_BYTES):
                break
            items.append(self.items[key])
        return {
            "Items": items,
            "HasMore": len(items) < len(keys),
            "StoreRevision": self.revision,
        }

    async def watch(self, query: dict) -> dict:
        """Returns the changes after a revision, when there are some."""
        prefix, after = query["Prefix"], int(query["After"])
        end_s = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        while True:
            changed = self.changed
            events = [
                e
                for e in self.history
                if e["Revision"] > after and e["Key"].startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "StoreRevision": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                pass

    async def answer(self, request: wire.Request) -> tuple[int, dict]:
        """Returns the status and body for a call."""
        path, _, query_text = request.target.partition("?")
        query = dict(parse.parse_qsl(query_text))
        body = json.loads(request.body) if request.body else {}
        if path == "/kv-key":
            item = self.items.get(query["Key"])
            if item is None:
                return 404, {}
            return 200, item | {"StoreRevision": self.revision}
        if path == "/kv-range":
            return 200, self.page(query)
        if path == "/kv-watch":
            return 200, await self.watch(query)
        if path == "/kv-txn":
            return self.transact(body)
        if path == "/kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl_s = max(1.0, body["TtlMs"] / 1000)
            self.leases[lease] = [time.monotonic() + ttl_s, ttl_s]
            return 200, {"Lease": lease, "TtlMs": ttl_s * 1000}
        if path.startswith("/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self.leases:
                return 404, {}
            ttl_s = self.leases[lease][1]
            self.leases[lease][0] = time.monotonic() + ttl_s
            return 200, {"TtlMs": ttl_s * 1000}
        if path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rpartition("/")[2]))
            return 200, {}
        if path == "/admin/put":
            self.revision += 1
            for key, value in body.items():
                if value is None:
                    self.delete(key)
                else:
                    self.put(key, value, 0)
            return 200, {"Revision": self.revision}
        if path == "/admin/silent":
            self.silent_until_s = time.monotonic() + body["seconds"]
            self.silent_for = set(body.get("only", []))
            return 200, {}
        if path == "/admin/lose":
            self.lose_until_s = time.monotonic() + body["seconds"]
            self.lose_share = body["share"]
            self.lose_late_s = body.get("late_s", 0.0)
            return 200, {}
        return 404, {}

    async def lose(self, request: wire.Request) -> None:
        """Makes a write, perhaps seconds later, and does not answer it."""
        if self.lose_late_s:
            await asyncio.sleep(self.rng.uniform(1.0, self.lose_late_s))
        self.transact(json.loads(request.body))

    def is_lost(self, request: wire.Request) -> bool:
        """Returns whether the answer to a write is to be lost."""
        return (
            request.target == "/kv-txn"
            and time.monotonic() < self.lose_until_s
            and self.rng.random() < self.lose_share
        )

    def is_silent(self, request: wire.Request) -> bool:
        """Returns whether the test has made the store silent."""
        if request.target.startswith("/admin/"):
            return False
        if time.monotonic() >= self.silent_until_s:
            return False
        return not self.silent_for or request.peer in self.silent_for

    async def handle(
        self, request: wire.Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers one call."""
        if self.is_silent(request):
            await asyncio.sleep(self.silent_until_s - time.monotonic())
            return False
        await asyncio.sleep(DELAY_S)
        if self.is_lost(request):
            task = asyncio.create_task(self.lose(request))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(LOST_S)
            return False
        status, body = await self.answer(request)
        writer.write(
            wire.encode_response(
                status,
                json.dumps(body).encode(),
                {"Content-Type": "application/json"},
            )
        )
        await writer.drain()
        return True


async def main(address: str) -> None:
    """Serves the store until the process is killed."""
    host, _, port = address.rpartition(":")
    store = Store()
    await wire.serve(host, int(port), store.handle)
    await store.expire()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
