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
    ended_s: float | None = None
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
    refused: int = 0


def read(lines: Iterable[str]) -> Day:
    """Returns the day that log lines tell of.

    Args:
        lines: Lines of all processes, each with the JSON of one event; what
            stands before the JSON is ignored.
    """
    found = [line for line in map(_decoded, lines) if line is not None]
    found.sort(key=lambda line: line["time"])
    day = Day()
    requests: dict[tuple[str, str], Request] = {}
    taken: dict[str, tuple[float, Request]] = {}
    for line in found:
        now = datetime.datetime.fromisoformat(line["time"]).timestamp()
        event = line["event"]
        if "slots" in line and event.startswith("place_"):
            day.slots.append((now, line["slots"]))
        if event == "place_taken":
            key = (line["kind"], line["request"])
            made = Request(line["kind"], now - line["waited_s"], now)
            taken[line["place"]] = now, requests.setdefault(key, made)
        elif event == "place_returned" and line["place"] in taken:
            since_s, request = taken.pop(line["place"])
            request.held_s += now - since_s
            if line["outcome"] == admission.OK:
                request.ended_s = now
        elif event == "place_refused" and line["state"] == "overloaded":
            day.refused += 1
    day.requests = sorted(requests.values(), key=lambda r: r.arrived_s)
    _estimate_unfinished(day)
    return day


def _decoded(line: str) -> dict[str, Any] | None:
    start = line.find(LINE_START)
    if start < 0:
        return None
    try:
        found: dict[str, Any] = msgspec.json.decode(line[start:])
    except msgspec.DecodeError:
        return None
    return found if "event" in found else None


def _estimate_unfinished(day: Day) -> None:
    """Gives requests that never ended the mean need of their kind."""
    for kind in (admission.ONLINE, admission.BATCH):
        theirs = [r for r in day.requests if r.kind == kind]
        ended = [r.held_s for r in theirs if r.ended_s is not None]
        mean_s = sum(ended) / len(ended) if ended else 0.0
        for request in theirs:
            if request.ended_s is None:
                request.held_s = mean_s
