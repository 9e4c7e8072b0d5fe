"""Client of model engines and plain services over HTTP."""

from collections.abc import AsyncIterator
import contextlib

import httpx

from ibisknot import errors

CONNECT_TIMEOUT_S = 1.0
READ_TIMEOUT_S = 30.0
MAXIMUM_CONNECTIONS = 2000


class Engines:
    """Connections to endpoints."""

    def __init__(self, *, overrides: dict[str, str] | None = None) -> None:
        self.overrides = overrides or {}
        self.client = httpx.AsyncClient(
            timeout=httpx.Timeout(READ_TIMEOUT_S, connect=CONNECT_TIMEOUT_S),
            limits=httpx.Limits(
                max_connections=MAXIMUM_CONNECTIONS,
                max_keepalive_connections=MAXIMUM_CONNECTIONS,
            ),
            trust_env=False,
        )

    async def aclose(self) -> None:
        """Closes the connections."""
        await self.client.aclose()

    def _dial(self, url: str) -> httpx.URL:
        """Returns the URL to dial, with its address overridden if set."""
        dialled = httpx.URL(url)
        target = self.overrides.get(dialled.netloc.decode())
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
            async with self.client.stream(
                method, self._dial(url), headers=headers, content=body
            ) as response:
                yield response
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            message = f"endpoint {url} not reachable: {error!r}"
            raise errors.EndpointError(message, ran=errors.NOT_RUN) from None
        except httpx.HTTPError as error:
            message = f"endpoint {url} failed: {error!r}"
            raise errors.EndpointError(message) from None
