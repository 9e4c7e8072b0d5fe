"""Tests of batch jobs with real processes, through the HTTP interfaces."""

import json
import subprocess
import time
from typing import Any

import conftest
import httpx
import pytest


def input_lines(
    id_prefix: str, count: int, model: str, tokens: int = 4
) -> bytes:
    items = [
        {
            "custom_id": f"{id_prefix}-{index}",
            "method": "POST",
            "url": "/v1/completions",
            "body": {
                "model": model,
                "prompt": f"{id_prefix} {index}",
                "max_tokens": tokens,
            },
        }
        for index in range(count)
    ]
    return b"\n".join(json.dumps(line).encode() for line in items)


def call(
    fleet: dict[str, Any], method: str, path: str, org: int = 2, **kw: Any
) -> Any:
    key = fleet["organisations"][org]["key"]
    url = fleet["base_urls"][org] + path
    headers = {"authorization": f"Bearer {key}"}
    return httpx.request(method, url, headers=headers, timeout=30.0, **kw)


def upload(fleet: dict[str, Any], data: bytes, org: int = 2) -> Any:
    files = {"file": ("in.jsonl", data)}
    kind = {"purpose": "batch"}
    return call(fleet, "POST", "/files", org, files=files, data=kind).json()


def submit(fleet: dict[str, Any], file_id: str) -> Any:
    submission = {"input_file_id": file_id, "endpoint": "/v1/completions"}
    return call(fleet, "POST", "/batches", json=submission).json()


def wait_for_end(fleet: dict[str, Any], job: Any) -> Any:
    for _ in range(600):
        if job["status"] in ("completed", "cancelled", "expired"):
            return job
        time.sleep(0.1)
        job = call(fleet, "GET", f"/batches/{job['id']}").json()
    raise AssertionError(f"the job is still {job['status']}")


def custom_ids(fleet: dict[str, Any], file_id: str) -> list[str]:
    text = call(fleet, "GET", f"/files/{file_id}/content").text
    return [json.loads(line)["custom_id"] for line in text.splitlines()]


def test_job_outlives_its_file_and_jobs_do_not_share_results(
    fleet: dict[str, Any],
) -> None:
    """Guards against items that are lost with their file.

    Also guards against results of another job, and against files that two
    organisations share.
    """
    data = input_lines("outlive", 30, fleet["models"][0])
    file = upload(fleet, data)
    assert upload(fleet, data)["id"] == file["id"]
    assert upload(fleet, data, org=3)["id"] != file["id"]
    job = submit(fleet, file["id"])
    assert submit(fleet, file["id"])["id"] == job["id"]
    deleted = call(fleet, "DELETE", f"/files/{file['id']}")
    assert deleted.json()["deleted"]
    assert call(fleet, "GET", f"/files/{file['id']}").status_code == 404
    done = wait_for_end(fleet, job)
    assert done["status"] == "completed"
    wanted = [f"outlive-{index}" for index in range(30)]
    assert custom_ids(fleet, done["output_file_id"]) == wanted
    again = upload(fleet, data)
    assert again["id"] == file["id"]
    assert custom_ids(fleet, again["id"]) == wanted
    output = done["output_file_id"]
    assert call(fleet, "DELETE", f"/files/{output}").status_code == 200
    assert call(fleet, "GET", f"/files/{output}/content").status_code == 404


def test_cancelled_job_shows_its_results_so_far(fleet: dict[str, Any]) -> None:
    """Guards against a cancelled job without its results so far."""
    data = input_lines("cancel", 2000, fleet["models"][0], tokens=64)
    job = submit(fleet, upload(fleet, data)["id"])
    for _ in range(300):
        job = call(fleet, "GET", f"/batches/{job['id']}").json()
        if job["request_counts"]["completed"]:
            break
        time.sleep(0.05)
    call(fleet, "POST", f"/batches/{job['id']}/cancel")
    done = wait_for_end(fleet, job)
    assert done["status"] == "cancelled"
    found = custom_ids(fleet, done["output_file_id"])
    assert 0 < len(found) == done["request_counts"]["completed"] < 2000


@pytest.mark.parametrize("flags", [[], ["--json"]])
def test_operators_see_progress(
    fleet: dict[str, Any], flags: list[str]
) -> None:
    """Guards against jobs whose progress operators cannot see."""
    data = input_lines("seen", 5, fleet["models"][0])
    job = wait_for_end(fleet, submit(fleet, upload(fleet, data)["id"]))
    command = [str(conftest.BIN / "ibisknotctl"), *flags, "jobs"]
    done = subprocess.run(
        command,
        env={
            "IBISKNOT_URL": fleet["operator_url"],
            "IBISKNOT_OPERATOR_KEY": fleet["operator_key"],
            "COLUMNS": "200",
        },
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode == 0, done.stderr
    assert job["id"] in done.stdout
    if flags:
        found = {j["job"]: j for j in json.loads(done.stdout)["jobs"]}
        assert found[job["id"]]["completed"] == 5
