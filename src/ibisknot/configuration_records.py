"""Reads and writes the configuration in the key-value service.

The head record, the changed sections and the record of the change are written
in one transaction that is guarded by the revision of the head record.
"""

import time

import anyio
import msgspec

from ibisknot import configuration
from ibisknot import errors
from ibisknot import keyvalue
from ibisknot import logs
from ibisknot import sections

CONFIGURATION_PREFIX = "/ibisknot/config/"
HEAD_KEY = CONFIGURATION_PREFIX + "head"
SECTIONS_PREFIX = CONFIGURATION_PREFIX + "snapshot/"
RECORDS_PREFIX = CONFIGURATION_PREFIX + "v/"
MAX_PART_BYTES = 900_000
"""Size of a stored value, below the key-value service's limit."""
RETAINED_VERSIONS = 20_000
"""Versions whose records are stored; older ones are deleted."""
MAX_RECORDS_PER_READ = 64
MAX_SINGLE_READS = 4
"""Sections to read one by one; for more, all are read in one call."""
READ_ATTEMPTS = 5
RESOLVE_TIMEOUT_S = 5.0
"""Time to read back the outcome of a write whose answer was lost."""
RETRY_PAUSE_S = 0.2

WRITE = "write"
DONE = "done"
CONFLICT = "conflict"


class ChangeRecord(msgspec.Struct):
    """Record of one confirmed change.

    Attributes:
        version: The version that the change led to.
        author: The operator who confirmed it.
        planned_by: The operator who made the plan.
        operation: Id of the write operation.
        at: Wall-clock time of the confirmation in seconds, for display only.
        intent: The confirmed intent as JSON.
        changes: The changed entries.
    """

    version: int
    author: str
    operation: str
    at: float
    intent: msgspec.Raw
    changes: list[sections.EntryChange] = []
    planned_by: str = ""


def resolve_write(
    *,
    base_version: int,
    operation_id: str,
    head_version: int,
    written_by: str | None,
) -> str:
    """Returns how a writer continues after it has read the state back.

    The head must be read before the record. In the other order, the write
    can take effect between the two reads and be mistaken for a conflict.

    Args:
        base_version: The version that the write is based on.
        operation_id: Id of the write operation.
        head_version: The version in the head record.
        written_by: Operation id in the record of version `base_version + 1`;
            None when there is no such record.

    Returns:
        `write` when the write has not taken effect so far, `done` when it
        has, `conflict` when another change came first.

    >>> resolve_write(
    ...     base_version=4, operation_id="a", head_version=4, written_by=None
    ... )
    'write'
    >>> resolve_write(
    ...     base_version=4, operation_id="a", head_version=6, written_by="a"
    ... )
    'done'
    >>> resolve_write(
    ...     base_version=4, operation_id="a", head_version=5, written_by="b"
    ... )
    'conflict'
    """
    if written_by == operation_id:
        return DONE
    if head_version != base_version:
        return CONFLICT
    return WRITE


def split_value(key: str, data: bytes) -> list[keyvalue.Put]:
    """Returns the puts that store a value in parts below the size limit."""
    starts = range(0, max(1, len(data)), MAX_PART_BYTES)
    return [
        keyvalue.Put(f"{key}/{index:03d}", data[start : start + MAX_PART_BYTES])
        for index, start in enumerate(starts)
    ]


def join_values(pairs: list[keyvalue.Pair]) -> dict[str, bytes]:
    """Returns the values that `split_value` split, by key."""
    values: dict[str, bytes] = {}
    for pair in sorted(pairs, key=lambda pair: pair.key):
        key = pair.key.rpartition("/")[0]
        values[key] = values.get(key, b"") + pair.value
    return values


def record_key(version: int) -> str:
    """Returns the key of the record of a version."""
    return f"{RECORDS_PREFIX}{version:012d}"


async def read_head(
    key_value: keyvalue.KeyValue,
) -> tuple[sections.Head, int]:
    """Returns the head record and its revision, 0 when there is none.

    Raises:
        KeyValueError: The service did not answer.
    """
    pair = await key_value.get(HEAD_KEY)
    if pair is None:
        return sections.Head(), 0
    return msgspec.json.decode(pair.value, type=sections.Head), pair.revision


async def read_records(
    key_value: keyvalue.KeyValue, first: int, last: int
) -> list[ChangeRecord]:
    """Returns the records of the versions `first` to `last`, oldest first.

    Versions whose records are no longer stored are left out.

    Raises:
        KeyValueError: The service did not answer.
    """
    if last < first:
        return []
    pairs = await key_value.list_range(record_key(first), record_key(last + 1))
    values = join_values(pairs)
    return [
        msgspec.json.decode(values[key], type=ChangeRecord)
        for key in sorted(values)
    ]


async def _read_sections(
    key_value: keyvalue.KeyValue, names: list[str]
) -> dict[str, bytes]:
    if len(names) > MAX_SINGLE_READS:
        pairs = await key_value.list_prefix(SECTIONS_PREFIX)
        return {p.key.removeprefix(SECTIONS_PREFIX): p.value for p in pairs}
    values = {}
    for name in names:
        pair = await key_value.get(SECTIONS_PREFIX + name)
        if pair is not None:
            values[name] = pair.value
    return values


async def read_newer(
    key_value: keyvalue.KeyValue, state: sections.State
) -> tuple[sections.State, list[ChangeRecord]]:
    """Returns the current state and the records that lead to it.

    Args:
        key_value: The key-value service.
        state: The state that the caller has.

    Returns:
        The state, and the records of the versions since `state`; no records
        when there is no newer version, or when whole sections were read.

    Raises:
        KeyValueError: The service did not answer, or on each attempt the
            data that was read belonged to different versions.
    """
    for _ in range(READ_ATTEMPTS):
        head, _ = await read_head(key_value)
        newer_count = head.version - state.head.version
        if newer_count <= 0:
            return state, []
        if newer_count <= MAX_RECORDS_PER_READ:
            first = state.head.version + 1
            records = await read_records(key_value, first, head.version)
            changes = [record.changes for record in records]
            new_state = sections.apply_versions(state, head, changes)
            if new_state is not None:
                return new_state, records
        differing = sections.differing_sections(
            state.head.digests, head.digests
        )
        encoded = await _read_sections(key_value, differing)
        new_state = sections.assemble_state(state, head, encoded)
        if new_state is not None:
            return new_state, []
    raise errors.KeyValueError("the configuration changed during each read")


def _build_puts(
    before: sections.State,
    wanted: configuration.Configuration,
    record: ChangeRecord,
) -> tuple[sections.State, list[keyvalue.Put]]:
    """Returns the state after a change and the puts that store it.

    Raises:
        BadRequestError: A section would exceed the size limit.
    """
    changed = sections.changed_sections(record.changes)
    if before.head.version == 0:
        changed |= sections.all_sections(wanted)
    digests = sections.update_digests(before.head.digests, wanted, changed)
    head = sections.Head(wanted.version, record.operation, digests)
    puts = [keyvalue.Put(HEAD_KEY, msgspec.json.encode(head))]
    for section in sorted(changed):
        data = sections.encode_section(wanted, section)
        if len(data) > MAX_PART_BYTES:
            message = f"section {section} would have {len(data)} bytes; remove"
            raise errors.BadRequestError(f"{message} entries from it")
        puts.append(keyvalue.Put(SECTIONS_PREFIX + section, data))
    encoded = msgspec.json.encode(record)
    puts.extend(split_value(record_key(record.version), encoded))
    return sections.State(head, wanted), puts


async def _attempt_write(
    key_value: keyvalue.KeyValue,
    base_version: int,
    operation_id: str,
    puts: list[keyvalue.Put],
) -> bool:
    """Reads the state back, then writes unless the outcome is known.

    Returns:
        Whether the write is known to have taken effect.

    Raises:
        ConflictError: Another change came first.
        KeyValueError: The service did not accept the call.
        KeyValueUnknownError: The write was sent, but its answer was lost.
    """
    head, revision = await read_head(key_value)
    records = await read_records(key_value, base_version + 1, base_version + 1)
    decision = resolve_write(
        base_version=base_version,
        operation_id=operation_id,
        head_version=head.version,
        written_by=records[0].operation if records else None,
    )
    if decision == CONFLICT:
        message = f"version {head.version} is current, not {base_version}"
        raise errors.ConflictError(message)
    if decision == DONE:
        return True
    oldest = record_key(base_version + 1 - RETAINED_VERSIONS) + "/"
    expired_prefixes = [oldest] if base_version >= RETAINED_VERSIONS else []
    guard = keyvalue.Guard(HEAD_KEY, revision)
    return await key_value.transact(
        [guard], puts, delete_prefixes=expired_prefixes
    )


async def write(
    key_value: keyvalue.KeyValue,
    before: sections.State,
    wanted: configuration.Configuration,
    *,
    operation_id: str,
    author: str,
    intent: bytes,
    planned_by: str = "",
) -> tuple[sections.State, ChangeRecord]:
    """Writes a configuration if its predecessor is still the current one.

    After a lost answer, the operation id is read back. If it is not found, the
    write is sent again under the same guard, so it takes effect at most once.

    Args:
        key_value: The key-value service.
        before: The state that the change is based on.
        wanted: The configuration to write.
        operation_id: Id of the write operation.
        author: The operator who confirms the change.
        intent: The intent as JSON.
        planned_by: The operator who made the plan; empty for the author.

    Returns:
        The state after the change, and its record.

    Raises:
        ConflictError: Another change came first.
        KeyValueUnknownError: The outcome could not be read back in time.
        KeyValueError: The service did not accept the call.
    """
    base_version = before.head.version
    record = ChangeRecord(
        version=wanted.version,
        author=author,
        operation=operation_id,
        at=time.time(),
        intent=msgspec.Raw(intent),
        changes=sections.list_changes(before.configuration, wanted),
        planned_by=planned_by or author,
    )
    after, puts = _build_puts(before, wanted, record)
    await _write_until_resolved(key_value, base_version, operation_id, puts)
    return after, record


async def _write_until_resolved(
    key_value: keyvalue.KeyValue,
    base_version: int,
    operation_id: str,
    puts: list[keyvalue.Put],
) -> None:
    """Repeats a write until its outcome is known.

    Raises:
        ConflictError: Another change came first.
        KeyValueUnknownError: The outcome could not be read back in time.
        KeyValueError: The service accepted no call of the write.
    """
    deadline_s = anyio.current_time() + RESOLVE_TIMEOUT_S
    is_sent = False
    while True:
        try:
            if await _attempt_write(
                key_value, base_version, operation_id, puts
            ):
                return
        except errors.KeyValueUnknownError:
            is_sent = True
            logs.event(
                "write_answer_lost", level="warning", operation=operation_id
            )
        except errors.KeyValueError:
            if not is_sent:
                raise
        if is_sent and anyio.current_time() > deadline_s:
            raise errors.KeyValueUnknownError(
                unknown_outcome_message(operation_id)
            )
        if is_sent:
            await anyio.sleep(RETRY_PAUSE_S)


def unknown_outcome_message(operation_id: str) -> str:
    """Returns the error message of a write whose outcome is unknown."""
    return (
        f"the key-value service did not say whether operation {operation_id}"
        f" took effect; confirm {operation_id} again to find out"
    )


async def find_record(
    key_value: keyvalue.KeyValue, operation_id: str, version: int
) -> ChangeRecord | None:
    """Returns the record of a version if an operation wrote it.

    Raises:
        KeyValueError: The service did not answer.
    """
    records = await read_records(key_value, version, version)
    if records and records[0].operation == operation_id:
        return records[0]
    return None


async def read_history(
    key_value: keyvalue.KeyValue, *, limit: int = 100
) -> list[ChangeRecord]:
    """Returns the newest confirmed changes, newest first.

    Raises:
        KeyValueError: The service did not answer.
    """
    head, _ = await read_head(key_value)
    first = max(1, head.version - limit + 1)
    return (await read_records(key_value, first, head.version))[::-1]


async def read_version(
    key_value: keyvalue.KeyValue, state: sections.State, version: int
) -> configuration.Configuration:
    """Returns the configuration of an older version.

    Raises:
        NotFoundError: The version does not exist or is no longer stored.
        KeyValueError: The service did not answer.
    """
    current = state.head.version
    if not 0 <= version <= current:
        raise errors.NotFoundError(f"there is no version {version}")
    content = state.configuration
    last = current
    while last > version:
        first = max(version + 1, last - MAX_RECORDS_PER_READ + 1)
        records = await read_records(key_value, first, last)
        if len(records) != last - first + 1:
            raise errors.NotFoundError(f"version {version} is no longer stored")
        for record in records[::-1]:
            content = sections.apply_changes(
                content,
                record.changes,
                version=record.version - 1,
                backward=True,
            )
        last = first - 1
    return content
