"""Messages between data centres: compression, and the count of their bytes."""

from typing import Any
import zlib

import anyio
from anyio import abc
import fake_fleet
import pytest

from ibisknot import errors
from ibisknot import metrics
from ibisknot import peer
from ibisknot import peer_calls
from ibisknot import tunnel
from ibisknot.gen.fleet import ttypes as fleet_types
from ibisknot.gen.peer import ttypes
from ibisknot.locality import compression
from ibisknot.locality import scopes

BODY = b"data: event " * 500


class _Server(peer.Server):
    """Records the compression of requests, and what is held for them.

    It may be of an earlier build.
    """

    def __init__(self, *, is_earlier: bool) -> None:
        super().__init__()
        self.is_earlier = is_earlier
        self.compressions: list[int | None] = []
        self.held_bytes: list[int] = []

    async def _respond(
        self, calls: peer_calls.Calls, request: Any, held_bytes: int
    ) -> None:
        self.compressions.append(request.compression)
        self.held_bytes.append(calls.account.held_bytes)
        if self.is_earlier:
            request.takes_compressed = None
        await super()._respond(calls, request, held_bytes)


async def _call_thrice(scope: str, *, is_earlier: bool = False) -> _Server:
    """Makes three calls whose message and answer are `BODY`."""
    server = _Server(is_earlier=is_earlier)

    async def echo(message: Any) -> Any:
        assert message.result == BODY
        return message

    server.on("echo", fleet_types.StoreAnswer, echo)
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(abc.SocketAttribute.local_port)
    async with anyio.create_task_group() as task_group:
        task_group.start_soon(listener.serve, server._serve_connection)
        client = peer.Client(task_group)
        client.scope_of = lambda _address: scope
        for _ in range(3):
            answer = await client.call(
                f"127.0.0.1:{port}",
                "echo",
                fleet_types.StoreAnswer(result=BODY),
                fleet_types.StoreAnswer,
            )
            assert answer.result == BODY
        task_group.cancel_scope.cancel()
    return server


def _count(monkeypatch: pytest.MonkeyPatch) -> dict[tuple[str, str], int]:
    """Returns the bytes by direction and scope, as they will be counted."""
    counted: dict[tuple[str, str], int] = {}

    def add(labels: dict[str, str], size: int) -> None:
        key = (labels["direction"], labels["data_centre"])
        counted[key] = counted.get(key, 0) + size

    monkeypatch.setattr(metrics.PEER_BYTES, "add", add)
    return counted


def test_both_directions_are_compressed_once_the_peer_takes_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against messages that are sent in full to another data centre."""
    counted = _count(monkeypatch)
    server = anyio.run(_call_thrice, scopes.OTHER)
    packed = ttypes.Compression.ZLIB
    assert server.compressions == [None, packed, packed]
    assert len(BODY) < counted["sent", "other"] < 1.3 * len(BODY)
    assert counted["received", "other"] < 0.3 * len(BODY)


@pytest.mark.parametrize(
    ("scope", "is_earlier"), [(scopes.OWN, False), (scopes.OTHER, True)]
)
def test_no_compression_near_by_nor_to_an_earlier_build(
    monkeypatch: pytest.MonkeyPatch, scope: str, is_earlier: bool
) -> None:
    """Guards against payloads that an earlier build cannot read."""
    counted = _count(monkeypatch)

    async def main() -> _Server:
        return await _call_thrice(scope, is_earlier=is_earlier)

    assert anyio.run(main).compressions == [None] * 3
    assert counted["sent", scope] > 3 * len(BODY)
    assert counted["received", scope] > 3 * len(BODY)


@pytest.mark.parametrize(
    ("payload", "kind"),
    [
        (zlib.compress(bytes(compression.MAX_BYTES + 1)), 1),
        (zlib.compress(BODY)[:-5], 1),
        (b"no stream", 1),
        (BODY, 9),
    ],
)
def test_malformed_compression_is_refused(payload: bytes, kind: int) -> None:
    """Guards against a small message that fills the memory."""
    with pytest.raises(errors.PeerError):
        compression.unpack(payload, kind)


def test_bytes_in_a_tunnel_are_counted_by_its_opener(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against traffic of tunnels that no metric shows."""
    counted = _count(monkeypatch)

    class Inner:
        """Gives one frame, and takes any."""

        async def receive(self) -> bytes:
            return tunnel.LENGTH.pack(3) + b"abc"

        async def send(self, item: bytes) -> None:
            pass

    async def main() -> None:
        inner: Any = Inner()
        for scope in (scopes.OTHER, None):
            stream = tunnel.Stream(inner, bytearray(), scope)
            assert await stream.receive() == b"abc"
            await stream.send(b"abcde")

    anyio.run(main)
    assert counted == {("received", "other"): 7, ("sent", "other"): 9}


def test_compressed_call_is_charged_with_its_unpacked_size() -> None:
    """Guards against small frames that hold much memory while they wait."""
    server = anyio.run(_call_thrice, scopes.OTHER)
    least_bytes = peer_calls.CALL_BYTES + len(BODY)
    assert min(server.held_bytes) >= least_bytes


def test_scope_follows_the_members() -> None:
    """Guards against bytes counted by a list of members that is old."""
    view = fake_fleet.view()
    scope_of = scopes.of_members(view, "d")
    assert (scope_of("w0:1"), scope_of("new:1")) == ("own", "unknown")
    new = fake_fleet.member("new", "worker")
    view.members = view.members | {"new": new}
    assert scope_of("new:1") == "own"
    assert scopes.of_members(view, "e")("new:1") == "other"
