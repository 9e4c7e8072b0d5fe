"""Log lines about parts of prompts that are refused."""

from collections.abc import Iterable
import itertools

from ibisknot import logs
from ibisknot import metrics
from ibisknot import prompt_crashes

MAX_LOGGED_PARTS = 8


def refused(
    history: prompt_crashes.History,
    now: float,
    found: Iterable[prompt_crashes.Parts],
    cause: str,
) -> None:
    """Logs and counts parts that are refused from now on.

    Args:
        history: Has their refusals.
        now: Monotonic time in seconds.
        found: The parts.
        cause: From where that is known.
    """
    for refused_parts in found:
        refusal = history.refusals[refused_parts]
        metrics.PARTS_REFUSED.inc({})
        logs.event(
            "prompt_parts_refused",
            level="warning",
            parts=parts(refused_parts),
            cause=cause,
            crashes=refusal.crash_count,
            for_s=round(refusal.until_s - now, 3),
        )


def parts(hashes: Iterable[int]) -> list[str]:
    """Returns the hashes of a prompt's first parts as they are logged.

    >>> parts([255, -1])
    ['00000000000000ff', 'ffffffffffffffff']
    """
    first = itertools.islice(hashes, MAX_LOGGED_PARTS)
    return [f"{part % (1 << 64):016x}" for part in first]
