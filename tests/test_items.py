"""Tests of batch items: responses from streams, and bounded attempts."""

from collections.abc import AsyncIterator
import contextlib
import time
from typing import Any

import anyio
import httpx
import msgspec
import pytest

from ibisknot import errors
from ibisknot import items
from ibisknot import jobs


def make_task(url: str = "/v1/chat/completions") -> items.Task:
    return items.Task(0, jobs.Item("a", url, {"model": "m"}))


def test_stream_becomes_the_plain_response() -> None:
    """Guards against a result that differs from a response without a stream."""
    task = make_task()
    event = '{"id":"c","created":1,"model":"m","choices":[{"delta":%s}]}'
    items.record_event(task, event % '{"content":"one "}')
    items.record_event(task, event % '{"content":"two"}')
    response = items.plain_response(task, "length")
    assert response["object"] == "chat.completion"
    assert response["choices"][0]["message"]["content"] == "one two"
    assert response["usage"]["completion_tokens"] == 2


def test_next_attempt_continues_after_generated_tokens() -> None:
    """Guards against generating tokens again after a revoked ticket."""
    task = make_task("/v1/completions")
    items.record_event(task, '{"choices":[{"text":"one "}]}')
    assert b'"resume_from":1' in items.request_body(task)


def test_request_with_tools_is_not_streamed() -> None:
    """Guards against a response without its tool calls."""
    task = make_task()
    task.item.body["tools"] = [{"type": "function"}]
    assert not task.uses_stream()
    assert b'"stream":false' in items.request_body(task)


@pytest.mark.parametrize("data", ["{", "[]", '{"error":{"code":"x"}}'])
def test_malformed_event_fails_the_attempt(data: str) -> None:
    """Guards against a malformed event that ends the program."""
    with pytest.raises(errors.EndpointError):
        items.record_event(make_task(), data)


def test_attempts_are_bounded() -> None:
    """Guards against an item that never gets a result."""
    refused_task = make_task()
    assert not items.record_failure(refused_task, 503)
    assert not items.record_failure(refused_task, 503)
    assert items.record_failure(refused_task, 503)
    assert items.record_failure(make_task(), 400)
    incomplete_task = make_task()
    for _ in range(items.MAX_INCOMPLETE_ATTEMPTS - 1):
        assert not items.record_failure(incomplete_task, 0)
        assert incomplete_task.crash_suspect
    assert items.record_failure(incomplete_task, 0)


def test_item_is_owed_after_any_number_of_crashes() -> None:
    """Guards against giving up an item that ran at crashes of other causes."""
    task = make_task()
    pauses_s = [items.record_crash(task) for _ in range(50)]
    assert pauses_s == sorted(pauses_s)
    assert pauses_s[-1] == items.MAX_CRASH_PAUSE_S
    assert not task.crash_suspect
    for _ in range(items.MAX_INCOMPLETE_ATTEMPTS - 1):
        assert not items.record_failure(task, 0)


class _Endpoint:
    """Generates two tokens, or what is left of them, with certain software."""

    def __init__(self, software: str) -> None:
        self.software = software
        self.resumed_from: list[int] = []

    @contextlib.asynccontextmanager
    async def open(
        self, _method: str, _url: str, *, body: bytes, **_: Any
    ) -> AsyncIterator[httpx.Response]:
        """Returns a stream."""
        first = msgspec.json.decode(body).get("resume_from", 0)
        self.resumed_from.append(first)
        lines = [
            msgspec.json.encode(
                {
                    "system_fingerprint": self.software,
                    "choices": [{"text": f"{self.software}.{n} "}],
                }
            ).decode()
            for n in range(first, 2)
        ]
        last = msgspec.json.encode(
            {
                "system_fingerprint": self.software,
                "choices": [{"finish_reason": "length"}],
            }
        ).decode()
        text = "".join(f"data: {line}\n\n" for line in [*lines, last])
        yield httpx.Response(200, content=f"{text}data: [DONE]\n\n".encode())


@pytest.mark.parametrize(
    ("software", "expected"), [("v1", "v1.0 v1.1 "), ("v2", "v2.0 v2.1 ")]
)
def test_item_is_not_joined_from_two_software_versions(
    software: str, expected: str
) -> None:
    """Guards against tokens that other software continues."""
    task = make_task("/v1/completions")
    items.record_event(
        task, '{"system_fingerprint":"v1","choices":[{"text":"v1.0 "}]}'
    )
    endpoint = _Endpoint(software)

    async def main() -> items.Response:
        return await items.run_attempt(
            endpoint,  # type: ignore[arg-type]
            task,
            "http://e",
            "r",
            items.Meter(time.monotonic()),
        )

    body = msgspec.json.decode(anyio.run(main).body)
    assert body["choices"][0]["text"] == expected
    assert body["system_fingerprint"] == software
    assert task.incomplete_attempts == 0
