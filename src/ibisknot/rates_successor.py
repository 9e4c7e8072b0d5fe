"""Lends units to the successor of a rates shard, ahead of need.

When an owner is lost, its own units are missing until the platform's list no
longer names it. The successor's units serve the organisation in that time.
"""

from __future__ import annotations

import typing

from ibisknot import errors
from ibisknot import rates
from ibisknot.gen.rates import ttypes

if typing.TYPE_CHECKING:
    from ibisknot import rates_owner

LOOKUP_TIMEOUT_S = 0.5
"""Timeout of the call that reads the name of a successor's process."""


async def lend_to_successor(
    owner: rates_owner.Owner, shard: int, ledger: rates.Ledger
) -> None:
    """Lends units to the VM that owns the shard if this one is lost.

    Called periodically by the owner after all holders have reported.
    """
    for name in owner.runner.ranked_owners(shard)[1:]:
        holders = [h for h in ledger.holders if rates.vm_of(h) == name]
        if not holders:
            await _register_successor(owner, shard, ledger, name)
        for organisation in list(ledger.pooled):
            if holders and owner.ledgers.get(shard) is ledger:
                await _lend_units(
                    owner, shard, ledger, organisation, holders[0]
                )


async def _register_successor(
    owner: rates_owner.Owner, shard: int, ledger: rates.Ledger, name: str
) -> None:
    """Adds the successor's process to the holders in the shard record.

    A recall of zero tokens returns the name of the process.
    """
    for organisation in list(ledger.pooled)[:1]:
        answer = await owner.runner.peers.call(
            owner.runner.peer_address(name),
            "rate_recall",
            ttypes.RateRecall(
                organisation=organisation, epoch=ledger.epoch, tokens=0
            ),
            ttypes.RateReturn,
            timeout_s=LOOKUP_TIMEOUT_S,
        )
        owner.add_holder_soon(shard, answer.holder)


async def _lend_units(
    owner: rates_owner.Owner,
    shard: int,
    ledger: rates.Ledger,
    organisation: str,
    holder: str,
) -> None:
    """Lends units of one organisation to the successor, if it has too few."""
    allowance = owner.runner.allowance(organisation)
    if allowance is None:
        return
    now = owner.runner.clock.now()
    pool = owner.refresh_pool(shard, ledger, organisation, allowance)
    lent_units = ledger.lent_units.get(organisation, {}).get(holder, 0)
    units = rates.successor_units(lent_units, pool)
    if not units:
        return
    transfer = rates.lend(
        ledger, pool, organisation, holder, units, now, allowance
    )
    message = ttypes.RateLend(
        organisation=organisation,
        epoch=ledger.epoch,
        holder=holder,
        units=transfer.units,
        tokens=transfer.tokens,
    )
    try:
        await owner.runner.peers.call(
            owner.runner.peer_address(rates.vm_of(holder)), "rate_lend", message
        )
    except errors.IbisknotError:
        # The message may have arrived or not. The next epoch, in which holders
        # report again, finds the units.
        owner.shards_to_recount.add(shard)
