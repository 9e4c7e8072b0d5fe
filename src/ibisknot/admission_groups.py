"""Admission groups: disjoint sets of a model's active endpoints.

One VM, the admitter, grants the tickets of a group. Its choice needs no
message: every VM computes it from the list of active VMs.
"""

from collections.abc import Iterable

from ibisknot import configuration
from ibisknot import ownership
from ibisknot import vmlist

OWNERSHIP_KIND = "admission"


def of_model(
    current: configuration.Configuration, model: str, *, size: int
) -> dict[str, list[str]]:
    """Returns the endpoint names of each admission group of a model.

    Args:
        current: The configuration in force.
        model: Name of the model.
        size: Largest number of endpoints in a group.

    >>> import msgspec
    >>> endpoint = {
    ...     "kind": "engine",
    ...     "url": "http://127.0.0.1:9",
    ...     "serves": ["m"],
    ...     "data_centre": "d",
    ... }
    >>> example = msgspec.convert(
    ...     {"endpoints": {name: endpoint for name in "abc"}},
    ...     configuration.Configuration,
    ... )
    >>> of_model(example, "m", size=2)
    {'m/0': ['a', 'b'], 'm/1': ['c']}
    """
    names = sorted(current.active_engines(model))
    return {
        f"{model}/{start // size}": names[start : start + size]
        for start in range(0, len(names), size)
    }


def active_endpoints(
    current: configuration.Configuration, group: str, *, size: int
) -> list[str]:
    """Returns the names of a group's active endpoints."""
    model, _, _ = group.rpartition("/")
    return of_model(current, model, size=size).get(group, [])


def choose_admitter(
    group: str,
    active_vms: Iterable[vmlist.ListedVm],
    *,
    excluded: Iterable[str],
) -> vmlist.ListedVm | None:
    """Returns the VM that is a group's admitter, or None without any VM.

    Args:
        group: Name of the group.
        active_vms: The VMs that are active in this process's view.
        excluded: Names of VMs that did not answer or are shutting down; they
            are chosen only if no other VM is active.
    """
    by_name = {vm.name: vm for vm in active_vms}
    candidates = sorted(by_name.keys() - set(excluded)) or sorted(by_name)
    if not candidates:
        return None
    chosen = ownership.preferred_owner(
        f"{OWNERSHIP_KIND}/{group}", 0, candidates
    )
    return None if chosen is None else by_name[chosen]
