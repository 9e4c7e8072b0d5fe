"""Origins of streams in the store, for a death of all processes."""

import math

import anyio
import fake_fleet
import fake_pairs_store

from ibisknot import pairs
from ibisknot import software_history
from ibisknot import stream_origins
from ibisknot import stream_records

PERIOD_S = stream_records.WRITE_PERIOD_S
V1 = stream_origins.Origin("s", "v1", 0)
V2 = stream_origins.Origin("s", "v2", 0)


class _Process:
    """A process that grants, writes and reads.

    Attributes:
        store: The key-value service, which other processes may share.
    """

    def __init__(
        self, store: fake_pairs_store.FakeStore, name: str = "w0"
    ) -> None:
        self.store = store
        self.clock = fake_fleet.Clock()
        self.table = stream_origins.Table()
        self.history = software_history.History()
        self.writer = stream_records.Writer(
            name, store, self.table, self.history
        )
        self.reader = stream_records.Reader(store, self.table, self.clock.now)

    def see(self, *versions: str) -> None:
        """Lets versions serve."""
        self.history.gone_s = {("s", v): math.inf for v in versions}

    def grant(
        self, stream: str, origin: stream_origins.Origin = V1, count: int = 1
    ) -> None:
        """Grants an attempt for each of some streams."""
        for index in range(count):
            name = f"{stream}{index}" if count > 1 else stream
            self.table.record_grant(name, origin, self.clock.now())

    async def check(self, after_s: float = PERIOD_S) -> None:
        """Runs the periodic check after a time."""
        self.clock.time_s += after_s
        await self.writer.check(self.clock.now())


async def _find_after_restart(
    store: fake_pairs_store.FakeStore, stream: str
) -> stream_origins.Origin | None:
    """Returns what a process that has just started reads of a stream."""
    restarted = _Process(store)
    await restarted.reader.read()
    return restarted.table.find(stream)


def test_origin_outlives_a_death_of_all_processes() -> None:
    """Guards against refusing every stream after all processes died."""

    async def main() -> None:
        store = fake_pairs_store.FakeStore()
        first, second = _Process(store, "w0"), _Process(store, "w1")
        for process, stream, origin in (
            (first, "a", V1),
            (first, "b", V2),
            (second, "c", V2),
        ):
            process.see("v1", "v2")
            process.grant(stream, origin)
        await first.check()
        await second.check()
        assert await _find_after_restart(store, "a") == V1
        assert await _find_after_restart(store, "b") == V2
        assert await _find_after_restart(store, "c") == V2
        assert await _find_after_restart(store, "d") is None

    anyio.run(main)


def test_one_version_costs_no_call() -> None:
    """Guards against a price for days without a second version."""

    async def main() -> None:
        store = fake_pairs_store.FakeStore()
        process = _Process(store)
        process.see("v1")
        for index in range(100):
            process.grant(f"a{index}")
            await process.check()
        assert not store.calls
        kept_s = stream_records.MAX_GRANT_AGE_S
        assert len(process.table.grants) <= kept_s / PERIOD_S + 1

    anyio.run(main)


def test_many_streams_share_few_calls() -> None:
    """Guards against calls to the store that grow with the streams."""

    async def main() -> None:
        store = fake_pairs_store.FakeStore()
        process = _Process(store)
        process.see("v1", "v2")
        for index in range(8):
            process.grant(f"a{index}", count=50)
            await process.check(PERIOD_S / 4)
        assert store.calls["transact"] == 2
        assert store.calls["grant"] == 1

    anyio.run(main)


def test_stream_that_began_before_the_second_version_came_is_written() -> None:
    """Guards against a death of all right after a release has begun."""

    async def main() -> None:
        store = fake_pairs_store.FakeStore()
        process = _Process(store)
        process.see("v1")
        process.grant("a")
        await process.check()
        process.see("v1", "v2")
        await process.check()
        assert await _find_after_restart(store, "a") == V1

    anyio.run(main)


def test_repeated_attempt_is_written_without_delay() -> None:
    """Guards against a record of the attempt that brought no event."""

    async def main() -> None:
        store = fake_pairs_store.FakeStore()
        process = _Process(store)
        process.see("v1", "v2")
        process.grant("a")
        await process.check()
        later = stream_origins.Origin("s", "v2", 1)
        process.grant("a", later)
        await process.check(stream_records.SCHEDULER_CHECK_PERIOD_S)
        assert await _find_after_restart(store, "a") == later

    anyio.run(main)


def test_grants_are_written_once_the_store_is_back() -> None:
    """Guards against streams that are lost with a failed write."""

    async def main() -> None:
        store = fake_pairs_store.FakeStore()
        process = _Process(store)
        process.see("v1", "v2")
        store.is_down = True
        process.grant("a")
        await process.check()
        process.grant("b", V2)
        await process.check()
        assert sum(store.calls.values()) == 1
        store.is_down = False
        await process.check(stream_records.RETRY_PAUSE_S)
        assert await _find_after_restart(store, "a") == V1
        assert await _find_after_restart(store, "b") == V2

    anyio.run(main)


def test_grants_are_bounded_while_the_store_is_away() -> None:
    """Guards against memory that grows as long as the store is away."""

    async def main() -> None:
        store = fake_pairs_store.FakeStore()
        process = _Process(store)
        process.see("v1", "v2")
        store.is_down = True
        for index in range(100):
            process.grant(f"a{index}")
            await process.check()
        kept_s = stream_records.MAX_GRANT_AGE_S
        assert len(process.table.grants) <= kept_s / PERIOD_S + 1

    anyio.run(main)


def test_lost_answer_of_a_write_does_no_harm() -> None:
    """Guards against a late write that replaces a newer record."""

    async def main() -> None:
        store = fake_pairs_store.FakeStore()
        process = _Process(store)
        process.see("v1", "v2")
        store.lost_answers = 1
        process.grant("a")
        await process.check()
        await process.check(stream_records.RETRY_PAUSE_S)
        assert len(store.stored) == 2
        assert await _find_after_restart(store, "a") == V1

    anyio.run(main)


def test_many_lookups_share_one_read() -> None:
    """Guards against a read for each caller that names unknown streams."""

    async def main() -> None:
        store = fake_pairs_store.FakeStore()
        process = _Process(store)
        async with anyio.create_task_group() as task_group:
            for _ in range(20):
                task_group.start_soon(process.reader.read)
        assert store.calls["list"] == 1
        process.clock.time_s += stream_records.MIN_READ_INTERVAL_S
        await process.reader.read()
        assert store.calls["list"] == 2

    anyio.run(main)


def test_unreadable_record_hides_no_other() -> None:
    """Guards against one damaged record that loses all streams."""

    async def main() -> None:
        store = fake_pairs_store.FakeStore()
        damaged = pairs.Put(f"{stream_records.KEY_PREFIX}a/0", b"\xff")
        await store.transact([], [damaged])
        process = _Process(store)
        process.see("v1", "v2")
        process.grant("a")
        await process.check()
        assert await _find_after_restart(store, "a") == V1

    anyio.run(main)


def test_failed_read_is_not_taken_for_no_streams() -> None:
    """Guards against a final refusal while the store is away."""

    async def main() -> None:
        store = fake_pairs_store.FakeStore()
        process = _Process(store)
        store.is_down = True
        assert not await process.reader.read()
        assert not await process.reader.read()
        assert store.calls["list"] == 1
        store.is_down = False
        process.clock.time_s += stream_records.RETRY_PAUSE_S
        assert await process.reader.read()

    anyio.run(main)
