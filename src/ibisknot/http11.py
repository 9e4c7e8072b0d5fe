"""Common parts of the HTTP/1.1 client and server, which use h11 over TCP.

An HTTP framework hides what a relay needs: the raw request target, the
disconnection of a caller, the moment from which an endpoint may have received
a part of a request, and a way to end a response so that it is incomplete.
"""

import dataclasses
import fcntl
import re
import select
import socket
import struct
import termios

import anyio
from anyio import abc
import h11

from ibisknot import errors

Headers = list[tuple[bytes, bytes]]

READ_BYTES = 64 * 1024
ENDPOINT_BUFFER_BYTES = 64 * 1024
"""Set size of the buffer in which a connection receives responses.

It bounds what is received at once for a caller that reads slowly.
"""
TCP_USER_TIMEOUT_MS = 5000
"""A connection ends when sent data stays unacknowledged for this time."""
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
"""Headers that concern one connection or the framing of one message."""

_QUEUE_SIZE = struct.Struct("i")
_VISIBLE_ASCII = re.compile(r"[!-~]+")
_HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")

CONNECTION_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)
"""Errors that reading or writing raises when a connection has ended."""


@dataclasses.dataclass(slots=True)
class Request:
    """A request with its headers as they were received.

    Attributes:
        method: Method, such as `GET`.
        target: Path and query as sent, neither decoded nor normalised.
        headers: Names and values in the order in which they were sent.
        body: The whole body.
        received_s: Monotonic time at which its first byte was received.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    received_s: float = 0.0

    def get_header(self, name: bytes) -> str | None:
        """Returns the first value of a header, or None.

        Args:
            name: The name in lower case.
        """
        return get_header(self.headers, name)


def get_header(headers: Headers, name: bytes) -> str | None:
    """Returns the first value of a header, or None.

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


def is_visible_ascii(text: str) -> bool:
    r"""Returns whether a text is fit for a target or a header without spaces.

    >>> [is_visible_ascii(t) for t in ("/a?b", "", "a b", "\u00e9", "a\n")]
    [True, False, False, False, False]
    """
    return _VISIBLE_ASCII.fullmatch(text) is not None


def is_header_name(text: str) -> bool:
    """Returns whether a text is the name of a header."""
    return _HEADER_NAME.fullmatch(text) is not None


def is_header_value(text: str) -> bool:
    r"""Returns whether a text, in UTF-8, is the value of one header.

    >>> [is_header_value(t) for t in ("", "Gy\u0171jt\u0151", "a\r\nb: c")]
    [True, True, False]
    """
    return _CONTROL_CHARACTER.search(text) is None


def encode_header_value(text: str) -> bytes:
    """Encodes a header's value, without the white space around it."""
    return text.strip(" \t").encode()


def end_to_end_headers(
    headers: Headers, *, also: frozenset[bytes] = frozenset()
) -> Headers:
    """Returns the headers that a relay forwards.

    It removes `HOP_BY_HOP_HEADERS` and those that a `Connection` header names.

    Args:
        headers: The headers.
        also: Names, in lower case, of others that are not forwarded.

    >>> headers = [(b"Connection", b"x"), (b"X", b"1"), (b"Accept", b"*")]
    >>> end_to_end_headers(headers)
    [(b'Accept', b'*')]
    """
    excluded = {*HOP_BY_HOP_HEADERS, *also}
    for name, value in headers:
        if name.lower() == b"connection":
            excluded.update(v.strip().lower() for v in value.split(b","))
    return [
        (key, value) for key, value in headers if key.lower() not in excluded
    ]


class PathLostError(anyio.BrokenResourceError):
    """The path to the server was lost; what the server did is not known."""


def set_socket_options(stream: abc.ByteStream) -> None:
    """Makes a connection send at once and detect an unresponsive peer."""
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp = socket.IPPROTO_TCP
    raw_socket.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    raw_socket.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    raw_socket.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    raw_socket.setsockopt(tcp, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


def reset_on_close(stream: abc.SocketStream) -> None:
    """Makes the close of a connection visible to the peer as a reset."""
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    linger = struct.pack("ii", 1, 0)
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def is_idle(stream: abc.ByteStream) -> bool:
    """Returns whether a connection is open and has no data to read."""
    return _poll(stream, select.POLLIN | select.POLLRDHUP) == 0


def has_left(stream: abc.ByteStream) -> bool:
    """Returns whether the other end has closed, without reading data."""
    return _poll(stream, select.POLLRDHUP) != 0


def is_reset(stream: abc.ByteStream) -> bool:
    """Returns whether a connection was reset, without reading data.

    A peer that has only ended its direction has not reset it.
    """
    events = _poll(stream, select.POLLIN)
    return bool(events & (select.POLLERR | select.POLLHUP))


def _poll(stream: abc.ByteStream, wanted: int) -> int:
    """Returns the events of a connection, `POLLHUP` if it is closed here.

    Args:
        stream: The connection.
        wanted: The events to look for, besides errors.
    """
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    descriptor = raw_socket.fileno()
    if descriptor < 0:
        return select.POLLHUP
    poller = select.poll()
    poller.register(descriptor, wanted)
    return next((events for _, events in poller.poll(0)), 0)


def undelivered_bytes(stream: abc.ByteStream) -> int:
    """Returns the sent bytes that the other end has not acknowledged."""
    return _queued_bytes(stream, termios.TIOCOUTQ)


def unread_bytes(stream: abc.ByteStream) -> int:
    """Returns the bytes that have arrived and were not read yet."""
    return _queued_bytes(stream, termios.FIONREAD)


def _queued_bytes(stream: abc.ByteStream, request: int) -> int:
    """Returns the size of a socket's queue; 0 if that is not supported."""
    raw_socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    descriptor = raw_socket.fileno()
    if descriptor < 0:
        return 0
    try:
        answer = fcntl.ioctl(descriptor, request, bytes(_QUEUE_SIZE.size))
    except OSError:
        return 0
    (size,) = _QUEUE_SIZE.unpack(answer)
    return int(size)


async def connect(
    address: str, timeout_s: float, *, local_host: str | None = None
) -> abc.SocketStream:
    """Opens a connection to `host:port`.

    Args:
        address: The address to connect to.
        timeout_s: Seconds after which connecting fails.
        local_host: The address to connect from, or None for any.

    Raises:
        EndpointError: The connection failed; nothing was sent.
    """
    host, _, port = address.rpartition(":")
    try:
        with anyio.fail_after(timeout_s):
            stream = await anyio.connect_tcp(
                host, int(port), local_host=local_host
            )
    except (OSError, TimeoutError, ValueError, OverflowError) as error:
        message = f"connecting to {address} failed: {error!r}"
        raise errors.EndpointError(message, ran=errors.NOT_RUN) from None
    set_socket_options(stream)
    stream.extra(anyio.abc.SocketAttribute.raw_socket).setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, ENDPOINT_BUFFER_BYTES
    )
    return stream


async def refuses_connections(address: str, timeout_s: float) -> bool:
    """Returns whether nothing listens at `host:port`.

    A host that does not respond may be cut off, which is not the same.
    """
    host, _, port = address.rpartition(":")
    with anyio.move_on_after(timeout_s):
        try:
            stream = await anyio.connect_tcp(host, int(port))
        except (OSError, ValueError, OverflowError) as error:
            return isinstance(error.__cause__ or error, ConnectionRefusedError)
        await close_abruptly(stream)
    return False


async def close_abruptly(stream: abc.ByteStream) -> None:
    """Closes a connection without waiting for data to be sent."""
    with anyio.CancelScope(shield=True):
        await anyio.aclose_forcefully(stream)


def raw_headers(event: h11.Request | h11.Response) -> Headers:
    """Returns headers with the case of their names as received."""
    return list(event.headers.raw_items())
