"""State of a lease, as the process that holds it computes it.

All times are of the process's own monotonic clock, so that no clock of another
machine matters.
"""

import dataclasses


@dataclasses.dataclass(slots=True)
class Lease:
    """A lease with the key-value service.

    Attributes:
        duration_s: Seconds from a renewal until the service ends the lease.
        lease_id: The service's id of the lease; 0 when there is none.
        valid_until_s: Monotonic time until which the process may act as the
            holder; negative infinity without a lease.
        acquired_s: Monotonic time at which the lease was requested; infinity
            without a lease.
    """

    duration_s: float
    lease_id: int = 0
    valid_until_s: float = float("-inf")
    acquired_s: float = float("inf")


def record_grant(lease: Lease, lease_id: int, requested_s: float) -> None:
    """Records a new lease.

    The service counts the duration from the arrival of the request, which is
    never before `requested_s`. So the lease ends here before it ends there.

    Args:
        lease: The lease to update.
        lease_id: The service's id of the lease.
        requested_s: Monotonic time at which the request was sent.
    """
    lease.lease_id = lease_id
    lease.acquired_s = requested_s
    lease.valid_until_s = requested_s + lease.duration_s


def record_renewal(lease: Lease, requested_s: float, *, alive: bool) -> None:
    """Records the answer to a renewal.

    Args:
        lease: The lease to update.
        requested_s: Monotonic time at which the renewal was sent.
        alive: Whether the service renewed the lease; False means that it had
            ended.
    """
    if alive:
        lease.valid_until_s = max(
            lease.valid_until_s, requested_s + lease.duration_s
        )
    else:
        record_loss(lease)


def record_loss(lease: Lease) -> None:
    """Records that the lease has ended."""
    lease.lease_id = 0
    lease.valid_until_s = float("-inf")
    lease.acquired_s = float("inf")


def is_valid(lease: Lease, now: float) -> bool:
    """Returns whether the process still holds the lease.

    >>> lease = Lease(5.0)
    >>> record_grant(lease, 7, requested_s=10.0)
    >>> is_valid(lease, 14.9), is_valid(lease, 15.0)
    (True, False)
    """
    return now < lease.valid_until_s
