"""A caller's request on its way through the online pipeline."""

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
    """What a request asks for.

    Attributes:
        kind: `engine` or `service`.
        name: Name of the model or of the plain service.
        path: Path at the endpoint.
        open: Whether no key is needed.
        idempotent: Whether the call may be repeated.
    """

    kind: str
    name: str
    path: str
    allows_anonymous: bool = False
    idempotent: bool = True


@dataclasses.dataclass(slots=True)
class Reply:
    """An endpoint's answer, its body still to be read.

    Attributes:
        upstream_id: The request id that the endpoint's headers name, if any.
    """

    status: int
    headers: dict[str, str]
    body: AsyncIterator[bytes]
    endpoint_request_id: str = ""


@dataclasses.dataclass(slots=True)
class Exchange:
    """One request with all that the filters find out about it.

    Attributes:
        request: The caller's HTTP request.
        body: Its body.
        id: Request id, passed on to the endpoint and to the caller.
        target: What it asks for, once identified.
        organisation: Whose key came with it, once authenticated.
        key_digest: Hash of its key, once authenticated.
        key: The key itself, to be removed before dispatch.
        stream: Whether the caller asked for a stream.
        endpoint: Name of the endpoint that it was dispatched to.
        ran: Whether it ran, as far as known.
        accepted_s: Monotonic time of its arrival.
        prompt: The prompt of a model request, as engines see it.
        tokens: Tokens that a model request generates at most.
        deadline_s: Monotonic time after which the caller does not wait.
        fingerprint: Hash that a resent request has in common.
        admitted_s: Seconds that it waited for tickets.
        closing: Run when the answer has been sent or given up.
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
        """Returns the target; the identify filter has set it."""
        assert self.target is not None
        return self.target


Handler = Callable[[Exchange], Awaitable[Reply]]
Filter = Callable[[Exchange, Handler], Awaitable[Reply]]


def pipeline(*filters: Filter) -> Handler:
    """Joins filters; the last one ignores its `next`."""

    async def end(_exchange: Exchange) -> Reply:
        raise AssertionError("the last filter must answer")

    handler: Handler = end
    for request_filter in reversed(filters):
        handler = _bind(request_filter, handler)
    return handler


def _bind(request_filter: Filter, next_handler: Handler) -> Handler:
    async def run(exchange: Exchange) -> Reply:
        return await request_filter(exchange, next_handler)

    return run
