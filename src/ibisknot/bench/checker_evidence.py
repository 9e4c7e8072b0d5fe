"""Model of the evidence that a configuration is current.

One VM reads the key-value service, another asks the first. Reads, questions
and answers are delayed and lost; the second VM restarts; a delta may not be
applicable. The production decisions are `LocalConfiguration.build_delta` and
`LocalConfiguration.merge_evidence`.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
from typing import Any

from ibisknot import configuration
from ibisknot import distribution
from ibisknot import sections
from ibisknot.bench import checker

NEVER_S = -100
LAST_S = 2
MAXIMUM_VERSION = 1
MAXIMUM_MESSAGES = 2

TakeEvidence = Callable[[distribution.LocalConfiguration, Any, float], None]

READ = "read"
FOUND = "found"
ASK = "ask"
ANSWER = "answer"


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """A VM's version, and when the service confirmed it."""

    version: int = 0
    service_s: int = NEVER_S


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A message under way, with the time at which its sender asked."""

    kind: str
    asked_s: int
    version: int = 0
    age_ms: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class World:
    """The times of the changes, both VMs, and the messages under way."""

    now: int
    commits: tuple[int, ...]
    reader: Vm
    other: Vm
    messages: tuple[Message, ...]


def start() -> World:
    """Returns the first state."""
    return World(0, (), Vm(), Vm(), ())


def node(vm: Vm) -> distribution.LocalConfiguration:
    """Returns a distribution in the state of a VM of the model."""
    made = distribution.LocalConfiguration(vm_name="vm", listed_vms=list)
    current = configuration.Configuration(version=vm.version)
    made.state = sections.State(sections.Head(vm.version), current)
    made.confirmed_s = float(vm.service_s)
    return made


def _send(world: World, message: Message) -> World:
    messages = tuple(sorted((*world.messages, message), key=repr))
    return dataclasses.replace(world, messages=messages)


def _answer(world: World, asked_s: int) -> Message:
    """The reader answers a question, with what it has now."""
    reader = node(world.reader)
    ask = node(Vm(MAXIMUM_VERSION)).build_digest()
    delta = reader.build_delta(ask, float(world.now))
    known = world.reader.service_s != NEVER_S
    age_ms = delta.service_age_ms if known else -1
    return Message(ANSWER, asked_s, world.reader.version, age_ms)


def _take(
    world: World,
    message: Message,
    take: TakeEvidence,
    *,
    applied: bool,
    from_receipt: bool,
) -> World:
    """The other VM gets an answer, whose delta may not be applicable."""
    version = world.other.version
    if applied:
        version = max(version, message.version)
    own = node(Vm(version, world.other.service_s))
    delta = node(Vm(message.version)).build_delta(own.build_digest(), 0.0)
    delta.service_age_ms = message.age_ms
    asked_s = world.now if from_receipt else message.asked_s
    take(own, delta, float(asked_s))
    # Rounded down, which only makes evidence look older.
    service_s = max(NEVER_S, math.floor(own.confirmed_s))
    return dataclasses.replace(world, other=Vm(version, service_s))


def _deliver(
    world: World,
    message: Message,
    take: TakeEvidence,
    *,
    from_receipt: bool,
) -> Iterable[checker.Step]:
    if message.kind == READ:
        found = Message(FOUND, message.asked_s, len(world.commits))
        yield "the service answers", _send(world, found)
    elif message.kind == FOUND:
        newest = max(world.reader.version, message.version)
        confirmed_s = max(world.reader.service_s, message.asked_s)
        reader = Vm(newest, confirmed_s)
        name = "the reader has read"
        yield name, dataclasses.replace(world, reader=reader)
    elif message.kind == ASK:
        name = "the reader answers"
        yield name, _send(world, _answer(world, message.asked_s))
    else:
        for applied in (True, False):
            name = "the delta arrives" if applied else "the delta does not fit"
            yield (
                name,
                _take(
                    world,
                    message,
                    take,
                    applied=applied,
                    from_receipt=from_receipt,
                ),
            )


def steps(
    world: World,
    *,
    take: TakeEvidence = distribution.LocalConfiguration.merge_evidence,
    from_receipt: bool = False,
) -> Iterable[checker.Step]:
    """Returns the possible steps.

    Args:
        world: The state.
        take: The decision under test.
        from_receipt: Mutation: ages count from when an answer arrives.
    """
    if world.now < LAST_S:
        yield "time passes", dataclasses.replace(world, now=world.now + 1)
    if len(world.commits) < MAXIMUM_VERSION:
        commits = (*world.commits, world.now)
        yield "a change", dataclasses.replace(world, commits=commits)
    if len(world.messages) < MAXIMUM_MESSAGES:
        for kind in (READ, ASK):
            yield f"a {kind}", _send(world, Message(kind, world.now))
    if world.other != Vm():
        yield "a restart", dataclasses.replace(world, other=Vm())
    for number, message in enumerate(world.messages):
        rest = world.messages[:number] + world.messages[number + 1 :]
        gone = dataclasses.replace(world, messages=rest)
        yield f"a {message.kind} is lost", gone
        yield from _deliver(gone, message, take, from_receipt=from_receipt)


def check(world: World) -> str:
    """Returns what is wrong with a state, or an empty text."""
    for name, vm in (("reader", world.reader), ("other", world.other)):
        # Changes at the very time of the confirmation may come after it.
        due = sum(at_s < vm.service_s for at_s in world.commits)
        if vm.version < due:
            return f"the {name} vouches for a version that it does not have"
    return ""
