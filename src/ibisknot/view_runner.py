"""Keeps a process's view of the fleet up to date from the store and peers.

"The store" is the platform's key-value service. One process reads the
endpoints' entries and publishes them to the others.
"""

from collections.abc import Callable
import dataclasses
import random

import anyio
from anyio import abc

from ibisknot import deployment
from ibisknot import errors
from ibisknot import fleet_endpoint
from ibisknot import fleetview
from ibisknot import logs
from ibisknot import pairs
from ibisknot import peer
from ibisknot import registration
from ibisknot import serving
from ibisknot import timer
from ibisknot.gen.fleet import ttypes

POLL_CHECK_PERIOD_S = 0.1
"""Period at which a process checks whether a read of the entries is due."""
RETRY_PAUSE_S = 0.5
"""Pause after one failed read of the entries; longest pause of the watch."""
MAX_RETRY_PAUSE_S = 1.0
WATCH_TIMEOUT_S = 12.0
"""Time after which a watch call without changes returns."""
MEMBERS_POLL_PERIOD_S = 1.0
MEMBERS_STALE_S = 2.5
"""Members that are older are requested from peers."""
GOSSIP_PERIOD_S = 0.5
GOSSIP_PEERS = 2
"""Random peers with which a process exchanges updates in each period."""
PEER_TIMEOUT_S = 0.4


@dataclasses.dataclass(slots=True, frozen=True)
class Layout:
    """Keys and encodings of the fleet's state in the store.

    Attributes:
        operator_prefix: Prefix of all keys that the operator writes.
        configuration_key: Key of the newest configuration.
        endpoints_prefix: Prefix of the endpoints' entries.
        members_prefix: Prefix of the member entries that processes write.
        decode_configuration: Decodes a configuration; raises BadRequestError
            if it is malformed.
        decode_endpoint: Decodes an endpoint's entry; returns None if it is
            malformed.
    """

    operator_prefix: str
    configuration_key: str
    endpoints_prefix: str
    members_prefix: str
    decode_configuration: Callable[[bytes], serving.Configuration]
    decode_endpoint: Callable[[pairs.Pair], fleet_endpoint.Endpoint | None]


class Runner:
    """Keeps the view up to date, and publishes it to peers.

    Attributes:
        process: Settings of this process.
        store: The store, reached through a peer if necessary.
        direct_store: The store without peers, for reads whose results are
            published: these must not come from a peer.
        layout: Keys and encodings in the store.
        view: The view that is kept up to date.
        registration: Keeps this process's member entry in the store.
        own_member: This process as a member of the fleet.
        change_callbacks: Called after endpoints or members changed.
        configuration_callbacks: Called after a configuration was adopted.
        operator_callbacks: Called with each change of another operator key.
        next_poll_s: Monotonic time before which the entries are not read
            again, after a failed read.
        failed_polls: Failed reads of the entries since the last success.
        is_store_reachable: Whether the last direct call succeeded; None
            before the first.
    """

    def __init__(
        self,
        process: deployment.Process,
        store: pairs.KeyValueStore,
        direct_store: pairs.KeyValueStore,
        view: fleetview.View,
        layout: Layout,
        peers: peer.Client,
        clock: timer.Timer,
        task_group: abc.TaskGroup,
    ) -> None:
        self.process = process
        self.store = store
        self.direct_store = direct_store
        self.layout = layout
        self.peers = peers
        self.clock = clock
        self.task_group = task_group
        self.view = view
        self.registration = registration.Registration(
            process, store, layout.members_prefix
        )
        self.own_member = self.registration.own_member
        self.change_callbacks: list[Callable[[], None]] = []
        self.configuration_callbacks: list[Callable[[], None]] = []
        self.operator_callbacks: list[Callable[[pairs.Change], None]] = []
        self.rng = random.Random()
        self.next_poll_s = 0.0
        self.failed_polls = 0
        self.is_store_reachable: bool | None = None

    def start(self, server: peer.Server) -> None:
        """Registers the peer methods and starts the periodic work."""
        server.on("view_news", ttypes.ViewNews, self.on_update)
        server.on("view_ask", ttypes.ViewAsk, self.on_view_request)
        self.clock.subscribe("entries", POLL_CHECK_PERIOD_S, self._poll_entries)
        self.clock.subscribe(
            "members", MEMBERS_POLL_PERIOD_S, self._poll_members
        )
        self.clock.subscribe("gossip", GOSSIP_PERIOD_S, self._gossip)
        self.registration.start(self.clock, self.task_group)
        self.task_group.start_soon(self._watch_operator_keys)
        self.task_group.start_soon(self._poll_members, 0.0)
        self.task_group.start_soon(self._gossip, 0.0)

    def other_members(self) -> list[fleetview.Member]:
        """Returns the other processes of the fleet."""
        return [
            m
            for m in self.view.members.values()
            if m.name != self.own_member.name
        ]

    def _record_reachability(self, is_reachable: bool, cause: str = "") -> None:
        """Records whether the store responds, and logs each change."""
        if is_reachable == self.is_store_reachable:
            return
        self.is_store_reachable = is_reachable
        logs.event(
            "store_regained" if is_reachable else "store_lost",
            level="info" if is_reachable else "warning",
            cause=cause,
        )

    # Endpoints ------------------------------------------------------------

    async def _poll_entries(self, now: float) -> None:
        """Timer callback: reads and publishes the entries when they are due."""
        due_s = fleetview.poll_due_s(self.view, self.own_member.name)
        if now < max(due_s, self.next_poll_s):
            return
        started_s = self.clock.now()
        try:
            listing = await self.direct_store.list_prefix(
                self.layout.endpoints_prefix
            )
        except errors.KeyValueError as error:
            self._record_reachability(False, error.message)
            self.failed_polls += 1
            pause_s = min(MAX_RETRY_PAUSE_S, RETRY_PAUSE_S * self.failed_polls)
            self.next_poll_s = self.clock.now() + pause_s
            return
        self.failed_polls = 0
        self._record_reachability(True)
        age_s = self.clock.now() - started_s
        self._adopt_entries(listing.revision, age_s, listing.pairs)
        await self._publish_update()

    def _adopt_entries(
        self, revision: int, age_s: float, entries: list[pairs.Pair]
    ) -> None:
        """Adopts a listing of the entries; logs and reports changes."""
        before = self.view.endpoints
        adopted = fleetview.adopt_endpoints(
            self.view,
            self.clock.now(),
            revision=revision,
            age_s=age_s,
            entries=entries,
            decode=self.layout.decode_endpoint,
        )
        if adopted and self.view.endpoints != before:
            _log_endpoint_changes(before, self.view.endpoints, revision, age_s)
            self._run_callbacks(self.change_callbacks)

    def _run_callbacks(self, callbacks: list[Callable[[], None]]) -> None:
        for callback in callbacks:
            callback()

    # Members --------------------------------------------------------------

    async def _poll_members(self, _now: float) -> None:
        """Timer callback: reads the fleet's members.

        A stale answer is acceptable except for the first read.
        """
        try:
            listing = await self.store.list_prefix(
                self.layout.members_prefix, stale=self.view.members_revision > 0
            )
        except errors.KeyValueError:
            return
        members = [
            m
            for m in map(registration.decode_member, listing.pairs)
            if m is not None
        ]
        self._adopt_members(listing.revision, members)

    def _adopt_members(
        self, revision: int, members: list[fleetview.Member]
    ) -> None:
        """Adopts a listing of the members; logs and reports changes."""
        before = self.view.members
        if not fleetview.adopt_members(
            self.view, self.clock.now(), revision=revision, members=members
        ):
            return
        came = sorted(self.view.members.keys() - before.keys())
        left = sorted(before.keys() - self.view.members.keys())
        if came or left:
            logs.event(
                "members_changed", came=came, left=left, revision=revision
            )
        self._run_callbacks(self.change_callbacks)

    # Configuration --------------------------------------------------------

    async def _watch_operator_keys(self) -> None:
        """Applies changes of the operator's keys until cancelled.

        Reads all keys first, and again when the store no longer has the
        history of changes since the last known revision.
        """
        after_revision = 0
        while True:
            try:
                if not after_revision:
                    after_revision = await self._read_operator_keys()
                    self._record_reachability(True)
                watched = await self.direct_store.changes(
                    self.layout.operator_prefix, after_revision, WATCH_TIMEOUT_S
                )
                after_revision = watched.revision
                for change in watched.changes:
                    self._apply_change(change)
            except errors.HistoryGoneError:
                after_revision = 0
            except errors.KeyValueError as error:
                self._record_reachability(False, error.message)
                await anyio.sleep(self.rng.uniform(0.2, RETRY_PAUSE_S))

    async def _read_operator_keys(self) -> int:
        """Applies all of the operator's keys; returns the store's revision."""
        listing = await self.direct_store.list_prefix(
            self.layout.operator_prefix
        )
        for pair in listing.pairs:
            self._apply_change(
                pairs.Change(pair.key, pair.value, pair.revision)
            )
        return listing.revision

    def _apply_change(self, change: pairs.Change) -> None:
        """Adopts a new configuration; passes other changes to callbacks."""
        if change.key != self.layout.configuration_key:
            for callback in self.operator_callbacks:
                callback(change)
        elif change.value is not None:
            self.adopt_configuration(
                change.revision, change.value, source="store"
            )

    def adopt_configuration(
        self, revision: int, encoded: bytes, *, source: str
    ) -> None:
        """Adopts a configuration if it is newer, and publishes it to peers.

        Args:
            revision: The store's revision of the write.
            encoded: The configuration as the operator wrote it.
            source: `store` or the name of the peer that sent it, for the log.
        """
        if revision <= self.view.configuration_revision:
            return
        try:
            decoded = self.layout.decode_configuration(encoded)
        except errors.BadRequestError as error:
            logs.event(
                "configuration_unreadable",
                level="error",
                revision=revision,
                source=source,
                cause=error.message,
            )
            return
        if fleetview.adopt_configuration(self.view, revision, encoded, decoded):
            logs.event(
                "configuration_adopted",
                version=decoded.version,
                revision=revision,
                source=source,
            )
            self._run_callbacks(self.configuration_callbacks)
            self.task_group.start_soon(self._publish_update)

    # Peers ----------------------------------------------------------------

    def _compose_update(self, *, full: bool) -> ttypes.ViewNews:
        """Returns an update for a peer.

        A short update has only revisions and a digest; a full one has the
        configuration, entries and members as well.
        """
        view = self.view
        now = self.clock.now()
        update = ttypes.ViewNews(
            sender=self.own_member.name,
            configuration_revision=view.configuration_revision,
            endpoints_revision=view.endpoints_revision,
            endpoints_age_s=min(1e6, now - view.endpoints_read_s),
            members_revision=view.members_revision,
            endpoints_digest=fleetview.endpoints_digest(view),
        )
        if full:
            update.endpoints = [
                ttypes.ListedEntry(p.key, p.value, p.revision)
                for p in view.entries.values()
            ]
            update.configuration = view.encoded_configuration
            update.members = [
                registration.to_wire(m) for m in view.members.values()
            ]
        return update

    async def on_update(self, update: ttypes.ViewNews) -> ttypes.ViewAck:
        """Peer method: adopts those parts of a peer's view that are newer."""
        wants_entries = not self._adopt_update(update)
        view = self.view
        return ttypes.ViewAck(
            configuration_revision=view.configuration_revision,
            endpoints_revision=view.endpoints_revision,
            wants_entries=wants_entries,
        )

    async def on_view_request(
        self, _request: ttypes.ViewAsk
    ) -> ttypes.ViewNews:
        """Peer method: returns a full update."""
        return self._compose_update(full=True)

    def _adopt_update(self, update: ttypes.ViewNews) -> bool:
        """Adopts the parts of an update that are newer.

        Returns:
            False if the update is short and its digest does not match the
            endpoints of this process, which then needs the entries.
        """
        if update.configuration:
            self.adopt_configuration(
                update.configuration_revision,
                update.configuration,
                source=update.sender,
            )
        if update.endpoints is not None and update.endpoints_revision:
            entries = [
                pairs.Pair(e.name, e.value, e.revision)
                for e in update.endpoints
            ]
            self._adopt_entries(
                update.endpoints_revision, update.endpoints_age_s, entries
            )
        if update.members:
            members = [registration.from_wire(m) for m in update.members]
            self._adopt_members(update.members_revision, members)
        if update.endpoints is not None or not update.endpoints_revision:
            return True
        return fleetview.confirm_endpoints(
            self.view,
            self.clock.now(),
            revision=update.endpoints_revision,
            age_s=update.endpoints_age_s,
            digest=update.endpoints_digest,
        )

    async def _publish_update(self) -> None:
        """Sends a short update to all other processes."""
        async with anyio.create_task_group() as task_group:
            for member in self.other_members():
                task_group.start_soon(self._send_update, member.address)

    async def _send_update(self, address: str, *, full: bool = False) -> None:
        """Sends an update to a peer, and brings both up to date.

        Requests the peer's view if its configuration is newer, and sends a
        full update if the peer's configuration or entries are older.
        """
        try:
            ack = await self.peers.call(
                address,
                "view_news",
                self._compose_update(full=full),
                ttypes.ViewAck,
                timeout_s=PEER_TIMEOUT_S,
            )
            revision = self.view.configuration_revision
            if ack.configuration_revision > revision:
                await self._request_view(address)
            elif not full and (
                ack.wants_entries or ack.configuration_revision < revision
            ):
                await self._send_update(address, full=True)
        except errors.IbisknotError:
            # The peer gets the state from its own reads or from another peer.
            pass

    async def _request_view(self, address: str) -> None:
        """Requests a peer's full view and adopts what is newer.

        Raises:
            PeerError: The peer did not respond.
        """
        update = await self.peers.call(
            address,
            "view_ask",
            ttypes.ViewAsk(sender=self.own_member.name),
            ttypes.ViewNews,
            timeout_s=PEER_TIMEOUT_S,
        )
        self._adopt_update(update)

    async def _gossip(self, _now: float) -> None:
        """Timer callback: exchanges updates with a few random peers.

        A process without other members uses the seeds of its settings. A
        process without a configuration or with stale members requests its
        peers' views: it may have no access to the store.
        """
        age_s = self.clock.now() - self.view.members_read_s
        is_stale = age_s > MEMBERS_STALE_S
        addresses = [m.address for m in self.other_members()]
        if not addresses:
            own_address = self.process.peer_address
            addresses = [a for a in self.process.seeds if a != own_address]
        count = min(GOSSIP_PEERS, len(addresses))
        async with anyio.create_task_group() as task_group:
            for address in self.rng.sample(addresses, count):
                if self.view.configuration is None or is_stale:
                    task_group.start_soon(self._try_request_view, address)
                else:
                    task_group.start_soon(self._send_update, address)

    async def _try_request_view(self, address: str) -> None:
        """Requests a peer's view; logs a failure."""
        try:
            await self._request_view(address)
        except errors.IbisknotError as error:
            logs.event("seed_silent", peer=address, cause=error.message)


def _log_endpoint_changes(
    before: dict[str, fleet_endpoint.Endpoint],
    after: dict[str, fleet_endpoint.Endpoint],
    revision: int,
    age_s: float,
) -> None:
    """Logs each endpoint that was added, changed or removed.

    The log event `endpoint_leaving` means that the endpoint is draining.
    """
    for name in sorted(before.keys() | after.keys()):
        old, new = before.get(name), after.get(name)
        if old == new:
            continue
        state = "gone"
        if new is not None:
            state = "leaving" if new.leaving else "active"
        logs.event(
            "endpoint_" + state,
            endpoint=name,
            revision=revision,
            age_s=round(age_s, 3),
        )
