"""HTTP/1.1 server on h11 that cancels a handler when its caller disconnects."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time

import anyio
from anyio import abc

from ibisknot import http11
from ibisknot import http_connection
from ibisknot import http_exchange
from ibisknot import logs
from ibisknot.client_limits import budget
from ibisknot.client_limits import listener

CLOSING_WAIT_S = http_connection.CLOSING_WAIT_S


@dataclasses.dataclass(slots=True)
class Limits:
    """Limits on the size of requests and the time to receive them.

    Attributes:
        max_header_bytes: Largest size of a request's head.
        max_body_bytes: Largest size of a request's body.
        header_timeout_s: Time to receive a request's head after its first
            byte.
        idle_timeout_s: Time that a connection may wait for a request, and the
            time to receive a request's body.
    """

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


Exchange = http_exchange.Exchange
Handler = Callable[[Exchange], Awaitable[None]]


class Server:
    """Serves HTTP on one address.

    Attributes:
        handler: Responds to requests.
        limits: Current limits, which apply to new requests.
        clock: Returns the monotonic time.
        is_closing: Whether responses ask callers to close their connections
            and idle connections are closed.
        active_requests: Number of requests that are being received or
            handled.
        idle_scopes: Time limits of the connections without a request.
        accept_scope: Cancelled to accept no more connections; None before
            the server listens.
        buffered_bytes: Size of all request bodies in memory.
        max_buffered_bytes: Limit on `buffered_bytes`; requests above it are
            refused.
        open_connections: Number of open connections.
        clients: Limits of the clients of all listeners.
        quota: Limits of this listener's clients.
        receiving: Connections that receive a body.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        limits: Limits | None = None,
        max_buffered_bytes: int = 64 * 1024 * 1024,
        clock: Callable[[], float] = time.monotonic,
        clients: listener.Clients | None = None,
        name: str = listener.CALLERS,
    ) -> None:
        self.handler = handler
        self.limits = limits or Limits()
        self.clock = clock
        self.is_closing = False
        self.active_requests = 0
        self.idle_scopes: set[anyio.CancelScope] = set()
        self.accept_scope: anyio.CancelScope | None = None
        self.buffered_bytes = 0
        self.max_buffered_bytes = max_buffered_bytes
        self.open_connections = 0
        self.clients = clients or listener.unlimited()
        self.quota = self.clients.quota(name)
        self.receiving: set[http_connection.Connection] = set()

    async def serve(self, address: str) -> None:
        """Listens on `host:port` until cancelled."""
        host, _, port = address.rpartition(":")
        accepting = listener.Listener(
            self.clients,
            self.quota,
            self.serve_connection,
            refusal=listener.HTTP_REFUSAL,
        )
        async with anyio.create_task_group() as task_group:
            with listener.listen(host, int(port)) as raw_socket:
                with anyio.CancelScope() as self.accept_scope:
                    await accepting.serve(raw_socket, task_group)

    def start_closing(self) -> None:
        """Closes idle connections soon, and others after their response."""
        self.is_closing = True
        end_s = anyio.current_time() + CLOSING_WAIT_S
        for scope in self.idle_scopes:
            scope.deadline = min(scope.deadline, end_s)

    def stop_accepting(self) -> None:
        """Closes the listener; open connections are served to their end."""
        if self.accept_scope is not None:
            self.accept_scope.cancel()

    async def serve_connection(
        self,
        stream: abc.SocketStream,
        account: budget.Account | None = None,
    ) -> None:
        """Handles the requests of one connection, one after another.

        Args:
            stream: The connection.
            account: What is held for it is charged there; None for a
                connection that is not limited.
        """
        self.open_connections += 1
        if account is None:
            account = budget.Account(self.quota, "", lambda _cause: None)
        connection = http_connection.Connection(self, stream, account)
        try:
            http11.set_socket_options(stream)
            await connection.run()
        except http11.CONNECTION_ERRORS:
            pass
        except Exception as error:
            logs.event("connection_failed", level="error", error=repr(error))
        finally:
            self.open_connections -= 1
            connection.release()
            await http11.close_abruptly(stream)
