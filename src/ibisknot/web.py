"""Common parts of the HTTP programs: serving, request bodies and errors."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import math
import signal
import socket
import ssl
from typing import Any
from typing import TypeVar

import anyio
from hypercorn import asyncio as hypercorn_asyncio
from hypercorn import config as hypercorn_config
import msgspec
from starlette import applications
from starlette import exceptions
from starlette import requests
from starlette import responses
from starlette import routing
from starlette import types

from ibisknot import errors
from ibisknot import logs
from ibisknot import settings
from ibisknot import traces

JSON_MEDIA_TYPE = "application/json"
MAX_HEADER_BYTES = 64 * 1024
"""Limit on the size of all headers of a request."""
SEND_TIMEOUT_S = 30.0
"""Time that a caller may leave a part of its response unread."""
IDLE_TIMEOUT_S = 75.0
"""Time that a connection may stay without a complete request head."""
CLOSE_TIMEOUT_S = 2.0
"""Time for connections to close after their requests have ended."""
Handler = Callable[[requests.Request], Awaitable[responses.Response]]
T = TypeVar("T")


def json_response(
    value: Any,
    *,
    status: int = 200,
    headers: dict[str, str] | None = None,
) -> responses.Response:
    """Returns a JSON response."""
    body = msgspec.json.encode(value)
    return responses.Response(
        body, status_code=status, media_type=JSON_MEDIA_TYPE, headers=headers
    )


def error_body(
    error: errors.IbisknotError, request_id: str = ""
) -> dict[str, Any]:
    """Returns the body of an error response."""
    return {
        "error": {
            "message": error.message,
            "type": type(error).__name__,
            "code": error.code,
            "ran": error.ran,
            "request_id": request_id,
        }
    }


def error_response(
    error: errors.IbisknotError, request_id: str = ""
) -> responses.Response:
    """Returns the response for an error."""
    headers = {"x-request-id": request_id} if request_id else {}
    if error.retry_after_s is not None:
        headers["retry-after"] = str(max(1, round(error.retry_after_s)))
    if error.status == 401:
        headers["www-authenticate"] = "Bearer"
    return json_response(
        error_body(error, request_id), status=error.status, headers=headers
    )


async def read_body(
    request: requests.Request, *, max_bytes: int, timeout_s: float
) -> bytes:
    """Returns a request's body.

    Args:
        request: The request.
        max_bytes: Largest size of the body.
        timeout_s: Seconds to receive the body.

    Raises:
        BodyTooLargeError: The body is too large.
        RequestTimeoutError: The body was not received in time.
        BadRequestError: The caller closed the connection.
    """
    chunks: list[bytes] = []
    size = 0
    try:
        with anyio.fail_after(timeout_s):
            async for chunk in request.stream():
                size += len(chunk)
                if size > max_bytes:
                    message = f"the body is over {max_bytes} bytes"
                    raise errors.BodyTooLargeError(message)
                chunks.append(chunk)
    except TimeoutError:
        message = f"the body did not arrive within {timeout_s:g} s"
        raise errors.RequestTimeoutError(message) from None
    except requests.ClientDisconnect:
        raise errors.BadRequestError(
            "the caller closed the connection before the end of the body"
        ) from None
    return b"".join(chunks)


def decode_body(body: bytes, kind: type[T]) -> T:
    """Decodes a JSON body.

    Raises:
        BadRequestError: The body is not JSON of this type.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        message = f"the body is not valid: {error}"
        raise errors.BadRequestError(message) from None


async def _on_error(
    _request: requests.Request, error: Exception
) -> responses.Response:
    """Returns the response for an error that a handler raised."""
    if isinstance(error, errors.IbisknotError):
        return error_response(error)
    if isinstance(error, exceptions.HTTPException):
        if error.status_code == 405:
            return error_response(
                errors.MethodNotAllowedError("method not allowed")
            )
        if error.status_code == 404:
            return error_response(errors.NotFoundError("no such path"))
        return error_response(errors.BadRequestError(str(error.detail)))
    logs.event("handler_failed", level="error", error=repr(error))
    return error_response(errors.IbisknotError("internal error"))


def make_application(routes: list[routing.BaseRoute]) -> applications.Starlette:
    """Returns an application that responds to every error with its code."""
    return applications.Starlette(
        routes=routes,
        exception_handlers={
            errors.IbisknotError: _on_error,
            exceptions.HTTPException: _on_error,
            Exception: _on_error,
        },
    )


class ServerConfig(hypercorn_config.Config):
    """Server configuration with a time limit on unread responses.

    Attributes:
        tls_context: The context for HTTPS, which its owner may reload.
        unread_timeout_s: Seconds that sent data may stay unacknowledged.
    """

    tls_context: ssl.SSLContext | None = None

    def create_ssl_context(self) -> ssl.SSLContext | None:
        """Returns the context for HTTPS."""
        return self.tls_context or super().create_ssl_context()

    unread_timeout_s = SEND_TIMEOUT_S

    def create_sockets(self) -> hypercorn_config.Sockets:
        """Creates the listeners; accepted connections inherit the limit."""
        sockets = super().create_sockets()
        timeout_ms = int(self.unread_timeout_s * 1000)
        for listener in [*sockets.secure_sockets, *sockets.insecure_sockets]:
            listener.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
            )
        return sockets


@dataclasses.dataclass(slots=True)
class OpenRequest:
    """A request that is being handled.

    Attributes:
        cancel_scope: Cancels its handler.
        blocked_since_s: Monotonic time since which sending waits for the
            caller; infinite while it does not wait.
    """

    cancel_scope: anyio.CancelScope
    blocked_since_s: float = math.inf


class LimitMiddleware:
    """ASGI wrapper that limits headers and unread responses, and opens spans.

    hypercorn cancels whole connections at the end of its own timeout, which
    asyncio reports with a stack trace. Cancelling the requests first avoids
    that.

    Attributes:
        app: The wrapped application.
        send_timeout_s: Seconds that a caller may leave a part of its response
            unread.
        open_requests: Requests that are being handled, by `id()` of the value.
    """

    def __init__(
        self, app: types.ASGIApp, *, send_timeout_s: float = SEND_TIMEOUT_S
    ) -> None:
        self.app = app
        self.send_timeout_s = send_timeout_s
        self.open_requests: dict[int, OpenRequest] = {}

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Handles one ASGI connection; WebSocket connections are refused."""
        if scope["type"] == "lifespan":
            await self.app(scope, receive, send)
        elif scope["type"] == "http":
            await self._handle_request(scope, receive, send)

    async def _handle_request(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        size = sum(len(n) + len(v) for n, v in scope["headers"])
        if size > MAX_HEADER_BYTES:
            message = f"the headers are over {MAX_HEADER_BYTES} bytes"
            error = errors.HeadersTooLargeError(message)
            await error_response(error)(scope, receive, send)
            return
        with anyio.CancelScope() as cancel_scope:
            request = OpenRequest(cancel_scope)
            self.open_requests[id(request)] = request

            async def timed_send(message: types.Message) -> None:
                request.blocked_since_s = anyio.current_time()
                await send(message)
                request.blocked_since_s = math.inf

            try:
                with traces.server_span(scope):
                    await self.app(scope, receive, timed_send)
            finally:
                del self.open_requests[id(request)]

    def cancel_requests(self) -> None:
        """Cancels the open requests; their connections close."""
        for request in list(self.open_requests.values()):
            request.cancel_scope.cancel()

    def cancel_blocked(self, now: float) -> None:
        """Cancels requests whose caller has read nothing for too long.

        Args:
            now: The monotonic time.
        """
        for request in list(self.open_requests.values()):
            if now - request.blocked_since_s > self.send_timeout_s:
                logs.event("caller_does_not_read", level="warning")
                request.cancel_scope.cancel()

    async def watch_for_blocked(self) -> None:
        """Calls `cancel_blocked` periodically until cancelled."""
        while True:
            await anyio.sleep(self.send_timeout_s / 4)
            self.cancel_blocked(anyio.current_time())


async def serve(
    app: applications.Starlette,
    *,
    address: str,
    port: int,
    stop: anyio.Event,
    tls: settings.Tls | None = None,
    tls_context: ssl.SSLContext | None = None,
    drain_timeout_s: float = 60.0,
    idle_timeout_s: float = IDLE_TIMEOUT_S,
    send_timeout_s: float = SEND_TIMEOUT_S,
) -> None:
    """Serves HTTP until `stop` is set and the open requests have ended.

    Args:
        app: The application.
        address: The IP address to listen on.
        port: The port to listen on.
        stop: Set to stop listening.
        tls: Paths of the certificate and its key, for HTTPS.
        tls_context: The context with the certificate, for HTTPS.
        drain_timeout_s: Seconds for open requests to end after `stop`.
        idle_timeout_s: Seconds that a connection may stay without a complete
            request head.
        send_timeout_s: Seconds that a caller may leave a part of its response
            unread.
    """
    config = ServerConfig()
    config.bind = [f"{address}:{port}"]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = drain_timeout_s + CLOSE_TIMEOUT_S
    config.shutdown_timeout = drain_timeout_s + CLOSE_TIMEOUT_S
    config.keep_alive_timeout = idle_timeout_s
    config.read_timeout = None
    config.h11_max_incomplete_size = 2 * MAX_HEADER_BYTES
    if tls is not None:
        config.certfile = tls.certificate
        config.keyfile = tls.private_key
        config.tls_context = tls_context
    config.unread_timeout_s = send_timeout_s
    middleware = LimitMiddleware(app, send_timeout_s=send_timeout_s)

    async def run() -> None:
        await hypercorn_asyncio.serve(
            middleware,  # type: ignore[arg-type]
            config,
            shutdown_trigger=stop.wait,
            mode="asgi",
        )

    async def cancel_after_drain() -> None:
        await stop.wait()
        await anyio.sleep(drain_timeout_s)
        middleware.cancel_requests()

    # hypercorn leaves a pending cancellation on its task at shutdown, so it
    # runs in a separate task.
    async with anyio.create_task_group() as watchdogs:
        watchdogs.start_soon(cancel_after_drain)
        watchdogs.start_soon(middleware.watch_for_blocked)
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(run)
        watchdogs.cancel_scope.cancel()


async def stop_on_signal(stop: anyio.Event) -> None:
    """Sets `stop` at the first SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for received in signals:
            logs.event("shutdown_requested", signal=received.name)
            stop.set()
            return
