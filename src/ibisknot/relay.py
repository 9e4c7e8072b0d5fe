"""Sends endpoints' replies to callers and checks that they are complete."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from typing import TypeVar

import anyio
import msgspec
from starlette import responses
from starlette import types

from ibisknot import endpoint_body
from ibisknot import errors
from ibisknot import exchange as exchange_module
from ibisknot import web

DONE_EVENT = b"data: [DONE]"
"""Last event of a complete stream."""
EVENT_STREAM = "text/event-stream"

T = TypeVar("T")
Guard = Callable[[], Awaitable[errors.IbisknotError]]
"""Waits until a request must end and returns the error that ends it."""


def is_event_stream(reply: exchange_module.Reply) -> bool:
    """Returns whether a reply is a stream of server-sent events."""
    return reply.headers.get("content-type", "").startswith(EVENT_STREAM)


async def checked_events(
    body: AsyncIterator[bytes], request_id: str
) -> AsyncIterator[bytes]:
    """Yields an event stream; adds an error event if it is incomplete."""
    tail = b""
    error: errors.IbisknotError | None = None
    try:
        async for chunk in body:
            tail = (tail + chunk)[-64:]
            yield chunk
    except errors.IbisknotError as caught:
        error = caught
    if DONE_EVENT in tail:
        return
    if error is None:
        error = errors.TruncatedStreamError(
            "the endpoint's stream is incomplete"
        )
    yield error_event(error, request_id)


def error_event(error: errors.IbisknotError, request_id: str) -> bytes:
    """Returns the event that reports an error at the end of a stream."""
    body = msgspec.json.encode(web.error_body(error, request_id))
    return b"\n\ndata: " + body + b"\n\n"


async def single_chunk(body: bytes) -> AsyncIterator[bytes]:
    """Yields a complete body as a single chunk."""
    yield body


async def read_complete(body: AsyncIterator[bytes]) -> bytes:
    """Returns a complete body that is not a stream of events.

    Raises:
        EndpointError: The body is incomplete or larger than
            `endpoint_body.MAX_BODY_BYTES`.
    """
    chunks = []
    size = 0
    async for chunk in body:
        size += len(chunk)
        endpoint_body.check_size(size, endpoint_body.MAX_BODY_BYTES)
        chunks.append(chunk)
    return b"".join(chunks)


async def run_guarded(
    work: Callable[[], Awaitable[T]], guards: Iterable[Guard]
) -> T:
    """Runs `work` and cancels it when a guard returns an error.

    Raises:
        IbisknotError: The error of the first guard that returned one, or that
            of `work`.
    """
    results: list[T] = []
    failures: list[errors.IbisknotError] = []

    async def watch(guard: Guard) -> None:
        failures.append(await guard())
        task_group.cancel_scope.cancel()

    async with anyio.create_task_group() as task_group:
        for guard in guards:
            task_group.start_soon(watch, guard)
        try:
            results.append(await work())
        except errors.IbisknotError as error:
            failures.append(error)
        task_group.cancel_scope.cancel()
    if results:
        return results[0]
    raise failures[0]


async def wait_for_disconnect(receive: types.Receive) -> errors.IbisknotError:
    """Guard that returns an error when the caller has disconnected."""
    while (await receive())["type"] != "http.disconnect":
        pass
    return errors.CallerGoneError("the caller closed the connection")


class RelayedResponse(responses.Response):
    """ASGI response that streams a reply until a guard returns an error.

    Attributes:
        exchange: The request; its `cleanup` runs when the response ends.
        reply: The reply to send.
        guards: Guards that end it, besides the one for the caller's
            disconnection.
    """

    def __init__(
        self,
        exchange: exchange_module.Exchange,
        reply: exchange_module.Reply,
        guards: Iterable[Guard] = (),
    ) -> None:
        super().__init__(status_code=reply.status, headers=reply.headers)
        self.exchange = exchange
        self.reply = reply
        self.guards = list(guards)

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Sends the reply as an ASGI application."""

        async def disconnected() -> errors.IbisknotError:
            return await wait_for_disconnect(receive)

        async def send_reply() -> None:
            await self._send_reply(send)

        try:
            await run_guarded(send_reply, [disconnected, *self.guards])
        except errors.CallerGoneError:
            pass
        except errors.IbisknotError as error:
            await self._send_error(send, error)
        finally:
            with anyio.CancelScope(shield=True):
                await self.exchange.cleanup.aclose()

    async def _send_reply(self, send: types.Send) -> None:
        headers = [
            (name.encode(), value.encode())
            for name, value in self.reply.headers.items()
        ]
        await send(
            {
                "type": "http.response.start",
                "status": self.reply.status,
                "headers": headers,
            }
        )
        async for chunk in self.reply.body:
            await send(
                {"type": "http.response.body", "body": chunk, "more_body": True}
            )
        await send({"type": "http.response.body", "body": b""})

    async def _send_error(
        self, send: types.Send, error: errors.IbisknotError
    ) -> None:
        """Ends an event stream with an error event.

        Raises:
            IbisknotError: Another response cannot carry an error; the server
                closes the connection, so that it is incomplete.
        """
        if not is_event_stream(self.reply):
            raise error
        chunk = error_event(error, self.exchange.id)
        await send({"type": "http.response.body", "body": chunk})
