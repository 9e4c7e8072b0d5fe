"""Sends one request to endpoints and relays the answer."""

from collections.abc import Callable
import dataclasses
import math
import random

from ibisknot import admission
from ibisknot import crash_notices
from ibisknot import crashes
from ibisknot import errors
from ibisknot import events
from ibisknot import http11
from ibisknot import http_client
from ibisknot import http_server
from ibisknot import logs
from ibisknot import placement
from ibisknot import request_metadata
from ibisknot import serving
from ibisknot import timer

STALL_S = 1.0
"""Silence after which an idempotent request goes on at another endpoint."""
LEAST_LEFT_S = 0.03
"""With less time left a request is not sent any more."""
MAXIMUM_TRIES = 6
"""Sends of one request, those included that endpoints refused as not run."""
EVENT_STREAM = "text/event-stream"


@dataclasses.dataclass(slots=True, frozen=True)
class Dialect:
    """How requests and answers are written, as the adapter defines it."""

    terms: Callable[[http11.Headers], request_metadata.CallerMetadata]
    onward: Callable[
        [http11.Headers, request_metadata.EndpointMetadata], http11.Headers
    ]
    is_answer_to: Callable[[str, http11.Headers], bool]
    says_not_run: Callable[[int, http11.Headers], bool]
    refusal: Callable[[float | None], http11.Headers]


@dataclasses.dataclass(slots=True)
class Job:
    """One request to forward, and how far it has come.

    Attributes:
        deadline_s: Monotonic time at which the final answer is due.
        caller_deadline_s: Monotonic time that the caller stated, or None.
        runs: Sends that may have run.
        tries: All sends.
        failed: Endpoints that failed it.
        last_event: Id of the last event that was relayed.
        splitter: Holds back half an event of a resumable stream.
    """

    exchange: http_server.Exchange
    terms: request_metadata.CallerMetadata
    route: serving.Route
    organisation: serving.Organisation | None
    service: str
    deadline_s: float
    caller_deadline_s: float | None
    runs: int = 0
    tries: int = 0
    failed: set[str] = dataclasses.field(default_factory=set)
    last_event: int | None = None
    splitter: events.Splitter = dataclasses.field(
        default_factory=events.Splitter
    )


class Forwarder:
    """Forwards requests through one process."""

    def __init__(
        self,
        places: placement.Client,
        client: http_client.Client,
        dialect: Dialect,
        clock: timer.Timer,
        notices: crash_notices.CrashNotices,
    ) -> None:
        self.notices = notices
        self.places = places
        self.client = client
        self.dialect = dialect
        self.clock = clock
        self.choice = random.Random()

    async def run(self, job: Job) -> None:
        """Forwards a request until it is answered.

        Raises:
            IbisknotError: It is not answered; `ran` says what is known.
        """
        mark = _fingerprint(job)
        while True:
            if crashes.has_failed_repeatedly(self.notices.history, mark):
                raise errors.UnavailableError(
                    "this request has crashed the endpoints that ran it"
                )
            place = await self._place(job)
            outcome = admission.CANCELLED
            try:
                outcome = await self._attempt(job, place)
            except errors.EndpointError as error:
                outcome = outcome_of(error)
                self._note_failure(job, place, error)
                await self._note_crash(mark, job, place, error)
                if not self._may_repeat(job, error):
                    raise
            finally:
                self.places.release(place, outcome)
            if outcome == admission.OK:
                self.notices.record_completion(mark)
            if job.exchange.finished or job.exchange.aborted:
                return

    async def _place(self, job: Job) -> placement.Ticket:
        now = self.clock.now()
        left_s = job.deadline_s - now - LEAST_LEFT_S
        message = job.exchange.message
        objective_s = math.inf
        if job.runs == 0:
            waited_s = now - message.received_s
            objective_s = max(0.0, job.route.objective_s - waited_s)
        terms = job.terms
        return await self.places.acquire(
            placement.TicketRequest(
                service=job.service,
                kind=admission.ONLINE,
                request_id=terms.id,
                organisation=job.organisation,
                max_wait_s=left_s,
                objective_s=objective_s,
                fingerprint=int(_fingerprint(job)[:15], 16),
                max_tokens=terms.prompt_tokens + terms.output_tokens,
                prompt_tokens=terms.prompt_tokens,
                prompt_blocks=terms.prompt_blocks,
                avoid=frozenset(job.failed),
                is_rate_limited=job.tries == 0,
            )
        )

    def _call(self, job: Job, place: placement.Ticket) -> http_client.Call:
        message = job.exchange.message
        deadline_s = None
        if job.caller_deadline_s is not None:
            end_s = min(job.caller_deadline_s, job.deadline_s)
            deadline_s = end_s - self.clock.now()
        sent = request_metadata.EndpointMetadata(
            endpoint=place.endpoint.name,
            organisation=job.organisation.name if job.organisation else "",
            remaining_s=deadline_s,
            last_event_id=job.last_event,
        )
        request_id = job.terms.id
        return http_client.Call(
            address=place.endpoint.address,
            method=message.method,
            target=message.target,
            headers=self.dialect.onward(message.headers, sent),
            body=message.body,
            is_answer=lambda h: self.dialect.is_answer_to(request_id, h),
        )

    async def _attempt(self, job: Job, place: placement.Ticket) -> str:
        """Sends a request once and relays the answer; returns the outcome.

        Raises:
            EndpointError: There is no whole answer yet.
        """
        call = self._call(job, place)
        job.tries += 1
        # Half an event of a failed endpoint must not meet another's bytes.
        job.splitter = events.Splitter()
        if self._has_attempts(job, ahead=1):
            call.silence_s = STALL_S
        try:
            async with self.client.open(call) as answer:
                if self.dialect.says_not_run(answer.status, answer.headers):
                    message = f"{place.endpoint.name} gave {answer.status}"
                    raise errors.EndpointRefusedError(message)
                job.runs += 1
                if answer.status >= 500 and self._has_attempts(job):
                    message = f"{place.endpoint.name} gave {answer.status}"
                    raise errors.EndpointError(message, ran=errors.RAN)
                await self._relay(job, answer)
        except errors.EndpointError as error:
            if error.ran == errors.UNKNOWN:
                job.runs += 1
            raise
        failed = answer.status >= 500
        return admission.FAILED if failed else admission.OK

    def _has_attempts(self, job: Job, *, ahead: int = 0) -> bool:
        """Returns whether a request may be sent once more after this."""
        if not job.route.is_idempotent() or job.tries >= MAXIMUM_TRIES:
            return False
        if job.exchange.started and not job.route.resumable:
            return False
        return job.runs + ahead < job.route.max_attempts

    def _may_repeat(self, job: Job, error: errors.EndpointError) -> bool:
        left_s = job.deadline_s - self.clock.now()
        if left_s <= LEAST_LEFT_S or job.tries >= MAXIMUM_TRIES:
            return False
        if error.ran == errors.NOT_RUN and not job.exchange.started:
            return True
        return self._has_attempts(job) or (
            error.ran == errors.NOT_RUN and job.route.resumable
        )

    def _note_failure(
        self, job: Job, place: placement.Ticket, error: errors.EndpointError
    ) -> None:
        job.failed.add(place.endpoint.name)
        logs.event(
            "attempt_failed",
            request=job.terms.id,
            endpoint=place.endpoint.name,
            ran=error.ran,
            tries=job.tries,
            runs=job.runs,
            last_event=job.last_event,
            cause=error.message,
        )

    async def _note_crash(
        self,
        mark: str,
        job: Job,
        place: placement.Ticket,
        error: errors.EndpointError,
    ) -> None:
        """Tells all gateways of a request whose endpoint fell silent on it."""
        if error.ran == errors.NOT_RUN or job.last_event is not None:
            return
        crash = crashes.Crash(
            endpoint=place.endpoint.name,
            request_id=f"{job.terms.id}/{job.tries}",
            exclusive=place.exclusive,
            before_first_token=not job.exchange.started,
        )
        await self.notices.report_crash(mark, crash, wait_for_peers=False)

    # Relaying -------------------------------------------------------------

    async def _relay(self, job: Job, answer: http_client.Answer) -> None:
        exchange = job.exchange
        if not exchange.started:
            await self._start(job, answer)
        resumable = job.route.resumable and answer.status == 200
        async for chunk in answer.chunks():
            if resumable:
                await self._relay_events(job, chunk)
            elif chunk:
                await exchange.send(chunk)
        if resumable and job.splitter.rest:
            raise errors.TruncatedStreamError("the stream ends in an event")
        await exchange.finish()

    async def _start(self, job: Job, answer: http_client.Answer) -> None:
        headers = http11.end_to_end(answer.headers)
        length = answer.header(b"content-length")
        if length is not None and not job.route.resumable:
            headers.append((b"Content-Length", length.encode()))
        await job.exchange.start(answer.status, headers)

    async def _relay_events(self, job: Job, chunk: bytes) -> None:
        """Relays whole events, so that another endpoint can go on."""
        try:
            found = events.feed(job.splitter, chunk)
        except ValueError as error:
            raise errors.TruncatedStreamError(str(error)) from None
        ready = []
        for event in found:
            if event.id is not None:
                if job.last_event is not None and event.id <= job.last_event:
                    continue
                job.last_event = event.id
            ready.append(event.raw)
        if ready:
            await job.exchange.send(b"".join(ready))


def _fingerprint(job: Job) -> str:
    """Returns what a request and its resends have in common."""
    message = job.exchange.message
    name = job.organisation.name if job.organisation else ""
    content = message.target + b"\n" + message.body
    return crashes.request_fingerprint("online", name, content)


def outcome_of(error: errors.EndpointError) -> str:
    """Returns what an error says of the endpoint.

    >>> outcome_of(errors.EndpointError("x", ran=errors.NOT_RUN))
    'unreachable'
    """
    if isinstance(error, errors.EndpointRefusedError):
        return admission.CANCELLED
    if error.ran == errors.NOT_RUN:
        return admission.UNREACHABLE
    return admission.FAILED
