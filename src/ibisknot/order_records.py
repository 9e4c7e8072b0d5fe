"""Records of orders and of models' versions in the key-value service."""

import dataclasses

import anyio
import msgspec

from ibisknot import configuration
from ibisknot import errors
from ibisknot import keyvalue
from ibisknot import logs
from ibisknot import orders

RECORDS = "/ibisknot/orders/"
MODELS = "/ibisknot/order-models/"


class LostShardError(errors.FencedError):
    """The shard, or a record, was written by another holder."""

    code = "lost_shard"


@dataclasses.dataclass(slots=True)
class Shown:
    """The state of one endpoint's order, for status."""

    endpoint: str
    model: str
    wanted: str
    state: str
    reason: str


class Book:
    """The records as the shard's holder has them.

    Attributes:
        guard: The shard's holder record, which each write compares.
        engines: What is known of each engine, with its record.
        models: What is known of each model's versions.
        revisions: Revisions of the models' records.
    """

    def __init__(self, store: keyvalue.KeyValue) -> None:
        self.store = store
        self.guard = keyvalue.Guard("", 0)
        self.engines: dict[str, orders.Engine] = {}
        self.models: dict[str, orders.ModelRecord] = {}
        self.revisions: dict[str, int] = {}

    async def load(self, guard: keyvalue.Guard) -> None:
        """Reads all records as a new holder.

        Raises:
            KeyValueError: The service did not answer.
        """
        self.guard = guard
        self.engines.clear()
        for pair in await self.store.list_prefix(RECORDS):
            name = pair.key.removeprefix(RECORDS)
            now = anyio.current_time()
            # A trial that a former holder began starts again from now.
            self.engines[name] = orders.Engine(
                record=msgspec.json.decode(pair.value, type=orders.Record),
                revision=pair.revision,
                trial_s=now,
                heard_s=now,
            )
        self.models.clear()
        self.revisions.clear()
        for pair in await self.store.list_prefix(MODELS):
            name = pair.key.removeprefix(MODELS)
            self.models[name] = msgspec.json.decode(
                pair.value, type=orders.ModelRecord
            )
            self.revisions[name] = pair.revision

    async def _write(self, key: str, revision: int, value: bytes) -> int:
        """Writes under the shard's guard and returns the new revision.

        Raises:
            LostShardError: The shard or the record has changed.
            KeyValueError: The service did not take the call, or what it did
                could not be read back.
        """
        guards = [self.guard, keyvalue.Guard(key, revision)]
        try:
            done = await self.store.transact(guards, [keyvalue.Put(key, value)])
        except errors.KeyValueUnknownError:
            logs.event("write_answer_lost", level="warning", key=key)
            done = True
        pair = await self.store.get(key)
        written = pair is not None and pair.revision != revision
        if not done or not written or pair is None or pair.value != value:
            raise LostShardError(f"{key} was not written by this holder")
        return pair.revision

    async def write_record(
        self, name: str, engine: orders.Engine, record: orders.Record
    ) -> None:
        """Writes an endpoint's record.

        Raises:
            LostShardError: The shard or the record has changed.
            KeyValueError: The outcome is not known.
        """
        value = msgspec.json.encode(record)
        engine.revision = await self._write(
            RECORDS + name, engine.revision, value
        )
        engine.record = record

    async def write_model(self, model: str, record: orders.ModelRecord) -> None:
        """Writes a model's record.

        Raises:
            LostShardError: The shard or the record has changed.
            KeyValueError: The outcome is not known.
        """
        value = msgspec.json.encode(record)
        revision = self.revisions.get(model, 0)
        self.revisions[model] = await self._write(
            MODELS + model, revision, value
        )
        self.models[model] = record


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
            state = "on trial" if record.trial is not None else record.state
            found.append(
                Shown(name, order.model, order.target(), state, record.reason)
            )
    return found
