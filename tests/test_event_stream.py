"""Splitting of event streams, however their bytes are divided."""

import pytest

from ibisknot import event_stream

EMPTY_EVENTS = [b"\n\n", b"\r\n\r\n", b": \n\n", b"data:\n\n", b"id: 7\n\n"]
UNFINISHED = [b"\n:", b"\r\n:", b"data: x\n", b"\r", b"x"]


def _work_bytes(data: bytes, piece_bytes: int) -> int:
    """Returns the number of bytes looked at to split data that is divided."""
    splitter = event_stream.Splitter()
    for start in range(0, len(data), piece_bytes):
        list(event_stream.feed(splitter, data[start : start + piece_bytes]))
    return splitter.work_bytes


@pytest.mark.parametrize("piece_bytes", [1, 7, 1 << 16])
@pytest.mark.parametrize("piece", EMPTY_EVENTS + UNFINISHED)
def test_work_grows_linearly(piece: bytes, piece_bytes: int) -> None:
    """Guards against an answer that holds up a process for seconds."""
    data = piece * (30_000 // len(piece))
    once = _work_bytes(data, piece_bytes)
    twice = _work_bytes(data + data, piece_bytes)
    assert once <= event_stream.MAX_EVENT_END_BYTES * len(data)
    assert twice <= 2.1 * once


@pytest.mark.parametrize("end", [b"\n", b"\r\n"])
@pytest.mark.parametrize("piece_bytes", [1, 2, 3, 5, 100])
def test_events_do_not_depend_on_how_their_bytes_are_divided(
    end: bytes, piece_bytes: int
) -> None:
    """Guards against an end of an event that is divided and not found."""
    lines = [b"id: 1", b"data: a", b"", b": note", b"", b"id: 2", b"data: b"]
    data = end.join([*lines, b"", b"id: 3"])
    splitter = event_stream.Splitter()
    events: list[event_stream.Event] = []
    for start in range(0, len(data), piece_bytes):
        events += event_stream.feed(splitter, data[start : start + piece_bytes])
    assert [(e.id, e.data) for e in events] == [(1, "a"), (None, ""), (2, "b")]
    assert splitter.incomplete == b"id: 3"


def test_event_without_end_is_refused() -> None:
    """Guards against memory that an endless event takes."""
    splitter = event_stream.Splitter()
    with pytest.raises(ValueError, match="size limit"):
        for _ in range(event_stream.MAX_EVENT_BYTES // 1000 + 1):
            list(event_stream.feed(splitter, b"x" * 1000))
