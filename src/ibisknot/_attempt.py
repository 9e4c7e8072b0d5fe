"""One try of a request at one endpoint, with what it measures."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses

import anyio
import httpx
import msgspec

from ibisknot import admission
from ibisknot import errors
from ibisknot import tickets

EVENT_END = b"\n\n"
DONE_LINE = b"data: [DONE]"
FINISH_REASON = b'"finish_reason":"'


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One try.

    Attributes:
        stack: Holds the connection; closing it cancels the try.
        first_s: Monotonic time of the first event, 0 before.
        last_s: Monotonic time of the last event.
        events: Complete events that came.
        last: The last complete event.
        done: Whether the stream came to its end.
        released: Whether the ticket was given back.
    """

    endpoint: str
    url: str
    ticket: tickets.Ticket
    response: httpx.Response
    stack: contextlib.AsyncExitStack
    started_s: float
    first_event_s: float = 0.0
    last_event_s: float = 0.0
    event_count: int = 0
    last_event: bytes = b""
    is_complete: bool = False
    released: bool = False

    def token_count(self) -> int:
        """Returns the tokens among the complete events."""
        if self.event_count and FINISH_REASON in self.last_event:
            return self.event_count - 1
        return self.event_count

    def has_finish_reason(self) -> bool:
        """Returns whether the event after the last token has come."""
        return FINISH_REASON in self.last_event


def measure(attempt: Attempt, outcome: str) -> tickets.Measurement:
    """Returns what a try measured."""
    gaps = attempt.token_count() - 1
    gap_s = 0.0
    if gaps > 0:
        gap_s = (attempt.last_event_s - attempt.first_event_s) / gaps
    first_s = max(0.0, attempt.first_event_s - attempt.started_s)
    return tickets.Measurement(
        outcome=outcome,
        first_token_s=first_s,
        token_gap_s=gap_s,
        tokens=attempt.token_count(),
    )


async def relay_complete_events(
    attempt: Attempt, request_id: str
) -> AsyncIterator[bytes]:
    """Yields complete server-sent events as they came.

    A part of an event that the endpoint did not complete is not passed on,
    so that a resumed stream continues at an event's start.

    Raises:
        EndpointError: The answer belongs to another request.
        TruncatedStreamError: The stream was cut.
    """
    rest = b""
    try:
        async for chunk in attempt.response.aiter_raw():
            data = rest + chunk
            end = data.rfind(EVENT_END) + len(EVENT_END)
            if end < len(EVENT_END):
                rest = data
                continue
            part, rest = data[:end], data[end:]
            if not attempt.event_count:
                check_request_id(part, request_id)
            _record_events(attempt, part)
            yield part
            if attempt.is_complete:
                return
    except httpx.HTTPError as error:
        message = f"the endpoint's answer was cut: {error!r}"
        raise errors.TruncatedStreamError(message) from None
    raise errors.TruncatedStreamError("the endpoint's stream was cut")


def _record_events(attempt: Attempt, part: bytes) -> None:
    now = anyio.current_time()
    events = part.split(EVENT_END)[:-1]
    attempt.first_event_s = attempt.first_event_s or now
    if events[-1].startswith(DONE_LINE):
        attempt.is_complete = True
        del events[-1]
    if events:
        attempt.event_count += len(events)
        attempt.last_event = events[-1]
        attempt.last_event_s = now


def check_request_id(part: bytes, request_id: str) -> None:
    """Checks that an answer carries the id of its request.

    Raises:
        EndpointError: It is the answer to another request.
    """
    if request_id.encode() not in part:
        raise errors.EndpointError("the answer belongs to another request")


async def read_complete_answer(attempt: Attempt, request_id: str) -> bytes:
    """Reads a plain answer to its end and checks it.

    Raises:
        EndpointError: The answer belongs to another request or is no JSON.
        TruncatedStreamError: The answer was cut.
    """
    try:
        body = await attempt.response.aread()
    except httpx.HTTPError as error:
        message = f"the endpoint's answer was cut: {error!r}"
        raise errors.TruncatedStreamError(message) from None
    check_request_id(body, request_id)
    try:
        msgspec.json.decode(body, type=msgspec.Raw)
    except msgspec.MsgspecError as error:
        message = f"the endpoint's answer is not whole: {error}"
        raise errors.TruncatedStreamError(message) from None
    attempt.is_complete = True
    return body


def failure_outcome(error: errors.EndpointError, *, crashed: bool) -> str:
    """Returns the outcome to report for a failed try."""
    if crashed:
        return admission.CRASHED
    if error.ran == errors.NOT_RUN:
        return admission.UNREACHABLE
    return admission.FAILED
