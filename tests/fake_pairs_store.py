"""An in-memory key-value service of the users' platform for tests."""

import collections
from collections.abc import Callable
import sys

import anyio

from ibisknot import errors
from ibisknot import pairs


class FakeStore:
    """Holds pairs, and counts the calls by method.

    Attributes:
        stored: The stored pairs by key.
        revision: Revision of the last change.
        calls: Number of calls by method.
        is_down: Whether all calls fail.
        lost_answers: Number of next writes that take effect without an answer.
        late_writes: Number of next writes that do not take effect before
            `run_late_writes`, and have no answer.
        held: The writes that have not taken effect yet.
        live_leases: The leases that have not ended.
        leases: Lease of each stored pair that has one, by key.
        max_value_bytes: Largest value that it takes.
        refused: Number of writes that it refused.
    """

    def __init__(self) -> None:
        self.stored: dict[str, pairs.Pair] = {}
        self.revision = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self.is_down = False
        self.lost_answers = 0
        self.late_writes = 0
        self.held: list[Callable[[], int]] = []
        self.live_leases: set[int] = set()
        self.leases: dict[str, int] = {}
        self.max_value_bytes = sys.maxsize
        self.refused = 0

    def _count(self, method: str) -> None:
        self.calls[method] += 1
        if self.is_down:
            raise errors.KeyValueError("the store is down")

    async def get(self, key: str) -> pairs.Pair | None:
        """Returns a pair."""
        self._count("get")
        return self.stored.get(key)

    async def list_prefix(
        self, prefix: str, *, after: str = "", stale: bool = False
    ) -> pairs.Listing:
        """Returns the pairs below a prefix."""
        self._count("list")
        found = [
            self.stored[key]
            for key in sorted(self.stored)
            if key.startswith(prefix) and key > after
        ]
        return pairs.Listing(found, self.revision)

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> pairs.Changes:
        """Returns no changes after the whole wait."""
        self._count("changes")
        await anyio.sleep(wait_s)
        return pairs.Changes([], after)

    async def transact(
        self,
        guards: list[pairs.Guard],
        puts: list[pairs.Put],
        *,
        deletes: list[str] | None = None,
    ) -> int:
        """Applies a transaction if its guards hold."""
        self._count("transact")
        if any(len(put.value) > self.max_value_bytes for put in puts):
            self.refused += 1
            raise errors.KeyValueRefusedError("a value is too large")
        if self.late_writes:
            self.late_writes -= 1
            self.held.append(lambda: self._apply(guards, puts, deletes or []))
            raise errors.KeyValueUnknownError("the answer was lost")
        revision = self._apply(guards, puts, deletes or [])
        if revision and self.lost_answers:
            self.lost_answers -= 1
            raise errors.KeyValueUnknownError("the answer was lost")
        return revision

    def _apply(
        self,
        guards: list[pairs.Guard],
        puts: list[pairs.Put],
        deletes: list[str],
    ) -> int:
        for guard in guards:
            pair = self.stored.get(guard.key)
            if (0 if pair is None else pair.revision) != guard.revision:
                return 0
        if any(p.lease_id not in {0, *self.live_leases} for p in puts):
            raise errors.LeaseEndedError("the lease of a write has ended")
        self.revision += 1
        for put in puts:
            self.stored[put.key] = pairs.Pair(put.key, put.value, self.revision)
            self.leases[put.key] = put.lease_id
        for key in deletes:
            self.stored.pop(key, None)
        return self.revision

    def run_late_writes(self) -> None:
        """Lets the writes that were held take effect if they still can."""
        held, self.held = self.held, []
        for apply in held:
            try:
                apply()
            except errors.LeaseEndedError:
                continue

    def end_lease(self, lease_id: int) -> None:
        """Ends a lease and deletes its keys."""
        self.live_leases.discard(lease_id)
        for key in [k for k, v in self.leases.items() if v == lease_id]:
            del self.leases[key]
            if self.stored.pop(key, None) is not None:
                self.revision += 1

    async def grant(self, ttl_s: float) -> int:
        """Returns the id of a new lease."""
        self._count("grant")
        self.revision += 1
        self.live_leases.add(self.revision)
        return self.revision

    async def keep_alive(self, lease_id: int) -> bool:
        """Renews a lease; it ends with `end_lease` or `revoke` only."""
        self._count("keep_alive")
        return lease_id in self.live_leases

    async def revoke(self, lease_id: int) -> None:
        """Ends a lease."""
        self._count("revoke")
        self.end_lease(lease_id)
