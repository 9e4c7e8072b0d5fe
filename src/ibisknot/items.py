"""Runs the items of batch jobs of the OpenAI-style interface at endpoints.

An item is requested as a stream where possible, so that the tokens of an
interrupted attempt are kept and the next attempt continues after them. The
stream's events are put together to the response of a request without a stream.
"""

from collections.abc import AsyncIterator
import dataclasses
import time
from typing import Any
import uuid

import httpx
import msgspec

from ibisknot import _attempt
from ibisknot import admission
from ibisknot import endpoint_body
from ibisknot import endpoint_http
from ibisknot import errors
from ibisknot import jobs
from ibisknot import traces

MAX_REFUSED_ATTEMPTS = 3
"""Attempts with an error status after which an item fails."""
NON_RETRYABLE_STATUSES = (400, 405, 413, 415, 422)
"""HTTP statuses at which an item fails at once.

Another attempt would get the same status.
"""
MAX_INCOMPLETE_ATTEMPTS = 8
"""Attempts without a complete response after which an item fails.

Attempts whose endpoint crashed are not counted.
"""
CRASH_PAUSE_S = 0.2
"""Pause after the first crash; it doubles with each further one."""
MAX_CRASH_PAUSE_S = 5.0
NON_STREAMING_FIELDS = (
    "tools",
    "functions",
    "logprobs",
    "top_logprobs",
    "best_of",
)
"""Fields of requests whose response cannot be put together from a stream."""


@dataclasses.dataclass(slots=True, eq=False)
class Task:
    """One item that has no result yet, and its state.

    Attributes:
        index: Index of the item in its job.
        item: The parsed line of the input file.
        token_texts: Texts of the tokens generated so far.
        refused_attempts: Number of attempts that got an error status.
        incomplete_attempts: Number of attempts without a complete response
            from an endpoint that goes on answering.
        crashes: Number of attempts whose endpoint crashed.
        crash_suspect: Whether the item has to run with no other item on the
            endpoint, because an endpoint that goes on answering gave no
            complete response.
        not_before_s: Monotonic time from which the next attempt may start; 0
            allows it at once.
        response_fields: Fields of the response that the first event has.
        usage: The token counts that the engine reported last.
        avoid: Names of endpoints to avoid: the one at which the last attempt
            had no complete response.
    """

    index: int
    item: jobs.Item
    token_texts: list[str] = dataclasses.field(default_factory=list)
    refused_attempts: int = 0
    incomplete_attempts: int = 0
    crashes: int = 0
    crash_suspect: bool = False
    not_before_s: float = 0.0
    response_fields: dict[str, Any] = dataclasses.field(default_factory=dict)
    usage: dict[str, Any] | None = None
    avoid: frozenset[str] = frozenset()

    def uses_stream(self) -> bool:
        """Returns whether the item is requested as a stream."""
        body = self.item.body
        needs_plain_response = any(
            body.get(field) for field in NON_STREAMING_FIELDS
        )
        return not needs_plain_response and body.get("n", 1) == 1

    def is_chat(self) -> bool:
        """Returns whether the item requests a chat completion."""
        return self.item.url.endswith("/chat/completions")


@dataclasses.dataclass(slots=True)
class Response:
    """The complete response to one attempt.

    Attributes:
        status: HTTP status.
        body: The body; it is JSON when the status is 200.
    """

    status: int
    body: bytes


@dataclasses.dataclass(slots=True)
class Meter:
    """Measures the token times of one attempt.

    Attributes:
        started_s: Monotonic time at which the attempt started.
        first_token_s: Monotonic time of the first token; 0 if there is none.
        last_token_s: Monotonic time of the last token; 0 if there is none.
        token_count: Number of tokens that this attempt generated.
    """

    started_s: float
    first_token_s: float = 0.0
    last_token_s: float = 0.0
    token_count: int = 0

    def record_tokens(self, token_count: int) -> None:
        """Records the number of tokens generated up to now."""
        if token_count > self.token_count:
            self.last_token_s = time.monotonic()
            self.first_token_s = self.first_token_s or self.last_token_s
            self.token_count = token_count

    def to_measurement(self, outcome: str) -> admission.Measurement:
        """Returns the measurement to report to admission."""
        if not self.token_count:
            return admission.Measurement(outcome=outcome)
        gap_count = max(1, self.token_count - 1)
        return admission.Measurement(
            outcome=outcome,
            first_token_s=self.first_token_s - self.started_s,
            token_gap_s=(self.last_token_s - self.first_token_s) / gap_count,
            tokens=self.token_count,
        )


def request_body(task: Task) -> bytes:
    """Returns the body of a request for the tokens not generated yet."""
    body = dict(task.item.body)
    body["stream"] = task.uses_stream()
    if task.uses_stream():
        body["stream_options"] = {"include_usage": True}
    if task.token_texts:
        body["resume_from"] = len(task.token_texts)
    return msgspec.json.encode(body)


async def run_attempt(
    endpoint_client: endpoint_http.EndpointClient,
    task: Task,
    url: str,
    request_id: str,
    meter: Meter,
) -> Response:
    """Makes one attempt of an item; adds the generated tokens to `task`.

    If the endpoint has other software than the one that generated the tokens
    so far, these are dropped and it generates all of them.

    Raises:
        EndpointError: The endpoint failed or its response is not complete.
    """
    try:
        return await _send(endpoint_client, task, url, request_id, meter)
    except errors.OtherSoftwareError:
        _drop_tokens(task)
        return await _send(endpoint_client, task, url, request_id, meter)


def _drop_tokens(task: Task) -> None:
    """Drops what was generated, so that the next attempt begins anew."""
    task.token_texts.clear()
    task.response_fields.clear()
    task.usage = None


async def _send(
    endpoint_client: endpoint_http.EndpointClient,
    task: Task,
    url: str,
    request_id: str,
    meter: Meter,
) -> Response:
    """Sends an item's request once.

    Raises:
        EndpointError: The endpoint failed or its response is not complete.
        OtherSoftwareError: It has other software than the one before.
    """
    headers = {
        "content-type": "application/json",
        "x-request-id": request_id,
        **traces.headers(),
    }
    exchange = endpoint_client.open(
        "POST", url + task.item.url, headers=headers, body=request_body(task)
    )
    async with exchange as response:
        try:
            if response.status_code != 200 or not task.uses_stream():
                return Response(
                    response.status_code, await endpoint_body.read(response)
                )
            finish_reason = await _receive_events(
                endpoint_body.lines(response), task, meter
            )
        except httpx.HTTPError as error:
            message = f"the endpoint's response was cut off: {error!r}"
            raise errors.TruncatedStreamError(message) from None
    return Response(
        200, msgspec.json.encode(plain_response(task, finish_reason))
    )


async def _receive_events(
    lines: AsyncIterator[str], task: Task, meter: Meter
) -> str:
    """Receives a stream's events; returns the reason why it finished.

    Raises:
        OtherSoftwareError: The first event is from other software than the
            tokens before.
        TruncatedStreamError: The stream ended before the response was
            complete.
    """
    finish_reason: str | None = None
    earlier_count = len(task.token_texts)
    has_event = False
    async for line in lines:
        if not line.startswith("data:"):
            continue
        data = line.removeprefix("data:").strip()
        if data == "[DONE]":
            break
        if earlier_count and not has_event:
            _check_software(task, line)
        has_event = True
        finish_reason = record_event(task, data) or finish_reason
        meter.record_tokens(len(task.token_texts) - earlier_count)
    if finish_reason is None:
        message = "the stream ended before the response was complete"
        raise errors.TruncatedStreamError(message)
    return finish_reason


def _check_software(task: Task, line: str) -> None:
    """Checks the event with which an endpoint continues an item.

    Raises:
        OtherSoftwareError: It is from other software than the tokens before.
    """
    before = task.response_fields.get("system_fingerprint") or ""
    if _attempt.system_fingerprint(line.encode()) != before:
        raise errors.OtherSoftwareError("the endpoint has other software")


def record_event(task: Task, data: str) -> str | None:
    """Records one event of a stream; returns the finish reason, if it has one.

    Raises:
        TruncatedStreamError: The event is malformed or an error.
    """
    try:
        event = msgspec.json.decode(data, type=dict[str, Any])
        choices = event.get("choices") or []
        software = event.get("system_fingerprint")
        if not task.response_fields:
            task.response_fields = {
                key: event.get(key) for key in ("id", "created", "model")
            }
            if software is not None:
                task.response_fields["system_fingerprint"] = software
        task.usage = event.get("usage") or task.usage
        if not choices:
            if "error" in event:
                raise errors.TruncatedStreamError(f"engine error: {data}")
            return None
        choice = choices[0]
        delta = choice.get("delta") or {}
        text = delta.get("content") if task.is_chat() else choice.get("text")
        if text:
            task.token_texts.append(text)
        return choice.get("finish_reason")
    except (msgspec.MsgspecError, AttributeError, KeyError) as error:
        message = f"malformed event from the endpoint: {error}"
        raise errors.TruncatedStreamError(message) from None


def plain_response(task: Task, finish_reason: str) -> dict[str, Any]:
    """Returns the response that the same request gets without a stream."""
    text = "".join(task.token_texts)
    choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
    if task.is_chat():
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    usage = dict(task.usage or {})
    usage["completion_tokens"] = len(task.token_texts)
    object_type = "chat.completion" if task.is_chat() else "text_completion"
    return {
        **task.response_fields,
        "object": object_type,
        "choices": [choice],
        "usage": usage,
    }


def result_line(
    task: Task, status: int, body: bytes, *, error_message: str = ""
) -> bytes:
    """Returns the line of the output or error file for an item."""
    request_id = uuid.uuid4().hex
    response = {
        "status_code": status,
        "request_id": request_id,
        "body": msgspec.Raw(body or b"null"),
    }
    error = (
        {"code": "item_failed", "message": error_message}
        if error_message
        else None
    )
    return msgspec.json.encode(
        {
            "id": f"batch_req_{request_id}",
            "custom_id": task.item.custom_id,
            "response": response,
            "error": error,
        }
    )


def record_failure(task: Task, status: int) -> bool:
    """Counts a failed attempt; returns whether the item has failed for good.

    A status of 0 means that the response was not complete. Such an item runs
    with no other item on the endpoint from then on.
    """
    if status:
        task.refused_attempts += 1
        return (
            task.refused_attempts >= MAX_REFUSED_ATTEMPTS
            or status in NON_RETRYABLE_STATUSES
        )
    task.incomplete_attempts += 1
    task.crash_suspect = True
    return task.incomplete_attempts >= MAX_INCOMPLETE_ATTEMPTS


def record_crash(task: Task) -> float:
    """Counts an attempt whose endpoint crashed.

    The item never fails for that, and needs no endpoint of its own: it is no
    cause of crashes, and is owed until its job ends.

    Returns:
        The seconds to wait before the next attempt.
    """
    task.crashes += 1
    doublings = min(task.crashes - 1, 10)
    return min(MAX_CRASH_PAUSE_S, CRASH_PAUSE_S * 2.0**doublings)
