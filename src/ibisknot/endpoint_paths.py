"""Which direct paths from this process to endpoints are lost.

A path is lost if another process reaches the endpoint and this one does not.
A process that has lost several paths is cut off: it does not try the others
one by one. Lost paths are probed, and used again as soon as one works.
"""

import dataclasses

CUT_OFF_PATHS = 2
"""Lost paths from which on a process counts as cut off from all endpoints."""
LOST_S = 10.0
"""Time after which a loss that was not seen again is forgotten."""
PROBE_PERIOD_S = 1.0


@dataclasses.dataclass(slots=True)
class Paths:
    """State of the direct paths of one process.

    Attributes:
        lost_s: Monotonic time at which each lost path was last seen lost, by
            the endpoint's address.
        connected_s: Monotonic time at which a connection was last opened
            directly, to any endpoint.
        received_s: Monotonic time at which data was last received directly,
            from any endpoint.
        next_probe_s: Monotonic time from which on a lost path is probed.
    """

    lost_s: dict[str, float] = dataclasses.field(default_factory=dict)
    connected_s: float = -1e9
    received_s: float = -1e9
    next_probe_s: float = -1e9


def is_cut_off(paths: Paths) -> bool:
    """Returns whether this process reaches no endpoint directly.

    >>> is_cut_off(Paths(lost_s={"a:1": 0.0, "b:1": 0.0}))
    True
    """
    return len(paths.lost_s) >= CUT_OFF_PATHS


def is_lost(paths: Paths, address: str) -> bool:
    """Returns whether connections to an endpoint need a tunnel."""
    return address in paths.lost_s or is_cut_off(paths)


def record_lost(paths: Paths, address: str, now: float) -> bool:
    """Records that another process reaches an endpoint and this one does not.

    Returns:
        Whether the path was not known as lost.
    """
    for other, lost_s in list(paths.lost_s.items()):
        if now - lost_s > LOST_S:
            del paths.lost_s[other]
    is_new = address not in paths.lost_s
    paths.lost_s[address] = now
    if is_new:
        paths.next_probe_s = now + PROBE_PERIOD_S
    return is_new


def record_connected(paths: Paths, address: str, now: float) -> bool:
    """Records a direct connection; it ends a cut from all endpoints.

    Returns:
        Whether a lost path was regained.
    """
    paths.connected_s = now
    if is_cut_off(paths):
        paths.lost_s.clear()
        return True
    return paths.lost_s.pop(address, None) is not None


def takes_probe(paths: Paths, now: float) -> bool:
    """Returns whether a lost path is to be probed now, once a period."""
    if now < paths.next_probe_s:
        return False
    paths.next_probe_s = now + PROBE_PERIOD_S
    return True
