"""Orders batch requests that cannot all be on time.

The earliest due request first, as with enough room, starves large items: they
are the first that can no longer be on time. By the slack that is left, every
item reaches the front before that, whatever its size.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from ibisknot import _fair_queue

SPARE_FRACTION = 0.4
"""Spare time of a start, as a fraction of the expected duration."""
MIN_SPARE_S = 0.5
"""Least spare time of a start; with less, small items are served more often."""
MAX_SPARE_S = 2.5
"""Largest spare time of a start: a wave of online requests lasts about 2 s.

Without this limit, an item of 13 s could never start within 18 s.
"""
SHARE_MARGIN = 2.0
"""Organisations below this multiple of an equal share are equals.

The multiple keeps items that few slots of a small fleet divide unevenly in the
order of their slack.
"""

RESUMES = 0
"""It has output already and can be on time."""
STARTS = 1
"""It can be on time, with spare time."""
STARTS_WITHOUT_SPARE = 2
"""It can be on time if it is not revoked."""
LATE = 3

Key = tuple[int, int, float, float, str]


def slack_s(request: _fair_queue.QueuedRequest, now: float) -> float:
    """Returns the seconds by which a start may be delayed.

    >>> queued = _fair_queue.QueuedRequest(
    ...     "a", "batch", "o", 0.0, 9.0, due_s=10.0, expected_duration_s=4.0
    ... )
    >>> slack_s(queued, 1.0)
    5.0
    """
    return request.due_s - now - request.expected_duration_s


def spare_s(duration_s: float) -> float:
    """Returns the spare time with which an item should start, in seconds.

    >>> spare_s(1.0), spare_s(4.0), spare_s(12.0)
    (0.5, 1.6, 2.5)
    """
    return min(MAX_SPARE_S, max(MIN_SPARE_S, SPARE_FRACTION * duration_s))


def levels(
    in_flight: Mapping[str, int], waiting: Iterable[str]
) -> dict[str, int]:
    """Returns how far organisations are over an equal share of the slots.

    The level is 0 below twice the share, and grows by 1 with each doubling.
    Slack decides between organisations of the same level.

    Args:
        in_flight: Batch items in flight of each organisation.
        waiting: Organisations that have items in the queue.

    >>> levels({"a": 9, "b": 1}, ["a", "b", "c", "d", "e"])
    {'a': 2, 'b': 0}
    """
    active = len(set(in_flight) | set(waiting))
    share = max(1.0, sum(in_flight.values()) / max(1, active))
    return {
        name: int(count / (SHARE_MARGIN * share)).bit_length()
        for name, count in in_flight.items()
    }


def _stage(request: _fair_queue.QueuedRequest, now: float) -> int:
    """Returns `RESUMES`, `STARTS`, `STARTS_WITHOUT_SPARE` or `LATE`."""
    left_s = slack_s(request, now)
    if left_s < 0.0:
        return LATE
    if request.software_version is not None:
        return RESUMES
    if left_s < spare_s(request.expected_duration_s):
        return STARTS_WITHOUT_SPARE
    return STARTS


def _key(
    request: _fair_queue.QueuedRequest,
    now: float,
    organisation_levels: Mapping[str, int],
) -> Key:
    """Returns the key by which requests are ordered.

    Late items are ordered by their due time: nothing is left to be missed, and
    each should end some time.
    """
    stage = _stage(request, now)
    if stage == RESUMES:
        organisation_level = 0
    else:
        organisation_level = organisation_levels.get(request.organisation, 0)
    is_new = float(request.software_version is None)
    if stage == LATE:
        return stage, organisation_level, is_new, request.due_s, request.id
    left_s = slack_s(request, now) - spare_s(request.expected_duration_s)
    return stage, organisation_level, left_s, request.arrived_s, request.id


def next_request(
    now: float, organisation_levels: Mapping[str, int]
) -> Callable[[Iterable[_fair_queue.QueuedRequest]], _fair_queue.QueuedRequest]:
    """Returns a function that chooses the request to run next.

    Args:
        now: Monotonic time in seconds.
        organisation_levels: What `levels` returns.
    """

    def choose(
        requests: Iterable[_fair_queue.QueuedRequest],
    ) -> _fair_queue.QueuedRequest:
        return min(requests, key=lambda r: _key(r, now, organisation_levels))

    return choose
