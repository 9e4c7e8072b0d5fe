"""Grants tickets for the slots of each service's endpoints.

One worker is the active scheduler. The standby schedulers receive all updates
on tickets, which the wire calls places, so that they can take over at once.
"""

from collections.abc import Callable
import dataclasses
import math
import random

from ibisknot import _holder_notices
from ibisknot import _scheduler_log
from ibisknot import _scheduler_messages
from ibisknot import _service
from ibisknot import admission
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import isolation
from ibisknot import logs
from ibisknot import metrics
from ibisknot import overload
from ibisknot import peer
from ibisknot import request_limits
from ibisknot import scheduler_accrual
from ibisknot import scheduler_limits
from ibisknot import scheduler_rates
from ibisknot import stream_origins
from ibisknot import timer
from ibisknot.gen.fleet import ttypes

TICK_PERIOD_S = 0.05
HOLDER_REPORT_TIMEOUT_S = 3.5
"""After this time without a report, a holder's tickets are reclaimed."""
UNSERVED_RETRY_S = 1.0
EXPIRED_REMAINING_S = 3.0
"""Time that usually remains to a caller whose request expired in the queue."""

ACTIVE_POLICY = admission.Policy(
    batch_weight=1.0,
    displaced_per_online=1.0,
    consolidates_online=False,
    headroom_slots=0.0,
    in_arrival_order=True,
    weighs_losses=True,
)
"""Uses every slot: endpoints with a stated slot count slow little when full."""
STANDBY_POLICY = dataclasses.replace(ACTIVE_POLICY, revokes_batch=False)
ACTIVE_TIMEOUT_S = 2.0
"""A scheduler without requests for this time is standby: it never revokes."""

State = ttypes.PlaceState


class Scheduler:
    """Grants, queues or refuses requests for tickets.

    Attributes:
        services: State of each service by name.
        last_report_s: Monotonic time of each holder's last report, by address.
        unreported_since_s: The same of the first message about a holder that
            has not reported yet.
        refusals: The callers that were refused lately.
        limits: The limits that endpoints have named.
        origins: The software that began the streams.
        accruals: The time for which rates and limits accrue here.
        rates: This scheduler's part of the organisations' rates.
    """

    def __init__(
        self,
        name: str,
        view: fleetview.View,
        peers: peer.Client,
        clock: timer.Timer,
        task_group: isolation.TaskStarter,
        *,
        rng: random.Random | None = None,
        origins: stream_origins.Table | None = None,
        is_earlier_build: Callable[[str], bool] = lambda _name: False,
    ) -> None:
        self.origins = origins or stream_origins.Table()
        self.name = name
        self.view = view
        self.clock = clock
        self.notices = _holder_notices.Notices(name, peers, task_group)
        self.rng = rng or random.Random()
        self.services: dict[str, _service.Service] = {}
        self.last_report_s: dict[str, float] = {}
        self.unreported_since_s: dict[str, float] = {}
        self.refusals = overload.Refusals()
        self.limits = scheduler_limits.Limits(
            view, clock, self._set_request_limit
        )
        self.accruals = scheduler_accrual.Accruals(
            name,
            view,
            clock,
            is_earlier_build=is_earlier_build,
            on_limits_accrued=self._add_accrued,
        )
        self.rates = scheduler_rates.Rates(view, clock, self.accruals)

    def start(self, server: peer.Server) -> None:
        """Registers the peer methods and the periodic work."""
        server.on("place_ask", ttypes.PlaceAsk, self.on_request)
        server.on("place_taken", ttypes.PlaceTaken, self.on_acquired)
        server.on("place_returned", ttypes.PlaceReturned, self.on_released)
        server.on("places_held", ttypes.PlacesHeld, self.on_report)
        self.limits.start(server)
        self.clock.subscribe("scheduler", TICK_PERIOD_S, self.tick)

    def service(self, name: str) -> _service.Service:
        """Returns the state of a service, created if it is new."""
        service = self.services.get(name)
        if service is None:
            service = _service.Service(name)
            service.group.policy = STANDBY_POLICY
            self.services[name] = service
        return service

    def update_endpoints(self) -> None:
        """Applies the endpoints of the view to all services."""
        for service in self.services.values():
            self._update_endpoints(service)

    def _update_endpoints(self, service: _service.Service) -> None:
        service.apply_configuration(self.view.configuration)
        found = fleetview.active_endpoints(self.view, service.name)
        names = {endpoint.name for endpoint in found}
        versions = {e.name: e.software_version for e in found}
        service.set_starts({e.name: e.born_ms for e in found})
        if versions == service.software_versions():
            return
        self.limits.update_cold()
        slots = {endpoint.name: endpoint.slots for endpoint in found}
        now = self.clock.now()
        self._apply(
            service,
            admission.set_endpoints(
                service.group,
                now,
                names,
                slots=slots,
                data_centres={e.name: e.data_centre for e in found},
                software_versions=versions,
                cold=self.limits.cold,
            ),
        )
        # A limit may have arrived before its endpoint.
        self.limits.apply(names)

    def _set_request_limit(
        self, service_name: str, change: scheduler_limits.Change
    ) -> None:
        """Applies a change of the requests a second that an endpoint takes."""
        service = self.service(service_name)
        self._update_endpoints(service)
        self._apply(service, change(service.group, self.clock.now()))

    async def on_request(self, request: ttypes.PlaceAsk) -> ttypes.PlaceAnswer:
        """Peer method: grants, queues or refuses a request for a ticket.

        Raises:
            UnavailableError: This process has just started and knows no
                endpoints yet; the holder knows some.
        """
        if self.view.endpoints_read_s == fleetview.NEVER_S:
            raise errors.UnavailableError("the endpoints were not read yet")
        service = self.service(request.group)
        service.last_request_s = self.clock.now()
        self._await_first_report(request.holder)
        service.group.policy = ACTIVE_POLICY
        self.accruals.on_request(request)
        self._update_endpoints(service)
        self.limits.adopt(request.limits)
        was_queued = admission.is_queued(service.group, request.id)
        answer = self._decide(service, request)
        if answer.state != State.GRANTED and not was_queued:
            _scheduler_log.answered(
                service,
                request,
                answer,
                accruing=self.accruals.burst_fraction(_scheduler_log.BURST_S),
                view_age_s=self.clock.now() - self.view.endpoints_read_s,
            )
        return answer

    def _decide(
        self, service: _service.Service, request: ttypes.PlaceAsk
    ) -> ttypes.PlaceAnswer:
        now = self.clock.now()
        if admission.is_queued(service.group, request.id):
            return _scheduler_messages.answer(request.id, State.QUEUED)
        if not service.group.endpoints:
            return _scheduler_messages.answer(
                request.id, State.UNSERVED, retry_s=UNSERVED_RETRY_S
            )
        if not service.has_software(request.software):
            return _scheduler_messages.answer(request.id, State.SOFTWARE_GONE)
        granted = request.id in service.granted_s
        first_s = overload.first_seen_s(self.refusals, now, request.fingerprint)
        if not granted and not self.rates.consume_token(request, now):
            retry_s = self.rates.next_token_s(request)
            return _scheduler_messages.answer(
                request.id, State.OVER_RATE, retry_s=retry_s
            )
        if not granted and first_s is None and service.is_late(request, now):
            self.rates.refund_token(request)
            return self._refuse(service, request, now)
        return self._admit(service, request, now, first_s)

    def _refuse(
        self, service: _service.Service, request: ttypes.PlaceAsk, now: float
    ) -> ttypes.PlaceAnswer:
        overload.record_refusal(self.refusals, now, request.fingerprint)
        retry_s = self._retry_after_s(service, request.wait_s)
        return _scheduler_messages.answer(
            request.id, State.OVERLOADED, retry_s=retry_s
        )

    def _admit(
        self,
        service: _service.Service,
        request: ttypes.PlaceAsk,
        now: float,
        first_s: float | None,
    ) -> ttypes.PlaceAnswer:
        """Grants or queues a request.

        A caller that was refused before is queued as if it had arrived at its
        first attempt, `first_s`, as long as it can be on time.
        """
        stream = request.stream or ttypes.StreamAttempt("", 0)
        service.requesters[request.id] = _service.Requester(
            request.holder, stream.stream, stream.number
        )
        queued_request = admission.QueuedRequest(
            id=request.id,
            kind=request.kind,
            organisation=request.organisation,
            arrived_s=now - request.waited_s if first_s is None else first_s,
            expires_s=now + self._queue_timeout_s(request),
            max_tokens=request.tokens,
            prompt_words=request.prompt_tokens,
            prompt_blocks=tuple(request.blocks),
            holder=request.holder,
            data_centre=request.data_centre or "",
            crash_suspect=request.suspect,
            avoid=frozenset(request.avoid),
            due_s=now + request.due_s,
            expected_duration_s=request.needs_s,
            software_version=request.software,
            on_time_until_s=now
            + request.objective_s
            - overload.FIRST_TOKEN_LATENCY_S,
        )
        granted: list[admission.Ticket] = []
        self._apply(
            service,
            admission.request_ticket(service.group, now, queued_request),
            request.id,
            granted,
        )
        if granted:
            return _scheduler_messages.grant(service, granted[0])
        if request.id in service.requesters:
            return _scheduler_messages.answer(request.id, State.QUEUED)
        return self._refuse(service, request, now)

    def _queue_timeout_s(self, request: ttypes.PlaceAsk) -> float:
        """Returns the seconds that a request may be queued.

        A queued online request is not refused early: its caller has already
        lost the time in which a retry would have helped.
        """
        if request.kind != admission.ONLINE:
            return request.wait_s
        return min(request.wait_s, overload.QUEUE_TIMEOUT_S)

    def _retry_after_s(
        self, service: _service.Service, remaining_s: float
    ) -> float:
        return overload.retry_after_s(
            service.hold_time,
            queued=service.group.online_queue.size,
            slots=service.online_slots(),
            remaining_s=remaining_s,
            rng=self.rng,
        )

    async def on_acquired(self, message: ttypes.PlaceTaken) -> None:
        """Peer method: adopts a ticket that this scheduler did not grant.

        If a scheduler that comes before this one has granted it, that one is
        active, and this one must not revoke what it grants.
        """
        service = self.service(message.place.group)
        granted_by = message.granted_by or self.name
        counts = self.accruals.on_acquired(
            message.holder, message.granted_by or ""
        )
        if counts and message.place.kind == admission.ONLINE:
            self.rates.charge(message.place.organisation)
        if granted_by < self.name:
            service.last_request_s = -math.inf
            service.group.policy = STANDBY_POLICY
        self._update_endpoints(service)
        self._adopt(
            service,
            message.holder,
            message.place,
            counts_against_limit=counts
            or self.accruals.chose_alone(message.holder, message.granted_by),
        )

    def _await_first_report(self, holder: str) -> None:
        """Starts the report timeout of a holder that may never report."""
        if holder not in self.last_report_s:
            self.unreported_since_s.setdefault(holder, self.clock.now())

    def _adopt(
        self,
        service: _service.Service,
        holder: str,
        wire: ttypes.Place,
        *,
        counts_against_limit: bool,
    ) -> None:
        now = self.clock.now()
        self._await_first_report(holder)
        self._record_origin(wire)
        service.granted_s.setdefault(wire.id, now)
        ticket = _scheduler_messages.to_ticket(wire, holder, now)
        actions = admission.adopt_ticket(
            service.group,
            now,
            ticket,
            counts_against_limit=counts_against_limit,
        )
        self._apply(service, actions)

    async def on_released(self, message: ttypes.PlaceReturned) -> None:
        """Peer method: releases a ticket or cancels a queued request."""
        service = self.service(message.group)
        now = self.clock.now()
        service.requesters.pop(message.id, None)
        granted_s = service.granted_s.pop(message.id, None)
        ticket = admission.find_ticket(service.group, message.id)
        if (
            granted_s is not None
            and ticket is not None
            and ticket.kind == admission.ONLINE
            and message.outcome == admission.OK
        ):
            overload.record_hold_time(service.hold_time, now - granted_s)
        result = admission.Measurement(
            outcome=message.outcome, event_gap_s=message.event_gap_s
        )
        self._apply(
            service,
            admission.release_ticket(service.group, now, message.id, result),
        )

    async def on_report(
        self, message: ttypes.PlacesHeld
    ) -> ttypes.ReportAccepted:
        """Peer method: reconciles the tickets with a holder's report."""
        now = self.clock.now()
        holder = message.holder
        self.accruals.on_report(message)
        self.last_report_s[message.holder] = now
        self.unreported_since_s.pop(message.holder, None)
        self.limits.adopt(message.limits)
        tickets_by_service: dict[str, list[admission.Ticket]] = {
            name: [] for name in self.services
        }
        for name in sorted({wire.group for wire in message.places}):
            self._update_endpoints(self.service(name))
        for wire in message.places:
            self._record_origin(wire)
            reported = tickets_by_service.setdefault(wire.group, [])
            reported.append(
                _scheduler_messages.to_ticket(wire, message.holder, now)
            )
        for name, tickets in tickets_by_service.items():
            service = self.services[name]
            actions = admission.reconcile(service.group, now, holder, tickets)
            self._apply(service, actions)
        missing = _service.not_queued(self.services.values(), message.queued)
        return ttypes.ReportAccepted(counts_accrued=True, not_queued=missing)

    async def tick(self, now: float) -> None:
        """Timer callback: applies deadlines, and reclaims lost tickets."""
        waiting_s = self.last_report_s | self.unreported_since_s
        for holder, last_s in waiting_s.items():
            if now - last_s < HOLDER_REPORT_TIMEOUT_S:
                continue
            self.last_report_s.pop(holder, None)
            self.unreported_since_s.pop(holder, None)
            self.accruals.forget(holder)
            logs.event("holder_lost", holder=holder, silent_s=now - last_s)
            for service in self.services.values():
                # The ticket ids stay valid: if this process was cut off, the
                # holder reports them again.
                self._apply(
                    service, admission.reconcile(service.group, now, holder, [])
                )
        self.limits.forget_gone()
        self._add_accrued(0.0)
        for service in self.services.values():
            if now - service.last_request_s > ACTIVE_TIMEOUT_S:
                service.group.policy = STANDBY_POLICY
            self._apply(service, admission.tick(service.group, now))
            _scheduler_log.flows_changed(service, now)
            _scheduler_log.changes(service, now)

    def _add_accrued(self, accrued_s: float) -> None:
        """Adds time for which the limits of endpoints accrue here."""
        limited = [
            service.group
            for service in self.services.values()
            if admission.has_limits(service.group)
        ]
        if not limited:
            return
        fraction = self.accruals.limit_burst_fraction(request_limits.BURST_S)
        for group in limited:
            admission.add_accrued(group, accrued_s, fraction)

    def _apply(
        self,
        service: _service.Service,
        actions: list[admission.Action],
        requested_id: str = "",
        granted: list[admission.Ticket] | None = None,
    ) -> None:
        """Carries out actions; adds a grant of `requested_id` to `granted`."""
        for action in actions:
            if isinstance(action, admission.Grant):
                ticket = action.ticket
                requester = service.requesters.pop(ticket.id, None)
                service.granted_s[ticket.id] = self.clock.now()
                self._record_grant(service, ticket, requester)
                if ticket.id == requested_id and granted is not None:
                    granted.append(ticket)
                else:
                    self.notices.send_decision(
                        ticket.holder,
                        _scheduler_messages.grant(service, ticket),
                    )
            elif isinstance(action, admission.Refuse):
                requester = service.requesters.pop(action.id, None)
                if action.id != requested_id and requester is not None:
                    self._notify_refused(service, action, requester.holder)
            else:
                metrics.TICKETS_REVOKED.inc({"service": service.name})
                self.notices.send_revocation(action)

    def _record_grant(
        self,
        service: _service.Service,
        ticket: admission.Ticket,
        requester: _service.Requester | None,
    ) -> None:
        """Records which software may begin a stream, before it does."""
        if requester is None:
            return
        version = service.software_version(ticket.endpoint)
        self.origins.record_grant(
            requester.stream_id,
            stream_origins.Origin(service.name, version, requester.number),
            self.clock.now(),
        )

    def _record_origin(self, wire: ttypes.Place) -> None:
        """Records which software serves a stream, as its holder says."""
        if wire.stream is not None and wire.software is not None:
            self.origins.record(
                wire.stream.stream,
                stream_origins.Origin(
                    wire.group, wire.software, wire.stream.number
                ),
                self.clock.now(),
            )

    def _notify_refused(
        self, service: _service.Service, refusal: admission.Refuse, holder: str
    ) -> None:
        retry_s = self._retry_after_s(service, EXPIRED_REMAINING_S)
        answer = _scheduler_messages.refusal(refusal, retry_s)
        self.notices.send_decision(holder, answer)
