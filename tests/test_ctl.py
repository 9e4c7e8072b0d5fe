"""`ibisknotctl` against a fleet of real processes."""

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

CTL = pathlib.Path(sys.executable).parent / "ibisknotctl"


def run(fleet: dict[str, Any], *arguments: str, vm: int = 0) -> Any:
    """Runs a command; returns its exit status, JSON answer and errors."""
    url = fleet["base_urls"][vm].removesuffix("/v1")
    common = ["--url", url, "--key", fleet["operator_key"], "--json"]
    out, complaints = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out):
        with contextlib.redirect_stderr(complaints):
            status = ctl.run([*common, *arguments])
    text = out.getvalue().strip()
    answer = json.loads(text) if text else None
    return status, answer, complaints.getvalue()


def confirmed(fleet: dict[str, Any], *arguments: str) -> dict[str, Any]:
    """Plans and confirms; returns the plan."""
    status, plan, complaint = run(fleet, *arguments)
    assert status == 0, complaint
    status, answer, complaint = run(fleet, "confirm", plan["id"], "--wait")
    assert status == 0, complaint
    assert answer["in_force"]
    assert answer["missing"] == []
    return {**plan, **answer}


def try_key(fleet: dict[str, Any], key: str, vm: int) -> int:
    return httpx.get(
        f"{fleet['base_urls'][vm]}/models",
        headers={"authorization": f"Bearer {key}"},
    ).status_code


def test_keys_are_made_shown_once_and_withdrawn(fleet: dict[str, Any]) -> None:
    """Guards against keys that are stored, or work after withdrawal."""
    confirmed(fleet, "organisation", "ctl-keys", "--rate", "5")
    first = confirmed(fleet, "key", "ctl-keys", "first")
    second = confirmed(fleet, "key", "ctl-keys", "second")
    vms = range(len(fleet["base_urls"]))
    for made in (first, second):
        assert {try_key(fleet, made["key"], vm) for vm in vms} == {200}
    confirmed(fleet, "withdraw", "ctl-keys", "first")
    assert {try_key(fleet, first["key"], vm) for vm in vms} == {401}
    assert {try_key(fleet, second["key"], vm) for vm in vms} == {200}
    _, shown, _ = run(fleet, "show")
    _, past, _ = run(fleet, "history")
    for secret in (first["key"], second["key"]):
        assert secret not in json.dumps([shown, past])
    reverted = confirmed(fleet, "plan", "--revert", str(second["version"]))
    assert reverted["version"] > second["version"]
    assert {try_key(fleet, first["key"], vm) for vm in vms} == {401}


def test_conflict_names_the_difference(fleet: dict[str, Any]) -> None:
    """Guards against a plan confirmed over a change it has not seen."""
    confirmed(fleet, "organisation", "ctl-race", "--rate", "5")
    _, one, _ = run(fleet, "rate", "ctl-race", "6", vm=1)
    _, two, _ = run(fleet, "rate", "ctl-race", "7", vm=2)
    status, _, _ = run(fleet, "confirm", one["id"], vm=1)
    assert status == 0
    status, answer, complaint = run(fleet, "confirm", two["id"], vm=2)
    assert status == 3
    assert "plan again" in complaint
    assert answer["error"]["ran"] == "not_run"
    assert answer["error"]["difference"] == [
        {
            "path": "organisations/ctl-race/rate_per_s",
            "before": 5.0,
            "after": 6.0,
        }
    ]


def test_second_confirm_has_the_same_answer(fleet: dict[str, Any]) -> None:
    """Guards against a repeated confirm that fails or changes twice."""
    _, plan, _ = run(fleet, "organisation", "ctl-twice", "--rate", "5")
    answers = [run(fleet, "confirm", plan["id"], vm=vm)[:2] for vm in range(3)]
    assert answers[0][0] == 0
    assert answers[0] == answers[1] == answers[2]
    _, found, _ = run(fleet, "operation", plan["id"])
    assert found["state"] == "done"


def test_history_show_and_explain(fleet: dict[str, Any]) -> None:
    """Guards against changes without an author or a readable past."""
    made = confirmed(fleet, "organisation", "ctl-past", "--rate", "5")
    later = confirmed(fleet, "rate", "ctl-past", "9", "--burst", "3")
    _, past, _ = run(fleet, "history", "--limit", "2")
    assert [c["version"] for c in past] == [later["version"], made["version"]]
    assert {c["author"] for c in past} == {"bench"}
    _, old, _ = run(fleet, "show", str(made["version"]))
    assert old["organisations"]["ctl-past"]["rate_per_s"] == 5.0
    _, told, _ = run(fleet, "explain", later["id"], vm=4)
    assert "plan_confirmed" in {e["event"] for e in told["events"]}
    assert told["no_answer"] == []


def test_errors_say_what_to_do(fleet: dict[str, Any]) -> None:
    """Guards against failures without exit status or advice."""
    status, _, complaint = run(fleet, "plan")
    assert (status, "--revert" in complaint) == (2, True)
    status, _, complaint = run(fleet, "confirm", "plan-9-0")
    assert (status, "plan again" in complaint) == (1, True)
    status, _, complaint = run(fleet, "show", "999999")
    assert (status, "no version 999999" in complaint) == (1, True)
    status, _, _ = run(fleet, "rate", "ctl-unknown", "5")
    assert status == 1
    status, _, complaint = run({**fleet, "operator_key": "x"}, "status")
    assert (status, "IBISKNOT_OPERATOR_KEY" in complaint) == (1, True)
    nowhere = {**fleet, "base_urls": ["http://127.0.0.1:1/v1"]}
    status, _, complaint = run(nowhere, "status")
    assert (status, "another VM" in complaint) == (4, True)


def test_completion_is_offered() -> None:
    """Guards against a completion script that no longer generates."""
    done = subprocess.run(
        [str(CTL), "--completion", "generate"], capture_output=True, text=True
    )
    assert done.returncode == 0
    assert "ibisknotctl" in done.stdout


def wait_orders(fleet: dict[str, Any], state: str, model_version: str) -> bool:
    """Waits until status shows an order in a state."""
    for _ in range(200):
        _, found, _ = run(fleet, "status")
        for order in found["orders"] or []:
            if (order["state"], order["wanted"]) == (state, model_version):
                return True
        time.sleep(0.1)
    return False


def test_version_that_does_not_load_is_stopped(fleet: dict[str, Any]) -> None:
    """Guards against a broken version that status does not tell of."""
    model = fleet["models"][0]
    confirmed(fleet, "version", model, "broken")
    assert wait_orders(fleet, "stopped", "broken")
    url = fleet["endpoints"][0]["url"]
    state = httpx.get(f"{url}/engine/state").json()
    assert state["versions"] == {model: "1"}
    confirmed(fleet, "version", model, "1")
