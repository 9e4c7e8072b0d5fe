"""Requests a second that cold endpoints take, as one process knows them."""

import math

from ibisknot import deployment
from ibisknot import fleet_endpoint
from ibisknot import fleetview
from ibisknot import request_limits
from ibisknot import serving

MAX_BURST = 2.0
"""Requests that may be saved up for a cold endpoint.

Several schedulers may have saved up as much for a moment, and processes pass on
the time of a whole report period at once, so that it is kept far below what the
bound leaves.
"""
NEW_COLD_PERIOD_S = 2.5
"""An endpoint has turned cold anew if it is cold for this much longer.

It is more than the period of the entries, by which the end of one cold period
varies.
"""


def limit(
    warm_up: serving.WarmUp, bounds: deployment.Bounds
) -> request_limits.ColdLimit:
    """Returns the limit of a service's cold endpoints.

    The burst twice and the requests of a second stay within the bound on
    requests that arrive within one second.

    >>> warm_up = serving.WarmUp(duration_s=20.0, rate_per_s=3.0)
    >>> limit(warm_up, deployment.Bounds())
    ColdLimit(rate_per_s=3.0, burst=2.0)
    >>> limit(warm_up, deployment.Bounds(cold_overage=1.0, cold_slack=1.0))
    ColdLimit(rate_per_s=2.0, burst=1.0)
    """
    bound = warm_up.rate_per_s * bounds.cold_overage + bounds.cold_slack
    burst = max(1.0, min(MAX_BURST, (bound - warm_up.rate_per_s) / 2))
    rate_per_s = min(warm_up.rate_per_s, max(0.0, bound - 2 * burst))
    return request_limits.ColdLimit(rate_per_s, burst)


def current(
    view: fleetview.View, now: float
) -> dict[str, request_limits.ColdLimit]:
    """Returns the limits of the endpoints that are cold now, by name."""
    if not view.observations:
        return {}
    warm_ups = fleetview.warm_ups(view)
    return {
        endpoint.name: limit(warm_ups[endpoint.service], view.bounds)
        for endpoint in view.endpoints.values()
        if now < until_s(view, endpoint.name) and endpoint.service in warm_ups
    }


def until_s(view: fleetview.View, name: str) -> float:
    """Returns the monotonic time until which an endpoint is cold."""
    seen = view.observations.get(name)
    return -math.inf if seen is None else seen.cold_until_s


def has_turned_cold(
    view: fleetview.View, endpoint: fleet_endpoint.Endpoint, before_s: float
) -> bool:
    """Returns whether an endpoint has turned cold since a moment.

    Args:
        view: The view of this process.
        endpoint: The endpoint.
        before_s: Monotonic time until which it was cold, as known then.
    """
    return until_s(view, endpoint.name) > before_s + NEW_COLD_PERIOD_S
