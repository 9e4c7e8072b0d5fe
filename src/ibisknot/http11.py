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
USER_TIMEOUT_MS = 5000
"""Unacknowledged data on a connection ends it after this time."""
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
CONNECTION_HEADERS = frozenset(
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

BROKEN = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)
"""What a connection that ends raises."""


@dataclasses.dataclass(slots=True)
class Message:
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

    def header(self, name: bytes) -> str | None:
        """Returns a header's value by its name in lower case."""
        return header(self.headers, name)


def header(headers: Headers, name: bytes) -> str | None:
    """Returns the first value of a header.

    Args:
        headers: Names and values in any case.
        name: The name in lower case.

    >>> header([(b"Retry-After", b"1")], b"retry-after")
    '1'
    """
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1")
    return None


def end_to_end(headers: Headers) -> Headers:
    """Returns the headers that a relay passes on.

    >>> end_to_end([(b"Connection", b"x"), (b"X", b"1"), (b"Accept", b"*")])
    [(b'Accept', b'*')]
    """
    named = set(CONNECTION_HEADERS)
    for key, value in headers:
        if key.lower() == b"connection":
            named.update(v.strip().lower() for v in value.split(b","))
    return [(key, value) for key, value in headers if key.lower() not in named]


def prepare(stream: abc.SocketStream) -> None:
    """Makes a connection notice a peer that has gone silent."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    raw.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    raw.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    raw.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    raw.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def is_quiet(stream: abc.SocketStream) -> bool:
    """Returns whether an idle connection is open and has nothing to read."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    descriptor = raw.fileno()
    if descriptor < 0:
        return False
    poll = select.poll()
    poll.register(descriptor, select.POLLIN | select.POLLRDHUP)
    return not poll.poll(0)


async def dial(
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
    prepare(stream)
    return stream


async def abort(stream: abc.SocketStream) -> None:
    """Closes a connection at once."""
    with anyio.CancelScope(shield=True):
        await anyio.aclose_forcefully(stream)


def raw_headers(event: h11.Request | h11.Response) -> Headers:
    """Returns headers with their names as they were written."""
    return list(event.headers.raw_items())
