"""Whether a VM may rely on its keys being current.

Each VM keeps the time at which the key-value service last confirmed its
version, and the time at which each listed VM was last heard of. Both travel
with digests and deltas as ages, so no clock is compared between VMs. A time
is taken over only by a VM whose version is at least the sender's. Hence a VM
that has heard of another as of some time also has the version that the other
had at that time.
"""

import struct

import xxhash

STALE_AFTER_S = 2.5
"""Age from which evidence no longer counts; below the bar of 3 s for I6."""
AGE_UNIT_S = 0.02
MAXIMUM_AGE_UNITS = 250
DIRECT_AFTER_S = 1.0
"""Age of the service's confirmation from which a watcher sees an outage."""
LEVEL_S = 0.5
"""Age that a confirmation gains at each VM that passes it on."""
LONGEST_DIRECT_AFTER_S = 2.0
"""Leaves time to gather evidence from peers before it is stale."""
DIRECT_CALLS_PER_S = 12.0
"""Direct calls of the whole fleet while the service does not answer."""
_ENTRY = struct.Struct("!IB")


def vm_hash(name: str) -> int:
    """Returns the hash that stands for a VM in messages."""
    return xxhash.xxh32_intdigest(name.encode())


def reached_majority(
    now: float, heard: dict[int, float], listed: list[str], *, me: str
) -> bool:
    """Returns whether more than half of the listed VMs were heard of.

    >>> names = ["a", "b", "c"]
    >>> reached_majority(9.0, {vm_hash("b"): 8.0}, names, me="a")
    True
    >>> reached_majority(99.0, {vm_hash("b"): 8.0}, names, me="a")
    False
    """
    oldest = now - STALE_AFTER_S
    count = sum(
        name == me or heard.get(vm_hash(name), oldest - 1) >= oldest
        for name in listed
    )
    return 2 * count > len(listed)


def is_current(
    now: float,
    *,
    version: int,
    service_s: float,
    heard: dict[int, float],
    listed: list[str],
    me: str,
) -> bool:
    """Returns whether requests that need a key may be served.

    Args:
        now: Monotonic time.
        version: The version in force; 0 before the first.
        service_s: Time of the newest confirmation by the service.
        heard: Time at which each VM was last heard of, by hash.
        listed: Names of the listed VMs.
        me: This VM's name.
    """
    if now - service_s <= STALE_AFTER_S:
        return True
    return version > 0 and reached_majority(now, heard, listed, me=me)


def encode_heard(now: float, heard: dict[int, float]) -> bytes:
    """Encodes ages; times that no longer count are left out."""
    parts = []
    for number, at_s in heard.items():
        # Rounded up, so that evidence never looks younger than it is.
        units = int((now - at_s) / AGE_UNIT_S) + 1
        if units <= MAXIMUM_AGE_UNITS:
            parts.append(_ENTRY.pack(number, max(0, units)))
    return b"".join(parts)


def merge_heard(heard: dict[int, float], received: bytes, as_of: float) -> None:
    """Takes over ages that were true at `as_of`, where they are newer.

    >>> heard = {1: 5.0}
    >>> merge_heard(heard, encode_heard(10.0, {1: 9.0, 2: 8.0}), 20.0)
    >>> [round(heard[n]) for n in (1, 2)]
    [19, 18]
    """
    for number, units in _ENTRY.iter_unpack(received):
        at_s = as_of - units * AGE_UNIT_S
        if at_s > heard.get(number, float("-inf")):
            heard[number] = at_s


def direct_after_s(depth: int) -> float:
    """Returns the age of the service's confirmation that means an outage.

    Confirmations reach a VM later the more VMs they pass. With one limit for
    all, the deeper VMs of a large fleet kept asking the service themselves.

    >>> [direct_after_s(depth) for depth in range(4)]
    [1.0, 1.5, 2.0, 2.0]
    """
    age_s = DIRECT_AFTER_S + depth * LEVEL_S
    return min(LONGEST_DIRECT_AFTER_S, age_s)


def direct_wait_s(vm_count: int, *, answered: bool) -> float:
    """Returns the pause until a VM asks the service directly again.

    While the service does not answer, the pause grows with the fleet, so that
    the fleet's calls stay bounded.

    >>> direct_wait_s(420, answered=True), direct_wait_s(420, answered=False)
    (1.0, 35.0)
    """
    if answered:
        return DIRECT_AFTER_S
    return max(DIRECT_AFTER_S, vm_count / DIRECT_CALLS_PER_S)
