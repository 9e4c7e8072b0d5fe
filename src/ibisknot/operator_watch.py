"""Follows the keys that the operator writes to the key-value service."""

from collections.abc import Awaitable
from collections.abc import Callable
import random

import anyio

from ibisknot import errors
from ibisknot import logs
from ibisknot import pairs

WATCH_TIMEOUT_S = 12.0
"""Time after which a watch call without changes returns."""
MIN_RETRY_PAUSE_S = 0.2
MAX_RETRY_PAUSE_S = 0.5
UNNEEDED_PAUSE_S = 0.25
"""Period at which a process checks whether it must follow the keys."""


class OperatorWatch:
    """Applies the changes of the operator's keys.

    Attributes:
        store: The key-value service, called directly: what is applied is
            published to peers and must not come from one.
        prefix: Prefix of the keys.
        apply: Called with each change, and with each key when all are read.
        is_needed: Returns whether the keys must be followed now.
        on_reachability: Called with whether the service responds, and with
            the cause if it does not.
        wait_for_store: Waits until a call that failed may be repeated, from
            the shortest time to wait in seconds.
        on_current: Called when all changes up to some moment are known, with
            the seconds since then.
        on_listing: Called with each read of all keys, before they are applied:
            a key that it lacks was deleted.
        is_following: Whether all keys were read and their changes are being
            waited for.
        wait_scope: Cancelled to end the wait for changes; None before it.
    """

    def __init__(
        self,
        store: pairs.KeyValueStore,
        prefix: str,
        apply: Callable[[pairs.Change], None],
        *,
        is_needed: Callable[[], bool],
        on_reachability: Callable[[bool, str], None],
        on_current: Callable[[float], None],
        on_listing: Callable[[pairs.Listing], None],
        wait_for_store: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self.store = store
        self.prefix = prefix
        self.apply = apply
        self.is_needed = is_needed
        self.on_reachability = on_reachability
        self.on_current = on_current
        self.on_listing = on_listing
        self.wait_for_store = wait_for_store
        self.is_following = False
        self.wait_scope: anyio.CancelScope | None = None
        self.rng = random.Random()

    async def run(self) -> None:
        """Follows the keys until cancelled.

        Reads all keys first, and again after a failure and when the changes
        since the last known revision are unknown.
        """
        after_revision = 0
        while True:
            if not self.is_needed():
                after_revision = 0
                self._set_following(False, "unneeded")
                await anyio.sleep(UNNEEDED_PAUSE_S)
                continue
            try:
                if not after_revision:
                    started_s = anyio.current_time()
                    after_revision = await self._read_all()
                    self.on_reachability(True, "")
                    self._set_following(True)
                    self.on_current(anyio.current_time() - started_s)
                with anyio.CancelScope() as self.wait_scope:
                    after_revision = await self._wait_for_changes(
                        after_revision
                    )
                    continue
                after_revision = 0
                self._set_following(False, "other calls of the store failed")
            except errors.HistoryGoneError:
                after_revision = 0
            except errors.KeyValueError as error:
                after_revision = 0
                self.on_reachability(False, error.message)
                self._set_following(False, error.message)
                pause_s = self.rng.uniform(MIN_RETRY_PAUSE_S, MAX_RETRY_PAUSE_S)
                await self.wait_for_store(pause_s)

    def distrust(self) -> None:
        """Reads all keys anew, because other calls of the service failed.

        What they show may have happened to the wait for changes as well, which
        would go on without a sign.
        """
        if self.is_following and self.wait_scope is not None:
            self.wait_scope.cancel()

    def _set_following(self, is_following: bool, cause: str = "") -> None:
        """Records whether the keys are followed, and logs each change."""
        if is_following == self.is_following:
            return
        self.is_following = is_following
        logs.event(
            "operator_keys_followed"
            if is_following
            else "operator_keys_not_followed",
            cause=cause,
        )

    async def _read_all(self) -> int:
        """Applies all keys; returns the store's revision."""
        listing = await self.store.list_prefix(self.prefix)
        self.on_listing(listing)
        for pair in listing.pairs:
            self.apply(pairs.Change(pair.key, pair.value, pair.revision))
        return listing.revision

    async def _wait_for_changes(self, after_revision: int) -> int:
        """Applies the next changes; returns the revision that they reach."""
        watched = await self.store.changes(
            self.prefix, after_revision, WATCH_TIMEOUT_S
        )
        for change in watched.changes:
            self.apply(change)
        self.on_current(0.0)
        return watched.revision
