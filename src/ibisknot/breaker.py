"""Circuit breaker of an endpoint and the retry budget of a process."""

import dataclasses

FAILURES_TO_OPEN = 2
FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 8.0
RETRY_FRACTION = 0.2
RETRY_RESERVE = 100.0
"""Retries without credit: one crashed engine holds this many requests."""


@dataclasses.dataclass(slots=True)
class Breaker:
    """State of one endpoint's circuit breaker.

    Attributes:
        failures: Failures since the last success.
        open_until_s: Monotonic time until which nothing is sent.
        probing: Whether one request is trying the endpoint out.
    """

    failures: int = 0
    open_until_s: float = -1e9
    probing: bool = False


def allows(breaker: Breaker, now: float) -> bool:
    """Returns whether a request may be sent.

    After the pause one request at a time tries the endpoint out.
    """
    if breaker.failures < FAILURES_TO_OPEN:
        return True
    return now >= breaker.open_until_s and not breaker.probing


def sent(breaker: Breaker) -> None:
    """Notes that a request is sent."""
    breaker.probing = breaker.failures >= FAILURES_TO_OPEN


def succeeded(breaker: Breaker) -> None:
    """Closes the breaker."""
    breaker.failures = 0
    breaker.probing = False


def failed(breaker: Breaker, now: float, *, certain: bool = False) -> None:
    """Counts a failure; the pause doubles with each one.

    Failures during the pause belong to requests that were sent before it, and
    are not counted again.

    Args:
        breaker: Updated in place.
        now: Monotonic time in seconds.
        certain: Whether the endpoint is known to be down, so that one failure
            opens the breaker.

    >>> breaker = Breaker()
    >>> for _ in range(FAILURES_TO_OPEN):
    ...     failed(breaker, 10.0)
    >>> allows(breaker, 10.1), allows(breaker, 10.6)
    (False, True)
    """
    breaker.probing = False
    if breaker.failures >= FAILURES_TO_OPEN and now < breaker.open_until_s:
        return
    breaker.failures += 1
    if certain:
        breaker.failures = max(breaker.failures, FAILURES_TO_OPEN)
    extra = max(0, breaker.failures - FAILURES_TO_OPEN)
    pause_s = min(LONGEST_PAUSE_S, FIRST_PAUSE_S * 2.0 ** min(extra, 10))
    breaker.open_until_s = now + pause_s


@dataclasses.dataclass(slots=True)
class Budget:
    """Bounds retries to a fraction of the requests.

    >>> budget = Budget(credit=1.0)
    >>> take(budget), take(budget)
    (True, False)
    """

    credit: float = RETRY_RESERVE


def earn(budget: Budget) -> None:
    """Adds the credit of one first try."""
    budget.credit = min(RETRY_RESERVE, budget.credit + RETRY_FRACTION)


def take(budget: Budget) -> bool:
    """Takes the credit of one retry if there is any."""
    if budget.credit < 1.0:
        return False
    budget.credit -= 1.0
    return True
