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

    duration_s: float
    lease_id: int = 0
    valid_until_s: float = float("-inf")
    acquired_s: float = float("inf")


def record_grant(lease: Lease, lease_id: int, requested_s: float) -> None:
    """Notes a new lease that was asked for at `requested_s`.

    The service counts from when it took the call, which is not before the
    call was made, so the holder's own count ends first.
    """
    lease.lease_id = lease_id
    lease.acquired_s = requested_s
    lease.valid_until_s = requested_s + lease.duration_s


def record_renewal(lease: Lease, requested_s: float, *, alive: bool) -> None:
    """Notes the answer to a renewal that was sent at `requested_s`."""
    if alive:
        lease.valid_until_s = max(
            lease.valid_until_s, requested_s + lease.duration_s
        )
    else:
        record_loss(lease)


def record_loss(lease: Lease) -> None:
    """Notes that the lease has ended."""
    lease.lease_id = 0
    lease.valid_until_s = float("-inf")
    lease.acquired_s = float("inf")


def is_valid(lease: Lease, now: float) -> bool:
    """Returns whether the holder may act.

    >>> lease = Lease(5.0)
    >>> record_grant(lease, 7, requested_s=10.0)
    >>> is_valid(lease, 14.9), is_valid(lease, 15.0)
    (True, False)
    """
    return now < lease.valid_until_s
