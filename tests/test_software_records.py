"""The software history, and its record for a restart of all processes."""

import anyio
import fake_fleet
import fake_pairs_store

from ibisknot import fleetview
from ibisknot import pairs
from ibisknot import software_history
from ibisknot import software_records

AFTER_RETENTION_S = software_history.RETENTION_S + 1.0


def _keeper(
    store: fake_pairs_store.FakeStore,
    view: fleetview.View,
    clock: fake_fleet.Clock,
    name: str = "w1",
) -> software_records.Keeper:
    """Returns the keeper of a process; `w1` is the first reader."""
    return software_records.Keeper(
        name,
        store,
        view,
        software_history.History(),
        clock.now,
    )


def _set_software(view: fleetview.View, *versions: str) -> None:
    view.endpoints = {
        f"e-{v}": fake_fleet.endpoint(f"e-{v}", software=v) for v in versions
    }


async def _check(
    keeper: software_records.Keeper, clock: fake_fleet.Clock, count: int = 3
) -> None:
    """Runs the periodic check a number of times."""
    for _ in range(count):
        clock.time_s += software_records.CHECK_PERIOD_S
        await keeper.check(clock.now())


def test_restart_of_all_processes_knows_the_version_that_has_just_left() -> (
    None
):
    """Guards against streams of the old version that go on at the new one."""

    async def main() -> None:
        store, view = fake_pairs_store.FakeStore(), fake_fleet.view()
        clock = fake_fleet.Clock()
        keeper = _keeper(store, view, clock)
        for versions in (("v1",), ("v1", "v2"), ("v2", "v3"), ("v3",)):
            _set_software(view, *versions)
            await _check(keeper, clock)
        restarted = _keeper(store, view, clock)
        assert not software_history.is_complete(restarted.history, clock.now())
        await _check(restarted, clock)
        assert software_history.is_complete(restarted.history, clock.now())
        assert software_history.recent(restarted.history, clock.now()) == {
            ("s", "v1"),
            ("s", "v2"),
            ("s", "v3"),
        }

    anyio.run(main)


def test_version_is_removed_once_none_of_its_streams_can_be_left() -> None:
    """Guards against refusing streams because of a version of long ago."""

    async def main() -> None:
        store, view = fake_pairs_store.FakeStore(), fake_fleet.view()
        clock = fake_fleet.Clock()
        keeper = _keeper(store, view, clock)
        _set_software(view, "v1", "v2")
        await _check(keeper, clock)
        _set_software(view, "v2")
        await _check(keeper, clock)
        clock.time_s += AFTER_RETENTION_S
        await _check(keeper, clock)
        restarted = _keeper(store, view, clock)
        await _check(restarted, clock)
        assert software_history.recent(restarted.history, clock.now()) == {
            ("s", "v2")
        }

    anyio.run(main)


def test_unchanged_software_costs_one_write_and_few_reads() -> None:
    """Guards against a record that is written by every process or for ever."""

    async def main() -> None:
        store, view = fake_pairs_store.FakeStore(), fake_fleet.view(workers=6)
        clock = fake_fleet.Clock()
        keepers = [
            _keeper(store, view, clock, name)
            for name in sorted(view.members, reverse=True)
        ]
        for _ in range(20):
            for keeper in keepers:
                await keeper.check(clock.now())
            clock.time_s += software_records.CHECK_PERIOD_S
        assert store.calls["transact"] == 1
        writers = software_records.MAX_WRITERS
        assert store.calls["get"] <= len(keepers) + writers

    anyio.run(main)


def test_next_writer_records_what_the_first_cannot() -> None:
    """Guards against a record that depends on one process."""

    async def main() -> None:
        store, view = fake_pairs_store.FakeStore(), fake_fleet.view()
        clock = fake_fleet.Clock()
        keeper = _keeper(store, view, clock, "w0")
        await _check(keeper, clock, count=5)
        assert software_records.KEY in store.stored

    anyio.run(main)


def test_history_is_not_complete_while_the_store_is_away() -> None:
    """Guards against guessing the origin of a stream without the record."""

    async def main() -> None:
        store, view = fake_pairs_store.FakeStore(), fake_fleet.view()
        clock = fake_fleet.Clock()
        store.is_down = True
        keeper = _keeper(store, view, clock)
        await _check(keeper, clock)
        assert not software_history.is_complete(keeper.history, clock.now())
        assert store.calls["get"] < 3
        clock.time_s += AFTER_RETENTION_S
        keeper.observe()
        assert software_history.is_complete(keeper.history, clock.now())

    anyio.run(main)


def test_unreadable_record_is_not_taken_for_an_empty_one() -> None:
    """Guards against a history that looks complete after damage."""

    async def main() -> None:
        store, view = fake_pairs_store.FakeStore(), fake_fleet.view()
        clock = fake_fleet.Clock()
        await store.transact([], [pairs.Put(software_records.KEY, b"\xff")])
        keeper = _keeper(store, view, clock)
        await _check(keeper, clock)
        assert not keeper.history.has_record

    anyio.run(main)


def test_lost_answer_of_a_write_is_read_back() -> None:
    """Guards against a record that this process never corrects again."""

    async def main() -> None:
        store, view = fake_pairs_store.FakeStore(), fake_fleet.view()
        clock = fake_fleet.Clock()
        store.lost_answers = 1
        keeper = _keeper(store, view, clock)
        await _check(keeper, clock, count=8)
        _set_software(view, "v1", "v2")
        await _check(keeper, clock, count=8)
        restarted = _keeper(store, view, clock)
        await _check(restarted, clock)
        assert restarted.recorded == {("s", "v1"), ("s", "v2")}

    anyio.run(main)
