"""Framed, checksummed records, and the append-only log of a group's results.

A frame is a mark, the body's length, a checksum of length and body, and the
body. The mark lets a reader find the next whole record behind damage.
"""

import array
from collections.abc import Callable
import dataclasses
import io
import os
import pathlib
import struct
from typing import IO

import xxhash

from ibisknot import logs
from ibisknot.gen.segments import ttypes

EPOCH_NAME = "epoch"
LOG_NAME = "results"
# Bodies are JSON text, and no UTF-8 text holds this mark, so a caller cannot
# place a false record into a body.
MARK = b"\xf1ibr"
MAXIMUM_BODY_BYTES = 16 * 1024 * 1024
WINDOW_BYTES = 1024 * 1024
_HEADER = struct.Struct("!4sIQ")
_RESULT = struct.Struct("!Q?")


@dataclasses.dataclass(slots=True)
class Scan:
    """What was found in a file of frames.

    Attributes:
        length: Position after the last whole record.
        damaged: Bytes before `length` that belong to no whole record.
        torn: Bytes after `length`.
    """

    length: int = 0
    damaged: int = 0
    torn: int = 0


def _checksum(body: bytes) -> int:
    return xxhash.xxh3_64_intdigest(body)


def frame(body: bytes) -> bytes:
    """Returns the frame of a record."""
    return _HEADER.pack(MARK, len(body), _checksum(body)) + body


def _wanted(window: bytes, position: int) -> int:
    """Returns the bytes of the frame at a position, or 0 if there is none.

    If too few bytes are there to tell, it is the size of a header.
    """
    mark = window[position : position + len(MARK)]
    if mark != MARK[: len(mark)]:
        return 0
    if len(window) - position < _HEADER.size:
        return _HEADER.size
    size = _HEADER.unpack_from(window, position)[1]
    return _HEADER.size + size if size <= MAXIMUM_BODY_BYTES else 0


def _body(window: bytes, position: int, size: int) -> bytes | None:
    """Returns the body of a whole frame, or None when it is damaged."""
    checksum = _HEADER.unpack_from(window, position)[2]
    body = window[position + _HEADER.size : position + size]
    return body if _checksum(body) == checksum else None


def scan(file: IO[bytes], take: Callable[[int, bytes], None]) -> Scan:
    """Finds all whole records of a file, also those behind damage.

    Only a window of the file is in memory.

    Args:
        file: The file, read from where it stands.
        take: Called with the position and the body of each record.

    >>> found = []
    >>> data = frame(b"a") + frame(b"b") + frame(b"c")
    >>> data = data[:20] + b"?" + data[21:] + b"torn"
    >>> scan(io.BytesIO(data), lambda _, body: found.append(body)).torn
    4
    >>> found
    [b'a', b'c']
    """
    found = Scan()
    window = file.read(WINDOW_BYTES)
    base = 0
    position = 0
    while True:
        size = _wanted(window, position)
        if position + max(size, 1) > len(window):
            more = file.read(max(WINDOW_BYTES, size))
            if more:
                window = window[position:] + more
                base += position
                position = 0
                continue
            if position >= len(window):
                break
            size = 0
        body = _body(window, position, size) if size else None
        if body is None:
            position = _next_mark(window, position + 1)
            continue
        offset = base + position
        take(offset, body)
        found.damaged += offset - found.length
        position += size
        found.length = base + position
    found.torn = base + len(window) - found.length
    return found


def _next_mark(window: bytes, position: int) -> int:
    """Returns where the next mark may begin."""
    found = window.find(MARK, position)
    if found >= 0:
        return found
    # A mark may begin in the last bytes of the window.
    return max(position, len(window) - len(MARK) + 1)


def _write_all(file: io.FileIO, data: bytes) -> None:
    rest = memoryview(data)
    while rest:
        rest = rest[file.write(rest) :]


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

    def grow(self, size: int) -> None:
        """Makes room for items up to a number."""
        missing = size - len(self.places)
        if missing > 0:
            self.places.extend([0] * missing)
            self.failed.extend(bytes((size + 7) // 8 - len(self.failed)))

    def note(self, index: int, failed: bool, offset: int) -> None:
        """Takes a result into the index; the first one stays."""
        self.grow(index + 1)
        if self.places[index]:
            return
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
        fresh = self.size == 0
        parts: list[bytes] = []
        offsets: list[int] = []
        position = self.size
        for result in results:
            body = _RESULT.pack(result.index, result.failed) + result.body
            offsets.append(position)
            parts.append(_HEADER.pack(MARK, len(body), _checksum(body)))
            parts.append(body)
            position += _HEADER.size + len(body)
        with path.open("ab", buffering=0) as file:
            _write_all(file, b"".join(parts))
            fault("results-written")
            os.fsync(file.fileno())
        if fresh:
            descriptor = os.open(folder, os.O_RDONLY)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
        fault("results-synced")
        self.size = position
        self.grow(1 + max(result.index for result in results))
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

    def take(offset: int, body: bytes) -> None:
        index, failed = _RESULT.unpack_from(body)
        log.note(index, failed, offset)

    with path.open("rb") as file:
        found = scan(file, take)
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
    return log
