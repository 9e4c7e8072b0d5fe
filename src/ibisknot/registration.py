"""Registers a process as a member of the fleet.

A write of an earlier process of the same name may take effect late, and builds
before the guard write without one. So a process also looks for its entry in
each listing of the members, and writes it again if it is missing or another
process's.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
import time

from ibisknot import deployment
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import guarded_key
from ibisknot import isolation
from ibisknot import logs
from ibisknot import pairs
from ibisknot import peer
from ibisknot import timer
from ibisknot.gen.fleet import ttypes

WORKER_LEASE_TTL_S = 4.0
"""A worker's jobs are taken over when its entry has ended.

The store may require a longer lease.
"""
GATEWAY_LEASE_TTL_S = 30.0
"""Nothing waits for the end of a gateway's entry."""
RENEWALS_PER_LEASE = 3
CERTAINTY_MARGIN_S = 0.3
"""Time before the end of a lease from which its entry may be gone."""
RETRY_PERIOD_S = 1.0
"""Period at which a missing entry is written again until that succeeds."""


def _boot_time() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Registration:
    """Keeps this process's member entry in the store, under a lease.

    Attributes:
        lease_ttl_s: Time to live of the lease, in seconds.
        own_member: This process as a member of the fleet.
        entry: The key of the entry, written under a guard.
        lease_id: Id of the lease; 0 without one.
        lease_count: Number of times that the entry was written. While it stays
            the same and the entry is certain, the entry was never missing.
        renewed_s: Boot time before the last successful call about the lease.
        boot_time: Returns the time since the machine's start in seconds. It
            includes the time for which the machine was suspended.
        is_written: Whether the entry was written under the lease.
        is_doubtful: Whether a listing has shown that the entry is missing or
            another process's, so that it must be read.
        is_deregistered: Whether the entry must not be written again.
        is_renewing: Whether a renewal is in progress. Two at a time could
            write the entry under a lease that is not renewed.
    """

    def __init__(
        self,
        process: deployment.Process,
        store: pairs.KeyValueStore,
        key_prefix: str,
        *,
        boot_time: Callable[[], float] = _boot_time,
    ) -> None:
        self.boot_time = boot_time
        self.store = store
        self.key_prefix = key_prefix
        ttl_s = (
            WORKER_LEASE_TTL_S
            if process.kind == deployment.WORKER
            else GATEWAY_LEASE_TTL_S
        )
        self.lease_ttl_s = max(ttl_s, process.lease_minimum_s)
        self.own_member = fleetview.Member(
            name=process.name,
            kind=process.kind,
            data_centre=process.data_centre,
            address=process.peer_address,
            started_ms=int(time.time() * 1000),
        )
        self.entry = guarded_key.GuardedKey(store, self.key(process.name))
        self.lease_id = 0
        self.lease_count = 0
        self.renewed_s = -math.inf
        self.is_written = False
        self.is_doubtful = False
        self.is_deregistered = False
        self.is_renewing = False

    def start(
        self, clock: timer.Timer, task_group: isolation.TaskStarter
    ) -> None:
        """Writes the entry and starts the renewal of its lease."""
        period_s = self.lease_ttl_s / RENEWALS_PER_LEASE
        clock.subscribe("member_lease", period_s, self.renew)
        clock.subscribe("member_entry", RETRY_PERIOD_S, self._retry)
        task_group.start_soon(self.renew, 0.0)

    def is_missing_in(
        self, revision: int, members: Iterable[fleetview.Member]
    ) -> bool:
        """Returns whether a listing shows that the entry must be written.

        A listing that was read before the entry was written says nothing.

        Args:
            revision: The store's revision when the members were read.
            members: All members of the listing.
        """
        if not self.is_written or revision < (self.entry.revision or 0):
            return False
        return self.own_member not in members

    async def repair(self) -> None:
        """Reads the entry, and writes it again if it is missing or foreign."""
        self.is_doubtful = True
        await self.renew(0.0)

    async def _retry(self, _now: float) -> None:
        """Timer callback: writes a missing entry again before its renewal."""
        if self.is_doubtful or not self.is_written:
            await self.renew(0.0)

    async def renew(self, _now: float) -> None:
        """Timer callback: renews the lease and writes the entry if needed.

        The entry is written again after a failed write or under a new lease.
        """
        if self.is_deregistered or self.is_renewing:
            return
        self.is_renewing = True
        try:
            await self._renew()
        finally:
            self.is_renewing = False

    async def _renew(self) -> None:
        asked_s = self.boot_time()
        try:
            if not self.lease_id or not await self.store.keep_alive(
                self.lease_id
            ):
                self.is_written = False
                self.lease_id = await self.store.grant(self.lease_ttl_s)
            if self.is_doubtful:
                await self._check_entry()
            if not self.is_written and not self.is_deregistered:
                await self._write_entry()
            self.renewed_s = asked_s
        except errors.KeyValueError as error:
            logs.event(
                "member_not_registered", level="warning", cause=error.message
            )

    async def _check_entry(self) -> None:
        """Reads the entry after a listing without it."""
        written_revision = self.entry.revision
        found_revision = await self.entry.read()
        self.is_doubtful = False
        if found_revision == written_revision:
            return
        self.is_written = False
        logs.event(
            "member_entry_lost",
            level="warning",
            written_revision=written_revision,
            found_revision=found_revision,
        )

    async def _write_entry(self) -> None:
        value = peer.encode(to_wire(self.own_member))
        await self.entry.write(value, self.lease_id)
        self.is_written = True
        self.lease_count += 1
        logs.event("member_registered", lease=self.lease_id)

    def key(self, name: str) -> str:
        """Returns the key of the entry of a process."""
        return self.key_prefix + name

    def is_certain(self) -> bool:
        """Returns whether the store certainly has this process's entry."""
        if not self.is_written or self.is_doubtful or self.is_deregistered:
            return False
        age_s = self.boot_time() - self.renewed_s
        return age_s < self.lease_ttl_s - CERTAINTY_MARGIN_S

    async def deregister(self) -> None:
        """Ends the lease, which removes the entry from the store."""
        self.is_deregistered = True
        if self.lease_id:
            try:
                await self.store.revoke(self.lease_id)
            except errors.KeyValueError as error:
                logs.event("lease_not_ended", cause=error.message)


def to_wire(member: fleetview.Member) -> ttypes.Member:
    """Encodes a member as peers and the store represent it."""
    return ttypes.Member(
        name=member.name,
        kind=member.kind,
        data_centre=member.data_centre,
        address=member.address,
        born_ms=member.started_ms,
    )


def from_wire(member: ttypes.Member) -> fleetview.Member:
    """Decodes a member that a peer sent or the store holds."""
    return fleetview.Member(
        name=member.name,
        kind=member.kind,
        data_centre=member.data_centre,
        address=member.address,
        started_ms=member.born_ms,
    )


def decode_member(pair: pairs.Pair) -> fleetview.Member | None:
    """Decodes a stored entry; returns None if it is malformed."""
    try:
        return from_wire(peer.decode(pair.value, ttypes.Member))
    except errors.PeerError:
        return None
