"""Registration of a process as a member while the store fails."""

import dataclasses

import anyio
import fake_fleet
import fake_pairs_store
import pytest

from ibisknot import fleetview
from ibisknot import pairs
from ibisknot import peer
from ibisknot import registration

KEY = "members/g0"


def _make_registration(
    store: fake_pairs_store.FakeStore, generation: int = 1
) -> registration.Registration:
    """Returns the registration of one lifetime of the process."""
    registered = registration.Registration(
        fake_fleet.process("g0"), store, "members/"
    )
    registered.own_member = dataclasses.replace(
        registered.own_member, started_ms=generation
    )
    return registered


def _renew(registered: registration.Registration) -> None:
    anyio.run(registered.renew, 0.0)


def _listed(store: fake_pairs_store.FakeStore) -> list[fleetview.Member]:
    found = map(registration.decode_member, store.stored.values())
    return [member for member in found if member is not None]


def _is_member(registered: registration.Registration) -> bool:
    """Returns whether the entry is the process's, under its present lease."""
    store = registered.store
    assert isinstance(store, fake_pairs_store.FakeStore)
    is_listed = registered.own_member in _listed(store)
    return is_listed and store.leases[KEY] == registered.lease_id


def _check_listing(registered: registration.Registration) -> None:
    """Shows a process a listing, as its view does; repairs the entry."""
    store = registered.store
    assert isinstance(store, fake_pairs_store.FakeStore)
    if registered.is_missing_in(store.revision, _listed(store)):
        anyio.run(registered.repair)


def test_entry_is_written_again_after_a_failed_write() -> None:
    """Guards against renewing a lease to which no entry is bound."""
    store = fake_pairs_store.FakeStore()
    store.late_writes = 1
    registered = _make_registration(store)
    _renew(registered)
    assert not store.stored
    _renew(registered)
    assert _is_member(registered)
    assert _listed(store) == [registered.own_member]


def test_entry_is_written_under_a_new_lease_when_the_old_one_ended() -> None:
    """Guards against a process that stays unregistered after an outage."""
    store = fake_pairs_store.FakeStore()
    registered = _make_registration(store)
    _renew(registered)
    first_lease = registered.lease_id
    store.end_lease(first_lease)
    _renew(registered)
    assert registered.lease_id != first_lease
    assert _is_member(registered)


@pytest.mark.parametrize("generations", [1, 2, 3])
def test_late_writes_of_earlier_processes_replace_no_entry(
    generations: int,
) -> None:
    """Guards against a running process that the fleet does not know."""
    store = fake_pairs_store.FakeStore()
    store.late_writes = generations
    for generation in range(generations):
        _renew(_make_registration(store, generation))
    registered = _make_registration(store, generations)
    _renew(registered)
    store.held.reverse()
    store.run_late_writes()
    assert _is_member(registered)


def test_late_writes_after_that_of_the_predecessor_replace_no_entry() -> None:
    """Guards against a guard that holds again for an earlier process."""
    store = fake_pairs_store.FakeStore()
    _renew(_make_registration(store, 1))
    store.late_writes = 1
    _renew(_make_registration(store, 2))
    registered = _make_registration(store, 3)
    _renew(registered)
    assert _is_member(registered)
    store.run_late_writes()
    assert _is_member(registered)


def test_late_write_while_the_successor_is_suspended_is_repaired() -> None:
    """Guards against an entry under the lease of a process that has died."""
    store = fake_pairs_store.FakeStore()
    store.late_writes = 1
    _renew(_make_registration(store, 1))
    registered = _make_registration(store, 2)
    _renew(registered)
    store.end_lease(registered.lease_id)
    store.run_late_writes()
    assert not _is_member(registered)
    _renew(registered)
    assert _is_member(registered)


@pytest.mark.parametrize("is_away", [False, True])
def test_entry_that_an_unguarded_write_replaced_is_repaired(
    is_away: bool,
) -> None:
    """Guards against late writes of builds that write without a guard."""
    store = fake_pairs_store.FakeStore()
    registered = _make_registration(store, 2)
    _renew(registered)
    before = _make_registration(store, 1)
    value = peer.encode(registration.to_wire(before.own_member))

    async def write_late() -> None:
        lease = await store.grant(4.0)
        await store.transact([], [pairs.Put(KEY, value, lease)])

    anyio.run(write_late)
    count = registered.lease_count
    store.is_down = is_away
    _check_listing(registered)
    if is_away:
        assert not registered.is_certain()
        store.is_down = False
        anyio.run(registered._retry, 0.0)
    assert _is_member(registered)
    assert registered.is_certain()
    assert registered.lease_count > count


def test_entry_that_was_deleted_is_written_again() -> None:
    """Guards against a process that renews its lease but is no member."""
    store = fake_pairs_store.FakeStore()
    registered = _make_registration(store)
    _renew(registered)
    anyio.run(lambda: store.transact([], [], deletes=[KEY]))
    _check_listing(registered)
    assert _is_member(registered)


def test_listing_from_before_the_write_is_no_reason_to_repair() -> None:
    """Guards against store calls after each start on a calm day."""
    store = fake_pairs_store.FakeStore()
    registered = _make_registration(store)
    _renew(registered)
    assert not registered.is_missing_in(store.revision - 1, [])
    calls = store.calls.copy()
    assert calls == {"grant": 1, "transact": 1}
    _check_listing(registered)
    anyio.run(registered._retry, 0.0)
    assert store.calls == calls


def test_repair_of_a_sound_entry_writes_nothing() -> None:
    """Guards against jobs that are read again after a listing that was old."""
    store = fake_pairs_store.FakeStore()
    registered = _make_registration(store)
    _renew(registered)
    count = registered.lease_count
    anyio.run(registered.repair)
    assert registered.is_certain()
    assert registered.lease_count == count


def test_process_that_has_left_writes_no_entry() -> None:
    """Guards against a member that has ended, for the time of its lease."""
    store = fake_pairs_store.FakeStore()
    registered = _make_registration(store)

    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(registered.renew, 0.0)
            await anyio.sleep(0)
            await registered.deregister()

    anyio.run(main)
    assert not store.stored


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
        fake_pairs_store.FakeStore(),
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
    store = fake_pairs_store.FakeStore()
    registered = _make_registration(store)

    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(registered.renew, 0.0)
            task_group.start_soon(registered.renew, 0.0)

    anyio.run(main)
    assert store.calls["grant"] == 1
    assert _is_member(registered)


def test_gateways_renew_their_leases_rarely() -> None:
    """Guards against most of an idle fleet's store calls being renewals.

    Nothing waits for the end of a gateway's entry.
    """
    entry = _make_registration(fake_pairs_store.FakeStore())
    renewals_per_s = registration.RENEWALS_PER_LEASE / entry.lease_ttl_s
    assert 75 * renewals_per_s < 10.0
