"""Decides which clients are refused or closed for memory and descriptors.

The decision has no I/O. Each connection is an account that is charged for
what is held for it. A listener has a quota of connections. Work in progress,
which is a request that is being handled, is never closed.
"""

import collections
from collections.abc import Callable
import dataclasses
import sys

CONNECTION_BYTES = 144 * 1024
"""Cost of a connection: its objects, and two socket buffers.

The kernel uses up to twice the set size of a socket buffer, which is
`client_stream.SOCKET_BUFFER_BYTES`.
"""
MEMORY_DIVISOR = 2
"""Clients may hold one part in this many of a process's memory."""
RELIEF_DIVISOR = 8
"""Under pressure one part in this many of the budget is freed at once."""
RUNTIME_DESCRIPTORS = 200
MIN_CONNECTIONS = 8
ADDRESS_DIVISOR = 2
"""Under pressure an address keeps one part in this many of a quota."""

CONNECTIONS = "connections"
MEMORY = "memory"

Close = Callable[[str], None]
"""Refuses or closes a connection at once, with the cause."""


@dataclasses.dataclass(slots=True, eq=False)
class Quota:
    """The connections of one listener.

    Attributes:
        name: Name of the listener.
        max_connections: Largest number of connections.
        is_essential: Whether its connections are admitted, and served with
            little memory, also when other listeners have used up the budget.
        max_held_bytes: Largest total of `held_bytes`.
        held_bytes: That total now.
        accounts: The open connections.
        untried: Those without a completed request that are not handled now;
            the one without progress for the longest time is the first.
        idle: Likewise, those with a completed request.
        by_address: Number of connections by client address.
    """

    name: str
    max_connections: int
    is_essential: bool = False
    max_held_bytes: int = sys.maxsize
    held_bytes: int = 0
    accounts: set["Account"] = dataclasses.field(default_factory=set)
    untried: collections.OrderedDict["Account", None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    idle: collections.OrderedDict["Account", None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    by_address: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


@dataclasses.dataclass(slots=True, eq=False)
class Account:
    """One connection and what is held for it.

    Attributes:
        quota: Its listener's quota.
        address: The client's IP address.
        close: Closes it.
        held_bytes: Memory that it is charged for, without
            `CONNECTION_BYTES`.
        is_working: Whether a request of it is being handled.
        has_completed: Whether a request of it was answered.
        is_closed: Whether it was closed or told to close.
    """

    quota: Quota
    address: str
    close: Close
    held_bytes: int = 0
    is_working: bool = False
    has_completed: bool = False
    is_closed: bool = False


class Budget:
    """The memory that clients may hold, of all listeners.

    Attributes:
        max_bytes: Largest total of what connections are charged for.
        used_bytes: That total now.
        quotas: Quotas by listener.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.used_bytes = 0
        self.quotas: dict[str, Quota] = {}

    def add_quota(self, name: str, max_connections: int) -> Quota:
        """Adds a listener."""
        quota = Quota(name, max(MIN_CONNECTIONS, max_connections))
        self.quotas[name] = quota
        return quota

    def open(self, quota: Quota, address: str, close: Close) -> Account | None:
        """Admits a connection, or returns None if it is to be refused.

        Another one that is not being handled may be closed for it.
        """
        is_full = len(quota.accounts) >= quota.max_connections
        if is_full and not self._close_idle(quota, CONNECTIONS):
            return None
        while self.used_bytes + CONNECTION_BYTES > self.max_bytes:
            largest = self._sort_large(list(self.quotas.values()))[-1:]
            if largest:
                self.close(largest[0], MEMORY)
            elif not self._close_idle_of_any():
                if quota.is_essential:
                    break
                return None
        account = Account(quota, address, close)
        self.used_bytes += CONNECTION_BYTES
        quota.accounts.add(account)
        quota.untried[account] = None
        quota.by_address[address] += 1
        return account

    def release(self, account: Account) -> None:
        """Ends an account; a second call does nothing."""
        quota = account.quota
        if account not in quota.accounts:
            return
        account.is_closed = True
        quota.accounts.discard(account)
        quota.untried.pop(account, None)
        quota.idle.pop(account, None)
        self.used_bytes -= CONNECTION_BYTES + account.held_bytes
        quota.held_bytes -= account.held_bytes
        account.held_bytes = 0
        quota.by_address[account.address] -= 1
        if not quota.by_address[account.address]:
            del quota.by_address[account.address]

    def charge(self, account: Account, size: int) -> bool:
        """Charges for memory, or gives back a negative size.

        Returns:
            False if the budget stays used up, or the account is the one to
            refuse. It is charged in any case. Work in progress goes on then,
            but nothing new should be taken.
        """
        if account.is_closed:
            return False
        account.held_bytes += size
        account.quota.held_bytes += size
        self.used_bytes += size
        waiting = account.quota.untried
        if account.has_completed:
            waiting = account.quota.idle
        if size > 0 and account in waiting:
            waiting.move_to_end(account)
        if size <= 0 or not self.is_full(account.quota):
            return True
        return self._relieve(account)

    def is_full(self, quota: Quota) -> bool:
        """Returns whether clients of a listener hold more than they may."""
        return (
            self.used_bytes > self.max_bytes
            or quota.held_bytes > quota.max_held_bytes
        )

    def begin_work(self, account: Account) -> None:
        """Keeps a connection open while a request is handled."""
        account.is_working = True
        account.quota.untried.pop(account, None)
        account.quota.idle.pop(account, None)

    def end_work(self, account: Account, *, completed: bool = True) -> None:
        """Ends the protection that `begin_work` has begun.

        Args:
            account: The connection.
            completed: Whether the request was one that the process knows.
        """
        account.is_working = False
        account.has_completed = account.has_completed or completed
        if account in account.quota.accounts:
            waiting = account.quota.untried
            if account.has_completed:
                waiting = account.quota.idle
            waiting[account] = None

    def _close_idle(
        self, quota: Quota, cause: str, spared: Account | None = None
    ) -> bool:
        """Closes the first connection in the order below; False if none is.

        Clients that have never completed a request come first; among them,
        those of an address that has most of the quota; among those, the one
        without progress for the longest time.

        Args:
            quota: The listener of which one is closed.
            cause: Cause for the log.
            spared: Is not closed.
        """
        share = quota.max_connections // ADDRESS_DIVISOR
        for accounts in (quota.untried, quota.idle):
            chosen: Account | None = None
            for account in accounts:
                if account is spared:
                    continue
                chosen = chosen or account
                if quota.by_address[account.address] > share:
                    chosen = account
                    break
            if chosen is not None:
                self.close(chosen, cause)
                return True
        return False

    def _close_idle_of_any(self, spared: Account | None = None) -> bool:
        """Closes a connection of the listener that has most."""
        quotas = [q for q in self.quotas.values() if not q.is_essential]
        quotas.sort(key=lambda q: -len(q.accounts))
        return any(self._close_idle(q, MEMORY, spared) for q in quotas)

    def _sort_large(self, quotas: list[Quota]) -> list[Account]:
        """Returns those that hold more than a connection costs.

        The largest one, which is not being handled either, is the last.
        """
        large = [
            account
            for quota in quotas
            for accounts in (quota.untried, quota.idle)
            for account in accounts
            if account.held_bytes > CONNECTION_BYTES
        ]
        large.sort(key=lambda a: (a.held_bytes, not a.has_completed))
        return large

    def _relieve(self, account: Account) -> bool:
        """Closes the largest accounts that are not being handled.

        If none is larger than the connections themselves, those without
        progress are closed.

        Returns:
            Whether `account` may stay.
        """
        quota = account.quota
        is_quota_full = quota.held_bytes > quota.max_held_bytes
        quotas = [quota] if is_quota_full else list(self.quotas.values())
        large = self._sort_large(quotas)
        target_bytes = self.max_bytes - self.max_bytes // RELIEF_DIVISOR
        while large and (
            self.used_bytes > target_bytes
            or quota.held_bytes > quota.max_held_bytes
        ):
            largest = large.pop()
            if largest is account:
                return False
            self.close(largest, MEMORY)
        while self.is_full(quota) and not is_quota_full:
            if not self._close_idle_of_any(account):
                break
        is_small = account.held_bytes <= CONNECTION_BYTES
        return not self.is_full(quota) or (quota.is_essential and is_small)

    def close(self, account: Account, cause: str) -> None:
        """Closes a connection and releases its account."""
        self.release(account)
        account.close(cause)


def max_held_bytes(memory_bytes: int) -> int:
    """Returns the budget of a process.

    Args:
        memory_bytes: Memory limit of the process.
    """
    return memory_bytes // MEMORY_DIVISOR


def usable_descriptors(descriptors: int) -> int:
    """Returns how many descriptors the program may use.

    >>> usable_descriptors(1638), usable_descriptors(100)
    (1438, 50)
    """
    return max(descriptors // 2, descriptors - RUNTIME_DESCRIPTORS)
