"""Generated crowds of clients against a real gateway.

`IBISKNOT_CROWD_EXAMPLES` sets the number of examples for a long run.
"""

from collections.abc import Iterator
import os

import crowd
import hypothesis
from hypothesis import strategies
import platform_fleet
import pytest

from ibisknot import peer
from ibisknot.gen.peer import ttypes as peer_ttypes
from ibisknot.platform import settings

EXAMPLES = int(os.environ.get("IBISKNOT_CROWD_EXAMPLES", "6"))
MEMORY_MB = 96
DESCRIPTORS = 400
PORTS = {
    "callers": platform_fleet.CALLER_PORT,
    "readiness": platform_fleet.READY_PORT,
    "metrics": settings.METRICS_PORT,
    "peers": platform_fleet.PEER_PORT,
}


@pytest.fixture(scope="module")
def fleet(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[platform_fleet.Fleet]:
    """Runs a fleet whose gateway has little memory and few descriptors."""
    with platform_fleet.run_fleet(
        tmp_path_factory.mktemp("fleet"),
        engines=1,
        gateways=1,
        workers=1,
        memory_mb=MEMORY_MB,
        descriptors=DESCRIPTORS,
    ) as running:
        yield running


def _head(path: str, host: str, padding: int, fields: bytes) -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: {host}\r\n".encode()
        + f"Authorization: Token {platform_fleet.KEY}\r\n".encode()
        + b"X-Padding: "
        + b"p" * padding
        + b"\r\n"
        + fields
        + b"\r\n"
    )


@strategies.composite
def _http_message(draw: strategies.DrawFn) -> bytes:
    """Returns a request with a body of one of the kinds, or bytes."""
    path = draw(strategies.sampled_from(["/chat/x", "/none", "/batch/job"]))
    hosts = [platform_fleet.HOST, platform_fleet.BATCH_HOST, "none.example"]
    host = draw(strategies.sampled_from(hosts))
    padding = draw(strategies.sampled_from([0, 1000, 12_000, 20_000]))
    size = draw(strategies.sampled_from([0, 10, 10_000, 1_000_000]))
    kind = draw(strategies.sampled_from(["length", "chunks", "trailers"]))
    if kind == "length":
        fields = f"Content-Length: {size}\r\n".encode()
        return _head(path, host, padding, fields) + b"b" * size
    head = _head(path, host, padding, b"Transfer-Encoding: chunked\r\n")
    if kind == "trailers":
        return head + b"0\r\n" + b"T: t\r\n" * (size // 10) + b"\r\n"
    extension = draw(strategies.sampled_from([b"", b";e=" + b"x" * 5000]))
    chunk = b"1" + extension + b"\r\nb\r\n"
    return head + chunk * min(size, 200) + b"0\r\n\r\n"


@strategies.composite
def _peer_message(draw: strategies.DrawFn) -> bytes:
    """Returns a call of an existing or another method, or bytes."""
    method = draw(strategies.sampled_from(["tunnel_open", "none", "view_news"]))
    size = draw(strategies.sampled_from([0, 100, 1_000_000]))
    data = peer.encode(
        peer_ttypes.Envelope(
            id=draw(strategies.integers(0, 3)),
            kind=peer_ttypes.Kind.REQUEST,
            method=method,
            payload=b"m" * size,
        )
    )
    length = draw(strategies.sampled_from([len(data), 2**24, 2**31]))
    return length.to_bytes(4, "big") + data


@strategies.composite
def _pattern(draw: strategies.DrawFn) -> tuple[str, crowd.Pattern]:
    """Returns a listener's name and what its clients do."""
    name = draw(strategies.sampled_from(sorted(PORTS)))
    is_peer = name == "peers"
    message = draw(_peer_message() if is_peer else _http_message())
    part = draw(strategies.sampled_from([1.0, 1.0, 0.99, 0.5, 0.01]))
    cut = message[: max(1, int(len(message) * part))]
    pattern = crowd.Pattern(
        ("", PORTS[name]),
        opening=cut,
        repeated=cut if part == 1.0 and draw(strategies.booleans()) else b"",
        clients=draw(strategies.sampled_from([1, 20, 150, 600])),
        hold_s=2.0,
        reads=draw(strategies.booleans()),
        half_closes=draw(strategies.booleans()),
        resets=draw(strategies.booleans()),
        reconnects=draw(strategies.booleans()),
        piece_bytes=draw(strategies.sampled_from([7, 1000, crowd.SEND_BYTES])),
    )
    return name, pattern


@hypothesis.settings(
    max_examples=EXAMPLES,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
    phases=[hypothesis.Phase.generate],
)
@hypothesis.given(patterns=strategies.lists(_pattern(), min_size=1, max_size=3))
def test_no_composed_crowd_passes_the_limits(
    fleet: platform_fleet.Fleet, patterns: list[tuple[str, crowd.Pattern]]
) -> None:
    """Guards against a way past the limits that no other test has."""
    crowds = []
    for _, pattern in patterns:
        pattern.address = (fleet.ip(20), pattern.address[1])
        crowds.append(pattern)
    crowd.check(fleet, crowds)
