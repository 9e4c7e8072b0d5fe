"""A late write of a killed process takes its successor out of the fleet."""

import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "harness-2"))

import fleet as fleets

WORKERS = 3
LATE_S = 2.0
"""A write without an answer is done 1 to 6 s later."""
LOST_S = 4.5
ITEMS = 10
DUE_S = 18.0
FINISH_S = 18.0
CALM_S = 5.0
MEMBERS = "ibisknot/members/store-"


def kill_and_restart(fleet: fleets.Fleet, names: list[str]) -> None:
    """Kills processes at the same moment; they are back within a second."""
    for name in names:
        fleet.processes[name].kill()
    for name in names:
        fleet.processes[name].wait()
    fleet.record(f"killed: {', '.join(names)}")
    time.sleep(0.3)
    for name in names:
        fleet.spawn(name)


def is_calm(fleet: fleets.Fleet) -> bool:
    """Returns whether nothing ran at the engines in the last 5 s."""
    since_s = time.time() - CALM_S
    seen = [e for name in ("e-1", "e-2") for e in fleet.log(name)]
    runs = [e for e in seen if e["event"] == "run"]
    late = [e for e in seen if e["t"] >= since_s]
    fleet.record(f"engines: {len(runs)} runs, {len(late)} events in 5 s")
    return not late


def test(fleet: fleets.Fleet, has_trouble: bool) -> int:
    """Runs the case."""
    fleet.start_store(
        fleets.desired_state([fleets.batch_route("b", "/b/")], ["llm"])
    )
    for number in (1, 2):
        fleet.start_engine(f"e-{number}", 60 + number)
    for number in range(2):
        fleet.start_node(f"front-{number}", "front", 20 + number)
    workers = [f"store-{n}" for n in range(WORKERS)]
    for number, name in enumerate(workers):
        fleet.start_node(name, "store", 40 + number, 330)
    fleet.wait_until_ready([20, 21])
    time.sleep(5.0)
    if has_trouble:
        fleet.admin(
            "faults",
            {"late_keys": MEMBERS, "late_count": WORKERS, "late_s": LATE_S},
        )
    started_s = time.monotonic()
    if has_trouble:
        kill_and_restart(fleet, workers)
        time.sleep(1.2)
        kill_and_restart(fleet, workers)
    number = 0
    while time.monotonic() < started_s + LOST_S:
        # Clients go on meanwhile.
        number += 1
        items = [
            fleets.item(fleets.new_id(), f"/b/{n}", tokens=500, events=20)
            for n in range(2)
        ]
        status = fleet.submit(20 + number % 2, "/b/x", fleets.new_id(), items)
        fleet.record(f"a batch job of 2 items: {status}")
        time.sleep(0.25)
    writes = fleet.admin("writes", {})
    late = WORKERS if has_trouble else 0
    fleet.record(f"{late} of {writes} writes in {LOST_S} s were late")
    time.sleep(8.0)
    fleet.record(f"members: {fleet.admin('keys', {'prefix': MEMBERS})}")
    job_id = fleets.new_id()
    items = [
        fleets.item(fleets.new_id(), f"/b/{n}", tokens=500, events=20)
        for n in range(ITEMS)
    ]
    status = fleet.submit(20, "/b/x", job_id, items)
    fleet.record(f"{job_id}: {ITEMS} items: {status}")
    if status != 202:
        raise fleets.CannotRunError("the batch job was not accepted")
    end_s = time.monotonic() + DUE_S + FINISH_S
    count = 0
    while time.monotonic() < end_s and count < ITEMS:
        status, page = fleet.read_results(21, job_id, count, 1000)
        count += len(page.get("Results", []))
        time.sleep(0.5)
    fleet.record(f"{count} of {ITEMS} items are listed")
    fleet.record(f"members: {fleet.admin('keys', {'prefix': MEMBERS})}")
    running = [n for n in workers if fleet.processes[n].poll() is None]
    fleet.record(f"running workers: {running}")
    if count == ITEMS or status != 200 or not is_calm(fleet):
        return fleets.HELD
    fleet.record("LOST: items are not listed although the engines are idle")
    return fleets.BROKEN


HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""With TROUBLE=0 the script does the same without the disruption."""

fleets.main(__file__, test, has_trouble=HAS_TROUBLE)
