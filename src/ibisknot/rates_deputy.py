"""Keeps units at the VM that owns a rates shard next.

An owner's own units are missing from the time it is lost until the platform's
list drops it. The units of the next in line serve the organisation meanwhile.
"""

from __future__ import annotations

import typing

from ibisknot import errors
from ibisknot import rates
from ibisknot.gen.rates import ttypes

if typing.TYPE_CHECKING:
    from ibisknot import rates_owner

INVITE_TIMEOUT_S = 0.5


async def supply(
    owner: rates_owner.Owner, shard: int, ledger: rates.Ledger
) -> None:
    """Gives units to the VM that takes the shard if this one is lost."""
    for name in owner.runner.ranked(shard)[1:]:
        holders = [h for h in ledger.known if rates.vm_of(h) == name]
        if not holders:
            await _invite(owner, shard, ledger, name)
        for organisation in list(ledger.settled):
            if holders and owner.ledgers.get(shard) is ledger:
                await _supply_one(
                    owner, shard, ledger, organisation, holders[0]
                )


async def _invite(
    owner: rates_owner.Owner, shard: int, ledger: rates.Ledger, name: str
) -> None:
    """Learns the process of a VM and adds it to the holders."""
    for organisation in list(ledger.settled)[:1]:
        answer = await owner.runner.peers.call(
            owner.runner.address(name),
            "rate_recall",
            ttypes.RateRecall(
                organisation=organisation, epoch=ledger.epoch, tokens=0
            ),
            ttypes.RateReturn,
            timeout_s=INVITE_TIMEOUT_S,
        )
        owner.add_soon(shard, answer.holder)


async def _supply_one(
    owner: rates_owner.Owner,
    shard: int,
    ledger: rates.Ledger,
    organisation: str,
    holder: str,
) -> None:
    allowance = owner.runner.allowance(organisation)
    if allowance is None:
        return
    now = owner.runner.clock.now()
    pool = owner.pool(shard, ledger, organisation, allowance)
    lent = ledger.lent.get(organisation, {}).get(holder, 0)
    units = rates.deputy_units(lent, pool)
    if not units:
        return
    parcel = rates.lend(
        ledger, pool, organisation, holder, units, now, allowance
    )
    message = ttypes.RateLend(
        organisation=organisation,
        epoch=ledger.epoch,
        holder=holder,
        units=parcel.units,
        tokens=parcel.tokens,
    )
    try:
        await owner.runner.peers.call(
            owner.runner.address(rates.vm_of(holder)), "rate_lend", message
        )
    except errors.IbisknotError:
        # Whether it arrived or not, the next count finds the units.
        owner.damaged.add(shard)
