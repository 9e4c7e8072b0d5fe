"""Responses whose bodies are large, and callers that read slowly."""

from collections.abc import Callable

import anyio
from anyio import abc
import h11
import pytest

from ibisknot import errors
from ibisknot import http11
from ibisknot import http_exchange

BODY = bytes(range(256)) * 4000


class _Caller(abc.ByteStream):
    """A caller that takes pieces when the test lets it.

    Attributes:
        received: What it has taken.
        largest: Size of the largest piece.
        may_read: Set while it reads.
    """

    def __init__(self) -> None:
        self.received = b""
        self.largest = 0
        self.may_read = anyio.Event()

    async def send(self, item: bytes) -> None:
        """Takes a piece."""
        self.largest = max(self.largest, len(item))
        await self.may_read.wait()
        self.received += item

    async def receive(self, max_bytes: int = 1) -> bytes:
        """Receives nothing."""
        raise anyio.EndOfStream

    async def send_eof(self) -> None:
        """Does nothing."""

    async def aclose(self) -> None:
        """Does nothing."""


def _exchange(
    caller: _Caller, charge: Callable[[int], object]
) -> http_exchange.Exchange:
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    parser.next_event()
    parser.next_event()
    return http_exchange.Exchange(
        http11.Request(b"GET", b"/", []),
        caller,  # type: ignore[arg-type]
        parser,
        is_closing=lambda: False,
        charge=charge,
    )


def test_large_body_is_charged_while_it_is_sent() -> None:
    """Guards against slow readers of results that exhaust the memory."""
    held = [0]

    def charge(size: int) -> bool:
        held[0] += size
        return True

    async def main() -> None:
        caller = _Caller()
        exchange = _exchange(caller, charge)
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(exchange.respond, 200, [], BODY)
            await anyio.wait_all_tasks_blocked()
            assert held[0] >= len(BODY)
            caller.may_read.set()
        assert held[0] == 0
        assert exchange.finished
        assert caller.received.endswith(b"\r\n\r\n" + BODY)
        assert caller.largest < 2 * http_exchange.PIECE_BYTES

    anyio.run(main)


def test_large_body_is_refused_if_clients_hold_too_much() -> None:
    """Guards against reads of results beyond the memory of a process."""
    held = [0]

    def charge(size: int) -> bool:
        held[0] += size
        return held[0] < len(BODY)

    async def main() -> None:
        caller = _Caller()
        exchange = _exchange(caller, charge)
        with pytest.raises(errors.UnavailableError):
            await exchange.respond(200, [], BODY)
        assert not exchange.started
        assert held[0] == 0

    anyio.run(main)


def test_reader_that_takes_too_long_is_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against memory that a caller holds who stops reading."""
    monkeypatch.setattr(http_exchange, "SEND_TIMEOUT_S", 0.05)
    held = [0]

    def charge(size: int) -> bool:
        held[0] += size
        return True

    async def main() -> None:
        exchange = _exchange(_Caller(), charge)
        with pytest.raises(errors.CallerGoneError):
            await exchange.respond(200, [], BODY)
        assert exchange.aborted
        assert held[0] == 0

    anyio.run(main)
