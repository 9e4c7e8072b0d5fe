"""Crowds of clients outside the limits, against a real gateway.

Each test checks that the process lives, that its memory and descriptors stay
under the limits of its settings, and that it serves an ordinary request
afterwards. None checks a time or a share of requests.
"""

from collections.abc import Callable
from collections.abc import Iterator
import pathlib

import crowd
import platform_fleet
import pytest

from ibisknot import peer
from ibisknot import tunnel
from ibisknot.gen.fleet import ttypes as fleet_ttypes
from ibisknot.gen.peer import ttypes as peer_ttypes
from ibisknot.platform import settings

MEMORY_MB = 96
DESCRIPTORS = 400
HEAD_PADDING = b"X-Padding: " + b"p" * 8000 + b"\r\n"
MakePattern = Callable[[platform_fleet.Fleet], crowd.Pattern]


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[platform_fleet.Fleet]:
    """Runs a fleet whose gateway has little memory and few descriptors."""
    folder: pathlib.Path = tmp_path_factory.mktemp("fleet")
    with platform_fleet.run_fleet(
        folder,
        engines=1,
        gateways=1,
        workers=1,
        memory_mb=MEMORY_MB,
        descriptors=DESCRIPTORS,
    ) as running:
        yield running


@pytest.fixture(autouse=True)
def living_gateway(fleet: platform_fleet.Fleet) -> None:
    """Starts the gateway anew, so that a test finds its first state."""
    program = fleet.programs["front-0"]
    program.stop()
    program.start()
    platform_fleet.wait_for(lambda: fleet.is_ready(0))
    platform_fleet.wait_for(lambda: fleet.chat().status_code == 200)


def _callers(fleet: platform_fleet.Fleet) -> tuple[str, int]:
    return fleet.ip(20), platform_fleet.CALLER_PORT


def _request(
    path: str, *, method: str = "GET", host: str = "h", fields: bytes = b""
) -> bytes:
    line = f"{method} {path} HTTP/1.1\r\nHost: {host}\r\n".encode()
    return line + fields + b"\r\n"


def _chat_head(fields: bytes) -> bytes:
    key = f"Authorization: Token {platform_fleet.KEY}\r\n".encode()
    return _request(
        "/chat/x", method="POST", host=platform_fleet.HOST, fields=key + fields
    )


def _frame(envelope: peer_ttypes.Envelope) -> bytes:
    data = peer.encode(envelope)
    return len(data).to_bytes(4, "big") + data


def _call(method: str, payload: bytes = b"") -> bytes:
    return _frame(
        peer_ttypes.Envelope(
            id=1,
            kind=peer_ttypes.Kind.REQUEST,
            method=method,
            payload=payload,
        )
    )


def _pipelined_readiness(fleet: platform_fleet.Fleet) -> crowd.Pattern:
    return crowd.Pattern(
        (fleet.ip(20), platform_fleet.READY_PORT),
        repeated=_request("/ready", fields=HEAD_PADDING),
    )


def _pipelined_short_readiness(fleet: platform_fleet.Fleet) -> crowd.Pattern:
    return crowd.Pattern(
        (fleet.ip(20), platform_fleet.READY_PORT), repeated=_request("/ready")
    )


def _pipelined_without_route(fleet: platform_fleet.Fleet) -> crowd.Pattern:
    return crowd.Pattern(
        _callers(fleet), repeated=_request("/none", fields=HEAD_PADDING)
    )


def _pipelined_chats(fleet: platform_fleet.Fleet) -> crowd.Pattern:
    """Requests that are served, whose streams are not read."""
    head = _chat_head(b"Content-Length: 0\r\n" + HEAD_PADDING)
    return crowd.Pattern(_callers(fleet), repeated=head, clients=100)


def _unfinished_bodies(fleet: platform_fleet.Fleet) -> crowd.Pattern:
    return crowd.Pattern(
        _callers(fleet),
        opening=_chat_head(b"Content-Length: 4194304\r\n"),
        repeated=b"b" * 65536,
        max_bytes=4_000_000,
    )


def _chunk_extensions(fleet: platform_fleet.Fleet) -> crowd.Pattern:
    """Bodies of one byte a chunk, each with an extension of 8,000 bytes."""
    return crowd.Pattern(
        _callers(fleet),
        opening=_chat_head(b"Transfer-Encoding: chunked\r\n"),
        repeated=b"1;e=" + b"x" * 8000 + b"\r\nb\r\n",
    )


def _trailers(fleet: platform_fleet.Fleet) -> crowd.Pattern:
    return crowd.Pattern(
        _callers(fleet),
        opening=_chat_head(b"Transfer-Encoding: chunked\r\n") + b"0\r\n",
        repeated=b"T: " + b"t" * 1000 + b"\r\n",
    )


def _unfinished_heads(fleet: platform_fleet.Fleet) -> crowd.Pattern:
    """More clients than descriptors, each with a head that never ends."""
    return crowd.Pattern(
        _callers(fleet),
        opening=b"GET / HTTP/1.1\r\nHost: h\r\n" + HEAD_PADDING,
        clients=700,
        max_bytes=10_000,
    )


def _silent_readiness(fleet: platform_fleet.Fleet) -> crowd.Pattern:
    """More clients than descriptors that send nothing to another listener."""
    return crowd.Pattern((fleet.ip(20), platform_fleet.READY_PORT), clients=700)


def _pipelined_metrics(fleet: platform_fleet.Fleet) -> crowd.Pattern:
    return crowd.Pattern(
        (fleet.ip(20), settings.METRICS_PORT),
        repeated=_request("/metrics", fields=HEAD_PADDING),
    )


def _unfinished_frames(fleet: platform_fleet.Fleet) -> crowd.Pattern:
    """Frames of 16 MB to the peer listener that do not end."""
    return crowd.Pattern(
        (fleet.ip(20), platform_fleet.PEER_PORT),
        opening=peer.MAX_FRAME_BYTES.to_bytes(4, "big"),
        repeated=b"f" * 65536,
    )


def _unread_peer_responses(fleet: platform_fleet.Fleet) -> crowd.Pattern:
    return crowd.Pattern(
        (fleet.ip(20), platform_fleet.PEER_PORT),
        repeated=_call("no_such_method"),
        clients=100,
    )


def _silent_peers(fleet: platform_fleet.Fleet) -> crowd.Pattern:
    return crowd.Pattern((fleet.ip(20), platform_fleet.PEER_PORT), clients=700)


def _unread_tunnels(fleet: platform_fleet.Fleet) -> crowd.Pattern:
    """Tunnels to the engine that pipeline requests and read no response."""
    message = fleet_ttypes.TunnelOpen(endpoint=f"{fleet.ip(60)}:8080")
    request = _request("/health", fields=HEAD_PADDING)
    framed = tunnel.LENGTH.pack(len(request)) + request
    return crowd.Pattern(
        (fleet.ip(20), platform_fleet.PEER_PORT),
        opening=_call(tunnel.METHOD, peer.encode(message)),
        repeated=framed,
        clients=100,
    )


@pytest.mark.parametrize(
    "make",
    [
        _pipelined_readiness,
        _pipelined_short_readiness,
        _pipelined_without_route,
        _pipelined_chats,
        _unfinished_bodies,
        _chunk_extensions,
        _trailers,
        _unfinished_heads,
        _silent_readiness,
        _pipelined_metrics,
        _unfinished_frames,
        _unread_peer_responses,
        _silent_peers,
        _unread_tunnels,
    ],
)
def test_crowd_leaves_the_gateway_within_its_limits(
    fleet: platform_fleet.Fleet, make: MakePattern
) -> None:
    """Guards against a process that unread responses or bodies exhaust."""
    crowd.check(fleet, [make(fleet)])


def test_crowds_at_several_listeners_leave_the_gateway_within_its_limits(
    fleet: platform_fleet.Fleet,
) -> None:
    """Guards against several listeners that together pass the limits."""
    patterns = [
        _pipelined_readiness(fleet),
        _pipelined_without_route(fleet),
        _unfinished_frames(fleet),
    ]
    crowd.check(fleet, patterns)
