"""Model of rate shares with two VMs, changes of owner and lost messages.

The production decisions are those of `rates`. One organisation's units and
tokens move between the VMs. No time passes, so no tokens accrue.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from ibisknot import rates
from ibisknot.bench import checker

ORGANISATION = "o"
ALLOWANCE = rates.Allowance(rate=1.0, burst=4.0)
LOT_UNITS = 500_000
MAX_EPOCH = 3
MAX_MESSAGES = 2
VM_NAMES = ("a", "b")

GRANT = "grant"
RETURN = "return"
COLLECT = "collect"
REPORT = "report"
ACQUISITION = "acquisition"

AcceptsEpoch = Callable[[rates.Holdings, int], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class LedgerState:
    """The ledger of an owner, as a hashable value.

    Attributes:
        epoch: The owner's epoch.
        awaits_report: Whether the other VM has not reported its share yet.
        lent_units: Units lent to the other VM, -1 for no entry.
        recovered_tokens: Tokens that reports have recovered.
        is_pooled: Whether the units that are not lent are in the owner's share.
    """

    epoch: int
    awaits_report: bool
    lent_units: int = -1
    recovered_tokens: int = 0
    is_pooled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """A VM's share, its last report, and its ledger while it is the owner.

    Attributes:
        epoch: The newest epoch that the VM has accepted.
        units: Share units that it holds.
        tokens: Tokens of its share, in millionths.
        ledger: Its ledger, None if it is not the owner.
        reported_epoch: The epoch of its last report.
        reported_units: Units in its last report.
        reported_tokens: Tokens in its last report, in millionths.
    """

    epoch: int = 0
    units: int = 0
    tokens: int = 0
    ledger: LedgerState | None = None
    reported_epoch: int = 0
    reported_units: int = 0
    reported_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A message in flight.

    Attributes:
        kind: One of the kinds above.
        receiver: Index of the VM that receives it.
        epoch: The epoch of its sender.
        units: Share units that it carries or reports.
        tokens: Tokens that it carries or reports, in millionths.
    """

    kind: str
    receiver: int
    epoch: int
    units: int = 0
    tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SystemState:
    """State of the shard's record, both VMs and the messages in flight.

    Attributes:
        epoch: The newest epoch.
        owner: Index of the VM that owns the shard, -1 for none.
        vms: Both VMs.
        messages: Messages in flight, sorted.
    """

    epoch: int
    owner: int
    vms: tuple[Vm, Vm]
    messages: tuple[Message, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules under test; each default is what production does.

    Attributes:
        accepts_epoch: The decision whether to accept a message's epoch.
        checks_return_epoch: Whether a return of another epoch is dropped.
        waits_for_reports: Whether an owner lends units only after all VMs
            have reported.
        repeats_report: Whether an owner that collects again gets the same
            report.
    """

    accepts_epoch: AcceptsEpoch = rates.accept_epoch
    checks_return_epoch: bool = True
    waits_for_reports: bool = True
    repeats_report: bool = True


def initial_state() -> SystemState:
    """Returns the first state: no VM owns the shard."""
    return SystemState(0, -1, (Vm(), Vm()), ())


def _make_holdings(vm: Vm) -> rates.Holdings:
    share = rates.Share(vm.units, vm.tokens)
    reported = rates.Transfer(vm.reported_units, vm.reported_tokens)
    return rates.Holdings(
        vm.epoch,
        {ORGANISATION: share},
        vm.reported_epoch,
        {ORGANISATION: reported},
    )


def _make_ledger(ledger_state: LedgerState, vm_index: int) -> rates.Ledger:
    other = VM_NAMES[1 - vm_index]
    ledger = rates.Ledger(
        epoch=ledger_state.epoch,
        own_holder=VM_NAMES[vm_index],
        unreported={other} if ledger_state.awaits_report else set(),
        holders=set(VM_NAMES),
        recovered_tokens={ORGANISATION: ledger_state.recovered_tokens}
        if ledger_state.recovered_tokens
        else {},
    )
    if ledger_state.lent_units >= 0:
        ledger.lent_units[ORGANISATION] = {other: ledger_state.lent_units}
    if ledger_state.is_pooled:
        ledger.pooled.add(ORGANISATION)
    return ledger


def _make_vm(
    holdings: rates.Holdings, ledger: rates.Ledger | None, vm_index: int
) -> Vm:
    share = holdings.shares[ORGANISATION]
    ledger_state = None
    if ledger is not None:
        lent_units = ledger.lent_units.get(ORGANISATION, {})
        ledger_state = LedgerState(
            epoch=ledger.epoch,
            awaits_report=bool(ledger.unreported),
            lent_units=lent_units.get(VM_NAMES[1 - vm_index], -1),
            recovered_tokens=ledger.recovered_tokens.get(ORGANISATION, 0),
            is_pooled=ORGANISATION in ledger.pooled,
        )
    transfer = holdings.reported_shares[ORGANISATION]
    return Vm(
        holdings.epoch,
        share.units,
        share.level,
        ledger_state,
        holdings.reported_epoch,
        transfer.units,
        transfer.tokens,
    )


def _replace_vm(
    state: SystemState, vm_index: int, vm: Vm, *new_messages: Message
) -> SystemState:
    vms = (vm, state.vms[1]) if vm_index == 0 else (state.vms[0], vm)
    messages = tuple(sorted((*state.messages, *new_messages), key=repr))
    return dataclasses.replace(state, vms=vms, messages=messages)


def _lend_steps(
    state: SystemState, vm_index: int, rules: Rules
) -> Iterable[checker.Step]:
    vm = state.vms[vm_index]
    if vm.ledger is None or (
        vm.ledger.awaits_report and rules.waits_for_reports
    ):
        return
    holdings = _make_holdings(vm)
    ledger = _make_ledger(vm.ledger, vm_index)
    other = VM_NAMES[1 - vm_index]
    ledger.unreported.clear()
    share = rates.refresh_pool(ledger, holdings, ORGANISATION, 0.0, ALLOWANCE)
    transfer = rates.lend(
        ledger, share, ORGANISATION, other, LOT_UNITS, 0.0, ALLOWANCE
    )
    message = Message(
        GRANT, 1 - vm_index, ledger.epoch, transfer.units, transfer.tokens
    )
    yield (
        f"{VM_NAMES[vm_index]} lends units",
        _replace_vm(
            state, vm_index, _make_vm(holdings, ledger, vm_index), message
        ),
    )


def _return_steps(state: SystemState, vm_index: int) -> Iterable[checker.Step]:
    vm = state.vms[vm_index]
    if vm.ledger is not None or not vm.units:
        return
    holdings = _make_holdings(vm)
    share = holdings.shares[ORGANISATION]
    transfer = rates.remove_from_share(
        share, vm.units, vm.tokens, 0.0, ALLOWANCE
    )
    message = Message(
        RETURN, 1 - vm_index, vm.epoch, transfer.units, transfer.tokens
    )
    yield (
        f"{VM_NAMES[vm_index]} returns its share",
        _replace_vm(
            state, vm_index, _make_vm(holdings, None, vm_index), message
        ),
    )


def _begin_ownership(
    state: SystemState, message: Message, rules: Rules
) -> SystemState:
    """Returns the state after a VM became the owner and sent a collect."""
    vm_index = message.receiver
    holdings = _make_holdings(state.vms[vm_index])
    if not rules.accepts_epoch(holdings, message.epoch):
        return state
    ledger = _make_ledger(
        LedgerState(message.epoch, awaits_report=True), vm_index
    )
    collect = Message(COLLECT, 1 - vm_index, message.epoch)
    return _replace_vm(
        state, vm_index, _make_vm(holdings, ledger, vm_index), collect
    )


def _report_shares(
    state: SystemState, message: Message, rules: Rules
) -> SystemState:
    vm_index = message.receiver
    vm = state.vms[vm_index]
    holdings = _make_holdings(vm)
    if not rules.repeats_report:
        holdings.reported_epoch = 0
    was_owner = vm.ledger is not None
    transfers = rates.report_shares(
        holdings, message.epoch, was_owner=was_owner
    )
    if transfers is None:
        return state
    transfer = transfers[ORGANISATION]
    report = Message(
        REPORT, 1 - vm_index, message.epoch, transfer.units, transfer.tokens
    )
    return _replace_vm(
        state, vm_index, _make_vm(holdings, None, vm_index), report
    )


def _receive_at_owner(
    state: SystemState, message: Message, rules: Rules
) -> SystemState:
    """Returns the state after an owner received a report or a return."""
    vm_index = message.receiver
    vm = state.vms[vm_index]
    if vm.ledger is None:
        return state
    is_current_epoch = vm.ledger.epoch == message.epoch
    if not is_current_epoch and (
        message.kind == REPORT or rules.checks_return_epoch
    ):
        return state
    holdings = _make_holdings(vm)
    ledger = _make_ledger(vm.ledger, vm_index)
    other = VM_NAMES[1 - vm_index]
    transfer = rates.Transfer(message.units, message.tokens)
    if message.kind == REPORT:
        rates.record_report(ledger, other, {ORGANISATION: transfer}, 0.0)
    else:
        share = rates.refresh_pool(
            ledger, holdings, ORGANISATION, 0.0, ALLOWANCE
        )
        rates.accept_return(
            ledger, share, ORGANISATION, other, transfer, 0.0, ALLOWANCE
        )
    return _replace_vm(state, vm_index, _make_vm(holdings, ledger, vm_index))


def _receive_grant(
    state: SystemState, message: Message, rules: Rules
) -> SystemState:
    vm_index = message.receiver
    vm = state.vms[vm_index]
    holdings = _make_holdings(vm)
    if not rules.accepts_epoch(holdings, message.epoch):
        return state
    transfer = rates.Transfer(message.units, message.tokens)
    rates.add_to_share(holdings.shares[ORGANISATION], transfer, 0.0, ALLOWANCE)
    ledger = (
        _make_ledger(vm.ledger, vm_index) if vm.ledger is not None else None
    )
    return _replace_vm(state, vm_index, _make_vm(holdings, ledger, vm_index))


def _deliver(state: SystemState, message: Message, rules: Rules) -> SystemState:
    if message.kind == ACQUISITION:
        return _begin_ownership(state, message, rules)
    if message.kind == COLLECT:
        return _report_shares(state, message, rules)
    if message.kind == GRANT:
        return _receive_grant(state, message, rules)
    return _receive_at_owner(state, message, rules)


def steps(state: SystemState, *, rules: Rules) -> Iterable[checker.Step]:
    """Returns the name and result of each step that is possible in a state."""
    for index, message in enumerate(state.messages):
        remaining = state.messages[:index] + state.messages[index + 1 :]
        without_message = dataclasses.replace(state, messages=remaining)
        yield f"{message.kind} is lost", without_message
        yield (
            f"{message.kind} arrives",
            _deliver(without_message, message, rules),
        )
    if len(state.messages) >= MAX_MESSAGES:
        return
    for vm_index, vm in enumerate(state.vms):
        yield from _lend_steps(state, vm_index, rules)
        yield from _return_steps(state, vm_index)
        if state.owner != vm_index and state.epoch < MAX_EPOCH:
            epoch = state.epoch + 1
            acquired = dataclasses.replace(state, epoch=epoch, owner=vm_index)
            name = f"{VM_NAMES[vm_index]} acquires the shard"
            yield (
                name,
                _replace_vm(
                    acquired,
                    vm_index,
                    vm,
                    Message(ACQUISITION, vm_index, epoch),
                ),
            )
        if vm.ledger is not None and vm.ledger.awaits_report:
            collect = Message(COLLECT, 1 - vm_index, vm.ledger.epoch)
            yield (
                f"{VM_NAMES[vm_index]} collects again",
                _replace_vm(state, vm_index, vm, collect),
            )


def find_violation(state: SystemState) -> str:
    """Returns how a state violates the invariant, or an empty text.

    Messages in flight are not counted: on arrival, an accepted one is added to
    a VM's share, and one of an older epoch is dropped.
    """
    units = sum(vm.units for vm in state.vms)
    if units > rates.ORGANISATION_UNITS:
        return f"the VMs hold {units} units"
    tokens = sum(vm.tokens for vm in state.vms)
    if tokens > rates.token_cap(rates.ORGANISATION_UNITS, ALLOWANCE):
        return f"the VMs hold {tokens} tokens"
    return ""
