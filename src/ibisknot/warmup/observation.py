"""Until when endpoints are cold, from what their entries have said.

The functions do no input or output.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math

from ibisknot import fleet_endpoint
from ibisknot import serving

MARGIN_S = 0.5
"""Added to the remaining time in an entry.

A read counts from its start and may show what was written during it.
"""
DIGEST_STEP_S = 2.0
"""Step of the remaining time in what processes compare.

With a smaller one each heartbeat of a cold endpoint makes the first reader send
all entries to all. A new cold period shows in any step that is shorter.
"""


@dataclasses.dataclass(slots=True, frozen=True)
class Seen:
    """What the entries of one start of an endpoint have said.

    Attributes:
        started_ms: Start in Unix milliseconds.
        revision: The store's revision of the last entry.
        cold_until_s: Monotonic time until which the endpoint is cold.
        start_cold_until_s: The same from its first entry, which later entries
            of this start do not shorten.
        unreadable_until_s: The same for entries whose remaining time cannot
            be read.
        is_certain: Whether an entry was read so recently that a later start
            would be known.
    """

    started_ms: int
    revision: int
    cold_until_s: float
    start_cold_until_s: float
    unreadable_until_s: float
    is_certain: bool


@dataclasses.dataclass(slots=True, frozen=True)
class Read:
    """When entries were read.

    Attributes:
        now: Monotonic time in seconds.
        read_s: Monotonic time of the read.
        unix_ms: Unix time of the read in milliseconds.
    """

    now: float
    read_s: float
    unix_ms: float


def observe(
    seen: dict[str, Seen],
    endpoints: Iterable[fleet_endpoint.Endpoint],
    warm_ups: Mapping[str, serving.WarmUp],
    read: Read,
) -> list[fleet_endpoint.Endpoint]:
    """Records what a read of the entries says.

    Args:
        seen: What is known of the endpoints by name; updated in place.
        endpoints: All listed endpoints.
        warm_ups: Warm-up of the services' endpoints, by service; endpoints of
            other services are never cold.
        read: When the entries were read.

    Returns:
        The endpoints whose remaining time cannot be read, each once for each
        start.
    """
    unreadable = []
    listed: set[str] = set()
    for endpoint in endpoints:
        warm_up = warm_ups.get(endpoint.service)
        if warm_up is None:
            continue
        listed.add(endpoint.name)
        before = seen.get(endpoint.name)
        after = _after_read(before, endpoint, warm_up.duration_s, read)
        seen[endpoint.name] = after
        was_readable = (
            before is None
            or before.started_ms != endpoint.born_ms
            or before.unreadable_until_s == -math.inf
        )
        if endpoint.cold_s is None and was_readable:
            unreadable.append(endpoint)
    for name in seen.keys() - listed:
        del seen[name]
    return unreadable


def _after_read(
    before: Seen | None,
    endpoint: fleet_endpoint.Endpoint,
    duration_s: float,
    read: Read,
) -> Seen:
    is_certain = read.now - read.read_s <= duration_s
    if before is None or before.started_ms != endpoint.born_ms:
        return _first(endpoint, duration_s, read, is_certain=is_certain)
    if is_certain and not before.is_certain:
        return _first(endpoint, duration_s, read, is_certain=True)
    if endpoint.revision <= before.revision:
        return before
    unreadable_until_s = before.unreadable_until_s
    if endpoint.cold_s is None and unreadable_until_s == -math.inf:
        unreadable_until_s = read.read_s + duration_s
    return dataclasses.replace(
        before,
        revision=endpoint.revision,
        cold_until_s=max(
            before.start_cold_until_s,
            unreadable_until_s,
            _stated_until_s(endpoint, read),
        ),
        unreadable_until_s=unreadable_until_s,
    )


def _first(
    endpoint: fleet_endpoint.Endpoint,
    duration_s: float,
    read: Read,
    *,
    is_certain: bool,
) -> Seen:
    """Returns what the first entry of a start says.

    An endpoint that has started less than the warm-up time ago is cold, and
    so is one whose entry is so old that it may have started again.
    """
    start_until_s = -math.inf
    age_s = max(0.0, (read.unix_ms - endpoint.born_ms) / 1000)
    if age_s < duration_s:
        start_until_s = read.read_s + duration_s - age_s
    if not is_certain:
        start_until_s = read.now + duration_s
    unreadable_until_s = -math.inf
    if endpoint.cold_s is None:
        unreadable_until_s = read.read_s + duration_s
    return Seen(
        endpoint.born_ms,
        endpoint.revision,
        max(start_until_s, unreadable_until_s, _stated_until_s(endpoint, read)),
        start_until_s,
        unreadable_until_s,
        is_certain,
    )


def _stated_until_s(endpoint: fleet_endpoint.Endpoint, read: Read) -> float:
    """Returns until when an entry says that its endpoint is cold."""
    if not endpoint.cold_s:
        return -math.inf
    return read.read_s + endpoint.cold_s + MARGIN_S


def digest_rows(
    endpoints: Iterable[fleet_endpoint.Endpoint],
    warm_ups: Mapping[str, serving.WarmUp],
) -> list[tuple[str, int]]:
    """Returns what processes compare of the cold endpoints.

    Args:
        endpoints: The endpoints.
        warm_ups: Warm-up of the services' endpoints, by service.
    """
    return sorted(
        (
            e.name,
            -1 if e.cold_s is None else math.ceil(e.cold_s / DIGEST_STEP_S),
        )
        for e in endpoints
        if e.cold_s != 0.0 and e.service in warm_ups
    )
