"""Chooses, among endpoints with a slot, those whose speed suits a request."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

from ibisknot import _admission_state
from ibisknot import _fair_queue
from ibisknot.contention import ranking
from ibisknot.speeds import table

PROBE_PERIOD_S = 2.0
"""A slow endpoint still gets an online request in this time.

Without samples, it could not be seen to recover.
"""
VERY_SLOW = 3.0
"""Slowness from which a batch item elsewhere is revoked instead."""
LONG_FACTOR = 1.3
"""Batch items over this multiple of the mean duration are long."""
SPEED_STEP = 0.2
"""Difference in slowness below which load decides."""
MEAN_WEIGHT = 0.05
"""Weight of a new item in the mean duration of batch items."""
MIN_ENDPOINTS = 3
"""With fewer endpoints, one of them shifts what is usual."""


def for_online(
    speeds: table.Table,
    endpoints: Sequence[_admission_state.Endpoint],
    now: float,
    limit: float = table.SLOW,
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints that are not slow, or are to be tried again.

    Args:
        speeds: Speeds of the service's endpoints.
        endpoints: Endpoints that could run the request.
        now: Monotonic time in seconds.
        limit: Slowness above which an endpoint is left out.
    """
    if len(speeds.estimates) < MIN_ENDPOINTS:
        return list(endpoints)
    return [
        e
        for e in endpoints
        if not table.may_be_slow(speeds, e.name)
        or table.slowness(speeds, now, e.name) < limit
        or now - speeds.last_online_s.get(e.name, now) >= PROBE_PERIOD_S
    ]


def all_slow(
    speeds: table.Table,
    endpoints: Sequence[_admission_state.Endpoint],
    now: float,
) -> bool:
    """Returns whether there are endpoints and all of them are slow."""
    if len(speeds.estimates) < MIN_ENDPOINTS or not endpoints:
        return False
    return all(
        table.may_be_slow(speeds, e.name)
        and table.slowness(speeds, now, e.name) >= table.SLOW
        for e in endpoints
    )


def duration_s(
    speeds: table.Table, name: str, expected_s: float, now: float
) -> float:
    """Returns the expected seconds that a batch item runs at an endpoint."""
    if len(speeds.estimates) < MIN_ENDPOINTS:
        return expected_s
    return expected_s * table.slowness(speeds, now, name)


def in_time(
    speeds: table.Table,
    endpoints: Sequence[_admission_state.Endpoint],
    request: _fair_queue.QueuedRequest,
    now: float,
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints at which a batch item would end when it is due.

    One that has no output yet should start with spare time.
    """
    expected_s = request.expected_duration_s
    latest_s = _latest_end_s(request)
    return [
        e
        for e in endpoints
        if now + duration_s(speeds, e.name, expected_s, now) <= latest_s
    ]


def _latest_end_s(request: _fair_queue.QueuedRequest) -> float:
    """Returns the monotonic time by which a batch item should end."""
    if request.software_version is not None:
        return request.due_s
    return request.due_s - ranking.spare_s(request.expected_duration_s)


def in_time_somewhere(
    speeds: table.Table,
    endpoints: Sequence[_admission_state.Endpoint],
    requests: Iterable[_fair_queue.QueuedRequest],
    now: float,
    can_run: Callable[
        [_admission_state.Endpoint, _fair_queue.QueuedRequest], bool
    ],
) -> list[_fair_queue.QueuedRequest]:
    """Returns the batch items that would end in time at one of the endpoints.

    Args:
        speeds: Speeds of the service's endpoints.
        endpoints: Endpoints that have a slot.
        requests: The batch items.
        now: Monotonic time in seconds.
        can_run: Whether an endpoint can run an item at all.
    """
    factors = [(duration_s(speeds, e.name, 1.0, now), e) for e in endpoints]
    factors.sort(key=lambda pair: pair[0])

    def is_in_time(request: _fair_queue.QueuedRequest) -> bool:
        left_s = _latest_end_s(request) - now
        for factor, endpoint in factors:
            if request.expected_duration_s * factor > left_s:
                return False
            if can_run(endpoint, request):
                return True
        return False

    return [r for r in requests if is_in_time(r)]


def for_batch(
    speeds: table.Table,
    endpoints: Sequence[_admission_state.Endpoint],
    request: _fair_queue.QueuedRequest,
    now: float,
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints that suit a batch item.

    These are the ones where it ends in time and, for a long item, the fastest
    of them. An item that could be on time elsewhere does not start at a slow
    endpoint where it cannot.
    """
    if len(speeds.estimates) < MIN_ENDPOINTS or not endpoints:
        return list(endpoints)
    suited = in_time(speeds, endpoints, request, now)
    if not suited and ranking.slack_s(request, now) >= 0.0:
        suited = [
            e
            for e in endpoints
            if table.slowness(speeds, now, e.name) < table.SLOW
        ]
    elif not suited:
        suited = list(endpoints)
    if (
        not suited
        or request.expected_duration_s < LONG_FACTOR * speeds.mean_batch_s
    ):
        return suited
    slow = {e.name: table.slowness(speeds, now, e.name) for e in suited}
    fastest = min(slow.values())
    return [e for e in suited if slow[e.name] < fastest + SPEED_STEP]


def record_grant(
    speeds: table.Table,
    request: _fair_queue.QueuedRequest,
    name: str,
    now: float,
) -> None:
    """Records where a request was granted its ticket."""
    if request.kind == _admission_state.ONLINE:
        speeds.last_online_s[name] = now
        return
    speeds.mean_batch_s = speeds.mean_batch_s or request.expected_duration_s
    speeds.mean_batch_s += MEAN_WEIGHT * (
        request.expected_duration_s - speeds.mean_batch_s
    )
