"""Tests the compressed parts of updates between processes."""

import zlib

import pytest

from ibisknot import errors
from ibisknot import pairs
from ibisknot import view_encoding
from ibisknot.gen.fleet import ttypes

ENTRIES = {
    f"servers/i-{n}": pairs.Pair(f"servers/i-{n}", b'{"Slots":8}', n)
    for n in range(1, 60)
}


def _update(**parts: object) -> ttypes.ViewNews:
    return ttypes.ViewNews(sender="w-1", configuration_revision=3, **parts)


def test_compressed_parts_are_read_as_they_were_sent() -> None:
    """Guards against entries or a configuration that change on the way."""
    compressor = view_encoding.Compressor()
    update = _update(
        compressed_configuration=compressor.compress_configuration(3, b"{}"),
        compressed_endpoints=compressor.compress_entries(ENTRIES),
    )
    assert view_encoding.configuration_of(update) == b"{}"
    assert view_encoding.entries_of(update) == list(ENTRIES.values())


def test_parts_of_earlier_builds_are_read() -> None:
    """Guards against a fleet of two builds that cannot exchange views."""
    update = _update(
        configuration=b"{}", endpoints=view_encoding.to_wire(ENTRIES.values())
    )
    assert view_encoding.configuration_of(update) == b"{}"
    assert view_encoding.entries_of(update) == list(ENTRIES.values())
    assert view_encoding.configuration_of(_update()) is None
    assert view_encoding.entries_of(_update()) is None


def test_replaced_parts_are_compressed_again() -> None:
    """Guards against an update that repeats an older view."""
    compressor = view_encoding.Compressor()
    compressor.compress_configuration(3, b"old")
    compressor.compress_entries(ENTRIES)
    update = _update(
        compressed_configuration=compressor.compress_configuration(4, b"new"),
        compressed_endpoints=compressor.compress_entries({}),
    )
    assert view_encoding.configuration_of(update) == b"new"
    assert view_encoding.entries_of(update) == []


def test_part_that_cannot_be_decompressed_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a peer's message that fills the memory."""
    whole = zlib.compress(b"x" * 1000)
    monkeypatch.setattr(view_encoding, "MAX_DECODED_BYTES", 999)
    for data in (b"no zlib", whole[:-2], whole):
        with pytest.raises(errors.PeerError):
            view_encoding.configuration_of(
                _update(compressed_configuration=data)
            )
