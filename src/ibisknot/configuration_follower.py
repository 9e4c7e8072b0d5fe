"""Keeps a process's configuration current, from the service and from peers.

The VMs of lowest rank (`configuration_tree`) watch the key-value service. They
also read the head record periodically, because a watch on a half-open
connection reports no failure. Every VM requests newer versions from a parent
and a random peer, and forwards each new version to its children. The batch
process sends its requests to the entry of its own VM.
"""

import random
from typing import Any

import anyio
from anyio import abc
import msgspec

from ibisknot import configuration
from ibisknot import configuration_records
from ibisknot import configuration_tree
from ibisknot import distribution
from ibisknot import errors
from ibisknot import freshness
from ibisknot import keyvalue
from ibisknot import logs
from ibisknot import peer
from ibisknot import program
from ibisknot import sections
from ibisknot import vmlist
from ibisknot.gen.config import ttypes

TICK_PERIOD_S = 0.25
TICKS_PER_REQUEST = 2
"""Ticks between requests to peers while the service confirms versions."""
OUTAGE_PEER_COUNT = 3
"""Random peers to request from at each tick during an outage."""
PEER_TIMEOUT_S = 1.0
WATCH_RETRY_PAUSE_S = 0.5


class Follower:
    """Exchanges the messages that keep a local configuration current.

    Attributes:
        local: The configuration in force.
        key_value: Client of the key-value service.
        peers: Client of other VMs' processes.
        vms: The platform's list of VMs.
        task_group: Runs requests, reads and the watch.
        entry_port: Peer port of the entries.
        active_vms: Returns the active VMs, from which ranks are computed.
            VMs may have different views of them.
        rng: Chooses random peers.
        read_lock: Held during a read from the key-value service.
        pending_peers: Names of the VMs with a request in flight.
        tick_count: Timer ticks so far.
        next_read_s: Monotonic time of the next direct read in an outage.
        watch_scope: Cancels the running watch; None if there is none.
    """

    def __init__(
        self,
        local: distribution.LocalConfiguration,
        *,
        key_value: keyvalue.KeyValue,
        peers: peer.Client,
        vms: vmlist.VmList,
        task_group: abc.TaskGroup,
        entry_port: int,
    ) -> None:
        self.local = local
        self.key_value = key_value
        self.peers = peers
        self.vms = vms
        self.task_group = task_group
        self.entry_port = entry_port
        self.active_vms = vms.active_vms
        self.rng = random.Random(local.vm_name)
        self.read_lock = anyio.Lock()
        self.pending_peers: set[str] = set()
        self.tick_count = 0
        self.next_read_s = 0.0
        self.watch_scope: anyio.CancelScope | None = None

    def ranked_vms(self) -> list[str]:
        """Returns the names of the active VMs in order of rank."""
        return configuration_tree.rank_vms(
            [vm.name for vm in self.active_vms()]
        )

    def is_watcher(self) -> bool:
        """Returns whether this VM watches the key-value service."""
        return configuration_tree.is_watcher(
            self.ranked_vms(), self.local.vm_name
        )

    async def read_latest(self) -> None:
        """Reads the current configuration from the key-value service.

        Raises:
            KeyValueError: The service did not answer.
        """
        async with self.read_lock:
            requested_s = anyio.current_time()
            state, records = await configuration_records.read_newer(
                self.key_value, self.local.state
            )
            changes = [msgspec.json.encode(r.changes) for r in records]
            self.local.adopt(state, changes)
            self.local.record_confirmation(requested_s)

    async def commit(
        self,
        before: sections.State,
        wanted: configuration.Configuration,
        **details: Any,
    ) -> None:
        """Writes the configuration that follows a state, and puts it in force.

        Args:
            before: The state that the change is based on.
            wanted: The configuration to write.
            **details: Further arguments of `configuration_records.write`.

        Raises:
            ConflictError: Another change came first.
            KeyValueUnknownError: The outcome could not be read back in time.
            KeyValueError: The service did not accept the call.
        """
        after, record = await configuration_records.write(
            self.key_value, before, wanted, **details
        )
        self.local.adopt(after, [msgspec.json.encode(record.changes)])

    def is_confirmation_overdue(self, now: float) -> bool:
        """Returns whether the last confirmation is old enough for an outage.

        The limit is `freshness.outage_after_s`.
        """
        depth = configuration_tree.depth(self.ranked_vms(), self.local.vm_name)
        max_age_s = freshness.outage_after_s(depth)
        return now - self.local.confirmed_s > max_age_s

    async def request_newer(self, name: str, address: str) -> bool:
        """Requests newer versions from a peer.

        Args:
            name: Name of the VM.
            address: `host:port` of the process.

        Returns:
            Whether the peer answered; False also while an earlier request to
            it is in flight.
        """
        if name in self.pending_peers:
            return False
        self.pending_peers.add(name)
        try:
            await self._exchange(address)
        except errors.IbisknotError:
            return False
        finally:
            self.pending_peers.discard(name)
        return True

    async def _exchange(self, address: str) -> None:
        """Requests a delta, again with section digests if the peer needs them.

        Raises:
            IbisknotError: The peer did not answer.
        """
        requested_s = anyio.current_time()
        is_overdue = self.is_confirmation_overdue(requested_s)
        delta = await self._request_delta(
            address, self.local.build_digest(wants_reports=is_overdue)
        )
        if not self.local.apply_delta(delta):
            digest = self.local.build_digest(
                wants_reports=is_overdue, with_digests=True
            )
            requested_s = anyio.current_time()
            delta = await self._request_delta(address, digest)
            self.local.apply_delta(delta)
        self.local.merge_evidence(delta, requested_s)

    async def _request_delta(self, address: str, digest: Any) -> Any:
        return await self.peers.call(
            address,
            "config_digest",
            digest,
            ttypes.ConfigDelta,
            timeout_s=PEER_TIMEOUT_S,
        )

    def _address(self, vm: vmlist.ListedVm) -> str:
        return f"{vm.address}:{self.entry_port}"

    def _start_requests(self, names: list[str]) -> None:
        """Starts a request to each listed VM of these, except this one."""
        for name in names:
            vm = self.vms.by_name.get(name)
            if vm is not None and name != self.local.vm_name:
                self.task_group.start_soon(
                    self.request_newer, name, self._address(vm)
                )

    async def tick(self, now: float) -> None:
        """Timer callback: requests from peers and reads from the service.

        Watchers read from the service regularly, other VMs only in an outage.
        """
        self.tick_count += 1
        is_overdue = self.is_confirmation_overdue(now)
        is_confirmed = not is_overdue and self.local.state.head.version > 0
        if is_confirmed and self.tick_count % TICKS_PER_REQUEST:
            return
        ranked_vms = self.ranked_vms()
        parents = configuration_tree.parents(ranked_vms, self.local.vm_name)
        round_index = self.tick_count // TICKS_PER_REQUEST
        names = [parents[round_index % len(parents)]] if parents else []
        others = [name for name in ranked_vms if name != self.local.vm_name]
        count = min(len(others), 1 if is_confirmed else OUTAGE_PEER_COUNT)
        names.extend(self.rng.sample(others, count))
        self._start_requests(names)
        is_watcher = configuration_tree.is_watcher(
            ranked_vms, self.local.vm_name
        )
        self._update_watch(is_watcher)
        if is_watcher or (is_overdue and now >= self.next_read_s):
            self.task_group.start_soon(
                self._read_direct, len(ranked_vms), is_watcher
            )

    async def _read_direct(self, vm_count: int, is_watcher: bool) -> None:
        """Reads from the service and sets the time of the next direct read."""
        if self.read_lock.locked():
            return
        is_answered = False
        self.next_read_s = anyio.current_time() + freshness.OUTAGE_AFTER_S
        try:
            await self.read_latest()
            is_answered = True
        except errors.KeyValueError as error:
            if is_watcher:
                logs.event(
                    "configuration_read_failed",
                    level="warning",
                    error=error.message,
                )
        pause_s = freshness.read_pause_s(vm_count, is_answered=is_answered)
        self.next_read_s = anyio.current_time() + pause_s

    def _update_watch(self, is_watcher: bool) -> None:
        """Starts or cancels the watch of the key-value service."""
        if is_watcher and self.watch_scope is None:
            self.watch_scope = anyio.CancelScope()
            self.task_group.start_soon(self._watch, self.watch_scope)
        elif not is_watcher and self.watch_scope is not None:
            self.watch_scope.cancel()
            self.watch_scope = None

    async def _watch(self, scope: anyio.CancelScope) -> None:
        """Reads the configuration at each change of the head record."""
        with scope:
            while True:
                try:
                    async for _ in self.key_value.watch(
                        configuration_records.HEAD_KEY
                    ):
                        await self.read_latest()
                except errors.KeyValueError as error:
                    logs.event(
                        "configuration_watch_failed",
                        level="warning",
                        error=error.message,
                    )
                await anyio.sleep(WATCH_RETRY_PAUSE_S)

    async def forward_versions(self) -> None:
        """Sends each new version to this VM's children until cancelled."""
        while True:
            changed = self.local.changed
            if self.local.state.head.version > 0:
                self._push_to_children()
            await changed.wait()

    def _push_to_children(self) -> None:
        """Starts to send the newest version to each child of this VM."""
        delta = self.local.build_push()
        for name in configuration_tree.children(
            self.ranked_vms(), self.local.vm_name
        ):
            vm = self.vms.by_name.get(name)
            if vm is not None:
                self.task_group.start_soon(
                    self._push_to, self._address(vm), delta
                )

    async def _push_to(self, address: str, delta: Any) -> None:
        try:
            await self.peers.call(
                address, "config_push", delta, timeout_s=PEER_TIMEOUT_S
            )
        except errors.IbisknotError:
            # The peer requests newer versions periodically, so a lost push
            # only delays the version.
            pass

    async def on_digest(self, digest: Any) -> Any:
        """Peer method: answers a digest with a delta."""
        if digest.version > self.local.state.head.version:
            self._start_requests([digest.vm])
        return self.local.build_delta(digest, anyio.current_time())

    async def on_push(self, delta: Any) -> None:
        """Peer method: puts a pushed version in force."""
        if not self.local.apply_delta(delta):
            self._start_requests([delta.vm])


def _make_follower(
    daemon: program.Daemon, local: distribution.LocalConfiguration
) -> Follower:
    return Follower(
        local,
        key_value=daemon.key_value,
        peers=daemon.peers,
        vms=daemon.vm_list,
        task_group=daemon.task_group,
        entry_port=daemon.program_settings.entry_port,
    )


def start_entry(
    daemon: program.Daemon, local: distribution.LocalConfiguration
) -> Follower:
    """Starts the follower of an entry, and registers its peer methods."""
    follower = _make_follower(daemon, local)
    daemon.server.on("config_digest", ttypes.ConfigDigest, follower.on_digest)
    daemon.server.on("config_push", ttypes.ConfigDelta, follower.on_push)
    daemon.clock.subscribe("configuration", TICK_PERIOD_S, follower.tick)
    daemon.task_group.start_soon(follower.forward_versions)
    return follower


def start_batch(
    daemon: program.Daemon, local: distribution.LocalConfiguration
) -> Follower:
    """Starts the follower of a batch process.

    It sends its requests to its own VM's entry, and to a random one if that
    does not answer.
    """
    follower = _make_follower(daemon, local)
    port = daemon.program_settings.entry_port
    own_entry = f"{daemon.program_settings.vm.address}:{port}"

    async def request_newer(_now: float) -> None:
        if await follower.request_newer(local.vm_name, own_entry):
            return
        active_vms = daemon.vm_list.active_vms()
        if active_vms:
            other = follower.rng.choice(active_vms)
            await follower.request_newer(other.name, f"{other.address}:{port}")

    daemon.clock.subscribe(
        "configuration", TICK_PERIOD_S * TICKS_PER_REQUEST, request_newer
    )
    return follower
