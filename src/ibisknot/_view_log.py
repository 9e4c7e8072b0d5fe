"""Log lines of changes in a process's view of the fleet."""

from ibisknot import fleet_endpoint
from ibisknot import logs


def endpoint_changes(
    before: dict[str, fleet_endpoint.Endpoint],
    after: dict[str, fleet_endpoint.Endpoint],
    revision: int,
    age_s: float,
) -> None:
    """Logs each endpoint that was added, changed or removed.

    The log event `endpoint_leaving` means that the endpoint is draining.
    """
    for name in sorted(before.keys() | after.keys()):
        old, new = before.get(name), after.get(name)
        if old == new:
            continue
        state = "gone"
        if new is not None:
            state = "leaving" if new.leaving else "active"
        shown = new or old
        assert shown is not None
        logs.event(
            "endpoint_" + state,
            endpoint=name,
            software=shown.software_version,
            revision=revision,
            age_s=round(age_s, 3),
        )
