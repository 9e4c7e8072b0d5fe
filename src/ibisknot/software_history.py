"""Which software a process has seen serve lately.

If a service has had only one version for as long as a stream may last, every
stream of it was begun by that version, also one that nobody remembers.
"""

import collections
from collections.abc import Iterable
import dataclasses
import math

from ibisknot import fleet_endpoint
from ibisknot import stream_origins

RETENTION_S = stream_origins.RETENTION_S


@dataclasses.dataclass(slots=True)
class History:
    """What one process has seen.

    Attributes:
        gone_s: Monotonic time at which each version of a service was last
            seen, by the names of service and version; infinite while it
            serves.
        first_seen_s: Monotonic time of the first look at the endpoints, or
            infinity.
        has_record: Whether it contains what earlier processes have recorded.
    """

    gone_s: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    first_seen_s: float = math.inf
    has_record: bool = False


def observe(
    history: History,
    endpoints: Iterable[fleet_endpoint.Endpoint],
    now: float,
) -> None:
    """Records the software of the endpoints that serve or drain now."""
    serving = {(e.service, e.software_version) for e in endpoints}
    if serving:
        history.first_seen_s = min(history.first_seen_s, now)
    for key, gone_s in list(history.gone_s.items()):
        if key not in serving and gone_s == math.inf:
            history.gone_s[key] = now
        elif now - gone_s > RETENTION_S:
            del history.gone_s[key]
    for key in serving:
        history.gone_s[key] = math.inf


def adopt(
    history: History, recorded: Iterable[tuple[str, str]], now: float
) -> None:
    """Adds what a process has recorded, as if it had just been seen."""
    for key in recorded:
        history.gone_s.setdefault(key, now)
    history.has_record = True


def recent(history: History, now: float) -> set[tuple[str, str]]:
    """Returns the services and versions that may have begun a live stream.

    >>> history = History()
    >>> adopt(history, [("s", "v1")], now=0.0)
    >>> recent(history, 30.0), recent(history, 31.0)
    ({('s', 'v1')}, set())
    """
    return {
        key
        for key, gone_s in history.gone_s.items()
        if now - gone_s <= RETENTION_S
    }


def services_with_several(history: History, now: float) -> set[str]:
    """Returns the services of which several versions may have live streams.

    >>> history = History()
    >>> adopt(history, [("s", "v1"), ("s", "v2"), ("t", "v1")], now=0.0)
    >>> services_with_several(history, 1.0)
    {'s'}
    """
    counts = collections.Counter(service for service, _ in recent(history, now))
    return {service for service, count in counts.items() if count > 1}


def is_complete(history: History, now: float) -> bool:
    """Returns whether the history covers the whole time of a stream."""
    return history.has_record or now - history.first_seen_s > RETENTION_S
