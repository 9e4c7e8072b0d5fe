"""Streams go on only at the version of the software that began them."""

from collections.abc import Callable
from concurrent import futures
import pathlib
import signal
import threading

import httpx
import platform_fleet

from ibisknot import stream_records

STREAM_EVENTS = 60
EVENT_S = 0.05
RECORDED_EVENTS = 15
"""Events after which a stream has been written into the store."""
# Schedulers count the slots of killed gateways for some seconds.
SLOTS = ("--slots=16",)
OLD_ENGINES = (0,)
NEW_ENGINES = (1,)


def _start(fleet: platform_fleet.Fleet, *, gateways: int, workers: int) -> None:
    """Starts a fleet, then an engine of newer software."""
    fleet.start(
        engines=1, gateways=gateways, workers=workers, engine_options=SLOTS
    )
    fleet.start_engine(NEW_ENGINES[0], "--software=v2", *SLOTS)
    fleet.wait_for_endpoint("e-1")


def _engines_of(fleet: platform_fleet.Fleet, request_id: str) -> set[int]:
    """Returns the engines that ran a request."""
    return {
        engine
        for engine in (*OLD_ENGINES, *NEW_ENGINES)
        if f"engine-{engine}" in fleet.programs
        for run in fleet.runs(engine)
        if run["id"] == request_id
    }


def _events(fleet: platform_fleet.Fleet, request_id: str) -> int:
    """Returns how many of four events a caller gets; 0 if the stream breaks."""
    try:
        answer = fleet.chat(request_id=request_id, events=4)
    except httpx.RemoteProtocolError:
        return 0
    return answer.text.count("data: ")


def test_broken_stream_goes_on_at_the_software_that_began_it(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against an answer that is joined from two software versions."""
    fleet = platform_fleet.Fleet(tmp_path)
    try:
        _start(fleet, gateways=1, workers=1)
        fleet.set_engine_faults(0, cut_after=2)
        went_on = False
        # An engine that fails often gets no requests for a while, so a stream
        # may also break; it must not be joined.
        while not went_on:
            ids = [platform_fleet.new_id() for _ in range(2)]
            with futures.ThreadPoolExecutor(len(ids)) as pool:
                answers = list(pool.map(lambda i: _events(fleet, i), ids))
            engines = [_engines_of(fleet, i) for i in ids]
            assert {0, 1} not in engines
            went_on = (4, {0}) in zip(answers, engines, strict=True)
    finally:
        fleet.stop()


class _Caller:
    """Reads one stream until its connection breaks.

    Attributes:
        request_id: Id of the request.
        text: What was received.
    """

    def __init__(self, fleet: platform_fleet.Fleet, gateway: int) -> None:
        self.fleet = fleet
        self.gateway = gateway
        self.request_id = platform_fleet.new_id()
        self.text = ""
        self.thread = threading.Thread(target=self._read)
        self.thread.start()

    def _read(self) -> None:
        url = (
            f"http://{self.fleet.ip(20 + self.gateway)}"
            f":{platform_fleet.CALLER_PORT}/chat/a"
        )
        headers = {
            "Host": platform_fleet.HOST,
            "Authorization": f"Token {platform_fleet.KEY}",
            "X-Ibisknot-Request-Id": self.request_id,
            "X-Ibisknot-Deadline-Ms": "20000",
            "X-Ibisknot-Token-Usage": f"9,{STREAM_EVENTS}",
        }
        try:
            with httpx.stream(
                "POST", url, headers=headers, content=b"x", timeout=20.0
            ) as answer:
                for piece in answer.iter_text():
                    self.text += piece
        except httpx.HTTPError:
            # The gateway was killed.
            pass

    def last_event_id(self) -> int:
        """Returns the id of the last whole event received."""
        return self.text.count("\n\n")

    def take_up(self, gateway: int) -> httpx.Response:
        """Resumes the stream in a new request."""
        self.thread.join()
        return self.fleet.chat(
            gateway,
            events=STREAM_EVENTS,
            headers={
                "Last-Event-Id": str(self.last_event_id()),
                "Resumes": self.request_id,
            },
        )


def _take_up_all(callers: list[_Caller]) -> list[httpx.Response]:
    """Takes all streams up at once, each at the other one of two gateways."""
    with futures.ThreadPoolExecutor(len(callers)) as pool:
        return list(pool.map(lambda c: c.take_up(1 - c.gateway), callers))


def _kill(
    fleet: platform_fleet.Fleet,
    *kinds: str,
    meanwhile: Callable[[platform_fleet.Fleet], None] = lambda _: None,
) -> None:
    """Kills all processes of some kinds and starts them again.

    Args:
        fleet: The fleet.
        *kinds: `front` for the gateways, `store` for the workers.
        meanwhile: Called once all have been killed.
    """
    killed = [
        program
        for name, program in fleet.programs.items()
        if name.startswith(tuple(f"{kind}-" for kind in kinds))
    ]
    for program in killed:
        program.stop(signal.SIGKILL)
    meanwhile(fleet)
    for program in killed:
        program.start()
    for index in range(2):
        platform_fleet.wait_for(lambda n=index: fleet.is_ready(n))


def _delete_stream_records(fleet: platform_fleet.Fleet) -> None:
    """Deletes what the processes have written of streams."""
    prefix = stream_records.KEY_PREFIX
    found = fleet.call_store_admin(f"/kv-range?Prefix={prefix}")
    assert found is not None
    keys = [item["Key"] for item in found.json()["Items"]]
    assert keys
    answer = fleet.call_store_admin("/kv-txn", {"Remove": keys})
    assert answer is not None
    assert answer.status_code == 200


def _wait_for_record(fleet: platform_fleet.Fleet, *versions: str) -> None:
    """Waits until the record of the software has some versions."""
    expected = [["llm", version] for version in versions]
    platform_fleet.wait_for(
        lambda: any(
            entry["software"] == expected
            for program in fleet.programs.values()
            for entry in program.events("software_recorded")
        )
    )


def _begin_streams(
    fleet: platform_fleet.Fleet, count: int, *, events: int
) -> list[_Caller]:
    """Begins streams at two gateways; returns once all have some events."""
    for engine in (*OLD_ENGINES, *NEW_ENGINES):
        fleet.set_engine_faults(engine, event_s=EVENT_S)
    callers = [_Caller(fleet, n % 2) for n in range(count)]
    platform_fleet.wait_for(
        lambda: all(c.last_event_id() >= events for c in callers)
    )
    return callers


def _resuming_id(answer: httpx.Response) -> str:
    """Returns the id of the request that has resumed a stream."""
    request_id: str = answer.request.headers["X-Ibisknot-Request-Id"]
    return request_id


def _check_software(
    fleet: platform_fleet.Fleet,
    callers: list[_Caller],
    answers: list[httpx.Response],
) -> None:
    """Checks that each stream went on, at the engine that began it."""
    for caller, answer in zip(callers, answers, strict=True):
        resuming_id = _resuming_id(answer)
        entries = [
            *fleet.entries_of(caller.request_id),
            *fleet.entries_of(resuming_id),
        ]
        assert answer.status_code == 200, entries
        began = _engines_of(fleet, caller.request_id)
        assert _engines_of(fleet, resuming_id) == began, entries


def test_stream_taken_up_after_all_gateways_died_keeps_its_software(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a stream that goes on at a process that knows no more."""
    fleet = platform_fleet.Fleet(tmp_path)
    try:
        _start(fleet, gateways=2, workers=2)
        callers = _begin_streams(fleet, 6, events=3)
        _kill(fleet, "front")
        _check_software(fleet, callers, _take_up_all(callers))
    finally:
        fleet.stop()


def test_streams_of_two_versions_go_on_after_all_processes_died(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against refusing or joining all that no process remembers."""
    fleet = platform_fleet.Fleet(tmp_path)
    try:
        _start(fleet, gateways=2, workers=2)
        callers = _begin_streams(fleet, 6, events=RECORDED_EVENTS)
        _kill(fleet, "front", "store")
        _check_software(fleet, callers, _take_up_all(callers))
    finally:
        fleet.stop()


def test_stream_is_not_guessed_after_all_processes_died(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a joined stream that nobody remembers or has written."""
    fleet = platform_fleet.Fleet(tmp_path)
    try:
        _start(fleet, gateways=2, workers=2)
        _wait_for_record(fleet, "v1", "v2")
        callers = _begin_streams(fleet, 4, events=RECORDED_EVENTS)
        _kill(fleet, "front", "store", meanwhile=_delete_stream_records)
        for answer in _take_up_all(callers):
            assert answer.status_code == 503
            assert _engines_of(fleet, _resuming_id(answer)) == set()
    finally:
        fleet.stop()


def test_stream_of_the_only_version_goes_on_after_all_processes_died(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against refusals where there is nothing to mistake."""
    fleet = platform_fleet.Fleet(tmp_path)
    try:
        fleet.start(engines=1, gateways=2, workers=2, engine_options=SLOTS)
        _wait_for_record(fleet, "v1")
        fleet.set_engine_faults(0, event_s=EVENT_S)
        caller = _Caller(fleet, 0)
        platform_fleet.wait_for(lambda: caller.last_event_id() >= 3)
        _kill(fleet, "front", "store")
        # A process that has just started may not have read the record yet.
        platform_fleet.wait_for(lambda: caller.take_up(1).status_code == 200)
    finally:
        fleet.stop()
