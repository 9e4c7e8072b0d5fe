"""Stand-in for the platform's metadata store."""

import asyncio
import base64
from collections.abc import Callable
import dataclasses
import json
import time
from typing import Any
import urllib.parse

import wire

LATENCY_S = 0.004
MAX_PAGE_ITEMS = 500
EXPIRY_PERIOD_S = 0.02
VALUE_BYTES = 1048576
"""Largest value, as `ValueBytes` in the settings of the processes."""


@dataclasses.dataclass(slots=True)
class Item:
    """One stored item."""

    value: str
    revision: int
    created: int
    lease: int = 0


@dataclasses.dataclass(slots=True)
class Lease:
    """One lease."""

    ttl_s: float
    expires_s: float


class Store:
    """A linearizable store that loses nothing.

    While it is down it answers 503, which says that nothing was done, and its
    leases pause.

    Attributes:
        address: Where it listens, `host:port`.
        items: The items by key.
        leases: The leases by id.
        events: The changes, oldest first.
        revision: Revision of the last change.
        is_down: Whether it answers 503 to everything.
        refused_sizes: Sizes of values that were too large, by key.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.items: dict[str, Item] = {}
        self.leases: dict[int, Lease] = {}
        self.events: list[tuple[int, str, Item | None]] = []
        self.revision = 100
        self.next_lease = 1
        self.changed = asyncio.Condition()
        self.is_down = False
        self.refused_sizes: list[tuple[str, int]] = []

    async def start(self) -> None:
        """Listens, and expires leases."""
        await wire.serve(self.address, self.handle)
        self.expiry = asyncio.create_task(self._expire())

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_PERIOD_S)
            now = time.monotonic()
            if self.is_down:
                for lease in self.leases.values():
                    lease.expires_s += EXPIRY_PERIOD_S
                continue
            ended = [n for n, le in self.leases.items() if le.expires_s < now]
            for number in ended:
                await self._end_lease(number)

    async def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item.lease == lease]
        if keys:
            await self.change({}, keys)

    async def change(
        self,
        puts: dict[str, tuple[str, int]],
        removed: list[str],
    ) -> int:
        """Applies puts (encoded value and lease) and removals."""
        self.revision += 1
        for key, (value, lease) in puts.items():
            known = self.items.get(key)
            created = known.created if known else self.revision
            item = Item(value, self.revision, created, lease)
            self.items[key] = item
            self.events.append((self.revision, key, item))
        for key in removed:
            if self.items.pop(key, None) is not None:
                self.events.append((self.revision, key, None))
        async with self.changed:
            self.changed.notify_all()
        return self.revision

    async def write(self, key: str, value: Any) -> int:
        """Writes a value as the operator or an engine does."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        return await self.change({key: (text, 0)}, [])

    async def handle(
        self, request: wire.Message, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers one call."""
        await asyncio.sleep(LATENCY_S)
        if self.is_down:
            wire.respond(writer, 503)
            return True
        path, _, query = request.start[1].partition("?")
        fields = dict(urllib.parse.parse_qsl(query))
        body = json.loads(request.body) if request.body else {}
        name, _, rest = path.lstrip("/").partition("/")
        handlers: dict[str, Callable[[], Any]] = {
            "kv-key": lambda: self._get(fields),
            "kv-range": lambda: self._range(fields),
            "kv-watch": lambda: self._watch(fields),
            "kv-txn": lambda: self._transact(body),
            "kv-lease": lambda: self._grant(body),
            "kv-keep": lambda: self._keep(int(rest)),
            "kv-lease-end": lambda: self._end(int(rest)),
        }
        status, answer = await handlers[name]()
        wire.respond(
            writer,
            status,
            json.dumps(answer).encode(),
            {"Content-Type": "application/json"},
        )
        return True

    def _encode(self, key: str, item: Item) -> dict[str, Any]:
        return {
            "Key": key,
            "Value": item.value,
            "Revision": item.revision,
            "Created": item.created,
            "Lease": item.lease,
        }

    async def _get(self, fields: dict[str, str]) -> tuple[int, Any]:
        item = self.items.get(fields["Key"])
        if item is None:
            return 404, {}
        encoded = self._encode(fields["Key"], item)
        return 200, encoded | {"StoreRevision": self.revision}

    async def _range(self, fields: dict[str, str]) -> tuple[int, Any]:
        keys = sorted(
            k
            for k in self.items
            if k.startswith(fields["Prefix"]) and k > fields.get("After", "")
        )
        page = keys[:MAX_PAGE_ITEMS]
        return 200, {
            "Items": [self._encode(k, self.items[k]) for k in page],
            "HasMore": len(keys) > len(page),
            "StoreRevision": self.revision,
        }

    async def _watch(self, fields: dict[str, str]) -> tuple[int, Any]:
        after, prefix = int(fields["After"]), fields["Prefix"]
        end_s = time.monotonic() + min(30.0, int(fields["WaitMs"]) / 1000)
        while True:
            events = [
                self._encode(k, item)
                if item is not None
                else {"Key": k, "Revision": n, "Tombstone": True}
                for n, k, item in self.events
                if n > after and k.startswith(prefix)
            ]
            left_s = end_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "StoreRevision": self.revision}
            try:
                async with asyncio.timeout(left_s), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                pass

    async def _transact(self, body: dict[str, Any]) -> tuple[int, Any]:
        puts = body.get("Puts", [])
        for put in puts:
            if put.get("Lease") and put["Lease"] not in self.leases:
                return 404, {}
            if put["Key"].startswith(("op/", "servers/")):
                return 403, {}
            size = len(base64.b64decode(put["Value"]))
            if size > VALUE_BYTES:
                self.refused_sizes.append((put["Key"], size))
                return 400, {}
        for guard in body.get("ExpectedRev", []):
            item = self.items.get(guard["Key"])
            if guard["Revision"] != (item.revision if item else 0):
                return 412, {"Items": []}
        revision = await self.change(
            {p["Key"]: (p["Value"], p.get("Lease", 0)) for p in puts},
            body.get("Remove", []),
        )
        return 200, {"Revision": revision}

    async def _grant(self, body: dict[str, Any]) -> tuple[int, Any]:
        ttl_s = body["TtlMs"] / 1000
        lease = self.next_lease
        self.next_lease += 1
        self.leases[lease] = Lease(ttl_s, time.monotonic() + ttl_s)
        return 200, {"Lease": lease, "TtlMs": body["TtlMs"]}

    async def _keep(self, lease_id: int) -> tuple[int, Any]:
        lease = self.leases.get(lease_id)
        if lease is None:
            return 404, {}
        lease.expires_s = time.monotonic() + lease.ttl_s
        return 200, {"TtlMs": int(lease.ttl_s * 1000)}

    async def _end(self, lease_id: int) -> tuple[int, Any]:
        if lease_id not in self.leases:
            return 404, {}
        await self._end_lease(lease_id)
        return 200, {}
