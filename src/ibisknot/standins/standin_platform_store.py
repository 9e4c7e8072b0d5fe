"""The users' platform's interface to the key-value stand-in's data."""

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

PAGE_ITEMS = 500
LONGEST_WATCH_S = 30.0
PROTECTED = (b"op/", b"servers/")


class PlatformStore:
    """Serves the platform's calls on the data of a key-value stand-in.

    Attributes:
        service: The stand-in whose data, faults and counts are used.
        oldest: Watches from before this revision get 410.
    """

    def __init__(self, service: standin_keyvalue.Service) -> None:
        self.service = service
        self.data = service.data
        self.oldest = 0

    def routes(self) -> list[routing.BaseRoute]:
        """Returns the routes."""
        post = ["POST"]
        return [
            routing.Route("/kv-key", self._wrap("key", self.key)),
            routing.Route("/kv-range", self._wrap("range", self.range)),
            routing.Route("/kv-watch", self._wrap("watch", self.watch)),
            routing.Route(
                "/kv-txn",
                self._wrap("txn", self.transact, writes=True),
                methods=post,
            ),
            routing.Route(
                "/kv-lease", self._wrap("lease", self.grant), methods=post
            ),
            routing.Route(
                "/kv-keep/{lease:int}",
                self._wrap("keep", self.keep),
                methods=post,
            ),
            routing.Route(
                "/kv-lease-end/{lease:int}",
                self._wrap("end", self.end),
                methods=["DELETE"],
            ),
            routing.Route("/admin/operator", self.operate, methods=post),
            routing.Route("/admin/compact", self.compact, methods=post),
        ]

    def _wrap(
        self, name: str, call: Any, *, writes: bool = False
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
                await service.before(reads=not writes)
                if writes and service.random.random() < faults.late:
                    body = await request.body()
                    service.later.append((faults.late_s, call, request, body))
                    return standin.DroppedResponse()
                answer: responses.Response = await call(request)
            except standin_keyvalue.RefusedError as error:
                return web.json_response(
                    {"Error": error.message}, status=error.status
                )
            if writes and service.random.random() < faults.lose_answers:
                return standin.DroppedResponse()
            return answer

        return handle

    def _item(self, key: bytes, value: standin_keyvalue.Value) -> Any:
        return {
            "Key": key.decode(),
            "Value": base64.b64encode(value.data).decode(),
            "Revision": value.modified,
            "Created": value.created,
            "Lease": value.lease,
        }

    async def key(self, request: requests.Request) -> responses.Response:
        """Reads one key."""
        key = request.query_params["Key"].encode()
        value = self.data.values.get(key)
        if value is None:
            raise standin_keyvalue.RefusedError(404, "no such key")
        revision = {"StoreRevision": self.data.revision}
        return web.json_response(self._item(key, value) | revision)

    async def range(self, request: requests.Request) -> responses.Response:
        """Reads a page of the keys with a prefix."""
        query = request.query_params
        prefix = query["Prefix"].encode()
        after = query.get("After", "").encode()
        keys = [k for k in self.data.order if k.startswith(prefix)]
        keys = [k for k in keys if k > after]
        shown = keys[:PAGE_ITEMS]
        return web.json_response(
            {
                "Items": [self._item(k, self.data.values[k]) for k in shown],
                "HasMore": len(keys) > len(shown),
                "StoreRevision": self.data.revision,
            }
        )

    async def watch(self, request: requests.Request) -> responses.Response:
        """Waits for changes of the keys with a prefix."""
        query = request.query_params
        prefix = query["Prefix"].encode()
        after = int(query["After"])
        wait_s = min(LONGEST_WATCH_S, int(query["WaitMs"]) / 1000)
        if after < self.oldest:
            raise standin_keyvalue.RefusedError(410, "history is gone")
        found: list[Any] = []
        with anyio.move_on_after(wait_s):
            while not (found := self._events(prefix, after)):
                await self.data.changed.wait()
        return web.json_response(
            {"events": found, "StoreRevision": self.data.revision}
        )

    def _events(self, prefix: bytes, after: int) -> list[Any]:
        found = []
        for event in self.data.events:
            if event.revision <= after or not event.key.startswith(prefix):
                continue
            if event.value is not None:
                item = self._item(event.key, event.value)
                found.append(item | {"Revision": event.revision})
            else:
                found.append(
                    {
                        "Key": event.key.decode(),
                        "Revision": event.revision,
                        "Tombstone": True,
                    }
                )
        return found

    async def transact(self, request: requests.Request) -> responses.Response:
        """Runs a transaction."""
        return self.apply(msgspec.json.decode(await request.body()))

    def apply(self, body: dict[str, Any]) -> responses.Response:
        """Applies a transaction's body."""
        puts = body.get("Puts", [])
        removed = [key.encode() for key in body.get("Remove", [])]
        for put in puts:
            if put["Key"].encode().startswith(PROTECTED):
                raise standin_keyvalue.RefusedError(403, "protected")
            lease = put.get("Lease", 0)
            if lease and lease not in self.data.leases:
                raise standin_keyvalue.RefusedError(404, "no such lease")
        for guard in body.get("ExpectedRev", []):
            value = self.data.values.get(guard["Key"].encode())
            found = 0 if value is None else value.modified
            if found != guard["Revision"]:
                return web.json_response({"Items": []}, status=412)
        self.data.revision += 1
        for put in puts:
            data = base64.b64decode(put["Value"])
            self.data.put(put["Key"].encode(), data, put.get("Lease", 0))
        for key in removed:
            self.data.delete(key)
        self.data.wake()
        return web.json_response({"Revision": self.data.revision})

    async def grant(self, request: requests.Request) -> responses.Response:
        """Creates a lease."""
        body = msgspec.json.decode(await request.body())
        self.data.next_lease += 1
        ttl_s = body["TtlMs"] / 1000
        until_s = anyio.current_time() + ttl_s
        number = self.data.next_lease
        self.data.leases[number] = standin_keyvalue.Lease(ttl_s, until_s)
        return web.json_response({"Lease": number, "TtlMs": body["TtlMs"]})

    async def keep(self, request: requests.Request) -> responses.Response:
        """Renews a lease."""
        lease = self.data.leases.get(request.path_params["lease"])
        if lease is None:
            raise standin_keyvalue.RefusedError(404, "the lease has ended")
        lease.until_s = anyio.current_time() + lease.ttl_s
        return web.json_response({"TtlMs": int(lease.ttl_s * 1000)})

    async def end(self, request: requests.Request) -> responses.Response:
        """Ends a lease."""
        self.data.end_lease(request.path_params["lease"])
        return web.json_response({})

    async def operate(self, request: requests.Request) -> responses.Response:
        """Writes or removes keys as the operator or an engine does."""
        body = msgspec.json.decode(await request.body())
        self.data.revision += 1
        for key, value in body.items():
            if value is None:
                self.data.delete(key.encode())
            else:
                data = msgspec.json.encode(value)
                self.data.put(key.encode(), data, 0)
        self.data.wake()
        return web.json_response({"Revision": self.data.revision})

    async def compact(self, _request: requests.Request) -> responses.Response:
        """Forgets the history."""
        self.oldest = self.data.revision
        self.data.wake()
        return web.json_response({})

    async def run_late(self) -> None:
        """Carries out writes whose callers got no answer, some time later."""
        while True:
            await anyio.sleep(0.05)
            due = self.service.later[:]
            self.service.later.clear()
            for delay_s, call, _request, body in due:
                if delay_s > 0:
                    left_s = delay_s - 0.05
                    self.service.later.append((left_s, call, _request, body))
                elif call == self.transact:
                    try:
                        self.apply(msgspec.json.decode(body))
                    except standin_keyvalue.RefusedError:
                        continue
