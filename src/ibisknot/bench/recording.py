"""Reads what callers asked of a fleet from the logs of its processes."""

from collections.abc import Iterable
import dataclasses
import datetime
from typing import Any

import msgspec

from ibisknot import admission

LINE_START = '{"time"'


@dataclasses.dataclass(slots=True)
class Request:
    """A request or batch item that was given a place at least once.

    Attributes:
        arrived_s: When it first asked for a place.
        started_s: When it first got one.
        ended_s: When its answer was whole, or None.
        held_s: Slot-seconds that it used.
    """

    kind: str
    arrived_s: float
    started_s: float
    completed_s: float | None = None
    held_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Day:
    """The requests of some time and the slots that there were for them.

    Attributes:
        requests: In order of arrival.
        slots: Times from which there was a number of slots.
        refused: Online attempts that got no place. Their callers come back
            as other requests, so these are not counted again.
    """

    requests: list[Request] = dataclasses.field(default_factory=list)
    slots: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    refused_count: int = 0


def read_day(lines: Iterable[str]) -> Day:
    """Returns the day that log lines tell of.

    Args:
        lines: Lines of all processes, each with the JSON of one event; what
            stands before the JSON is ignored.
    """
    events = [line for line in map(_decode_line, lines) if line is not None]
    events.sort(key=lambda line: line["time"])
    day = Day()
    requests: dict[tuple[str, str], Request] = {}
    open_tickets: dict[str, tuple[float, Request]] = {}
    for event in events:
        time_s = datetime.datetime.fromisoformat(event["time"]).timestamp()
        event_name = event["event"]
        if "slots" in event and event_name.startswith("place_"):
            day.slots.append((time_s, event["slots"]))
        if event_name == "place_taken":
            key = (event["kind"], event["request"])
            new_request = Request(
                event["kind"], time_s - event["waited_s"], time_s
            )
            open_tickets[event["place"]] = (
                time_s,
                requests.setdefault(key, new_request),
            )
        elif event_name == "place_returned" and event["place"] in open_tickets:
            acquired_s, request = open_tickets.pop(event["place"])
            request.held_s += time_s - acquired_s
            if event["outcome"] == admission.OK:
                request.completed_s = time_s
        elif event_name == "place_refused" and event["state"] == "overloaded":
            day.refused_count += 1
    day.requests = sorted(requests.values(), key=lambda r: r.arrived_s)
    _estimate_unfinished(day)
    return day


def _decode_line(line: str) -> dict[str, Any] | None:
    start_index = line.find(LINE_START)
    if start_index < 0:
        return None
    try:
        event: dict[str, Any] = msgspec.json.decode(line[start_index:])
    except msgspec.DecodeError:
        return None
    return event if "event" in event else None


def _estimate_unfinished(day: Day) -> None:
    """Gives requests that never ended the mean need of their kind."""
    for kind in (admission.ONLINE, admission.BATCH):
        requests = [r for r in day.requests if r.kind == kind]
        completed_held_s = [
            r.held_s for r in requests if r.completed_s is not None
        ]
        mean_s = (
            sum(completed_held_s) / len(completed_held_s)
            if completed_held_s
            else 0.0
        )
        for request in requests:
            if request.completed_s is None:
                request.held_s = mean_s
