"""Dispatches model requests under tickets, with retries and resumption."""

from collections.abc import AsyncIterator
import contextlib

import anyio
import httpx
import msgspec

from ibisknot import _attempt
from ibisknot import admission
from ibisknot import breaker
from ibisknot import crashes
from ibisknot import dispatch
from ibisknot import distribution
from ibisknot import engine
from ibisknot import errors
from ibisknot import exchange as exchange_module
from ibisknot import logs
from ibisknot import metrics
from ibisknot import notices as notices_module
from ibisknot import relay
from ibisknot import tickets
from ibisknot import traces

MAXIMUM_TRIES = 5
"""The first try, two that one crash request may spoil, and two for others."""
JSON = "application/json"
DONE_EVENT = _attempt.DONE + _attempt.EVENT_END


class ModelDispatch:
    """Sends admitted model requests to engines.

    Attributes:
        budget: Bounds the retries of this process.
    """

    def __init__(
        self,
        source: distribution.Distribution,
        engines: engine.Engines,
        client: tickets.Client,
        notices: notices_module.Notices,
    ) -> None:
        self.source = source
        self.engines = engines
        self.client = client
        self.notices = notices
        self.budget = breaker.RetryBudget()

    async def run(
        self, exchange: exchange_module.Exchange
    ) -> exchange_module.Reply:
        """Sends a request and returns its answer.

        Raises:
            OverloadedError: No endpoint was free in time.
            EndpointError: Every allowed try failed.
            CrashRequestError: The request crashes endpoints.
        """
        breaker.add_credit(self.budget)
        job = _Job(self, exchange)
        exchange.closing.push_async_callback(job.close)
        while True:
            try:
                attempt = await job.start(resume_from=0)
                return await self._reply(job, attempt)
            except errors.EndpointError as error:
                await job.failed(error)

    async def _reply(
        self, job: "_Job", attempt: _attempt.Attempt
    ) -> exchange_module.Reply:
        response = attempt.response
        headers = dispatch.returned_headers(job.exchange, response)
        if response.status_code >= 500:
            await _raise_failure(response)
        if response.status_code != 200:
            body = await _read(response)
            await job.end(admission.CANCELLED)
        elif not dispatch.is_stream(response):
            body = await _attempt.whole_answer(attempt, job.exchange.id)
            await job.end(admission.OK)
        else:
            headers.pop("content-length", None)
            return exchange_module.Reply(200, headers, self._events(job))
        return exchange_module.Reply(
            response.status_code, headers, relay.single(body)
        )

    async def _events(self, job: "_Job") -> AsyncIterator[bytes]:
        """Relays a stream; continues it on another engine when cut."""
        while True:
            attempt = job.current()
            try:
                async for part in _attempt.whole_events(
                    attempt, job.exchange.id
                ):
                    yield part
                await job.end(admission.OK)
                return
            except errors.EndpointError as error:
                finished = attempt.finished()
                job.relayed += attempt.tokens()
                await job.failed(error)
            if finished:
                yield DONE_EVENT
                return
            await job.resume()


class _Job:
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
        self.relayed = 0
        self.tries = 0
        self.avoid: set[str] = set()

    def current(self) -> _attempt.Attempt:
        """Returns the try in progress."""
        assert self.attempt is not None
        return self.attempt

    async def start(self, *, resume_from: int) -> _attempt.Attempt:
        """Acquires a ticket and sends the request.

        Raises:
            EndpointError: The endpoint failed before its answer began.
            OverloadedError: No endpoint was free in time.
        """
        exchange = self.exchange
        self.tries += 1
        verdict = self.owner.notices.verdict(exchange.fingerprint)
        self._check(verdict)
        ask = tickets.TicketRequest(
            kind=admission.ONLINE,
            model=exchange.goal().name,
            organisation=exchange.organisation,
            request_id=exchange.id,
            prompt=exchange.prompt,
            max_tokens=exchange.tokens,
            max_wait_s=exchange.deadline_s - anyio.current_time(),
            crash_suspect=verdict == crashes.SUSPECT,
            avoid=frozenset(self.avoid),
        )
        asked_s = anyio.current_time()
        with traces.span("admit", request=exchange.id):
            self.ticket = await self.owner.client.acquire(ask)
        exchange.admitted_s += anyio.current_time() - asked_s
        self.attempt = await self._send(self.ticket, resume_from)
        return self.attempt

    def _check(self, verdict: str) -> None:
        if verdict == crashes.REFUSED:
            message = "the request crashed the endpoints that ran it"
            ran = errors.RAN if self.tries > 1 else errors.NOT_RUN
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
        body = dispatch.redact(exchange.body, exchange.key)
        if resume_from:
            body = resumed(body, resume_from)
        await self._check_up(ticket.endpoint, endpoint.url)
        stack = contextlib.AsyncExitStack()
        started_s = anyio.current_time()
        sending = self.owner.engines.open(
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
                dispatch.note_ran(exchange, error.ran)
                raise
        dispatch.note_ran(exchange, errors.RAN)
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

    async def _check_up(self, name: str, url: str) -> None:
        """Checks that an endpoint that crashed answers again.

        Raises:
            EndpointError: It does not; the request was not sent.
        """
        down = self.owner.notices.down
        if name not in down:
            return
        if not await self.owner.engines.answers(url):
            message = f"endpoint {name} has not started again"
            raise errors.EndpointError(message, ran=errors.NOT_RUN)
        down.discard(name)

    async def resume(self) -> None:
        """Continues a stream that was cut on another engine.

        Raises:
            EndpointError: No engine could continue it.
            CrashRequestError: The request crashes endpoints.
        """
        while True:
            try:
                attempt = await self.start(resume_from=self.relayed)
                if attempt.response.status_code == 200:
                    return
                await _raise_failure(attempt.response)
            except errors.EndpointError as error:
                await self.failed(error)

    async def failed(self, error: errors.EndpointError) -> None:
        """Ends a try that failed; returns when another may be made.

        Raises:
            EndpointError: No other try is allowed.
            CrashRequestError: The request crashes endpoints.
        """
        ticket = self.ticket
        if ticket is None:
            raise error
        dispatch.log_failure(self.exchange, ticket.endpoint, error)
        crashed = await self._crashed(ticket, error)
        strong = self.attempt is None or not self.attempt.events
        await self.end(_attempt.outcome_of(error, crashed=crashed))
        self.avoid.add(ticket.endpoint)
        if crashed:
            crash = crashes.Crash(
                endpoint=ticket.endpoint,
                request=self.exchange.id,
                alone=ticket.exclusive,
                strong=strong,
            )
            mark = self.exchange.fingerprint
            self._check(await self.owner.notices.crashed(mark, crash))
        elif error.ran != errors.NOT_RUN and not breaker.consume_credit(
            self.owner.budget
        ):
            raise error
        if self.tries >= MAXIMUM_TRIES:
            raise error

    async def _crashed(
        self, ticket: tickets.Ticket, error: errors.EndpointError
    ) -> bool:
        if error.ran == errors.NOT_RUN:
            return False
        endpoint = self.owner.source.current.endpoints.get(ticket.endpoint)
        if endpoint is None:
            return False
        return not await self.owner.engines.answers(endpoint.url)

    async def end(self, outcome: str) -> None:
        """Ends the try in progress and gives its ticket back."""
        ticket, attempt = self.ticket, self.attempt
        self.ticket = self.attempt = None
        if attempt is not None:
            await attempt.stack.aclose()
        if ticket is None:
            return
        measured = tickets.Measurement(outcome=outcome)
        if attempt is not None:
            measured = _attempt.measured(attempt, outcome)
        await self.owner.client.release(ticket, measured)
        logs.event(
            "ticket_released",
            level="debug",
            request=self.exchange.id,
            endpoint=ticket.endpoint,
            outcome=outcome,
            first_token_s=round(measured.first_token_s, 6),
            token_gap_s=round(measured.token_gap_s, 6),
        )
        if outcome == admission.OK:
            self.owner.notices.completed(self.exchange.fingerprint)

    async def close(self) -> None:
        """Gives up whatever is in progress, because the caller has gone."""
        await self.end(admission.CANCELLED)


def resumed(body: bytes, position: int) -> bytes:
    """Returns a request's body that continues at a token's position.

    >>> resumed(b'{"model":"m"}', 3)
    b'{"model":"m","resume_from":3}'
    """
    fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    fields["resume_from"] = msgspec.Raw(str(position).encode())
    return msgspec.json.encode(fields)


async def _read(response: httpx.Response) -> bytes:
    try:
        return await response.aread()
    except httpx.HTTPError as error:
        message = f"the endpoint's answer was cut: {error!r}"
        raise errors.TruncatedStreamError(message) from None


async def _raise_failure(response: httpx.Response) -> None:
    """Raises the error that an endpoint answered with."""
    body = await _read(response)
    ran = errors.UNKNOWN
    if b'"ran":"not_run"' in body:
        ran = errors.NOT_RUN
    message = f"the endpoint answered {response.status_code}"
    raise errors.EndpointError(message, ran=ran)
