"""Records of callers' files and batch jobs, kept in the key-value service."""

import hashlib
from typing import Any

import anyio
import msgspec
import xxhash

from ibisknot import errors
from ibisknot import keyvalue

FILES = "/ibisknot/files/"
JOBS = "/ibisknot/jobs/"
SHARD_COUNT = 8
SEGMENT_ITEMS = 1000
SEGMENT_BYTES = 1024 * 1024
MAXIMUM_ITEMS = 350_000
MAXIMUM_RECORD_BYTES = 900_000
LAST_EPOCH = 2**62
"""Above every shard's epoch; used once a job has ended."""

IN_PROGRESS = "in_progress"
CANCELLING = "cancelling"
CANCELLED = "cancelled"
COMPLETED = "completed"
EXPIRED = "expired"
FINAL = (CANCELLED, COMPLETED, EXPIRED)

READ_BACK_PAUSES_S = (0.05, 0.2, 0.5)

_UNITS_S = {"s": 1, "m": 60, "h": 3600, "d": 86400}


class FileRecord(msgspec.Struct):
    """An uploaded file.

    Attributes:
        counts: Items of each of its segments.
        replicas: Names of the VMs that hold a copy of all segments.
        deleting: Whether its segments are being removed.
    """

    id: str
    organisation: str
    filename: str
    purpose: str
    size_bytes: int
    created_at: int
    counts: list[int]
    replicas: list[str]
    deleting: bool = False


class JobRecord(msgspec.Struct):
    """A batch job; its id is the name of its group on the stores.

    Attributes:
        created_at: Wall-clock seconds since the epoch.
        deadline_at: Wall-clock seconds since the epoch.
        counts: Items of each of its segments.
        replicas: Names of the VMs that hold a copy of items and results.
        deleted: Whether its results were deleted after it ended.
    """

    id: str
    organisation: str
    input_file_id: str
    endpoint: str
    completion_window: str
    created_at: int
    deadline_at: int
    counts: list[int]
    replicas: list[str]
    metadata: dict[str, str] | None = None
    state: str = IN_PROGRESS
    finished_at: int | None = None
    completed: int = 0
    failed: int = 0
    deleted: bool = False

    def total(self) -> int:
        """Returns the number of items."""
        return sum(self.counts)

    def first(self, number: int) -> int:
        """Returns the index of the first item of a segment."""
        return sum(self.counts[:number])


Record = FileRecord | JobRecord


def key(record: Record) -> str:
    """Returns a record's key in the key-value service."""
    if isinstance(record, JobRecord):
        return job_key(record.id)
    return file_key(record.id)


def closed(record: Record) -> bool:
    """Returns whether a record's segments are deleted or being deleted."""
    if isinstance(record, JobRecord):
        return record.deleted
    return record.deleting


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
    window: str,
    metadata: dict[str, str] | None,
    idempotency_key: str,
) -> str:
    """Returns the id of a job; a resent submission gives the same one."""
    content = msgspec.json.encode(
        (organisation, file_id, endpoint, window, metadata, idempotency_key),
        order="sorted",
    )
    # A caller who could make ids collide would get another caller's job.
    return f"batch-{hashlib.blake2b(content, digest_size=16).hexdigest()}"


def shard(group: str) -> int:
    """Returns the shard that a job or file belongs to."""
    return xxhash.xxh3_64_intdigest(group.encode()) % SHARD_COUNT


def file_key(file: str) -> str:
    """Returns a file's key in the key-value service."""
    return f"{FILES}{shard(file):04d}/{file}"


def job_key(job: str) -> str:
    """Returns a job's key in the key-value service."""
    return f"{JOBS}{shard(job):04d}/{job}"


def encode(record: msgspec.Struct) -> bytes:
    """Encodes a record.

    Raises:
        BodyTooLargeError: It does not fit into a key-value pair.
    """
    value = msgspec.json.encode(record)
    if len(value) > MAXIMUM_RECORD_BYTES:
        raise errors.BodyTooLargeError("the record is too large")
    return value


async def create(
    store: keyvalue.KeyValue, key: str, record: msgspec.Struct
) -> bool:
    """Creates a record; returns False when the key exists.

    A lost answer is resolved by reading the record back.

    Raises:
        KeyValueError: The service did not take the call.
    """
    return await replace(store, key, record, 0)


async def replace(
    store: keyvalue.KeyValue,
    key: str,
    record: msgspec.Struct,
    revision: int,
    *,
    guards: list[keyvalue.Guard] | None = None,
) -> bool:
    """Writes a record if its last change has a revision; 0 means none.

    A lost answer is resolved by reading the record back.

    Raises:
        KeyValueError: The service did not take the call.
    """
    value = encode(record)
    conditions = [keyvalue.Guard(key, revision), *(guards or [])]
    try:
        return await store.transact(conditions, [keyvalue.Put(key, value)])
    except errors.KeyValueUnknownError:
        return await _took_effect(store, key, value, revision)


async def _took_effect(
    store: keyvalue.KeyValue, key: str, value: bytes, revision: int
) -> bool:
    """Reads back whether a write whose answer was lost took effect.

    Raises:
        KeyValueUnknownError: The write may still arrive, or the service did
            not answer.
    """
    for pause_s in (*READ_BACK_PAUSES_S, None):
        try:
            pair = await store.get(key)
        except errors.KeyValueError:
            pair = None
        if pair is not None and pair.value == value:
            return True
        if pair is not None and pair.revision != revision:
            return False
        if pause_s is not None:
            await anyio.sleep(pause_s)
    raise errors.KeyValueUnknownError("it is unknown whether the write arrived")


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
    pair = await store.get(file_key(file))
    if pair is None:
        raise errors.NotFoundError(f"no file {file}")
    record = msgspec.json.decode(pair.value, type=FileRecord)
    if record.deleting:
        raise errors.NotFoundError(f"file {file} was deleted")
    return record
