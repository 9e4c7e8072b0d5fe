"""Turns in which received data is parsed that comes in very many small parts.

Parsing does not wait for anything, so a peer that sends tiny chunks or events
as fast as it can would keep the event loop from all others. After some parts, a
reader waits for its turn, which one reader at a time gets, in each iteration of
the event loop. Readers of a few parts at a time never wait.
"""

import anyio
from anyio import lowlevel

PARTS_PER_TURN = 64
SMALL_PART_BYTES = 256
"""Larger parts cost little for their size, and are not counted."""

_LOCK: lowlevel.RunVar[anyio.Lock] = lowlevel.RunVar("ibisknot_turns")


class Counter:
    """Counts the parts that one reader has handled without a pause.

    Attributes:
        parts: Parts since others had a turn.
    """

    def __init__(self) -> None:
        self.parts = 0

    def reset(self) -> None:
        """Records that others had a turn, as during a wait for data."""
        self.parts = 0

    async def spend(self, size: int = 0) -> None:
        """Counts a part, and waits for a turn if there were many.

        Args:
            size: Size of the part in bytes.
        """
        if size >= SMALL_PART_BYTES:
            return
        self.parts += 1
        if self.parts >= PARTS_PER_TURN:
            self.parts = 0
            await _wait()


async def _wait() -> None:
    """Waits for a turn, in the order of the calls."""
    lock = _LOCK.get(None)
    if lock is None:
        lock = anyio.Lock()
        _LOCK.set(lock)
    async with lock:
        await lowlevel.checkpoint()
