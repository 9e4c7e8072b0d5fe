"""A VM's part in rates: admits requests and requests units and tokens.

In this module a request is one of a client, which needs a token, unless it is
named as one to the owner: such a request is for units, for the VM's share, and
for tokens, for the queued requests.
"""

from collections.abc import Callable
import dataclasses
import uuid

import anyio
from anyio import abc

from ibisknot import background
from ibisknot import errors
from ibisknot import keyvalue
from ibisknot import logs
from ibisknot import ownership
from ibisknot import peer
from ibisknot import rates
from ibisknot import rates_owner
from ibisknot import timer
from ibisknot import vmlist
from ibisknot.gen.rates import ttypes

DRAW_TIMEOUT_S = 0.5
"""Longest time for which a request waits for a token from other VMs."""
OWNER_CALL_TIMEOUT_S = 0.4
MAX_SHORTAGE_S = 0.05
"""Longest time for which requests are refused after the owner had no tokens.

Otherwise each request over the rate would cost a message to the owner.
"""
UNRESPONSIVE_AVOIDANCE_S = 1.0
"""Time for which a VM that did not answer is the last to be called."""
RETURN_PERIOD_S = 0.5
"""Period in which units that are no longer needed are returned."""
EMPTY_SHARE_RETENTION_S = 30.0
"""Time without requests after which a share without units is removed."""


@dataclasses.dataclass(slots=True)
class QueuedRequest:
    """A request that waits for a token.

    Attributes:
        granted: Whether it got one.
        done: Set when it got a token or was refused.
    """

    granted: bool = False
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)


@dataclasses.dataclass(slots=True)
class OrganisationState:
    """State of an organisation's requests to the owner.

    Attributes:
        queue: Requests that wait for a token.
        is_requesting: Whether a request to the owner is in progress.
        transfer_lost: Whether a transfer may have been lost since the last
            answer of the owner.
        short_until_s: Monotonic time until which requests are refused instead
            of queued, because the owner had no tokens.
        next_token_wait_s: Seconds until the owner's next token, as it stated.
    """

    queue: list[QueuedRequest] = dataclasses.field(default_factory=list)
    is_requesting: bool = False
    transfer_lost: bool = False
    short_until_s: float = 0.0
    next_token_wait_s: float = 0.0


class Runner:
    """Admits requests on one VM within the rates over the fleet.

    Attributes:
        vm: Name of this VM.
        holder: Name of this process as a holder, `vm/process`.
        vms: The VMs on the platform's list.
        active_vms: Returns the VMs that may own shards.
        port: Peer port of all VMs.
        allowance: Returns an organisation's allowance, None without one.
        is_draining: Whether this VM is shutting down.
        holdings: This VM's shares, by shard.
        organisation_states: State of the requests to owners, by organisation.
        last_owner: By shard, the VM that last acted as its owner.
        avoided_until_s: By VM, the monotonic time until which it is called
            last, because it did not answer.
        owner: This VM's part as the owner of shards.
    """

    def __init__(
        self,
        *,
        vm: str,
        task_group: abc.TaskGroup,
        key_value: keyvalue.KeyValue,
        peers: peer.Client,
        vms: vmlist.VmList,
        active_vms: Callable[[], list[vmlist.ListedVm]],
        port: int,
        clock: timer.Timer,
        allowance: Callable[[str], rates.Allowance | None],
    ) -> None:
        self.vm = vm
        self.holder = f"{vm}/{uuid.uuid4().hex[:8]}"
        self.task_group = task_group
        self.peers = peers
        self.vms = vms
        self.active_vms = active_vms
        self.port = port
        self.clock = clock
        self.allowance = allowance
        self.is_draining = False
        self.holdings: dict[int, rates.Holdings] = {}
        self.organisation_states: dict[str, OrganisationState] = {}
        self.last_owner: dict[int, str] = {}
        self.avoided_until_s: dict[str, float] = {}
        self.owner = rates_owner.Owner(self, key_value)

    def start(self, server: peer.Server) -> None:
        """Registers the handlers and the periodic work."""
        self.owner.start(server)
        server.on("rate_recall", ttypes.RateRecall, self._on_recall)
        server.on("rate_lend", ttypes.RateLend, self._on_lend)
        server.on("rate_collect", ttypes.RateCollect, self._on_collect)
        self.clock.subscribe("rates", RETURN_PERIOD_S, self.return_excess)

    def shard_holdings(self, shard: int) -> rates.Holdings:
        """Returns what this VM holds of a shard."""
        return self.holdings.setdefault(shard, rates.Holdings())

    def ranked_owners(self, shard: int) -> list[str]:
        """Returns the VM that should own a shard, then its successor."""
        names = [vm.name for vm in self.active_vms()]
        if self.is_draining and self.vm in names:
            names.remove(self.vm)
        return ownership.ranked_owners(rates.KIND, shard, names)

    def preferred_owner(self, shard: int) -> str | None:
        """Returns the VM that should own a shard."""
        return next(iter(self.ranked_owners(shard)), None)

    def peer_address(self, vm: str) -> str:
        """Returns a VM's peer address.

        Raises:
            PeerError: The VM is not listed.
        """
        listed = self.vms.by_name.get(vm)
        if listed is None:
            message = f"VM {vm} is not listed"
            raise errors.PeerError(message, ran=errors.NOT_RUN)
        return f"{listed.address}:{self.port}"

    def share(
        self, organisation: str, allowance: rates.Allowance
    ) -> rates.Share:
        """Returns this VM's share, which on the owner is the pool."""
        now = self.clock.now()
        shard = rates.shard_of(organisation)
        holdings = self.shard_holdings(shard)
        ledger = self.owner.ledgers.get(shard)
        if ledger is not None:
            return rates.refresh_pool(
                ledger, holdings, organisation, now, allowance
            )
        return rates.share_of(holdings, organisation, now)

    async def admit(self, organisation: str) -> None:
        """Consumes the token of one request, and waits for it if needed.

        Raises:
            RateLimitError: The organisation is over its rate and burst.
        """
        allowance = self.allowance(organisation)
        if allowance is None:
            return
        share = self.share(organisation, allowance)
        now = self.clock.now()
        rates.record_demand(share, now)
        state = self.organisation_states.setdefault(
            organisation, OrganisationState()
        )
        if not state.queue and rates.consume(share, now, allowance):
            if rates.missing_units(share, allowance):
                self._start_requesting(organisation, state)
            return
        if now >= state.short_until_s and await self._wait_for_token(
            organisation, state
        ):
            return
        raise errors.RateLimitError(
            f"organisation {organisation} is over its rate",
            retry_after_s=max(state.next_token_wait_s, 1.0 / allowance.rate),
        )

    async def _wait_for_token(
        self, organisation: str, state: OrganisationState
    ) -> bool:
        """Queues a request; returns whether it got a token in time."""
        queued = QueuedRequest()
        state.queue.append(queued)
        self._start_requesting(organisation, state)
        with anyio.move_on_after(DRAW_TIMEOUT_S):
            await queued.done.wait()
        if queued in state.queue:
            state.queue.remove(queued)
        return queued.granted

    def _start_requesting(
        self, organisation: str, state: OrganisationState
    ) -> None:
        """Starts to request from the owner unless that is in progress."""
        if not state.is_requesting:
            state.is_requesting = True
            background.start(
                self.task_group, self._request_until_empty, organisation, state
            )

    async def _request_until_empty(
        self, organisation: str, state: OrganisationState
    ) -> None:
        """Requests from the owner until no request is queued."""
        try:
            while await self._request_once(organisation, state):
                pass
        except errors.IbisknotError as error:
            logs.event(
                "rate_ask_failed",
                level="warning",
                organisation=organisation,
                cause=error.message,
            )
        finally:
            state.is_requesting = False
            _refuse(state.queue)
            state.queue.clear()

    async def _request_once(
        self, organisation: str, state: OrganisationState
    ) -> bool:
        """Calls the owner once; returns whether requests are still queued."""
        allowance = self.allowance(organisation)
        if allowance is None:
            return False
        queued_requests = list(state.queue)
        grant = await self._call_owner(
            organisation, state, len(queued_requests), allowance
        )
        now = self.clock.now()
        share = self.share(organisation, allowance)
        drawn = 0
        holdings = self.shard_holdings(rates.shard_of(organisation))
        if rates.accept_epoch(holdings, grant.epoch):
            transfer = rates.Transfer(grant.units, grant.tokens)
            rates.add_to_share(share, transfer, now, allowance)
            drawn = grant.drawn // rates.ONE_TOKEN
        unserved = []
        for queued in queued_requests:
            if queued not in state.queue:
                continue
            if drawn > 0:
                drawn -= 1
            elif not rates.consume(share, now, allowance):
                unserved.append(queued)
                continue
            queued.granted = True
            state.queue.remove(queued)
            queued.done.set()
        if unserved:
            state.next_token_wait_s = grant.wait_s
            pause_s = min(grant.wait_s, MAX_SHORTAGE_S)
            state.short_until_s = now + pause_s
            for queued in unserved:
                state.queue.remove(queued)
            _refuse(unserved)
        return bool(state.queue)

    async def _call_owner(
        self,
        organisation: str,
        state: OrganisationState,
        token_count: int,
        allowance: rates.Allowance,
    ) -> ttypes.RateGrant:
        """Requests units and tokens from the VMs that may own the shard.

        Raises:
            IbisknotError: No VM granted the request.
        """
        shard = rates.shard_of(organisation)
        share = self.share(organisation, allowance)
        request = ttypes.RateAsk(
            organisation=organisation,
            epoch=self.shard_holdings(shard).epoch,
            holder=self.holder,
            units=rates.missing_units(share, allowance),
            tokens=token_count * rates.ONE_TOKEN,
            lost=state.transfer_lost,
        )
        failure: errors.IbisknotError | None = None
        for name in self._owner_candidates(shard):
            try:
                if name == self.vm:
                    return await self.owner.on_request(request)
                grant = await self.peers.call(
                    self.peer_address(name),
                    "rate_ask",
                    request,
                    ttypes.RateGrant,
                    timeout_s=OWNER_CALL_TIMEOUT_S,
                )
            except errors.IbisknotError as error:
                failure = error
                may_be_lost = isinstance(error, errors.PeerError)
                may_be_lost = may_be_lost and error.ran != errors.NOT_RUN
                state.transfer_lost = state.transfer_lost or may_be_lost
                self.last_owner.pop(shard, None)
                if isinstance(error, errors.PeerError):
                    self.avoided_until_s[name] = (
                        self.clock.now() + UNRESPONSIVE_AVOIDANCE_S
                    )
            else:
                self.last_owner[shard] = name
                state.transfer_lost = False
                return grant
        raise failure or errors.UnavailableError("no VM owns the rates")

    def _owner_candidates(self, shard: int) -> list[str]:
        """Returns the VMs to call, recently unresponsive ones last."""
        names = self.ranked_owners(shard)
        if shard in self.last_owner:
            names.insert(0, self.last_owner[shard])
        if shard in self.owner.ledgers:
            names.insert(0, self.vm)
        now = self.clock.now()
        names.sort(key=lambda name: self.avoided_until_s.get(name, 0.0) > now)
        return list(dict.fromkeys(names))

    async def _on_lend(self, message: ttypes.RateLend) -> None:
        """Adds units that the owner lends to its successor."""
        shard = rates.shard_of(message.organisation)
        holdings = self.shard_holdings(shard)
        allowance = self.allowance(message.organisation)
        is_misdirected = message.holder != self.holder or allowance is None
        if is_misdirected or shard in self.owner.ledgers:
            raise errors.FencedError("the units are not for this process")
        if not rates.accept_epoch(holdings, message.epoch):
            raise errors.FencedError("the units have an old epoch")
        assert allowance is not None
        share = self.share(message.organisation, allowance)
        transfer = rates.Transfer(message.units, message.tokens)
        rates.add_to_share(share, transfer, self.clock.now(), allowance)

    async def _on_recall(self, request: ttypes.RateRecall) -> ttypes.RateReturn:
        """Returns recalled tokens to the owner."""
        shard = rates.shard_of(request.organisation)
        holdings = self.shard_holdings(shard)
        allowance = self.allowance(request.organisation)
        transfer = rates.Transfer()
        if not rates.accept_epoch(holdings, request.epoch):
            raise errors.FencedError("the recall has an old epoch")
        if allowance is not None and shard not in self.owner.ledgers:
            share = self.share(request.organisation, allowance)
            now = self.clock.now()
            transfer = rates.remove_recalled(
                share, request.tokens, now, allowance
            )
        return ttypes.RateReturn(
            organisation=request.organisation,
            epoch=request.epoch,
            holder=self.holder,
            units=transfer.units,
            tokens=transfer.tokens,
        )

    async def _on_collect(
        self, request: ttypes.RateCollect
    ) -> ttypes.RateReport:
        """Reports this VM's units to a new owner, and ends its ownership."""
        holdings = self.shard_holdings(request.shard)
        ledger = self.owner.ledgers.get(request.shard)
        now = self.clock.now()
        for name, share in holdings.shares.items():
            allowance = self.allowance(name)
            if allowance is not None:
                rates.refill(share, now, allowance)
        reported = rates.report_shares(
            holdings, request.epoch, was_owner=ledger is not None
        )
        if reported is None:
            raise errors.FencedError("the owner has an old epoch")
        self.owner.ledgers.pop(request.shard, None)
        self.last_owner[request.shard] = request.owner
        return ttypes.RateReport(
            holder=self.holder,
            epoch=request.epoch,
            held=[
                ttypes.RateHeld(organisation=n, units=t.units, tokens=t.tokens)
                for n, t in reported.items()
            ],
        )

    async def return_excess(self, now: float) -> None:
        """Timer callback: returns units that this VM no longer needs."""
        for shard, holdings in list(self.holdings.items()):
            if shard in self.owner.ledgers:
                continue
            for name, share in list(holdings.shares.items()):
                allowance = self.allowance(name)
                unused_s = now - share.last_request_s
                if share.units == 0 and unused_s >= EMPTY_SHARE_RETENTION_S:
                    del holdings.shares[name]
                    self.organisation_states.pop(name, None)
                elif allowance is not None and share.units:
                    is_successor = self.vm in self.ranked_owners(shard)
                    units = rates.excess_units(
                        share, now, allowance, is_successor=is_successor
                    )
                    await self._return_units(name, share, units, allowance)

    async def _return_units(
        self,
        organisation: str,
        share: rates.Share,
        units: int,
        allowance: rates.Allowance,
    ) -> None:
        """Returns units to the owner; restores them here if it refuses."""
        if units <= 0:
            return
        shard = rates.shard_of(organisation)
        holdings = self.shard_holdings(shard)
        owner = self.last_owner.get(shard) or self.preferred_owner(shard)
        if owner is None or owner == self.vm:
            return
        now = self.clock.now()
        tokens = share.level * units // share.units
        transfer = rates.remove_from_share(share, units, tokens, now, allowance)
        message = ttypes.RateReturn(
            organisation=organisation,
            epoch=holdings.epoch,
            holder=self.holder,
            units=transfer.units,
            tokens=transfer.tokens,
        )
        try:
            await self.peers.call(
                self.peer_address(owner), "rate_return", message
            )
        except errors.IbisknotError as error:
            is_refused = not isinstance(error, errors.PeerError)
            if is_refused or error.ran == errors.NOT_RUN:
                self._restore(
                    share, transfer, holdings, message.epoch, allowance
                )
            else:
                self.organisation_states.setdefault(
                    organisation, OrganisationState()
                ).transfer_lost = True

    def _restore(
        self,
        share: rates.Share,
        transfer: rates.Transfer,
        holdings: rates.Holdings,
        epoch: int,
        allowance: rates.Allowance,
    ) -> None:
        """Adds a refused return to the share it was taken from."""
        # After a report to a newer owner the units are part of its pool.
        if holdings.epoch == epoch:
            rates.add_to_share(share, transfer, self.clock.now(), allowance)

    async def release_all(self) -> None:
        """Hands over owned shards and returns all units, at shutdown."""
        self.is_draining = True
        await self.owner.hand_over_all()
        for holdings in list(self.holdings.values()):
            for name, share in list(holdings.shares.items()):
                allowance = self.allowance(name)
                if allowance is not None:
                    await self._return_units(
                        name, share, share.units, allowance
                    )


def _refuse(queued_requests: list[QueuedRequest]) -> None:
    """Ends the wait of requests without a token."""
    for queued in queued_requests:
        queued.done.set()
