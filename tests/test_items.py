"""One batch item: streams put together, and bounded tries."""

import pytest

from ibisknot import errors
from ibisknot import items
from ibisknot import jobs


def work(url: str = "/v1/chat/completions") -> items.Work:
    return items.Work(0, jobs.Item("a", url, {"model": "m"}))


def test_stream_amounts_to_the_plain_answer() -> None:
    """Guards against a batch answer that differs from a plain one."""
    made = work()
    event = '{"id":"c","created":1,"model":"m","choices":[{"delta":%s}]}'
    items.take_event(made, event % '{"content":"one "}')
    items.take_event(made, event % '{"content":"two"}')
    answer = items.whole(made, "length")
    assert answer["object"] == "chat.completion"
    assert answer["choices"][0]["message"]["content"] == "one two"
    assert answer["usage"]["completion_tokens"] == 2


def test_tokens_are_kept_when_an_item_gives_way() -> None:
    """Guards against generating the same tokens again."""
    made = work("/v1/completions")
    items.take_event(made, '{"choices":[{"text":"one "}]}')
    assert b'"resume_from":1' in items.request_body(made)


def test_request_for_tools_is_not_put_together() -> None:
    """Guards against an answer whose tool calls are dropped."""
    made = work()
    made.item.body["tools"] = [{"type": "function"}]
    assert not made.streams()
    assert b'"stream":false' in items.request_body(made)


@pytest.mark.parametrize("data", ["{", "[]", '{"error":{"code":"x"}}'])
def test_bad_event_is_a_failed_try(data: str) -> None:
    """Guards against an engine's bad event ending the program."""
    with pytest.raises(errors.EndpointError):
        items.take_event(work(), data)


def test_tries_are_bounded() -> None:
    """Guards against an item that is tried for ever."""
    refused = work()
    assert not items.note_failure(refused, 503, alone=False)
    assert not items.note_failure(refused, 503, alone=False)
    assert items.note_failure(refused, 503, alone=False)
    assert items.note_failure(work(), 400, alone=False)
    crashing = work()
    assert not items.note_failure(crashing, 0, alone=False)
    assert crashing.suspect
    assert not items.note_failure(crashing, 0, alone=True)
    assert items.note_failure(crashing, 0, alone=True)


def test_item_next_to_crashes_is_not_blamed() -> None:
    """Guards against failing an item for its neighbour's crashes."""
    neighbour = work()
    for _ in range(items.BREAK_TRIES - 1):
        assert not items.note_failure(neighbour, 0, alone=False)
    assert items.note_failure(neighbour, 0, alone=False)
