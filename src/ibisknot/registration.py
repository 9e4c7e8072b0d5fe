"""Registers a process as a member of the fleet."""

import time

from anyio import abc

from ibisknot import deployment
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import logs
from ibisknot import pairs
from ibisknot import peer
from ibisknot import timer
from ibisknot.gen.fleet import ttypes

LEASE_TTL_S = 4.0
"""The store may require a longer lease."""
RENEW_PERIOD_S = 1.3


class Registration:
    """Keeps this process's member entry in the store, under a lease.

    Attributes:
        lease_ttl_s: Time to live of the lease, in seconds.
        own_member: This process as a member of the fleet.
        lease_id: Id of the lease; 0 without one.
        is_written: Whether the entry was written under the lease.
        is_deregistered: Whether the entry must not be written again.
    """

    def __init__(
        self,
        process: deployment.Process,
        store: pairs.KeyValueStore,
        key_prefix: str,
    ) -> None:
        self.store = store
        self.key_prefix = key_prefix
        self.lease_ttl_s = max(LEASE_TTL_S, process.lease_minimum_s)
        self.own_member = fleetview.Member(
            name=process.name,
            kind=process.kind,
            data_centre=process.data_centre,
            address=process.peer_address,
            started_ms=int(time.time() * 1000),
        )
        self.lease_id = 0
        self.is_written = False
        self.is_deregistered = False

    def start(self, clock: timer.Timer, task_group: abc.TaskGroup) -> None:
        """Writes the entry and starts the renewal of its lease."""
        clock.subscribe("member_lease", RENEW_PERIOD_S, self.renew)
        task_group.start_soon(self.renew, 0.0)

    async def renew(self, _now: float) -> None:
        """Timer callback: renews the lease and writes the entry if needed.

        The entry is written again after a failed write or under a new lease.
        """
        if self.is_deregistered:
            return
        try:
            if not self.lease_id or not await self.store.keep_alive(
                self.lease_id
            ):
                self.lease_id = await self.store.grant(self.lease_ttl_s)
                self.is_written = False
            if not self.is_written:
                await self._write_entry()
        except errors.KeyValueError as error:
            logs.event(
                "member_not_registered", level="warning", cause=error.message
            )

    async def _write_entry(self) -> None:
        value = peer.encode(to_wire(self.own_member))
        put = pairs.Put(
            self.key_prefix + self.own_member.name, value, self.lease_id
        )
        await self.store.transact([], [put])
        self.is_written = True
        logs.event("member_registered", lease=self.lease_id)

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
