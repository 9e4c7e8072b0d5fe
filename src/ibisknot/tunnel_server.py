"""Connects to endpoints for processes that have lost their links to them."""

from collections.abc import Callable
import math
import random

import anyio
from anyio import abc

from ibisknot import endpoint_connector
from ibisknot import endpoint_paths
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import http11
from ibisknot import http_client
from ibisknot import metrics
from ibisknot import peer
from ibisknot import tunnel
from ibisknot.client_limits import budget
from ibisknot.gen.fleet import ttypes
from ibisknot.gen.peer import ttypes as peer_ttypes

MAX_TUNNELS = 256
TUNNEL_DIVISOR = 8
"""Tunnels may be one in this many of the usable descriptors."""
DRAIN_POLL_PERIOD_S = 0.05
RECENT_S = 1.0
"""Age up to which received data shows that this process has links."""

State = ttypes.TunnelState


class Server:
    """Serves the tunnels of other processes.

    Attributes:
        view: Has the endpoints, to which alone tunnels lead.
        connector: Connects directly, and knows whether this process is cut
            off itself.
        open_tunnels: Number of open tunnels.
        is_stopping: Returns whether no further tunnel is to be opened.
        max_tunnels: Largest number of open tunnels.
    """

    def __init__(
        self,
        view: fleetview.View,
        connector: endpoint_connector.Connector,
        is_stopping: Callable[[], bool],
        *,
        max_tunnels: int = MAX_TUNNELS,
    ) -> None:
        self.view = view
        self.connector = connector
        self.is_stopping = is_stopping
        self.max_tunnels = max_tunnels
        self.open_tunnels = 0
        self.rng = random.Random()

    def start(self, server: peer.Server) -> None:
        """Registers the peer method."""
        server.on_stream(tunnel.METHOD, self.serve)

    async def drain(self, end_s: float) -> None:
        """Waits until no tunnel is open, at most until a monotonic time."""
        clock = self.connector.clock
        while self.open_tunnels and clock.now() < end_s:
            await anyio.sleep(DRAIN_POLL_PERIOD_S)

    async def serve(
        self,
        stream: abc.ByteStream,
        received: bytearray,
        request: peer_ttypes.Envelope,
    ) -> None:
        """Peer method: connects to an endpoint and relays both directions.

        Raises:
            PeerError: The call is malformed.
        """
        message = tunnel.decode_open(request.payload)
        state, endpoint = await self._connect(message.endpoint)
        try:
            await _answer(stream, request, state)
            if endpoint is not None:
                metrics.TUNNELS.inc({})
                await self._relay(
                    tunnel.Stream(stream, received),
                    endpoint,
                    message.max_s,
                    lambda: self._may_send(message.endpoint),
                )
        finally:
            if endpoint is not None:
                self.open_tunnels -= 1
                await http11.close_abruptly(endpoint)

    async def _connect(
        self, address: str
    ) -> tuple[int, abc.SocketStream | None]:
        """Connects directly; counts the tunnel if that succeeds.

        It counts while it is being opened, too.
        """
        is_listed = any(
            e.address == address for e in self.view.endpoints.values()
        )
        if (
            not is_listed
            or self.is_stopping()
            or self.open_tunnels >= self.max_tunnels
        ):
            return State.REFUSED, None
        if endpoint_paths.is_cut_off(self.connector.paths):
            return State.CUT_OFF, None
        self.open_tunnels += 1
        endpoint = None
        try:
            endpoint = await self.connector.connect_directly(address)
        except errors.EndpointError:
            if await self._reaches_others(address):
                return State.UNREACHABLE, None
            return State.CUT_OFF, None
        finally:
            if endpoint is None:
                self.open_tunnels -= 1
        return State.OPENED, endpoint

    def _may_send(self, address: str) -> bool:
        """Returns whether a request may be sent to an endpoint.

        Tunnels to evacuated endpoints are opened all the same: their callers
        find out by them whether an endpoint is down.
        """
        return not any(
            fleetview.is_evacuated(self.view, endpoint)
            for endpoint in self.view.endpoints.values()
            if endpoint.address == address
        )

    async def _reaches_others(self, address: str) -> bool:
        """Returns whether this process reaches an endpoint besides one.

        Data from endpoints does not show it: connections that are open may
        outlive the links for new ones.
        """
        paths = self.connector.paths
        if self.connector.clock.now() - paths.connected_s <= RECENT_S:
            return True
        others = [
            e.address
            for e in self.view.endpoints.values()
            if e.address != address
        ]
        if not others:
            return True
        try:
            probe = await self.connector.connect_directly(
                self.rng.choice(others)
            )
        except errors.EndpointError:
            return False
        await http11.close_abruptly(probe)
        return True

    async def _relay(
        self,
        caller: tunnel.Stream,
        endpoint: abc.SocketStream,
        max_s: float | None,
        may_send: Callable[[], bool],
    ) -> None:
        """Relays until the endpoint or the caller has closed."""
        with anyio.move_on_after(math.inf if max_s is None else max_s):
            upload = _Upload(caller, endpoint)
            async with anyio.create_task_group() as task_group:
                task_group.start_soon(
                    upload.send, task_group.cancel_scope, may_send
                )
                await _send_down(endpoint, caller, upload)
                task_group.cancel_scope.cancel()


async def _answer(
    stream: abc.ByteStream, request: peer_ttypes.Envelope, state: int
) -> None:
    """Answers the call that opens a tunnel."""
    http11.set_socket_options(stream)
    response = peer_ttypes.Envelope(
        id=request.id,
        kind=peer_ttypes.Kind.RESPONSE,
        method=request.method,
        payload=peer.encode(ttypes.TunnelOpened(state=state)),
    )
    await peer.send_frame(stream, anyio.Lock(), response)


class _Upload:
    """The bytes that go from the caller to the endpoint.

    Attributes:
        caller: The tunnel.
        endpoint: The connection to the endpoint.
        is_sending: Whether received bytes are being sent.
        sent_bytes: Bytes that were sent.
        is_broken: Whether the endpoint takes no more bytes.
    """

    def __init__(
        self, caller: tunnel.Stream, endpoint: abc.SocketStream
    ) -> None:
        self.caller = caller
        self.endpoint = endpoint
        self.is_sending = False
        self.sent_bytes = 0
        self.is_broken = False

    async def send(
        self, scope: anyio.CancelScope, may_send: Callable[[], bool]
    ) -> None:
        """Relays the caller's bytes; a caller that has left ends the relay.

        A tunnel carries one request, so that one that has begun is relayed to
        its end.
        """
        has_begun = False
        while True:
            try:
                data = await self.caller.receive(http11.READ_BYTES)
            except http11.CONNECTION_ERRORS:
                scope.cancel()
                return
            if not has_begun and not may_send():
                scope.cancel()
                return
            has_begun = True
            self.is_sending = True
            try:
                await self.endpoint.send(data)
            except http11.CONNECTION_ERRORS:
                # The endpoint's answer, if there is one, is still relayed.
                self.is_broken = True
                return
            self.is_sending = False
            self.sent_bytes += len(data)

    async def is_delivered(self) -> bool:
        """Returns whether the endpoint has received all that has come.

        It waits for what is on the way, because a reset of the connection may
        be on the way as well.
        """
        with anyio.move_on_after(http_client.DELIVERY_WAIT_S):
            while not self.is_broken:
                if not self._has_pending_bytes():
                    return not http11.is_reset(self.endpoint)
                await anyio.sleep(http_client.DELIVERY_POLL_PERIOD_S)
        return False

    def _has_pending_bytes(self) -> bool:
        return bool(
            self.is_sending
            or self.caller.has_begun_frame()
            or http11.unread_bytes(self.caller)
            or http11.undelivered_bytes(self.endpoint)
        )


async def _send_down(
    endpoint: abc.SocketStream, caller: tunnel.Stream, upload: _Upload
) -> None:
    """Relays the endpoint's bytes, and how its connection ended.

    An endpoint that ends it before it has received the whole request may be
    about to reset it.
    """
    is_whole = False
    try:
        while True:
            try:
                data = await endpoint.receive(http11.READ_BYTES)
            except anyio.EndOfStream:
                is_whole = await upload.is_delivered()
                break
            except http11.CONNECTION_ERRORS:
                break
            await caller.send(data)
        if is_whole:
            await caller.send_end(upload.sent_bytes)
        else:
            await caller.send_broken()
    except http11.CONNECTION_ERRORS:
        # The caller has left.
        return


def max_tunnels(descriptors: int) -> int:
    """Returns the largest number of tunnels of a process.

    Args:
        descriptors: Its limit of descriptors.

    >>> max_tunnels(1638), max_tunnels(4100)
    (179, 256)
    """
    usable = budget.usable_descriptors(descriptors)
    return min(MAX_TUNNELS, max(1, usable // TUNNEL_DIVISOR))
