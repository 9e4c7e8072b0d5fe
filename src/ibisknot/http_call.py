"""Calls of HTTP servers: what is sent, over which connection, and errors.

A call records whether the server may have received a part of it: only a call
of which nothing was sent is certain not to have run.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from anyio import abc
import h11

from ibisknot import errors
from ibisknot import http11


@dataclasses.dataclass(slots=True)
class Connection:
    """A connection to a server.

    Attributes:
        stream: Its bytes.
        is_direct: Whether no other process relays it.
    """

    stream: abc.ByteStream
    is_direct: bool = True


@dataclasses.dataclass(slots=True)
class Paths:
    """How servers are reached whose paths may be lost.

    Attributes:
        connect: Opens a connection, from the address, the seconds after which
            a relaying process may end it (None: never), and the regions of
            the processes that may relay it (None: any); raises EndpointError.
        check_soon: Starts a check of the path to an address.
        is_lost: Returns whether the path to an address was lost, after a
            check if that is not known.
        is_known_lost: The same without a check.
        record_received: Called with each direct receipt of data.
        is_silent: Returns whether no server has sent data for some seconds.
    """

    connect: Callable[
        [str, float | None, frozenset[str] | None], Awaitable[Connection]
    ]
    check_soon: Callable[[str], None]
    is_lost: Callable[[str], Awaitable[bool]]
    is_known_lost: Callable[[str], bool]
    record_received: Callable[[], None]
    is_silent: Callable[[float], bool]


@dataclasses.dataclass(slots=True)
class Progress:
    """Progress of a call.

    Attributes:
        sending_started: Whether the server may have received a part of the
            request.
        connection_opened: Whether a new connection was opened for it.
        broke_off: Whether the connection failed before the response's end.
    """

    sending_started: bool = False
    connection_opened: bool = False
    broke_off: bool = False


@dataclasses.dataclass(slots=True)
class Call:
    """One request to send.

    Attributes:
        address: Address of the server, `host:port`.
        target: Path and query as they are sent.
        headers: Headers without those of the body's framing.
        is_own_response: Returns whether a response with these headers belongs
            to this request. A late response to an earlier request on the same
            connection does not. None accepts every response.
        read_timeout_s: Seconds without progress after which the call fails,
            or None for no limit. `needs_useful_data` says what progress is.
        needs_useful_data: Whether only a response's head and what its reader
            reports by `Response.record_progress` count as progress, so that
            single bytes now and then do not keep a call alive. Otherwise all
            received data counts.
        encode_headers: Returns the headers when the request is sent, or None
            if `headers` has them.
        check_sendable: Called when the call is about to be sent; raises
            EndpointError if it must not be sent any more. None if it always
            may.
        max_s: Seconds after which a process that relays the call may end it.
        allowed_regions: Regions of the processes that may relay it; None for
            any.
        progress: Progress of the call.
    """

    address: str
    method: bytes
    target: bytes
    headers: http11.Headers = dataclasses.field(default_factory=list)
    body: bytes = b""
    encode_headers: Callable[[], http11.Headers] | None = None
    check_sendable: Callable[[], None] | None = None
    max_s: float | None = None
    allowed_regions: frozenset[str] | None = None
    is_own_response: Callable[[http11.Headers], bool] | None = None
    read_timeout_s: float | None = None
    needs_useful_data: bool = False
    progress: Progress = dataclasses.field(default_factory=Progress)


def make_request(call: Call) -> h11.Request:
    """Returns the head of a call's request."""
    headers = list(call.headers)
    if call.body or call.method not in (b"GET", b"HEAD", b"DELETE"):
        size = str(len(call.body)).encode()
        headers.append((b"Content-Length", size))
    return h11.Request(method=call.method, target=call.target, headers=headers)


def make_parser(call: Call) -> h11.Connection:
    """Returns a parser for the response to a call."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(make_request(call))
    if call.body:
        parser.send(h11.Data(data=call.body))
    parser.send(h11.EndOfMessage())
    return parser


def no_response_error(call: Call, error: BaseException) -> errors.EndpointError:
    """Returns the error of a call without a response, from its cause."""
    ran = errors.UNKNOWN if call.progress.sending_started else errors.NOT_RUN
    call.progress.broke_off = True
    if isinstance(error, http11.PathLostError):
        message = f"the path to {call.address} was lost"
        return errors.PathLostError(message, ran=ran)
    if isinstance(error, TimeoutError):
        return stalled_error(call, ran)
    message = f"no response from {call.address}: {error!r}"
    return errors.EndpointError(message, ran=ran)


def stalled_error(call: Call, ran: str) -> errors.StalledError:
    """Returns the error of a call whose time without progress has passed."""
    message = f"{call.address}: no progress for {call.read_timeout_s} s"
    return errors.StalledError(message, ran=ran)
