"""Keeps the tokens at an endpoint below what its memory holds.

An endpoint whose memory is exceeded crashes. A ticket counts with all tokens of
its prompt and its longest answer until it is released, also when it is revoked.
"""

from collections.abc import Iterable

from ibisknot import _admission_state
from ibisknot import _fair_queue

UNSTATED = 0
"""Memory of endpoints whose configuration does not state it."""


def fits(
    endpoint: _admission_state.Endpoint, tokens: int, memory_tokens: int
) -> bool:
    """Returns whether an endpoint can hold a request now."""
    if memory_tokens == UNSTATED:
        return True
    return endpoint.held_tokens + tokens <= memory_tokens


def too_large(
    requests: Iterable[_fair_queue.QueuedRequest], memory_tokens: int
) -> list[_fair_queue.QueuedRequest]:
    """Returns the requests that even an empty endpoint cannot hold."""
    if memory_tokens == UNSTATED:
        return []
    return [r for r in requests if r.max_tokens > memory_tokens]


def will_fit(
    endpoint: _admission_state.Endpoint, tokens: int, memory_tokens: int
) -> bool:
    """Returns whether it can hold one once its revoked tickets are released."""
    if memory_tokens == UNSTATED:
        return True
    return _lacking(endpoint, tokens, memory_tokens) <= 0


def _lacking(
    endpoint: _admission_state.Endpoint, tokens: int, memory_tokens: int
) -> int:
    """Returns the tokens that it lacks once revoked tickets are released."""
    revoked = sum(t.max_tokens for t in endpoint.tickets.values() if t.revoked)
    return endpoint.held_tokens - revoked + tokens - memory_tokens


def fits_beside_online(
    endpoint: _admission_state.Endpoint, tokens: int, memory_tokens: int
) -> bool:
    """Returns whether it can hold one without its batch tickets."""
    if memory_tokens == UNSTATED:
        return True
    online = sum(
        t.max_tokens
        for t in endpoint.tickets.values()
        if t.kind == _admission_state.ONLINE
    )
    return online + tokens <= memory_tokens


def to_make_room_at(
    endpoints: Iterable[_admission_state.Endpoint],
    tokens: int,
    memory_tokens: int,
) -> list[_admission_state.Endpoint]:
    """Returns the endpoints where a batch ticket may be revoked for a request.

    These are the ones where any one ticket is enough. If there are none, it is
    the one that lacks least: revocations at several would make room at none.

    Args:
        endpoints: The endpoints that can hold it beside their online requests.
        tokens: Tokens of the request.
        memory_tokens: Tokens that each endpoint holds.
    """
    found = [e for e in endpoints if e.unrevoked_batch_count()]
    if memory_tokens == UNSTATED or not found:
        return found
    lacking = {e.name: _lacking(e, tokens, memory_tokens) for e in found}
    enough = [
        e
        for e in found
        if lacking[e.name] <= min(t.max_tokens for t in e.unrevoked_batch())
    ]
    return enough or [min(found, key=lambda e: (lacking[e.name], e.name))]


def kept_endpoint(
    endpoints: Iterable[_admission_state.Endpoint],
    request: _fair_queue.QueuedRequest,
    memory_tokens: int,
) -> str:
    """Returns the endpoint whose memory is kept for the next request.

    Without this, smaller requests would take all memory that is released, and
    a large one would starve.

    Args:
        endpoints: The endpoints that can run it.
        request: The request that is next.
        memory_tokens: Tokens that each endpoint holds.

    Returns:
        The name of the endpoint; empty if none is to be kept.
    """
    found = list(endpoints)
    if memory_tokens == UNSTATED or not found:
        return ""
    if any(fits(e, request.max_tokens, memory_tokens) for e in found):
        return ""
    return min(found, key=lambda e: (e.held_tokens, e.name)).name


def others_that_fit(
    requests: Iterable[_fair_queue.QueuedRequest],
    first: _fair_queue.QueuedRequest,
    endpoints: Iterable[_admission_state.Endpoint],
    memory_tokens: int,
) -> list[_fair_queue.QueuedRequest]:
    """Returns the requests that some endpoint can hold, except the first."""
    free = max((memory_tokens - e.held_tokens for e in endpoints), default=0)
    return [r for r in requests if r is not first and r.max_tokens <= free]
