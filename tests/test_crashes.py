"""Suspicion of requests that were in flight at crashes."""

import pytest

from ibisknot import breaker
from ibisknot import crashes


def crash(endpoint: str, *, alone: bool, strong: bool = True) -> crashes.Crash:
    return crashes.Crash(endpoint, f"r-{endpoint}", alone, strong)


@pytest.mark.parametrize(
    ("found", "verdict"),
    [
        ([], crashes.CLEAN),
        ([crash("a", alone=False)], crashes.SUSPECT),
        ([crash("a", alone=False, strong=False)], crashes.CLEAN),
        ([crash("a", alone=False), crash("b", alone=False)], crashes.SUSPECT),
        ([crash("a", alone=False), crash("b", alone=True)], crashes.REFUSED),
        ([crash("a", alone=True), crash("a", alone=True)], crashes.SUSPECT),
    ],
)
def test_verdict(found: list[crashes.Crash], verdict: str) -> None:
    """Guards against refused bystanders and against a third crash."""
    register = crashes.CrashHistory()
    for one in found:
        crashes.record_crash(register, 0.0, "m", one)
    assert crashes.verdict(register, "m") == verdict


def test_clearing_does_not_undo_a_refusal() -> None:
    """Guards against a late notice that lets a crash request run again."""
    register = crashes.CrashHistory()
    crashes.record_crash(register, 0.0, "m", crash("a", alone=False))
    crashes.record_crash(register, 0.0, "m", crash("b", alone=True))
    assert not crashes.clear(register, "m")
    assert crashes.verdict(register, "m") == crashes.REFUSED


def test_failures_during_a_pause_do_not_lengthen_it() -> None:
    """Guards against one crash that closes an endpoint for many pauses."""
    state = breaker.Breaker()
    for _ in range(30):
        breaker.record_failure(state, 1.0, endpoint_down=True)
    assert breaker.allows(state, 1.0 + breaker.MIN_OPEN_S)
