"""Decides how often a process tries whether the key-value service is back."""

FIRST_PROCESSES = 4
"""Processes in the order of readers that try often; they inform the others."""
LATE_PAUSE_S = 3.0
"""Pause of the others, which may have lost all peers."""


def pause_s(position: int, first_pause_s: float) -> float:
    """Returns the seconds until a process repeats a read that has failed.

    Args:
        position: Position of the process in the order of readers.
        first_pause_s: Pause of the first processes in that order.

    >>> [pause_s(position, 0.5) for position in (0, 3, 4, 90)]
    [0.5, 0.5, 3.0, 3.0]
    """
    if position < FIRST_PROCESSES:
        return first_pause_s
    return max(first_pause_s, LATE_PAUSE_S)
