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
COMMIT_TIMEOUT_S = 2.0
READ_BACK_PAUSE_S = 0.1
EXPIRE_PERIOD_S = 1.0
ACQUIRE_ATTEMPTS = 2
TRIM_DELAY_S = 60.0
"""Time after which old commits are deleted even when few."""
MAX_TRIMMED_COMMITS = 64
"""Old commits that one transaction deletes."""

StoredCommit = tuple[float, str]


@dataclasses.dataclass(slots=True)
class PendingClaim:
    """A claim that waits for its commit."""

    request: claims.ClaimRequest
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
    pending: list[PendingClaim] = dataclasses.field(default_factory=list)
    is_committing: bool = False
    last_commit_s: float = -1e9
    stored_commits: list[StoredCommit] = dataclasses.field(default_factory=list)
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    acquire_lock: anyio.Lock = dataclasses.field(default_factory=anyio.Lock)


class Owner:
    """The claims of the shards that one VM owns."""

    def __init__(
        self,
        *,
        vm: str,
        task_group: abc.TaskGroup,
        key_value: keyvalue.KeyValue,
        clock: timer.Timer,
        preferred_owner: Callable[[int], str | None],
        is_departed: Callable[[str], bool],
    ) -> None:
        self.vm = vm
        self.task_group = task_group
        self.key_value = key_value
        self.clock = clock
        self.preferred_owner = preferred_owner
        self.is_departed = is_departed
        self.shards: dict[int, Shard] = {}

    def start(self, server: peer.Server) -> None:
        """Registers the handlers and the periodic work."""
        server.on("claim_begin", ttypes.ClaimBegin, self.on_begin)
        server.on("claim_end", ttypes.ClaimEnd, self.on_end)
        self.clock.subscribe("claims", EXPIRE_PERIOD_S, self.expire)

    def shard(self, index: int) -> Shard:
        """Returns the state of a shard."""
        return self.shards.setdefault(index, Shard())

    async def on_begin(
        self, message: ttypes.ClaimBegin
    ) -> ttypes.ClaimDecision:
        """Decides about a request, waiting for a running one if asked to.

        Raises:
            FencedError: Another VM owns the shard.
            KeyValueError: A durable claim could not be committed.
            OverloadedError: The shard has no room.
        """
        request = claims.ClaimRequest(
            claim=message.claim,
            digest=message.digest,
            vm=message.vm,
            request=message.request,
            durable=message.durable,
        )
        index = claims.shard_of(request.claim)
        if self.preferred_owner(index) != self.vm:
            raise errors.FencedError(f"not the owner of claims shard {index}")
        shard = self.shard(index)
        for _ in range(ACQUIRE_ATTEMPTS):
            if request.durable and not shard.epoch:
                await self._acquire_shard(index, shard)
            try:
                return await self._wait_for_decision(
                    index, shard, request, message.wait_s
                )
            except errors.FencedError:
                # The shard was taken since this VM last owned it.
                continue
        raise errors.FencedError(f"claims shard {index} was taken")

    async def _wait_for_decision(
        self,
        index: int,
        shard: Shard,
        request: claims.ClaimRequest,
        wait_s: float,
    ) -> ttypes.ClaimDecision:
        """Returns a decision; waits for a running request if asked to."""
        with anyio.move_on_after(wait_s):
            while True:
                changed = shard.changed
                decision = await self._decide(index, shard, request)
                if decision is not None:
                    return decision
                await changed.wait()
        return ttypes.ClaimDecision(decision=ttypes.Decision.RUNNING)

    async def _decide(
        self, index: int, shard: Shard, request: claims.ClaimRequest
    ) -> ttypes.ClaimDecision | None:
        """Returns a decision, or None while the holder still runs."""
        result = claims.begin(shard.table, request, self.clock.now())
        if result == claims.BeginResult.JOIN:
            return None
        if result == claims.BeginResult.FULL:
            message = "too many claims are held"
            raise errors.OverloadedError(message, retry_after_s=5.0)
        if result == claims.BeginResult.RUN:
            if request.durable:
                # The commit outlives a joiner's time limit.
                with anyio.CancelScope(shield=True):
                    await self._commit(index, shard, request)
            return ttypes.ClaimDecision(decision=ttypes.Decision.RUN)
        if result == claims.BeginResult.RECORDED:
            recorded = shard.table.claims[request.claim].recorded
            return ttypes.ClaimDecision(
                decision=ttypes.Decision.RECORDED, recorded=_to_wire(recorded)
            )
        decision = ttypes.Decision.UNKNOWN
        if result == claims.BeginResult.CONFLICT:
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
        _notify_change(shard)

    async def _acquire_shard(self, index: int, shard: Shard) -> None:
        """Takes a shard, then reads the claims committed in it.

        After the compare-and-swap no older owner can commit, so that the
        claims read are all there are.
        """
        async with shard.acquire_lock:
            if shard.epoch:
                return
            taken = await ownership.take_over(
                self.key_value, claims.KIND, index, vm=self.vm
            )
            if taken is None:
                raise errors.FencedError(f"claims shard {index} was taken")
            record, revision = taken
            prefix = f"{claims.PREFIX}{index:04d}/"
            pairs = await self.key_value.list_prefix(prefix)
            now = self.clock.now()
            for pair in pairs:
                commit = msgspec.json.decode(
                    pair.value, type=claims.GroupCommit
                )
                claims.add_committed(shard.table, commit.claims, now)
            shard.stored_commits = [(now, pair.key) for pair in pairs]
            shard.epoch = record.epoch
            shard.revision = revision
            shard.sequence = 0
            logs.event(
                "shard_taken",
                kind=claims.KIND,
                shard=index,
                epoch=record.epoch,
                claims=len(shard.table.claims),
            )

    async def _commit(
        self, index: int, shard: Shard, request: claims.ClaimRequest
    ) -> None:
        pending = PendingClaim(request)
        shard.pending.append(pending)
        if not shard.is_committing:
            shard.is_committing = True
            background.start(self.task_group, self._commit_loop, index, shard)
        await pending.done.wait()
        if pending.error is not None:
            raise pending.error

    async def _commit_loop(self, index: int, shard: Shard) -> None:
        try:
            while shard.pending:
                due_s = shard.last_commit_s + COMMIT_INTERVAL_S
                await anyio.sleep(max(0.0, due_s - self.clock.now()))
                shard.last_commit_s = self.clock.now()
                batch = shard.pending
                shard.pending = []
                await self._commit_batch(index, shard, batch)
        finally:
            shard.is_committing = False

    async def _commit_batch(
        self, index: int, shard: Shard, batch: list[PendingClaim]
    ) -> None:
        error: errors.IbisknotError | None = None
        try:
            await self._write_commit(index, shard, [p.request for p in batch])
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
            _finish_pending(shard, pending)
        _notify_change(shard)

    async def _write_commit(
        self, index: int, shard: Shard, requests: list[claims.ClaimRequest]
    ) -> None:
        """Writes one group commit; resolves a lost answer by reading.

        Raises:
            FencedError: Another VM owns the shard.
            KeyValueError: The commit did not take effect, or is not known to.
        """
        if not shard.epoch:
            raise errors.FencedError(f"claims shard {index} was taken")
        shard.sequence += 1
        key = claims.commit_key(index, shard.epoch, shard.sequence)
        commit = claims.GroupCommit(ownership.new_operation_id(), requests)
        guards = [
            keyvalue.Guard(
                ownership.shard_key(claims.KIND, index), shard.revision
            ),
            keyvalue.Guard(key, 0),
        ]
        puts = [keyvalue.Put(key, msgspec.json.encode(commit))]
        old = self._expired_commits(shard)
        deadline_s = self.clock.now() + COMMIT_TIMEOUT_S
        while True:
            try:
                done = await self.key_value.transact(
                    guards, puts, deletes=[name for _, name in old]
                )
            except errors.KeyValueUnknownError:
                done = False
                unknown = True
            else:
                unknown = False
            if done or await self._took_effect(key, commit, deadline_s):
                shard.stored_commits = shard.stored_commits[len(old) :]
                shard.stored_commits.append((self.clock.now(), key))
                return
            if not unknown:
                raise errors.FencedError(f"claims shard {index} was taken")
            if self.clock.now() >= deadline_s:
                raise errors.KeyValueUnknownError("the commit is not resolved")

    async def _took_effect(
        self, key: str, commit: claims.GroupCommit, deadline_s: float
    ) -> bool:
        """Reads back whether a commit took effect."""
        while True:
            try:
                pair = await self.key_value.get(key)
            except errors.KeyValueError:
                if self.clock.now() >= deadline_s:
                    raise
                await anyio.sleep(READ_BACK_PAUSE_S)
                continue
            if pair is None:
                return False
            found = msgspec.json.decode(pair.value, type=claims.GroupCommit)
            return found.operation == commit.operation

    def _expired_commits(self, shard: Shard) -> list[StoredCommit]:
        limit_s = self.clock.now() - claims.RETENTION_S
        expired = [
            entry for entry in shard.stored_commits if entry[0] < limit_s
        ]
        return expired[:MAX_TRIMMED_COMMITS]

    async def expire(self, now: float) -> None:
        """Timer callback: drops old claims, and their commits when idle."""
        for index, shard in list(self.shards.items()):
            if claims.expire(shard.table, now, self.is_departed):
                _notify_change(shard)
            if shard.epoch and not shard.is_committing:
                await self._trim_commits(index, shard)

    async def _trim_commits(self, index: int, shard: Shard) -> None:
        old = self._expired_commits(shard)
        if not old:
            return
        age_s = self.clock.now() - old[0][0]
        if (
            len(old) < MAX_TRIMMED_COMMITS
            and age_s < claims.RETENTION_S + TRIM_DELAY_S
        ):
            return
        record = ownership.shard_key(claims.KIND, index)
        guard = keyvalue.Guard(record, shard.revision)
        names = [name for _, name in old]
        if await self.key_value.transact([guard], [], deletes=names):
            shard.stored_commits = shard.stored_commits[len(old) :]


def _finish_pending(shard: Shard, pending: PendingClaim) -> None:
    """Lets a committed request run, or releases its claim."""
    request = pending.request
    if pending.error is not None:
        claims.end(shard.table, request.claim, request.request, not_run=True)
    elif not claims.mark_committed(shard.table, request):
        message = "the request has given its claim up"
        pending.error = errors.ConflictError(message)
    pending.done.set()


def _notify_change(shard: Shard) -> None:
    shard.changed.set()
    shard.changed = anyio.Event()


def _to_wire(recorded: claims.Recorded | None) -> ttypes.Recorded | None:
    if recorded is None:
        return None
    return ttypes.Recorded(
        status=recorded.status, headers=recorded.headers, body=recorded.body
    )
