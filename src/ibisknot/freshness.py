"""Decides whether a VM may rely on its API keys being current.

Each VM records the time at which the key-value service last confirmed its
version, and the time of the last report from each listed VM. Deltas carry both
as ages, so no clocks are compared between VMs. A VM accepts these times only
if its version is at least the sender's. Hence a VM that has a report from
another VM as of some time also has the version that the other had then.
"""

import struct

import xxhash

STALE_AFTER_S = 2.5
"""Age above which evidence is not used, below the required 3 s (I6)."""
AGE_UNIT_S = 0.02
"""Unit of the ages in messages."""
MAX_AGE_UNITS = 250
"""Largest age in messages, 5 s; it must fit into one byte."""
OUTAGE_AFTER_S = 1.0
"""Age of the service's confirmation above which a watcher assumes an outage.

It is also the shortest pause between two direct reads.
"""
OUTAGE_AFTER_PER_LEVEL_S = 0.5
"""Age that a confirmation gains at each VM that forwards it."""
MAX_OUTAGE_AFTER_S = 2.0
"""Leaves time to collect evidence from peers before `STALE_AFTER_S`."""
MAX_FLEET_READS_PER_S = 12.0
"""Direct reads by the whole fleet while the service does not answer."""
_ENTRY = struct.Struct("!IB")
"""One report in a message: hash of the VM, and age in `AGE_UNIT_S`."""


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
    """Returns whether recent reports cover more than half of the listed VMs.

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
    """Returns whether requests that need an API key may be served.

    Args:
        now: Monotonic time.
        version: The version in force, 0 before the first.
        confirmed_s: Monotonic time of the last confirmation by the service.
        last_report_s: Monotonic time of the last report from each VM, by the
            hash of its name.
        listed_vms: Names of the listed VMs.
        vm_name: This VM's name.
    """
    if now - confirmed_s <= STALE_AFTER_S:
        return True
    return version > 0 and has_recent_majority(
        now, last_report_s, listed_vms, vm_name=vm_name
    )


def encode_reports(now: float, last_report_s: dict[int, float]) -> bytes:
    """Encodes the ages of reports, without those too old to encode."""
    parts = []
    for name_hash, report_s in last_report_s.items():
        # Rounded up, so that a report never appears more recent than it is.
        units = int((now - report_s) / AGE_UNIT_S) + 1
        if units <= MAX_AGE_UNITS:
            parts.append(_ENTRY.pack(name_hash, max(0, units)))
    return b"".join(parts)


def merge_reports(
    last_report_s: dict[int, float], received: bytes, as_of_s: float
) -> None:
    """Updates the times of reports from ages that were valid at `as_of_s`.

    A time is replaced only by a more recent one.

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

    A confirmation ages at each VM that forwards it. With one limit for all
    depths, the deeper VMs of a large fleet kept reading from the service
    directly.

    Args:
        depth: Number of VMs that a confirmation passes before this one.

    >>> [outage_after_s(depth) for depth in range(4)]
    [1.0, 1.5, 2.0, 2.0]
    """
    age_s = OUTAGE_AFTER_S + depth * OUTAGE_AFTER_PER_LEVEL_S
    return min(MAX_OUTAGE_AFTER_S, age_s)


def read_pause_s(vm_count: int, *, is_answered: bool) -> float:
    """Returns the pause in seconds until a VM's next direct read.

    While the service does not answer, the pause grows with the number of VMs,
    so that the calls of the whole fleet stay bounded.

    >>> [read_pause_s(420, is_answered=done) for done in (True, False)]
    [1.0, 35.0]
    """
    if is_answered:
        return OUTAGE_AFTER_S
    return max(OUTAGE_AFTER_S, vm_count / MAX_FLEET_READS_PER_S)
