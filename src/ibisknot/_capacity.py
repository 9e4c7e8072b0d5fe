"""Learns from measured token times what an engine can take at once."""

import dataclasses

INITIAL_LIMIT = 16.0
LOWEST_LIMIT = 1.0
HIGHEST_LIMIT = 512.0
TOKEN_GAP_LIMIT_S = 0.049
"""The time between tokens that 95 in 100 online requests must keep."""
QUEUED_GAPS = 4.0
"""First token later than this many token times: the engine queues."""
BACK_OFF = 0.85
BACK_OFF_PAUSE_S = 0.5
"""Time that a lower limit needs to show in the returned measurements."""
NEAR_LIMIT = 0.8
DECAY = 0.98
DEFAULT_STEP_S = 0.01
PREFILL_WORD_S = 0.0001


@dataclasses.dataclass(slots=True)
class Capacity:
    """What has been learnt about one engine.

    Attributes:
        limit: Sequences that the engine can run at once.
        changed_s: Monotonic time of the last back-off.
        weight: Decayed number of samples.
        sums: Decayed sums of n, gap, n*n and n*gap.
    """

    limit: float = INITIAL_LIMIT
    changed_s: float = -1e9
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
    now: float,
    *,
    running: float,
    token_gap_s: float,
    first_token_s: float,
    words: int,
) -> None:
    """Learns from one request that ran to its end.

    Args:
        capacity: Updated in place.
        now: Monotonic time in seconds.
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
    queued = start_s > QUEUED_GAPS * token_gap_s
    if token_gap_s <= TOKEN_GAP_LIMIT_S and not queued:
        capacity.limit += 1.0 / capacity.limit
        capacity.limit = min(HIGHEST_LIMIT, capacity.limit)
    elif now - capacity.changed_s >= BACK_OFF_PAUSE_S:
        capacity.limit = max(LOWEST_LIMIT, capacity.limit * BACK_OFF)
        capacity.changed_s = now
