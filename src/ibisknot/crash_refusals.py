"""Requests, and parts of prompts, that are refused for crashes of endpoints."""

from collections.abc import Callable

from ibisknot import prompt_crashes
from ibisknot import request_crashes

Subject = prompt_crashes.Parts | int
"""What is refused: requests with some parts, or the one with a fingerprint."""
FindRefusal = Callable[[Subject], prompt_crashes.Refusal | None]
"""Returns the refusal of a subject, or None if it is not refused."""


def subjects(
    parts: prompt_crashes.History,
    requests: request_crashes.History,
    now: float,
) -> set[Subject]:
    """Returns all that is refused.

    Args:
        parts: What is known of parts of prompts.
        requests: What is known of whole requests.
        now: Monotonic time in seconds.
    """
    refused = {
        f
        for f in requests.crashes
        if request_crashes.is_refused(requests, now, f)
    }
    return {*parts.refusals, *refused}


def find(
    parts: prompt_crashes.History,
    requests: request_crashes.History,
    now: float,
    subject: Subject,
) -> prompt_crashes.Refusal | None:
    """Returns the refusal of a subject, or None if it is not refused.

    Args:
        parts: What is known of parts of prompts.
        requests: What is known of whole requests.
        now: Monotonic time in seconds.
        subject: The parts or the request.
    """
    if not isinstance(subject, int):
        return parts.refusals.get(subject)
    if not request_crashes.is_refused(requests, now, subject):
        return None
    crashed_s = request_crashes.last_crash_s(requests, subject)
    return prompt_crashes.Refusal(
        crashed_s,
        len(requests.crashes[subject]),
        crashed_s + request_crashes.RETENTION_S,
        request_crashes.RETENTION_S,
    )
