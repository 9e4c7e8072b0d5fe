"""Requests of callers and the filters of the online pipeline."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses
import math
import uuid

from starlette import requests

from ibisknot import errors


@dataclasses.dataclass(slots=True)
class Target:
    """The model or service that a request is for.

    Attributes:
        kind: `engine` for a model, `service` for a plain service.
        name: Name of the model or of the plain service.
        path: Path at the endpoint.
        allows_anonymous: Whether requests without an API key are allowed.
        idempotent: Whether the request may run more than once.
    """

    kind: str
    name: str
    path: str
    allows_anonymous: bool = False
    idempotent: bool = True


@dataclasses.dataclass(slots=True)
class Reply:
    """An endpoint's response, whose body is yet to be read.

    Attributes:
        status: Status code.
        headers: Headers to send to the caller.
        body: Yields the body in chunks.
    """

    status: int
    headers: dict[str, str]
    body: AsyncIterator[bytes]


@dataclasses.dataclass(slots=True)
class Exchange:
    """One request and what the filters have set on it.

    Attributes:
        request: The caller's HTTP request.
        body: Its body.
        received_s: Monotonic time at which its handling began, before its body
            was read.
        id: Request id, which the endpoint and the caller receive, too.
        target: The model or service that it is for, once identified.
        organisation: Name of the organisation that has its API key, once
            authenticated.
        key_digest: Hash of its API key, once authenticated.
        api_key: Its API key, which is removed before dispatch.
        is_stream: Whether the caller requested a stream.
        endpoint: Name of the endpoint of the last attempt.
        ran: Whether it ran: `not_run`, `ran` or `unknown`.
        prompt: Text of a model request's prompt.
        max_tokens: Limit on the tokens that a model request generates.
        deadline_s: Monotonic time at which the response is due.
        fingerprint: Hash that a request shares with its resends.
        admission_wait_s: Seconds that it waited for tickets.
        cleanup: Callbacks that run when the response has been sent or has
            failed.
    """

    request: requests.Request
    body: bytes
    received_s: float
    id: str = dataclasses.field(default_factory=lambda: uuid.uuid4().hex)
    target: Target | None = None
    organisation: str = ""
    key_digest: str = ""
    api_key: str = ""
    is_stream: bool = False
    endpoint: str = ""
    ran: str = errors.NOT_RUN
    prompt: str = ""
    max_tokens: int = 0
    deadline_s: float = math.inf
    fingerprint: str = ""
    admission_wait_s: float = 0.0
    cleanup: contextlib.AsyncExitStack = dataclasses.field(
        default_factory=contextlib.AsyncExitStack
    )

    def require_target(self) -> Target:
        """Returns the target, which an earlier filter must have set."""
        assert self.target is not None
        return self.target


Handler = Callable[[Exchange], Awaitable[Reply]]
Filter = Callable[[Exchange, Handler], Awaitable[Reply]]
"""Handles a request itself or passes it to the next handler."""


def pipeline(*filters: Filter) -> Handler:
    """Returns a handler that runs filters in order.

    The last filter must not call its next handler.
    """

    async def end(_exchange: Exchange) -> Reply:
        raise AssertionError("the last filter must return a reply")

    handler: Handler = end
    for request_filter in reversed(filters):
        handler = _bind(request_filter, handler)
    return handler


def _bind(request_filter: Filter, next_handler: Handler) -> Handler:
    async def run(exchange: Exchange) -> Reply:
        return await request_filter(exchange, next_handler)

    return run
