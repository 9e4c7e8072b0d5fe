"""A fleet of real processes whose store rejects the active scheduler, or all.

Five workers run, so that the active scheduler owns no jobs.
"""

from collections.abc import Iterator
import pathlib
import signal
import time

import platform_fleet
import pytest

SCHEDULER = "store-0"
OUTAGE_S = 6.0
ITEMS = 6
EVENTS = 300
"""Events of an item, which takes about 3 s."""


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[platform_fleet.Fleet]:
    with platform_fleet.run_fleet(
        tmp_path, engines=2, gateways=2, workers=5
    ) as running:
        yield running


def _wait_for_job(fleet: platform_fleet.Fleet, job_id: str) -> None:
    """Waits until each item of a job has its result, and checks its runs."""
    platform_fleet.wait_for(
        lambda: len(_results_so_far(fleet, job_id)) == ITEMS
    )
    ids = [run["id"] for engine in (0, 1) for run in fleet.runs(engine)]
    assert sum(i.startswith(f"{job_id}-") for i in ids) == ITEMS


def _results_so_far(fleet: platform_fleet.Fleet, job_id: str) -> list[str]:
    answer = fleet.call_batch("GET", f"/lots/{job_id}?After=0")
    return answer.json()["Results"] if answer.status_code == 200 else []


@pytest.mark.parametrize("fault", ["down", "silent"])
def test_jobs_go_on_through_an_outage(
    fleet: platform_fleet.Fleet, fault: str
) -> None:
    """Guards against jobs that wait, or run again, after an outage.

    The leases of all workers end in it. They vanished from the views, so that
    jobs had no owner and requests had no scheduler.
    """
    fleet.set_store_faults(refuse=[fleet.ip(40)])
    assert fleet.submit("j-before", ITEMS, events=EVENTS).status_code == 202
    fleet.set_store_faults(**{fault: True})
    end_s = time.monotonic() + OUTAGE_S
    while time.monotonic() < end_s:
        assert fleet.chat().status_code == 200
        time.sleep(0.5)
    fleet.set_store_faults()
    _wait_for_job(fleet, "j-before")
    assert fleet.submit("j-after", ITEMS).status_code == 202
    _wait_for_job(fleet, "j-after")
    for name, program in fleet.programs.items():
        if name.startswith(("front-", "store-")):
            left = [e["left"] for e in program.events("members_changed")]
            assert not [names for names in left if names]
            owners = [
                e["owner_before"] for e in program.events("job_taken_over")
            ]
            assert not [name for name in owners if name]


@pytest.mark.parametrize("is_frozen", [True, False])
def test_jobs_go_on_without_the_active_scheduler(
    fleet: platform_fleet.Fleet, is_frozen: bool
) -> None:
    """Guards against items that wait for a scheduler that does not answer."""
    assert fleet.submit("j-before", ITEMS, events=EVENTS).status_code == 202
    program = fleet.programs[SCHEDULER]
    program.send_signal(signal.SIGSTOP if is_frozen else signal.SIGKILL)
    for index in range(6):
        # This organisation has no rate. The next scheduler has no tokens for
        # a rate before time is passed on to it.
        answer = fleet.chat(index % 2, key=platform_fleet.OTHER_KEY)
        assert answer.status_code == 200
    assert fleet.submit("j-after", ITEMS).status_code == 202
    _wait_for_job(fleet, "j-before")
    _wait_for_job(fleet, "j-after")
    if is_frozen:
        program.send_signal(signal.SIGCONT)
