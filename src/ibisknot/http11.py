"""HTTP/1.1 over TCP with h11: what a relay has to know and a framework hides.

A relay needs the raw request target, news of a caller that leaves, the moment
at which the first byte of a request may have reached an endpoint, and a way
to end an answer so that it does not look complete.
"""

import dataclasses
import select
import socket

import anyio
from anyio import abc
import h11

from ibisknot import errors

Headers = list[tuple[bytes, bytes]]

READ_BYTES = 64 * 1024
TCP_USER_TIMEOUT_MS = 5000
"""Unacknowledged data on a connection ends it after this time."""
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)
"""Headers that concern one connection or its framing."""

CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)
"""What a connection that ends raises."""


@dataclasses.dataclass(slots=True)
class Request:
    """The head of a request as it was received, with its whole body.

    Attributes:
        target: Path and query as sent, neither decoded nor normalised.
        received_s: Monotonic time of the head's first byte.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    received_s: float = 0.0

    def get_header(self, name: bytes) -> str | None:
        """Returns a header's value by its name in lower case."""
        return get_header(self.headers, name)


def get_header(headers: Headers, name: bytes) -> str | None:
    """Returns the first value of a header.

    Args:
        headers: Names and values in any case.
        name: The name in lower case.

    >>> get_header([(b"Retry-After", b"1")], b"retry-after")
    '1'
    """
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Returns the headers that a relay passes on.

    >>> headers = [(b"Connection", b"x"), (b"X", b"1"), (b"Accept", b"*")]
    >>> end_to_end_headers(headers)
    [(b'Accept', b'*')]
    """
    excluded = set(HOP_BY_HOP_HEADERS)
    for name, value in headers:
        if name.lower() == b"connection":
            excluded.update(v.strip().lower() for v in value.split(b","))
    return [
        (key, value) for key, value in headers if key.lower() not in excluded
    ]


def set_socket_options(stream: abc.SocketStream) -> None:
    """Makes a connection notice a peer that has gone silent."""
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    raw_socket.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    raw_socket.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    raw_socket.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    raw_socket.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def is_idle(stream: abc.SocketStream) -> bool:
    """Returns whether an idle connection is open and has nothing to read."""
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    descriptor = raw_socket.fileno()
    if descriptor < 0:
        return False
    poller = select.poll()
    poller.register(descriptor, select.POLLIN | select.POLLRDHUP)
    return not poller.poll(0)


async def connect(
    address: str, timeout_s: float, *, local_host: str | None = None
) -> abc.SocketStream:
    """Opens a connection to `host:port`.

    Args:
        address: The address to connect to.
        timeout_s: Seconds to wait for it.
        local_host: The address to connect from, or None for any.

    Raises:
        EndpointError: It could not be opened; nothing was sent.
    """
    host, _, port = address.rpartition(":")
    try:
        with anyio.fail_after(timeout_s):
            stream = await anyio.connect_tcp(
                host, int(port), local_host=local_host
            )
    except (OSError, TimeoutError, ValueError) as error:
        message = f"{address} is not reachable: {error!r}"
        raise errors.EndpointError(message, ran=errors.NOT_RUN) from None
    set_socket_options(stream)
    return stream


async def close_abruptly(stream: abc.SocketStream) -> None:
    """Closes a connection at once."""
    with anyio.CancelScope(shield=True):
        await anyio.aclose_forcefully(stream)


def raw_headers(event: h11.Request | h11.Response) -> Headers:
    """Returns headers with their names as they were written."""
    return list(event.headers.raw_items())
