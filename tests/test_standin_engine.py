"""The engine stand-in."""

from collections.abc import Callable

import conftest
import httpx
import pytest

from ibisknot.standins import _engine_batching
from ibisknot.standins import _engine_cache

StartStandIn = Callable[..., conftest.StandIn]
LONG_PROMPT = " ".join(f"w{number}" for number in range(64))


def complete(engine: conftest.StandIn, **fields: object) -> httpx.Response:
    body = {"model": "small", "prompt": LONG_PROMPT, "max_tokens": 1, **fields}
    return engine.post("/v1/completions", body)


def test_cache_events_are_late_and_have_gaps() -> None:
    """Guards against events that are visible at once or never lost."""
    log = _engine_cache.EventLog(lag_s=1.0, loss=0.5, seed=3)
    for number in range(100):
        log.record(0.0, [number], [])
    assert log.read(0.9, 0).events == []
    numbers = [e.number for e in log.read(1.0, 0).events]
    assert 20 < len(numbers) < 80
    assert numbers == sorted(set(numbers))
    following = log.read(1.0, numbers[4])
    assert [e.number for e in following.events] == numbers[5:]
    assert following.following == numbers[-1]


def test_eviction_is_an_event() -> None:
    """Guards against readers that count evicted blocks as cached."""
    cache = _engine_batching.PrefixCache(2)
    cache.record_use([1, 2])
    _, added, evicted = cache.record_use([3])
    assert (added, evicted) == ([3], [1])


def test_exported_cache_is_imported_elsewhere(standin: StartStandIn) -> None:
    """Guards against an export that the importer cannot use."""
    flags = ("--event-lag-s", "0", "--event-loss", "0")
    first, second = standin("engine", *flags), standin("engine", *flags)
    assert complete(first).status_code == 200
    body = {"model": "small", "prompt": LONG_PROMPT}
    data = first.post("/engine/cache/export", body).content
    url = second.url + "/engine/cache/import"
    assert httpx.post(url, content=data).json() == {"added": 4}
    events = second.get("/engine/cache/events").json()["events"]
    assert events[0]["stored"] == _engine_batching.prompt_blocks(LONG_PROMPT)
    assert second.post("/engine/cache/export", body).content == data
    assert httpx.post(url, content=data[:-1]).status_code == 400
    damaged = data[:-1] + bytes([data[-1] ^ 1])
    assert httpx.post(url, content=damaged).status_code == 400


def test_adapter_serves_until_its_model_changes(standin: StartStandIn) -> None:
    """Guards against an adapter that stays after its version is replaced."""
    engine = standin("engine")
    assert complete(engine, model="small:shoes").status_code == 404
    order = {
        "kind": "load_adapter",
        "fencing": 1,
        "model": "small",
        "adapter": "shoes",
    }
    assert engine.post("/engine/orders", order).status_code == 200
    assert complete(engine, model="small:shoes").status_code == 200
    load = {"kind": "load", "fencing": 2, "model": "small", "version": "2"}
    assert engine.post("/engine/orders", load).status_code == 200
    assert complete(engine, model="small:shoes").status_code == 404
    assert engine.get("/engine/state").json()["versions"] == {"small": "2"}


def test_version_that_fails_to_load_keeps_the_old_one(
    standin: StartStandIn,
) -> None:
    """Guards against an engine that serves nothing after a failed load."""
    engine = standin("engine")
    order = {
        "kind": "load",
        "fencing": 1,
        "model": "small",
        "version": "broken",
    }
    assert engine.post("/engine/orders", order).status_code == 503
    state = engine.get("/engine/state").json()
    assert state["versions"] == {"small": "1"}
    assert state["failed"] == {"small": "broken"}
    assert complete(engine).status_code == 200


@pytest.mark.parametrize(
    ("flags", "status"), [((), 409), (("--ignores-fencing",), 200)]
)
def test_old_fencing_number(
    standin: StartStandIn, flags: tuple[str, ...], status: int
) -> None:
    """Guards against engines that ignore the flag about fencing."""
    engine = standin("engine", *flags)
    new = {"kind": "role", "fencing": 5, "role": "decode"}
    assert engine.post("/engine/orders", new).status_code == 200
    old = {"kind": "role", "fencing": 4, "role": "prefill"}
    assert engine.post("/engine/orders", old).status_code == status
    role = engine.get("/engine/state").json()["role"]
    assert role == ("prefill" if flags else "decode")


def test_load_report_lags(standin: StartStandIn) -> None:
    """Guards against a report that is always current."""
    engine = standin("engine", "--report-lag-s", "3600")
    assert complete(engine).status_code == 200
    assert engine.get("/engine/load").json() == {}


def test_resumed_stream_continues_the_text(standin: StartStandIn) -> None:
    """Guards against a resumed response that differs from a complete one."""
    engine = standin("engine")

    def text(**fields: object) -> str:
        return complete(engine, **fields).json()["choices"][0]["text"]

    complete_text = text(max_tokens=8)
    assert (
        text(max_tokens=3) + text(max_tokens=8, resume_from=3) == complete_text
    )


def test_engine_stops_without_errors_during_a_stream(
    standin: StartStandIn,
) -> None:
    """Guards against stack traces at shutdown; the fixture checks the log."""
    engine = standin("engine")
    body = {
        "model": "small",
        "prompt": "p",
        "max_tokens": 10_000,
        "stream": True,
    }
    with httpx.stream(
        "POST", engine.url + "/v1/completions", json=body
    ) as stream:
        assert next(stream.iter_raw()).startswith(b"data: ")
        engine.process.terminate()
        assert engine.process.wait(timeout=20) == 0
