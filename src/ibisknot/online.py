"""The online path: filters from a caller's request to its answer."""

from collections.abc import Callable

import anyio
import msgspec
from starlette import requests
from starlette import responses

from ibisknot import buckets
from ibisknot import configuration
from ibisknot import distribution
from ibisknot import errors
from ibisknot import exchange as exchange_module
from ibisknot import keys
from ibisknot import logs
from ibisknot import metrics
from ibisknot import relay
from ibisknot import settings
from ibisknot import traces
from ibisknot import web


class ModelRequest(msgspec.Struct):
    """The fields of a model request that the path needs."""

    model: str
    stream: bool = False


async def trace(
    exchange: exchange_module.Exchange, following: exchange_module.Next
) -> exchange_module.Reply:
    """Opens the request's span below the caller's trace context."""
    parent = exchange.request.headers.get("traceparent")
    with traces.span("request", parent=parent, request=exchange.id):
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
        path="/" + params.get("path", ""),
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
    source.check_current(anyio.current_time())
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
    by_name: dict[str, buckets.Bucket] = {}

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
        bucket = by_name.setdefault(
            exchange.organisation, buckets.Bucket(burst, now)
        )
        if not buckets.take(bucket, now, rate=rate, burst=burst):
            raise errors.RateLimitError(
                f"organisation {exchange.organisation} is over its rate",
                retry_after_s=buckets.wait_s(bucket, rate=rate),
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


def handler(step: exchange_module.Next, limits: settings.Limits) -> web.Handler:
    """Returns the HTTP handler of the online path."""

    async def handle(request: requests.Request) -> responses.Response:
        accepted_s = anyio.current_time()
        body = await web.read_body(
            request, limit=limits.body_bytes, timeout_s=limits.read_timeout_s
        )
        exchange = exchange_module.Exchange(request, body, accepted_s)
        try:
            reply = await step(exchange)
        except BaseException as error:
            with anyio.CancelScope(shield=True):
                await exchange.closing.aclose()
            if isinstance(error, errors.IbisknotError):
                return web.error_response(error, exchange.id)
            raise
        return relay.RelayedResponse(exchange, reply)

    return handle
