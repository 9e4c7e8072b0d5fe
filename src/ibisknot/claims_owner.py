"""The owner's side of claims: decides, commits and trims them."""

from collections.abc import Callable
import dataclasses

import anyio
from anyio import abc
import msgspec

from ibisknot import background
from ibisknot import claims
from ibisknot import errors
from ibisknot import keyvalue
from ibisknot import logs
from ibisknot import ownership
from ibisknot import peer
from ibisknot import timer
from ibisknot.gen.claims import ttypes

COMMIT_INTERVAL_S = 0.05
"""Shortest time between two commits of a shard."""
COMMIT_DEADLINE_S = 2.0
READ_BACK_PAUSE_S = 0.1
EXPIRE_PERIOD_S = 1.0
TAKE_TRIES = 2
TRIM_DELAY_S = 60.0
"""Time after which old commits are deleted even when few."""
TRIM_LIMIT = 64
"""Old commits that one transaction deletes."""

Trimmed = tuple[float, str]


@dataclasses.dataclass(slots=True)
class Pending:
    """A claim that waits for its commit."""

    ask: claims.Ask
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    error: errors.IbisknotError | None = None


@dataclasses.dataclass(slots=True)
class Shard:
    """One shard at this VM.

    Attributes:
        table: Its claims.
        epoch: Epoch under which this VM owns it, 0 when it does not.
        revision: Revision of the shard's record, the guard of commits.
        sequence: Number of the last commit.
        pending: Claims for the next commit.
        committing: Whether the commit loop runs.
        committed_s: Monotonic time of the last commit.
        stored: Time and key of each commit that is still stored.
        changed: Set and replaced when a claim's state changes.
        lock: Held while the shard is taken.
    """

    table: claims.Table = dataclasses.field(default_factory=claims.Table)
    epoch: int = 0
    revision: int = 0
    sequence: int = 0
    pending: list[Pending] = dataclasses.field(default_factory=list)
    committing: bool = False
    committed_s: float = -1e9
    stored: list[Trimmed] = dataclasses.field(default_factory=list)
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    lock: anyio.Lock = dataclasses.field(default_factory=anyio.Lock)


class Owner:
    """The claims of the shards that one VM owns."""

    def __init__(
        self,
        *,
        vm: str,
        group: abc.TaskGroup,
        store: keyvalue.KeyValue,
        clock: timer.Timer,
        preferred: Callable[[int], str | None],
        vm_gone: Callable[[str], bool],
    ) -> None:
        self.vm = vm
        self.group = group
        self.store = store
        self.clock = clock
        self.preferred = preferred
        self.vm_gone = vm_gone
        self.shards: dict[int, Shard] = {}

    def start(self, server: peer.Server) -> None:
        """Registers the handlers and the periodic work."""
        server.on("claim_begin", ttypes.ClaimBegin, self.on_begin)
        server.on("claim_end", ttypes.ClaimEnd, self.on_end)
        self.clock.subscribe("claims", EXPIRE_PERIOD_S, self.expire)

    def shard(self, number: int) -> Shard:
        """Returns the state of a shard."""
        return self.shards.setdefault(number, Shard())

    async def on_begin(
        self, message: ttypes.ClaimBegin
    ) -> ttypes.ClaimDecision:
        """Decides about a request, waiting for a running one if asked to.

        Raises:
            FencedError: Another VM owns the shard.
            KeyValueError: A durable claim could not be committed.
            OverloadedError: The shard has no room.
        """
        ask = claims.Ask(
            claim=message.claim,
            digest=message.digest,
            vm=message.vm,
            request=message.request,
            durable=message.durable,
        )
        number = claims.shard_of(ask.claim)
        if self.preferred(number) != self.vm:
            raise errors.FencedError(f"not the owner of claims shard {number}")
        shard = self.shard(number)
        for _ in range(TAKE_TRIES):
            if ask.durable and not shard.epoch:
                await self._take(number, shard)
            try:
                return await self._wait(number, shard, ask, message.wait_s)
            except errors.FencedError:
                # The shard was taken since this VM last owned it.
                continue
        raise errors.FencedError(f"claims shard {number} was taken")

    async def _wait(
        self, number: int, shard: Shard, ask: claims.Ask, wait_s: float
    ) -> ttypes.ClaimDecision:
        """Returns a decision; waits for a running request if asked to."""
        with anyio.move_on_after(wait_s):
            while True:
                changed = shard.changed
                decision = await self._decide(number, shard, ask)
                if decision is not None:
                    return decision
                await changed.wait()
        return ttypes.ClaimDecision(decision=ttypes.Decision.RUNNING)

    async def _decide(
        self, number: int, shard: Shard, ask: claims.Ask
    ) -> ttypes.ClaimDecision | None:
        """Returns a decision, or None while the holder still runs."""
        outcome = claims.begin(shard.table, ask, self.clock.now())
        if outcome == claims.Outcome.JOIN:
            return None
        if outcome == claims.Outcome.FULL:
            message = "too many claims are held"
            raise errors.OverloadedError(message, retry_after_s=5.0)
        if outcome == claims.Outcome.RUN:
            if ask.durable:
                # The commit outlives a joiner's time limit.
                with anyio.CancelScope(shield=True):
                    await self._commit(number, shard, ask)
            return ttypes.ClaimDecision(decision=ttypes.Decision.RUN)
        if outcome == claims.Outcome.RECORDED:
            recorded = shard.table.claims[ask.claim].recorded
            return ttypes.ClaimDecision(
                decision=ttypes.Decision.RECORDED, recorded=_to_wire(recorded)
            )
        decision = ttypes.Decision.UNKNOWN
        if outcome == claims.Outcome.CONFLICT:
            decision = ttypes.Decision.CONFLICT
        return ttypes.ClaimDecision(decision=decision)

    async def on_end(self, message: ttypes.ClaimEnd) -> None:
        """Ends a claim."""
        shard = self.shard(claims.shard_of(message.claim))
        recorded = None
        if message.recorded is not None:
            recorded = claims.Recorded(
                message.recorded.status,
                message.recorded.headers,
                message.recorded.body,
            )
        claims.end(
            shard.table,
            message.claim,
            message.request,
            not_run=message.ran == errors.NOT_RUN,
            ran=message.ran == errors.RAN,
            recorded=recorded,
        )
        _wake(shard)

    async def _take(self, number: int, shard: Shard) -> None:
        """Takes a shard, then reads the claims committed in it.

        After the compare-and-swap no older owner can commit, so that the
        claims read are all there are.
        """
        async with shard.lock:
            if shard.epoch:
                return
            taken = await ownership.take_over(
                self.store, claims.KIND, number, vm=self.vm
            )
            if taken is None:
                raise errors.FencedError(f"claims shard {number} was taken")
            record, revision = taken
            prefix = f"{claims.PREFIX}{number:04d}/"
            pairs = await self.store.list_prefix(prefix)
            now = self.clock.now()
            for pair in pairs:
                commit = msgspec.json.decode(pair.value, type=claims.Commit)
                claims.load(shard.table, commit.claims, now)
            shard.stored = [(now, pair.key) for pair in pairs]
            shard.epoch = record.epoch
            shard.revision = revision
            shard.sequence = 0
            logs.event(
                "shard_taken",
                kind=claims.KIND,
                shard=number,
                epoch=record.epoch,
                claims=len(shard.table.claims),
            )

    async def _commit(self, number: int, shard: Shard, ask: claims.Ask) -> None:
        pending = Pending(ask)
        shard.pending.append(pending)
        if not shard.committing:
            shard.committing = True
            background.start(self.group, self._commit_loop, number, shard)
        await pending.done.wait()
        if pending.error is not None:
            raise pending.error

    async def _commit_loop(self, number: int, shard: Shard) -> None:
        try:
            while shard.pending:
                due_s = shard.committed_s + COMMIT_INTERVAL_S
                await anyio.sleep(max(0.0, due_s - self.clock.now()))
                shard.committed_s = self.clock.now()
                batch = shard.pending
                shard.pending = []
                await self._commit_batch(number, shard, batch)
        finally:
            shard.committing = False

    async def _commit_batch(
        self, number: int, shard: Shard, batch: list[Pending]
    ) -> None:
        error: errors.IbisknotError | None = None
        try:
            await self._write(number, shard, [p.ask for p in batch])
        except errors.FencedError as fenced:
            shard.epoch = 0
            error = fenced
        except errors.IbisknotError as failed:
            # No byte has gone out, so the requests did not run even where the
            # write may still take effect.
            text = f"the claim could not be committed: {failed.message}"
            error = errors.KeyValueError(text, retry_after_s=1.0)
        for pending in batch:
            pending.error = error
            _settle(shard, pending)
        _wake(shard)

    async def _write(
        self, number: int, shard: Shard, asks: list[claims.Ask]
    ) -> None:
        """Writes one group commit; resolves a lost answer by reading.

        Raises:
            FencedError: Another VM owns the shard.
            KeyValueError: The commit did not take effect, or is not known to.
        """
        if not shard.epoch:
            raise errors.FencedError(f"claims shard {number} was taken")
        shard.sequence += 1
        key = claims.commit_key(number, shard.epoch, shard.sequence)
        commit = claims.Commit(ownership.new_operation_id(), asks)
        guards = [
            keyvalue.Guard(
                ownership.shard_key(claims.KIND, number), shard.revision
            ),
            keyvalue.Guard(key, 0),
        ]
        puts = [keyvalue.Put(key, msgspec.json.encode(commit))]
        old = self._old(shard)
        deadline_s = self.clock.now() + COMMIT_DEADLINE_S
        while True:
            try:
                done = await self.store.transact(
                    guards, puts, deletes=[name for _, name in old]
                )
            except errors.KeyValueUnknownError:
                done = False
                unknown = True
            else:
                unknown = False
            if done or await self._wrote(key, commit, deadline_s):
                shard.stored = shard.stored[len(old) :]
                shard.stored.append((self.clock.now(), key))
                return
            if not unknown:
                raise errors.FencedError(f"claims shard {number} was taken")
            if self.clock.now() >= deadline_s:
                raise errors.KeyValueUnknownError("the commit is not resolved")

    async def _wrote(
        self, key: str, commit: claims.Commit, deadline_s: float
    ) -> bool:
        """Reads back whether a commit took effect."""
        while True:
            try:
                pair = await self.store.get(key)
            except errors.KeyValueError:
                if self.clock.now() >= deadline_s:
                    raise
                await anyio.sleep(READ_BACK_PAUSE_S)
                continue
            if pair is None:
                return False
            found = msgspec.json.decode(pair.value, type=claims.Commit)
            return found.operation == commit.operation

    def _old(self, shard: Shard) -> list[Trimmed]:
        limit_s = self.clock.now() - claims.KEEP_S
        old = [entry for entry in shard.stored if entry[0] < limit_s]
        return old[:TRIM_LIMIT]

    async def expire(self, now: float) -> None:
        """Timer callback: drops old claims, and their commits when idle."""
        for number, shard in list(self.shards.items()):
            if claims.expire(shard.table, now, self.vm_gone):
                _wake(shard)
            if shard.epoch and not shard.committing:
                await self._trim(number, shard)

    async def _trim(self, number: int, shard: Shard) -> None:
        old = self._old(shard)
        if not old:
            return
        age_s = self.clock.now() - old[0][0]
        if len(old) < TRIM_LIMIT and age_s < claims.KEEP_S + TRIM_DELAY_S:
            return
        record = ownership.shard_key(claims.KIND, number)
        guard = keyvalue.Guard(record, shard.revision)
        names = [name for _, name in old]
        if await self.store.transact([guard], [], deletes=names):
            shard.stored = shard.stored[len(old) :]


def _settle(shard: Shard, pending: Pending) -> None:
    """Lets a committed request run, or releases its claim."""
    ask = pending.ask
    if pending.error is not None:
        claims.end(shard.table, ask.claim, ask.request, not_run=True)
    elif not claims.committed(shard.table, ask):
        message = "the request has given its claim up"
        pending.error = errors.ConflictError(message)
    pending.done.set()


def _wake(shard: Shard) -> None:
    shard.changed.set()
    shard.changed = anyio.Event()


def _to_wire(recorded: claims.Recorded | None) -> ttypes.Recorded | None:
    if recorded is None:
        return None
    return ttypes.Recorded(
        status=recorded.status, headers=recorded.headers, body=recorded.body
    )
