"""Client of the platform's metadata store, the key-value service."""

import base64
import binascii
from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import TypeVar
import urllib.parse

import anyio
import msgspec

from ibisknot import errors
from ibisknot import http_call
from ibisknot import http_client
from ibisknot import metrics
from ibisknot import pairs

READ_TIMEOUT_S = 1.0
WRITE_TIMEOUT_S = 2.0
WATCH_MARGIN_S = 1.0
"""Time for the response after the time that the store may wait."""
ResponseT = TypeVar("ResponseT")
ResultT = TypeVar("ResultT")
_REFUSALS = (429, 503)
"""Statuses that promise that a call has changed nothing."""
_REQUEST_TIMEOUT = 408
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
        newest_revision: Highest revision in the store's responses so far.
    """

    def __init__(self, address: str, client: http_client.Client) -> None:
        self.address = address
        self.http_client = client
        self.calls = 0
        self.newest_revision = 0

    async def _call(
        self,
        method: str,
        target: str,
        parse: Callable[[int, bytes], ResultT],
        body: Any = None,
        *,
        timeout_s: float,
        is_write: bool = False,
    ) -> ResultT:
        """Makes a call and returns its parsed response.

        Args:
            method: HTTP method.
            target: Path and query.
            parse: Parses the status and body of a response. If it raises, the
                response may belong to another call, and its connection is not
                used again.
            body: Body of the call before its encoding, or None.
            timeout_s: Seconds after which the call fails.
            is_write: Whether the call may change a value.

        Raises:
            KeyValueError: The store did not respond, or with an error.
        """
        content = b"" if body is None else msgspec.json.encode(body)
        host = (b"Host", self.address.encode())
        call = http_call.Call(
            address=self.address,
            method=method.encode(),
            target=target.encode(),
            headers=[host, *(_JSON if content else [])],
            body=content,
        )
        self.calls += 1
        name = target.partition("?")[0].split("/")[1]
        metrics.count_key_value_call(name)
        results: list[ResultT] = []

        def check(status: int, response: bytes) -> None:
            if status not in _REFUSALS:
                results.append(parse(status, response))

        try:
            with anyio.fail_after(timeout_s):
                status, _ = await self.http_client.fetch(call, check=check)
        except errors.EndpointError as error:
            raise _call_error(call, error.message, is_write=is_write) from None
        except TimeoutError:
            cause = f"no response within {timeout_s} s"
            raise _call_error(call, cause, is_write=is_write) from None
        if not results:
            message = f"the store responded with status {status} to {name}"
            raise errors.KeyValueError(message)
        return results[0]

    def _record_revision(self, revision: int) -> None:
        self.newest_revision = max(self.newest_revision, revision)

    async def get(self, key: str) -> pairs.Pair | None:
        """Returns the pair stored under a key, or None.

        Raises:
            KeyValueError: The store did not respond, or with an error.
        """

        def parse(status: int, body: bytes) -> pairs.Pair | None:
            if status == 404:
                return None
            item = _decode_response(status, body, _KeyItem)
            _check_answer(item.Key == key, f"key {key}")
            return _decode_pair(item)

        target = "/kv-key?" + urllib.parse.urlencode({"Key": key})
        return await self._call("GET", target, parse, timeout_s=READ_TIMEOUT_S)

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
            page = await self._list_page(prefix, after, stale=stale)
            # The pages are not read at one revision. The revision of the first
            # page is the one up to which all pages are complete.
            revision = revision or page.StoreRevision
            listed.extend(_decode_pair(item) for item in page.Items)
            if not page.HasMore or not page.Items:
                self._record_revision(revision)
                return pairs.Listing(listed, revision)
            after = page.Items[-1].Key

    async def _list_page(
        self, prefix: str, after: str, *, stale: bool
    ) -> _Page:
        """Returns one page of a listing."""

        def parse(status: int, body: bytes) -> _Page:
            page = _decode_response(status, body, _Page)
            is_answer = all(
                item.Key.startswith(prefix) and item.Key > after
                for item in page.Items
            )
            _check_answer(is_answer, f"prefix {prefix}")
            return page

        query = {"Prefix": prefix}
        if after:
            query["After"] = after
        if stale:
            query["AllowStale"] = "1"
        target = "/kv-range?" + urllib.parse.urlencode(query, safe="/")
        return await self._call("GET", target, parse, timeout_s=READ_TIMEOUT_S)

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

        def parse(status: int, body: bytes) -> _Events | None:
            if status == 410:
                return None
            events = _decode_response(status, body, _Events)
            is_answer = all(e.Key.startswith(prefix) for e in events.events)
            _check_answer(is_answer, f"prefix {prefix}")
            return events

        query = {
            "Prefix": prefix,
            "After": str(after),
            "WaitMs": str(min(30_000, int(wait_s * 1000))),
        }
        target = "/kv-watch?" + urllib.parse.urlencode(query, safe="/")
        events = await self._call(
            "GET", target, parse, timeout_s=wait_s + WATCH_MARGIN_S
        )
        if events is None:
            raise errors.HistoryGoneError(
                f"the store no longer has the history of {prefix}"
            )
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
            KeyValueRefusedError: The store refuses the write for what it
                holds, so that a repetition fails as well.
            KeyValueUnknownError: The call may have taken effect, or may
                still do so as long as its guards hold.
            LeaseEndedError: A put names a lease that has ended.
        """
        revision_before = self.newest_revision

        def parse(status: int, body: bytes) -> int:
            if status == 412:
                return 0
            if status == 404:
                raise errors.LeaseEndedError("the lease of a write has ended")
            if 400 <= status < 500 and status != _REQUEST_TIMEOUT:
                raise errors.KeyValueRefusedError(
                    f"the store responded with status {status} to a write"
                )
            try:
                revision = _decode_response(status, body, _Committed).Revision
            except errors.KeyValueError as error:
                raise errors.KeyValueUnknownError(error.message) from None
            if revision <= revision_before:
                raise errors.KeyValueUnknownError(
                    f"revision {revision} is that of an earlier write"
                )
            return revision

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
        revision = await self._call(
            "POST",
            "/kv-txn",
            parse,
            body,
            timeout_s=WRITE_TIMEOUT_S,
            is_write=True,
        )
        self._record_revision(revision)
        return revision

    async def grant(self, ttl_s: float) -> int:
        """Creates a lease and returns its id.

        Raises:
            KeyValueError: The store did not respond, or with an error.
        """
        lease = await self._call(
            "POST",
            "/kv-lease",
            lambda status, body: _decode_response(status, body, _Lease),
            {"TtlMs": int(ttl_s * 1000)},
            timeout_s=WRITE_TIMEOUT_S,
        )
        return lease.Lease

    async def keep_alive(self, lease_id: int) -> bool:
        """Renews a lease; returns False if it has already ended.

        Raises:
            KeyValueError: The store did not respond, or with an error.
        """

        def parse(status: int, body: bytes) -> bool:
            if status == 404:
                return False
            _decode_response(status, body, _Lease)
            return True

        return await self._call(
            "POST", f"/kv-keep/{lease_id}", parse, timeout_s=READ_TIMEOUT_S
        )

    async def revoke(self, lease_id: int) -> None:
        """Ends a lease and deletes the keys bound to it.

        Raises:
            KeyValueError: The store did not respond, or with an error.
        """
        await self._call(
            "DELETE",
            f"/kv-lease-end/{lease_id}",
            lambda status, _body: status,
            timeout_s=READ_TIMEOUT_S,
        )


def _call_error(
    call: http_call.Call, cause: str, *, is_write: bool
) -> errors.KeyValueError:
    if is_write and call.progress.sending_started:
        return errors.KeyValueUnknownError(f"no response to a write: {cause}")
    return errors.KeyValueError(f"the store is not reachable: {cause}")


def _check_answer(is_answer: bool, question: str) -> None:
    """Checks that a response is not a late copy of another one.

    Raises:
        KeyValueError: It does not answer the question.
    """
    if not is_answer:
        raise errors.KeyValueError(f"the response is not about {question}")


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
