"""Gives out the places of a service's endpoints, on the worker that leads.

Every worker near the front of the line is told of all places that are taken
and returned, so that the next one can lead at once.
"""

import dataclasses
import math
import random

from anyio import abc

from ibisknot import admission
from ibisknot import deployment
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import logs
from ibisknot import metrics
from ibisknot import overload
from ibisknot import peer
from ibisknot import rates
from ibisknot import timer
from ibisknot.gen.fleet import ttypes

TICK_PERIOD_S = 0.05
NOTIFY_TIMEOUT_S = 0.3
GATEWAY_REPORT_TIMEOUT_S = 2.0
"""A gateway that reports nothing for this time admits by its own part."""
HOLDER_REPORT_TIMEOUT_S = 3.5
"""A holder that reports nothing for this time has lost its places."""
INITIAL_BURST_FRACTION = 0.5
"""Part of an organisation's burst that a scheduler starts with.

A former leader may just have given the whole burst out.
"""
UNSERVED_RETRY_AFTER_S = 1.0
EXPIRED_REMAINING_S = 3.0
"""Time that a caller has left, as a rule, whose wait was in vain."""

ACTIVE_POLICY = admission.Policy(
    batch_weight=1.0,
    displaced_per_online=1.0,
    consolidates_online=False,
    headroom_slots=0.0,
    in_arrival_order=True,
)
"""Endpoints with a stated number of slots slow down little when full."""
STANDBY_POLICY = dataclasses.replace(ACTIVE_POLICY, revokes_batch=False)
ACTIVE_TIMEOUT_S = 2.0
"""A scheduler that nobody asked for this time leaves revoking to another."""

State = ttypes.PlaceState


@dataclasses.dataclass(slots=True)
class ServiceState:
    """The endpoints of one service, with who holds and awaits places.

    Attributes:
        waiters: Peer address of the holder, by the id of its request.
        taken_s: Monotonic time at which each online place was taken.
        asked_s: Monotonic time at which this scheduler was last asked.
    """

    name: str
    group: admission.Group = dataclasses.field(default_factory=admission.Group)
    hold_time: overload.HoldTime = dataclasses.field(
        default_factory=overload.HoldTime
    )
    queued_holders: dict[str, str] = dataclasses.field(default_factory=dict)
    granted_s: dict[str, float] = dataclasses.field(default_factory=dict)
    last_request_s: float = -math.inf


class Scheduler:
    """Decides on places with the product's admission.

    Attributes:
        name: Name of this process.
        pools: The services that were asked for.
        shares: What is left of each organisation's rate.
        heard_s: Monotonic time of each holder's last report.
        expected_s: Monotonic time of the first place of each holder that has
            not reported yet.
        refusals: The callers that were told to come back.
        started_s: Monotonic time of this process's start.
    """

    def __init__(
        self,
        name: str,
        view: fleetview.View,
        peers: peer.Client,
        clock: timer.Timer,
        task_group: abc.TaskGroup,
        *,
        rng: random.Random | None = None,
    ) -> None:
        self.name = name
        self.view = view
        self.peers = peers
        self.clock = clock
        self.task_group = task_group
        self.rng = rng or random.Random()
        self.services: dict[str, ServiceState] = {}
        self.shares: dict[str, rates.Share] = {}
        self.last_report_s: dict[str, float] = {}
        self.unreported_since_s: dict[str, float] = {}
        self.refusals = overload.Refusals()
        self.started_s = clock.now()

    def start(self, server: peer.Server) -> None:
        """Registers the peer methods and the periodic work."""
        server.on("place_ask", ttypes.PlaceAsk, self.on_request)
        server.on("place_taken", ttypes.PlaceTaken, self.on_acquired)
        server.on("place_returned", ttypes.PlaceReturned, self.on_released)
        server.on("places_held", ttypes.PlacesHeld, self.on_report)
        self.clock.subscribe("scheduler", TICK_PERIOD_S, self.tick)

    def service(self, name: str) -> ServiceState:
        """Returns a service's pool with its present endpoints."""
        service = self.services.get(name)
        if service is None:
            service = ServiceState(name)
            service.group.policy = STANDBY_POLICY
            self.services[name] = service
        return service

    def update_endpoints(self) -> None:
        """Puts the view's endpoints in force."""
        for service in self.services.values():
            self._update_endpoints(service)

    def _update_endpoints(self, service: ServiceState) -> None:
        found = fleetview.active(self.view, service.name)
        names = {endpoint.name for endpoint in found}
        if names == service.group.endpoints.keys():
            return
        slots = {endpoint.name: endpoint.slots for endpoint in found}
        now = self.clock.now()
        self._apply(
            service,
            admission.set_endpoints(service.group, now, names, slots=slots),
        )

    # Asks -----------------------------------------------------------------

    async def on_request(self, request: ttypes.PlaceAsk) -> ttypes.PlaceAnswer:
        """Peer method: grants, queues or refuses a request for a place."""
        service = self.service(request.group)
        service.last_request_s = self.clock.now()
        self._await_first_report(request.holder)
        service.group.policy = ACTIVE_POLICY
        self._update_endpoints(service)
        was_queued = admission.is_queued(service.group, request.id)
        answer = self._decide(service, request)
        if answer.state != State.GRANTED and not was_queued:
            self._log_answer(service, request, answer)
        return answer

    def _decide(
        self, service: ServiceState, request: ttypes.PlaceAsk
    ) -> ttypes.PlaceAnswer:
        now = self.clock.now()
        if admission.is_queued(service.group, request.id):
            return _answer(request, State.QUEUED)
        if not service.group.endpoints:
            return _answer(
                request, State.UNSERVED, retry_s=UNSERVED_RETRY_AFTER_S
            )
        was_granted = request.id in service.granted_s
        first_attempt_s = overload.find_first_attempt_s(
            self.refusals, now, request.fingerprint
        )
        if not was_granted and not self._within_rate(request, now):
            share = self.shares[request.organisation]
            allowance = rates.Allowance(request.rate_per_s, request.burst)
            retry_s = rates.next_token_s(share, allowance)
            return _answer(request, State.OVER_RATE, retry_s=retry_s)
        if (
            not was_granted
            and first_attempt_s is None
            and self._would_miss_objective(service, request)
        ):
            self._refund_token(request)
            return self._refuse(service, request, now)
        return self._admit(service, request, now, first_attempt_s)

    def _refuse(
        self, service: ServiceState, request: ttypes.PlaceAsk, now: float
    ) -> ttypes.PlaceAnswer:
        overload.record_refusal(self.refusals, now, request.fingerprint)
        retry_s = self._retry_after_s(service, request.wait_s)
        return _answer(request, State.OVERLOADED, retry_s=retry_s)

    def _admit(
        self,
        service: ServiceState,
        request: ttypes.PlaceAsk,
        now: float,
        first_attempt_s: float | None,
    ) -> ttypes.PlaceAnswer:
        """Grants or queues a request.

        Args:
            service: The service's endpoints.
            request: The request.
            now: Monotonic time in seconds.
            first_attempt_s: When a caller that was refused came first, or None.
        """
        service.queued_holders[request.id] = request.holder
        queued_request = admission.QueuedRequest(
            id=request.id,
            kind=request.kind,
            organisation=request.organisation,
            arrived_s=now - request.waited_s
            if first_attempt_s is None
            else first_attempt_s,
            expires_s=now + self._queue_timeout_s(request),
            max_tokens=request.tokens,
            prompt_words=request.prompt_tokens,
            prompt_blocks=tuple(request.blocks),
            holder=request.holder,
            crash_suspect=request.suspect,
            avoid=frozenset(request.avoid),
            due_s=now + request.due_s,
            expected_duration_s=request.needs_s,
        )
        granted: list[admission.Ticket] = []
        self._apply(
            service,
            admission.request_ticket(service.group, now, queued_request),
            request.id,
            granted,
        )
        if granted:
            ticket = granted[0]
            return _answer(
                request, State.GRANTED, ticket.endpoint, alone=ticket.exclusive
            )
        if request.id in service.queued_holders:
            return _answer(request, State.QUEUED)
        return self._refuse(service, request, now)

    def _queue_timeout_s(self, request: ttypes.PlaceAsk) -> float:
        """Returns how long a request waits for a place.

        One that was queued is not refused soon after: its caller has lost the
        time in which coming back would have helped.
        """
        if request.kind != admission.ONLINE:
            return request.wait_s
        return min(request.wait_s, overload.QUEUE_TIMEOUT_S)

    def _within_rate(self, request: ttypes.PlaceAsk, now: float) -> bool:
        if request.rate_per_s <= 0.0:
            return True
        allowance = rates.Allowance(request.rate_per_s, request.burst)
        share = self.shares.get(request.organisation)
        units = self._local_units(now)
        if share is not None:
            rates.refill(share, now, allowance)
            share.units = units
        else:
            # What has accrued since this process's start is added below.
            share = rates.Share(units=units, updated_s=self.started_s)
            share.level = int(
                rates.token_cap(units, allowance) * INITIAL_BURST_FRACTION
            )
            self.shares[request.organisation] = share
        return rates.consume(share, now, allowance)

    def _local_units(self, now: float) -> int:
        """Returns the share units that are given out here.

        A gateway that is not heard uses the units of its own part, so that
        both together stay within the organisation's rate.
        """
        gateways = {
            m.address
            for m in self.view.members.values()
            if m.kind == deployment.GATEWAY
        }
        # A scheduler that has just started has not been told of anyone yet.
        reporting_count = sum(
            now - self.last_report_s.get(address, self.started_s)
            <= GATEWAY_REPORT_TIMEOUT_S
            for address in gateways
        )
        if not reporting_count:
            return rates.ORGANISATION_UNITS
        return rates.ORGANISATION_UNITS * reporting_count // len(gateways)

    def _refund_token(self, request: ttypes.PlaceAsk) -> None:
        if request.rate_per_s > 0.0:
            self.shares[request.organisation].level += rates.ONE_TOKEN

    def _would_miss_objective(
        self, service: ServiceState, request: ttypes.PlaceAsk
    ) -> bool:
        if request.kind != admission.ONLINE or _has_slot_for_online(
            service.group
        ):
            return False
        return overload.would_miss_objective(
            service.hold_time,
            queued=service.group.online_queue.size,
            slots=_total_slots(service.group),
            remaining_objective_s=request.objective_s,
        )

    def _retry_after_s(
        self, service: ServiceState, remaining_s: float
    ) -> float:
        return overload.retry_after_s(
            service.hold_time,
            queued=service.group.online_queue.size,
            slots=_total_slots(service.group),
            remaining_s=remaining_s,
            rng=self.rng,
        )

    def _log_answer(
        self,
        service: ServiceState,
        request: ttypes.PlaceAsk,
        answer: ttypes.PlaceAnswer,
    ) -> None:
        logs.event(
            "place_" + State._VALUES_TO_NAMES[answer.state].lower(),
            place=request.id,
            kind=request.kind,
            organisation=request.organisation,
            ahead=service.group.online_queue.size,
            slots=_total_slots(service.group),
            hold_s=round(service.hold_time.mean_s, 3),
            retry_after_s=answer.retry_after_s,
            units=self._local_units(self.clock.now()),
            view_age_s=round(self.clock.now() - self.view.endpoints_read_s, 3),
        )

    # Places ---------------------------------------------------------------

    async def on_acquired(self, message: ttypes.PlaceTaken) -> None:
        """Peer method: a place was granted elsewhere, or taken unasked."""
        service = self.service(message.place.group)
        self._update_endpoints(service)
        self._adopt(service, message.holder, message.place)

    def _await_first_report(self, holder: str) -> None:
        """Awaits the reports of a holder, which may die before its first."""
        if holder not in self.last_report_s:
            self.unreported_since_s.setdefault(holder, self.clock.now())

    def _adopt(
        self, service: ServiceState, holder: str, wire_ticket: ttypes.Place
    ) -> None:
        now = self.clock.now()
        self._await_first_report(holder)
        service.granted_s.setdefault(wire_ticket.id, now)
        ticket = _to_ticket(wire_ticket, holder, now)
        self._apply(service, admission.adopt_ticket(service.group, now, ticket))

    async def on_released(self, message: ttypes.PlaceReturned) -> None:
        """Peer method: a place is free again, or its caller has gone."""
        service = self.service(message.group)
        now = self.clock.now()
        service.queued_holders.pop(message.id, None)
        taken_s = service.granted_s.pop(message.id, None)
        ticket = admission.find_ticket(service.group, message.id)
        if (
            taken_s is not None
            and ticket is not None
            and ticket.kind == admission.ONLINE
            and message.outcome == admission.OK
        ):
            overload.record_hold_time(service.hold_time, now - taken_s)
        measurement = admission.Measurement(outcome=message.outcome)
        self._apply(
            service,
            admission.release_ticket(
                service.group, now, message.id, measurement
            ),
        )

    async def on_report(self, message: ttypes.PlacesHeld) -> None:
        """Peer method: compares the places with what a holder says."""
        now = self.clock.now()
        self.last_report_s[message.holder] = now
        self.unreported_since_s.pop(message.holder, None)
        tickets_by_service: dict[str, list[admission.Ticket]] = {
            name: [] for name in self.services
        }
        for wire_ticket in message.places:
            self._update_endpoints(self.service(wire_ticket.group))
            found = tickets_by_service.setdefault(wire_ticket.group, [])
            found.append(_to_ticket(wire_ticket, message.holder, now))
        for name, tickets in tickets_by_service.items():
            service = self.services[name]
            actions = admission.reconcile(
                service.group, now, message.holder, tickets
            )
            self._apply(service, actions)

    async def tick(self, now: float) -> None:
        """Timer callback: applies deadlines and forgets silent holders."""
        for holder, heard_s in [
            *self.last_report_s.items(),
            *self.unreported_since_s.items(),
        ]:
            if now - heard_s < HOLDER_REPORT_TIMEOUT_S:
                continue
            self.last_report_s.pop(holder, None)
            self.unreported_since_s.pop(holder, None)
            logs.event("holder_lost", holder=holder, silent_s=now - heard_s)
            for service in self.services.values():
                # Its tickets are not ended: if this process was cut off, the
                # holder reports them again.
                self._apply(
                    service, admission.reconcile(service.group, now, holder, [])
                )
        for service in self.services.values():
            if now - service.last_request_s > ACTIVE_TIMEOUT_S:
                service.group.policy = STANDBY_POLICY
            self._apply(service, admission.tick(service.group, now))

    def _apply(
        self,
        service: ServiceState,
        actions: list[admission.Action],
        requested_id: str = "",
        granted: list[admission.Ticket] | None = None,
    ) -> None:
        """Carries actions out; those on the asked request are returned."""
        for action in actions:
            if isinstance(action, admission.Grant):
                ticket = action.ticket
                service.queued_holders.pop(ticket.id, None)
                service.granted_s[ticket.id] = self.clock.now()
                if ticket.id == requested_id and granted is not None:
                    granted.append(ticket)
                else:
                    self._notify_granted(ticket)
            elif isinstance(action, admission.Refuse):
                holder = service.queued_holders.pop(action.id, "")
                if action.id != requested_id and holder:
                    self._notify_refused(service, action.id, holder)
            else:
                metrics.PLACES_REVOKED.inc({"service": service.name})
                self._notify(
                    action.holder,
                    "place_revoked",
                    ttypes.PlaceRevoked(id=action.id, scheduler=self.name),
                )

    def _notify_granted(self, ticket: admission.Ticket) -> None:
        answer = ttypes.PlaceAnswer(
            id=ticket.id,
            state=State.GRANTED,
            endpoint=ticket.endpoint,
            retry_after_s=0.0,
            alone=ticket.exclusive,
        )
        self._notify(ticket.holder, "place_answer", answer)

    def _notify_refused(
        self, service: ServiceState, ticket_id: str, holder: str
    ) -> None:
        answer = ttypes.PlaceAnswer(
            id=ticket_id,
            state=State.OVERLOADED,
            endpoint="",
            retry_after_s=self._retry_after_s(service, EXPIRED_REMAINING_S),
            alone=False,
        )
        self._notify(holder, "place_answer", answer)

    def _notify(self, address: str, method: str, message: object) -> None:
        self.task_group.start_soon(self._call, address, method, message)

    async def _call(self, address: str, method: str, message: object) -> None:
        try:
            await self.peers.call(
                address, method, message, timeout_s=NOTIFY_TIMEOUT_S
            )
        except errors.IbisknotError as error:
            logs.event(
                "push_failed", peer=address, method=method, cause=error.message
            )


def _total_slots(state: admission.Group) -> int:
    return sum(int(e.capacity.limit) for e in state.endpoints.values())


def _has_slot_for_online(state: admission.Group) -> bool:
    """Returns whether online work finds a free place or one to revoke."""
    return any(
        e.unrevoked_count() < int(e.capacity.limit) or e.unrevoked_batch()
        for e in state.endpoints.values()
    )


def _to_ticket(
    wire_ticket: ttypes.Place, holder: str, now: float
) -> admission.Ticket:
    return admission.Ticket(
        id=wire_ticket.id,
        kind=wire_ticket.kind,
        organisation=wire_ticket.organisation,
        holder=holder,
        endpoint=wire_ticket.endpoint,
        granted_s=now,
        max_tokens=wire_ticket.tokens,
        crash_suspect=wire_ticket.suspect,
        due_s=now + wire_ticket.due_s,
        expected_end_s=now + wire_ticket.needs_s,
    )


def _answer(
    request: ttypes.PlaceAsk,
    state: int,
    endpoint: str = "",
    *,
    retry_s: float = 0.0,
    alone: bool = False,
) -> ttypes.PlaceAnswer:
    return ttypes.PlaceAnswer(
        id=request.id,
        state=state,
        endpoint=endpoint,
        retry_after_s=retry_s,
        alone=alone,
    )
