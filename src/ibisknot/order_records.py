"""Records of orders and of models' versions in the key-value service.

Only the owner of the orders shard writes them.
"""

import dataclasses

import anyio
import msgspec

from ibisknot import configuration
from ibisknot import errors
from ibisknot import keyvalue
from ibisknot import logs
from ibisknot import orders

ORDER_KEY_PREFIX = "/ibisknot/orders/"
MODEL_KEY_PREFIX = "/ibisknot/order-models/"


class LostShardError(errors.FencedError):
    """Another owner has written the shard's record or an order's record."""

    code = "lost_shard"


@dataclasses.dataclass(slots=True)
class OrderStatus:
    """The newest order of an endpoint, or a stopped version, for status.

    Attributes:
        endpoint: Endpoint name; empty for a stopped version.
        model: Model name; empty for a role.
        wanted: Version, adapter or role that the order leads to.
        state: `ordered`, `done`, `failed`, `on trial` or `stopped`.
        reason: Why the order failed or the version is stopped.
    """

    endpoint: str
    model: str
    wanted: str
    state: str
    reason: str


class OrderRecords:
    """The records at the owner of the orders shard.

    Attributes:
        guard: The shard's record and its revision; a write fails if another
            owner has changed it.
        engines: State of each engine with its record, by endpoint name.
        models: Records of the models' versions, by model.
        model_revisions: Revisions of the models' records, by model.
    """

    def __init__(self, key_value: keyvalue.KeyValue) -> None:
        self.key_value = key_value
        self.guard = keyvalue.Guard("", 0)
        self.engines: dict[str, orders.EngineState] = {}
        self.models: dict[str, orders.ModelRecord] = {}
        self.model_revisions: dict[str, int] = {}

    async def read_all(self, guard: keyvalue.Guard) -> None:
        """Reads all records; called when this VM has acquired the shard.

        Raises:
            KeyValueError: The service did not answer.
        """
        self.guard = guard
        self.engines.clear()
        for pair in await self.key_value.list_prefix(ORDER_KEY_PREFIX):
            name = pair.key.removeprefix(ORDER_KEY_PREFIX)
            now = anyio.current_time()
            # A trial that a former owner started begins again now.
            self.engines[name] = orders.EngineState(
                record=msgspec.json.decode(pair.value, type=orders.OrderRecord),
                revision=pair.revision,
                trial_started_s=now,
                last_report_s=now,
            )
        self.models.clear()
        self.model_revisions.clear()
        for pair in await self.key_value.list_prefix(MODEL_KEY_PREFIX):
            name = pair.key.removeprefix(MODEL_KEY_PREFIX)
            self.models[name] = msgspec.json.decode(
                pair.value, type=orders.ModelRecord
            )
            self.model_revisions[name] = pair.revision

    async def _write_guarded(
        self, key: str, revision: int, value: bytes
    ) -> int:
        """Writes under the shard's guard and returns the new revision.

        Raises:
            LostShardError: The shard or the record has changed.
            KeyValueError: The service did not take the call, or the record
                could not be read back.
        """
        guards = [self.guard, keyvalue.Guard(key, revision)]
        try:
            is_committed = await self.key_value.transact(
                guards, [keyvalue.Put(key, value)]
            )
        except errors.KeyValueUnknownError:
            logs.event("write_answer_lost", level="warning", key=key)
            # The read below shows whether the write took effect.
            is_committed = True
        pair = await self.key_value.get(key)
        is_changed = pair is not None and pair.revision != revision
        if (
            not is_committed
            or not is_changed
            or pair is None
            or pair.value != value
        ):
            raise LostShardError(f"{key} was not written by this owner")
        return pair.revision

    async def write_order(
        self, name: str, engine: orders.EngineState, record: orders.OrderRecord
    ) -> None:
        """Writes the record of an endpoint's newest order.

        Raises:
            LostShardError: The shard or the record has changed.
            KeyValueError: The outcome is not known.
        """
        value = msgspec.json.encode(record)
        engine.revision = await self._write_guarded(
            ORDER_KEY_PREFIX + name, engine.revision, value
        )
        engine.record = record

    async def write_model(self, model: str, record: orders.ModelRecord) -> None:
        """Writes a model's record.

        Raises:
            LostShardError: The shard or the record has changed.
            KeyValueError: The outcome is not known.
        """
        value = msgspec.json.encode(record)
        revision = self.model_revisions.get(model, 0)
        self.model_revisions[model] = await self._write_guarded(
            MODEL_KEY_PREFIX + model, revision, value
        )
        self.models[model] = record


async def read_order_statuses(
    key_value: keyvalue.KeyValue, wanted: configuration.Configuration
) -> list[OrderStatus]:
    """Returns the orders of configured endpoints, stopped versions first.

    Raises:
        KeyValueError: The service did not answer.
    """
    statuses = []
    for pair in await key_value.list_prefix(MODEL_KEY_PREFIX):
        model = pair.key.removeprefix(MODEL_KEY_PREFIX)
        model_record = msgspec.json.decode(pair.value, type=orders.ModelRecord)
        for version, reason in model_record.stopped.items():
            statuses.append(OrderStatus("", model, version, "stopped", reason))
    for pair in await key_value.list_prefix(ORDER_KEY_PREFIX):
        name = pair.key.removeprefix(ORDER_KEY_PREFIX)
        record = msgspec.json.decode(pair.value, type=orders.OrderRecord)
        if name in wanted.endpoints:
            order = record.order
            state = "on trial" if record.trial is not None else record.state
            statuses.append(
                OrderStatus(
                    name, order.model, order.target(), state, record.reason
                )
            )
    return statuses
