"""What a gateway keeps of one request while it forwards it."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection
import dataclasses

from ibisknot import crashes
from ibisknot import event_stream
from ibisknot import http11
from ibisknot import http_response
from ibisknot import http_server
from ibisknot import logs
from ibisknot import request_metadata
from ibisknot import serving
from ibisknot import stream_origins
from ibisknot import ticket_types

MIN_STALL_TIMEOUT_S = 1.6
"""Time without progress after which a retry at another endpoint begins.

A sound endpoint may be silent for a second.
"""
STALL_GAPS = 2.0
"""A stream is stalled after this many of its longest intended pauses."""
EVENT_STREAM = "text/event-stream"
FINGERPRINT_DIGITS = 15
"""Hexadecimal digits of a fingerprint that fit into a signed integer."""

FindOrigin = Callable[[str, Collection[str]], Awaitable[stream_origins.Origin]]
"""Finds the software that began a stream, by the stream's id and the services
that may have begun it; raises UnavailableError if it cannot be told."""


@dataclasses.dataclass(slots=True, frozen=True)
class Dialect:
    """How a platform's headers encode metadata; an adapter defines it.

    Attributes:
        decode_metadata: Decodes the metadata in a caller's headers.
        encode_headers: Returns the headers of the request to an endpoint from
            the caller's headers and the metadata to set.
        is_response_to: Returns whether a response with these headers belongs
            to the request with this id.
        says_not_run: Returns whether a response with this status and these
            headers states that the endpoint has not run the request.
        error_headers: Returns the headers of an error response from the
            seconds after which the caller may retry, or None.
        says_leaving: Returns whether the endpoint of a response is about to
            leave.
        is_from_endpoint: Returns whether a response, by its status and
            headers, can be that of an endpoint.
        own_response_headers: Names, in lower case, of headers that endpoints
            send for this system only; callers do not get them.
        request_limit: Returns the requests a second that the endpoint of a
            response takes of all processes together; infinite without a
            limit, None if it is malformed.
    """

    decode_metadata: Callable[[http11.Headers], request_metadata.CallerMetadata]
    encode_headers: Callable[
        [http11.Headers, request_metadata.EndpointMetadata], http11.Headers
    ]
    is_response_to: Callable[[str, http11.Headers], bool]
    says_not_run: Callable[[int, http11.Headers], bool]
    error_headers: Callable[[float | None], http11.Headers]
    request_limit: Callable[[http11.Headers], float | None]
    says_leaving: Callable[[http11.Headers], bool]
    is_from_endpoint: Callable[[int, http11.Headers], bool]
    own_response_headers: frozenset[bytes]


@dataclasses.dataclass(slots=True)
class Task:
    """One request to forward and its progress.

    Attributes:
        exchange: The request, and the means to respond to its caller.
        metadata: Metadata that the caller sent.
        route: Route of the request, which limits its time and attempts.
        organisation: Organisation whose rate applies, or None.
        service: Name of the service whose endpoints may run it.
        deadline_s: Monotonic time at which the complete response is due.
        caller_deadline_s: Monotonic time of the deadline that the caller
            stated, or None.
        runs: Number of attempts that ran or may have run.
        attempts: Number of all attempts.
        lost_paths: Number of attempts that found no path to an endpoint.
        failed_endpoints: Names of the endpoints at which an attempt failed.
        last_event_id: Id of the last event that the caller has, or None.
        has_relayed_event: Whether an event was relayed to the caller.
        software_version: Version of the software that began the stream; None
            before an event of a resumable stream has reached the caller.
        splitter: Splits the current attempt's response into events if the
            stream is resumable.
        boundary: Says where the current attempt's stream stands.
        content_hash: The fingerprint, once it was computed.
    """

    exchange: http_server.Exchange
    metadata: request_metadata.CallerMetadata
    route: serving.Route
    organisation: serving.Organisation | None
    service: str
    deadline_s: float
    caller_deadline_s: float | None
    runs: int = 0
    attempts: int = 0
    lost_paths: int = 0
    failed_endpoints: set[str] = dataclasses.field(default_factory=set)
    last_event_id: int | None = None
    has_relayed_event: bool = False
    software_version: str | None = None
    splitter: event_stream.Splitter = dataclasses.field(
        default_factory=event_stream.Splitter
    )
    boundary: event_stream.Boundary = dataclasses.field(
        default_factory=event_stream.Boundary
    )
    content_hash: str = ""


def is_resumed_by_caller(task: Task) -> bool:
    """Returns whether the caller has had events of the stream before."""
    return task.route.resumable and bool(task.metadata.last_event_id)


def stream_id(task: Task) -> str:
    """Returns the id by which the stream may be resumed later, or nothing."""
    if not task.route.resumable:
        return ""
    if is_resumed_by_caller(task):
        return task.metadata.resumed_id
    return task.metadata.id


def fingerprint(task: Task) -> str:
    """Returns a hash that a request and its resends have in common."""
    if not task.content_hash:
        request = task.exchange.request
        organisation_name = task.organisation.name if task.organisation else ""
        content = request.target + b"\n" + request.body
        task.content_hash = crashes.request_fingerprint(
            "online", organisation_name, content
        )
    return task.content_hash


def caller_remaining_s(task: Task, now: float) -> float | None:
    """Returns the seconds that are left if the caller set a deadline."""
    if task.caller_deadline_s is None:
        return None
    return min(task.caller_deadline_s, task.deadline_s) - now


def log_continued(task: Task, ticket: ticket_types.Ticket) -> None:
    """Logs where a stream goes on, and what it has failed at before."""
    logs.event(
        "stream_continued",
        request=task.metadata.id,
        resumes=task.metadata.resumed_id,
        endpoint=ticket.endpoint.name,
        software=ticket.endpoint.software_version,
        failed=sorted(task.failed_endpoints),
        last_event=task.last_event_id,
    )


def fingerprint_number(task: Task) -> int:
    """Returns the fingerprint as a number for messages."""
    return int(fingerprint(task)[:FINGERPRINT_DIGITS], 16)


def stall_timeout_s(route: serving.Route) -> float:
    """Returns the seconds without progress after which a stream is stalled.

    >>> import dataclasses
    >>> route = serving.Route("r", "h", "/", serving.STREAM, ())
    >>> stall_timeout_s(route)
    1.6
    >>> stall_timeout_s(dataclasses.replace(route, event_gap_target_s=2.0))
    4.0
    """
    return max(MIN_STALL_TIMEOUT_S, STALL_GAPS * route.event_gap_target_s)


def is_event_stream(response: http_response.Response) -> bool:
    """Returns whether a response is a stream of events."""
    content_type = response.get_header(b"content-type") or ""
    media_type = content_type.partition(";")[0].strip().lower()
    return response.status == 200 and media_type == EVENT_STREAM
