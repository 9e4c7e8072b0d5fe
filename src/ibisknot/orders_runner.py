"""Issues orders to engines while this VM holds the orders shard."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

import anyio
import msgspec

from ibisknot import configuration
from ibisknot import distribution
from ibisknot import errors
from ibisknot import keyvalue
from ibisknot import lease as lease_module
from ibisknot import logs
from ibisknot import orders
from ibisknot import ownership
from ibisknot import settings
from ibisknot import weights

KIND = "orders"
SHARD = 0
RECORDS = "/ibisknot/orders/"
MODELS = "/ibisknot/order-models/"
TICK_S = 0.5

ReportCall = Callable[[str], Awaitable[orders.Report | None]]
"""Reads the report of the engine with a URL, None without an answer."""
SendCall = Callable[[str, orders.Order, int], Awaitable[str]]
"""Sends an order with a fencing number to a URL.

Returns an empty text, or why the engine refused. Raises FencedError when the
engine has seen a higher number, and EndpointError when it did not answer.
"""


@dataclasses.dataclass(slots=True)
class Shown:
    """The state of one endpoint's order, for status."""

    endpoint: str
    model: str
    wanted: str
    state: str
    reason: str


class Runner:
    """Takes the orders shard when it is this VM's turn, and works it.

    Attributes:
        epoch: The fencing number while the shard is held, else 0.
        guard: Revision of the shard's holder record while it is held.
    """

    def __init__(
        self,
        source: distribution.Distribution,
        store: keyvalue.KeyValue,
        *,
        live: Callable[[], list[str]],
        limits: settings.Orders,
        report: ReportCall,
        send: SendCall,
    ) -> None:
        self.source = source
        self.store = store
        self.live = live
        self.limits = limits
        self.report = report
        self.send = send
        self.lease = lease_module.Lease(limits.lease_s)
        self.epoch = 0
        self.guard = 0
        self.renew_s = float("-inf")
        self.engines: dict[str, orders.Engine] = {}
        self.polled: dict[str, float] = {}
        self.models: dict[str, orders.ModelRecord] = {}
        self.revisions: dict[str, int] = {}
        self.pace = weights.Pace()

    def holds(self) -> bool:
        """Returns whether this VM may issue orders now."""
        now = anyio.current_time()
        return self.epoch > 0 and lease_module.holds(self.lease, now)

    async def tick(self, _now: float) -> None:
        """Timer callback: keeps the shard and works it.

        Raises:
            KeyValueError: The service did not answer.
        """
        me = self.source.me
        if ownership.preferred(KIND, SHARD, self.live()) != me:
            if self.epoch:
                await self.give_back()
            return
        await self._hold(me)
        if self.holds():
            await self._poll()
            await self._work()

    async def _hold(self, me: str) -> None:
        asked_s = anyio.current_time()
        if self.epoch and not lease_module.holds(self.lease, asked_s):
            self._drop()
        if self.epoch and asked_s >= self.renew_s:
            alive = await self.store.keep_alive(self.lease.number)
            lease_module.renewed(self.lease, asked_s, alive=alive)
            self.renew_s = asked_s + self.limits.lease_s / 3
        if not self.epoch:
            await self._take(me, asked_s)

    async def _take(self, me: str, asked_s: float) -> None:
        if await ownership.holder(self.store, KIND, SHARD) is not None:
            return
        number = await self.store.grant(self.limits.lease_s)
        epoch = await ownership.take(
            self.store, KIND, SHARD, vm=me, lease=number
        )
        if epoch is None:
            return
        pair = await self.store.get(ownership.shard_key(KIND, SHARD))
        if pair is None:
            return
        lease_module.granted(self.lease, number, asked_s)
        self.guard = pair.revision
        await self._load_records()
        self.epoch = epoch
        self.renew_s = asked_s + self.limits.lease_s / 3
        logs.event("shard_taken", kind=KIND, shard=SHARD, epoch=epoch)

    async def _load_records(self) -> None:
        self.engines.clear()
        self.polled.clear()
        for pair in await self.store.list_prefix(RECORDS):
            name = pair.key.removeprefix(RECORDS)
            record = msgspec.json.decode(pair.value, type=orders.Record)
            # A trial that a former holder began starts again from now.
            self.engines[name] = orders.Engine(
                record=record,
                revision=pair.revision,
                trial_s=anyio.current_time(),
                heard_s=anyio.current_time(),
            )
        self.models.clear()
        self.revisions.clear()
        for pair in await self.store.list_prefix(MODELS):
            name = pair.key.removeprefix(MODELS)
            self.models[name] = msgspec.json.decode(
                pair.value, type=orders.ModelRecord
            )
            self.revisions[name] = pair.revision

    def _drop(self) -> None:
        logs.event("shard_lost", level="warning", kind=KIND, epoch=self.epoch)
        lease_module.lost(self.lease)
        self.epoch = 0

    async def give_back(self) -> None:
        """Ends the lease, so that the next holder need not wait for it.

        Raises:
            KeyValueError: The service did not answer.
        """
        number = self.lease.number
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
        for name in self.engines.keys() - stated.keys():
            del self.engines[name]
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
                engine = self.engines.setdefault(name, orders.Engine())
                period_s = orders.poll_period_s(
                    engine, settled=self._settled(name, engine)
                )
                if now - self.polled.get(name, float("-inf")) >= period_s:
                    group.start_soon(read, name, engine)

    def _settled(self, name: str, engine: orders.Engine) -> bool:
        record = engine.record
        if record is not None and record.state in (
            orders.ORDERED,
            orders.TRIAL,
        ):
            return False
        return self._next(name, engine) is None

    def _next(self, name: str, engine: orders.Engine) -> orders.Order | None:
        if engine.report is None:
            return None
        return orders.next_order(
            self.source.current, name, engine.report, self.models
        )

    async def _work(self) -> None:
        for name in sorted(self._stated()):
            if not self.holds():
                return
            engine = self.engines[name]
            if engine.record is not None:
                await self._follow_up(name, engine)
            if engine.record is None or engine.record.state in (
                orders.DONE,
                orders.FAILED,
            ):
                await self._order_next(name, engine)

    async def _follow_up(self, name: str, engine: orders.Engine) -> None:
        record = engine.record
        assert record is not None
        state, reason = orders.judge(
            engine,
            anyio.current_time(),
            fencing=self.epoch,
            limits=self.limits,
        )
        if state == orders.RESEND:
            if self._may_order(name):
                await self._issue(name, engine, record.order)
        elif state not in (orders.WAITING, record.state):
            await self._settle(name, engine, state, reason)

    async def _settle(
        self, name: str, engine: orders.Engine, state: str, reason: str
    ) -> None:
        """Records what became of an order, and what it says of a version."""
        record = engine.record
        assert record is not None
        order = record.order
        if order.kind == orders.LOAD and state in (orders.DONE, orders.FAILED):
            known = self.models.get(order.model, orders.ModelRecord())
            changed = msgspec.convert(
                msgspec.to_builtins(known), orders.ModelRecord
            )
            if state == orders.DONE:
                changed.good = order.version
            else:
                why = f"{name}: {reason}"
                orders.count_failure(changed, order.version, why)
            if not await self._write_model(order.model, changed):
                return
        settled = msgspec.structs.replace(record, state=state, reason=reason)
        if not await self._write_record(name, engine, settled):
            return
        if state == orders.TRIAL:
            engine.trial_s = anyio.current_time()
        logs.event(
            "order_" + state,
            endpoint=name,
            kind=order.kind,
            model=order.model,
            version=order.version,
            reason=reason,
        )

    def _may_order(self, name: str) -> bool:
        return orders.may_order(
            anyio.current_time(),
            checks_fencing=self.source.current.endpoints[name].checks_fencing,
            since_s=self.lease.since_s,
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
                order, self.engines, self.models, at_once=at_once
            ):
                return
            weights.started(self.pace, now, self.limits)
        await self._issue(name, engine, order)

    async def _issue(
        self, name: str, engine: orders.Engine, order: orders.Order
    ) -> None:
        """Writes an order's record, then sends the order."""
        record = orders.Record(order, self.epoch)
        if not await self._write_record(name, engine, record):
            return
        if not self.holds():
            return
        engine.sent_s = anyio.current_time()
        logs.event(
            "order_sent",
            endpoint=name,
            kind=order.kind,
            model=order.model,
            version=order.version,
            fencing=self.epoch,
        )
        url = self.source.current.endpoints[name].url
        try:
            refusal = await self.send(url, order, self.epoch)
        except errors.FencedError:
            self._drop()
            return
        except errors.EndpointError:
            # Whether it took effect shows in the engine's next reports.
            return
        if refusal:
            await self._settle(name, engine, orders.FAILED, refusal)

    async def _write(self, key: str, revision: int, value: bytes) -> int:
        """Writes under the shard's guard; returns the revision, 0 if refused.

        Raises:
            KeyValueError: The service did not take the call, or what it did
                could not be read back.
        """
        shard = ownership.shard_key(KIND, SHARD)
        guards = [
            keyvalue.Guard(shard, self.guard),
            keyvalue.Guard(key, revision),
        ]
        try:
            await self.store.transact(guards, [keyvalue.Put(key, value)])
        except errors.KeyValueUnknownError:
            logs.event("write_answer_lost", level="warning", key=key)
        pair = await self.store.get(key)
        if pair is not None and pair.revision != revision:
            if pair.value == value:
                return pair.revision
        self._drop()
        return 0

    async def _write_record(
        self, name: str, engine: orders.Engine, record: orders.Record
    ) -> bool:
        revision = await self._write(
            RECORDS + name, engine.revision, msgspec.json.encode(record)
        )
        if revision:
            engine.record = record
            engine.revision = revision
        return revision > 0

    async def _write_model(
        self, model: str, record: orders.ModelRecord
    ) -> bool:
        revision = await self._write(
            MODELS + model,
            self.revisions.get(model, 0),
            msgspec.json.encode(record),
        )
        if revision:
            self.models[model] = record
            self.revisions[model] = revision
        return revision > 0


async def shown(
    store: keyvalue.KeyValue, wanted: configuration.Configuration
) -> list[Shown]:
    """Returns the orders for status, the stopped versions first.

    Raises:
        KeyValueError: The service did not answer.
    """
    found = []
    for pair in await store.list_prefix(MODELS):
        model = pair.key.removeprefix(MODELS)
        known = msgspec.json.decode(pair.value, type=orders.ModelRecord)
        for version, reason in known.stopped.items():
            found.append(Shown("", model, version, "stopped", reason))
    for pair in await store.list_prefix(RECORDS):
        name = pair.key.removeprefix(RECORDS)
        record = msgspec.json.decode(pair.value, type=orders.Record)
        if name in wanted.endpoints:
            order = record.order
            target = order.version or order.role
            found.append(
                Shown(name, order.model, target, record.state, record.reason)
            )
    return found
