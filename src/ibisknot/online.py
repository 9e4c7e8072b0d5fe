"""The online path: filters that a caller's request passes to its response.

A filter gets the exchange and the rest of the pipeline, `following`.
"""

from collections.abc import Callable
from typing import Any
from urllib import parse

import anyio
import msgspec
from starlette import requests
from starlette import responses

from ibisknot import api_keys
from ibisknot import buckets
from ibisknot import configuration
from ibisknot import crash_notices
from ibisknot import crashes
from ibisknot import distribution
from ibisknot import errors
from ibisknot import exchange as exchange_module
from ibisknot import logs
from ibisknot import metrics
from ibisknot import relay
from ibisknot import settings
from ibisknot import traces
from ibisknot import web

UNESCAPED_PATH_CHARACTERS = "/:@!$&'()*+,;=~"
"""Characters of a path that need no escape."""
DEFAULT_MAX_TOKENS = 16
"""Token limit of a request that states none."""
TIMEOUT_HEADER = "x-request-timeout-s"
"""Header with the seconds for which the caller waits."""


class ModelRequest(msgspec.Struct):
    """Fields of a model request that are read here."""

    model: str
    stream: bool = False
    messages: Any = None
    prompt: Any = None
    max_tokens: int | None = None
    max_completion_tokens: int | None = None

    def prompt_text(self) -> str:
        """Returns the prompt as engines read it."""
        if not isinstance(self.messages, list):
            return self.prompt if isinstance(self.prompt, str) else ""
        return "\n".join(_message_line(message) for message in self.messages)

    def token_limit(self) -> int:
        """Returns the greatest number of tokens to generate."""
        return (
            self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS
        )


def _message_line(message: Any) -> str:
    if not isinstance(message, dict):
        return ""
    return f"{message.get('role', '')}: {message.get('content', '')}"


async def trace(
    exchange: exchange_module.Exchange, following: exchange_module.Handler
) -> exchange_module.Reply:
    """Opens the request's span; its parent is the span of the HTTP call."""
    with traces.span("request", request=exchange.id):
        return await following(exchange)


def identify_target(
    source: distribution.LocalConfiguration,
) -> exchange_module.Filter:
    """Returns the filter that finds the target of a request."""

    async def run(
        exchange: exchange_module.Exchange, following: exchange_module.Handler
    ) -> exchange_module.Reply:
        params = exchange.request.path_params
        if "service" in params:
            exchange.target = _service_target(source, params)
        else:
            exchange.target = _model_target(source, exchange)
        return await following(exchange)

    return run


def _service_target(
    source: distribution.LocalConfiguration, params: dict[str, str]
) -> exchange_module.Target:
    route = source.current.routes.get(params["service"])
    if route is None:
        raise errors.NotFoundError(f"no route {params['service']}")
    return exchange_module.Target(
        kind=configuration.SERVICE,
        name=route.service,
        path=parse.quote(
            "/" + params.get("path", ""), safe=UNESCAPED_PATH_CHARACTERS
        ),
        allows_anonymous=route.open,
        idempotent=route.idempotent,
    )


def _model_target(
    source: distribution.LocalConfiguration, exchange: exchange_module.Exchange
) -> exchange_module.Target:
    model_request = web.decode_body(exchange.body, ModelRequest)
    if not source.current.has_model(model_request.model):
        message = f"the model {model_request.model!r} does not exist"
        raise errors.ModelNotFoundError(message)
    exchange.is_stream = model_request.stream
    exchange.prompt = model_request.prompt_text()
    exchange.max_tokens = model_request.token_limit()
    exchange.fingerprint = crashes.request_fingerprint(
        configuration.ENGINE, model_request.model, exchange.prompt
    )
    return exchange_module.Target(
        kind=configuration.ENGINE,
        name=model_request.model,
        path=exchange.request.url.path,
    )


def key_owner(
    source: distribution.LocalConfiguration, request: requests.Request
) -> configuration.KeyOwner:
    """Returns the owner of a request's key.

    Raises:
        StaleConfigurationError: This VM cannot confirm that its keys are
            current.
        AuthenticationError: The key is missing, unknown or withdrawn.
    """
    source.check_fresh(anyio.current_time())
    key = api_keys.from_header(request.headers.get("authorization"))
    if key is None:
        raise errors.AuthenticationError("an API key is required")
    owner = source.key_owners.get(api_keys.digest(key))
    if owner is None:
        raise errors.AuthenticationError("the key is not valid")
    return owner


def _allows_anonymous(
    source: distribution.LocalConfiguration, request: requests.Request
) -> bool:
    """Returns whether the route of a request needs no key."""
    route = source.current.routes.get(request.path_params.get("service", ""))
    return route is not None and route.open


def authenticate(
    source: distribution.LocalConfiguration,
) -> exchange_module.Filter:
    """Returns the filter that checks the caller's key.

    It runs before the body is decoded and the target is looked up, so that the
    answer to a caller without a key does not show which models and routes
    exist.
    """

    async def run(
        exchange: exchange_module.Exchange, following: exchange_module.Handler
    ) -> exchange_module.Reply:
        header = exchange.request.headers.get("authorization")
        exchange.api_key = api_keys.from_header(header) or ""
        if not _allows_anonymous(source, exchange.request):
            owner = key_owner(source, exchange.request)
            exchange.organisation = owner.organisation
            exchange.key_digest = api_keys.digest(exchange.api_key)
        return await following(exchange)

    return run


def limit_rate_static(
    source: distribution.LocalConfiguration, vm_count: Callable[[], int]
) -> exchange_module.Filter:
    """Returns the naive policy's rate filter.

    Each VM has an equal static part of an organisation's rate and burst.

    Args:
        source: The configuration in force.
        vm_count: Returns the number of VMs.
    """
    buckets_by_organisation: dict[str, buckets.Bucket] = {}

    async def run(
        exchange: exchange_module.Exchange, following: exchange_module.Handler
    ) -> exchange_module.Reply:
        organisation = source.current.organisations.get(exchange.organisation)
        if organisation is None:
            return await following(exchange)
        now = anyio.current_time()
        count = max(1, vm_count())
        rate = organisation.rate_per_s / count
        burst = max(1.0, organisation.burst / count)
        bucket = buckets_by_organisation.setdefault(
            exchange.organisation, buckets.Bucket(burst, now)
        )
        if not buckets.consume(bucket, now, rate=rate, burst=burst):
            raise errors.RateLimitError(
                f"organisation {exchange.organisation} is over its rate",
                retry_after_s=buckets.next_token_s(bucket, rate=rate),
            )
        return await following(exchange)

    return run


def refuse_crash_requests(
    notices: crash_notices.CrashNotices,
) -> exchange_module.Filter:
    """Returns the filter that refuses requests known to crash endpoints."""

    async def run(
        exchange: exchange_module.Exchange, following: exchange_module.Handler
    ) -> exchange_module.Reply:
        if notices.verdict(exchange.fingerprint) == crashes.REFUSED:
            message = "the request crashed the endpoints that ran it"
            raise errors.CrashRequestError(message, ran=errors.NOT_RUN)
        return await following(exchange)

    return run


async def check_complete(
    exchange: exchange_module.Exchange, following: exchange_module.Handler
) -> exchange_module.Reply:
    """Ends a truncated response with an error.

    A response that is not a stream is read to its end before its first byte is
    sent, because an error can replace it only until then.
    """
    reply = await following(exchange)
    if relay.is_event_stream(reply):
        reply.body = relay.checked_events(reply.body, exchange.id)
        return reply
    body = await relay.read_complete(reply.body)
    stated_length = reply.headers.get("content-length")
    if stated_length is not None and stated_length != str(len(body)):
        message = (
            f"the response has {len(body)} bytes instead of {stated_length}"
        )
        raise errors.TruncatedStreamError(message)
    reply.body = relay.single_chunk(body)
    return reply


def key_withdrawal_guard(
    source: distribution.LocalConfiguration, exchange: exchange_module.Exchange
) -> relay.Guard:
    """Returns the guard that ends a request whose key is withdrawn.

    It ends it `key_grace_s` after the withdrawal.
    """

    async def run() -> errors.IbisknotError:
        # The digest is set only once the request is authenticated.
        while not exchange.key_digest or source.is_key_valid(
            exchange.key_digest
        ):
            await source.changed.wait()
        await anyio.sleep(source.current.policy.key_grace_s)
        return errors.KeyWithdrawnError(
            "the key was withdrawn", ran=exchange.ran
        )

    return run


def deadline_guard(exchange: exchange_module.Exchange) -> relay.Guard:
    """Returns the guard that ends a request at its deadline."""

    async def run() -> errors.IbisknotError:
        await anyio.sleep_until(exchange.deadline_s)
        message = "the response was not complete at the request's deadline"
        return errors.DeadlineError(message, ran=exchange.ran)

    return run


def request_timeout_s(
    request: requests.Request, limits: settings.Limits
) -> float:
    """Returns the seconds for which the caller waits, up to the limit.

    Raises:
        BadRequestError: The header is not a number of seconds.
    """
    header_value = request.headers.get(TIMEOUT_HEADER)
    if header_value is None:
        return limits.request_timeout_s
    try:
        requested_s = float(header_value)
    except ValueError:
        message = f"{TIMEOUT_HEADER} is not a number of seconds"
        raise errors.BadRequestError(message) from None
    return min(limits.request_timeout_s, requested_s)


async def record_outcome(
    exchange: exchange_module.Exchange, following: exchange_module.Handler
) -> exchange_module.Reply:
    """Counts and logs the outcome of each request."""
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
        elapsed_s = anyio.current_time() - exchange.received_s
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
            admitted_s=round(exchange.admission_wait_s, 6),
            first_byte_s=round(elapsed_s, 6),
        )


def handler(
    pipeline: exchange_module.Handler,
    source: distribution.LocalConfiguration,
    limits: settings.Limits,
) -> web.Handler:
    """Returns the HTTP handler of the online path.

    Args:
        pipeline: Runs a request through the filters.
        source: The configuration in force.
        limits: Limits of bodies and times.
    """

    async def handle(request: requests.Request) -> responses.Response:
        accepted_s = anyio.current_time()
        body = await web.read_body(
            request,
            max_bytes=limits.body_bytes,
            timeout_s=limits.read_timeout_s,
        )
        exchange = exchange_module.Exchange(request, body, accepted_s)
        exchange.deadline_s = accepted_s + request_timeout_s(request, limits)
        guards = [
            key_withdrawal_guard(source, exchange),
            deadline_guard(exchange),
        ]

        async def caller_gone() -> errors.IbisknotError:
            return await relay.wait_for_disconnect(request.receive)

        async def run_pipeline() -> exchange_module.Reply:
            return await pipeline(exchange)

        try:
            reply = await relay.run_guarded(
                run_pipeline, [caller_gone, *guards]
            )
        except BaseException as error:
            with anyio.CancelScope(shield=True):
                await exchange.cleanup.aclose()
            if isinstance(error, errors.IbisknotError):
                _correct_ran(exchange, error)
                return web.error_response(error, exchange.id)
            raise
        return relay.RelayedResponse(exchange, reply, guards)

    return handle


def _correct_ran(
    exchange: exchange_module.Exchange, error: errors.IbisknotError
) -> None:
    """Corrects an error's `ran` if an earlier attempt may have run."""
    if error.ran == errors.NOT_RUN and exchange.ran != errors.NOT_RUN:
        error.ran = exchange.ran
