"""Relays calls of the key-value service through a peer if direct calls fail.

The service may refuse or ignore single VMs while it serves the others. A
worker then makes a call that the service did not take from this VM. Guards
make a write that is made twice harmless, as any write without an answer.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any
from typing import TypeVar

import msgspec
import xxhash

from ibisknot import deployment
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import logs
from ibisknot import pairs
from ibisknot import peer
from ibisknot.gen.fleet import ttypes
from ibisknot.outage import gate

DIRECT_CALL_PAUSE_S = 2.0
"""Time after a failed direct call in which calls are relayed at once."""
RELAY_TIMEOUT_S = 2.5
RELAY_PAUSE_S = 0.5
"""Time after a relayed call without success in which none is relayed.

If no process reaches the service, each call is thus made about once.
"""
MAX_HELPERS = 2
"""Maximum count of peers through which a call is tried."""

T = TypeVar("T")


class _ListRequest(msgspec.Struct, array_like=True):
    """Arguments of `list_prefix` on the wire."""

    prefix: str
    after: str
    stale: bool


class _TransactRequest(msgspec.Struct, array_like=True):
    """Arguments of `transact` on the wire.

    Attributes:
        guards: Key and revision of each guard.
        puts: Key, value and lease id of each put.
        deletes: Keys to delete.
    """

    guards: list[tuple[str, int]]
    puts: list[tuple[str, bytes, int]]
    deletes: list[str]


@dataclasses.dataclass(slots=True)
class DirectAccess:
    """State of this VM's direct access to the service.

    Attributes:
        paused_until_s: Monotonic time until which calls are relayed without a
            direct call first.
        is_failing: Whether the last direct call failed.
        unrelayed_until_s: Monotonic time until which calls are not relayed,
            because no helper got an answer.
    """

    paused_until_s: float = -1e9
    is_failing: bool = False
    unrelayed_until_s: float = -1e9


class RelayingStore:
    """A client that calls the service directly or through a peer.

    `revoke` and `changes` are never relayed.

    Attributes:
        direct_store: The client that calls the service directly.
        view: The fleet view, from which the peers are chosen.
        own_name: Name of this VM.
        clock: Returns the monotonic time in seconds.
        direct_access: State of the direct calls, which may be paused.
        gate: Holds failed calls until they may be repeated.
    """

    def __init__(
        self,
        direct_store: pairs.KeyValueStore,
        view: fleetview.View,
        peers: peer.Client,
        own_name: str,
        clock: Callable[[], float],
    ) -> None:
        self.direct_store = direct_store
        self.view = view
        self.peers = peers
        self.own_name = own_name
        self.clock = clock
        self.direct_access = DirectAccess()
        self.gate = gate.Gate(view, clock)

    def start(self, server: peer.Server) -> None:
        """Registers the peer method that makes calls for other VMs."""
        server.on("store_call", ttypes.StoreCall, self.on_store_call)

    async def on_store_call(self, call: ttypes.StoreCall) -> ttypes.StoreAnswer:
        """Peer method: makes a call for a VM whose direct calls fail.

        Raises:
            KeyValueError: The service does not take the call from here either.
        """
        handler = {
            "get": self._serve_get,
            "list": self._serve_list,
            "transact": self._serve_transact,
            "grant": self._serve_grant,
            "keep": self._serve_keep_alive,
        }[call.method]
        result = await handler(call.arguments)
        return ttypes.StoreAnswer(result=msgspec.msgpack.encode(result))

    async def _serve_get(self, arguments: bytes) -> Any:
        key = msgspec.msgpack.decode(arguments, type=str)
        found = await self.direct_store.get(key)
        return None if found is None else dataclasses.astuple(found)

    async def _serve_list(self, arguments: bytes) -> Any:
        request = msgspec.msgpack.decode(arguments, type=_ListRequest)
        found = await self.direct_store.list_prefix(
            request.prefix, after=request.after, stale=request.stale
        )
        return [[dataclasses.astuple(p) for p in found.pairs], found.revision]

    async def _serve_transact(self, arguments: bytes) -> Any:
        request = msgspec.msgpack.decode(arguments, type=_TransactRequest)
        try:
            return await self.direct_store.transact(
                [pairs.Guard(*guard) for guard in request.guards],
                [pairs.Put(*put) for put in request.puts],
                deletes=request.deletes,
            )
        except errors.KeyValueRefusedError as error:
            # Builds before this error know only the one for unknown outcomes.
            raise errors.KeyValueUnknownError(error.message) from None

    async def _serve_grant(self, arguments: bytes) -> Any:
        return await self.direct_store.grant(msgspec.msgpack.decode(arguments))

    async def _serve_keep_alive(self, arguments: bytes) -> Any:
        return await self.direct_store.keep_alive(
            msgspec.msgpack.decode(arguments)
        )

    # Own calls ------------------------------------------------------------

    async def get(self, key: str) -> pairs.Pair | None:
        """Returns the pair stored under a key, or None."""
        found = await self._call(lambda: self.direct_store.get(key), "get", key)
        return pairs.Pair(*found) if isinstance(found, list) else found

    async def list_prefix(
        self, prefix: str, *, after: str = "", stale: bool = False
    ) -> pairs.Listing:
        """Returns the pairs whose key has a prefix, in key order.

        `KeyValueStore.list_prefix` describes the arguments.
        """
        found = await self._call(
            lambda: self.direct_store.list_prefix(
                prefix, after=after, stale=stale
            ),
            "list",
            _ListRequest(prefix, after, stale),
        )
        if isinstance(found, pairs.Listing):
            return found
        return pairs.Listing([pairs.Pair(*p) for p in found[0]], found[1])

    async def transact(
        self,
        guards: list[pairs.Guard],
        puts: list[pairs.Put],
        *,
        deletes: list[str] | None = None,
    ) -> int:
        """Applies a transaction; returns the revision, 0 if a guard fails."""
        deleted = deletes or []
        request = _TransactRequest(
            [(g.key, g.revision) for g in guards],
            [(p.key, p.value, p.lease_id) for p in puts],
            deleted,
        )
        return await self._call(
            lambda: self.direct_store.transact(guards, puts, deletes=deleted),
            "transact",
            request,
        )

    async def grant(self, ttl_s: float) -> int:
        """Creates a lease of `ttl_s` seconds and returns its id."""
        return await self._call(
            lambda: self.direct_store.grant(ttl_s), "grant", ttl_s
        )

    async def keep_alive(self, lease_id: int) -> bool:
        """Renews a lease; False means that it has already ended."""
        return await self._call(
            lambda: self.direct_store.keep_alive(lease_id), "keep", lease_id
        )

    async def revoke(self, lease_id: int) -> None:
        """Ends a lease and deletes the keys bound to it."""
        await self.direct_store.revoke(lease_id)

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> pairs.Changes:
        """Waits for changes of the keys with a prefix after a revision."""
        return await self.direct_store.changes(prefix, after, wait_s)

    async def _call(
        self,
        call_directly: Callable[[], Awaitable[T]],
        method: str,
        arguments: Any,
    ) -> Any:
        """Makes a call directly, or through a peer if that fails.

        A write without an answer is not relayed, as it may have taken effect.
        While direct calls fail, only a call that is not a write tries another
        one from time to time: a write would get no answer for as long as the
        service takes to fail.

        Args:
            call_directly: Makes the direct call.
            method: Name of the call on the wire.
            arguments: Its arguments, as sent to the peer.

        Raises:
            KeyValueError: Neither the direct nor a relayed call succeeded.
            KeyValueUnknownError: The call may have taken effect.
            LeaseEndedError: The lease of a write has ended.
        """
        try:
            result = await self._call_either_way(
                call_directly, method, arguments
            )
        except (errors.LeaseEndedError, errors.KeyValueRefusedError):
            self.gate.record_success()
            raise
        except errors.KeyValueError:
            self.gate.record_failure()
            raise
        self.gate.record_success()
        return result

    async def _call_either_way(
        self,
        call_directly: Callable[[], Awaitable[T]],
        method: str,
        arguments: Any,
    ) -> Any:
        """Makes a call directly, or through a peer if that fails."""
        access = self.direct_access
        is_paused = self.clock() < access.paused_until_s or (
            access.is_failing and method == "transact"
        )
        if not is_paused or not self._helpers():
            try:
                result = await self.gate.run(
                    call_directly, is_write=method == "transact"
                )
            except (errors.LeaseEndedError, errors.KeyValueRefusedError):
                access.is_failing = False
                raise
            except errors.KeyValueUnknownError:
                self._pause_direct_calls()
                raise
            except errors.KeyValueError as error:
                self._pause_direct_calls()
                helpers = self._helpers()
                if not helpers:
                    raise
                logs.event(
                    "store_relayed",
                    method=method,
                    through=helpers[0].name,
                    cause=error.message,
                )
            else:
                access.is_failing = False
                return result
        return await self._relay(method, arguments)

    def _pause_direct_calls(self) -> None:
        self.direct_access.is_failing = True
        self.direct_access.paused_until_s = self.clock() + DIRECT_CALL_PAUSE_S

    def _helpers(self) -> list[fleetview.Member]:
        """Returns the workers to relay through, in order of preference.

        There are none if the entries are so old that the workers probably do
        not reach the service either, or if they have just said so. Each
        process prefers other ones; the active scheduler is the last choice.
        """
        now = self.clock()
        is_useless = now < self.direct_access.unrelayed_until_s
        if is_useless or self.gate.is_outage():
            return []
        members = fleetview.by_precedence(self.view.members.values())
        workers = [m for m in members if m.kind == deployment.WORKER]
        active = workers[0].name if workers else ""
        others = [m for m in workers if m.name != self.own_name]
        others.sort(key=lambda m: (m.name == active, self._preference(m)))
        return others[:MAX_HELPERS]

    def _preference(self, member: fleetview.Member) -> int:
        """Returns a number that orders the helpers of this process."""
        pair = f"{self.own_name}/{member.name}"
        return xxhash.xxh3_64_intdigest(pair.encode())

    async def _relay(self, method: str, arguments: Any) -> Any:
        """Makes a call through the first worker that gets an answer.

        Raises:
            KeyValueError: No worker got an answer.
            KeyValueUnknownError: A write may have taken effect.
            LeaseEndedError: The lease of a write has ended.
        """
        call = ttypes.StoreCall(
            method=method, arguments=msgspec.msgpack.encode(arguments)
        )
        last_error = errors.KeyValueError("no peer reaches the store")
        for helper in self._helpers():
            try:
                answer = await self.peers.call(
                    helper.address,
                    "store_call",
                    call,
                    ttypes.StoreAnswer,
                    timeout_s=RELAY_TIMEOUT_S,
                )
            except (errors.KeyValueUnknownError, errors.LeaseEndedError):
                raise
            except errors.KeyValueError as error:
                last_error = error
                continue
            except errors.PeerError as error:
                if error.ran != errors.NOT_RUN and method == "transact":
                    raise errors.KeyValueUnknownError(error.message) from None
                last_error = errors.KeyValueError(error.message)
                continue
            return msgspec.msgpack.decode(answer.result)
        self.direct_access.unrelayed_until_s = self.clock() + RELAY_PAUSE_S
        raise last_error
