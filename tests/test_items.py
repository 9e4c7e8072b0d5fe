"""Tests of batch items: responses from streams, and bounded attempts."""

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
    assert not items.record_failure(refused_task, 503, exclusive=False)
    assert not items.record_failure(refused_task, 503, exclusive=False)
    assert items.record_failure(refused_task, 503, exclusive=False)
    assert items.record_failure(make_task(), 400, exclusive=False)
    crashing_task = make_task()
    assert not items.record_failure(crashing_task, 0, exclusive=False)
    assert crashing_task.crash_suspect
    assert not items.record_failure(crashing_task, 0, exclusive=True)
    assert items.record_failure(crashing_task, 0, exclusive=True)


def test_only_exclusive_attempts_count_as_crashes() -> None:
    """Guards against failing an item because another one crashes endpoints."""
    neighbour = make_task()
    for _ in range(items.MAX_INCOMPLETE_ATTEMPTS - 1):
        assert not items.record_failure(neighbour, 0, exclusive=False)
    assert items.record_failure(neighbour, 0, exclusive=False)
