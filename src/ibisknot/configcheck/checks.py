"""Finds the entries of a configuration that are wrong or have no effect.

The functions use the same decisions as the gateways: which route a path
selects, and which organisation holds a key.
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses

from ibisknot import serving
from ibisknot.configcheck import findings

PROBE_SUFFIX = "x"
"""Follows a prefix in the path that shows which route the prefix selects."""


@dataclasses.dataclass(slots=True, frozen=True)
class KeyHolder:
    """An organisation as the document states it.

    Attributes:
        name: Name of the organisation.
        keys: Its API keys.
    """

    name: str
    keys: Sequence[str]


def check(
    configuration: serving.Configuration,
    holders: Sequence[KeyHolder],
    services: Sequence[str],
) -> list[findings.Finding]:
    """Returns all findings, section by section.

    Args:
        configuration: The decoded configuration.
        holders: The organisations in the order of the document.
        services: Names of the services in the order of the document.
    """
    return [
        *_check_routes(configuration),
        *_check_targets(configuration),
        *_check_times(configuration.routes),
        *_check_organisations(configuration, holders),
        *_check_waiting_tokens(configuration.routes),
        *_check_services(configuration, services),
    ]


def _check_routes(
    configuration: serving.Configuration,
) -> Iterable[findings.Finding]:
    """Yields routes that no path selects, and repeated names."""
    names: set[str] = set()
    for index, route in enumerate(configuration.routes):
        if route.name in names:
            yield _route_error(
                index, "name_repeated", "name", f"{route.name} is repeated"
            )
        names.add(route.name)
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            yield _route_error(
                index,
                "prefix_malformed",
                "prefix",
                f"{route.prefix!r} does not begin and end with a slash",
            )
            continue
        selected = configuration.find_route(
            route.host, route.prefix + PROBE_SUFFIX
        )
        if selected is not route:
            other = "none" if selected is None else selected.name
            yield _route_error(
                index,
                "never_matches",
                "prefix",
                f"{route.host}{route.prefix} is served by route {other}",
            )
        elif (
            route.kind == serving.BATCH
            and configuration.find_batch_route(route.host) is not route
        ):
            yield _route_error(
                index,
                "never_matches",
                "host",
                f"{route.host} has an earlier route for batch jobs",
            )


def _check_targets(
    configuration: serving.Configuration,
) -> Iterable[findings.Finding]:
    """Yields targets that get no requests."""
    for index, route in enumerate(configuration.routes):
        if not route.targets:
            yield _route_error(
                index, "no_target", "targets", f"{route.name} has no service"
            )
        for target in route.targets:
            if target.service not in configuration.services:
                yield _route_error(
                    index,
                    "service_unknown",
                    "targets",
                    f"service {target.service} is not stated",
                )
            elif target.weight <= 0.0 and len(route.targets) > 1:
                yield _route_warning(
                    index,
                    "never_matches",
                    "targets",
                    f"service {target.service} has no weight",
                )


def _check_times(
    routes: Sequence[serving.Route],
) -> Iterable[findings.Finding]:
    """Yields times of a route that contradict each other."""
    for index, route in enumerate(routes):
        if route.timeout_s <= 0.0:
            yield _route_error(
                index, "timeout_zero", "timeout_s", "no request is in time"
            )
        elif route.objective_s >= route.timeout_s:
            yield _route_warning(
                index,
                "objective_over_timeout",
                "objective_s",
                f"{route.objective_s:g} s is not below the time-out of"
                f" {route.timeout_s:g} s",
            )
        if route.event_gap_target_s >= route.timeout_s > 0.0:
            yield _route_warning(
                index,
                "gap_over_timeout",
                "event_gap_target_s",
                "a pause that is still on time ends the request",
            )
        if 0.0 < route.max_item_age_s < route.completion_target_s:
            yield _route_error(
                index,
                "given_up_before_due",
                "max_item_age_s",
                f"items are given up after {route.max_item_age_s:g} s and due"
                f" after {route.completion_target_s:g} s",
            )


def _check_organisations(
    configuration: serving.Configuration, holders: Sequence[KeyHolder]
) -> Iterable[findings.Finding]:
    """Yields keys and rates of organisations that have no effect."""
    first_holders: dict[str, str] = {}
    for index, holder in enumerate(holders):
        if not holder.keys:
            yield findings.Finding(
                findings.WARNING,
                "never_matches",
                "organisations",
                index,
                "keys",
                f"{holder.name} has no key",
            )
        for key in holder.keys:
            first = first_holders.setdefault(key, holder.name)
            if first != holder.name:
                used = configuration.find_organisation(key)
                yield findings.Finding(
                    findings.ERROR,
                    "key_repeated",
                    "organisations",
                    index,
                    "keys",
                    f"{first} and {holder.name} hold one key; {used} is taken",
                )
        organisation = configuration.organisations.get(holder.name)
        if organisation is not None:
            yield from _check_rate(index, organisation)


def _check_rate(
    index: int, organisation: serving.Organisation
) -> Iterable[findings.Finding]:
    """Yields a rate or a burst that never binds or never grants."""
    rate, burst = organisation.rate_per_s, organisation.burst
    if rate < 0.0 or burst < 0.0:
        code, field = "limit_negative", "rate_per_s"
        message = f"a rate of {rate:g} and a burst of {burst:g} are no limit"
    elif rate == 0.0 and burst > 0.0:
        code, field = "never_binds", "burst"
        message = "a burst without a rate has no effect"
    elif 0.0 < burst < 1.0:
        code, field = "never_binds", "burst"
        message = f"a burst of {burst:g} counts as 1"
    else:
        return
    yield findings.Finding(
        findings.WARNING, code, "organisations", index, field, message
    )


def _check_waiting_tokens(
    routes: Sequence[serving.Route],
) -> Iterable[findings.Finding]:
    """Yields limits on waiting tokens that no job fits or that never bind."""
    for index, route in enumerate(routes):
        if route.max_waiting_tokens < 0:
            yield _route_error(
                index,
                "limit_negative",
                "max_waiting_tokens",
                "no batch job fits",
            )
        elif route.max_waiting_tokens and route.kind != serving.BATCH:
            yield _route_warning(
                index,
                "never_binds",
                "max_waiting_tokens",
                f"{route.name} takes no batch jobs",
            )


def _check_services(
    configuration: serving.Configuration, services: Sequence[str]
) -> Iterable[findings.Finding]:
    """Yields services that no route uses."""
    used = {t.service for r in configuration.routes for t in r.targets}
    for index, name in enumerate(services):
        if name not in used:
            yield findings.Finding(
                findings.WARNING,
                "never_matches",
                "services",
                index,
                "",
                f"no route leads to {name}",
            )


def _route_error(
    index: int, code: str, field: str, message: str
) -> findings.Finding:
    return findings.Finding(
        findings.ERROR, code, "routes", index, field, message
    )


def _route_warning(
    index: int, code: str, field: str, message: str
) -> findings.Finding:
    return findings.Finding(
        findings.WARNING, code, "routes", index, field, message
    )
