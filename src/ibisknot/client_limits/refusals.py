"""Counts refused and closed connections, with one log line a period."""

import collections
from collections.abc import Callable

from ibisknot import logs
from ibisknot import metrics

LOG_PERIOD_S = 5.0


class Refusals:
    """Refused and closed connections since the last log line.

    The first one of a burst is logged at once. The others are logged with
    their number when `LOG_PERIOD_S` is over.

    Attributes:
        now: Returns the monotonic time.
        counts: Number by listener and cause.
        addresses: Number by client address.
        logged_s: Monotonic time of the last log line.
    """

    MAX_ADDRESSES = 100

    def __init__(self, now: Callable[[], float]) -> None:
        self.now = now
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.addresses: collections.Counter[str] = collections.Counter()
        self.logged_s = -LOG_PERIOD_S

    def record(self, listener: str, cause: str, address: str) -> bool:
        """Counts a connection that was refused or closed.

        Returns:
            Whether it was logged now, so that details may be, too.
        """
        metrics.CLIENTS_REFUSED.inc({"listener": listener, "cause": cause})
        self.counts[listener, cause] += 1
        if (
            address in self.addresses
            or len(self.addresses) < self.MAX_ADDRESSES
        ):
            self.addresses[address] += 1
        return self.log_if_due()

    def log_if_due(self) -> bool:
        """Logs what was counted, unless a line was logged a short time ago."""
        now = self.now()
        if not self.counts or now - self.logged_s < LOG_PERIOD_S:
            return False
        self.logged_s = now
        logs.event(
            "clients_refused",
            level="warning",
            counts={f"{k[0]}/{k[1]}": n for k, n in self.counts.items()},
            addresses=dict(self.addresses.most_common(3)),
        )
        self.counts.clear()
        self.addresses.clear()
        return True

    async def tick(self, _now: float) -> None:
        """Timer callback: logs the rest of a burst."""
        self.log_if_due()
