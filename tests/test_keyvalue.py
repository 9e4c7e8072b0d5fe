"""Errors and leases of the key-value client."""

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
    """Guards against a failed watch that ends the whole process."""

    def respond(_request: httpx.Request) -> httpx.Response:
        return httpx.Response(status, text=body)

    key_value = keyvalue.KeyValue(settings.KeyValue(url="http://127.0.0.1:1"))
    key_value.client = httpx.AsyncClient(
        base_url="http://127.0.0.1:1", transport=httpx.MockTransport(respond)
    )
    with pytest.raises(errors.KeyValueError):
        async for _ in key_value.watch("/x"):
            pass


@pytest.mark.anyio
async def test_lease_is_not_shorter_than_requested() -> None:
    """Guards against a lease that ends while its holder still relies on it."""
    key_value = ScriptedKeyValue()
    lease_id = await key_value.grant(2.4)
    assert key_value.service.database.leases[lease_id].ttl_s >= 2.4
