"""Operators' HTTP interface: plan, confirm, show, status, explain."""

from typing import Any

import anyio
import msgspec
from starlette import requests
from starlette import responses
from starlette import routing

from ibisknot import api_keys
from ibisknot import configuration
from ibisknot import configuration_follower
from ibisknot import configuration_records
from ibisknot import errors
from ibisknot import fleet_queries
from ibisknot import intents
from ibisknot import keyvalue
from ibisknot import order_records
from ibisknot import plan_service
from ibisknot import settings
from ibisknot import web

DEFAULT_HISTORY = 100
MAX_HISTORY = 1000


class KeyRequest(msgspec.Struct):
    """Asks for a new key of an organisation."""

    organisation: str
    key_id: str


def _query_number(
    request: requests.Request, name: str, default: float, *, maximum: float
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
    if not 0 <= value <= maximum:
        message = f"{name}={text!r} is no number from 0 to {maximum:g}"
        raise errors.BadRequestError(message)
    return value


class Handler:
    """HTTP handlers of `/operator`."""

    def __init__(
        self,
        follower: configuration_follower.Follower,
        key_value: keyvalue.KeyValue,
        entry_settings: settings.Entry,
        queries: fleet_queries.FleetQueries,
        read_load: plan_service.ReadLoad,
    ) -> None:
        self.follower = follower
        self.local = follower.local
        self.key_value = key_value
        self.limits = entry_settings.limits
        self.names_by_key_digest = {
            o.key_hash: o.name for o in entry_settings.operators
        }
        self.queries = queries
        self.plan_service = plan_service.PlanService(
            follower, key_value, read_load
        )

    def routes(self) -> list[routing.BaseRoute]:
        """Returns the routes."""
        post = ["POST"]
        return [
            routing.Route("/operator/plans", self.make_plan, methods=post),
            routing.Route("/operator/plans/{id}", self.show_plan),
            routing.Route(
                "/operator/plans/{id}/confirm", self.confirm, methods=post
            ),
            routing.Route("/operator/operations/{id}", self.show_operation),
            routing.Route("/operator/keys", self.make_key, methods=post),
            routing.Route("/operator/configuration", self.show_configuration),
            routing.Route("/operator/status", self.show_status),
            routing.Route("/operator/version", self.show_version),
            routing.Route("/operator/history", self.show_history),
            routing.Route("/operator/explain/{subject:path}", self.explain),
        ]

    def authenticate(self, request: requests.Request) -> str:
        """Returns the operator whose key came with a request.

        Raises:
            AuthenticationError: The key is missing or unknown.
        """
        key = api_keys.from_header(request.headers.get("authorization")) or ""
        name = self.names_by_key_digest.get(api_keys.digest(key))
        if name is None:
            raise errors.AuthenticationError("an operator's key is needed")
        return name

    async def _read_body(self, request: requests.Request) -> bytes:
        return await web.read_body(
            request,
            max_bytes=self.limits.body_bytes,
            timeout_s=self.limits.read_timeout_s,
        )

    async def make_plan(self, request: requests.Request) -> responses.Response:
        """Answers an intent with the plan of its changes."""
        author = self.authenticate(request)
        body = await self._read_body(request)
        intent = web.decode_body(body, intents.Intent)
        return web.json_response(
            await self.plan_service.make(intent, author=author)
        )

    async def show_plan(self, request: requests.Request) -> responses.Response:
        """Returns a plan that was made before."""
        self.authenticate(request)
        plan = await self.plan_service.find(request.path_params["id"])
        return web.json_response(plan)

    async def confirm(self, request: requests.Request) -> responses.Response:
        """Puts a plan in force if its base version is still current."""
        author = self.authenticate(request)
        plan_id = request.path_params["id"]
        max_wait_s = fleet_queries.MAX_WAIT_S
        wait_s = _query_number(request, "wait_s", 0.0, maximum=max_wait_s)
        try:
            version = await self.plan_service.confirm(plan_id, author=author)
        except plan_service.PlanConflictError as error:
            return _error_response(
                error,
                base_version=error.base_version,
                current_version=error.current_version,
                difference=error.difference,
            )
        except errors.KeyValueUnknownError as error:
            error.message = configuration_records.unknown_outcome_message(
                plan_id
            )
            return _error_response(error, operation=plan_id)
        answer: dict[str, Any] = {"version": version, "operation": plan_id}
        if wait_s > 0:
            missing = await self.queries.wait_for_version(
                version, wait_s=wait_s
            )
            answer["in_force"] = not missing
            answer["missing"] = missing
        return web.json_response(answer)

    async def show_operation(
        self, request: requests.Request
    ) -> responses.Response:
        """Returns whether an operation took effect."""
        self.authenticate(request)
        state = await self.plan_service.operation_state(
            request.path_params["id"]
        )
        return web.json_response(state)

    async def make_key(self, request: requests.Request) -> responses.Response:
        """Makes a key; it works once the returned intent is confirmed."""
        self.authenticate(request)
        key_request = web.decode_body(
            await self._read_body(request), KeyRequest
        )
        organisation = self.local.current.organisations.get(
            key_request.organisation
        )
        if organisation is None:
            message = f"there is no organisation {key_request.organisation!r}"
            raise errors.NotFoundError(message)
        if key_request.key_id in organisation.keys:
            message = (
                f"organisation {key_request.organisation} has a key"
                f" {key_request.key_id!r} already; choose another name"
            )
            raise errors.BadRequestError(message)
        key = api_keys.create()
        entry = {"keys": {key_request.key_id: {"digest": api_keys.digest(key)}}}
        intent = {"organisations": {key_request.organisation: entry}}
        return web.json_response({"key": key, "intent": intent})

    async def show_configuration(
        self, request: requests.Request
    ) -> responses.Response:
        """Returns the configuration in force here, or an older version."""
        self.authenticate(request)
        content = self.local.current
        if "version" in request.query_params:
            version = int(_query_number(request, "version", 0.0, maximum=1e12))
            await self.follower.read_latest()
            state = self.local.state
            content = await configuration_records.read_version(
                self.key_value, state, version
            )
        return responses.Response(
            configuration.encode(content), media_type=web.JSON_MEDIA_TYPE
        )

    async def show_status(
        self, request: requests.Request
    ) -> responses.Response:
        """Returns the version on each listed VM, with `orders` the orders."""
        self.authenticate(request)
        statuses = await self.queries.read_versions()
        now = anyio.current_time()
        age_s = now - self.local.confirmed_s
        try:
            orders = await order_records.shown(
                self.key_value, self.local.current
            )
        except errors.KeyValueError:
            orders = None
        return web.json_response(
            {
                "version": self.local.current.version,
                "vms": statuses,
                "current": self.local.is_fresh(now),
                "orders": orders,
                "confirmed_s_ago": round(age_s, 3) if age_s < 1e6 else None,
            }
        )

    async def show_version(
        self, request: requests.Request
    ) -> responses.Response:
        """Returns the version on this VM, and whether it serves by it."""
        self.authenticate(request)
        is_fresh = self.local.is_fresh(anyio.current_time())
        return web.json_response(
            {"version": self.local.current.version, "current": is_fresh}
        )

    async def _read_orders(self) -> list[order_records.Shown] | None:
        try:
            return await order_records.shown(self.key_value, self.local.current)
        except errors.KeyValueError:
            return None

    async def show_history(
        self, request: requests.Request
    ) -> responses.Response:
        """Returns the confirmed changes, newest first."""
        self.authenticate(request)
        limit = _query_number(
            request, "limit", DEFAULT_HISTORY, maximum=MAX_HISTORY
        )
        records = await configuration_records.read_history(
            self.key_value, limit=int(limit)
        )
        return web.json_response(records)

    async def explain(self, request: requests.Request) -> responses.Response:
        """Returns what all VMs recently decided about a subject."""
        self.authenticate(request)
        subject = request.path_params["subject"]
        events, unanswered = await self.queries.read_events(subject)
        current = self.local.current
        organisation = current.organisations.get(subject)
        entry = organisation or current.endpoints.get(subject)
        return web.json_response(
            {
                "subject": subject,
                "configuration": entry,
                "events": events,
                "no_answer": unanswered,
            }
        )


def _error_response(
    error: errors.IbisknotError, **fields: Any
) -> responses.Response:
    body = web.error_body(error)
    body["error"].update(fields)
    return web.json_response(body, status=error.status)
