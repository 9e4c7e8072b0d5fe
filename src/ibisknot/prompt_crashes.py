"""Decides which parts of prompts crash endpoints.

The requests that were in progress at a crash, and had no output yet, are its
candidates. Parts that an answered request had are no cause. What remains in
common to the candidates of several crashes is refused: a request with all of
these parts gets no endpoint. The functions do no input or output.
"""

import collections
from collections.abc import Iterable
import dataclasses
import itertools
import math

import xxhash

MIN_CRASHES = 3
"""Crashes after which the parts that their candidates share are refused."""
MIN_UNEXPLAINED = 2
"""Crashes of these that no refused parts explain."""
MIN_REQUESTS = 2
"""Different requests among the candidates.

A single request that is sent again is refused by its own hash.
"""
MIN_CRASHES_IN_DOUBT = 5
"""Crashes needed where chance may explain fewer.

That is so against parts that answered requests have had, and while endpoints
crash for other causes as well.
"""
MAX_OTHER_CRASHES = 1
"""Crashes without the parts, in the same time, that cast no doubt."""
MIN_SPAN_S = 2.0
"""Seconds over which crashes of known parts extend.

In this time requests with sound parts are answered.
"""
KNOWN_RETENTION_S = 600.0
"""Time since its last completion for which a part counts as known."""
REFUSAL_S = 60.0
"""Duration of the first refusal; each further crash after it doubles it."""
MAX_REFUSAL_S = 900.0
RETENTION_S = 900.0
"""Time for which crashes, cleared parts and ended refusals are retained."""
MAX_CRASHES = 32
MAX_CANDIDATES = 16
"""Candidates that are retained of one crash."""
MAX_PARTS = 32
"""Parts that are retained of one candidate."""
MAX_REFUSALS = 64
MAX_KNOWN = 20_000
MAX_CLEARED = 512

Parts = frozenset[int]


@dataclasses.dataclass(slots=True)
class Crash:
    """One crash of an endpoint.

    Attributes:
        occurred_s: Monotonic time at which it was first seen.
        candidates: Parts of each candidate that may be the cause, by the
            fingerprint of the request.
    """

    occurred_s: float
    candidates: dict[int, Parts] = dataclasses.field(default_factory=dict)

    def has(self, parts: Parts) -> bool:
        """Returns whether a candidate has all of these parts."""
        return any(parts <= other for other in self.candidates.values())


@dataclasses.dataclass(slots=True)
class Refusal:
    """Parts with which requests are refused.

    Attributes:
        crashed_s: Monotonic time of the last crash that counts against them.
        crash_count: Number of these crashes.
        until_s: Monotonic time at which requests are admitted again.
        duration_s: Seconds from the last crash to `until_s`.
    """

    crashed_s: float
    crash_count: int
    until_s: float
    duration_s: float = REFUSAL_S


@dataclasses.dataclass(slots=True)
class History:
    """What a process knows of crashes and of the parts of prompts.

    Attributes:
        crashes: Crashes by the endpoint's name and start, oldest first.
        refusals: Refusals by the parts that a request must have for it.
        known_s: Monotonic time at which a request with a part was last
            answered, by part, oldest first.
        cleared_s: The same for parts that were candidates.
        suspects: Parts of candidates and refusals.
    """

    crashes: dict[str, Crash] = dataclasses.field(default_factory=dict)
    refusals: dict[Parts, Refusal] = dataclasses.field(default_factory=dict)
    known_s: dict[int, float] = dataclasses.field(default_factory=dict)
    cleared_s: dict[int, float] = dataclasses.field(default_factory=dict)
    suspects: set[int] = dataclasses.field(default_factory=set)


def find_refusal(
    history: History, now: float, parts: Iterable[int]
) -> Parts | None:
    """Returns the refused parts that a request has, or None.

    >>> history = History()
    >>> for n in range(MIN_CRASHES):
    ...     _ = record_crash(history, 1.0, f"e{n}", 1.0, {n: {7, 100 + n}})
    >>> find_refusal(history, 1.0, [7, 8]), find_refusal(history, 1.0, [8])
    (frozenset({7}), None)
    """
    if not history.refusals:
        return None
    own = set(parts)
    for refused, refusal in history.refusals.items():
        if now < refusal.until_s and refused <= own:
            return refused
    return None


def record_crash(
    history: History,
    now: float,
    endpoint: str,
    occurred_s: float,
    candidates: dict[int, Iterable[int]],
) -> list[Parts]:
    """Records a crash, or further candidates of a crash that is known.

    Args:
        history: Updated in place.
        now: Monotonic time in seconds.
        endpoint: Name and start of the endpoint.
        occurred_s: Monotonic time of the crash.
        candidates: Parts of the requests that had no output, by fingerprint.

    Returns:
        The parts that are refused from now on.
    """
    expire(history, now)
    new: dict[int, Parts] = {}
    known = history.crashes.get(endpoint)
    for fingerprint, parts in candidates.items():
        if known is not None and fingerprint in known.candidates:
            continue
        remaining = _without_cleared(history, occurred_s, parts)
        if remaining:
            new[fingerprint] = remaining
    if not new:
        return []
    crash = history.crashes.setdefault(endpoint, Crash(occurred_s))
    crash.occurred_s = min(crash.occurred_s, occurred_s)
    for fingerprint, remaining in new.items():
        if len(crash.candidates) < MAX_CANDIDATES:
            crash.candidates[fingerprint] = remaining
            history.suspects |= remaining
    if len(history.crashes) > MAX_CRASHES:
        del history.crashes[next(iter(history.crashes))]
        _collect_suspects(history)
    return _conclude(history, now, crash)


def record_completion(
    history: History, now: float, parts: Iterable[int]
) -> list[int]:
    """Records that a request was answered; its parts are no cause.

    Returns:
        The parts that were suspects until now.
    """
    cleared = []
    for part in parts:
        history.known_s.pop(part, None)
        history.known_s[part] = now
        if part in history.suspects:
            _clear(history, now, part)
            cleared.append(part)
    while len(history.known_s) > MAX_KNOWN:
        del history.known_s[next(iter(history.known_s))]
    return cleared


def adopt_completion(
    history: History, now: float, part: int, completed_s: float
) -> None:
    """Records a completion that another process has seen."""
    if completed_s > history.known_s.get(part, -math.inf):
        history.known_s.pop(part, None)
        history.known_s[part] = completed_s
    if part in history.suspects:
        _clear(history, completed_s, part)
    _review(history, now)


def adopt_refusal(
    history: History, now: float, parts: Parts, refusal: Refusal
) -> dict[int, float]:
    """Adopts a refusal of another process, unless its parts are known here.

    Returns:
        The time of their last completion, by part, if all of the parts are
        known here and the crashes are too few against known ones.
    """
    remaining = frozenset(
        part
        for part in parts
        if history.cleared_s.get(part, -math.inf) <= refusal.crashed_s
    )
    if not remaining or now >= refusal.until_s:
        return {}
    if refusal.crash_count < MIN_CRASHES_IN_DOUBT and _are_known(
        history, now, remaining
    ):
        return {part: history.known_s[part] for part in remaining}
    if not any(
        present <= remaining and other.until_s >= refusal.until_s
        for present, other in history.refusals.items()
    ):
        _refuse(history, remaining, refusal)
    return {}


def digest(history: History) -> int:
    """Returns a hash of the crashes and refusals, for comparison with peers."""
    state = [
        sorted((e, sorted(c.candidates)) for e, c in history.crashes.items()),
        sorted(sorted(parts) for parts in history.refusals),
    ]
    return xxhash.xxh3_64_intdigest(repr(state).encode()) - (1 << 63)


def hash_parts(parts: Parts) -> int:
    """Returns a hash of refused parts, the same in all processes."""
    return xxhash.xxh3_64_intdigest(repr(sorted(parts)).encode())


def expire(history: History, now: float) -> None:
    """Removes what is too old."""
    start_s = now - RETENTION_S
    crashes = history.crashes
    refusals = history.refusals
    old_crashes = [e for e, c in crashes.items() if c.occurred_s < start_s]
    for endpoint in old_crashes:
        del crashes[endpoint]
    old_refusals = [p for p, r in refusals.items() if r.until_s < start_s]
    for parts in old_refusals:
        del refusals[parts]
    cleared = history.cleared_s
    for part in [p for p, time_s in cleared.items() if time_s < start_s]:
        del cleared[part]
    if old_crashes or old_refusals:
        _collect_suspects(history)


def _collect_suspects(history: History) -> None:
    """Sets the suspects anew after crashes or refusals were removed."""
    history.suspects = set().union(
        *history.refusals,
        *(p for c in history.crashes.values() for p in c.candidates.values()),
    )


def _without_cleared(
    history: History, occurred_s: float, parts: Iterable[int]
) -> Parts:
    """Returns the parts that were not in a request answered since a time.

    Of too many parts, those that were never answered are kept.
    """
    known_s = history.known_s
    remaining = [
        part for part in parts if known_s.get(part, -math.inf) <= occurred_s
    ]
    remaining.sort(key=lambda part: part in known_s)
    return frozenset(remaining[:MAX_PARTS])


def _clear(history: History, completed_s: float, part: int) -> None:
    """Removes a part from the crashes and refusals before a completion."""
    history.cleared_s.pop(part, None)
    history.cleared_s[part] = completed_s
    while len(history.cleared_s) > MAX_CLEARED:
        del history.cleared_s[next(iter(history.cleared_s))]
    for crash in history.crashes.values():
        if crash.occurred_s > completed_s:
            continue
        for fingerprint, parts in list(crash.candidates.items()):
            if part in parts:
                crash.candidates[fingerprint] = parts - {part}
    for parts in [p for p in history.refusals if part in p]:
        refusal = history.refusals[parts]
        if refusal.crashed_s <= completed_s:
            del history.refusals[parts]
            if len(parts) > 1:
                _refuse(history, parts - {part}, refusal)
    if not _is_suspect(history, part):
        history.suspects.discard(part)


def _is_suspect(history: History, part: int) -> bool:
    """Returns whether a part is in a candidate or in a refusal."""
    single = frozenset((part,))
    return any(c.has(single) for c in history.crashes.values()) or any(
        part in parts for parts in history.refusals
    )


def _are_known(history: History, now: float, parts: Parts) -> bool:
    """Returns whether requests with each of the parts were answered lately."""
    return all(
        history.known_s.get(part, -math.inf) > now - KNOWN_RETENTION_S
        for part in parts
    )


def _conclude(history: History, now: float, crash: Crash) -> list[Parts]:
    """Refuses what the candidates of a crash share with those of others.

    A refusal that explains the crash is renewed if it had ended. Otherwise
    the largest set of parts is refused for which there is enough evidence:
    the fewer requests have it, the fewer sound ones are refused by mistake.
    """
    explanations = [p for p in history.refusals if crash.has(p)]
    for parts in explanations:
        _renew(history.refusals[parts], now, crash)
    if explanations:
        return []
    frequent = _frequent_parts(history)
    own = {p & frequent for p in crash.candidates.values()}
    others = {
        p & frequent
        for other in history.crashes.values()
        for p in other.candidates.values()
    }
    shared = {mine & other for mine, other in itertools.product(own, others)}
    concluded = [
        (len(parts), refusal.crash_count, sorted(parts), refusal)
        for parts in shared
        if parts and (refusal := _judge(history, now, parts)) is not None
    ]
    if not concluded:
        return []
    _, _, chosen, refusal = max(concluded, key=lambda item: item[:3])
    _refuse(history, frozenset(chosen), refusal)
    return [frozenset(chosen)]


def _frequent_parts(history: History) -> Parts:
    """Returns the parts that candidates of enough crashes have."""
    counts: collections.Counter[int] = collections.Counter()
    for crash in history.crashes.values():
        counts.update(frozenset().union(*crash.candidates.values()))
    return frozenset(p for p, count in counts.items() if count >= MIN_CRASHES)


def _renew(refusal: Refusal, now: float, crash: Crash) -> None:
    """Counts a crash against refused parts."""
    if crash.occurred_s <= refusal.crashed_s:
        return
    if crash.occurred_s >= refusal.until_s:
        refusal.duration_s = min(MAX_REFUSAL_S, 2.0 * refusal.duration_s)
    refusal.crashed_s = crash.occurred_s
    refusal.crash_count += 1
    refusal.until_s = now + refusal.duration_s


def _judge(history: History, now: float, parts: Parts) -> Refusal | None:
    """Returns a refusal if there is enough evidence against parts."""
    evidence = [c for c in history.crashes.values() if c.has(parts)]
    requests = {
        fingerprint
        for crash in evidence
        for fingerprint, other in crash.candidates.items()
        if parts <= other
    }
    if len(evidence) < MIN_CRASHES or len(requests) < MIN_REQUESTS:
        return None
    first_s = min(c.occurred_s for c in evidence)
    last_s = max(c.occurred_s for c in evidence)
    unexplained = [
        c
        for c in history.crashes.values()
        if not any(c.has(refused) for refused in history.refusals)
    ]
    own_count = sum(c.has(parts) for c in unexplained)
    other_count = sum(
        c.occurred_s >= first_s and not c.has(parts) for c in unexplained
    )
    needed = MIN_UNEXPLAINED
    if other_count > MAX_OTHER_CRASHES:
        needed = MIN_CRASHES_IN_DOUBT
    if _are_known(history, now, parts):
        needed = MIN_CRASHES_IN_DOUBT
        if last_s - first_s < MIN_SPAN_S:
            return None
    if own_count < needed:
        return None
    return Refusal(last_s, len(evidence), now + REFUSAL_S)


def _refuse(history: History, parts: Parts, refusal: Refusal) -> None:
    """Adds a refusal in place of those that it includes."""
    refusals = history.refusals
    for other in [p for p in refusals if parts <= p]:
        del refusals[other]
    refusals[parts] = refusal
    history.suspects |= parts
    while len(refusals) > MAX_REFUSALS:
        del refusals[min(refusals, key=lambda p: refusals[p].until_s)]


def _review(history: History, now: float) -> None:
    """Ends refusals of parts that have turned out to be known."""
    for parts, refusal in list(history.refusals.items()):
        if refusal.crash_count < MIN_CRASHES_IN_DOUBT and _are_known(
            history, now, parts
        ):
            del history.refusals[parts]
