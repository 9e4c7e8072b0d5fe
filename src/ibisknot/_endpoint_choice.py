"""Chooses the endpoint at which a request gets its ticket."""

from collections.abc import Callable

from ibisknot import _admission_state
from ibisknot import _fair_queue
from ibisknot import routing
from ibisknot.locality import endpoint_delays

ChooseEndpoint = Callable[
    [list[_admission_state.Endpoint], _fair_queue.QueuedRequest],
    _admission_state.Endpoint,
]
"""Chooses one of the candidate endpoints for a request."""


def least_expected_first_token(
    candidates: list[_admission_state.Endpoint],
    request: _fair_queue.QueuedRequest,
) -> _admission_state.Endpoint:
    """Chooses the endpoint with the least expected time to first token."""
    return least_expected(endpoint_delays.network_only)(candidates, request)


def least_expected(delays: endpoint_delays.Delays) -> ChooseEndpoint:
    """Returns a function that chooses endpoints for batch requests.

    It chooses the least expected time to first token.

    Args:
        delays: Returns what the data centres of the endpoints cost.
    """
    return _least_expected(_admission_state.Endpoint.unrevoked_count, delays)


def _least_expected(
    running: Callable[[_admission_state.Endpoint], int],
    delays: endpoint_delays.Delays,
) -> ChooseEndpoint:
    """Returns a function that chooses the least expected time to first token.

    Args:
        running: Returns the sequences that run beside the request.
        delays: Returns what the data centres of the endpoints cost.
    """

    def choose(
        candidates: list[_admission_state.Endpoint],
        request: _fair_queue.QueuedRequest,
    ) -> _admission_state.Endpoint:
        delay_s = delays(candidates, request)
        options = [_candidate(e, running(e), delay_s(e)) for e in candidates]
        chosen = routing.choose(
            options, request.prompt_blocks, request.prompt_words
        )
        return next(e for e in candidates if e.name == chosen.name)

    return choose


def _candidate(
    endpoint: _admission_state.Endpoint, running: int, delay_s: float
) -> routing.Candidate:
    """Returns an endpoint as it would serve a request.

    Args:
        endpoint: The endpoint.
        running: Sequences that run beside it.
        delay_s: Seconds that its data centre costs.
    """
    return routing.Candidate(
        endpoint.name, running, endpoint.capacity, endpoint.view, delay_s
    )


def least_expected_after_revocation(
    policy: _admission_state.Policy,
    delays: endpoint_delays.Delays = endpoint_delays.network_only,
) -> ChooseEndpoint:
    """Returns a function that chooses endpoints for online requests.

    It chooses the least expected time to first token, and counts on each
    endpoint only the batch sequences that would still run beside one more
    online request, not those that would be revoked for it.

    Args:
        policy: How many batch sequences are revoked.
        delays: Returns what the data centres of the endpoints cost.
    """
    return _least_expected(
        lambda e: _running_after_revocation(e, policy), delays
    )


def _running_after_revocation(
    endpoint: _admission_state.Endpoint, policy: _admission_state.Policy
) -> int:
    """Returns the sequences that would run beside one more online request."""
    online = endpoint.online_count()
    batch = endpoint.unrevoked_batch_count()
    if policy.revokes_batch:
        idle = endpoint.capacity.limit - policy.displaced_per_online * (
            online + 1
        )
        batch = min(batch, max(0, int(idle - policy.headroom_slots)))
    return online + batch
