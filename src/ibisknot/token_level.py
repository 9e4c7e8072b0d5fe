"""Tokens of an organisation's rate at one process.

They accrue for time that was passed on to the process, see `accrual`.
"""

import dataclasses

from ibisknot import rates

RESERVE_RECOVERY_S = 20.0
"""Time in which a used reserve is available again."""


@dataclasses.dataclass(slots=True)
class Level:
    """Tokens of one organisation.

    Attributes:
        tokens: Requests that may start; below zero when the reserve was used.
        time_s: Accrued time up to which tokens were added.
        updated_s: Monotonic time of the last update.
    """

    tokens: float
    time_s: float
    updated_s: float


def update(
    level: Level,
    allowance: rates.Allowance,
    *,
    time_s: float,
    cap: float,
    now: float,
    reserve: float,
) -> None:
    """Adds what has accrued.

    Args:
        level: The tokens; changed.
        allowance: The organisation's rate and burst.
        time_s: Time for which the whole rate has accrued here.
        cap: Tokens that may be saved up here.
        now: Monotonic time in seconds.
        reserve: Tokens that may be borrowed.
    """
    accrued = max(0.0, time_s - level.time_s) * allowance.rate
    recovered = max(0.0, now - level.updated_s) * reserve / RESERVE_RECOVERY_S
    level.tokens += accrued
    if level.tokens < 0.0:
        level.tokens = min(0.0, level.tokens + recovered)
    level.tokens = min(level.tokens, cap)
    level.time_s = time_s
    level.updated_s = now


def consume(level: Level, reserve: float) -> bool:
    """Consumes a token, of the reserve as well; returns whether it could.

    The reserve lets small organisations send requests before a whole token
    has accrued at a process that was asked only just now.

    >>> level = Level(tokens=0.5, time_s=0.0, updated_s=0.0)
    >>> [consume(level, reserve=1.0) for _ in range(2)], level.tokens
    ([True, False], -0.5)
    """
    if level.tokens + reserve < 1.0:
        return False
    level.tokens -= 1.0
    return True


def next_token_s(
    level: Level, allowance: rates.Allowance, fraction: float, reserve: float
) -> float:
    """Returns the seconds until a request is within the rate, at most 10.

    Args:
        level: The tokens.
        allowance: The organisation's rate and burst.
        fraction: Fraction of the rate that accrues here.
        reserve: Tokens that may be borrowed.
    """
    missing = max(0.0, 1.0 - reserve - level.tokens)
    rate_per_s = allowance.rate * fraction
    return min(10.0, missing / rate_per_s) if rate_per_s > 0.0 else 1.0
