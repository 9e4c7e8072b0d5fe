"""Decides about claims at the VM that owns their shard, and commits them."""

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
"""Time within which a lost answer to a commit must be resolved."""
READ_BACK_RETRY_DELAY_S = 0.1
EXPIRE_PERIOD_S = 1.0
"""Period at which old claims and commits are removed."""
TAKE_OVER_ATTEMPTS = 2
"""Attempts to decide about a request; each takes over the shard if needed."""
TRIM_DELAY_S = 60.0
"""Time after which fewer than `MAX_TRIMMED_COMMITS` commits are deleted too."""
MAX_TRIMMED_COMMITS = 64
"""Most expired commits that one transaction deletes."""

StoredCommit = tuple[float, str]
"""Monotonic time at which a commit was written or read, and its key."""


@dataclasses.dataclass(slots=True)
class PendingClaim:
    """A claim that waits for its commit.

    Attributes:
        request: The request that holds the claim.
        done: Set when the commit has succeeded or failed.
        error: Why the request must not run, if it must not.
    """

    request: claims.ClaimRequest
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    error: errors.IbisknotError | None = None


@dataclasses.dataclass(slots=True)
class Shard:
    """One shard at this VM.

    Attributes:
        table: Claims of the shard.
        epoch: Epoch under which this VM owns the shard, 0 when it does not.
        revision: Revision of the shard's ownership record. Commits are
            guarded by it, so that they fail once another VM owns the shard.
        sequence: Sequence number of the last commit in the epoch.
        pending: Claims for the next commit.
        is_committing: Whether the commit loop runs.
        last_commit_s: Monotonic time at which the last commit started.
        stored_commits: Commits in the key-value service, oldest first.
        changed: Set and replaced when a claim's state changes.
        take_over_lock: Held while this VM takes over the shard.
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
    take_over_lock: anyio.Lock = dataclasses.field(default_factory=anyio.Lock)


class Owner:
    """Decides about the claims of the shards that this VM owns.

    Attributes:
        vm: Name of this VM.
        preferred_owner: Returns the VM that should own a shard.
        is_departed: Returns whether a VM, given by name, has departed.
        shards: State of each shard by index.
    """

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
        """Registers the peer methods and the timer callback."""
        server.on("claim_begin", ttypes.ClaimBegin, self.on_begin)
        server.on("claim_end", ttypes.ClaimEnd, self.on_end)
        self.clock.subscribe("claims", EXPIRE_PERIOD_S, self.expire)

    def shard(self, index: int) -> Shard:
        """Returns the state of a shard, which is empty at first."""
        return self.shards.setdefault(index, Shard())

    async def on_begin(
        self, message: ttypes.ClaimBegin
    ) -> ttypes.ClaimDecision:
        """Peer method: decides whether a request may run.

        While another request runs under the claim, it waits up to the
        message's `wait_s` seconds for its end.

        Raises:
            FencedError: Another VM owns the shard.
            KeyValueError: A durable claim could not be committed.
            OverloadedError: The shard has no space for another claim.
            ConflictError: The request ended its claim before the commit.
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
        for _ in range(TAKE_OVER_ATTEMPTS):
            if request.durable and not shard.epoch:
                await self._take_over_shard(index, shard)
            try:
                return await self._wait_for_decision(
                    index, shard, request, message.wait_s
                )
            except errors.FencedError:
                # Another VM has owned the shard since this VM took it over.
                continue
        raise errors.FencedError(f"another VM owns claims shard {index}")

    async def _wait_for_decision(
        self,
        index: int,
        shard: Shard,
        request: claims.ClaimRequest,
        wait_s: float,
    ) -> ttypes.ClaimDecision:
        """Returns a decision, `RUNNING` if there is none within `wait_s`."""
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
        """Returns a decision, None while the holder of the claim runs."""
        result = claims.begin(shard.table, request, self.clock.now())
        if result == claims.BeginResult.JOIN:
            return None
        if result == claims.BeginResult.FULL:
            message = "the claims shard has no space for another claim"
            raise errors.OverloadedError(message, retry_after_s=5.0)
        if result == claims.BeginResult.RUN:
            if request.durable:
                # The commit may take longer than `wait_s`, which limits only
                # the wait for another request.
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
        """Peer method: ends a claim."""
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

    async def _take_over_shard(self, index: int, shard: Shard) -> None:
        """Takes over a shard, then reads the claims committed in it.

        After the take-over no earlier owner can commit, so that all committed
        claims are read.

        Raises:
            FencedError: Another VM took the shard over first.
            KeyValueError: The key-value service did not answer.
        """
        async with shard.take_over_lock:
            if shard.epoch:
                return
            taken = await ownership.take_over(
                self.key_value, claims.SHARD_KIND, index, vm=self.vm
            )
            if taken is None:
                raise errors.FencedError(
                    f"another VM owns claims shard {index}"
                )
            record, revision = taken
            prefix = f"{claims.COMMIT_KEY_PREFIX}{index:04d}/"
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
                kind=claims.SHARD_KIND,
                shard=index,
                epoch=record.epoch,
                claims=len(shard.table.claims),
            )

    async def _commit(
        self, index: int, shard: Shard, request: claims.ClaimRequest
    ) -> None:
        """Returns when a durable claim is committed and may run."""
        pending = PendingClaim(request)
        shard.pending.append(pending)
        if not shard.is_committing:
            shard.is_committing = True
            background.start(self.task_group, self._commit_loop, index, shard)
        await pending.done.wait()
        if pending.error is not None:
            raise pending.error

    async def _commit_loop(self, index: int, shard: Shard) -> None:
        """Commits pending claims together until there are none."""
        try:
            while shard.pending:
                due_s = shard.last_commit_s + COMMIT_INTERVAL_S
                await anyio.sleep(max(0.0, due_s - self.clock.now()))
                shard.last_commit_s = self.clock.now()
                pending_claims = shard.pending
                shard.pending = []
                await self._commit_claims(index, shard, pending_claims)
        finally:
            shard.is_committing = False

    async def _commit_claims(
        self, index: int, shard: Shard, pending_claims: list[PendingClaim]
    ) -> None:
        """Commits claims, and lets their requests run or fail."""
        error: errors.IbisknotError | None = None
        try:
            await self._write_commit(
                index, shard, [p.request for p in pending_claims]
            )
        except errors.FencedError as fenced:
            shard.epoch = 0
            error = fenced
        except errors.IbisknotError as failed:
            # Nothing was sent to an endpoint, so that the requests did not
            # run, even if the write takes effect later.
            text = f"the claim could not be committed: {failed.message}"
            error = errors.KeyValueError(text, retry_after_s=1.0)
        for pending in pending_claims:
            pending.error = error
            _finish_pending(shard, pending)
        _notify_change(shard)

    async def _write_commit(
        self, index: int, shard: Shard, requests: list[claims.ClaimRequest]
    ) -> None:
        """Writes one group commit, and deletes expired ones with it.

        If the answer to a write is lost, it reads whether the commit took
        effect, and writes again if it did not.

        Raises:
            FencedError: Another VM owns the shard.
            KeyValueError: The commit did not take effect, or it is unknown
                whether it did.
        """
        if not shard.epoch:
            raise errors.FencedError(f"another VM owns claims shard {index}")
        shard.sequence += 1
        key = claims.commit_key(index, shard.epoch, shard.sequence)
        commit = claims.GroupCommit(ownership.new_operation_id(), requests)
        guards = [
            keyvalue.Guard(
                ownership.shard_key(claims.SHARD_KIND, index), shard.revision
            ),
            keyvalue.Guard(key, 0),
        ]
        puts = [keyvalue.Put(key, msgspec.json.encode(commit))]
        expired = self._expired_commits(shard)
        deadline_s = self.clock.now() + COMMIT_TIMEOUT_S
        while True:
            try:
                committed = await self.key_value.transact(
                    guards, puts, deletes=[old_key for _, old_key in expired]
                )
            except errors.KeyValueUnknownError:
                committed = False
                is_unknown = True
            else:
                is_unknown = False
            if committed or await self._took_effect(key, commit, deadline_s):
                shard.stored_commits = shard.stored_commits[len(expired) :]
                shard.stored_commits.append((self.clock.now(), key))
                return
            if not is_unknown:
                raise errors.FencedError(
                    f"another VM owns claims shard {index}"
                )
            if self.clock.now() >= deadline_s:
                raise errors.KeyValueUnknownError(
                    "it is unknown whether the commit took effect"
                )

    async def _took_effect(
        self, key: str, commit: claims.GroupCommit, deadline_s: float
    ) -> bool:
        """Returns whether a commit is stored.

        Raises:
            KeyValueError: The key-value service did not answer in time.
        """
        while True:
            try:
                pair = await self.key_value.get(key)
            except errors.KeyValueError:
                if self.clock.now() >= deadline_s:
                    raise
                await anyio.sleep(READ_BACK_RETRY_DELAY_S)
                continue
            if pair is None:
                return False
            stored = msgspec.json.decode(pair.value, type=claims.GroupCommit)
            return stored.operation == commit.operation

    def _expired_commits(self, shard: Shard) -> list[StoredCommit]:
        """Returns the expired commits that one transaction may delete."""
        limit_s = self.clock.now() - claims.RETENTION_S
        expired = [
            entry for entry in shard.stored_commits if entry[0] < limit_s
        ]
        return expired[:MAX_TRIMMED_COMMITS]

    async def expire(self, now: float) -> None:
        """Timer callback: expires claims, and trims commits of idle shards."""
        for index, shard in list(self.shards.items()):
            if claims.expire(shard.table, now, self.is_departed):
                _notify_change(shard)
            if shard.epoch and not shard.is_committing:
                await self._trim_commits(index, shard)

    async def _trim_commits(self, index: int, shard: Shard) -> None:
        """Deletes expired commits once they are many or old enough.

        Busy shards delete them with their next commit instead.
        """
        expired = self._expired_commits(shard)
        if not expired:
            return
        age_s = self.clock.now() - expired[0][0]
        if (
            len(expired) < MAX_TRIMMED_COMMITS
            and age_s < claims.RETENTION_S + TRIM_DELAY_S
        ):
            return
        shard_key = ownership.shard_key(claims.SHARD_KIND, index)
        guard = keyvalue.Guard(shard_key, shard.revision)
        keys = [key for _, key in expired]
        if await self.key_value.transact([guard], [], deletes=keys):
            shard.stored_commits = shard.stored_commits[len(expired) :]


def _finish_pending(shard: Shard, pending: PendingClaim) -> None:
    """Ends the wait for a commit; releases the claim if it failed."""
    request = pending.request
    if pending.error is not None:
        claims.end(shard.table, request.claim, request.request, not_run=True)
    elif not claims.mark_committed(shard.table, request):
        message = "the request ended its claim before the commit"
        pending.error = errors.ConflictError(message)
    pending.done.set()


def _notify_change(shard: Shard) -> None:
    """Wakes the requests that wait for a change of their claim."""
    shard.changed.set()
    shard.changed = anyio.Event()


def _to_wire(recorded: claims.Recorded | None) -> ttypes.Recorded | None:
    if recorded is None:
        return None
    return ttypes.Recorded(
        status=recorded.status, headers=recorded.headers, body=recorded.body
    )
