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
from ibisknot import endpoint_http
from ibisknot import errors
from ibisknot import exchange as exchange_module
from ibisknot import logs
from ibisknot import metrics
from ibisknot import relay
from ibisknot import tickets
from ibisknot import traces

MAX_ATTEMPTS = 5
"""The first try, two that one crash request may spoil, and two for others."""
JSON = "application/json"
DONE_EVENT = _attempt.DONE_LINE + _attempt.EVENT_END


class ModelDispatch:
    """Sends admitted model requests to engines.

    Attributes:
        budget: Bounds the retries of this process.
    """

    def __init__(
        self,
        source: distribution.Distribution,
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
        """Sends a request and returns its answer.

        Raises:
            OverloadedError: No endpoint was free in time.
            EndpointError: Every allowed try failed.
            CrashRequestError: The request crashes endpoints.
        """
        breaker.add_credit(self.retry_budget)
        job = _Request(self, exchange)
        exchange.cleanup.push_async_callback(job.close)
        while True:
            try:
                attempt = await job.start_attempt(resume_from=0)
                return await self._reply(job, attempt)
            except errors.EndpointError as error:
                await job.handle_failure(error)

    async def _reply(
        self, job: "_Request", attempt: _attempt.Attempt
    ) -> exchange_module.Reply:
        response = attempt.response
        headers = dispatch.returned_headers(job.exchange, response)
        if response.status_code >= 500:
            await _raise_endpoint_error(response)
        if response.status_code != 200:
            body = await _read(response)
            await job.end_attempt(admission.CANCELLED)
        elif not dispatch.is_event_stream(response):
            body = await _attempt.read_complete_answer(attempt, job.exchange.id)
            await job.end_attempt(admission.OK)
        else:
            headers.pop("content-length", None)
            return exchange_module.Reply(200, headers, self._relay_events(job))
        return exchange_module.Reply(
            response.status_code, headers, relay.single_chunk(body)
        )

    async def _relay_events(self, job: "_Request") -> AsyncIterator[bytes]:
        """Relays a stream; continues it on another engine when cut."""
        while True:
            attempt = job.current_attempt()
            try:
                async for part in _attempt.relay_complete_events(
                    attempt, job.exchange.id
                ):
                    yield part
                await job.end_attempt(admission.OK)
                return
            except errors.EndpointError as error:
                finished = attempt.has_finish_reason()
                job.relayed_tokens += attempt.token_count()
                await job.handle_failure(error)
            if finished:
                yield DONE_EVENT
                return
            await job.resume()


class _Request:
    """One request with its tries.

    Attributes:
        relayed: Tokens that the caller has got from earlier tries.
        tries: Tries so far.
        avoid: Endpoints that failed this request.
    """

    def __init__(
        self, owner: ModelDispatch, exchange: exchange_module.Exchange
    ) -> None:
        self.owner = owner
        self.exchange = exchange
        self.attempt: _attempt.Attempt | None = None
        self.ticket: tickets.Ticket | None = None
        self.relayed_tokens = 0
        self.attempt_count = 0
        self.failed_endpoints: set[str] = set()

    def current_attempt(self) -> _attempt.Attempt:
        """Returns the try in progress."""
        assert self.attempt is not None
        return self.attempt

    async def start_attempt(self, *, resume_from: int) -> _attempt.Attempt:
        """Acquires a ticket and sends the request.

        Raises:
            EndpointError: The endpoint failed before its answer began.
            OverloadedError: No endpoint was free in time.
        """
        exchange = self.exchange
        self.attempt_count += 1
        verdict = self.owner.notices.verdict(exchange.fingerprint)
        self._check_verdict(verdict)
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
            self.ticket = await self.owner.ticket_client.acquire(ticket_request)
        exchange.admission_wait_s += anyio.current_time() - requested_s
        self.attempt = await self._send(self.ticket, resume_from)
        return self.attempt

    def _check_verdict(self, verdict: str) -> None:
        if verdict == crashes.REFUSED:
            message = "the request crashed the endpoints that ran it"
            ran = errors.RAN if self.attempt_count > 1 else errors.NOT_RUN
            raise errors.CrashRequestError(message, ran=ran)

    async def _send(
        self, ticket: tickets.Ticket, resume_from: int
    ) -> _attempt.Attempt:
        exchange = self.exchange
        exchange.endpoint = ticket.endpoint
        endpoint = self.owner.source.current.endpoints.get(ticket.endpoint)
        if endpoint is None:
            message = f"endpoint {ticket.endpoint} is not configured"
            raise errors.EndpointError(message, ran=errors.NOT_RUN)
        body = dispatch.redact(exchange.body, exchange.api_key)
        if resume_from:
            body = add_resume_from(body, resume_from)
        await self._check_answering(ticket.endpoint, endpoint.url)
        stack = contextlib.AsyncExitStack()
        started_s = anyio.current_time()
        sending = self.owner.endpoint_client.open(
            exchange.request.method,
            dispatch.upstream_url(exchange, endpoint),
            headers=dispatch.upstream_headers(exchange),
            body=body,
        )
        with traces.span(
            "dispatch", endpoint=ticket.endpoint, request=exchange.id
        ):
            try:
                response = await stack.enter_async_context(sending)
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
        )

    async def _check_answering(self, name: str, url: str) -> None:
        """Checks that an endpoint that crashed answers again.

        Raises:
            EndpointError: It does not; the request was not sent.
        """
        crashed = self.owner.notices.crashed_endpoints
        if name not in crashed:
            return
        if not await self.owner.endpoint_client.is_answering(url):
            message = f"endpoint {name} has not started again"
            raise errors.EndpointError(message, ran=errors.NOT_RUN)
        crashed.discard(name)

    async def resume(self) -> None:
        """Continues a stream that was cut on another engine.

        Raises:
            EndpointError: No engine could continue it.
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
        """Ends a try that failed; returns when another may be made.

        Raises:
            EndpointError: No other try is allowed.
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
            self._check_verdict(
                await self.owner.notices.report_crash(fingerprint, crash)
            )
        elif error.ran != errors.NOT_RUN and not breaker.consume_credit(
            self.owner.retry_budget
        ):
            raise error
        if self.attempt_count >= MAX_ATTEMPTS:
            raise error

    async def _has_crashed(
        self, ticket: tickets.Ticket, error: errors.EndpointError
    ) -> bool:
        if error.ran == errors.NOT_RUN:
            return False
        endpoint = self.owner.source.current.endpoints.get(ticket.endpoint)
        if endpoint is None:
            return False
        return not await self.owner.endpoint_client.is_answering(endpoint.url)

    async def end_attempt(self, outcome: str) -> None:
        """Ends the try in progress and gives its ticket back."""
        ticket, attempt = self.ticket, self.attempt
        self.ticket = self.attempt = None
        if attempt is not None:
            await attempt.stack.aclose()
        if ticket is None:
            return
        measurement = tickets.Measurement(outcome=outcome)
        if attempt is not None:
            measurement = _attempt.measure(attempt, outcome)
        await self.owner.ticket_client.release(ticket, measurement)
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
            self.owner.notices.record_completion(self.exchange.fingerprint)

    async def close(self) -> None:
        """Gives up whatever is in progress, because the caller has gone."""
        await self.end_attempt(admission.CANCELLED)


def add_resume_from(body: bytes, relayed_tokens: int) -> bytes:
    """Returns a request's body that continues at a token's position.

    >>> add_resume_from(b'{"model":"m"}', 3)
    b'{"model":"m","resume_from":3}'
    """
    fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    fields["resume_from"] = msgspec.Raw(str(relayed_tokens).encode())
    return msgspec.json.encode(fields)


async def _read(response: httpx.Response) -> bytes:
    try:
        return await response.aread()
    except httpx.HTTPError as error:
        message = f"the endpoint's answer was cut: {error!r}"
        raise errors.TruncatedStreamError(message) from None


async def _raise_endpoint_error(response: httpx.Response) -> None:
    """Raises the error that an endpoint answered with."""
    body = await _read(response)
    ran = errors.UNKNOWN
    if b'"ran":"not_run"' in body:
        ran = errors.NOT_RUN
    message = f"the endpoint answered {response.status_code}"
    raise errors.EndpointError(message, ran=ran)
