"""The key-value client's answers to a service that fails."""

import httpx
import pytest
from scripted_keyvalue import ScriptedKeyValue

from ibisknot import errors
from ibisknot import keyvalue
from ibisknot import settings


@pytest.mark.anyio
@pytest.mark.parametrize(
    ("status", "body"),
    [(503, '{"error": "down"}'), (200, '{"error": "down"}'), (200, "{")],
)
async def test_refused_watch_is_a_typed_error(status: int, body: str) -> None:
    """Guards against a watch in an outage that ends the whole process."""

    def answer(_request: httpx.Request) -> httpx.Response:
        return httpx.Response(status, text=body)

    store = keyvalue.KeyValue(settings.KeyValue(url="http://127.0.0.1:1"))
    store.client = httpx.AsyncClient(
        base_url="http://127.0.0.1:1", transport=httpx.MockTransport(answer)
    )
    with pytest.raises(errors.KeyValueError):
        async for _ in store.watch("/x"):
            pass


@pytest.mark.anyio
async def test_lease_is_not_shorter_than_asked() -> None:
    """Guards against a lease that ends while its holder still counts on it."""
    store = ScriptedKeyValue()
    number = await store.grant(2.4)
    assert store.service.database.leases[number].ttl_s >= 2.4
