"""Effects of a configuration change on capacity, running work and limits."""

from typing import Any

import msgspec

from ibisknot import configuration

CAPACITY = "capacity"
RUNNING = "running work"
LIMITS = "limits"


class Load(msgspec.Struct):
    """The part of an engine's load report that plans use.

    Attributes:
        running: Number of requests that it is processing.
        waiting: Number of requests in its queue.
        slots: Number of requests that it can process at once.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 0


class Effect(msgspec.Struct):
    """One effect of a change.

    Attributes:
        kind: `capacity`, `running work` or `limits`.
        subject: Name of the model, endpoint or organisation.
        before: The amount before the change, None if not known.
        after: The amount after the change.
        unit: Unit of the amounts.
    """

    kind: str
    subject: str
    before: Any
    after: Any
    unit: str


def _stops_serving(
    endpoint: configuration.Endpoint, later: configuration.Endpoint
) -> bool:
    """Returns whether an endpoint stops serving any model or its service."""
    is_draining = later.state != configuration.ACTIVE
    return is_draining or bool(set(endpoint.serves) - set(later.serves))


def affected_endpoints(
    before: configuration.Configuration, after: configuration.Configuration
) -> list[str]:
    """Returns the names of the active endpoints whose requests are interrupted.

    Such an endpoint is removed, drains, stops serving a model or loads another
    version or other adapters of one.
    """
    names = []
    for name, endpoint in before.endpoints.items():
        later = after.endpoints.get(name)
        if endpoint.state != configuration.ACTIVE:
            continue
        if (
            later is None
            or _stops_serving(endpoint, later)
            or any(
                before.models.get(model) != after.models.get(model)
                for model in endpoint.serves
            )
        ):
            names.append(name)
    return names


def _capacity_effects(
    before: configuration.Configuration,
    after: configuration.Configuration,
    loads: dict[str, Load | None],
) -> list[Effect]:
    effects = []
    for model in sorted(before.models.keys() | after.models.keys()):
        old, new = before.active_engines(model), after.active_engines(model)
        if old == new:
            continue
        effects.append(Effect(CAPACITY, model, len(old), len(new), "engines"))
        removed = set(old) - set(new)
        reports = [loads.get(name) for name in removed]
        slots = sum(report.slots for report in reports if report is not None)
        if removed:
            effects.append(Effect(CAPACITY, model, slots, 0, "slots removed"))
    return effects


def _running_work_effects(
    names: list[str], loads: dict[str, Load | None]
) -> list[Effect]:
    effects = []
    for name in names:
        report = loads.get(name)
        count = None if report is None else report.running + report.waiting
        effects.append(Effect(RUNNING, name, count, 0, "requests in progress"))
    return effects


def _total_rate(content: configuration.Configuration) -> float:
    return sum(o.rate_per_s for o in content.organisations.values())


def _limit_effects(
    before: configuration.Configuration, after: configuration.Configuration
) -> list[Effect]:
    effects = []
    names = before.organisations.keys() | after.organisations.keys()
    for name in sorted(names):
        old, new = before.organisations.get(name), after.organisations.get(name)
        for field, unit in (
            ("rate_per_s", "requests/s"),
            ("burst", "requests"),
        ):
            old_value = getattr(old, field, 0.0)
            new_value = getattr(new, field, 0.0)
            if old_value != new_value:
                effects.append(Effect(LIMITS, name, old_value, new_value, unit))
    old_value = _total_rate(before)
    new_value = _total_rate(after)
    if old_value != new_value:
        subject = "all organisations"
        effects.append(
            Effect(LIMITS, subject, old_value, new_value, "requests/s")
        )
    return effects


def list_effects(
    before: configuration.Configuration,
    after: configuration.Configuration,
    loads: dict[str, Load | None],
) -> list[Effect]:
    """Returns the effects of a change.

    Args:
        before: The current configuration.
        after: The planned configuration.
        loads: Load of the affected engines by name, None if not known.
    """
    names = affected_endpoints(before, after)
    return [
        *_capacity_effects(before, after, loads),
        *_running_work_effects(names, loads),
        *_limit_effects(before, after),
    ]


def list_warnings(
    before: configuration.Configuration, after: configuration.Configuration
) -> list[str]:
    """Returns a warning for each thing that callers lose by a change."""
    texts = []
    for model in before.models:
        if before.active_engines(model) and not after.active_engines(model):
            texts.append(f"model {model} will have no active engine")
    for name, route in before.routes.items():
        later_route = after.routes.get(name)
        if later_route is None:
            texts.append(f"route {name} stops working")
        elif later_route.open and not route.open:
            texts.append(f"route {name} will need no key")
    for name, organisation in before.organisations.items():
        later = after.organisations.get(name)
        later_keys = later.keys if later is not None else {}
        for key_id in organisation.keys:
            if key_id not in later_keys:
                texts.append(f"key {name}/{key_id} stops working")
        if later is not None and organisation.keys and not later_keys:
            texts.append(f"organisation {name} will have no key")
    return texts
