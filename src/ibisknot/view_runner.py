"""Keeps a process's view of the fleet up to date from the store and peers.

"The store" is the platform's key-value service. One process reads the
endpoints' entries and publishes them to the others.
"""

from collections.abc import Callable
import time

import anyio

from ibisknot import _view_log
from ibisknot import deployment
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import isolation
from ibisknot import logs
from ibisknot import operator_watch
from ibisknot import pairs
from ibisknot import peer
from ibisknot import registration
from ibisknot import store_layout
from ibisknot import timer
from ibisknot import view_exchange
from ibisknot.evacuation import follower
from ibisknot.outage import probing

POLL_CHECK_PERIOD_S = 0.2
"""Period at which a process checks whether a read of the entries is due."""
RETRY_PAUSE_S = 0.5
"""Pause after one failed read of the entries."""
MAX_RETRY_PAUSE_S = 1.0
STORE_CHECK_PERIOD_S = 0.1
"""Period at which a process checks whether peers have read from the store."""
OUT_OF_TOUCH_S = 2.0
"""Age of the entries from which this process may have missed news."""
MEMBERS_CHECK_PERIOD_S = 0.25
"""Period at which a process checks whether a read of the members is due."""
STORE = "store"
"""Source of a configuration that this process has read from the store."""
PUBLISH_STAGGER_S = 0.1
"""Delay of each further publisher, so that it sends only what is lacking."""
MAX_PUBLISHERS = 3
"""Processes in the order of readers that publish a configuration to all.

The others pass it on by gossip, so that the messages grow with the fleet and
not with its square.
"""


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
        change_callbacks: Called after endpoints, members or evacuations
            changed.
        configuration_callbacks: Called after a configuration was adopted.
        operator_callbacks: Called with each change of another operator key.
        exchange: Exchanges views with peers.
        operator_watch: Follows the operator's keys.
        evacuations: Keeps the evacuated data centres up to date.
        next_poll_s: Monotonic time before which the entries are not read
            again, after a failed read.
        next_members_poll_s: Monotonic time before which the members are not
            read again.
        renewed_recovery_s: The view's `store_recovered_s` after which the own
            entry was last renewed.
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
        layout: store_layout.Layout,
        peers: peer.Client,
        clock: timer.Timer,
        task_group: isolation.TaskStarter,
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
        self.evacuations = follower.Follower(
            view, layout.evacuations_prefix, STORE, self._on_evacuations
        )
        self.exchange = view_exchange.Exchange(
            self.own_member.name,
            self._seed_addresses,
            view,
            view_exchange.Adoption(
                self.adopt_configuration,
                self._adopt_confirmation,
                self._adopt_entries,
                self._adopt_members,
                self.evacuations.on_update,
            ),
            peers,
            clock,
        )
        self.operator_watch = operator_watch.OperatorWatch(
            direct_store,
            layout.operator_prefix,
            self._apply_operator_change,
            is_needed=self._needs_own_watch,
            on_reachability=self._record_reachability,
            on_current=self._confirm_configuration,
            on_listing=self.evacuations.on_listing,
            wait_for_store=self._wait_for_store,
        )
        self.next_poll_s = 0.0
        self.next_members_poll_s = 0.0
        self.renewed_recovery_s = fleetview.NEVER_S
        self.failed_polls = 0
        self.is_store_reachable: bool | None = None

    def start(self, server: peer.Server) -> None:
        """Registers the peer methods and starts the periodic work."""
        self.exchange.start(server)
        self.clock.subscribe("entries", POLL_CHECK_PERIOD_S, self._poll_entries)
        self.clock.subscribe(
            "members", MEMBERS_CHECK_PERIOD_S, self._poll_members
        )
        self.registration.start(self.clock, self.task_group)
        self.task_group.start_soon(
            isolation.keep_running, "operator_watch", self.operator_watch.run
        )
        self.task_group.start_soon(self._poll_members, 0.0)
        self.task_group.start_soon(self.exchange.gossip, 0.0)

    def other_members(self) -> list[fleetview.Member]:
        """Returns the other processes of the fleet."""
        return [
            m
            for m in self.view.members.values()
            if m.name != self.own_member.name
        ]

    def hears_from_others(self, now: float) -> bool:
        """Returns whether this process's view is kept up to date."""
        return now - self.view.endpoints_read_s <= OUT_OF_TOUCH_S

    def _seed_addresses(self) -> list[str]:
        """Returns the seeds of the settings without this process."""
        own_address = self.process.peer_address
        return [a for a in self.process.seeds if a != own_address]

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

    def _probe_pause_s(self, first_pause_s: float) -> float:
        """Returns the seconds until a failed read is repeated."""
        name = self.own_member.name
        position = fleetview.reader_position(self.view, name)
        return probing.pause_s(position, first_pause_s)

    async def _wait_for_store(self, first_pause_s: float) -> None:
        """Waits before the operator's keys are read again after a failure.

        It ends early, but not before `first_pause_s`, when the entries were
        read here or by a peer.
        """
        started_s = self.clock.now()
        await anyio.sleep(first_pause_s)
        late_s = self._probe_pause_s(first_pause_s) - first_pause_s
        for _ in range(int(late_s / STORE_CHECK_PERIOD_S)):
            if self.view.endpoints_read_s > started_s:
                return
            await anyio.sleep(STORE_CHECK_PERIOD_S)

    # Endpoints ------------------------------------------------------------

    async def _poll_entries(self, now: float) -> None:
        """Timer callback: reads and publishes the entries when they are due."""
        due_s = fleetview.poll_due_s(self.view, self.own_member.name)
        if now < max(due_s, self.next_poll_s):
            return
        try:
            await self.read_entries()
        except errors.KeyValueError as error:
            self._record_reachability(False, error.message)
            self.operator_watch.distrust()
            self.failed_polls += 1
            pause_s = min(MAX_RETRY_PAUSE_S, RETRY_PAUSE_S * self.failed_polls)
            self.next_poll_s = self.clock.now() + self._probe_pause_s(pause_s)
            return
        self.failed_polls = 0
        # The next read does not wait for members that do not answer.
        self.task_group.start_soon(self.exchange.publish)

    async def read_entries(self) -> None:
        """Reads the entries from the store and adopts them.

        Raises:
            KeyValueError: The store did not answer.
        """
        started_s = self.clock.now()
        listing = await self.direct_store.list_prefix(
            self.layout.endpoints_prefix
        )
        self._record_reachability(True)
        age_s = self.clock.now() - started_s
        self._confirm_configuration(age_s)
        self._adopt_entries(listing.revision, age_s, listing.pairs)

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
        if adopted:
            self._observe_warm_ups()
        if adopted and self.view.endpoints != before:
            _view_log.endpoint_changes(
                before, self.view.endpoints, revision, age_s
            )
            self._run_callbacks(self.change_callbacks)

    def _observe_warm_ups(self) -> None:
        """Records which endpoints are cold; logs those that do not say so."""
        for endpoint in fleetview.observe_warm_ups(
            self.view, self.clock.now(), time.time()
        ):
            logs.event(
                "cold_time_unreadable",
                level="warning",
                endpoint=endpoint.name,
                born_ms=endpoint.born_ms,
            )

    def _run_callbacks(self, callbacks: list[Callable[[], None]]) -> None:
        for callback in callbacks:
            callback()

    # Members --------------------------------------------------------------

    async def _poll_members(self, _now: float) -> None:
        """Timer callback: reads and publishes the members when they are due.

        A stale answer is acceptable except for the first read. The entries'
        next update carries the members to the others.
        """
        now = self.clock.now()
        self._renew_after_outage()
        if now < max(
            fleetview.members_poll_due_s(self.view, self.own_member.name),
            self.next_members_poll_s,
        ):
            return
        if self._awaits_entries(now):
            return
        # The read is not repeated at once when it fails.
        self.next_members_poll_s = now + fleetview.MEMBERS_POLL_PERIOD_S
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
        fleetview.record_members_read(self.view, self.clock.now())
        self._adopt_members(listing.revision, members, age_s=0.0)

    def _awaits_entries(self, now: float) -> bool:
        """Returns whether the store is away, so that the entries come first.

        After a failed read of the entries, the members are not read until some
        process has read the entries.
        """
        age_s = now - self.view.endpoints_read_s
        is_old = age_s > fleetview.OUTAGE_THRESHOLD_S
        return is_old and self.failed_polls > 0 and bool(self.view.members)

    def _renew_after_outage(self) -> None:
        """Renews the own entry when the store is back, if it may have lapsed.

        The others retain it only for a while.
        """
        if self.view.store_recovered_s <= self.renewed_recovery_s:
            return
        self.renewed_recovery_s = self.view.store_recovered_s
        if not self.registration.is_certain():
            self.task_group.start_soon(self.registration.renew, 0.0)

    def _adopt_members(
        self, revision: int, members: list[fleetview.Member], age_s: float
    ) -> None:
        """Adopts a listing of the members; logs and reports changes."""
        if self.registration.is_missing_in(revision, members):
            self.task_group.start_soon(self.registration.repair)
        before = self.view.members
        if not fleetview.adopt_members(
            self.view,
            self.clock.now(),
            revision=revision,
            members=members,
            age_s=age_s,
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

    def adopt_configuration(
        self, revision: int, encoded: bytes, source: str
    ) -> None:
        """Adopts a configuration if it is newer, and publishes it to peers.

        Args:
            revision: The store's revision of the write.
            encoded: The configuration as the operator wrote it.
            source: `STORE` or the name of the peer that sent it.
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
        is_first = self.view.configuration is None
        if fleetview.adopt_configuration(self.view, revision, encoded, decoded):
            logs.event(
                "configuration_adopted",
                version=decoded.version,
                revision=revision,
                source=source,
            )
            self._observe_warm_ups()
            self._run_callbacks(self.configuration_callbacks)
            if self._is_publisher() or (source == STORE and not is_first):
                self.task_group.start_soon(self._publish_in_turn)

    async def _publish_in_turn(self) -> None:
        """Publishes the configuration after the publishers before this one.

        They would all send it to each process that has not received the
        first one's copy yet.
        """
        position = fleetview.reader_position(self.view, self.own_member.name)
        await anyio.sleep(PUBLISH_STAGGER_S * min(position, MAX_PUBLISHERS))
        await self.exchange.publish()

    def _is_publisher(self) -> bool:
        """Returns whether this process sends each new configuration to all.

        Any other one that has a change from the store follows the operator's
        keys because it hears from no worker, and sends it to all as well.
        """
        name = self.own_member.name
        return fleetview.reader_position(self.view, name) < MAX_PUBLISHERS

    def _needs_own_watch(self) -> bool:
        """Returns whether this process must follow the operator's keys itself.

        A gateway does so only while it hears from no process that follows
        them and comes before it.
        """
        if self.process.kind == deployment.WORKER:
            return True
        if self.view.configuration is None:
            return True
        if self.view.configuration_follower == self.own_member.name:
            return True
        return self._is_confirmation_overdue()

    def _is_confirmation_overdue(self) -> bool:
        """Returns whether nobody has confirmed the configuration for long."""
        due_s = fleetview.follow_due_s(self.view, self.own_member.name)
        return self.clock.now() >= due_s

    def _comes_before(self, follower: str) -> bool:
        """Returns whether a process follows the operator's keys first."""
        return fleetview.is_ahead(self.view, follower, self.own_member.name)

    def _confirm_configuration(self, age_s: float) -> None:
        """Records that the configuration was the newest one.

        Called after each answer of the store: while the operator's keys are
        followed, a newer configuration would have arrived. A process that
        hears from one that comes before it does not put itself forward.

        Args:
            age_s: Seconds since the store answered.
        """
        if not self.operator_watch.is_following:
            return
        if (
            self._comes_before(self.view.configuration_follower)
            and not self._is_confirmation_overdue()
        ):
            return
        fleetview.confirm_configuration(
            self.view,
            self.clock.now(),
            revision=self.view.configuration_revision,
            age_s=age_s,
            follower=self.own_member.name,
        )

    def _adopt_confirmation(
        self, revision: int, age_s: float, follower: str
    ) -> None:
        """Adopts what a peer says of the age of the configuration.

        A process that follows the operator's keys goes on until one that
        comes before it does.
        """
        if self.operator_watch.is_following and not self._comes_before(
            follower
        ):
            return
        fleetview.confirm_configuration(
            self.view,
            self.clock.now(),
            revision=revision,
            age_s=age_s,
            follower=follower,
        )

    def _apply_operator_change(self, change: pairs.Change) -> None:
        """Adopts a new configuration or evacuation.

        Other changes are passed to callbacks.
        """
        if self.evacuations.on_change(change):
            return
        if change.key != self.layout.configuration_key:
            for callback in self.operator_callbacks:
                callback(change)
        elif change.value is not None:
            self.adopt_configuration(change.revision, change.value, STORE)

    def _on_evacuations(self, source: str) -> None:
        """Reports changed evacuations, and publishes them to peers."""
        self._run_callbacks(self.change_callbacks)
        if self._is_publisher() or source == STORE:
            self.task_group.start_soon(self.exchange.publish)
