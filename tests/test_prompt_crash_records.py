"""Records of refused parts of prompts in the store."""

from typing import Any

import anyio
import fake_pairs_store

from ibisknot import crash_refusals
from ibisknot import prompt_crash_records
from ibisknot import prompt_crashes

NOW_S = 100.0


class _Store(fake_pairs_store.FakeStore):
    """Runs a function during each grant of a lease.

    Attributes:
        during_grant: The function.
        entries: Number of entries of each transaction.
    """

    def __init__(self) -> None:
        super().__init__()
        self.during_grant: Any = lambda: None
        self.entries: list[int] = []

    async def grant(self, ttl_s: float) -> int:
        """Grants a lease."""
        self.during_grant()
        return await super().grant(ttl_s)

    async def transact(
        self, guards: Any, puts: Any, *, deletes: Any = None
    ) -> int:
        """Counts the entries and applies them."""
        self.entries.append(len(guards) + len(puts) + len(deletes or []))
        return await super().transact(guards, puts, deletes=deletes)


def _history(count: int) -> prompt_crashes.History:
    history = prompt_crashes.History()
    for number in range(count):
        history.refusals[frozenset([number])] = prompt_crashes.Refusal(
            NOW_S, 5, NOW_S + 60.0
        )
    return history


def _find_in(history: prompt_crashes.History) -> crash_refusals.FindRefusal:
    """Returns what finds the refusals of a history."""

    def find(subject: crash_refusals.Subject) -> prompt_crashes.Refusal | None:
        assert not isinstance(subject, int)
        return history.refusals.get(subject)

    return find


def _replace(
    store: _Store, history: prompt_crashes.History, ended: list[Any]
) -> None:
    records = prompt_crash_records.Records(store, lambda: NOW_S)
    anyio.run(records.replace, _find_in(history), ended, list(history.refusals))


def test_refusal_that_ends_during_its_write_is_no_error() -> None:
    """Guards against a process that ends when two refusals begin at once."""
    store = _Store()
    history = _history(2)
    store.during_grant = history.refusals.clear
    _replace(store, history, [])
    assert store.entries == [2]


def test_many_refusals_are_written_and_deleted() -> None:
    """Guards against a transaction that the store never takes."""
    store = _Store()
    ended = _history(70)
    history = _history(50)
    _replace(store, ended, [])
    _replace(
        store, history, [p for p in ended.refusals if p not in history.refusals]
    )
    assert len(store.stored) == 50
    assert max(store.entries) <= 32


def test_late_write_of_an_ended_refusal_brings_no_record_back() -> None:
    """Guards against sound requests that are refused after a restart of all."""
    store = _Store()
    store.late_writes = 1
    history = _history(1)
    ended = list(history.refusals)

    async def main() -> None:
        records = prompt_crash_records.Records(store, lambda: NOW_S)
        with anyio.fail_after(10.0):
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(
                    records.replace,
                    _find_in(history),
                    [],
                    list(history.refusals),
                )
                await anyio.sleep(0.01)
                history.refusals.clear()
                await records.replace(_find_in(history), ended, [])
        store.run_late_writes()

    anyio.run(main)
    assert not store.stored


def test_late_deletion_spares_a_refusal_that_has_begun_again() -> None:
    """Guards against crashes by a part that a restarted fleet does not know."""
    store = _Store()
    history = _history(1)
    ended = list(history.refusals)
    _replace(store, history, [])
    store.late_writes = 1

    async def main() -> None:
        records = prompt_crash_records.Records(store, lambda: NOW_S)
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(
                records.replace, lambda _subject: None, ended, []
            )
            await anyio.sleep(0.01)
            await records.replace(_find_in(history), [], ended)
            task_group.cancel_scope.cancel()
        store.run_late_writes()

    anyio.run(main)
    assert len(store.stored) == 1
