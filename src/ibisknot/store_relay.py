"""Reaches the key-value service through a peer when it turns this VM away.

The service may refuse or ignore single VMs while it serves the others. A
call that was not taken is then made by a worker on this VM's behalf. Guards
keep a write that is made twice harmless, as for any write without an answer.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import Any
from typing import TypeVar

import msgspec

from ibisknot import deployment
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import logs
from ibisknot import pairs
from ibisknot import peer
from ibisknot.gen.fleet import ttypes

FRESH_S = 1.5
"""Entries read so lately show that peers reach the service."""
AVOID_S = 2.0
"""After a failure the service is not asked directly for this time."""
TIMEOUT_S = 2.5
HELPERS = 2

T = TypeVar("T")


class _Listed(msgspec.Struct, array_like=True):
    prefix: str
    after: str
    stale: bool


class _Change(msgspec.Struct, array_like=True):
    guards: list[tuple[str, int]]
    puts: list[tuple[str, bytes, int]]
    deletes: list[str]


@dataclasses.dataclass(slots=True)
class Reach:
    """What is known of the way to the service.

    Attributes:
        avoid_until_s: Monotonic time until which peers are asked first.
    """

    avoid_until_s: float = -1e9


class Store:
    """A key-value service that is reached directly or through a peer."""

    def __init__(
        self,
        direct: pairs.Store,
        view: fleetview.View,
        peers: peer.Client,
        me: str,
        clock: Callable[[], float],
    ) -> None:
        self.direct = direct
        self.view = view
        self.peers = peers
        self.me = me
        self.clock = clock
        self.reach = Reach()

    def start(self, server: peer.Server) -> None:
        """Makes calls for peers."""
        server.on("store_call", ttypes.StoreCall, self.on_call)

    async def on_call(self, call: ttypes.StoreCall) -> ttypes.StoreAnswer:
        """Peer method: makes a call for a VM that is turned away.

        Raises:
            KeyValueError: The service does not take it from here either.
        """
        run = {
            "get": self._get_for,
            "list": self._list_for,
            "transact": self._transact_for,
            "grant": self._grant_for,
            "keep": self._keep_for,
        }[call.method]
        result = await run(call.arguments)
        return ttypes.StoreAnswer(result=msgspec.msgpack.encode(result))

    async def _get_for(self, arguments: bytes) -> Any:
        key = msgspec.msgpack.decode(arguments, type=str)
        found = await self.direct.get(key)
        return None if found is None else dataclasses.astuple(found)

    async def _list_for(self, arguments: bytes) -> Any:
        asked = msgspec.msgpack.decode(arguments, type=_Listed)
        found = await self.direct.list_prefix(
            asked.prefix, after=asked.after, stale=asked.stale
        )
        return [[dataclasses.astuple(p) for p in found.pairs], found.revision]

    async def _transact_for(self, arguments: bytes) -> Any:
        change = msgspec.msgpack.decode(arguments, type=_Change)
        return await self.direct.transact(
            [pairs.Guard(*guard) for guard in change.guards],
            [pairs.Put(*put) for put in change.puts],
            deletes=change.deletes,
        )

    async def _grant_for(self, arguments: bytes) -> Any:
        return await self.direct.grant(msgspec.msgpack.decode(arguments))

    async def _keep_for(self, arguments: bytes) -> Any:
        return await self.direct.keep_alive(msgspec.msgpack.decode(arguments))

    # Own calls ------------------------------------------------------------

    async def get(self, key: str) -> pairs.Pair | None:
        """Returns the pair stored under a key, or None."""
        found = await self._call(lambda: self.direct.get(key), "get", key)
        return pairs.Pair(*found) if isinstance(found, list) else found

    async def list_prefix(
        self, prefix: str, *, after: str = "", stale: bool = False
    ) -> pairs.Listing:
        """Returns the pairs whose key has a prefix, in key order."""
        found = await self._call(
            lambda: self.direct.list_prefix(prefix, after=after, stale=stale),
            "list",
            _Listed(prefix, after, stale),
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
        """Writes all or nothing; returns the revision, or 0."""
        deleted = deletes or []
        change = _Change(
            [(g.key, g.revision) for g in guards],
            [(p.key, p.value, p.lease) for p in puts],
            deleted,
        )
        return await self._call(
            lambda: self.direct.transact(guards, puts, deletes=deleted),
            "transact",
            change,
        )

    async def grant(self, ttl_s: float) -> int:
        """Creates a lease and returns its id."""
        return await self._call(
            lambda: self.direct.grant(ttl_s), "grant", ttl_s
        )

    async def keep_alive(self, lease: int) -> bool:
        """Renews a lease; False means that it has already ended."""
        return await self._call(
            lambda: self.direct.keep_alive(lease), "keep", lease
        )

    async def revoke(self, lease: int) -> None:
        """Ends a lease and deletes the keys bound to it."""
        await self.direct.revoke(lease)

    async def changes(
        self, prefix: str, after: int, wait_s: float
    ) -> pairs.Changes:
        """Waits for changes below a prefix after a revision."""
        return await self.direct.changes(prefix, after, wait_s)

    async def _call(
        self, direct: Callable[[], Awaitable[T]], method: str, arguments: Any
    ) -> Any:
        """Makes a call directly, or through a peer when that fails.

        Raises:
            KeyValueError: Neither way led to an answer.
        """
        if self.clock() >= self.reach.avoid_until_s or not self._helpers():
            try:
                return await direct()
            except errors.LeaseEndedError:
                raise
            except errors.KeyValueUnknownError:
                self.reach.avoid_until_s = self.clock() + AVOID_S
                raise
            except errors.KeyValueError as error:
                helpers = self._helpers()
                if not helpers:
                    raise
                self.reach.avoid_until_s = self.clock() + AVOID_S
                logs.event(
                    "store_relayed",
                    method=method,
                    through=helpers[0].name,
                    cause=error.message,
                )
        return await self._relay(method, arguments)

    def _helpers(self) -> list[fleetview.Member]:
        """Returns workers that seem to reach the service."""
        if self.clock() - self.view.endpoints_read_s > FRESH_S:
            return []
        line = fleetview.in_line(self.view.members.values())
        return [
            m for m in line if m.name != self.me and m.kind == deployment.WORKER
        ][:HELPERS]

    async def _relay(self, method: str, arguments: Any) -> Any:
        call = ttypes.StoreCall(
            method=method, arguments=msgspec.msgpack.encode(arguments)
        )
        failed = errors.KeyValueError("no peer reaches the store")
        for helper in self._helpers():
            try:
                answer = await self.peers.call(
                    helper.address,
                    "store_call",
                    call,
                    ttypes.StoreAnswer,
                    timeout_s=TIMEOUT_S,
                )
            except (errors.KeyValueUnknownError, errors.LeaseEndedError):
                raise
            except errors.KeyValueError as error:
                failed = error
                continue
            except errors.PeerError as error:
                if error.ran != errors.NOT_RUN and method == "transact":
                    raise errors.KeyValueUnknownError(error.message) from None
                failed = errors.KeyValueError(error.message)
                continue
            return msgspec.msgpack.decode(answer.result)
        raise failed
