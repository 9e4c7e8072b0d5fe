"""Acquires and releases the tickets that permit requests to run at endpoints.

The active scheduler grants tickets. A request does not wait for a scheduler
that is cut off or frozen: after a short timeout it goes to the next scheduler.
If none responds, the process chooses the endpoint itself, by its own tickets.
On the wire and in log events, a ticket is a place.
"""

import collections
from collections.abc import Iterator
import dataclasses
import itertools
import math
import random
import time

import anyio

from ibisknot import _placement_messages
from ibisknot import _queued_requests
from ibisknot import _ticket_log
from ibisknot import accrual_holder
from ibisknot import admission
from ibisknot import deployment
from ibisknot import endpoint_limits
from ibisknot import errors
from ibisknot import fallback
from ibisknot import fleet_endpoint
from ibisknot import fleetview
from ibisknot import isolation
from ibisknot import leaving_endpoints
from ibisknot import logs
from ibisknot import metrics
from ibisknot import peer
from ibisknot import stream_origins
from ibisknot import ticket_types
from ibisknot import timer
from ibisknot.gen.fleet import ttypes
from ibisknot.gen.peer import ttypes as peer_types
from ibisknot.locality import scopes
from ibisknot.outage import failover

REQUEST_TIMEOUT_S = {admission.ONLINE: 0.2, admission.BATCH: 1.0}
"""Time after which a scheduler counts as unresponsive, by kind of request.

It is longer for batch: bursts of batch delay a scheduler that still responds.
For online it leaves time for the next scheduler within the objective.
"""
BATCH_DELAY_S = 3.0
"""Time that batch waits for a responsive scheduler before the fallback."""
BATCH_POLL_PERIOD_S = 0.5
NOTIFY_TIMEOUT_S = 0.4
REPORT_PERIOD_S = 0.8
DECLINED_RETRY_DELAY_S = 0.02
MAX_GRANTS_PER_ATTEMPT = 1_000
"""Numbers that each attempt has for its grants."""

State = ttypes.PlaceState


class Client:
    """Requests tickets, and reports to the schedulers those that are held.

    Attributes:
        tickets: The held tickets by id.
        requests: The requests that wait for a decision.
        pending: The same requests by ticket id.
        unresponsive: Names of the schedulers that did not answer. Requests
            skip a scheduler until it accepts a periodic report.
        limits: The limits of endpoints that this process knows.
        leaving: The endpoints that have said that they leave.
        origins: The software that began the streams.
        reported_to: Schedulers that have accepted a periodic report since they
            started.
        share: This process's share of rates and limits.
    """

    def __init__(
        self,
        process: deployment.Process,
        view: fleetview.View,
        peers: peer.Client,
        clock: timer.Timer,
        task_group: isolation.TaskStarter,
        *,
        origins: stream_origins.Table | None = None,
    ) -> None:
        self.origins = origins or stream_origins.Table()
        self.process = process
        self.view = view
        self.peers = peers
        self.clock = clock
        self.task_group = task_group
        self.tickets: dict[str, ticket_types.Ticket] = {}
        self.requests = _queued_requests.Requests(view, task_group)
        self.pending = self.requests.pending
        self.unresponsive: set[str] = set()
        self.rng = random.Random()
        self.limits = endpoint_limits.Table(view)
        self.leaving = leaving_endpoints.Table(view)
        self.reported_to: set[fleetview.Member] = set()
        self.fallback = fallback.Fallback(view, self.rng, process.data_centre)
        self.id_prefix = f"{process.name}/{time.time_ns() // 1_000_000:x}"
        self.id_counter = itertools.count(1)
        self.share = accrual_holder.Holder(
            view, clock, self.schedulers, self.unresponsive
        )

    def start(self, server: peer.Server) -> None:
        """Registers the peer methods and the periodic report."""
        server.on("place_answer", ttypes.PlaceAnswer, self.on_answer)
        server.on("place_revoked", ttypes.PlaceRevoked, self.on_revoked)
        self.clock.subscribe("places_held", REPORT_PERIOD_S, self._report)

    def schedulers(self) -> list[fleetview.Member]:
        """Returns the schedulers in their order; the first one is active."""
        return fleetview.schedulers(self.view)

    async def acquire(
        self, request: ticket_types.TicketRequest
    ) -> ticket_types.Ticket:
        """Waits for a ticket.

        Raises:
            OverloadedError: No slot will be free in time.
            RateLimitError: The organisation is over its rate.
            SoftwareGoneError: No endpoint has the software that the request
                needs.
        """
        started_s = self.clock.now()
        numbers = itertools.count(request.attempt * MAX_GRANTS_PER_ATTEMPT)
        while True:
            ticket = await self._acquire_once(request, numbers, started_s)
            if ticket is not None:
                return ticket
            # The declined grant has consumed a token of the rate.
            request = dataclasses.replace(request, is_rate_limited=False)
            await anyio.sleep(DECLINED_RETRY_DELAY_S)

    async def _acquire_once(
        self,
        request: ticket_types.TicketRequest,
        numbers: Iterator[int],
        started_s: float,
    ) -> ticket_types.Ticket | None:
        """Waits under one ticket id; returns None if the grant was declined."""
        ticket_id = f"{self.id_prefix}/{next(self.id_counter)}"
        pending = ticket_types.PendingRequest()
        self.pending[ticket_id] = pending
        ticket: ticket_types.Ticket | None = None
        try:
            ticket = await self._request(
                request, ticket_id, pending, numbers, started_s
            )
            return ticket
        finally:
            del self.pending[ticket_id]
            waited_s = self.clock.now() - started_s
            metrics.TICKET_WAIT_S.observe({"kind": request.kind}, waited_s)
            if ticket is None:
                message = _placement_messages.cancelled(
                    request, ticket_id, pending.declined
                )
                self._notify_released(message, pending.asked)
            else:
                _ticket_log.acquired(ticket, waited_s)

    async def _request(
        self,
        request: ticket_types.TicketRequest,
        ticket_id: str,
        pending: ticket_types.PendingRequest,
        numbers: Iterator[int],
        started_s: float,
    ) -> ticket_types.Ticket | None:
        """Waits for a decision; returns None if a grant was declined.

        Each scheduler is asked under a higher number: one that was given up
        may still grant, and record an origin that nobody uses.
        """
        number = 0
        while True:
            waited_s = self.clock.now() - started_s
            self.leaving.check(request)
            if waited_s >= request.max_wait_s:
                message = f"no endpoint of {request.service} was free in time"
                raise errors.OverloadedError(message, retry_after_s=1.0)
            member = self._responsive_scheduler()
            if member is None:
                if request.kind == admission.BATCH and waited_s < BATCH_DELAY_S:
                    await anyio.sleep(BATCH_POLL_PERIOD_S)
                    continue
                return self._use_fallback(request, ticket_id, next(numbers))
            if self.share.uses_own_share(member):
                self._consume_own_token(request)
                request = dataclasses.replace(request, is_rate_limited=False)
            if member.name != pending.scheduler:
                pending.scheduler = member.name
                pending.asked.add(member.name)
                number = next(numbers)
            answer = await self._send(
                member, request, ticket_id, number, waited_s
            )
            if answer is not None and answer.state == State.QUEUED:
                left_s = max(0.0, request.max_wait_s - waited_s)
                resend_s = self.requests.resend_s(member, request.kind)
                if request.kind == admission.BATCH:
                    pending.queued_at = member.name
                with anyio.move_on_after(min(resend_s, left_s)):
                    await pending.answered.wait()
                pending.queued_at = ""
                answer = pending.answer
                pending.answered = anyio.Event()
            if answer is None:
                continue
            if answer.state == State.GRANTED:
                ticket = _placement_messages.accepted_ticket(
                    self.view,
                    self.leaving,
                    request,
                    ticket_id,
                    answer,
                    member.name,
                )
                if ticket is None:
                    pending.declined = answer.endpoint
                    return None
                ticket.number = number
                self._record_ticket(ticket)
                return ticket
            _ticket_log.refused(
                request, answer, member.name, self.clock.now() - started_s
            )
            raise _placement_messages.refusal_error(request, answer)

    def _responsive_scheduler(self) -> fleetview.Member | None:
        for member in self.schedulers():
            if member.name not in self.unresponsive:
                return member
        return None

    async def _send(
        self,
        member: fleetview.Member,
        request: ticket_types.TicketRequest,
        ticket_id: str,
        number: int,
        waited_s: float,
    ) -> ttypes.PlaceAnswer | None:
        """Sends the request to a scheduler; returns None without an answer."""
        accrued_s = self.share.take(member)
        message = _placement_messages.ask(
            request,
            ticket_id,
            holder=self.process.peer_address,
            data_centre=self.process.data_centre,
            waited_s=waited_s,
            now=self.clock.now(),
            number=number,
            accrued_s=accrued_s,
            leaving=self.leaving.excluded(request),
            limits=self._limits_for(member),
        )
        try:
            return await self.peers.call(
                member.address,
                "place_ask",
                message,
                ttypes.PlaceAnswer,
                timeout_s=REQUEST_TIMEOUT_S[request.kind],
            )
        except errors.IbisknotError as error:
            if error.ran == errors.NOT_RUN:
                self.share.give_back(accrued_s)
            self._mark_unresponsive(member)
            logs.event(
                "scheduler_silent",
                level="warning",
                request=request.request_id,
                scheduler=member.name,
                cause=error.message,
            )
            return None

    def _record_ticket(self, ticket: ticket_types.Ticket) -> None:
        self.tickets[ticket.id] = ticket
        ticket.acquired_s = self.clock.now()
        own, other = self.process.data_centre, ticket.endpoint.data_centre
        metrics.count_placement(ticket.request.kind, scopes.compare(own, other))
        origins = self.origins
        record = origins.record if ticket.granted_by else origins.record_grant
        record(
            ticket.request.stream_id,
            _placement_messages.origin(ticket),
            ticket.acquired_s,
        )
        if not ticket.granted_by:
            self.fallback.count_request(ticket.endpoint.name, ticket.acquired_s)
        message = ttypes.PlaceTaken(
            holder=self.process.peer_address,
            place=_placement_messages.place(ticket, ticket.acquired_s),
            granted_by=ticket.granted_by,
        )
        for member in self.schedulers():
            if member.name != ticket.granted_by:
                self._notify(member, "place_taken", message)

    def _use_fallback(
        self, request: ticket_types.TicketRequest, ticket_id: str, number: int
    ) -> ticket_types.Ticket:
        """Chooses an endpoint by this process's own tickets and rate share."""
        self._consume_own_token(request)
        now = self.clock.now()
        in_flight = collections.Counter(
            ticket.endpoint.name for ticket in self.tickets.values()
        )
        endpoint = self.fallback.choose_endpoint(
            request.service,
            now,
            avoid=request.avoid,
            excluded=self.leaving.excluded(request),
            in_flight=in_flight,
            software_version=request.software_version,
        )
        ticket = ticket_types.Ticket(
            ticket_id, request, endpoint, number=number
        )
        _ticket_log.chosen_alone(
            ticket, in_flight[endpoint.name], now - self.view.endpoints_read_s
        )
        self._record_ticket(ticket)
        return ticket

    def release(self, ticket: ticket_types.Ticket, outcome: str) -> None:
        """Releases a ticket; never waits for a scheduler."""
        if self.tickets.pop(ticket.id, None) is None:
            return
        name = ticket.endpoint.name
        self.fallback.record_outcome(name, outcome, self.clock.now())
        metrics.ENDPOINT_CALLS.inc({"outcome": outcome})
        _ticket_log.released(ticket, outcome)
        self._notify_released(_placement_messages.returned(ticket, outcome))

    def record_limit(
        self, endpoint: fleet_endpoint.Endpoint, rate_per_s: float | None
    ) -> None:
        """Records what an answer of an endpoint says of its limit.

        Args:
            endpoint: The endpoint.
            rate_per_s: Requests a second; infinite if it names no limit, None
                if that could not be read.
        """
        now = self.clock.now()
        if not self.limits.record_answer(endpoint, rate_per_s, now):
            return
        self.fallback.set_request_limit(
            endpoint.name, self.limits.rate_per_s(endpoint.name), now
        )
        message = ttypes.EndpointLimits(self.limits.to_wire(now))
        for member in self.schedulers():
            self._notify(member, "endpoint_limits", message)

    def _consume_own_token(self, request: ticket_types.TicketRequest) -> None:
        """Consumes a token of this process's share of a rate.

        Raises:
            RateLimitError: The share has no token.
        """
        now = self.clock.now()
        self.fallback.add_accrued(self.share.take_own(), now)
        if request.organisation is not None and request.is_rate_limited:
            self.fallback.consume_token(request.organisation, now)

    def _limits_for(
        self, member: fleetview.Member
    ) -> list[ttypes.EndpointLimit] | None:
        """Returns the limits if a scheduler has had no report of them yet."""
        if not self.limits.limits or member in self.reported_to:
            return None
        return self.limits.to_wire(self.clock.now())

    def _notify_released(
        self, message: ttypes.PlaceReturned, asked: set[str] | None = None
    ) -> None:
        """Tells the schedulers, or only those asked for one never taken."""
        for member in self.schedulers():
            if asked is None or member.name in asked:
                self._notify(member, "place_returned", message)

    def _notify(
        self, member: fleetview.Member, method: str, message: object
    ) -> None:
        if member.name not in self.unresponsive:
            self.task_group.start_soon(self._call, member, method, message)

    async def _call(
        self, member: fleetview.Member, method: str, message: object
    ) -> None:
        is_report = method == "places_held"
        sent_s = self.clock.now()
        try:
            answer = await self.peers.call(
                member.address,
                method,
                message,
                ttypes.ReportAccepted if is_report else peer_types.Empty,
                timeout_s=NOTIFY_TIMEOUT_S,
            )
        except errors.IbisknotError as error:
            # The next periodic report carries what this message said.
            self.reported_to.discard(member)
            if member.name not in self.unresponsive:
                self._mark_unresponsive(member)
                logs.event(
                    "scheduler_lost",
                    level="warning",
                    scheduler=member.name,
                    cause=error.message,
                )
            return
        if isinstance(message, ttypes.PlacesHeld):
            self.reported_to.add(member)
            self.share.learn_build(member, bool(answer.counts_accrued))
            self.requests.on_confirmed(
                member, message.queued, answer.not_queued
            )
        if member.name in self.unresponsive and failover.may_regain(
            self.clock.now() - sent_s, self._responsive_scheduler()
        ):
            self.unresponsive.discard(member.name)
            self.requests.start_retry()
            logs.event("scheduler_regained", scheduler=member.name)

    def _mark_unresponsive(self, member: fleetview.Member) -> None:
        """Skips a scheduler until it accepts a periodic report."""
        self.unresponsive.add(member.name)
        self.requests.start_retry()
        self.share.on_lost(member)

    async def _report(self, now: float) -> None:
        """Timer callback: reports all tickets to the schedulers."""
        for name in self.limits.forget_gone():
            self.fallback.set_request_limit(name, math.inf, now)
        schedulers = self.schedulers()
        self.reported_to &= set(schedulers)
        self.unresponsive &= {member.name for member in schedulers}
        self.share.forget_others(schedulers)
        active = self._responsive_scheduler()
        if active is not None:
            self.requests.resend_misplaced(schedulers, active.name)
        places = _placement_messages.places(self.tickets.values(), now)
        limits = self.limits.to_wire(now)
        for member in schedulers:
            method, message = "endpoint_limits", ttypes.EndpointLimits(limits)
            # An earlier build counts the share of each process that reports.
            if not self.share.uses_own_share(member):
                method = "places_held"
                message = ttypes.PlacesHeld(
                    holder=self.process.peer_address,
                    places=places,
                    limits=limits or None,
                    accrued_s=self.share.take(member),
                    queued=self.requests.queued_at(member),
                )
            self.task_group.start_soon(self._call, member, method, message)

    async def on_answer(self, answer: ttypes.PlaceAnswer) -> None:
        """Peer method: receives the decision on a queued request.

        A scheduler that was given up may still decide; it is told of the
        ticket that another one grants, or of the request's end.
        """
        pending = self.pending.get(answer.id)
        if pending is None:
            return
        if answer.scheduler in (None, pending.scheduler):
            pending.answer = answer
            pending.answered.set()

    async def on_revoked(self, message: ttypes.PlaceRevoked) -> None:
        """Peer method: revokes a ticket in favour of another request."""
        ticket = self.tickets.get(message.id)
        if ticket is not None:
            _ticket_log.revoked(ticket, message.scheduler)
            ticket.revoked.set()
