"""`ibisknot-standin-keyvalue`: etcd's v3 JSON interface with faults."""

import base64
import bisect
from collections.abc import AsyncIterator
import dataclasses
import math
import random
from typing import Annotated
from typing import Any

import anyio
import cappa
import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

import ibisknot
from ibisknot import web
from ibisknot.standins import standin

MAX_VALUE_BYTES = 1024 * 1024
EXPIRY_PERIOD_S = 0.05
MAX_EVENTS = 20_000


@dataclasses.dataclass(slots=True)
class Value:
    """A stored value.

    Attributes:
        create_revision: Revision at which the key was created.
        mod_revision: Revision of the last change.
        version: Number of writes since the key was created.
        lease_id: Id of the lease that the key is bound to, or 0.
    """

    data: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease; `expires_s` is a monotonic time."""

    ttl_s: float
    expires_s: float


@dataclasses.dataclass(slots=True)
class Event:
    """One change of a key; without a value the key was deleted."""

    revision: int
    key: bytes
    data: bytes | None
    value: Value | None


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Faults of the service.

    Attributes:
        delay_s: Seconds by which each call is delayed.
        down: Whether calls fail.
        lose_answers: Fraction of writes that take effect without a response.
        writes_per_s: Writes over this rate are refused.
        reads_per_s: Reads over this rate are refused.
        refuse: IP addresses of callers whose calls are refused.
        silent: Whether calls get no response within 60 seconds.
        late: Fraction of writes that take effect `late_s` seconds later,
            without a response.
    """

    delay_s: float = 0.0
    down: bool = False
    lose_answers: float = 0.0
    writes_per_s: float = 500.0
    reads_per_s: float = 2000.0
    refuse: list[str] = []
    silent: bool = False
    late: float = 0.0
    late_s: float = 1.0


class RateWindow(msgspec.Struct):
    """Counts the calls of the current second."""

    second: int = 0
    count: int = 0

    def count_call(self, now: float, limit: float) -> bool:
        """Counts a call; returns False if it is over the limit."""
        second = math.floor(now)
        if second != self.second:
            self.second, self.count = second, 0
        self.count += 1
        return self.count <= limit


class Database:
    """Keys, leases and revisions; callers pass the time in.

    Attributes:
        changed: Set, and then replaced, at each change.
    """

    def __init__(self) -> None:
        self.revision = 1
        self.values: dict[bytes, Value] = {}
        self.sorted_keys: list[bytes] = []
        self.leases: dict[int, Lease] = {}
        self.next_lease_id = 1000
        self.events: list[Event] = []
        self.changed = anyio.Event()

    def select_keys(self, key: bytes, range_end: bytes) -> list[bytes]:
        """Returns the keys of a range, or one key without an end, in order."""
        if not range_end:
            return [key] if key in self.values else []
        first = bisect.bisect_left(self.sorted_keys, key)
        last = bisect.bisect_left(self.sorted_keys, range_end)
        return self.sorted_keys[first:last]

    def _record_event(self, key: bytes, value: Value | None) -> None:
        data = value.data if value is not None else None
        self.events.append(Event(self.revision, key, data, value))
        del self.events[:-MAX_EVENTS]

    def put(self, key: bytes, data: bytes, lease_id: int) -> None:
        """Stores a value at the current revision."""
        old = self.values.get(key)
        if old is None:
            bisect.insort(self.sorted_keys, key)
        value = Value(
            data=data,
            create_revision=old.create_revision
            if old is not None
            else self.revision,
            mod_revision=self.revision,
            version=old.version + 1 if old is not None else 1,
            lease_id=lease_id,
        )
        self.values[key] = value
        self._record_event(key, value)

    def delete(self, key: bytes) -> None:
        """Deletes a key at the current revision."""
        if key in self.values:
            del self.values[key]
            self.sorted_keys.pop(bisect.bisect_left(self.sorted_keys, key))
            self._record_event(key, None)

    def holds(self, condition: dict[str, Any]) -> bool:
        """Returns whether a transaction's condition holds."""
        value = self.values.get(base64.b64decode(condition["key"]))
        target = condition.get("target", "MOD")
        if target == "MOD":
            actual = value.mod_revision if value is not None else 0
            expected = int(condition.get("mod_revision", 0))
        elif target == "CREATE":
            actual = value.create_revision if value is not None else 0
            expected = int(condition.get("create_revision", 0))
        elif target == "VERSION":
            actual = value.version if value is not None else 0
            expected = int(condition.get("version", 0))
        else:
            data = value.data if value is not None else b""
            return data == base64.b64decode(condition.get("value", ""))
        comparison = condition.get("result", "EQUAL")
        return {
            "EQUAL": actual == expected,
            "GREATER": actual > expected,
            "LESS": actual < expected,
            "NOT_EQUAL": actual != expected,
        }[comparison]

    def notify_watches(self) -> None:
        """Notifies the open watches of changes."""
        self.changed.set()
        self.changed = anyio.Event()

    def end_lease(self, lease_id: int) -> None:
        """Ends a lease and deletes its keys."""
        if self.leases.pop(lease_id, None) is None:
            return
        keys = [k for k, v in self.values.items() if v.lease_id == lease_id]
        if keys:
            self.revision += 1
        for key in keys:
            self.delete(key)
        self.notify_watches()

    def expire_leases(self, now: float) -> None:
        """Ends the leases that have expired."""
        expired = [n for n, le in self.leases.items() if le.expires_s <= now]
        for lease_id in expired:
            self.end_lease(lease_id)


class RefusedError(Exception):
    """The service refuses a call; `status` is the HTTP status."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status
        self.message = message


def _encode_base64(data: bytes) -> str:
    return base64.b64encode(data).decode()


class Service:
    """The HTTP interface.

    Attributes:
        calls: Number of calls by name.
        delayed: Writes to apply later: the remaining seconds, the operation,
            the request and its body.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self.database = Database()
        self.faults = Faults()
        self.rng = random.Random(seed)
        self.calls: dict[str, int] = {}
        self.read_window = RateWindow()
        self.write_window = RateWindow()
        self.open_watches = 0
        self.delayed: list[tuple[float, Any, requests.Request, bytes]] = []

    def routes(self) -> list[routing.BaseRoute]:
        """Returns the routes."""
        handlers = {
            "/v3/kv/range": self.read_range,
            "/v3/kv/put": self.put,
            "/v3/kv/deleterange": self.delete_range,
            "/v3/kv/txn": self.transact,
            "/v3/lease/grant": self.grant,
            "/v3/lease/keepalive": self.keep_alive,
            "/v3/lease/revoke": self.revoke,
        }
        table: list[routing.BaseRoute] = [
            routing.Route(path, self._handler(path, call), methods=["POST"])
            for path, call in handlers.items()
        ]
        table.append(routing.Route("/v3/watch", self.watch, methods=["POST"]))
        table.append(
            routing.Route("/admin/faults", self.set_faults, methods=["POST"])
        )
        table.append(routing.Route("/admin/calls", self.get_calls))
        return table

    def _handler(self, path: str, operation: Any) -> web.Handler:
        name = path.rpartition("/")[2]
        is_read = name == "range"

        async def handle(request: requests.Request) -> responses.Response:
            self.count_call(name)
            body = msgspec.json.decode(await request.body())
            try:
                await self.apply_faults(is_read=is_read)
                result = operation(body)
            except RefusedError as error:
                return web.json_response(
                    {"error": error.message, "code": 14}, status=error.status
                )
            if not is_read and self.rng.random() < self.faults.lose_answers:
                return standin.DroppedResponse()
            return web.json_response(result)

        return handle

    def count_call(self, name: str) -> None:
        """Counts a call by its name."""
        self.calls[name] = self.calls.get(name, 0) + 1

    async def apply_faults(self, *, is_read: bool) -> None:
        """Applies the faults that precede a call.

        Raises:
            RefusedError: The call is refused.
        """
        if self.faults.delay_s > 0:
            await anyio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise RefusedError(503, "the service is down")
        window = self.read_window if is_read else self.write_window
        limit = self.faults.reads_per_s if is_read else self.faults.writes_per_s
        if not window.count_call(anyio.current_time(), limit):
            raise RefusedError(429, "rate limit of the service exceeded")

    def _header(self) -> dict[str, str]:
        return {"revision": str(self.database.revision)}

    def _encode_pair(self, key: bytes, value: Value) -> dict[str, str]:
        return {
            "key": _encode_base64(key),
            "value": _encode_base64(value.data),
            "create_revision": str(value.create_revision),
            "mod_revision": str(value.mod_revision),
            "version": str(value.version),
            "lease": str(value.lease_id),
        }

    def read_range(self, body: dict[str, Any]) -> dict[str, Any]:
        """Reads a key or a range."""
        key = base64.b64decode(body["key"])
        end = base64.b64decode(body.get("range_end", ""))
        keys = self.database.select_keys(key, end)
        limit = int(body.get("limit", 0))
        returned = keys[:limit] if limit else keys
        pairs = [
            self._encode_pair(k, self.database.values[k]) for k in returned
        ]
        return {
            "header": self._header(),
            "kvs": pairs,
            "count": str(len(keys)),
            "more": len(returned) < len(keys),
        }

    def _check_put(self, body: dict[str, Any]) -> None:
        size = len(base64.b64decode(body.get("value", "")))
        if size > MAX_VALUE_BYTES:
            raise RefusedError(400, "the value is larger than 1 MiB")
        lease = int(body.get("lease", 0))
        if lease and lease not in self.database.leases:
            raise RefusedError(404, "requested lease not found")

    def _apply_put(self, body: dict[str, Any]) -> None:
        self.database.put(
            base64.b64decode(body["key"]),
            base64.b64decode(body.get("value", "")),
            int(body.get("lease", 0)),
        )

    def _apply_delete(self, body: dict[str, Any]) -> int:
        key = base64.b64decode(body["key"])
        end = base64.b64decode(body.get("range_end", ""))
        keys = self.database.select_keys(key, end)
        for selected in keys:
            self.database.delete(selected)
        return len(keys)

    def put(self, body: dict[str, Any]) -> dict[str, Any]:
        """Writes a key."""
        self._check_put(body)
        self.database.revision += 1
        self._apply_put(body)
        self.database.notify_watches()
        return {"header": self._header()}

    def delete_range(self, body: dict[str, Any]) -> dict[str, Any]:
        """Deletes a key or a range."""
        self.database.revision += 1
        deleted = self._apply_delete(body)
        self.database.notify_watches()
        return {"header": self._header(), "deleted": str(deleted)}

    def transact(self, body: dict[str, Any]) -> dict[str, Any]:
        """Runs a transaction."""
        succeeded = all(self.database.holds(c) for c in body.get("compare", []))
        steps = body.get("success" if succeeded else "failure", [])
        for step in steps:
            if "request_put" in step:
                self._check_put(step["request_put"])
        if any("request_range" not in step for step in steps):
            self.database.revision += 1
        results = [self._apply_step(step) for step in steps]
        self.database.notify_watches()
        return {
            "header": self._header(),
            "succeeded": succeeded,
            "responses": results,
        }

    def _apply_step(self, step: dict[str, Any]) -> dict[str, Any]:
        if "request_put" in step:
            self._apply_put(step["request_put"])
            return {"response_put": {}}
        if "request_range" in step:
            return {"response_range": self.read_range(step["request_range"])}
        deleted = self._apply_delete(step["request_delete_range"])
        return {"response_delete_range": {"deleted": str(deleted)}}

    def grant(self, body: dict[str, Any]) -> dict[str, Any]:
        """Creates a lease."""
        self.database.next_lease_id += 1
        lease_id = int(body.get("ID", 0)) or self.database.next_lease_id
        ttl_s = float(body["TTL"])
        expires_s = anyio.current_time() + ttl_s
        self.database.leases[lease_id] = Lease(ttl_s, expires_s)
        return {"ID": str(lease_id), "TTL": str(int(ttl_s))}

    def keep_alive(self, body: dict[str, Any]) -> dict[str, Any]:
        """Renews a lease; returns TTL 0 if it has ended."""
        lease_id = int(body["ID"])
        lease = self.database.leases.get(lease_id)
        if lease is None:
            return {"result": {"ID": str(lease_id), "TTL": "0"}}
        lease.expires_s = anyio.current_time() + lease.ttl_s
        return {"result": {"ID": str(lease_id), "TTL": str(int(lease.ttl_s))}}

    def revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        """Ends a lease."""
        self.database.end_lease(int(body["ID"]))
        return {"header": self._header()}

    async def watch(self, request: requests.Request) -> responses.Response:
        """Streams changes of a range."""
        self.count_call("watch")
        body = msgspec.json.decode(await request.body())["create_request"]
        if self.faults.down:
            return web.json_response({"error": "down"}, status=503)
        return responses.StreamingResponse(
            self._stream(body), media_type=web.JSON_MEDIA_TYPE
        )

    async def _stream(self, body: dict[str, Any]) -> AsyncIterator[bytes]:
        key = base64.b64decode(body["key"])
        end = base64.b64decode(body.get("range_end", "")) or key + b"\0"
        start = int(body.get("start_revision", 0))
        last_revision = start - 1 if start else self.database.revision
        created = {"result": {"header": self._header(), "created": True}}
        yield msgspec.json.encode(created) + b"\n"
        self.open_watches += 1
        try:
            while not self.faults.down:
                changed = self.database.changed
                events = [
                    e
                    for e in self.database.events
                    if e.revision > last_revision and key <= e.key < end
                ]
                last_revision = self.database.revision
                if events:
                    yield self._encode_events(events)
                with anyio.move_on_after(0.2):
                    await changed.wait()
        finally:
            self.open_watches -= 1

    def _encode_events(self, events: list[Event]) -> bytes:
        encoded = []
        for event in events:
            pair = {
                "key": _encode_base64(event.key),
                "mod_revision": str(event.revision),
            }
            if event.value is not None:
                pair = self._encode_pair(event.key, event.value)
            kind = "PUT" if event.value is not None else "DELETE"
            encoded.append({"type": kind, "kv": pair})
        message = {"result": {"header": self._header(), "events": encoded}}
        return msgspec.json.encode(message) + b"\n"

    async def set_faults(self, request: requests.Request) -> responses.Response:
        """Sets the faults."""
        self.faults = web.decode_body(await request.body(), Faults)
        return web.json_response(self.faults)

    async def get_calls(self, _request: requests.Request) -> responses.Response:
        """Returns the numbers of calls by name and of open watches."""
        return web.json_response(
            {"calls": self.calls, "watching": self.open_watches}
        )

    async def run_expiry(self) -> None:
        """Ends expired leases until cancelled."""
        while True:
            if not self.faults.down:
                self.database.expire_leases(anyio.current_time())
            await anyio.sleep(EXPIRY_PERIOD_S)


@dataclasses.dataclass
class Arguments:
    """Stands in for the platform's key-value service."""

    address: Annotated[str, cappa.Arg(long=True)] = "127.0.0.1"
    port: Annotated[int, cappa.Arg(long=True)] = 2379
    seed: Annotated[int, cappa.Arg(long=True)] = 0


def main() -> None:
    """Entry point of the program."""
    arguments = cappa.parse(Arguments, version=ibisknot.__version__)
    service = Service(seed=arguments.seed)
    standin.run(
        service.routes(),
        address=arguments.address,
        port=arguments.port,
        background=service.run_expiry,
    )
