"""Runs one item of a batch job at endpoints until it is done or given up."""

from collections.abc import Callable
import dataclasses
import math

import anyio

from ibisknot import admission
from ibisknot import batch_records
from ibisknot import errors
from ibisknot import events
from ibisknot import fleetview
from ibisknot import forward
from ibisknot import http11
from ibisknot import http_client
from ibisknot import logs
from ibisknot import placement
from ibisknot import requests
from ibisknot import serving

PLACE_WAIT_S = 10.0
SILENCE_S = 2.0
"""Silence of an endpoint after which an item goes on elsewhere."""
FAILED_PAUSE_S = 0.1
ROUTE_PAUSE_S = 0.3
INITIAL_EVENT_S = 0.022
INITIAL_EVENT_TOKENS = 6.0
PACE_WEIGHT = 0.1
LEARN_EVENTS = 20
HOPELESS_STATUS = 422


@dataclasses.dataclass(slots=True)
class Work:
    """One item and how far it has come.

    Attributes:
        number: Its number in the job.
        submitted_s: Monotonic time at which the job was accepted.
        data: The data of the events so far, in order.
        last_event: Id of the last of these events.
        failures: Answers that say that it failed.
        tries: All sends.
        is_sent: Whether an endpoint works on it now.
        scope: Cancels it.
    """

    job: str
    number: int
    item: batch_records.Item
    route_name: str
    host: str
    organisation: serving.Organisation
    submitted_s: float
    data: list[str] = dataclasses.field(default_factory=list)
    last_event: int | None = None
    failures: int = 0
    tries: int = 0
    failed: set[str] = dataclasses.field(default_factory=set)
    is_sent: bool = False
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )


@dataclasses.dataclass(slots=True)
class Pace:
    """How fast endpoints make the events of batch items.

    Attributes:
        event_s: Decayed mean time between events.
        event_tokens: Decayed mean of the expected tokens by event.
    """

    event_s: float = INITIAL_EVENT_S
    event_tokens: float = INITIAL_EVENT_TOKENS

    def needs_s(self, expected_tokens: int, made_events: int) -> float:
        """Returns the time that an item needs to its end.

        >>> Pace(0.02, 6.0).needs_s(1200, 100)
        2.0
        """
        events = expected_tokens / self.event_tokens - made_events
        return max(1.0, events) * self.event_s

    def learn(self, expected_tokens: int, made: int, run_s: float) -> None:
        """Learns from an item that one endpoint ran to its end."""
        if made < LEARN_EVENTS or expected_tokens <= 0:
            return
        self.event_s += PACE_WEIGHT * (run_s / made - self.event_s)
        tokens = expected_tokens / made
        self.event_tokens += PACE_WEIGHT * (tokens - self.event_tokens)


ItemHeaders = Callable[[str, str], http11.Headers]


class Runner:
    """Runs items through one worker's places.

    Attributes:
        item_headers: The headers that a request of an item has by itself,
            from its id and the route's host.
        pace: How long items take.
    """

    def __init__(
        self,
        places: placement.Client,
        client: http_client.Client,
        dialect: forward.Dialect,
        item_headers: ItemHeaders,
        clock: Callable[[], float],
        view: fleetview.View,
    ) -> None:
        self.view = view
        self.pace = Pace()
        self.places = places
        self.client = client
        self.dialect = dialect
        self.item_headers = item_headers
        self.clock = clock

    async def run(self, work: Work) -> batch_records.Result | None:
        """Returns what the item came to; None when the work was cancelled."""
        with work.scope:
            return await self._run(work)
        return None

    async def _run(self, work: Work) -> batch_records.Result:
        while True:
            route = self._route(work)
            if route is None:
                await anyio.sleep(ROUTE_PAUSE_S)
                continue
            if work.failures >= route.max_attempts:
                return self._given_up(work, f"it failed {work.failures} times")
            age_s = self.clock() - work.submitted_s
            if route.keep_s and age_s >= route.keep_s:
                return self._given_up(work, f"it is {age_s:.0f} s old")
            try:
                place = await self._place(work, route)
            except errors.IbisknotError as error:
                await anyio.sleep(error.retry_after_s or FAILED_PAUSE_S)
                continue
            work.is_sent = True
            try:
                result = await self._attempt(work, place)
            finally:
                work.is_sent = False
            if result is not None:
                return result

    def _route(self, work: Work) -> serving.Route | None:
        """Returns the job's route as it is stated now."""
        configuration = self.view.configuration
        if configuration is None:
            return None
        return configuration.route_named(work.route_name)

    async def _place(
        self, work: Work, route: serving.Route
    ) -> placement.Ticket:
        item = work.item
        terms = self.dialect.terms(_raw(item.headers))
        expected = terms.expected_tokens or terms.output_tokens
        service = route.choose_service(self.places.rng)
        if service is None:
            raise errors.OverloadedError(f"{route.name} has no service")
        return await self.places.acquire(
            placement.TicketRequest(
                service=service,
                kind=admission.BATCH,
                request_id=item.id,
                organisation=work.organisation,
                max_wait_s=PLACE_WAIT_S,
                max_tokens=item.tokens,
                prompt_tokens=terms.prompt_tokens,
                blocks=terms.blocks,
                avoid=frozenset(work.failed),
                is_rate_limited=False,
                due_s=work.submitted_s + (route.completion_s or math.inf),
                expected_duration_s=self.pace.needs_s(expected, len(work.data)),
            )
        )

    async def _attempt(
        self, work: Work, place: placement.Ticket
    ) -> batch_records.Result | None:
        """Sends an item once; returns its result if it has one now."""
        outcome = admission.CANCELLED
        result = None
        try:
            with anyio.CancelScope() as scope:
                async with anyio.create_task_group() as group:
                    group.start_soon(_cancel_on_revoke, place, scope)
                    result = await self._send(work, place)
                    outcome = admission.OK
                    group.cancel_scope.cancel()
        except* errors.EndpointError as raised:
            error = raised.exceptions[0]
            assert isinstance(error, errors.EndpointError)
            # An item that can never be done fails at sound endpoints.
            if not isinstance(error, errors.ItemFailedError):
                outcome = forward.outcome_of(error)
            self._note_failure(work, place, error)
        finally:
            self.places.release(place, outcome)
        if result is None and not place.revoked.is_set():
            pause_s = FAILED_PAUSE_S * (1 + work.failures)
            await anyio.sleep(pause_s)
        return result

    async def _send(
        self, work: Work, place: placement.Ticket
    ) -> batch_records.Result | None:
        work.tries += 1
        async with self.client.open(self._call(work, place)) as answer:
            name = place.endpoint.name
            if self.dialect.says_not_run(answer.status, answer.headers):
                message = f"{name} gave {answer.status}"
                raise errors.EndpointRefusedError(message)
            if answer.status == HOPELESS_STATUS:
                return self._given_up(work, f"{name} says it cannot be done")
            if answer.status != 200:
                work.failures += 1
                raise errors.ItemFailedError(f"{name} gave {answer.status}")
            started_s = self.clock()
            is_first = not work.data
            await self._collect(work, answer)
            if is_first:
                run_s = self.clock() - started_s
                self._learn(work, run_s)
        output = "\n".join(work.data)
        return batch_records.Result(work.item.id, batch_records.DONE, output)

    def _call(self, work: Work, place: placement.Ticket) -> http_client.Call:
        item = work.item
        own = self.item_headers(item.id, work.host)
        names = {name.lower() for name, _ in own}
        given = [h for h in _raw(item.headers) if h[0].lower() not in names]
        sent = requests.Onward(
            endpoint=place.endpoint.name,
            organisation=work.organisation.name,
            deadline_s=None,
            last_event=work.last_event,
        )
        return http_client.Call(
            address=place.endpoint.address,
            method=b"POST",
            target=item.path.encode("latin-1"),
            headers=self.dialect.onward([*own, *given], sent),
            body=item.body,
            is_answer=lambda h: self.dialect.is_answer_to(item.id, h),
            silence_s=SILENCE_S,
        )

    async def _collect(self, work: Work, answer: http_client.Answer) -> None:
        """Adds the events of an answer to what is there.

        Raises:
            TruncatedStreamError: The answer is not whole.
        """
        splitter = events.Splitter()
        async for chunk in answer.chunks():
            for event in _split(splitter, chunk):
                if event.id is None:
                    continue
                expected = 1 + (work.last_event or 0)
                if event.id < expected:
                    continue
                if event.id > expected:
                    message = f"event {expected} is missing"
                    raise errors.TruncatedStreamError(message)
                work.data.append(event.data)
                work.last_event = event.id
        if splitter.rest:
            raise errors.TruncatedStreamError("the stream ends in an event")

    def _learn(self, work: Work, run_s: float) -> None:
        terms = self.dialect.terms(_raw(work.item.headers))
        expected = terms.expected_tokens or terms.output_tokens
        self.pace.learn(expected, len(work.data), run_s)

    def _note_failure(
        self, work: Work, place: placement.Ticket, error: errors.EndpointError
    ) -> None:
        work.failed = {place.endpoint.name}
        logs.event(
            "item_attempt_failed",
            job=work.job,
            request=work.item.id,
            endpoint=place.endpoint.name,
            ran=error.ran,
            tries=work.tries,
            failures=work.failures,
            last_event=work.last_event,
            cause=error.message,
        )

    def _given_up(self, work: Work, cause: str) -> batch_records.Result:
        logs.event(
            "item_given_up",
            job=work.job,
            request=work.item.id,
            tries=work.tries,
            cause=cause,
        )
        return batch_records.Result(work.item.id, batch_records.FAILED, "")


def _split(splitter: events.Splitter, chunk: bytes) -> list[events.Event]:
    try:
        return events.feed(splitter, chunk)
    except ValueError as error:
        raise errors.TruncatedStreamError(str(error)) from None


async def _cancel_on_revoke(
    place: placement.Ticket, scope: anyio.CancelScope
) -> None:
    await place.revoked.wait()
    scope.cancel()


def _raw(headers: list[tuple[str, str]]) -> http11.Headers:
    return [(k.encode("latin-1"), v.encode("latin-1")) for k, v in headers]
