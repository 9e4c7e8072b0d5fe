"""Holds the calls that failed until the key-value service may answer them."""

from collections.abc import Callable

import anyio

from ibisknot import fleetview
from ibisknot.outage import access

CHECK_PERIOD_S = 0.05
"""Period at which a waiting call checks what peers have read."""
MIN_PAUSE_S = 0.05
"""Shortest pause before a call is repeated.

The service may answer the other calls of this process, and not this one.
"""


OUTAGE_AGE_S = 1.5
"""Endpoints' entries of a higher age show that no process reads them."""


def no_outage() -> bool:
    """Returns False, for parts that do not wait for the end of an outage."""
    return False


class Gate:
    """Holds the failed calls of one process.

    Attributes:
        access: Whether this process reaches the service.
        view: Says when peers have last read from it.
        clock: Returns the monotonic time in seconds.
        recovered: Set when a call succeeds; a new event follows.
    """

    def __init__(
        self, view: fleetview.View, clock: Callable[[], float]
    ) -> None:
        self.access = access.Access()
        self.view = view
        self.clock = clock
        self.recovered = anyio.Event()

    def record_failure(self) -> None:
        """Records that a call got no answer or was rejected."""
        access.record_failure(self.access, self.clock())

    def record_success(self) -> None:
        """Records an answer of the service, which wakes the waiting calls."""
        if self.access.is_failing:
            access.record_success(self.access)
            self.recovered.set()
            self.recovered = anyio.Event()

    def is_outage(self) -> bool:
        """Returns whether probably no process reaches the service."""
        return self.clock() - self.view.endpoints_read_s > OUTAGE_AGE_S

    async def wait(self) -> None:
        """Waits until the caller may repeat its failed call."""
        await anyio.sleep(MIN_PAUSE_S)
        while True:
            wait_s = access.retry_wait_s(
                self.access,
                self.clock(),
                peers_read_s=self.view.endpoints_read_s,
            )
            if wait_s <= 0:
                return
            with anyio.move_on_after(min(wait_s, CHECK_PERIOD_S)):
                await self.recovered.wait()
