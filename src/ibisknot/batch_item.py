"""Runs the items of batch jobs at endpoints until they are done or given up."""

from collections.abc import Callable
import math

import anyio

from ibisknot import admission
from ibisknot import attempt_outcomes
from ibisknot import batch_records
from ibisknot import batch_task
from ibisknot import errors
from ibisknot import event_stream
from ibisknot import fleetview
from ibisknot import forward
from ibisknot import http11
from ibisknot import http_call
from ibisknot import http_client
from ibisknot import http_response
from ibisknot import isolation
from ibisknot import logs
from ibisknot import placement
from ibisknot import regions
from ibisknot import request_metadata
from ibisknot import run_times
from ibisknot import serving
from ibisknot import ticket_types
from ibisknot import turns
from ibisknot.speeds import speed_samples

TICKET_WAIT_S = 10.0
MAX_REFUSED_S = 8.0
"""Time of refusals after which an item's output is dropped.

The only endpoint of its software may not respond any more.
"""
MIN_STALL_TIMEOUT_S = 2.0
"""An attempt fails when its endpoint sends no new event for this time."""
MAX_STALL_TIMEOUT_S = 32.0
"""The time doubles with each stall of an item, up to this limit.

An endpoint that is slow but sound is thus not cut for ever.
"""
LAST_EVENT_ID_HEADER = b"last-event-id"
MAX_UNEXPECTED_FAILURES = 3
"""An item that fails so often without a known cause is given up."""
UNEXPECTED_FAILURE_PAUSE_S = 1.0
"""Pause after such a failure; it grows by as much with each."""
RETRY_PAUSE_S = 0.1
"""Pause before another attempt; each failure adds as much again."""
ROUTE_POLL_PAUSE_S = 0.3
"""Pause while the configuration has no route for a job."""
UNPROCESSABLE_STATUS = 422
"""HTTP status of an item that cannot succeed at any endpoint."""


ItemHeaders = Callable[[str, str], http11.Headers]


class Runner:
    """Runs items at the endpoints for which one worker gets tickets.

    Attributes:
        item_headers: Returns the headers that replace those of the caller,
            from an item's id and its route's host.
        max_output_bytes: Largest output of an item, in bytes of UTF-8; a
            larger one does not fit into the store.
        run_time: Estimate of the time that items run.
    """

    def __init__(
        self,
        tickets: placement.Client,
        client: http_client.Client,
        dialect: forward.Dialect,
        item_headers: ItemHeaders,
        clock: Callable[[], float],
        view: fleetview.View,
        max_output_bytes: int,
    ) -> None:
        self.view = view
        self.max_output_bytes = max_output_bytes
        self.run_time = run_times.RunTimeEstimate()
        self.tickets = tickets
        self.client = client
        self.dialect = dialect
        self.item_headers = item_headers
        self.clock = clock

    async def run(
        self, task: batch_task.Task
    ) -> batch_records.ItemResult | None:
        """Returns an item's result; None if its task was cancelled."""
        with task.cancel_scope:
            return await self._run_contained(task)
        return None

    async def _run_contained(
        self, task: batch_task.Task
    ) -> batch_records.ItemResult:
        """Runs an item; gives it up if it fails unexpectedly again and again.

        Whatever is wrong with an item must not end its neighbours.
        """
        for number in range(1, MAX_UNEXPECTED_FAILURES + 1):
            try:
                return await self._run_to_end(task)
            except Exception as error:
                isolation.record("item", task.item.id, error)
                batch_task.clear_output(task)
            await anyio.sleep(UNEXPECTED_FAILURE_PAUSE_S * number)
        return self._give_up(task, "it failed unexpectedly")

    async def _run_to_end(
        self, task: batch_task.Task
    ) -> batch_records.ItemResult:
        """Repeats attempts until the item is done or given up."""
        if task.is_complete:
            return batch_task.done(task)
        while True:
            route = self._current_route(task)
            if route is None:
                if self._is_route_gone(task):
                    return self._give_up(task, "its route is gone")
                await anyio.sleep(ROUTE_POLL_PAUSE_S)
                continue
            task.without_route_since_s = None
            if task.failures >= route.max_attempts:
                return self._give_up(task, f"it failed {task.failures} times")
            age_s = self.clock() - task.submitted_s
            if route.max_item_age_s and age_s >= route.max_item_age_s:
                return self._give_up(task, f"it is {age_s:.0f} s old")
            try:
                ticket = await self._acquire_ticket(task, route)
            except errors.IbisknotError as error:
                if self._cannot_go_on(task, error):
                    batch_task.start_again(task, error.message)
                    continue
                await anyio.sleep(error.retry_after_s or RETRY_PAUSE_S)
                continue
            task.refused_since_s = None
            task.is_at_endpoint = True
            try:
                result = await self._attempt(task, ticket)
            finally:
                task.is_at_endpoint = False
            if result is not None:
                return result

    def _current_route(self, task: batch_task.Task) -> serving.Route | None:
        """Returns the job's route in the current configuration, or None."""
        configuration = self.view.configuration
        if configuration is None:
            return None
        return configuration.find_route_by_name(task.route_name)

    def _is_route_gone(self, task: batch_task.Task) -> bool:
        """Returns whether a job's route was removed, and not just added.

        The configuration must have been confirmed since the route was missed.
        """
        if task.without_route_since_s is None:
            task.without_route_since_s = self.clock()
        return self.view.configuration_confirmed_s > task.without_route_since_s

    def _cannot_go_on(
        self, task: batch_task.Task, error: errors.IbisknotError
    ) -> bool:
        """Returns whether no endpoint will continue an item's output.

        A refusal alone does not show it: the scheduler may have just started,
        or every slot may be taken.
        """
        if task.software_version is None:
            return False
        if isinstance(error, errors.SoftwareGoneError):
            return True
        now = self.clock()
        if task.refused_since_s is None:
            task.refused_since_s = now
        return now - task.refused_since_s >= MAX_REFUSED_S

    async def _acquire_ticket(
        self, task: batch_task.Task, route: serving.Route
    ) -> ticket_types.Ticket:
        """Waits for a ticket to run an item.

        Raises:
            IbisknotError: No ticket was granted.
        """
        item = task.item
        metadata = self.dialect.decode_metadata(_encode_headers(item.headers))
        expected_tokens = metadata.expected_tokens or metadata.output_tokens
        self._choose_service(task, route)
        return await self.tickets.acquire(
            ticket_types.TicketRequest(
                service=task.service,
                kind=admission.BATCH,
                request_id=item.id,
                organisation=task.organisation,
                max_wait_s=TICKET_WAIT_S,
                max_tokens=item.tokens,
                prompt_tokens=metadata.prompt_tokens,
                prompt_blocks=metadata.prompt_blocks,
                avoid=frozenset(task.failed_endpoints),
                is_rate_limited=False,
                due_s=task.submitted_s
                + (route.completion_target_s or math.inf),
                expected_duration_s=self.run_time.remaining_s(
                    expected_tokens, len(task.event_data)
                ),
                software_version=task.software_version,
                allowed_regions=regions.of_job(
                    self.view.configuration,
                    route.name,
                    task.organisation.name,
                ),
            )
        )

    def _choose_service(
        self, task: batch_task.Task, route: serving.Route
    ) -> None:
        """Chooses the service of the next attempt, the same one if it may be.

        Raises:
            OverloadedError: The route has no service.
        """
        services = {target.service for target in route.targets}
        if task.software_version is not None:
            if task.service in services:
                return
            batch_task.start_again(
                task, f"the route leads no longer to {task.service}"
            )
        service = route.choose_service(self.tickets.rng)
        if service is None:
            raise errors.OverloadedError(f"{route.name} has no service")
        task.service = service

    async def _attempt(
        self, task: batch_task.Task, ticket: ticket_types.Ticket
    ) -> batch_records.ItemResult | None:
        """Runs an item once under a ticket, which it releases.

        Returns:
            The item's result, or None if another attempt is needed.
        """
        outcome = admission.CANCELLED
        result = None
        try:
            with anyio.CancelScope() as scope:
                async with anyio.create_task_group() as task_group:
                    task_group.start_soon(
                        ticket_types.cancel_on_revoke, ticket, scope
                    )
                    result = await self._send(task, ticket)
                    outcome = admission.OK
                    task_group.cancel_scope.cancel()
        except* errors.EndpointError as raised:
            error = raised.exceptions[0]
            assert isinstance(error, errors.EndpointError)
            if isinstance(error, errors.UnsendableError):
                result = self._give_up(task, error.message)
            if isinstance(error, errors.StalledError):
                task.stalls += 1
            # An item that always fails must not count against endpoints
            # that work.
            if not isinstance(error, errors.ItemFailedError):
                outcome = attempt_outcomes.of_error(error)
            self._record_failure(task, ticket, error)
        finally:
            self.tickets.release(ticket, outcome)
        if result is None and not ticket.revoked.is_set():
            await anyio.sleep(RETRY_PAUSE_S * (1 + task.failures))
        return result

    async def _send(
        self, task: batch_task.Task, ticket: ticket_types.Ticket
    ) -> batch_records.ItemResult | None:
        """Sends an item's request and receives its events.

        Raises:
            EndpointError: The attempt failed.
        """
        task.attempts += 1
        speed_samples.start(ticket.pace, self.clock())
        async with self.client.send(self._make_call(task, ticket)) as answer:
            endpoint = ticket.endpoint.name
            self.tickets.record_limit(
                ticket.endpoint, self.dialect.request_limit(answer.headers)
            )
            self.tickets.leaving.record_answer(
                ticket.endpoint, self.dialect.says_leaving(answer.headers)
            )
            if self.dialect.says_not_run(answer.status, answer.headers):
                message = f"{endpoint} responded {answer.status}"
                raise errors.EndpointRefusedError(message)
            if not self.dialect.is_from_endpoint(answer.status, answer.headers):
                message = f"{endpoint} has sent a response of no endpoint"
                raise errors.EndpointError(message, ran=errors.RAN)
            if answer.status == UNPROCESSABLE_STATUS:
                return self._give_up(task, f"{endpoint} cannot process it")
            if answer.status != 200:
                task.failures += 1
                raise errors.ItemFailedError(
                    f"{endpoint} responded {answer.status}"
                )
            started_s = self.clock()
            is_from_start = not task.event_data
            await self._receive_events(task, ticket, answer)
            if is_from_start:
                self._record_run_time(task, self.clock() - started_s)
        return batch_task.done(task)

    def _make_call(
        self, task: batch_task.Task, ticket: ticket_types.Ticket
    ) -> http_call.Call:
        """Returns the request that continues an item after its last event."""
        item = task.item
        own_headers = self.item_headers(item.id, task.host)
        own_names = {n.lower() for n, _ in own_headers} | {LAST_EVENT_ID_HEADER}
        caller_headers = [
            h
            for h in _encode_headers(item.headers)
            if h[0].lower() not in own_names
        ]
        metadata = request_metadata.EndpointMetadata(
            endpoint=ticket.endpoint.name,
            organisation=task.organisation.name,
            remaining_s=None,
            last_event_id=task.last_event_id,
        )
        if task.last_event_id is not None:
            logs.event(
                "item_continued",
                job=task.job_id,
                request=item.id,
                endpoint=ticket.endpoint.name,
                software=ticket.endpoint.software_version,
                failed=sorted(task.failed_endpoints),
                last_event=task.last_event_id,
            )
        return http_call.Call(
            address=ticket.endpoint.address,
            method=b"POST",
            target=item.path.encode(),
            headers=self.dialect.encode_headers(
                [*own_headers, *caller_headers], metadata
            ),
            body=item.body,
            check_sendable=self.tickets.leaving.checker(ticket.endpoint),
            allowed_regions=ticket.request.allowed_regions,
            is_own_response=lambda h: self.dialect.is_response_to(item.id, h),
            read_timeout_s=stall_timeout_s(task.stalls),
            needs_useful_data=True,
        )

    async def _receive_events(
        self,
        task: batch_task.Task,
        ticket: ticket_types.Ticket,
        answer: http_response.Response,
    ) -> None:
        """Appends a response's events to the task; skips repeated ones.

        Raises:
            TruncatedStreamError: The response is incomplete.
        """
        splitter = event_stream.Splitter()
        async for chunk in answer.chunks():
            events = await _split(splitter, chunk, answer.turn)
            speed_samples.record_events(ticket.pace, self.clock(), len(events))
            for event in events:
                await answer.turn.spend()
                if event.id is None:
                    continue
                expected_id = 1 + (task.last_event_id or 0)
                if event.id < expected_id:
                    continue
                if event.id > expected_id:
                    message = f"event {expected_id} is missing"
                    raise errors.TruncatedStreamError(message)
                task.output_bytes += (
                    len(event.data.encode()) + batch_task.LINE_END_BYTES
                )
                if task.output_bytes > self.max_output_bytes:
                    self._discard_output(task)
                task.event_data.append(event.data)
                task.software_version = ticket.endpoint.software_version
                task.last_event_id = event.id
                answer.record_progress()
        if splitter.incomplete:
            raise errors.TruncatedStreamError("the stream ends within an event")

    def _discard_output(self, task: batch_task.Task) -> None:
        """Discards output that has no end, so that the item starts again.

        Raises:
            ItemFailedError: Always. It counts as a failure of the item, which
                is given up if every endpoint sends so much.
        """
        batch_task.clear_output(task)
        task.failures += 1
        raise errors.ItemFailedError(
            f"the output is over {self.max_output_bytes} bytes"
        )

    def _record_run_time(self, task: batch_task.Task, run_s: float) -> None:
        """Records the run time of an item that ran from its start."""
        metadata = self.dialect.decode_metadata(
            _encode_headers(task.item.headers)
        )
        expected_tokens = metadata.expected_tokens or metadata.output_tokens
        self.run_time.record_run(expected_tokens, len(task.event_data), run_s)

    def _record_failure(
        self,
        task: batch_task.Task,
        ticket: ticket_types.Ticket,
        error: errors.EndpointError,
    ) -> None:
        """Logs a failed attempt and avoids its endpoint in the next."""
        task.failed_endpoints = {ticket.endpoint.name}
        logs.event(
            "item_attempt_failed",
            job=task.job_id,
            request=task.item.id,
            endpoint=ticket.endpoint.name,
            ran=error.ran,
            tries=task.attempts,
            failures=task.failures,
            last_event=task.last_event_id,
            cause=error.message,
        )

    def _give_up(
        self, task: batch_task.Task, cause: str
    ) -> batch_records.ItemResult:
        """Logs why an item is given up and returns its failed result."""
        logs.event(
            "item_given_up",
            job=task.job_id,
            request=task.item.id,
            tries=task.attempts,
            cause=cause,
        )
        return batch_records.ItemResult(task.item.id, batch_records.FAILED, "")


async def _split(
    splitter: event_stream.Splitter, chunk: bytes, turn: turns.Counter
) -> list[event_stream.Event]:
    """Adds a chunk and returns the events that are complete with it.

    Raises:
        TruncatedStreamError: An event is too large, or is none.
    """
    events = []
    try:
        for event in event_stream.feed(splitter, chunk):
            await turn.spend()
            if not event_stream.is_well_formed(event.raw):
                raise errors.TruncatedStreamError("data that is no event")
            events.append(event)
    except ValueError as error:
        raise errors.TruncatedStreamError(str(error)) from None
    return events


def stall_timeout_s(stalls: int) -> float:
    """Returns the seconds without a new event after which an attempt fails.

    >>> [stall_timeout_s(n) for n in (0, 1, 9)]
    [2.0, 4.0, 32.0]
    """
    return min(MAX_STALL_TIMEOUT_S, MIN_STALL_TIMEOUT_S * 2.0**stalls)


def _encode_headers(headers: list[tuple[str, str]]) -> http11.Headers:
    """Encodes an item's headers in UTF-8, as callers of requests send them."""
    return [(k.encode(), http11.encode_header_value(v)) for k, v in headers]
