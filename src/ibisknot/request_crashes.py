"""Decides which requests crash endpoints, by the crashes under them.

A request and its resends share a fingerprint. Each request that was in progress
at an endpoint when that crashed has this crash against it until it is answered
somewhere. A failed attempt at an endpoint that lives is no crash. The functions
do no input or output.
"""

import dataclasses

import xxhash

MIN_CRASHES = 3
"""Crashes of different endpoints after which a request is refused."""
MIN_SPAN_S = 1.0
"""Seconds over which they extend if other endpoints have crashed as well.

A request of many callers may be in progress at several endpoints that crash
together for another cause.
"""
MAX_OTHER_CRASHES = 1
"""Crashes without the request, in the same time, that cast no doubt."""
RETENTION_S = 900.0
"""Time since its last crash for which a request is remembered."""
MAX_REQUESTS = 1024
MAX_COMPLETIONS = 1024


@dataclasses.dataclass(slots=True)
class History:
    """Crashes of endpoints, by the requests that were in progress.

    Attributes:
        crashes: Monotonic time of each crash against a request, by the
            endpoint's name and start, by the request's fingerprint.
        completed_s: Monotonic time at which a request with crashes against it
            was last answered, by fingerprint, oldest first.
    """

    crashes: dict[int, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )
    completed_s: dict[int, float] = dataclasses.field(default_factory=dict)


def record_crash(
    history: History,
    now: float,
    endpoint: str,
    occurred_s: float,
    fingerprint: int,
) -> bool:
    """Records a crash against a request.

    Args:
        history: Updated in place.
        now: Monotonic time in seconds.
        endpoint: Name and start of the endpoint.
        occurred_s: Monotonic time of the crash.
        fingerprint: What the request has in common with its resends.

    Returns:
        Whether the request is refused from now on.
    """
    if occurred_s <= history.completed_s.get(fingerprint, 0.0):
        return False
    was_refused = is_refused(history, now, fingerprint)
    found = history.crashes.setdefault(fingerprint, {})
    found[endpoint] = min(occurred_s, found.get(endpoint, occurred_s))
    expire(history, now)
    return not was_refused and is_refused(history, now, fingerprint)


def record_completion(
    history: History, completed_s: float, fingerprint: int
) -> int:
    """Removes the crashes before a request was answered.

    Returns:
        The number of crashes that were against it.
    """
    found = history.crashes.get(fingerprint)
    if found is None:
        return 0
    known_s = history.completed_s.pop(fingerprint, completed_s)
    history.completed_s[fingerprint] = max(known_s, completed_s)
    while len(history.completed_s) > MAX_COMPLETIONS:
        del history.completed_s[next(iter(history.completed_s))]
    count = len(found)
    later = {e: t for e, t in found.items() if t > completed_s}
    if later:
        history.crashes[fingerprint] = later
    else:
        del history.crashes[fingerprint]
    return count


def is_refused(history: History, now: float, fingerprint: int) -> bool:
    """Returns whether a request has crashed enough endpoints.

    >>> history = History()
    >>> for n in range(MIN_CRASHES):
    ...     record_crash(history, 1.0, f"e{n}", 1.0, 7)
    False
    False
    True
    >>> is_refused(history, 1.0, 7), is_refused(history, 1.0, 8)
    (True, False)
    """
    found = history.crashes.get(fingerprint)
    if found is None or len(found) < MIN_CRASHES:
        return False
    first_s, last_s = min(found.values()), max(found.values())
    if last_s < now - RETENTION_S:
        return False
    if last_s - first_s >= MIN_SPAN_S:
        return True
    others = {
        endpoint
        for crashes in history.crashes.values()
        for endpoint, occurred_s in crashes.items()
        if first_s - MIN_SPAN_S <= occurred_s <= last_s + MIN_SPAN_S
    }
    return len(others - found.keys()) <= MAX_OTHER_CRASHES


def last_crash_s(history: History, fingerprint: int) -> float:
    """Returns the monotonic time of the last crash against a request."""
    return max(history.crashes[fingerprint].values())


def adopt_refusal(
    history: History, now: float, fingerprint: int, crashed_s: float
) -> None:
    """Adopts that a request was refused, without the evidence.

    Args:
        history: Updated in place.
        now: Monotonic time in seconds.
        fingerprint: The request's fingerprint.
        crashed_s: Monotonic time of the last crash.
    """
    for number in range(MIN_CRASHES):
        first_s = crashed_s - MIN_SPAN_S
        occurred_s = crashed_s if number else first_s
        record_crash(history, now, f"stored/{number}", occurred_s, fingerprint)


def digest(history: History, now: float) -> int:
    """Returns a hash for comparison with peers; 0 for an empty history.

    Processes may have different evidence against a request that both refuse.
    """
    if not history.crashes:
        return 0
    rows = sorted(
        (f, [] if is_refused(history, now, f) else sorted(found))
        for f, found in history.crashes.items()
    )
    return xxhash.xxh3_64_intdigest(repr(rows).encode()) - (1 << 63)


def expire(history: History, now: float) -> None:
    """Removes what is too old, and the least evidence over `MAX_REQUESTS`."""
    crashes = history.crashes
    start_s = now - RETENTION_S
    for fingerprint in [
        f for f, found in crashes.items() if max(found.values()) < start_s
    ]:
        del crashes[fingerprint]
    while len(crashes) > MAX_REQUESTS:
        del crashes[
            min(
                crashes,
                key=lambda f: (len(crashes[f]), max(crashes[f].values())),
            )
        ]
