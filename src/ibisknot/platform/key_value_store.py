"""Client of the platform's metadata store, the key-value service."""

import base64
import binascii
from collections.abc import Sequence
from typing import Any
from typing import TypeVar
from urllib import parse

import anyio
import msgspec

from ibisknot import errors
from ibisknot import http_client
from ibisknot import metrics
from ibisknot import pairs

READ_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 2.0
WATCH_MARGIN_S = 1.0
"""Time for the response after the time that the store may wait."""
ResponseT = TypeVar("ResponseT")
_JSON = [(b"Content-Type", b"application/json")]


class _Item(msgspec.Struct):
    Key: str
    Revision: int = 0
    Value: str = ""
    Tombstone: bool = False


class _Page(msgspec.Struct):
    Items: list[_Item] = []
    HasMore: bool = False
    StoreRevision: int = 0


class _Events(msgspec.Struct):
    events: list[_Item] = []
    StoreRevision: int = 0


class _KeyItem(_Item):
    StoreRevision: int = 0


class _Committed(msgspec.Struct):
    Revision: int


class _Lease(msgspec.Struct):
    Lease: int = 0
    TtlMs: float = 0


class Client:
    """Calls the store for one process.

    Attributes:
        address: Host and port of the store.
        http_client: HTTP client that makes the calls.
        calls: Number of calls that were made.
    """

    def __init__(self, address: str, client: http_client.Client) -> None:
        self.address = address
        self.http_client = client
        self.calls = 0

    async def _call(
        self,
        method: str,
        target: str,
        body: Any = None,
        *,
        timeout_s: float,
        is_write: bool = False,
    ) -> tuple[int, bytes]:
        content = b"" if body is None else msgspec.json.encode(body)
        host = (b"Host", self.address.encode())
        call = http_client.Call(
            address=self.address,
            method=method.encode(),
            target=target.encode(),
            headers=[host, *(_JSON if content else [])],
            body=content,
        )
        self.calls += 1
        name = target.partition("?")[0].split("/")[1]
        metrics.count_key_value_call(name)
        try:
            with anyio.fail_after(timeout_s):
                status, response = await self.http_client.fetch(call)
        except errors.EndpointError as error:
            raise _call_error(call, error.message, is_write=is_write) from None
        except TimeoutError:
            cause = f"no response within {timeout_s} s"
            raise _call_error(call, cause, is_write=is_write) from None
        if status in (429, 503):
            message = f"the store responded with status {status} to {name}"
            raise errors.KeyValueError(message)
        return status, response

    async def get(self, key: str) -> pairs.Pair | None:
        """Returns the pair stored under a key, or None.

        Raises:
            KeyValueError: The store did not respond, or with an error.
        """
        target = "/kv-key?" + parse.urlencode({"Key": key})
        status, body = await self._call("GET", target, timeout_s=READ_TIMEOUT_S)
        if status == 404:
            return None
        item = _decode_response(status, body, _KeyItem)
        return _decode_pair(item)

    async def list_prefix(
        self, prefix: str, *, after: str = "", stale: bool = False
    ) -> pairs.Listing:
        """Returns the pairs whose key has a prefix, in key order.

        Args:
            prefix: Prefix of the keys.
            after: Only keys that sort after this one are returned.
            stale: Whether the pairs may be seconds old, which costs the store
                less.

        Raises:
            KeyValueError: The store did not respond, or with an error.
        """
        listed: list[pairs.Pair] = []
        revision = 0
        while True:
            query = {"Prefix": prefix}
            if after:
                query["After"] = after
            if stale:
                query["AllowStale"] = "1"
            status, body = await self._call(
                "GET",
                "/kv-range?" + parse.urlencode(query, safe="/"),
                timeout_s=READ_TIMEOUT_S,
            )
            page = _decode_response(status, body, _Page)
            # The pages are not read at one revision. The revision of the first
            # page is the one up to which all pages are complete.
            revision = revision or page.StoreRevision
            listed.extend(_decode_pair(item) for item in page.Items)
            if not page.HasMore or not page.Items:
                return pairs.Listing(listed, revision)
            after = page.Items[-1].Key

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> pairs.Changes:
        """Waits for changes of keys with a prefix.

        Args:
            prefix: Prefix of the keys.
            after: Revision after which changes are returned.
            wait_s: Seconds to wait for a change; the store waits 30 at most.

        Raises:
            HistoryGoneError: The store no longer has the changes after that
                revision.
            KeyValueError: The store did not respond, or with an error.
        """
        query = {
            "Prefix": prefix,
            "After": str(after),
            "WaitMs": str(min(30_000, int(wait_s * 1000))),
        }
        status, body = await self._call(
            "GET",
            "/kv-watch?" + parse.urlencode(query, safe="/"),
            timeout_s=wait_s + WATCH_MARGIN_S,
        )
        if status == 410:
            raise errors.HistoryGoneError(
                f"the store no longer has the history of {prefix}"
            )
        events = _decode_response(status, body, _Events)
        changed = [
            pairs.Change(
                e.Key, None if e.Tombstone else _decode_value(e), e.Revision
            )
            for e in events.events
        ]
        return pairs.Changes(changed, max(after, events.StoreRevision))

    async def transact(
        self,
        guards: Sequence[pairs.Guard],
        puts: Sequence[pairs.Put],
        *,
        deletes: Sequence[str] = (),
    ) -> int:
        """Writes all puts and deletes if every guard holds, otherwise none.

        Returns:
            The revision of the change, or 0 if a guard did not hold.

        Raises:
            KeyValueError: The store was not reachable or refused the call.
            KeyValueUnknownError: The call may have taken effect, or may
                still do so as long as its guards hold.
            LeaseEndedError: A put names a lease that has ended.
        """
        body = {
            "ExpectedRev": [
                {"Key": g.key, "Revision": g.revision} for g in guards
            ],
            "Puts": [
                {
                    "Key": p.key,
                    "Value": base64.b64encode(p.value).decode(),
                    "Lease": p.lease_id,
                }
                for p in puts
            ],
            "Remove": list(deletes),
        }
        status, response = await self._call(
            "POST", "/kv-txn", body, timeout_s=WRITE_TIMEOUT_S, is_write=True
        )
        if status == 412:
            return 0
        if status == 404:
            raise errors.LeaseEndedError("the lease of a write has ended")
        return _decode_response(status, response, _Committed).Revision

    async def grant(self, ttl_s: float) -> int:
        """Creates a lease and returns its id.

        Raises:
            KeyValueError: The store did not respond, or with an error.
        """
        status, body = await self._call(
            "POST",
            "/kv-lease",
            {"TtlMs": int(ttl_s * 1000)},
            timeout_s=WRITE_TIMEOUT_S,
        )
        return _decode_response(status, body, _Lease).Lease

    async def keep_alive(self, lease_id: int) -> bool:
        """Renews a lease; returns False if it has already ended.

        Raises:
            KeyValueError: The store did not respond, or with an error.
        """
        status, body = await self._call(
            "POST", f"/kv-keep/{lease_id}", timeout_s=READ_TIMEOUT_S
        )
        if status == 404:
            return False
        _decode_response(status, body, _Lease)
        return True

    async def revoke(self, lease_id: int) -> None:
        """Ends a lease and deletes the keys bound to it.

        Raises:
            KeyValueError: The store did not respond, or with an error.
        """
        await self._call(
            "DELETE", f"/kv-lease-end/{lease_id}", timeout_s=READ_TIMEOUT_S
        )


def _call_error(
    call: http_client.Call, cause: str, *, is_write: bool
) -> errors.KeyValueError:
    if is_write and call.progress.sending_started:
        return errors.KeyValueUnknownError(f"no response to a write: {cause}")
    return errors.KeyValueError(f"the store is not reachable: {cause}")


def _decode_response(
    status: int, body: bytes, response_type: type[ResponseT]
) -> ResponseT:
    """Decodes the body of a response, which must have status 200."""
    if status != 200:
        raise errors.KeyValueError(f"the store responded with status {status}")
    try:
        return msgspec.json.decode(body, type=response_type)
    except msgspec.MsgspecError as error:
        message = f"the store's response cannot be decoded: {error}"
        raise errors.KeyValueError(message) from None


def _decode_value(item: _Item) -> bytes:
    try:
        return base64.b64decode(item.Value, validate=True)
    except binascii.Error:
        # Decoders of the value treat an empty one as malformed.
        return b""


def _decode_pair(item: _Item) -> pairs.Pair:
    return pairs.Pair(item.Key, _decode_value(item), item.Revision)
