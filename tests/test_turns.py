"""Readers of very many small parts, beside readers of a few."""

import anyio
from anyio import abc
from anyio import lowlevel
import pytest

from ibisknot import http_call
from ibisknot import http_response
from ibisknot import peer_frames
from ibisknot import tunnel
from ibisknot import turns

PARTS = 40 * turns.PARTS_PER_TURN
READERS = 100


class _Parts:
    """Counts the parts that readers handle between two turns of others.

    Attributes:
        handled: Parts that were handled.
        longest: Most parts in one iteration of the event loop.
    """

    def __init__(self) -> None:
        self.handled = 0
        self.longest = 0

    async def watch(self) -> None:
        """Runs once in each iteration of the event loop."""
        before = 0
        while True:
            self.longest = max(self.longest, self.handled - before)
            before = self.handled
            await lowlevel.checkpoint()


class _Received(abc.ByteStream):
    """A connection on which everything has arrived at once."""

    def __init__(self, data: bytes) -> None:
        self.pieces = [data]

    async def receive(self, max_bytes: int = 1 << 20) -> bytes:
        """Returns all that has arrived."""
        await lowlevel.checkpoint()
        if not self.pieces:
            raise anyio.EndOfStream
        return self.pieces.pop()

    async def send(self, item: bytes) -> None:
        """Sends nothing."""

    async def send_eof(self) -> None:
        """Does nothing."""

    async def aclose(self) -> None:
        """Does nothing."""


async def _read_chunks(parts: _Parts) -> None:
    """Reads an answer in chunks of one byte."""
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    stream = _Received(head + b"1\r\nx\r\n" * PARTS + b"0\r\n\r\n")
    response = http_response.Response(
        stream,
        http_call.Call(
            address="a:1",
            method=b"GET",
            target=b"/",
            headers=[(b"Host", b"a")],
        ),
    )
    await response.read_head()
    async for _ in response.chunks():
        parts.handled += 1


async def _read_tunnel(parts: _Parts) -> None:
    """Reads frames of one byte of a tunnel."""
    frames = (tunnel.LENGTH.pack(1) + b"x") * PARTS
    stream = tunnel.Stream(_Received(frames), bytearray())
    for _ in range(PARTS):
        await stream.receive()
        parts.handled += 1


async def _read_frames(parts: _Parts) -> None:
    """Reads frames of one byte of another process."""
    stream = _Received((peer_frames.LENGTH.pack(1) + b"x") * PARTS)
    received = bytearray()
    turn = turns.Counter()
    for _ in range(PARTS):
        await peer_frames.receive_frame(stream, received, turn=turn)
        parts.handled += 1


@pytest.mark.parametrize("read", [_read_chunks, _read_tunnel, _read_frames])
def test_readers_of_small_parts_share_the_event_loop(read: object) -> None:
    """Guards against answers that keep a process from all other clients."""
    parts = _Parts()

    async def main() -> None:
        async with anyio.create_task_group() as watching:
            watching.start_soon(parts.watch)
            async with anyio.create_task_group() as task_group:
                for _ in range(READERS):
                    task_group.start_soon(read, parts)  # type: ignore[arg-type]
            watching.cancel_scope.cancel()

    anyio.run(main)
    assert parts.handled == READERS * PARTS
    # The first parts of each reader need no turn.
    assert parts.longest <= READERS * turns.PARTS_PER_TURN
    assert parts.handled / parts.longest > PARTS / turns.PARTS_PER_TURN


def test_reader_of_few_parts_does_not_wait_for_the_others() -> None:
    """Guards against a crowd whose tiny chunks keep all others waiting."""
    parts = _Parts()
    waits = 0

    async def read_many() -> None:
        turn = turns.Counter()
        while True:
            parts.handled += 1
            await turn.spend(1)

    async def read_few() -> None:
        nonlocal waits
        turn = turns.Counter()
        for _ in range(10):
            for _ in range(turns.PARTS_PER_TURN - 1):
                await turn.spend(1)
            await lowlevel.checkpoint()
            turn.reset()
            waits += 1

    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            for _ in range(10 * READERS):
                task_group.start_soon(read_many)
            for _ in range(3):
                await lowlevel.checkpoint()
            begun = parts.handled
            await read_few()
            parts.handled -= begun
            task_group.cancel_scope.cancel()

    anyio.run(main)
    assert waits == 10
    assert parts.handled <= 2 * waits * turns.PARTS_PER_TURN


def test_large_parts_are_not_counted() -> None:
    """Guards against turns that large answers would wait for."""
    turn = turns.Counter()

    async def main() -> None:
        for _ in range(10 * turns.PARTS_PER_TURN):
            await turn.spend(turns.SMALL_PART_BYTES)

    anyio.run(main)
    assert turn.parts == 0
