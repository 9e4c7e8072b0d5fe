"""Estimates how slow each endpoint is, relative to those of its service.

Endpoints slow down as their slots fill. A response's event gap is therefore
compared with the gap that is usual at the same load, by a line over the load
that is fitted to the responses of all endpoints.
"""

from collections.abc import Mapping
import dataclasses
import math
import statistics

HALF_LIFE_S = 10.0
"""Half-life of evidence."""
MAX_WEIGHT = 6.0
"""Largest weight of the evidence before a new sample.

It lets an endpoint that becomes slow be found with a few samples, however many
good ones there were before.
"""
MIN_WEIGHT = 2.5
"""With less evidence, an endpoint counts as usual."""
PRIOR_WEIGHT = 1.0
"""Weight of the assumption that an endpoint is as fast as the others."""
MIN_USUAL_WEIGHT = 10.0
"""With fewer samples of all endpoints, the usual gap is unknown."""
USUAL_DECAY = 0.995
"""Factor on the weight of the earlier samples of all endpoints, a sample."""
MIN_LOAD_VARIANCE = 0.5
MIN_BASE_FRACTION = 0.1
"""Least gap without load, as a fraction of the mean gap."""
MAX_SLOWNESS = 8.0
"""Larger ratios, and their inverses, are cut: a few samples are absurd."""
MAX_SHIFT = 2.0
"""A response counts in what is usual with at most this ratio.

Else, one very slow endpoint of a few would make all others seem fast.
"""
MAX_GAP_S = 60.0
"""Larger reported gaps are ignored."""
SLOW = 1.5
"""Slowness above which an endpoint counts as slow."""
RECOVERED = 1.35
"""Slowness below which it no longer does."""


@dataclasses.dataclass(slots=True)
class Usual:
    """Decayed sums over the responses of all endpoints of a service.

    Attributes:
        weight: Decayed number of responses.
        load: Sum of the loads.
        gap_s: Sum of the gaps.
        square: Sum of the squares of the loads.
        product: Sum of the products of load and gap.
    """

    weight: float = 0.0
    load: float = 0.0
    gap_s: float = 0.0
    square: float = 0.0
    product: float = 0.0


@dataclasses.dataclass(slots=True)
class Estimate:
    """Evidence on one endpoint.

    Attributes:
        weight: Decayed number of samples.
        log_sum: Decayed sum of the logarithms of the gap ratios.
        updated_s: Monotonic time of the last sample.
        is_slow: Whether it counts as slow.
    """

    weight: float = 0.0
    log_sum: float = 0.0
    updated_s: float = 0.0
    is_slow: bool = False


@dataclasses.dataclass(slots=True)
class Table:
    """Speeds of the endpoints of one service.

    Attributes:
        usual: What is usual, by the kind of request.
        estimates: Evidence by the endpoint's name.
        started_ms: Start of each endpoint, in Unix milliseconds, by name.
        last_online_s: Monotonic time of each endpoint's last online grant.
        mean_batch_s: Decayed mean of the expected durations of batch items.
        median_log: Median of the logarithms of the endpoints' gap ratios. It
            corrects what is usual for a few endpoints that are very slow.
        changed: Names of the endpoints that began or ceased to count as slow,
            until they are logged.
    """

    usual: dict[str, Usual] = dataclasses.field(default_factory=dict)
    estimates: dict[str, Estimate] = dataclasses.field(default_factory=dict)
    started_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    last_online_s: dict[str, float] = dataclasses.field(default_factory=dict)
    mean_batch_s: float = 0.0
    median_log: float = 0.0
    changed: set[str] = dataclasses.field(default_factory=set)


def set_starts(table: Table, started_ms: Mapping[str, int]) -> None:
    """Sets the endpoints with their starts; evidence ends with a start."""
    if table.started_ms == started_ms:
        return
    for name, estimate_start in table.started_ms.items():
        if started_ms.get(name) != estimate_start:
            table.estimates.pop(name, None)
            table.last_online_s.pop(name, None)
    table.started_ms = dict(started_ms)


def is_valid(gap_s: float | None) -> bool:
    """Returns whether a reported gap can be used.

    >>> [is_valid(g) for g in (0.02, None, 0.0, -1.0, math.nan, 1e9)]
    [True, False, False, False, False, False]
    """
    return gap_s is not None and 0.0 < gap_s <= MAX_GAP_S


def record(
    table: Table,
    now: float,
    name: str,
    *,
    kind: str,
    load: float,
    gap_s: float | None,
) -> None:
    """Records a response; a report that makes no sense is ignored.

    Args:
        table: Updated in place.
        now: Monotonic time in seconds.
        name: Name of the endpoint.
        kind: Kind of the request; the events of kinds may differ in size.
        load: Mean number of requests that ran at the endpoint meanwhile.
        gap_s: Mean seconds between its events, or None.
    """
    if gap_s is None or not is_valid(gap_s):
        return
    usual = table.usual.setdefault(kind, Usual())
    expected_s = usual_gap_s(usual, load)
    if expected_s is None:
        _add_usual(usual, load, gap_s)
        return
    cut_s = min(MAX_SHIFT * expected_s, max(expected_s / MAX_SHIFT, gap_s))
    _add_usual(usual, load, cut_s)
    ratio = min(MAX_SLOWNESS, max(1.0 / MAX_SLOWNESS, gap_s / expected_s))
    estimate = table.estimates.setdefault(name, Estimate(updated_s=now))
    kept = min(_decayed_weight(estimate, now), MAX_WEIGHT)
    if estimate.weight > 0.0:
        estimate.log_sum *= kept / estimate.weight
    estimate.weight = kept + 1.0
    estimate.log_sum += math.log(ratio)
    estimate.updated_s = now
    table.median_log = _median_log(table)
    if _update_slow(estimate, slowness(table, now, name)):
        table.changed.add(name)


def _median_log(table: Table) -> float:
    """Returns the median over the endpoints with enough evidence."""
    known = [
        e.log_sum / e.weight
        for e in table.estimates.values()
        if e.weight >= MIN_WEIGHT
    ]
    return statistics.median(known) if known else 0.0


def _update_slow(estimate: Estimate, slow: float) -> bool:
    """Updates `is_slow`; returns whether it has changed."""
    was_slow = estimate.is_slow
    if slow >= SLOW:
        estimate.is_slow = True
    elif slow < RECOVERED:
        estimate.is_slow = False
    return estimate.is_slow != was_slow


def _add_usual(usual: Usual, load: float, gap_s: float) -> None:
    usual.weight = usual.weight * USUAL_DECAY + 1.0
    usual.load = usual.load * USUAL_DECAY + load
    usual.gap_s = usual.gap_s * USUAL_DECAY + gap_s
    usual.square = usual.square * USUAL_DECAY + load * load
    usual.product = usual.product * USUAL_DECAY + load * gap_s


def usual_gap_s(usual: Usual, load: float) -> float | None:
    """Returns the usual seconds between events at a load, None if unknown."""
    if usual.weight < MIN_USUAL_WEIGHT:
        return None
    mean_load = usual.load / usual.weight
    mean_s = usual.gap_s / usual.weight
    variance = usual.square / usual.weight - mean_load * mean_load
    if variance < MIN_LOAD_VARIANCE:
        return mean_s
    covariance = usual.product / usual.weight - mean_load * mean_s
    slope_s = max(0.0, covariance / variance)
    return max(
        MIN_BASE_FRACTION * mean_s, mean_s + slope_s * (load - mean_load)
    )


def _decayed_weight(estimate: Estimate, now: float) -> float:
    elapsed_s = max(0.0, now - estimate.updated_s)
    return float(estimate.weight * 0.5 ** (elapsed_s / HALF_LIFE_S))


def may_be_slow(table: Table, name: str) -> bool:
    """Returns whether an endpoint counted as slow at its last sample."""
    estimate = table.estimates.get(name)
    return estimate is not None and estimate.is_slow


def slowness(table: Table, now: float, name: str) -> float:
    """Returns the expected event gap of an endpoint, relative to the usual one.

    It is 1 for an endpoint with little evidence.
    """
    estimate = table.estimates.get(name)
    if estimate is None:
        return 1.0
    weight = _decayed_weight(estimate, now)
    if weight < MIN_WEIGHT:
        return 1.0
    mean_log = estimate.log_sum / estimate.weight - table.median_log
    return math.exp(mean_log * weight / (weight + PRIOR_WEIGHT))
