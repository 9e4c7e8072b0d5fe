"""HTTP client of the endpoints: model engines and plain services."""

from collections.abc import AsyncIterator
import contextlib

import anyio
import httpx
import msgspec

from ibisknot import errors

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 30.0
"""Longest time between two parts of a response."""
PROBE_TIMEOUT_S = 0.5
"""Timeout of probes and reports, apart from requests of callers."""
MAX_REPORT_BYTES = 1024 * 1024
"""Largest response to a probe or a read of a report."""
MAX_CONNECTIONS = 2000
"""Most connections of one process to all endpoints."""

_REPORT_ERRORS = (
    httpx.HTTPError,
    TimeoutError,
    errors.TruncatedStreamError,
    msgspec.MsgspecError,
)


class Load(msgspec.Struct):
    """An engine's load report, which is delayed by the engine's report lag.

    Attributes:
        running: Number of requests that the engine runs.
        waiting: Number of requests that the engine has queued.
    """

    running: int = 0
    waiting: int = 0


class CacheEvent(msgspec.Struct):
    """Prompt blocks that an engine stored in its cache or evicted from it.

    Attributes:
        number: Number of the event; events of an engine are numbered in order.
        stored: Hashes of the stored blocks.
        evicted: Hashes of the evicted blocks.
    """

    number: int
    stored: list[int] = []
    evicted: list[int] = []


class CacheEvents(msgspec.Struct):
    """An engine's cache events; they arrive late, and some are lost."""

    events: list[CacheEvent] = []


class EndpointClient:
    """Sends requests and probes to endpoints.

    Attributes:
        address_overrides: Address to connect to, by the address in the URL.
        http_client: Client of requests and reports; it reuses connections.
        retry_client: Client of repeated requests, which opens a connection for
            each: all attempts have one id, which would not tell a second copy
            of an earlier response from the response to a later attempt.
        probe_client: Client of probes, which opens a connection for each.
    """

    def __init__(
        self, *, address_overrides: dict[str, str] | None = None
    ) -> None:
        self.address_overrides = address_overrides or {}
        self.http_client = _make_client(MAX_CONNECTIONS)
        self.retry_client = _make_client(max_idle_connections=0)
        # A probe on a reused connection could fail only because the engine
        # has closed the idle connection.
        self.probe_client = httpx.AsyncClient(
            timeout=PROBE_TIMEOUT_S,
            limits=httpx.Limits(max_keepalive_connections=0),
            trust_env=False,
        )

    async def is_answering(self, url: str) -> bool:
        """Returns whether an engine is up.

        A connection that is refused or closed shows that the engine is not
        running. A timeout does not: the engine may be paused or slow.
        """
        try:
            await self._fetch(self.probe_client, f"{url}/v1/models")
        except httpx.HTTPError as error:
            return isinstance(error, httpx.TimeoutException)
        except (TimeoutError, errors.TruncatedStreamError):
            return True
        return True

    async def read_load(self, url: str) -> Load | None:
        """Returns an engine's load report, None if it is not available."""
        try:
            content = await self._fetch(self.http_client, f"{url}/engine/load")
            return msgspec.json.decode(content, type=Load)
        except _REPORT_ERRORS:
            return None

    async def read_cache_events(self, url: str, after: int) -> list[CacheEvent]:
        """Returns an engine's cache events with a number above `after`.

        The list is empty if the engine does not answer.
        """
        try:
            content = await self._fetch(
                self.http_client,
                f"{url}/engine/cache/events",
                params={"after": after},
            )
            decoded = msgspec.json.decode(content, type=CacheEvents)
        except _REPORT_ERRORS:
            return []
        return decoded.events

    async def _fetch(
        self,
        client: httpx.AsyncClient,
        url: str,
        *,
        params: dict[str, int] | None = None,
    ) -> bytes:
        """Returns a small response that arrives within `PROBE_TIMEOUT_S`.

        Raises:
            HTTPError: The endpoint does not answer.
            TimeoutError: The response has not ended in time.
            TruncatedStreamError: It is larger than `MAX_REPORT_BYTES`.
        """
        body = bytearray()
        with anyio.fail_after(PROBE_TIMEOUT_S):
            async with client.stream(
                "GET",
                self._dial_url(url),
                params=params,
                timeout=PROBE_TIMEOUT_S,
            ) as response:
                async for chunk in response.aiter_bytes():
                    body += chunk
                    if len(body) > MAX_REPORT_BYTES:
                        message = f"{url} sent over {MAX_REPORT_BYTES} bytes"
                        raise errors.TruncatedStreamError(message)
        return bytes(body)

    async def aclose(self) -> None:
        """Closes the connections."""
        await self.probe_client.aclose()
        await self.retry_client.aclose()
        await self.http_client.aclose()

    def _dial_url(self, url: str) -> httpx.URL:
        """Returns the URL to connect to, with its address replaced if set."""
        parsed_url = httpx.URL(url)
        target = self.address_overrides.get(parsed_url.netloc.decode())
        if target is None:
            return parsed_url
        host, _, port = target.rpartition(":")
        return parsed_url.copy_with(host=host, port=int(port))

    @contextlib.asynccontextmanager
    async def open(
        self,
        method: str,
        url: str,
        *,
        headers: dict[str, str],
        body: bytes,
        is_retry: bool = False,
    ) -> AsyncIterator[httpx.Response]:
        """Sends a request and yields the response with its body unread.

        Args:
            method: Method of the request.
            url: URL of the request.
            headers: Headers of the request.
            body: Body of the request.
            is_retry: Whether the same request has been sent before.

        Raises:
            EndpointError: The endpoint was not reachable (`not_run`), or the
                connection broke, or it sent a response to another request
                (`unknown`).
        """
        client = self.retry_client if is_retry else self.http_client
        try:
            async with client.stream(
                method, self._dial_url(url), headers=headers, content=body
            ) as response:
                _check_request_id(headers, response)
                yield response
        except (
            httpx.ConnectError,
            httpx.ConnectTimeout,
            httpx.PoolTimeout,
        ) as error:
            message = f"endpoint {url} is not reachable: {error!r}"
            raise errors.EndpointError(message, ran=errors.NOT_RUN) from None
        except httpx.HTTPError as error:
            message = f"endpoint {url} failed: {error!r}"
            raise errors.EndpointError(message) from None


def _make_client(max_idle_connections: int) -> httpx.AsyncClient:
    """Returns a client of requests."""
    return httpx.AsyncClient(
        timeout=httpx.Timeout(READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
        limits=httpx.Limits(
            max_connections=MAX_CONNECTIONS,
            max_keepalive_connections=max_idle_connections,
        ),
        trust_env=False,
    )


def _check_request_id(
    headers: dict[str, str], response: httpx.Response
) -> None:
    """Checks that a response's headers name no other request.

    Raises:
        EndpointError: The response belongs to another request.
    """
    named_id = response.headers.get("x-request-id")
    if named_id not in (None, headers.get("x-request-id", named_id)):
        raise errors.EndpointError("the response belongs to another request")
