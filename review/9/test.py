"""Clients that read results slowly make gateways exceed their memory."""

import pathlib
import selectors
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "harness-2"))

import fleet as fleets

MEMORY_MB = 160
DESCRIPTORS = 1638
ATTACKED = 2
"""Machines at which the crowds read; clients submit at a third one."""
ITEMS = 200
EVENTS = 170
EVENT_BYTES = 40
CLIENTS = 50
ROUNDS = 3
ROUND_S = 12.0
RESTART_S = 0.5
RECEIVE_BUFFER_BYTES = 16 * 1024
SLOW_READ_BYTES = 4096
SLOW_READ_PERIOD_S = 0.25
"""A slow client reads 16 kB a second, a page of 900 kB in a minute."""


class Crowd:
    """Clients that ask one gateway for the results of a batch job."""

    def __init__(
        self, fleet: fleets.Fleet, host: int, job_id: str, clients: int
    ) -> None:
        self.selector = selectors.DefaultSelector()
        self.next_read_s = 0.0
        for _ in range(clients):
            channel = socket.socket()
            channel.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
            channel.settimeout(2.0)
            request = (
                f"GET /lots/{job_id}?After=0 HTTP/1.1\r\n"
                f"Host: {fleets.HOST}\r\n"
                f"Authorization: Token {fleets.KEY}\r\n"
                f"X-Ibisknot-Request-Id: {fleets.new_id()}\r\n"
                "Connection: close\r\n\r\n"
            )
            try:
                channel.connect((fleet.ip(host), fleets.FRONT_PORT))
                channel.sendall(request.encode())
            except OSError:
                channel.close()
                continue
            channel.setblocking(False)
            self.selector.register(channel, selectors.EVENT_READ)

    def read(self) -> None:
        """Reads what the clients read now."""
        now = time.monotonic()
        if now < self.next_read_s:
            return
        self.next_read_s = now + SLOW_READ_PERIOD_S
        for key, _ in self.selector.select(0):
            channel = key.fileobj
            assert isinstance(channel, socket.socket)
            try:
                data = channel.recv(SLOW_READ_BYTES)
            except OSError:
                data = b""
            if not data:
                self.selector.unregister(channel)
                channel.close()

    def leave(self) -> None:
        """Closes all channels."""
        for key in list(self.selector.get_map().values()):
            assert isinstance(key.fileobj, socket.socket)
            key.fileobj.close()
        self.selector.close()


def read_in_turn(fleet: fleets.Fleet, number: int, job_id: str) -> bool:
    """Reads as often, but one client after the other and at once."""
    peak_mb = 0.0
    for _ in range(CLIENTS):
        fleet.read_results(20 + number, job_id)
        peak_mb = max(peak_mb, fleet.memory_mb(f"front-{number}"))
    fleet.record(f"front-{number}: {peak_mb:.0f} MB of {MEMORY_MB} MB")
    return peak_mb > MEMORY_MB


def play(fleet: fleets.Fleet, number: int, job_id: str) -> bool:
    """Plays one crowd; returns whether the gateway was ended for memory.

    The platform kills a process that uses more than `MemoryMb`, and restarts
    it after a short delay.
    """
    name = f"front-{number}"
    crowd = Crowd(fleet, 20 + number, job_id, CLIENTS)
    peak_mb = 0.0
    end_s = time.monotonic() + ROUND_S
    while time.monotonic() < end_s and crowd.selector.get_map():
        crowd.read()
        peak_mb = max(peak_mb, fleet.memory_mb(name))
        if peak_mb > MEMORY_MB:
            break
        time.sleep(0.01)
    crowd.leave()
    fleet.record(f"{name}: {peak_mb:.0f} MB of {MEMORY_MB} MB")
    if peak_mb <= MEMORY_MB:
        return False
    fleet.kill(name)
    fleet.record(f"{name}: killed by the platform, over its memory")
    time.sleep(RESTART_S)
    fleet.spawn(name)
    fleet.wait_until_ready([20 + number])
    return True


def test(fleet: fleets.Fleet, has_trouble: bool) -> int:
    """Runs the case."""
    fleet.start_store(
        fleets.desired_state([fleets.batch_route("b", "/b/")], ["llm"])
    )
    for number in range(4):
        fleet.start_engine(
            f"e-{number}",
            60 + number,
            "--event-ms=1",
            f"--event-bytes={EVENT_BYTES}",
        )
    for number in range(ATTACKED + 1):
        fleet.start_node(
            f"front-{number}", "front", 20 + number, MEMORY_MB, DESCRIPTORS
        )
    for number in range(3):
        fleet.start_node(f"store-{number}", "store", 40 + number, 320)
    fleet.wait_until_ready([20, 21, 22])
    time.sleep(4.0)
    job_id = fleets.new_id()
    items = [
        fleets.item(fleets.new_id(), f"/b/{n}", tokens=500, events=EVENTS)
        for n in range(ITEMS)
    ]
    status = fleet.submit(22, "/b/x", job_id, items)
    fleet.record(f"{job_id}: {ITEMS} items: {status}")
    count = 0
    end_s = time.monotonic() + 40.0
    while count < ITEMS and time.monotonic() < end_s:
        _, page = fleet.read_results(22, job_id, count, 1000)
        count += len(page.get("Results", []))
    fleet.record(f"{count} items are listed")
    if count < ITEMS:
        raise fleets.CannotRunError("the items are not done")
    ends = [0] * ATTACKED
    act = play if has_trouble else read_in_turn
    for _ in range(ROUNDS):
        for number in range(ATTACKED):
            ends[number] += act(fleet, number, job_id)
    fleet.record(f"ends of processes by themselves: {ends}")
    if all(count >= 3 for count in ends):
        fleet.record("Fault: two machines' processes ended three times each")
        return fleets.BROKEN
    return fleets.HELD


fleets.main(__file__, test)
