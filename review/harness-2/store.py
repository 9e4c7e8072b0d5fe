"""Stands in for the platform's metadata store, as its protocol describes it.

`/admin/...` is for the test alone: it writes as the operator or an engine and
sets faults.
"""

import argparse
import asyncio
import base64
import itertools
import json
import time
from typing import Any

import web

MAX_PAGE_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000
HISTORY_S = 20.0
PROTECTED = ("op/", "servers/")


class Item:
    """One stored key."""

    def __init__(
        self, key: str, value: str, revision: int, created: int, lease: int
    ) -> None:
        self.key = key
        self.value = value
        self.revision = revision
        self.created = created
        self.lease = lease

    def encode(self) -> dict[str, Any]:
        """Returns it as the protocol shows it."""
        return {
            "Key": self.key,
            "Value": self.value,
            "Revision": self.revision,
            "Created": self.created,
            "Lease": self.lease,
        }


class Store:
    """The store.

    `faults` may hold: `answer_ms`, the time of each answer; `late_keys`, a
    prefix of keys: the next `late_count` transactions that write one of them
    get no answer and are done `late_s` later, if their condition still holds;
    with `late_alone` only those that write nothing else.
    """

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.history: list[tuple[float, int, str, dict[str, Any]]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.entry_ends_s: dict[str, float] = {}
        self.lease_numbers = itertools.count(7)
        self.changed = asyncio.Event()
        self.faults: dict[str, Any] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.dropped_revision = 0
        self.writes = 0
        """Transactions since the faults were set last."""

    def _record(self, key: str, event: dict[str, Any]) -> None:
        self.history.append((time.monotonic(), self.revision, key, event))

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def write(
        self, puts: list[tuple[str, str, int]], removes: list[str]
    ) -> int:
        """Writes and removes keys at one new revision."""
        self.revision += 1
        for key, value, lease in puts:
            before = self.items.get(key)
            created = self.revision if before is None else before.created
            item = Item(key, value, self.revision, created, lease)
            self.items[key] = item
            self._record(key, item.encode())
        for key in removes:
            if self.items.pop(key, None) is not None:
                tombstone = {
                    "Key": key,
                    "Revision": self.revision,
                    "Tombstone": True,
                }
                self._record(key, tombstone)
        self._wake()
        return self.revision

    def expire(self) -> None:
        """Ends leases and engines' entries whose time is over."""
        now = time.monotonic()
        ended = {n for n, (_, end_s) in self.leases.items() if end_s <= now}
        for number in ended:
            del self.leases[number]
        gone = [k for k, item in self.items.items() if item.lease in ended]
        silent = [k for k, end_s in self.entry_ends_s.items() if end_s <= now]
        for key in silent:
            del self.entry_ends_s[key]
        if gone or silent:
            self.write([], gone + silent)
        while self.history and self.history[0][0] < now - HISTORY_S:
            self.dropped_revision = self.history.pop(0)[1]

    def read_key(self, request: web.Request) -> web.Answer:
        """Answers `GET /kv-key`."""
        item = self.items.get(request.query["Key"])
        if item is None:
            return web.json_answer({}, 404)
        return web.json_answer(item.encode() | {"StoreRevision": self.revision})

    def read_range(self, request: web.Request) -> web.Answer:
        """Answers `GET /kv-range`."""
        prefix, after = request.query["Prefix"], request.query.get("After", "")
        keys = sorted(
            k for k in self.items if k.startswith(prefix) and k > after
        )
        page: list[dict[str, Any]] = []
        size = 0
        for key in keys:
            item = self.items[key]
            size += len(item.value)
            if page and (size > MAX_PAGE_BYTES or len(page) >= MAX_PAGE_ITEMS):
                break
            page.append(item.encode())
        return web.json_answer(
            {
                "Items": page,
                "HasMore": len(page) < len(keys),
                "StoreRevision": self.revision,
            }
        )

    async def watch(self, request: web.Request) -> web.Answer:
        """Answers `GET /kv-watch`."""
        prefix, after = request.query["Prefix"], int(request.query["After"])
        end_s = time.monotonic() + int(request.query["WaitMs"]) / 1000
        while True:
            if after < self.dropped_revision:
                return web.json_answer({}, 410)
            events = [
                event
                for _, revision, key, event in self.history
                if revision > after and key.startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return web.json_answer(
                    {"events": events, "StoreRevision": self.revision}
                )
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                pass

    def transact(self, body: dict[str, Any]) -> web.Answer:
        """Answers `POST /kv-txn`."""
        guards = body.get("ExpectedRev") or []
        puts = body.get("Puts") or []
        removes = body.get("Remove") or []
        if any(p["Key"].startswith(PROTECTED) for p in puts):
            return web.json_answer({}, 403)
        for guard in guards:
            item = self.items.get(guard["Key"])
            if guard["Revision"] != (0 if item is None else item.revision):
                found = [self.items.get(g["Key"]) for g in guards]
                shown = [i.encode() for i in found if i is not None]
                return web.json_answer({"Items": shown}, 412)
        if any(p.get("Lease") and p["Lease"] not in self.leases for p in puts):
            return web.json_answer({}, 404)
        revision = self.write(
            [(p["Key"], p["Value"], p.get("Lease", 0)) for p in puts], removes
        )
        return web.json_answer({"Revision": revision})

    def _is_late(self, body: dict[str, Any]) -> bool:
        """Returns whether a transaction is done later and not answered."""
        prefix = self.faults.get("late_keys")
        if not prefix or self.faults.get("late_count", 0) <= 0:
            return False
        puts = body.get("Puts") or []
        if not any(p["Key"].startswith(prefix) for p in puts):
            return False
        if self.faults.get("late_alone") and len(puts) > 1:
            return False
        self.faults["late_count"] -= 1
        return True

    async def _transact_later(self, body: dict[str, Any]) -> None:
        await asyncio.sleep(self.faults["late_s"])
        status, _, answer = self.transact(body)
        keys = [p["Key"] for p in body.get("Puts") or []]
        note = {"late": keys, "status": status, "answer": answer.decode()[:80]}
        print(json.dumps(note), flush=True)

    def grant(self, body: dict[str, Any]) -> web.Answer:
        """Answers `POST /kv-lease`."""
        ttl_s = max(1.0, body["TtlMs"] / 1000)
        number = next(self.lease_numbers)
        self.leases[number] = (ttl_s, time.monotonic() + ttl_s)
        return web.json_answer({"Lease": number, "TtlMs": int(ttl_s * 1000)})

    def keep(self, number: int) -> web.Answer:
        """Answers `POST /kv-keep/ID`."""
        if number not in self.leases:
            return web.json_answer({}, 404)
        ttl_s, _ = self.leases[number]
        self.leases[number] = (ttl_s, time.monotonic() + ttl_s)
        return web.json_answer({"Lease": number, "TtlMs": int(ttl_s * 1000)})

    def end_lease(self, number: int) -> web.Answer:
        """Answers `DELETE /kv-lease-end/ID`."""
        if self.leases.pop(number, None) is None:
            return web.json_answer({}, 404)
        self.write([], [k for k, i in self.items.items() if i.lease == number])
        return web.json_answer({})

    def admin(self, request: web.Request) -> web.Answer:
        """Answers the test's own calls."""
        body = request.json()
        if request.path == "/admin/faults":
            self.faults = body
            self.writes = 0
        elif request.path == "/admin/put":
            for key, value in body["values"].items():
                text = base64.b64encode(json.dumps(value).encode()).decode()
                self.write([(key, text, 0)], [])
                if body.get("ttl_s"):
                    end_s = time.monotonic() + body["ttl_s"]
                    self.entry_ends_s[key] = end_s
        elif request.path == "/admin/keys":
            keys = [k for k in self.items if k.startswith(body["prefix"])]
            return web.json_answer(sorted(keys))
        elif request.path == "/admin/writes":
            return web.json_answer(self.writes)
        return web.json_answer({})

    async def handle(
        self,
        request: web.Request,
        _reader: asyncio.StreamReader,
        _writer: asyncio.StreamWriter,
    ) -> web.Answer | None:
        """Answers one call."""
        self.expire()
        if request.path.startswith("/admin/"):
            return self.admin(request)
        await asyncio.sleep(self.faults.get("answer_ms", 4) / 1000)
        if request.path == "/kv-key":
            return self.read_key(request)
        if request.path == "/kv-range":
            return self.read_range(request)
        if request.path == "/kv-watch":
            return await self.watch(request)
        if request.path == "/kv-txn":
            body = request.json()
            self.writes += 1
            if self._is_late(body):
                task = asyncio.create_task(self._transact_later(body))
                self.tasks.add(task)
                # The channel gives no answer any more.
                await asyncio.sleep(30.0)
                return None
            return self.transact(body)
        if request.path == "/kv-lease":
            return self.grant(request.json())
        number = int(request.path.rpartition("/")[2])
        if request.path.startswith("/kv-keep/"):
            return self.keep(number)
        return self.end_lease(number)

    async def run_expiry(self) -> None:
        """Ends leases in time."""
        while True:
            await asyncio.sleep(0.05)
            self.expire()


async def main() -> None:
    """Runs the store."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--address", required=True)
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    store = Store()
    expiry = asyncio.create_task(store.run_expiry())
    try:
        await web.serve(arguments.address, arguments.port, store.handle)
    finally:
        expiry.cancel()


if __name__ == "__main__":
    asyncio.run(main())
