"""Framed, checksummed records, and the append-only log of a group's results.

A frame is a mark, the body's length, a checksum of length and body, and the
body. The mark lets a reader find the next whole record behind damage.
"""

import array
from collections.abc import Callable
import dataclasses
import os
import pathlib
import struct

import xxhash

from ibisknot import logs
from ibisknot.gen.segments import ttypes

EPOCH_NAME = "epoch"
LOG_NAME = "results"
# Bodies are JSON text, and no UTF-8 text holds this mark, so a caller cannot
# place a false record into a body.
MARK = b"\xf1ibr"
_HEADER = struct.Struct("!4sIQ")
_RESULT = struct.Struct("!Q?")


@dataclasses.dataclass(slots=True)
class Record:
    """A whole record and where its frame begins."""

    offset: int
    body: bytes


@dataclasses.dataclass(slots=True)
class Scan:
    """What was found in a file of frames.

    Attributes:
        records: The whole records.
        length: Position after the last whole record.
        damaged: Bytes before `length` that belong to no whole record.
        torn: Bytes after `length`.
    """

    records: list[Record]
    length: int
    damaged: int
    torn: int


def _checksum(body: bytes) -> int:
    return xxhash.xxh3_64_intdigest(body, seed=len(body))


def frame(body: bytes) -> bytes:
    """Returns the frame of a record."""
    return _HEADER.pack(MARK, len(body), _checksum(body)) + body


def _record_at(data: bytes, position: int) -> bytes | None:
    if position + _HEADER.size > len(data):
        return None
    mark, size, checksum = _HEADER.unpack_from(data, position)
    start = position + _HEADER.size
    if mark != MARK or start + size > len(data):
        return None
    body = data[start : start + size]
    return body if _checksum(body) == checksum else None


def scan(data: bytes) -> Scan:
    """Finds all whole records, also those behind damage.

    >>> data = frame(b"a") + frame(b"b") + frame(b"c")
    >>> [r.body for r in scan(data[:20] + b"?" + data[21:]).records]
    [b'a', b'c']
    """
    found = Scan(records=[], length=0, damaged=0, torn=0)
    position = 0
    while position < len(data):
        body = _record_at(data, position)
        if body is None:
            position = data.find(MARK, position + 1)
            if position < 0:
                break
            continue
        found.records.append(Record(position, body))
        found.damaged += position - found.length
        position += _HEADER.size + len(body)
        found.length = position
    found.torn = len(data) - found.length
    return found


class Log:
    """The results of one group, by item; bodies stay on the disk.

    Attributes:
        epoch: The epoch that may append.
        size: Bytes of the log that are durable.
        places: For each item 1 + the position of its result, or 0.
        failed: Bit map of the items whose result is an error.
        damaged: Bytes of the log that could not be read.
    """

    __slots__ = ("damaged", "epoch", "failed", "places", "size")

    def __init__(self) -> None:
        self.epoch = 0
        self.size = 0
        self.places = array.array("q")
        self.failed = bytearray()
        self.damaged = 0

    def has(self, index: int) -> bool:
        """Returns whether an item has a result."""
        return index < len(self.places) and self.places[index] != 0

    def note(self, index: int, failed: bool, offset: int) -> None:
        """Takes a result into the index; the first one stays."""
        if self.has(index):
            return
        missing = index + 1 - len(self.places)
        if missing > 0:
            self.places.extend([0] * missing)
            self.failed.extend(bytes((index >> 3) + 1 - len(self.failed)))
        self.places[index] = offset + 1
        if failed:
            self.failed[index >> 3] |= 1 << (index & 7)

    def done_bits(self) -> bytes:
        """Returns the bit map of the items with a result."""
        bits = bytearray((len(self.places) + 7) // 8)
        for index, place in enumerate(self.places):
            if place:
                bits[index >> 3] |= 1 << (index & 7)
        return bytes(bits)

    def append(
        self,
        folder: pathlib.Path,
        results: list[ttypes.Result],
        fault: Callable[[str], None],
    ) -> None:
        """Appends results that are not in the log, and fsyncs once.

        Raises:
            OSError: The disk failed; `undo` takes the half-done append back.
        """
        path = folder / LOG_NAME
        fresh = not path.exists()
        offsets = []
        position = self.size
        with path.open("ab") as file:
            for result in results:
                head = _RESULT.pack(result.index, result.failed)
                data = frame(head + result.body)
                file.write(data)
                offsets.append(position)
                position += len(data)
            fault("results-written")
            file.flush()
            fault("results-flushed")
            os.fsync(file.fileno())
        if fresh:
            descriptor = os.open(folder, os.O_RDONLY)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
        fault("results-synced")
        self.size = position
        for result, offset in zip(results, offsets, strict=True):
            self.note(result.index, result.failed, offset)

    def undo(self, folder: pathlib.Path) -> None:
        """Cuts the log back to its durable length."""
        path = folder / LOG_NAME
        if path.exists():
            os.truncate(path, self.size)

    def read(
        self, folder: pathlib.Path, first: int, count: int, size: int
    ) -> tuple[list[ttypes.Result], int]:
        """Returns results from an item on, and the next item or -1."""
        found: list[ttypes.Result] = []
        if first >= len(self.places):
            return found, -1
        with (folder / LOG_NAME).open("rb") as file:
            taken = 0
            for index in range(first, len(self.places)):
                if not self.places[index]:
                    continue
                if len(found) >= count or taken >= size:
                    return found, index
                file.seek(self.places[index] - 1)
                header = file.read(_HEADER.size)
                body = file.read(_HEADER.unpack(header)[1])
                _, failed = _RESULT.unpack_from(body)
                taken += len(body)
                found.append(
                    ttypes.Result(
                        index=index, body=body[_RESULT.size :], failed=failed
                    )
                )
        return found, -1


def load(folder: pathlib.Path) -> Log:
    """Reads a group's log; cuts a torn tail and reports damage."""
    log = Log()
    seal = folder / EPOCH_NAME
    if seal.exists():
        log.epoch = int(seal.read_text(encoding="ascii"))
    path = folder / LOG_NAME
    if not path.exists():
        return log
    found = scan(path.read_bytes())
    if found.torn:
        os.truncate(path, found.length)
        logs.event("results_tail_cut", group=folder.name, size=found.torn)
    if found.damaged:
        log.damaged = found.damaged
        logs.event(
            "results_damaged",
            level="error",
            group=folder.name,
            size=found.damaged,
        )
    log.size = found.length
    for record in found.records:
        index, failed = _RESULT.unpack_from(record.body)
        log.note(index, failed, record.offset)
    return log
