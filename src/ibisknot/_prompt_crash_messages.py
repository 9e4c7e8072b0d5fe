"""Messages about the parts of prompts that may crash endpoints.

Times travel as ages, because the clocks of processes differ.
"""

from collections.abc import Iterable

from ibisknot import prompt_crashes
from ibisknot.gen.fleet import ttypes


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
