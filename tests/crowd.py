"""Crowds of clients outside the limits, for tests against a real process."""

from collections.abc import Callable
import contextlib
import dataclasses
import errno
import selectors
import socket
import time

import platform_fleet
import psutil

MIB = 1024 * 1024
SEND_BYTES = 64 * 1024
SAMPLE_PERIOD_S = 0.05
CONNECT_BATCH = 20
"""Connections that a crowd opens between two rounds of sending."""


@dataclasses.dataclass(slots=True)
class Pattern:
    """What each client of a crowd does.

    Attributes:
        address: Where the clients connect, `host` and port.
        opening: What each sends first.
        repeated: What each then sends again and again.
        max_bytes: What each sends in total, at most.
        clients: Number of clients.
        hold_s: Seconds for which the crowd stays.
        reads: Whether the clients read what they get.
        half_closes: Whether each ends its direction after its last byte.
        reconnects: Whether a client that was closed comes back.
        resets: Whether the clients leave with a reset.
        piece_bytes: What a client sends at once, at most.
    """

    address: tuple[str, int]
    opening: bytes = b""
    repeated: bytes = b""
    max_bytes: int = 4 * MIB
    clients: int = 200
    hold_s: float = 8.0
    reads: bool = False
    half_closes: bool = False
    reconnects: bool = True
    resets: bool = True
    piece_bytes: int = SEND_BYTES


@dataclasses.dataclass(slots=True)
class Usage:
    """What a process used while a crowd was there.

    Attributes:
        rss_bytes: Largest resident memory.
        descriptors: Largest number of open descriptors.
        connected: Connections that the crowd has opened.
        sent_bytes: Bytes that the crowd has sent.
    """

    rss_bytes: int = 0
    descriptors: int = 0
    connected: int = 0
    sent_bytes: int = 0


@dataclasses.dataclass(slots=True)
class _Client:
    """One client's connection and what it has still to send."""

    stream: socket.socket
    pending: memoryview
    sent_bytes: int = 0
    is_done: bool = False


class Crowd:
    """The clients of one pattern.

    Attributes:
        pattern: What they do.
        usage: Counts what they have done.
        clients: The open connections, by descriptor.
        selector: Tells which of them can be written or read.
    """

    def __init__(self, pattern: Pattern, usage: Usage) -> None:
        self.pattern = pattern
        self.usage = usage
        self.clients: dict[int, _Client] = {}
        self.selector = selectors.DefaultSelector()
        repeats = max(1, SEND_BYTES // max(1, len(pattern.repeated)))
        self.block = pattern.repeated * repeats

    def connect_some(self) -> None:
        """Opens some of the connections that are missing."""
        missing = self.pattern.clients - len(self.clients)
        if not self.pattern.reconnects:
            missing = self.pattern.clients - self.usage.connected
        for _ in range(min(missing, CONNECT_BATCH)):
            stream = socket.socket()
            stream.setblocking(False)
            error = stream.connect_ex(self.pattern.address)
            if error not in (0, errno.EINPROGRESS):
                stream.close()
                return
            client = _Client(stream, memoryview(self.pattern.opening))
            self.clients[stream.fileno()] = client
            self.usage.connected += 1
            events = selectors.EVENT_WRITE
            if self.pattern.reads:
                events |= selectors.EVENT_READ
            self.selector.register(stream, events, client)

    def serve(self, wait_s: float) -> None:
        """Sends and reads what is possible now."""
        for key, events in self.selector.select(wait_s):
            client: _Client = key.data
            try:
                if events & selectors.EVENT_READ:
                    self._read(client)
                if events & selectors.EVENT_WRITE:
                    self._write(client)
            except BlockingIOError:
                continue
            except OSError:
                self._close(client)

    def _read(self, client: _Client) -> None:
        if not client.stream.recv(SEND_BYTES):
            raise ConnectionResetError

    def _write(self, client: _Client) -> None:
        pattern = self.pattern
        if not client.pending:
            if not self.block or client.sent_bytes >= pattern.max_bytes:
                self._finish(client)
                return
            client.pending = memoryview(self.block)
        sent = client.stream.send(client.pending[: pattern.piece_bytes])
        client.pending = client.pending[sent:]
        client.sent_bytes += sent
        self.usage.sent_bytes += sent

    def _finish(self, client: _Client) -> None:
        """Sends no more, and stays until the crowd leaves."""
        client.is_done = True
        if self.pattern.half_closes:
            client.stream.shutdown(socket.SHUT_WR)
        if self.pattern.reads:
            self.selector.modify(client.stream, selectors.EVENT_READ, client)
        else:
            self.selector.unregister(client.stream)

    def _close(self, client: _Client) -> None:
        with contextlib.suppress(KeyError):
            self.selector.unregister(client.stream)
        del self.clients[client.stream.fileno()]
        client.stream.close()

    def leave(self) -> None:
        """Closes all connections."""
        for client in self.clients.values():
            if self.pattern.resets:
                client.stream.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    b"\1\0\0\0\0\0\0\0",
                )
            client.stream.close()
        self.clients.clear()
        self.selector.close()


def measure(
    process: psutil.Process,
    patterns: list[Pattern],
    *,
    is_over: Callable[[Usage], bool] = lambda _usage: False,
) -> Usage:
    """Runs crowds at the same time and measures a process.

    It ends when the longest stay is over, when the process has ended, or when
    `is_over` holds.
    """
    usage = Usage()
    crowds = [Crowd(pattern, usage) for pattern in patterns]
    end_s = time.monotonic() + max(p.hold_s for p in patterns)
    try:
        next_sample_s = 0.0
        while time.monotonic() < end_s and not is_over(usage):
            for crowd in crowds:
                crowd.connect_some()
                crowd.serve(SAMPLE_PERIOD_S / len(crowds))
            if time.monotonic() >= next_sample_s:
                sample(process, usage)
                next_sample_s = time.monotonic() + SAMPLE_PERIOD_S
    except psutil.Error:
        # The process has ended; the caller's check finds out.
        pass
    finally:
        for crowd in crowds:
            crowd.leave()
    return usage


def sample(process: psutil.Process, usage: Usage) -> None:
    """Records what a process uses now.

    Raises:
        psutil.Error: The process has ended.
    """
    usage.rss_bytes = max(usage.rss_bytes, process.memory_info().rss)
    usage.descriptors = max(usage.descriptors, process.num_fds())


def check(
    fleet: platform_fleet.Fleet,
    patterns: list[Pattern],
    *,
    program: str = "front-0",
) -> Usage:
    """Runs crowds and checks what the process used and that it still serves.

    The bounds are the limits in the process's own settings.

    Raises:
        AssertionError: The process has ended, used more than its settings
            allow, or does not answer one ordinary request afterwards.
    """
    popen = fleet.programs[program].process
    assert popen is not None
    max_bytes = fleet.memory_mb * MIB
    # What is far over the bound has failed already; more could use up the
    # memory of the machine.
    usage = measure(
        psutil.Process(popen.pid),
        patterns,
        is_over=lambda u: u.rss_bytes > 3 * max_bytes,
    )
    seen = (
        f"peak of {usage.rss_bytes / MIB:.0f} MiB and"
        f" {usage.descriptors} descriptors, {usage.connected} connections,"
        f" {usage.sent_bytes / MIB:.0f} MiB sent"
    )
    print(seen)
    assert popen.poll() is None, f"the process has ended: {seen}"
    assert usage.rss_bytes <= max_bytes, seen
    assert usage.descriptors <= fleet.descriptors, seen
    platform_fleet.wait_for(lambda: _is_answered(fleet))
    assert popen.poll() is None, f"the process has ended: {seen}"
    return usage


def _is_answered(fleet: platform_fleet.Fleet) -> bool:
    """Returns whether one ordinary request gets its whole answer."""
    request_id = platform_fleet.new_id()
    try:
        answer = fleet.chat(request_id=request_id)
    except platform_fleet.httpx.HTTPError:
        return False
    return answer.status_code == 200 and f"{request_id}.5" in answer.text
