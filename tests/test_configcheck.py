"""Tests the check of a configuration before it is sent."""

import json
import pathlib
from typing import Any

import platform_fleet
import pytest

from ibisknot import ctl
from ibisknot.platform import configuration_check


def _text(**changed: Any) -> str:
    value = platform_fleet.configuration(**changed)
    return json.dumps(value, indent=1)


def _routes(**changed: Any) -> list[dict[str, Any]]:
    """Returns the routes with fields of the first one replaced."""
    first, second = platform_fleet.configuration()["Routes"]
    return [{**first, **changed}, second]


def _codes(text: str) -> set[tuple[str, str]]:
    return {(f.code, f.field) for f in configuration_check.check(text).findings}


def test_sound_configuration_has_no_findings() -> None:
    """Guards against a check that nobody can pass."""
    assert configuration_check.check(_text()).findings == []


@pytest.mark.parametrize(
    ("changed", "code", "field"),
    [
        ({"Prefix": "chat"}, "prefix_malformed", "Routes[0].Prefix"),
        ({"Name": "batch"}, "name_repeated", "Routes[1].Name"),
        ({"Service": "none"}, "service_unknown", "Routes[0].TrafficSplit"),
        ({"Service": None}, "no_target", "Routes[0].TrafficSplit"),
        ({"Kind": "odd"}, "kind_unknown", "Routes[0].Kind"),
        ({"TimeoutMs": 0}, "timeout_zero", "Routes[0].TimeoutMs"),
        (
            {"TargetLatencyMs": 5000},
            "objective_over_timeout",
            "Routes[0].TargetLatencyMs",
        ),
        ({"GapAimMs": 9000}, "gap_over_timeout", "Routes[0].GapAimMs"),
        ({"MaxCount": 5}, "never_binds", "Routes[0].MaxCount"),
        ({"MaxCount": -5}, "limit_negative", "Routes[0].MaxCount"),
    ],
)
def test_fault_of_a_route_is_found_at_its_field(
    changed: dict[str, Any], code: str, field: str
) -> None:
    """Guards against a route that is accepted and never serves."""
    assert (code, field) in _codes(_text(Routes=_routes(**changed)))


def test_route_behind_an_equal_one_never_matches() -> None:
    """Guards against requests that an earlier route takes."""
    routes = _routes()
    routes.append({**routes[0], "Name": "again"})
    found = _codes(_text(Routes=routes))
    assert ("never_matches", "Routes[2].Prefix") in found


def test_items_that_are_given_up_before_they_are_due_are_found() -> None:
    """Guards against batch jobs that cannot be on time."""
    first, second = _routes()
    text = _text(Routes=[first, {**second, "MaxWaitS": 5}])
    assert _codes(text) == {("given_up_before_due", "Routes[1].MaxWaitS")}


@pytest.mark.parametrize(
    ("tenant", "code", "field"),
    [
        ({"ApiKeys": [platform_fleet.KEY]}, "key_repeated", "ApiKeys"),
        ({}, "never_matches", "ApiKeys"),
        ({"ApiKeys": ["k"], "Burst": 5}, "never_binds", "Burst"),
        ({"ApiKeys": ["k"], "RatePerS": -1}, "limit_negative", "RatePerS"),
    ],
)
def test_fault_of_an_organisation_is_found(
    tenant: dict[str, Any], code: str, field: str
) -> None:
    """Guards against keys and rates that have no effect."""
    tenants = platform_fleet.configuration()["Tenants"]
    text = _text(Tenants=[*tenants, {"Name": "three", **tenant}])
    path = "Tenants[2]" + (f".{field}")
    assert _codes(text) == {(code, path)}


def test_malformed_value_is_found_at_its_line() -> None:
    """Guards against an error without a place."""
    text = _text(Routes=_routes(TimeoutMs="soon"))
    (found,) = configuration_check.check(text).findings
    assert (found.code, found.field) == ("malformed", "Routes[0].TimeoutMs")
    assert '"TimeoutMs": "soon"' in text.splitlines()[found.line - 1]


def test_text_that_is_no_json_is_found() -> None:
    """Guards against a check that ends with a traceback."""
    (found,) = configuration_check.check('{\n"Version": 1,,}').findings
    assert (found.code, found.line) == ("not_json", 2)


def test_command_tells_changes_without_keys(
    tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against keys in a terminal, and against a wrong exit status."""
    new, old = tmp_path / "new.json", tmp_path / "old.json"
    tenants = platform_fleet.configuration()["Tenants"]
    tenants[0]["ApiKeys"] = ["k-secret"]
    new.write_text(_text(version=2, Tenants=tenants))
    old.write_text(_text())
    arguments = ["--json", "config", "check", str(new), "--against", str(old)]
    assert ctl.run(arguments) == 0
    output = capsys.readouterr().out
    paths = [path for path, _, _ in json.loads(output)["changes"]]
    assert paths == ["Version", "Tenants.one.ApiKeys"]
    assert "k-secret" not in output
    new.write_text(_text(Routes=_routes(Service="none")))
    assert ctl.run(["config", "check", str(new)]) == 1
    assert ctl.run(["config", "check", str(tmp_path / "missing")]) == 2
