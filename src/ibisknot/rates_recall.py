"""Recalls tokens from holders to the owner of a rates shard.

Tokens that accrue at a holder whose share is at its burst are lost. So the
owner recalls some early, while the pool still has tokens, and the missing ones
when the pool has too few for a request.
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

RECALL_WAIT_S = 0.08
"""Time for which a request waits for recalled tokens."""
RECALL_TIMEOUT_S = 2.0
"""Time after which a recalled transfer that did not arrive counts as lost.

It is longer than a request waits, because lost units are recovered only by a
new epoch: an answer that is late for its request must still be accepted.
"""
RECALL_PAUSE_S = 0.1
"""Pause after an early recall, and after one that returned too few tokens."""
EARLY_RECALL_DIVISOR = 4
"""An early recall requests the burst of the pool divided by this."""


@dataclasses.dataclass(slots=True)
class RecallState:
    """State of an organisation's recalls.

    Attributes:
        lock: Allows one recall of missing tokens at a time.
        next_early_recall_s: Monotonic time from which an early recall may
            start.
        paused_until_s: Monotonic time until which no missing tokens are
            recalled, because the last recall returned too few.
    """

    lock: anyio.Lock = dataclasses.field(default_factory=anyio.Lock)
    next_early_recall_s: float = 0.0
    paused_until_s: float = 0.0


async def recall_if_short(
    owner: rates_owner.Owner,
    shard: int,
    ledger: rates.Ledger,
    request: ttypes.RateAsk,
    allowance: rates.Allowance,
) -> None:
    """Recalls tokens if the pool has too few for a request, or soon will.

    Missing tokens are recalled while the request waits. When the pool is less
    than half full, an early recall runs in the background.
    """
    state = owner.recalls.setdefault(request.organisation, RecallState())
    pool = owner.refresh_pool(shard, ledger, request.organisation, allowance)
    if pool.level >= request.tokens:
        now = owner.runner.clock.now()
        pool_cap = rates.token_cap(pool.units, allowance)
        if pool.level * 2 < pool_cap and now >= state.next_early_recall_s:
            state.next_early_recall_s = now + RECALL_PAUSE_S
            tokens = pool_cap // EARLY_RECALL_DIVISOR
            _start_recall(owner, shard, ledger, request, tokens, allowance)
        return
    async with state.lock:
        await _recall_missing(owner, shard, ledger, request, allowance)


async def _recall_missing(
    owner: rates_owner.Owner,
    shard: int,
    ledger: rates.Ledger,
    request: ttypes.RateAsk,
    allowance: rates.Allowance,
) -> None:
    """Recalls the tokens that a request lacks, and waits for them."""
    state = owner.recalls[request.organisation]
    now = owner.runner.clock.now()
    pool = owner.refresh_pool(shard, ledger, request.organisation, allowance)
    rates.refill(pool, now, allowance)
    missing_tokens = request.tokens - pool.level
    if missing_tokens <= 0 or now < state.paused_until_s:
        return
    done = _start_recall(
        owner, shard, ledger, request, missing_tokens, allowance
    )
    with anyio.move_on_after(RECALL_WAIT_S):
        await done.wait()
    if pool.level < request.tokens:
        state.paused_until_s = owner.runner.clock.now() + RECALL_PAUSE_S
        logs.event(
            "rates_short",
            organisation=request.organisation,
            holder=request.holder,
            wanted_tokens=request.tokens,
            held_tokens=pool.level,
            held_units=pool.units,
            lent_units=ledger.lent_units.get(request.organisation, {}),
        )


def _start_recall(
    owner: rates_owner.Owner,
    shard: int,
    ledger: rates.Ledger,
    request: ttypes.RateAsk,
    tokens: int,
    allowance: rates.Allowance,
) -> anyio.Event:
    """Starts a recall; the event is set when all its calls have ended."""
    done = anyio.Event()

    async def run() -> None:
        try:
            await _recall_from_holders(
                owner, shard, ledger, request, tokens, allowance
            )
        finally:
            done.set()

    background.start(owner.runner.task_group, run)
    return done


async def _recall_from_holders(
    owner: rates_owner.Owner,
    shard: int,
    ledger: rates.Ledger,
    request: ttypes.RateAsk,
    tokens: int,
    allowance: rates.Allowance,
) -> None:
    """Requests tokens from the holders with most units, at the same time."""
    message = ttypes.RateRecall(
        organisation=request.organisation, epoch=ledger.epoch, tokens=tokens
    )

    async def recall(holder: str) -> None:
        try:
            answer = await owner.runner.peers.call(
                owner.runner.peer_address(rates.vm_of(holder)),
                "rate_recall",
                message,
                ttypes.RateReturn,
                timeout_s=RECALL_TIMEOUT_S,
            )
        except errors.PeerError as error:
            if error.ran != errors.NOT_RUN:
                owner.shards_to_recount.add(shard)
            return
        except errors.IbisknotError:
            return
        owner.accept_return(shard, ledger, answer, allowance)

    async with anyio.create_task_group() as task_group:
        for holder in rates.recall_targets(ledger, request.organisation):
            if holder != request.holder:
                task_group.start_soon(recall, holder)
