"""Sends an endpoint's answer to the caller and checks that it is whole."""

from collections.abc import AsyncIterator

import anyio
import msgspec
from starlette import responses
from starlette import types

from ibisknot import errors
from ibisknot import exchange as exchange_module
from ibisknot import web

DONE = b"data: [DONE]"
EVENT_STREAM = "text/event-stream"


def is_event_stream(reply: exchange_module.Reply) -> bool:
    """Returns whether a reply is a stream of server-sent events."""
    return reply.headers.get("content-type", "").startswith(EVENT_STREAM)


async def checked_events(
    body: AsyncIterator[bytes], request_id: str
) -> AsyncIterator[bytes]:
    """Passes an event stream on; ends it with an error when cut short."""
    tail = b""
    error: errors.IbisknotError | None = None
    try:
        async for chunk in body:
            tail = (tail + chunk)[-64:]
            yield chunk
    except errors.IbisknotError as caught:
        error = caught
    if DONE in tail:
        return
    if error is None:
        error = errors.TruncatedStreamError("the endpoint's stream was cut")
    body_json = msgspec.json.encode(web.error_body(error, request_id))
    yield b"\n\ndata: " + body_json + b"\n\n"


class RelayedResponse(responses.Response):
    """Streams a reply; gives the work up when the caller disconnects."""

    def __init__(
        self, exchange: exchange_module.Exchange, reply: exchange_module.Reply
    ) -> None:
        super().__init__(status_code=reply.status, headers=reply.headers)
        self.exchange = exchange
        self.reply = reply

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Sends the reply as an ASGI application."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._watch, receive, group.cancel_scope)
                await self._send(send)
                group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await self.exchange.closing.aclose()

    async def _watch(
        self, receive: types.Receive, scope: anyio.CancelScope
    ) -> None:
        while (await receive())["type"] != "http.disconnect":
            pass
        scope.cancel()

    async def _send(self, send: types.Send) -> None:
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
