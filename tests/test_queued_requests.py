"""Queued batch requests that reports confirm, and their resends."""

from typing import Any

import anyio
from anyio import abc
import fake_fleet
import pytest

from ibisknot import _queued_requests
from ibisknot import admission
from ibisknot import placement
from ibisknot import scheduler
from ibisknot import ticket_types
from ibisknot.gen.fleet import ttypes

WORKERS = 5


class _World(fake_fleet.Peers):
    """A process, and the scheduler `w0` that answers it.

    Attributes:
        worker: The scheduler.
        client: The process that asks it.
    """

    def __init__(self, workers: int) -> None:
        super().__init__()
        view = fake_fleet.view(workers=workers)
        self.clock = fake_fleet.Clock()
        self.tasks = fake_fleet.TaskGroup()
        shared: Any = (view, self, self.clock, self.tasks)
        self.client = placement.Client(fake_fleet.process(), *shared)
        self.worker = scheduler.Scheduler("w0", *shared)

    async def call(
        self, address: str, method: str, message: Any, *_: Any, **__: Any
    ) -> Any:
        """Records a call, and lets the scheduler answer its own."""
        handler: Any = {
            "place_ask": self.worker.on_request,
            "places_held": self.worker.on_report,
            "place_returned": self.worker.on_released,
        }.get(method)
        answer = await super().call(address, method, message)
        if address == "w0:1" and handler is not None:
            return await handler(message)
        return answer

    async def report(self) -> None:
        """Sends a report, and what follows from it."""
        await self.client._report(self.clock.now())
        await self.tasks.run()
        await anyio.wait_all_tasks_blocked()


async def _queue(world: _World, tasks: abc.TaskGroup) -> None:
    """Fills both slots, and lets a batch request be queued."""
    for index in range(2):
        await world.worker.on_request(fake_fleet.place_ask(index))
    request = ticket_types.TicketRequest(
        "s", admission.BATCH, "r", None, max_wait_s=20.0
    )
    tasks.start_soon(world.client.acquire, request)
    await anyio.wait_all_tasks_blocked()
    assert len(world.client.pending) == 1


@pytest.mark.parametrize(("workers", "is_named"), [(WORKERS, True), (4, False)])
def test_large_fleet_confirms_queued_requests_by_report(
    workers: int, is_named: bool
) -> None:
    """Guards against a message for each queued item every 1.5 s."""

    async def main() -> None:
        world = _World(workers)
        async with anyio.create_task_group() as tasks:
            await _queue(world, tasks)
            await world.report()
            member = world.client.schedulers()[0]
            resend_s = world.client.requests.resend_s(member, admission.BATCH)
            expected = (
                _queued_requests.CONFIRMED_RESEND_S
                if is_named
                else _queued_requests.RESEND_S[admission.BATCH]
            )
            assert resend_s == expected
            online_s = world.client.requests.resend_s(member, admission.ONLINE)
            assert online_s == _queued_requests.RESEND_S[admission.ONLINE]
            assert world.count("place_ask") == 1
            tasks.cancel_scope.cancel()

    anyio.run(main)


@pytest.mark.parametrize("cause", ["lost grant", "forgotten"])
def test_request_that_is_not_queued_is_sent_again(cause: str) -> None:
    """Guards against items that wait for a grant that was lost."""

    async def main() -> None:
        world = _World(WORKERS)
        async with anyio.create_task_group() as tasks:
            await _queue(world, tasks)
            await world.report()
            if cause == "forgotten":
                group = world.worker.service("s").group
                (ticket_id,) = world.client.pending
                group.batch_queue.remove(ticket_id)
            for index in range(2):
                await world.worker.on_released(
                    ttypes.PlaceReturned(
                        group="s", id=f"r{index}", endpoint="e0", outcome="ok"
                    )
                )
            # Batch gets slots some time after a burst of online requests.
            world.clock.time_s += 2.0
            await world.worker.tick(world.clock.now())
            # The notice of the grant is lost.
            world.tasks.tasks.clear()
            await world.report()
            assert world.count("place_ask") == 2
            (ticket,) = world.client.tickets.values()
            assert ticket.granted_by == "w0"

    anyio.run(main)


def test_request_at_a_scheduler_that_was_passed_is_sent_again() -> None:
    """Guards against items that wait at a scheduler that left the fleet."""

    async def main() -> None:
        world = _World(WORKERS)
        async with anyio.create_task_group() as tasks:
            await _queue(world, tasks)
            await world.report()
            view = world.client.view
            view.members = {n: m for n, m in view.members.items() if n != "w0"}
            world.answers["place_ask"] = lambda _a, _m: ttypes.PlaceAnswer(
                "", ttypes.PlaceState.GRANTED, "e0", 0, 0
            )
            await world.report()
            asked = [a for a, m, _ in world.calls if m == "place_ask"]
            assert asked == ["w0:1", "w1:1"]
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_end_of_a_request_is_told_to_those_that_were_asked() -> None:
    """Guards against messages to standbys that know nothing of a request."""

    async def main() -> None:
        world = _World(WORKERS)
        async with anyio.create_task_group() as tasks:
            await _queue(world, tasks)
            tasks.cancel_scope.cancel()
        await world.tasks.run()
        told = [a for a, m, _ in world.calls if m == "place_returned"]
        assert told == ["w0:1"]
        assert not world.worker.service("s").group.batch_queue.size

    anyio.run(main)
