"""Responses of HTTP servers, read as they arrive."""

from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import anyio
from anyio import abc
import h11

from ibisknot import errors
from ibisknot import http11
from ibisknot import http_call
from ibisknot import turns

MAX_SKIPPED_RESPONSES = 3
"""Responses to earlier requests that one call skips."""
MAX_SKIPPED_BYTES = 1024 * 1024
"""Size of the bodies of these responses."""
MAX_INFORMATIONAL_RESPONSES = 8
"""Responses such as `100 Continue` before the final one."""
FINAL_STATUSES = range(200, 600)
"""A response with another status is none."""
MAX_READS_AFTER_TIMEOUT = 3
"""Reads after the time without progress has passed.

A process that was paused finds the data that came in the meantime.
"""
MAX_USELESS_BYTES = 256 * 1024
"""Data of a body without progress after which a call is given up.

It is twice the largest event. Data that comes fast enough would otherwise go on
for the whole time without progress.
"""
LATE_READ_TIMEOUT_S = 0.05
SILENCE_S = 0.3
"""Time without data after which the path to a server is doubted."""
ALL_SILENT_S = 1.0
"""Time without data of all servers that ends every call on a lost path."""


class Response:
    """A response whose body is read as it arrives.

    Attributes:
        parser: Parser of the data received on the connection.
        status: Status code, 0 until the head was read.
        headers: Headers, empty until the head was read.
        complete: Whether the whole body was read.
        skipped_bytes: Size of the bodies of skipped responses.
        progress_s: Monotonic time of the last progress.
        reads_after_timeout: Reads since the time without progress has passed.
        useless_bytes: Bytes of the body since the last progress, if the call
            needs useful data.
        is_request_delivered: Returns whether the server has received the
            whole request, once that is known.
        is_ended: Whether the server has ended the connection.
        turn: Counts what was parsed of the data that was received last.
        watched_paths: The paths if the connection depends on one of them.
        silent_scope: Cancelled when the path is lost while data is awaited.
        is_silent: Whether data has been awaited for `SILENCE_S`.
        is_path_lost: Whether the path was lost.
    """

    def __init__(
        self,
        stream: abc.ByteStream,
        call: http_call.Call,
        watched_paths: http_call.Paths | None = None,
        is_request_delivered: Callable[[], Awaitable[bool]] | None = None,
    ) -> None:
        self.stream = stream
        self.call = call
        self.watched_paths = watched_paths
        self.silent_scope = anyio.CancelScope()
        self.is_silent = False
        self.is_path_lost = False
        self.parser = http_call.make_parser(call)
        self.status = 0
        self.headers: http11.Headers = []
        self.complete = False
        self.skipped_bytes = 0
        self.progress_s = anyio.current_time()
        self.reads_after_timeout = 0
        self.useless_bytes = 0
        self.is_request_delivered = is_request_delivered
        self.is_ended = False
        self.turn = turns.Counter()

    def record_progress(self) -> None:
        """Restarts the time without progress after which the call fails."""
        self.progress_s = anyio.current_time()
        self.reads_after_timeout = 0
        self.useless_bytes = 0

    def get_header(self, name: bytes) -> str | None:
        """Returns a header's first value by its name in lower case."""
        return http11.get_header(self.headers, name)

    async def _next_event(self) -> Any:
        while True:
            event = self.parser.next_event()
            if event is not h11.NEED_DATA:
                if isinstance(event, h11.Data):
                    await self.turn.spend(len(event.data))
                return event
            data = await self._receive()
            self.is_ended = not data
            self.turn.reset()
            self.parser.receive_data(data)

    async def _receive(self) -> bytes:
        """Returns received data; empty at the end of the connection.

        Raises:
            TimeoutError: There was no progress for the call's read timeout.
        """
        timeout_s = self.call.read_timeout_s
        try:
            if timeout_s is None:
                return await self._read()
            with anyio.fail_after(self._remaining_s(timeout_s)):
                data = await self._read()
        except anyio.EndOfStream:
            return b""
        if not self.call.needs_useful_data:
            self.record_progress()
        return data

    async def _read(self) -> bytes:
        """Returns received data; doubts the path while there is none.

        Raises:
            PathLostError: The path was lost.
        """
        paths = self.watched_paths
        if paths is None:
            return await self.stream.receive(http11.READ_BYTES)
        try:
            while True:
                with anyio.move_on_after(SILENCE_S) as self.silent_scope:
                    data = await self.stream.receive(http11.READ_BYTES)
                    paths.record_received()
                    return data
                self._doubt_path(paths)
        finally:
            self.is_silent = False

    def _doubt_path(self, paths: http_call.Paths) -> None:
        """Has the path checked if other servers are silent as well.

        Raises:
            PathLostError: The path was lost.
        """
        self.is_silent = True
        is_lost = self.is_path_lost or paths.is_known_lost(self.call.address)
        if is_lost and (self._may_run_again() or paths.is_silent(ALL_SILENT_S)):
            raise http11.PathLostError
        if paths.is_silent(SILENCE_S):
            paths.check_soon(self.call.address)

    def _may_run_again(self) -> bool:
        """Returns whether the call is repeated if it fails now.

        Another one is ended later: connections may outlive the path for new
        ones.
        """
        return self.call.read_timeout_s is not None

    def end_silent_read(self) -> None:
        """Ends a read that waits on a path that was lost."""
        if self.is_silent and self._may_run_again():
            self.is_path_lost = True
            self.silent_scope.cancel()

    def _remaining_s(self, timeout_s: float) -> float:
        """Returns the seconds for which the next read may wait.

        Raises:
            TimeoutError: The reads after the timeout are used up.
        """
        remaining_s = self.progress_s + timeout_s - anyio.current_time()
        if remaining_s > 0.0:
            return remaining_s
        self.reads_after_timeout += 1
        if self.reads_after_timeout > MAX_READS_AFTER_TIMEOUT:
            raise TimeoutError
        return LATE_READ_TIMEOUT_S

    async def read_head(self) -> None:
        """Reads the head of the response to this call.

        Raises:
            RemoteProtocolError: There is no response to this call.
        """
        for _ in range(MAX_SKIPPED_RESPONSES + 1):
            event = await self._next_final_event()
            if not isinstance(event, h11.Response):
                raise h11.RemoteProtocolError("closed without a response")
            headers = http11.raw_headers(event)
            is_own_response = self.call.is_own_response
            if is_own_response is None or is_own_response(headers):
                if event.status_code not in FINAL_STATUSES:
                    raise h11.RemoteProtocolError(
                        f"status {event.status_code} is none of a response"
                    )
                self.status = event.status_code
                self.headers = headers
                self.record_progress()
                return
            await self._skip_response()
        raise h11.RemoteProtocolError(
            "received only responses to other requests"
        )

    async def _next_final_event(self) -> Any:
        """Returns the next event that is not an informational response."""
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            event = await self._next_event()
            if not isinstance(event, h11.InformationalResponse):
                return event
        raise h11.RemoteProtocolError("too many informational responses")

    async def _skip_response(self) -> None:
        """Skips a response to an earlier request.

        Raises:
            RemoteProtocolError: The skipped responses are too large.
        """
        event = await self._next_event()
        while not isinstance(event, h11.EndOfMessage):
            if not isinstance(event, h11.Data):
                raise h11.RemoteProtocolError("a skipped response is cut")
            self.skipped_bytes += len(event.data)
            if self.skipped_bytes > MAX_SKIPPED_BYTES:
                raise h11.RemoteProtocolError("skipped responses are too large")
            event = await self._next_event()
        remaining, ended = self.parser.trailing_data
        self.parser = http_call.make_parser(self.call)
        if remaining:
            self.parser.receive_data(remaining)
        if ended:
            self.parser.receive_data(b"")

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yields the body in pieces.

        Raises:
            TruncatedStreamError: The response is incomplete or malformed.
            StalledError: There was no progress for the call's read timeout.
        """
        try:
            while True:
                event = await self._next_event()
                if isinstance(event, h11.Data):
                    self._count_useless(len(event.data))
                    yield bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    await self._check_end()
                    self.complete = True
                    return
                else:
                    raise h11.RemoteProtocolError("the response is incomplete")
        except TimeoutError:
            self.call.progress.broke_off = True
            raise http_call.stalled_error(self.call, errors.RAN) from None
        except (h11.RemoteProtocolError, *http11.CONNECTION_ERRORS) as error:
            self.call.progress.broke_off = True
            message = (
                f"response of {self.call.address} is incomplete: {error!r}"
            )
            if isinstance(error, http11.PathLostError):
                raise errors.PathLostError(message, ran=errors.RAN) from None
            raise errors.TruncatedStreamError(message) from None

    async def _check_end(self) -> None:
        """Checks a body that has ended with its connection.

        A server that ends the connection before it has received the whole
        request may be about to reset it, and its body is a part.

        Raises:
            RemoteProtocolError: The body may be incomplete.
        """
        if not self.is_ended or self.is_request_delivered is None:
            return
        if not await self.is_request_delivered():
            raise h11.RemoteProtocolError(
                "the connection ended before the whole request was received"
            )

    def _count_useless(self, size: int) -> None:
        """Counts bytes of a body that may not bring progress.

        Raises:
            RemoteProtocolError: There were too many of them.
        """
        if not self.call.needs_useful_data:
            return
        if self.useless_bytes > MAX_USELESS_BYTES:
            raise h11.RemoteProtocolError(
                f"no useful data in {self.useless_bytes} bytes"
            )
        self.useless_bytes += size

    async def read_body(self, max_bytes: int) -> bytes:
        """Returns the whole body.

        Args:
            max_bytes: Largest size of the body.

        Raises:
            TruncatedStreamError: It is incomplete, malformed or too large.
        """
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if len(body) > max_bytes:
                raise errors.TruncatedStreamError(
                    f"response of {self.call.address} is over {max_bytes} bytes"
                )
        return bytes(body)

    def is_reusable(self) -> bool:
        """Returns whether the connection can be used for another request."""
        if not self.complete or self.parser.their_state is not h11.DONE:
            return False
        return not self.parser.trailing_data[0]
