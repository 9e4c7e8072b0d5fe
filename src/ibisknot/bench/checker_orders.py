"""Model of orders under a lease: two holders, pauses, delayed calls.

The production decisions are `lease` and `orders.may_order`. Time is counted in
whole units. A holder may pause between its check of the lease and the send of
an order, and an order may be under way for long, each up to its stated limit.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from ibisknot import lease as lease_module
from ibisknot import orders
from ibisknot import settings
from ibisknot.bench import checker

ORDER_SETTINGS = settings.Orders(
    lease_s=2.0, longest_pause_s=1.0, longest_order_s=1.0
)
MAX_EPOCH = 3
NEVER_S = -1

IDLE = "idle"
REQUESTING = "asking"
OWNING = "holding"
SENDING = "sending"

MayOrder = Callable[..., bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """A VM that takes the shard and orders the engine.

    Attributes:
        phase: What it is doing.
        since_s: When the phase began.
        epoch: Its fencing number; 0 while it has none.
        until_s: The end of its lease by its own count.
        held_s: When it got the lease, by its own count.
    """

    name: str
    phase: str = IDLE
    phase_start_s: int = 0
    epoch: int = 0
    valid_until_s: float = NEVER_S
    acquired_s: float = NEVER_S


@dataclasses.dataclass(frozen=True, slots=True)
class SystemState:
    """The service's lease, the holders, and the engine.

    Attributes:
        now: The time.
        epoch: The newest fencing number.
        owner: Who holds the shard according to the service.
        expires_s: When the service ends the lease.
        holders: The VMs.
        flight: Orders under way: fencing number and time of sending.
        taken: Fencing numbers of the orders that the engine carried out,
            the highest and the newest.
    """

    now_s: int
    epoch: int
    owner: str
    lease_expires_s: int
    vms: tuple[Vm, ...]
    orders_in_flight: tuple[tuple[int, int], ...]
    executed_epochs: tuple[int, int]


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules under test; each default is what production does.

    Attributes:
        checks_fencing: Whether the engine checks fencing numbers.
        may_order: Whether a holder may order yet.
        last_s: When the exploration ends. Without fencing it has to outlast
            the wait of a new holder.
        checks_lease: Whether a holder checks its lease before an order.
        rises: Whether the fencing number rises with each holder.
        counts_from_answer: Mutation: the lease counts from the answer.
    """

    checks_fencing: bool = True
    may_order: MayOrder = orders.may_order
    last_time_s: int = 4
    checks_lease: bool = True
    increments_epoch: bool = True
    counts_from_response: bool = False


def initial_state() -> SystemState:
    """Returns the first state: nobody holds the shard."""
    vms = (Vm("a"), Vm("b"))
    return SystemState(0, 0, "", NEVER_S, vms, (), (0, 0))


def _make_lease(vm: Vm) -> lease_module.Lease:
    return lease_module.Lease(
        ORDER_SETTINGS.lease_s,
        lease_id=vm.epoch,
        valid_until_s=vm.valid_until_s,
        acquired_s=vm.acquired_s,
    )


def _replace_vm(state: SystemState, vm: Vm, **fields: object) -> SystemState:
    changed = dataclasses.replace(vm, **fields)  # type: ignore[arg-type]
    # The start of a phase is kept only where it matters, so that states which
    # behave alike are the same.
    needs_start = changed.phase in (REQUESTING, SENDING)
    changed = dataclasses.replace(
        changed, phase_start_s=state.now_s if needs_start else 0
    )
    vms = tuple(changed if h.name == vm.name else h for h in state.vms)
    return dataclasses.replace(state, vms=vms)


def _acquisition_steps(
    state: SystemState, vm: Vm, rules: Rules
) -> Iterable[checker.Step]:
    """A holder asks for the lease; the service takes the call later."""
    if vm.phase == IDLE:
        yield f"{vm.name} asks", _replace_vm(state, vm, phase=REQUESTING)
    if vm.phase != REQUESTING or state.now_s < state.lease_expires_s:
        return
    if state.epoch >= MAX_EPOCH:
        return
    epoch = state.epoch + 1 if rules.increments_epoch else max(1, state.epoch)
    requested_s = (
        state.now_s if rules.counts_from_response else vm.phase_start_s
    )
    lease = _make_lease(vm)
    lease_expires_s = state.now_s + int(ORDER_SETTINGS.lease_s)
    # The answer may come at once, or when the lease has ended already.
    for delay_s in (0, int(ORDER_SETTINGS.lease_s)):
        valid_from_s = requested_s + (
            delay_s if rules.counts_from_response else 0
        )
        lease_module.record_grant(lease, epoch, valid_from_s)
        acquired = dataclasses.replace(
            state, epoch=epoch, owner=vm.name, lease_expires_s=lease_expires_s
        )
        yield (
            f"{vm.name} gets the lease, {delay_s} late",
            _replace_vm(
                acquired,
                vm,
                phase=OWNING,
                epoch=epoch,
                valid_until_s=lease.valid_until_s,
                acquired_s=lease.acquired_s,
            ),
        )


def _order_steps(
    state: SystemState, vm: Vm, rules: Rules
) -> Iterable[checker.Step]:
    if vm.phase == OWNING:
        if lease_module.is_valid(_make_lease(vm), state.now_s):
            yield from _renewal_steps(state, vm)
        else:
            name = f"{vm.name} notices the end of its lease"
            cleared = {
                "phase": IDLE,
                "valid_until_s": NEVER_S,
                "acquired_s": NEVER_S,
            }
            yield name, _replace_vm(state, vm, **cleared)
        if _may_send_order(state, vm, rules):
            name = f"{vm.name} decides to order"
            yield name, _replace_vm(state, vm, phase=SENDING)
    elif vm.phase == SENDING:
        sent = _replace_vm(state, vm, phase=OWNING)
        orders_in_flight = tuple(
            sorted((*state.orders_in_flight, (vm.epoch, state.now_s)))
        )
        name = f"{vm.name} sends"
        yield (
            name,
            dataclasses.replace(sent, orders_in_flight=orders_in_flight[-2:]),
        )


def _renewal_steps(state: SystemState, vm: Vm) -> Iterable[checker.Step]:
    if state.owner != vm.name or state.now_s >= state.lease_expires_s:
        return
    lease = _make_lease(vm)
    lease_module.record_renewal(lease, state.now_s, alive=True)
    lease_expires_s = state.now_s + int(ORDER_SETTINGS.lease_s)
    renewed = dataclasses.replace(state, lease_expires_s=lease_expires_s)
    yield (
        f"{vm.name} renews",
        _replace_vm(renewed, vm, valid_until_s=lease.valid_until_s),
    )


def _may_send_order(state: SystemState, vm: Vm, rules: Rules) -> bool:
    if rules.checks_lease and not lease_module.is_valid(
        _make_lease(vm), state.now_s
    ):
        return False
    return rules.may_order(
        state.now_s,
        checks_fencing=rules.checks_fencing,
        lease_acquired_s=vm.acquired_s,
        order_settings=ORDER_SETTINGS,
    )


def _delivery_steps(state: SystemState, rules: Rules) -> Iterable[checker.Step]:
    for index, (epoch, _) in enumerate(state.orders_in_flight):
        orders_in_flight = (
            state.orders_in_flight[:index] + state.orders_in_flight[index + 1 :]
        )
        without_order = dataclasses.replace(
            state, orders_in_flight=orders_in_flight
        )
        yield f"order {epoch} is lost", without_order
        if rules.checks_fencing and epoch < state.executed_epochs[0]:
            continue
        executed_epochs = (max(state.executed_epochs[0], epoch), epoch)
        arrived = dataclasses.replace(
            without_order, executed_epochs=executed_epochs
        )
        yield f"order {epoch} arrives", arrived


def _may_advance_time(state: SystemState, rules: Rules) -> bool:
    """Returns whether time may pass without breaking a stated limit."""
    if state.now_s >= rules.last_time_s:
        return False
    for vm in state.vms:
        paused_s = state.now_s - vm.phase_start_s
        if vm.phase == SENDING and paused_s >= ORDER_SETTINGS.longest_pause_s:
            return False
    return all(
        state.now_s - sent_s < ORDER_SETTINGS.longest_order_s
        for _, sent_s in state.orders_in_flight
    )


def steps(state: SystemState, *, rules: Rules) -> Iterable[checker.Step]:
    """Returns the possible steps."""
    for vm in state.vms:
        yield from _acquisition_steps(state, vm, rules)
        yield from _order_steps(state, vm, rules)
    yield from _delivery_steps(state, rules)
    if _may_advance_time(state, rules):
        yield "time passes", dataclasses.replace(state, now_s=state.now_s + 1)


def find_violation(state: SystemState) -> str:
    """Returns what is wrong with a state, or an empty text."""
    highest, latest = state.executed_epochs
    if latest < highest:
        return "the engine carried out an older holder's order"
    owners = [
        holder.name
        for holder in state.vms
        if lease_module.is_valid(_make_lease(holder), state.now_s)
    ]
    if len(owners) > 1:
        return "two VMs hold the lease by their own count"
    epochs = [h.epoch for h in state.vms if h.epoch]
    if len(set(epochs)) != len(epochs):
        return "two holders have the same fencing number"
    return ""
