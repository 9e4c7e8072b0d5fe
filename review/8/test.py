"""A worker goes on with a batch job whose end was acknowledged."""

import concurrent.futures
import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "harness-2"))

import fleet as fleets

WORKERS = 30
GATEWAYS = 3
ENGINES = 2
JOBS = 4
ITEMS = 6
EVENTS = 400
EVENT_MS = 50
ONLINE_AT_ONCE = 12
ONLINE_PERIOD_S = 0.8
OTHER_JOBS_PERIOD_S = 0.1
CANCEL_S = 3.0
CONTACT_S = 5.0
"""`ContactMs` of the large site: the store must have been calm for it."""
ROUNDS = 4
ROUND_S = 13.4
"""A round begins a quarter of the listings' period later than the one before:
not each moment between two listings shows the fault."""


def send_online(fleet: fleets.Fleet, number: int) -> int:
    """Sends an online request; returns its status."""
    request_id = fleets.new_id()
    status, _ = fleet.call(
        20 + number % GATEWAYS,
        "POST",
        "/chat/x",
        request_id=request_id,
        body=b"prompt",
        headers={
            "X-Ibisknot-Model": "m",
            "X-Ibisknot-Token-Usage": "450,4",
            "X-Ibisknot-Prompt-Prefix": f"9c2e41:200,{request_id}:250",
            "X-Ibisknot-Deadline-Ms": "5000",
        },
    )
    return status


class Load:
    """Online requests and other batch jobs, as on a usual day."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self.is_over = threading.Event()
        self.statuses: list[int] = []
        self.threads = [
            threading.Thread(target=self._send_online),
            threading.Thread(target=self._submit),
        ]
        for thread in self.threads:
            thread.start()

    def _send_online(self) -> None:
        with concurrent.futures.ThreadPoolExecutor(2 * ONLINE_AT_ONCE) as pool:
            number = 0
            while not self.is_over.wait(ONLINE_PERIOD_S):
                for _ in range(ONLINE_AT_ONCE):
                    number += 1
                    future = pool.submit(send_online, self.fleet, number)
                    future.add_done_callback(
                        lambda f: self.statuses.append(f.result())
                    )

    def _submit(self) -> None:
        number = 0
        while not self.is_over.wait(OTHER_JOBS_PERIOD_S):
            number += 1
            host = 20 + number % GATEWAYS
            other = fleets.item(fleets.new_id(), "/b/o", tokens=500, events=4)
            self.fleet.submit(host, "/b/x", fleets.new_id(), [other])

    def end(self) -> None:
        """Ends the load and records what was served."""
        self.is_over.set()
        for thread in self.threads:
            thread.join()
        served = self.statuses.count(200)
        self.fleet.record(f"{served} of {len(self.statuses)} online served")


def submit_jobs(fleet: fleets.Fleet) -> dict[str, list[str]]:
    """Submits batch jobs; returns the ids of their items by job id."""
    jobs: dict[str, list[str]] = {}
    for _ in range(JOBS):
        job_id = fleets.new_id()
        ids = [fleets.new_id() for _ in range(ITEMS)]
        items = [
            fleets.item(i, f"/b/{i}", tokens=900, events=EVENTS) for i in ids
        ]
        status = fleet.submit(20, "/b/x", job_id, items)
        fleet.record(f"{job_id}: {ITEMS} items: {status}")
        if status != 202:
            raise fleets.CannotRunError("a batch job was not accepted")
        jobs[job_id] = ids
    return jobs


def end_jobs(
    fleet: fleets.Fleet, job_ids: list[str], *, has_trouble: bool
) -> dict[str, float]:
    """Ends batch jobs; returns the times of the acks."""
    acks: dict[str, float] = {}

    def end(job_id: str) -> None:
        status, _ = fleet.call(21, "DELETE", f"/lots/{job_id}")
        if status == 200:
            acks[job_id] = time.time()
        fleet.record(f"{job_id}: end: {status}")

    faults = {
        "late_keys": "ibisknot/batch/open/",
        "late_alone": True,
        "late_count": JOBS,
        "late_s": 0.0,
    }
    fleet.admin("faults", faults if has_trouble else {})
    with concurrent.futures.ThreadPoolExecutor(JOBS) as pool:
        list(pool.map(end, job_ids))
    writes = fleet.admin("writes", {})
    fleet.admin("faults", {})
    fleet.record(f"{JOBS if has_trouble else 0} of {writes} writes were lost")
    return acks


def count_late(
    fleet: fleets.Fleet,
    jobs: dict[str, list[str]],
    acks: dict[str, float],
    calm_since_s: float,
) -> int:
    """Counts the runs of items that break the rule."""
    late = 0
    job_of = {i: job_id for job_id, ids in jobs.items() for i in ids}
    for name in (f"e-{n}" for n in range(ENGINES)):
        for entry in fleet.log(name):
            job_id = job_of.get(entry["id"], "")
            if entry["event"] != "run" or job_id not in acks:
                continue
            since_s = entry["reached"] - acks[job_id]
            if (
                since_s <= CANCEL_S
                or entry["reached"] - calm_since_s <= CONTACT_S
            ):
                continue
            late += 1
            fleet.record(
                f"{entry['id']} of {job_id} runs at {name} "
                f"{since_s:.2f} s after the ack of its end"
            )
    return late


def test(fleet: fleets.Fleet, has_trouble: bool) -> int:
    """Runs the case."""
    fleet.start_store(
        fleets.desired_state(
            [
                fleets.stream_route("q", "/chat/"),
                fleets.batch_route("b", "/b/"),
            ],
            ["llm"],
        )
    )
    for number in range(ENGINES):
        fleet.start_engine(
            f"e-{number}", 60 + number, f"--event-ms={EVENT_MS}", "--slots=8"
        )
    for number in range(GATEWAYS):
        fleet.start_node(f"front-{number}", "front", 20 + number)
    for number in range(WORKERS):
        fleet.start_node(f"store-{number:02}", "store", 100 + number)
    fleet.wait_until_ready([20 + n for n in range(GATEWAYS)])
    time.sleep(8.0)
    load = Load(fleet)
    late = 0
    try:
        for _ in range(ROUNDS):
            started_s = time.monotonic()
            jobs = submit_jobs(fleet)
            time.sleep(1.0)
            acks = end_jobs(fleet, list(jobs), has_trouble=has_trouble)
            calm_since_s = time.time()
            time.sleep(max(0.0, started_s + ROUND_S - time.monotonic()))
            late = count_late(fleet, jobs, acks, calm_since_s)
            fleet.record(f"{late} runs later than CancelMs after the ack")
            if late:
                break
    finally:
        load.end()
    return fleets.BROKEN if late else fleets.HELD


HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""With TROUBLE=0 the script does the same without the disruption."""

fleets.main(__file__, test, has_trouble=HAS_TROUBLE)
