"""Rates over the fleet: share units and tokens, moved and conserved.

Each organisation has `ORGANISATION_UNITS` share units. A VM with u units
accrues u/1e6 of the organisation's rate and keeps at most u/1e6 of its burst.
Tokens are counted in millionths of a request, so `rate x seconds x units` is
already the number of tokens that units accrue.

Every transfer carries tokens within the burst of the units that it carries.
The levels of all VMs and messages together are therefore never above the
burst, which bounds what is granted over any window. Tokens that are drawn for
waiting requests move without units and are spent by those requests at once;
they count as granted when their sender subtracts them.
"""

import dataclasses
import math

import xxhash

KIND = "rates"
SHARD_COUNT = 16
ORGANISATION_UNITS = 1_000_000
ONE_TOKEN = 1_000_000
"""One request, in the unit of token levels."""
DEMAND_TIME_CONSTANT_S = 4.0
"""Time constant of the demand estimate."""
DEMAND_HEADROOM = 1.25
"""Units wanted for the measured demand."""
MINIMUM_SHARE_BURST_TOKENS = 8
"""A VM whose units would hold a smaller burst draws tokens instead.

What accrues at a VM that is at its burst is lost to the others. With small
bursts at every VM, an organisation at 90 % of its rate ran out of tokens that
one bucket would have had.
"""
STANDBY_BURST_TOKENS = 4
STANDBY_UNITS = 1_000
"""Units that a VM may hold for its next requests whatever its demand.

Where they hold `STANDBY_TOKENS`, requests go on while the owner is lost.
"""
OWNER_RESERVE_UNITS = 250_000
"""Units that the owner keeps for draws."""
SUCCESSOR_UNITS = 400_000
"""Units that the VM next in line for a shard keeps.

They stay available when the owner is lost, whose own units are missing until
the platform's list drops it.
"""
IDLE_AFTER_S = 1.0
RECALL_FANOUT = 8


@dataclasses.dataclass(slots=True, frozen=True)
class Allowance:
    """An organisation's rate in requests a second, and its burst."""

    rate: float
    burst: float


@dataclasses.dataclass(slots=True)
class Transfer:
    """Units with their tokens on the way between two VMs."""

    units: int = 0
    tokens: int = 0


@dataclasses.dataclass(slots=True)
class Share:
    """What one VM holds of an organisation's rate.

    Attributes:
        units: Share units.
        level: Tokens, in millionths of a request.
        updated_s: Monotonic time up to which tokens have accrued.
        used_s: Monotonic time of the last request.
        demand: Estimated requests a second on this VM.
    """

    units: int = 0
    level: int = 0
    updated_s: float = 0.0
    last_request_s: float = 0.0
    demand_per_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Holdings:
    """What one VM holds of a shard's organisations.

    Attributes:
        epoch: Highest epoch of the shard known; older messages are dropped.
        shares: Shares by organisation.
        reported_epoch: Epoch of the owner that was answered last.
        reported: What it was answered, to be repeated if it asks again.
    """

    epoch: int = 0
    shares: dict[str, Share] = dataclasses.field(default_factory=dict)
    reported_epoch: int = 0
    reported_shares: dict[str, Transfer] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Ledger:
    """What the owner of a shard knows.

    Attributes:
        epoch: The epoch under which it owns the shard.
        owner: Its own name in the list of holders.
        waiting: Holders that have not yet answered.
        known: Holders that may be lent units.
        lent: Units lent, by organisation and holder; never below what the
            holder has.
        settled: Organisations whose remaining units are in the pool.
        moved: Tokens that former owners gave up, until they are in the pool.
        complete_s: Monotonic time at which the last holder had answered.
    """

    epoch: int
    own_holder: str
    unreported: set[str]
    holders: set[str]
    lent_units: dict[str, dict[str, int]] = dataclasses.field(
        default_factory=dict
    )
    pooled: set[str] = dataclasses.field(default_factory=set)
    recovered_tokens: dict[str, int] = dataclasses.field(default_factory=dict)
    all_reported_s: float = 0.0


def shard_of(organisation: str) -> int:
    """Returns the shard that an organisation belongs to."""
    return xxhash.xxh3_64_intdigest(organisation.encode()) % SHARD_COUNT


def share_of(holdings: Holdings, organisation: str, now: float) -> Share:
    """Returns a VM's share, an empty one at first."""
    share = holdings.shares.get(organisation)
    if share is None:
        share = Share(updated_s=now, last_request_s=now)
        holdings.shares[organisation] = share
    return share


def token_cap(units: int, allowance: Allowance) -> int:
    """Returns the most tokens that units may hold."""
    return int(allowance.burst * units)


def refill(share: Share, now: float, allowance: Allowance) -> None:
    """Adds the tokens that accrued since the last update, up to the cap."""
    elapsed_s = max(0.0, now - share.updated_s)
    accrued = int(elapsed_s * allowance.rate * share.units)
    share.level = min(token_cap(share.units, allowance), share.level + accrued)
    share.updated_s = max(now, share.updated_s)


def record_demand(share: Share, now: float) -> None:
    """Counts one request in the demand estimate."""
    elapsed_s = max(0.0, now - share.last_request_s)
    decay = math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)
    share.demand_per_s = (
        share.demand_per_s * decay + 1.0 / DEMAND_TIME_CONSTANT_S
    )
    share.last_request_s = now


def consume(share: Share, now: float, allowance: Allowance) -> bool:
    """Takes the token of one request if the VM has it."""
    refill(share, now, allowance)
    if share.level < ONE_TOKEN:
        return False
    share.level -= ONE_TOKEN
    return True


def wanted_units(share: Share, allowance: Allowance) -> int:
    """Returns the units that a VM should hold for its demand.

    >>> wanted_units(Share(demand_per_s=8.0), Allowance(rate=50.0, burst=50.0))
    200000
    >>> wanted_units(Share(demand_per_s=1.0), Allowance(rate=10.0, burst=10.0))
    0
    >>> large = Allowance(rate=9000.0, burst=9000.0)
    >>> wanted_units(Share(demand_per_s=0.1), large)
    1000
    """
    fraction = share.demand_per_s * DEMAND_HEADROOM / allowance.rate
    units = min(ORGANISATION_UNITS, int(fraction * ORGANISATION_UNITS))
    if token_cap(units, allowance) >= MINIMUM_SHARE_BURST_TOKENS * ONE_TOKEN:
        return units
    holds_standby = (
        token_cap(STANDBY_UNITS, allowance) >= STANDBY_BURST_TOKENS * ONE_TOKEN
    )
    return STANDBY_UNITS if holds_standby else 0


def missing_units(share: Share, allowance: Allowance) -> int:
    """Returns the units to ask for, ahead of exhaustion."""
    target_units = wanted_units(share, allowance)
    if share.units >= target_units * 0.8:
        return 0
    return target_units - share.units


def remove_from_share(
    share: Share, units: int, tokens: int, now: float, allowance: Allowance
) -> Transfer:
    """Takes units and up to `tokens` tokens out of a share.

    The tokens taken fit the burst of the units taken, and what stays fits the
    burst of the units that stay.
    """
    refill(share, now, allowance)
    units = max(0, min(units, share.units))
    moved_tokens = min(tokens, share.level, token_cap(units, allowance))
    remaining_cap = token_cap(share.units - units, allowance)
    moved_tokens = max(
        moved_tokens,
        min(share.level - remaining_cap, token_cap(units, allowance)),
    )
    share.units -= units
    share.level = min(share.level - moved_tokens, remaining_cap)
    return Transfer(units, moved_tokens)


def add_to_share(
    share: Share, transfer: Transfer, now: float, allowance: Allowance
) -> None:
    """Adds received units and tokens to a share."""
    refill(share, now, allowance)
    share.units += transfer.units
    share.level += transfer.tokens
    share.level = min(share.level, token_cap(share.units, allowance))


def accept_epoch(holdings: Holdings, epoch: int) -> bool:
    """Adopts a message's epoch; False means that it is older and dropped."""
    if epoch < holdings.epoch:
        return False
    holdings.epoch = epoch
    return True


def excess_units(
    share: Share,
    now: float,
    allowance: Allowance,
    *,
    is_successor: bool = False,
) -> int:
    """Returns the units that a holder no longer needs."""
    is_idle = now - share.last_request_s >= IDLE_AFTER_S
    kept_units = 0 if is_idle else 2 * wanted_units(share, allowance)
    if is_successor:
        kept_units = max(kept_units, SUCCESSOR_UNITS)
    return max(0, share.units - kept_units)


def successor_units(lent: int, pool: Share) -> int:
    """Returns the units to give to the VM that is next in line.

    >>> successor_units(0, Share(units=1_000_000))
    400000
    >>> successor_units(300_000, Share(units=700_000))
    0
    """
    if lent >= SUCCESSOR_UNITS // 2:
        return 0
    spare_units = pool.units - OWNER_RESERVE_UNITS
    return max(0, min(SUCCESSOR_UNITS - lent, spare_units))


def remove_recalled(
    share: Share, tokens: int, now: float, allowance: Allowance
) -> Transfer:
    """Takes out tokens that the owner recalls, with the units they need."""
    refill(share, now, allowance)
    moved_tokens = min(tokens, share.level)
    units = math.ceil(moved_tokens / allowance.burst)
    return remove_from_share(share, units, moved_tokens, now, allowance)


def report_shares(
    holdings: Holdings, epoch: int, *, was_owner: bool
) -> dict[str, Transfer] | None:
    """Answers a new owner; from then on older epochs are dropped.

    A former owner gives up its pool: the units by stating that it holds none
    of them, the tokens by moving them.

    An owner that asks again, because an answer was lost, gets the same answer.
    A newer one would leave out units whose return is still under way, and the
    owner would count those twice.

    Args:
        holdings: What the VM holds.
        epoch: The new owner's epoch.
        was_owner: Whether the VM owned the shard under an older epoch.

    Returns:
        By organisation the units that stay and the tokens that move, or None
        when the epoch is older than one already known.
    """
    if not accept_epoch(holdings, epoch):
        return None
    if holdings.reported_epoch == epoch:
        return holdings.reported_shares
    reported = {}
    for name, share in holdings.shares.items():
        if was_owner:
            reported[name] = Transfer(0, share.level)
            share.units = 0
            share.level = 0
        else:
            reported[name] = Transfer(share.units, 0)
    holdings.reported_epoch = epoch
    holdings.reported_shares = reported
    return reported


def record_report(
    ledger: Ledger, holder: str, reported: dict[str, Transfer], now: float
) -> None:
    """Records a holder's answer to the new owner."""
    if holder not in ledger.unreported:
        return
    for name, transfer in reported.items():
        ledger.lent_units.setdefault(name, {})[holder] = transfer.units
        ledger.recovered_tokens[name] = (
            ledger.recovered_tokens.get(name, 0) + transfer.tokens
        )
    _record_reported(ledger, holder, now)


def remove_holder(ledger: Ledger, holder: str, now: float) -> None:
    """Gives up a holder that is gone for good, before it has answered."""
    ledger.holders.discard(holder)
    if holder in ledger.unreported:
        _record_reported(ledger, holder, now)


def _record_reported(ledger: Ledger, holder: str, now: float) -> None:
    ledger.unreported.discard(holder)
    if not ledger.unreported:
        ledger.all_reported_s = now


def refresh_pool(
    ledger: Ledger,
    holdings: Holdings,
    organisation: str,
    now: float,
    allowance: Allowance,
) -> Share:
    """Returns the owner's own share, with all units that are not lent.

    Units join it only when every holder has answered or is gone, and their
    tokens start at zero then. Only under the first epoch nothing can have been
    spent before, so that the pool starts full.
    """
    share = share_of(holdings, organisation, now)
    refill(share, now, allowance)
    if ledger.unreported or organisation in ledger.pooled:
        return share
    ledger.pooled.add(organisation)
    lent = ledger.lent_units.get(organisation)
    was_held = lent is not None or share.units > 0
    unlent_units = ORGANISATION_UNITS - sum((lent or {}).values())
    share.units = max(share.units, unlent_units)
    moved_tokens = ledger.recovered_tokens.pop(organisation, 0)
    share.level = min(
        share.level + moved_tokens, token_cap(share.units, allowance)
    )
    if ledger.epoch == 1:
        share.level = token_cap(share.units, allowance)
    elif not was_held:
        # Nobody has held units since the last answer arrived.
        share.updated_s = ledger.all_reported_s
        refill(share, now, allowance)
    return share


def lend(
    ledger: Ledger,
    share: Share,
    organisation: str,
    holder: str,
    units: int,
    now: float,
    allowance: Allowance,
) -> Transfer:
    """Takes units for a holder out of the pool, above the reserve.

    Raises:
        ValueError: The holder is not in the shard record, or has not answered.
    """
    if holder not in ledger.holders or holder in ledger.unreported:
        raise ValueError(f"{holder} may not be lent units")
    refill(share, now, allowance)
    units = max(0, min(units, share.units - OWNER_RESERVE_UNITS))
    if share.units == 0 or units == 0:
        return Transfer()
    tokens = share.level * units // share.units
    transfer = remove_from_share(share, units, tokens, now, allowance)
    lent = ledger.lent_units.setdefault(organisation, {})
    lent[holder] = lent.get(holder, 0) + transfer.units
    return transfer


def accept_return(
    ledger: Ledger,
    share: Share,
    organisation: str,
    holder: str,
    transfer: Transfer,
    now: float,
    allowance: Allowance,
) -> None:
    """Adds what a holder returned to the pool."""
    add_to_share(share, transfer, now, allowance)
    lent = ledger.lent_units.setdefault(organisation, {})
    lent[holder] = max(0, lent.get(holder, 0) - transfer.units)


def draw(share: Share, tokens: int, now: float, allowance: Allowance) -> int:
    """Takes whole requests' tokens for waiting requests; returns how many."""
    refill(share, now, allowance)
    drawn = min(tokens, share.level) // ONE_TOKEN * ONE_TOKEN
    share.level -= drawn
    return drawn


def recall_targets(ledger: Ledger, organisation: str) -> list[str]:
    """Returns the holders to ask for tokens, those with most units first."""
    lent = ledger.lent_units.get(organisation, {})
    holders = [h for h in lent if lent[h] > 0 and h not in ledger.unreported]
    holders.sort(key=lambda holder: (-lent[holder], holder))
    return holders[:RECALL_FANOUT]


def next_token_s(share: Share, allowance: Allowance) -> float:
    """Returns the seconds until a share has a whole token, at most 10."""
    missing_tokens = max(0, ONE_TOKEN - share.level)
    if share.units == 0 or token_cap(share.units, allowance) < ONE_TOKEN:
        return 1.0
    return min(10.0, missing_tokens / (allowance.rate * share.units))


def vm_of(holder: str) -> str:
    """Returns the VM of a holder, which names a VM and its process.

    >>> vm_of("vm-1/0a1b2c3d")
    'vm-1'
    """
    return holder.partition("/")[0]
