"""Watches of the key-value service."""

import httpx
import pytest

from ibisknot import errors
from ibisknot import keyvalue
from ibisknot import settings


@pytest.mark.anyio
async def test_refused_watch_is_a_typed_error() -> None:
    """Guards against a process that ends when a watch is refused."""

    def refuse(_request: httpx.Request) -> httpx.Response:
        return httpx.Response(503, json={"error": "down"})

    key_value = keyvalue.KeyValue(settings.KeyValue(url="http://127.0.0.1:1"))
    key_value.client = httpx.AsyncClient(
        base_url="http://127.0.0.1:1", transport=httpx.MockTransport(refuse)
    )
    with pytest.raises(errors.KeyValueError):
        async for _ in key_value.watch("/ibisknot/"):
            pass
    await key_value.aclose()
