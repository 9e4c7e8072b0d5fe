"""The admitter: grants the tickets of admission groups on this VM.

Peer messages use older names: an ask is a request for a ticket, a return its
release, `alone` an exclusive ticket and `suspect` a crash suspect.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
from typing import Any

import anyio

from ibisknot import admission
from ibisknot import admission_groups
from ibisknot import distribution
from ibisknot import endpoint_http
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
"""Longest time for which a paused VM delays a new admitter."""
REVOKE_TIMEOUT_S = 1.0
HOLDER_LOST_MISSED_REPORTS = 2
"""Reports that a holder misses in a row before its tickets are reclaimed."""
GROUP_IDLE_TIMEOUT_S = 3.0
"""A group without requests for this time is dropped.

Another VM may have become its admitter.
"""


@dataclasses.dataclass(slots=True)
class PendingDecision:
    """The decision on one request, which its handler waits for.

    Attributes:
        decided: Set when there is a ticket or a refusal, or the VM drains.
        ticket: The granted ticket, or None.
        refusal: The cause of the refusal, or "".
    """

    decided: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    ticket: admission.Ticket | None = None
    refusal: str = ""


@dataclasses.dataclass(slots=True)
class AdmittedGroup:
    """An admission group whose admitter this VM is.

    Attributes:
        name: Name of the group.
        state: State of the admission decisions.
        synced: Set when the holders have reported their tickets, so that
            tickets can be granted.
        synced_endpoints: Endpoints of which the holders' tickets have been
            requested.
        pending: Decisions that handlers wait for, by request id.
        missed_reports: Number of reports in a row that each holder missed.
        last_request_s: Monotonic time of the last request for a ticket.
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
    """Grants the tickets of the groups whose requests reach this VM.

    Attributes:
        source: Gives the configuration in force.
        endpoint_client: Client of the engines' load reports and cache events.
        active_vms: Returns the VMs that are active in this process's view.
        entry_settings: Settings of the entry program.
        groups: The groups that this VM admits for, by name.
        is_draining: Whether the VM shuts down, so that requests go to the next
            admitter.
        capacities: Estimated capacity of each endpoint; it is kept when a
            group is dropped.
    """

    def __init__(
        self,
        daemon: program.Daemon,
        source: distribution.LocalConfiguration,
        endpoint_client: endpoint_http.EndpointClient,
        active_vms: Callable[[], list[vmlist.ListedVm]],
        entry_settings: settings.Entry,
    ) -> None:
        self.daemon = daemon
        self.source = source
        self.endpoint_client = endpoint_client
        self.active_vms = active_vms
        self.entry_settings = entry_settings
        self.groups: dict[str, AdmittedGroup] = {}
        self.is_draining = False
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
        """Peer method: waits until a ticket is granted.

        Returns:
            The grant; its endpoint is "" if none was free in time, so that
            the caller repeats the request.

        Raises:
            MovedError: This VM shuts down.
            OverloadedError: The request was refused, as no endpoint is
                active.
        """
        if self.is_draining:
            raise errors.MovedError("this VM shuts down")
        group = await self._synced_group(message.group)
        decision = PendingDecision()
        group.pending[message.id] = decision
        try:
            self._submit(group, message)
            with anyio.move_on_after(message.wait_s):
                await decision.decided.wait()
        finally:
            group.pending.pop(message.id, None)
            if decision.ticket is None:
                self._apply(
                    group,
                    admission.cancel_request(
                        group.state, self._now(), message.id
                    ),
                )
        return self._answer(group, decision)

    def _submit(self, group: AdmittedGroup, message: ttypes.TicketAsk) -> None:
        """Queues the request of a message and applies the decisions."""
        now = self._now()
        queued = admission.QueuedRequest(
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
        self._apply(group, admission.request_ticket(group.state, now, queued))

    def _answer(
        self, group: AdmittedGroup, decision: PendingDecision
    ) -> ttypes.TicketGrant:
        """Returns the answer to a request whose wait has ended.

        Raises:
            MovedError: This VM shuts down.
            OverloadedError: The request was refused, as no endpoint is
                active.
        """
        load = admission.load(group.state)
        if decision.ticket is not None:
            return ttypes.TicketGrant(
                endpoint=decision.ticket.endpoint,
                alone=decision.ticket.exclusive,
                load=load,
            )
        if self.is_draining:
            raise errors.MovedError("this VM shuts down")
        if decision.refusal and not group.state.endpoints:
            raise errors.OverloadedError(decision.refusal, retry_after_s=1.0)
        return ttypes.TicketGrant(endpoint="", alone=False, load=load)

    async def release_ticket(self, message: ttypes.TicketReturn) -> None:
        """Peer method: ends a ticket and records what its holder measured."""
        group = self.groups.get(message.group)
        if group is None:
            return
        measurement = admission.Measurement(
            outcome=message.outcome,
            first_token_s=message.first_token_s,
            token_gap_s=message.token_gap_s,
            tokens=message.tokens,
        )
        self._apply(
            group,
            admission.release_ticket(
                group.state, self._now(), message.id, measurement
            ),
        )

    async def drain(self) -> None:
        """Ends all pending requests, so that callers go to the next admitter.

        Called when the VM shuts down.
        """
        self.is_draining = True
        for group in self.groups.values():
            for decision in list(group.pending.values()):
                decision.decided.set()

    async def tick(self, now: float) -> None:
        """Timer callback: applies the configuration and expires requests."""
        for group in list(self.groups.values()):
            if (
                now - group.last_request_s > GROUP_IDLE_TIMEOUT_S
                and not group.pending
            ):
                del self.groups[group.name]
                continue
            names = self._active_endpoints(group.name)
            self._set_endpoints(group, names)
            if not group.synced_endpoints >= set(names):
                group.synced_endpoints |= frozenset(names)
                self.daemon.task_group.start_soon(self._sync, group)
            group.state.policy.batch_weight = (
                self.source.current.policy.batch_weight
            )
            self._apply(group, admission.tick(group.state, now))

    def _set_endpoints(self, group: AdmittedGroup, names: list[str]) -> None:
        """Sets a group's endpoints, with what was learnt of them before."""
        actions = admission.set_endpoints(
            group.state, self._now(), names, capacities=self.capacities
        )
        self._apply(group, actions)

    async def log_state(self, _now: float) -> None:
        """Timer callback: logs the state of each endpoint of the groups."""
        for group in self.groups.values():
            for name, endpoint in group.state.endpoints.items():
                logs.event(
                    "admission_state",
                    level="debug",
                    group=group.name,
                    endpoint=name,
                    limit=round(endpoint.capacity.limit, 1),
                    online=endpoint.online_count(),
                    batch=len(endpoint.unrevoked_batch()),
                    held=len(endpoint.tickets),
                    gap_s=round(endpoint.expected_token_gap_s(), 6),
                    online_waits=group.state.online_queue.size,
                    batch_waits=group.state.batch_queue.size,
                )

    async def reconcile(self, _now: float) -> None:
        """Timer callback: compares the tickets with the holders' reports."""
        for group in list(self.groups.values()):
            holders = {t.holder for t in admission.all_tickets(group.state)}
            await self._poll_holders(group, holders)

    async def poll_loads(self, _now: float) -> None:
        """Timer callback: polls the engines' loads and cache events."""
        async with anyio.create_task_group() as task_group:
            for group in list(self.groups.values()):
                for name in list(group.state.endpoints):
                    task_group.start_soon(self._poll_load, group, name)

    async def _poll_load(self, group: AdmittedGroup, name: str) -> None:
        """Reads an endpoint's load report and its new cache events."""
        configured = self.source.current.endpoints.get(name)
        endpoint = group.state.endpoints.get(name)
        if configured is None or endpoint is None:
            return
        url = configured.url
        load = await self.endpoint_client.read_load(url)
        if load is not None:
            report = routing.LoadReport(load.running, load.waiting)
            admission.record_load(group.state, name, report)
        view = endpoint.view
        for event in await self.endpoint_client.read_cache_events(
            url, view.last_event
        ):
            routing.apply_cache_event(
                view,
                event.number,
                added=routing.to_signed(event.stored),
                evicted=routing.to_signed(event.evicted),
            )

    def _now(self) -> float:
        return self.daemon.clock.now()

    def _active_endpoints(self, group_name: str) -> list[str]:
        return admission_groups.active_endpoints(
            self.source.current,
            group_name,
            size=self.entry_settings.admission_group_size,
        )

    async def _synced_group(self, name: str) -> AdmittedGroup:
        """Returns a group once its state is synced with the holders' reports.

        A new group is made and synced first.
        """
        group = self.groups.get(name)
        if group is None:
            policy = admission.Policy(
                displaced_per_online=self.entry_settings.admission.displaced,
                revokes_batch=self.entry_settings.admission.revokes,
            )
            group = AdmittedGroup(name, admission.Group(policy=policy))
            self.groups[name] = group
            group.synced_endpoints = frozenset(self._active_endpoints(name))
            self._set_endpoints(group, sorted(group.synced_endpoints))
            logs.event("admission_taken", group=name)
            self.daemon.task_group.start_soon(self._sync, group)
        group.last_request_s = self._now()
        await group.synced.wait()
        return group

    async def _sync(self, group: AdmittedGroup) -> None:
        """Collects the tickets that all VMs hold in a group."""
        ports = (self.entry_settings.entry_port, self.entry_settings.batch_port)
        holders = {
            f"{vm.address}:{port}" for vm in self.active_vms() for port in ports
        }
        await self._poll_holders(group, holders)
        group.missed_reports.clear()
        group.synced.set()

    async def _poll_holders(
        self, group: AdmittedGroup, holders: Iterable[str]
    ) -> None:
        """Requests the reports of several holders concurrently."""
        async with anyio.create_task_group() as task_group:
            for holder in holders:
                task_group.start_soon(self._poll_holder, group, holder)

    async def _poll_holder(self, group: AdmittedGroup, holder: str) -> None:
        """Reconciles a group with the tickets that one holder reports."""
        try:
            report = await self.daemon.peers.call(
                holder,
                "in_flight",
                ttypes.InFlightAsk(group=group.name),
                ttypes.InFlightReport,
                timeout_s=HOLDER_REPORT_TIMEOUT_S,
            )
        except errors.IbisknotError as error:
            self._record_missed_report(group, holder, error)
            return
        group.missed_reports.pop(holder, None)
        now = self._now()
        tickets = [_reported_ticket(t, holder, now) for t in report.tickets]
        self._apply(
            group, admission.reconcile(group.state, now, holder, tickets)
        )

    def _record_missed_report(
        self, group: AdmittedGroup, holder: str, error: errors.IbisknotError
    ) -> None:
        """Records a missed report; reclaims a lost holder's tickets.

        A refused connection shows that the process has ended. A process that
        does not answer may be paused while its streams still run, so its
        tickets stay until it has missed `HOLDER_LOST_MISSED_REPORTS` reports.
        """
        group.missed_reports[holder] = group.missed_reports.get(holder, 0) + 1
        connection_refused = error.ran == errors.NOT_RUN
        if (
            not connection_refused
            and group.missed_reports[holder] < HOLDER_LOST_MISSED_REPORTS
        ):
            return
        self._apply(
            group, admission.reclaim_tickets(group.state, self._now(), holder)
        )

    def _apply(
        self, group: AdmittedGroup, actions: list[admission.Action]
    ) -> None:
        """Carries out the actions that decisions returned."""
        for action in actions:
            if isinstance(action, admission.Grant):
                self._deliver(group, action.ticket)
            elif isinstance(action, admission.Refuse):
                decision = group.pending.get(action.id)
                if decision is not None:
                    decision.refusal = action.cause
                    decision.decided.set()
            else:
                self.daemon.task_group.start_soon(self._notify_revoked, action)

    def _deliver(self, group: AdmittedGroup, ticket: admission.Ticket) -> None:
        """Passes a ticket to its handler, or releases it without one."""
        decision = group.pending.get(ticket.id)
        if decision is not None:
            decision.ticket = ticket
            decision.decided.set()
            return
        # The handler has ended between the decision and its delivery.
        measurement = admission.Measurement(outcome=admission.CANCELLED)
        self._apply(
            group,
            admission.release_ticket(
                group.state, self._now(), ticket.id, measurement
            ),
        )

    async def _notify_revoked(self, action: admission.Revoke) -> None:
        """Sends a revocation to the ticket's holder."""
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
    """Returns a ticket as its holder reported it at `now`."""
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
