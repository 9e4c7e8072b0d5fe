"""Reads and writes the configuration in the key-value service.

The head record, the changed groups and the record of the change are written
in one transaction that is guarded by the head's revision.
"""

import time
from typing import Any

import anyio
import msgspec

from ibisknot import configuration
from ibisknot import errors
from ibisknot import groups
from ibisknot import keyvalue
from ibisknot import logs

PREFIX = "/ibisknot/config/"
HEAD = PREFIX + "head"
GROUPS = PREFIX + "snapshot/"
VERSIONS = PREFIX + "v/"
PART_BYTES = 900_000
HISTORY_VERSIONS = 20_000
CHANGES_READ = 64
SINGLE_READS = 4
READ_TRIES = 5
RESOLVE_S = 5.0
RETRY_PAUSE_S = 0.2

WRITE = "write"
DONE = "done"
CONFLICT = "conflict"


class Change(msgspec.Struct):
    """The record of one confirmed change.

    Attributes:
        version: The version that it led to.
        author: The operator who confirmed it.
        planned_by: The operator who made the plan.
        operation: The id of the write.
        at: Wall-clock time of the confirmation, for people.
        intent: What the operator asked for.
        changes: The changed entries.
    """

    version: int
    author: str
    operation: str
    at: float
    intent: msgspec.Raw
    changes: list[groups.EntryChange] = []
    planned_by: str = ""


def decide(
    *, base: int, operation: str, head_version: int, written_by: str | None
) -> str:
    """Returns what follows from what a writer has read back.

    The head must be read before the record. In the other order, the write
    can take effect between the two reads and be taken for a conflict.

    Args:
        base: The version that the write is based on.
        operation: The id of the write.
        head_version: The version in the head record.
        written_by: The operation in the record of version `base + 1`.

    Returns:
        `write` when it has not taken effect so far, `done` or `conflict`.

    >>> decide(base=4, operation="a", head_version=4, written_by=None)
    'write'
    >>> decide(base=4, operation="a", head_version=6, written_by="a")
    'done'
    >>> decide(base=4, operation="a", head_version=5, written_by="b")
    'conflict'
    """
    if written_by == operation:
        return DONE
    if head_version != base:
        return CONFLICT
    return WRITE


def split(key: str, data: bytes) -> list[keyvalue.Put]:
    """Returns the writes of a value that may be over the size limit."""
    starts = range(0, max(1, len(data)), PART_BYTES)
    return [
        keyvalue.Put(f"{key}/{part:03d}", data[start : start + PART_BYTES])
        for part, start in enumerate(starts)
    ]


def join(pairs: list[keyvalue.Pair]) -> dict[str, bytes]:
    """Returns the values of split writes by key."""
    found: dict[str, bytes] = {}
    for pair in sorted(pairs, key=lambda pair: pair.key):
        key = pair.key.rpartition("/")[0]
        found[key] = found.get(key, b"") + pair.value
    return found


def version_key(version: int) -> str:
    """Returns the key of the record of a version."""
    return f"{VERSIONS}{version:012d}"


async def read_head(
    store: keyvalue.KeyValue,
) -> tuple[groups.Head, int]:
    """Returns the head record and its revision; 0 when there is none.

    Raises:
        KeyValueError: The service did not answer.
    """
    pair = await store.get(HEAD)
    if pair is None:
        return groups.Head(), 0
    return msgspec.json.decode(pair.value, type=groups.Head), pair.revision


async def read_records(
    store: keyvalue.KeyValue, first: int, last: int
) -> list[Change]:
    """Returns the records of a range of versions, oldest first.

    Raises:
        KeyValueError: The service did not answer.
    """
    if last < first:
        return []
    pairs = await store.list_range(version_key(first), version_key(last + 1))
    found = join(pairs)
    return [
        msgspec.json.decode(found[key], type=Change) for key in sorted(found)
    ]


async def _read_groups(
    store: keyvalue.KeyValue, wanted: list[str]
) -> dict[str, bytes]:
    if len(wanted) > SINGLE_READS:
        pairs = await store.list_prefix(GROUPS)
        return {p.key.removeprefix(GROUPS): p.value for p in pairs}
    found = {}
    for group in wanted:
        pair = await store.get(GROUPS + group)
        if pair is not None:
            found[group] = pair.value
    return found


async def read_newer(
    store: keyvalue.KeyValue, state: groups.State
) -> tuple[groups.State, list[Change]]:
    """Returns the current state and the records that lead to it.

    Returns:
        The state, with no records when it was read by whole groups.

    Raises:
        KeyValueError: The service did not answer, or it answered with
            versions that do not fit together on each try.
    """
    for _ in range(READ_TRIES):
        head, _ = await read_head(store)
        gap = head.version - state.head.version
        if gap <= 0:
            return state, []
        if gap <= CHANGES_READ:
            first = state.head.version + 1
            records = await read_records(store, first, head.version)
            changes = [record.changes for record in records]
            reached = groups.advance(state, head, changes)
            if reached is not None:
                return reached, records
        wanted = groups.differing(state.head.digests, head.digests)
        found = await _read_groups(store, wanted)
        reached = groups.assemble(state, head, found)
        if reached is not None:
            return reached, []
    raise errors.KeyValueError("the configuration changed during each read")


def _puts(
    before: groups.State, wanted: configuration.Configuration, change: Change
) -> tuple[groups.State, list[keyvalue.Put]]:
    """Returns the state after a change and the writes that record it."""
    touched = groups.touched(change.changes)
    if before.head.version == 0:
        touched |= groups.all_groups(wanted)
    digests = groups.next_digests(before.head.digests, wanted, touched)
    head = groups.Head(wanted.version, change.operation, digests)
    puts = [keyvalue.Put(HEAD, msgspec.json.encode(head))]
    for group in sorted(touched):
        data = groups.encode_group(wanted, group)
        if len(data) > PART_BYTES:
            message = f"group {group} would have {len(data)} bytes; remove"
            raise errors.BadRequestError(f"{message} entries from it")
        puts.append(keyvalue.Put(GROUPS + group, data))
    record = msgspec.json.encode(change)
    puts.extend(split(version_key(change.version), record))
    return groups.State(head, wanted), puts


async def _attempt(
    store: keyvalue.KeyValue,
    base: int,
    operation: str,
    puts: list[keyvalue.Put],
) -> bool:
    """Reads back, then writes unless the outcome is known.

    Returns:
        Whether the write is known to have taken effect.

    Raises:
        ConflictError: Another change came first.
        KeyValueError: The service did not take the call.
        KeyValueUnknownError: The write was sent, but its answer was lost.
    """
    head, revision = await read_head(store)
    records = await read_records(store, base + 1, base + 1)
    step = decide(
        base=base,
        operation=operation,
        head_version=head.version,
        written_by=records[0].operation if records else None,
    )
    if step == CONFLICT:
        message = f"version {head.version} is current, not {base}"
        raise errors.ConflictError(message)
    if step == DONE:
        return True
    oldest = version_key(base + 1 - HISTORY_VERSIONS) + "/"
    prune = [oldest] if base >= HISTORY_VERSIONS else []
    guard = keyvalue.Guard(HEAD, revision)
    return await store.transact([guard], puts, delete_prefixes=prune)


async def write(
    store: keyvalue.KeyValue,
    before: groups.State,
    wanted: configuration.Configuration,
    *,
    operation: str,
    author: str,
    intent: bytes,
    planned_by: str = "",
) -> tuple[groups.State, Change]:
    """Writes a configuration if its predecessor is still the current one.

    A lost answer is resolved by reading the operation id back. When the write
    is not found, it is sent again under the same guard, so it takes effect at
    most once.

    Raises:
        ConflictError: Another change came first.
        KeyValueUnknownError: The outcome could not be read back.
        KeyValueError: The service did not take the call.
    """
    base = before.head.version
    change = Change(
        version=wanted.version,
        author=author,
        operation=operation,
        at=time.time(),
        intent=msgspec.Raw(intent),
        changes=groups.differences(before.configuration, wanted),
        planned_by=planned_by or author,
    )
    after, puts = _puts(before, wanted, change)
    await _resolve(store, base, operation, puts)
    return after, change


async def _resolve(
    store: keyvalue.KeyValue,
    base: int,
    operation: str,
    puts: list[keyvalue.Put],
) -> None:
    """Tries a write until its outcome is known.

    Raises:
        ConflictError: Another change came first.
        KeyValueUnknownError: The outcome could not be read back in time.
        KeyValueError: No call of the write was taken.
    """
    until_s = anyio.current_time() + RESOLVE_S
    sent = False
    while True:
        try:
            if await _attempt(store, base, operation, puts):
                return
        except errors.KeyValueUnknownError:
            sent = True
            logs.event(
                "write_answer_lost", level="warning", operation=operation
            )
        except errors.KeyValueError:
            if not sent:
                raise
        if sent and anyio.current_time() > until_s:
            raise errors.KeyValueUnknownError(unknown_message(operation))
        if sent:
            await anyio.sleep(RETRY_PAUSE_S)


def unknown_message(operation: str) -> str:
    """Returns the message of a write whose outcome is not known."""
    return (
        f"the key-value service did not say whether operation {operation}"
        f" took effect; confirm {operation} again to find out"
    )


async def written_version(
    store: keyvalue.KeyValue, operation: str, version: int
) -> Change | None:
    """Returns the record of a version if an operation wrote it.

    Raises:
        KeyValueError: The service did not answer.
    """
    records = await read_records(store, version, version)
    if records and records[0].operation == operation:
        return records[0]
    return None


async def history(
    store: keyvalue.KeyValue, *, limit: int = 100
) -> list[Change]:
    """Returns the newest confirmed changes, newest first.

    Raises:
        KeyValueError: The service did not answer.
    """
    head, _ = await read_head(store)
    first = max(1, head.version - limit + 1)
    return (await read_records(store, first, head.version))[::-1]


async def at_version(
    store: keyvalue.KeyValue, state: groups.State, version: int
) -> configuration.Configuration:
    """Returns the configuration of an older version.

    Raises:
        NotFoundError: The version does not exist or is no longer kept.
        KeyValueError: The service did not answer.
    """
    current = state.head.version
    if not 0 <= version <= current:
        raise errors.NotFoundError(f"there is no version {version}")
    found = state.configuration
    last = current
    while last > version:
        first = max(version + 1, last - CHANGES_READ + 1)
        records = await read_records(store, first, last)
        if len(records) != last - first + 1:
            raise errors.NotFoundError(f"version {version} is no longer kept")
        for record in records[::-1]:
            found = groups.apply(
                found,
                record.changes,
                version=record.version - 1,
                backward=True,
            )
        last = first - 1
    return found


def describe(change: Change) -> dict[str, Any]:
    """Returns a change as the operators' interface shows it."""
    raw: dict[str, Any] = msgspec.json.decode(msgspec.json.encode(change))
    return raw
