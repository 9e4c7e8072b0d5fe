"""Endpoints whose responses never end, or come twice."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
from anyio import abc
import pytest

from ibisknot import endpoint_http
from ibisknot import errors

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


def _response(status: bytes, request_id: str) -> bytes:
    """Returns a response to a request."""
    return b"HTTP/1.1 %s\r\nContent-Length: 2\r\nX-Request-Id: %s\r\n\r\n{}" % (
        status,
        request_id.encode(),
    )


REFUSAL = b"503 Service Unavailable"


class _Repeater:
    """Endpoint that refuses once, and sends the refusal again later.

    Attributes:
        requests: Requests received on each connection, in order.
    """

    def __init__(self) -> None:
        self.requests: list[int] = []

    async def serve(self, stream: abc.SocketStream) -> None:
        """Serves one connection."""
        index = len(self.requests)
        self.requests.append(0)
        async with stream:
            try:
                while True:
                    request = await stream.receive()
                    self.requests[index] += 1
                    await stream.send(self._answer(request))
            except (anyio.BrokenResourceError, anyio.EndOfStream):
                return

    def _answer(self, request: bytes) -> bytes:
        if sum(self.requests) == 1:
            return _response(REFUSAL, "a")
        request_id = "a" if b"x-request-id: a" in request.lower() else "b"
        answer = _response(b"200 OK", request_id)
        is_kept = self.requests[-1] > 1
        return (_response(REFUSAL, "a") + answer) if is_kept else answer


async def _fetch(
    client: endpoint_http.EndpointClient, url: str, request_id: str, **how: bool
) -> int:
    """Returns the status of the response to a request."""
    headers = {"x-request-id": request_id}
    async with client.open(
        "POST", url, headers=headers, body=b"{}", **how
    ) as response:
        await response.aread()
        return response.status_code


async def _with_repeater(
    check: Callable[
        [endpoint_http.EndpointClient, str, _Repeater], Awaitable[None]
    ],
) -> None:
    """Runs a check with an endpoint that has refused request `a`."""
    endpoint = _Repeater()
    async with anyio.create_task_group() as task_group:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        task_group.start_soon(listener.serve, endpoint.serve)
        client = endpoint_http.EndpointClient()
        url = f"http://127.0.0.1:{port}"
        assert await _fetch(client, url, "a") == 503
        await check(client, url, endpoint)
        await client.aclose()
        task_group.cancel_scope.cancel()


@pytest.mark.anyio
async def test_refusal_of_another_request_is_not_believed() -> None:
    """Guards against "not run" for a request that the endpoint is running."""

    async def check(
        client: endpoint_http.EndpointClient, url: str, endpoint: _Repeater
    ) -> None:
        with pytest.raises(errors.EndpointError, match="another") as raised:
            await _fetch(client, url, "b")
        assert raised.value.ran == errors.UNKNOWN
        # Nothing of that connection is read later.
        assert await _fetch(client, url, "b") == 200
        assert endpoint.requests == [2, 1]

    await _with_repeater(check)


@pytest.mark.anyio
async def test_second_copy_of_a_refusal_does_not_refuse_the_retry() -> None:
    """Guards against a retry that takes its first attempt's refusal."""

    async def check(
        client: endpoint_http.EndpointClient, url: str, endpoint: _Repeater
    ) -> None:
        assert await _fetch(client, url, "a", is_retry=True) == 200
        assert endpoint.requests == [1, 1]

    await _with_repeater(check)
