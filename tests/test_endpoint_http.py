"""Probes and reports of endpoints whose responses never end."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
from anyio import abc
import pytest

from ibisknot import endpoint_http

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"


def _run(
    piece: bytes,
    pause_s: float,
    check: Callable[[endpoint_http.EndpointClient, str], Awaitable[None]],
) -> None:
    """Serves a body without end in pieces."""

    async def serve(stream: abc.SocketStream) -> None:
        async with stream:
            try:
                await stream.receive()
                await stream.send(HEAD)
                while True:
                    await stream.send(piece)
                    await anyio.sleep(pause_s)
            except (anyio.BrokenResourceError, anyio.EndOfStream):
                return

    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            task_group.start_soon(listener.serve, serve)
            client = endpoint_http.EndpointClient()
            with anyio.fail_after(20.0):
                await check(client, f"http://127.0.0.1:{port}")
            await client.aclose()
            task_group.cancel_scope.cancel()

    anyio.run(main)


@pytest.mark.parametrize(
    ("piece", "pause_s"), [(b"x" * 65_536, 0.0), (b" ", 0.05)]
)
def test_report_without_end_is_no_report(piece: bytes, pause_s: float) -> None:
    """Guards against memory and time for a report that never ends."""

    async def check(client: endpoint_http.EndpointClient, url: str) -> None:
        assert await client.read_load(url) is None
        assert await client.read_cache_events(url, 0) == []
        assert await client.is_answering(url)

    _run(piece, pause_s, check)
