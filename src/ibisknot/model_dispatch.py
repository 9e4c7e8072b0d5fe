"""Dispatches model requests under tickets, with retries and resumption."""

from collections.abc import AsyncIterator
import contextlib

import anyio
import httpx
import msgspec

from ibisknot import _attempt
from ibisknot import admission
from ibisknot import breaker
from ibisknot import crash_notices
from ibisknot import crashes
from ibisknot import dispatch
from ibisknot import distribution
from ibisknot import endpoint_body
from ibisknot import endpoint_http
from ibisknot import errors
from ibisknot import exchange as exchange_module
from ibisknot import logs
from ibisknot import metrics
from ibisknot import relay
from ibisknot import tickets
from ibisknot import traces

MAX_ATTEMPTS = 5
"""Most attempts of one request.

The first one, two that fail because another request crashes two endpoints, and
two for other failures.
"""
DONE_EVENT = _attempt.DONE_LINE + _attempt.EVENT_END


class ModelDispatch:
    """Sends admitted model requests to engines.

    Attributes:
        source: The configuration in force.
        endpoint_client: Sends requests to engines.
        ticket_client: Acquires and releases tickets.
        notices: Crash notices of this and other VMs.
        retry_budget: Limits the retries of this process.
    """

    def __init__(
        self,
        source: distribution.LocalConfiguration,
        endpoint_client: endpoint_http.EndpointClient,
        ticket_client: tickets.Client,
        notices: crash_notices.CrashNotices,
    ) -> None:
        self.source = source
        self.endpoint_client = endpoint_client
        self.ticket_client = ticket_client
        self.notices = notices
        self.retry_budget = breaker.RetryBudget()

    async def run(
        self, exchange: exchange_module.Exchange
    ) -> exchange_module.Reply:
        """Sends a request and returns its response.

        Raises:
            OverloadedError: No ticket was granted in time.
            EndpointError: All allowed attempts failed.
            CrashRequestError: The request crashes endpoints.
        """
        breaker.add_credit(self.retry_budget)
        request = _Request(self, exchange)
        exchange.cleanup.push_async_callback(request.close)
        while True:
            try:
                attempt = await request.start_attempt(resume_from=0)
                return await self._create_reply(request, attempt)
            except errors.EndpointError as error:
                await request.handle_failure(error)

    async def _create_reply(
        self, request: "_Request", attempt: _attempt.Attempt
    ) -> exchange_module.Reply:
        """Returns the reply for an attempt whose answer has started.

        Raises:
            EndpointError: The endpoint answered with a server error, or its
                answer is truncated or belongs to another request.
        """
        response = attempt.response
        headers = dispatch.returned_headers(request.exchange, response)
        if response.status_code >= 500:
            await _raise_endpoint_error(response)
        if response.status_code != 200:
            body = await _read_body(response)
            await request.end_attempt(admission.CANCELLED)
        elif not dispatch.is_event_stream(response):
            body = await _attempt.read_complete_response(
                attempt, request.exchange.id
            )
            await request.end_attempt(admission.OK)
        else:
            headers.pop("content-length", None)
            return exchange_module.Reply(
                200, headers, self._relay_events(request)
            )
        return exchange_module.Reply(
            response.status_code, headers, relay.single_chunk(body)
        )

    async def _relay_events(self, request: "_Request") -> AsyncIterator[bytes]:
        """Relays a stream, and resumes it at another engine if it is truncated.

        A stream truncated after its last token is ended here instead.
        """
        while True:
            attempt = request.current_attempt()
            try:
                async for events in _attempt.read_complete_events(
                    attempt, request.exchange.id
                ):
                    yield events
                await request.end_attempt(admission.OK)
                return
            except errors.EndpointError as error:
                has_finished = attempt.has_finish_reason()
                if attempt.event_count:
                    request.software = attempt.software
                request.relayed_tokens += attempt.token_count()
                await request.handle_failure(error)
            if has_finished:
                yield DONE_EVENT
                return
            await request.resume()


class _Request:
    """One model request with its attempts.

    Attributes:
        attempt: The attempt in progress, if its response has started.
        ticket: The ticket of the attempt in progress.
        relayed_tokens: Tokens relayed to the caller from earlier attempts.
        attempt_count: Attempts so far.
        failed_endpoints: Names of the endpoints that failed this request.
        software: System fingerprint of the relayed events, or None before the
            first one.
    """

    def __init__(
        self, dispatcher: ModelDispatch, exchange: exchange_module.Exchange
    ) -> None:
        self.dispatcher = dispatcher
        self.exchange = exchange
        self.attempt: _attempt.Attempt | None = None
        self.ticket: tickets.Ticket | None = None
        self.relayed_tokens = 0
        self.attempt_count = 0
        self.failed_endpoints: set[str] = set()
        self.software: str | None = None

    def current_attempt(self) -> _attempt.Attempt:
        """Returns the attempt in progress."""
        assert self.attempt is not None
        return self.attempt

    async def start_attempt(self, *, resume_from: int) -> _attempt.Attempt:
        """Acquires a ticket and sends the request.

        Args:
            resume_from: Number of tokens after which to continue, 0 to start.

        Raises:
            EndpointError: The endpoint failed before its response started.
            OverloadedError: No ticket was granted in time.
            CrashRequestError: The request crashes endpoints.
        """
        exchange = self.exchange
        self.attempt_count += 1
        verdict = self.dispatcher.notices.verdict(exchange.fingerprint)
        self._refuse_if_crash_request(verdict)
        ticket_request = tickets.TicketRequest(
            kind=admission.ONLINE,
            model=exchange.require_target().name,
            organisation=exchange.organisation,
            request_id=exchange.id,
            prompt=exchange.prompt,
            max_tokens=exchange.max_tokens,
            max_wait_s=exchange.deadline_s - anyio.current_time(),
            crash_suspect=verdict == crashes.SUSPECT,
            avoid=frozenset(self.failed_endpoints),
        )
        requested_s = anyio.current_time()
        with traces.span("admit", request=exchange.id):
            self.ticket = await self.dispatcher.ticket_client.acquire(
                ticket_request
            )
        exchange.admission_wait_s += anyio.current_time() - requested_s
        self.attempt = await self._send(self.ticket, resume_from)
        return self.attempt

    def _refuse_if_crash_request(self, verdict: str) -> None:
        """Ends a request whose verdict is `refused`.

        Raises:
            CrashRequestError: The request crashes endpoints.
        """
        if verdict == crashes.REFUSED:
            message = "the request crashed the endpoints that ran it"
            ran = errors.RAN if self.attempt_count > 1 else errors.NOT_RUN
            raise errors.CrashRequestError(message, ran=ran)

    async def _send(
        self, ticket: tickets.Ticket, resume_from: int
    ) -> _attempt.Attempt:
        """Sends the request under its ticket; returns when the response starts.

        Raises:
            EndpointError: The endpoint failed before its response started.
        """
        exchange = self.exchange
        exchange.endpoint = ticket.endpoint
        endpoint = self.dispatcher.source.current.endpoints.get(ticket.endpoint)
        if endpoint is None:
            message = f"endpoint {ticket.endpoint} is not configured"
            raise errors.EndpointError(message, ran=errors.NOT_RUN)
        body = dispatch.redact(exchange.body, exchange.api_key)
        if resume_from:
            body = add_resume_from(body, resume_from)
        await self._check_answering(ticket.endpoint, endpoint.url)
        stack = contextlib.AsyncExitStack()
        started_s = anyio.current_time()
        opened = self.dispatcher.endpoint_client.open(
            exchange.request.method,
            dispatch.upstream_url(exchange, endpoint),
            headers=dispatch.upstream_headers(exchange),
            body=body,
            is_retry=self.attempt_count > 1,
        )
        with traces.span(
            "dispatch", endpoint=ticket.endpoint, request=exchange.id
        ):
            try:
                response = await stack.enter_async_context(opened)
            except errors.EndpointError as error:
                dispatch.record_ran(exchange, error.ran)
                raise
        dispatch.record_ran(exchange, errors.RAN)
        metrics.IN_FLIGHT.inc({"endpoint": ticket.endpoint})
        stack.callback(metrics.IN_FLIGHT.dec, {"endpoint": ticket.endpoint})
        return _attempt.Attempt(
            endpoint=ticket.endpoint,
            url=endpoint.url,
            ticket=ticket,
            response=response,
            stack=stack,
            started_s=started_s,
            needed_software=self.software,
        )

    async def _check_answering(self, endpoint: str, url: str) -> None:
        """Checks that an endpoint that has crashed answers again.

        Raises:
            EndpointError: It does not answer; the request was not sent.
        """
        crashed_endpoints = self.dispatcher.notices.crashed_endpoints
        if endpoint not in crashed_endpoints:
            return
        if not await self.dispatcher.endpoint_client.is_answering(url):
            message = f"endpoint {endpoint} crashed and does not answer yet"
            raise errors.EndpointError(message, ran=errors.NOT_RUN)
        crashed_endpoints.discard(endpoint)

    async def resume(self) -> None:
        """Starts the attempt that continues a stream at another engine.

        Raises:
            EndpointError: All allowed attempts failed.
            OverloadedError: No ticket was granted in time.
            CrashRequestError: The request crashes endpoints.
        """
        while True:
            try:
                attempt = await self.start_attempt(
                    resume_from=self.relayed_tokens
                )
                if attempt.response.status_code == 200:
                    return
                await _raise_endpoint_error(attempt.response)
            except errors.EndpointError as error:
                await self.handle_failure(error)

    async def handle_failure(self, error: errors.EndpointError) -> None:
        """Ends a failed attempt; returns if another one is allowed.

        Failures that are a crash or `not_run` consume no retry credit.

        Raises:
            EndpointError: No other attempt is allowed.
            CrashRequestError: The request crashes endpoints.
        """
        ticket = self.ticket
        if ticket is None:
            raise error
        dispatch.log_failure(self.exchange, ticket.endpoint, error)
        crashed = await self._has_crashed(ticket, error)
        before_first_token = (
            self.attempt is None or not self.attempt.event_count
        )
        await self.end_attempt(_attempt.failure_outcome(error, crashed=crashed))
        self.failed_endpoints.add(ticket.endpoint)
        if crashed:
            crash = crashes.Crash(
                endpoint=ticket.endpoint,
                request_id=self.exchange.id,
                exclusive=ticket.exclusive,
                before_first_token=before_first_token,
            )
            fingerprint = self.exchange.fingerprint
            self._refuse_if_crash_request(
                await self.dispatcher.notices.report_crash(fingerprint, crash)
            )
        elif error.ran != errors.NOT_RUN and not breaker.consume_credit(
            self.dispatcher.retry_budget
        ):
            raise error
        if self.attempt_count >= MAX_ATTEMPTS:
            raise error

    async def _has_crashed(
        self, ticket: tickets.Ticket, error: errors.EndpointError
    ) -> bool:
        """Returns whether the endpoint of a failed attempt has crashed."""
        if error.ran == errors.NOT_RUN:
            return False
        endpoint = self.dispatcher.source.current.endpoints.get(ticket.endpoint)
        if endpoint is None:
            return False
        return not await self.dispatcher.endpoint_client.is_answering(
            endpoint.url
        )

    async def end_attempt(self, outcome: str) -> None:
        """Ends the attempt in progress, if any, and releases its ticket."""
        ticket, attempt = self.ticket, self.attempt
        self.ticket = self.attempt = None
        if attempt is not None:
            await attempt.stack.aclose()
        if ticket is None:
            return
        measurement = tickets.Measurement(outcome=outcome)
        if attempt is not None:
            measurement = _attempt.measure(attempt, outcome)
        await self.dispatcher.ticket_client.release(ticket, measurement)
        logs.event(
            "ticket_released",
            level="debug",
            request=self.exchange.id,
            endpoint=ticket.endpoint,
            outcome=outcome,
            first_token_s=round(measurement.first_token_s, 6),
            token_gap_s=round(measurement.token_gap_s, 6),
        )
        if outcome == admission.OK:
            self.dispatcher.notices.record_completion(self.exchange.fingerprint)

    async def close(self) -> None:
        """Cancels the attempt in progress; called when the exchange ends."""
        await self.end_attempt(admission.CANCELLED)


def add_resume_from(body: bytes, relayed_tokens: int) -> bytes:
    """Returns the body of a request that continues after the relayed tokens.

    >>> add_resume_from(b'{"model":"m"}', 3)
    b'{"model":"m","resume_from":3}'
    """
    fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    fields["resume_from"] = msgspec.Raw(str(relayed_tokens).encode())
    return msgspec.json.encode(fields)


async def _read_body(response: httpx.Response) -> bytes:
    """Reads a response's body to its end.

    Raises:
        TruncatedStreamError: The response was truncated or is too large.
    """
    try:
        return await endpoint_body.read(response)
    except httpx.HTTPError as error:
        message = f"the endpoint's response was truncated: {error!r}"
        raise errors.TruncatedStreamError(message) from None


async def _raise_endpoint_error(response: httpx.Response) -> None:
    """Raises the error for a response with an error status.

    Raises:
        EndpointError: Always; `ran` is `not_run` if the response says so.
        TruncatedStreamError: The response was truncated.
    """
    body = await _read_body(response)
    ran = errors.UNKNOWN
    if b'"ran":"not_run"' in body:
        ran = errors.NOT_RUN
    message = f"the endpoint answered {response.status_code}"
    raise errors.EndpointError(message, ran=ran)
