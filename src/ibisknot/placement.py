"""Acquires and returns places at endpoints.

The scheduler is asked first. A request never waits for a scheduler that is
cut off or frozen: after a short time the next one in line is asked, and then
the process chooses by its own counts.
"""

import collections
import dataclasses
import itertools
import math
import random
import time

import anyio
from anyio import abc

from ibisknot import admission
from ibisknot import deployment
from ibisknot import errors
from ibisknot import fallback
from ibisknot import fleet_endpoint
from ibisknot import fleetview
from ibisknot import logs
from ibisknot import metrics
from ibisknot import peer
from ibisknot import serving
from ibisknot import timer
from ibisknot.gen.fleet import ttypes

MAX_SCHEDULERS = 3
"""Workers at the front of the line that know all places."""
REQUEST_TIMEOUT_S = {admission.ONLINE: 0.1, admission.BATCH: 1.0}
"""A scheduler is silent after this time, by the kind of what asks.

Batch work waits longer, so that a burst of it does not make a busy scheduler
look dead.
"""
BATCH_FALLBACK_DELAY_S = 3.0
"""Batch work waits this long for a scheduler before it does without."""
BATCH_POLL_PERIOD_S = 0.5
RETRY_SPACING_S = 0.005
"""Time between requests that ask again because a scheduler came or went."""
QUEUED_RETRY_PERIOD_S = {admission.ONLINE: 0.15, admission.BATCH: 1.5}
"""A request that waits asks again after this time, by its kind."""
NOTIFY_TIMEOUT_S = 0.4
REPORT_PERIOD_S = 0.8
DECLINED_RETRY_DELAY_S = 0.02

State = ttypes.PlaceState


@dataclasses.dataclass(slots=True, frozen=True)
class TicketRequest:
    """What a place is wanted for.

    Attributes:
        kind: `online` or `batch`.
        tokens: Tokens of the prompt and of the longest answer.
        blocks: Hashes of the prompt's leading parts.
        wait_s: Seconds that the request may wait at most.
        objective_s: Seconds after which it is better refused than kept.
        fingerprint: What the request and its resends have in common.
        organisation: Whose rate counts, or None.
        avoid: Endpoints that have already failed the request.
        due_s: Monotonic time at which the result is due.
        needs_s: Seconds for which the request will hold its place.
    """

    service: str
    kind: str
    request_id: str
    organisation: serving.Organisation | None
    max_wait_s: float
    objective_s: float = math.inf
    fingerprint: int = 0
    max_tokens: int = 0
    prompt_tokens: int = 0
    blocks: tuple[int, ...] = ()
    crash_suspect: bool = False
    avoid: frozenset[str] = frozenset()
    is_rate_limited: bool = True
    due_s: float = math.inf
    expected_duration_s: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """Leave to run one request at one endpoint.

    Attributes:
        revoked: Set when an online request needs the place.
        granted_by: Name of the scheduler, empty when chosen here.
        taken_s: Monotonic time at which it was taken.
    """

    id: str
    request: TicketRequest
    endpoint: fleet_endpoint.Endpoint
    exclusive: bool = False
    granted_by: str = ""
    revoked: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    acquired_s: float = 0.0


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    """A request that waits for its place.

    Attributes:
        declined: The endpoint whose place this process did not take.
    """

    answered: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    answer: ttypes.PlaceAnswer | None = None
    declined_endpoint: str = ""


class Client:
    """Asks for places, and tells the schedulers which are held.

    Attributes:
        held: The places in use by id.
        down: Names of the schedulers that did not answer. A report that one
            of them takes brings it back, so that no request waits for it.
    """

    def __init__(
        self,
        process: deployment.Process,
        view: fleetview.View,
        peers: peer.Client,
        clock: timer.Timer,
        task_group: abc.TaskGroup,
    ) -> None:
        self.process = process
        self.view = view
        self.peers = peers
        self.clock = clock
        self.task_group = task_group
        self.tickets: dict[str, Ticket] = {}
        self.pending: dict[str, _PendingRequest] = {}
        self.unresponsive: set[str] = set()
        self.rng = random.Random()
        self.fallback = fallback.Fallback(view, self.rng)
        self.id_prefix = f"{process.name}/{time.time_ns():x}"
        self.id_counter = itertools.count(1)
        self.is_retrying = False

    def start(self, server: peer.Server) -> None:
        """Registers the peer methods and the periodic report."""
        server.on("place_answer", ttypes.PlaceAnswer, self.on_answer)
        server.on("place_revoked", ttypes.PlaceRevoked, self.on_revoked)
        self.clock.subscribe(
            "places_held", REPORT_PERIOD_S, self._report_tickets
        )

    def schedulers(self) -> list[fleetview.Member]:
        """Returns the workers that give out places, the leader first."""
        line = fleetview.in_line(self.view.members.values())
        workers = [m for m in line if m.kind == deployment.WORKER]
        return workers[:MAX_SCHEDULERS]

    # Acquiring ------------------------------------------------------------

    async def acquire(self, request: TicketRequest) -> Ticket:
        """Waits for a place.

        Raises:
            OverloadedError: No place will be free in time.
            RateLimitError: The organisation is over its rate.
        """
        started_s = self.clock.now()
        while True:
            ticket = await self._acquire_once(request, started_s)
            if ticket is not None:
                return ticket
            await anyio.sleep(DECLINED_RETRY_DELAY_S)

    async def _acquire_once(
        self, request: TicketRequest, started_s: float
    ) -> Ticket | None:
        """Waits under one id, which ends with a place that was declined."""
        ticket_id = f"{self.id_prefix}/{next(self.id_counter)}"
        pending = _PendingRequest()
        self.pending[ticket_id] = pending
        ticket: Ticket | None = None
        try:
            ticket = await self._request_until_decided(
                request, ticket_id, pending, started_s
            )
            return ticket
        finally:
            del self.pending[ticket_id]
            waited_s = self.clock.now() - started_s
            metrics.PLACES_WAITED_S.observe({"kind": request.kind}, waited_s)
            if ticket is None:
                self._notify_released(
                    ticket_id,
                    request,
                    pending.declined_endpoint,
                    admission.CANCELLED,
                )
            else:
                _log_acquired(ticket, waited_s)

    async def _request_until_decided(
        self,
        request: TicketRequest,
        ticket_id: str,
        pending: _PendingRequest,
        started_s: float,
    ) -> Ticket | None:
        while True:
            waited_s = self.clock.now() - started_s
            if waited_s >= request.max_wait_s:
                message = f"no endpoint of {request.service} was free in time"
                raise errors.OverloadedError(message, retry_after_s=1.0)
            scheduler = self._responsive_scheduler()
            if scheduler is None:
                if (
                    request.kind == admission.BATCH
                    and waited_s < BATCH_FALLBACK_DELAY_S
                ):
                    await anyio.sleep(BATCH_POLL_PERIOD_S)
                    continue
                return self._acquire_by_fallback(request, ticket_id)
            answer = await self._send_request(
                scheduler, request, ticket_id, waited_s
            )
            if answer is not None and answer.state == State.QUEUED:
                left_s = max(0.0, request.max_wait_s - waited_s)
                with anyio.move_on_after(
                    min(QUEUED_RETRY_PERIOD_S[request.kind], left_s)
                ):
                    await pending.answered.wait()
                answer = pending.answer
                pending.answered = anyio.Event()
            if answer is None:
                continue
            if answer.state == State.GRANTED:
                ticket = self._accept_grant(
                    request, ticket_id, answer, scheduler.name
                )
                if ticket is None:
                    pending.declined_endpoint = answer.endpoint
                return ticket
            logs.event(
                "place_refused",
                request=request.request_id,
                place=ticket_id,
                scheduler=scheduler.name,
                state=State._VALUES_TO_NAMES[answer.state].lower(),
                waited_s=round(self.clock.now() - started_s, 3),
            )
            raise _refusal_error(request, answer)

    def _responsive_scheduler(self) -> fleetview.Member | None:
        for member in self.schedulers():
            if member.name not in self.unresponsive:
                return member
        return None

    async def _send_request(
        self,
        scheduler: fleetview.Member,
        request: TicketRequest,
        ticket_id: str,
        waited_s: float,
    ) -> ttypes.PlaceAnswer | None:
        """Asks one scheduler; returns nothing when it does not answer."""
        organisation = request.organisation
        allowance = None
        if organisation is not None and request.is_rate_limited:
            allowance = organisation.allowance()
        message = ttypes.PlaceAsk(
            id=ticket_id,
            group=request.service,
            kind=request.kind,
            organisation=organisation.name if organisation else "",
            tokens=request.max_tokens,
            prompt_tokens=request.prompt_tokens,
            blocks=list(request.blocks),
            holder=self.process.peer_address,
            wait_s=request.max_wait_s - waited_s,
            waited_s=waited_s,
            suspect=request.crash_suspect,
            avoid=sorted(request.avoid),
            rate_per_s=allowance.rate if allowance else 0.0,
            burst=allowance.burst if allowance else 0.0,
            due_s=request.due_s - self.clock.now(),
            needs_s=request.expected_duration_s,
            objective_s=request.objective_s - waited_s,
            fingerprint=request.fingerprint,
        )
        try:
            return await self.peers.call(
                scheduler.address,
                "place_ask",
                message,
                ttypes.PlaceAnswer,
                timeout_s=REQUEST_TIMEOUT_S[request.kind],
            )
        except errors.IbisknotError as error:
            self.unresponsive.add(scheduler.name)
            self._start_retry()
            logs.event(
                "scheduler_silent",
                level="warning",
                request=request.request_id,
                scheduler=scheduler.name,
                cause=error.message,
            )
            return None

    def _accept_grant(
        self,
        request: TicketRequest,
        ticket_id: str,
        answer: ttypes.PlaceAnswer,
        scheduler: str,
    ) -> Ticket | None:
        endpoint = self.view.endpoints.get(answer.endpoint)
        if endpoint is None or endpoint.is_draining:
            # The scheduler's view is older than this process's.
            return None
        ticket = Ticket(ticket_id, request, endpoint, answer.alone, scheduler)
        self._record_ticket(ticket)
        return ticket

    def _record_ticket(self, ticket: Ticket) -> None:
        self.tickets[ticket.id] = ticket
        ticket.acquired_s = self.clock.now()
        message = ttypes.PlaceTaken(
            holder=self.process.peer_address, place=self._to_wire(ticket)
        )
        for member in self.schedulers():
            if member.name != ticket.granted_by:
                self._notify(member, "place_taken", message)

    def _acquire_by_fallback(
        self, request: TicketRequest, ticket_id: str
    ) -> Ticket:
        """Chooses an endpoint by this process's own counts.

        Raises:
            OverloadedError: The service has no endpoint that may be up.
            RateLimitError: This process's part of the rate is used up.
        """
        now = self.clock.now()
        if request.organisation is not None and request.is_rate_limited:
            self.fallback.consume_token(request.organisation, now)
        in_flight = collections.Counter(
            ticket.endpoint.name for ticket in self.tickets.values()
        )
        endpoint = self.fallback.choose_endpoint(
            request.service, now, avoid=request.avoid, in_flight=in_flight
        )
        ticket = Ticket(ticket_id, request, endpoint)
        logs.event(
            "place_chosen_alone",
            request=request.request_id,
            endpoint=endpoint.name,
            own=in_flight[endpoint.name],
            view_age_s=round(now - self.view.endpoints_read_s, 3),
        )
        self._record_ticket(ticket)
        return ticket

    # Returning ------------------------------------------------------------

    def release(self, ticket: Ticket, outcome: str) -> None:
        """Gives a place back; never waits for a scheduler."""
        if self.tickets.pop(ticket.id, None) is None:
            return
        name = ticket.endpoint.name
        self.fallback.record_outcome(name, outcome, self.clock.now())
        metrics.ENDPOINT_CALLS.inc({"outcome": outcome})
        logs.event(
            "place_returned",
            request=ticket.request.request_id,
            place=ticket.id,
            endpoint=name,
            outcome=outcome,
        )
        self._notify_released(ticket.id, ticket.request, name, outcome)

    def _notify_released(
        self,
        ticket_id: str,
        request: TicketRequest,
        endpoint: str,
        outcome: str,
    ) -> None:
        message = ttypes.PlaceReturned(
            group=request.service,
            id=ticket_id,
            endpoint=endpoint,
            outcome=outcome,
        )
        for member in self.schedulers():
            self._notify(member, "place_returned", message)

    def _notify(
        self, member: fleetview.Member, method: str, message: object
    ) -> None:
        if member.name not in self.unresponsive:
            self.task_group.start_soon(self._call, member, method, message)

    async def _call(
        self, member: fleetview.Member, method: str, message: object
    ) -> None:
        try:
            await self.peers.call(
                member.address, method, message, timeout_s=NOTIFY_TIMEOUT_S
            )
        except errors.IbisknotError as error:
            # The periodic report repeats what was lost.
            if member.name not in self.unresponsive:
                self.unresponsive.add(member.name)
                self._start_retry()
                logs.event(
                    "scheduler_lost",
                    level="warning",
                    scheduler=member.name,
                    cause=error.message,
                )
            return
        if member.name in self.unresponsive:
            self.unresponsive.discard(member.name)
            self._start_retry()
            logs.event("scheduler_regained", scheduler=member.name)

    def _start_retry(self) -> None:
        """Lets requests that wait ask whoever gives out places now."""
        if not self.is_retrying:
            self.is_retrying = True
            self.task_group.start_soon(self._retry_pending)

    async def _retry_pending(self) -> None:
        """Wakes one request after the other, so that no burst arrives."""
        try:
            for pending in list(self.pending.values()):
                pending.answered.set()
                await anyio.sleep(RETRY_SPACING_S)
        finally:
            self.is_retrying = False

    async def _report_tickets(self, _now: float) -> None:
        """Timer callback: tells the schedulers all places held here."""
        message = ttypes.PlacesHeld(
            holder=self.process.peer_address,
            places=[self._to_wire(ticket) for ticket in self.tickets.values()],
        )
        schedulers = self.schedulers()
        self.unresponsive &= {member.name for member in schedulers}
        for member in schedulers:
            self.task_group.start_soon(
                self._call, member, "places_held", message
            )

    def _to_wire(self, ticket: Ticket) -> ttypes.Place:
        request = ticket.request
        now = self.clock.now()
        return ttypes.Place(
            id=ticket.id,
            group=request.service,
            endpoint=ticket.endpoint.name,
            kind=request.kind,
            organisation=request.organisation.name
            if request.organisation
            else "",
            tokens=request.max_tokens,
            suspect=request.crash_suspect,
            due_s=request.due_s - now,
            needs_s=max(
                0.0, ticket.acquired_s + request.expected_duration_s - now
            ),
        )

    async def on_answer(self, answer: ttypes.PlaceAnswer) -> None:
        """Peer method: a request that waited has its answer."""
        pending = self.pending.get(answer.id)
        if pending is not None:
            pending.answer = answer
            pending.answered.set()

    async def on_revoked(self, message: ttypes.PlaceRevoked) -> None:
        """Peer method: an online request needs a place."""
        ticket = self.tickets.get(message.id)
        if ticket is not None:
            logs.event(
                "place_revoked",
                request=ticket.request.request_id,
                place=ticket.id,
                endpoint=ticket.endpoint.name,
                revoked_by=message.scheduler,
            )
            ticket.revoked.set()


def _log_acquired(ticket: Ticket, waited_s: float) -> None:
    logs.event(
        "place_taken",
        request=ticket.request.request_id,
        place=ticket.id,
        kind=ticket.request.kind,
        endpoint=ticket.endpoint.name,
        granted_by=ticket.granted_by,
        waited_s=round(waited_s, 3),
    )


def _refusal_error(
    request: TicketRequest, answer: ttypes.PlaceAnswer
) -> errors.IbisknotError:
    retry_s = answer.retry_after_s
    if answer.state == State.OVER_RATE:
        name = request.organisation.name if request.organisation else ""
        message = f"{name} is over its rate"
        return errors.RateLimitError(message, retry_after_s=retry_s)
    if answer.state == State.UNSERVED:
        message = f"no endpoint serves {request.service}"
        return errors.OverloadedError(message, retry_after_s=retry_s)
    message = f"no endpoint of {request.service} will be free in time"
    return errors.OverloadedError(message, retry_after_s=retry_s)
