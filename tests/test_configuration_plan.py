"""Intents, plans and their effects."""

import msgspec
import pytest

from ibisknot import configuration
from ibisknot import configuration_plan
from ibisknot import effects
from ibisknot import errors
from ibisknot import intents


def current() -> configuration.Configuration:
    organisation = configuration.Organisation(
        rate_per_s=10.0,
        burst=5.0,
        keys={
            "first": configuration.Key("d1"),
            "second": configuration.Key("d2"),
        },
    )
    engine = configuration.Endpoint(
        "engine", "http://127.0.0.1:1", ["small"], "x"
    )
    return configuration.Configuration(
        version=4,
        organisations={"a": organisation},
        models={"small": configuration.Model()},
        endpoints={"e1": engine, "e2": msgspec.structs.replace(engine)},
    )


def test_effects_cover_capacity_running_work_and_limits() -> None:
    """Guards against plans that omit what a change removes."""
    wanted = intents.apply_intent(
        current(),
        intents.Intent(
            organisations={"a": {"rate_per_s": 4, "keys": {"first": None}}},
            endpoints={"e1": {"state": "leaving"}},
        ),
    )
    loads: dict[str, effects.Load | None] = {"e1": effects.Load(3, 2, 32)}
    found = [
        (e.kind, e.subject, e.before, e.after)
        for e in effects.list_effects(current(), wanted, loads)
    ]
    assert (effects.CAPACITY, "small", 2, 1) in found
    assert (effects.CAPACITY, "small", 32, 0) in found
    assert (effects.RUNNING, "e1", 5, 0) in found
    assert (effects.LIMITS, "a", 10.0, 4.0) in found
    assert "key a/first stops working" in effects.list_warnings(
        current(), wanted
    )


def test_unknown_load_is_not_shown_as_idle() -> None:
    """Guards against a plan that shows an unreachable engine as idle."""
    wanted = intents.apply_intent(
        current(), intents.Intent(endpoints={"e1": None})
    )
    found = effects.list_effects(current(), wanted, {"e1": None})
    running = [e for e in found if e.kind == effects.RUNNING]
    assert [e.before for e in running] == [None]


def test_revert_keeps_withdrawn_keys_withdrawn() -> None:
    """Guards against a withdrawn key that a revert makes valid again."""
    old = current()
    middle = intents.apply_intent(
        old,
        intents.Intent(
            organisations={"a": {"rate_per_s": 99, "keys": {"first": None}}}
        ),
    )
    plan, wanted = configuration_plan.make_plan(
        middle, intents.Intent(revert_to=4), author="x", revert_target=old
    )
    assert wanted.version == 6
    assert wanted.organisations["a"].rate_per_s == 10.0
    assert list(wanted.organisations["a"].keys) == ["second"]
    assert [c.path for c in plan.changes] == ["organisations/a/rate_per_s"]


def test_moved_key_is_not_restored_to_its_old_owner() -> None:
    """Guards against one digest with two owners after a revert."""
    old = current()
    owner = configuration.Organisation(
        1.0, 1.0, {"first": configuration.Key("d1")}
    )
    now = configuration.Configuration(5, {"b": owner})
    reverted = intents.revert(now, old)
    assert reverted.organisations["a"].keys == {}


def test_revert_with_other_fields_is_refused() -> None:
    """Guards against a revert whose other fields are ignored."""
    mixed = intents.Intent(models={"new": {}}, revert_to=4)
    with pytest.raises(errors.BadRequestError):
        intents.apply_intent(current(), mixed, revert_target=current())


@pytest.mark.parametrize(
    "stated",
    [
        {"organisations": {"a": {"rate_per_s": -1}}},
        {"organisations": {"new": {"burst": 1}}},
        {"organisations": {"a b": {"rate_per_s": 1, "burst": 1}}},
        {"endpoints": {"e1": {"serves": ["unknown"]}}},
        {"endpoints": {"e1": {"kind": "other"}}},
    ],
)
def test_invalid_intents_are_refused(stated: dict[str, object]) -> None:
    """Guards against configurations that VMs cannot apply."""
    with pytest.raises(errors.BadRequestError):
        intents.apply_intent(current(), msgspec.convert(stated, intents.Intent))


def test_plan_id_contains_its_version() -> None:
    """Guards against an outcome that is unreadable after the plan expired."""
    plan, _ = configuration_plan.make_plan(
        current(), intents.Intent(), author="x"
    )
    assert configuration_plan.parse_version(plan.id) == 5
    with pytest.raises(errors.NotFoundError):
        configuration_plan.parse_version("plan-x-1")
