"""The bench's reference: one exact token bucket for each organisation.

It is fed with the times at which callers sent their requests, and decides
which of them were inside their organisation's rate.
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
        f"organisation-{number + 1}": configuration.Organisation(
            rate_per_s=rate, burst=rate
        )
        for number, rate in enumerate(topology.rates)
    }


def within_rate(
    sent_s: Iterable[float], organisation: configuration.Organisation
) -> list[bool]:
    """Returns for each request, in order of time, whether it was in rate.

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
    """Returns how many requests were in rate, and how many of them refused."""
    ordered = sorted(outcomes, key=lambda answer: answer.sent_s)
    in_rate = within_rate([a.sent_s for a in ordered], organisation)
    refused = [
        answer.error_code == RATE_LIMITED
        for answer, is_inside in zip(ordered, in_rate, strict=True)
        if is_inside
    ]
    return len(refused), sum(refused)


def granted_over_allowed(
    outcomes: list[generator.Outcome], organisation: configuration.Organisation
) -> float:
    """Returns the most granted over any window, divided by what is allowed.

    A request counts for a window when it was sent and its answer began within
    it, because its grant then lies within the window for certain.

    >>> organisation = configuration.Organisation(rate_per_s=1.0, burst=2.0)
    >>> outcomes = [
    ...     generator.Outcome("a", t, t, status=200, first_content_s=0.5)
    ...     for t in (0.0, 0.0, 0.0, 9.5)
    ... ]
    >>> granted_over_allowed(outcomes, organisation)
    1.2
    """
    granted = [a for a in outcomes if a.status == 200]
    windows = sorted((a.due_s + a.first_content_s, a.sent_s) for a in granted)
    worst = 0.0
    for start_s in sorted({answer.sent_s for answer in granted}):
        count = 0
        for end_s, sent_s in windows:
            if sent_s < start_s:
                continue
            count += 1
            window_s = end_s - start_s
            allowed = organisation.rate_per_s * window_s + organisation.burst
            worst = max(worst, count / allowed)
    return worst
