"""Moves tokens from holders back to the owner of a rates shard.

Tokens that accrue at a holder that is at its burst are lost. So the owner
recalls some while it still has tokens, and more when it has too few.
"""

from __future__ import annotations

import dataclasses
import typing

import anyio

from ibisknot import background
from ibisknot import errors
from ibisknot import logs
from ibisknot import rates
from ibisknot.gen.rates import ttypes

if typing.TYPE_CHECKING:
    from ibisknot import rates_owner

WAIT_S = 0.08
"""Time for which an ask waits for recalled tokens."""
ANSWER_TIMEOUT_S = 2.0
"""Time after which units on the way to the owner are taken for lost.

Units that were lost come back only with a new epoch, so an answer that is
late for one ask must still be taken.
"""
PAUSE_S = 0.1
"""Pause after a recall ahead of need, and after one that found too little."""
AHEAD_PARTS = 4
"""Part of the pool's burst that one recall ahead of need asks for."""


@dataclasses.dataclass(slots=True)
class Recalls:
    """An organisation's recalls; times are monotonic."""

    lock: anyio.Lock = dataclasses.field(default_factory=anyio.Lock)
    ahead_after_s: float = 0.0
    short_until_s: float = 0.0


async def if_short(
    owner: rates_owner.Owner,
    shard: int,
    ledger: rates.Ledger,
    ask: ttypes.RateAsk,
    allowance: rates.Allowance,
) -> None:
    """Recalls tokens when the pool has too few for an ask, or soon will."""
    recalls = owner.recalls.setdefault(ask.organisation, Recalls())
    pool = owner.pool(shard, ledger, ask.organisation, allowance)
    if pool.level >= ask.tokens:
        now = owner.runner.clock.now()
        full = rates.cap(pool.units, allowance)
        if pool.level * 2 < full and now >= recalls.ahead_after_s:
            recalls.ahead_after_s = now + PAUSE_S
            tokens = full // AHEAD_PARTS
            _start(owner, shard, ledger, ask, tokens, allowance)
        return
    async with recalls.lock:
        await _recall_now(owner, shard, ledger, ask, allowance)


async def _recall_now(
    owner: rates_owner.Owner,
    shard: int,
    ledger: rates.Ledger,
    ask: ttypes.RateAsk,
    allowance: rates.Allowance,
) -> None:
    recalls = owner.recalls[ask.organisation]
    now = owner.runner.clock.now()
    pool = owner.pool(shard, ledger, ask.organisation, allowance)
    rates.refill(pool, now, allowance)
    missing = ask.tokens - pool.level
    if missing <= 0 or now < recalls.short_until_s:
        return
    done = _start(owner, shard, ledger, ask, missing, allowance)
    with anyio.move_on_after(WAIT_S):
        await done.wait()
    if pool.level < ask.tokens:
        recalls.short_until_s = owner.runner.clock.now() + PAUSE_S
        logs.event(
            "rates_short",
            organisation=ask.organisation,
            holder=ask.holder,
            wanted_tokens=ask.tokens,
            held_tokens=pool.level,
            held_units=pool.units,
            lent_units=ledger.lent.get(ask.organisation, {}),
        )


def _start(
    owner: rates_owner.Owner,
    shard: int,
    ledger: rates.Ledger,
    ask: ttypes.RateAsk,
    tokens: int,
    allowance: rates.Allowance,
) -> anyio.Event:
    """Starts a recall; the event is set when every holder has answered."""
    done = anyio.Event()

    async def run() -> None:
        try:
            await _recall(owner, shard, ledger, ask, tokens, allowance)
        finally:
            done.set()

    background.start(owner.runner.group, run)
    return done


async def _recall(
    owner: rates_owner.Owner,
    shard: int,
    ledger: rates.Ledger,
    ask: ttypes.RateAsk,
    tokens: int,
    allowance: rates.Allowance,
) -> None:
    message = ttypes.RateRecall(
        organisation=ask.organisation, epoch=ledger.epoch, tokens=tokens
    )

    async def recall(holder: str) -> None:
        try:
            answer = await owner.runner.peers.call(
                owner.runner.address(rates.vm_of(holder)),
                "rate_recall",
                message,
                ttypes.RateReturn,
                timeout_s=ANSWER_TIMEOUT_S,
            )
        except errors.PeerError as error:
            if error.ran != errors.NOT_RUN:
                owner.damaged.add(shard)
            return
        except errors.IbisknotError:
            return
        owner.accept(shard, ledger, answer, allowance)

    async with anyio.create_task_group() as group:
        for holder in rates.recall_targets(ledger, ask.organisation):
            if holder != ask.holder:
                group.start_soon(recall, holder)
