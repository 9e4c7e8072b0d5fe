"""Opens connections to endpoints, directly or through another process.

An endpoint that this process does not reach may be down, or the path to it may
be lost. Another process that tries the same tells one from the other, and
serves as the way around a lost path.
"""

from collections.abc import Callable
import dataclasses
import random

import anyio
from anyio import abc
from anyio import lowlevel

from ibisknot import endpoint_paths
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import http11
from ibisknot import http_call
from ibisknot import isolation
from ibisknot import logs
from ibisknot import peer
from ibisknot import regions
from ibisknot import timer
from ibisknot import tunnel
from ibisknot import tunnel_helpers
from ibisknot.gen.fleet import ttypes

CONNECT_TIMEOUT_S = 0.25
TUNNEL_DELAY_S = 0.1
"""Time for which a direct connection is awaited before a helper is asked."""
TUNNEL_TIMEOUT_S = 0.5
HELPER_STAGGER_S = 0.06
"""Time for which one helper is awaited before the next one is asked."""
MAX_HELPERS = 4
"""Helpers that are asked for one connection."""
CHECK_PAUSE_S = 0.5
"""Pause between checks of one path."""


@dataclasses.dataclass(slots=True)
class _Race:
    """Attempts at one connection that run at the same time.

    Attributes:
        scope: Cancelled when one of them has succeeded.
        started_s: Monotonic time of the start.
        winner: The first connection.
        direct_error: Why the direct attempt failed.
        direct_failed: Set when the direct attempt has failed.
        is_confirmed: Whether a helper with links does not reach the endpoint.
    """

    scope: anyio.CancelScope
    started_s: float
    winner: http_call.Connection | None = None
    direct_error: errors.EndpointError | None = None
    direct_failed: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    is_confirmed: bool = False


async def _offer(
    race: _Race, stream: abc.ByteStream, *, is_direct: bool
) -> bool:
    """Makes a connection the winner, or closes it if there is one already."""
    if race.winner is not None:
        await http11.close_abruptly(stream)
        return False
    race.winner = http_call.Connection(stream, is_direct)
    race.scope.cancel()
    return True


class Connector:
    """Opens the connections of one process to endpoints.

    Attributes:
        view: Has the endpoints and the other processes.
        own_name: Name of this process's VM.
        data_centre: Name of its data centre.
        paths: The direct paths.
        helpers: What is known of the other processes as helpers.
        loss_callbacks: Called with the endpoint's address when a path is
            lost.
        checks: Set when the running check of a path has ended, by address.
        checked_s: Monotonic time of the last check of a path, by address.
    """

    def __init__(
        self,
        view: fleetview.View,
        own_name: str,
        data_centre: str,
        peers: peer.Client,
        clock: timer.Timer,
        task_group: isolation.TaskStarter,
        *,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> None:
        self.view = view
        self.own_name = own_name
        self.data_centre = data_centre
        self.peers = peers
        self.clock = clock
        self.task_group = task_group
        self.connect_timeout_s = connect_timeout_s
        self.rng = random.Random()
        self.paths = endpoint_paths.Paths()
        self.helpers = tunnel_helpers.Helpers()
        self.loss_callbacks: list[Callable[[str], None]] = []
        self.checks: dict[str, anyio.Event] = {}
        self.checked_s: dict[str, float] = {}

    def http_paths(self) -> http_call.Paths:
        """Returns what an HTTP client for endpoints needs of this object."""
        return http_call.Paths(
            connect=self.connect,
            check_soon=self.check_soon,
            is_lost=self.is_path_lost,
            is_known_lost=lambda a: endpoint_paths.is_lost(self.paths, a),
            record_received=self._record_received,
            is_silent=lambda s: self.clock.now() - self.paths.received_s >= s,
        )

    def _record_received(self) -> None:
        self.paths.received_s = self.clock.now()

    async def connect(
        self,
        address: str,
        max_s: float | None,
        allowed: regions.Allowed = None,
    ) -> http_call.Connection:
        """Opens a connection to an endpoint.

        Args:
            address: Address of the endpoint, `host:port`.
            max_s: Seconds after which a tunnel may end.
            allowed: Regions of the processes that may open one.

        Raises:
            PathLostError: Neither this process nor a helper has a path.
            EndpointError: The endpoint is not reachable.
        """
        if not endpoint_paths.is_lost(self.paths, address):
            return await self._connect_by_race(address, max_s, allowed)
        if endpoint_paths.takes_probe(self.paths, self.clock.now()):
            self.task_group.start_soon(self._probe, address)
        race = _Race(anyio.CancelScope(), self.clock.now())
        stream = await self._open_tunnel(address, max_s, race, allowed)
        if stream is not None:
            return http_call.Connection(stream, is_direct=False)
        raise self._failure(address, race)

    async def connect_directly(self, address: str) -> abc.SocketStream:
        """Opens a connection to an endpoint without a tunnel.

        Raises:
            EndpointError: The endpoint was not reached.
        """
        stream = await http11.connect(address, self.connect_timeout_s)
        if endpoint_paths.record_connected(
            self.paths, address, self.clock.now()
        ):
            logs.event("endpoint_path_regained", endpoint=address)
        return stream

    async def _probe(self, address: str) -> None:
        """Tries a lost path."""
        try:
            stream = await self.connect_directly(address)
        except errors.EndpointError:
            return
        await http11.close_abruptly(stream)

    # Races ------------------------------------------------------------------

    async def _connect_by_race(
        self, address: str, max_s: float | None, allowed: regions.Allowed
    ) -> http_call.Connection:
        async with anyio.create_task_group() as task_group:
            race = _Race(task_group.cancel_scope, self.clock.now())
            task_group.start_soon(self._race_directly, address, race)
            task_group.start_soon(
                self._race_by_tunnel, address, max_s, race, allowed
            )
        if race.winner is not None:
            return race.winner
        raise self._failure(address, race)

    async def _race_directly(self, address: str, race: _Race) -> None:
        try:
            stream = await self.connect_directly(address)
        except errors.EndpointError as error:
            race.direct_error = error
            race.direct_failed.set()
            return
        await _offer(race, stream, is_direct=True)

    async def _race_by_tunnel(
        self,
        address: str,
        max_s: float | None,
        race: _Race,
        allowed: regions.Allowed,
    ) -> None:
        """Opens a tunnel if the direct attempt fails or takes long."""
        with anyio.move_on_after(TUNNEL_DELAY_S):
            await race.direct_failed.wait()
        if self._has_connected_since(race.started_s):
            return
        stream = await self._open_tunnel(address, max_s, race, allowed)
        if stream is None:
            return
        if race.direct_error is not None:
            self._record_lost(address)
        elif race.winner is None:
            self.check_soon(address)
        await _offer(race, stream, is_direct=False)

    def _has_connected_since(self, started_s: float) -> bool:
        """Returns whether this process has reached other endpoints since."""
        return self.paths.connected_s > started_s

    def _failure(self, address: str, race: _Race) -> errors.EndpointError:
        """Returns why a connection was not opened.

        The endpoint is to blame if a helper does not reach it either, or if
        this process has reached others meanwhile.
        """
        error = race.direct_error
        if error is None:
            error = errors.EndpointError(
                f"no tunnel to {address}", ran=errors.NOT_RUN
            )
        is_down = race.is_confirmed or self._has_connected_since(race.started_s)
        if is_down or not self._other_members():
            return error
        return errors.PathLostError(error.message, ran=errors.NOT_RUN)

    # Tunnels ----------------------------------------------------------------

    def _other_members(self) -> list[fleetview.Member]:
        return [
            m for m in self.view.members.values() if m.name != self.own_name
        ]

    def _helpers_for(
        self, address: str, allowed: regions.Allowed
    ) -> list[fleetview.Member]:
        near = {
            e.data_centre
            for e in self.view.endpoints.values()
            if e.address == address
        }
        ordered = tunnel_helpers.in_order(
            self.helpers,
            [
                m
                for m in self._other_members()
                if regions.serves(self.view, m.data_centre, allowed)
            ],
            self.clock.now(),
            near=frozenset(near | {self.data_centre}),
            rng=self.rng,
        )
        return ordered[:MAX_HELPERS]

    async def _open_tunnel(
        self,
        address: str,
        max_s: float | None,
        race: _Race,
        allowed: regions.Allowed = None,
    ) -> abc.ByteStream | None:
        """Opens a tunnel through the first helper that can.

        Returns:
            The tunnel, or None; `race.is_confirmed` says whether a helper
            with links does not reach the endpoint.
        """
        members = self._helpers_for(address, allowed)
        failed = [anyio.Event() for _ in members]
        inner = _Race(anyio.CancelScope(), race.started_s)

        async def ask(task_group: isolation.TaskStarter, index: int) -> None:
            if index + 1 < len(members):
                task_group.start_soon(ask_next, task_group, index + 1)
            if not await self._ask_helper(
                members[index], address, max_s, inner
            ):
                failed[index].set()

        async def ask_next(
            task_group: isolation.TaskStarter, index: int
        ) -> None:
            with anyio.move_on_after(HELPER_STAGGER_S):
                await failed[index - 1].wait()
            await ask(task_group, index)

        try:
            async with anyio.create_task_group() as task_group:
                inner.scope = task_group.cancel_scope
                if members:
                    task_group.start_soon(ask, task_group, 0)
            await lowlevel.checkpoint_if_cancelled()
        except BaseException:
            if inner.winner is not None:
                await http11.close_abruptly(inner.winner.stream)
            raise
        race.is_confirmed = race.is_confirmed or inner.is_confirmed
        return None if inner.winner is None else inner.winner.stream

    async def _ask_helper(
        self,
        member: fleetview.Member,
        address: str,
        max_s: float | None,
        race: _Race,
    ) -> bool:
        """Asks one helper; returns whether no other one is to be asked."""
        try:
            with anyio.fail_after(TUNNEL_TIMEOUT_S):
                state, stream = await tunnel.connect(
                    self.peers, member.address, address, max_s=max_s
                )
        except (TimeoutError, errors.IbisknotError):
            tunnel_helpers.record_unfit(
                self.helpers, member.name, self.clock.now()
            )
            return False
        if stream is not None:
            tunnel_helpers.record_fit(self.helpers, member.name)
            logs.event("tunnel_opened", endpoint=address, helper=member.name)
            return await _offer(race, stream, is_direct=False)
        if state == ttypes.TunnelState.UNREACHABLE:
            tunnel_helpers.record_fit(self.helpers, member.name)
            race.is_confirmed = True
            race.scope.cancel()
            return True
        tunnel_helpers.record_unfit(self.helpers, member.name, self.clock.now())
        return False

    # Checks -----------------------------------------------------------------

    def _record_lost(self, address: str) -> None:
        if not endpoint_paths.record_lost(
            self.paths, address, self.clock.now()
        ):
            return
        logs.event(
            "endpoint_path_lost",
            level="warning",
            endpoint=address,
            is_cut_off=endpoint_paths.is_cut_off(self.paths),
        )
        for callback in self.loss_callbacks:
            callback(address)

    def check_soon(self, address: str) -> None:
        """Starts a check of a path, unless it was checked a moment ago."""
        now = self.clock.now()
        if now - self.checked_s.get(address, -1e9) >= CHECK_PAUSE_S:
            self.checked_s[address] = now
            self.task_group.start_soon(self.is_path_lost, address)

    async def is_path_lost(self, address: str) -> bool:
        """Returns whether another process reaches an endpoint unlike this one.

        One check of a path runs at a time.
        """
        running = self.checks.get(address)
        if running is not None:
            await running.wait()
        elif not endpoint_paths.is_lost(self.paths, address):
            self.checks[address] = anyio.Event()
            try:
                await self._check(address)
            finally:
                self.checks.pop(address).set()
        return endpoint_paths.is_lost(self.paths, address)

    async def _check(self, address: str) -> None:
        """Tries a path, and a tunnel if that fails."""
        self.checked_s[address] = self.clock.now()
        try:
            stream = await self.connect_directly(address)
        except errors.EndpointError:
            pass
        else:
            await http11.close_abruptly(stream)
            return
        race = _Race(anyio.CancelScope(), self.clock.now())
        tunnelled = await self._open_tunnel(address, None, race)
        if tunnelled is not None:
            self._record_lost(address)
            await http11.close_abruptly(tunnelled)
