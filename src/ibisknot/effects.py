"""What a change does to capacity, running work and limits."""

from typing import Any

import msgspec

from ibisknot import configuration

CAPACITY = "capacity"
RUNNING = "running work"
LIMITS = "limits"


class Load(msgspec.Struct):
    """The part of an engine's load report that plans use.

    Attributes:
        running: Requests that it works on.
        waiting: Requests in its queue.
        slots: Requests that it can work on at once.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 0


class Effect(msgspec.Struct):
    """One effect of a change.

    Attributes:
        kind: `capacity`, `running work` or `limits`.
        subject: What it concerns.
        before: The amount now, None when not known.
        after: The amount after the change.
        unit: What is counted.
    """

    kind: str
    subject: str
    before: Any
    after: Any
    unit: str


def _stops(
    endpoint: configuration.Endpoint, later: configuration.Endpoint
) -> bool:
    """Returns whether an endpoint stops serving all or a part."""
    leaves = later.state != configuration.ACTIVE
    return leaves or bool(set(endpoint.serves) - set(later.serves))


def disturbed(
    before: configuration.Configuration, after: configuration.Configuration
) -> list[str]:
    """Returns the endpoints that lose their work or reload a model."""
    found = []
    for name, endpoint in before.endpoints.items():
        later = after.endpoints.get(name)
        if endpoint.state != configuration.ACTIVE:
            continue
        if (
            later is None
            or _stops(endpoint, later)
            or any(
                before.models.get(model) != after.models.get(model)
                for model in endpoint.serves
            )
        ):
            found.append(name)
    return found


def _capacity(
    before: configuration.Configuration,
    after: configuration.Configuration,
    loads: dict[str, Load | None],
) -> list[Effect]:
    found = []
    for model in sorted(before.models.keys() | after.models.keys()):
        old, new = before.engines(model), after.engines(model)
        if old == new:
            continue
        found.append(Effect(CAPACITY, model, len(old), len(new), "engines"))
        lost = set(old) - set(new)
        reports = [loads.get(name) for name in lost]
        slots = sum(report.slots for report in reports if report is not None)
        if lost:
            found.append(Effect(CAPACITY, model, slots, 0, "slots removed"))
    return found


def _running(names: list[str], loads: dict[str, Load | None]) -> list[Effect]:
    found = []
    for name in names:
        report = loads.get(name)
        count = None if report is None else report.running + report.waiting
        found.append(Effect(RUNNING, name, count, 0, "requests in progress"))
    return found


def _total_rate(source: configuration.Configuration) -> float:
    return sum(o.rate_per_s for o in source.organisations.values())


def _limits(
    before: configuration.Configuration, after: configuration.Configuration
) -> list[Effect]:
    found = []
    names = before.organisations.keys() | after.organisations.keys()
    for name in sorted(names):
        old, new = before.organisations.get(name), after.organisations.get(name)
        for field, unit in (
            ("rate_per_s", "requests/s"),
            ("burst", "requests"),
        ):
            was = getattr(old, field, 0.0)
            will = getattr(new, field, 0.0)
            if was != will:
                found.append(Effect(LIMITS, name, was, will, unit))
    was = _total_rate(before)
    will = _total_rate(after)
    if was != will:
        subject = "all organisations"
        found.append(Effect(LIMITS, subject, was, will, "requests/s"))
    return found


def effects(
    before: configuration.Configuration,
    after: configuration.Configuration,
    loads: dict[str, Load | None],
) -> list[Effect]:
    """Returns the effects of a change.

    Args:
        before: The configuration now.
        after: The configuration that is planned.
        loads: Load of the disturbed engines, None when not known.
    """
    names = disturbed(before, after)
    return [
        *_capacity(before, after, loads),
        *_running(names, loads),
        *_limits(before, after),
    ]


def warnings(
    before: configuration.Configuration, after: configuration.Configuration
) -> list[str]:
    """Returns what the change takes away from callers."""
    found = []
    for model in before.models:
        if before.engines(model) and not after.engines(model):
            found.append(f"model {model} will have no active engine")
    for name, route in before.routes.items():
        later_route = after.routes.get(name)
        if later_route is None:
            found.append(f"route {name} stops working")
        elif later_route.open and not route.open:
            found.append(f"route {name} will need no key")
    for name, organisation in before.organisations.items():
        later = after.organisations.get(name)
        kept = later.keys if later is not None else {}
        for key_id in organisation.keys:
            if key_id not in kept:
                found.append(f"key {name}/{key_id} stops working")
        if later is not None and organisation.keys and not kept:
            found.append(f"organisation {name} will have no key")
    return found
