"""Periodic callbacks on a monotonic clock."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time

import anyio

from ibisknot import logs

Callback = Callable[[float], Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Subscription:
    """One periodic callback.

    Attributes:
        name: Name for the log.
        period_s: Seconds between calls.
        callback: Called with the current monotonic time in seconds.
        due_s: Monotonic time of the next call.
        is_running: Whether a call is in progress; the next one starts only
            after it has ended.
    """

    name: str
    period_s: float
    callback: Callback
    due_s: float
    is_running: bool = False


class Timer:
    """Runs periodic callbacks, and is the process's source of time.

    Tests pass a clock of their own and call `tick`.

    Attributes:
        clock: Returns the monotonic time in seconds.
        subscriptions: The periodic callbacks.
    """

    MAX_PAUSE_S = 0.5
    """Longest sleep; a new subscription may be called that much later."""

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self.clock = clock
        self.subscriptions: list[Subscription] = []

    def now(self) -> float:
        """Returns the monotonic time in seconds."""
        return self.clock()

    def subscribe(
        self, name: str, period_s: float, callback: Callback
    ) -> Subscription:
        """Calls `callback` every `period_s` seconds until unsubscribed.

        The first call is one period from now.
        """
        due_s = self.now() + period_s
        subscription = Subscription(name, period_s, callback, due_s)
        self.subscriptions.append(subscription)
        return subscription

    def unsubscribe(self, subscription: Subscription) -> None:
        """Ends a subscription; a call in progress completes."""
        if subscription in self.subscriptions:
            self.subscriptions.remove(subscription)

    def collect_due(self) -> list[Subscription]:
        """Returns the subscriptions to call now, and sets their next times."""
        now = self.now()
        ready = [
            s for s in self.subscriptions if s.due_s <= now and not s.is_running
        ]
        for subscription in ready:
            subscription.due_s = now + subscription.period_s
        return ready

    async def call(self, subscription: Subscription) -> None:
        """Runs one callback; an error in it is logged and not raised."""
        subscription.is_running = True
        try:
            await subscription.callback(self.now())
        except Exception as error:
            logs.event(
                "timer_callback_failed",
                level="warning",
                subscription=subscription.name,
                error=repr(error),
            )
        finally:
            subscription.is_running = False

    async def tick(self) -> None:
        """Runs the due callbacks one after the other; used by tests."""
        for subscription in self.collect_due():
            await self.call(subscription)

    def pause_s(self) -> float:
        """Returns the seconds until the next call, at most `MAX_PAUSE_S`."""
        due_s = [s.due_s for s in self.subscriptions if not s.is_running]
        next_s = min(due_s, default=self.now() + self.MAX_PAUSE_S)
        return max(0.0, min(next_s - self.now(), self.MAX_PAUSE_S))

    async def run(self) -> None:
        """Runs the callbacks as tasks until cancelled."""
        async with anyio.create_task_group() as task_group:
            while True:
                for subscription in self.collect_due():
                    task_group.start_soon(self.call, subscription)
                # A sleep, not a wait with a timeout: uvloop's timers fire up
                # to 1 ms early, so anyio re-arms a timeout up to 20 times.
                await anyio.sleep(self.pause_s())
