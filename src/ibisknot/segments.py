"""Write-once segments of items, and their results, under a data folder.

A segment is a file of framed records, each a length, a checksum and a body.
Its results are a second, append-only file. A torn tail after a crash is cut
at the last whole record.
"""

import dataclasses
import errno
import os
import pathlib
import re
import struct

import xxhash

from ibisknot import errors
from ibisknot.gen.segments import ttypes

_HEADER = struct.Struct("!IQ")
_RESULT = struct.Struct("!Q?")
_NAME = re.compile(r"[A-Za-z0-9-]{1,80}")


@dataclasses.dataclass(slots=True)
class Open:
    """What is held in memory of one segment.

    Attributes:
        epoch: Lowest epoch that may append results.
        results: Results by item index.
    """

    epoch: int
    results: dict[int, ttypes.Result]


def _frame(body: bytes) -> bytes:
    return _HEADER.pack(len(body), xxhash.xxh3_64_intdigest(body)) + body


def _records(data: bytes) -> tuple[list[bytes], int]:
    """Returns the whole records and the length that they take."""
    found = []
    position = 0
    while position + _HEADER.size <= len(data):
        size, checksum = _HEADER.unpack_from(data, position)
        start = position + _HEADER.size
        body = data[start : start + size]
        if len(body) < size or xxhash.xxh3_64_intdigest(body) != checksum:
            break
        found.append(body)
        position = start + size
    return found, position


def _sync_folder(folder: pathlib.Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def digest(items: list[bytes]) -> str:
    """Returns a digest of a segment's items.

    >>> digest([b"a"]) == digest([b"a"])
    True
    """
    state = xxhash.xxh3_128()
    for item in items:
        state.update(_HEADER.pack(len(item), 0))
        state.update(item)
    return state.hexdigest()


class Segments:
    """The segments under one data folder. Its calls block on the disk."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.folder.mkdir(parents=True, exist_ok=True)
        self.open: dict[str, Open] = {}

    def _path(self, segment: str, suffix: str) -> pathlib.Path:
        if not _NAME.fullmatch(segment):
            raise errors.SegmentError(f"invalid segment name {segment!r}")
        return self.folder / f"{segment}.{suffix}"

    def write(self, segment: str, items: list[bytes]) -> str:
        """Writes and fsyncs a segment; returns the digest of its items.

        Raises:
            SegmentError: The segment exists with other items.
            DiskFullError: The disk is full; nothing was written.
        """
        path = self._path(segment, "items")
        wanted = digest(items)
        if path.exists():
            if digest(self.read(segment)) != wanted:
                raise errors.SegmentError(f"segment {segment} differs")
            return wanted
        temporary = self._path(segment, "partial")
        try:
            with temporary.open("wb") as file:
                for item in items:
                    file.write(_frame(item))
                file.flush()
                os.fsync(file.fileno())
            temporary.rename(path)
            _sync_folder(self.folder)
        except OSError as error:
            temporary.unlink(missing_ok=True)
            raise _disk_error(error) from None
        return wanted

    def read(
        self, segment: str, *, first: int = 0, count: int | None = None
    ) -> list[bytes]:
        """Returns a segment's items.

        Raises:
            SegmentError: The segment is missing or damaged.
        """
        path = self._path(segment, "items")
        if not path.exists():
            raise errors.SegmentError(f"segment {segment} is missing")
        data = path.read_bytes()
        items, length = _records(data)
        if length != len(data):
            raise errors.SegmentError(f"segment {segment} is damaged")
        end = None if count is None else first + count
        return items[first:end]

    def _load(self, segment: str) -> Open:
        known = self.open.get(segment)
        if known is not None:
            return known
        known = Open(epoch=0, results={})
        seal = self._path(segment, "epoch")
        if seal.exists():
            known.epoch = int(seal.read_text(encoding="ascii"))
        path = self._path(segment, "results")
        if path.exists():
            data = path.read_bytes()
            records, length = _records(data)
            if length != len(data):
                os.truncate(path, length)
            for record in records:
                index, failed = _RESULT.unpack_from(record)
                body = record[_RESULT.size :]
                result = ttypes.Result(index=index, body=body, failed=failed)
                known.results.setdefault(index, result)
        self.open[segment] = known
        return known

    def seal(self, segment: str, epoch: int) -> None:
        """Refuses later appends with a lower epoch, durably.

        Raises:
            FencedError: A higher epoch has sealed the segment.
        """
        known = self._load(segment)
        if epoch < known.epoch:
            message = f"segment {segment} is sealed by epoch {known.epoch}"
            raise errors.FencedError(message)
        if epoch == known.epoch:
            return
        path = self._path(segment, "epoch")
        temporary = self._path(segment, "epoch-partial")
        try:
            with temporary.open("w", encoding="ascii") as file:
                file.write(str(epoch))
                file.flush()
                os.fsync(file.fileno())
            temporary.rename(path)
            _sync_folder(self.folder)
        except OSError as error:
            raise _disk_error(error) from None
        known.epoch = epoch

    def append(
        self, segment: str, epoch: int, results: list[ttypes.Result]
    ) -> None:
        """Appends and fsyncs results; the first result of an item stays.

        Raises:
            FencedError: Another epoch than this one holds the segment.
            DiskFullError: The disk is full; nothing was recorded.
        """
        known = self._load(segment)
        if epoch != known.epoch:
            message = f"segment {segment} is held by epoch {known.epoch}"
            raise errors.FencedError(message)
        fresh = {r.index: r for r in results if r.index not in known.results}
        if not fresh:
            return
        path = self._path(segment, "results")
        size = path.stat().st_size if path.exists() else 0
        try:
            with path.open("ab") as file:
                for result in fresh.values():
                    head = _RESULT.pack(result.index, result.failed)
                    file.write(_frame(head + result.body))
                file.flush()
                os.fsync(file.fileno())
        except OSError as error:
            if path.exists():
                os.truncate(path, size)
            raise _disk_error(error) from None
        known.results.update(fresh)

    def results(self, segment: str) -> list[ttypes.Result]:
        """Returns a segment's results in item order."""
        known = self._load(segment)
        return [known.results[index] for index in sorted(known.results)]

    def delete(self, segment: str) -> None:
        """Removes a segment and its results."""
        self.open.pop(segment, None)
        for suffix in ("items", "results", "epoch"):
            self._path(segment, suffix).unlink(missing_ok=True)


def _disk_error(error: OSError) -> errors.IbisknotError:
    if error.errno in (errno.ENOSPC, errno.EDQUOT):
        return errors.DiskFullError("the disk is full")
    return errors.SegmentError(f"the disk failed: {error}")
