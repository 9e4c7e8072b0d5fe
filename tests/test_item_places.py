"""Places of batch items at one worker."""

import anyio
from anyio import abc

from ibisknot import item_places


class _World:
    """Items that hold their places until the test ends them.

    Attributes:
        running: Names of the routes of the items that have places, in order.
    """

    def __init__(self, task_group: abc.TaskGroup) -> None:
        self.places = item_places.Places()
        self.task_group = task_group
        self.running: list[str] = []
        self.scopes: list[anyio.CancelScope] = []

    async def start(self, route: str, count: int = 1) -> None:
        """Starts items of a route."""
        for _ in range(count):
            scope = anyio.CancelScope()
            self.scopes.append(scope)
            self.task_group.start_soon(self._hold, route, scope)
        await anyio.wait_all_tasks_blocked()

    async def _hold(self, route: str, scope: anyio.CancelScope) -> None:
        with scope:
            async with self.places.take(route):
                self.running.append(route)
                try:
                    await anyio.sleep_forever()
                finally:
                    self.running.remove(route)

    async def end(self, index: int) -> None:
        """Ends the item that was started as the nth."""
        self.scopes[index].cancel()
        await anyio.wait_all_tasks_blocked()


def _run(scenario: object) -> None:
    async def main() -> None:
        async with anyio.create_task_group() as task_group:
            await scenario(_World(task_group))  # type: ignore[operator]
            task_group.cancel_scope.cancel()

    anyio.run(main)


def test_items_of_one_route_do_not_hold_all_places() -> None:
    """Guards against items without an endpoint that hold up all others."""

    async def scenario(world: _World) -> None:
        await world.start("stuck", 5 * item_places.MAX_PLACES)
        assert world.running.count("stuck") == item_places.MAX_PLACES
        await world.start("other", 2 * item_places.RESERVED_PLACES)
        assert world.running.count("other") == item_places.RESERVED_PLACES

    _run(scenario)


def test_places_are_bounded_with_many_routes() -> None:
    """Guards against memory that grows with the number of routes."""

    async def scenario(world: _World) -> None:
        routes = 5
        for number in range(routes):
            await world.start(f"r{number}", 2 * item_places.MAX_PLACES)
        most = item_places.MAX_PLACES + routes * item_places.RESERVED_PLACES
        assert len(world.running) <= most

    _run(scenario)


def test_free_place_goes_to_who_has_waited_longest() -> None:
    """Guards against items that later ones overtake for ever."""

    async def scenario(world: _World) -> None:
        await world.start("a", item_places.MAX_PLACES)
        await world.start("b", item_places.RESERVED_PLACES + 1)
        await world.start("a", 1)
        await world.end(0)
        # The reserved places are beyond the limit, which is still reached.
        assert world.running.count("a") == item_places.MAX_PLACES - 1
        for index in range(1, item_places.RESERVED_PLACES + 1):
            await world.end(index)
        assert world.running.count("b") == item_places.RESERVED_PLACES + 1

    _run(scenario)


def test_item_that_is_cancelled_while_it_waits_leaves_the_queue() -> None:
    """Guards against places that nobody holds and nobody gets."""

    async def scenario(world: _World) -> None:
        await world.start("a", item_places.MAX_PLACES + 2)
        await world.end(item_places.MAX_PLACES)
        await world.end(0)
        assert len(world.running) == item_places.MAX_PLACES
        assert not world.places.waiting
        for index in range(len(world.scopes)):
            await world.end(index)
        assert not world.places.used

    _run(scenario)
