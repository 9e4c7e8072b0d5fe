"""The owner's part in rates: takes over shards, lends units, serves draws.

A shard changes its owner by a new epoch in the shard record. The new owner
collects a report from each holder in the record, and lends units only to
holders that have reported.
"""

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
"""Timeout of the call that collects one holder's report."""
COLLECT_RETRY_S = 0.3
REPORTS_WAIT_S = 0.1
"""Time for which a request waits for the holders' reports to a new owner."""
TAKE_OVER_PAUSE_S = 0.5
"""Time between two attempts of a VM to take over a shard.

It keeps two VMs with different views of the fleet from taking the shard from
each other all the time.
"""
RECOUNT_PERIOD_S = 10.0
"""Shortest time between two epochs that only recover lost units."""
CHECK_PERIOD_S = 1.0
"""Period of the check of the owned shards."""
HANDOVER_TIMEOUT_S = 1.0


class Owner:
    """The shards of rates that one VM owns.

    Attributes:
        runner: The VM's own use of the rates.
        key_value: The key-value service with the shard records.
        ledgers: Ledgers of the owned shards.
        all_reported: By shard, an event that is set when the collection of
            reports has ended.
        take_over_locks: By shard, a lock that allows one takeover at a time.
        take_over_attempted_s: By shard, the monotonic time of the last attempt
            to take it over.
        shards_to_recount: Owned shards of which a transfer may have been lost.
        recalls: State of the recalls, by organisation.
        holders_to_add: By shard, holders to be added to the shard record.
    """

    def __init__(
        self, runner: rates_runner.Runner, key_value: keyvalue.KeyValue
    ) -> None:
        self.runner = runner
        self.key_value = key_value
        self.ledgers: dict[int, rates.Ledger] = {}
        self.all_reported: dict[int, anyio.Event] = {}
        self.take_over_locks: dict[int, anyio.Lock] = {}
        self.take_over_attempted_s: dict[int, float] = {}
        self.shards_to_recount: set[int] = set()
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
        """Answers a holder's request for units and tokens.

        `RateAsk.lost` means that an earlier transfer may have been lost.

        Raises:
            NotFoundError: There is no such organisation.
            FencedError: This VM does not own the shard.
            KeyValueError: The shard could not be taken over.
        """
        shard = rates.shard_of(request.organisation)
        allowance = self.runner.allowance(request.organisation)
        if allowance is None:
            raise errors.NotFoundError(
                f"no organisation {request.organisation}"
            )
        local_grant = self._draw_from_own_share(shard, request, allowance)
        if local_grant is not None:
            return local_grant
        ledger = await self._ledger_or_take_over(shard, request.epoch)
        if request.lost:
            self.shards_to_recount.add(shard)
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
        """Serves a draw from this VM's share if it should not own the shard.

        Other VMs request tokens here while the owner is lost.
        """
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
        """Returns the ledger; takes over a shard that this VM should own.

        Raises:
            FencedError: This VM does not own the shard, or only in an epoch
                older than `epoch`.
        """
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
        """Returns the up-to-date pool of an organisation."""
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
        """Draws tokens and lends units for a request.

        A holder that is not in the shard record gets no units, but is added to
        the record.
        """
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
        """Adds a holder's return to the pool, unless its epoch is over."""
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
        """Adds units and tokens that a holder returns to the pool."""
        shard = rates.shard_of(message.organisation)
        ledger = self.ledgers.get(shard)
        allowance = self.runner.allowance(message.organisation)
        if ledger is None or ledger.epoch != message.epoch:
            raise errors.FencedError("not the owner in this epoch")
        if allowance is not None:
            self.accept_return(shard, ledger, message, allowance)

    async def _on_handover(self, message: ttypes.RateHandover) -> None:
        """Takes over a shard that its owner hands over."""
        if self.runner.is_draining:
            raise errors.FencedError("this VM is shutting down")
        await self.take_over(message.shard, is_handover=True)

    async def take_over(self, shard: int, *, is_handover: bool = False) -> None:
        """Takes a shard over by compare-and-swap, then collects the reports.

        Within `TAKE_OVER_PAUSE_S` of the last attempt nothing is done.

        Args:
            shard: Index of the shard.
            is_handover: Whether the present owner requested it, so that the
                pause after the last attempt does not apply.

        Raises:
            KeyValueError: The service did not answer.
        """
        lock = self.take_over_locks.setdefault(shard, anyio.Lock())
        async with lock:
            now = self.runner.clock.now()
            attempted_recently = (
                now - self.take_over_attempted_s.get(shard, -1e9)
                < TAKE_OVER_PAUSE_S
            )
            if attempted_recently and not is_handover:
                return
            self.take_over_attempted_s[shard] = now
            result = await ownership.take_over(
                self.key_value,
                rates.KIND,
                shard,
                vm=self.runner.vm,
                update_holders=self._with_own_holder,
            )
            if result is not None:
                self._start_epoch(shard, result[0])

    def _with_own_holder(self, holders: list[str]) -> list[str]:
        """Replaces earlier processes of this VM by the running one."""
        own_holder = self.runner.holder
        own_vm = rates.vm_of(own_holder)
        return [*(h for h in holders if rates.vm_of(h) != own_vm), own_holder]

    def _start_epoch(self, shard: int, record: ownership.ShardRecord) -> None:
        """Starts a ledger for a new epoch, unless a newer one is known."""
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
        self.shards_to_recount.discard(shard)
        self.all_reported[shard] = anyio.Event()
        logs.event(
            "shard_taken", kind=rates.KIND, shard=shard, epoch=record.epoch
        )
        background.start(
            self.runner.task_group, self._collect_reports, shard, ledger
        )

    async def _collect_reports(self, shard: int, ledger: rates.Ledger) -> None:
        """Requests reports until all holders have reported or were removed."""
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
        """Collects one holder's report; a refusal ends the ownership."""
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
        reported = {
            h.organisation: rates.Transfer(h.units, h.tokens)
            for h in answer.held
        }
        rates.record_report(ledger, holder, reported, now)

    async def _remove_departed(self, ledger: rates.Ledger) -> None:
        """Reads the VM list again and removes holders of VMs not on it."""
        try:
            await self.runner.vms.refresh()
        except errors.UnavailableError:
            return
        for holder in list(ledger.unreported):
            if rates.vm_of(holder) not in self.runner.vms.by_name:
                rates.remove_holder(ledger, holder, self.runner.clock.now())

    def _check_for_restart(
        self, shard: int, ledger: rates.Ledger, holder: str
    ) -> None:
        """Schedules a recount if the VM's earlier process was lent units."""
        vm = rates.vm_of(holder)
        for lent in ledger.lent_units.values():
            if any(rates.vm_of(h) == vm and lent[h] > 0 for h in lent):
                self.shards_to_recount.add(shard)

    def add_holder_soon(self, shard: int, holder: str) -> None:
        """Schedules a write that adds a holder to the shard record."""
        pending = self.holders_to_add.setdefault(shard, set())
        if not pending:
            background.start(self.runner.task_group, self._add_holders, shard)
        pending.add(holder)

    async def _add_holders(self, shard: int) -> None:
        """Adds all scheduled holders to the shard record in one write.

        A short wait before lets holders that arrive together share the write.
        """
        await anyio.sleep(0.01)
        ledger = self.ledgers.get(shard)
        new_holders = self.holders_to_add.get(shard, set())
        try:
            if ledger is not None:
                await self._write_holders(shard, ledger, set(new_holders))
        except errors.KeyValueError as error:
            logs.event(
                "rate_holders_not_added", level="warning", cause=error.message
            )
            await anyio.sleep(TAKE_OVER_PAUSE_S)
        finally:
            self.holders_to_add.pop(shard, None)

    async def _write_holders(
        self, shard: int, ledger: rates.Ledger, new_holders: set[str]
    ) -> None:
        """Writes the record, or drops the ledger if the epoch has changed."""
        record, revision = await ownership.read_record(
            self.key_value, rates.KIND, shard
        )
        if record is None or record.epoch != ledger.epoch:
            if self.ledgers.get(shard) is ledger:
                del self.ledgers[shard]
            return
        listed = {
            n for n in new_holders if rates.vm_of(n) in self.runner.vms.by_name
        }
        record.holders = sorted(ledger.holders | ledger.unreported | listed)
        record.operation = ownership.new_operation_id()
        new_revision = await ownership.replace_record(
            self.key_value, rates.KIND, shard, record, revision
        )
        if new_revision is not None:
            ledger.holders.update(listed)

    async def check_shards(self, now: float) -> None:
        """Timer callback: recovers units, hands shards over, lends ahead.

        Units of departed VMs and of lost transfers are recovered by a new
        epoch, in which all holders report again. A shard that another VM should
        own is handed over to it. The successor of the others is lent units.
        """
        for shard, ledger in list(self.ledgers.items()):
            recount_needed = shard in self.shards_to_recount
            since_attempt_s = now - self.take_over_attempted_s.get(shard, 0.0)
            has_departed = self._has_departed_holder(ledger)
            if has_departed or (
                recount_needed and since_attempt_s >= RECOUNT_PERIOD_S
            ):
                await self.take_over(shard)
            elif self.runner.preferred_owner(shard) != self.runner.vm:
                await self._hand_over(shard)
            elif not ledger.unreported:
                await rates_successor.lend_to_successor(self, shard, ledger)

    def _has_departed_holder(self, ledger: rates.Ledger) -> bool:
        """Returns whether a VM that is no longer listed was lent units."""
        if ledger.unreported:
            return False
        listed = self.runner.vms.by_name
        return any(
            units > 0 and rates.vm_of(holder) not in listed
            for lent in ledger.lent_units.values()
            for holder, units in lent.items()
        )

    async def hand_over_all(self) -> None:
        """Hands all owned shards over to their next owners, at shutdown."""
        async with anyio.create_task_group() as task_group:
            for shard in list(self.ledgers):
                task_group.start_soon(self._hand_over, shard)

    async def _hand_over(self, shard: int) -> None:
        """Requests the preferred owner of a shard to take it over."""
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
