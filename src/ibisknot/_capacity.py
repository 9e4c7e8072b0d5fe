"""Learns from measured token times what an engine can take at once."""

import dataclasses

INITIAL_CONCURRENCY = 16.0
MIN_CONCURRENCY = 1.0
MAX_CONCURRENCY = 512.0
MAX_TOKEN_GAP_S = 0.049
"""The time between tokens that 95 in 100 online requests must keep."""
QUEUED_FIRST_TOKEN_GAPS = 3.5
"""First token later than this many token times: the engine queues."""
WINDOW_SAMPLES = 16
QUEUED_SAMPLE_RANK = 4
"""Of a window's first tokens, this one in order of delay counts.

Delays on the way only ever add to a first token and differ from sample to
sample, while an engine's queue delays nearly every one; a few slip in where
batch was cancelled.
"""
DECREASE_FACTOR = 0.9
FAST_INCREASE_SLOTS = 0.25
NEAR_LIMIT_FRACTION = 0.8
SAMPLE_DECAY = 0.98
DEFAULT_STEP_S = 0.01
PREFILL_S_PER_WORD = 0.0001


@dataclasses.dataclass(slots=True)
class Capacity:
    """What has been learnt about one engine.

    Attributes:
        limit: Sequences that the engine can run at once.
        saturated: Whether the limit was ever too high; before that it rises
            fast.
        gaps: Decayed mean time between tokens near the limit.
        starts: First tokens near the limit, in token times.
        weight: Decayed number of samples.
        sums: Decayed sums of n, gap, n*n and n*gap.
    """

    limit: float = INITIAL_CONCURRENCY
    saturated: bool = False
    mean_token_gap_s: float = 0.0
    first_token_gaps: list[float] = dataclasses.field(default_factory=list)
    sample_weight: float = 0.0
    weighted_sums: tuple[float, float, float, float] = (0.0, 0.0, 0.0, 0.0)


def fit_step_time_s(capacity: Capacity) -> tuple[float, float]:
    """Returns the step time of an empty engine and that of each sequence."""
    weight = capacity.sample_weight
    if weight < 1.0:
        return DEFAULT_STEP_S, 0.0
    n, gap, square, product = (
        value / weight for value in capacity.weighted_sums
    )
    spread = square - n * n
    if spread < 0.5:
        return gap, 0.0
    slope = max(0.0, (product - n * gap) / spread)
    return max(0.001, gap - slope * n), slope


def expected_token_gap_s(capacity: Capacity, running: float) -> float:
    """Returns the expected time between tokens with `running` sequences."""
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
    """Learns from one request that ran to its end.

    Args:
        capacity: Updated in place.
        running: Mean number of sequences that ran beside it.
        token_gap_s: Mean time between its tokens.
        first_token_s: Time from dispatch to its first token.
        prompt_words: Words of its prompt.
    """
    if token_gap_s <= 0.0:
        return
    added = (running, token_gap_s, running * running, running * token_gap_s)
    capacity.sample_weight = capacity.sample_weight * SAMPLE_DECAY + 1.0
    capacity.weighted_sums = (
        capacity.weighted_sums[0] * SAMPLE_DECAY + added[0],
        capacity.weighted_sums[1] * SAMPLE_DECAY + added[1],
        capacity.weighted_sums[2] * SAMPLE_DECAY + added[2],
        capacity.weighted_sums[3] * SAMPLE_DECAY + added[3],
    )
    if running < NEAR_LIMIT_FRACTION * capacity.limit:
        return
    start_s = first_token_s - prompt_words * PREFILL_S_PER_WORD
    capacity.first_token_gaps.append(start_s / token_gap_s)
    capacity.mean_token_gap_s = capacity.mean_token_gap_s or token_gap_s
    capacity.mean_token_gap_s += (
        token_gap_s - capacity.mean_token_gap_s
    ) / WINDOW_SAMPLES
    _adjust_limit(capacity)


def _adjust_limit(capacity: Capacity) -> None:
    """Raises the limit step by step, and lowers it when it is too high."""
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
