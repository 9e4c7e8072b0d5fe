"""A process's entry among the members, through failures of the store."""

import anyio
import fake_fleet

from ibisknot import errors
from ibisknot import pairs
from ibisknot import registration


class _Store:
    """Holds leases and entries; fails the writes that it is told to."""

    def __init__(self) -> None:
        self.leases = 0
        self.alive: set[int] = set()
        self.entries: dict[str, pairs.Put] = {}
        self.failing = 0

    async def grant(self, _ttl_s: float) -> int:
        self.leases += 1
        self.alive.add(self.leases)
        return self.leases

    async def keep_alive(self, lease: int) -> bool:
        return lease in self.alive

    async def transact(
        self, _guards: list[pairs.Guard], puts: list[pairs.Put]
    ) -> int:
        if self.failing:
            self.failing -= 1
            raise errors.KeyValueError("no answer")
        self.entries.update({put.key: put for put in puts})
        return 1


def _registration(store: _Store) -> registration.Registration:
    return registration.Registration(
        fake_fleet.process("g0"),
        store,  # type: ignore[arg-type]
        "members/",
    )


def test_entry_is_written_again_after_a_failed_write() -> None:
    """Guards against a lease that is kept alive without any entry."""
    store = _Store()
    store.failing = 1
    made = _registration(store)

    async def main() -> None:
        await made.renew(0.0)
        assert not store.entries
        await made.renew(0.0)

    anyio.run(main)
    assert store.entries["members/g0"].lease == made.lease_id
    found = registration.decode_member(
        pairs.Pair("members/g0", store.entries["members/g0"].value, 1)
    )
    assert found == made.own_member


def test_entry_is_written_under_a_new_lease_when_the_old_one_ended() -> None:
    """Guards against a process that stays out of the fleet after a cut."""
    store = _Store()
    made = _registration(store)

    async def main() -> None:
        await made.renew(0.0)
        store.alive.clear()
        store.entries.clear()
        await made.renew(0.0)

    anyio.run(main)
    assert store.entries["members/g0"].lease == made.lease_id == 2


def test_unreadable_entry_is_left_aside() -> None:
    """Guards against one bad entry that hides all members."""
    assert (
        registration.decode_member(pairs.Pair("members/x", b"\xff", 1)) is None
    )
