"""Exchanges fleet views between processes.

A short update has revisions and digests. The receiver's answer says which
parts it lacks, and only those are sent.
"""

from collections.abc import Callable
import dataclasses
import math
import random

import anyio

from ibisknot import errors
from ibisknot import fleetview
from ibisknot import logs
from ibisknot import pairs
from ibisknot import peer
from ibisknot import registration
from ibisknot import timer
from ibisknot import view_encoding
from ibisknot.gen.fleet import ttypes

MEMBERS_STALE_S = 2.5
"""Members that are older are requested from peers."""
GOSSIP_PERIOD_S = 0.5
GOSSIP_PEERS = 2
"""Random peers with which a process exchanges updates in each period."""
CALM_GOSSIP_PERIOD_S = 1.5
"""Pause after an exchange with one peer while updates arrive in time."""
CALM_AGE_S = 1.0
"""Age of the entries and the configuration up to which updates are in time."""
PEER_TIMEOUT_S = 0.4
RECENT_READ_S = 3.0
"""Age up to which a part of a peer's view is used by a process that starts."""
START_WAIT_S = 2.0
"""Time after its start in which a process uses only what is recent.

A peer that was cut off may still have a withdrawn key or an endpoint that has
left, and a process that has just started knows no better.
"""


@dataclasses.dataclass(slots=True, frozen=True)
class Adoption:
    """Adopts the parts of a view that a peer has sent, if they are newer.

    Attributes:
        configuration: Adopts a configuration from its revision, its encoding
            and the name of the sender.
        confirmation: Records that a configuration was the newest one, from
            its revision, the age in seconds of that knowledge, and the name
            of the process that follows the operator's keys.
        entries: Adopts the endpoints' entries from the revision and the age
            in seconds of their read.
        members: Adopts the members from the revision of their read, and its
            age in seconds.
        evacuations: Adopts the evacuated data centres from the revision up to
            which they are known, their names and the name of the sender.
    """

    configuration: Callable[[int, bytes, str], None]
    confirmation: Callable[[int, float, str], None]
    entries: Callable[[int, float, list[pairs.Pair]], None]
    members: Callable[[int, list[fleetview.Member], float], None]
    evacuations: Callable[[int, list[str], str], None]


class Exchange:
    """Sends the view of one process to peers, and receives theirs.

    Attributes:
        own_name: Name of this process's VM.
        seeds: Returns peer addresses to use while no members are known.
        view: The view of this process.
        adoption: Adopts what peers send.
        started_s: Monotonic time of this process's start.
        next_gossip_s: Monotonic time before which no exchange is needed while
            updates arrive in time.
        compressor: Compresses the large parts of updates.
    """

    def __init__(
        self,
        own_name: str,
        seeds: Callable[[], list[str]],
        view: fleetview.View,
        adoption: Adoption,
        peers: peer.Client,
        clock: timer.Timer,
    ) -> None:
        self.own_name = own_name
        self.seeds = seeds
        self.view = view
        self.adoption = adoption
        self.peers = peers
        self.clock = clock
        self.rng = random.Random()
        self.started_s = clock.now()
        self.next_gossip_s = 0.0
        self.compressor = view_encoding.Compressor()

    def start(self, server: peer.Server) -> None:
        """Registers the peer methods and starts the gossip."""
        server.on("view_news", ttypes.ViewNews, self.on_update)
        server.on("view_ask", ttypes.ViewAsk, self.on_view_request)
        self.clock.subscribe("gossip", GOSSIP_PERIOD_S, self.gossip)

    def _other_members(self) -> list[fleetview.Member]:
        return [
            m for m in self.view.members.values() if m.name != self.own_name
        ]

    def _compose_update(
        self,
        *,
        configuration: bool = False,
        entries: bool = False,
        members: bool = False,
        compressed: bool = False,
    ) -> ttypes.ViewNews:
        """Returns an update for a peer.

        It has revisions and digests, and those parts that the peer needs.

        Args:
            configuration: Whether it needs the configuration.
            entries: Whether it needs the endpoints' entries.
            members: Whether it needs the members.
            compressed: Whether it reads compressed parts.
        """
        view = self.view
        update = self._compose_short_update()
        if configuration and compressed:
            update.compressed_configuration = (
                self.compressor.compress_configuration(
                    view.configuration_revision, view.encoded_configuration
                )
            )
        elif configuration:
            update.configuration = view.encoded_configuration
        if entries and compressed:
            update.compressed_endpoints = self.compressor.compress_entries(
                view.entries
            )
        elif entries:
            update.endpoints = view_encoding.to_wire(view.entries.values())
        if members:
            update.members = [
                registration.to_wire(m) for m in view.members.values()
            ]
        return update

    def _compose_short_update(self) -> ttypes.ViewNews:
        """Returns an update without the large parts."""
        view = self.view
        now = self.clock.now()
        update = ttypes.ViewNews(
            sender=self.own_name,
            configuration_revision=view.configuration_revision,
            endpoints_revision=view.endpoints_revision,
            endpoints_age_s=min(1e6, now - view.endpoints_read_s),
            members_revision=view.members_revision,
            members_age_s=min(1e6, now - view.members_read_s),
            endpoints_digest=fleetview.endpoints_digest(view),
            members_digest=fleetview.members_digest(view),
            configuration_age_s=min(1e6, now - view.configuration_confirmed_s),
            configuration_follower=view.configuration_follower,
        )
        if view.evacuations.was_seen:
            update.evacuations_revision = view.evacuations.revision
            update.evacuated_data_centres = sorted(
                view.evacuations.data_centres
            )
        return update

    async def on_update(self, update: ttypes.ViewNews) -> ttypes.ViewAck:
        """Peer method: adopts those parts of a peer's view that are newer."""
        self._adopt_update(update)
        view = self.view
        return ttypes.ViewAck(
            configuration_revision=view.configuration_revision,
            endpoints_revision=view.endpoints_revision,
            wants_entries=not self._has_entries(update),
            wants_members=not self._has_members(update),
            reads_compressed=True,
        )

    async def on_view_request(self, request: ttypes.ViewAsk) -> ttypes.ViewNews:
        """Peer method: returns an update with the parts that the peer lacks.

        An earlier build does not say what it has, and gets all parts.
        """
        view = self.view
        known_revision = request.configuration_revision
        return self._compose_update(
            configuration=known_revision is None
            or known_revision < view.configuration_revision,
            entries=request.endpoints_digest
            != fleetview.endpoints_digest(view),
            members=request.members_digest != fleetview.members_digest(view),
            compressed=bool(request.reads_compressed),
        )

    def _adopt_update(self, update: ttypes.ViewNews) -> None:
        """Adopts the parts of an update that are newer.

        Evacuations come first: nothing else that the update brings is used
        without them.
        """
        if update.evacuations_revision is not None:
            self.adoption.evacuations(
                update.evacuations_revision,
                update.evacuated_data_centres or [],
                update.sender,
            )
        self._adopt_configuration(update)
        if not self._is_recent(update.endpoints_age_s):
            return
        entries = view_encoding.entries_of(update)
        if entries is not None and update.endpoints_revision:
            self.adoption.entries(
                update.endpoints_revision, update.endpoints_age_s, entries
            )
        if update.members:
            members = [registration.from_wire(m) for m in update.members]
            age_s = update.members_age_s or 0.0
            self.adoption.members(update.members_revision, members, age_s)

    def _adopt_configuration(self, update: ttypes.ViewNews) -> None:
        """Adopts the configuration of an update, and what confirms it."""
        age_s = update.configuration_age_s
        if age_s is None:
            age_s = math.inf
        configuration = view_encoding.configuration_of(update)
        if not self._is_recent(age_s):
            if configuration:
                logs.event(
                    "update_too_old",
                    peer=update.sender,
                    age_s=round(age_s, 3),
                    revision=update.configuration_revision,
                )
            return
        if configuration:
            self.adoption.configuration(
                update.configuration_revision,
                configuration,
                update.sender,
            )
        self.adoption.confirmation(
            update.configuration_revision,
            age_s,
            update.configuration_follower or "",
        )

    def _is_recent(self, age_s: float) -> bool:
        """Returns whether a part of an update with this age may be used.

        Only a process that has just started, and knows no configuration, must
        not use what is old.
        """
        if self.view.configuration is not None or age_s <= RECENT_READ_S:
            return True
        return self.clock.now() - self.started_s >= START_WAIT_S

    def _has_entries(self, update: ttypes.ViewNews) -> bool:
        """Returns whether a short update's digest is that of the own entries.

        A later read of the same entries is recorded.
        """
        has_listing = (
            update.endpoints is not None
            or update.compressed_endpoints is not None
        )
        if has_listing or not update.endpoints_revision:
            return True
        if not self._is_recent(update.endpoints_age_s):
            return True
        return fleetview.confirm_endpoints(
            self.view,
            self.clock.now(),
            revision=update.endpoints_revision,
            age_s=update.endpoints_age_s,
            digest=update.endpoints_digest,
        )

    def _has_members(self, update: ttypes.ViewNews) -> bool:
        """Returns whether a short update's digest is that of the own members.

        A later read of the same members is recorded.
        """
        if update.members is not None or update.members_digest is None:
            return True
        return fleetview.confirm_members(
            self.view,
            self.clock.now(),
            revision=update.members_revision,
            age_s=update.members_age_s or 0.0,
            digest=update.members_digest,
        )

    async def publish(self) -> None:
        """Sends a short update to all other processes."""
        update = self._compose_update()
        async with anyio.create_task_group() as task_group:
            for member in self._other_members():
                task_group.start_soon(self._send_update, member.address, update)

    async def _send_update(
        self, address: str, short_update: ttypes.ViewNews
    ) -> None:
        """Sends a short update to a peer, and what it then lacks.

        Requests the peer's view if its configuration is newer.
        """
        try:
            ack = await self._call_update(address, short_update)
            revision = self.view.configuration_revision
            if ack.configuration_revision > revision:
                await self._request_view(address)
                return
            lacks_configuration = ack.configuration_revision < revision
            if ack.wants_entries or ack.wants_members or lacks_configuration:
                update = self._compose_update(
                    configuration=lacks_configuration,
                    entries=ack.wants_entries,
                    members=bool(ack.wants_members),
                    compressed=bool(ack.reads_compressed),
                )
                await self._call_update(address, update)
        except errors.IbisknotError:
            # The peer gets the state from its own reads or from another peer.
            pass

    async def _call_update(
        self, address: str, update: ttypes.ViewNews
    ) -> ttypes.ViewAck:
        """Sends an update and returns the peer's answer.

        Raises:
            PeerError: The peer did not respond.
        """
        return await self.peers.call(
            address,
            "view_news",
            update,
            ttypes.ViewAck,
            timeout_s=PEER_TIMEOUT_S,
        )

    async def _request_view(self, address: str) -> None:
        """Requests the parts of a peer's view that differ, adopts the newer.

        Raises:
            PeerError: The peer did not respond.
        """
        update = await self.peers.call(
            address,
            "view_ask",
            ttypes.ViewAsk(
                sender=self.own_name,
                reads_compressed=True,
                configuration_revision=self.view.configuration_revision,
                endpoints_digest=fleetview.endpoints_digest(self.view),
                members_digest=fleetview.members_digest(self.view),
            ),
            ttypes.ViewNews,
            timeout_s=PEER_TIMEOUT_S,
        )
        self._adopt_update(update)
        # Parts that were left out are the own ones, read again later.
        self._has_entries(update)
        self._has_members(update)

    async def gossip(self, _now: float) -> None:
        """Timer callback: exchanges updates with a few random peers.

        A process without other members uses the seeds of its settings. A
        process without a configuration or with stale members requests its
        peers' views: it may have no access to the store.
        """
        now = self.clock.now()
        oldest_s = min(
            self.view.endpoints_read_s, self.view.configuration_confirmed_s
        )
        is_calm = (
            self.view.configuration is not None and now - oldest_s <= CALM_AGE_S
        )
        if is_calm and now < self.next_gossip_s:
            return
        self.next_gossip_s = now + CALM_GOSSIP_PERIOD_S
        is_stale = now - self.view.members_read_s > MEMBERS_STALE_S
        addresses = [m.address for m in self._other_members()]
        if not addresses:
            addresses = self.seeds()
        count = min(1 if is_calm else GOSSIP_PEERS, len(addresses))
        update = self._compose_update()
        async with anyio.create_task_group() as task_group:
            for address in self.rng.sample(addresses, count):
                if self.view.configuration is None or is_stale:
                    task_group.start_soon(self._try_request_view, address)
                else:
                    task_group.start_soon(self._send_update, address, update)

    async def _try_request_view(self, address: str) -> None:
        """Requests a peer's view; logs a failure."""
        try:
            await self._request_view(address)
        except errors.IbisknotError as error:
            logs.event("seed_silent", peer=address, cause=error.message)
