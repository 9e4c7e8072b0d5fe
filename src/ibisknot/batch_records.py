"""Records of batch jobs in the key-value service.

A job's items never change after it is accepted. Its progress is one small
record. Each value of results is written in a transaction that is guarded by the
progress record, so two workers that run the same job cannot list an item twice
or write two results at one index.
"""

from collections.abc import Sequence
import dataclasses

import msgspec

from ibisknot import errors
from ibisknot import pairs

VALUE_FRACTION = 0.7
"""Fraction of the store's maximum value size that one value may fill."""
RESULT_OVERHEAD_BYTES = 1024
"""Space for a result's id and state in its value."""

# The records' keys start with these prefixes. "spec" holds a job's items and
# "budget" an organisation's waiting tokens.
META_PREFIX = "ibisknot/batch/meta/"
ITEMS_PREFIX = "ibisknot/batch/spec/"
OPEN_PREFIX = "ibisknot/batch/open/"
ENDED_PREFIX = "ibisknot/batch/ended/"
RESULTS_PREFIX = "ibisknot/batch/result/"
WAITING_TOKENS_PREFIX = "ibisknot/batch/budget/"

DONE = "done"
"""State of a result whose item completed."""
FAILED = "errored"
"""State of a result whose item was given up."""


class Item(msgspec.Struct, array_like=True):
    """One request of a job.

    Attributes:
        id: Id of the item, which is also the id of its requests.
        path: Path of the request to an endpoint.
        headers: Names and values as the caller sent them.
        body: Body of the request.
        tokens: Tokens of the prompt and of the longest possible output.
    """

    id: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    tokens: int


class JobMeta(msgspec.Struct, array_like=True, frozen=True):
    """Properties of a job that never change.

    Attributes:
        id: Id of the job.
        organisation: Name of its organisation; empty if no key was needed.
        route: Name of the route on which it was submitted.
        host: Host of that route.
        total: Number of its items.
        submitted_ms: Unix time in milliseconds at which it was accepted.
        parts: Number of values that hold its items.
    """

    id: str
    organisation: str
    route: str
    host: str
    total: int
    submitted_ms: int
    parts: int


class Progress(msgspec.Struct, array_like=True):
    """State of a job.

    Attributes:
        meta: The job's fixed properties.
        owner: Name of the worker that runs it; empty if there was none.
        listed: Indexes of the items with a result, in the order in which the
            results were written.
        waiting_tokens: Tokens of the items without a result.
        closed: Whether its caller has cancelled it.
        kept: Indexes of the items that the previous owner still runs.
        kept_by: Name of that owner; empty without such items.
        kept_by_started_ms: Unix time in milliseconds at which the process of
            that owner started; 0 if it is not known.
    """

    meta: JobMeta
    owner: str
    listed: list[int]
    waiting_tokens: int
    closed: bool = False
    kept: list[int] = []
    kept_by: str = ""
    kept_by_started_ms: int = 0

    def is_complete(self) -> bool:
        """Returns whether no item is left to run."""
        return self.closed or len(self.listed) >= self.meta.total


class ItemResult(msgspec.Struct, array_like=True):
    """Result of an item.

    Attributes:
        id: Id of the item.
        state: `done` or `errored`.
        output: Data of all events, joined by line feeds; empty unless done.
    """

    id: str
    state: str
    output: str


class WaitingTokens(msgspec.Struct, array_like=True):
    """Upper bounds of an organisation's waiting tokens on a route.

    Attributes:
        jobs: Upper bound of each job's waiting tokens, by job id.
    """

    jobs: dict[str, int]


@dataclasses.dataclass(slots=True)
class Submission:
    """A job as a caller submits it.

    Attributes:
        id: Id of the job, chosen by the caller.
        items: Its items; an item's index in the job is its index here.
    """

    id: str
    items: list[Item]

    def total_tokens(self) -> int:
        """Returns the tokens of all items."""
        return sum(item.tokens for item in self.items)


def encode(record: msgspec.Struct | Sequence[msgspec.Struct]) -> bytes:
    """Encodes a record."""
    return msgspec.msgpack.encode(record)


def decode_progress(value: bytes) -> Progress:
    """Decodes a progress record.

    Raises:
        KeyValueError: The value is not a progress record.
    """
    try:
        return msgspec.msgpack.decode(value, type=Progress)
    except msgspec.MsgspecError as error:
        message = f"a progress record cannot be read: {error}"
        raise errors.KeyValueError(message) from None


def decode_meta(value: bytes) -> JobMeta:
    """Decodes a job's fixed properties."""
    return msgspec.msgpack.decode(value, type=JobMeta)


def decode_results(value: bytes) -> list[ItemResult]:
    """Decodes one value of results."""
    return msgspec.msgpack.decode(value, type=list[ItemResult])


def decode_waiting_tokens(value: bytes) -> WaitingTokens:
    """Decodes an organisation's waiting tokens."""
    return msgspec.msgpack.decode(value, type=WaitingTokens)


def split_items(items: list[Item], max_part_bytes: int) -> list[bytes]:
    """Encodes a job's items in parts, each the value of one key.

    A part is larger than `max_part_bytes` only if it has a single item.

    >>> item = Item("a", "/", [], b"x" * 10, 1)
    >>> [len(decode_items([part])) for part in split_items([item] * 3, 50)]
    [2, 1]
    """
    parts = []
    part: list[Item] = []
    size_bytes = 0
    for item in items:
        item_bytes = len(msgspec.msgpack.encode(item))
        if part and size_bytes + item_bytes > max_part_bytes:
            parts.append(msgspec.msgpack.encode(part))
            part = []
            size_bytes = 0
        part.append(item)
        size_bytes += item_bytes
    parts.append(msgspec.msgpack.encode(part))
    return parts


def decode_items(parts: list[bytes]) -> list[Item]:
    """Decodes a job's items from its parts."""
    return [
        item
        for part in parts
        for item in msgspec.msgpack.decode(part, type=list[Item])
    ]


def max_part_bytes(value_bytes: int) -> int:
    """Returns the bytes that one value of a job's records may fill.

    Args:
        value_bytes: Maximum size of a value in the store.
    """
    return int(value_bytes * VALUE_FRACTION)


def max_output_bytes(value_bytes: int) -> int:
    """Returns the largest output, in bytes of UTF-8, that one value can hold.

    Args:
        value_bytes: Maximum size of a value in the store.
    """
    return max_part_bytes(value_bytes) - RESULT_OVERHEAD_BYTES


def items_key(job_id: str, part: int) -> str:
    """Returns the key of one part of a job's items."""
    return f"{ITEMS_PREFIX}{job_id}/{part:03d}"


def may_exist(job_id: str) -> bool:
    """Returns whether the store can hold the records of a job.

    >>> may_exist("7c41"), may_exist("x" * 200)
    (True, False)
    """
    longest = max(results_key(job_id, 0), META_PREFIX + job_id, key=len)
    return bool(job_id) and len(longest.encode()) <= pairs.MAX_KEY_BYTES


def results_prefix(job_id: str) -> str:
    """Returns the prefix of the keys of a job's results.

    >>> results_key("j", 12)
    'ibisknot/batch/result/j/000012'
    """
    return f"{RESULTS_PREFIX}{job_id}/"


def results_key(job_id: str, first_index: int) -> str:
    """Returns the key of the results that begin at an index."""
    return f"{results_prefix(job_id)}{first_index:06d}"


def waiting_tokens_key(route: str, organisation: str) -> str:
    """Returns the key of an organisation's waiting tokens on a route."""
    return f"{WAITING_TOKENS_PREFIX}{route}/{organisation}"


def with_new_owner(
    progress: Progress, *, owner: str, kept: list[int], started_ms: int
) -> Progress:
    """Returns a job's progress with a new owner.

    Args:
        progress: The progress up to now; it is not changed.
        owner: Name of the new owner.
        kept: Indexes of the items that the previous owner still runs.
        started_ms: Unix time in milliseconds of the previous owner's start.
    """
    return msgspec.structs.replace(
        progress,
        owner=owner,
        listed=list(progress.listed),
        kept=sorted(kept),
        kept_by=progress.owner if kept else "",
        kept_by_started_ms=started_ms if kept else 0,
    )


def leading_results(
    done: list[tuple[int, ItemResult, int]], max_bytes: int
) -> list[tuple[int, ItemResult, int]]:
    """Returns the leading results that fit one value, at least one.

    Args:
        done: Item index, result and tokens of each finished item.
        max_bytes: Bytes of encoded results that fit one value.

    >>> result = ItemResult("i", DONE, "\u044f" * 20)
    >>> results = [(n, result, 1) for n in range(3)]
    >>> [len(leading_results(results, n)) for n in (110, 10)]
    [2, 1]
    """
    size_bytes = 0
    taken: list[tuple[int, ItemResult, int]] = []
    for entry in done:
        size_bytes += len(encode(entry[1]))
        if taken and size_bytes > max_bytes:
            break
        taken.append(entry)
    return taken


def append_results(
    progress: Progress, done: list[tuple[int, ItemResult, int]]
) -> tuple[Progress, list[ItemResult]]:
    """Returns the progress with results appended, and the appended results.

    Results of items that are already listed are left out.

    Args:
        progress: The progress up to now; it is not changed.
        done: Item index, result and tokens of each finished item.
    """
    listed = list(progress.listed)
    seen = set(listed)
    waiting_tokens = progress.waiting_tokens
    results = []
    for index, result, item_tokens in done:
        if index in seen:
            continue
        seen.add(index)
        listed.append(index)
        results.append(result)
        waiting_tokens -= item_tokens
    updated = msgspec.structs.replace(
        progress,
        listed=listed,
        waiting_tokens=max(0, waiting_tokens),
        kept=[index for index in progress.kept if index not in seen],
    )
    return updated, results
