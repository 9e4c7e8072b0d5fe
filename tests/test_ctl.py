"""Tests `ibisknotctl` against a fleet of real processes."""

import contextlib
import io
import json
import pathlib
import subprocess
import sys
import time
from typing import Any

import httpx

from ibisknot import ctl

PROGRAM = pathlib.Path(sys.executable).parent / "ibisknotctl"


def run(fleet: dict[str, Any], *arguments: str, vm: int = 0) -> Any:
    """Runs a command; returns its exit status, JSON response and stderr."""
    url = fleet["base_urls"][vm].removesuffix("/v1")
    common = ["--url", url, "--key", fleet["operator_key"], "--json"]
    output, error_output = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(output):
        with contextlib.redirect_stderr(error_output):
            status = ctl.run([*common, *arguments])
    text = output.getvalue().strip()
    response = json.loads(text) if text else None
    return status, response, error_output.getvalue()


def plan_and_confirm(fleet: dict[str, Any], *arguments: str) -> dict[str, Any]:
    """Plans and confirms a change; returns the plan and the confirmation."""
    status, plan, error_text = run(fleet, *arguments)
    assert status == 0, error_text
    status, response, error_text = run(fleet, "confirm", plan["id"], "--wait")
    assert status == 0, error_text
    assert response["in_force"]
    assert response["missing"] == []
    return {**plan, **response}


def status_with_key(fleet: dict[str, Any], key: str, vm: int) -> int:
    """Returns the HTTP status of a request with a key to a VM."""
    return httpx.get(
        f"{fleet['base_urls'][vm]}/models",
        headers={"authorization": f"Bearer {key}"},
    ).status_code


def test_keys_are_created_shown_once_and_withdrawn(
    fleet: dict[str, Any],
) -> None:
    """Guards against keys that are stored, or that work after withdrawal."""
    plan_and_confirm(fleet, "organisation", "ctl-keys", "--rate", "5")
    first = plan_and_confirm(fleet, "key", "ctl-keys", "first")
    second = plan_and_confirm(fleet, "key", "ctl-keys", "second")
    vms = range(len(fleet["base_urls"]))
    for plan in (first, second):
        assert {status_with_key(fleet, plan["key"], vm) for vm in vms} == {200}
    plan_and_confirm(fleet, "withdraw", "ctl-keys", "first")
    assert {status_with_key(fleet, first["key"], vm) for vm in vms} == {401}
    assert {status_with_key(fleet, second["key"], vm) for vm in vms} == {200}
    _, shown, _ = run(fleet, "show")
    _, history, _ = run(fleet, "history")
    for secret in (first["key"], second["key"]):
        assert secret not in json.dumps([shown, history])
    reverted = plan_and_confirm(
        fleet, "plan", "--revert", str(second["version"])
    )
    assert reverted["version"] > second["version"]
    assert {status_with_key(fleet, first["key"], vm) for vm in vms} == {401}


def test_conflict_names_the_difference(fleet: dict[str, Any]) -> None:
    """Guards against a plan that overwrites a change made after it."""
    plan_and_confirm(fleet, "organisation", "ctl-race", "--rate", "5")
    _, first, _ = run(fleet, "rate", "ctl-race", "6", vm=1)
    _, second, _ = run(fleet, "rate", "ctl-race", "7", vm=2)
    status, _, _ = run(fleet, "confirm", first["id"], vm=1)
    assert status == 0
    status, response, error_text = run(fleet, "confirm", second["id"], vm=2)
    assert status == 3
    assert "plan again" in error_text
    assert response["error"]["ran"] == "not_run"
    assert response["error"]["difference"] == [
        {
            "path": "organisations/ctl-race/rate_per_s",
            "before": 5.0,
            "after": 6.0,
        }
    ]


def test_second_confirm_has_the_same_response(fleet: dict[str, Any]) -> None:
    """Guards against a repeated confirm that fails or changes twice."""
    _, plan, _ = run(fleet, "organisation", "ctl-twice", "--rate", "5")
    responses = [
        run(fleet, "confirm", plan["id"], vm=vm)[:2] for vm in range(3)
    ]
    assert responses[0][0] == 0
    assert responses[0] == responses[1] == responses[2]
    _, operation, _ = run(fleet, "operation", plan["id"])
    assert operation["state"] == "done"


def test_history_show_and_explain(fleet: dict[str, Any]) -> None:
    """Guards against changes without an author or a readable history."""
    first = plan_and_confirm(fleet, "organisation", "ctl-past", "--rate", "5")
    second = plan_and_confirm(fleet, "rate", "ctl-past", "9", "--burst", "3")
    _, history, _ = run(fleet, "history", "--limit", "2")
    assert [c["version"] for c in history] == [
        second["version"],
        first["version"],
    ]
    assert {c["author"] for c in history} == {"bench"}
    _, old_configuration, _ = run(fleet, "show", str(first["version"]))
    assert old_configuration["organisations"]["ctl-past"]["rate_per_s"] == 5.0
    _, explanation, _ = run(fleet, "explain", second["id"], vm=4)
    assert "plan_confirmed" in {e["event"] for e in explanation["events"]}
    assert explanation["no_answer"] == []


def test_errors_say_what_to_do(fleet: dict[str, Any]) -> None:
    """Guards against errors without an exit status or advice."""
    status, _, error_text = run(fleet, "plan")
    assert (status, "--revert" in error_text) == (2, True)
    status, _, error_text = run(fleet, "confirm", "plan-9-0")
    assert (status, "plan again" in error_text) == (1, True)
    status, _, error_text = run(fleet, "show", "999999")
    assert (status, "no version 999999" in error_text) == (1, True)
    status, _, _ = run(fleet, "rate", "ctl-unknown", "5")
    assert status == 1
    status, _, error_text = run({**fleet, "operator_key": "x"}, "status")
    assert (status, "IBISKNOT_OPERATOR_KEY" in error_text) == (1, True)
    unreachable = {**fleet, "base_urls": ["http://127.0.0.1:1/v1"]}
    status, _, error_text = run(unreachable, "status")
    assert (status, "another VM" in error_text) == (4, True)


def test_completion_script_is_generated() -> None:
    """Guards against a failure to generate the completion script."""
    completed = subprocess.run(
        [str(PROGRAM), "--completion", "generate"],
        capture_output=True,
        text=True,
    )
    assert completed.returncode == 0
    assert "ibisknotctl" in completed.stdout


def wait_for_order(
    fleet: dict[str, Any], state: str, model_version: str
) -> bool:
    """Waits for status to show an order; False if it does not in 20 s."""
    for _ in range(200):
        _, status, _ = run(fleet, "status")
        for order in status["orders"] or []:
            if (order["state"], order["wanted"]) == (state, model_version):
                return True
        time.sleep(0.1)
    return False


def test_version_that_does_not_load_is_stopped(fleet: dict[str, Any]) -> None:
    """Guards against a broken version that status does not show."""
    model = fleet["models"][0]
    plan_and_confirm(fleet, "version", model, "broken")
    assert wait_for_order(fleet, "stopped", "broken")
    url = fleet["endpoints"][0]["url"]
    state = httpx.get(f"{url}/engine/state").json()
    assert state["versions"] == {model: "1"}
    plan_and_confirm(fleet, "version", model, "1")
