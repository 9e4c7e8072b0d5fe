"""Rates over the fleet: share units and tokens that move between VMs.

An organisation's rate is enforced by a token bucket that is split among the
VMs. Each organisation has `ORGANISATION_UNITS` share units. A VM with u units
accrues u/1e6 of the organisation's rate and keeps at most u/1e6 of its burst.
A request consumes one token. Amounts of tokens are integers in millionths of a
token, so `rate * seconds * units` is the amount that units accrue.

The owner of an organisation's shard lends units to the other VMs, the holders,
and records them in its ledger. The units that are not lent are the pool, which
the owner keeps as its own share.

Every transfer carries at most the burst of the units that it carries. The
levels of all VMs and of all messages under way together are therefore never
above the burst, which bounds the requests that are admitted in any window.
Tokens that are drawn for queued requests move without units. Those requests
consume them at once, so they count as consumed when the sender subtracts them.
"""

import dataclasses
import math

import xxhash

KIND = "rates"
SHARD_COUNT = 16
ORGANISATION_UNITS = 1_000_000
ONE_TOKEN = 1_000_000
"""One token, which pays for one request, in millionths of a token."""
DEMAND_TIME_CONSTANT_S = 4.0
"""Time constant of the demand estimate."""
DEMAND_HEADROOM = 1.25
"""Factor by which the units that a VM wants exceed its estimated demand."""
MIN_SHARE_BURST_TOKENS = 8
"""Burst in whole tokens below which a VM draws tokens instead of units.

Tokens that accrue at a VM whose share is at its burst are lost to the other
VMs. With small bursts at every VM, an organisation at 90 % of its rate ran out
of tokens that a single bucket would have had.
"""
STANDBY_BURST_TOKENS = 4
"""Burst in whole tokens for which `STANDBY_UNITS` are worth holding."""
STANDBY_UNITS = 1_000
"""Units that a VM may hold for its next requests, whatever its demand.

If their burst is at least `STANDBY_BURST_TOKENS`, the VM still admits requests
while the owner is lost.
"""
OWNER_RESERVE_UNITS = 250_000
"""Units that the owner does not lend, so that other VMs can draw tokens."""
SUCCESSOR_UNITS = 400_000
"""Units that the successor of a shard keeps.

When the owner is lost, its own units are missing until the platform's list no
longer names it. The successor's units stay available in that time.
"""
IDLE_AFTER_S = 1.0
"""Time without a request after which a VM keeps no units for its demand."""
RECALL_FANOUT = 8
"""Number of holders from which one recall requests tokens."""


@dataclasses.dataclass(slots=True, frozen=True)
class Allowance:
    """An organisation's requests a second over the fleet, and its burst."""

    rate: float
    burst: float


@dataclasses.dataclass(slots=True)
class Transfer:
    """Share units, and tokens in millionths, that move between two VMs."""

    units: int = 0
    tokens: int = 0


@dataclasses.dataclass(slots=True)
class Share:
    """What one VM holds of an organisation's rate.

    Attributes:
        units: Share units.
        level: Tokens, in millionths.
        updated_s: Monotonic time up to which tokens have accrued.
        last_request_s: Monotonic time of the last request.
        demand_per_s: Estimated requests a second on this VM.
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
        epoch: Highest epoch of the shard that a message carried; messages of
            older epochs are dropped.
        shares: Shares by organisation.
        reported_epoch: Epoch of the owner that was last sent a report.
        reported_shares: That report by organisation, which is repeated if the
            owner requests it again.
    """

    epoch: int = 0
    shares: dict[str, Share] = dataclasses.field(default_factory=dict)
    reported_epoch: int = 0
    reported_shares: dict[str, Transfer] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class Ledger:
    """The owner's record of a shard: its holders and the units lent to them.

    A holder is one process of a VM, named `vm/process`.

    Attributes:
        epoch: The epoch in which this process owns the shard.
        own_holder: The owner's own name among the holders.
        unreported: Holders that have not yet reported their units.
        holders: Holders in the shard record, which may be lent units.
        lent_units: Units lent, by organisation and holder; never less than
            the holder has.
        pooled: Organisations whose units that are not lent are in the pool.
        recovered_tokens: Tokens, in millionths, that former owners gave up and
            that are not yet in the pool, by organisation.
        all_reported_s: Monotonic time at which the last holder had reported
            or was removed.
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
    """Returns a VM's share; creates an empty one if there is none."""
    share = holdings.shares.get(organisation)
    if share is None:
        share = Share(updated_s=now, last_request_s=now)
        holdings.shares[organisation] = share
    return share


def token_cap(units: int, allowance: Allowance) -> int:
    """Returns the burst of units, in millionths of a token."""
    return int(allowance.burst * units)


def refill(share: Share, now: float, allowance: Allowance) -> None:
    """Adds the tokens that accrued since the last update, up to the cap."""
    elapsed_s = max(0.0, now - share.updated_s)
    accrued = int(elapsed_s * allowance.rate * share.units)
    share.level = min(token_cap(share.units, allowance), share.level + accrued)
    share.updated_s = max(now, share.updated_s)


def record_demand(share: Share, now: float) -> None:
    """Adds one request to the demand estimate."""
    elapsed_s = max(0.0, now - share.last_request_s)
    decay = math.exp(-elapsed_s / DEMAND_TIME_CONSTANT_S)
    share.demand_per_s = (
        share.demand_per_s * decay + 1.0 / DEMAND_TIME_CONSTANT_S
    )
    share.last_request_s = now


def consume(share: Share, now: float, allowance: Allowance) -> bool:
    """Consumes one token if the share has it; returns whether it had."""
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
    if token_cap(units, allowance) >= MIN_SHARE_BURST_TOKENS * ONE_TOKEN:
        return units
    holds_standby = (
        token_cap(STANDBY_UNITS, allowance) >= STANDBY_BURST_TOKENS * ONE_TOKEN
    )
    return STANDBY_UNITS if holds_standby else 0


def missing_units(share: Share, allowance: Allowance) -> int:
    """Returns the units to request from the owner, before tokens run out."""
    target_units = wanted_units(share, allowance)
    if share.units >= target_units * 0.8:
        return 0
    return target_units - share.units


def remove_from_share(
    share: Share, units: int, tokens: int, now: float, allowance: Allowance
) -> Transfer:
    """Removes units and up to `tokens` tokens from a share, to transfer them.

    The removed tokens fit the burst of the removed units, and the remaining
    tokens that of the remaining units, for which more than `tokens` may move.
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
    """Adds a received transfer to a share."""
    refill(share, now, allowance)
    share.units += transfer.units
    share.level += transfer.tokens
    share.level = min(share.level, token_cap(share.units, allowance))


def accept_epoch(holdings: Holdings, epoch: int) -> bool:
    """Adopts a message's epoch; False for an older one, to be dropped."""
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
    """Returns the units that a holder no longer needs.

    A VM that is the shard's successor keeps at least `SUCCESSOR_UNITS`.
    """
    is_idle = now - share.last_request_s >= IDLE_AFTER_S
    kept_units = 0 if is_idle else 2 * wanted_units(share, allowance)
    if is_successor:
        kept_units = max(kept_units, SUCCESSOR_UNITS)
    return max(0, share.units - kept_units)


def successor_units(lent: int, pool: Share) -> int:
    """Returns the units to lend to the successor.

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
    """Removes recalled tokens, with the units whose burst they need."""
    refill(share, now, allowance)
    moved_tokens = min(tokens, share.level)
    units = math.ceil(moved_tokens / allowance.burst)
    return remove_from_share(share, units, moved_tokens, now, allowance)


def report_shares(
    holdings: Holdings, epoch: int, *, was_owner: bool
) -> dict[str, Transfer] | None:
    """Returns a VM's report to a new owner, and adopts the owner's epoch.

    A former owner gives up its pool: it reports that it holds none of the
    units, and transfers the tokens.

    An owner that requests the report again, because the answer was lost, gets
    the same report. A newer one would leave out units whose return is still
    under way, and the owner would count those twice.

    Args:
        holdings: What the VM holds.
        epoch: The new owner's epoch.
        was_owner: Whether the VM owned the shard in an older epoch.

    Returns:
        By organisation the units that stay here and the tokens that move to
        the owner, or None when `epoch` is older than one seen before.
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
    """Records a holder's report in the new owner's ledger."""
    if holder not in ledger.unreported:
        return
    for name, transfer in reported.items():
        ledger.lent_units.setdefault(name, {})[holder] = transfer.units
        ledger.recovered_tokens[name] = (
            ledger.recovered_tokens.get(name, 0) + transfer.tokens
        )
    _record_reported(ledger, holder, now)


def remove_holder(ledger: Ledger, holder: str, now: float) -> None:
    """Removes a holder whose process ended before it reported."""
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
    """Returns the pool, which is the owner's own share, up to date.

    Units join the pool only when every holder has reported or was removed, and
    then without tokens. Only in the first epoch the pool starts full, because
    nothing can have been consumed before.
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
        # No VM has held units since the last holder had reported, so the pool
        # has accrued tokens from then on.
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
    """Lends units of the pool `share`, except its reserve, to a holder.

    Returns:
        The lent units, at most `units`, with their part of the pool's tokens.

    Raises:
        ValueError: The holder is not in the shard record, or has not reported.
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
    """Adds units and tokens that a holder returned to the pool."""
    add_to_share(share, transfer, now, allowance)
    lent = ledger.lent_units.setdefault(organisation, {})
    lent[holder] = max(0, lent.get(holder, 0) - transfer.units)


def draw(share: Share, tokens: int, now: float, allowance: Allowance) -> int:
    """Removes whole tokens for queued requests; returns their millionths."""
    refill(share, now, allowance)
    drawn = min(tokens, share.level) // ONE_TOKEN * ONE_TOKEN
    share.level -= drawn
    return drawn


def recall_targets(ledger: Ledger, organisation: str) -> list[str]:
    """Returns the holders to recall tokens from, most units first."""
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
    """Returns the VM in the name of a holder, `vm/process`.

    >>> vm_of("vm-1/0a1b2c3d")
    'vm-1'
    """
    return holder.partition("/")[0]
