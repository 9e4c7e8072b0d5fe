"""Common parts of the stand-ins for outside systems."""

from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any

import anyio
from starlette import responses
from starlette import routing
from starlette import types

from ibisknot import web


class DroppedResponse(responses.Response):
    """Closes the connection without a complete response."""

    async def __call__(
        self, scope: types.Scope, receive: types.Receive, send: types.Send
    ) -> None:
        """Sends the head of a response and fails, so that the server closes."""
        headers = [(b"content-length", b"1")]
        await send(
            {"type": "http.response.start", "status": 200, "headers": headers}
        )
        raise ConnectionAbortedError("response dropped by a fault")


def run(
    routes: list[routing.BaseRoute],
    *,
    address: str,
    port: int,
    background: Callable[[], Coroutine[Any, Any, None]] | None = None,
) -> None:
    """Serves a stand-in until SIGTERM or SIGINT.

    Args:
        routes: Routes of its HTTP interface.
        address: IP address to listen at.
        port: Port to listen at.
        background: Runs beside the server and is cancelled at its end.
    """

    async def main() -> None:
        stop = anyio.Event()
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(web.stop_on_signal, stop)
            if background is not None:
                task_group.start_soon(background)
            await web.serve(
                web.make_application(routes),
                address=address,
                port=port,
                stop=stop,
                drain_timeout_s=0.5,
            )
            task_group.cancel_scope.cancel()

    anyio.run(main, backend_options={"use_uvloop": True})
