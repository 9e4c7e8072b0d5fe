"""Runs the admission decisions on the VM that admits for a group."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Any

import anyio

from ibisknot import admission
from ibisknot import admission_groups
from ibisknot import distribution
from ibisknot import engine
from ibisknot import errors
from ibisknot import logs
from ibisknot import peer
from ibisknot import program
from ibisknot import routing
from ibisknot import settings
from ibisknot import vmlist
from ibisknot.gen.admission import ttypes

TICK_PERIOD_S = 0.05
RECONCILE_PERIOD_S = 2.0
LOAD_PERIOD_S = 0.5
LOG_PERIOD_S = 0.5
SYNC_TIMEOUT_S = 0.3
"""A VM that is paused must not hold up a new admitter for longer."""
REVOKE_TIMEOUT_S = 1.0
HOLDER_LOST_ROUNDS = 2
IDLE_AFTER_S = 3.0
"""A group without asks for this time may be admitted for by another VM."""


@dataclasses.dataclass(slots=True)
class Waiter:
    """The handler that waits for a decision on one request."""

    decided: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    ticket: admission.Held | None = None
    refusal: str = ""


@dataclasses.dataclass(slots=True)
class Running:
    """A group that this VM admits for.

    Attributes:
        synced: Set when the other VMs have said what they have in flight.
        names: The endpoints that are known to be synced.
        waiters: Handlers by request id.
        missed: Rounds that a holder did not answer.
        used_s: Monotonic time of the last ask.
    """

    name: str
    state: admission.Group
    synced: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    names: frozenset[str] = frozenset()
    waiters: dict[str, Waiter] = dataclasses.field(default_factory=dict)
    missed: dict[str, int] = dataclasses.field(default_factory=dict)
    used_s: float = 0.0


class Admitter:
    """Admits for the groups whose asks reach this VM.

    Attributes:
        draining: Whether the VM shuts down, so that asks go to the next one.
        capacities: What has been learnt about each endpoint; it outlives the
            groups.
    """

    def __init__(
        self,
        daemon: program.Daemon,
        source: distribution.Distribution,
        engines: engine.Engines,
        live: Callable[[], list[vmlist.ListedVm]],
        loaded: settings.Entry,
    ) -> None:
        self.daemon = daemon
        self.source = source
        self.engines = engines
        self.live = live
        self.loaded = loaded
        self.running: dict[str, Running] = {}
        self.draining = False
        self.capacities: dict[str, admission.Capacity] = {}

    def register(self, server: peer.Server) -> None:
        """Registers the peer methods and the periodic work."""
        server.on("ticket_ask", ttypes.TicketAsk, self.ask)
        server.on("ticket_return", ttypes.TicketReturn, self.give_back)
        clock = self.daemon.clock
        clock.subscribe("admission", TICK_PERIOD_S, self.tick)
        clock.subscribe("admission_log", LOG_PERIOD_S, self.log_state)
        clock.subscribe("load", LOAD_PERIOD_S, self.read_loads)
        clock.subscribe("reconcile", RECONCILE_PERIOD_S, self.reconcile)

    async def ask(self, message: ttypes.TicketAsk) -> ttypes.TicketGrant:
        """Peer method: waits for a ticket.

        Raises:
            MovedError: This VM shuts down.
            OverloadedError: The request was refused.
        """
        if self.draining:
            raise errors.MovedError("this VM shuts down")
        entry = await self._group(message.group)
        waiter = Waiter()
        entry.waiters[message.id] = waiter
        try:
            self._submit(entry, message)
            with anyio.move_on_after(message.wait_s):
                await waiter.decided.wait()
        finally:
            entry.waiters.pop(message.id, None)
            if waiter.ticket is None:
                self._do(
                    entry,
                    admission.give_up(entry.state, self._now(), message.id),
                )
        return self._answer(entry, waiter)

    def _submit(self, entry: Running, message: ttypes.TicketAsk) -> None:
        now = self._now()
        waiting = admission.Waiting(
            id=message.id,
            kind=message.kind,
            organisation=message.organisation,
            arrived_s=now - message.waited_s,
            expires_s=now + message.wait_s,
            tokens=message.tokens,
            words=message.words,
            blocks=tuple(message.blocks),
            holder=message.holder,
            suspect=message.suspect,
            avoid=frozenset(message.avoid),
        )
        self._do(entry, admission.ask(entry.state, now, waiting))

    def _answer(self, entry: Running, waiter: Waiter) -> ttypes.TicketGrant:
        load = admission.load(entry.state)
        if waiter.ticket is not None:
            return ttypes.TicketGrant(
                endpoint=waiter.ticket.endpoint,
                alone=waiter.ticket.alone,
                load=load,
            )
        if self.draining:
            raise errors.MovedError("this VM shuts down")
        if waiter.refusal and not entry.state.endpoints:
            raise errors.OverloadedError(waiter.refusal, retry_after_s=1.0)
        return ttypes.TicketGrant(endpoint="", alone=False, load=load)

    async def give_back(self, message: ttypes.TicketReturn) -> None:
        """Peer method: takes a ticket back with what was measured."""
        entry = self.running.get(message.group)
        if entry is None:
            return
        measured = admission.Measured(
            outcome=message.outcome,
            first_token_s=message.first_token_s,
            token_gap_s=message.token_gap_s,
            tokens=message.tokens,
        )
        self._do(
            entry,
            admission.give_back(entry.state, self._now(), message.id, measured),
        )

    async def drain(self) -> None:
        """Hands admission over: whoever waits here asks the next VM."""
        self.draining = True
        for entry in self.running.values():
            for waiter in list(entry.waiters.values()):
                waiter.decided.set()

    async def tick(self, now: float) -> None:
        """Timer callback: applies the configuration and deadlines."""
        for entry in list(self.running.values()):
            if now - entry.used_s > IDLE_AFTER_S and not entry.waiters:
                del self.running[entry.name]
                continue
            names = self._names(entry.name)
            self._do(entry, admission.set_endpoints(entry.state, now, names))
            if not entry.names >= set(names):
                entry.names |= frozenset(names)
                self.daemon.group.start_soon(self._sync, entry)
            entry.state.policy.batch_weight = (
                self.source.current.policy.batch_weight
            )
            self._do(entry, admission.tick(entry.state, now))

    def _set_endpoints(self, entry: Running, names: list[str]) -> None:
        now = self._now()
        actions = admission.set_endpoints(entry.state, now, names)
        for name, endpoint in entry.state.endpoints.items():
            endpoint.capacity = self.capacities.setdefault(
                name, endpoint.capacity
            )
        self._do(entry, actions)

    async def log_state(self, _now: float) -> None:
        """Timer callback: logs the groups for a trace."""
        for entry in self.running.values():
            for name, endpoint in entry.state.endpoints.items():
                logs.event(
                    "admission_state",
                    level="debug",
                    group=entry.name,
                    endpoint=name,
                    limit=round(endpoint.capacity.limit, 1),
                    online=endpoint.online(),
                    batch=len(endpoint.batch()),
                    held=len(endpoint.held),
                    gap_s=round(endpoint.gap_s(), 6),
                    online_waits=entry.state.online.size,
                    batch_waits=entry.state.batch.size,
                )

    async def reconcile(self, _now: float) -> None:
        """Timer callback: compares the tickets with what holders say."""
        for entry in list(self.running.values()):
            holders = {t.holder for t in admission.all_held(entry.state)}
            await self._ask_all(entry, holders)

    async def read_loads(self, _now: float) -> None:
        """Timer callback: reads the engines' lagged load reports."""
        async with anyio.create_task_group() as group:
            for entry in list(self.running.values()):
                for name in list(entry.state.endpoints):
                    group.start_soon(self._read_load, entry, name)

    async def _read_load(self, entry: Running, name: str) -> None:
        configured = self.source.current.endpoints.get(name)
        endpoint = entry.state.endpoints.get(name)
        if configured is None or endpoint is None:
            return
        url = configured.url
        load = await self.engines.load(url)
        if load is not None:
            report = routing.Report(load.running, load.waiting)
            admission.report_load(entry.state, name, report)
        known = endpoint.known
        for event in await self.engines.cache_events(url, known.event):
            routing.cache_event(
                known,
                event.number,
                added=routing.signed(event.stored),
                evicted=routing.signed(event.evicted),
            )

    def _now(self) -> float:
        return self.daemon.clock.now()

    def _names(self, group: str) -> list[str]:
        return admission_groups.members(
            self.source.current, group, size=self.loaded.admission_group_size
        )

    async def _group(self, name: str) -> Running:
        """Returns a group, synced if this VM has just begun to admit."""
        entry = self.running.get(name)
        if entry is None:
            policy = admission.Policy(
                displaced=self.loaded.admission.displaced,
                revokes=self.loaded.admission.revokes,
            )
            entry = Running(name, admission.Group(policy=policy))
            self.running[name] = entry
            entry.names = frozenset(self._names(name))
            self._set_endpoints(entry, sorted(entry.names))
            logs.event("admission_taken", group=name)
            self.daemon.group.start_soon(self._sync, entry)
        entry.used_s = self._now()
        await entry.synced.wait()
        return entry

    async def _sync(self, entry: Running) -> None:
        """Asks all VMs what they have in flight in a group."""
        ports = (self.loaded.entry_port, self.loaded.batch_port)
        holders = {
            f"{vm.address}:{port}" for vm in self.live() for port in ports
        }
        await self._ask_all(entry, holders)
        entry.missed.clear()
        entry.synced.set()

    async def _ask_all(self, entry: Running, holders: Iterable[str]) -> None:
        async with anyio.create_task_group() as group:
            for holder in holders:
                group.start_soon(self._ask_holder, entry, holder)

    async def _ask_holder(self, entry: Running, holder: str) -> None:
        try:
            report = await self.daemon.peers.call(
                holder,
                "in_flight",
                ttypes.InFlightAsk(group=entry.name),
                ttypes.InFlightReport,
                timeout_s=SYNC_TIMEOUT_S,
            )
        except errors.IbisknotError as error:
            self._missed(entry, holder, error)
            return
        entry.missed.pop(holder, None)
        now = self._now()
        tickets = [_held(t, holder, now) for t in report.tickets]
        self._do(entry, admission.reconcile(entry.state, now, holder, tickets))

    def _missed(
        self, entry: Running, holder: str, error: errors.IbisknotError
    ) -> None:
        """Takes the tickets of a holder back when it is surely gone.

        A refused connection shows that the process has ended. A process that
        does not answer may be paused; its streams may still run, so its
        tickets stay until it has missed several rounds.
        """
        entry.missed[holder] = entry.missed.get(holder, 0) + 1
        gone = error.ran == errors.NOT_RUN
        if not gone and entry.missed[holder] < HOLDER_LOST_ROUNDS:
            return
        self._do(entry, admission.take_back(entry.state, self._now(), holder))

    def _do(self, entry: Running, actions: list[admission.Action]) -> None:
        """Carries actions out."""
        for action in actions:
            if isinstance(action, admission.Grant):
                self._granted(entry, action.ticket)
            elif isinstance(action, admission.Refuse):
                waiter = entry.waiters.get(action.id)
                if waiter is not None:
                    waiter.refusal = action.cause
                    waiter.decided.set()
            else:
                self.daemon.group.start_soon(self._revoke, action)

    def _granted(self, entry: Running, ticket: admission.Held) -> None:
        waiter = entry.waiters.get(ticket.id)
        if waiter is not None:
            waiter.ticket = ticket
            waiter.decided.set()
            return
        # The caller has gone between the decision and its delivery.
        measured = admission.Measured(outcome=admission.CANCELLED)
        self._do(
            entry,
            admission.give_back(entry.state, self._now(), ticket.id, measured),
        )

    async def _revoke(self, action: admission.Revoke) -> None:
        try:
            await self.daemon.peers.call(
                action.holder,
                "ticket_revoke",
                ttypes.TicketRevoke(id=action.id),
                timeout_s=REVOKE_TIMEOUT_S,
            )
        except errors.IbisknotError as error:
            logs.event(
                "revoke_failed",
                level="warning",
                holder=action.holder,
                cause=error.message,
            )


def _held(ticket: Any, holder: str, now: float) -> admission.Held:
    return admission.Held(
        id=ticket.id,
        kind=ticket.kind,
        organisation=ticket.organisation,
        holder=holder,
        endpoint=ticket.endpoint,
        granted_s=now,
        tokens=ticket.tokens,
        suspect=ticket.suspect,
    )
