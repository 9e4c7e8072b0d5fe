"""Learns from measured token times what an engine can take at once."""

import dataclasses

INITIAL_LIMIT = 16.0
LOWEST_LIMIT = 1.0
HIGHEST_LIMIT = 512.0
TOKEN_GAP_LIMIT_S = 0.049
"""The time between tokens that 95 in 100 online requests must keep."""
QUEUED_GAPS = 3.5
"""First token later than this many token times: the engine queues."""
WINDOW = 16
EARLY = 4
"""Of a window's first tokens, this one in order of delay counts.

Delays on the way only ever add to a first token and differ from sample to
sample, while an engine's queue delays nearly every one; a few slip in where
batch was cancelled.
"""
BACK_OFF = 0.9
FAST_STEP = 0.25
NEAR_LIMIT = 0.8
DECAY = 0.98
DEFAULT_STEP_S = 0.01
PREFILL_WORD_S = 0.0001


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

    limit: float = INITIAL_LIMIT
    saturated: bool = False
    gaps: float = 0.0
    starts: list[float] = dataclasses.field(default_factory=list)
    weight: float = 0.0
    sums: tuple[float, float, float, float] = (0.0, 0.0, 0.0, 0.0)


def line(capacity: Capacity) -> tuple[float, float]:
    """Returns the step time of an empty engine and that of each sequence."""
    weight = capacity.weight
    if weight < 1.0:
        return DEFAULT_STEP_S, 0.0
    n, gap, square, product = (value / weight for value in capacity.sums)
    spread = square - n * n
    if spread < 0.5:
        return gap, 0.0
    slope = max(0.0, (product - n * gap) / spread)
    return max(0.001, gap - slope * n), slope


def gap_s(capacity: Capacity, running: float) -> float:
    """Returns the expected time between tokens with `running` sequences."""
    base_s, slope_s = line(capacity)
    return base_s + slope_s * min(running, capacity.limit)


def learn(
    capacity: Capacity,
    *,
    running: float,
    token_gap_s: float,
    first_token_s: float,
    words: int,
) -> None:
    """Learns from one request that ran to its end.

    Args:
        capacity: Updated in place.
        running: Mean number of sequences that ran beside it.
        token_gap_s: Mean time between its tokens.
        first_token_s: Time from dispatch to its first token.
        words: Words of its prompt.
    """
    if token_gap_s <= 0.0:
        return
    added = (running, token_gap_s, running * running, running * token_gap_s)
    capacity.weight = capacity.weight * DECAY + 1.0
    capacity.sums = (
        capacity.sums[0] * DECAY + added[0],
        capacity.sums[1] * DECAY + added[1],
        capacity.sums[2] * DECAY + added[2],
        capacity.sums[3] * DECAY + added[3],
    )
    if running < NEAR_LIMIT * capacity.limit:
        return
    start_s = first_token_s - words * PREFILL_WORD_S
    capacity.starts.append(start_s / token_gap_s)
    capacity.gaps = capacity.gaps or token_gap_s
    capacity.gaps += (token_gap_s - capacity.gaps) / WINDOW
    _adjust(capacity)


def _adjust(capacity: Capacity) -> None:
    """Raises the limit step by step, and lowers it when it is too high."""
    if len(capacity.starts) < WINDOW:
        step = 1.0 / capacity.limit if capacity.saturated else FAST_STEP
        if capacity.gaps <= TOKEN_GAP_LIMIT_S:
            capacity.limit = min(HIGHEST_LIMIT, capacity.limit + step)
        return
    queued = sorted(capacity.starts)[EARLY - 1] > QUEUED_GAPS
    capacity.starts.clear()
    if queued or capacity.gaps > TOKEN_GAP_LIMIT_S:
        capacity.saturated = True
        capacity.limit = max(LOWEST_LIMIT, capacity.limit * BACK_OFF)
