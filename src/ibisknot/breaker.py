"""Circuit breaker of an endpoint, and the retry budget of a process."""

import dataclasses

FAILURES_TO_OPEN = 2
MIN_OPEN_S = 0.5
MAX_OPEN_S = 8.0
CREDIT_PER_REQUEST = 0.2
"""Retries that each request adds to the budget."""
MAX_RETRY_CREDIT = 100.0
"""Most retries that may be saved up, and the credit at the start.

One crashed engine fails about this many requests, which all need a retry.
"""


@dataclasses.dataclass(slots=True)
class Breaker:
    """State of one endpoint's circuit breaker.

    Attributes:
        failures: Number of failures since the last success; the breaker is
            open or half-open from `FAILURES_TO_OPEN` on.
        open_until_s: Monotonic time in seconds until which no request is
            sent.
        probing: Whether the one request of a half-open breaker is in flight.
    """

    failures: int = 0
    open_until_s: float = -1e9
    probing: bool = False


def allows(breaker: Breaker, now: float) -> bool:
    """Returns whether a request may be sent.

    From `open_until_s` on the breaker is half-open: one request at a time
    probes the endpoint.
    """
    if breaker.failures < FAILURES_TO_OPEN:
        return True
    return now >= breaker.open_until_s and not breaker.probing


def record_sent(breaker: Breaker) -> None:
    """Records that a request is sent; a half-open breaker starts a probe."""
    breaker.probing = breaker.failures >= FAILURES_TO_OPEN


def record_success(breaker: Breaker) -> None:
    """Records a successful request, which closes the breaker."""
    breaker.failures = 0
    breaker.probing = False


def record_failure(
    breaker: Breaker, now: float, *, endpoint_down: bool = False
) -> None:
    """Records a failed request; the open time doubles with each one.

    Failures while the breaker is open belong to requests that were sent
    before it opened, and are not counted again.

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
    further_failures = max(0, breaker.failures - FAILURES_TO_OPEN)
    open_s = min(MAX_OPEN_S, MIN_OPEN_S * 2.0 ** min(further_failures, 10))
    breaker.open_until_s = now + open_s


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Limits retries to a fraction of the requests.

    Attributes:
        credit: Number of retries that are allowed now.

    >>> budget = RetryBudget(credit=1.0)
    >>> consume_credit(budget), consume_credit(budget)
    (True, False)
    """

    credit: float = MAX_RETRY_CREDIT


def add_credit(budget: RetryBudget) -> None:
    """Adds the credit of one new request."""
    budget.credit = min(MAX_RETRY_CREDIT, budget.credit + CREDIT_PER_REQUEST)


def consume_credit(budget: RetryBudget) -> bool:
    """Consumes the credit of one retry; returns whether there was enough."""
    if budget.credit < 1.0:
        return False
    budget.credit -= 1.0
    return True
