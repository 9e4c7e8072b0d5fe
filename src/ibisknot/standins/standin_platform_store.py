"""Interface of the platform's key-value service to the stand-in's data."""

import base64
from typing import Any

import anyio
import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

from ibisknot import web
from ibisknot.standins import standin
from ibisknot.standins import standin_keyvalue

MAX_PAGE_ITEMS = 500
MAX_WATCH_S = 30.0
PROTECTED_PREFIXES = (b"op/", b"servers/")
"""Keys that only the operator and the engines may write."""
MAX_VALUE_BYTES = 1024 * 1024
MAX_KEY_BYTES = 200
MAX_ENTRIES = 32
"""Guards, puts and deletes of one transaction together."""


def _check_sizes(body: dict[str, Any]) -> None:
    """Refuses a transaction that is over the platform's limits.

    Raises:
        RefusedError: It has too many entries, or a key or value is too long.
    """
    puts = body.get("Puts", [])
    guards = body.get("ExpectedRev", [])
    deletes = body.get("Remove", [])
    keys = [*(e["Key"] for e in (*puts, *guards)), *deletes]
    if len(keys) > MAX_ENTRIES:
        raise standin_keyvalue.RefusedError(400, "too many entries")
    if any(len(key.encode()) > MAX_KEY_BYTES for key in keys):
        raise standin_keyvalue.RefusedError(400, "a key is too long")
    if any(len(base64.b64decode(p["Value"])) > MAX_VALUE_BYTES for p in puts):
        raise standin_keyvalue.RefusedError(413, "a value is too large")


class PlatformStore:
    """Serves the platform's calls on the data of a key-value stand-in.

    Attributes:
        service: The stand-in whose data, faults and counts are used.
        database: The stand-in's data.
        oldest_revision: Watches that begin before this revision get 410.
    """

    def __init__(self, service: standin_keyvalue.Service) -> None:
        self.service = service
        self.database = service.database
        self.oldest_revision = 0

    def routes(self) -> list[routing.BaseRoute]:
        """Returns the routes."""
        post = ["POST"]
        return [
            routing.Route("/kv-key", self._handler("key", self.read_key)),
            routing.Route("/kv-range", self._handler("range", self.read_range)),
            routing.Route(
                "/kv-watch", self._handler("watch", self.read_changes)
            ),
            routing.Route(
                "/kv-txn",
                self._handler("txn", self.transact, is_write=True),
                methods=post,
            ),
            routing.Route(
                "/kv-lease",
                self._handler("lease", self.grant_lease),
                methods=post,
            ),
            routing.Route(
                "/kv-keep/{lease:int}",
                self._handler("keep", self.renew_lease),
                methods=post,
            ),
            routing.Route(
                "/kv-lease-end/{lease:int}",
                self._handler("end", self.end_lease),
                methods=["DELETE"],
            ),
            routing.Route("/admin/operator", self.write_values, methods=post),
            routing.Route("/admin/compact", self.compact, methods=post),
        ]

    def _handler(
        self, name: str, operation: Any, *, is_write: bool = False
    ) -> web.Handler:
        async def handle(request: requests.Request) -> responses.Response:
            service = self.service
            service.count_call(name)
            faults = service.faults
            if request.client and request.client.host in faults.refuse:
                return web.json_response({"Error": "refused"}, status=503)
            if faults.silent:
                await anyio.sleep(60.0)
            try:
                await service.apply_faults(is_read=not is_write)
                if is_write and service.rng.random() < faults.late:
                    body = await request.body()
                    service.delayed.append(
                        (faults.late_s, operation, request, body)
                    )
                    return standin.DroppedResponse()
                response: responses.Response = await operation(request)
            except standin_keyvalue.RefusedError as error:
                return web.json_response(
                    {"Error": error.message}, status=error.status
                )
            if is_write and service.rng.random() < faults.lose_answers:
                return standin.DroppedResponse()
            return response

        return handle

    def _encode_item(self, key: bytes, value: standin_keyvalue.Value) -> Any:
        return {
            "Key": key.decode(),
            "Value": base64.b64encode(value.data).decode(),
            "Revision": value.mod_revision,
            "Created": value.create_revision,
            "Lease": value.lease_id,
        }

    async def read_key(self, request: requests.Request) -> responses.Response:
        """Reads one key."""
        key = request.query_params["Key"].encode()
        value = self.database.values.get(key)
        if value is None:
            raise standin_keyvalue.RefusedError(404, "no such key")
        revision = {"StoreRevision": self.database.revision}
        return web.json_response(self._encode_item(key, value) | revision)

    async def read_range(self, request: requests.Request) -> responses.Response:
        """Reads a page of the keys with a prefix."""
        query = request.query_params
        prefix = query["Prefix"].encode()
        after = query.get("After", "").encode()
        keys = [k for k in self.database.sorted_keys if k.startswith(prefix)]
        keys = [k for k in keys if k > after]
        returned = keys[:MAX_PAGE_ITEMS]
        return web.json_response(
            {
                "Items": [
                    self._encode_item(k, self.database.values[k])
                    for k in returned
                ],
                "HasMore": len(keys) > len(returned),
                "StoreRevision": self.database.revision,
            }
        )

    async def read_changes(
        self, request: requests.Request
    ) -> responses.Response:
        """Returns changes of keys with a prefix; waits if there are none."""
        query = request.query_params
        prefix = query["Prefix"].encode()
        after = int(query["After"])
        wait_s = min(MAX_WATCH_S, int(query["WaitMs"]) / 1000)
        if after < self.oldest_revision:
            raise standin_keyvalue.RefusedError(410, "history is gone")
        events: list[Any] = []
        with anyio.move_on_after(wait_s):
            while not (events := self._encode_events(prefix, after)):
                await self.database.changed.wait()
        return web.json_response(
            {"events": events, "StoreRevision": self.database.revision}
        )

    def _encode_events(self, prefix: bytes, after: int) -> list[Any]:
        encoded = []
        for event in self.database.events:
            if event.revision <= after or not event.key.startswith(prefix):
                continue
            if event.value is not None:
                item = self._encode_item(event.key, event.value)
                encoded.append(item | {"Revision": event.revision})
            else:
                encoded.append(
                    {
                        "Key": event.key.decode(),
                        "Revision": event.revision,
                        "Tombstone": True,
                    }
                )
        return encoded

    async def transact(self, request: requests.Request) -> responses.Response:
        """Runs a transaction."""
        return self.apply_transaction(msgspec.json.decode(await request.body()))

    def apply_transaction(self, body: dict[str, Any]) -> responses.Response:
        """Applies the body of a transaction."""
        puts = body.get("Puts", [])
        _check_sizes(body)
        deleted_keys = [key.encode() for key in body.get("Remove", [])]
        for put in puts:
            if put["Key"].encode().startswith(PROTECTED_PREFIXES):
                raise standin_keyvalue.RefusedError(403, "protected")
            lease_id = put.get("Lease", 0)
            if lease_id and lease_id not in self.database.leases:
                raise standin_keyvalue.RefusedError(404, "no such lease")
        for guard in body.get("ExpectedRev", []):
            value = self.database.values.get(guard["Key"].encode())
            mod_revision = 0 if value is None else value.mod_revision
            if mod_revision != guard["Revision"]:
                return web.json_response({"Items": []}, status=412)
        self.database.revision += 1
        for put in puts:
            data = base64.b64decode(put["Value"])
            self.database.put(put["Key"].encode(), data, put.get("Lease", 0))
        for key in deleted_keys:
            self.database.delete(key)
        self.database.notify_watches()
        return web.json_response({"Revision": self.database.revision})

    async def grant_lease(
        self, request: requests.Request
    ) -> responses.Response:
        """Creates a lease."""
        body = msgspec.json.decode(await request.body())
        self.database.next_lease_id += 1
        ttl_s = body["TtlMs"] / 1000
        expires_s = anyio.current_time() + ttl_s
        lease_id = self.database.next_lease_id
        self.database.leases[lease_id] = standin_keyvalue.Lease(
            ttl_s, expires_s
        )
        return web.json_response({"Lease": lease_id, "TtlMs": body["TtlMs"]})

    async def renew_lease(
        self, request: requests.Request
    ) -> responses.Response:
        """Renews a lease."""
        lease = self.database.leases.get(request.path_params["lease"])
        if lease is None:
            raise standin_keyvalue.RefusedError(404, "the lease has ended")
        lease.expires_s = anyio.current_time() + lease.ttl_s
        return web.json_response({"TtlMs": int(lease.ttl_s * 1000)})

    async def end_lease(self, request: requests.Request) -> responses.Response:
        """Ends a lease."""
        self.database.end_lease(request.path_params["lease"])
        return web.json_response({})

    async def write_values(
        self, request: requests.Request
    ) -> responses.Response:
        """Writes or deletes keys as the operator or an engine does."""
        body = msgspec.json.decode(await request.body())
        self.database.revision += 1
        for key, value in body.items():
            if value is None:
                self.database.delete(key.encode())
            else:
                data = msgspec.json.encode(value)
                self.database.put(key.encode(), data, 0)
        self.database.notify_watches()
        return web.json_response({"Revision": self.database.revision})

    async def compact(self, _request: requests.Request) -> responses.Response:
        """Discards the history of changes."""
        self.oldest_revision = self.database.revision
        self.database.notify_watches()
        return web.json_response({})

    async def run_delayed_writes(self) -> None:
        """Applies delayed writes when due, until cancelled."""
        while True:
            await anyio.sleep(0.05)
            writes = self.service.delayed[:]
            self.service.delayed.clear()
            for delay_s, operation, _request, body in writes:
                if delay_s > 0:
                    remaining_s = delay_s - 0.05
                    self.service.delayed.append(
                        (remaining_s, operation, _request, body)
                    )
                elif operation == self.transact:
                    try:
                        self.apply_transaction(msgspec.json.decode(body))
                    except standin_keyvalue.RefusedError:
                        continue
