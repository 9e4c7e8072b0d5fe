"""Model of configuration writes by two operators with lost and delayed calls.

The production decision is `configuration_records.resolve_write`. A writer reads
the head, then the record, then sends a write that is guarded by the version it
expects. Every call and every response can be delayed or lost. A write whose
response was lost may still take effect later.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from ibisknot import configuration_records
from ibisknot.bench import checker

Decide = Callable[..., str]

READ_HEAD = "read head"
READ_RECORD = "read record"
SENT = "sent"
UNKNOWN = "unknown"
DONE = "done"
CONFLICT = "conflict"
MAX_SENDS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Writer:
    """An operator that confirms one change.

    Attributes:
        operation: The id of its operation.
        phase: The next thing that it does, or the result.
        base_version: The version that its change is based on.
        head_version: The head version that it has read, 0 before the read.
        written_by: The operation that it has read at `base_version + 1`, an
            empty text if there is none.
        sent_writes: Count of writes sent so far.
    """

    operation: str
    phase: str = READ_HEAD
    base_version: int = 0
    head_version: int = 0
    written_by: str = ""
    sent_writes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SystemState:
    """The service's records by version, the writes in flight and the writers.

    Attributes:
        records: The operation that wrote each version, from version 1.
        writes_in_flight: Operation and expected head version of each write
            that has not arrived.
        applied_operations: The operations that took effect, sorted; one that
            took effect twice is listed twice.
        writers: The writers.
    """

    records: tuple[str, ...]
    writes_in_flight: tuple[tuple[str, int], ...]
    applied_operations: tuple[str, ...]
    writers: tuple[Writer, ...]


def _replace_writer(
    state: SystemState, writer: Writer, **fields: object
) -> SystemState:
    changed = dataclasses.replace(writer, **fields)  # type: ignore[arg-type]
    writers = tuple(
        changed if w.operation == writer.operation else w for w in state.writers
    )
    return dataclasses.replace(state, writers=writers)


def initial_state(writer_count: int = 2) -> SystemState:
    """Returns the first state: all writers have the base version 0."""
    writers = tuple(Writer(f"op-{index}") for index in range(writer_count))
    return SystemState((), (), (), writers)


def _operation_after_base(state: SystemState, writer: Writer) -> str:
    index = writer.base_version
    return state.records[index] if index < len(state.records) else ""


def _read_steps(
    state: SystemState, writer: Writer, decide: Decide, reads_record_first: bool
) -> Iterable[checker.Step]:
    read_phases = (READ_HEAD, READ_RECORD)
    head_fields = {"head_version": len(state.records)}
    record_fields = {"written_by": _operation_after_base(state, writer)}
    if writer.phase == read_phases[0]:
        fields = record_fields if reads_record_first else head_fields
        yield (
            f"{writer.operation} does its first read",
            _replace_writer(state, writer, phase=read_phases[1], **fields),
        )
    elif writer.phase == read_phases[1]:
        fields = head_fields if reads_record_first else record_fields
        updated = dataclasses.replace(writer, **fields)
        yield (
            f"{writer.operation} does its second read",
            _apply_decision(state, updated, decide),
        )


def _apply_decision(
    state: SystemState, writer: Writer, decide: Decide
) -> SystemState:
    decision = decide(
        base_version=writer.base_version,
        operation_id=writer.operation,
        head_version=writer.head_version,
        written_by=writer.written_by or None,
    )
    # Clears the values read: they are not needed any more, and keeping them
    # would multiply the distinct states.
    cleared = {"head_version": 0, "written_by": ""}
    if decision == configuration_records.DONE:
        return _replace_writer(state, writer, phase=DONE, **cleared)
    if decision == configuration_records.CONFLICT:
        return _replace_writer(state, writer, phase=CONFLICT, **cleared)
    if writer.sent_writes >= MAX_SENDS:
        return _replace_writer(state, writer, phase=UNKNOWN, **cleared)
    sent_state = _replace_writer(
        state, writer, phase=SENT, sent_writes=writer.sent_writes + 1, **cleared
    )
    write = (writer.operation, writer.head_version)
    return dataclasses.replace(
        sent_state, writes_in_flight=(*sent_state.writes_in_flight, write)
    )


def _apply_write(
    state: SystemState, index: int, *, compares_version: bool
) -> SystemState:
    """Returns the state after a write has arrived at the service."""
    operation, expected_version = state.writes_in_flight[index]
    writes_in_flight = (
        state.writes_in_flight[:index] + state.writes_in_flight[index + 1 :]
    )
    state = dataclasses.replace(state, writes_in_flight=writes_in_flight)
    if compares_version and expected_version != len(state.records):
        return state
    return dataclasses.replace(
        state,
        records=(*state.records, operation),
        applied_operations=tuple(
            sorted((*state.applied_operations, operation))
        ),
    )


def steps(
    state: SystemState,
    *,
    decide: Decide = configuration_records.resolve_write,
    reads_record_first: bool = False,
    compares_version: bool = True,
    assumes_failure: bool = False,
) -> Iterable[checker.Step]:
    """Returns the name and result of each step that is possible in a state.

    Args:
        state: The state of the system.
        decide: The decision under test.
        reads_record_first: Mutation: the record is read before the head.
        compares_version: Whether the service compares the expected version of
            a write with its own; False is a mutation.
        assumes_failure: Mutation: a writer treats a lost response as a
            failed write.
    """
    for writer in state.writers:
        yield from _read_steps(state, writer, decide, reads_record_first)
        if writer.phase == SENT:
            next_phase = CONFLICT if assumes_failure else READ_HEAD
            name = f"{writer.operation} loses the response"
            yield name, _replace_writer(state, writer, phase=next_phase)
            if not any(
                c[0] == writer.operation for c in state.writes_in_flight
            ):
                name = f"{writer.operation} gets the response"
                yield name, _replace_writer(state, writer, phase=READ_HEAD)
    for index in range(len(state.writes_in_flight)):
        operation = state.writes_in_flight[index][0]
        name = f"the write of {operation} arrives"
        yield (
            name,
            _apply_write(state, index, compares_version=compares_version),
        )
        writes_in_flight = (
            state.writes_in_flight[:index] + state.writes_in_flight[index + 1 :]
        )
        name = f"the write of {operation} is lost"
        yield (
            name,
            dataclasses.replace(state, writes_in_flight=writes_in_flight),
        )


def find_violation(state: SystemState) -> str:
    """Returns how a state violates the invariant, or an empty text."""
    if len(set(state.applied_operations)) != len(state.applied_operations):
        return "an operation took effect twice"
    for writer in state.writers:
        base_version = writer.base_version
        is_recorded = _operation_after_base(state, writer) == writer.operation
        if writer.phase == DONE and not is_recorded:
            return f"{writer.operation} was confirmed but is not recorded"
        if (
            writer.phase == CONFLICT
            and writer.operation in state.applied_operations
        ):
            return f"{writer.operation} was refused but took effect"
        others = [
            w
            for w in state.writers
            if w.base_version == base_version and w != writer
        ]
        if writer.phase == DONE and any(w.phase == DONE for w in others):
            return "two changes were confirmed from one version"
    return ""
