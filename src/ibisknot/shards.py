"""The job shards that this process owns: lease, epochs and watches.

A process that owns nothing and is preferred for nothing makes no calls to
the key-value service.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

import anyio
import msgspec

from ibisknot import errors
from ibisknot import jobs
from ibisknot import keyvalue
from ibisknot import logs
from ibisknot import ownership
from ibisknot import program
from ibisknot import settings

KIND = "jobs"
FOLLOWED: dict[type[jobs.Record], str] = {
    jobs.JobRecord: jobs.JOBS,
    jobs.FileRecord: jobs.FILES,
}
RELEASE_TIMEOUT_S = 1.0
WATCH_RETRY_S = 0.5
SECOND_PERIOD_S = 10.0
"""The second choice for a shard looks this often whether it has an owner."""
CONFIRMED_S = 2.5
"""Work starts only this long after the lease was confirmed, so that an owner
that is cut off stops before a cancel has to be in force (3 s)."""

Seen = Callable[[int, jobs.Record, int], Awaitable[None]]
"""Called with the shard, a job's or file's record and its revision."""


@dataclasses.dataclass(slots=True)
class Owned:
    """A shard that this process owns.

    Attributes:
        epoch: The fencing number of this ownership.
        scopes: End the shard's watches.
    """

    epoch: int
    scopes: list[anyio.CancelScope] = dataclasses.field(default_factory=list)


class Shards:
    """Takes shards and follows their jobs.

    Attributes:
        owned: The shards owned now.
        lease: The key-value lease that they are bound to, or 0.
        until_s: When the lease ends if it is not renewed.
        confirmed_s: When the last successful renewal was sent.
    """

    def __init__(
        self,
        daemon: program.Daemon,
        loaded: settings.Batch,
        seen: Seen,
        lost: Callable[[], None],
    ) -> None:
        self.daemon = daemon
        self.loaded = loaded
        self.store = daemon.store
        self.seen = seen
        self.lost = lost
        self.lease = 0
        self.until_s = 0.0
        self.confirmed_s = 0.0
        self.second_s = 0.0
        self.owned: dict[int, Owned] = {}

    def epoch(self, shard: int) -> int | None:
        """Returns the epoch of a shard while the lease lasts, else None."""
        owned = self.owned.get(shard)
        if owned is None or self.daemon.clock.now() >= self.until_s:
            return None
        return owned.epoch

    def may_dispatch(self) -> bool:
        """Returns whether new work may start now."""
        now = self.daemon.clock.now()
        return now < min(self.until_s, self.confirmed_s + CONFIRMED_S)

    async def tick(self, _now: float) -> None:
        """Timer callback: renews the lease and takes free shards."""
        wanted = self._wanted()
        if self.lease:
            await self._renew()
        if not wanted:
            return
        if not self.lease:
            await self._grant()
        for shard in wanted:
            await self._take(shard)

    async def _renew(self) -> None:
        sent_s = self.daemon.clock.now()
        alive = sent_s < self.until_s
        if alive:
            alive = await self.store.keep_alive(self.lease)
        if alive:
            self.until_s = sent_s + self.loaded.lease_s
            self.confirmed_s = sent_s
        else:
            self.drop()

    async def _grant(self) -> None:
        sent_s = self.daemon.clock.now()
        self.lease = await self.store.grant(self.loaded.lease_s)
        self.until_s = sent_s + self.loaded.lease_s
        self.confirmed_s = sent_s

    def _wanted(self) -> list[int]:
        """Returns the shards to try to take now."""
        names = [vm.name for vm in self.daemon.vms.live()]
        me = self.loaded.vm.name
        now = self.daemon.clock.now()
        second = now >= self.second_s
        if second:
            self.second_s = now + SECOND_PERIOD_S
        found = []
        for shard in range(jobs.SHARD_COUNT):
            if shard in self.owned:
                continue
            first = ownership.preferred(KIND, shard, names)
            others = [name for name in names if name != first]
            next_one = ownership.preferred(KIND, shard, others)
            if first == me or (second and next_one == me):
                found.append(shard)
        return found

    async def _take(self, shard: int) -> None:
        me = self.loaded.vm.name
        holder = await ownership.holder(self.store, KIND, shard)
        if holder is not None:
            return
        epoch = await ownership.take(
            self.store, KIND, shard, vm=me, lease=self.lease
        )
        if epoch is None:
            return
        owned = Owned(epoch)
        self.owned[shard] = owned
        logs.event("shard_taken", kind=KIND, shard=shard, epoch=epoch)
        for kind, prefix in FOLLOWED.items():
            path = f"{prefix}{shard:04d}/"
            self.daemon.group.start_soon(self._follow, shard, owned, kind, path)

    async def _follow(
        self, shard: int, owned: Owned, kind: type[jobs.Record], prefix: str
    ) -> None:
        """Watches a shard's records of one kind while it is owned."""
        scope = anyio.CancelScope()
        owned.scopes.append(scope)
        with scope:
            while True:
                try:
                    await self._watch(shard, kind, prefix)
                except (errors.KeyValueError, msgspec.MsgspecError) as error:
                    logs.event(
                        "jobs_watch_failed",
                        level="warning",
                        shard=shard,
                        cause=repr(error),
                    )
                await anyio.sleep(WATCH_RETRY_S)

    async def _watch(
        self, shard: int, kind: type[jobs.Record], prefix: str
    ) -> None:
        """Reads a shard's records once the watch is open, then follows it."""
        listed = False
        async for changes in self.store.watch(prefix):
            if not listed:
                listed = True
                for pair in await self.store.list_prefix(prefix):
                    record = msgspec.json.decode(pair.value, type=kind)
                    await self.seen(shard, record, pair.revision)
            for change in changes:
                if change.value is not None:
                    record = msgspec.json.decode(change.value, type=kind)
                    await self.seen(shard, record, change.revision)

    async def guard(self, shard: int, epoch: int) -> keyvalue.Guard:
        """Returns a guard that holds only while this epoch owns the shard.

        Raises:
            FencedError: It does not any more.
            KeyValueError: The service did not answer.
        """
        key = ownership.shard_key(KIND, shard)
        pair = await self.store.get(key)
        mine = ownership.Holder(self.loaded.vm.name, epoch)
        if pair is None or (
            msgspec.json.decode(pair.value, type=ownership.Holder) != mine
        ):
            raise errors.FencedError(f"shard {shard} has another owner")
        return keyvalue.Guard(key, pair.revision)

    def drop(self) -> None:
        """Stops all work, because the lease has run out."""
        for owned in self.owned.values():
            for scope in owned.scopes:
                scope.cancel()
        self.owned.clear()
        self.lease = 0
        self.until_s = 0.0
        self.lost()

    async def release(self) -> None:
        """Gives the shards back, so that others need not wait for them."""
        lease = self.lease
        self.drop()
        if not lease:
            return
        try:
            with anyio.move_on_after(RELEASE_TIMEOUT_S):
                await self.store.revoke(lease)
        except errors.KeyValueError as error:
            logs.event(
                "lease_not_revoked", level="warning", cause=error.message
            )
