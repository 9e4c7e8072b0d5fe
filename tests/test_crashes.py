"""Verdicts on requests that were in flight at crashes."""

import pytest

from ibisknot import breaker
from ibisknot import crashes


def crash(
    endpoint: str, *, exclusive: bool, before_first_token: bool = True
) -> crashes.Crash:
    return crashes.Crash(
        endpoint, f"r-{endpoint}", exclusive, before_first_token
    )


@pytest.mark.parametrize(
    ("found", "verdict"),
    [
        ([], crashes.CLEAN),
        ([crash("a", exclusive=False)], crashes.SUSPECT),
        (
            [crash("a", exclusive=False, before_first_token=False)],
            crashes.CLEAN,
        ),
        (
            [crash("a", exclusive=False), crash("b", exclusive=False)],
            crashes.SUSPECT,
        ),
        (
            [crash("a", exclusive=False), crash("b", exclusive=True)],
            crashes.REFUSED,
        ),
        (
            [crash("a", exclusive=True), crash("a", exclusive=True)],
            crashes.SUSPECT,
        ),
    ],
)
def test_verdict(found: list[crashes.Crash], verdict: str) -> None:
    """Guards against a third crash, and against refusing harmless requests."""
    history = crashes.CrashHistory()
    for crash_seen in found:
        crashes.record_crash(history, 0.0, "m", crash_seen)
    assert crashes.verdict(history, "m") == verdict


def test_clearing_does_not_undo_a_refusal() -> None:
    """Guards against a late notice that lets a crash request run again."""
    history = crashes.CrashHistory()
    crashes.record_crash(history, 0.0, "m", crash("a", exclusive=False))
    crashes.record_crash(history, 0.0, "m", crash("b", exclusive=True))
    assert not crashes.clear(history, "m")
    assert crashes.verdict(history, "m") == crashes.REFUSED


def test_failures_during_a_pause_do_not_lengthen_it() -> None:
    """Guards against a pause that grows with the failures of one crash."""
    state = breaker.Breaker()
    for _ in range(30):
        breaker.record_failure(state, 1.0, endpoint_down=True)
    assert breaker.allows(state, 1.0 + breaker.MIN_OPEN_S)
