"""Limits the batch items that run or wait for a ticket at one worker.

Items of one route may wait for long, for example while their service has no
endpoint. So that they do not hold up all others, each route has some places
beyond the limit for all together.
"""

import collections
from collections.abc import AsyncIterator
import contextlib

import anyio

MAX_PLACES = 200
"""Places for the items of all routes together."""
RESERVED_PLACES = 40
"""Places that a route's items get also if all others are taken."""


class Places:
    """Gives items their places, those that wait longest first.

    Attributes:
        used: Number of places that the items of each route hold.
        waiting: The route of each waiting item and the event that is set when
            it has a place, in the order in which they came.
    """

    def __init__(self) -> None:
        self.used: collections.Counter[str] = collections.Counter()
        self.waiting: list[tuple[str, anyio.Event]] = []

    @contextlib.asynccontextmanager
    async def take(self, route: str) -> AsyncIterator[None]:
        """Waits for a place, and holds it until the context ends.

        Args:
            route: Name of the route of the item's job.
        """
        if not self._has_room(route):
            await self._wait(route)
        else:
            self.used[route] += 1
        try:
            yield
        finally:
            self._give_back(route)

    async def _wait(self, route: str) -> None:
        """Waits until the item has been given a place."""
        has_place = anyio.Event()
        entry = (route, has_place)
        self.waiting.append(entry)
        try:
            await has_place.wait()
        except BaseException:
            if has_place.is_set():
                self._give_back(route)
            else:
                self.waiting.remove(entry)
            raise

    def _has_room(self, route: str) -> bool:
        total = self.used.total()
        return total < MAX_PLACES or self.used[route] < RESERVED_PLACES

    def _give_back(self, route: str) -> None:
        """Frees a place, and gives places to those that wait for one."""
        self.used[route] -= 1
        if not self.used[route]:
            del self.used[route]
        full: set[str] = set()
        for entry in list(self.waiting):
            waiting_route, has_place = entry
            if waiting_route in full:
                continue
            if not self._has_room(waiting_route):
                full.add(waiting_route)
                continue
            self.waiting.remove(entry)
            self.used[waiting_route] += 1
            has_place.set()
