"""Records of the progress of batch items, and what they add up to.

Each record has a length and a checksum. A file may end in a torn record after
a loss of power, and what follows such a record is ignored.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import struct

import msgspec
import xxhash

_HEAD = struct.Struct("<IQ")
"""Length and checksum of a record's content."""
MAX_RECORD_BYTES = 16 * 1024 * 1024
"""Larger than any item's output; a longer record is torn."""


class Record(msgspec.Struct, array_like=True):
    """What one item received since the record before.

    Attributes:
        job_id: Id of the item's job.
        index: Index of the item in its job.
        item_id: Id of the item.
        service: Service at which it ran.
        software_version: Software of the endpoints that made the events.
        first_event: Number of events in the records before this one; 0 starts
            the item anew.
        events: Data of the further events, in order.
        last_event_id: Id of the last event.
        is_complete: Whether these are all events of the item.
        written_ms: Unix time of the record in milliseconds.
    """

    job_id: str
    index: int
    item_id: str
    service: str
    software_version: str
    first_event: int
    events: list[str]
    last_event_id: int
    is_complete: bool
    written_ms: int


@dataclasses.dataclass(slots=True)
class Progress:
    """What is known of one item.

    Attributes:
        item_id: Id of the item.
        service: Service at which it ran.
        software_version: Software of the endpoints that made the events.
        events: Data of all events so far, in order.
        last_event_id: Id of the last event.
        is_complete: Whether these are all events of the item.
        written_ms: Unix time of the last record in milliseconds.
    """

    item_id: str
    service: str
    software_version: str
    events: list[str]
    last_event_id: int
    is_complete: bool
    written_ms: int


Key = tuple[str, int]
"""Id of a job and index of an item in it."""


def encode(records: Iterable[Record]) -> bytes:
    """Returns records as they are appended to a file.

    >>> record = Record("j", 0, "i", "llm", "v1", 0, ["a"], 1, False, 5)
    >>> list(decode(encode([record]) + b"torn")) == [record]
    True
    """
    parts = []
    for record in records:
        content = msgspec.msgpack.encode(record)
        checksum = xxhash.xxh3_64_intdigest(content)
        parts += [_HEAD.pack(len(content), checksum), content]
    return b"".join(parts)


def decode(data: bytes) -> Iterator[Record]:
    """Yields the records of a file up to the first one that is torn."""
    position = 0
    while position + _HEAD.size <= len(data):
        size, checksum = _HEAD.unpack_from(data, position)
        position += _HEAD.size
        content = data[position : position + size]
        position += size
        if not 0 < size <= MAX_RECORD_BYTES or len(content) < size:
            return
        if xxhash.xxh3_64_intdigest(content) != checksum:
            return
        try:
            yield msgspec.msgpack.decode(content, type=Record)
        except msgspec.MsgspecError:
            return


def apply(progress: dict[Key, Progress], record: Record) -> None:
    """Adds a record to the progress of its item.

    A record that does not continue what is known is ignored: the events
    before it are missing.
    """
    key = (record.job_id, record.index)
    known = progress.get(key)
    if record.first_event == 0:
        known = Progress(
            record.item_id,
            record.service,
            record.software_version,
            [],
            0,
            is_complete=False,
            written_ms=0,
        )
        progress[key] = known
    if known is None or not _continues(known, record):
        progress.pop(key, None)
        return
    known.events.extend(record.events)
    known.last_event_id = record.last_event_id
    known.is_complete = record.is_complete
    known.written_ms = record.written_ms


def _continues(known: Progress, record: Record) -> bool:
    """Returns whether a record's events follow the ones that are known."""
    return (
        known.item_id == record.item_id
        and known.service == record.service
        and known.software_version == record.software_version
        and len(known.events) == record.first_event
        and not known.is_complete
    )
