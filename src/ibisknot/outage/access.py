"""Decides when the calls of one process that failed may be repeated."""

import dataclasses
import math

RETRY_PAUSE_S = 0.25
"""Time between two repeated calls while the service does not respond.

All waiting calls of a process share it: one of them is repeated each time.
"""


@dataclasses.dataclass(slots=True)
class Access:
    """Whether one process reaches the key-value service.

    Attributes:
        is_failing: Whether the last call failed.
        failed_s: Monotonic time of the last failure.
        next_retry_s: Monotonic time at which one call may be repeated.
    """

    is_failing: bool = False
    failed_s: float = -math.inf
    next_retry_s: float = -math.inf


def record_failure(access: Access, now: float) -> None:
    """Records that a call got no answer or was rejected."""
    if not access.is_failing:
        access.next_retry_s = now + RETRY_PAUSE_S
    access.is_failing = True
    access.failed_s = now


def record_success(access: Access) -> None:
    """Records that the service has answered a call."""
    access.is_failing = False


def retry_wait_s(access: Access, now: float, *, peers_read_s: float) -> float:
    """Returns the seconds to wait before a failed call may be repeated.

    A caller that gets 0 must repeat its call, as others then wait for it.

    Args:
        access: The state; changed if the caller may repeat its call.
        now: Monotonic time in seconds.
        peers_read_s: Monotonic time at which this process or a peer last had
            an answer of the service.

    >>> access = Access()
    >>> record_failure(access, 10.0)
    >>> times_s = (10.0, 10.25, 10.25)
    >>> [retry_wait_s(access, now, peers_read_s=9.0) for now in times_s]
    [0.25, 0.0, 0.25]
    >>> retry_wait_s(access, 10.3, peers_read_s=10.1)
    0.0
    """
    if not access.is_failing:
        return 0.0
    is_back = peers_read_s > access.failed_s
    if is_back or now >= access.next_retry_s:
        access.next_retry_s = now + RETRY_PAUSE_S
        return 0.0
    return access.next_retry_s - now
