"""Registration of a process as a member while the store fails."""

import anyio
import fake_fleet

from ibisknot import errors
from ibisknot import pairs
from ibisknot import registration


class _FakeStore:
    """Holds leases and entries; the next `failures_left` writes fail."""

    def __init__(self) -> None:
        self.lease_count = 0
        self.live_leases: set[int] = set()
        self.entries: dict[str, pairs.Put] = {}
        self.failures_left = 0

    async def grant(self, _ttl_s: float) -> int:
        await anyio.sleep(0)
        self.lease_count += 1
        self.live_leases.add(self.lease_count)
        return self.lease_count

    async def keep_alive(self, lease: int) -> bool:
        return lease in self.live_leases

    async def transact(
        self, _guards: list[pairs.Guard], puts: list[pairs.Put]
    ) -> int:
        if self.failures_left:
            self.failures_left -= 1
            raise errors.KeyValueError("no answer")
        self.entries.update({put.key: put for put in puts})
        return 1


def _make_registration(store: _FakeStore) -> registration.Registration:
    return registration.Registration(
        fake_fleet.process("g0"),
        store,  # type: ignore[arg-type]
        "members/",
    )


def test_entry_is_written_again_after_a_failed_write() -> None:
    """Guards against renewing a lease to which no entry is bound."""
    store = _FakeStore()
    store.failures_left = 1
    registered = _make_registration(store)

    async def main() -> None:
        await registered.renew(0.0)
        assert not store.entries
        await registered.renew(0.0)

    anyio.run(main)
    assert store.entries["members/g0"].lease_id == registered.lease_id
    member = registration.decode_member(
        pairs.Pair("members/g0", store.entries["members/g0"].value, 1)
    )
    assert member == registered.own_member


def test_entry_is_written_under_a_new_lease_when_the_old_one_ended() -> None:
    """Guards against a process that stays unregistered after an outage."""
    store = _FakeStore()
    registered = _make_registration(store)

    async def main() -> None:
        await registered.renew(0.0)
        store.live_leases.clear()
        store.entries.clear()
        await registered.renew(0.0)

    anyio.run(main)
    assert store.entries["members/g0"].lease_id == registered.lease_id == 2


def test_unreadable_entry_is_ignored() -> None:
    """Guards against one malformed entry that hides all members."""
    assert (
        registration.decode_member(pairs.Pair("members/x", b"\xff", 1)) is None
    )


def test_entry_is_not_certain_after_the_machine_was_suspended() -> None:
    """Guards against a worker that trusts its lease after it was suspended.

    The monotonic time does not count a suspension; the lease does.
    """
    boot_time_s = [50.0]
    registered = registration.Registration(
        fake_fleet.process("w0"),
        _FakeStore(),  # type: ignore[arg-type]
        "members/",
        boot_time=lambda: boot_time_s[0],
    )
    assert not registered.is_certain()
    anyio.run(registered.renew, 0.0)
    assert registered.is_certain()
    boot_time_s[0] += registered.lease_ttl_s
    assert not registered.is_certain()


def test_renewals_at_the_same_time_use_one_lease() -> None:
    """Guards against an entry under a lease that nobody renews.

    A process renews out of turn when it is missing in a list of members.
    """
    store = _FakeStore()
    registered = _make_registration(store)

    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(registered.renew, 0.0)
            task_group.start_soon(registered.renew, 0.0)

    anyio.run(main)
    assert store.lease_count == 1
    assert store.entries["members/g0"].lease_id == registered.lease_id


def test_gateways_renew_their_leases_rarely() -> None:
    """Guards against most of an idle fleet's store calls being renewals.

    Nothing waits for the end of a gateway's entry.
    """
    entry = _make_registration(_FakeStore())
    renewals_per_s = registration.RENEWALS_PER_LEASE / entry.lease_ttl_s
    assert 75 * renewals_per_s < 10.0
