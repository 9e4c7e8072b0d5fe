"""Regions in which a request may run, and through which its body may go."""

from ibisknot import fleetview
from ibisknot import serving

Allowed = frozenset[str] | None
"""Names of the allowed regions; None allows any."""


def serves(view: fleetview.View, data_centre: str, allowed: Allowed) -> bool:
    """Returns whether a data centre is in an allowed region.

    One whose region is not known is in none.

    >>> view = fleetview.View(regions={"d1": "north"})
    >>> [serves(view, "d1", a) for a in (None, {"north"}, {"south"}, set())]
    [True, True, False, False]
    >>> serves(view, "d2", frozenset({"north"})), serves(view, "d2", None)
    (False, True)
    """
    return allowed is None or view.regions.get(data_centre) in allowed


def of_job(
    configuration: serving.Configuration | None,
    route_name: str,
    organisation_name: str,
) -> Allowed:
    """Returns the regions that a batch job's body may go to."""
    if configuration is None:
        return None
    route = configuration.find_route_by_name(route_name)
    organisation = configuration.organisations.get(organisation_name)
    return serving.regions_of(route, organisation)
