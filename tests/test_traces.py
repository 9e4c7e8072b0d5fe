"""Traces over several processes."""

import json
import pathlib
import time
from typing import Any

import conftest
import httpx

from ibisknot.bench import scenario_smoke

Small = conftest.SmallFleet
TRACE = "0af7651916cd43dd8448eb211c80319c"
PARENT = f"00-{TRACE}-b7ad6b7169203331-01"


def spans_of(folder: pathlib.Path, trace: str) -> dict[str, list[Any]]:
    """Returns the spans of a trace by the file that they are in."""
    found: dict[str, list[Any]] = {}
    for path in folder.iterdir():
        for line in path.read_text().splitlines():
            if f"0x{trace}" in line:
                found.setdefault(path.stem, []).append(json.loads(line))
    return found


def wait_spans(folder: pathlib.Path, trace: str, name: str) -> dict[str, Any]:
    """Waits until a span is exported; returns all of its trace."""
    for _ in range(300):
        found = spans_of(folder, trace)
        names = [s["name"] for spans in found.values() for s in spans]
        if name in names and "http" in names:
            return found
        time.sleep(0.1)
    raise AssertionError(f"no span {name} in {sorted(found)}")


def test_one_trace_goes_from_entry_to_store(small_fleet: Small) -> None:
    """Guards against trace context that is lost between processes."""
    lines = scenario_smoke.input_file(3, max_tokens=1)
    response = httpx.post(
        small_fleet.fleet.vms["vm-1"].direct_url() + "/v1/files",
        files={"file": ("in.jsonl", lines)},
        data={"purpose": "batch"},
        headers={
            "authorization": f"Bearer {small_fleet.key()}",
            "traceparent": PARENT,
        },
    )
    assert response.status_code == 200
    found = wait_spans(small_fleet.spans, TRACE, "segment_write")
    assert "vm-1-entry" in found
    assert any(name.endswith("-store") for name in found)
    spans = [s for each in found.values() for s in each]
    ids = {s["context"]["span_id"] for s in spans}
    for span in spans:
        assert span["parent_id"] in ids | {"0xb7ad6b7169203331"}


def test_endpoint_gets_the_trace_of_its_dispatch(small_fleet: Small) -> None:
    """Guards against endpoints whose spans belong to no request."""
    trace = TRACE[::-1]
    response = httpx.get(
        small_fleet.fleet.vms["vm-2"].direct_url() + "/services/quotes/a",
        headers={
            "authorization": f"Bearer {small_fleet.key()}",
            "traceparent": f"00-{trace}-b7ad6b7169203331-01",
        },
    )
    _, got, parent, _ = response.json()["headers"]["traceparent"].split("-")
    assert got == trace
    found = wait_spans(small_fleet.spans, trace, "dispatch")
    spans = {s["context"]["span_id"]: s for s in found["vm-2-entry"]}
    names = []
    identity = f"0x{parent}"
    while identity in spans:
        names.append(spans[identity]["name"])
        identity = spans[identity]["parent_id"]
    assert names == ["dispatch", "request", "http"]
