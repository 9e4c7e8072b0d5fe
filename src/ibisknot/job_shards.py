"""Ownership of job shards: lease, epochs and watches.

A process makes no calls to the key-value service while it owns no shard and is
the preferred owner or successor of none.
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
RECORD_PREFIXES: dict[type[jobs.Record], str] = {
    jobs.JobRecord: jobs.JOB_KEY_PREFIX,
    jobs.FileRecord: jobs.FILE_KEY_PREFIX,
}
RELEASE_TIMEOUT_S = 1.0
WATCH_RETRY_S = 0.5
SUCCESSOR_CHECK_PERIOD_S = 10.0
"""Period in which a successor checks whether its shards have an owner."""
MAX_RENEWAL_AGE_S = 2.5
"""Age of the last successful lease renewal up to which work may start.

An owner that is cut off from the key-value service must stop before a cancel
has to be in force, which is 3 s after the cancel.
"""

RecordHandler = Callable[[int, jobs.Record, int], Awaitable[None]]
"""Called with the shard, the record of a job or file, and its revision."""


@dataclasses.dataclass(slots=True)
class OwnedShard:
    """A shard that this process owns.

    Attributes:
        epoch: Epoch of this ownership, by which older owners are fenced off.
        watch_scopes: Cancel scopes of the shard's watches.
    """

    epoch: int
    watch_scopes: list[anyio.CancelScope] = dataclasses.field(
        default_factory=list
    )


class JobShards:
    """Acquires job shards and watches their records.

    Attributes:
        daemon: The running program with its clock, VM list and task group.
        batch_settings: Settings of the batch program.
        key_value: The key-value service.
        on_record: Called with each record that was read or has changed.
        on_loss: Called after all shards were discarded.
        owned: The owned shards by index.
        lease_id: Id of the lease that the owned shards are bound to; 0 when
            there is none.
        lease_until_s: Monotonic time at which the lease ends if it is not
            renewed.
        renewed_s: Monotonic time at which the last successful renewal was
            sent.
        next_successor_check_s: Monotonic time from which shards are checked
            of which this VM is the successor.
    """

    def __init__(
        self,
        daemon: program.Daemon,
        batch_settings: settings.Batch,
        on_record: RecordHandler,
        on_loss: Callable[[], None],
    ) -> None:
        self.daemon = daemon
        self.batch_settings = batch_settings
        self.key_value = daemon.key_value
        self.on_record = on_record
        self.on_loss = on_loss
        self.lease_id = 0
        self.lease_until_s = 0.0
        self.renewed_s = 0.0
        self.next_successor_check_s = 0.0
        self.owned: dict[int, OwnedShard] = {}

    def epoch(self, shard: int) -> int | None:
        """Returns the epoch of a shard while the lease lasts, else None."""
        owned = self.owned.get(shard)
        if owned is None or self.daemon.clock.now() >= self.lease_until_s:
            return None
        return owned.epoch

    def may_dispatch(self) -> bool:
        """Returns whether new work may start now."""
        now = self.daemon.clock.now()
        return now < min(self.lease_until_s, self.renewed_s + MAX_RENEWAL_AGE_S)

    async def tick(self, _now: float) -> None:
        """Timer callback: renews the lease and acquires free shards."""
        shards_to_acquire = self._shards_to_acquire()
        if self.lease_id:
            await self._renew()
        if not shards_to_acquire:
            return
        if not self.lease_id:
            await self._create_lease()
        for shard in shards_to_acquire:
            await self._acquire(shard)

    async def _renew(self) -> None:
        """Renews the lease; discards all shards if it has ended."""
        sent_s = self.daemon.clock.now()
        lease_lasts = sent_s < self.lease_until_s
        if lease_lasts:
            lease_lasts = await self.key_value.keep_alive(self.lease_id)
        if lease_lasts:
            self.lease_until_s = sent_s + self.batch_settings.lease_s
            self.renewed_s = sent_s
        else:
            self.discard_shards()

    async def _create_lease(self) -> None:
        """Requests a lease to which owned shards are bound."""
        sent_s = self.daemon.clock.now()
        self.lease_id = await self.key_value.grant(self.batch_settings.lease_s)
        self.lease_until_s = sent_s + self.batch_settings.lease_s
        self.renewed_s = sent_s

    def _shards_to_acquire(self) -> list[int]:
        """Returns the shards to try to acquire now.

        These are the shards whose preferred owner is this VM, and periodically
        also those of which it is the successor.
        """
        active_vms = [vm.name for vm in self.daemon.vm_list.active_vms()]
        own_vm = self.batch_settings.vm.name
        now = self.daemon.clock.now()
        is_check_due = now >= self.next_successor_check_s
        if is_check_due:
            self.next_successor_check_s = now + SUCCESSOR_CHECK_PERIOD_S
        shards = []
        for shard in range(jobs.SHARD_COUNT):
            if shard in self.owned:
                continue
            preferred = ownership.preferred_owner(KIND, shard, active_vms)
            remaining = [name for name in active_vms if name != preferred]
            successor = ownership.preferred_owner(KIND, shard, remaining)
            if preferred == own_vm or (is_check_due and successor == own_vm):
                shards.append(shard)
        return shards

    async def _acquire(self, shard: int) -> None:
        """Acquires a shard without an owner and watches its records."""
        own_vm = self.batch_settings.vm.name
        owner = await ownership.read_owner(self.key_value, KIND, shard)
        if owner is not None:
            return
        epoch = await ownership.acquire(
            self.key_value, KIND, shard, vm=own_vm, lease_id=self.lease_id
        )
        if epoch is None:
            return
        owned = OwnedShard(epoch)
        self.owned[shard] = owned
        logs.event("shard_taken", kind=KIND, shard=shard, epoch=epoch)
        for record_type, prefix in RECORD_PREFIXES.items():
            path = f"{prefix}{shard:04d}/"
            self.daemon.task_group.start_soon(
                self._follow_records, shard, owned, record_type, path
            )

    async def _follow_records(
        self,
        shard: int,
        owned: OwnedShard,
        record_type: type[jobs.Record],
        prefix: str,
    ) -> None:
        """Watches a shard's records of one type while the shard is owned."""
        scope = anyio.CancelScope()
        owned.watch_scopes.append(scope)
        with scope:
            while True:
                try:
                    await self._watch_records(shard, record_type, prefix)
                except (errors.KeyValueError, msgspec.MsgspecError) as error:
                    logs.event(
                        "jobs_watch_failed",
                        level="warning",
                        shard=shard,
                        cause=repr(error),
                    )
                await anyio.sleep(WATCH_RETRY_S)

    async def _watch_records(
        self, shard: int, record_type: type[jobs.Record], prefix: str
    ) -> None:
        """Reads a shard's records, then follows their changes.

        The records are listed after the watch is open, so that no change
        between the two is missed.
        """
        is_listed = False
        async for changes in self.key_value.watch(prefix):
            if not is_listed:
                is_listed = True
                for pair in await self.key_value.list_prefix(prefix):
                    record = msgspec.json.decode(pair.value, type=record_type)
                    await self.on_record(shard, record, pair.revision)
            for change in changes:
                if change.value is not None:
                    record = msgspec.json.decode(change.value, type=record_type)
                    await self.on_record(shard, record, change.revision)

    async def guard(self, shard: int, epoch: int) -> keyvalue.Guard:
        """Returns a guard for writes of a shard's owner.

        A write with the guard fails once the shard has another owner.

        Raises:
            FencedError: This process does not own the shard in this epoch.
            KeyValueError: The service did not answer.
        """
        key = ownership.shard_key(KIND, shard)
        pair = await self.key_value.get(key)
        expected = ownership.Owner(self.batch_settings.vm.name, epoch)
        if pair is None or (
            msgspec.json.decode(pair.value, type=ownership.Owner) != expected
        ):
            raise errors.FencedError(f"shard {shard} has another owner")
        return keyvalue.Guard(key, pair.revision)

    def discard_shards(self) -> None:
        """Ends all ownership here, without a call to the service.

        Called when the lease has ended and before it is revoked.
        """
        for owned in self.owned.values():
            for scope in owned.watch_scopes:
                scope.cancel()
        self.owned.clear()
        self.lease_id = 0
        self.lease_until_s = 0.0
        self.on_loss()

    async def release(self) -> None:
        """Revokes the lease at shutdown.

        Other VMs can then acquire the shards at once and need not wait until
        the lease ends.
        """
        lease_id = self.lease_id
        self.discard_shards()
        if not lease_id:
            return
        try:
            with anyio.move_on_after(RELEASE_TIMEOUT_S):
                await self.key_value.revoke(lease_id)
        except errors.KeyValueError as error:
            logs.event(
                "lease_not_revoked", level="warning", cause=error.message
            )
