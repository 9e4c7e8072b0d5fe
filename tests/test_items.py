"""One batch item: streams put together, and bounded tries."""

import pytest

from ibisknot import errors
from ibisknot import items
from ibisknot import jobs


def make_task(url: str = "/v1/chat/completions") -> items.Task:
    return items.Task(0, jobs.Item("a", url, {"model": "m"}))


def test_stream_amounts_to_the_plain_answer() -> None:
    """Guards against a batch answer that differs from a plain one."""
    task = make_task()
    event = '{"id":"c","created":1,"model":"m","choices":[{"delta":%s}]}'
    items.record_event(task, event % '{"content":"one "}')
    items.record_event(task, event % '{"content":"two"}')
    answer = items.plain_response(task, "length")
    assert answer["object"] == "chat.completion"
    assert answer["choices"][0]["message"]["content"] == "one two"
    assert answer["usage"]["completion_tokens"] == 2


def test_tokens_are_kept_when_an_item_gives_way() -> None:
    """Guards against generating the same tokens again."""
    task = make_task("/v1/completions")
    items.record_event(task, '{"choices":[{"text":"one "}]}')
    assert b'"resume_from":1' in items.request_body(task)


def test_request_for_tools_is_not_put_together() -> None:
    """Guards against an answer whose tool calls are dropped."""
    task = make_task()
    task.item.body["tools"] = [{"type": "function"}]
    assert not task.uses_stream()
    assert b'"stream":false' in items.request_body(task)


@pytest.mark.parametrize("data", ["{", "[]", '{"error":{"code":"x"}}'])
def test_bad_event_is_a_failed_try(data: str) -> None:
    """Guards against an engine's bad event ending the program."""
    with pytest.raises(errors.EndpointError):
        items.record_event(make_task(), data)


def test_tries_are_bounded() -> None:
    """Guards against an item that is tried for ever."""
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


def test_item_next_to_crashes_is_not_blamed() -> None:
    """Guards against failing an item for its neighbour's crashes."""
    neighbour = make_task()
    for _ in range(items.MAX_BROKEN_ATTEMPTS - 1):
        assert not items.record_failure(neighbour, 0, exclusive=False)
    assert items.record_failure(neighbour, 0, exclusive=False)
