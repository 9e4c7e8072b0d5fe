"""Records of callers' files and batch jobs in the key-value service.

Files and batch jobs are those of the OpenAI-style interface.
"""

from collections.abc import Callable
import dataclasses
import hashlib
from typing import Any
from typing import Generic
from typing import TypeVar

import anyio
import msgspec
import xxhash

from ibisknot import errors
from ibisknot import keyvalue

FILE_KEY_PREFIX = "/ibisknot/files/"
JOB_KEY_PREFIX = "/ibisknot/jobs/"
SHARD_COUNT = 8
"""Number of shards over which jobs and files are spread by their ids."""
MAX_SEGMENT_ITEMS = 1000
MAX_SEGMENT_BYTES = 1024 * 1024
MAX_FILE_ITEMS = 350_000
MAX_RECORD_BYTES = 900_000
LAST_EPOCH = 2**62
"""An epoch above that of every owner.

Segments are deleted under it when no owner may write to them any more.
"""

IN_PROGRESS = "in_progress"
CANCELLING = "cancelling"
CANCELLED = "cancelled"
COMPLETED = "completed"
EXPIRED = "expired"
FINAL_STATES = (CANCELLED, COMPLETED, EXPIRED)

LIST_LIMIT = 1000
"""Number of records in one listing."""
PAGE_SIZE = 1000
"""Number of records that a listing has in memory besides its own."""
READ_BACK_PAUSES_S = (0.05, 0.2, 0.5)
"""Pauses between the reads after a write whose response was lost."""

_SECONDS_PER_UNIT = {"s": 1, "m": 60, "h": 3600, "d": 86400}


class FileRecord(msgspec.Struct):
    """Record of an uploaded file.

    Attributes:
        id: Id of the file, which is also the name of its segment group.
        purpose: Purpose that the caller stated, such as `batch`.
        size_bytes: Size of the uploaded file.
        created_at: Unix time of the upload in seconds.
        counts: Number of items in each segment.
        replicas: Names of the VMs that have a copy of all segments.
        deleting: Whether the segments are deleted or being deleted.
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
    """Record of a batch job.

    Attributes:
        id: Id of the job, which is also the name of its segment group.
        endpoint: Path of the API to which the items are requests.
        completion_window: Time allowed for the job, as the caller stated it.
        created_at: Unix time in seconds at which it was submitted.
        deadline_at: Unix time in seconds at which it is due.
        counts: Number of items in each segment.
        replicas: Names of the VMs that have a copy of items and results.
        metadata: Names and values that the caller attached.
        state: One of the constants above, such as `IN_PROGRESS`.
        finished_at: Unix time in seconds of its end; None before.
        completed: Number of items with a response, once the job has ended.
        failed: Number of items with an error, once the job has ended.
        deleted: Whether the results were deleted after the job had ended.
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

    def item_count(self) -> int:
        """Returns the number of items."""
        return sum(self.counts)

    def first_item_index(self, segment_index: int) -> int:
        """Returns the index in the job of a segment's first item."""
        return sum(self.counts[:segment_index])


Record = FileRecord | JobRecord
_ListedRecord = TypeVar("_ListedRecord", FileRecord, JobRecord)


def record_key(record: Record) -> str:
    """Returns a record's key in the key-value service."""
    if isinstance(record, JobRecord):
        return job_key(record.id)
    return file_key(record.id)


def is_deleted(record: Record) -> bool:
    """Returns whether a record's segments are deleted or being deleted."""
    if isinstance(record, JobRecord):
        return record.deleted
    return record.deleting


class Item(msgspec.Struct):
    """One line of a batch input file.

    Attributes:
        custom_id: Id of the item that the caller chose.
        url: Path of the API to which the item is a request.
        body: Body of the request.
        method: HTTP method of the request.
    """

    custom_id: str
    url: str
    body: dict[str, Any]
    method: str = "POST"


def parse_window_s(window: str) -> int:
    """Returns the duration of a completion window in seconds.

    Raises:
        BadRequestError: The window is not a count of at least 1 and a unit,
            which is s, m, h or d.

    >>> parse_window_s("24h")
    86400
    """
    count, unit = window[:-1], window[-1:]
    if unit not in _SECONDS_PER_UNIT or not count.isdigit() or int(count) == 0:
        message = f"completion_window {window!r} is not like 24h or 30m"
        raise errors.BadRequestError(message)
    return int(count) * _SECONDS_PER_UNIT[unit]


def derive_job_id(
    organisation: str,
    file_id: str,
    endpoint: str,
    window: str,
    metadata: dict[str, str] | None,
    idempotency_key: str,
) -> str:
    """Returns the id of a job, which is the same for a repeated submission."""
    content = msgspec.json.encode(
        (organisation, file_id, endpoint, window, metadata, idempotency_key),
        order="sorted",
    )
    # The hash is cryptographic because a caller who can make ids collide gets
    # another caller's job.
    return f"batch-{hashlib.blake2b(content, digest_size=16).hexdigest()}"


def shard_of(record_id: str) -> int:
    """Returns the index of the shard of a job or file."""
    return xxhash.xxh3_64_intdigest(record_id.encode()) % SHARD_COUNT


def file_key(file_id: str) -> str:
    """Returns a file's key in the key-value service."""
    return f"{FILE_KEY_PREFIX}{shard_of(file_id):04d}/{file_id}"


def job_key(job_id: str) -> str:
    """Returns a job's key in the key-value service."""
    return f"{JOB_KEY_PREFIX}{shard_of(job_id):04d}/{job_id}"


def encode_record(record: msgspec.Struct) -> bytes:
    """Encodes a record.

    Raises:
        BodyTooLargeError: The record is too large for a key-value pair.
    """
    value = msgspec.json.encode(record)
    if len(value) > MAX_RECORD_BYTES:
        raise errors.BodyTooLargeError("the record is too large to store")
    return value


async def create_record(
    key_value: keyvalue.KeyValue, key: str, record: msgspec.Struct
) -> bool:
    """Creates a record; returns False if the key exists.

    If the response is lost, the record is read back.

    Raises:
        KeyValueError: The write failed, or its outcome is unknown.
    """
    return await replace_record(key_value, key, record, 0)


async def replace_record(
    key_value: keyvalue.KeyValue,
    key: str,
    record: msgspec.Struct,
    revision: int,
    *,
    guards: list[keyvalue.Guard] | None = None,
) -> bool:
    """Writes a record if it has not changed since it was read.

    If the response is lost, the record is read back.

    Args:
        key_value: The key-value service.
        key: Key of the record.
        record: The new record.
        revision: Revision of the record's last change, or 0 if the key must
            not exist.
        guards: Further conditions of the write.

    Returns:
        False if a condition was not met.

    Raises:
        KeyValueError: The write failed, or its outcome is unknown.
    """
    value = encode_record(record)
    conditions = [keyvalue.Guard(key, revision), *(guards or [])]
    try:
        return await key_value.transact(conditions, [keyvalue.Put(key, value)])
    except errors.KeyValueUnknownError:
        return await _read_back(key_value, key, value, revision)


async def _read_back(
    key_value: keyvalue.KeyValue, key: str, value: bytes, revision: int
) -> bool:
    """Returns whether a write whose response was lost took effect.

    Raises:
        KeyValueUnknownError: The write may still take effect, or the service
            did not respond.
    """
    for pause_s in (*READ_BACK_PAUSES_S, None):
        try:
            pair = await key_value.get(key)
        except errors.KeyValueError:
            pair = None
        if pair is not None and pair.value == value:
            return True
        if pair is not None and pair.revision != revision:
            return False
        if pause_s is not None:
            await anyio.sleep(pause_s)
    raise errors.KeyValueUnknownError("the outcome of the write is unknown")


@dataclasses.dataclass(slots=True)
class Listing(Generic[_ListedRecord]):
    """Some records.

    Attributes:
        records: The records in the order of their keys.
        has_more: Whether there are others behind them.
    """

    records: list[_ListedRecord] = dataclasses.field(default_factory=list)
    has_more: bool = False


async def list_records(
    key_value: keyvalue.KeyValue,
    prefix: str,
    record_type: type[_ListedRecord],
    is_wanted: Callable[[_ListedRecord], bool],
) -> Listing[_ListedRecord]:
    """Returns the first wanted records, at most `LIST_LIMIT`.

    All organisations' records have one prefix, so all may have to be read.

    Raises:
        KeyValueError: The service did not respond.
    """
    listing: Listing[_ListedRecord] = Listing()
    async for page in keyvalue.pages(key_value, prefix, PAGE_SIZE):
        for pair in page:
            record = msgspec.json.decode(pair.value, type=record_type)
            if not is_wanted(record):
                continue
            if len(listing.records) == LIST_LIMIT:
                listing.has_more = True
                return listing
            listing.records.append(record)
    return listing


async def read_job(
    key_value: keyvalue.KeyValue, job_id: str
) -> tuple[JobRecord, int]:
    """Returns a job and its revision.

    Raises:
        NotFoundError: There is no such job.
        KeyValueError: The service did not respond.
    """
    pair = await key_value.get(job_key(job_id))
    if pair is None:
        raise errors.NotFoundError(f"no batch {job_id}")
    return msgspec.json.decode(pair.value, type=JobRecord), pair.revision


async def read_file(key_value: keyvalue.KeyValue, file_id: str) -> FileRecord:
    """Returns a file's record.

    Raises:
        NotFoundError: There is no such file.
        KeyValueError: The service did not respond.
    """
    pair = await key_value.get(file_key(file_id))
    if pair is None:
        raise errors.NotFoundError(f"no file {file_id}")
    record = msgspec.json.decode(pair.value, type=FileRecord)
    if record.deleting:
        raise errors.NotFoundError(f"file {file_id} was deleted")
    return record
