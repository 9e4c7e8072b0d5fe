"""Reference for rates: one exact token bucket for each organisation.

From the times at which callers sent their requests it decides which requests
were within their organisation's rate.
"""

from collections.abc import Iterable

from ibisknot import buckets
from ibisknot import configuration
from ibisknot.bench import generator
from ibisknot.bench import topology as topology_module

RATE_LIMITED = "rate_limited"


def bench_organisations(
    topology: topology_module.Topology,
) -> dict[str, configuration.Organisation]:
    """Returns the rate and burst of each organisation of the bench's fleet."""
    return {
        f"organisation-{index + 1}": configuration.Organisation(
            rate_per_s=rate, burst=rate
        )
        for index, rate in enumerate(topology.rates)
    }


def within_rate(
    sent_s: Iterable[float], organisation: configuration.Organisation
) -> list[bool]:
    """Returns for each request whether it was within the rate.

    Args:
        sent_s: Times at which the requests were sent, in ascending order.
        organisation: The organisation, with its rate and burst.

    >>> organisation = configuration.Organisation(rate_per_s=1.0, burst=2.0)
    >>> within_rate([0.0, 0.1, 0.2, 1.1], organisation)
    [True, True, False, True]
    """
    rate, burst = organisation.rate_per_s, organisation.burst
    bucket: buckets.Bucket | None = None
    in_rate = []
    for now in sent_s:
        if bucket is None:
            bucket = buckets.Bucket(burst, now)
        in_rate.append(buckets.consume(bucket, now, rate=rate, burst=burst))
    return in_rate


def count_refused_in_rate(
    outcomes: list[generator.Outcome], organisation: configuration.Organisation
) -> tuple[int, int]:
    """Counts the requests within the rate, and those of them refused."""
    ordered = sorted(outcomes, key=lambda outcome: outcome.sent_s)
    in_rate = within_rate([o.sent_s for o in ordered], organisation)
    refused = [
        outcome.error_code == RATE_LIMITED
        for outcome, is_in_rate in zip(ordered, in_rate, strict=True)
        if is_in_rate
    ]
    return len(refused), sum(refused)


def granted_over_allowed(
    outcomes: list[generator.Outcome], organisation: configuration.Organisation
) -> float:
    """Returns the largest ratio of granted to allowed requests of any window.

    A request counts for a window if it was sent and its response began within
    the window, because then it was certainly granted within the window.

    >>> organisation = configuration.Organisation(rate_per_s=1.0, burst=2.0)
    >>> outcomes = [
    ...     generator.Outcome("a", t, t, status=200, first_content_s=0.5)
    ...     for t in (0.0, 0.0, 0.0, 9.5)
    ... ]
    >>> granted_over_allowed(outcomes, organisation)
    1.2
    """
    granted = [o for o in outcomes if o.status == 200]
    grant_bounds = sorted(
        (o.due_s + o.first_content_s, o.sent_s) for o in granted
    )
    worst = 0.0
    for start_s in sorted({outcome.sent_s for outcome in granted}):
        count = 0
        for end_s, sent_s in grant_bounds:
            if sent_s < start_s:
                continue
            count += 1
            window_s = end_s - start_s
            allowed = organisation.rate_per_s * window_s + organisation.burst
            worst = max(worst, count / allowed)
    return worst
