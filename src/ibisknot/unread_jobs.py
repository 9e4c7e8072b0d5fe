"""Items of jobs that a worker was told of but whose record it cannot read yet.

What is not retained is read from the store with the job.
"""

MAX_JOBS = 64
MAX_BYTES = 16 * 1024 * 1024
"""Size of the items of all retained jobs, as they are stored."""


def retain(
    unread: dict[str, list[bytes]], job_id: str, parts: list[bytes]
) -> None:
    """Adds the items of a job if they are within the limits.

    Args:
        unread: Items by job id; updated in place.
        job_id: Id of the job.
        parts: Its items as they are stored.
    """
    held_bytes = sum(_size_bytes(held) for held in unread.values())
    if len(unread) >= MAX_JOBS:
        return
    if held_bytes + _size_bytes(parts) <= MAX_BYTES:
        unread[job_id] = parts


def _size_bytes(parts: list[bytes]) -> int:
    return sum(len(part) for part in parts)
