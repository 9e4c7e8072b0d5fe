"""Reports of a VM that is emptied on the operator's order."""

from typing import Any

import anyio
import fake_fleet
import fake_pairs_store

from ibisknot import pairs
from ibisknot import worker_retirement

STATUS_KEY = "status/w0"


class _Retirement(worker_retirement.Retirement):
    """Reports without a worker to drain."""

    def __init__(self, store: fake_pairs_store.FakeStore) -> None:
        unused: Any = None
        super().__init__(
            fake_fleet.process("w0"),
            store,
            unused,
            lambda: 0.0,
            fake_fleet.TaskGroup(),
            worker_retirement.Dialect(
                lambda _change: None,
                lambda _vm, is_empty: pairs.Put(
                    STATUS_KEY, b"done" if is_empty else b"running"
                ),
            ),
        )

    def report(self, *, is_done: bool) -> None:
        """Writes the status."""

        async def main() -> None:
            await self._report(is_done=is_done)

        anyio.run(main)


def test_late_write_does_not_replace_the_status_done() -> None:
    """Guards against a VM that is empty but never taken away."""
    store = fake_pairs_store.FakeStore()
    store.late_writes = 1
    retirement = _Retirement(store)
    retirement.report(is_done=False)
    retirement.report(is_done=True)
    store.run_late_writes()
    assert store.stored[STATUS_KEY].value == b"done"


def test_late_write_of_a_restarted_worker_does_not_replace_done() -> None:
    """Guards against a late write of a process that was killed meanwhile."""
    store = fake_pairs_store.FakeStore()
    store.late_writes = 1

    async def report_and_die() -> None:
        with anyio.move_on_after(0.05):
            await _Retirement(store)._report(is_done=False)

    anyio.run(report_and_die)
    store.stored.pop(STATUS_KEY, None)
    successor = _Retirement(store)
    successor.report(is_done=False)
    successor.report(is_done=True)
    store.run_late_writes()
    assert store.stored[STATUS_KEY].value == b"done"


def test_status_takes_two_writes() -> None:
    """Guards against store calls beyond the two reports."""
    store = fake_pairs_store.FakeStore()
    retirement = _Retirement(store)
    retirement.report(is_done=False)
    retirement.report(is_done=True)
    assert store.calls == {"transact": 2}
