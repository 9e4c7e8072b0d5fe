"""HTTP plumbing shared by the programs: serving, bodies and error answers."""

from collections.abc import Awaitable
from collections.abc import Callable
import signal
import socket
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

JSON = "application/json"
MAXIMUM_HEADER_BYTES = 64 * 1024
UNREAD_TIMEOUT_S = 30.0
"""Seconds after which a connection ends whose caller does not read."""
CLOSE_TIMEOUT_S = 2.0
"""Seconds for connections to close once their requests have ended."""
Handler = Callable[[requests.Request], Awaitable[responses.Response]]
T = TypeVar("T")


def json_response(
    value: Any,
    *,
    status: int = 200,
    headers: dict[str, str] | None = None,
) -> responses.Response:
    """Returns a JSON answer."""
    body = msgspec.json.encode(value)
    return responses.Response(
        body, status_code=status, media_type=JSON, headers=headers
    )


def error_body(
    error: errors.IbisknotError, request_id: str = ""
) -> dict[str, Any]:
    """Returns the body of an error answer."""
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
    """Returns the answer for an error."""
    headers = {"x-request-id": request_id} if request_id else {}
    if error.retry_after_s is not None:
        headers["retry-after"] = str(max(1, round(error.retry_after_s)))
    if error.status == 401:
        headers["www-authenticate"] = "Bearer"
    return json_response(
        error_body(error, request_id), status=error.status, headers=headers
    )


async def read_body(
    request: requests.Request, *, limit: int, timeout_s: float
) -> bytes:
    """Reads a request's body within bounds of size and time.

    Raises:
        BodyTooLargeError: The body is over the limit.
        RequestTimeoutError: The caller sent too slowly.
        BadRequestError: The caller closed the connection.
    """
    chunks: list[bytes] = []
    size = 0
    try:
        with anyio.fail_after(timeout_s):
            async for chunk in request.stream():
                size += len(chunk)
                if size > limit:
                    message = f"the body is over {limit} bytes"
                    raise errors.BodyTooLargeError(message)
                chunks.append(chunk)
    except TimeoutError:
        message = f"the body did not arrive within {timeout_s:g} s"
        raise errors.RequestTimeoutError(message) from None
    except requests.ClientDisconnect:
        raise errors.BadRequestError("the caller closed early") from None
    return b"".join(chunks)


def decode_body(body: bytes, kind: type[T]) -> T:
    """Decodes a JSON body.

    Raises:
        BadRequestError: The body is no JSON of this type.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        message = f"the body is not valid: {error}"
        raise errors.BadRequestError(message) from None


async def _on_error(
    _request: requests.Request, error: Exception
) -> responses.Response:
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


def application(routes: list[routing.BaseRoute]) -> applications.Starlette:
    """Returns an application whose errors all have typed answers."""
    return applications.Starlette(
        routes=routes,
        exception_handlers={
            errors.IbisknotError: _on_error,
            exceptions.HTTPException: _on_error,
            Exception: _on_error,
        },
    )


class ServerConfig(hypercorn_config.Config):
    """Server configuration that bounds how long written bytes may wait."""

    def create_sockets(self) -> hypercorn_config.Sockets:
        """Creates the listeners; accepted connections inherit the bound."""
        sockets = super().create_sockets()
        timeout_ms = int(UNREAD_TIMEOUT_S * 1000)
        for one in [*sockets.secure_sockets, *sockets.insecure_sockets]:
            one.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms
            )
        return sockets


class Edge:
    """ASGI wrapper that bounds headers and ends requests at shutdown.

    hypercorn cancels whole connections at the end of its own timeout, which
    asyncio reports with a stack trace; ending the requests first avoids that.
    """

    def __init__(self, app: types.ASGIApp) -> None:
        self.app = app
        self.scopes: set[anyio.CancelScope] = set()

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Runs one request."""
        if scope["type"] != "http":
            if scope["type"] == "lifespan":
                await self.app(scope, receive, send)
            return
        size = sum(len(n) + len(v) for n, v in scope["headers"])
        if size > MAXIMUM_HEADER_BYTES:
            message = f"the headers are over {MAXIMUM_HEADER_BYTES} bytes"
            error = errors.HeadersTooLargeError(message)
            await error_response(error)(scope, receive, send)
            return
        with anyio.CancelScope() as cancel_scope:
            self.scopes.add(cancel_scope)
            try:
                await self.app(scope, receive, send)
            finally:
                self.scopes.discard(cancel_scope)

    def end_requests(self) -> None:
        """Ends the requests that still run; their connections close."""
        for cancel_scope in list(self.scopes):
            cancel_scope.cancel()


async def serve(
    app: applications.Starlette,
    *,
    address: str,
    port: int,
    stop: anyio.Event,
    tls: settings.Tls | None = None,
    graceful_s: float = 60.0,
    idle_timeout_s: float = 75.0,
) -> None:
    """Serves HTTP until `stop` is set and open requests have ended.

    Args:
        app: The application.
        address: The IP number to listen on.
        port: The port to listen on.
        stop: Set to stop listening.
        tls: Certificate files, for HTTPS.
        graceful_s: Seconds that open requests may take after `stop`.
        idle_timeout_s: Seconds that a connection may stay without a whole
            request head.
    """
    config = ServerConfig()
    config.bind = [f"{address}:{port}"]
    config.accesslog = None
    config.errorlog = None
    config.graceful_timeout = graceful_s + CLOSE_TIMEOUT_S
    config.shutdown_timeout = graceful_s + CLOSE_TIMEOUT_S
    config.keep_alive_timeout = idle_timeout_s
    config.read_timeout = None
    config.h11_max_incomplete_size = 2 * MAXIMUM_HEADER_BYTES
    if tls is not None:
        config.certfile = tls.certificate
        config.keyfile = tls.private_key
    edge = Edge(app)

    async def run() -> None:
        await hypercorn_asyncio.serve(
            edge,  # type: ignore[arg-type]
            config,
            shutdown_trigger=stop.wait,
            mode="asgi",
        )

    async def end_requests() -> None:
        await stop.wait()
        await anyio.sleep(graceful_s)
        edge.end_requests()

    # hypercorn leaves a pending cancellation on its task at shutdown, so it
    # gets a task of its own.
    async with anyio.create_task_group() as outer:
        outer.start_soon(end_requests)
        async with anyio.create_task_group() as group:
            group.start_soon(run)
        outer.cancel_scope.cancel()


async def stop_on_signal(stop: anyio.Event) -> None:
    """Sets `stop` at the first SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            logs.event("shutdown_requested", signal=number.name)
            stop.set()
            return
