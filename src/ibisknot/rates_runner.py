"""A VM's use of its rates: admits requests, asks for units and tokens."""

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
"""Longest wait of a request for tokens from other VMs."""
ASK_TIMEOUT_S = 0.4
LONGEST_SHORTAGE_S = 0.05
"""Time for which a VM believes the owner that there are no tokens.

Without it each request over the rate would cost a message to the owner.
"""
AVOID_S = 1.0
"""Time for which a VM that did not answer is asked last."""
RETURN_PERIOD_S = 0.5
FORGET_S = 30.0
"""Time after which an unused, empty share is dropped."""


@dataclasses.dataclass(slots=True)
class Waiter:
    """A request that waits for a token."""

    granted: bool = False
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)


@dataclasses.dataclass(slots=True)
class Asking:
    """An organisation's conversation with its owner.

    Attributes:
        waiters: Requests without a token.
        running: Whether an ask is in progress.
        lost: Whether a transfer may have been lost since the last ask.
        short_until_s: Monotonic time until when draws are not worthwhile.
        wait_s: What the owner last said about the next token.
    """

    waiters: list[Waiter] = dataclasses.field(default_factory=list)
    running: bool = False
    lost: bool = False
    short_until_s: float = 0.0
    wait_s: float = 0.0


class Runner:
    """Admits requests on one VM within the rates over the fleet."""

    def __init__(
        self,
        *,
        vm: str,
        group: abc.TaskGroup,
        store: keyvalue.KeyValue,
        peers: peer.Client,
        vms: vmlist.VmList,
        live: Callable[[], list[vmlist.ListedVm]],
        port: int,
        clock: timer.Timer,
        allowance: Callable[[str], rates.Allowance | None],
    ) -> None:
        self.vm = vm
        self.holder = f"{vm}/{uuid.uuid4().hex[:8]}"
        self.group = group
        self.peers = peers
        self.vms = vms
        self.live = live
        self.port = port
        self.clock = clock
        self.allowance = allowance
        self.leaving = False
        self.holdings: dict[int, rates.Holdings] = {}
        self.asking: dict[str, Asking] = {}
        self.last_owner: dict[int, str] = {}
        self.avoided_s: dict[str, float] = {}
        self.owner = rates_owner.Owner(self, store)

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

    def ranked(self, shard: int) -> list[str]:
        """Returns the VM that should own a shard, and the next in line."""
        names = [vm.name for vm in self.live()]
        if self.leaving and self.vm in names:
            names.remove(self.vm)
        return ownership.ranked(rates.KIND, shard, names)

    def preferred(self, shard: int) -> str | None:
        """Returns the VM that should own a shard."""
        return next(iter(self.ranked(shard)), None)

    def address(self, vm: str) -> str:
        """Returns a VM's peer address.

        Raises:
            PeerError: The VM is not listed.
        """
        listed = self.vms.vms.get(vm)
        if listed is None:
            message = f"VM {vm} is not listed"
            raise errors.PeerError(message, ran=errors.NOT_RUN)
        return f"{listed.address}:{self.port}"

    def share(
        self, organisation: str, allowance: rates.Allowance
    ) -> rates.Share:
        """Returns this VM's share; on the owner the pool."""
        now = self.clock.now()
        shard = rates.shard_of(organisation)
        holdings = self.shard_holdings(shard)
        ledger = self.owner.ledgers.get(shard)
        if ledger is not None:
            return rates.pool(ledger, holdings, organisation, now, allowance)
        return rates.share_of(holdings, organisation, now)

    async def admit(self, organisation: str) -> None:
        """Takes the token of one request.

        Raises:
            RateLimitError: The organisation is over its rate and burst.
        """
        allowance = self.allowance(organisation)
        if allowance is None:
            return
        share = self.share(organisation, allowance)
        now = self.clock.now()
        rates.note_demand(share, now)
        asking = self.asking.setdefault(organisation, Asking())
        if not asking.waiters and rates.spend(share, now, allowance):
            if rates.missing_units(share, allowance):
                self._ask_soon(organisation, asking)
            return
        if now >= asking.short_until_s and await self._wait(
            organisation, asking
        ):
            return
        raise errors.RateLimitError(
            f"organisation {organisation} is over its rate",
            retry_after_s=max(asking.wait_s, 1.0 / allowance.rate),
        )

    async def _wait(self, organisation: str, asking: Asking) -> bool:
        waiter = Waiter()
        asking.waiters.append(waiter)
        self._ask_soon(organisation, asking)
        with anyio.move_on_after(DRAW_TIMEOUT_S):
            await waiter.done.wait()
        if waiter in asking.waiters:
            asking.waiters.remove(waiter)
        return waiter.granted

    def _ask_soon(self, organisation: str, asking: Asking) -> None:
        if not asking.running:
            asking.running = True
            background.start(self.group, self._ask_loop, organisation, asking)

    async def _ask_loop(self, organisation: str, asking: Asking) -> None:
        try:
            while await self._ask_once(organisation, asking):
                pass
        except errors.IbisknotError as error:
            logs.event(
                "rate_ask_failed",
                level="warning",
                organisation=organisation,
                cause=error.message,
            )
        finally:
            asking.running = False
            _refuse(asking.waiters)
            asking.waiters.clear()

    async def _ask_once(self, organisation: str, asking: Asking) -> bool:
        """Asks the owner once; returns whether requests still wait."""
        allowance = self.allowance(organisation)
        if allowance is None:
            return False
        waiters = list(asking.waiters)
        grant = await self._ask(organisation, asking, len(waiters), allowance)
        now = self.clock.now()
        share = self.share(organisation, allowance)
        drawn = 0
        holdings = self.shard_holdings(rates.shard_of(organisation))
        if rates.accepts(holdings, grant.epoch):
            parcel = rates.Parcel(grant.units, grant.tokens)
            rates.add(share, parcel, now, allowance)
            drawn = grant.drawn // rates.TOKEN
        left = []
        for waiter in waiters:
            if waiter not in asking.waiters:
                continue
            if drawn > 0:
                drawn -= 1
            elif not rates.spend(share, now, allowance):
                left.append(waiter)
                continue
            waiter.granted = True
            asking.waiters.remove(waiter)
            waiter.done.set()
        if left:
            asking.wait_s = grant.wait_s
            pause_s = min(grant.wait_s, LONGEST_SHORTAGE_S)
            asking.short_until_s = now + pause_s
            for waiter in left:
                asking.waiters.remove(waiter)
            _refuse(left)
        return bool(asking.waiters)

    async def _ask(
        self,
        organisation: str,
        asking: Asking,
        count: int,
        allowance: rates.Allowance,
    ) -> ttypes.RateGrant:
        shard = rates.shard_of(organisation)
        share = self.share(organisation, allowance)
        ask = ttypes.RateAsk(
            organisation=organisation,
            epoch=self.shard_holdings(shard).epoch,
            holder=self.holder,
            units=rates.missing_units(share, allowance),
            tokens=count * rates.TOKEN,
            lost=asking.lost,
        )
        failure: errors.IbisknotError | None = None
        for name in self._owners(shard):
            try:
                if name == self.vm:
                    return await self.owner.on_ask(ask)
                grant = await self.peers.call(
                    self.address(name),
                    "rate_ask",
                    ask,
                    ttypes.RateGrant,
                    timeout_s=ASK_TIMEOUT_S,
                )
            except errors.IbisknotError as error:
                failure = error
                lost = isinstance(error, errors.PeerError)
                lost = lost and error.ran != errors.NOT_RUN
                asking.lost = asking.lost or lost
                self.last_owner.pop(shard, None)
                if isinstance(error, errors.PeerError):
                    self.avoided_s[name] = self.clock.now() + AVOID_S
            else:
                self.last_owner[shard] = name
                asking.lost = False
                return grant
        raise failure or errors.UnavailableError("no VM owns the rates")

    def _owners(self, shard: int) -> list[str]:
        """Returns the VMs to ask, those that did not answer of late last."""
        names = self.ranked(shard)
        if shard in self.last_owner:
            names.insert(0, self.last_owner[shard])
        if shard in self.owner.ledgers:
            names.insert(0, self.vm)
        now = self.clock.now()
        names.sort(key=lambda name: self.avoided_s.get(name, 0.0) > now)
        return list(dict.fromkeys(names))

    async def _on_lend(self, message: ttypes.RateLend) -> None:
        shard = rates.shard_of(message.organisation)
        holdings = self.shard_holdings(shard)
        allowance = self.allowance(message.organisation)
        refused = message.holder != self.holder or allowance is None
        if refused or shard in self.owner.ledgers:
            raise errors.FencedError("the units are not for this process")
        if not rates.accepts(holdings, message.epoch):
            raise errors.FencedError("the units have an old epoch")
        assert allowance is not None
        share = self.share(message.organisation, allowance)
        parcel = rates.Parcel(message.units, message.tokens)
        rates.add(share, parcel, self.clock.now(), allowance)

    async def _on_recall(self, ask: ttypes.RateRecall) -> ttypes.RateReturn:
        shard = rates.shard_of(ask.organisation)
        holdings = self.shard_holdings(shard)
        allowance = self.allowance(ask.organisation)
        parcel = rates.Parcel()
        if not rates.accepts(holdings, ask.epoch):
            raise errors.FencedError("the recall has an old epoch")
        if allowance is not None and shard not in self.owner.ledgers:
            share = self.share(ask.organisation, allowance)
            now = self.clock.now()
            parcel = rates.spare(share, ask.tokens, now, allowance)
        return ttypes.RateReturn(
            organisation=ask.organisation,
            epoch=ask.epoch,
            holder=self.holder,
            units=parcel.units,
            tokens=parcel.tokens,
        )

    async def _on_collect(self, ask: ttypes.RateCollect) -> ttypes.RateReport:
        holdings = self.shard_holdings(ask.shard)
        ledger = self.owner.ledgers.get(ask.shard)
        now = self.clock.now()
        for name, share in holdings.shares.items():
            allowance = self.allowance(name)
            if allowance is not None:
                rates.refill(share, now, allowance)
        held = rates.report(holdings, ask.epoch, owned=ledger is not None)
        if held is None:
            raise errors.FencedError("the owner has an old epoch")
        self.owner.ledgers.pop(ask.shard, None)
        self.last_owner[ask.shard] = ask.owner
        return ttypes.RateReport(
            holder=self.holder,
            epoch=ask.epoch,
            held=[
                ttypes.RateHeld(organisation=n, units=p.units, tokens=p.tokens)
                for n, p in held.items()
            ],
        )

    async def return_excess(self, now: float) -> None:
        """Timer callback: returns units that this VM no longer needs."""
        for shard, holdings in list(self.holdings.items()):
            if shard in self.owner.ledgers:
                continue
            for name, share in list(holdings.shares.items()):
                allowance = self.allowance(name)
                unused_s = now - share.used_s
                if share.units == 0 and unused_s >= FORGET_S:
                    del holdings.shares[name]
                    self.asking.pop(name, None)
                elif allowance is not None and share.units:
                    deputy = self.vm in self.ranked(shard)
                    units = rates.excess(share, now, allowance, deputy=deputy)
                    await self._return(name, share, units, allowance)

    async def _return(
        self,
        organisation: str,
        share: rates.Share,
        units: int,
        allowance: rates.Allowance,
    ) -> None:
        if units <= 0:
            return
        shard = rates.shard_of(organisation)
        holdings = self.shard_holdings(shard)
        name = self.last_owner.get(shard) or self.preferred(shard)
        if name is None or name == self.vm:
            return
        now = self.clock.now()
        tokens = share.level * units // share.units
        parcel = rates.remove(share, units, tokens, now, allowance)
        message = ttypes.RateReturn(
            organisation=organisation,
            epoch=holdings.epoch,
            holder=self.holder,
            units=parcel.units,
            tokens=parcel.tokens,
        )
        try:
            await self.peers.call(self.address(name), "rate_return", message)
        except errors.IbisknotError as error:
            known = not isinstance(error, errors.PeerError)
            if known or error.ran == errors.NOT_RUN:
                self._restore(share, parcel, holdings, message.epoch, allowance)
            else:
                self.asking.setdefault(organisation, Asking()).lost = True

    def _restore(
        self,
        share: rates.Share,
        parcel: rates.Parcel,
        holdings: rates.Holdings,
        epoch: int,
        allowance: rates.Allowance,
    ) -> None:
        # After an answer to a newer owner the units count as recovered.
        if holdings.epoch == epoch:
            rates.add(share, parcel, self.clock.now(), allowance)

    async def hand_back(self) -> None:
        """Returns all units and gives up owned shards, at shutdown."""
        self.leaving = True
        await self.owner.hand_over()
        for holdings in list(self.holdings.values()):
            for name, share in list(holdings.shares.items()):
                allowance = self.allowance(name)
                if allowance is not None:
                    await self._return(name, share, share.units, allowance)


def _refuse(waiters: list[Waiter]) -> None:
    for waiter in waiters:
        waiter.done.set()
