"""Segments on disk."""

import pathlib

import pytest

from ibisknot import errors
from ibisknot import segments
from ibisknot.gen.segments import ttypes


def result(index: int, body: bytes = b"r") -> ttypes.Result:
    return ttypes.Result(index=index, body=body, failed=False)


def test_rewrite_with_other_items_is_refused(tmp_path: pathlib.Path) -> None:
    """Guards against a segment changing after it was acknowledged."""
    kept = segments.Segments(tmp_path)
    assert kept.write("s", [b"a"]) == kept.write("s", [b"a"])
    with pytest.raises(errors.SegmentError):
        kept.write("s", [b"b"])


def test_first_result_stays(tmp_path: pathlib.Path) -> None:
    """Guards against a second run replacing a result."""
    kept = segments.Segments(tmp_path)
    kept.seal("s", 1)
    kept.append("s", 1, [result(0, b"first")])
    kept.append("s", 1, [result(0, b"second")])
    again = segments.Segments(tmp_path)
    assert [r.body for r in again.results("s")] == [b"first"]


def test_superseded_epoch_is_refused_after_restart(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an owner that was paused past its lease."""
    segments.Segments(tmp_path).seal("s", 2)
    kept = segments.Segments(tmp_path)
    with pytest.raises(errors.FencedError):
        kept.append("s", 1, [result(0)])
    with pytest.raises(errors.FencedError):
        kept.seal("s", 1)


def test_torn_tail_is_cut(tmp_path: pathlib.Path) -> None:
    """Guards against a crash in the middle of an append."""
    kept = segments.Segments(tmp_path)
    kept.seal("s", 1)
    kept.append("s", 1, [result(0), result(1)])
    path = tmp_path / "s.results"
    path.write_bytes(path.read_bytes()[:-1])
    kept = segments.Segments(tmp_path)
    assert [r.index for r in kept.results("s")] == [0]
    kept.append("s", 1, [result(2)])
    kept = segments.Segments(tmp_path)
    assert [r.index for r in kept.results("s")] == [0, 2]
