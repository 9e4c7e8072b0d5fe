"""Messages about the parts of prompts that may crash endpoints.

Times travel as ages, because the clocks of processes differ.
"""

from collections.abc import Iterable
from collections.abc import Iterator

from ibisknot import prompt_crashes
from ibisknot import request_crashes
from ibisknot.gen.fleet import ttypes

REQUEST_PREFIX = "request:"
"""Precedes the endpoint of crashes that count against whole requests.

Earlier builds ignore their candidates, as these have no parts.
"""


def news(
    history: prompt_crashes.History,
    now: float,
    *,
    endpoints: Iterable[str] = (),
    completions: dict[int, float] | None = None,
    refusals: Iterable[prompt_crashes.Parts] = (),
) -> ttypes.PromptCrashNews:
    """Returns a message with a part of a history.

    Args:
        history: The history.
        now: Monotonic time in seconds.
        endpoints: Names and starts of the endpoints whose crashes to include.
        completions: Monotonic time of the last completion, by part.
        refusals: The refused parts to include.
    """
    return ttypes.PromptCrashNews(
        crashes=[
            _crash(endpoint, history.crashes[endpoint], now)
            for endpoint in endpoints
        ],
        completions=[
            ttypes.PartCompletion(part=part, age_s=now - completed_s)
            for part, completed_s in (completions or {}).items()
        ],
        refusals=[
            refusal(parts, history.refusals[parts], now) for parts in refusals
        ],
    )


def whole_history(
    history: prompt_crashes.History, now: float
) -> ttypes.PromptCrashNews:
    """Returns a message with all that peers need of a history."""
    return news(
        history,
        now,
        endpoints=list(history.crashes),
        completions=history.cleared_s,
        refusals=list(history.refusals),
    )


def _crash(
    endpoint: str, crash: prompt_crashes.Crash, now: float
) -> ttypes.EndpointCrash:
    return ttypes.EndpointCrash(
        endpoint=endpoint,
        age_s=now - crash.occurred_s,
        candidates=[
            ttypes.CrashCandidate(fingerprint=fingerprint, parts=sorted(parts))
            for fingerprint, parts in crash.candidates.items()
        ],
    )


def refusal(
    parts: prompt_crashes.Parts, found: prompt_crashes.Refusal, now: float
) -> ttypes.PartRefusal:
    """Returns a refusal as it is sent to peers.

    Args:
        parts: The refused parts.
        found: Their refusal.
        now: Monotonic time in seconds.
    """
    return ttypes.PartRefusal(
        parts=sorted(parts),
        crash_count=found.crash_count,
        age_s=now - found.crashed_s,
        remaining_s=found.until_s - now,
        duration_s=found.duration_s,
    )


def request_crashes_of(
    history: request_crashes.History, now: float, fingerprints: Iterable[int]
) -> list[ttypes.EndpointCrash]:
    """Returns the crashes against requests as they are sent to peers.

    Args:
        history: The history.
        now: Monotonic time in seconds.
        fingerprints: The requests to include.
    """
    found: dict[str, tuple[float, list[int]]] = {}
    for fingerprint in fingerprints:
        crashes = history.crashes.get(fingerprint, {})
        for endpoint, occurred_s in crashes.items():
            known_s, others = found.get(endpoint, (occurred_s, []))
            found[endpoint] = (
                min(known_s, occurred_s),
                [*others, fingerprint],
            )
    return [
        ttypes.EndpointCrash(
            endpoint=REQUEST_PREFIX + endpoint,
            age_s=now - occurred_s,
            candidates=[
                ttypes.CrashCandidate(fingerprint=f, parts=[])
                for f in candidates
            ],
        )
        for endpoint, (occurred_s, candidates) in found.items()
    ]


def request_evidence(
    message: ttypes.PromptCrashNews, now: float
) -> Iterator[tuple[str, float, int]]:
    """Yields what a message says against whole requests.

    Earlier builds name requests as candidates whose parts may be the cause.
    Those whose parts were all answered since have none left.

    Returns:
        The endpoint, the monotonic time of its crash and the fingerprint.
    """
    for crash in message.crashes:
        is_about_requests = crash.endpoint.startswith(REQUEST_PREFIX)
        endpoint = crash.endpoint.removeprefix(REQUEST_PREFIX)
        for candidate in crash.candidates:
            if is_about_requests or candidate.parts:
                yield endpoint, now - crash.age_s, candidate.fingerprint


def is_about_parts(crash: ttypes.EndpointCrash) -> bool:
    """Returns whether a crash counts against parts of prompts."""
    return not crash.endpoint.startswith(REQUEST_PREFIX)


def to_refusal(
    message: ttypes.PartRefusal, now: float
) -> prompt_crashes.Refusal:
    """Returns the refusal that a peer has sent."""
    return prompt_crashes.Refusal(
        crashed_s=now - message.age_s,
        crash_count=message.crash_count,
        until_s=now + message.remaining_s,
        duration_s=message.duration_s,
    )
