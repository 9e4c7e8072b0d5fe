"""Batch jobs as they are kept in the key-value service.

A job's items never change after it is accepted. Its progress is one small
record, and every group of results is appended in a transaction that has the
progress record as its guard. Two workers that run the same job therefore
cannot list an item twice or give a position two results.
"""

from collections.abc import Sequence
import dataclasses

import msgspec

from ibisknot import errors

DESCRIPTION_PREFIX = "ibisknot/batch/meta/"
ITEMS_PREFIX = "ibisknot/batch/spec/"
OPEN_PREFIX = "ibisknot/batch/open/"
ENDED_PREFIX = "ibisknot/batch/ended/"
RESULTS_PREFIX = "ibisknot/batch/result/"
WAITING_TOKENS_PREFIX = "ibisknot/batch/budget/"

DONE = "done"
FAILED = "errored"


class Item(msgspec.Struct, array_like=True):
    """One request of a job.

    Attributes:
        headers: Names and values as the caller gave them.
        tokens: Tokens of the prompt and of the longest answer.
    """

    id: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    tokens: int


class JobDescription(msgspec.Struct, array_like=True, frozen=True):
    """What is said of a job without reading its items.

    Attributes:
        submitted_ms: Unix milliseconds at which it was accepted.
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
    """How far a job has come.

    Attributes:
        owner: Name of the worker that runs it.
        listed: Numbers of the items with a result, by position.
        waiting_tokens: Tokens of the items without a result.
        closed: Whether its caller has ended it.
        kept: Numbers of the items that a former owner still runs.
        kept_by: Name of that worker.
    """

    meta: JobDescription
    owner: str
    listed: list[int]
    waiting_tokens: int
    closed: bool = False
    kept: list[int] = []
    kept_by: str = ""

    def is_complete(self) -> bool:
        """Returns whether nothing is left to do."""
        return self.closed or len(self.listed) >= self.meta.total


class ItemResult(msgspec.Struct, array_like=True):
    """What an item came to; `output` is empty unless it is done."""

    id: str
    state: str
    output: str


class WaitingTokens(msgspec.Struct, array_like=True):
    """Upper bounds of the tokens that an organisation's jobs have waiting."""

    jobs: dict[str, int]


@dataclasses.dataclass(slots=True)
class Submission:
    """A job as a caller hands it in."""

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
        KeyValueError: The value is none.
    """
    try:
        return msgspec.msgpack.decode(value, type=Progress)
    except msgspec.MsgspecError as error:
        message = f"a progress record cannot be read: {error}"
        raise errors.KeyValueError(message) from None


def decode_description(value: bytes) -> JobDescription:
    """Decodes what is said of a job."""
    return msgspec.msgpack.decode(value, type=JobDescription)


def decode_results(value: bytes) -> list[ItemResult]:
    """Decodes a group of results."""
    return msgspec.msgpack.decode(value, type=list[ItemResult])


def decode_waiting_tokens(value: bytes) -> WaitingTokens:
    """Decodes an organisation's budget."""
    return msgspec.msgpack.decode(value, type=WaitingTokens)


def split_items(items: list[Item], max_part_bytes: int) -> list[bytes]:
    """Encodes a job's items in values of bounded size.

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
    """Decodes a job's items."""
    return [
        item
        for part in parts
        for item in msgspec.msgpack.decode(part, type=list[Item])
    ]


def items_key(job_id: str, part: int) -> str:
    """Returns the key of a part of a job's items."""
    return f"{ITEMS_PREFIX}{job_id}/{part:03d}"


def results_prefix(job_id: str) -> str:
    """Returns the prefix of a job's results.

    >>> results_key("j", 12)
    'ibisknot/batch/result/j/000012'
    """
    return f"{RESULTS_PREFIX}{job_id}/"


def results_key(job_id: str, first_index: int) -> str:
    """Returns the key of a group of results that begins at a position."""
    return f"{results_prefix(job_id)}{first_index:06d}"


def waiting_tokens_key(route: str, organisation: str) -> str:
    """Returns the key of an organisation's budget on a route."""
    return f"{WAITING_TOKENS_PREFIX}{route}/{organisation}"


def with_new_owner(
    progress: Progress, *, owner: str, kept: list[int]
) -> Progress:
    """Returns the progress with a new owner.

    Args:
        progress: The progress before; it is not changed.
        owner: The worker that runs the job from now on.
        kept: Numbers of the items that the owner before still runs.
    """
    return Progress(
        meta=progress.meta,
        owner=owner,
        listed=list(progress.listed),
        waiting_tokens=progress.waiting_tokens,
        closed=progress.closed,
        kept=sorted(kept),
        kept_by=progress.owner if kept else "",
    )


def leading_results(
    done: list[tuple[int, ItemResult, int]], max_bytes: int
) -> list[tuple[int, ItemResult, int]]:
    """Returns the leading results that fit one value, at least one.

    >>> results = [(n, ItemResult("i", DONE, "x" * 40), 1) for n in range(3)]
    >>> [len(leading_results(results, n)) for n in (100, 10)]
    [2, 1]
    """
    size_bytes = 0
    taken: list[tuple[int, ItemResult, int]] = []
    for entry in done:
        size_bytes += len(entry[1].output)
        if taken and size_bytes > max_bytes:
            break
        taken.append(entry)
    return taken


def append_results(
    progress: Progress, done: list[tuple[int, ItemResult, int]]
) -> tuple[Progress, list[ItemResult]]:
    """Returns the progress after results were appended, and these results.

    Results of items that are already listed are left out.

    Args:
        progress: The progress before; it is not changed.
        done: Number, result and tokens of each item.
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
    updated = Progress(
        meta=progress.meta,
        owner=progress.owner,
        listed=listed,
        waiting_tokens=max(0, waiting_tokens),
        closed=progress.closed,
        kept=[number for number in progress.kept if number not in seen],
        kept_by=progress.kept_by,
    )
    return updated, results
