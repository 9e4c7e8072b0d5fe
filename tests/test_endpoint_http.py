"""The HTTP client of endpoints, before raw sockets."""

import contextlib
import socket
import threading

import anyio
import httpx
import pytest

from ibisknot import _endpoint_http

pytestmark = pytest.mark.anyio
WHOLE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"

CUT_CHUNKS = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n"


class Server:
    """Answers each request on a connection with the next prepared bytes."""

    def __init__(self, *connections: list[bytes]) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        host, port = self.listener.getsockname()
        self.address = f"{host}:{port}"
        self.accepted = 0
        self.requests: list[bytes] = []
        threading.Thread(
            target=self._serve, args=(connections,), daemon=True
        ).start()

    def _serve(self, connections: tuple[list[bytes], ...]) -> None:
        with contextlib.suppress(OSError):
            for answers in connections:
                connection, _ = self.listener.accept()
                self.accepted += 1
                with connection:
                    for answer in answers:
                        self.requests.append(connection.recv(65536))
                        connection.sendall(answer)

    async def ask(self, transport: _endpoint_http.Transport) -> bytes:
        """Sends one request and reads its answer."""
        response = await transport.send(
            "POST",
            f"http://{self.address}/a?b=1",
            self.address,
            headers={"x-request-id": "r"},
            body=b"{}",
        )
        try:
            parts = [part async for part in response.aiter_raw()]
        finally:
            await response.aclose()
        return b"".join(parts)


def made(read_timeout_s: float = 30.0) -> _endpoint_http.Transport:
    return _endpoint_http.Transport(
        connect_timeout_s=5.0, read_timeout_s=read_timeout_s
    )


async def test_connection_is_used_again() -> None:
    """Guards against a new connection for each request."""
    server = Server([WHOLE, WHOLE])
    transport = made()
    assert await server.ask(transport) == b"ok"
    assert await server.ask(transport) == b"ok"
    assert server.accepted == 1
    assert server.requests[0].startswith(b"POST /a?b=1 HTTP/1.1\r\n")
    assert server.requests[0].endswith(b"\r\n\r\n{}")
    await transport.aclose()


async def test_connection_closed_while_idle_is_not_used() -> None:
    """Guards against failing a request that another connection can run."""
    server = Server([WHOLE], [WHOLE])
    transport = made()
    assert await server.ask(transport) == b"ok"
    kept = transport.idle[server.address][0]
    with anyio.fail_after(10):
        while kept.usable():
            await anyio.sleep(0.01)
    assert await server.ask(transport) == b"ok"
    assert server.accepted == 2
    await transport.aclose()


async def test_connection_with_an_unread_answer_is_not_used() -> None:
    """Guards against the rest of one answer reaching another request."""
    part = b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nfirst"
    server = Server([part], [WHOLE])
    transport = made()
    response = await transport.send(
        "GET", "http://x/", server.address, headers={}, body=b""
    )
    await response.aclose()
    assert await server.ask(transport) == b"ok"
    await transport.aclose()


@pytest.mark.parametrize(
    ("answer", "kind"),
    [
        (b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok", httpx.HTTPError),
        (CUT_CHUNKS, httpx.HTTPError),
        (b"\x00\x01\r\n\r\n", httpx.RemoteProtocolError),
        (b"", httpx.HTTPError),
    ],
)
async def test_answer_that_is_cut_or_wrong_is_an_error(
    answer: bytes, kind: type[Exception]
) -> None:
    """Guards against an answer that was cut looking whole."""
    server = Server([answer])
    transport = made()
    with pytest.raises(kind):
        await server.ask(transport)
    assert not transport.idle.get(server.address)


async def test_silent_endpoint_is_a_timeout() -> None:
    """Guards against waiting for ever for an answer."""
    listener = socket.create_server(("127.0.0.1", 0))
    host, port = listener.getsockname()
    with pytest.raises(httpx.ReadTimeout):
        await made(0.2).send(
            "GET", "http://x/", f"{host}:{port}", headers={}, body=b""
        )
    listener.close()


@pytest.mark.parametrize("value", ["a\r\nb", "caf\u20ac"])
async def test_bad_header_is_an_error(value: str) -> None:
    """Guards against headers that add other headers."""
    server = Server([WHOLE])
    with pytest.raises(httpx.LocalProtocolError):
        await made().send(
            "GET", "http://x/", server.address, headers={"x": value}, body=b""
        )


async def test_refused_connection_is_a_connect_error() -> None:
    """Guards against `unknown` for a request that was never sent."""
    server = Server()
    server.listener.close()
    with pytest.raises(httpx.ConnectError):
        await server.ask(made())
