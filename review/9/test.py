"""Gateways that restart let a request crash engines again and again."""

import concurrent.futures
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "harness-2"))

import fleet as fleets

GATEWAYS = 3
ENGINES = 6
CONTACT_S = 3.0
"""`ContactMs`: before it has passed a restarted machine is not in touch."""
RETRIES = 3
"""More retries than this at engines break the rule."""
GRACE_S = 8.0
PERIOD_S = 1.3
"""Time between two arrivals of the request, at one gateway after the other."""
BACK_AFTER_S = 2.0
DAY_S = 72.0
FIRST_RESTART_S = 12.0
RESTART_GAP_S = 18.0
DEADLY = "deadly"
"""Each engine that begins to run a request with this body crashes."""


class Engines:
    """Restarts engines that have crashed, and counts their crashes."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self.is_over = False
        self.crashes_s: list[float] = []
        self.back_s: dict[str, float] = {}

    def run(self) -> None:
        """Watches the engines until the end."""
        names = [f"e-{n}" for n in range(ENGINES)]
        while not self.is_over:
            now = time.monotonic()
            for name in names:
                has_ended = self.fleet.processes[name].poll() is not None
                if has_ended and name not in self.back_s:
                    self.crashes_s.append(now)
                    self.back_s[name] = now + BACK_AFTER_S
                    self.fleet.record(f"{name} has crashed")
                elif has_ended and now >= self.back_s[name]:
                    del self.back_s[name]
                    self.fleet.spawn(name)
            time.sleep(0.02)


class Gateways:
    """Stops and starts gateways in turn."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        self.touched_s = dict.fromkeys(range(GATEWAYS), time.monotonic())
        self.is_stopping: set[int] = set()

    def restart(self, number: int) -> None:
        """Sends SIGTERM to a gateway and starts it again when it has ended."""
        name = f"front-{number}"
        self.is_stopping.add(number)
        self.fleet.record(f"{name}: SIGTERM")
        process = self.fleet.processes[name]
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(timeout=GRACE_S)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
        self.fleet.spawn(name)
        self.fleet.wait_until_ready([20 + number])
        self.touched_s[number] = time.monotonic()
        self.is_stopping.discard(number)
        self.fleet.record(f"{name}: ready again")

    def is_in_touch(self, number: int) -> bool:
        """Returns whether a gateway was not restarted for `ContactMs`."""
        if number in self.is_stopping:
            return False
        return time.monotonic() - self.touched_s[number] > CONTACT_S


def ask(
    fleet: fleets.Fleet, number: int, body: str, request_id: str
) -> tuple[int, str]:
    """Sends one request; returns its status."""
    status, _ = fleet.call(
        20 + number,
        "POST",
        "/chat/x",
        request_id=request_id,
        body=body.encode(),
        headers={
            "X-Ibisknot-Model": "m",
            "X-Ibisknot-Token-Usage": "450,10",
            "X-Ibisknot-Prompt-Prefix": f"9c2e41:200,{request_id}:250",
            "X-Ibisknot-Deadline-Ms": "5000",
        },
        timeout_s=7.0,
    )
    return status, request_id


def send_all(
    fleet: fleets.Fleet, engines: Engines, *, has_trouble: bool
) -> tuple[set[str], int]:
    """Sends the requests and restarts the gateways meanwhile.

    Returns:
        The ids of the retries that count, and the number of sound requests
        that were served.
    """
    gateways = Gateways(fleet)
    started_s = time.monotonic()
    restarts = [
        (started_s + FIRST_RESTART_S + RESTART_GAP_S * n, n)
        for n in range(GATEWAYS)
    ]
    late_ids: set[str] = set()
    served = 0
    number = 0
    restarting: list[concurrent.futures.Future[None]] = []
    with concurrent.futures.ThreadPoolExecutor(GATEWAYS) as pool:
        while time.monotonic() < started_s + DAY_S:
            now = time.monotonic()
            if has_trouble and restarts and now >= restarts[0][0]:
                due = restarts.pop(0)[1]
                restarting.append(pool.submit(gateways.restart, due))
            number += 1
            target = number % GATEWAYS
            if target not in gateways.is_stopping:
                request_id = fleets.new_id()
                third_s = engines.crashes_s[2:3]
                is_late = bool(third_s) and now > third_s[0] + CONTACT_S
                was_in_touch = gateways.is_in_touch(target)
                status, _ = ask(fleet, target, DEADLY, request_id)
                fleet.record(f"front-{target}: {request_id}: {status}")
                if is_late and was_in_touch and gateways.is_in_touch(target):
                    late_ids.add(request_id)
                status, _ = ask(fleet, target, "sound", fleets.new_id())
                served += status == 200
            time.sleep(PERIOD_S)
        for future in restarting:
            future.result()
    return late_ids, served


def test(fleet: fleets.Fleet, has_trouble: bool) -> int:
    """Runs the case."""
    route = fleets.stream_route("q", "/chat/", Resumable=False, MaxAttempts=1)
    fleet.start_store(fleets.desired_state([route], ["llm"]))
    for number in range(ENGINES):
        fleet.start_engine(
            f"e-{number}", 60 + number, "--event-ms=10", f"--deadly={DEADLY}"
        )
    for number in range(GATEWAYS):
        fleet.start_node(f"front-{number}", "front", 20 + number)
    for number in range(3):
        fleet.start_node(f"store-{number}", "store", 40 + number, 330)
    fleet.wait_until_ready([20 + n for n in range(GATEWAYS)])
    time.sleep(5.0)
    engines = Engines(fleet)
    watcher = threading.Thread(target=engines.run)
    watcher.start()
    try:
        late_ids, served = send_all(fleet, engines, has_trouble=has_trouble)
    finally:
        engines.is_over = True
        watcher.join()
    reached = [
        entry["id"]
        for n in range(ENGINES)
        for entry in fleet.log(f"e-{n}")
        if entry["event"] == "run" and entry["id"] in late_ids
    ]
    fleet.record(
        f"{len(engines.crashes_s)} crashes of engines; "
        f"{len(reached)} of {len(late_ids)} late retries from machines in "
        f"touch have reached engines; {served} sound requests served"
    )
    if len(reached) > RETRIES:
        fleet.record("BUDGET: more than three retries have reached engines")
        return fleets.BROKEN
    return fleets.HELD


HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""With TROUBLE=0 the script does the same without the disruption."""

fleets.main(__file__, test, has_trouble=HAS_TROUBLE)
