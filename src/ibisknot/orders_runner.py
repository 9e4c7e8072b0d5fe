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
from ibisknot import load_pacing
from ibisknot import logs
from ibisknot import order_records
from ibisknot import orders
from ibisknot import ownership
from ibisknot import settings

SHARD_KIND = "orders"
SHARD_INDEX = 0
TICK_PERIOD_S = 0.5

ReadReport = Callable[[str], Awaitable[orders.EngineReport | None]]
"""Reads the report of the engine with a URL, None without an answer."""
SendOrder = Callable[[str, orders.Order, int], Awaitable[str]]
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
        key_value: keyvalue.KeyValue,
        *,
        active_vms: Callable[[], list[str]],
        order_settings: settings.Orders,
        read_report: ReadReport,
        send_order: SendOrder,
        task_group: abc.TaskGroup,
    ) -> None:
        self.source = source
        self.key_value = key_value
        self.active_vms = active_vms
        self.order_settings = order_settings
        self.read_report = read_report
        self.send_order = send_order
        self.task_group = task_group
        self.lease = lease_module.Lease(order_settings.lease_s)
        self.epoch = 0
        self.records = order_records.OrderRecords(key_value)
        self.next_renewal_s = float("-inf")
        self.last_poll_s: dict[str, float] = {}
        self.refusals: dict[str, tuple[orders.OrderRecord, str]] = {}
        self.load_pace = load_pacing.LoadPace()

    def owns_shard(self) -> bool:
        """Returns whether this VM may issue orders now."""
        now = anyio.current_time()
        return self.epoch > 0 and lease_module.is_valid(self.lease, now)

    async def tick(self, _now: float) -> None:
        """Timer callback: keeps the shard and works it.

        Raises:
            KeyValueError: The service did not answer.
        """
        own_name = self.source.vm_name
        if (
            ownership.preferred_owner(
                SHARD_KIND, SHARD_INDEX, self.active_vms()
            )
            != own_name
        ):
            if self.epoch:
                await self.release_shard()
            return
        await self._maintain_ownership(own_name)
        if self.owns_shard():
            await self._poll_reports()
            try:
                await self._process_engines()
            except order_records.LostShardError:
                self._record_loss()

    async def _maintain_ownership(self, own_name: str) -> None:
        requested_s = anyio.current_time()
        if self.epoch and not lease_module.is_valid(self.lease, requested_s):
            self._record_loss()
        if self.epoch and requested_s >= self.next_renewal_s:
            alive = await self.key_value.keep_alive(self.lease.lease_id)
            lease_module.record_renewal(self.lease, requested_s, alive=alive)
            self.next_renewal_s = requested_s + self.order_settings.lease_s / 3
        if not self.epoch:
            await self._acquire_shard(own_name, requested_s)

    async def _acquire_shard(self, own_name: str, requested_s: float) -> None:
        if (
            await ownership.read_owner(self.key_value, SHARD_KIND, SHARD_INDEX)
            is not None
        ):
            return
        lease_id = await self.key_value.grant(self.order_settings.lease_s)
        epoch = await ownership.acquire(
            self.key_value,
            SHARD_KIND,
            SHARD_INDEX,
            vm=own_name,
            lease_id=lease_id,
        )
        if epoch is None:
            return
        pair = await self.key_value.get(
            ownership.shard_key(SHARD_KIND, SHARD_INDEX)
        )
        if pair is None:
            return
        lease_module.record_grant(self.lease, lease_id, requested_s)
        self.last_poll_s.clear()
        self.refusals.clear()
        guard = keyvalue.Guard(pair.key, pair.revision)
        await self.records.read_all(guard)
        self.epoch = epoch
        self.next_renewal_s = requested_s + self.order_settings.lease_s / 3
        logs.event(
            "shard_taken", kind=SHARD_KIND, shard=SHARD_INDEX, epoch=epoch
        )

    def _record_loss(self) -> None:
        logs.event(
            "shard_lost", level="warning", kind=SHARD_KIND, epoch=self.epoch
        )
        lease_module.record_loss(self.lease)
        self.epoch = 0

    async def release_shard(self) -> None:
        """Ends the lease, so that the next holder need not wait for it.

        Raises:
            KeyValueError: The service did not answer.
        """
        lease_id = self.lease.lease_id
        if self.epoch:
            self._record_loss()
            await self.key_value.revoke(lease_id)

    def _configured_engines(self) -> dict[str, configuration.Endpoint]:
        return {
            name: endpoint
            for name, endpoint in self.source.current.endpoints.items()
            if endpoint.kind == configuration.ENGINE
        }

    async def _poll_reports(self) -> None:
        """Reads the reports that are due."""
        configured = self._configured_engines()
        for name in self.records.engines.keys() - configured.keys():
            del self.records.engines[name]
        now = anyio.current_time()

        async def read(name: str, engine: orders.EngineState) -> None:
            requested_s = anyio.current_time()
            self.last_poll_s[name] = requested_s
            report = await self.read_report(configured[name].url)
            if report is not None:
                engine.report = report
                engine.last_report_s = requested_s

        async with anyio.create_task_group() as task_group:
            for name in configured:
                engine = self.records.engines.setdefault(
                    name, orders.EngineState()
                )
                period_s = orders.poll_period_s(
                    engine, is_settled=self._is_settled(name, engine)
                )
                if now - self.last_poll_s.get(name, float("-inf")) >= period_s:
                    task_group.start_soon(read, name, engine)

    def _is_settled(self, name: str, engine: orders.EngineState) -> bool:
        record = engine.record
        if record is not None and (
            record.state == orders.ORDERED or record.trial is not None
        ):
            return False
        return self._next_order(name, engine) is None

    def _next_order(
        self, name: str, engine: orders.EngineState
    ) -> orders.Order | None:
        if engine.report is None:
            return None
        return orders.next_order(
            self.source.current, name, engine.report, self.records.models
        )

    async def _process_engines(self) -> None:
        changed = orders.changed_model_records(
            self.source.current, self.records.engines, self.records.models
        )
        for model, record in changed.items():
            await self.records.write_model(model, record)
        for name in sorted(self._configured_engines()):
            if not self.owns_shard():
                return
            engine = self.records.engines[name]
            if engine.record is not None:
                await self._process_record(name, engine, engine.record)
            newest = engine.record
            if newest is None or newest.state != orders.ORDERED:
                await self._issue_next(name, engine)

    async def _process_record(
        self, name: str, engine: orders.EngineState, record: orders.OrderRecord
    ) -> None:
        now = anyio.current_time()
        refused_record, refusal = self.refusals.pop(name, (None, ""))
        if refused_record is record and record.state == orders.ORDERED:
            await self._end_order(name, engine, orders.FAILED, refusal)
            return
        if record.trial is not None:
            state, reason = orders.evaluate_trial(
                engine, now, order_settings=self.order_settings
            )
            if state != orders.PENDING:
                await self._end_trial(name, engine, record.trial, state, reason)
                return
        state, reason = orders.evaluate_order(
            engine, now, fencing=self.epoch, order_settings=self.order_settings
        )
        if state == orders.RESEND:
            await self._resend(name, engine, record)
        elif state not in (orders.PENDING, record.state):
            await self._end_order(name, engine, state, reason)

    async def _resend(
        self, name: str, engine: orders.EngineState, record: orders.OrderRecord
    ) -> None:
        """Takes over an order of a former holder."""
        if engine.report is None or not self._may_order(name):
            return
        if self._next_order(name, engine) == record.order:
            await self._issue(name, engine, record.order)
            return
        ended = msgspec.structs.replace(
            record, state=orders.FAILED, reason="no longer wanted"
        )
        await self.records.write_order(name, engine, ended)

    async def _end_trial(
        self,
        name: str,
        engine: orders.EngineState,
        order: orders.Order,
        state: str,
        reason: str,
    ) -> None:
        await self._record_version_result(name, order, state, reason)
        assert engine.record is not None
        ended = msgspec.structs.replace(engine.record, trial=None)
        await self.records.write_order(name, engine, ended)
        self._log_order("trial_" + state, order, reason=reason)

    async def _record_version_result(
        self, name: str, order: orders.Order, state: str, reason: str
    ) -> None:
        """Records what an engine's load says of a version."""
        previous = self.records.models.get(order.model, orders.ModelRecord())
        changed = orders.ModelRecord(
            previous.good, dict(previous.failures), dict(previous.stopped)
        )
        if state == orders.DONE:
            changed.good = order.version
        else:
            endpoint_reason = f"{name}: {reason}"
            orders.record_failure(changed, order.version, endpoint_reason)
        await self.records.write_model(order.model, changed)

    def _log_order(
        self, event: str, order: orders.Order, **fields: str
    ) -> None:
        logs.event(
            event,
            endpoint=order.endpoint,
            kind=order.kind,
            model=order.model,
            target=order.target(),
            fencing=self.epoch,
            **fields,
        )

    async def _end_order(
        self, name: str, engine: orders.EngineState, state: str, reason: str
    ) -> None:
        """Records what became of an order."""
        record = engine.record
        assert record is not None
        order = record.order
        is_load = order.kind == orders.LOAD
        if is_load and state == orders.FAILED:
            await self._record_version_result(name, order, state, reason)
        ended = msgspec.structs.replace(record, state=state, reason=reason)
        if is_load and state == orders.DONE:
            ended.trial = order
            engine.trial_started_s = anyio.current_time()
        await self.records.write_order(name, engine, ended)
        self._log_order("order_" + state, order, reason=reason)

    def _may_order(self, name: str) -> bool:
        return orders.may_order(
            anyio.current_time(),
            checks_fencing=self.source.current.endpoints[name].checks_fencing,
            lease_acquired_s=self.lease.acquired_s,
            order_settings=self.order_settings,
        )

    async def _issue_next(self, name: str, engine: orders.EngineState) -> None:
        order = self._next_order(name, engine)
        if order is None or not self._may_order(name):
            return
        now = anyio.current_time()
        if order.kind == orders.LOAD:
            max_concurrent_loads = load_pacing.max_concurrent_loads(
                self.order_settings
            )
            if not load_pacing.may_start(self.load_pace, now):
                return
            if not orders.may_load(
                order,
                self.records.engines,
                self.records.models,
                max_concurrent_loads=max_concurrent_loads,
            ):
                return
        await self._issue(name, engine, order)

    async def _issue(
        self, name: str, engine: orders.EngineState, order: orders.Order
    ) -> None:
        """Writes an order's record, then sends the order."""
        trial = engine.record.trial if engine.record is not None else None
        if order.kind == orders.LOAD:
            trial = None
            load_pacing.record_start(
                self.load_pace, anyio.current_time(), self.order_settings
            )
        record = orders.OrderRecord(order, self.epoch, trial=trial)
        await self.records.write_order(name, engine, record)
        if not self.owns_shard():
            return
        engine.order_sent_s = anyio.current_time()
        self._log_order("order_sent", order)
        url = self.source.current.endpoints[name].url
        self.task_group.start_soon(self._send, url, record, self.epoch)

    async def _send(
        self, url: str, record: orders.OrderRecord, epoch: int
    ) -> None:
        """Sends an order; a load can take long, so no tick waits for it."""
        try:
            refusal = await self.send_order(url, record.order, epoch)
        except errors.FencedError:
            if self.epoch == epoch:
                self._record_loss()
            return
        except errors.EndpointError:
            # Whether it took effect shows in the engine's next reports.
            return
        if refusal:
            self.refusals[record.order.endpoint] = (record, refusal)
