"""The proxy that injects faults."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import socket
import struct
import threading
import time

import conftest
import pytest

StartStandIn = Callable[..., conftest.StandIn]


@contextlib.contextmanager
def echo(address: str) -> Iterator[list[bytes]]:
    """Echoes what arrives at an address; yields the list of received data."""
    received: list[bytes] = []
    listener = socket.create_server((address, 4000))

    def serve(connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection:
            while data := connection.recv(1000):
                received.append(data)
                connection.sendall(data)

    def accept() -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = listener.accept()
                threading.Thread(
                    target=serve, args=(connection,), daemon=True
                ).start()

    threading.Thread(target=accept, daemon=True).start()
    yield received
    listener.close()


class Link:
    """A link of a started proxy to an echo server."""

    def __init__(self, proxy: conftest.StandIn) -> None:
        self.proxy = proxy
        link = {
            "name": "a/peer/b:1",
            "listen": f"{proxy.address}:4001",
            "target": f"{proxy.address}:4000",
        }
        proxy.post("/admin/links", [link]).raise_for_status()

    def set_faults(self, **faults: object) -> int:
        """Changes faults; returns the number of links changed."""
        body = {"pattern": "a/*", "faults": faults}
        response = self.proxy.post("/admin/faults", body)
        response.raise_for_status()
        return response.json()["changed"]

    def connect(self) -> socket.socket:
        """Opens a connection whose calls time out."""
        connection = socket.create_connection((self.proxy.address, 4001))
        connection.settimeout(10)
        return connection


@pytest.fixture
def link(standin: StartStandIn) -> Iterator[tuple[Link, list[bytes]]]:
    proxy = standin("proxy")
    with echo(proxy.address) as received:
        yield Link(proxy), received


def send_and_receive(connection: socket.socket, data: bytes) -> bytes:
    connection.sendall(data)
    return connection.recv(1000)


def is_closed(connection: socket.socket) -> bool:
    try:
        return connection.recv(1000) == b""
    except ConnectionError:
        return True


def wait_until_received(received: list[bytes], data: bytes) -> None:
    for _ in range(200):
        if data in received:
            return
        time.sleep(0.05)
    raise AssertionError(f"{data!r} did not arrive")


def test_delay_is_at_least_a_round_trip(
    link: tuple[Link, list[bytes]],
) -> None:
    """Guards against delays that are not applied in both directions."""
    proxy_link, _ = link
    proxy_link.set_faults(delay_s=0.1)
    with proxy_link.connect() as connection:
        send_and_receive(connection, b"first")
        start_s = time.monotonic()
        assert send_and_receive(connection, b"x") == b"x"
        # Load on the machine cannot make the round trip shorter.
        assert time.monotonic() - start_s >= 0.2


def test_cut_closes_and_refuses_until_it_is_reset(
    link: tuple[Link, list[bytes]],
) -> None:
    """Guards against connections that stay open after a cut."""
    proxy_link, _ = link
    with proxy_link.connect() as connection:
        assert send_and_receive(connection, b"x") == b"x"
        assert proxy_link.set_faults(cut=True) == 1
        assert is_closed(connection)
    with proxy_link.connect() as connection:
        assert is_closed(connection)
    proxy_link.set_faults(cut=False)
    with proxy_link.connect() as connection:
        assert send_and_receive(connection, b"y") == b"y"


def test_half_open_drops_bytes_and_then_closes(
    link: tuple[Link, list[bytes]],
) -> None:
    """Guards against a stream that continues after a gap."""
    proxy_link, received = link
    with proxy_link.connect() as connection, proxy_link.connect() as idle:
        assert send_and_receive(connection, b"x") == b"x"
        assert send_and_receive(idle, b"i") == b"i"
        proxy_link.set_faults(half_open=True)
        connection.sendall(b"gone")
        connection.settimeout(0.5)
        with pytest.raises(TimeoutError):
            connection.recv(1000)
        proxy_link.set_faults(half_open=False)
        connection.settimeout(10)
        connection.sendall(b"late")
        assert is_closed(connection)
        assert send_and_receive(idle, b"j") == b"j"
    assert b"gone" not in received and b"late" not in received


def test_request_of_a_dropped_response_reaches_the_target(
    link: tuple[Link, list[bytes]],
) -> None:
    """Guards against dropping the request together with its response."""
    proxy_link, received = link
    with proxy_link.connect() as connection:
        proxy_link.set_faults(drop_answers=True)
        connection.sendall(b"write")
        wait_until_received(received, b"write")
        connection.settimeout(0.5)
        with pytest.raises(TimeoutError):
            connection.recv(1000)


def test_change_keeps_the_other_faults(
    link: tuple[Link, list[bytes]],
) -> None:
    """Guards against a restored link that has lost its delay."""
    proxy_link, _ = link
    proxy_link.set_faults(delay_s=0.05)
    proxy_link.set_faults(cut=True)
    proxy_link.set_faults(cut=False)
    faults = proxy_link.proxy.get("/admin/links").json()[0]["faults"]
    assert faults["delay_s"] == 0.05 and not faults["cut"]
    body = {"pattern": "*", "faults": {"no_such_fault": True}}
    assert proxy_link.proxy.post("/admin/faults", body).status_code == 400
    assert proxy_link.set_faults() == 1


def test_reset_connections_do_not_end_the_proxy(
    link: tuple[Link, list[bytes]],
) -> None:
    """Guards against a connection error that ends all links."""
    proxy_link, _ = link
    linger = struct.pack("ii", 1, 0)
    for _ in range(20):
        with proxy_link.connect() as connection:
            assert send_and_receive(connection, b"x") == b"x"
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    with proxy_link.connect() as connection:
        assert send_and_receive(connection, b"y") == b"y"
    assert proxy_link.proxy.process.poll() is None
