"""Selects the endpoints that suit a request."""

from ibisknot import _admission_state
from ibisknot import _fair_queue
from ibisknot import breaker
from ibisknot import request_limits

ONLINE_LIMIT_FRACTION = 0.5
"""Fraction of an endpoint's limit up to which online is consolidated there.

Online requests that are spread over all endpoints share each of them with a
full batch. Consolidated on a few, they leave the other endpoints to batch.
"""


def has_software(
    endpoint: _admission_state.Endpoint, request: _fair_queue.QueuedRequest
) -> bool:
    """Returns whether an endpoint has the software that a request needs."""
    return request.software_version in (None, endpoint.software_version)


def usable(
    group: _admission_state.Group,
    now: float,
    request: _fair_queue.QueuedRequest | None = None,
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints whose breaker and limit allow a request.

    Those without the software that it needs are left out, and those that it
    avoids if there are others.
    """
    allowed = [
        e
        for e in group.endpoints.values()
        if (request is None or has_software(e, request))
        and breaker.allows(e.circuit, now)
        and request_limits.allows(e.bucket, now)
    ]
    if request is None:
        return allowed
    others = [e for e in allowed if e.name not in request.avoid]
    return others or allowed


def online_first(
    endpoints: list[_admission_state.Endpoint],
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints that prefer online and can take more of it."""
    return [
        e
        for e in endpoints
        if e.prefers_online
        and e.online_count() < e.capacity.limit * ONLINE_LIMIT_FRACTION
    ]


def empty(
    endpoints: list[_admission_state.Endpoint],
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints without tickets; crash suspects need one."""
    return [e for e in endpoints if not e.tickets]


def shareable(
    endpoints: list[_admission_state.Endpoint],
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints where requests may run beside others."""
    return [e for e in endpoints if not e.reserved and not e.has_exclusive()]


def spare(
    endpoints: list[_admission_state.Endpoint], now: float
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints at which a request costs no later one."""
    return [e for e in endpoints if request_limits.is_spare(e.bucket, now)]


def limited(
    endpoints: list[_admission_state.Endpoint],
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints that name a limit on requests."""
    return [e for e in endpoints if e.bucket is not None]


def has_cold(group: _admission_state.Group) -> bool:
    """Returns whether an endpoint is cold."""
    return any(
        request_limits.is_cold(e.bucket) for e in group.endpoints.values()
    )


def warm(
    endpoints: list[_admission_state.Endpoint],
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints that are not cold."""
    return [e for e in endpoints if not request_limits.is_cold(e.bucket)]


def cold(
    endpoints: list[_admission_state.Endpoint],
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints that are cold."""
    return [e for e in endpoints if request_limits.is_cold(e.bucket)]
