"""Keeps the copies of files and ended jobs complete; removes old jobs."""

import dataclasses
import time

from ibisknot import errors
from ibisknot import job_shards
from ibisknot import jobs
from ibisknot import keyvalue
from ibisknot import logs
from ibisknot import program
from ibisknot import repairs
from ibisknot import replicas
from ibisknot import settings
from ibisknot.gen.segments import ttypes

CHECK_PERIOD_S = 5.0
REPAIRS_A_ROUND = 10


@dataclasses.dataclass(slots=True)
class Kept:
    """A file or an ended job of an owned shard.

    Attributes:
        revision: Revision of the record.
    """

    record: jobs.Record
    shard: int
    revision: int


class Upkeep:
    """The files and ended jobs of the owned shards."""

    def __init__(
        self,
        daemon: program.Daemon,
        loaded: settings.Batch,
        copies: replicas.Replicas,
        owned: job_shards.JobShards,
    ) -> None:
        self.daemon = daemon
        self.loaded = loaded
        self.copies = copies
        self.shards = owned
        self.kept: dict[str, Kept] = {}

    def note(self, record: jobs.Record, shard: int, revision: int) -> None:
        """Takes the record of a file or an ended job."""
        known = self.kept.get(record.id)
        if known is None or known.revision < revision:
            self.kept[record.id] = Kept(record, shard, revision)

    def clear(self) -> None:
        """Forgets all jobs, because their shards are lost."""
        self.kept.clear()

    async def check(self, _now: float) -> None:
        """Timer callback: repairs copies that are lost, removes old jobs."""
        await self._expire()
        for entry in (await self._damaged())[:REPAIRS_A_ROUND]:
            await self._repair(entry)

    async def _damaged(self) -> list[Kept]:
        """Returns the jobs with a copy that is gone or whose disk is empty.

        One call to each store asks about all its groups.
        """
        kept = [e for e in self.kept.values() if not jobs.closed(e.record)]
        found: dict[str, Kept] = {}
        by_store: dict[str, list[str]] = {}
        for entry in kept:
            for vm in entry.record.replicas:
                if self.copies.gone(vm):
                    found[entry.record.id] = entry
                else:
                    by_store.setdefault(vm, []).append(entry.record.id)
        for vm, groups in by_store.items():
            for name in await self._missing(vm, groups):
                entry_found = self.kept.get(name)
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

    async def _repair(self, entry: Kept) -> None:
        epoch = self.shards.epoch(entry.shard)
        if epoch is None:
            return
        try:
            guard = await self.shards.guard(entry.shard, epoch)
            owner = repairs.Owner(epoch, guard)
            await repairs.secure(
                self.copies, self.daemon.store, entry.record, owner
            )
        except errors.NotFoundError:
            self.kept.pop(entry.record.id, None)
        except errors.IbisknotError as error:
            logs.event(
                "repair_failed",
                level="warning",
                group=entry.record.id,
                cause=error.message,
            )

    async def _expire(self) -> None:
        limit = time.time() - self.loaded.retention_s
        for entry in list(self.kept.values()):
            job = entry.record
            if not isinstance(job, jobs.JobRecord):
                continue
            if (job.finished_at or job.created_at) < limit:
                await self._remove(entry, job)

    async def _remove(self, entry: Kept, job: jobs.JobRecord) -> None:
        """Deletes an old job's results and then its record."""
        epoch = self.shards.epoch(entry.shard)
        if epoch is None:
            return
        await self.copies.delete(job.replicas, job.id, epoch)
        key = jobs.job_key(job.id)
        guards = [
            keyvalue.Guard(key, entry.revision),
            await self.shards.guard(entry.shard, epoch),
        ]
        if await self.daemon.store.transact(guards, [], deletes=[key]):
            self.kept.pop(job.id, None)
            logs.event("job_removed", job=job.id)
