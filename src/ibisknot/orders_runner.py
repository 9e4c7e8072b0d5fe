"""Sends orders to engines while this VM owns the orders shard."""

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
"""Seconds between calls of `Runner.tick`."""

ReadReport = Callable[[str], Awaitable[orders.EngineReport | None]]
"""Reads the report of the engine at a URL; None if it does not answer."""
SendOrder = Callable[[str, orders.Order, int], Awaitable[str]]
"""Sends an order with a fencing number to the engine at a URL.

Returns an empty text, or why the engine refused. Raises FencedError if the
engine has seen a higher fencing number, and EndpointError if it did not answer.
"""


class Runner:
    """Acquires the orders shard on its preferred owner, and sends orders.

    All times are monotonic.

    Attributes:
        source: The configuration in force.
        active_vms: Returns the names of the active VMs.
        order_settings: Settings of the orders.
        lease: The lease under which this VM owns the shard.
        epoch: The owner's epoch, sent as the fencing number; 0 while this VM
            does not own the shard.
        records: The records of the orders and of the models.
        next_renewal_s: Time of the next renewal of the lease.
        last_poll_s: Time of the last read of each engine's report, by endpoint
            name.
        refusals: Records of orders that engines refused since the last tick,
            with the reasons, by endpoint name.
        load_pace: Limits how often loads start.
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
        """Returns whether this VM owns the shard and may send orders now."""
        now = anyio.current_time()
        return self.epoch > 0 and lease_module.is_valid(self.lease, now)

    async def tick(self, _now: float) -> None:
        """Timer callback: maintains the ownership and processes all engines.

        A VM that is no longer the preferred owner releases the shard.

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
        """Renews the lease when it is due, or tries to acquire the shard."""
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
        """Acquires the shard if it has no owner, and reads its records."""
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
        try:
            await self.records.read_all(guard)
        except errors.KeyValueError:
            # Without its records nobody could send the shard's orders.
            lease_module.record_loss(self.lease)
            await self.key_value.revoke(lease_id)
            raise
        self.epoch = epoch
        self.next_renewal_s = requested_s + self.order_settings.lease_s / 3
        logs.event(
            "shard_taken", kind=SHARD_KIND, shard=SHARD_INDEX, epoch=epoch
        )

    def _record_loss(self) -> None:
        """Ends the ownership on this VM; the lease may still be valid."""
        logs.event(
            "shard_lost", level="warning", kind=SHARD_KIND, epoch=self.epoch
        )
        lease_module.record_loss(self.lease)
        self.epoch = 0

    async def release_shard(self) -> None:
        """Revokes the lease, so that the next owner need not wait for its end.

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
        """Reads the reports that are due; removes engines not configured."""
        configured_engines = self._configured_engines()
        for name in self.records.engines.keys() - configured_engines.keys():
            del self.records.engines[name]
        now = anyio.current_time()

        async def read(name: str, engine: orders.EngineState) -> None:
            requested_s = anyio.current_time()
            self.last_poll_s[name] = requested_s
            report = await self.read_report(configured_engines[name].url)
            if report is not None:
                engine.report = report
                engine.last_report_s = requested_s

        async with anyio.create_task_group() as task_group:
            for name in configured_engines:
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
        """Updates the models' records, then each engine's record and order."""
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
        """Records the outcome of a trial or an order, or sends it again."""
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
        """Sends a former owner's order again, or ends it if it is obsolete."""
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
        """Records the result of a load or a trial in the model's record."""
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
        """Records that an order is done or failed; starts a load's trial."""
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
        """Issues an engine's next order if the limits of loads allow it."""
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
        """Writes an order's record, then sends the order in the background."""
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
        """Sends an order; runs in a task, because a load can take long."""
        try:
            refusal = await self.send_order(url, record.order, epoch)
        except errors.FencedError:
            if self.epoch == epoch:
                self._record_loss()
            return
        except errors.EndpointError:
            # The engine's next reports show whether the order took effect.
            return
        if refusal:
            self.refusals[record.order.endpoint] = (record, refusal)
