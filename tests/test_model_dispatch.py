"""Dispatch of model requests through real processes."""

from collections.abc import AsyncIterator
from collections.abc import Iterator
import contextlib
import time
from typing import Any

from anyio import from_thread
import httpx
import msgspec
import pytest

from ibisknot import _attempt
from ibisknot import api_keys
from ibisknot import errors
from ibisknot import model_dispatch
from ibisknot import tickets
from ibisknot.bench import fleet as fleet_module
from ibisknot.bench import generator
from ibisknot.bench import topology
from ibisknot.standins import _engine_text
from ibisknot.standins import standin_engine

PAIR = topology.Topology(
    name="pair",
    data_centres=("one", "two"),
    vms=2,
    stores=2,
    engines=2,
    delay_s=0.001,
    client_delay_s=0.001,
    rates=(1000.0,),
)
WAIT_S = 30.0


@pytest.fixture(scope="module")
def pair() -> Iterator[fleet_module.Fleet]:
    """Two VMs and two engines behind the fault proxies."""
    options = fleet_module.Options(topology=PAIR, proxied=True)
    with from_thread.start_blocking_portal() as portal:
        running = fleet_module.running(options)
        with portal.wrap_async_context_manager(running) as started:
            yield started


@contextlib.contextmanager
def chat(
    fleet: fleet_module.Fleet,
    content: str,
    *,
    vm: str = "vm-1",
    tokens: int,
    key: str = "",
) -> Iterator[httpx.Response]:
    body = {
        "model": fleet_module.MODEL,
        "messages": [{"role": "user", "content": content}],
        "max_tokens": tokens,
        "stream": True,
    }
    key = key or fleet.organisation_keys["organisation-1"]
    with httpx.stream(
        "POST",
        f"{fleet.vms[vm].url()}/v1/chat/completions",
        json=body,
        headers={"authorization": f"Bearer {key}"},
        timeout=WAIT_S,
        trust_env=False,
    ) as response:
        yield response


def stream_text(lines: Iterator[str]) -> Iterator[str]:
    for line in lines:
        if line.startswith("data: {"):
            event = msgspec.json.decode(line[6:])
            assert "error" not in event, event
            yield event["choices"][0]["delta"].get("content", "")


def engine_load(fleet: fleet_module.Fleet, name: str) -> dict[str, Any]:
    url = f"{fleet.endpoints[name].url}/engine/load"
    return httpx.get(url, trust_env=False).json()


def serving_engine(fleet: fleet_module.Fleet, request: str) -> str:
    for name, endpoint in fleet.endpoints.items():
        if endpoint.kind == "engine":
            url = f"{endpoint.url}/admin/served"
            if request in httpx.get(url, trust_env=False).json():
                return name
    raise AssertionError("no engine serves the request")


def test_truncated_stream_is_resumed_elsewhere(
    pair: fleet_module.Fleet,
) -> None:
    """Guards against truncated streams that end early or repeat tokens."""
    tokens = 150
    text = ""
    killed_engine = ""
    with chat(pair, "cut this stream", tokens=tokens) as response:
        for part in stream_text(response.iter_lines()):
            text += part
            if not killed_engine and len(text.split()) == 10:
                killed_engine = serving_engine(
                    pair, response.headers["x-request-id"]
                )
                pair.endpoints[killed_engine].process.handle.kill()
    assert killed_engine
    prompt = generator.chat_prompt("cut this stream")
    assert text == _engine_text.text(prompt, tokens)


def test_request_of_a_disconnected_caller_is_cancelled(
    pair: fleet_module.Fleet,
) -> None:
    """Guards against engines that go on after the caller has disconnected."""
    with chat(pair, "leave", vm="vm-2", tokens=1_000_000) as response:
        assert next(stream_text(response.iter_lines())) is not None
        name = serving_engine(pair, response.headers["x-request-id"])
    deadline_s = time.monotonic() + WAIT_S
    while engine_load(pair, name).get("running") != 0:
        assert time.monotonic() < deadline_s, (
            "the engine still runs the request"
        )
        time.sleep(0.1)


def test_crash_request_is_refused_on_every_vm(
    pair: fleet_module.Fleet,
) -> None:
    """Guards against a resent request that crashes further endpoints."""
    codes = []
    for vm in ("vm-1", "vm-2", "vm-1"):
        with chat(pair, standin_engine.CRASH_MARKER, vm=vm, tokens=4) as answer:
            codes.append(msgspec.json.decode(answer.read())["error"])
    assert [code["code"] for code in codes] == ["crash_request"] * 3
    assert [code["ran"] for code in codes] == ["ran", "not_run", "not_run"]
    deadline_s = time.monotonic() + WAIT_S
    while sum(pair.crash_counts.values()) < 2:
        assert time.monotonic() < deadline_s
        time.sleep(0.05)
    assert sum(pair.crash_counts.values()) == 2


def test_request_to_crashed_engines_is_no_crash_request(
    pair: fleet_module.Fleet,
) -> None:
    """Guards against refusing a request because engines were already down.

    The fault proxy accepts a connection and closes it, so that an engine that
    is down looks like one that the request has crashed. Both engines have just
    crashed here, and may be down at each attempt of the request.
    """
    with chat(pair, "innocent", tokens=4) as answer:
        body = answer.read()
    assert b"crash_request" not in body
    deadline_s = time.monotonic() + WAIT_S
    while not all(_is_up(pair, name) for name in ("engine-1", "engine-2")):
        assert time.monotonic() < deadline_s, "the engines did not start again"
        time.sleep(0.1)


def _is_up(fleet: fleet_module.Fleet, name: str) -> bool:
    try:
        engine_load(fleet, name)
    except httpx.HTTPError:
        return False
    return True


def confirm_plan(fleet: fleet_module.Fleet, keys_intent: Any) -> None:
    intent = {"organisations": {"organisation-1": {"keys": keys_intent}}}
    base = f"{fleet.vms['vm-1'].direct_url()}/operator/plans"
    headers = fleet.operator_headers()
    plan = httpx.post(base, json=intent, headers=headers, trust_env=False)
    plan.raise_for_status()
    url = f"{base}/{plan.json()['id']}/confirm"
    httpx.post(url, headers=headers, trust_env=False).raise_for_status()


def test_stream_of_a_withdrawn_key_ends_with_a_typed_error(
    pair: fleet_module.Fleet,
) -> None:
    """Guards against streams that continue after their key is withdrawn."""
    key = api_keys.create()
    confirm_plan(pair, {"second": {"digest": api_keys.digest(key)}})
    with chat(pair, "withdrawn", tokens=1_000_000, key=key) as response:
        assert response.status_code == 200
        lines = response.iter_lines()
        assert next(stream_text(lines)) is not None
        confirm_plan(pair, {"second": None})
        last = [line for line in lines if line.startswith("data: ")][-1]
    error = msgspec.json.decode(last[6:])["error"]
    assert (error["code"], error["ran"]) == ("key_withdrawn", "ran")


async def _chunks(*parts: bytes) -> AsyncIterator[bytes]:
    for part in parts:
        yield part


def start_attempt(*parts: bytes) -> _attempt.Attempt:
    ticket_request = tickets.TicketRequest(
        "online", "m", "o", "mine", "", 4, 1.0
    )
    return _attempt.Attempt(
        endpoint="e",
        url="http://127.0.0.1:1",
        ticket=tickets.Ticket("e", "t", ticket_request, "m/0"),
        response=httpx.Response(200, content=_chunks(*parts)),
        stack=contextlib.AsyncExitStack(),
        started_s=0.0,
    )


@pytest.mark.anyio
async def test_response_to_another_request_is_not_relayed() -> None:
    """Guards against a response that is relayed to another caller."""
    started_attempt = start_attempt(b'data: {"id":"cmpl-other"}\n\n')
    with pytest.raises(errors.EndpointError, match="another request"):
        async for _ in _attempt.read_complete_events(started_attempt, "mine"):
            raise AssertionError("the answer to another request was relayed")
    plain = start_attempt(b'{"id":"cmpl-other"}')
    with pytest.raises(errors.EndpointError, match="another request"):
        await _attempt.read_complete_response(plain, "mine")


@pytest.mark.anyio
async def test_only_complete_events_are_relayed_and_counted() -> None:
    """Guards against a stream that is resumed inside an event."""
    event = b'data: {"id":"cmpl-mine","finish_reason":null}\n\n'
    started_attempt = start_attempt(event + event[:9], event[9:] + event[:20])
    received = b""
    with pytest.raises(errors.TruncatedStreamError):
        async for part in _attempt.read_complete_events(
            started_attempt, "mine"
        ):
            received += part
    assert received == event * 2
    assert started_attempt.token_count() == 2


@pytest.mark.anyio
async def test_incomplete_response_is_an_error() -> None:
    """Guards against an incomplete response that is relayed as complete."""
    started_attempt = start_attempt(b'{"id":"cmpl-mine","choices":[')
    with pytest.raises(errors.TruncatedStreamError):
        await _attempt.read_complete_response(started_attempt, "mine")


def test_resumed_body_keeps_its_fields() -> None:
    """Guards against a resumed request whose fields differ from the first."""
    body = model_dispatch.add_resume_from(b'{"a": 1.50, "b": "x"}', 7)
    assert body == b'{"a":1.50,"b":"x","resume_from":7}'
