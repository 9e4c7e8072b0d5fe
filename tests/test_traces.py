"""Tests traces across several processes."""

import json
import pathlib
import time
from typing import Any

import conftest
import httpx

from ibisknot.bench import scenario_smoke

SmallFleet = conftest.SmallFleet
TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
TRACE_PARENT = f"00-{TRACE_ID}-b7ad6b7169203331-01"


def read_spans(folder: pathlib.Path, trace_id: str) -> dict[str, list[Any]]:
    """Returns the spans of a trace, by name of the file without its suffix."""
    spans: dict[str, list[Any]] = {}
    for path in folder.iterdir():
        for line in path.read_text().splitlines():
            if f"0x{trace_id}" in line:
                spans.setdefault(path.stem, []).append(json.loads(line))
    return spans


def wait_for_span(
    folder: pathlib.Path, trace_id: str, name: str
) -> dict[str, Any]:
    """Waits until a span is exported; returns all spans of its trace."""
    for _ in range(300):
        spans_by_file = read_spans(folder, trace_id)
        names = [s["name"] for spans in spans_by_file.values() for s in spans]
        if name in names and "http" in names:
            return spans_by_file
        time.sleep(0.1)
    raise AssertionError(f"no span {name} in {sorted(spans_by_file)}")


def test_one_trace_spans_entry_and_store(small_fleet: SmallFleet) -> None:
    """Guards against trace context that is lost between processes."""
    lines = scenario_smoke.input_file(3, max_tokens=1)
    response = httpx.post(
        small_fleet.fleet.vms["vm-1"].direct_url() + "/v1/files",
        files={"file": ("in.jsonl", lines)},
        data={"purpose": "batch"},
        headers={
            "authorization": f"Bearer {small_fleet.key()}",
            "traceparent": TRACE_PARENT,
        },
    )
    assert response.status_code == 200, response.text
    spans_by_file = wait_for_span(small_fleet.spans, TRACE_ID, "segment_write")
    assert "vm-1-entry" in spans_by_file
    assert any(name.endswith("-store") for name in spans_by_file)
    spans = [s for each in spans_by_file.values() for s in each]
    ids = {s["context"]["span_id"] for s in spans}
    for span in spans:
        assert span["parent_id"] in ids | {"0xb7ad6b7169203331"}


def test_endpoint_gets_the_trace_of_its_dispatch(
    small_fleet: SmallFleet,
) -> None:
    """Guards against endpoints that do not get the request's trace context."""
    trace_id = TRACE_ID[::-1]
    response = httpx.get(
        small_fleet.fleet.vms["vm-2"].direct_url() + "/services/quotes/a",
        headers={
            "authorization": f"Bearer {small_fleet.key()}",
            "traceparent": f"00-{trace_id}-b7ad6b7169203331-01",
        },
    )
    _, received_id, parent, _ = response.json()["headers"]["traceparent"].split(
        "-"
    )
    assert received_id == trace_id
    spans_by_file = wait_for_span(small_fleet.spans, trace_id, "dispatch")
    spans = {s["context"]["span_id"]: s for s in spans_by_file["vm-2-entry"]}
    names = []
    span_id = f"0x{parent}"
    while span_id in spans:
        names.append(spans[span_id]["name"])
        span_id = spans[span_id]["parent_id"]
    assert names == ["dispatch", "request", "http"]
