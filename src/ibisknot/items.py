"""Runs one batch item as a stream and puts its answer together."""

from collections.abc import AsyncIterator
import dataclasses
import time
from typing import Any
import uuid

import httpx
import msgspec

from ibisknot import admission
from ibisknot import endpoint_http
from ibisknot import errors
from ibisknot import jobs
from ibisknot import traces

TRIES = 3
"""Tries of an item that the engines refuse."""
FINAL_STATUSES = (400, 405, 413, 415, 422)
"""Refusals that another try would only repeat."""
CRASH_TRIES = 2
"""Endpoints that an item may crash while it runs alone."""
BREAK_TRIES = 8
"""Tries in all after streams that broke off, alone or not."""
WHOLE_FIELDS = ("tools", "functions", "logprobs", "top_logprobs", "best_of")
"""Requests with these fields are not put together from a stream."""


@dataclasses.dataclass(slots=True, eq=False)
class Work:
    """One item on its way to a result.

    Attributes:
        index: Its place in the job.
        item: The parsed line.
        parts: Text of the tokens made so far.
        refusals: Tries that an engine refused.
        breaks: Tries whose stream broke off.
        crashes: Those of them during which the item ran alone.
        suspect: Whether it has to run alone.
        not_before_s: When it may be tried again.
        head: Fields of the answer that the first event carried.
        usage: The usage that the engine stated.
        avoid: The endpoint that failed it last.
    """

    index: int
    item: jobs.Item
    parts: list[str] = dataclasses.field(default_factory=list)
    refusals: int = 0
    breaks: int = 0
    crashes: int = 0
    suspect: bool = False
    not_before_s: float = 0.0
    head: dict[str, Any] = dataclasses.field(default_factory=dict)
    usage: dict[str, Any] | None = None
    avoid: frozenset[str] = frozenset()

    def streams(self) -> bool:
        """Returns whether the answer can be put together from a stream."""
        body = self.item.body
        plain = any(body.get(field) for field in WHOLE_FIELDS)
        return not plain and body.get("n", 1) == 1

    def chat(self) -> bool:
        """Returns whether it is a chat completion."""
        return self.item.url.endswith("/chat/completions")


@dataclasses.dataclass(slots=True)
class Outcome:
    """The end of one try.

    Attributes:
        status: HTTP status.
        body: The answer, as JSON when the status is 200.
    """

    status: int
    body: bytes


@dataclasses.dataclass(slots=True)
class Meter:
    """Times of one try, in seconds of a monotonic clock.

    Attributes:
        tokens: Tokens of this try.
    """

    started_s: float
    first_s: float = 0.0
    last_s: float = 0.0
    tokens: int = 0

    def note(self, tokens: int) -> None:
        """Takes in that a try has made so many tokens by now."""
        if tokens > self.tokens:
            self.last_s = time.monotonic()
            self.first_s = self.first_s or self.last_s
            self.tokens = tokens

    def measured(self, outcome: str) -> admission.Measurement:
        """Returns what to report of the try."""
        if not self.tokens:
            return admission.Measurement(outcome=outcome)
        gaps = max(1, self.tokens - 1)
        return admission.Measurement(
            outcome=outcome,
            first_token_s=self.first_s - self.started_s,
            token_gap_s=(self.last_s - self.first_s) / gaps,
            tokens=self.tokens,
        )


def request_body(work: Work) -> bytes:
    """Returns the request to send, from the first token not yet made."""
    body = dict(work.item.body)
    body["stream"] = work.streams()
    if work.streams():
        body["stream_options"] = {"include_usage": True}
    if work.parts:
        body["resume_from"] = len(work.parts)
    return msgspec.json.encode(body)


async def attempt(
    engines: endpoint_http.EndpointClient,
    work: Work,
    url: str,
    request_id: str,
    meter: Meter,
) -> Outcome:
    """Tries an item once; the tokens made stay in `work`.

    Raises:
        EndpointError: The endpoint failed or broke off.
    """
    headers = {
        "content-type": "application/json",
        "x-request-id": request_id,
        **traces.headers(),
    }
    opened = engines.open(
        "POST", url + work.item.url, headers=headers, body=request_body(work)
    )
    async with opened as response:
        try:
            if response.status_code != 200 or not work.streams():
                return Outcome(response.status_code, await response.aread())
            finish = await _collect(response.aiter_lines(), work, meter)
        except httpx.HTTPError as error:
            message = f"the endpoint's answer was cut: {error!r}"
            raise errors.TruncatedStreamError(message) from None
    return Outcome(200, msgspec.json.encode(whole(work, finish)))


async def _collect(lines: AsyncIterator[str], work: Work, meter: Meter) -> str:
    """Takes a stream's events; returns why it finished.

    Raises:
        TruncatedStreamError: The stream ended before the answer was whole.
    """
    finish: str | None = None
    before = len(work.parts)
    async for line in lines:
        if not line.startswith("data:"):
            continue
        data = line.removeprefix("data:").strip()
        if data == "[DONE]":
            break
        finish = take_event(work, data) or finish
        meter.note(len(work.parts) - before)
    if finish is None:
        message = "the stream ended before the answer was whole"
        raise errors.TruncatedStreamError(message)
    return finish


def take_event(work: Work, data: str) -> str | None:
    """Takes one event of a stream; returns why it finished, if it did.

    Raises:
        TruncatedStreamError: The event is malformed or an error.
    """
    try:
        event = msgspec.json.decode(data, type=dict[str, Any])
        choices = event.get("choices") or []
        work.usage = event.get("usage") or work.usage
        if not work.head:
            work.head = {
                key: event.get(key) for key in ("id", "created", "model")
            }
        if not choices:
            if "error" in event:
                raise errors.TruncatedStreamError(f"engine error: {data}")
            return None
        choice = choices[0]
        delta = choice.get("delta") or {}
        text = delta.get("content") if work.chat() else choice.get("text")
        if text:
            work.parts.append(text)
        return choice.get("finish_reason")
    except (msgspec.MsgspecError, AttributeError, KeyError) as error:
        message = f"malformed event from the endpoint: {error}"
        raise errors.TruncatedStreamError(message) from None


def whole(work: Work, finish: str) -> dict[str, Any]:
    """Returns the plain answer that a stream amounts to."""
    text = "".join(work.parts)
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish}
    if work.chat():
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    usage = dict(work.usage or {})
    usage["completion_tokens"] = len(work.parts)
    kind = "chat.completion" if work.chat() else "text_completion"
    return {**work.head, "object": kind, "choices": [choice], "usage": usage}


def result_line(
    work: Work, status: int, body: bytes, *, failure: str = ""
) -> bytes:
    """Returns the line of the output file for an item."""
    request_id = uuid.uuid4().hex
    response = {
        "status_code": status,
        "request_id": request_id,
        "body": msgspec.Raw(body or b"null"),
    }
    error = {"code": "item_failed", "message": failure} if failure else None
    return msgspec.json.encode(
        {
            "id": f"batch_req_{request_id}",
            "custom_id": work.item.custom_id,
            "response": response,
            "error": error,
        }
    )


def note_failure(work: Work, status: int, *, alone: bool) -> bool:
    """Counts a failed try; returns whether the item is given up.

    A status of 0 means that the stream broke off. Such an item runs alone
    from then on, and only a break while it was alone counts as its crash.
    """
    if status:
        work.refusals += 1
        return work.refusals >= TRIES or status in FINAL_STATUSES
    work.breaks += 1
    work.suspect = True
    if alone:
        work.crashes += 1
    return work.crashes >= CRASH_TRIES or work.breaks >= BREAK_TRIES
