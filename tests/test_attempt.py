"""One attempt of a model request: whose events it may relay."""

from collections.abc import AsyncIterator
import contextlib

import anyio
import httpx
import pytest

from ibisknot import _attempt
from ibisknot import errors
from ibisknot import tickets

REQUEST = tickets.TicketRequest("online", "m", "o", "r", "", 1, 1.0)
EVENT = b'data: {"id":"r","system_fingerprint":"v2","choices":[]}\n\n'


async def _stream() -> AsyncIterator[bytes]:
    yield EVENT


@pytest.mark.parametrize("needed", ["v1", ""])
def test_stream_is_not_continued_by_other_software(needed: str) -> None:
    """Guards against a stream that is joined from two software versions."""

    async def main() -> None:
        attempt = _attempt.Attempt(
            "e",
            "http://e",
            tickets.Ticket("e", "t", REQUEST, "g"),
            httpx.Response(200, content=_stream()),
            contextlib.AsyncExitStack(),
            0.0,
            needed_software=needed,
        )
        with pytest.raises(errors.OtherSoftwareError):
            async for _ in _attempt.read_complete_events(attempt, "r"):
                raise AssertionError("an event was relayed")
        assert attempt.event_count == 0

    anyio.run(main)
