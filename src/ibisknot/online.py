"""The online path: filters from a caller's request to its answer."""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import TypeVar
from urllib import parse

import anyio
import msgspec
from starlette import requests
from starlette import responses

from ibisknot import configuration
from ibisknot import distribution
from ibisknot import errors
from ibisknot import exchange as exchange_module
from ibisknot import keys
from ibisknot import logs
from ibisknot import metrics
from ibisknot import rates
from ibisknot import relay
from ibisknot import settings
from ibisknot import traces
from ibisknot import web

T = TypeVar("T")
PATH_CHARACTERS = "/:@!$&'()*+,;=~"
"""Characters of a path that need no escape."""
STALE_AFTER_S = 3.0
"""Age of the last confirmation after which keyed requests are refused."""


class ModelRequest(msgspec.Struct):
    """The fields of a model request that the path needs."""

    model: str
    stream: bool = False


async def trace(
    exchange: exchange_module.Exchange, following: exchange_module.Next
) -> exchange_module.Reply:
    """Opens the request's span; its parent is the span of the HTTP call."""
    with traces.span("request", request=exchange.id):
        return await following(exchange)


def identify(source: distribution.Distribution) -> exchange_module.Filter:
    """Returns the filter that finds what a request asks for."""

    async def run(
        exchange: exchange_module.Exchange, following: exchange_module.Next
    ) -> exchange_module.Reply:
        params = exchange.request.path_params
        if "service" in params:
            exchange.target = _service_target(source, params)
        else:
            exchange.target = _model_target(source, exchange)
        return await following(exchange)

    return run


def _service_target(
    source: distribution.Distribution, params: dict[str, str]
) -> exchange_module.Target:
    route = source.current.routes.get(params["service"])
    if route is None:
        raise errors.NotFoundError(f"no route {params['service']}")
    return exchange_module.Target(
        kind=configuration.SERVICE,
        name=route.service,
        path=parse.quote("/" + params.get("path", ""), safe=PATH_CHARACTERS),
        open=route.open,
        idempotent=route.idempotent,
    )


def _model_target(
    source: distribution.Distribution, exchange: exchange_module.Exchange
) -> exchange_module.Target:
    wanted = web.decode_body(exchange.body, ModelRequest)
    if wanted.model not in source.current.models:
        message = f"the model {wanted.model!r} does not exist"
        raise errors.ModelNotFoundError(message)
    exchange.stream = wanted.stream
    return exchange_module.Target(
        kind=configuration.ENGINE,
        name=wanted.model,
        path=exchange.request.url.path,
    )


def key_owner(
    source: distribution.Distribution, request: requests.Request
) -> configuration.KeyOwner:
    """Returns whose key came with a request.

    Raises:
        StaleConfigurationError: This VM cannot know whether keys are current.
        AuthenticationError: The key is missing, unknown or withdrawn.
    """
    if anyio.current_time() - source.confirmed_s > STALE_AFTER_S:
        message = "this VM cannot confirm that its keys are current"
        raise errors.StaleConfigurationError(message, retry_after_s=1.0)
    key = keys.from_header(request.headers.get("authorization"))
    if key is None:
        raise errors.AuthenticationError("a key is needed")
    owner = source.keys.get(keys.digest(key))
    if owner is None:
        raise errors.AuthenticationError("the key is not valid")
    return owner


def authenticate(source: distribution.Distribution) -> exchange_module.Filter:
    """Returns the filter that checks the caller's key."""

    async def run(
        exchange: exchange_module.Exchange, following: exchange_module.Next
    ) -> exchange_module.Reply:
        header = exchange.request.headers.get("authorization")
        exchange.key = keys.from_header(header) or ""
        if not exchange.goal().open:
            owner = key_owner(source, exchange.request)
            exchange.organisation = owner.organisation
            exchange.key_digest = keys.digest(exchange.key)
        return await following(exchange)

    return run


def limit_rate_static(
    source: distribution.Distribution, vm_count: Callable[[], int]
) -> exchange_module.Filter:
    """Returns the baseline's rate filter: an equal static split by VM."""
    buckets: dict[str, rates.Bucket] = {}

    async def run(
        exchange: exchange_module.Exchange, following: exchange_module.Next
    ) -> exchange_module.Reply:
        organisation = source.current.organisations.get(exchange.organisation)
        if organisation is None:
            return await following(exchange)
        now = anyio.current_time()
        count = max(1, vm_count())
        rate = organisation.rate_per_s / count
        burst = max(1.0, organisation.burst / count)
        bucket = buckets.setdefault(
            exchange.organisation, rates.Bucket(burst, now)
        )
        if not rates.take(bucket, now, rate=rate, burst=burst):
            raise errors.RateLimitError(
                f"organisation {exchange.organisation} is over its rate",
                retry_after_s=rates.wait_s(bucket, rate=rate),
            )
        return await following(exchange)

    return run


async def check_whole(
    exchange: exchange_module.Exchange, following: exchange_module.Next
) -> exchange_module.Reply:
    """Ends a stream that was cut with an error instead of as if whole."""
    reply = await following(exchange)
    if relay.is_event_stream(reply):
        reply.body = relay.checked_events(reply.body, exchange.id)
    return reply


async def account(
    exchange: exchange_module.Exchange, following: exchange_module.Next
) -> exchange_module.Reply:
    """Counts and logs each request's outcome."""
    status = 500
    code = ""
    try:
        reply = await following(exchange)
        status = reply.status
        return reply
    except errors.IbisknotError as error:
        status = error.status
        code = error.code
        raise
    finally:
        elapsed_s = anyio.current_time() - exchange.accepted_s
        labels = {"organisation": exchange.organisation, "status": str(status)}
        metrics.REQUESTS.inc(labels)
        metrics.FIRST_TOKEN_S.observe({}, elapsed_s)
        logs.event(
            "request",
            request=exchange.id,
            organisation=exchange.organisation,
            endpoint=exchange.endpoint,
            status=status,
            code=code,
            ran=exchange.ran,
            first_byte_s=round(elapsed_s, 6),
        )


async def _unless_gone(
    request: requests.Request, work: Coroutine[Any, Any, T]
) -> T:
    """Runs work for a request; gives it up when the caller leaves.

    Raises:
        BadRequestError: The caller has left; it gets no answer.
    """
    done: list[T] = []
    failed: list[Exception] = []
    async with anyio.create_task_group() as group:

        async def watch() -> None:
            while (await request.receive())["type"] != "http.disconnect":
                pass
            group.cancel_scope.cancel()

        group.start_soon(watch)
        try:
            done.append(await work)
        except Exception as error:
            failed.append(error)
        group.cancel_scope.cancel()
    if failed:
        raise failed[0]
    if not done:
        raise errors.BadRequestError("the caller left", ran=errors.UNKNOWN)
    return done[0]


def handler(step: exchange_module.Next, limits: settings.Limits) -> web.Handler:
    """Returns the HTTP handler of the online path."""

    async def handle(request: requests.Request) -> responses.Response:
        accepted_s = anyio.current_time()
        body = await web.read_body(
            request, limit=limits.body_bytes, timeout_s=limits.read_timeout_s
        )
        exchange = exchange_module.Exchange(request, body, accepted_s)
        try:
            reply = await _unless_gone(request, step(exchange))
        except BaseException as error:
            with anyio.CancelScope(shield=True):
                await exchange.closing.aclose()
            if isinstance(error, errors.IbisknotError):
                return web.error_response(error, exchange.id)
            raise
        return relay.RelayedResponse(exchange, reply)

    return handle
