"""Keeps a process's view of the fleet current, through store and peers."""

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
RETRY_PAUSE_S = 0.5
MAX_RETRY_PAUSE_S = 1.0
WATCH_TIMEOUT_S = 12.0
MEMBERS_POLL_PERIOD_S = 1.0
MEMBERS_STALE_S = 2.5
"""Members that were read longer ago are asked of peers."""
GOSSIP_PERIOD_S = 0.5
GOSSIP_PEERS = 2
PEER_TIMEOUT_S = 0.4


@dataclasses.dataclass(slots=True, frozen=True)
class Layout:
    """Where the store keeps what the platform writes, and how to read it.

    Attributes:
        operator_prefix: Prefix of all that the operator writes.
        configuration_key: Key of the newest configuration.
        endpoints_prefix: Prefix of the endpoints' entries.
        members_prefix: Prefix of the fleet's own entries.
    """

    operator_prefix: str
    configuration_key: str
    endpoints_prefix: str
    members_prefix: str
    decode_configuration: Callable[[bytes], serving.Configuration]
    decode_endpoint: Callable[[pairs.Pair], fleet_endpoint.Endpoint | None]


class Runner:
    """Keeps the view.

    Attributes:
        view: What is believed.
        store: The key-value service, through a peer if need be.
        direct: The same without peers: what is read there and told on must
            not come from a peer.
        changed: Called after the endpoints or members changed.
        configured: Called after a new configuration was adopted.
        operator_changed: Called with other keys that the operator wrote.
        registration: This process's own entry.
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
        """Registers the handlers and starts the periodic work."""
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
        """Logs the loss and the return of the store."""
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
        """Timer callback: reads the entries when nobody told them."""
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
            _log_endpoints(before, self.view.endpoints, revision, age_s)
            self._notify(self.change_callbacks)

    def _notify(self, callbacks: list[Callable[[], None]]) -> None:
        for callback in callbacks:
            callback()

    # Members --------------------------------------------------------------

    async def _poll_members(self, _now: float) -> None:
        """Timer callback: reads which processes are in the fleet."""
        try:
            listing = await self.store.list_prefix(
                self.layout.members_prefix, stale=self.view.members_revision > 0
            )
        except errors.KeyValueError:
            return
        found = [
            m
            for m in map(registration.decode_member, listing.pairs)
            if m is not None
        ]
        self._adopt_members(listing.revision, found)

    def _adopt_members(
        self, revision: int, found: list[fleetview.Member]
    ) -> None:
        before = self.view.members
        if not fleetview.adopt_members(
            self.view, self.clock.now(), revision=revision, members=found
        ):
            return
        came = sorted(self.view.members.keys() - before.keys())
        left = sorted(before.keys() - self.view.members.keys())
        if came or left:
            logs.event(
                "members_changed", came=came, left=left, revision=revision
            )
        self._notify(self.change_callbacks)

    # Configuration --------------------------------------------------------

    async def _watch_operator_keys(self) -> None:
        """Follows what the operator writes, until cancelled."""
        after = 0
        while True:
            try:
                if not after:
                    after = await self._read_operator_keys()
                    self._record_reachability(True)
                watched = await self.direct_store.changes(
                    self.layout.operator_prefix, after, WATCH_TIMEOUT_S
                )
                after = watched.revision
                for change in watched.changes:
                    self._apply_change(change)
            except errors.HistoryGoneError:
                after = 0
            except errors.KeyValueError as error:
                self._record_reachability(False, error.message)
                await anyio.sleep(self.rng.uniform(0.2, RETRY_PAUSE_S))

    async def _read_operator_keys(self) -> int:
        listing = await self.direct_store.list_prefix(
            self.layout.operator_prefix
        )
        for pair in listing.pairs:
            self._apply_change(
                pairs.Change(pair.key, pair.value, pair.revision)
            )
        return listing.revision

    def _apply_change(self, change: pairs.Change) -> None:
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
        """Adopts a stated configuration if it is newer, and passes it on."""
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
            self._notify(self.configuration_callbacks)
            self.task_group.start_soon(self._publish_update)

    # Peers ----------------------------------------------------------------

    def _compose_update(self, *, full: bool) -> ttypes.ViewNews:
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
        """Peer method: takes a peer's beliefs where they are newer."""
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
        """Peer method: tells all that this process believes."""
        return self._compose_update(full=True)

    def _adopt_update(self, update: ttypes.ViewNews) -> bool:
        """Adopts what is newer; False when the entries are missing."""
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
            found = [registration.from_wire(m) for m in update.members]
            self._adopt_members(update.members_revision, found)
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
        async with anyio.create_task_group() as task_group:
            for member in self.other_members():
                task_group.start_soon(self._send_update, member.address)

    async def _send_update(self, address: str, *, full: bool = False) -> None:
        """Tells one peer what this process believes, and heals both ways."""
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
            # The peer's own reading or another peer tells it.
            pass

    async def _request_view(self, address: str) -> None:
        update = await self.peers.call(
            address,
            "view_ask",
            ttypes.ViewAsk(sender=self.own_member.name),
            ttypes.ViewNews,
            timeout_s=PEER_TIMEOUT_S,
        )
        self._adopt_update(update)

    async def _gossip(self, _now: float) -> None:
        """Timer callback: compares beliefs with a few peers.

        A process that knows no peer asks the seeds of its settings. One that
        the store turns away learns of new members from its peers.
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
        try:
            await self._request_view(address)
        except errors.IbisknotError as error:
            logs.event("seed_silent", peer=address, cause=error.message)


def _log_endpoints(
    before: dict[str, fleet_endpoint.Endpoint],
    after: dict[str, fleet_endpoint.Endpoint],
    revision: int,
    age_s: float,
) -> None:
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
