"""Watches of the key-value service."""

import httpx
import pytest

from ibisknot import errors
from ibisknot import keyvalue
from ibisknot import settings


@pytest.mark.anyio
async def test_refused_watch_is_a_typed_error() -> None:
    """Guards against a VM that ends when the service refuses a watch."""

    def refuse(_request: httpx.Request) -> httpx.Response:
        return httpx.Response(503, json={"error": "down"})

    store = keyvalue.KeyValue(settings.KeyValue(url="http://127.0.0.1:1"))
    store.client = httpx.AsyncClient(
        base_url="http://127.0.0.1:1", transport=httpx.MockTransport(refuse)
    )
    with pytest.raises(errors.KeyValueError):
        async for _ in store.watch("/ibisknot/"):
            pass
    await store.aclose()
