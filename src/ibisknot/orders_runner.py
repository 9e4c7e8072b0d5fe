"""Issues orders to engines while this VM holds the orders shard."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
from anyio import abc
import msgspec

from ibisknot import configuration
from ibisknot import distribution
from ibisknot import errors
from ibisknot import keyvalue
from ibisknot import lease as lease_module
from ibisknot import logs
from ibisknot import order_records
from ibisknot import orders
from ibisknot import ownership
from ibisknot import settings
from ibisknot import weights

KIND = "orders"
SHARD = 0
TICK_S = 0.5

ReportCall = Callable[[str], Awaitable[orders.Report | None]]
"""Reads the report of the engine with a URL, None without an answer."""
SendCall = Callable[[str, orders.Order, int], Awaitable[str]]
"""Sends an order with a fencing number to a URL.

Returns an empty text, or why the engine refused. Raises FencedError when the
engine has seen a higher number, and EndpointError when it did not answer.
"""


class Runner:
    """Takes the orders shard when it is this VM's turn, and works it.

    Attributes:
        epoch: The fencing number while the shard is held, else 0.
        book: The records of the orders and of the models.
        refused: Orders that engines refused since the last tick, and why.
    """

    def __init__(
        self,
        source: distribution.LocalConfiguration,
        store: keyvalue.KeyValue,
        *,
        live: Callable[[], list[str]],
        limits: settings.Orders,
        report: ReportCall,
        send: SendCall,
        group: abc.TaskGroup,
    ) -> None:
        self.source = source
        self.store = store
        self.live = live
        self.limits = limits
        self.report = report
        self.send = send
        self.group = group
        self.lease = lease_module.Lease(limits.lease_s)
        self.epoch = 0
        self.book = order_records.Book(store)
        self.renew_s = float("-inf")
        self.polled: dict[str, float] = {}
        self.refused: dict[str, tuple[orders.Record, str]] = {}
        self.pace = weights.Pace()

    def holds(self) -> bool:
        """Returns whether this VM may issue orders now."""
        now = anyio.current_time()
        return self.epoch > 0 and lease_module.is_valid(self.lease, now)

    async def tick(self, _now: float) -> None:
        """Timer callback: keeps the shard and works it.

        Raises:
            KeyValueError: The service did not answer.
        """
        me = self.source.vm_name
        if ownership.preferred_owner(KIND, SHARD, self.live()) != me:
            if self.epoch:
                await self.give_back()
            return
        await self._hold(me)
        if self.holds():
            await self._poll()
            try:
                await self._work()
            except order_records.LostShardError:
                self._drop()

    async def _hold(self, me: str) -> None:
        asked_s = anyio.current_time()
        if self.epoch and not lease_module.is_valid(self.lease, asked_s):
            self._drop()
        if self.epoch and asked_s >= self.renew_s:
            alive = await self.store.keep_alive(self.lease.lease_id)
            lease_module.record_renewal(self.lease, asked_s, alive=alive)
            self.renew_s = asked_s + self.limits.lease_s / 3
        if not self.epoch:
            await self._take(me, asked_s)

    async def _take(self, me: str, asked_s: float) -> None:
        if await ownership.read_owner(self.store, KIND, SHARD) is not None:
            return
        number = await self.store.grant(self.limits.lease_s)
        epoch = await ownership.acquire(
            self.store, KIND, SHARD, vm=me, lease_id=number
        )
        if epoch is None:
            return
        pair = await self.store.get(ownership.shard_key(KIND, SHARD))
        if pair is None:
            return
        lease_module.record_grant(self.lease, number, asked_s)
        self.polled.clear()
        self.refused.clear()
        guard = keyvalue.Guard(pair.key, pair.revision)
        await self.book.load(guard)
        self.epoch = epoch
        self.renew_s = asked_s + self.limits.lease_s / 3
        logs.event("shard_taken", kind=KIND, shard=SHARD, epoch=epoch)

    def _drop(self) -> None:
        logs.event("shard_lost", level="warning", kind=KIND, epoch=self.epoch)
        lease_module.record_loss(self.lease)
        self.epoch = 0

    async def give_back(self) -> None:
        """Ends the lease, so that the next holder need not wait for it.

        Raises:
            KeyValueError: The service did not answer.
        """
        number = self.lease.lease_id
        if self.epoch:
            self._drop()
            await self.store.revoke(number)

    def _stated(self) -> dict[str, configuration.Endpoint]:
        return {
            name: endpoint
            for name, endpoint in self.source.current.endpoints.items()
            if endpoint.kind == configuration.ENGINE
        }

    async def _poll(self) -> None:
        """Reads the reports that are due."""
        stated = self._stated()
        for name in self.book.engines.keys() - stated.keys():
            del self.book.engines[name]
        now = anyio.current_time()

        async def read(name: str, engine: orders.Engine) -> None:
            asked_s = anyio.current_time()
            self.polled[name] = asked_s
            found = await self.report(stated[name].url)
            if found is not None:
                engine.report = found
                engine.heard_s = asked_s

        async with anyio.create_task_group() as group:
            for name in stated:
                engine = self.book.engines.setdefault(name, orders.Engine())
                period_s = orders.poll_period_s(
                    engine, settled=self._settled(name, engine)
                )
                if now - self.polled.get(name, float("-inf")) >= period_s:
                    group.start_soon(read, name, engine)

    def _settled(self, name: str, engine: orders.Engine) -> bool:
        record = engine.record
        if record is not None and (
            record.state == orders.ORDERED or record.trial is not None
        ):
            return False
        return self._next(name, engine) is None

    def _next(self, name: str, engine: orders.Engine) -> orders.Order | None:
        if engine.report is None:
            return None
        return orders.next_order(
            self.source.current, name, engine.report, self.book.models
        )

    async def _work(self) -> None:
        stale = orders.settled_models(
            self.source.current, self.book.engines, self.book.models
        )
        for model, record in stale.items():
            await self.book.write_model(model, record)
        for name in sorted(self._stated()):
            if not self.holds():
                return
            engine = self.book.engines[name]
            if engine.record is not None:
                await self._follow_up(name, engine, engine.record)
            record_now = engine.record
            if record_now is None or record_now.state != orders.ORDERED:
                await self._order_next(name, engine)

    async def _follow_up(
        self, name: str, engine: orders.Engine, record: orders.Record
    ) -> None:
        now = anyio.current_time()
        refused, refusal = self.refused.pop(name, (None, ""))
        if refused is record and record.state == orders.ORDERED:
            await self._settle(name, engine, orders.FAILED, refusal)
            return
        if record.trial is not None:
            state, reason = orders.judge_trial(engine, now, limits=self.limits)
            if state != orders.WAITING:
                await self._end_trial(name, engine, record.trial, state, reason)
                return
        state, reason = orders.judge(
            engine, now, fencing=self.epoch, limits=self.limits
        )
        if state == orders.RESEND:
            await self._resend(name, engine, record)
        elif state not in (orders.WAITING, record.state):
            await self._settle(name, engine, state, reason)

    async def _resend(
        self, name: str, engine: orders.Engine, record: orders.Record
    ) -> None:
        """Takes over an order of a former holder."""
        if engine.report is None or not self._may_order(name):
            return
        if self._next(name, engine) == record.order:
            await self._issue(name, engine, record.order)
            return
        ended = msgspec.structs.replace(
            record, state=orders.FAILED, reason="no longer wanted"
        )
        await self.book.write_record(name, engine, ended)

    async def _end_trial(
        self,
        name: str,
        engine: orders.Engine,
        order: orders.Order,
        state: str,
        reason: str,
    ) -> None:
        await self._note_version(name, order, state, reason)
        assert engine.record is not None
        ended = msgspec.structs.replace(engine.record, trial=None)
        await self.book.write_record(name, engine, ended)
        self._log("trial_" + state, order, reason=reason)

    async def _note_version(
        self, name: str, order: orders.Order, state: str, reason: str
    ) -> None:
        """Records what an engine's load says of a version."""
        known = self.book.models.get(order.model, orders.ModelRecord())
        changed = orders.ModelRecord(
            known.good, dict(known.failures), dict(known.stopped)
        )
        if state == orders.DONE:
            changed.good = order.version
        else:
            why = f"{name}: {reason}"
            orders.count_failure(changed, order.version, why)
        await self.book.write_model(order.model, changed)

    def _log(self, event: str, order: orders.Order, **fields: str) -> None:
        logs.event(
            event,
            endpoint=order.endpoint,
            kind=order.kind,
            model=order.model,
            target=order.target(),
            fencing=self.epoch,
            **fields,
        )

    async def _settle(
        self, name: str, engine: orders.Engine, state: str, reason: str
    ) -> None:
        """Records what became of an order."""
        record = engine.record
        assert record is not None
        order = record.order
        loads = order.kind == orders.LOAD
        if loads and state == orders.FAILED:
            await self._note_version(name, order, state, reason)
        settled = msgspec.structs.replace(record, state=state, reason=reason)
        if loads and state == orders.DONE:
            settled.trial = order
            engine.trial_s = anyio.current_time()
        await self.book.write_record(name, engine, settled)
        self._log("order_" + state, order, reason=reason)

    def _may_order(self, name: str) -> bool:
        return orders.may_order(
            anyio.current_time(),
            checks_fencing=self.source.current.endpoints[name].checks_fencing,
            since_s=self.lease.acquired_s,
            limits=self.limits,
        )

    async def _order_next(self, name: str, engine: orders.Engine) -> None:
        order = self._next(name, engine)
        if order is None or not self._may_order(name):
            return
        now = anyio.current_time()
        if order.kind == orders.LOAD:
            at_once = weights.loads_at_once(self.limits)
            if not weights.may_start(self.pace, now):
                return
            if not orders.may_load(
                order, self.book.engines, self.book.models, at_once=at_once
            ):
                return
        await self._issue(name, engine, order)

    async def _issue(
        self, name: str, engine: orders.Engine, order: orders.Order
    ) -> None:
        """Writes an order's record, then sends the order."""
        trial = engine.record.trial if engine.record is not None else None
        if order.kind == orders.LOAD:
            trial = None
            weights.started(self.pace, anyio.current_time(), self.limits)
        record = orders.Record(order, self.epoch, trial=trial)
        await self.book.write_record(name, engine, record)
        if not self.holds():
            return
        engine.sent_s = anyio.current_time()
        self._log("order_sent", order)
        url = self.source.current.endpoints[name].url
        self.group.start_soon(self._deliver, url, record, self.epoch)

    async def _deliver(
        self, url: str, record: orders.Record, epoch: int
    ) -> None:
        """Sends an order; a load can take long, so no tick waits for it."""
        try:
            refusal = await self.send(url, record.order, epoch)
        except errors.FencedError:
            if self.epoch == epoch:
                self._drop()
            return
        except errors.EndpointError:
            # Whether it took effect shows in the engine's next reports.
            return
        if refusal:
            self.refused[record.order.endpoint] = (record, refusal)
