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
from ibisknot import rates_recall
from ibisknot import rates_successor
from ibisknot.gen.rates import ttypes

if typing.TYPE_CHECKING:
    from ibisknot import rates_runner

COLLECT_TIMEOUT_S = 1.0
COLLECT_RETRY_S = 0.3
REPORTS_WAIT_S = 0.1
"""Time for which an ask waits for the holders' answers to a new owner."""
TAKE_OVER_PAUSE_S = 0.5
"""Pause between tries to take a shard, so that two views do not fight."""
RECOUNT_PERIOD_S = 10.0
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
        self.all_reported: dict[int, anyio.Event] = {}
        self.take_over_locks: dict[int, anyio.Lock] = {}
        self.take_over_tried_s: dict[int, float] = {}
        self.needs_recount: set[int] = set()
        self.recalls: dict[str, rates_recall.RecallState] = {}
        self.holders_to_add: dict[int, set[str]] = {}

    def start(self, server: peer.Server) -> None:
        """Registers the handlers and the periodic check."""
        server.on("rate_ask", ttypes.RateAsk, self.on_request)
        server.on("rate_return", ttypes.RateReturn, self._on_return)
        server.on("rate_handover", ttypes.RateHandover, self._on_handover)
        self.runner.clock.subscribe(
            "rates_owner", CHECK_PERIOD_S, self.check_shards
        )

    async def on_request(self, request: ttypes.RateAsk) -> ttypes.RateGrant:
        """Answers an ask for units and tokens.

        Raises:
            FencedError: This VM does not own the shard.
            KeyValueError: The shard could not be taken.
        """
        shard = rates.shard_of(request.organisation)
        allowance = self.runner.allowance(request.organisation)
        if allowance is None:
            raise errors.NotFoundError(
                f"no organisation {request.organisation}"
            )
        held = self._draw_from_own_share(shard, request, allowance)
        if held is not None:
            return held
        ledger = await self._ledger_or_take_over(shard, request.epoch)
        if request.lost:
            self.needs_recount.add(shard)
        if ledger.unreported:
            with anyio.move_on_after(REPORTS_WAIT_S):
                await self.all_reported[shard].wait()
        await rates_recall.recall_if_short(
            self, shard, ledger, request, allowance
        )
        if self.ledgers.get(shard) is not ledger:
            raise errors.FencedError("the shard has a new owner")
        return self._grant(shard, ledger, request, allowance)

    def _draw_from_own_share(
        self, shard: int, request: ttypes.RateAsk, allowance: rates.Allowance
    ) -> ttypes.RateGrant | None:
        """Serves a draw from this VM's own units while it is not the owner."""
        if shard in self.ledgers:
            return None
        if self.runner.preferred_owner(shard) == self.runner.vm:
            return None
        share = self.runner.share(request.organisation, allowance)
        now = self.runner.clock.now()
        drawn = rates.draw(share, request.tokens, now, allowance)
        if not drawn:
            return None
        return ttypes.RateGrant(
            epoch=self.runner.shard_holdings(shard).epoch,
            units=0,
            tokens=0,
            drawn=drawn,
            wait_s=rates.next_token_s(share, allowance),
        )

    async def _ledger_or_take_over(
        self, shard: int, epoch: int
    ) -> rates.Ledger:
        ledger = self.ledgers.get(shard)
        if (
            ledger is None
            and self.runner.preferred_owner(shard) == self.runner.vm
        ):
            await self.take_over(shard)
            ledger = self.ledgers.get(shard)
        if ledger is None or ledger.epoch < epoch:
            raise errors.FencedError(f"not the owner of rates shard {shard}")
        return ledger

    def refresh_pool(
        self,
        shard: int,
        ledger: rates.Ledger,
        organisation: str,
        allowance: rates.Allowance,
    ) -> rates.Share:
        """Returns the units and tokens that are not lent."""
        holdings = self.runner.shard_holdings(shard)
        now = self.runner.clock.now()
        return rates.refresh_pool(
            ledger, holdings, organisation, now, allowance
        )

    def _grant(
        self,
        shard: int,
        ledger: rates.Ledger,
        request: ttypes.RateAsk,
        allowance: rates.Allowance,
    ) -> ttypes.RateGrant:
        now = self.runner.clock.now()
        pool = self.refresh_pool(shard, ledger, request.organisation, allowance)
        drawn = rates.draw(pool, request.tokens, now, allowance)
        transfer = rates.Transfer()
        is_registered = request.holder in ledger.holders
        if not is_registered:
            self._check_for_restart(shard, ledger, request.holder)
            self.add_holder_soon(shard, request.holder)
        elif (
            request.holder != ledger.own_holder
            and request.holder not in ledger.unreported
        ):
            transfer = rates.lend(
                ledger,
                pool,
                request.organisation,
                request.holder,
                request.units,
                now,
                allowance,
            )
        return ttypes.RateGrant(
            epoch=ledger.epoch,
            units=transfer.units,
            tokens=transfer.tokens,
            drawn=drawn,
            wait_s=rates.next_token_s(pool, allowance),
        )

    def accept_return(
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
        pool = self.refresh_pool(shard, ledger, answer.organisation, allowance)
        rates.accept_return(
            ledger,
            pool,
            answer.organisation,
            answer.holder,
            rates.Transfer(answer.units, answer.tokens),
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
            self.accept_return(shard, ledger, message, allowance)

    async def _on_handover(self, message: ttypes.RateHandover) -> None:
        if self.runner.is_draining:
            raise errors.FencedError("this VM is shutting down")
        await self.take_over(message.shard, is_handover=True)

    async def take_over(self, shard: int, *, is_handover: bool = False) -> None:
        """Takes a shard by compare-and-swap and asks its holders.

        Raises:
            KeyValueError: The service did not answer.
        """
        lock = self.take_over_locks.setdefault(shard, anyio.Lock())
        async with lock:
            now = self.runner.clock.now()
            tried_recently = (
                now - self.take_over_tried_s.get(shard, -1e9)
                < TAKE_OVER_PAUSE_S
            )
            if tried_recently and not is_handover:
                return
            self.take_over_tried_s[shard] = now
            written = await ownership.take_over(
                self.store,
                rates.KIND,
                shard,
                vm=self.runner.vm,
                update_holders=self._with_own_holder,
            )
            if written is not None:
                self._start_epoch(shard, written[0])

    def _with_own_holder(self, holders: list[str]) -> list[str]:
        own_holder = self.runner.holder
        own_vm = rates.vm_of(own_holder)
        return [*(h for h in holders if rates.vm_of(h) != own_vm), own_holder]

    def _start_epoch(self, shard: int, record: ownership.ShardRecord) -> None:
        own_holder = self.runner.holder
        holders = set(record.holders)
        holdings = self.runner.shard_holdings(shard)
        if not rates.accept_epoch(holdings, record.epoch):
            return
        ledger = rates.Ledger(
            epoch=record.epoch,
            own_holder=own_holder,
            unreported=holders - {own_holder},
            holders=holders,
            all_reported_s=self.runner.clock.now(),
        )
        self.ledgers[shard] = ledger
        self.needs_recount.discard(shard)
        self.all_reported[shard] = anyio.Event()
        logs.event(
            "shard_taken", kind=rates.KIND, shard=shard, epoch=record.epoch
        )
        background.start(
            self.runner.task_group, self._collect_reports, shard, ledger
        )

    async def _collect_reports(self, shard: int, ledger: rates.Ledger) -> None:
        """Asks the holders until all have answered or are gone."""
        while ledger.unreported and self.ledgers.get(shard) is ledger:
            async with anyio.create_task_group() as task_group:
                for holder in list(ledger.unreported):
                    task_group.start_soon(
                        self._collect_report, shard, ledger, holder
                    )
            if ledger.unreported:
                await anyio.sleep(COLLECT_RETRY_S)
                await self._remove_departed(ledger)
        self.all_reported[shard].set()

    async def _collect_report(
        self, shard: int, ledger: rates.Ledger, holder: str
    ) -> None:
        try:
            answer = await self.runner.peers.call(
                self.runner.peer_address(rates.vm_of(holder)),
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
            rates.remove_holder(ledger, holder, now)
            return
        held = {
            h.organisation: rates.Transfer(h.units, h.tokens)
            for h in answer.held
        }
        rates.record_report(ledger, holder, held, now)

    async def _remove_departed(self, ledger: rates.Ledger) -> None:
        """Gives up holders that a list read after the take does not name."""
        try:
            await self.runner.vms.refresh()
        except errors.UnavailableError:
            return
        for holder in list(ledger.unreported):
            if rates.vm_of(holder) not in self.runner.vms.vms:
                rates.remove_holder(ledger, holder, self.runner.clock.now())

    def _check_for_restart(
        self, shard: int, ledger: rates.Ledger, holder_to_check: str
    ) -> None:
        """Lets the units of a VM's earlier process be recovered."""
        vm = rates.vm_of(holder_to_check)
        for lent in ledger.lent_units.values():
            if any(rates.vm_of(h) == vm and lent[h] > 0 for h in lent):
                self.needs_recount.add(shard)

    def add_holder_soon(self, shard: int, holder: str) -> None:
        """Adds a holder to the shard record, with others that wait."""
        waiting = self.holders_to_add.setdefault(shard, set())
        if not waiting:
            background.start(self.runner.task_group, self._add_holders, shard)
        waiting.add(holder)

    async def _add_holders(self, shard: int) -> None:
        """Adds the newcomers to the shard record, all in one write."""
        await anyio.sleep(0.01)
        ledger = self.ledgers.get(shard)
        names = self.holders_to_add.get(shard, set())
        try:
            if ledger is not None:
                await self._write_holders(shard, ledger, set(names))
        except errors.KeyValueError as error:
            logs.event(
                "rate_holders_not_added", level="warning", cause=error.message
            )
            await anyio.sleep(TAKE_OVER_PAUSE_S)
        finally:
            self.holders_to_add.pop(shard, None)

    async def _write_holders(
        self, shard: int, ledger: rates.Ledger, names: set[str]
    ) -> None:
        record, revision = await ownership.read_record(
            self.store, rates.KIND, shard
        )
        if record is None or record.epoch != ledger.epoch:
            if self.ledgers.get(shard) is ledger:
                del self.ledgers[shard]
            return
        listed = {n for n in names if rates.vm_of(n) in self.runner.vms.vms}
        record.holders = sorted(ledger.holders | ledger.unreported | listed)
        record.operation = ownership.new_operation_id()
        written = await ownership.replace_record(
            self.store, rates.KIND, shard, record, revision
        )
        if written is not None:
            ledger.holders.update(listed)

    async def check_shards(self, now: float) -> None:
        """Timer callback: recovers units of VMs that are gone, and lost ones.

        A new epoch asks all holders again, which finds what was lost.
        """
        for shard, ledger in list(self.ledgers.items()):
            recount_needed = shard in self.needs_recount
            since_s = now - self.take_over_tried_s.get(shard, 0.0)
            has_departed = self._has_departed_holder(ledger)
            if has_departed or (recount_needed and since_s >= RECOUNT_PERIOD_S):
                await self.take_over(shard)
            elif self.runner.preferred_owner(shard) != self.runner.vm:
                await self._hand_over(shard)
            elif not ledger.unreported:
                await rates_successor.lend_to_successor(self, shard, ledger)

    def _has_departed_holder(self, ledger: rates.Ledger) -> bool:
        if ledger.unreported:
            return False
        listed = self.runner.vms.vms
        return any(
            units > 0 and rates.vm_of(holder) not in listed
            for lent in ledger.lent_units.values()
            for holder, units in lent.items()
        )

    async def hand_over_all(self) -> None:
        """Lets the next owners take the owned shards, at shutdown."""
        async with anyio.create_task_group() as task_group:
            for shard in list(self.ledgers):
                task_group.start_soon(self._hand_over, shard)

    async def _hand_over(self, shard: int) -> None:
        name = self.runner.preferred_owner(shard)
        if name is None:
            return
        try:
            await self.runner.peers.call(
                self.runner.peer_address(name),
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
