"""Client of the platform's key-value service (etcd v3 JSON interface)."""

import base64
from collections.abc import AsyncIterator
import math
from typing import Any

import httpx
import msgspec

from ibisknot import errors
from ibisknot import metrics
from ibisknot import pairs
from ibisknot import settings

Pair = pairs.Pair
Guard = pairs.Guard
Put = pairs.Put
Change = pairs.Change


def _encode(text: str | bytes) -> str:
    raw = text.encode() if isinstance(text, str) else text
    return base64.b64encode(raw).decode()


def _decode_pair(raw: dict[str, Any]) -> Pair:
    return Pair(
        key=base64.b64decode(raw["key"]).decode(),
        value=base64.b64decode(raw.get("value", "")),
        revision=int(raw["mod_revision"]),
    )


def prefix_end(prefix: str) -> str:
    """Returns the end of the range that holds all keys with a prefix.

    >>> prefix_end("/a/")
    '/a0'
    """
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


async def pages(
    client: "KeyValue", prefix: str, size: int
) -> AsyncIterator[list[Pair]]:
    """Yields the pairs whose key has a prefix in key order, some at a time.

    Args:
        client: The client.
        prefix: The prefix.
        size: Maximum count of pairs in one read.

    Raises:
        KeyValueError: The service did not answer.
    """
    start = prefix
    while True:
        page = await client.list_range(start, prefix_end(prefix), limit=size)
        yield page
        if len(page) < size:
            return
        start = page[-1].key + "\0"


class KeyValue:
    """One process's client of the key-value service.

    Attributes:
        service_settings: Address and timeout of the service.
        client: HTTP client for the service.
    """

    def __init__(self, service_settings: settings.KeyValue) -> None:
        self.service_settings = service_settings
        self.client = httpx.AsyncClient(
            base_url=service_settings.url,
            timeout=service_settings.timeout_s,
            trust_env=False,
        )

    async def aclose(self) -> None:
        """Closes the connections."""
        await self.client.aclose()

    async def _post(
        self, path: str, body: dict[str, Any], *, writes: bool
    ) -> dict[str, Any]:
        """Makes a call and returns the decoded answer.

        Args:
            path: Path of the call.
            body: Content of the call.
            writes: Whether a call without an answer may have had an effect
                that the caller must find out.

        Raises:
            KeyValueError: The service did not take the call.
            KeyValueUnknownError: A write may have taken effect.
        """
        content = msgspec.json.encode(body)
        metrics.count_bytes("key_value", sent=len(content))
        try:
            response = await self.client.post(path, content=content)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            message = f"key-value service not reachable: {error!r}"
            raise errors.KeyValueError(message) from None
        except httpx.HTTPError as error:
            message = f"no answer from the key-value service: {error!r}"
            error_type = errors.KeyValueUnknownError if writes else None
            raise (error_type or errors.KeyValueError)(message) from None
        metrics.count_bytes("key_value", received=len(response.content))
        if response.status_code != 200:
            message = (
                f"key-value service answered {response.status_code}"
                f" to {path}: {response.text[:200]}"
            )
            raise errors.KeyValueError(message)
        return msgspec.json.decode(response.content)

    async def get(self, key: str) -> Pair | None:
        """Returns the pair stored under a key, or None.

        Raises:
            KeyValueError: The service did not answer.
        """
        body = {"key": _encode(key)}
        answer = await self._post("/v3/kv/range", body, writes=False)
        found = [_decode_pair(raw) for raw in answer.get("kvs", [])]
        return found[0] if found else None

    async def list_prefix(self, prefix: str) -> list[Pair]:
        """Returns the pairs whose key has a prefix, in key order.

        Raises:
            KeyValueError: The service did not answer.
        """
        return await self.list_range(prefix, prefix_end(prefix))

    async def list_range(
        self, start: str, end: str, *, limit: int = 0
    ) -> list[Pair]:
        """Returns the pairs of a range of keys, in key order.

        Args:
            start: First key of the range.
            end: Key after the range; it is not part of it.
            limit: Maximum count of pairs; 0 for no limit.

        Raises:
            KeyValueError: The service did not answer.
        """
        body = {
            "key": _encode(start),
            "range_end": _encode(end),
            "limit": str(limit),
        }
        answer = await self._post("/v3/kv/range", body, writes=False)
        return [_decode_pair(raw) for raw in answer.get("kvs", [])]

    async def transact(
        self,
        guards: list[Guard],
        puts: list[Put],
        *,
        deletes: list[str] | None = None,
        delete_prefixes: list[str] | None = None,
    ) -> bool:
        """Applies a transaction if every guard holds.

        Args:
            guards: Conditions on the stored pairs.
            puts: Pairs to write.
            deletes: Keys to delete.
            delete_prefixes: Prefixes whose keys are all deleted.

        Returns:
            Whether the guards held and the transaction was applied.

        Raises:
            KeyValueError: The service did not take the call.
            KeyValueUnknownError: The call may have taken effect.
        """
        compare = [
            {
                "key": _encode(guard.key),
                "target": "MOD",
                "result": "EQUAL",
                "mod_revision": str(guard.revision),
            }
            for guard in guards
        ]
        success: list[dict[str, Any]] = [
            {
                "request_put": {
                    "key": _encode(put.key),
                    "value": _encode(put.value),
                    "lease": str(put.lease_id),
                }
            }
            for put in puts
        ]
        for key in deletes or []:
            success.append({"request_delete_range": {"key": _encode(key)}})
        for prefix in delete_prefixes or []:
            key_range = {
                "key": _encode(prefix),
                "range_end": _encode(prefix_end(prefix)),
            }
            success.append({"request_delete_range": key_range})
        body = {"compare": compare, "success": success, "failure": []}
        answer = await self._post("/v3/kv/txn", body, writes=True)
        return bool(answer.get("succeeded", False))

    async def grant(self, ttl_s: float) -> int:
        """Creates a lease of at least `ttl_s` seconds and returns its id.

        Raises:
            KeyValueError: The service did not answer.
        """
        # Rounded up to whole seconds: a lease shorter than requested would
        # end while the caller still relies on it.
        body = {"TTL": str(max(1, math.ceil(ttl_s)))}
        answer = await self._post("/v3/lease/grant", body, writes=False)
        return int(answer["ID"])

    async def keep_alive(self, lease_id: int) -> bool:
        """Renews a lease; False means that it has already expired.

        Raises:
            KeyValueError: The service did not answer.
        """
        body = {"ID": str(lease_id)}
        answer = await self._post("/v3/lease/keepalive", body, writes=False)
        return int(answer["result"].get("TTL", 0)) > 0

    async def revoke(self, lease_id: int) -> None:
        """Ends a lease and deletes the keys bound to it.

        Raises:
            KeyValueError: The service did not answer.
        """
        body = {"ID": str(lease_id)}
        await self._post("/v3/lease/revoke", body, writes=False)

    async def watch(
        self, prefix: str, *, start_revision: int = 0
    ) -> AsyncIterator[list[Change]]:
        """Yields changes of the keys with a prefix until the watch ends.

        Args:
            prefix: The prefix.
            start_revision: First revision whose changes are returned; 0 for
                the changes from now on.

        Raises:
            KeyValueError: The watch could not be opened, or it failed.
        """
        request = {
            "create_request": {
                "key": _encode(prefix),
                "range_end": _encode(prefix_end(prefix)),
                "start_revision": str(start_revision),
            }
        }
        timeout = httpx.Timeout(self.service_settings.timeout_s, read=None)
        try:
            async with self.client.stream(
                "POST", "/v3/watch", json=request, timeout=timeout
            ) as response:
                if response.status_code != 200:
                    message = (
                        f"key-value service answered {response.status_code}"
                        f" to a watch of {prefix}"
                    )
                    raise errors.KeyValueError(message)
                async for line in response.aiter_lines():
                    metrics.count_bytes("key_value", received=len(line))
                    if line.strip():
                        yield _decode_changes(prefix, line)
        except httpx.HTTPError as error:
            message = f"watch of {prefix} failed: {error!r}"
            raise errors.KeyValueError(message) from None


def _decode_changes(prefix: str, line: str) -> list[Change]:
    """Decodes one message of a watch.

    Raises:
        KeyValueError: The message reports an error or is malformed.
    """
    try:
        result = msgspec.json.decode(line)["result"]
    except (msgspec.MsgspecError, KeyError, TypeError):
        message = f"watch of {prefix} failed: {line[:200]}"
        raise errors.KeyValueError(message) from None
    changes = []
    for event in result.get("events", []):
        pair = _decode_pair(event["kv"])
        deleted = event.get("type") == "DELETE"
        value = None if deleted else pair.value
        changes.append(Change(pair.key, value, pair.revision))
    return changes
