"""Finds out which broken responses were crashes of their endpoints.

An endpoint that has crashed refuses connections. A lost answer, wrong bytes or
a link that was cut is no crash.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

import anyio

from ibisknot import fleet_endpoint
from ibisknot import http11
from ibisknot import isolation

COLLECT_S = 0.01
"""Time in which the candidates of one crash are collected."""
CONNECT_TIMEOUT_S = 0.25
MAX_WAIT_S = 0.3
"""Longest time for which a request waits for news of its own crashes."""


@dataclasses.dataclass(slots=True, frozen=True)
class Candidate:
    """A request that was in progress at an endpoint whose response broke off.

    Attributes:
        parts: Hashes of the parts of its prompt; empty if it had output, so
            that they are no cause.
        name: The hash by which earlier builds know the request; empty if
            they need not hear of it.
    """

    parts: tuple[int, ...]
    name: str = ""


OnCrash = Callable[[str, float, dict[int, Candidate]], Awaitable[None]]
"""Called with the endpoint's name and start, the monotonic time of its crash,
and the requests that were in progress, by fingerprint."""


class Confirmation:
    """Collects broken responses and confirms crashes.

    Attributes:
        clock: Returns the monotonic time.
        task_group: Runs the confirmations.
        on_crash: Called with each crash.
        is_path_lost: Returns whether another process reaches the endpoint at
            an address while this one does not; None if that is never so.
        collected: Candidates of crashes that are being confirmed, by the name
            and start of the endpoint.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        task_group: isolation.TaskStarter,
        on_crash: OnCrash,
        is_path_lost: Callable[[str], Awaitable[bool]] | None,
    ) -> None:
        self.clock = clock
        self.task_group = task_group
        self.on_crash = on_crash
        self.is_path_lost = is_path_lost
        self.collected: dict[str, dict[int, Candidate]] = {}

    def report_broken(
        self,
        endpoint: fleet_endpoint.Endpoint,
        fingerprint: int,
        candidate: Candidate,
    ) -> None:
        """Reports a request whose response broke off.

        Args:
            endpoint: The endpoint, which may have crashed.
            fingerprint: What the request has in common with its resends.
            candidate: The request.
        """
        key = f"{endpoint.name}/{endpoint.born_ms}"
        if key not in self.collected:
            self.collected[key] = {}
            self.task_group.start_soon(
                self._confirm, key, endpoint.address, self.clock()
            )
        self.collected[key][fingerprint] = candidate

    async def wait(self) -> None:
        """Waits until it is known which broken responses were crashes."""
        with anyio.move_on_after(MAX_WAIT_S):
            while self.collected:
                await anyio.sleep(COLLECT_S)

    async def _confirm(self, key: str, address: str, occurred_s: float) -> None:
        """Passes a crash on if nothing listens at the endpoint any more."""
        await anyio.sleep(COLLECT_S)
        has_crashed = await self._is_refused(address)
        candidates = self.collected.pop(key)
        if has_crashed:
            await self.on_crash(key, occurred_s, candidates)

    async def _is_refused(self, address: str) -> bool:
        """Returns whether nothing listens at an endpoint's address.

        A link that is cut may refuse connections as well.
        """
        if not await http11.refuses_connections(address, CONNECT_TIMEOUT_S):
            return False
        return self.is_path_lost is None or not await self.is_path_lost(address)
