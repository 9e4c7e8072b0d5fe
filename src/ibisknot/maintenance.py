"""Repairs the copies of files and ended jobs, and removes expired jobs.

Copies of a running job are repaired by the module that runs it.
"""

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

MAINTENANCE_PERIOD_S = 5.0
REPAIRS_PER_ROUND = 10


@dataclasses.dataclass(slots=True)
class Entry:
    """A file or an ended job of an owned shard.

    Attributes:
        record: Its record.
        shard: Index of its shard.
        revision: Revision of the record in the key-value service.
    """

    record: jobs.Record
    shard: int
    revision: int


class Maintenance:
    """Maintenance of the files and ended jobs of the owned shards.

    Attributes:
        daemon: The parts of the program; its key-value service has the records.
        batch_settings: Settings of the batch program.
        replica_client: Calls the stores.
        owned_shards: The shards that this process owns.
        entries: Files and ended jobs by id.
    """

    def __init__(
        self,
        daemon: program.Daemon,
        batch_settings: settings.Batch,
        replica_client: replicas.ReplicaClient,
        owned_shards: job_shards.JobShards,
    ) -> None:
        self.daemon = daemon
        self.batch_settings = batch_settings
        self.replica_client = replica_client
        self.owned_shards = owned_shards
        self.entries: dict[str, Entry] = {}

    def add_record(
        self, record: jobs.Record, shard: int, revision: int
    ) -> None:
        """Adds or updates a file or an ended job."""
        known_entry = self.entries.get(record.id)
        if known_entry is None or known_entry.revision < revision:
            self.entries[record.id] = Entry(record, shard, revision)

    def clear(self) -> None:
        """Removes all entries, because their shards are no longer owned."""
        self.entries.clear()

    async def run_round(self, _now: float) -> None:
        """Timer callback: removes expired jobs and replaces lost copies."""
        await self._remove_expired()
        for entry in (await self._find_damaged())[:REPAIRS_PER_ROUND]:
            await self._repair(entry)

    async def _find_damaged(self) -> list[Entry]:
        """Returns the entries with a copy that is lost.

        One call to each store asks for all its groups.
        """
        open_entries = [
            e for e in self.entries.values() if not jobs.is_deleted(e.record)
        ]
        damaged: dict[str, Entry] = {}
        groups_by_vm: dict[str, list[str]] = {}
        for entry in open_entries:
            for vm in entry.record.replicas:
                if self.replica_client.is_unlisted(vm):
                    damaged[entry.record.id] = entry
                else:
                    groups_by_vm.setdefault(vm, []).append(entry.record.id)
        for vm, groups in groups_by_vm.items():
            for group in await self._missing_groups(vm, groups):
                damaged_entry = self.entries.get(group)
                if damaged_entry is not None:
                    damaged[group] = damaged_entry
        return list(damaged.values())

    async def _missing_groups(self, vm: str, groups: list[str]) -> list[str]:
        """Returns the groups that a store lacks; none if it does not answer."""
        try:
            answer = await self.replica_client.call(
                vm,
                "groups_missing",
                ttypes.GroupsAsk(groups=groups),
                ttypes.GroupsMissing,
            )
        except errors.IbisknotError:
            return []
        return list(answer.groups)

    async def _repair(self, entry: Entry) -> None:
        """Replaces the lost copies of an entry; a failure is only logged."""
        epoch = self.owned_shards.epoch(entry.shard)
        if epoch is None:
            return
        try:
            guard = await self.owned_shards.guard(entry.shard, epoch)
            owner = repairs.Owner(epoch, guard)
            await repairs.repair_copies(
                self.replica_client, self.daemon.key_value, entry.record, owner
            )
        except errors.NotFoundError:
            self.entries.pop(entry.record.id, None)
        except errors.IbisknotError as error:
            logs.event(
                "repair_failed",
                level="warning",
                group=entry.record.id,
                cause=error.message,
            )

    async def _remove_expired(self) -> None:
        """Removes the jobs whose retention time is over."""
        oldest_kept_at = time.time() - self.batch_settings.retention_s
        for entry in list(self.entries.values()):
            job = entry.record
            if not isinstance(job, jobs.JobRecord):
                continue
            if (job.finished_at or job.created_at) < oldest_kept_at:
                await self._remove_job(entry, job)

    async def _remove_job(self, entry: Entry, job: jobs.JobRecord) -> None:
        """Deletes an expired job's group and then its record."""
        epoch = self.owned_shards.epoch(entry.shard)
        if epoch is None:
            return
        await self.replica_client.delete_group(job.replicas, job.id, epoch)
        key = jobs.job_key(job.id)
        guards = [
            keyvalue.Guard(key, entry.revision),
            await self.owned_shards.guard(entry.shard, epoch),
        ]
        if await self.daemon.key_value.transact(guards, [], deletes=[key]):
            self.entries.pop(job.id, None)
            logs.event("job_removed", job=job.id)
