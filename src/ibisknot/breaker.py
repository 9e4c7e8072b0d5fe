"""Circuit breaker of an endpoint and the retry budget of a process."""

import dataclasses

FAILURES_TO_OPEN = 2
MIN_OPEN_S = 0.5
MAX_OPEN_S = 8.0
CREDIT_PER_REQUEST = 0.2
MAX_RETRY_CREDIT = 100.0
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


def record_sent(breaker: Breaker) -> None:
    """Notes that a request is sent."""
    breaker.probing = breaker.failures >= FAILURES_TO_OPEN


def record_success(breaker: Breaker) -> None:
    """Closes the breaker."""
    breaker.failures = 0
    breaker.probing = False


def record_failure(
    breaker: Breaker, now: float, *, endpoint_down: bool = False
) -> None:
    """Counts a failure; the pause doubles with each one.

    Failures during the pause belong to requests that were sent before it, and
    are not counted again.

    Args:
        breaker: Updated in place.
        now: Monotonic time in seconds.
        endpoint_down: Whether the endpoint is certainly down, so that one
            failure opens the breaker.

    >>> breaker = Breaker()
    >>> for _ in range(FAILURES_TO_OPEN):
    ...     record_failure(breaker, 10.0)
    >>> allows(breaker, 10.1), allows(breaker, 10.6)
    (False, True)
    """
    breaker.probing = False
    if breaker.failures >= FAILURES_TO_OPEN and now < breaker.open_until_s:
        return
    breaker.failures += 1
    if endpoint_down:
        breaker.failures = max(breaker.failures, FAILURES_TO_OPEN)
    extra = max(0, breaker.failures - FAILURES_TO_OPEN)
    open_s = min(MAX_OPEN_S, MIN_OPEN_S * 2.0 ** min(extra, 10))
    breaker.open_until_s = now + open_s


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Bounds retries to a fraction of the requests.

    >>> budget = RetryBudget(credit=1.0)
    >>> consume_credit(budget), consume_credit(budget)
    (True, False)
    """

    credit: float = MAX_RETRY_CREDIT


def add_credit(budget: RetryBudget) -> None:
    """Adds the credit of one first try."""
    budget.credit = min(MAX_RETRY_CREDIT, budget.credit + CREDIT_PER_REQUEST)


def consume_credit(budget: RetryBudget) -> bool:
    """Takes the credit of one retry if there is any."""
    if budget.credit < 1.0:
        return False
    budget.credit -= 1.0
    return True
