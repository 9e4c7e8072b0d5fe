"""Notification of the worker that runs a job."""

from typing import Any

import anyio
import fake_fleet

from ibisknot import fleetview
from ibisknot import job_owners


async def _notify(
    view: fleetview.View,
    peers: fake_fleet.Peers,
    parts: list[bytes] | None = None,
) -> None:
    client: Any = peers
    await job_owners.notify(view, client, "j", "w0", parts)


def test_lost_notification_is_sent_again() -> None:
    """Guards against a cancelled job whose items go on.

    The listing that would find it is rare in a large fleet.
    """

    async def main() -> None:
        view = fake_fleet.view(workers=1)
        peers = fake_fleet.Peers()
        peers.unresponsive = {"w0:1"}
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(_notify, view, peers)
            await anyio.wait_all_tasks_blocked()
            assert peers.count("job_changed") == 1
            peers.unresponsive.clear()
        assert peers.count("job_changed") == 2

    anyio.run(main)


def test_items_of_a_large_job_are_not_sent() -> None:
    """Guards against messages over the limit of a frame."""

    async def main() -> None:
        view = fake_fleet.view(workers=1)
        peers = fake_fleet.Peers()
        large = [b"x" * (job_owners.MAX_NOTIFIED_BYTES + 1)]
        for parts in (large, [b"x"]):
            await _notify(view, peers, parts)
        sent = [message.parts for _, _, message in peers.calls]
        assert sent == [None, [b"x"]]

    anyio.run(main)
