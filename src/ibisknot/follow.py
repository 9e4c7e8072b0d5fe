"""Keeps a process's configuration current, from the service and from peers.

The VMs of lowest rank (`spread`) watch the key-value service and also read the
head record periodically, because a watch on a half-open connection is silent.
Every VM asks a parent and a random peer for what is newer, and passes each new
version on to its children. The batch process asks its own VM's entry.
"""

import random
from typing import Any

import anyio
from anyio import abc
import msgspec

from ibisknot import commit
from ibisknot import configuration
from ibisknot import distribution
from ibisknot import errors
from ibisknot import freshness
from ibisknot import groups
from ibisknot import keyvalue
from ibisknot import logs
from ibisknot import peer
from ibisknot import program
from ibisknot import spread
from ibisknot import vmlist
from ibisknot.gen.config import ttypes

TICK_S = 0.25
CALM_TICKS = 2
"""Ticks between questions to peers while the service confirms."""
OUTAGE_PEERS = 3
"""Random peers asked per tick while the service does not confirm."""
PEER_TIMEOUT_S = 1.0
WATCH_RETRY_S = 0.5


class Follower:
    """Moves the configuration's messages of an entry.

    Attributes:
        live: Returns the live VMs, a hint that ranks are taken from.
    """

    def __init__(
        self,
        source: distribution.Distribution,
        *,
        store: keyvalue.KeyValue,
        peers: peer.Client,
        vms: vmlist.VmList,
        group: abc.TaskGroup,
        entry_port: int,
    ) -> None:
        self.source = source
        self.store = store
        self.peers = peers
        self.vms = vms
        self.group = group
        self.entry_port = entry_port
        self.live = vms.active_vms
        self.random = random.Random(source.me)
        self.reading = anyio.Lock()
        self.asking: set[str] = set()
        self.ticks = 0
        self.next_direct_s = 0.0
        self.watch_scope: anyio.CancelScope | None = None

    def ranked(self) -> list[str]:
        """Returns the live VMs in order of rank."""
        return spread.ranking([vm.name for vm in self.live()])

    def watches(self) -> bool:
        """Returns whether this VM watches the key-value service."""
        return spread.is_watcher(self.ranked(), self.source.me)

    async def read(self) -> None:
        """Reads the current configuration from the key-value service.

        Raises:
            KeyValueError: The service did not answer.
        """
        async with self.reading:
            asked_s = anyio.current_time()
            state, records = await commit.read_newer(
                self.store, self.source.state
            )
            changes = [msgspec.json.encode(r.changes) for r in records]
            self.source.adopt(state, changes)
            self.source.confirm(asked_s)

    async def commit(
        self,
        before: groups.State,
        wanted: configuration.Configuration,
        **record: Any,
    ) -> None:
        """Writes a configuration that follows a state, and puts it in force.

        Args:
            before: The state that the change is based on.
            wanted: The configuration to write.
            **record: What `commit.write` records.

        Raises:
            ConflictError: Another change came first.
            KeyValueUnknownError: The outcome could not be read back.
            KeyValueError: The service did not take the call.
        """
        after, change = await commit.write(self.store, before, wanted, **record)
        self.source.adopt(after, [msgspec.json.encode(change.changes)])

    def sees_outage(self, now: float) -> bool:
        """Returns whether the service's confirmation is overdue."""
        depth = spread.depth(self.ranked(), self.source.me)
        limit_s = freshness.direct_after_s(depth)
        return now - self.source.service_s > limit_s

    async def ask(self, name: str, address: str) -> bool:
        """Asks a peer for what is newer; False when it did not answer."""
        if name in self.asking:
            return False
        self.asking.add(name)
        try:
            await self._ask(address)
        except errors.IbisknotError:
            return False
        finally:
            self.asking.discard(name)
        return True

    async def _ask(self, address: str) -> None:
        asked_s = anyio.current_time()
        outage = self.sees_outage(asked_s)
        delta = await self._call(address, self.source.ask(wants_heard=outage))
        if not self.source.take(delta):
            again = self.source.ask(wants_heard=outage, with_digests=True)
            asked_s = anyio.current_time()
            delta = await self._call(address, again)
            self.source.take(delta)
        self.source.take_evidence(delta, asked_s)

    async def _call(self, address: str, ask: Any) -> Any:
        return await self.peers.call(
            address,
            "config_digest",
            ask,
            ttypes.ConfigDelta,
            timeout_s=PEER_TIMEOUT_S,
        )

    def _address(self, vm: vmlist.ListedVm) -> str:
        return f"{vm.address}:{self.entry_port}"

    def _ask_soon(self, names: list[str]) -> None:
        for name in names:
            vm = self.vms.by_name.get(name)
            if vm is not None and name != self.source.me:
                self.group.start_soon(self.ask, name, self._address(vm))

    async def tick(self, now: float) -> None:
        """Timer callback: asks peers, and the service if it is our turn."""
        self.ticks += 1
        outage = self.sees_outage(now)
        calm = not outage and self.source.state.head.version > 0
        if calm and self.ticks % CALM_TICKS:
            return
        ranked = self.ranked()
        above = spread.parents(ranked, self.source.me)
        turn = self.ticks // CALM_TICKS
        wanted = [above[turn % len(above)]] if above else []
        others = [name for name in ranked if name != self.source.me]
        count = min(len(others), 1 if calm else OUTAGE_PEERS)
        wanted.extend(self.random.sample(others, count))
        self._ask_soon(wanted)
        watcher = spread.is_watcher(ranked, self.source.me)
        self._keep_watch(watcher)
        if watcher or (outage and now >= self.next_direct_s):
            self.group.start_soon(self._read_direct, len(ranked), watcher)

    async def _read_direct(self, vm_count: int, watcher: bool) -> None:
        if self.reading.locked():
            return
        answered = False
        self.next_direct_s = anyio.current_time() + freshness.DIRECT_AFTER_S
        try:
            await self.read()
            answered = True
        except errors.KeyValueError as error:
            if watcher:
                logs.event(
                    "configuration_read_failed",
                    level="warning",
                    error=error.message,
                )
        pause_s = freshness.direct_wait_s(vm_count, answered=answered)
        self.next_direct_s = anyio.current_time() + pause_s

    def _keep_watch(self, watcher: bool) -> None:
        if watcher and self.watch_scope is None:
            self.watch_scope = anyio.CancelScope()
            self.group.start_soon(self._watch, self.watch_scope)
        elif not watcher and self.watch_scope is not None:
            self.watch_scope.cancel()
            self.watch_scope = None

    async def _watch(self, scope: anyio.CancelScope) -> None:
        with scope:
            while True:
                try:
                    async for _ in self.store.watch(commit.HEAD):
                        await self.read()
                except errors.KeyValueError as error:
                    logs.event(
                        "configuration_watch_failed",
                        level="warning",
                        error=error.message,
                    )
                await anyio.sleep(WATCH_RETRY_S)

    async def pass_on(self) -> None:
        """Sends each new version to this VM's children until cancelled."""
        while True:
            changed = self.source.changed
            if self.source.state.head.version > 0:
                self._push()
            await changed.wait()

    def _push(self) -> None:
        delta = self.source.push()
        for name in spread.children(self.ranked(), self.source.me):
            vm = self.vms.by_name.get(name)
            if vm is not None:
                self.group.start_soon(self._push_to, self._address(vm), delta)

    async def _push_to(self, address: str, delta: Any) -> None:
        try:
            await self.peers.call(
                address, "config_push", delta, timeout_s=PEER_TIMEOUT_S
            )
        except errors.IbisknotError:
            # The peer asks periodically, so a lost push only costs time.
            pass

    async def on_digest(self, ask: Any) -> Any:
        """Peer method: answers with what is newer here."""
        if ask.version > self.source.state.head.version:
            self._ask_soon([ask.vm])
        return self.source.answer(ask, anyio.current_time())

    async def on_push(self, delta: Any) -> None:
        """Peer method: takes a new version."""
        if not self.source.take(delta):
            self._ask_soon([delta.vm])


def _follower(
    daemon: program.Daemon, source: distribution.Distribution
) -> Follower:
    return Follower(
        source,
        store=daemon.key_value,
        peers=daemon.peers,
        vms=daemon.vm_list,
        group=daemon.task_group,
        entry_port=daemon.program_settings.entry_port,
    )


def start_entry(
    daemon: program.Daemon, source: distribution.Distribution
) -> Follower:
    """Starts following in an entry, and answers its peers."""
    made = _follower(daemon, source)
    daemon.server.on("config_digest", ttypes.ConfigDigest, made.on_digest)
    daemon.server.on("config_push", ttypes.ConfigDelta, made.on_push)
    daemon.clock.subscribe("configuration", TICK_S, made.tick)
    daemon.task_group.start_soon(made.pass_on)
    return made


def start_batch(
    daemon: program.Daemon, source: distribution.Distribution
) -> Follower:
    """Starts following in a batch process, from its own VM's entry first."""
    made = _follower(daemon, source)
    port = daemon.program_settings.entry_port
    own = f"{daemon.program_settings.vm.address}:{port}"

    async def ask(_now: float) -> None:
        if await made.ask(source.me, own):
            return
        live = daemon.vm_list.active_vms()
        if live:
            other = made.random.choice(live)
            await made.ask(other.name, f"{other.address}:{port}")

    daemon.clock.subscribe("configuration", TICK_S * CALM_TICKS, ask)
    return made
