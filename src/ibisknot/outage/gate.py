"""Holds the calls that failed until the key-value service may answer them."""

from collections.abc import Awaitable
from collections.abc import Callable
import math
from typing import TypeVar

import anyio

from ibisknot import errors
from ibisknot import fleetview
from ibisknot import logs
from ibisknot.outage import access

CHECK_PERIOD_S = 0.1
"""Period at which a process checks what peers have read."""
MIN_PAUSE_S = 0.05
"""Shortest pause before a call is repeated.

The service may answer the other calls of this process, and not this one.
"""
LOST_CALL_S = 0.3
"""Age of a call that is given up when the service is back for other calls."""
OUTAGE_AGE_S = 1.5
"""Endpoints' entries of a higher age show that no process reads them."""


T = TypeVar("T")


def no_outage() -> bool:
    """Returns False, for parts that do not wait for the end of an outage."""
    return False


class Gate:
    """Holds the failed calls of one process.

    Attributes:
        access: Whether this process reaches the service.
        view: Says when peers have last read from it.
        clock: Returns the monotonic time in seconds.
        recovered: Set when a call succeeds or an outage ends; a new event
            follows.
        was_outage: Whether no process reached the service at the last check.
        ended_s: Monotonic time of the end of the last outage.
        started_s: Monotonic time of the start of each direct call without an
            answer, by the cancel scope of the call.
    """

    def __init__(
        self, view: fleetview.View, clock: Callable[[], float]
    ) -> None:
        self.access = access.Access()
        self.view = view
        self.clock = clock
        self.recovered = anyio.Event()
        self.was_outage = False
        self.ended_s = -math.inf
        self.started_s: dict[anyio.CancelScope, float] = {}

    def record_failure(self) -> None:
        """Records that a call got no answer or was rejected."""
        access.record_failure(self.access, self.clock())

    def record_success(self) -> None:
        """Records an answer of the service, which wakes the waiting calls."""
        if self.access.is_failing:
            access.record_success(self.access)
            self._wake()

    def _wake(self) -> None:
        self.recovered.set()
        self.recovered = anyio.Event()

    async def check(self, now: float) -> None:
        """Timer callback: ends the waits of an outage that is over.

        A call that was made in the outage may wait for its time-out, as a
        service that gave no answers then gives none later.
        """
        was_outage, self.was_outage = self.was_outage, self.is_outage()
        if was_outage and not self.was_outage:
            self.ended_s = now
            logs.event("outage_ended", calls=len(self.started_s))
            self._wake()
        for scope, started_s in list(self.started_s.items()):
            if started_s < self.ended_s and now - started_s > LOST_CALL_S:
                scope.cancel()

    async def run(
        self, call: Callable[[], Awaitable[T]], *, is_write: bool
    ) -> T:
        """Makes a direct call, which is given up when an outage is over.

        Raises:
            KeyValueError: The call failed or was given up.
            KeyValueUnknownError: It may have taken effect.
        """
        with anyio.CancelScope() as scope:
            self.started_s[scope] = self.clock()
            try:
                return await call()
            finally:
                del self.started_s[scope]
        message = "a call from before the end of an outage was given up"
        if is_write:
            raise errors.KeyValueUnknownError(message)
        raise errors.KeyValueError(message)

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
