"""Estimates an engine's concurrency limit from measured token times.

The limit rises while the mean time between tokens is short enough and first
tokens show no queue in the engine, and falls by a factor otherwise.
"""

import dataclasses

INITIAL_CONCURRENCY = 16.0
MIN_CONCURRENCY = 1.0
MAX_CONCURRENCY = 512.0
MAX_TOKEN_GAP_S = 0.049
"""Target: 95% of online requests have at most this time between tokens."""
QUEUED_FIRST_TOKEN_GAPS = 3.5
"""Delay of a first token above which its request was queued in the engine.

The delay is counted in token gaps.
"""
WINDOW_SAMPLES = 16
QUEUED_SAMPLE_RANK = 4
"""Rank, by delay, of the window's first token that shows a queue.

Network delays only add to a first token and differ from sample to sample. A
queue in the engine delays nearly every first token, except a few that start
at once where a batch request was cancelled.
"""
DECREASE_FACTOR = 0.9
FAST_INCREASE_SLOTS = 0.25
NEAR_LIMIT_FRACTION = 0.8
SAMPLE_DECAY = 0.98
DEFAULT_STEP_S = 0.01
PREFILL_S_PER_WORD = 0.0001


@dataclasses.dataclass(slots=True)
class Capacity:
    """Estimated capacity of one engine.

    Attributes:
        limit: Sequences that the engine can run concurrently.
        saturated: Whether the limit was ever too high; until then it rises
            by `FAST_INCREASE_SLOTS` a sample.
        mean_token_gap_s: Decayed mean of the seconds between tokens, of
            samples near the limit.
        first_token_gaps: Delays of first tokens in the current window, of
            samples near the limit, as multiples of the token gap.
        sample_weight: Decayed count of samples.
        weighted_sums: Decayed sums of n, gap, n*n and n*gap, where n is the
            number of running sequences and gap the seconds between tokens.
    """

    limit: float = INITIAL_CONCURRENCY
    saturated: bool = False
    mean_token_gap_s: float = 0.0
    first_token_gaps: list[float] = dataclasses.field(default_factory=list)
    sample_weight: float = 0.0
    weighted_sums: tuple[float, float, float, float] = (0.0, 0.0, 0.0, 0.0)


def fit_step_time_s(capacity: Capacity) -> tuple[float, float]:
    """Fits the step time as a line over the number of running sequences.

    Returns:
        Seconds a step of an empty engine, and seconds that each running
        sequence adds.
    """
    weight = capacity.sample_weight
    if weight < 1.0:
        return DEFAULT_STEP_S, 0.0
    mean_running, mean_gap_s, mean_square, mean_product = (
        value / weight for value in capacity.weighted_sums
    )
    variance = mean_square - mean_running * mean_running
    if variance < 0.5:
        return mean_gap_s, 0.0
    slope_s = max(0.0, (mean_product - mean_running * mean_gap_s) / variance)
    return max(0.001, mean_gap_s - slope_s * mean_running), slope_s


def expected_token_gap_s(capacity: Capacity, running: float) -> float:
    """Returns the expected seconds between tokens with `running` sequences."""
    base_s, slope_s = fit_step_time_s(capacity)
    return base_s + slope_s * min(running, capacity.limit)


def record_sample(
    capacity: Capacity,
    *,
    running: float,
    token_gap_s: float,
    first_token_s: float,
    prompt_words: int,
) -> None:
    """Updates the estimates from one request that ran to its end.

    Args:
        capacity: Updated in place.
        running: Mean number of sequences on the engine during the request.
        token_gap_s: Mean seconds between its tokens.
        first_token_s: Seconds from dispatch to its first token.
        prompt_words: Words in its prompt.
    """
    if token_gap_s <= 0.0:
        return
    sample = (running, token_gap_s, running * running, running * token_gap_s)
    capacity.sample_weight = capacity.sample_weight * SAMPLE_DECAY + 1.0
    capacity.weighted_sums = (
        capacity.weighted_sums[0] * SAMPLE_DECAY + sample[0],
        capacity.weighted_sums[1] * SAMPLE_DECAY + sample[1],
        capacity.weighted_sums[2] * SAMPLE_DECAY + sample[2],
        capacity.weighted_sums[3] * SAMPLE_DECAY + sample[3],
    )
    if running < NEAR_LIMIT_FRACTION * capacity.limit:
        return
    delay_s = first_token_s - prompt_words * PREFILL_S_PER_WORD
    capacity.first_token_gaps.append(delay_s / token_gap_s)
    capacity.mean_token_gap_s = capacity.mean_token_gap_s or token_gap_s
    capacity.mean_token_gap_s += (
        token_gap_s - capacity.mean_token_gap_s
    ) / WINDOW_SAMPLES
    _adjust_limit(capacity)


def _adjust_limit(capacity: Capacity) -> None:
    """Raises the limit with each sample, or lowers it at a window's end."""
    if len(capacity.first_token_gaps) < WINDOW_SAMPLES:
        step = (
            1.0 / capacity.limit if capacity.saturated else FAST_INCREASE_SLOTS
        )
        if capacity.mean_token_gap_s <= MAX_TOKEN_GAP_S:
            capacity.limit = min(MAX_CONCURRENCY, capacity.limit + step)
        return
    queued = (
        sorted(capacity.first_token_gaps)[QUEUED_SAMPLE_RANK - 1]
        > QUEUED_FIRST_TOKEN_GAPS
    )
    capacity.first_token_gaps.clear()
    if queued or capacity.mean_token_gap_s > MAX_TOKEN_GAP_S:
        capacity.saturated = True
        capacity.limit = max(MIN_CONCURRENCY, capacity.limit * DECREASE_FACTOR)
