"""Reads the requests that a fleet received from the logs of its processes.

In the log events `place_*` a place is a ticket; the field `place` is its id.
"""

from collections.abc import Iterable
import dataclasses
import datetime
from typing import Any

import msgspec

from ibisknot import admission

LINE_START = '{"time"'


@dataclasses.dataclass(slots=True)
class Request:
    """A request or batch item that acquired a ticket at least once.

    Attributes:
        kind: `admission.ONLINE` or `admission.BATCH`.
        arrived_s: Unix time at which it first requested a ticket.
        started_s: Unix time at which it first acquired one.
        completed_s: Unix time at which its response was complete, or None.
        held_s: Slot-seconds of all its tickets; estimated for a request that
            never completed.
    """

    kind: str
    arrived_s: float
    started_s: float
    completed_s: float | None = None
    held_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Day:
    """The requests of a period of time and the slots for them.

    Attributes:
        requests: The requests that acquired a ticket, in order of arrival.
        slots: Pairs of a Unix time and the count of slots from this time on.
        refused_count: Online attempts that acquired no ticket. Their callers
            send them again as other requests, so they are not in `requests`.
    """

    requests: list[Request] = dataclasses.field(default_factory=list)
    slots: list[tuple[float, int]] = dataclasses.field(default_factory=list)
    refused_count: int = 0


def read_day(lines: Iterable[str]) -> Day:
    """Returns the requests and slots of the events in log lines.

    Args:
        lines: Lines of all processes in any order, each with the JSON of one
            event. Text before the JSON, and lines without an event, are
            ignored.
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
    """Gives requests that never completed the mean `held_s` of their kind."""
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
