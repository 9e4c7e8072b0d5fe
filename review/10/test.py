"""An engine that sends line ends without end holds a whole gateway up."""

import concurrent.futures
import os
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "harness-2"))

import fleet as fleets

TIMEOUT_S = 2.0
"""`TimeoutMs` of the route."""
SLACK_S = 0.5
REQUESTS = 100
FLOODED = 3
"""Answers that the faulty engine spoils: 3 in 100."""
EVENTS = 400
"""Events of a request, more than fit into `TimeoutMs`."""
PERIOD_S = 0.05


def test(fleet: fleets.Fleet, has_trouble: bool) -> int:
    """Runs the case."""
    fleet.start_store(
        fleets.desired_state(
            [
                fleets.stream_route(
                    "chat", "/chat/", TimeoutMs=int(TIMEOUT_S * 1000)
                )
            ],
            ["llm"],
        )
    )
    options = ("--slots=15", "--event-ms=10")
    if has_trouble:
        fleet.start_engine(
            "e-1", 60, *options, f"--flood-count={FLOODED}", r"--flood=\n"
        )
    else:
        fleet.start_engine("e-1", 60, *options)
    fleet.start_engine("e-2", 61, *options)
    fleet.start_engine("e-3", 62, *options)
    fleet.start_node("front-0", "front", 20)
    for number in range(3):
        fleet.start_node(f"store-{number}", "store", 40 + number, 330)
    fleet.wait_until_ready([20])
    time.sleep(4.0)
    lock = threading.Lock()
    late: list[float] = []
    unanswered: list[float] = []

    def send() -> None:
        request_id = fleets.new_id()
        started_s = time.monotonic()
        status, body = fleet.call(
            20,
            "POST",
            "/chat/x",
            request_id=request_id,
            body=b"prompt",
            headers={
                "X-Ibisknot-Model": "m",
                "X-Ibisknot-Token-Usage": f"100,{EVENTS}",
                "X-Ibisknot-Prompt-Prefix": f"9c2e41:50,{request_id}:50",
                "X-Ibisknot-Deadline-Ms": "8000",
            },
            timeout_s=12.0,
        )
        took_s = time.monotonic() - started_s
        with lock:
            fleet.record(
                f"{request_id}: status {status}, {len(body)} bytes, "
                f"ended after {took_s:.2f} s"
            )
            if took_s >= TIMEOUT_S:
                unanswered.append(took_s)
            if took_s > TIMEOUT_S + SLACK_S:
                late.append(took_s)

    misses = 0
    with concurrent.futures.ThreadPoolExecutor(REQUESTS) as pool:
        for _ in range(REQUESTS):
            pool.submit(send)
            time.sleep(PERIOD_S)
        for _ in range(5):
            misses += fleet.ready_status(20) != 200
            time.sleep(0.2)
    fleet.record(
        f"{len(unanswered)} requests had no final answer at TimeoutMs, "
        f"{len(late)} of them none {SLACK_S} s later; {misses} misses of ready"
    )
    if len(late) >= 8 and len(late) > len(unanswered) / 2:
        fleet.record("CONFIG: more than half have no answer in time")
        return fleets.BROKEN
    return fleets.HELD


HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""With TROUBLE=0 the script does the same without the disruption."""

fleets.main(__file__, test, has_trouble=HAS_TROUBLE)
