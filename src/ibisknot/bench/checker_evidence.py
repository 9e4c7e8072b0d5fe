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
LAST_TIME_S = 2
MAX_VERSION = 1
MAX_MESSAGES = 2

MergeEvidence = Callable[[distribution.LocalConfiguration, Any, float], None]

READ_REQUEST = "read"
READ_RESPONSE = "found"
DIGEST = "ask"
DELTA = "answer"


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """A VM's version, and when the service confirmed it."""

    version: int = 0
    confirmed_s: int = NEVER_S


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A message under way, with the time at which its sender asked."""

    kind: str
    requested_s: int
    version: int = 0
    age_ms: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class SystemState:
    """The times of the changes, both VMs, and the messages under way."""

    now_s: int
    change_times_s: tuple[int, ...]
    reader: Vm
    requester: Vm
    messages: tuple[Message, ...]


def initial_state() -> SystemState:
    """Returns the first state."""
    return SystemState(0, (), Vm(), Vm(), ())


def make_local_configuration(vm: Vm) -> distribution.LocalConfiguration:
    """Returns a distribution in the state of a VM of the model."""
    local = distribution.LocalConfiguration(vm_name="vm", listed_vms=list)
    vm_configuration = configuration.Configuration(version=vm.version)
    local.state = sections.State(sections.Head(vm.version), vm_configuration)
    local.confirmed_s = float(vm.confirmed_s)
    return local


def _send(state: SystemState, message: Message) -> SystemState:
    messages = tuple(sorted((*state.messages, message), key=repr))
    return dataclasses.replace(state, messages=messages)


def _make_delta_message(state: SystemState, requested_s: int) -> Message:
    """The reader answers a question, with what it has now."""
    reader = make_local_configuration(state.reader)
    digest = make_local_configuration(Vm(MAX_VERSION)).build_digest()
    delta = reader.build_delta(digest, float(state.now_s))
    is_confirmed = state.reader.confirmed_s != NEVER_S
    age_ms = delta.service_age_ms if is_confirmed else -1
    return Message(DELTA, requested_s, state.reader.version, age_ms)


def _receive_delta(
    state: SystemState,
    message: Message,
    merge_evidence: MergeEvidence,
    *,
    is_applicable: bool,
    counts_from_receipt: bool,
) -> SystemState:
    """The other VM gets an answer, whose delta may not be applicable."""
    version = state.requester.version
    if is_applicable:
        version = max(version, message.version)
    requester = make_local_configuration(
        Vm(version, state.requester.confirmed_s)
    )
    delta = make_local_configuration(Vm(message.version)).build_delta(
        requester.build_digest(), 0.0
    )
    delta.service_age_ms = message.age_ms
    requested_s = state.now_s if counts_from_receipt else message.requested_s
    merge_evidence(requester, delta, float(requested_s))
    # Rounded down, which only makes evidence look older.
    confirmed_s = max(NEVER_S, math.floor(requester.confirmed_s))
    return dataclasses.replace(state, requester=Vm(version, confirmed_s))


def _deliver(
    state: SystemState,
    message: Message,
    merge_evidence: MergeEvidence,
    *,
    counts_from_receipt: bool,
) -> Iterable[checker.Step]:
    if message.kind == READ_REQUEST:
        response = Message(
            READ_RESPONSE, message.requested_s, len(state.change_times_s)
        )
        yield "the service answers", _send(state, response)
    elif message.kind == READ_RESPONSE:
        version = max(state.reader.version, message.version)
        confirmed_s = max(state.reader.confirmed_s, message.requested_s)
        reader = Vm(version, confirmed_s)
        name = "the reader has read"
        yield name, dataclasses.replace(state, reader=reader)
    elif message.kind == DIGEST:
        name = "the reader answers"
        yield (
            name,
            _send(state, _make_delta_message(state, message.requested_s)),
        )
    else:
        for is_applicable in (True, False):
            name = (
                "the delta arrives"
                if is_applicable
                else "the delta does not fit"
            )
            yield (
                name,
                _receive_delta(
                    state,
                    message,
                    merge_evidence,
                    is_applicable=is_applicable,
                    counts_from_receipt=counts_from_receipt,
                ),
            )


def steps(
    state: SystemState,
    *,
    merge_evidence: MergeEvidence = (
        distribution.LocalConfiguration.merge_evidence
    ),
    counts_from_receipt: bool = False,
) -> Iterable[checker.Step]:
    """Returns the possible steps.

    Args:
        state: The state of the system.
        merge_evidence: The decision under test.
        counts_from_receipt: Mutation: the age of evidence counts from the
            receipt of the delta and not from the sending of the digest.
    """
    if state.now_s < LAST_TIME_S:
        yield "time passes", dataclasses.replace(state, now_s=state.now_s + 1)
    if len(state.change_times_s) < MAX_VERSION:
        change_times_s = (*state.change_times_s, state.now_s)
        yield (
            "a change",
            dataclasses.replace(state, change_times_s=change_times_s),
        )
    if len(state.messages) < MAX_MESSAGES:
        for kind in (READ_REQUEST, DIGEST):
            yield f"a {kind}", _send(state, Message(kind, state.now_s))
    if state.requester != Vm():
        yield "a restart", dataclasses.replace(state, requester=Vm())
    for index, message in enumerate(state.messages):
        remaining = state.messages[:index] + state.messages[index + 1 :]
        without_message = dataclasses.replace(state, messages=remaining)
        yield f"a {message.kind} is lost", without_message
        yield from _deliver(
            without_message,
            message,
            merge_evidence,
            counts_from_receipt=counts_from_receipt,
        )


def find_violation(state: SystemState) -> str:
    """Returns what is wrong with a state, or an empty text."""
    for name, vm in (("reader", state.reader), ("other", state.requester)):
        # Changes at the very time of the confirmation may come after it.
        expected_version = sum(
            change_s < vm.confirmed_s for change_s in state.change_times_s
        )
        if vm.version < expected_version:
            return f"the {name} vouches for a version that it does not have"
    return ""
