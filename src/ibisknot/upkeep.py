"""Keeps the copies of ended jobs complete, and removes them when old."""

import dataclasses
import time

from ibisknot import errors
from ibisknot import jobs
from ibisknot import keyvalue
from ibisknot import logs
from ibisknot import program
from ibisknot import repairs
from ibisknot import replicas
from ibisknot import settings
from ibisknot import shards
from ibisknot.gen.segments import ttypes

CHECK_PERIOD_S = 5.0
REPAIRS_A_ROUND = 10


@dataclasses.dataclass(slots=True)
class Ended:
    """An ended job of an owned shard.

    Attributes:
        revision: Revision of the job's record.
    """

    job: jobs.JobRecord
    shard: int
    revision: int


class Upkeep:
    """The ended jobs of the owned shards."""

    def __init__(
        self,
        daemon: program.Daemon,
        loaded: settings.Batch,
        copies: replicas.Replicas,
        owned: shards.Shards,
    ) -> None:
        self.daemon = daemon
        self.loaded = loaded
        self.copies = copies
        self.shards = owned
        self.jobs: dict[str, Ended] = {}

    def note(self, job: jobs.JobRecord, shard: int, revision: int) -> None:
        """Takes an ended job's record."""
        known = self.jobs.get(job.id)
        if known is None or known.revision < revision:
            self.jobs[job.id] = Ended(job, shard, revision)

    def clear(self) -> None:
        """Forgets all jobs, because their shards are lost."""
        self.jobs.clear()

    async def check(self, _now: float) -> None:
        """Timer callback: repairs copies that are lost, removes old jobs."""
        await self._expire()
        for entry in (await self._damaged())[:REPAIRS_A_ROUND]:
            await self._repair(entry)

    async def _damaged(self) -> list[Ended]:
        """Returns the jobs with a copy that is gone or whose disk is empty.

        One call to each store asks about all its groups.
        """
        kept = [e for e in self.jobs.values() if not e.job.deleted]
        found: dict[str, Ended] = {}
        by_store: dict[str, list[str]] = {}
        for entry in kept:
            for vm in entry.job.replicas:
                if self.copies.gone(vm):
                    found[entry.job.id] = entry
                else:
                    by_store.setdefault(vm, []).append(entry.job.id)
        for vm, groups in by_store.items():
            for name in await self._missing(vm, groups):
                entry_found = self.jobs.get(name)
                if entry_found is not None:
                    found[name] = entry_found
        return list(found.values())

    async def _missing(self, vm: str, groups: list[str]) -> list[str]:
        try:
            answer = await self.copies.call(
                vm,
                "groups_missing",
                ttypes.GroupsAsk(groups=groups),
                ttypes.GroupsMissing,
            )
        except errors.IbisknotError:
            return []
        return list(answer.groups)

    async def _repair(self, entry: Ended) -> None:
        epoch = self.shards.epoch(entry.shard)
        if epoch is None:
            return
        try:
            guard = await self.shards.guard(entry.shard, epoch)
            owner = repairs.Owner(epoch, guard)
            await repairs.secure(
                self.copies, self.daemon.store, entry.job, owner
            )
        except errors.IbisknotError as error:
            logs.event(
                "repair_failed",
                level="warning",
                job=entry.job.id,
                cause=error.message,
            )

    async def _expire(self) -> None:
        limit = time.time() - self.loaded.retention_s
        for entry in list(self.jobs.values()):
            finished_at = entry.job.finished_at or entry.job.created_at
            if finished_at < limit:
                await self._remove(entry)

    async def _remove(self, entry: Ended) -> None:
        """Deletes an old job's results and then its record."""
        epoch = self.shards.epoch(entry.shard)
        if epoch is None:
            return
        job = entry.job
        await self.copies.delete(job.replicas, job.id, epoch)
        key = jobs.job_key(job.id)
        guards = [
            keyvalue.Guard(key, entry.revision),
            await self.shards.guard(entry.shard, epoch),
        ]
        if await self.daemon.store.transact(guards, [], deletes=[key]):
            self.jobs.pop(job.id, None)
            logs.event("job_removed", job=job.id)
