"""One attempt to run a model request at an engine, with its measurement."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses

import anyio
import httpx
import msgspec

from ibisknot import admission
from ibisknot import endpoint_body
from ibisknot import errors
from ibisknot import tickets

EVENT_END = b"\n\n"
DONE_LINE = b"data: [DONE]"
"""Last event of a complete stream, without `EVENT_END`."""
FINISH_REASON = b'"finish_reason":"'
"""Part of the event that follows the last token."""


@dataclasses.dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, whose response has started.

    Attributes:
        endpoint: Name of the endpoint.
        url: Base URL of the endpoint.
        ticket: Ticket under which the attempt runs.
        response: The endpoint's response, its body still to be read.
        stack: Holds the connection; closing it cancels the attempt.
        started_s: Monotonic time at which the request was sent.
        first_event_s: Monotonic time of the first event, 0 before.
        last_event_s: Monotonic time of the last event, 0 before.
        event_count: Number of complete events received, except `DONE_LINE`.
        last_event: The last of these events, without `EVENT_END`.
        is_complete: Whether the whole response was received.
        needed_software: System fingerprint of the events that were relayed
            before, or None if there are none.
        software: System fingerprint of this attempt's events; empty if they
            name none.
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
    needed_software: str | None = None
    software: str = ""

    def token_count(self) -> int:
        """Returns the number of tokens received."""
        if self.event_count and FINISH_REASON in self.last_event:
            return self.event_count - 1
        return self.event_count

    def has_finish_reason(self) -> bool:
        """Returns whether the event after the last token was received."""
        return FINISH_REASON in self.last_event


def measure(attempt: Attempt, outcome: str) -> tickets.Measurement:
    """Returns the measurement of an attempt that ended with an outcome."""
    gap_count = attempt.token_count() - 1
    token_gap_s = 0.0
    if gap_count > 0:
        token_gap_s = (attempt.last_event_s - attempt.first_event_s) / gap_count
    first_token_s = max(0.0, attempt.first_event_s - attempt.started_s)
    return tickets.Measurement(
        outcome=outcome,
        first_token_s=first_token_s,
        token_gap_s=token_gap_s,
        tokens=attempt.token_count(),
    )


async def read_complete_events(
    attempt: Attempt, request_id: str
) -> AsyncIterator[bytes]:
    """Yields complete server-sent events as they arrive.

    An incomplete event at the end of a truncated stream is not yielded, so
    that a resumed stream continues at the start of an event.

    Raises:
        EndpointError: The response belongs to another request.
        OtherSoftwareError: The engine has other software than the one that
            began the stream.
        TruncatedStreamError: The stream was truncated, or an event has no end.
    """
    incomplete_event = b""
    try:
        async for chunk in attempt.response.aiter_raw():
            data = incomplete_event + chunk
            end_index = data.rfind(EVENT_END) + len(EVENT_END)
            if end_index < len(EVENT_END):
                endpoint_body.check_size(
                    len(data), endpoint_body.MAX_EVENT_BYTES
                )
                incomplete_event = data
                continue
            complete_events, incomplete_event = (
                data[:end_index],
                data[end_index:],
            )
            if not attempt.event_count:
                check_request_id(complete_events, request_id)
                _check_software(attempt, complete_events)
            _record_events(attempt, complete_events)
            yield complete_events
            if attempt.is_complete:
                return
    except httpx.HTTPError as error:
        message = f"the endpoint's response was truncated: {error!r}"
        raise errors.TruncatedStreamError(message) from None
    raise errors.TruncatedStreamError("the endpoint's stream was truncated")


def _record_events(attempt: Attempt, data: bytes) -> None:
    """Records complete events in the attempt."""
    now = anyio.current_time()
    events = data.split(EVENT_END)[:-1]
    attempt.first_event_s = attempt.first_event_s or now
    if events[-1].startswith(DONE_LINE):
        attempt.is_complete = True
        del events[-1]
    if events:
        attempt.event_count += len(events)
        attempt.last_event = events[-1]
        attempt.last_event_s = now


def _check_software(attempt: Attempt, events: bytes) -> None:
    """Checks that the engine may continue the stream.

    Engines do not check it, and what two versions write does not fit together.

    Raises:
        OtherSoftwareError: It has other software than the one before.
    """
    attempt.software = system_fingerprint(events)
    if attempt.needed_software not in (None, attempt.software):
        raise errors.OtherSoftwareError(
            f"{attempt.endpoint} has software {attempt.software!r}, "
            f"not {attempt.needed_software!r}"
        )


class _Event(msgspec.Struct):
    system_fingerprint: str | None = None


def system_fingerprint(events: bytes) -> str:
    r"""Returns the system fingerprint of the first event, empty without one.

    >>> system_fingerprint(b'data: {"system_fingerprint":"fp_1"}\n\n')
    'fp_1'
    >>> system_fingerprint(b"data: [DONE]\n\n")
    ''
    """
    data = events.partition(EVENT_END)[0].removeprefix(b"data:").strip()
    try:
        event = msgspec.json.decode(data, type=_Event)
    except msgspec.MsgspecError:
        return ""
    return event.system_fingerprint or ""


def check_request_id(response: bytes, request_id: str) -> None:
    """Checks that a response contains the id of its request.

    Raises:
        EndpointError: The response belongs to another request.
    """
    if request_id.encode() not in response:
        raise errors.EndpointError("the response belongs to another request")


async def read_complete_response(attempt: Attempt, request_id: str) -> bytes:
    """Reads a response that is not a stream to its end and checks it.

    Raises:
        EndpointError: The response belongs to another request.
        TruncatedStreamError: The response was truncated, is too large or is
            not valid JSON.
    """
    try:
        body = await endpoint_body.read(attempt.response)
    except httpx.HTTPError as error:
        message = f"the endpoint's response was truncated: {error!r}"
        raise errors.TruncatedStreamError(message) from None
    check_request_id(body, request_id)
    try:
        msgspec.json.decode(body, type=msgspec.Raw)
    except msgspec.MsgspecError as error:
        message = f"the endpoint's response is not complete: {error}"
        raise errors.TruncatedStreamError(message) from None
    attempt.is_complete = True
    return body


def failure_outcome(error: errors.EndpointError, *, crashed: bool) -> str:
    """Returns the outcome of a failed attempt.

    Args:
        error: Error that ended the attempt.
        crashed: Whether the endpoint crashed.
    """
    if crashed:
        return admission.CRASHED
    if error.ran == errors.NOT_RUN:
        return admission.UNREACHABLE
    return admission.FAILED
