"""Model of the evidence that a configuration is current.

One VM, the reader, reads the key-value service. A second VM, the requester,
sends the reader its digest and gets a delta. Reads, digests, deltas and their
responses are delayed and lost; the requester restarts; a delta may not be
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

READ_REQUEST = "read request"
READ_RESPONSE = "read response"
DIGEST = "digest"
DELTA = "delta"


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """The configuration of a VM.

    Attributes:
        version: The version that the VM has.
        confirmed_s: When the service last confirmed that the version was
            current, in the model's time; `NEVER_S` before that.
    """

    version: int = 0
    confirmed_s: int = NEVER_S


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A message in flight.

    Attributes:
        kind: One of the kinds above.
        requested_s: When the read request or the digest was sent.
        version: The version that the message carries, 0 for none.
        age_ms: Age of the evidence in a delta, -1 for no evidence.
    """

    kind: str
    requested_s: int
    version: int = 0
    age_ms: int = -1


@dataclasses.dataclass(frozen=True, slots=True)
class SystemState:
    """State of the service, both VMs and the messages in flight.

    Attributes:
        now_s: The model's time in whole seconds.
        change_times_s: When each change was committed, from version 1.
        reader: The VM that reads the key-value service.
        requester: The VM that requests deltas from the reader.
        messages: Messages in flight, sorted.
    """

    now_s: int
    change_times_s: tuple[int, ...]
    reader: Vm
    requester: Vm
    messages: tuple[Message, ...]


def initial_state() -> SystemState:
    """Returns the first state."""
    return SystemState(0, (), Vm(), Vm(), ())


def make_local_configuration(vm: Vm) -> distribution.LocalConfiguration:
    """Returns the production object in the state of a VM of the model."""
    local = distribution.LocalConfiguration(vm_name="vm", listed_vms=list)
    vm_configuration = configuration.Configuration(version=vm.version)
    local.state = sections.State(sections.Head(vm.version), vm_configuration)
    local.confirmed_s = float(vm.confirmed_s)
    return local


def _add_message(state: SystemState, message: Message) -> SystemState:
    messages = tuple(sorted((*state.messages, message), key=repr))
    return dataclasses.replace(state, messages=messages)


def _make_delta_message(state: SystemState, requested_s: int) -> Message:
    """Returns the delta with which the reader responds to a digest now."""
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
    """Returns the state after the requester has received a delta."""
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
    # Rounding down can only make the evidence older.
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
        yield "the service responds", _add_message(state, response)
    elif message.kind == READ_RESPONSE:
        version = max(state.reader.version, message.version)
        confirmed_s = max(state.reader.confirmed_s, message.requested_s)
        reader = Vm(version, confirmed_s)
        name = "the reader gets the response"
        yield name, dataclasses.replace(state, reader=reader)
    elif message.kind == DIGEST:
        name = "the reader responds"
        yield (
            name,
            _add_message(
                state, _make_delta_message(state, message.requested_s)
            ),
        )
    else:
        for is_applicable in (True, False):
            name = (
                "the delta arrives"
                if is_applicable
                else "the delta is not applicable"
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
    """Returns the name and result of each step that is possible in a state.

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
            "a change is committed",
            dataclasses.replace(state, change_times_s=change_times_s),
        )
    if len(state.messages) < MAX_MESSAGES:
        for kind in (READ_REQUEST, DIGEST):
            yield (
                f"{kind} is sent",
                _add_message(state, Message(kind, state.now_s)),
            )
    if state.requester != Vm():
        yield (
            "the requester restarts",
            dataclasses.replace(state, requester=Vm()),
        )
    for index, message in enumerate(state.messages):
        remaining = state.messages[:index] + state.messages[index + 1 :]
        without_message = dataclasses.replace(state, messages=remaining)
        yield f"{message.kind} is lost", without_message
        yield from _deliver(
            without_message,
            message,
            merge_evidence,
            counts_from_receipt=counts_from_receipt,
        )


def find_violation(state: SystemState) -> str:
    """Returns how a state violates the invariant, or an empty text."""
    for name, vm in (("reader", state.reader), ("requester", state.requester)):
        # A change at the exact time of the confirmation may have come after it.
        expected_version = sum(
            change_s < vm.confirmed_s for change_s in state.change_times_s
        )
        if vm.version < expected_version:
            return f"the {name} treats an older version as current"
    return ""
