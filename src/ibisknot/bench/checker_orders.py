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

LIMITS = settings.Orders(lease_s=2.0, longest_pause_s=1.0, longest_order_s=1.0)
MAXIMUM_EPOCH = 3
NEVER_S = -1

IDLE = "idle"
ASKING = "asking"
HOLDING = "holding"
SENDING = "sending"

MayOrder = Callable[..., bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
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
    since_s: int = 0
    epoch: int = 0
    until_s: float = NEVER_S
    held_s: float = NEVER_S


@dataclasses.dataclass(frozen=True, slots=True)
class World:
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

    now: int
    epoch: int
    owner: str
    expires_s: int
    holders: tuple[Holder, ...]
    flight: tuple[tuple[int, int], ...]
    taken: tuple[int, int]


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
    last_s: int = 4
    checks_lease: bool = True
    rises: bool = True
    counts_from_answer: bool = False


def start() -> World:
    """Returns the first state: nobody holds the shard."""
    holders = (Holder("a"), Holder("b"))
    return World(0, 0, "", NEVER_S, holders, (), (0, 0))


def _lease(holder: Holder) -> lease_module.Lease:
    return lease_module.Lease(
        LIMITS.lease_s,
        lease_id=holder.epoch,
        valid_until_s=holder.until_s,
        acquired_s=holder.held_s,
    )


def _replace(world: World, holder: Holder, **fields: object) -> World:
    changed = dataclasses.replace(holder, **fields)  # type: ignore[arg-type]
    # The start of a phase is kept only where it matters, so that states which
    # behave alike are the same.
    timed = changed.phase in (ASKING, SENDING)
    changed = dataclasses.replace(changed, since_s=world.now if timed else 0)
    holders = tuple(
        changed if h.name == holder.name else h for h in world.holders
    )
    return dataclasses.replace(world, holders=holders)


def _take(world: World, holder: Holder, rules: Rules) -> Iterable[checker.Step]:
    """A holder asks for the lease; the service takes the call later."""
    if holder.phase == IDLE:
        yield f"{holder.name} asks", _replace(world, holder, phase=ASKING)
    if holder.phase != ASKING or world.now < world.expires_s:
        return
    if world.epoch >= MAXIMUM_EPOCH:
        return
    epoch = world.epoch + 1 if rules.rises else max(1, world.epoch)
    asked_s = world.now if rules.counts_from_answer else holder.since_s
    lease = _lease(holder)
    expires_s = world.now + int(LIMITS.lease_s)
    # The answer may come at once, or when the lease has ended already.
    for late_s in (0, int(LIMITS.lease_s)):
        from_s = asked_s + (late_s if rules.counts_from_answer else 0)
        lease_module.record_grant(lease, epoch, from_s)
        taken = dataclasses.replace(
            world, epoch=epoch, owner=holder.name, expires_s=expires_s
        )
        yield (
            f"{holder.name} gets the lease, {late_s} late",
            _replace(
                taken,
                holder,
                phase=HOLDING,
                epoch=epoch,
                until_s=lease.valid_until_s,
                held_s=lease.acquired_s,
            ),
        )


def _order(
    world: World, holder: Holder, rules: Rules
) -> Iterable[checker.Step]:
    if holder.phase == HOLDING:
        if lease_module.is_valid(_lease(holder), world.now):
            yield from _renew(world, holder)
        else:
            name = f"{holder.name} notices the end of its lease"
            ended = {"phase": IDLE, "until_s": NEVER_S, "held_s": NEVER_S}
            yield name, _replace(world, holder, **ended)
        if _may_send(world, holder, rules):
            name = f"{holder.name} decides to order"
            yield name, _replace(world, holder, phase=SENDING)
    elif holder.phase == SENDING:
        sent = _replace(world, holder, phase=HOLDING)
        flight = tuple(sorted((*world.flight, (holder.epoch, world.now))))
        name = f"{holder.name} sends"
        yield name, dataclasses.replace(sent, flight=flight[-2:])


def _renew(world: World, holder: Holder) -> Iterable[checker.Step]:
    if world.owner != holder.name or world.now >= world.expires_s:
        return
    lease = _lease(holder)
    lease_module.record_renewal(lease, world.now, alive=True)
    expires_s = world.now + int(LIMITS.lease_s)
    renewed = dataclasses.replace(world, expires_s=expires_s)
    yield (
        f"{holder.name} renews",
        _replace(renewed, holder, until_s=lease.valid_until_s),
    )


def _may_send(world: World, holder: Holder, rules: Rules) -> bool:
    if rules.checks_lease and not lease_module.is_valid(
        _lease(holder), world.now
    ):
        return False
    return rules.may_order(
        world.now,
        checks_fencing=rules.checks_fencing,
        since_s=holder.held_s,
        limits=LIMITS,
    )


def _arrivals(world: World, rules: Rules) -> Iterable[checker.Step]:
    for number, (fencing, _) in enumerate(world.flight):
        flight = world.flight[:number] + world.flight[number + 1 :]
        gone = dataclasses.replace(world, flight=flight)
        yield f"order {fencing} is lost", gone
        if rules.checks_fencing and fencing < world.taken[0]:
            continue
        taken = (max(world.taken[0], fencing), fencing)
        arrived = dataclasses.replace(gone, taken=taken)
        yield f"order {fencing} arrives", arrived


def _may_wait(world: World, rules: Rules) -> bool:
    """Returns whether time may pass without breaking a stated limit."""
    if world.now >= rules.last_s:
        return False
    for holder in world.holders:
        paused_s = world.now - holder.since_s
        if holder.phase == SENDING and paused_s >= LIMITS.longest_pause_s:
            return False
    return all(
        world.now - sent_s < LIMITS.longest_order_s
        for _, sent_s in world.flight
    )


def steps(world: World, *, rules: Rules) -> Iterable[checker.Step]:
    """Returns the possible steps."""
    for holder in world.holders:
        yield from _take(world, holder, rules)
        yield from _order(world, holder, rules)
    yield from _arrivals(world, rules)
    if _may_wait(world, rules):
        yield "time passes", dataclasses.replace(world, now=world.now + 1)


def check(world: World) -> str:
    """Returns what is wrong with a state, or an empty text."""
    highest, newest = world.taken
    if newest < highest:
        return "the engine carried out an older holder's order"
    holding = [
        holder.name
        for holder in world.holders
        if lease_module.is_valid(_lease(holder), world.now)
    ]
    if len(holding) > 1:
        return "two VMs hold the lease by their own count"
    epochs = [h.epoch for h in world.holders if h.epoch]
    if len(set(epochs)) != len(epochs):
        return "two holders have the same fencing number"
    return ""
