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
LOAD_POLL_PERIOD_S = 0.5
LOG_PERIOD_S = 0.5
HOLDER_REPORT_TIMEOUT_S = 0.3
"""A VM that is paused must not hold up a new admitter for longer."""
REVOKE_TIMEOUT_S = 1.0
HOLDER_LOST_MISSED_REPORTS = 2
GROUP_IDLE_TIMEOUT_S = 3.0
"""A group without asks for this time may be admitted for by another VM."""


@dataclasses.dataclass(slots=True)
class PendingDecision:
    """The handler that waits for a decision on one request."""

    decided: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    ticket: admission.Ticket | None = None
    refusal: str = ""


@dataclasses.dataclass(slots=True)
class AdmittedGroup:
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
    synced_endpoints: frozenset[str] = frozenset()
    pending: dict[str, PendingDecision] = dataclasses.field(
        default_factory=dict
    )
    missed_reports: dict[str, int] = dataclasses.field(default_factory=dict)
    last_request_s: float = 0.0


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
        active_vms: Callable[[], list[vmlist.ListedVm]],
        loaded: settings.Entry,
    ) -> None:
        self.daemon = daemon
        self.source = source
        self.engines = engines
        self.active_vms = active_vms
        self.loaded = loaded
        self.groups: dict[str, AdmittedGroup] = {}
        self.draining = False
        self.capacities: dict[str, admission.Capacity] = {}

    def register(self, server: peer.Server) -> None:
        """Registers the peer methods and the periodic work."""
        server.on("ticket_ask", ttypes.TicketAsk, self.request_ticket)
        server.on("ticket_return", ttypes.TicketReturn, self.release_ticket)
        clock = self.daemon.clock
        clock.subscribe("admission", TICK_PERIOD_S, self.tick)
        clock.subscribe("admission_log", LOG_PERIOD_S, self.log_state)
        clock.subscribe("load", LOAD_POLL_PERIOD_S, self.poll_loads)
        clock.subscribe("reconcile", RECONCILE_PERIOD_S, self.reconcile)

    async def request_ticket(
        self, message: ttypes.TicketAsk
    ) -> ttypes.TicketGrant:
        """Peer method: waits for a ticket.

        Raises:
            MovedError: This VM shuts down.
            OverloadedError: The request was refused.
        """
        if self.draining:
            raise errors.MovedError("this VM shuts down")
        entry = await self._synced_group(message.group)
        waiter = PendingDecision()
        entry.pending[message.id] = waiter
        try:
            self._submit(entry, message)
            with anyio.move_on_after(message.wait_s):
                await waiter.decided.wait()
        finally:
            entry.pending.pop(message.id, None)
            if waiter.ticket is None:
                self._apply(
                    entry,
                    admission.cancel_request(
                        entry.state, self._now(), message.id
                    ),
                )
        return self._answer(entry, waiter)

    def _submit(self, entry: AdmittedGroup, message: ttypes.TicketAsk) -> None:
        now = self._now()
        waiting = admission.QueuedRequest(
            id=message.id,
            kind=message.kind,
            organisation=message.organisation,
            arrived_s=now - message.waited_s,
            expires_s=now + message.wait_s,
            max_tokens=message.tokens,
            prompt_words=message.words,
            prompt_blocks=tuple(message.blocks),
            holder=message.holder,
            crash_suspect=message.suspect,
            avoid=frozenset(message.avoid),
        )
        self._apply(entry, admission.request_ticket(entry.state, now, waiting))

    def _answer(
        self, entry: AdmittedGroup, waiter: PendingDecision
    ) -> ttypes.TicketGrant:
        load = admission.load(entry.state)
        if waiter.ticket is not None:
            return ttypes.TicketGrant(
                endpoint=waiter.ticket.endpoint,
                alone=waiter.ticket.exclusive,
                load=load,
            )
        if self.draining:
            raise errors.MovedError("this VM shuts down")
        if waiter.refusal and not entry.state.endpoints:
            raise errors.OverloadedError(waiter.refusal, retry_after_s=1.0)
        return ttypes.TicketGrant(endpoint="", alone=False, load=load)

    async def release_ticket(self, message: ttypes.TicketReturn) -> None:
        """Peer method: takes a ticket back with what was measured."""
        entry = self.groups.get(message.group)
        if entry is None:
            return
        measured = admission.Measurement(
            outcome=message.outcome,
            first_token_s=message.first_token_s,
            token_gap_s=message.token_gap_s,
            tokens=message.tokens,
        )
        self._apply(
            entry,
            admission.release_ticket(
                entry.state, self._now(), message.id, measured
            ),
        )

    async def drain(self) -> None:
        """Hands admission over: whoever waits here asks the next VM."""
        self.draining = True
        for entry in self.groups.values():
            for waiter in list(entry.pending.values()):
                waiter.decided.set()

    async def tick(self, now: float) -> None:
        """Timer callback: applies the configuration and deadlines."""
        for entry in list(self.groups.values()):
            if (
                now - entry.last_request_s > GROUP_IDLE_TIMEOUT_S
                and not entry.pending
            ):
                del self.groups[entry.name]
                continue
            names = self._active_endpoints(entry.name)
            self._apply(entry, admission.set_endpoints(entry.state, now, names))
            if not entry.synced_endpoints >= set(names):
                entry.synced_endpoints |= frozenset(names)
                self.daemon.group.start_soon(self._sync, entry)
            entry.state.policy.batch_weight = (
                self.source.current.policy.batch_weight
            )
            self._apply(entry, admission.tick(entry.state, now))

    def _set_endpoints(self, entry: AdmittedGroup, names: list[str]) -> None:
        now = self._now()
        actions = admission.set_endpoints(entry.state, now, names)
        for name, endpoint in entry.state.endpoints.items():
            endpoint.capacity = self.capacities.setdefault(
                name, endpoint.capacity
            )
        self._apply(entry, actions)

    async def log_state(self, _now: float) -> None:
        """Timer callback: logs the groups for a trace."""
        for entry in self.groups.values():
            for name, endpoint in entry.state.endpoints.items():
                logs.event(
                    "admission_state",
                    level="debug",
                    group=entry.name,
                    endpoint=name,
                    limit=round(endpoint.capacity.limit, 1),
                    online=endpoint.online_count(),
                    batch=len(endpoint.unrevoked_batch()),
                    held=len(endpoint.tickets),
                    gap_s=round(endpoint.expected_token_gap_s(), 6),
                    online_waits=entry.state.online_queue.size,
                    batch_waits=entry.state.batch_queue.size,
                )

    async def reconcile(self, _now: float) -> None:
        """Timer callback: compares the tickets with what holders say."""
        for entry in list(self.groups.values()):
            holders = {t.holder for t in admission.all_tickets(entry.state)}
            await self._poll_holders(entry, holders)

    async def poll_loads(self, _now: float) -> None:
        """Timer callback: reads the engines' lagged load reports."""
        async with anyio.create_task_group() as group:
            for entry in list(self.groups.values()):
                for name in list(entry.state.endpoints):
                    group.start_soon(self._poll_load, entry, name)

    async def _poll_load(self, entry: AdmittedGroup, name: str) -> None:
        configured = self.source.current.endpoints.get(name)
        endpoint = entry.state.endpoints.get(name)
        if configured is None or endpoint is None:
            return
        url = configured.url
        load = await self.engines.load(url)
        if load is not None:
            report = routing.LoadReport(load.running, load.waiting)
            admission.record_load(entry.state, name, report)
        known = endpoint.view
        for event in await self.engines.cache_events(url, known.last_event):
            routing.apply_cache_event(
                known,
                event.number,
                added=routing.to_signed(event.stored),
                evicted=routing.to_signed(event.evicted),
            )

    def _now(self) -> float:
        return self.daemon.clock.now()

    def _active_endpoints(self, group: str) -> list[str]:
        return admission_groups.active_endpoints(
            self.source.current, group, size=self.loaded.admission_group_size
        )

    async def _synced_group(self, name: str) -> AdmittedGroup:
        """Returns a group, synced if this VM has just begun to admit."""
        entry = self.groups.get(name)
        if entry is None:
            policy = admission.Policy(
                displaced_per_online=self.loaded.admission.displaced,
                revokes_batch=self.loaded.admission.revokes,
            )
            entry = AdmittedGroup(name, admission.Group(policy=policy))
            self.groups[name] = entry
            entry.synced_endpoints = frozenset(self._active_endpoints(name))
            self._set_endpoints(entry, sorted(entry.synced_endpoints))
            logs.event("admission_taken", group=name)
            self.daemon.group.start_soon(self._sync, entry)
        entry.last_request_s = self._now()
        await entry.synced.wait()
        return entry

    async def _sync(self, entry: AdmittedGroup) -> None:
        """Asks all VMs what they have in flight in a group."""
        ports = (self.loaded.entry_port, self.loaded.batch_port)
        holders = {
            f"{vm.address}:{port}" for vm in self.active_vms() for port in ports
        }
        await self._poll_holders(entry, holders)
        entry.missed_reports.clear()
        entry.synced.set()

    async def _poll_holders(
        self, entry: AdmittedGroup, holders: Iterable[str]
    ) -> None:
        async with anyio.create_task_group() as group:
            for holder in holders:
                group.start_soon(self._poll_holder, entry, holder)

    async def _poll_holder(self, entry: AdmittedGroup, holder: str) -> None:
        try:
            report = await self.daemon.peers.call(
                holder,
                "in_flight",
                ttypes.InFlightAsk(group=entry.name),
                ttypes.InFlightReport,
                timeout_s=HOLDER_REPORT_TIMEOUT_S,
            )
        except errors.IbisknotError as error:
            self._record_missed_report(entry, holder, error)
            return
        entry.missed_reports.pop(holder, None)
        now = self._now()
        tickets = [_reported_ticket(t, holder, now) for t in report.tickets]
        self._apply(
            entry, admission.reconcile(entry.state, now, holder, tickets)
        )

    def _record_missed_report(
        self, entry: AdmittedGroup, holder: str, error: errors.IbisknotError
    ) -> None:
        """Takes the tickets of a holder back when it is surely gone.

        A refused connection shows that the process has ended. A process that
        does not answer may be paused; its streams may still run, so its
        tickets stay until it has missed several rounds.
        """
        entry.missed_reports[holder] = entry.missed_reports.get(holder, 0) + 1
        gone = error.ran == errors.NOT_RUN
        if (
            not gone
            and entry.missed_reports[holder] < HOLDER_LOST_MISSED_REPORTS
        ):
            return
        self._apply(
            entry, admission.reclaim_tickets(entry.state, self._now(), holder)
        )

    def _apply(
        self, entry: AdmittedGroup, actions: list[admission.Action]
    ) -> None:
        """Carries actions out."""
        for action in actions:
            if isinstance(action, admission.Grant):
                self._deliver(entry, action.ticket)
            elif isinstance(action, admission.Refuse):
                waiter = entry.pending.get(action.id)
                if waiter is not None:
                    waiter.refusal = action.cause
                    waiter.decided.set()
            else:
                self.daemon.group.start_soon(self._notify_revoked, action)

    def _deliver(self, entry: AdmittedGroup, ticket: admission.Ticket) -> None:
        waiter = entry.pending.get(ticket.id)
        if waiter is not None:
            waiter.ticket = ticket
            waiter.decided.set()
            return
        # The caller has gone between the decision and its delivery.
        measured = admission.Measurement(outcome=admission.CANCELLED)
        self._apply(
            entry,
            admission.release_ticket(
                entry.state, self._now(), ticket.id, measured
            ),
        )

    async def _notify_revoked(self, action: admission.Revoke) -> None:
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


def _reported_ticket(ticket: Any, holder: str, now: float) -> admission.Ticket:
    return admission.Ticket(
        id=ticket.id,
        kind=ticket.kind,
        organisation=ticket.organisation,
        holder=holder,
        endpoint=ticket.endpoint,
        granted_s=now,
        max_tokens=ticket.tokens,
        crash_suspect=ticket.suspect,
    )
