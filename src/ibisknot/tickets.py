"""Client of the admitters: acquires and releases tickets to run requests."""

from collections.abc import Callable
import dataclasses
import itertools
import random
import uuid

import anyio
import xxhash

from ibisknot import admission
from ibisknot import admission_groups
from ibisknot import admitter as admitter_module
from ibisknot import distribution
from ibisknot import errors
from ibisknot import logs
from ibisknot import program
from ibisknot import routing
from ibisknot import vmlist
from ibisknot.gen.admission import ttypes

ONLINE_REQUEST_RENEWAL_S = 1.0
BATCH_REQUEST_RENEWAL_S = 5.0
"""A request is repeated after this time, to notice unresponsive admitters."""
ANSWER_MARGIN_S = 0.5
"""Time for an answer, beyond the wait that a request asks for."""
UNRESPONSIVE_EXCLUSION_S = 2.0
"""A VM that did not answer is not chosen as admitter for this time."""
RETRY_DELAY_S = 0.02
RELEASE_ATTEMPTS = 3
EARLY_REVOCATION_RETENTION_S = 10.0
"""Retention of a revocation that arrives before its grant."""

Measurement = admission.Measurement


@dataclasses.dataclass(slots=True, frozen=True)
class TicketRequest:
    """What a ticket is requested for.

    Attributes:
        kind: `online` or `batch`.
        model: Name of the model.
        organisation: The organisation that the request is charged to.
        request_id: Id of the request that is to run.
        prompt: The prompt; only hashes of its blocks leave the process.
        max_tokens: Largest number of tokens that are generated.
        max_wait_s: Seconds to wait for a ticket.
        crash_suspect: Whether the request was in flight on an endpoint that
            crashed.
        avoid: Names of endpoints where the request already failed.
    """

    kind: str
    model: str
    organisation: str
    request_id: str
    prompt: str
    max_tokens: int
    max_wait_s: float
    crash_suspect: bool = False
    avoid: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """Permission to run one request at one endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        id: Id of the ticket.
        request: What it was requested for.
        group: Name of the admission group.
        exclusive: Whether nothing else runs on the endpoint.
        revoked: Set when the holder must cancel its stream at once.
    """

    endpoint: str
    id: str
    request: TicketRequest
    group: str
    exclusive: bool = False
    revoked: anyio.Event = dataclasses.field(default_factory=anyio.Event)


class Client:
    """Requests tickets from admitters, and holds them.

    Attributes:
        source: Gives the configuration in force.
        active_vms: Returns the VMs that are active in this process's view.
        local_admitter: The admitter of this process, if it has one; it is
            called without a peer message.
        holder: Peer address of this process.
        group_size: Largest number of endpoints in an admission group.
        tickets: The tickets in flight by id.
        excluded_until_s: Monotonic time until which each VM that did not
            answer is not chosen, by name.
        group_loads: Last reported load of each group, by name.
        early_revocations: Monotonic times of revocations whose grant has not
            arrived yet, by ticket id.
        id_prefix: Prefix of ticket ids, unique to this process's start.
        id_counter: Source of the rest of the ticket ids.
        rng: Chooses the groups of requests without a prefix.
    """

    def __init__(
        self,
        daemon: program.Daemon,
        source: distribution.LocalConfiguration,
        active_vms: Callable[[], list[vmlist.ListedVm]],
        *,
        local_admitter: admitter_module.Admitter | None = None,
    ) -> None:
        self.daemon = daemon
        self.source = source
        self.active_vms = active_vms
        self.local_admitter = local_admitter
        own_settings = daemon.program_settings
        self.holder = f"{own_settings.vm.address}:{own_settings.peer_port}"
        self.group_size = own_settings.admission_group_size
        self.tickets: dict[str, Ticket] = {}
        self.excluded_until_s: dict[str, float] = {}
        self.group_loads: dict[str, float] = {}
        self.early_revocations: dict[str, float] = {}
        self.id_prefix = f"{own_settings.vm.name}/{uuid.uuid4().hex[:8]}"
        self.id_counter = itertools.count()
        self.rng = random.Random()
        server = daemon.server
        server.on("ticket_revoke", ttypes.TicketRevoke, self.on_revoke)
        server.on("in_flight", ttypes.InFlightAsk, self.on_in_flight)

    async def acquire(self, request: TicketRequest) -> Ticket:
        """Waits for a ticket.

        Args:
            request: What the ticket is for.

        Raises:
            OverloadedError: No endpoint was free within the request's
                `max_wait_s`, or no active endpoint serves the model.
        """
        start_s = self.daemon.clock.now()
        ticket_id = f"{self.id_prefix}/{next(self.id_counter)}"
        blocks = routing.prompt_blocks(request.prompt)
        target: tuple[str, vmlist.ListedVm] | None = None
        try:
            while True:
                waited_s = self.daemon.clock.now() - start_s
                remaining_s = request.max_wait_s - waited_s
                if remaining_s <= 0.0:
                    cause = f"no endpoint of {request.model} was free in time"
                    raise errors.OverloadedError(cause, retry_after_s=1.0)
                target = self._choose_target(request, blocks)
                if target is None:
                    cause = f"no active endpoint serves {request.model}"
                    raise errors.OverloadedError(cause, retry_after_s=1.0)
                message = self._build_message(
                    request, ticket_id, target[0], blocks
                )
                message.waited_s = waited_s
                message.wait_s = min(remaining_s, message.wait_s)
                grant = await self._send_request(target[1], message)
                if grant is None:
                    await anyio.sleep(RETRY_DELAY_S)
                elif grant.endpoint:
                    return self._record_ticket(
                        request, ticket_id, target[0], grant
                    )
        except BaseException:
            if target is not None:
                self._release_later(ticket_id, target[0], "", _CANCELLED)
            raise

    def _record_ticket(
        self,
        request: TicketRequest,
        ticket_id: str,
        group: str,
        grant: ttypes.TicketGrant,
    ) -> Ticket:
        """Makes a ticket from a grant; it may have been revoked already."""
        self.group_loads[group] = grant.load
        ticket = Ticket(
            grant.endpoint, ticket_id, request, group, exclusive=grant.alone
        )
        self.tickets[ticket_id] = ticket
        if self.early_revocations.pop(ticket_id, None) is not None:
            ticket.revoked.set()
        return ticket

    async def release(self, ticket: Ticket, measurement: Measurement) -> None:
        """Releases a ticket without waiting for the admitter.

        Args:
            ticket: The ticket; nothing happens if it is released already.
            measurement: What was measured while the request ran.
        """
        if self.tickets.pop(ticket.id, None) is None:
            return
        self._release_later(
            ticket.id, ticket.group, ticket.endpoint, measurement
        )

    def _build_message(
        self,
        request: TicketRequest,
        ticket_id: str,
        group: str,
        blocks: tuple[int, ...],
    ) -> ttypes.TicketAsk:
        """Returns the message that requests a ticket."""
        online = request.kind == admission.ONLINE
        return ttypes.TicketAsk(
            id=ticket_id,
            group=group,
            kind=request.kind,
            organisation=request.organisation,
            tokens=request.max_tokens,
            words=len(request.prompt.split()),
            blocks=list(blocks),
            holder=self.holder,
            wait_s=ONLINE_REQUEST_RENEWAL_S
            if online
            else BATCH_REQUEST_RENEWAL_S,
            waited_s=0.0,
            suspect=request.crash_suspect,
            avoid=sorted(request.avoid),
        )

    def _choose_target(
        self, request: TicketRequest, blocks: tuple[int, ...]
    ) -> tuple[str, vmlist.ListedVm] | None:
        """Returns the group to request from and its admitter, or None."""
        groups = admission_groups.of_model(
            self.source.current, request.model, size=self.group_size
        )
        if not groups:
            return None
        group = self._choose_group(sorted(groups), request, blocks)
        vm = self._admitter_of(group)
        return None if vm is None else (group, vm)

    def _choose_group(
        self, names: list[str], request: TicketRequest, blocks: tuple[int, ...]
    ) -> str:
        """Returns the less loaded of two groups.

        The two are chosen by the prompt's first block, so that prompts with a
        common prefix are placed in the same group. For batch requests and
        prompts without a complete block, two random groups are compared. The
        load is the last that each group reported and may be out of date.
        """
        if len(names) == 1:
            return names[0]
        if blocks and request.kind == admission.ONLINE:
            names = sorted(
                names,
                key=lambda n: xxhash.xxh3_64_intdigest(
                    f"{blocks[0]}/{n}".encode()
                ),
            )[:2]
        else:
            names = self.rng.sample(names, 2)
        return min(names, key=lambda n: self.group_loads.get(n, 0.0))

    def _admitter_of(self, group: str) -> vmlist.ListedVm | None:
        """Returns a group's admitter, without VMs that did not answer."""
        now = self.daemon.clock.now()
        excluded = [
            name
            for name, until_s in self.excluded_until_s.items()
            if until_s > now
        ]
        return admission_groups.choose_admitter(
            group, self.active_vms(), excluded=excluded
        )

    async def _send_request(
        self, vm: vmlist.ListedVm, message: ttypes.TicketAsk
    ) -> ttypes.TicketGrant | None:
        """Sends a request to an admitter.

        Returns:
            The grant, or None if the VM did not answer or is no longer the
            admitter; the request is then sent to another VM.
        """
        own_settings = self.daemon.program_settings
        try:
            if (
                self.local_admitter is not None
                and vm.name == own_settings.vm.name
            ):
                return await self.local_admitter.request_ticket(message)
            return await self.daemon.peers.call(
                f"{vm.address}:{own_settings.entry_port}",
                "ticket_ask",
                message,
                ttypes.TicketGrant,
                timeout_s=message.wait_s + ANSWER_MARGIN_S,
            )
        except (errors.PeerError, errors.MovedError, errors.NotFoundError) as e:
            self.excluded_until_s[vm.name] = (
                self.daemon.clock.now() + UNRESPONSIVE_EXCLUSION_S
            )
            logs.event("admitter_left", vm=vm.name, cause=e.message)
            return None

    def _release_later(
        self,
        ticket_id: str,
        group: str,
        endpoint: str,
        measurement: Measurement,
    ) -> None:
        """Starts to send the release of a ticket or of its request."""
        message = ttypes.TicketReturn(
            group=group,
            id=ticket_id,
            endpoint=endpoint,
            outcome=measurement.outcome,
            first_token_s=measurement.first_token_s,
            token_gap_s=measurement.token_gap_s,
            tokens=measurement.tokens,
        )
        self.daemon.task_group.start_soon(self._send_release, message)

    async def _send_release(self, message: ttypes.TicketReturn) -> None:
        """Sends a release to the group's admitter.

        If every attempt fails, the admitter removes the ticket when it next
        compares its tickets with this process's report.
        """
        own_settings = self.daemon.program_settings
        for _ in range(RELEASE_ATTEMPTS):
            vm = self._admitter_of(message.group)
            if vm is None:
                return
            try:
                if (
                    self.local_admitter is not None
                    and vm.name == own_settings.vm.name
                ):
                    await self.local_admitter.release_ticket(message)
                    return
                await self.daemon.peers.call(
                    f"{vm.address}:{own_settings.entry_port}",
                    "ticket_return",
                    message,
                    timeout_s=ANSWER_MARGIN_S,
                )
                return
            except errors.IbisknotError:
                self.excluded_until_s[vm.name] = (
                    self.daemon.clock.now() + UNRESPONSIVE_EXCLUSION_S
                )

    async def on_revoke(self, message: ttypes.TicketRevoke) -> None:
        """Peer method: revokes a ticket whose slot an online request needs."""
        ticket = self.tickets.get(message.id)
        if ticket is not None:
            ticket.revoked.set()
            return
        now = self.daemon.clock.now()
        self.early_revocations[message.id] = now
        for ticket_id in [
            n
            for n, s in self.early_revocations.items()
            if s < now - EARLY_REVOCATION_RETENTION_S
        ]:
            del self.early_revocations[ticket_id]

    async def on_in_flight(
        self, message: ttypes.InFlightAsk
    ) -> ttypes.InFlightReport:
        """Peer method: reports the tickets that this process holds."""
        held_here = [
            ttypes.InFlight(
                id=ticket.id,
                endpoint=ticket.endpoint,
                kind=ticket.request.kind,
                organisation=ticket.request.organisation,
                tokens=ticket.request.max_tokens,
                suspect=ticket.request.crash_suspect,
            )
            for ticket in self.tickets.values()
            if ticket.group == message.group
        ]
        return ttypes.InFlightReport(tickets=held_here)


_CANCELLED = Measurement(outcome=admission.CANCELLED)
