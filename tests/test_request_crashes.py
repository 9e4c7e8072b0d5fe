"""Which requests are refused because they crash endpoints."""

from ibisknot import request_crashes

NOW_S = 100.0


def _crash(
    history: request_crashes.History,
    *endpoints: str,
    fingerprint: int = 1,
    at_s: float = NOW_S,
) -> None:
    for endpoint in endpoints:
        request_crashes.record_crash(history, at_s, endpoint, at_s, fingerprint)


def _is_refused(
    history: request_crashes.History, fingerprint: int = 1, now: float = NOW_S
) -> bool:
    return request_crashes.is_refused(history, now, fingerprint)


def test_one_crash_under_many_resends_counts_once() -> None:
    """Guards against a question of many callers that one crash refuses."""
    history = request_crashes.History()
    for _ in range(8):
        _crash(history, "e1")
    assert not _is_refused(history)


def test_three_crashes_refuse_a_request() -> None:
    """Guards against a request that crashes one endpoint after another."""
    history = request_crashes.History()
    _crash(history, "e1", "e2")
    assert not _is_refused(history)
    _crash(history, "e3")
    assert _is_refused(history)
    assert not _is_refused(history, now=NOW_S + request_crashes.RETENTION_S + 1)


def test_answer_clears_the_crashes_before_it() -> None:
    """Guards against refusing what has been answered since."""
    history = request_crashes.History()
    _crash(history, "e1", "e2")
    assert request_crashes.record_completion(history, NOW_S + 1.0, 1) == 2
    _crash(history, "e3", at_s=NOW_S + 2.0)
    # What a peer tells late of the time before is no evidence either.
    request_crashes.record_crash(history, NOW_S + 3.0, "e1", NOW_S, 1)
    assert list(history.crashes[1]) == ["e3"]


def test_endpoints_that_crash_together_refuse_no_request() -> None:
    """Guards against a request of many callers, refused for another cause.

    It was in progress at several of the endpoints.
    """
    history = request_crashes.History()
    _crash(history, "e1", "e2", "e3")
    _crash(history, "e4", "e5", fingerprint=2)
    assert not _is_refused(history)
    _crash(history, "e6", at_s=NOW_S + request_crashes.MIN_SPAN_S)
    assert _is_refused(history, now=NOW_S + request_crashes.MIN_SPAN_S)


def test_digest_is_that_of_what_is_refused() -> None:
    """Guards against processes that exchange their histories for ever."""
    first, second = request_crashes.History(), request_crashes.History()
    _crash(first, "e1", "e2", "e3")
    request_crashes.adopt_refusal(second, NOW_S, 1, NOW_S)
    assert _is_refused(second)
    digests = {request_crashes.digest(h, NOW_S) for h in (first, second)}
    assert len(digests) == 1
    _crash(second, "e9", fingerprint=2)
    assert request_crashes.digest(second, NOW_S) not in digests
    assert request_crashes.digest(request_crashes.History(), NOW_S) == 0


def test_evidence_is_bounded_and_the_strongest_is_kept() -> None:
    """Guards against memory that grows with each request at a crash."""
    history = request_crashes.History()
    _crash(history, "e1", "e2", "e3", fingerprint=0)
    for number in range(2 * request_crashes.MAX_REQUESTS):
        _crash(history, "e9", fingerprint=1 + number, at_s=NOW_S + number / 1e6)
        request_crashes.record_completion(history, NOW_S, 1 + number)
    assert len(history.crashes) <= request_crashes.MAX_REQUESTS
    assert len(history.completed_s) <= request_crashes.MAX_COMPLETIONS
    assert 0 in history.crashes


def test_old_evidence_is_forgotten() -> None:
    """Guards against memory that a fleet with few crashes never frees."""
    history = request_crashes.History()
    _crash(history, "e1")
    request_crashes.expire(history, NOW_S + request_crashes.RETENTION_S + 1.0)
    assert not history.crashes
