"""Client of model engines and plain services over HTTP."""

from collections.abc import AsyncIterator
import contextlib

import httpx
import msgspec

from ibisknot import errors

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 30.0
PROBE_TIMEOUT_S = 0.5
MAX_CONNECTIONS = 2000


class Load(msgspec.Struct):
    """An engine's load report; it is as old as the engine's report lag."""

    running: int = 0
    waiting: int = 0


class CacheEvent(msgspec.Struct):
    """Prompt blocks that an engine stored or evicted."""

    number: int
    stored: list[int] = []
    evicted: list[int] = []


class CacheEvents(msgspec.Struct):
    """An engine's cache events; they come late and some never."""

    events: list[CacheEvent] = []


class EndpointClient:
    """Connections to endpoints."""

    def __init__(
        self, *, address_overrides: dict[str, str] | None = None
    ) -> None:
        self.address_overrides = address_overrides or {}
        self.http_client = httpx.AsyncClient(
            timeout=httpx.Timeout(READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            limits=httpx.Limits(
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=MAX_CONNECTIONS,
            ),
            trust_env=False,
        )
        # A probe on a kept connection could meet one that the engine has
        # closed because it was idle.
        self.probe_client = httpx.AsyncClient(
            timeout=PROBE_TIMEOUT_S,
            limits=httpx.Limits(max_keepalive_connections=0),
            trust_env=False,
        )

    async def is_answering(self, url: str) -> bool:
        """Returns whether an engine still answers.

        A connection that is refused or closed shows that the engine has
        ended. A timeout does not: it may be paused or slow.
        """
        try:
            await self.probe_client.get(self._dial_url(f"{url}/v1/models"))
        except httpx.TimeoutException:
            return True
        except httpx.HTTPError:
            return False
        return True

    async def load(self, url: str) -> Load | None:
        """Returns an engine's lagged load report, if there is one."""
        try:
            response = await self.http_client.get(
                self._dial_url(f"{url}/engine/load"), timeout=PROBE_TIMEOUT_S
            )
            return msgspec.json.decode(response.content, type=Load)
        except (httpx.HTTPError, msgspec.MsgspecError):
            return None

    async def cache_events(self, url: str, after: int) -> list[CacheEvent]:
        """Returns an engine's cache events after a number, if any."""
        try:
            response = await self.http_client.get(
                self._dial_url(f"{url}/engine/cache/events"),
                params={"after": after},
                timeout=PROBE_TIMEOUT_S,
            )
            found = msgspec.json.decode(response.content, type=CacheEvents)
        except (httpx.HTTPError, msgspec.MsgspecError):
            return []
        return found.events

    async def aclose(self) -> None:
        """Closes the connections."""
        await self.probe_client.aclose()
        await self.http_client.aclose()

    def _dial_url(self, url: str) -> httpx.URL:
        """Returns the URL to dial, with its address overridden if set."""
        dialled = httpx.URL(url)
        target = self.address_overrides.get(dialled.netloc.decode())
        if target is None:
            return dialled
        host, _, port = target.rpartition(":")
        return dialled.copy_with(host=host, port=int(port))

    @contextlib.asynccontextmanager
    async def open(
        self,
        method: str,
        url: str,
        *,
        headers: dict[str, str],
        body: bytes,
    ) -> AsyncIterator[httpx.Response]:
        """Sends a request and yields the answer with its body unread.

        Raises:
            EndpointError: The endpoint could not be reached (`not_run`) or
                broke off (`unknown`).
        """
        try:
            async with self.http_client.stream(
                method, self._dial_url(url), headers=headers, content=body
            ) as response:
                yield response
        except (
            httpx.ConnectError,
            httpx.ConnectTimeout,
            httpx.PoolTimeout,
        ) as error:
            message = f"endpoint {url} not reachable: {error!r}"
            raise errors.EndpointError(message, ran=errors.NOT_RUN) from None
        except httpx.HTTPError as error:
            message = f"endpoint {url} failed: {error!r}"
            raise errors.EndpointError(message) from None
