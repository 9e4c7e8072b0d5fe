"""What a process remembers of the streams that have begun."""

import pytest

from ibisknot import stream_origins


def _origin(version: str, attempt: int) -> stream_origins.Origin:
    return stream_origins.Origin("s", version, attempt)


@pytest.mark.parametrize("order", [(1, 2), (2, 1)])
def test_later_attempt_counts_in_any_order_of_messages(
    order: tuple[int, int],
) -> None:
    """Guards against the software of an attempt that brought no event."""
    table = stream_origins.Table()
    for attempt in order:
        table.record("a", _origin(f"v{attempt}", attempt), now=1.0)
    found = table.find("a")
    assert found is not None
    assert found.software_version == "v2"


def test_streams_are_forgotten_after_a_time_and_over_a_count(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against memory that grows with every stream."""
    monkeypatch.setattr(stream_origins, "MAX_STREAMS", 3)
    table = stream_origins.Table()
    for index in range(5):
        table.record(str(index), _origin("v1", 1), now=float(index))
    assert len(table.origins) == 3
    assert table.find("1") is None
    table.record("late", _origin("v1", 1), now=stream_origins.RETENTION_S + 3.5)
    assert table.find("3") is None
    assert table.find("4") is not None


def test_stream_without_an_id_is_not_recorded() -> None:
    """Guards against one origin for all streams that have no id."""
    table = stream_origins.Table()
    table.record("", _origin("v1", 1), now=1.0)
    assert table.find("") is None
