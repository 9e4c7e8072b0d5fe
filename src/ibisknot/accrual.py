"""Time for which shares of a limit accrue, passed on between processes.

A limit over the whole fleet accrues in equal shares, one for each process that
sends requests under it. A process passes on the time of its share to the
scheduler that it asks, every moment to one scheduler only. So all schedulers
and processes together never accrue more than the limit, whatever they know of
each other: a message that is lost loses time and none creates any.

The functions do no input or output.
"""

from collections.abc import Iterable
import dataclasses
import math

MAX_PASSED_ON_S = 1.5
"""Longest time that one message passes on; the rest is lost."""
GRACE_S = 0.3
"""A share loses none of its burst if nothing is heard of it for this time."""


@dataclasses.dataclass(slots=True)
class Source:
    """The time of one process's share.

    Attributes:
        passed_on_s: Monotonic time up to which it was passed on or used.
    """

    passed_on_s: float


def take(source: Source, now: float) -> float:
    """Returns the seconds since the last call, which it may pass on once.

    >>> source = Source(10.0)
    >>> take(source, 10.5), take(source, 10.5), take(source, 99.0)
    (0.5, 0.0, 1.5)
    """
    elapsed_s = max(0.0, now - source.passed_on_s)
    source.passed_on_s = max(now, source.passed_on_s)
    return min(MAX_PASSED_ON_S, elapsed_s)


def give_back(source: Source, seconds: float) -> None:
    """Returns time that was taken for a message that was never sent."""
    source.passed_on_s -= seconds


def withhold(source: Source, until_s: float) -> None:
    """Gives up the time until a moment, which another process may count.

    >>> source = Source(10.0)
    >>> withhold(source, 11.0)
    >>> take(source, 10.8), take(source, 11.5)
    (0.0, 0.5)
    """
    source.passed_on_s = max(source.passed_on_s, until_s)


@dataclasses.dataclass(slots=True)
class Account:
    """What one scheduler has received of the shares of one kind.

    Attributes:
        time_s: Seconds for which the whole limit has accrued here.
        heard_s: Monotonic time at which each process last passed time on.
    """

    time_s: float = 0.0
    heard_s: dict[str, float] = dataclasses.field(default_factory=dict)


def credit(
    account: Account, process: str, passed_on_s: float, now: float, shares: int
) -> float:
    """Adds time that a process has passed on.

    Args:
        account: The account.
        process: The process.
        passed_on_s: Seconds of its share.
        now: Monotonic time in seconds.
        shares: Number of shares of the limit.

    Returns:
        The seconds of the whole limit that were added.
    """
    share_s = min(MAX_PASSED_ON_S, max(0.0, passed_on_s))
    accrued_s = share_s / max(1, shares)
    account.time_s += accrued_s
    if passed_on_s > 0.0:
        account.heard_s[process] = now
    return accrued_s


def burst_fraction(
    account: Account, processes: Iterable[str], now: float, burst_s: float
) -> float:
    """Returns the fraction of a burst that may be saved up here.

    The burst of a process that is no longer heard of moves to where its share
    accrues now.

    Args:
        account: The account.
        processes: The processes that have a share.
        now: Monotonic time in seconds.
        burst_s: Seconds in which the whole burst accrues.

    >>> account = Account(heard_s={"a": 10.0, "b": 9.0})
    >>> burst_fraction(account, ["a", "b", "c"], 10.0, 1.0)
    0.43333333333333335
    """
    fractions = [
        _share_fraction(now - account.heard_s.get(process, -math.inf), burst_s)
        for process in processes
    ]
    return sum(fractions) / max(1, len(fractions))


def _share_fraction(silent_s: float, burst_s: float) -> float:
    silent_s = max(0.0, silent_s - GRACE_S)
    if silent_s >= burst_s:
        return 0.0 if silent_s > 0.0 else 1.0
    return 1.0 - silent_s / burst_s
