"""The calls of one peer's connection, and what is held for them."""

from collections.abc import Awaitable
from collections.abc import Callable

import anyio
from anyio import abc
from anyio import lowlevel

from ibisknot import http11
from ibisknot.client_limits import budget

SEND_TIMEOUT_S = 8.0
"""A peer that does not take a response for this time is disconnected."""
MAX_UNSENT_RESPONSES = 32
"""Responses that wait for a peer, beyond which its connection is not read."""
CALLS_PER_TURN = 16
"""Calls of one connection that begin before others have a turn."""
FREE_CALLS = 64
"""Calls of one connection that are handled at once also without memory."""
MAX_CALLS = 4096
"""Calls of one connection that are handled at once."""
MAX_HELD_BYTES = 1024 * 1024
"""Calls and responses of one connection, beyond which it is not read."""
CALL_BYTES = 8 * 1024
"""Cost of a call that is handled, besides its payload."""


class Calls:
    """The calls of one connection that are handled, and their responses.

    Attributes:
        stream: The connection.
        limit: Memory of all clients.
        account: What is held for the connection.
        lock: Held while a response is sent.
        running: Number of calls without a sent response.
        unsent: Number of responses that are not yet sent.
        ended: Set when a call ends while the connection is not read.
        begun: Number of calls so far.
    """

    def __init__(
        self,
        stream: abc.ByteStream,
        limit: budget.Budget,
        account: budget.Account,
    ) -> None:
        self.stream = stream
        self.limit = limit
        self.account = account
        self.lock = anyio.Lock()
        self.running = 0
        self.unsent = 0
        self.ended: anyio.Event | None = None
        self.begun = 0

    def charge(self, size: int) -> bool:
        """Counts held bytes; returns whether there is memory."""
        return self.limit.charge(self.account, size)

    def begin(self, held_bytes: int) -> None:
        """Charges for a call that was received.

        Args:
            held_bytes: Size of its frame, or of its payload if that is larger.
        """
        if not self.running:
            self.limit.begin_work(self.account)
        self.running += 1
        self.begun += 1
        self.charge(CALL_BYTES + held_bytes)

    def end(self, held_bytes: int, *, completed: bool) -> None:
        """Gives back the charge for a call that has ended.

        Args:
            held_bytes: As for `begin`.
            completed: Whether the call was of a known method.
        """
        self.running -= 1
        self.charge(-CALL_BYTES - held_bytes)
        if not self.running:
            self.limit.end_work(self.account, completed=completed)
        if self.ended is not None:
            self.ended.set()

    async def wait_for_room(self) -> None:
        """Waits while too much of the connection is in progress."""
        if not self.begun % CALLS_PER_TURN:
            await lowlevel.checkpoint()
        while not self._has_room():
            self.ended = anyio.Event()
            await self.ended.wait()
            self.ended = None

    def _has_room(self) -> bool:
        if self.running >= FREE_CALLS:
            if self.running >= MAX_CALLS:
                return False
            if self.limit.is_full(self.account.quota):
                return False
        if self.unsent and self.account.held_bytes > MAX_HELD_BYTES:
            return False
        return self.unsent < MAX_UNSENT_RESPONSES

    async def send(
        self, send_frame: Callable[[], Awaitable[None]], size: int
    ) -> None:
        """Sends a response; closes the connection of a peer that is stuck.

        Args:
            send_frame: Sends it.
            size: Size of its payload in bytes.
        """
        self.unsent += 1
        self.charge(size)
        try:
            with anyio.fail_after(SEND_TIMEOUT_S):
                await send_frame()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        except TimeoutError:
            await http11.close_abruptly(self.stream)
        finally:
            self.unsent -= 1
            self.charge(-size)
