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

POLL_TICK_S = 0.1
FAILED_PAUSE_S = 0.5
LONGEST_PAUSE_S = 1.0
WATCH_S = 12.0
MEMBERS_PERIOD_S = 1.0
MEMBERS_STALE_S = 2.5
"""Members that were read longer ago are asked of peers."""
GOSSIP_PERIOD_S = 0.5
GOSSIP_PEERS = 2
PUSH_TIMEOUT_S = 0.4


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
        store: pairs.Store,
        direct: pairs.Store,
        view: fleetview.View,
        layout: Layout,
        peers: peer.Client,
        clock: timer.Timer,
        group: abc.TaskGroup,
    ) -> None:
        self.process = process
        self.store = store
        self.direct = direct
        self.layout = layout
        self.peers = peers
        self.clock = clock
        self.group = group
        self.view = view
        self.registration = registration.Registration(
            process, store, layout.members_prefix
        )
        self.me = self.registration.own_member
        self.changed: list[Callable[[], None]] = []
        self.configured: list[Callable[[], None]] = []
        self.operator_changed: list[Callable[[pairs.Change], None]] = []
        self.choice = random.Random()
        self.poll_after_s = 0.0
        self.failures = 0
        self.reachable: bool | None = None

    def start(self, server: peer.Server) -> None:
        """Registers the handlers and starts the periodic work."""
        server.on("view_news", ttypes.ViewNews, self.on_news)
        server.on("view_ask", ttypes.ViewAsk, self.on_ask)
        self.clock.subscribe("entries", POLL_TICK_S, self._poll)
        self.clock.subscribe("members", MEMBERS_PERIOD_S, self._poll_members)
        self.clock.subscribe("gossip", GOSSIP_PERIOD_S, self._gossip)
        self.registration.start(self.clock, self.group)
        self.group.start_soon(self._follow_operator)
        self.group.start_soon(self._poll_members, 0.0)
        self.group.start_soon(self._gossip, 0.0)

    def others(self) -> list[fleetview.Member]:
        """Returns the other processes of the fleet."""
        return [m for m in self.view.members.values() if m.name != self.me.name]

    def _answered(self, answered: bool, cause: str = "") -> None:
        """Logs the loss and the return of the store."""
        if answered == self.reachable:
            return
        self.reachable = answered
        logs.event(
            "store_regained" if answered else "store_lost",
            level="info" if answered else "warning",
            cause=cause,
        )

    # Endpoints ------------------------------------------------------------

    async def _poll(self, now: float) -> None:
        """Timer callback: reads the entries when nobody told them."""
        due_s = fleetview.poll_due_s(self.view, self.me.name)
        if now < max(due_s, self.poll_after_s):
            return
        started_s = self.clock.now()
        try:
            listing = await self.direct.list_prefix(
                self.layout.endpoints_prefix
            )
        except errors.KeyValueError as error:
            self._answered(False, error.message)
            self.failures += 1
            pause_s = min(LONGEST_PAUSE_S, FAILED_PAUSE_S * self.failures)
            self.poll_after_s = self.clock.now() + pause_s
            return
        self.failures = 0
        self._answered(True)
        age_s = self.clock.now() - started_s
        self._take_entries(listing.revision, age_s, listing.pairs)
        await self._tell_all()

    def _take_entries(
        self, revision: int, age_s: float, entries: list[pairs.Pair]
    ) -> None:
        before = self.view.endpoints
        taken = fleetview.adopt_endpoints(
            self.view,
            self.clock.now(),
            revision=revision,
            age_s=age_s,
            entries=entries,
            decode=self.layout.decode_endpoint,
        )
        if taken and self.view.endpoints != before:
            _log_endpoints(before, self.view.endpoints, revision, age_s)
            self._notify(self.changed)

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
        self._take_members(listing.revision, found)

    def _take_members(
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
        self._notify(self.changed)

    # Configuration --------------------------------------------------------

    async def _follow_operator(self) -> None:
        """Follows what the operator writes, until cancelled."""
        after = 0
        while True:
            try:
                if not after:
                    after = await self._read_operator()
                    self._answered(True)
                news = await self.direct.changes(
                    self.layout.operator_prefix, after, WATCH_S
                )
                after = news.revision
                for change in news.changes:
                    self._take_change(change)
            except errors.HistoryGoneError:
                after = 0
            except errors.KeyValueError as error:
                self._answered(False, error.message)
                await anyio.sleep(self.choice.uniform(0.2, FAILED_PAUSE_S))

    async def _read_operator(self) -> int:
        listing = await self.direct.list_prefix(self.layout.operator_prefix)
        for pair in listing.pairs:
            self._take_change(pairs.Change(pair.key, pair.value, pair.revision))
        return listing.revision

    def _take_change(self, change: pairs.Change) -> None:
        if change.key != self.layout.configuration_key:
            for callback in self.operator_changed:
                callback(change)
        elif change.value is not None:
            self.take_stated(change.revision, change.value, source="store")

    def take_stated(self, revision: int, stated: bytes, *, source: str) -> None:
        """Adopts a stated configuration if it is newer, and passes it on."""
        if revision <= self.view.configuration_revision:
            return
        try:
            decoded = self.layout.decode_configuration(stated)
        except errors.BadRequestError as error:
            logs.event(
                "configuration_unreadable",
                level="error",
                revision=revision,
                source=source,
                cause=error.message,
            )
            return
        if fleetview.adopt_configuration(self.view, revision, stated, decoded):
            logs.event(
                "configuration_adopted",
                version=decoded.version,
                revision=revision,
                source=source,
            )
            self._notify(self.configured)
            self.group.start_soon(self._tell_all)

    # Peers ----------------------------------------------------------------

    def _news(self, *, whole: bool) -> ttypes.ViewNews:
        view = self.view
        now = self.clock.now()
        news = ttypes.ViewNews(
            sender=self.me.name,
            configuration_revision=view.configuration_revision,
            endpoints_revision=view.endpoints_revision,
            endpoints_age_s=min(1e6, now - view.endpoints_read_s),
            members_revision=view.members_revision,
            endpoints_digest=fleetview.endpoints_digest(view),
        )
        if whole:
            news.endpoints = [
                ttypes.ListedEntry(p.key, p.value, p.revision)
                for p in view.entries.values()
            ]
            news.configuration = view.stated
            news.members = [
                registration.to_wire(m) for m in view.members.values()
            ]
        return news

    async def on_news(self, news: ttypes.ViewNews) -> ttypes.ViewAck:
        """Peer method: takes a peer's beliefs where they are newer."""
        wants_entries = not self._take_news(news)
        view = self.view
        return ttypes.ViewAck(
            configuration_revision=view.configuration_revision,
            endpoints_revision=view.endpoints_revision,
            wants_entries=wants_entries,
        )

    async def on_ask(self, _ask: ttypes.ViewAsk) -> ttypes.ViewNews:
        """Peer method: tells all that this process believes."""
        return self._news(whole=True)

    def _take_news(self, news: ttypes.ViewNews) -> bool:
        """Adopts what is newer; False when the entries are missing."""
        if news.configuration:
            self.take_stated(
                news.configuration_revision,
                news.configuration,
                source=news.sender,
            )
        if news.endpoints is not None and news.endpoints_revision:
            entries = [
                pairs.Pair(e.name, e.value, e.revision) for e in news.endpoints
            ]
            self._take_entries(
                news.endpoints_revision, news.endpoints_age_s, entries
            )
        if news.members:
            found = [registration.from_wire(m) for m in news.members]
            self._take_members(news.members_revision, found)
        if news.endpoints is not None or not news.endpoints_revision:
            return True
        return fleetview.confirm_endpoints(
            self.view,
            self.clock.now(),
            revision=news.endpoints_revision,
            age_s=news.endpoints_age_s,
            digest=news.endpoints_digest,
        )

    async def _tell_all(self) -> None:
        async with anyio.create_task_group() as group:
            for member in self.others():
                group.start_soon(self._tell, member.address)

    async def _tell(self, address: str, *, whole: bool = False) -> None:
        """Tells one peer what this process believes, and heals both ways."""
        try:
            ack = await self.peers.call(
                address,
                "view_news",
                self._news(whole=whole),
                ttypes.ViewAck,
                timeout_s=PUSH_TIMEOUT_S,
            )
            revision = self.view.configuration_revision
            if ack.configuration_revision > revision:
                await self._pull(address)
            elif not whole and (
                ack.wants_entries or ack.configuration_revision < revision
            ):
                await self._tell(address, whole=True)
        except errors.IbisknotError:
            # The peer's own reading or another peer tells it.
            pass

    async def _pull(self, address: str) -> None:
        news = await self.peers.call(
            address,
            "view_ask",
            ttypes.ViewAsk(sender=self.me.name),
            ttypes.ViewNews,
            timeout_s=PUSH_TIMEOUT_S,
        )
        self._take_news(news)

    async def _gossip(self, _now: float) -> None:
        """Timer callback: compares beliefs with a few peers.

        A process that knows no peer asks the seeds of its settings. One that
        the store turns away learns of new members from its peers.
        """
        age_s = self.clock.now() - self.view.members_read_s
        is_stale = age_s > MEMBERS_STALE_S
        addresses = [m.address for m in self.others()]
        if not addresses:
            mine = self.process.peer_address
            addresses = [a for a in self.process.seeds if a != mine]
        count = min(GOSSIP_PEERS, len(addresses))
        async with anyio.create_task_group() as group:
            for address in self.choice.sample(addresses, count):
                if self.view.configuration is None or is_stale:
                    group.start_soon(self._try_pull, address)
                else:
                    group.start_soon(self._tell, address)

    async def _try_pull(self, address: str) -> None:
        try:
            await self._pull(address)
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
