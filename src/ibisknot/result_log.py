"""Framed, checksummed records, and the append-only log of a group's results.

A frame is a mark, the length of the body, a checksum of the body, and the
body. The mark lets a reader find the next whole record after damaged bytes.
A record of the log is the index of an item, whether its result is an error,
and the body of the result.
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

EPOCH_FILE_NAME = "epoch"
RESULTS_FILE_NAME = "results"
# Bodies are JSON text, and no UTF-8 text contains these bytes, so a caller
# cannot forge a record within a body.
FRAME_MARK = b"\xf1ibr"
MAX_BODY_BYTES = 16 * 1024 * 1024
SCAN_WINDOW_BYTES = 1024 * 1024
_HEADER = struct.Struct("!4sIQ")
_RESULT = struct.Struct("!Q?")


@dataclasses.dataclass(slots=True)
class ScanResult:
    """What `scan` found in a file of frames.

    Attributes:
        end_offset: Offset of the byte after the last whole record.
        damaged_bytes: Number of bytes before `end_offset` that belong to no
            whole record.
        torn_bytes: Number of bytes from `end_offset` on.
    """

    end_offset: int = 0
    damaged_bytes: int = 0
    torn_bytes: int = 0


def _checksum(body: bytes) -> int:
    return xxhash.xxh3_64_intdigest(body)


def encode_frame(body: bytes) -> bytes:
    """Returns the frame of a record."""
    return _HEADER.pack(FRAME_MARK, len(body), _checksum(body)) + body


def _frame_bytes(window: bytes, offset: int) -> int:
    """Returns the size of the frame at an offset, or 0 if there is none.

    If the window ends within the header, the size of a header is returned.
    """
    mark = window[offset : offset + len(FRAME_MARK)]
    if mark != FRAME_MARK[: len(mark)]:
        return 0
    if len(window) - offset < _HEADER.size:
        return _HEADER.size
    body_bytes = _HEADER.unpack_from(window, offset)[1]
    return _HEADER.size + body_bytes if body_bytes <= MAX_BODY_BYTES else 0


def _intact_body(window: bytes, offset: int, frame_bytes: int) -> bytes | None:
    """Returns the body of a frame, or None if its checksum is wrong."""
    checksum = _HEADER.unpack_from(window, offset)[2]
    body = window[offset + _HEADER.size : offset + frame_bytes]
    return body if _checksum(body) == checksum else None


def scan(
    file: IO[bytes], on_record: Callable[[int, bytes], None]
) -> ScanResult:
    """Finds all whole records of a file, also those after damaged bytes.

    Only a window of the file is in memory at a time.

    Args:
        file: The file, read from its current position.
        on_record: Called with the offset and the body of each record.

    >>> bodies = []
    >>> data = b"".join(encode_frame(body) for body in (b"a", b"b", b"c"))
    >>> data = data[:20] + b"?" + data[21:] + b"torn"
    >>> scan(
    ...     io.BytesIO(data), lambda _, body: bodies.append(body)
    ... ).torn_bytes
    4
    >>> bodies
    [b'a', b'c']
    """
    result = ScanResult()
    window = file.read(SCAN_WINDOW_BYTES)
    window_offset = 0
    offset_in_window = 0
    while True:
        frame_bytes = _frame_bytes(window, offset_in_window)
        if offset_in_window + max(frame_bytes, 1) > len(window):
            next_bytes = file.read(max(SCAN_WINDOW_BYTES, frame_bytes))
            if next_bytes:
                window = window[offset_in_window:] + next_bytes
                window_offset += offset_in_window
                offset_in_window = 0
                continue
            if offset_in_window >= len(window):
                break
            frame_bytes = 0
        body = (
            _intact_body(window, offset_in_window, frame_bytes)
            if frame_bytes
            else None
        )
        if body is None:
            offset_in_window = _next_mark(window, offset_in_window + 1)
            continue
        record_offset = window_offset + offset_in_window
        on_record(record_offset, body)
        result.damaged_bytes += record_offset - result.end_offset
        offset_in_window += frame_bytes
        result.end_offset = window_offset + offset_in_window
    result.torn_bytes = window_offset + len(window) - result.end_offset
    return result


def _next_mark(window: bytes, offset: int) -> int:
    """Returns the first offset from `offset` on where a mark may begin."""
    mark_offset = window.find(FRAME_MARK, offset)
    if mark_offset >= 0:
        return mark_offset
    # A mark may begin in the last bytes of the window.
    return max(offset, len(window) - len(FRAME_MARK) + 1)


def _write_all(file: io.FileIO, data: bytes) -> None:
    remaining = memoryview(data)
    while remaining:
        remaining = remaining[file.write(remaining) :]


class ResultLog:
    """Index of the results of one group; the bodies stay on disk.

    Attributes:
        epoch: The epoch that may append.
        durable_bytes: Length of the log up to the last fsync.
        offsets_plus_one: For each item 1 + the offset of the record of its
            result in the log, or 0 if it has none.
        failed_bits: Bit map of the items whose result is an error.
        damaged_bytes: Number of bytes of the log that could not be read.
    """

    __slots__ = (
        "damaged_bytes",
        "epoch",
        "failed_bits",
        "offsets_plus_one",
        "durable_bytes",
    )

    def __init__(self) -> None:
        self.epoch = 0
        self.durable_bytes = 0
        self.offsets_plus_one = array.array("q")
        self.failed_bits = bytearray()
        self.damaged_bytes = 0

    def has_result(self, index: int) -> bool:
        """Returns whether an item has a result."""
        return (
            index < len(self.offsets_plus_one)
            and self.offsets_plus_one[index] != 0
        )

    def extend_index(self, item_count: int) -> None:
        """Makes the index cover at least `item_count` items."""
        missing_count = item_count - len(self.offsets_plus_one)
        if missing_count > 0:
            self.offsets_plus_one.extend([0] * missing_count)
            self.failed_bits.extend(
                bytes((item_count + 7) // 8 - len(self.failed_bits))
            )

    def index_result(self, index: int, failed: bool, offset: int) -> None:
        """Adds a result to the index unless the item already has one.

        Args:
            index: Index of the item.
            failed: Whether the result is an error.
            offset: Offset of the result's record in the log.
        """
        self.extend_index(index + 1)
        if self.offsets_plus_one[index]:
            return
        self.offsets_plus_one[index] = offset + 1
        if failed:
            self.failed_bits[index >> 3] |= 1 << (index & 7)

    def done_bits(self) -> bytes:
        """Returns the bit map of the items with a result."""
        bits = bytearray((len(self.offsets_plus_one) + 7) // 8)
        for index, offset_plus_one in enumerate(self.offsets_plus_one):
            if offset_plus_one:
                bits[index >> 3] |= 1 << (index & 7)
        return bytes(bits)

    def append(
        self,
        folder: pathlib.Path,
        results: list[ttypes.Result],
        fault_hook: Callable[[str], None],
    ) -> None:
        """Appends results of items that have none, and fsyncs once.

        Raises:
            OSError: The disk failed; call `truncate_to_durable` to remove
                what was written.
        """
        path = folder / RESULTS_FILE_NAME
        is_new_file = self.durable_bytes == 0
        chunks: list[bytes] = []
        offsets: list[int] = []
        end_offset = self.durable_bytes
        for result in results:
            body = _RESULT.pack(result.index, result.failed) + result.body
            offsets.append(end_offset)
            chunks.append(_HEADER.pack(FRAME_MARK, len(body), _checksum(body)))
            chunks.append(body)
            end_offset += _HEADER.size + len(body)
        with path.open("ab", buffering=0) as file:
            _write_all(file, b"".join(chunks))
            fault_hook("results-written")
            os.fsync(file.fileno())
        if is_new_file:
            descriptor = os.open(folder, os.O_RDONLY)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
        fault_hook("results-synced")
        self.durable_bytes = end_offset
        self.extend_index(1 + max(result.index for result in results))
        for result, offset in zip(results, offsets, strict=True):
            self.index_result(result.index, result.failed, offset)

    def truncate_to_durable(self, folder: pathlib.Path) -> None:
        """Truncates the log to its durable length."""
        path = folder / RESULTS_FILE_NAME
        if path.exists():
            os.truncate(path, self.durable_bytes)

    def read_page(
        self,
        folder: pathlib.Path,
        first_index: int,
        limit_count: int,
        limit_bytes: int,
    ) -> tuple[list[ttypes.Result], int]:
        """Returns a page of results in item order.

        Args:
            folder: The group's folder.
            first_index: Index of the item to start with.
            limit_count: Maximum number of results.
            limit_bytes: The page ends with the record that reaches this size.

        Returns:
            The results, and the index of the first item of the next page or
            -1 after the last result.
        """
        results: list[ttypes.Result] = []
        if first_index >= len(self.offsets_plus_one):
            return results, -1
        with (folder / RESULTS_FILE_NAME).open("rb") as file:
            read_bytes = 0
            for index in range(first_index, len(self.offsets_plus_one)):
                if not self.offsets_plus_one[index]:
                    continue
                if len(results) >= limit_count or read_bytes >= limit_bytes:
                    return results, index
                file.seek(self.offsets_plus_one[index] - 1)
                header = file.read(_HEADER.size)
                body = file.read(_HEADER.unpack(header)[1])
                _, failed = _RESULT.unpack_from(body)
                read_bytes += len(body)
                results.append(
                    ttypes.Result(
                        index=index, body=body[_RESULT.size :], failed=failed
                    )
                )
        return results, -1


def load(folder: pathlib.Path) -> ResultLog:
    """Loads a group's log; truncates a torn tail and logs damage."""
    log = ResultLog()
    epoch_path = folder / EPOCH_FILE_NAME
    if epoch_path.exists():
        log.epoch = int(epoch_path.read_text(encoding="ascii"))
    path = folder / RESULTS_FILE_NAME
    if not path.exists():
        return log

    def index_record(offset: int, body: bytes) -> None:
        index, failed = _RESULT.unpack_from(body)
        log.index_result(index, failed, offset)

    with path.open("rb") as file:
        scanned = scan(file, index_record)
    if scanned.torn_bytes:
        os.truncate(path, scanned.end_offset)
        logs.event(
            "results_tail_cut", group=folder.name, size=scanned.torn_bytes
        )
    if scanned.damaged_bytes:
        log.damaged_bytes = scanned.damaged_bytes
        logs.event(
            "results_damaged",
            level="error",
            group=folder.name,
            size=scanned.damaged_bytes,
        )
    log.durable_bytes = scanned.end_offset
    return log
