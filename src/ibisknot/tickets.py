"""Client of admission: acquires and releases tickets to run requests."""

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

ONLINE_SLICE_S = 1.0
BATCH_SLICE_S = 5.0
"""An ask is repeated after this time, so that a silent admitter is noticed."""
ANSWER_MARGIN_S = 0.5
DOWN_S = 2.0
"""A VM that did not answer is left out of the choice for this time."""
RETRY_PAUSE_S = 0.02
RETURN_TRIES = 3
EARLY_S = 10.0

Measured = admission.Measured


@dataclasses.dataclass(slots=True, frozen=True)
class Ask:
    """What a ticket is wanted for.

    Attributes:
        kind: `online` or `batch`.
        prompt: The prompt; only hashes of its blocks leave the process.
        tokens: Tokens that will be generated at most.
        deadline_s: Seconds to wait for a ticket.
        suspect: Whether the request was in flight on an endpoint that crashed.
        avoid: Endpoints that already failed the request.
    """

    kind: str
    model: str
    organisation: str
    request_id: str
    prompt: str
    tokens: int
    deadline_s: float
    suspect: bool = False
    avoid: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, eq=False)
class Ticket:
    """Leave to run one request on one endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        revoked: Set when the holder must cancel its stream at once.
        alone: Whether nothing else runs on the endpoint.
        group: The admission group.
    """

    endpoint: str
    id: str
    ask: Ask
    group: str
    alone: bool = False
    revoked: anyio.Event = dataclasses.field(default_factory=anyio.Event)


class Client:
    """Asks the VMs that admit for tickets, and holds them.

    Attributes:
        held: The tickets in flight by id.
        down: VMs that did not answer, with the time until they are asked
            again.
        loads: Last reported load of each group.
        early: Revoked ids whose grant has not arrived yet, with their times.
    """

    def __init__(
        self,
        daemon: program.Daemon,
        source: distribution.Distribution,
        live: Callable[[], list[vmlist.ListedVm]],
        *,
        local: admitter_module.Admitter | None = None,
    ) -> None:
        self.daemon = daemon
        self.source = source
        self.live = live
        self.local = local
        loaded = daemon.loaded
        self.holder = f"{loaded.vm.address}:{loaded.peer_port}"
        self.size = loaded.admission_group_size
        self.held: dict[str, Ticket] = {}
        self.down: dict[str, float] = {}
        self.loads: dict[str, float] = {}
        self.early: dict[str, float] = {}
        self.prefix = f"{loaded.vm.name}/{uuid.uuid4().hex[:8]}"
        self.numbers = itertools.count()
        self.choice = random.Random()
        server = daemon.server
        server.on("ticket_revoke", ttypes.TicketRevoke, self.on_revoke)
        server.on("in_flight", ttypes.InFlightAsk, self.on_in_flight)

    async def acquire(self, ask: Ask) -> Ticket:
        """Waits for a ticket.

        Raises:
            OverloadedError: No endpoint was free before the deadline.
        """
        start_s = self.daemon.clock.now()
        number = f"{self.prefix}/{next(self.numbers)}"
        blocks = routing.prompt_blocks(ask.prompt)
        asked: tuple[str, vmlist.ListedVm] | None = None
        try:
            while True:
                waited_s = self.daemon.clock.now() - start_s
                left_s = ask.deadline_s - waited_s
                if left_s <= 0.0:
                    message = f"no endpoint of {ask.model} was free in time"
                    raise errors.OverloadedError(message, retry_after_s=1.0)
                asked = self._where(ask, blocks)
                if asked is None:
                    message = f"no active endpoint serves {ask.model}"
                    raise errors.OverloadedError(message, retry_after_s=1.0)
                request = self._request(ask, number, asked[0], blocks)
                request.waited_s = waited_s
                request.wait_s = min(left_s, request.wait_s)
                grant = await self._send(asked[1], request)
                if grant is None:
                    await anyio.sleep(RETRY_PAUSE_S)
                elif grant.endpoint:
                    return self._keep(ask, number, asked[0], grant)
        except BaseException:
            if asked is not None:
                self._return_later(number, asked[0], "", _CANCELLED)
            raise

    def _keep(
        self, ask: Ask, number: str, group: str, grant: ttypes.TicketGrant
    ) -> Ticket:
        self.loads[group] = grant.load
        ticket = Ticket(grant.endpoint, number, ask, group, alone=grant.alone)
        self.held[number] = ticket
        if self.early.pop(number, None) is not None:
            ticket.revoked.set()
        return ticket

    async def release(self, ticket: Ticket, measured: Measured) -> None:
        """Gives a ticket back; never waits for the admitting VM."""
        if self.held.pop(ticket.id, None) is None:
            return
        self._return_later(ticket.id, ticket.group, ticket.endpoint, measured)

    def _request(
        self, ask: Ask, number: str, group: str, blocks: tuple[int, ...]
    ) -> ttypes.TicketAsk:
        online = ask.kind == admission.ONLINE
        return ttypes.TicketAsk(
            id=number,
            group=group,
            kind=ask.kind,
            organisation=ask.organisation,
            tokens=ask.tokens,
            words=len(ask.prompt.split()),
            blocks=list(blocks),
            holder=self.holder,
            wait_s=ONLINE_SLICE_S if online else BATCH_SLICE_S,
            waited_s=0.0,
            suspect=ask.suspect,
            avoid=sorted(ask.avoid),
        )

    def _where(
        self, ask: Ask, blocks: tuple[int, ...]
    ) -> tuple[str, vmlist.ListedVm] | None:
        """Returns the group to ask and the VM that admits for it."""
        found = admission_groups.of_model(
            self.source.current, ask.model, size=self.size
        )
        if not found:
            return None
        group = self._choose_group(sorted(found), ask, blocks)
        vm = self._admitter(group)
        return None if vm is None else (group, vm)

    def _choose_group(
        self, names: list[str], ask: Ask, blocks: tuple[int, ...]
    ) -> str:
        """Returns the less loaded of two groups.

        The two are chosen by the prompt's first block, so that prompts with a
        common prefix meet in the same group; a prompt without one and a batch
        item take any two. The last load that a group reported is a hint.
        """
        if len(names) == 1:
            return names[0]
        if blocks and ask.kind == admission.ONLINE:
            names = sorted(
                names,
                key=lambda n: xxhash.xxh3_64_intdigest(
                    f"{blocks[0]}/{n}".encode()
                ),
            )[:2]
        else:
            names = self.choice.sample(names, 2)
        return min(names, key=lambda n: self.loads.get(n, 0.0))

    def _admitter(self, group: str) -> vmlist.ListedVm | None:
        now = self.daemon.clock.now()
        excluded = [name for name, until in self.down.items() if until > now]
        return admission_groups.admitter(group, self.live(), excluded=excluded)

    async def _send(
        self, vm: vmlist.ListedVm, request: ttypes.TicketAsk
    ) -> ttypes.TicketGrant | None:
        """Asks one VM; returns nothing when another VM must be asked."""
        loaded = self.daemon.loaded
        try:
            if self.local is not None and vm.name == loaded.vm.name:
                return await self.local.ask(request)
            return await self.daemon.peers.call(
                f"{vm.address}:{loaded.entry_port}",
                "ticket_ask",
                request,
                ttypes.TicketGrant,
                timeout_s=request.wait_s + ANSWER_MARGIN_S,
            )
        except (errors.PeerError, errors.MovedError, errors.NotFoundError) as e:
            self.down[vm.name] = self.daemon.clock.now() + DOWN_S
            logs.event("admitter_left", vm=vm.name, cause=e.message)
            return None

    def _return_later(
        self, number: str, group: str, endpoint: str, measured: Measured
    ) -> None:
        message = ttypes.TicketReturn(
            group=group,
            id=number,
            endpoint=endpoint,
            outcome=measured.outcome,
            first_token_s=measured.first_token_s,
            token_gap_s=measured.token_gap_s,
            tokens=measured.tokens,
        )
        self.daemon.group.start_soon(self._return, message)

    async def _return(self, message: ttypes.TicketReturn) -> None:
        """Tells the admitting VM; if lost, its next comparison finds out."""
        loaded = self.daemon.loaded
        for _ in range(RETURN_TRIES):
            vm = self._admitter(message.group)
            if vm is None:
                return
            try:
                if self.local is not None and vm.name == loaded.vm.name:
                    await self.local.give_back(message)
                    return
                await self.daemon.peers.call(
                    f"{vm.address}:{loaded.entry_port}",
                    "ticket_return",
                    message,
                    timeout_s=ANSWER_MARGIN_S,
                )
                return
            except errors.IbisknotError:
                self.down[vm.name] = self.daemon.clock.now() + DOWN_S

    async def on_revoke(self, message: ttypes.TicketRevoke) -> None:
        """Peer method: an online request needs the ticket's place."""
        ticket = self.held.get(message.id)
        if ticket is not None:
            ticket.revoked.set()
            return
        now = self.daemon.clock.now()
        self.early[message.id] = now
        for number in [n for n, s in self.early.items() if s < now - EARLY_S]:
            del self.early[number]

    async def on_in_flight(
        self, message: ttypes.InFlightAsk
    ) -> ttypes.InFlightReport:
        """Peer method: tells a VM that admits what is in flight here."""
        found = [
            ttypes.InFlight(
                id=ticket.id,
                endpoint=ticket.endpoint,
                kind=ticket.ask.kind,
                organisation=ticket.ask.organisation,
                tokens=ticket.ask.tokens,
                suspect=ticket.ask.suspect,
            )
            for ticket in self.held.values()
            if ticket.group == message.group
        ]
        return ttypes.InFlightReport(tickets=found)


_CANCELLED = Measured(outcome=admission.CANCELLED)
