"""Model of orders under a lease: two VMs, pauses and delayed calls.

The production decisions are those of `lease` and `orders.may_order`. Time is
counted in whole seconds. An owner may pause between the check of its lease and
the sending of an order, and an order may be in flight for some time, each up
to its limit in `ORDER_SETTINGS`.
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
REQUESTING = "requesting"
OWNING = "owning"
SENDING = "sending"

MayOrder = Callable[..., bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """A VM that acquires the shard and sends orders to the engine.

    Attributes:
        name: The VM's name.
        phase: One of the phases above.
        phase_start_s: When the phase began; 0 in phases in which it has no
            effect.
        epoch: Its epoch, the fencing number of its orders; 0 for none.
        valid_until_s: The end of its lease according to its own clock.
        acquired_s: When it acquired the lease according to its own clock.
    """

    name: str
    phase: str = IDLE
    phase_start_s: int = 0
    epoch: int = 0
    valid_until_s: float = NEVER_S
    acquired_s: float = NEVER_S


@dataclasses.dataclass(frozen=True, slots=True)
class SystemState:
    """State of the service's lease, the VMs and the engine.

    Attributes:
        now_s: The time.
        epoch: The newest epoch.
        owner: Name of the VM that owns the shard according to the service.
        lease_expires_s: When the service ends the lease.
        vms: The VMs.
        orders_in_flight: Epoch and time of sending of each order in flight.
        executed_epochs: Epochs of the orders that the engine has executed:
            the highest and that of the latest order.
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
        checks_fencing: Whether the engine refuses orders of an older epoch.
        may_order: The decision whether an owner may send orders yet.
        last_time_s: When the exploration ends. Without fencing it must be
            longer than the time that a new owner waits before its first order.
        checks_lease: Whether an owner checks its lease before an order.
        increments_epoch: Whether each new owner gets a higher epoch.
        counts_from_response: Mutation: the lease starts when the response
            arrives and not when the request was sent.
    """

    checks_fencing: bool = True
    may_order: MayOrder = orders.may_order
    last_time_s: int = 4
    checks_lease: bool = True
    increments_epoch: bool = True
    counts_from_response: bool = False


def initial_state() -> SystemState:
    """Returns the first state: no VM owns the shard."""
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
    # The start of a phase is kept only where it has an effect, so that states
    # with the same behaviour are equal.
    needs_start = changed.phase in (REQUESTING, SENDING)
    changed = dataclasses.replace(
        changed, phase_start_s=state.now_s if needs_start else 0
    )
    vms = tuple(changed if v.name == vm.name else v for v in state.vms)
    return dataclasses.replace(state, vms=vms)


def _acquisition_steps(
    state: SystemState, vm: Vm, rules: Rules
) -> Iterable[checker.Step]:
    """Returns the steps in which a VM requests and gets the lease."""
    if vm.phase == IDLE:
        yield (
            f"{vm.name} requests the lease",
            _replace_vm(state, vm, phase=REQUESTING),
        )
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
    # The response may arrive at once, or after the lease has ended.
    for delay_s in (0, int(ORDER_SETTINGS.lease_s)):
        valid_from_s = requested_s + (
            delay_s if rules.counts_from_response else 0
        )
        lease_module.record_grant(lease, epoch, valid_from_s)
        acquired = dataclasses.replace(
            state, epoch=epoch, owner=vm.name, lease_expires_s=lease_expires_s
        )
        yield (
            f"{vm.name} gets the lease after {delay_s} s",
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
            name = f"{vm.name} observes the end of its lease"
            cleared = {
                "phase": IDLE,
                "valid_until_s": NEVER_S,
                "acquired_s": NEVER_S,
            }
            yield name, _replace_vm(state, vm, **cleared)
        if _may_send_order(state, vm, rules):
            name = f"{vm.name} decides to send an order"
            yield name, _replace_vm(state, vm, phase=SENDING)
    elif vm.phase == SENDING:
        sent = _replace_vm(state, vm, phase=OWNING)
        orders_in_flight = tuple(
            sorted((*state.orders_in_flight, (vm.epoch, state.now_s)))
        )
        name = f"{vm.name} sends an order"
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
        f"{vm.name} renews its lease",
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
        yield f"order of epoch {epoch} is lost", without_order
        if rules.checks_fencing and epoch < state.executed_epochs[0]:
            continue
        executed_epochs = (max(state.executed_epochs[0], epoch), epoch)
        arrived = dataclasses.replace(
            without_order, executed_epochs=executed_epochs
        )
        yield f"order of epoch {epoch} arrives", arrived


def _may_advance_time(state: SystemState, rules: Rules) -> bool:
    """Returns whether time may pass without exceeding a limit."""
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
    """Returns the name and result of each step that is possible in a state."""
    for vm in state.vms:
        yield from _acquisition_steps(state, vm, rules)
        yield from _order_steps(state, vm, rules)
    yield from _delivery_steps(state, rules)
    if _may_advance_time(state, rules):
        yield "time passes", dataclasses.replace(state, now_s=state.now_s + 1)


def find_violation(state: SystemState) -> str:
    """Returns how a state violates the invariant, or an empty text."""
    highest, latest = state.executed_epochs
    if latest < highest:
        return "the engine executed an order of an older owner"
    owners = [
        vm.name
        for vm in state.vms
        if lease_module.is_valid(_make_lease(vm), state.now_s)
    ]
    if len(owners) > 1:
        return "two VMs have a valid lease according to their own clocks"
    epochs = [v.epoch for v in state.vms if v.epoch]
    if len(set(epochs)) != len(epochs):
        return "two VMs have the same epoch"
    return ""
