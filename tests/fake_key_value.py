"""An in-memory key-value service with lost, late and refused writes."""

import dataclasses

import anyio

from ibisknot import errors
from ibisknot import keyvalue

OK = "ok"
REFUSED = "refused"
LOST_BEFORE = "lost_before"
"""The request is lost, so that the write never takes effect."""
LOST_AFTER = "lost_after"
"""The write takes effect, but the answer is lost."""
LATE = "late"
"""The answer is lost, and the write takes effect at `apply_late`."""
FAULTS = (OK, REFUSED, LOST_BEFORE, LOST_AFTER, LATE)

Transaction = tuple[list[keyvalue.Guard], list[keyvalue.Put], list[str]]


@dataclasses.dataclass(slots=True)
class FakeKeyValue:
    """Key-value service whose next writes have the listed faults.

    Attributes:
        faults: Faults of the next writes; later writes have none.
        pairs: The stored pairs by key.
        late: Writes whose answer was lost and that take effect later.
        revision: Revision of the last write.
        writes: Number of writes that took effect.
        down: Whether all calls are refused.
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
        """Applies the late writes."""
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
