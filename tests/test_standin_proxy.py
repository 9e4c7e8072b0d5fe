"""The fault proxy."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import socket
import struct
import threading
import time

import conftest
import pytest

Start = Callable[..., conftest.StandIn]


@contextlib.contextmanager
def echo(address: str) -> Iterator[list[bytes]]:
    """Echoes lines; yields what it received."""
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

    def fault(self, **faults: object) -> int:
        """Changes faults; returns the number of links changed."""
        body = {"pattern": "a/*", "faults": faults}
        answer = self.proxy.post("/admin/faults", body)
        answer.raise_for_status()
        return answer.json()["changed"]

    def connect(self) -> socket.socket:
        """Opens a connection that never blocks for ever."""
        made = socket.create_connection((self.proxy.address, 4001))
        made.settimeout(10)
        return made


@pytest.fixture
def link(standin: Start) -> Iterator[tuple[Link, list[bytes]]]:
    proxy = standin("proxy")
    with echo(proxy.address) as received:
        yield Link(proxy), received


def ask(connection: socket.socket, data: bytes) -> bytes:
    connection.sendall(data)
    return connection.recv(1000)


def closed(connection: socket.socket) -> bool:
    try:
        return connection.recv(1000) == b""
    except ConnectionError:
        return True


def wait_for(received: list[bytes], data: bytes) -> None:
    for _ in range(200):
        if data in received:
            return
        time.sleep(0.05)
    raise AssertionError(f"{data!r} did not arrive")


def test_delay_is_at_least_a_round_trip(
    link: tuple[Link, list[bytes]],
) -> None:
    """Guards against delays that are not applied in both directions."""
    made, _ = link
    made.fault(delay_s=0.1)
    with made.connect() as connection:
        ask(connection, b"first")
        start_s = time.monotonic()
        assert ask(connection, b"x") == b"x"
        # A lower bound holds however busy the machine is.
        assert time.monotonic() - start_s >= 0.2


def test_cut_closes_and_refuses_until_healed(
    link: tuple[Link, list[bytes]],
) -> None:
    """Guards against connections that survive a cut."""
    made, _ = link
    with made.connect() as connection:
        assert ask(connection, b"x") == b"x"
        assert made.fault(cut=True) == 1
        assert closed(connection)
    with made.connect() as connection:
        assert closed(connection)
    made.fault(cut=False)
    with made.connect() as connection:
        assert ask(connection, b"y") == b"y"


def test_half_open_swallows_and_then_closes(
    link: tuple[Link, list[bytes]],
) -> None:
    """Guards against a stream that goes on with a gap after a cut."""
    made, received = link
    with made.connect() as connection, made.connect() as idle:
        assert ask(connection, b"x") == b"x"
        assert ask(idle, b"i") == b"i"
        made.fault(half_open=True)
        connection.sendall(b"gone")
        connection.settimeout(0.5)
        with pytest.raises(TimeoutError):
            connection.recv(1000)
        made.fault(half_open=False)
        connection.settimeout(10)
        connection.sendall(b"late")
        assert closed(connection)
        assert ask(idle, b"j") == b"j"
    assert b"gone" not in received and b"late" not in received


def test_dropped_answer_reached_the_target(
    link: tuple[Link, list[bytes]],
) -> None:
    """Guards against dropping the request together with its answer."""
    made, received = link
    with made.connect() as connection:
        made.fault(drop_answers=True)
        connection.sendall(b"write")
        wait_for(received, b"write")
        connection.settimeout(0.5)
        with pytest.raises(TimeoutError):
            connection.recv(1000)


def test_change_keeps_what_it_does_not_name(
    link: tuple[Link, list[bytes]],
) -> None:
    """Guards against a healed link that lost its delay."""
    made, _ = link
    made.fault(delay_s=0.05)
    made.fault(cut=True)
    made.fault(cut=False)
    faults = made.proxy.get("/admin/links").json()[0]["faults"]
    assert faults["delay_s"] == 0.05 and not faults["cut"]
    body = {"pattern": "*", "faults": {"no_such_fault": True}}
    assert made.proxy.post("/admin/faults", body).status_code == 400
    assert made.fault() == 1


def test_reset_connections_do_not_end_the_proxy(
    link: tuple[Link, list[bytes]],
) -> None:
    """Guards against one broken connection ending all links."""
    made, _ = link
    linger = struct.pack("ii", 1, 0)
    for _ in range(20):
        with made.connect() as connection:
            assert ask(connection, b"x") == b"x"
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    with made.connect() as connection:
        assert ask(connection, b"y") == b"y"
    assert made.proxy.process.poll() is None
