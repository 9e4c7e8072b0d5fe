"""Forwards requests to endpoints and relays the responses.

A failed attempt is repeated at another endpoint if the route permits it.
"""

import math

from ibisknot import _forward_task
from ibisknot import _prompt_crash_log
from ibisknot import admission
from ibisknot import attempt_outcomes
from ibisknot import crash_confirmation
from ibisknot import errors
from ibisknot import event_stream
from ibisknot import fleet_endpoint
from ibisknot import http11
from ibisknot import http_call
from ibisknot import http_client
from ibisknot import http_response
from ibisknot import logs
from ibisknot import placement
from ibisknot import prompt_crash_notices
from ibisknot import request_metadata
from ibisknot import serving
from ibisknot import ticket_types
from ibisknot import timer
from ibisknot import turns
from ibisknot.speeds import speed_samples

MIN_REMAINING_S = 0.03
"""A request is not sent with less time than this until its deadline."""
MAX_ATTEMPTS = 6
"""Limit on the attempts of one request, those that did not run included."""
PATH_LOST_RETRY_AFTER_S = 0.05
"""Another gateway probably has a path, so that the caller need not wait."""
MAX_LOST_PATHS = 2
"""Attempts without any path after which the caller had better go elsewhere."""
RUNS_UNCONFIRMED = 2
"""Runs after which it must be known which of them were crashes."""


Dialect = _forward_task.Dialect
Task = _forward_task.Task


class Forwarder:
    """Forwards the requests of one gateway process.

    Attributes:
        prompt_crashes: Requests and parts of prompts that have crashed
            endpoints.
        tickets: Grants the permission to run a request at an endpoint.
        client: Sends requests to endpoints.
        dialect: Encoding of the metadata in headers.
        clock: The timer service.
        find_origin: Finds the software that began a stream.
    """

    def __init__(
        self,
        tickets: placement.Client,
        client: http_client.Client,
        dialect: Dialect,
        clock: timer.Timer,
        prompt_crashes: prompt_crash_notices.Notices,
        find_origin: _forward_task.FindOrigin,
    ) -> None:
        self.find_origin = find_origin
        self.prompt_crashes = prompt_crashes
        self.tickets = tickets
        self.client = client
        self.dialect = dialect
        self.clock = clock

    async def forward(self, task: Task) -> None:
        """Forwards a request until its response is complete.

        Raises:
            IbisknotError: There is no complete response; `ran` tells whether
                the request may have run.
        """
        await self.prompt_crashes.wait_until_informed()
        self._refuse_if_it_crashes(task)
        if _forward_task.is_resumed_by_caller(task):
            await self._adopt_origin(task)
        while True:
            self._refuse_if_it_crashes(task)
            ticket = await self._acquire_ticket(task)
            outcome = admission.CANCELLED
            try:
                # It may have waited for its ticket for long.
                self._refuse_if_it_crashes(task)
                outcome = await self._attempt(task, ticket)
            except errors.EndpointError as error:
                outcome = attempt_outcomes.of_error(error)
                self._record_failure(task, ticket, error)
                self._report_broken(task, ticket, error)
                if not self._may_retry(task, error):
                    if task.runs:
                        error.ran = errors.UNKNOWN
                    raise
            finally:
                self.tickets.release(ticket, outcome)
            if outcome != admission.OK and task.runs >= RUNS_UNCONFIRMED:
                await self.prompt_crashes.confirmation.wait()
            if task.exchange.finished or task.exchange.aborted:
                return

    def _refuse_if_it_crashes(self, task: Task) -> None:
        """Refuses a request that is known to crash endpoints.

        Raises:
            UnavailableError: It, or parts of its prompt, crash endpoints.
        """
        ran = errors.UNKNOWN if task.runs else errors.NOT_RUN
        if self.prompt_crashes.is_request_refused(
            _forward_task.fingerprint_number(task)
        ):
            raise errors.UnavailableError(
                "this request has crashed the endpoints that ran it", ran=ran
            )
        parts = self.prompt_crashes.refused_parts(task.metadata.prompt_parts)
        if parts is not None:
            names = _prompt_crash_log.parts(sorted(parts))
            raise errors.UnavailableError(
                f"parts {names} of its prompt have crashed endpoints", ran=ran
            )

    async def _adopt_origin(self, task: Task) -> None:
        """Binds a stream that its caller resumes to the software it began at.

        Raises:
            UnavailableError: That software is not known or not allowed.
        """
        services = {target.service for target in task.route.targets}
        origin = await self.find_origin(task.metadata.resumed_id, services)
        if origin.service not in services:
            raise errors.SoftwareGoneError(
                f"the route leads no longer to {origin.service}"
            )
        task.service = origin.service
        task.software_version = origin.software_version
        task.last_event_id = task.metadata.last_event_id

    async def _acquire_ticket(self, task: Task) -> ticket_types.Ticket:
        """Acquires a ticket for the next attempt.

        Only before the first run may the request be refused because it is
        expected to miss its objective, and only the first attempt consumes a
        token of the organisation's rate.

        Raises:
            IbisknotError: There is none; `ran` tells whether an earlier
                attempt may have run.
        """
        now = self.clock.now()
        max_wait_s = task.deadline_s - now - MIN_REMAINING_S
        request = task.exchange.request
        objective_s = math.inf
        if task.runs == 0 and task.software_version is None:
            waited_s = now - request.received_s
            objective_s = max(0.0, task.route.objective_s - waited_s)
        metadata = task.metadata
        ticket_request = ticket_types.TicketRequest(
            service=task.service,
            kind=admission.ONLINE,
            request_id=metadata.id,
            organisation=task.organisation,
            max_wait_s=max_wait_s,
            objective_s=objective_s,
            fingerprint=_forward_task.fingerprint_number(task),
            max_tokens=metadata.prompt_tokens + metadata.output_tokens,
            prompt_tokens=metadata.prompt_tokens,
            prompt_blocks=metadata.prompt_blocks,
            avoid=frozenset(task.failed_endpoints),
            is_rate_limited=task.attempts == 0,
            software_version=task.software_version,
            stream_id=_forward_task.stream_id(task),
            attempt=task.attempts,
            allowed_regions=serving.regions_of(task.route, task.organisation),
        )
        try:
            return await self.tickets.acquire(ticket_request)
        except errors.IbisknotError as error:
            if task.runs:
                error.ran = errors.UNKNOWN
            raise

    def _make_call(
        self, task: Task, ticket: ticket_types.Ticket
    ) -> http_call.Call:
        request = task.exchange.request
        last_event_id = task.last_event_id

        def encode_headers() -> http11.Headers:
            # Connecting may have taken a part of the time.
            metadata = request_metadata.EndpointMetadata(
                endpoint=ticket.endpoint.name,
                organisation=(
                    task.organisation.name if task.organisation else ""
                ),
                remaining_s=_forward_task.caller_remaining_s(
                    task, self.clock.now()
                ),
                last_event_id=last_event_id,
            )
            return self.dialect.encode_headers(request.headers, metadata)

        if task.last_event_id is not None:
            _forward_task.log_continued(task, ticket)
        request_id = task.metadata.id
        return http_call.Call(
            address=ticket.endpoint.address,
            method=request.method,
            target=request.target,
            encode_headers=encode_headers,
            max_s=max(MIN_REMAINING_S, task.deadline_s - self.clock.now()),
            body=request.body,
            check_sendable=self.tickets.leaving.checker(ticket.endpoint),
            allowed_regions=ticket.request.allowed_regions,
            is_own_response=lambda h: self.dialect.is_response_to(
                request_id, h
            ),
        )

    def _record_headers(
        self, endpoint: fleet_endpoint.Endpoint, headers: http11.Headers
    ) -> None:
        """Records what a response says of its endpoint."""
        limit = self.dialect.request_limit(headers)
        self.tickets.record_limit(endpoint, limit)
        is_leaving = self.dialect.says_leaving(headers)
        self.tickets.leaving.record_answer(endpoint, is_leaving)

    async def _attempt(self, task: Task, ticket: ticket_types.Ticket) -> str:
        """Sends a request once and relays the response.

        Returns:
            The outcome for the ticket.

        Raises:
            EndpointError: The attempt brought no complete response.
        """
        call = self._make_call(task, ticket)
        endpoint = ticket.endpoint
        task.attempts += 1
        # An incomplete event of a failed endpoint must not be joined with the
        # data of another one.
        task.splitter = event_stream.Splitter()
        task.boundary = event_stream.Boundary()
        call.needs_useful_data = task.route.resumable
        if self._may_run_again(task, pending_runs=1):
            call.read_timeout_s = _forward_task.stall_timeout_s(task.route)
        speed_samples.start(ticket.pace, self.clock.now())
        try:
            async with self.client.send(call) as response:
                headers = response.headers
                self._record_headers(endpoint, headers)
                message = f"{endpoint.name}: status {response.status}"
                if self.dialect.says_not_run(response.status, headers):
                    raise errors.EndpointRefusedError(message)
                task.runs += 1
                if not self.dialect.is_from_endpoint(response.status, headers):
                    raise errors.EndpointError(
                        f"{message} of no endpoint", ran=errors.RAN
                    )
                if self._is_to_be_repeated(task, response.status):
                    raise errors.EndpointError(message, ran=errors.RAN)
                await self._relay_response(task, ticket, response)
        except errors.EndpointError as error:
            if error.ran == errors.UNKNOWN:
                task.runs += 1
            raise
        failed = response.status >= 500
        return admission.FAILED if failed else admission.OK

    def _is_to_be_repeated(self, task: Task, status: int) -> bool:
        """Returns whether a response is not relayed because of its status.

        Only a successful one can continue a stream that has begun.
        """
        if task.exchange.started:
            return status != 200
        return status >= 500 and self._may_run_again(task)

    def _may_run_again(self, task: Task, *, pending_runs: int = 0) -> bool:
        """Returns whether the route permits another run of a request.

        Args:
            task: The request.
            pending_runs: Runs to count in addition to those recorded.
        """
        if not task.route.is_idempotent() or task.attempts >= MAX_ATTEMPTS:
            return False
        if task.exchange.started and not task.route.resumable:
            return False
        return task.runs + pending_runs < task.route.max_attempts

    def _may_retry(self, task: Task, error: errors.EndpointError) -> bool:
        """Returns whether a request may be sent again after an error.

        An attempt that did not run may be repeated on every route until the
        response has started, and on resumable routes also later.
        """
        remaining_s = task.deadline_s - self.clock.now()
        if remaining_s <= MIN_REMAINING_S or task.attempts >= MAX_ATTEMPTS:
            return False
        if task.lost_paths >= MAX_LOST_PATHS:
            return False
        if isinstance(error, errors.UnsendableError):
            return False
        if error.ran == errors.NOT_RUN and not task.exchange.started:
            return True
        return self._may_run_again(task) or (
            error.ran == errors.NOT_RUN and task.route.resumable
        )

    def _record_failure(
        self,
        task: Task,
        ticket: ticket_types.Ticket,
        error: errors.EndpointError,
    ) -> None:
        task.failed_endpoints.add(ticket.endpoint.name)
        is_path_lost = isinstance(error, errors.PathLostError)
        if is_path_lost and error.ran == errors.NOT_RUN:
            task.lost_paths += 1
            error.retry_after_s = PATH_LOST_RETRY_AFTER_S
        logs.event(
            "attempt_failed",
            request=task.metadata.id,
            endpoint=ticket.endpoint.name,
            ran=error.ran,
            path_lost=is_path_lost,
            tries=task.attempts,
            runs=task.runs,
            started=task.exchange.started,
            last_event=task.last_event_id,
            parts=_prompt_crash_log.parts(task.metadata.prompt_parts),
            had_output=task.boundary.has_event,
            cause=error.message,
        )

    def _report_broken(
        self,
        task: Task,
        ticket: ticket_types.Ticket,
        error: errors.EndpointError,
    ) -> None:
        """Reports a request whose response broke off, perhaps by a crash.

        The parts of its prompt are no cause once it has output.
        """
        if error.ran == errors.NOT_RUN or isinstance(
            error, errors.PathLostError
        ):
            return
        has_output = task.boundary.has_event or task.has_relayed_event
        self.prompt_crashes.confirmation.report_broken(
            ticket.endpoint,
            _forward_task.fingerprint_number(task),
            crash_confirmation.Candidate(
                () if has_output else task.metadata.prompt_parts,
                _forward_task.fingerprint(task),
            ),
        )

    async def _relay_response(
        self,
        task: Task,
        ticket: ticket_types.Ticket,
        response: http_response.Response,
    ) -> None:
        """Relays a response to its end.

        Raises:
            TruncatedStreamError: The response is incomplete or malformed.
        """
        exchange = task.exchange
        if not exchange.started:
            await self._start_response(task, response)
        resumable = task.route.resumable and response.status == 200
        is_stream = resumable or _forward_task.is_event_stream(response)
        async for chunk in response.chunks():
            received_s = self.clock.now()
            if is_stream:
                event_stream.follow(task.boundary, chunk)
                speed_samples.record_chunk(ticket.pace, received_s, chunk)
            if resumable:
                if await self._relay_events(
                    task, ticket.endpoint, chunk, response.turn
                ):
                    response.record_progress()
            elif chunk:
                await exchange.send(chunk)
                response.record_progress()
            paused_s = self.clock.now() - received_s
            speed_samples.record_pause(ticket.pace, paused_s)
        if event_stream.is_within_event(task.boundary):
            raise errors.TruncatedStreamError("the stream ends within an event")
        await exchange.finish()
        if response.status < 300:
            self.prompt_crashes.record_completion(
                task.metadata.prompt_parts,
                _forward_task.fingerprint_number(task),
            )

    async def _start_response(
        self, task: Task, response: http_response.Response
    ) -> None:
        """Sends the head of the response to the caller.

        The length of a stream is not passed on: a resumable one may continue
        at another endpoint, and one that ends within an event must not look
        complete.
        """
        headers = http11.end_to_end_headers(
            response.headers, also=self.dialect.own_response_headers
        )
        length = response.get_header(b"content-length")
        if length is not None and not (
            task.route.resumable or _forward_task.is_event_stream(response)
        ):
            headers.append((b"Content-Length", length.encode()))
        await task.exchange.start(response.status, headers)

    async def _relay_events(
        self,
        task: Task,
        endpoint: fleet_endpoint.Endpoint,
        chunk: bytes,
        turn: turns.Counter,
    ) -> bool:
        """Relays the events that are complete with this chunk.

        Only complete events are relayed, so that another endpoint can continue
        the stream after the last one. Events that were relayed before are
        skipped.

        Args:
            task: The request.
            endpoint: The endpoint that has sent the chunk.
            chunk: Bytes of its response.
            turn: Counts the events that are parsed without a pause.

        Returns:
            Whether the stream has advanced: an event with a higher id was
            relayed.

        Raises:
            TruncatedStreamError: An event is missing, or the data is none.
        """
        relayed: list[bytes] = []
        malformed: str | None = None
        has_content = False
        has_advanced = False
        try:
            for event in event_stream.feed(task.splitter, chunk):
                await turn.spend()
                if not event_stream.is_well_formed(event.raw):
                    malformed = "data that is no event"
                    break
                if event.id is not None:
                    last_id = task.last_event_id
                    if last_id is not None and event.id <= last_id:
                        continue
                    if last_id is not None and event.id > last_id + 1:
                        malformed = f"event {last_id + 1} is missing"
                        break
                    task.last_event_id = event.id
                    has_advanced = True
                has_content |= not event_stream.carries_nothing(event)
                relayed.append(event.raw)
        except ValueError as error:
            malformed = str(error)
        if has_content:
            task.has_relayed_event = True
            task.software_version = endpoint.software_version
        if relayed:
            await task.exchange.send(b"".join(relayed))
        if malformed is not None:
            raise errors.TruncatedStreamError(malformed)
        return has_advanced
