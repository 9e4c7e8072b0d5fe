"""Model of conserved shares: two VMs, changes of owner, lost messages.

The production decisions are those of `rates`. One organisation's units and
tokens move between the VMs; no time passes, so no token accrues.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from ibisknot import rates
from ibisknot.bench import checker

ORGANISATION = "o"
ALLOWANCE = rates.Allowance(rate=1.0, burst=4.0)
LOT_UNITS = 500_000
MAXIMUM_EPOCH = 3
MAXIMUM_MESSAGES = 2
NAMES = ("a", "b")

GRANT = "grant"
RETURN = "return"
COLLECT = "collect"
REPORT = "report"
BEGIN = "begin"

Accepts = Callable[[rates.Holdings, int], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Pool:
    """An owner's ledger: what the other VM was lent, and what is settled."""

    epoch: int
    waits: bool
    lent: int = -1
    moved: int = 0
    settled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """A VM's share, its last report, and its ledger while it is the owner."""

    epoch: int = 0
    units: int = 0
    level: int = 0
    pool: Pool | None = None
    reported_epoch: int = 0
    reported_units: int = 0
    reported_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A message under way."""

    kind: str
    to: int
    epoch: int
    units: int = 0
    tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class World:
    """The shard's record, both VMs, and the messages under way."""

    epoch: int
    owner: int
    vms: tuple[Vm, Vm]
    messages: tuple[Message, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """The rules under test; each default is what production does.

    Attributes:
        accepts: Whether a message of an epoch is taken.
        checks_return: Whether a return of another epoch is dropped.
        waits: Whether units join the pool only after all have answered.
        repeats: Whether an owner that asks again gets the same answer.
    """

    accepts: Accepts = rates.accept_epoch
    checks_return: bool = True
    waits: bool = True
    repeats: bool = True


def start() -> World:
    """Returns the first state: nobody owns the shard."""
    return World(0, -1, (Vm(), Vm()), ())


def _open(vm: Vm) -> rates.Holdings:
    share = rates.Share(vm.units, vm.level)
    reported = rates.Transfer(vm.reported_units, vm.reported_tokens)
    return rates.Holdings(
        vm.epoch,
        {ORGANISATION: share},
        vm.reported_epoch,
        {ORGANISATION: reported},
    )


def _ledger(pool: Pool, me: int) -> rates.Ledger:
    other = NAMES[1 - me]
    made = rates.Ledger(
        epoch=pool.epoch,
        own_holder=NAMES[me],
        unreported={other} if pool.waits else set(),
        holders=set(NAMES),
        recovered_tokens={ORGANISATION: pool.moved} if pool.moved else {},
    )
    if pool.lent >= 0:
        made.lent_units[ORGANISATION] = {other: pool.lent}
    if pool.settled:
        made.pooled.add(ORGANISATION)
    return made


def _close(
    holdings: rates.Holdings, ledger: rates.Ledger | None, me: int
) -> Vm:
    share = holdings.shares[ORGANISATION]
    pool = None
    if ledger is not None:
        lent = ledger.lent_units.get(ORGANISATION, {})
        pool = Pool(
            epoch=ledger.epoch,
            waits=bool(ledger.unreported),
            lent=lent.get(NAMES[1 - me], -1),
            moved=ledger.recovered_tokens.get(ORGANISATION, 0),
            settled=ORGANISATION in ledger.pooled,
        )
    reported = holdings.reported_shares[ORGANISATION]
    return Vm(
        holdings.epoch,
        share.units,
        share.level,
        pool,
        holdings.reported_epoch,
        reported.units,
        reported.tokens,
    )


def _with(world: World, me: int, vm: Vm, *sent: Message) -> World:
    vms = (vm, world.vms[1]) if me == 0 else (world.vms[0], vm)
    messages = tuple(sorted((*world.messages, *sent), key=repr))
    return dataclasses.replace(world, vms=vms, messages=messages)


def _lend(world: World, me: int, rules: Rules) -> Iterable[checker.Step]:
    vm = world.vms[me]
    if vm.pool is None or (vm.pool.waits and rules.waits):
        return
    holdings = _open(vm)
    ledger = _ledger(vm.pool, me)
    other = NAMES[1 - me]
    ledger.unreported.clear()
    share = rates.refresh_pool(ledger, holdings, ORGANISATION, 0.0, ALLOWANCE)
    parcel = rates.lend(
        ledger, share, ORGANISATION, other, LOT_UNITS, 0.0, ALLOWANCE
    )
    message = Message(GRANT, 1 - me, ledger.epoch, parcel.units, parcel.tokens)
    yield (
        f"{NAMES[me]} lends",
        _with(world, me, _close(holdings, ledger, me), message),
    )


def _give_back(world: World, me: int) -> Iterable[checker.Step]:
    vm = world.vms[me]
    if vm.pool is not None or not vm.units:
        return
    holdings = _open(vm)
    share = holdings.shares[ORGANISATION]
    parcel = rates.remove_from_share(share, vm.units, vm.level, 0.0, ALLOWANCE)
    message = Message(RETURN, 1 - me, vm.epoch, parcel.units, parcel.tokens)
    yield (
        f"{NAMES[me]} returns",
        _with(world, me, _close(holdings, None, me), message),
    )


def _begin(world: World, message: Message, rules: Rules) -> World:
    """A VM learns that it took the shard, and asks the other one."""
    me = message.to
    holdings = _open(world.vms[me])
    if not rules.accepts(holdings, message.epoch):
        return world
    ledger = _ledger(Pool(message.epoch, waits=True), me)
    collect = Message(COLLECT, 1 - me, message.epoch)
    return _with(world, me, _close(holdings, ledger, me), collect)


def _collect(world: World, message: Message, rules: Rules) -> World:
    me = message.to
    vm = world.vms[me]
    holdings = _open(vm)
    if not rules.repeats:
        holdings.reported_epoch = 0
    owned = vm.pool is not None
    held = rates.report_shares(holdings, message.epoch, was_owner=owned)
    if held is None:
        return world
    parcel = held[ORGANISATION]
    report = Message(REPORT, 1 - me, message.epoch, parcel.units, parcel.tokens)
    return _with(world, me, _close(holdings, None, me), report)


def _at_owner(world: World, message: Message, rules: Rules) -> World:
    """An owner takes a report or a return."""
    me = message.to
    vm = world.vms[me]
    if vm.pool is None:
        return world
    current = vm.pool.epoch == message.epoch
    if not current and (message.kind == REPORT or rules.checks_return):
        return world
    holdings = _open(vm)
    ledger = _ledger(vm.pool, me)
    other = NAMES[1 - me]
    parcel = rates.Transfer(message.units, message.tokens)
    if message.kind == REPORT:
        rates.record_report(ledger, other, {ORGANISATION: parcel}, 0.0)
    else:
        share = rates.refresh_pool(
            ledger, holdings, ORGANISATION, 0.0, ALLOWANCE
        )
        rates.accept_return(
            ledger, share, ORGANISATION, other, parcel, 0.0, ALLOWANCE
        )
    return _with(world, me, _close(holdings, ledger, me))


def _grant(world: World, message: Message, rules: Rules) -> World:
    me = message.to
    vm = world.vms[me]
    holdings = _open(vm)
    if not rules.accepts(holdings, message.epoch):
        return world
    parcel = rates.Transfer(message.units, message.tokens)
    rates.add_to_share(holdings.shares[ORGANISATION], parcel, 0.0, ALLOWANCE)
    ledger = _ledger(vm.pool, me) if vm.pool is not None else None
    return _with(world, me, _close(holdings, ledger, me))


def _deliver(world: World, message: Message, rules: Rules) -> World:
    if message.kind == BEGIN:
        return _begin(world, message, rules)
    if message.kind == COLLECT:
        return _collect(world, message, rules)
    if message.kind == GRANT:
        return _grant(world, message, rules)
    return _at_owner(world, message, rules)


def steps(world: World, *, rules: Rules) -> Iterable[checker.Step]:
    """Returns the possible steps."""
    for number, message in enumerate(world.messages):
        rest = world.messages[:number] + world.messages[number + 1 :]
        gone = dataclasses.replace(world, messages=rest)
        yield f"a {message.kind} is lost", gone
        yield f"a {message.kind} arrives", _deliver(gone, message, rules)
    if len(world.messages) >= MAXIMUM_MESSAGES:
        return
    for me, vm in enumerate(world.vms):
        yield from _lend(world, me, rules)
        yield from _give_back(world, me)
        if world.owner != me and world.epoch < MAXIMUM_EPOCH:
            epoch = world.epoch + 1
            taken = dataclasses.replace(world, epoch=epoch, owner=me)
            name = f"{NAMES[me]} takes the shard"
            yield name, _with(taken, me, vm, Message(BEGIN, me, epoch))
        if vm.pool is not None and vm.pool.waits:
            collect = Message(COLLECT, 1 - me, vm.pool.epoch)
            yield f"{NAMES[me]} asks again", _with(world, me, vm, collect)


def check(world: World) -> str:
    """Returns what is wrong with a state, or an empty text.

    Messages under way are not counted: those that are taken show in a VM's
    share on arrival, and those of an older epoch are dropped.
    """
    units = sum(vm.units for vm in world.vms)
    if units > rates.ORGANISATION_UNITS:
        return f"the VMs hold {units} units"
    tokens = sum(vm.level for vm in world.vms)
    if tokens > rates.token_cap(rates.ORGANISATION_UNITS, ALLOWANCE):
        return f"the VMs hold {tokens} tokens"
    return ""
