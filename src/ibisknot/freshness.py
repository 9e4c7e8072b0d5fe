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
MAX_AGE_UNITS = 250
OUTAGE_AFTER_S = 1.0
"""Age of the service's confirmation from which a watcher sees an outage."""
OUTAGE_AFTER_PER_LEVEL_S = 0.5
"""Age that a confirmation gains at each VM that passes it on."""
MAX_OUTAGE_AFTER_S = 2.0
"""Leaves time to gather evidence from peers before it is stale."""
MAX_FLEET_READS_PER_S = 12.0
"""Direct calls of the whole fleet while the service does not answer."""
_ENTRY = struct.Struct("!IB")


def vm_hash(name: str) -> int:
    """Returns the hash that stands for a VM in messages."""
    return xxhash.xxh32_intdigest(name.encode())


def has_recent_majority(
    now: float,
    last_report_s: dict[int, float],
    listed_vms: list[str],
    *,
    vm_name: str,
) -> bool:
    """Returns whether more than half of the listed VMs were heard of.

    >>> names = ["a", "b", "c"]
    >>> has_recent_majority(9.0, {vm_hash("b"): 8.0}, names, vm_name="a")
    True
    >>> has_recent_majority(99.0, {vm_hash("b"): 8.0}, names, vm_name="a")
    False
    """
    oldest = now - STALE_AFTER_S
    count = sum(
        name == vm_name
        or last_report_s.get(vm_hash(name), oldest - 1) >= oldest
        for name in listed_vms
    )
    return 2 * count > len(listed_vms)


def is_fresh(
    now: float,
    *,
    version: int,
    confirmed_s: float,
    last_report_s: dict[int, float],
    listed_vms: list[str],
    vm_name: str,
) -> bool:
    """Returns whether requests that need a key may be served.

    Args:
        now: Monotonic time.
        version: The version in force; 0 before the first.
        confirmed_s: Time of the newest confirmation by the service.
        last_report_s: Time of the last report from each VM, by hash.
        listed_vms: Names of the listed VMs.
        vm_name: This VM's name.
    """
    if now - confirmed_s <= STALE_AFTER_S:
        return True
    return version > 0 and has_recent_majority(
        now, last_report_s, listed_vms, vm_name=vm_name
    )


def encode_reports(now: float, last_report_s: dict[int, float]) -> bytes:
    """Encodes ages; times that no longer count are left out."""
    parts = []
    for name_hash, report_s in last_report_s.items():
        # Rounded up, so that evidence never looks younger than it is.
        units = int((now - report_s) / AGE_UNIT_S) + 1
        if units <= MAX_AGE_UNITS:
            parts.append(_ENTRY.pack(name_hash, max(0, units)))
    return b"".join(parts)


def merge_reports(
    last_report_s: dict[int, float], received: bytes, as_of_s: float
) -> None:
    """Takes over ages that were true at `as_of`, where they are newer.

    >>> reports = {1: 5.0}
    >>> merge_reports(reports, encode_reports(10.0, {1: 9.0, 2: 8.0}), 20.0)
    >>> [round(reports[n]) for n in (1, 2)]
    [19, 18]
    """
    for name_hash, units in _ENTRY.iter_unpack(received):
        report_s = as_of_s - units * AGE_UNIT_S
        if report_s > last_report_s.get(name_hash, float("-inf")):
            last_report_s[name_hash] = report_s


def outage_after_s(depth: int) -> float:
    """Returns the age of the service's confirmation that means an outage.

    Confirmations reach a VM later the more VMs they pass. With one limit for
    all, the deeper VMs of a large fleet kept asking the service themselves.

    >>> [outage_after_s(depth) for depth in range(4)]
    [1.0, 1.5, 2.0, 2.0]
    """
    age_s = OUTAGE_AFTER_S + depth * OUTAGE_AFTER_PER_LEVEL_S
    return min(MAX_OUTAGE_AFTER_S, age_s)


def read_pause_s(vm_count: int, *, is_answered: bool) -> float:
    """Returns the pause until a VM asks the service directly again.

    While the service does not answer, the pause grows with the fleet, so that
    the fleet's calls stay bounded.

    >>> [read_pause_s(420, is_answered=done) for done in (True, False)]
    [1.0, 35.0]
    """
    if is_answered:
        return OUTAGE_AFTER_S
    return max(OUTAGE_AFTER_S, vm_count / MAX_FLEET_READS_PER_S)
