"""A holder's own view of its lease, by its monotonic clock only."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease with the key-value service.

    Attributes:
        length_s: Seconds from a renewal until the service ends it.
        number: Its number with the service; 0 when there is none.
        until_s: Monotonic time until which the holder may act.
        since_s: Monotonic time at which the holder got it.
    """

    length_s: float
    number: int = 0
    until_s: float = float("-inf")
    since_s: float = float("inf")


def granted(lease: Lease, number: int, asked_s: float) -> None:
    """Notes a new lease that was asked for at `asked_s`.

    The service counts from when it took the call, which is not before the
    call was made, so the holder's own count ends first.
    """
    lease.number = number
    lease.since_s = asked_s
    lease.until_s = asked_s + lease.length_s


def renewed(lease: Lease, asked_s: float, *, alive: bool) -> None:
    """Notes the answer to a renewal that was sent at `asked_s`."""
    if alive:
        lease.until_s = max(lease.until_s, asked_s + lease.length_s)
    else:
        lost(lease)


def lost(lease: Lease) -> None:
    """Notes that the lease has ended."""
    lease.number = 0
    lease.until_s = float("-inf")
    lease.since_s = float("inf")


def holds(lease: Lease, now: float) -> bool:
    """Returns whether the holder may act.

    >>> held = Lease(5.0)
    >>> granted(held, 7, asked_s=10.0)
    >>> holds(held, 14.9), holds(held, 15.0)
    (True, False)
    """
    return now < lease.until_s
