"""Model of configuration writes: two operators, lost and delayed calls.

The production decision is `configuration_records.resolve_write`. A writer reads
the head, then the record, then sends a guarded write; every call can be delayed
or lost, and so can its answer. A write that was given up may still take effect
later.
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
MAXIMUM_SENDS = 2


@dataclasses.dataclass(frozen=True, slots=True)
class Writer:
    """An operator's confirm.

    Attributes:
        phase: What it does next, or how it ended.
        base: The version that its change is based on.
        head: The version that it has read.
        written_by: The operation that it has read at `base + 1`.
        sends: Writes sent so far.
    """

    operation: str
    phase: str = READ_HEAD
    base: int = 0
    head: int = 0
    written_by: str = ""
    sends: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class World:
    """The service's records by version, calls under way, and the writers.

    Attributes:
        records: The operation that wrote each version, from version 1.
        calls: Writes under way: operation and the version they guard.
        effects: How often each operation took effect.
        writers: The writers.
    """

    records: tuple[str, ...]
    calls: tuple[tuple[str, int], ...]
    effects: tuple[str, ...]
    writers: tuple[Writer, ...]


def _replace(world: World, writer: Writer, **fields: object) -> World:
    changed = dataclasses.replace(writer, **fields)  # type: ignore[arg-type]
    writers = tuple(
        changed if w.operation == writer.operation else w for w in world.writers
    )
    return dataclasses.replace(world, writers=writers)


def start(count: int = 2) -> World:
    """Returns the first state: writers that share the base version 0."""
    writers = tuple(Writer(f"op-{number}") for number in range(count))
    return World((), (), (), writers)


def _record(world: World, writer: Writer) -> str:
    position = writer.base
    return world.records[position] if position < len(world.records) else ""


def _reads(
    world: World, writer: Writer, decide: Decide, record_first: bool
) -> Iterable[checker.Step]:
    first = (READ_HEAD, READ_RECORD)
    head = {"head": len(world.records)}
    record = {"written_by": _record(world, writer)}
    if writer.phase == first[0]:
        fields = record if record_first else head
        yield (
            f"{writer.operation} reads 1",
            _replace(world, writer, phase=first[1], **fields),
        )
    elif writer.phase == first[1]:
        fields = head if record_first else record
        read = dataclasses.replace(writer, **fields)
        yield f"{writer.operation} reads 2", _decided(world, read, decide)


def _decided(world: World, writer: Writer, decide: Decide) -> World:
    step = decide(
        base_version=writer.base,
        operation_id=writer.operation,
        head_version=writer.head,
        written_by=writer.written_by or None,
    )
    # What was read has served its purpose; without it, fewer states differ.
    cleared = {"head": 0, "written_by": ""}
    if step == configuration_records.DONE:
        return _replace(world, writer, phase=DONE, **cleared)
    if step == configuration_records.CONFLICT:
        return _replace(world, writer, phase=CONFLICT, **cleared)
    if writer.sends >= MAXIMUM_SENDS:
        return _replace(world, writer, phase=UNKNOWN, **cleared)
    sent = _replace(
        world, writer, phase=SENT, sends=writer.sends + 1, **cleared
    )
    call = (writer.operation, writer.head)
    return dataclasses.replace(sent, calls=(*sent.calls, call))


def _arrive(world: World, number: int, *, guarded: bool) -> World:
    """Lets a write arrive at the service."""
    operation, guard = world.calls[number]
    calls = world.calls[:number] + world.calls[number + 1 :]
    world = dataclasses.replace(world, calls=calls)
    if guarded and guard != len(world.records):
        return world
    return dataclasses.replace(
        world,
        records=(*world.records, operation),
        effects=tuple(sorted((*world.effects, operation))),
    )


def steps(
    world: World,
    *,
    decide: Decide = configuration_records.resolve_write,
    record_first: bool = False,
    guarded: bool = True,
    guesses: bool = False,
) -> Iterable[checker.Step]:
    """Returns the possible steps.

    Args:
        world: The state.
        decide: The decision under test.
        record_first: Mutation: the record is read before the head.
        guarded: Without it, a mutation: writes compare nothing.
        guesses: Mutation: a lost answer is taken for a failure.
    """
    for writer in world.writers:
        yield from _reads(world, writer, decide, record_first)
        if writer.phase == SENT:
            lost = CONFLICT if guesses else READ_HEAD
            name = f"{writer.operation} loses the answer"
            yield name, _replace(world, writer, phase=lost)
            if not any(c[0] == writer.operation for c in world.calls):
                name = f"{writer.operation} gets the answer"
                yield name, _replace(world, writer, phase=READ_HEAD)
    for number in range(len(world.calls)):
        operation = world.calls[number][0]
        name = f"the write of {operation} arrives"
        yield name, _arrive(world, number, guarded=guarded)
        calls = world.calls[:number] + world.calls[number + 1 :]
        name = f"the write of {operation} is lost"
        yield name, dataclasses.replace(world, calls=calls)


def check(world: World) -> str:
    """Returns what is wrong with a state, or an empty text."""
    if len(set(world.effects)) != len(world.effects):
        return "an operation took effect twice"
    for writer in world.writers:
        position = writer.base
        wrote = _record(world, writer) == writer.operation
        if writer.phase == DONE and not wrote:
            return f"{writer.operation} was confirmed but is not recorded"
        if writer.phase == CONFLICT and writer.operation in world.effects:
            return f"{writer.operation} was refused but took effect"
        others = [
            w for w in world.writers if w.base == position and w != writer
        ]
        if writer.phase == DONE and any(w.phase == DONE for w in others):
            return "two changes were confirmed from one version"
    return ""
