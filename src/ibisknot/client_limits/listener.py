"""Accepts the connections of one listener within the limits of clients."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import socket
import time

import anyio
from anyio import abc
from anyio import lowlevel

from ibisknot import deployment
from ibisknot import isolation
from ibisknot import logs
from ibisknot.client_limits import budget
from ibisknot.client_limits import client_stream
from ibisknot.client_limits import refusals

BACKLOG = 1024
ACCEPT_PAUSE_S = 0.1
"""Pause after a failed accept, such as for lack of descriptors."""
CALLERS = "callers"
READINESS = "readiness"
METRICS = "metrics"
PEERS = "peers"
CONNECTION_DIVISORS = {CALLERS: 2, PEERS: 4, READINESS: 16, METRICS: 32}
"""A listener may use one part in this many of the usable descriptors.

The rest is for endpoints, the store and connections to peers.
"""
PEER_MEMORY_DIVISOR = 5
"""Messages of peers may use one part in this many of the memory."""
DEFAULT_MAX_BYTES = 1 << 40
DEFAULT_MAX_CONNECTIONS = 1 << 20
HTTP_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Connection: close\r\nRetry-After: 1\r\nContent-Length: 11\r\n\r\n"
    b"unavailable"
)
"""Response of a process that cannot take another connection or request."""

Handler = Callable[[client_stream.Stream, budget.Account], Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Clients:
    """What all listeners of a process share.

    Attributes:
        limit: Memory and connections of clients.
        refusals: Counts and logs refused clients.
    """

    limit: budget.Budget
    refusals: refusals.Refusals

    def quota(self, name: str) -> budget.Quota:
        """Returns the quota of a listener."""
        quota = self.limit.quotas.get(name)
        if quota is None:
            return self.limit.add_quota(name, DEFAULT_MAX_CONNECTIONS)
        return quota


def unlimited() -> Clients:
    """Returns the state of listeners whose clients are not limited."""
    return Clients(
        budget.Budget(DEFAULT_MAX_BYTES), refusals.Refusals(time.monotonic)
    )


def make(process: deployment.Process, now: Callable[[], float]) -> Clients:
    """Returns the state of a process's listeners.

    Args:
        process: Has the limits of memory and descriptors.
        now: Returns the monotonic time.
    """
    limit = budget.Budget(budget.max_held_bytes(process.memory_bytes))
    usable = budget.usable_descriptors(process.descriptors)
    for name, divisor in CONNECTION_DIVISORS.items():
        limit.add_quota(name, usable // divisor)
    for name in (READINESS, METRICS):
        limit.quotas[name].is_essential = True
    peers = limit.quotas[PEERS]
    peers.max_held_bytes = process.memory_bytes // PEER_MEMORY_DIVISOR
    return Clients(limit, refusals.Refusals(now))


class Listener:
    """Accepts connections at one address.

    Attributes:
        clients: State of all listeners.
        quota: This listener's part.
        handler: Serves a connection.
        refusal: Sent to clients that are refused; empty for none.
        buffer: Receives the bytes of all connections.
    """

    def __init__(
        self,
        clients: Clients,
        quota: budget.Quota,
        handler: Handler,
        *,
        refusal: bytes = b"",
    ) -> None:
        self.clients = clients
        self.quota = quota
        self.handler = handler
        self.refusal = refusal
        self.buffer = memoryview(bytearray(client_stream.READ_BYTES))

    async def serve(
        self, raw_socket: socket.socket, task_group: abc.TaskGroup
    ) -> None:
        """Accepts connections until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            # One connection a turn: the others have theirs in between.
            await lowlevel.checkpoint()
            try:
                accepted, address = await loop.sock_accept(raw_socket)
            except OSError as error:
                logs.event("accept_failed", level="warning", cause=repr(error))
                await anyio.sleep(ACCEPT_PAUSE_S)
                continue
            try:
                self._admit(accepted, str(address[0]), task_group)
            except Exception as error:
                accepted.close()
                isolation.record("connection", self.quota.name, error)

    def _admit(
        self,
        accepted: socket.socket,
        address: str,
        task_group: abc.TaskGroup,
    ) -> None:
        """Starts to serve a connection, or refuses it."""

        # `_run` closes the connection if this is called before it has begun.
        def close(cause: str) -> None:
            self.clients.refusals.record(self.quota.name, cause, address)

        limit = self.clients.limit
        account = limit.open(self.quota, address, close)
        if account is None:
            self._refuse(accepted, address)
            return
        task_group.start_soon(self._run, accepted, account)

    def _refuse(self, accepted: socket.socket, address: str) -> None:
        cause = budget.CONNECTIONS
        self.clients.refusals.record(self.quota.name, cause, address)
        try:
            accepted.setblocking(False)
            if self.refusal:
                accepted.send(self.refusal)
        except OSError:
            pass
        accepted.close()

    async def _run(
        self, accepted: socket.socket, account: budget.Account
    ) -> None:
        try:
            if account.is_closed:
                accepted.close()
                return
            stream = await client_stream.wrap(accepted, self.buffer)
            await self._handle(stream, account)
        except OSError:
            # The client has left before it was served.
            accepted.close()
        except Exception as error:
            isolation.record("connection", self.quota.name, error)
        finally:
            self.clients.limit.release(account)

    async def _handle(
        self, stream: client_stream.Stream, account: budget.Account
    ) -> None:
        try:
            if not account.is_closed:
                account.close = self._closer(stream, account)
                await self.handler(stream, account)
        finally:
            stream.abort()

    def _closer(
        self, stream: client_stream.Stream, account: budget.Account
    ) -> Callable[[str], None]:
        def close(cause: str) -> None:
            self.clients.refusals.record(
                self.quota.name, cause, account.address
            )
            stream.abort(self.refusal)

        return close


def listen(host: str, port: int) -> socket.socket:
    """Returns a listening socket.

    Raises:
        OSError: The address cannot be used.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    raw_socket = socket.create_server(
        (host, port), family=family, backlog=BACKLOG
    )
    raw_socket.setblocking(False)
    client_stream.set_socket_buffers(raw_socket)
    return raw_socket
