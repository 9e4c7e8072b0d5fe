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
PUSH_TIMEOUT_S = 0.3
HEARD_S = 2.0
"""A gateway that reports nothing for this time admits by its own part."""
SILENT_S = 3.5
"""A holder that reports nothing for this time has lost its places."""
START_LEVEL = 0.5
"""Part of an organisation's burst that a scheduler starts with.

A former leader may just have given the whole burst out.
"""
UNSERVED_RETRY_S = 1.0
EXPIRED_LEFT_S = 3.0
"""Time that a caller has left, as a rule, whose wait was in vain."""

POLICY = admission.Policy(
    batch_weight=1.0,
    displaced_per_online=1.0,
    consolidates_online=False,
    headroom_slots=0.0,
    in_arrival_order=True,
)
"""Endpoints with a stated number of slots slow down little when full."""
STANDBY_POLICY = dataclasses.replace(POLICY, revokes_batch=False)
LEADS_S = 2.0
"""A scheduler that nobody asked for this time leaves revoking to another."""

State = ttypes.PlaceState


@dataclasses.dataclass(slots=True)
class Pool:
    """The endpoints of one service, with who holds and awaits places.

    Attributes:
        waiters: Peer address of the holder, by the id of its request.
        taken_s: Monotonic time at which each online place was taken.
        asked_s: Monotonic time at which this scheduler was last asked.
    """

    name: str
    state: admission.Group = dataclasses.field(default_factory=admission.Group)
    holding: overload.Holding = dataclasses.field(
        default_factory=overload.Holding
    )
    waiters: dict[str, str] = dataclasses.field(default_factory=dict)
    taken_s: dict[str, float] = dataclasses.field(default_factory=dict)
    asked_s: float = -math.inf


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
        group: abc.TaskGroup,
        *,
        choice: random.Random | None = None,
    ) -> None:
        self.name = name
        self.view = view
        self.peers = peers
        self.clock = clock
        self.group = group
        self.choice = choice or random.Random()
        self.pools: dict[str, Pool] = {}
        self.shares: dict[str, rates.Share] = {}
        self.heard_s: dict[str, float] = {}
        self.expected_s: dict[str, float] = {}
        self.refusals = overload.Refusals()
        self.started_s = clock.now()

    def start(self, server: peer.Server) -> None:
        """Registers the peer methods and the periodic work."""
        server.on("place_ask", ttypes.PlaceAsk, self.on_ask)
        server.on("place_taken", ttypes.PlaceTaken, self.on_taken)
        server.on("place_returned", ttypes.PlaceReturned, self.on_returned)
        server.on("places_held", ttypes.PlacesHeld, self.on_held)
        self.clock.subscribe("scheduler", TICK_PERIOD_S, self.tick)

    def pool(self, name: str) -> Pool:
        """Returns a service's pool with its present endpoints."""
        pool = self.pools.get(name)
        if pool is None:
            pool = Pool(name)
            pool.state.policy = STANDBY_POLICY
            self.pools[name] = pool
        return pool

    def refresh(self) -> None:
        """Puts the view's endpoints in force."""
        for pool in self.pools.values():
            self._refresh(pool)

    def _refresh(self, pool: Pool) -> None:
        found = fleetview.active(self.view, pool.name)
        names = {endpoint.name for endpoint in found}
        if names == pool.state.endpoints.keys():
            return
        slots = {endpoint.name: endpoint.slots for endpoint in found}
        now = self.clock.now()
        self._do(
            pool, admission.set_endpoints(pool.state, now, names, slots=slots)
        )

    # Asks -----------------------------------------------------------------

    async def on_ask(self, ask: ttypes.PlaceAsk) -> ttypes.PlaceAnswer:
        """Peer method: grants, queues or refuses a request for a place."""
        pool = self.pool(ask.group)
        pool.asked_s = self.clock.now()
        self._expect(ask.holder)
        pool.state.policy = POLICY
        self._refresh(pool)
        repeated = admission.is_queued(pool.state, ask.id)
        answer = self._decide(pool, ask)
        if answer.state != State.GRANTED and not repeated:
            self._log(pool, ask, answer)
        return answer

    def _decide(self, pool: Pool, ask: ttypes.PlaceAsk) -> ttypes.PlaceAnswer:
        now = self.clock.now()
        if admission.is_queued(pool.state, ask.id):
            return _answer(ask, State.QUEUED)
        if not pool.state.endpoints:
            return _answer(ask, State.UNSERVED, retry_s=UNSERVED_RETRY_S)
        known = ask.id in pool.taken_s
        first_s = overload.returned(self.refusals, now, ask.fingerprint)
        if not known and not self._within_rate(ask, now):
            share = self.shares[ask.organisation]
            allowance = rates.Allowance(ask.rate_per_s, ask.burst)
            retry_s = rates.next_token_s(share, allowance)
            return _answer(ask, State.OVER_RATE, retry_s=retry_s)
        if not known and first_s is None and self._is_hopeless(pool, ask):
            self._refund(ask)
            return self._overloaded(pool, ask, now)
        return self._admit(pool, ask, now, first_s)

    def _overloaded(
        self, pool: Pool, ask: ttypes.PlaceAsk, now: float
    ) -> ttypes.PlaceAnswer:
        overload.refused(self.refusals, now, ask.fingerprint)
        retry_s = self._retry_after_s(pool, ask.wait_s)
        return _answer(ask, State.OVERLOADED, retry_s=retry_s)

    def _admit(
        self,
        pool: Pool,
        ask: ttypes.PlaceAsk,
        now: float,
        first_s: float | None,
    ) -> ttypes.PlaceAnswer:
        """Grants or queues a request.

        Args:
            pool: The service's endpoints.
            ask: The request.
            now: Monotonic time in seconds.
            first_s: When a caller that was refused came first, or None.
        """
        pool.waiters[ask.id] = ask.holder
        waiting = admission.QueuedRequest(
            id=ask.id,
            kind=ask.kind,
            organisation=ask.organisation,
            arrived_s=now - ask.waited_s if first_s is None else first_s,
            expires_s=now + self._patience_s(ask),
            max_tokens=ask.tokens,
            prompt_words=ask.prompt_tokens,
            prompt_blocks=tuple(ask.blocks),
            holder=ask.holder,
            crash_suspect=ask.suspect,
            avoid=frozenset(ask.avoid),
            due_s=now + ask.due_s,
            expected_duration_s=ask.needs_s,
        )
        granted: list[admission.Ticket] = []
        self._do(
            pool,
            admission.request_ticket(pool.state, now, waiting),
            ask.id,
            granted,
        )
        if granted:
            ticket = granted[0]
            return _answer(
                ask, State.GRANTED, ticket.endpoint, alone=ticket.exclusive
            )
        if ask.id in pool.waiters:
            return _answer(ask, State.QUEUED)
        return self._overloaded(pool, ask, now)

    def _patience_s(self, ask: ttypes.PlaceAsk) -> float:
        """Returns how long a request waits for a place.

        One that was queued is not refused soon after: its caller has lost the
        time in which coming back would have helped.
        """
        if ask.kind != admission.ONLINE:
            return ask.wait_s
        return min(ask.wait_s, overload.QUEUED_WAIT_S)

    def _within_rate(self, ask: ttypes.PlaceAsk, now: float) -> bool:
        if ask.rate_per_s <= 0.0:
            return True
        allowance = rates.Allowance(ask.rate_per_s, ask.burst)
        share = self.shares.get(ask.organisation)
        units = self._units(now)
        if share is not None:
            rates.refill(share, now, allowance)
            share.units = units
        else:
            # What has accrued since this process's start is added below.
            share = rates.Share(units=units, updated_s=self.started_s)
            share.level = int(rates.token_cap(units, allowance) * START_LEVEL)
            self.shares[ask.organisation] = share
        return rates.consume(share, now, allowance)

    def _units(self, now: float) -> int:
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
        heard = sum(
            now - self.heard_s.get(address, self.started_s) <= HEARD_S
            for address in gateways
        )
        if not heard:
            return rates.ORGANISATION_UNITS
        return rates.ORGANISATION_UNITS * heard // len(gateways)

    def _refund(self, ask: ttypes.PlaceAsk) -> None:
        if ask.rate_per_s > 0.0:
            self.shares[ask.organisation].level += rates.ONE_TOKEN

    def _is_hopeless(self, pool: Pool, ask: ttypes.PlaceAsk) -> bool:
        if ask.kind != admission.ONLINE or _has_place(pool.state):
            return False
        return overload.is_hopeless(
            pool.holding,
            ahead=pool.state.online_queue.size,
            slots=_slots(pool.state),
            objective_left_s=ask.objective_s,
        )

    def _retry_after_s(self, pool: Pool, left_s: float) -> float:
        return overload.retry_after_s(
            pool.holding,
            ahead=pool.state.online_queue.size,
            slots=_slots(pool.state),
            left_s=left_s,
            choice=self.choice,
        )

    def _log(
        self, pool: Pool, ask: ttypes.PlaceAsk, answer: ttypes.PlaceAnswer
    ) -> None:
        logs.event(
            "place_" + State._VALUES_TO_NAMES[answer.state].lower(),
            place=ask.id,
            kind=ask.kind,
            organisation=ask.organisation,
            ahead=pool.state.online_queue.size,
            slots=_slots(pool.state),
            hold_s=round(pool.holding.mean_s, 3),
            retry_after_s=answer.retry_after_s,
            units=self._units(self.clock.now()),
            view_age_s=round(self.clock.now() - self.view.endpoints_read_s, 3),
        )

    # Places ---------------------------------------------------------------

    async def on_taken(self, message: ttypes.PlaceTaken) -> None:
        """Peer method: a place was granted elsewhere, or taken unasked."""
        pool = self.pool(message.place.group)
        self._refresh(pool)
        self._adopt(pool, message.holder, message.place)

    def _expect(self, holder: str) -> None:
        """Awaits the reports of a holder, which may die before its first."""
        if holder not in self.heard_s:
            self.expected_s.setdefault(holder, self.clock.now())

    def _adopt(self, pool: Pool, holder: str, place: ttypes.Place) -> None:
        now = self.clock.now()
        self._expect(holder)
        pool.taken_s.setdefault(place.id, now)
        ticket = _held(place, holder, now)
        self._do(pool, admission.adopt_ticket(pool.state, now, ticket))

    async def on_returned(self, message: ttypes.PlaceReturned) -> None:
        """Peer method: a place is free again, or its caller has gone."""
        pool = self.pool(message.group)
        now = self.clock.now()
        pool.waiters.pop(message.id, None)
        taken_s = pool.taken_s.pop(message.id, None)
        ticket = admission.find_ticket(pool.state, message.id)
        if (
            taken_s is not None
            and ticket is not None
            and ticket.kind == admission.ONLINE
            and message.outcome == admission.OK
        ):
            overload.learn(pool.holding, now - taken_s)
        measured = admission.Measurement(outcome=message.outcome)
        self._do(
            pool,
            admission.release_ticket(pool.state, now, message.id, measured),
        )

    async def on_held(self, message: ttypes.PlacesHeld) -> None:
        """Peer method: compares the places with what a holder says."""
        now = self.clock.now()
        self.heard_s[message.holder] = now
        self.expected_s.pop(message.holder, None)
        by_pool: dict[str, list[admission.Ticket]] = {
            name: [] for name in self.pools
        }
        for place in message.places:
            self._refresh(self.pool(place.group))
            found = by_pool.setdefault(place.group, [])
            found.append(_held(place, message.holder, now))
        for name, tickets in by_pool.items():
            pool = self.pools[name]
            actions = admission.reconcile(
                pool.state, now, message.holder, tickets
            )
            self._do(pool, actions)

    async def tick(self, now: float) -> None:
        """Timer callback: applies deadlines and forgets silent holders."""
        for holder, heard_s in [
            *self.heard_s.items(),
            *self.expected_s.items(),
        ]:
            if now - heard_s < SILENT_S:
                continue
            self.heard_s.pop(holder, None)
            self.expected_s.pop(holder, None)
            logs.event("holder_lost", holder=holder, silent_s=now - heard_s)
            for pool in self.pools.values():
                # Its tickets are not ended: if this process was cut off, the
                # holder reports them again.
                self._do(pool, admission.reconcile(pool.state, now, holder, []))
        for pool in self.pools.values():
            if now - pool.asked_s > LEADS_S:
                pool.state.policy = STANDBY_POLICY
            self._do(pool, admission.tick(pool.state, now))

    def _do(
        self,
        pool: Pool,
        actions: list[admission.Action],
        asked: str = "",
        granted: list[admission.Ticket] | None = None,
    ) -> None:
        """Carries actions out; those on the asked request are returned."""
        for action in actions:
            if isinstance(action, admission.Grant):
                ticket = action.ticket
                pool.waiters.pop(ticket.id, None)
                pool.taken_s[ticket.id] = self.clock.now()
                if ticket.id == asked and granted is not None:
                    granted.append(ticket)
                else:
                    self._push_grant(ticket)
            elif isinstance(action, admission.Refuse):
                holder = pool.waiters.pop(action.id, "")
                if action.id != asked and holder:
                    self._push_refusal(pool, action.id, holder)
            else:
                metrics.PLACES_REVOKED.inc({"service": pool.name})
                self._send(
                    action.holder,
                    "place_revoked",
                    ttypes.PlaceRevoked(id=action.id, scheduler=self.name),
                )

    def _push_grant(self, ticket: admission.Ticket) -> None:
        answer = ttypes.PlaceAnswer(
            id=ticket.id,
            state=State.GRANTED,
            endpoint=ticket.endpoint,
            retry_after_s=0.0,
            alone=ticket.exclusive,
        )
        self._send(ticket.holder, "place_answer", answer)

    def _push_refusal(self, pool: Pool, number: str, holder: str) -> None:
        answer = ttypes.PlaceAnswer(
            id=number,
            state=State.OVERLOADED,
            endpoint="",
            retry_after_s=self._retry_after_s(pool, EXPIRED_LEFT_S),
            alone=False,
        )
        self._send(holder, "place_answer", answer)

    def _send(self, address: str, method: str, message: object) -> None:
        self.group.start_soon(self._call, address, method, message)

    async def _call(self, address: str, method: str, message: object) -> None:
        try:
            await self.peers.call(
                address, method, message, timeout_s=PUSH_TIMEOUT_S
            )
        except errors.IbisknotError as error:
            logs.event(
                "push_failed", peer=address, method=method, cause=error.message
            )


def _slots(state: admission.Group) -> int:
    return sum(int(e.capacity.limit) for e in state.endpoints.values())


def _has_place(state: admission.Group) -> bool:
    """Returns whether online work finds a free place or one to revoke."""
    return any(
        e.unrevoked_count() < int(e.capacity.limit) or e.unrevoked_batch()
        for e in state.endpoints.values()
    )


def _held(place: ttypes.Place, holder: str, now: float) -> admission.Ticket:
    return admission.Ticket(
        id=place.id,
        kind=place.kind,
        organisation=place.organisation,
        holder=holder,
        endpoint=place.endpoint,
        granted_s=now,
        max_tokens=place.tokens,
        crash_suspect=place.suspect,
        due_s=now + place.due_s,
        expected_end_s=now + place.needs_s,
    )


def _answer(
    ask: ttypes.PlaceAsk,
    state: int,
    endpoint: str = "",
    *,
    retry_s: float = 0.0,
    alone: bool = False,
) -> ttypes.PlaceAnswer:
    return ttypes.PlaceAnswer(
        id=ask.id,
        state=state,
        endpoint=endpoint,
        retry_after_s=retry_s,
        alone=alone,
    )
