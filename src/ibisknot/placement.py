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
from ibisknot import endpoint_list
from ibisknot import errors
from ibisknot import fallback
from ibisknot import fleetview
from ibisknot import logs
from ibisknot import metrics
from ibisknot import peer
from ibisknot import serving
from ibisknot import timer
from ibisknot.gen.fleet import ttypes

SCHEDULERS = 3
"""Workers at the front of the line that know all places."""
ASK_TIMEOUT_S = {admission.ONLINE: 0.1, admission.BATCH: 1.0}
"""A scheduler is silent after this time, by the kind of what asks.

Batch work waits longer, so that a burst of it does not make a busy scheduler
look dead.
"""
BATCH_ALONE_S = 3.0
"""Batch work waits this long for a scheduler before it does without."""
BATCH_LOOK_S = 0.5
WAKE_PAUSE_S = 0.005
"""Time between requests that ask again because a scheduler came or went."""
ASK_AGAIN_S = {admission.ONLINE: 0.15, admission.BATCH: 1.5}
"""A request that waits asks again after this time, by its kind."""
NOTICE_TIMEOUT_S = 0.4
HELD_PERIOD_S = 0.8
DECLINED_PAUSE_S = 0.02

State = ttypes.PlaceState


@dataclasses.dataclass(slots=True, frozen=True)
class Ask:
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
    request: str
    organisation: serving.Organisation | None
    wait_s: float
    objective_s: float = math.inf
    fingerprint: int = 0
    tokens: int = 0
    prompt_tokens: int = 0
    blocks: tuple[int, ...] = ()
    suspect: bool = False
    avoid: frozenset[str] = frozenset()
    is_counted: bool = True
    due_s: float = math.inf
    needs_s: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class Place:
    """Leave to run one request at one endpoint.

    Attributes:
        revoked: Set when an online request needs the place.
        granted_by: Name of the scheduler, empty when chosen here.
        taken_s: Monotonic time at which it was taken.
    """

    id: str
    ask: Ask
    endpoint: endpoint_list.Endpoint
    alone: bool = False
    granted_by: str = ""
    revoked: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    taken_s: float = 0.0


@dataclasses.dataclass(slots=True)
class _Waiter:
    """A request that waits for its place.

    Attributes:
        declined: The endpoint whose place this process did not take.
    """

    answered: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    answer: ttypes.PlaceAnswer | None = None
    declined: str = ""


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
        group: abc.TaskGroup,
    ) -> None:
        self.process = process
        self.view = view
        self.peers = peers
        self.clock = clock
        self.group = group
        self.held: dict[str, Place] = {}
        self.waiters: dict[str, _Waiter] = {}
        self.down: set[str] = set()
        self.choice = random.Random()
        self.fallback = fallback.Fallback(view, self.choice)
        self.prefix = f"{process.name}/{time.time_ns():x}"
        self.numbers = itertools.count(1)
        self.is_waking = False

    def start(self, server: peer.Server) -> None:
        """Registers the peer methods and the periodic report."""
        server.on("place_answer", ttypes.PlaceAnswer, self.on_answer)
        server.on("place_revoked", ttypes.PlaceRevoked, self.on_revoked)
        self.clock.subscribe("places_held", HELD_PERIOD_S, self._report)

    def schedulers(self) -> list[fleetview.Member]:
        """Returns the workers that give out places, the leader first."""
        line = fleetview.in_line(self.view.members.values())
        workers = [m for m in line if m.kind == deployment.WORKER]
        return workers[:SCHEDULERS]

    # Acquiring ------------------------------------------------------------

    async def acquire(self, ask: Ask) -> Place:
        """Waits for a place.

        Raises:
            OverloadedError: No place will be free in time.
            RateLimitError: The organisation is over its rate.
        """
        started_s = self.clock.now()
        while True:
            place = await self._acquire_once(ask, started_s)
            if place is not None:
                return place
            await anyio.sleep(DECLINED_PAUSE_S)

    async def _acquire_once(self, ask: Ask, started_s: float) -> Place | None:
        """Waits under one id, which ends with a place that was declined."""
        number = f"{self.prefix}/{next(self.numbers)}"
        waiter = _Waiter()
        self.waiters[number] = waiter
        place: Place | None = None
        try:
            place = await self._acquire(ask, number, waiter, started_s)
            return place
        finally:
            del self.waiters[number]
            waited_s = self.clock.now() - started_s
            metrics.PLACES_WAITED_S.observe({"kind": ask.kind}, waited_s)
            if place is None:
                self._tell_returned(
                    number, ask, waiter.declined, admission.CANCELLED
                )
            else:
                _log_granted(place, waited_s)

    async def _acquire(
        self, ask: Ask, number: str, waiter: _Waiter, started_s: float
    ) -> Place | None:
        while True:
            waited_s = self.clock.now() - started_s
            if waited_s >= ask.wait_s:
                message = f"no endpoint of {ask.service} was free in time"
                raise errors.OverloadedError(message, retry_after_s=1.0)
            scheduler = self._scheduler()
            if scheduler is None:
                if ask.kind == admission.BATCH and waited_s < BATCH_ALONE_S:
                    await anyio.sleep(BATCH_LOOK_S)
                    continue
                return self._choose(ask, number)
            answer = await self._ask(scheduler, ask, number, waited_s)
            if answer is not None and answer.state == State.QUEUED:
                left_s = max(0.0, ask.wait_s - waited_s)
                with anyio.move_on_after(min(ASK_AGAIN_S[ask.kind], left_s)):
                    await waiter.answered.wait()
                answer = waiter.answer
                waiter.answered = anyio.Event()
            if answer is None:
                continue
            if answer.state == State.GRANTED:
                place = self._granted(ask, number, answer, scheduler.name)
                if place is None:
                    waiter.declined = answer.endpoint
                return place
            logs.event(
                "place_refused",
                request=ask.request,
                place=number,
                scheduler=scheduler.name,
                state=State._VALUES_TO_NAMES[answer.state].lower(),
                waited_s=round(self.clock.now() - started_s, 3),
            )
            raise _refusal(ask, answer)

    def _scheduler(self) -> fleetview.Member | None:
        for member in self.schedulers():
            if member.name not in self.down:
                return member
        return None

    async def _ask(
        self,
        scheduler: fleetview.Member,
        ask: Ask,
        number: str,
        waited_s: float,
    ) -> ttypes.PlaceAnswer | None:
        """Asks one scheduler; returns nothing when it does not answer."""
        organisation = ask.organisation
        allowance = None
        if organisation is not None and ask.is_counted:
            allowance = organisation.allowance()
        message = ttypes.PlaceAsk(
            id=number,
            group=ask.service,
            kind=ask.kind,
            organisation=organisation.name if organisation else "",
            tokens=ask.tokens,
            prompt_tokens=ask.prompt_tokens,
            blocks=list(ask.blocks),
            holder=self.process.peer_address,
            wait_s=ask.wait_s - waited_s,
            waited_s=waited_s,
            suspect=ask.suspect,
            avoid=sorted(ask.avoid),
            rate_per_s=allowance.rate if allowance else 0.0,
            burst=allowance.burst if allowance else 0.0,
            due_s=ask.due_s - self.clock.now(),
            needs_s=ask.needs_s,
            objective_s=ask.objective_s - waited_s,
            fingerprint=ask.fingerprint,
        )
        try:
            return await self.peers.call(
                scheduler.address,
                "place_ask",
                message,
                ttypes.PlaceAnswer,
                timeout_s=ASK_TIMEOUT_S[ask.kind],
            )
        except errors.IbisknotError as error:
            self.down.add(scheduler.name)
            self._ask_again()
            logs.event(
                "scheduler_silent",
                level="warning",
                request=ask.request,
                scheduler=scheduler.name,
                cause=error.message,
            )
            return None

    def _granted(
        self,
        ask: Ask,
        number: str,
        answer: ttypes.PlaceAnswer,
        scheduler: str,
    ) -> Place | None:
        endpoint = self.view.endpoints.get(answer.endpoint)
        if endpoint is None or endpoint.leaving:
            # The scheduler's view is older than this process's.
            return None
        place = Place(number, ask, endpoint, answer.alone, scheduler)
        self._keep(place)
        return place

    def _keep(self, place: Place) -> None:
        self.held[place.id] = place
        place.taken_s = self.clock.now()
        message = ttypes.PlaceTaken(
            holder=self.process.peer_address, place=self._to_wire(place)
        )
        for member in self.schedulers():
            if member.name != place.granted_by:
                self._notify(member, "place_taken", message)

    def _choose(self, ask: Ask, number: str) -> Place:
        """Chooses an endpoint by this process's own counts.

        Raises:
            OverloadedError: The service has no endpoint that may be up.
            RateLimitError: This process's part of the rate is used up.
        """
        now = self.clock.now()
        if ask.organisation is not None and ask.is_counted:
            self.fallback.spend(ask.organisation, now)
        used = collections.Counter(
            place.endpoint.name for place in self.held.values()
        )
        endpoint = self.fallback.choose(
            ask.service, now, avoid=ask.avoid, used=used
        )
        place = Place(number, ask, endpoint)
        logs.event(
            "place_chosen_alone",
            request=ask.request,
            endpoint=endpoint.name,
            own=used[endpoint.name],
            view_age_s=round(now - self.view.endpoints_read_s, 3),
        )
        self._keep(place)
        return place

    # Returning ------------------------------------------------------------

    def release(self, place: Place, outcome: str) -> None:
        """Gives a place back; never waits for a scheduler."""
        if self.held.pop(place.id, None) is None:
            return
        name = place.endpoint.name
        self.fallback.note(name, outcome, self.clock.now())
        metrics.ENDPOINT_CALLS.inc({"outcome": outcome})
        logs.event(
            "place_returned",
            request=place.ask.request,
            place=place.id,
            endpoint=name,
            outcome=outcome,
        )
        self._tell_returned(place.id, place.ask, name, outcome)

    def _tell_returned(
        self, number: str, ask: Ask, endpoint: str, outcome: str
    ) -> None:
        message = ttypes.PlaceReturned(
            group=ask.service, id=number, endpoint=endpoint, outcome=outcome
        )
        for member in self.schedulers():
            self._notify(member, "place_returned", message)

    def _notify(
        self, member: fleetview.Member, method: str, message: object
    ) -> None:
        if member.name not in self.down:
            self.group.start_soon(self._call, member, method, message)

    async def _call(
        self, member: fleetview.Member, method: str, message: object
    ) -> None:
        try:
            await self.peers.call(
                member.address, method, message, timeout_s=NOTICE_TIMEOUT_S
            )
        except errors.IbisknotError as error:
            # The periodic report repeats what was lost.
            if member.name not in self.down:
                self.down.add(member.name)
                self._ask_again()
                logs.event(
                    "scheduler_lost",
                    level="warning",
                    scheduler=member.name,
                    cause=error.message,
                )
            return
        if member.name in self.down:
            self.down.discard(member.name)
            self._ask_again()
            logs.event("scheduler_regained", scheduler=member.name)

    def _ask_again(self) -> None:
        """Lets requests that wait ask whoever gives out places now."""
        if not self.is_waking:
            self.is_waking = True
            self.group.start_soon(self._wake)

    async def _wake(self) -> None:
        """Wakes one request after the other, so that no burst arrives."""
        try:
            for waiter in list(self.waiters.values()):
                waiter.answered.set()
                await anyio.sleep(WAKE_PAUSE_S)
        finally:
            self.is_waking = False

    async def _report(self, _now: float) -> None:
        """Timer callback: tells the schedulers all places held here."""
        message = ttypes.PlacesHeld(
            holder=self.process.peer_address,
            places=[self._to_wire(place) for place in self.held.values()],
        )
        known = self.schedulers()
        self.down &= {member.name for member in known}
        for member in known:
            self.group.start_soon(self._call, member, "places_held", message)

    def _to_wire(self, place: Place) -> ttypes.Place:
        ask = place.ask
        now = self.clock.now()
        return ttypes.Place(
            id=place.id,
            group=ask.service,
            endpoint=place.endpoint.name,
            kind=ask.kind,
            organisation=ask.organisation.name if ask.organisation else "",
            tokens=ask.tokens,
            suspect=ask.suspect,
            due_s=ask.due_s - now,
            needs_s=max(0.0, place.taken_s + ask.needs_s - now),
        )

    async def on_answer(self, answer: ttypes.PlaceAnswer) -> None:
        """Peer method: a request that waited has its answer."""
        waiter = self.waiters.get(answer.id)
        if waiter is not None:
            waiter.answer = answer
            waiter.answered.set()

    async def on_revoked(self, message: ttypes.PlaceRevoked) -> None:
        """Peer method: an online request needs a place."""
        place = self.held.get(message.id)
        if place is not None:
            logs.event(
                "place_revoked",
                request=place.ask.request,
                place=place.id,
                endpoint=place.endpoint.name,
                revoked_by=message.scheduler,
            )
            place.revoked.set()


def _log_granted(place: Place, waited_s: float) -> None:
    logs.event(
        "place_taken",
        request=place.ask.request,
        place=place.id,
        kind=place.ask.kind,
        endpoint=place.endpoint.name,
        granted_by=place.granted_by,
        waited_s=round(waited_s, 3),
    )


def _refusal(ask: Ask, answer: ttypes.PlaceAnswer) -> errors.IbisknotError:
    retry_s = answer.retry_after_s
    if answer.state == State.OVER_RATE:
        name = ask.organisation.name if ask.organisation else ""
        message = f"{name} is over its rate"
        return errors.RateLimitError(message, retry_after_s=retry_s)
    if answer.state == State.UNSERVED:
        message = f"no endpoint serves {ask.service}"
        return errors.OverloadedError(message, retry_after_s=retry_s)
    message = f"no endpoint of {ask.service} will be free in time"
    return errors.OverloadedError(message, retry_after_s=retry_s)
