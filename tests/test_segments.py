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


def found(kept: segments.SegmentStore) -> dict[int, bytes]:
    return {r.index: r.body for r in kept.read_results("g", 0).results}


def prepared(folder: pathlib.Path, epoch: int = 1) -> segments.SegmentStore:
    kept = segments.SegmentStore(folder)
    kept.write_segment("g", 0, [b"a", b"b", b"c"])
    kept.seal_group("g", epoch)
    return kept


def append(
    kept: segments.SegmentStore, epoch: int, *results: ttypes.Result
) -> None:
    for error in kept.append_results("g", [(epoch, list(results))]):
        if error is not None:
            raise error


def test_rewrite_with_other_items_is_refused(tmp_path: pathlib.Path) -> None:
    """Guards against a segment changing after it was acknowledged."""
    kept = segments.SegmentStore(tmp_path)
    assert kept.write_segment("g", 0, [b"a"]) == kept.write_segment(
        "g", 0, [b"a"]
    )
    with pytest.raises(errors.SegmentError):
        kept.write_segment("g", 0, [b"b"])


def test_first_result_stays(tmp_path: pathlib.Path) -> None:
    """Guards against a second run replacing a result."""
    kept = prepared(tmp_path)
    append(kept, 1, result(0, b"first"), result(0, b"same call"))
    append(kept, 1, result(0, b"second"))
    assert found(segments.SegmentStore(tmp_path)) == {0: b"first"}


def test_superseded_epoch_is_refused_after_restart(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an owner that was paused past its lease."""
    prepared(tmp_path, epoch=2)
    kept = segments.SegmentStore(tmp_path)
    with pytest.raises(errors.FencedError):
        append(kept, 1, result(0))
    with pytest.raises(errors.FencedError):
        kept.seal_group("g", 1)
    with pytest.raises(errors.FencedError):
        kept.delete_group("g", 1)


def test_shared_fsync_refuses_only_the_old_epoch(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against one append's refusal touching those it waits with."""
    kept = prepared(tmp_path, epoch=2)
    batches = [(1, [result(0, b"old")]), (2, [result(0, b"new")])]
    first, second = kept.append_results("g", batches)
    assert isinstance(first, errors.FencedError)
    assert second is None
    assert found(kept) == {0: b"new"}


def test_empty_disk_is_no_empty_group(tmp_path: pathlib.Path) -> None:
    """Guards against a replaced disk passing for a copy without results."""
    kept = segments.SegmentStore(tmp_path)
    with pytest.raises(errors.SegmentMissingError):
        kept.seal_group("g", 1)
    with pytest.raises(errors.SegmentMissingError):
        kept.append_results("g", [(1, [result(0)])])


@pytest.mark.parametrize("cut", [1, 5, 17, 20])
def test_torn_tail_is_cut(tmp_path: pathlib.Path, cut: int) -> None:
    """Guards against a crash in the middle of an append."""
    kept = prepared(tmp_path)
    append(kept, 1, result(0, b"x" * 10), result(1, b"y" * 10))
    path = tmp_path / "g" / "results"
    path.write_bytes(path.read_bytes()[:-cut])
    kept = segments.SegmentStore(tmp_path)
    assert set(found(kept)) == {0}
    append(kept, 1, result(2))
    assert set(found(segments.SegmentStore(tmp_path))) == {0, 2}


def test_damaged_middle_is_passed_over_and_reported(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against one bad sector hiding all results behind it."""
    kept = prepared(tmp_path)
    append(kept, 1, result(0), result(1), result(2))
    path = tmp_path / "g" / "results"
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 255
    path.write_bytes(data)
    kept = segments.SegmentStore(tmp_path)
    assert kept.find_damaged_groups() == ["g"]
    assert set(found(kept)) == {0, 2}
    append(kept, 1, result(1, b"again"))
    assert found(segments.SegmentStore(tmp_path))[1] == b"again"


def test_deleted_file_keeps_segments_of_its_jobs(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a job losing its items with the caller's file."""
    kept = segments.SegmentStore(tmp_path)
    kept.write_segment("file-1", 0, [b"a"])
    kept.link_segments("file-1", "batch-1", 1)
    kept.delete_group("file-1", 0)
    assert kept.read_segment("batch-1", 0) == [b"a"]
    with pytest.raises(errors.SegmentMissingError):
        kept.link_segments("file-1", "batch-2", 1)


@pytest.mark.parametrize("point", ["items-written", "items-renamed"])
def test_disk_full_leaves_no_segment(
    tmp_path: pathlib.Path, point: str
) -> None:
    """Guards against a refused write that is there all the same."""

    def fault(at: str) -> None:
        if at == point:
            raise OSError(errno.ENOSPC, "no space")

    kept = segments.SegmentStore(tmp_path, fault_hook=fault)
    with pytest.raises(errors.DiskFullError) as refused:
        kept.write_segment("g", 0, [b"a"])
    assert refused.value.ran == errors.NOT_RUN
    assert list(tmp_path.glob("g/*")) == []


@pytest.mark.parametrize("point", ["results-written", "results-synced"])
def test_disk_full_records_no_result(
    tmp_path: pathlib.Path, point: str
) -> None:
    """Guards against a refused result that appears later."""
    prepared(tmp_path)
    full = [point]

    def fault(at: str) -> None:
        if at in full:
            raise OSError(errno.ENOSPC, "no space")

    kept = segments.SegmentStore(tmp_path, fault_hook=fault)
    with pytest.raises(errors.DiskFullError):
        append(kept, 1, result(0, b"refused"))
    full.clear()
    append(kept, 1, result(1))
    assert found(kept) == found(segments.SegmentStore(tmp_path)) == {1: b"r"}


CRASH = """
import os, pathlib, sys
from ibisknot import segments
from ibisknot.gen.segments import ttypes
folder, point = pathlib.Path(sys.argv[1]), sys.argv[2]
def fault(at):
    if at == point:
        os._exit(9)
def say(step):
    os.write(1, (step + "\\n").encode())
kept = segments.SegmentStore(folder, fault_hook=fault)
kept.write_segment("up", 0, [b"a", b"b"]); say("written")
kept.link_segments("up", "g", 1); say("linked")
kept.seal_group("g", 1); say("sealed")
result = ttypes.Result(index=0, body=b"r", failed=False)
kept.append_results("g", [(1, [result])])
say("appended")
kept.delete_group("up", 0); say("deleted")
"""
POINTS = [
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


@pytest.mark.parametrize("point", POINTS)
def test_crash_at_each_write_step(tmp_path: pathlib.Path, point: str) -> None:
    """Guards against a step that is lost after it was acknowledged."""
    done = subprocess.run(
        [sys.executable, "-c", CRASH, str(tmp_path), point],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 9, done.stderr
    steps = done.stdout.split()
    kept = segments.SegmentStore(tmp_path)
    if "written" in steps and point != "delete-renamed":
        assert kept.read_segment("up", 0) == [b"a", b"b"]
    else:
        kept.write_segment("up", 0, [b"a", b"b"])
    if "linked" not in steps:
        kept.link_segments("up", "g", 1)
    assert kept.read_segment("g", 0) == [b"a", b"b"]
    if "sealed" in steps:
        assert kept.results_log("g").epoch == 1
    kept.seal_group("g", 1)
    if "appended" in steps:
        assert found(kept) == {0: b"r"}
    assert found(kept) in ({}, {0: b"r"})
    append(kept, 1, result(0, b"other"))
    assert set(found(segments.SegmentStore(tmp_path))) == {0}


def test_pages_of_results_are_bounded(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an answer that does not fit into a frame."""
    monkeypatch.setattr(segments, "RESULT_PAGE_LIMIT_BYTES", 100)
    kept = prepared(tmp_path)
    append(kept, 1, *(result(index, b"x" * 60) for index in range(5)))
    seen: list[int] = []
    first = 0
    while first >= 0:
        page = kept.read_results("g", first)
        assert len(page.results) <= 2
        seen.extend(r.index for r in page.results)
        first = page.next
    assert seen == [0, 1, 2, 3, 4]


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    sizes=strategies.lists(strategies.integers(0, 40), max_size=8),
    broken=strategies.integers(0, 7),
    window=strategies.integers(1, 50),
    torn=strategies.binary(max_size=20),
)
def test_scan_finds_all_records_but_the_broken_one(
    sizes: list[int], broken: int, window: int, torn: bytes
) -> None:
    """Guards against records that are lost where a window ends."""
    bodies = [bytes([65 + n]) * size for n, size in enumerate(sizes)]
    frames = [bytearray(result_log.encode_frame(body)) for body in bodies]
    if broken < len(frames):
        frames[broken][-1] ^= 255
        del bodies[broken]
    found: list[bytes] = []
    data = b"".join(frames) + torn
    kept = result_log.SCAN_WINDOW_BYTES
    result_log.SCAN_WINDOW_BYTES = window
    try:
        scan = result_log.scan(
            io.BytesIO(data), lambda _, body: found.append(body)
        )
    finally:
        result_log.SCAN_WINDOW_BYTES = kept
    assert found == bodies
    assert scan.end_offset + scan.torn_bytes == len(data)


def test_frame_mark_is_no_text() -> None:
    """Guards against a caller's item that passes for a record."""
    with pytest.raises(UnicodeDecodeError):
        result_log.FRAME_MARK.decode()


def test_name_cannot_leave_the_folder(tmp_path: pathlib.Path) -> None:
    """Guards against a group name that reaches other files."""
    kept = segments.SegmentStore(tmp_path)
    for name in ("../x", "", "a/b", ".staged-a", os.sep):
        with pytest.raises(errors.SegmentError):
            kept.write_segment(name, 0, [b"a"])
