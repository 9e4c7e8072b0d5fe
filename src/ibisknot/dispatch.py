"""Sends a request to one endpoint.

The dispatchers of model requests and of calls of services share these
functions. The naive policy's dispatch is here too.
"""

from collections.abc import AsyncIterator
import random
from urllib import parse

import httpx

from ibisknot import configuration
from ibisknot import distribution
from ibisknot import endpoint_http
from ibisknot import errors
from ibisknot import exchange as exchange_module
from ibisknot import logs
from ibisknot import metrics
from ibisknot import traces

FORWARDED_HEADERS = ("content-type", "accept", "idempotency-key")
"""Headers of the caller that are sent to the endpoint."""
RETURNED_HEADERS = ("content-type", "content-length")
"""Headers of the endpoint that are sent to the caller."""
MAX_ATTEMPTS = 3
"""Most endpoints that one request is sent to under the naive policy."""
REDACTED = "[redacted]"


def redact(content: bytes, api_key: str) -> bytes:
    """Replaces each copy of a caller's key in a body or header.

    >>> redact(b'{"user": "ik-1"}', "ik-1")
    b'{"user": "[redacted]"}'
    """
    if not api_key:
        return content
    return content.replace(api_key.encode(), REDACTED.encode())


def upstream_headers(exchange: exchange_module.Exchange) -> dict[str, str]:
    """Returns the headers for the endpoint, without the caller's key.

    Raises:
        BadRequestError: A header to forward is not ASCII.
    """
    caller_headers = exchange.request.headers
    for name in FORWARDED_HEADERS:
        if not caller_headers.get(name, "").isascii():
            raise errors.BadRequestError(f"the header {name} is not ASCII")
    headers = {
        name: redact(caller_headers[name].encode(), exchange.api_key).decode()
        for name in FORWARDED_HEADERS
        if name in caller_headers
    }
    headers["x-request-id"] = exchange.id
    headers.update(traces.headers())
    return headers


def upstream_query(exchange: exchange_module.Exchange) -> str:
    """Returns the query for the endpoint, without the caller's key.

    Parameters whose name or value is the key are left out.
    """
    pairs = [
        (name, value)
        for name, value in exchange.request.query_params.multi_items()
        if exchange.api_key not in (name, value) or not exchange.api_key
    ]
    return parse.urlencode(pairs)


def upstream_url(
    exchange: exchange_module.Exchange, endpoint: configuration.Endpoint
) -> str:
    """Returns the URL at an endpoint, without the caller's key in its query."""
    url = endpoint.url + exchange.require_target().path
    query = upstream_query(exchange)
    return f"{url}?{query}" if query else url


def returned_headers(
    exchange: exchange_module.Exchange, response: httpx.Response
) -> dict[str, str]:
    """Returns the headers for the caller."""
    headers = {
        header: response.headers[header]
        for header in RETURNED_HEADERS
        if header in response.headers
    }
    headers["x-request-id"] = exchange.id
    return headers


def is_event_stream(response: httpx.Response) -> bool:
    """Returns whether a response is a stream of server-sent events."""
    content_type = response.headers.get("content-type", "")
    return content_type.startswith("text/event-stream")


_RAN_ORDER = (errors.NOT_RUN, errors.UNKNOWN, errors.RAN)


def record_ran(exchange: exchange_module.Exchange, ran: str) -> None:
    """Records whether one attempt ran the request.

    `exchange.ran` only changes from `not_run` to `unknown` to `ran`, so that
    a later attempt does not hide that an earlier one may have run.

    >>> _RAN_ORDER.index(errors.RAN) > _RAN_ORDER.index(errors.UNKNOWN)
    True
    """
    exchange.ran = max(exchange.ran, ran, key=_RAN_ORDER.index)


def candidate_endpoints(
    source: distribution.LocalConfiguration, target: exchange_module.Target
) -> list[str]:
    """Returns the names of the active endpoints that serve a target."""
    if target.kind == "engine":
        return source.current.active_engines(target.name)
    return source.current.active_services(target.name)


def naive_filter(
    source: distribution.LocalConfiguration,
    endpoint_client: endpoint_http.EndpointClient,
) -> exchange_module.Filter:
    """Returns the last filter of the naive policy: picks a random endpoint."""
    rng = random.Random()

    async def run(
        exchange: exchange_module.Exchange, _next: exchange_module.Handler
    ) -> exchange_module.Reply:
        names = candidate_endpoints(source, exchange.require_target())
        rng.shuffle(names)
        if not names:
            message = (
                f"no active endpoint serves {exchange.require_target().name}"
            )
            raise errors.OverloadedError(message, retry_after_s=1.0)
        last_error: errors.EndpointError | None = None
        for name in names[:MAX_ATTEMPTS]:
            try:
                return await send(source, endpoint_client, exchange, name)
            except errors.EndpointError as error:
                last_error = error
                log_failure(exchange, name, error)
                if not may_retry(exchange):
                    raise
        assert last_error is not None
        raise last_error

    return run


def fleet_filter(
    models: exchange_module.Handler, services: exchange_module.Handler
) -> exchange_module.Filter:
    """Returns a last filter that dispatches by the kind of the target.

    Args:
        models: Dispatches model requests.
        services: Dispatches calls of plain services.
    """

    async def run(
        exchange: exchange_module.Exchange, _next: exchange_module.Handler
    ) -> exchange_module.Reply:
        if exchange.require_target().kind == configuration.ENGINE:
            return await models(exchange)
        return await services(exchange)

    return run


def may_retry(exchange: exchange_module.Exchange) -> bool:
    """Returns whether another attempt is allowed after a failure.

    A request that must not be repeated is sent once under its claim, whatever
    the outcome.
    """
    return exchange.require_target().idempotent


def log_failure(
    exchange: exchange_module.Exchange,
    endpoint: str,
    error: errors.EndpointError,
) -> None:
    """Logs the failure of one attempt."""
    logs.event(
        "dispatch_failed",
        level="warning",
        request=exchange.id,
        endpoint=endpoint,
        ran=error.ran,
        cause=error.message,
    )


async def send(
    source: distribution.LocalConfiguration,
    endpoint_client: endpoint_http.EndpointClient,
    exchange: exchange_module.Exchange,
    endpoint: str,
) -> exchange_module.Reply:
    """Sends the request to one endpoint and returns its response.

    Raises:
        EndpointError: The endpoint failed before its response started.
    """
    url = upstream_url(exchange, source.current.endpoints[endpoint])
    exchange.endpoint = endpoint
    with traces.span("dispatch", endpoint=endpoint, request=exchange.id):
        opened = endpoint_client.open(
            exchange.request.method,
            url,
            headers=upstream_headers(exchange),
            body=redact(exchange.body, exchange.api_key),
        )
        try:
            response = await exchange.cleanup.enter_async_context(opened)
        except errors.EndpointError as error:
            record_ran(exchange, error.ran)
            raise
    record_ran(exchange, errors.RAN)
    metrics.IN_FLIGHT.inc({"endpoint": endpoint})
    exchange.cleanup.callback(metrics.IN_FLIGHT.dec, {"endpoint": endpoint})
    return exchange_module.Reply(
        response.status_code,
        returned_headers(exchange, response),
        _relay_body(response),
    )


async def _relay_body(response: httpx.Response) -> AsyncIterator[bytes]:
    """Yields a response's body as it arrives.

    Raises:
        TruncatedStreamError: The connection broke before the end.
    """
    try:
        async for chunk in response.aiter_raw():
            yield chunk
    except httpx.HTTPError as error:
        message = f"the endpoint's response was truncated: {error!r}"
        raise errors.TruncatedStreamError(message) from None
