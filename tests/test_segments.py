"""Segment groups on disk."""

import errno
import io
import os
import pathlib
import subprocess
import sys

import hypothesis
from hypothesis import strategies
import pytest

from ibisknot import errors
from ibisknot import result_log
from ibisknot import segments
from ibisknot.gen.segments import ttypes


def result(index: int, body: bytes = b"r") -> ttypes.Result:
    return ttypes.Result(index=index, body=body, failed=False)


def results_by_index(store: segments.SegmentStore) -> dict[int, bytes]:
    return {r.index: r.body for r in store.read_results("g", 0).results}


def new_sealed_store(
    folder: pathlib.Path, epoch: int = 1
) -> segments.SegmentStore:
    store = segments.SegmentStore(folder)
    store.write_segment("g", 0, [b"a", b"b", b"c"])
    store.seal_group("g", epoch)
    return store


def append(
    store: segments.SegmentStore, epoch: int, *results: ttypes.Result
) -> None:
    for error in store.append_results("g", [(epoch, list(results))]):
        if error is not None:
            raise error


def test_rewrite_with_other_items_is_refused(tmp_path: pathlib.Path) -> None:
    """Guards against a segment changing after it was acknowledged."""
    store = segments.SegmentStore(tmp_path)
    assert store.write_segment("g", 0, [b"a"]) == store.write_segment(
        "g", 0, [b"a"]
    )
    with pytest.raises(errors.SegmentError):
        store.write_segment("g", 0, [b"b"])


def test_first_result_stays(tmp_path: pathlib.Path) -> None:
    """Guards against a second run replacing a result."""
    store = new_sealed_store(tmp_path)
    append(store, 1, result(0, b"first"), result(0, b"same call"))
    append(store, 1, result(0, b"second"))
    assert results_by_index(segments.SegmentStore(tmp_path)) == {0: b"first"}


def test_superseded_epoch_is_refused_after_restart(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an owner that was paused until after its lease."""
    new_sealed_store(tmp_path, epoch=2)
    store = segments.SegmentStore(tmp_path)
    with pytest.raises(errors.FencedError):
        append(store, 1, result(0))
    with pytest.raises(errors.FencedError):
        store.seal_group("g", 1)
    with pytest.raises(errors.FencedError):
        store.delete_group("g", 1)


def test_shared_fsync_refuses_only_the_old_epoch(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a refused append that refuses others of its fsync."""
    store = new_sealed_store(tmp_path, epoch=2)
    batches = [(1, [result(0, b"old")]), (2, [result(0, b"new")])]
    first, second = store.append_results("g", batches)
    assert isinstance(first, errors.FencedError)
    assert second is None
    assert results_by_index(store) == {0: b"new"}


def test_missing_group_is_not_an_empty_group(tmp_path: pathlib.Path) -> None:
    """Guards against an empty disk that counts as a copy without results."""
    store = segments.SegmentStore(tmp_path)
    with pytest.raises(errors.SegmentMissingError):
        store.seal_group("g", 1)
    with pytest.raises(errors.SegmentMissingError):
        store.append_results("g", [(1, [result(0)])])


@pytest.mark.parametrize("cut_bytes", [1, 5, 17, 20])
def test_torn_tail_is_truncated(tmp_path: pathlib.Path, cut_bytes: int) -> None:
    """Guards against a log that a crash during an append makes unreadable."""
    store = new_sealed_store(tmp_path)
    append(store, 1, result(0, b"x" * 10), result(1, b"y" * 10))
    path = tmp_path / "g" / "results"
    path.write_bytes(path.read_bytes()[:-cut_bytes])
    store = segments.SegmentStore(tmp_path)
    assert set(results_by_index(store)) == {0}
    append(store, 1, result(2))
    assert set(results_by_index(segments.SegmentStore(tmp_path))) == {0, 2}


def test_damaged_middle_is_skipped_and_reported(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a bad sector that hides all results after it."""
    store = new_sealed_store(tmp_path)
    append(store, 1, result(0), result(1), result(2))
    path = tmp_path / "g" / "results"
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 255
    path.write_bytes(data)
    store = segments.SegmentStore(tmp_path)
    assert store.find_damaged_groups() == ["g"]
    assert set(results_by_index(store)) == {0, 2}
    append(store, 1, result(1, b"again"))
    assert results_by_index(segments.SegmentStore(tmp_path))[1] == b"again"


def test_deleted_file_keeps_segments_of_its_jobs(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a job that loses its items when the file is deleted."""
    store = segments.SegmentStore(tmp_path)
    store.write_segment("file-1", 0, [b"a"])
    store.link_segments("file-1", "batch-1", 1)
    store.delete_group("file-1", 0)
    assert store.read_segment("batch-1", 0) == [b"a"]
    with pytest.raises(errors.SegmentMissingError):
        store.link_segments("file-1", "batch-2", 1)


@pytest.mark.parametrize("point", ["items-written", "items-renamed"])
def test_disk_full_leaves_no_segment(
    tmp_path: pathlib.Path, point: str
) -> None:
    """Guards against a refused write that still leaves a segment."""

    def fault(at: str) -> None:
        if at == point:
            raise OSError(errno.ENOSPC, "no space")

    store = segments.SegmentStore(tmp_path, fault_hook=fault)
    with pytest.raises(errors.DiskFullError) as refused:
        store.write_segment("g", 0, [b"a"])
    assert refused.value.ran == errors.NOT_RUN
    assert list(tmp_path.glob("g/*")) == []


@pytest.mark.parametrize("point", ["results-written", "results-synced"])
def test_disk_full_records_no_result(
    tmp_path: pathlib.Path, point: str
) -> None:
    """Guards against a refused result that appears later."""
    new_sealed_store(tmp_path)
    failing_steps = [point]

    def fault(at: str) -> None:
        if at in failing_steps:
            raise OSError(errno.ENOSPC, "no space")

    store = segments.SegmentStore(tmp_path, fault_hook=fault)
    with pytest.raises(errors.DiskFullError):
        append(store, 1, result(0, b"refused"))
    failing_steps.clear()
    append(store, 1, result(1))
    assert (
        results_by_index(store)
        == results_by_index(segments.SegmentStore(tmp_path))
        == {1: b"r"}
    )


CRASH_SCRIPT = """
import os, pathlib, sys
from ibisknot import segments
from ibisknot.gen.segments import ttypes
folder, point = pathlib.Path(sys.argv[1]), sys.argv[2]
def fault(at):
    if at == point:
        os._exit(9)
def report(step):
    os.write(1, (step + "\\n").encode())
store = segments.SegmentStore(folder, fault_hook=fault)
store.write_segment("up", 0, [b"a", b"b"]); report("written")
store.link_segments("up", "g", 1); report("linked")
store.seal_group("g", 1); report("sealed")
result = ttypes.Result(index=0, body=b"r", failed=False)
store.append_results("g", [(1, [result])])
report("appended")
store.delete_group("up", 0); report("deleted")
"""
WRITE_STEPS = [
    "items-written",
    "items-flushed",
    "items-synced",
    "items-renamed",
    "links-made",
    "links-renamed",
    "epoch-synced",
    "epoch-renamed",
    "results-written",
    "results-synced",
    "delete-renamed",
]


@pytest.mark.parametrize("point", WRITE_STEPS)
def test_crash_at_each_write_step(tmp_path: pathlib.Path, point: str) -> None:
    """Guards against an acknowledged step that a crash undoes."""
    process = subprocess.run(
        [sys.executable, "-c", CRASH_SCRIPT, str(tmp_path), point],
        capture_output=True,
        text=True,
        check=False,
    )
    assert process.returncode == 9, process.stderr
    steps = process.stdout.split()
    store = segments.SegmentStore(tmp_path)
    if "written" in steps and point != "delete-renamed":
        assert store.read_segment("up", 0) == [b"a", b"b"]
    else:
        store.write_segment("up", 0, [b"a", b"b"])
    if "linked" not in steps:
        store.link_segments("up", "g", 1)
    assert store.read_segment("g", 0) == [b"a", b"b"]
    if "sealed" in steps:
        assert store.results_log("g").epoch == 1
    store.seal_group("g", 1)
    if "appended" in steps:
        assert results_by_index(store) == {0: b"r"}
    assert results_by_index(store) in ({}, {0: b"r"})
    append(store, 1, result(0, b"other"))
    assert set(results_by_index(segments.SegmentStore(tmp_path))) == {0}


def test_result_pages_are_limited(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an answer that does not fit into a peer message."""
    monkeypatch.setattr(segments, "RESULT_PAGE_LIMIT_BYTES", 100)
    store = new_sealed_store(tmp_path)
    append(store, 1, *(result(index, b"x" * 60) for index in range(5)))
    indexes: list[int] = []
    first = 0
    while first >= 0:
        page = store.read_results("g", first)
        assert len(page.results) <= 2
        indexes.extend(r.index for r in page.results)
        first = page.next
    assert indexes == [0, 1, 2, 3, 4]


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    sizes=strategies.lists(strategies.integers(0, 40), max_size=8),
    damaged_index=strategies.integers(0, 7),
    window_bytes=strategies.integers(1, 50),
    torn_tail=strategies.binary(max_size=20),
)
def test_scan_finds_all_records_but_the_damaged_one(
    sizes: list[int], damaged_index: int, window_bytes: int, torn_tail: bytes
) -> None:
    """Guards against records that are missed where a window ends."""
    bodies = [bytes([65 + n]) * size for n, size in enumerate(sizes)]
    frames = [bytearray(result_log.encode_frame(body)) for body in bodies]
    if damaged_index < len(frames):
        frames[damaged_index][-1] ^= 255
        del bodies[damaged_index]
    scanned: list[bytes] = []
    data = b"".join(frames) + torn_tail
    normal_window_bytes = result_log.SCAN_WINDOW_BYTES
    result_log.SCAN_WINDOW_BYTES = window_bytes
    try:
        result = result_log.scan(
            io.BytesIO(data), lambda _, body: scanned.append(body)
        )
    finally:
        result_log.SCAN_WINDOW_BYTES = normal_window_bytes
    assert scanned == bodies
    assert result.end_offset + result.torn_bytes == len(data)


def test_frame_mark_is_not_utf8() -> None:
    """Guards against a caller's item that is read as a record."""
    with pytest.raises(UnicodeDecodeError):
        result_log.FRAME_MARK.decode()


def test_group_name_outside_the_folder_is_refused(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a group name that gives access to other files."""
    store = segments.SegmentStore(tmp_path)
    for name in ("../x", "", "a/b", ".staged-a", os.sep):
        with pytest.raises(errors.SegmentError):
            store.write_segment(name, 0, [b"a"])
