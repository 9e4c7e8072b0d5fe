"""Operators' HTTP interface: plans, keys, configuration, status, history."""

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

DEFAULT_HISTORY_CHANGES = 100
MAX_HISTORY_CHANGES = 1000
"""Most changes that one call of the history returns."""


class KeyRequest(msgspec.Struct):
    """Request for a new key of an organisation.

    Attributes:
        organisation: Name of the organisation.
        key_id: Id that the key will have in the organisation.
    """

    organisation: str
    key_id: str


def _query_number(
    request: requests.Request, name: str, default: float, *, maximum: float
) -> float:
    """Returns a number from the query, between 0 and `maximum`.

    Raises:
        BadRequestError: The parameter is not a number in this range.
    """
    text = request.query_params.get(name, str(default))
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= maximum:
        message = f"{name}={text!r} is not a number from 0 to {maximum:g}"
        raise errors.BadRequestError(message)
    return value


class Handler:
    """HTTP handlers of `/operator`.

    Attributes:
        follower: Reads and writes the configuration.
        local: The configuration in force on this VM.
        key_value: Client of the key-value service.
        limits: Limits on requests.
        names_by_key_digest: Names of the operators by the hash of their key.
        queries: Queries the other VMs.
        plan_service: Makes and confirms plans.
    """

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
        """Returns the name of the operator whose key a request carries.

        Raises:
            AuthenticationError: The key is missing or unknown.
        """
        key = api_keys.from_header(request.headers.get("authorization")) or ""
        name = self.names_by_key_digest.get(api_keys.digest(key))
        if name is None:
            raise errors.AuthenticationError("an operator's key is required")
        return name

    async def _read_body(self, request: requests.Request) -> bytes:
        return await web.read_body(
            request,
            max_bytes=self.limits.body_bytes,
            timeout_s=self.limits.read_timeout_s,
        )

    async def make_plan(self, request: requests.Request) -> responses.Response:
        """Makes a plan from an intent."""
        author = self.authenticate(request)
        body = await self._read_body(request)
        intent = web.decode_body(body, intents.Intent)
        return web.json_response(
            await self.plan_service.make(intent, author=author)
        )

    async def show_plan(self, request: requests.Request) -> responses.Response:
        """Returns a stored plan."""
        self.authenticate(request)
        plan = await self.plan_service.find(request.path_params["id"])
        return web.json_response(plan)

    async def confirm(self, request: requests.Request) -> responses.Response:
        """Puts a plan in force if its base version is still current.

        With `wait_s`, waits until the listed VMs have the version in force.
        """
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
        result: dict[str, Any] = {"version": version, "operation": plan_id}
        if wait_s > 0:
            missing = await self.queries.wait_for_version(
                version, wait_s=wait_s
            )
            result["in_force"] = not missing
            result["missing"] = missing
        return web.json_response(result)

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
        """Creates a key, valid once the returned intent is confirmed."""
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
                f" {key_request.key_id!r} already; choose another key id"
            )
            raise errors.BadRequestError(message)
        key = api_keys.create()
        entry = {"keys": {key_request.key_id: {"digest": api_keys.digest(key)}}}
        intent = {"organisations": {key_request.organisation: entry}}
        return web.json_response({"key": key, "intent": intent})

    async def show_configuration(
        self, request: requests.Request
    ) -> responses.Response:
        """Returns the configuration in force, or that of an older version."""
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
        """Returns the version in force on each listed VM, and the orders."""
        self.authenticate(request)
        statuses = await self.queries.read_versions()
        now = anyio.current_time()
        age_s = now - self.local.confirmed_s
        try:
            orders = await order_records.read_order_statuses(
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
        """Returns the version on this VM, and whether it is recent enough."""
        self.authenticate(request)
        is_fresh = self.local.is_fresh(anyio.current_time())
        return web.json_response(
            {"version": self.local.current.version, "current": is_fresh}
        )

    async def show_history(
        self, request: requests.Request
    ) -> responses.Response:
        """Returns the confirmed changes, newest first."""
        self.authenticate(request)
        limit = _query_number(
            request,
            "limit",
            DEFAULT_HISTORY_CHANGES,
            maximum=MAX_HISTORY_CHANGES,
        )
        records = await configuration_records.read_history(
            self.key_value, limit=int(limit)
        )
        return web.json_response(records)

    async def explain(self, request: requests.Request) -> responses.Response:
        """Returns the recent decisions of all VMs about a subject."""
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
    """Returns the response to a failed request, with further fields."""
    body = web.error_body(error)
    body["error"].update(fields)
    return web.json_response(body, status=error.status)
