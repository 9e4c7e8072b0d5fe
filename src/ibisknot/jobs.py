"""Records of callers' files and batch jobs, kept in the key-value service."""

from typing import Any

import msgspec
import xxhash

from ibisknot import errors
from ibisknot import keyvalue

FILES = "/ibisknot/files/"
JOBS = "/ibisknot/jobs/"
SHARD_COUNT = 8
SEGMENT_ITEMS = 1000
SEGMENT_BYTES = 4 * 1024 * 1024
MAXIMUM_ITEMS = 350_000

IN_PROGRESS = "in_progress"
CANCELLING = "cancelling"
CANCELLED = "cancelled"
COMPLETED = "completed"
EXPIRED = "expired"
FINAL = (CANCELLED, COMPLETED, EXPIRED)

_UNITS_S = {"s": 1, "m": 60, "h": 3600, "d": 86400}


class SegmentRecord(msgspec.Struct):
    """Where a segment is kept.

    Attributes:
        id: The segment's name on the stores.
        count: Items in it.
        replicas: Names of the VMs that hold a copy.
    """

    id: str
    count: int
    replicas: list[str]


class FileRecord(msgspec.Struct):
    """An uploaded file."""

    id: str
    organisation: str
    filename: str
    purpose: str
    size_bytes: int
    created_at: int
    segments: list[SegmentRecord]


class JobRecord(msgspec.Struct):
    """A batch job.

    Attributes:
        created_at: Wall-clock seconds since the epoch.
        deadline_at: Wall-clock seconds since the epoch.
    """

    id: str
    organisation: str
    input_file_id: str
    endpoint: str
    completion_window: str
    created_at: int
    deadline_at: int
    segments: list[SegmentRecord]
    metadata: dict[str, str] | None = None
    state: str = IN_PROGRESS
    finished_at: int | None = None
    completed: int = 0
    failed: int = 0

    def total(self) -> int:
        """Returns the number of items."""
        return sum(segment.count for segment in self.segments)


class Item(msgspec.Struct):
    """One line of a batch input file."""

    custom_id: str
    url: str
    body: dict[str, Any]
    method: str = "POST"


def window_s(window: str) -> int:
    """Returns the seconds of a completion window.

    Raises:
        BadRequestError: The window is no number with s, m, h or d.

    >>> window_s("24h")
    86400
    """
    number, unit = window[:-1], window[-1:]
    if unit not in _UNITS_S or not number.isdigit() or int(number) == 0:
        message = f"completion_window {window!r} is not like 24h or 30m"
        raise errors.BadRequestError(message)
    return int(number) * _UNITS_S[unit]


def job_id(
    organisation: str,
    file_id: str,
    endpoint: str,
    metadata: dict[str, str] | None,
    idempotency_key: str,
) -> str:
    """Returns the id of a job; a resent submission gives the same one."""
    content = msgspec.json.encode(
        (organisation, file_id, endpoint, metadata, idempotency_key),
        order="sorted",
    )
    return f"batch-{xxhash.xxh3_128_hexdigest(content)}"


def shard(job: str) -> int:
    """Returns the shard that a job belongs to."""
    return xxhash.xxh3_64_intdigest(job.encode()) % SHARD_COUNT


def job_key(job: str) -> str:
    """Returns a job's key in the key-value service."""
    return f"{JOBS}{shard(job):04d}/{job}"


async def create(
    store: keyvalue.KeyValue, key: str, record: msgspec.Struct
) -> bool:
    """Creates a record; returns False when the key exists.

    A lost answer is resolved by reading the record back.

    Raises:
        KeyValueError: The service did not take the call.
    """
    value = msgspec.json.encode(record)
    try:
        return await store.transact(
            [keyvalue.Guard(key, 0)], [keyvalue.Put(key, value)]
        )
    except errors.KeyValueUnknownError:
        pair = await store.get(key)
        if pair is None:
            raise
        return pair.value == value


async def read_job(store: keyvalue.KeyValue, job: str) -> tuple[JobRecord, int]:
    """Returns a job and its revision.

    Raises:
        NotFoundError: There is no such job.
        KeyValueError: The service did not answer.
    """
    pair = await store.get(job_key(job))
    if pair is None:
        raise errors.NotFoundError(f"no batch {job}")
    return msgspec.json.decode(pair.value, type=JobRecord), pair.revision


async def read_file(store: keyvalue.KeyValue, file: str) -> FileRecord:
    """Returns a file's record.

    Raises:
        NotFoundError: There is no such file.
        KeyValueError: The service did not answer.
    """
    pair = await store.get(FILES + file)
    if pair is None:
        raise errors.NotFoundError(f"no file {file}")
    return msgspec.json.decode(pair.value, type=FileRecord)
