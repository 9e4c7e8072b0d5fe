"""A scheduler that answers too slowly for online requests."""

from typing import Any

import anyio
import fake_fleet
import pytest

from ibisknot import placement
from ibisknot.gen.fleet import ttypes


@pytest.mark.parametrize(
    ("delay_s", "lost", "regained"),
    [(0.05, {"w0"}, True), (0.3, {"w0"}, False), (0.3, {"w0", "w1"}, True)],
)
def test_slow_scheduler_is_used_again_only_if_no_other_one_responds(
    delay_s: float, lost: set[str], regained: bool
) -> None:
    """Guards against online requests that time out again and again.

    The scheduler answers reports, which have more time than requests, so it
    was lost and regained with every report.
    """
    clock = fake_fleet.Clock()
    peers = fake_fleet.Peers()
    tasks = fake_fleet.TaskGroup()
    client = placement.Client(
        fake_fleet.process(),
        fake_fleet.view(),
        peers,  # type: ignore[arg-type]
        clock,  # type: ignore[arg-type]
        tasks,
    )

    def answer_late(address: str, _message: Any) -> ttypes.ReportAccepted:
        if address == "w0:1":
            clock.time_s += delay_s
        return ttypes.ReportAccepted(counts_accrued=True)

    async def main() -> None:
        peers.answers["places_held"] = answer_late
        client.unresponsive.update(lost)
        await client._report(clock.now())
        await tasks.run()

    anyio.run(main)
    assert ("w0" not in client.unresponsive) is regained
