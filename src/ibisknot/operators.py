"""Operators' HTTP interface: plan, confirm, show, status, history."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

from ibisknot import commit
from ibisknot import configuration
from ibisknot import errors
from ibisknot import follow
from ibisknot import intent as intent_module
from ibisknot import keys
from ibisknot import keyvalue
from ibisknot import logs
from ibisknot import plan as plan_module
from ibisknot import settings
from ibisknot import vmlist
from ibisknot import web

PLANS = "/ibisknot/plans/"
PLAN_LIFETIME_S = 900.0

VersionCall = Callable[[vmlist.ListedVm], Awaitable[int | None]]
"""Returns the version in force on a VM, or None without an answer."""


class KeyRequest(msgspec.Struct):
    """Asks for a new key of an organisation."""

    organisation: str
    key_id: str


class VmStatus(msgspec.Struct):
    """The version in force on one VM, or None when it did not answer."""

    vm: str
    data_centre: str
    state: str
    version: int | None


class Operators:
    """HTTP handlers of `/operator`."""

    def __init__(
        self,
        follower: follow.Follower,
        store: keyvalue.KeyValue,
        vms: vmlist.VmList,
        loaded: settings.Entry,
        ask_version: VersionCall,
    ) -> None:
        self.follower = follower
        self.source = follower.source
        self.store = store
        self.vms = vms
        self.limits = loaded.limits
        self.operators = {o.key_hash: o.name for o in loaded.operators}
        self.ask_version = ask_version

    def routes(self) -> list[routing.BaseRoute]:
        """Returns the routes."""
        return [
            routing.Route("/operator/plans", self.plan, methods=["POST"]),
            routing.Route(
                "/operator/plans/{id}/confirm", self.confirm, methods=["POST"]
            ),
            routing.Route("/operator/keys", self.make_key, methods=["POST"]),
            routing.Route("/operator/configuration", self.show),
            routing.Route("/operator/status", self.status),
            routing.Route("/operator/history", self.history),
        ]

    def operator(self, request: requests.Request) -> str:
        """Returns the operator whose key came with a request.

        Raises:
            AuthenticationError: The key is missing or unknown.
        """
        key = keys.from_header(request.headers.get("authorization")) or ""
        name = self.operators.get(keys.digest(key))
        if name is None:
            raise errors.AuthenticationError("an operator's key is needed")
        return name

    async def _body(self, request: requests.Request) -> bytes:
        return await web.read_body(
            request,
            limit=self.limits.body_bytes,
            timeout_s=self.limits.read_timeout_s,
        )

    async def plan(self, request: requests.Request) -> responses.Response:
        """Answers an intent with the plan of its changes."""
        author = self.operator(request)
        body = await self._body(request)
        wanted = web.decode_body(body, intent_module.Intent)
        await self.follower.read()
        made = plan_module.make(self.source.current, wanted, author=author)
        lease = await self.store.grant(PLAN_LIFETIME_S)
        put = keyvalue.Put(PLANS + made.id, msgspec.json.encode(made), lease)
        await self.store.transact([], [put])
        return web.json_response(made)

    async def confirm(self, request: requests.Request) -> responses.Response:
        """Puts a plan in force if its base version is still current."""
        author = self.operator(request)
        pair = await self.store.get(PLANS + request.path_params["id"])
        if pair is None:
            raise errors.NotFoundError("the plan does not exist or expired")
        made = msgspec.json.decode(pair.value, type=plan_module.Plan)
        await self.follower.read()
        current = self.source.current
        if made.base_version != current.version:
            message = (
                f"version {current.version} is current; the plan was made"
                f" from version {made.base_version}"
            )
            raise errors.ConflictError(message)
        wanted = intent_module.apply(current, made.intent)
        await self.follower.commit(
            wanted,
            operation=made.id,
            author=author,
            intent=msgspec.json.encode(made.intent),
        )
        logs.event("plan_confirmed", plan=made.id, version=wanted.version)
        return web.json_response({"version": wanted.version})

    async def make_key(self, request: requests.Request) -> responses.Response:
        """Makes a key; it works once the returned intent is confirmed."""
        self.operator(request)
        wanted = web.decode_body(await self._body(request), KeyRequest)
        key = keys.create()
        entry = {"keys": {wanted.key_id: {"digest": keys.digest(key)}}}
        intent = {"organisations": {wanted.organisation: entry}}
        return web.json_response({"key": key, "intent": intent})

    async def show(self, request: requests.Request) -> responses.Response:
        """Returns the configuration in force on this VM."""
        self.operator(request)
        return responses.Response(
            configuration.encode(self.source.current), media_type=web.JSON
        )

    async def status(self, request: requests.Request) -> responses.Response:
        """Returns the version in force on each listed VM."""
        self.operator(request)
        found: list[VmStatus] = []

        async def ask(vm: vmlist.ListedVm) -> None:
            version = await self.ask_version(vm)
            found.append(VmStatus(vm.name, vm.data_centre, vm.state, version))

        async with anyio.create_task_group() as group:
            for vm in self.vms.vms.values():
                group.start_soon(ask, vm)
        found.sort(key=lambda status: status.vm)
        return web.json_response(
            {"version": self.source.current.version, "vms": found}
        )

    async def history(self, request: requests.Request) -> responses.Response:
        """Returns the confirmed changes, newest first."""
        self.operator(request)
        return web.json_response(await commit.history(self.store))
