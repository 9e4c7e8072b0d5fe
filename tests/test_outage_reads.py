"""Reads of the store by a fleet that the store rejects."""

import anyio
import fake_fleet
import pytest
import view_world

from ibisknot import fleetview
from ibisknot import view_runner
from ibisknot.outage import probing


def test_entry_is_renewed_when_the_store_is_back() -> None:
    """Guards against a worker that leaves the view before its next renewal.

    The members may be read before the entries. Its own entry is retained in
    its view, so it does not see that it lapsed.
    """
    world = view_world.World("w1")
    world.store.revision = 9
    world.clock.time_s += 2 * fleetview.OUTAGE_THRESHOLD_S
    world.poll_members()
    assert "w1" in world.view.members
    world.poll_members()
    renewals = [function for function, _ in world.task_group.tasks]
    assert renewals == [world.runner.registration.renew]


@pytest.mark.parametrize("workers", [2, 30])
def test_reads_of_a_fleet_in_an_outage_are_bounded(workers: int) -> None:
    """Guards against store calls in an outage that grow with the fleet."""
    view = fake_fleet.view(gateways=75, workers=workers)
    calls_per_s = 0.0
    for name in view.members:
        position = fleetview.reader_position(view, name)
        calls_per_s += 1.0 / probing.pause_s(position, 0.35)
    assert calls_per_s < len(view.members) / 2


def test_members_are_not_read_while_the_entries_cannot_be_read() -> None:
    """Guards against a second failing call for each one in an outage."""
    world = view_world.World("w1")
    world.store.is_down = True
    world.clock.time_s += 2 * fleetview.OUTAGE_THRESHOLD_S
    anyio.run(world.runner._poll_entries, world.clock.now())
    world.poll_members()
    assert world.store.calls == {"list": 1}
    world.store.is_down = False
    world.clock.time_s += view_runner.MAX_RETRY_PAUSE_S
    anyio.run(world.runner._poll_entries, world.clock.now())
    world.poll_members()
    assert world.store.calls == {"list": 3}


def test_operator_keys_are_read_again_once_a_peer_has_read_the_store() -> None:
    """Guards against a process that follows the keys late after an outage."""
    world = view_world.World("g0")
    world.view.members = fake_fleet.view(gateways=1, workers=6).members

    async def main() -> None:
        ended = anyio.Event()

        async def wait() -> None:
            await world.runner._wait_for_store(0.0)
            ended.set()

        async with anyio.create_task_group() as task_group:
            task_group.start_soon(wait)
            await anyio.sleep(2 * view_runner.STORE_CHECK_PERIOD_S)
            assert not ended.is_set()
            world.clock.time_s += view_runner.STORE_CHECK_PERIOD_S
            world.view.endpoints_read_s = world.clock.now()

    anyio.run(main)
