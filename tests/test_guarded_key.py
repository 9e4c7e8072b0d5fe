"""Writes of one key that late writes of the same key cannot undo."""

import anyio
import fake_pairs_store
import pytest

from ibisknot import errors
from ibisknot import guarded_key
from ibisknot import pairs

KEY = "k"


def _write(key: guarded_key.GuardedKey, value: bytes) -> None:
    anyio.run(key.write, value)


def test_new_key_is_written_by_one_call() -> None:
    """Guards against store calls that a calm day does not need."""
    store = fake_pairs_store.FakeStore()
    _write(guarded_key.GuardedKey(store, KEY), b"a")
    assert store.calls == {"transact": 1}


def test_key_of_another_process_is_replaced() -> None:
    """Guards against a process that its predecessor's state keeps out."""
    store = fake_pairs_store.FakeStore()
    _write(guarded_key.GuardedKey(store, KEY), b"a")
    _write(guarded_key.GuardedKey(store, KEY), b"b")
    assert store.stored[KEY].value == b"b"


@pytest.mark.parametrize("is_late", [False, True])
def test_write_without_an_answer_replaces_no_later_one(is_late: bool) -> None:
    """Guards against an earlier value that comes back."""
    store = fake_pairs_store.FakeStore()
    key = guarded_key.GuardedKey(store, KEY)
    if is_late:
        store.late_writes = 1
    else:
        store.lost_answers = 1
    with pytest.raises(errors.KeyValueUnknownError):
        _write(key, b"a")
    _write(key, b"b")
    store.run_late_writes()
    assert store.stored[KEY].value == b"b"
    _write(key, b"c")
    assert store.stored[KEY].value == b"c"


def test_late_deletion_spares_a_later_write() -> None:
    """Guards against a state that is lost long after it was replaced."""
    store = fake_pairs_store.FakeStore()
    _write(guarded_key.GuardedKey(store, KEY), b"a")
    store.late_writes = 1
    with pytest.raises(errors.KeyValueUnknownError):
        anyio.run(guarded_key.GuardedKey(store, KEY, revision=None).delete)
    _write(guarded_key.GuardedKey(store, KEY), b"b")
    store.run_late_writes()
    assert store.stored[KEY].value == b"b"


def test_deletion_of_a_missing_key_writes_nothing() -> None:
    """Guards against a write by each process that hears of an end."""
    store = fake_pairs_store.FakeStore()
    anyio.run(guarded_key.GuardedKey(store, KEY, revision=None).delete)
    assert store.calls == {"get": 1}


def test_key_that_others_write_all_the_time_is_given_up() -> None:
    """Guards against calls of the store without end."""

    class _BusyStore(fake_pairs_store.FakeStore):
        async def get(self, key: str) -> pairs.Pair | None:
            found = await super().get(key)
            self.revision += 1
            self.stored[key] = pairs.Pair(key, b"other", self.revision)
            return found

    store = _BusyStore()
    store.stored[KEY] = pairs.Pair(KEY, b"other", 7)
    with pytest.raises(errors.KeyValueError):
        _write(guarded_key.GuardedKey(store, KEY), b"a")
    assert store.calls["transact"] == guarded_key.MAX_TRIES
