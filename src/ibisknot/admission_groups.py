"""Admission groups: endpoints of a model, each group admitted by one VM."""

from collections.abc import Iterable

from ibisknot import configuration
from ibisknot import ownership
from ibisknot import vmlist

OWNERSHIP_KIND = "admission"


def of_model(
    current: configuration.Configuration, model: str, *, size: int
) -> dict[str, list[str]]:
    """Returns the groups of a model's active endpoints by group name.

    Args:
        current: The configuration in force.
        model: The model's name.
        size: Largest number of endpoints in a group.

    >>> import msgspec
    >>> endpoint = {
    ...     "kind": "engine",
    ...     "url": "http://127.0.0.1:9",
    ...     "serves": ["m"],
    ...     "data_centre": "d",
    ... }
    >>> made = msgspec.convert(
    ...     {"endpoints": {name: endpoint for name in "abc"}},
    ...     configuration.Configuration,
    ... )
    >>> of_model(made, "m", size=2)
    {'m/0': ['a', 'b'], 'm/1': ['c']}
    """
    names = sorted(current.engines(model))
    return {
        f"{model}/{start // size}": names[start : start + size]
        for start in range(0, len(names), size)
    }


def active_endpoints(
    current: configuration.Configuration, group: str, *, size: int
) -> list[str]:
    """Returns the active endpoints of one group."""
    model, _, _ = group.rpartition("/")
    return of_model(current, model, size=size).get(group, [])


def choose_admitter(
    group: str, active: Iterable[vmlist.ListedVm], *, excluded: Iterable[str]
) -> vmlist.ListedVm | None:
    """Returns the VM that admits for a group.

    Args:
        group: The group's name.
        active: The VMs that are thought to be live.
        excluded: Names of VMs that did not answer or are shutting down.
    """
    by_name = {vm.name: vm for vm in active}
    candidates = sorted(by_name.keys() - set(excluded)) or sorted(by_name)
    if not candidates:
        return None
    chosen = ownership.preferred_owner(
        f"{OWNERSHIP_KIND}/{group}", 0, candidates
    )
    return None if chosen is None else by_name[chosen]
