"""Operators' HTTP interface: plan, confirm, show, status, explain."""

from typing import Any

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
from ibisknot import order_records
from ibisknot import plans
from ibisknot import settings
from ibisknot import survey
from ibisknot import web

DEFAULT_HISTORY = 100
MAXIMUM_HISTORY = 1000


class KeyRequest(msgspec.Struct):
    """Asks for a new key of an organisation."""

    organisation: str
    key_id: str


def _number(
    request: requests.Request, name: str, default: float, *, most: float
) -> float:
    """Returns a query parameter between 0 and `most`.

    Raises:
        BadRequestError: It is no number in the range.
    """
    text = request.query_params.get(name, str(default))
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= most:
        message = f"{name}={text!r} is no number from 0 to {most:g}"
        raise errors.BadRequestError(message)
    return value


class Operators:
    """HTTP handlers of `/operator`."""

    def __init__(
        self,
        follower: follow.Follower,
        store: keyvalue.KeyValue,
        loaded: settings.Entry,
        asked: survey.Survey,
        load: plans.LoadCall,
    ) -> None:
        self.follower = follower
        self.source = follower.source
        self.store = store
        self.limits = loaded.limits
        self.operators = {o.key_hash: o.name for o in loaded.operators}
        self.survey = asked
        self.plans = plans.Plans(follower, store, load)

    def routes(self) -> list[routing.BaseRoute]:
        """Returns the routes."""
        post = ["POST"]
        return [
            routing.Route("/operator/plans", self.plan, methods=post),
            routing.Route("/operator/plans/{id}", self.show_plan),
            routing.Route(
                "/operator/plans/{id}/confirm", self.confirm, methods=post
            ),
            routing.Route("/operator/operations/{id}", self.operation),
            routing.Route("/operator/keys", self.make_key, methods=post),
            routing.Route("/operator/configuration", self.show),
            routing.Route("/operator/status", self.status),
            routing.Route("/operator/version", self.version),
            routing.Route("/operator/history", self.history),
            routing.Route("/operator/explain/{subject:path}", self.explain),
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
            max_bytes=self.limits.body_bytes,
            timeout_s=self.limits.read_timeout_s,
        )

    async def plan(self, request: requests.Request) -> responses.Response:
        """Answers an intent with the plan of its changes."""
        author = self.operator(request)
        body = await self._body(request)
        wanted = web.decode_body(body, intent_module.Intent)
        return web.json_response(await self.plans.make(wanted, author=author))

    async def show_plan(self, request: requests.Request) -> responses.Response:
        """Returns a plan that was made before."""
        self.operator(request)
        found = await self.plans.find(request.path_params["id"])
        return web.json_response(found)

    async def confirm(self, request: requests.Request) -> responses.Response:
        """Puts a plan in force if its base version is still current."""
        author = self.operator(request)
        plan = request.path_params["id"]
        most = survey.MAXIMUM_WAIT_S
        wait_s = _number(request, "wait_s", 0.0, most=most)
        try:
            version = await self.plans.confirm(plan, author=author)
        except plans.PlanConflictError as error:
            return _refusal(
                error,
                base_version=error.base_version,
                current_version=error.current_version,
                difference=error.difference,
            )
        except errors.KeyValueUnknownError as error:
            error.message = commit.unknown_message(plan)
            return _refusal(error, operation=plan)
        answer: dict[str, Any] = {"version": version, "operation": plan}
        if wait_s > 0:
            missing = await self.survey.missing(version, wait_s=wait_s)
            answer["in_force"] = not missing
            answer["missing"] = missing
        return web.json_response(answer)

    async def operation(self, request: requests.Request) -> responses.Response:
        """Returns whether an operation took effect."""
        self.operator(request)
        found = await self.plans.operation(request.path_params["id"])
        return web.json_response(found)

    async def make_key(self, request: requests.Request) -> responses.Response:
        """Makes a key; it works once the returned intent is confirmed."""
        self.operator(request)
        wanted = web.decode_body(await self._body(request), KeyRequest)
        organisation = self.source.current.organisations.get(
            wanted.organisation
        )
        if organisation is None:
            message = f"there is no organisation {wanted.organisation!r}"
            raise errors.NotFoundError(message)
        if wanted.key_id in organisation.keys:
            message = (
                f"organisation {wanted.organisation} has a key"
                f" {wanted.key_id!r} already; choose another name"
            )
            raise errors.BadRequestError(message)
        key = keys.create()
        entry = {"keys": {wanted.key_id: {"digest": keys.digest(key)}}}
        intent = {"organisations": {wanted.organisation: entry}}
        return web.json_response({"key": key, "intent": intent})

    async def show(self, request: requests.Request) -> responses.Response:
        """Returns the configuration in force here, or an older version."""
        self.operator(request)
        found = self.source.current
        if "version" in request.query_params:
            version = int(_number(request, "version", 0.0, most=1e12))
            await self.follower.read()
            state = self.source.state
            found = await commit.at_version(self.store, state, version)
        return responses.Response(
            configuration.encode(found), media_type=web.JSON_MEDIA_TYPE
        )

    async def status(self, request: requests.Request) -> responses.Response:
        """Returns the version on each listed VM, with `orders` the orders."""
        self.operator(request)
        found = await self.survey.versions()
        now = anyio.current_time()
        age_s = now - self.source.service_s
        try:
            ordered = await order_records.read_order_statuses(
                self.store, self.source.current
            )
        except errors.KeyValueError:
            ordered = None
        return web.json_response(
            {
                "version": self.source.current.version,
                "vms": found,
                "current": self.source.is_current(now),
                "orders": ordered,
                "confirmed_s_ago": round(age_s, 3) if age_s < 1e6 else None,
            }
        )

    async def version(self, request: requests.Request) -> responses.Response:
        """Returns the version on this VM, and whether it serves by it."""
        self.operator(request)
        current = self.source.is_current(anyio.current_time())
        return web.json_response(
            {"version": self.source.current.version, "current": current}
        )

    async def _orders(self) -> list[order_records.OrderStatus] | None:
        try:
            return await order_records.read_order_statuses(
                self.store, self.source.current
            )
        except errors.KeyValueError:
            return None

    async def history(self, request: requests.Request) -> responses.Response:
        """Returns the confirmed changes, newest first."""
        self.operator(request)
        limit = _number(request, "limit", DEFAULT_HISTORY, most=MAXIMUM_HISTORY)
        found = await commit.history(self.store, limit=int(limit))
        return web.json_response(found)

    async def explain(self, request: requests.Request) -> responses.Response:
        """Returns what all VMs recently decided about a subject."""
        self.operator(request)
        subject = request.path_params["subject"]
        events, silent = await self.survey.events(subject)
        current = self.source.current
        entry = current.organisations.get(subject)
        stated = entry or current.endpoints.get(subject)
        return web.json_response(
            {
                "subject": subject,
                "configuration": stated,
                "events": events,
                "no_answer": silent,
            }
        )


def _refusal(error: errors.IbisknotError, **fields: Any) -> responses.Response:
    body = web.error_body(error)
    body["error"].update(fields)
    return web.json_response(body, status=error.status)
