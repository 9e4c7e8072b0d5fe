"""Tests the progress of batch items that a worker keeps on its disk."""

import pathlib
import random
from typing import Any

import anyio
import pytest

from ibisknot import batch_item
from ibisknot import batch_records
from ibisknot import batch_task
from ibisknot import serving
from ibisknot.progress import journal
from ibisknot.progress import records

NOW_S = 1_000_000.0


def _task(index: int = 0, *, item_id: str = "i") -> batch_task.Task:
    item = batch_records.Item(item_id, "/a/x", [], b"", 10)
    organisation = serving.Organisation("one")

    async def make() -> batch_task.Task:
        # The task's cancel scope needs an event loop.
        return batch_task.Task("j", index, item, "r", "h", organisation, 0.0)

    return anyio.run(make)


def _receive(task: batch_task.Task, *events: str) -> None:
    """Adds events to a task as its run does."""
    task.service = "llm"
    task.software_version = "v1"
    task.event_data.extend(events)
    task.last_event_id = len(task.event_data)


def _journal(
    folder: pathlib.Path, *, unix_s: float = NOW_S, is_open: bool = True
) -> journal.Journal:
    """Returns the journal of a process that has just started."""
    started = journal.Journal(
        folder, lambda _job: is_open, unix_s=lambda: unix_s
    )
    started.load()
    return started


def _flush(*journals: journal.Journal) -> None:
    for kept in journals:
        anyio.run(kept.flush, 0.0)


def _restored(
    folder: pathlib.Path, *, item_id: str = "i", unix_s: float = NOW_S
) -> batch_task.Task:
    """Returns a new process's task of the item."""
    task = _task(item_id=item_id)
    _journal(folder, unix_s=unix_s).track(task)
    return task


def test_item_goes_on_after_its_process_was_killed(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against items that run again from their start."""
    kept, task = _journal(tmp_path), _task()
    kept.track(task)
    _receive(task, "a", "b")
    _flush(kept)
    _receive(task, "c")
    _flush(kept)
    restored = _restored(tmp_path)
    assert restored.event_data == ["a", "b", "c"]
    assert restored.last_event_id == 3
    assert (restored.service, restored.software_version) == ("llm", "v1")
    assert restored.output_bytes == 6
    assert not restored.is_complete


def test_finished_item_is_not_run_again(tmp_path: pathlib.Path) -> None:
    """Guards against results that are lost while the store is away."""
    kept, task = _journal(tmp_path), _task()
    kept.track(task)
    _receive(task, "a", "b")
    kept.finish(task, batch_task.done(task))
    _flush(kept)
    unused: Any = None
    runner = batch_item.Runner(
        unused, unused, unused, unused, unused, unused, 1000
    )
    result = anyio.run(runner.run, _restored(tmp_path))
    assert result == batch_records.ItemResult("i", "done", "a\nb")


def test_output_that_was_dropped_is_not_continued(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a result that joins the outputs of two runs."""
    kept, task = _journal(tmp_path), _task()
    kept.track(task)
    _receive(task, "a", "b")
    _flush(kept)
    batch_task.clear_output(task)
    _receive(task, "x", "y", "z")
    _flush(kept)
    assert _restored(tmp_path).event_data == ["x", "y", "z"]


@pytest.mark.parametrize("seed", range(20))
def test_torn_file_yields_whole_events_only(
    tmp_path: pathlib.Path, seed: int
) -> None:
    """Guards against progress that is made up from a torn write."""
    rng = random.Random(seed)
    kept, task = _journal(tmp_path), _task()
    kept.track(task)
    for number in range(9):
        _receive(task, f"event {number}")
        _flush(kept)
    path = tmp_path / journal.FILE_NAMES[0]
    data = bytearray(path.read_bytes())
    position = rng.randrange(len(data))
    data[position] ^= 0xFF
    path.write_bytes(data[: rng.randrange(position, len(data) + 1)])
    events = _restored(tmp_path).event_data
    assert events == [f"event {number}" for number in range(len(events))]
    assert len(events) < 9


def test_progress_of_another_item_or_time_is_not_used(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against progress of a job that ended long ago."""
    kept, task = _journal(tmp_path), _task()
    kept.track(task)
    _receive(task, "a")
    _flush(kept)
    assert not _restored(tmp_path, item_id="other").event_data
    late_s = NOW_S + journal.MAX_AGE_S + 1.0
    assert not _restored(tmp_path, unix_s=late_s).event_data


def test_full_file_is_followed_by_one_with_all_progress(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against files that grow without end, or lose what they had."""
    monkeypatch.setattr(journal, "MAX_FILE_BYTES", 400)
    kept = _journal(tmp_path)
    tasks = [_task(index) for index in range(3)]
    for task in tasks:
        kept.track(task)
    for number in range(60):
        for task in tasks:
            _receive(task, f"{number}")
        _flush(kept)
    sizes = [p.stat().st_size for p in tmp_path.iterdir()]
    assert len(sizes) == 2
    assert max(sizes) < 3_000
    restored = _journal(tmp_path).saved
    assert {len(p.events) for p in restored.values()} == {60}


def test_progress_over_the_size_of_a_file_is_not_written_at_each_flush(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a disk that is kept busy with what it already has."""
    monkeypatch.setattr(journal, "MAX_FILE_BYTES", 400)
    kept, task = _journal(tmp_path), _task()
    kept.track(task)
    _receive(task, *["event"] * 200)
    _flush(kept)
    sizes = [p.stat().st_size for p in tmp_path.iterdir()]
    assert len(sizes) == 1
    for _ in range(3):
        _flush(kept)
    assert [p.stat().st_size for p in tmp_path.iterdir()] == sizes


def test_ended_job_is_forgotten(tmp_path: pathlib.Path) -> None:
    """Guards against memory that is never given back."""
    kept, task = _journal(tmp_path, is_open=False), _task()
    kept.track(task)
    _receive(task, "a")
    _flush(kept)
    assert not kept.tracked
    given_up = _journal(tmp_path)
    given_up.track(task)
    given_up.finish(task, None)
    assert not given_up.tracked


def test_disk_that_refuses_writes_ends_nothing(tmp_path: pathlib.Path) -> None:
    """Guards against a worker that ends with its disk."""
    folder = tmp_path / "gone"
    kept, task = _journal(folder), _task()
    kept.track(task)
    _receive(task, "a")
    _flush(kept)
    folder.mkdir()
    _receive(task, "b")
    anyio.run(kept.flush, journal.DISK_PAUSE_S)
    assert _restored(folder).event_data == ["a", "b"]


def test_record_without_its_predecessors_is_ignored() -> None:
    """Guards against output with a gap."""
    known: dict[records.Key, records.Progress] = {}
    late = records.Record("j", 0, "i", "llm", "v1", 2, ["c"], 3, False, 5)
    records.apply(known, late)
    assert not known
