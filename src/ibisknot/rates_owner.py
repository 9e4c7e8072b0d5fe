"""The owner's side of rates: takes shards, lends units, serves draws."""

from __future__ import annotations

import typing

import anyio

from ibisknot import background
from ibisknot import errors
from ibisknot import keyvalue
from ibisknot import logs
from ibisknot import ownership
from ibisknot import peer
from ibisknot import rates
from ibisknot import rates_deputy
from ibisknot import rates_recall
from ibisknot.gen.rates import ttypes

if typing.TYPE_CHECKING:
    from ibisknot import rates_runner

COLLECT_TIMEOUT_S = 1.0
COLLECT_RETRY_S = 0.3
COMPLETE_WAIT_S = 0.1
"""Time for which an ask waits for the holders' answers to a new owner."""
TAKE_PAUSE_S = 0.5
"""Pause between tries to take a shard, so that two views do not fight."""
REPAIR_PERIOD_S = 10.0
CHECK_PERIOD_S = 1.0
HANDOVER_TIMEOUT_S = 1.0


class Owner:
    """The shards that one VM owns.

    Attributes:
        ledgers: The owned shards.
    """

    def __init__(
        self, runner: rates_runner.Runner, store: keyvalue.KeyValue
    ) -> None:
        self.runner = runner
        self.store = store
        self.ledgers: dict[int, rates.Ledger] = {}
        self.complete: dict[int, anyio.Event] = {}
        self.locks: dict[int, anyio.Lock] = {}
        self.tried_s: dict[int, float] = {}
        self.damaged: set[int] = set()
        self.recalls: dict[str, rates_recall.Recalls] = {}
        self.newcomers: dict[int, set[str]] = {}

    def start(self, server: peer.Server) -> None:
        """Registers the handlers and the periodic check."""
        server.on("rate_ask", ttypes.RateAsk, self.on_ask)
        server.on("rate_return", ttypes.RateReturn, self._on_return)
        server.on("rate_handover", ttypes.RateHandover, self._on_handover)
        self.runner.clock.subscribe("rates_owner", CHECK_PERIOD_S, self.check)

    async def on_ask(self, ask: ttypes.RateAsk) -> ttypes.RateGrant:
        """Answers an ask for units and tokens.

        Raises:
            FencedError: This VM does not own the shard.
            KeyValueError: The shard could not be taken.
        """
        shard = rates.shard_of(ask.organisation)
        allowance = self.runner.allowance(ask.organisation)
        if allowance is None:
            raise errors.NotFoundError(f"no organisation {ask.organisation}")
        held = self._held_draw(shard, ask, allowance)
        if held is not None:
            return held
        ledger = await self._ledger(shard, ask.epoch)
        if ask.lost:
            self.damaged.add(shard)
        if ledger.waiting:
            with anyio.move_on_after(COMPLETE_WAIT_S):
                await self.complete[shard].wait()
        await rates_recall.if_short(self, shard, ledger, ask, allowance)
        if self.ledgers.get(shard) is not ledger:
            raise errors.FencedError("the shard has a new owner")
        return self._grant(shard, ledger, ask, allowance)

    def _held_draw(
        self, shard: int, ask: ttypes.RateAsk, allowance: rates.Allowance
    ) -> ttypes.RateGrant | None:
        """Serves a draw from this VM's own units while it is not the owner."""
        if shard in self.ledgers:
            return None
        if self.runner.preferred(shard) == self.runner.vm:
            return None
        share = self.runner.share(ask.organisation, allowance)
        now = self.runner.clock.now()
        drawn = rates.draw(share, ask.tokens, now, allowance)
        if not drawn:
            return None
        return ttypes.RateGrant(
            epoch=self.runner.shard_holdings(shard).epoch,
            units=0,
            tokens=0,
            drawn=drawn,
            wait_s=rates.next_token_s(share, allowance),
        )

    async def _ledger(self, shard: int, epoch: int) -> rates.Ledger:
        ledger = self.ledgers.get(shard)
        if ledger is None and self.runner.preferred(shard) == self.runner.vm:
            await self.take(shard)
            ledger = self.ledgers.get(shard)
        if ledger is None or ledger.epoch < epoch:
            raise errors.FencedError(f"not the owner of rates shard {shard}")
        return ledger

    def pool(
        self,
        shard: int,
        ledger: rates.Ledger,
        organisation: str,
        allowance: rates.Allowance,
    ) -> rates.Share:
        """Returns the units and tokens that are not lent."""
        holdings = self.runner.shard_holdings(shard)
        now = self.runner.clock.now()
        return rates.pool(ledger, holdings, organisation, now, allowance)

    def _grant(
        self,
        shard: int,
        ledger: rates.Ledger,
        ask: ttypes.RateAsk,
        allowance: rates.Allowance,
    ) -> ttypes.RateGrant:
        now = self.runner.clock.now()
        pool = self.pool(shard, ledger, ask.organisation, allowance)
        drawn = rates.draw(pool, ask.tokens, now, allowance)
        parcel = rates.Parcel()
        known = ask.holder in ledger.known
        if not known:
            self._note_restart(shard, ledger, ask.holder)
            self.add_soon(shard, ask.holder)
        elif ask.holder != ledger.owner and ask.holder not in ledger.waiting:
            parcel = rates.lend(
                ledger,
                pool,
                ask.organisation,
                ask.holder,
                ask.units,
                now,
                allowance,
            )
        return ttypes.RateGrant(
            epoch=ledger.epoch,
            units=parcel.units,
            tokens=parcel.tokens,
            drawn=drawn,
            wait_s=rates.next_token_s(pool, allowance),
        )

    def accept(
        self,
        shard: int,
        ledger: rates.Ledger,
        answer: ttypes.RateReturn,
        allowance: rates.Allowance,
    ) -> None:
        """Takes back what a holder sent, unless its epoch is over."""
        if self.ledgers.get(shard) is not ledger:
            return
        if answer.epoch != ledger.epoch:
            return
        pool = self.pool(shard, ledger, answer.organisation, allowance)
        rates.take_back(
            ledger,
            pool,
            answer.organisation,
            answer.holder,
            rates.Parcel(answer.units, answer.tokens),
            self.runner.clock.now(),
            allowance,
        )

    async def _on_return(self, message: ttypes.RateReturn) -> None:
        shard = rates.shard_of(message.organisation)
        ledger = self.ledgers.get(shard)
        allowance = self.runner.allowance(message.organisation)
        if ledger is None or ledger.epoch != message.epoch:
            raise errors.FencedError("not the owner under this epoch")
        if allowance is not None:
            self.accept(shard, ledger, message, allowance)

    async def _on_handover(self, message: ttypes.RateHandover) -> None:
        if self.runner.leaving:
            raise errors.FencedError("this VM is shutting down")
        await self.take(message.shard, handed=True)

    async def take(self, shard: int, *, handed: bool = False) -> None:
        """Takes a shard by compare-and-swap and asks its holders.

        Raises:
            KeyValueError: The service did not answer.
        """
        lock = self.locks.setdefault(shard, anyio.Lock())
        async with lock:
            now = self.runner.clock.now()
            recent = now - self.tried_s.get(shard, -1e9) < TAKE_PAUSE_S
            if recent and not handed:
                return
            self.tried_s[shard] = now
            taken = await ownership.take_over(
                self.store,
                rates.KIND,
                shard,
                vm=self.runner.vm,
                change=self._holders_with_me,
            )
            if taken is not None:
                self._begin(shard, taken[0])

    def _holders_with_me(self, holders: list[str]) -> list[str]:
        me = self.runner.holder
        mine = rates.vm_of(me)
        return [*(h for h in holders if rates.vm_of(h) != mine), me]

    def _begin(self, shard: int, record: ownership.Record) -> None:
        me = self.runner.holder
        holders = set(record.holders)
        holdings = self.runner.shard_holdings(shard)
        if not rates.accepts(holdings, record.epoch):
            return
        ledger = rates.Ledger(
            epoch=record.epoch,
            owner=me,
            waiting=holders - {me},
            known=holders,
            complete_s=self.runner.clock.now(),
        )
        self.ledgers[shard] = ledger
        self.damaged.discard(shard)
        self.complete[shard] = anyio.Event()
        logs.event(
            "shard_taken", kind=rates.KIND, shard=shard, epoch=record.epoch
        )
        background.start(self.runner.group, self._collect, shard, ledger)

    async def _collect(self, shard: int, ledger: rates.Ledger) -> None:
        """Asks the holders until all have answered or are gone."""
        while ledger.waiting and self.ledgers.get(shard) is ledger:
            async with anyio.create_task_group() as group:
                for holder in list(ledger.waiting):
                    group.start_soon(self._collect_one, shard, ledger, holder)
            if ledger.waiting:
                await anyio.sleep(COLLECT_RETRY_S)
                await self._forget_gone(ledger)
        self.complete[shard].set()

    async def _collect_one(
        self, shard: int, ledger: rates.Ledger, holder: str
    ) -> None:
        try:
            answer = await self.runner.peers.call(
                self.runner.address(rates.vm_of(holder)),
                "rate_collect",
                ttypes.RateCollect(
                    shard=shard, epoch=ledger.epoch, owner=self.runner.vm
                ),
                ttypes.RateReport,
                timeout_s=COLLECT_TIMEOUT_S,
            )
        except errors.FencedError:
            if self.ledgers.get(shard) is ledger:
                del self.ledgers[shard]
            return
        except errors.IbisknotError:
            return
        now = self.runner.clock.now()
        if answer.holder != holder:
            # The VM runs a new process, so the one that held units has ended.
            rates.forget_holder(ledger, holder, now)
            return
        held = {
            h.organisation: rates.Parcel(h.units, h.tokens) for h in answer.held
        }
        rates.record_report(ledger, holder, held, now)

    async def _forget_gone(self, ledger: rates.Ledger) -> None:
        """Gives up holders that a list read after the take does not name."""
        try:
            await self.runner.vms.refresh()
        except errors.UnavailableError:
            return
        for holder in list(ledger.waiting):
            if rates.vm_of(holder) not in self.runner.vms.vms:
                rates.forget_holder(ledger, holder, self.runner.clock.now())

    def _note_restart(
        self, shard: int, ledger: rates.Ledger, newcomer: str
    ) -> None:
        """Lets the units of a VM's earlier process be recovered."""
        vm = rates.vm_of(newcomer)
        for lent in ledger.lent.values():
            if any(rates.vm_of(h) == vm and lent[h] > 0 for h in lent):
                self.damaged.add(shard)

    def add_soon(self, shard: int, holder: str) -> None:
        """Adds a holder to the shard record, with others that wait."""
        waiting = self.newcomers.setdefault(shard, set())
        if not waiting:
            background.start(self.runner.group, self._add, shard)
        waiting.add(holder)

    async def _add(self, shard: int) -> None:
        """Adds the newcomers to the shard record, all in one write."""
        await anyio.sleep(0.01)
        ledger = self.ledgers.get(shard)
        names = self.newcomers.get(shard, set())
        try:
            if ledger is not None:
                await self._write_holders(shard, ledger, set(names))
        except errors.KeyValueError as error:
            logs.event(
                "rate_holders_not_added", level="warning", cause=error.message
            )
            await anyio.sleep(TAKE_PAUSE_S)
        finally:
            self.newcomers.pop(shard, None)

    async def _write_holders(
        self, shard: int, ledger: rates.Ledger, names: set[str]
    ) -> None:
        record, revision = await ownership.read(self.store, rates.KIND, shard)
        if record is None or record.epoch != ledger.epoch:
            if self.ledgers.get(shard) is ledger:
                del self.ledgers[shard]
            return
        listed = {n for n in names if rates.vm_of(n) in self.runner.vms.vms}
        record.holders = sorted(ledger.known | ledger.waiting | listed)
        record.operation = ownership.operation()
        written = await ownership.replace(
            self.store, rates.KIND, shard, record, revision
        )
        if written is not None:
            ledger.known.update(listed)

    async def check(self, now: float) -> None:
        """Timer callback: recovers units of VMs that are gone, and lost ones.

        A new epoch asks all holders again, which finds what was lost.
        """
        for shard, ledger in list(self.ledgers.items()):
            damaged = shard in self.damaged
            since_s = now - self.tried_s.get(shard, 0.0)
            gone = self._gone_lenders(ledger)
            if gone or (damaged and since_s >= REPAIR_PERIOD_S):
                await self.take(shard)
            elif self.runner.preferred(shard) != self.runner.vm:
                await self._hand_over(shard)
            elif not ledger.waiting:
                await rates_deputy.supply(self, shard, ledger)

    def _gone_lenders(self, ledger: rates.Ledger) -> bool:
        if ledger.waiting:
            return False
        listed = self.runner.vms.vms
        return any(
            units > 0 and rates.vm_of(holder) not in listed
            for lent in ledger.lent.values()
            for holder, units in lent.items()
        )

    async def hand_over(self) -> None:
        """Lets the next owners take the owned shards, at shutdown."""
        async with anyio.create_task_group() as group:
            for shard in list(self.ledgers):
                group.start_soon(self._hand_over, shard)

    async def _hand_over(self, shard: int) -> None:
        name = self.runner.preferred(shard)
        if name is None:
            return
        try:
            await self.runner.peers.call(
                self.runner.address(name),
                "rate_handover",
                ttypes.RateHandover(shard=shard),
                timeout_s=HANDOVER_TIMEOUT_S,
            )
        except errors.IbisknotError as error:
            logs.event(
                "rates_not_handed_over",
                level="warning",
                shard=shard,
                cause=error.message,
            )
