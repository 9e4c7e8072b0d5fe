"""Applies the choice of data centres to the endpoints of an admission group."""

from collections.abc import Callable
from collections.abc import Sequence

from ibisknot import _admission_state
from ibisknot import _fair_queue
from ibisknot import breaker
from ibisknot import routing
from ibisknot.locality import decision

POLICY = decision.Policy(network_delay_s=routing.OTHER_DATA_CENTRE_S)

Delay = Callable[[_admission_state.Endpoint], float]
Delays = Callable[
    [Sequence[_admission_state.Endpoint], _fair_queue.QueuedRequest], Delay
]
"""Returns the seconds that each endpoint's data centre costs a request, from
the endpoints that can take it and the request."""


def network_only(
    _candidates: Sequence[_admission_state.Endpoint],
    request: _fair_queue.QueuedRequest,
) -> Delay:
    """Returns the delay of the network as the only cost."""

    def delay_s(endpoint: _admission_state.Endpoint) -> float:
        return routing.network_delay_s(
            request.data_centre, endpoint.data_centre
        )

    return delay_s


def weighed(group: _admission_state.Group, now: float) -> Delays:
    """Returns a function that weighs loads against the cost of a crossing.

    Only the delay of the network counts where the request's data centre has
    too few usable endpoints.

    Args:
        group: The endpoints; its `locality` is updated.
        now: Monotonic time in seconds.
    """

    def delays(
        candidates: Sequence[_admission_state.Endpoint],
        request: _fair_queue.QueuedRequest,
    ) -> Delay:
        home = request.data_centre
        if not home:
            return network_only(candidates, request)
        loads = decision.loads(
            (e.data_centre, e.unrevoked_count(), int(e.capacity.limit))
            for e in group.endpoints.values()
            if breaker.allows(e.circuit, now)
        )
        demand = _demand(request, now)
        if not decision.prefers_home(demand, loads, POLICY):
            return network_only(candidates, request)
        decision.update(group.locality, demand, loads, POLICY)
        home_load = min(
            (_load(e) for e in candidates if e.data_centre == home),
            default=1.0,
        )

        def delay_s(endpoint: _admission_state.Endpoint) -> float:
            if endpoint.data_centre in ("", home):
                return 0.0
            return decision.crossing_s(
                group.locality,
                demand,
                POLICY,
                other=endpoint.data_centre,
                home_load=home_load,
                other_load=_load(endpoint),
            )

        return delay_s

    return delays


def _demand(request: _fair_queue.QueuedRequest, now: float) -> decision.Demand:
    return decision.Demand(
        home=request.data_centre,
        kind=request.kind,
        prompt_tokens=request.prompt_words,
        output_tokens=request.max_tokens - request.prompt_words,
        duration_s=request.expected_duration_s,
        spare_s=request.on_time_until_s - now,
    )


def _load(endpoint: _admission_state.Endpoint) -> float:
    """Returns the fraction of an endpoint's slots that is in use."""
    return endpoint.unrevoked_count() / max(1, int(endpoint.capacity.limit))
