"""An in-memory key-value service with lost, late and refused answers."""

import dataclasses

import anyio

from ibisknot import errors
from ibisknot import keyvalue

OK = "ok"
REFUSED = "refused"
LOST_BEFORE = "lost_before"
LOST_AFTER = "lost_after"
LATE = "late"
FAULTS = (OK, REFUSED, LOST_BEFORE, LOST_AFTER, LATE)

Transaction = tuple[list[keyvalue.Guard], list[keyvalue.Put], list[str]]


@dataclasses.dataclass(slots=True)
class FakeKeyValue:
    """Takes the faults of its calls from a list, then has none.

    Attributes:
        faults: Fault of each next write.
        late: Writes whose answer was lost and that have yet to take effect.
        writes: Writes that took effect.
    """

    faults: list[str] = dataclasses.field(default_factory=list)
    pairs: dict[str, keyvalue.Pair] = dataclasses.field(default_factory=dict)
    late: list[Transaction] = dataclasses.field(default_factory=list)
    revision: int = 0
    writes: int = 0
    down: bool = False

    def apply(self, transaction: Transaction) -> bool:
        guards, puts, deletes = transaction
        for guard in guards:
            pair = self.pairs.get(guard.key)
            if (pair.revision if pair is not None else 0) != guard.revision:
                return False
        self.revision += 1
        self.writes += 1
        for put in puts:
            pair = keyvalue.Pair(put.key, put.value, self.revision)
            self.pairs[put.key] = pair
        for key in deletes:
            self.pairs.pop(key, None)
        return True

    def apply_late(self) -> None:
        """Lets the late writes take effect."""
        while self.late:
            self.apply(self.late.pop(0))

    async def transact(
        self,
        guards: list[keyvalue.Guard],
        puts: list[keyvalue.Put],
        *,
        deletes: list[str] | None = None,
    ) -> bool:
        await anyio.sleep(0)
        transaction = (guards, puts, list(deletes or []))
        fault = self.faults.pop(0) if self.faults else OK
        if self.down or fault == REFUSED:
            raise errors.KeyValueError("refused")
        if fault == LATE:
            self.late.append(transaction)
        elif fault != LOST_BEFORE:
            done = self.apply(transaction)
            if fault == OK:
                return done
        await anyio.sleep(0)
        raise errors.KeyValueUnknownError("the answer was lost")

    async def get(self, key: str) -> keyvalue.Pair | None:
        await anyio.sleep(0)
        if self.down:
            raise errors.KeyValueError("down")
        return self.pairs.get(key)

    async def list_prefix(self, prefix: str) -> list[keyvalue.Pair]:
        await anyio.sleep(0)
        if self.down:
            raise errors.KeyValueError("down")
        names = sorted(key for key in self.pairs if key.startswith(prefix))
        return [self.pairs[name] for name in names]
