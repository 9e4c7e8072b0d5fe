"""Measures how fast the events of one response arrive."""

import dataclasses

EVENT_END = b"\n\n"
MIN_GAPS = 4
"""Responses with fewer gaps between events are too short to measure."""
MAX_PAUSED_FRACTION = 0.1
"""A response whose caller reads more slowly than this is not measured."""


@dataclasses.dataclass(slots=True)
class Pace:
    r"""When the events of a response have arrived.

    Attributes:
        sent_s: Monotonic time at which the request was sent, or None.
        first_s: Monotonic time of the first event, or None.
        last_s: Monotonic time of the last event.
        gaps: Number of events after those that came with the first one.
        paused_s: Seconds after the first event for which nothing was read,
            because the reader of the response was slow.
        tail: The last byte received.

    >>> pace = Pace()
    >>> start(pace, 1.0)
    >>> record_chunk(pace, 1.5, b"data: a\n\n")
    >>> for k in range(4):
    ...     record_chunk(pace, 2.0 + k, b"data: b\n\ndata: c\n\n")
    >>> first_event_s(pace), event_gap_s(pace)
    (0.5, 0.4375)
    """

    sent_s: float | None = None
    first_s: float | None = None
    last_s: float = 0.0
    gaps: int = 0
    paused_s: float = 0.0
    tail: bytes = b""


def start(pace: Pace, now: float) -> None:
    """Records that the request is sent."""
    pace.sent_s = now


def record_events(pace: Pace, now: float, count: int) -> None:
    """Records events that have arrived together."""
    if not count:
        return
    if pace.first_s is None:
        pace.first_s = now
    else:
        pace.gaps += count
    pace.last_s = now


def record_chunk(pace: Pace, now: float, chunk: bytes) -> None:
    """Records the events that end within a chunk of the response."""
    record_events(pace, now, (pace.tail + chunk).count(EVENT_END))
    pace.tail = chunk[-1:]


def record_pause(pace: Pace, paused_s: float) -> None:
    """Records seconds for which nothing was read from the endpoint."""
    if pace.first_s is not None:
        pace.paused_s += paused_s


def event_gap_s(pace: Pace) -> float | None:
    """Returns the mean seconds between events, or None if that is unknown."""
    if pace.first_s is None or pace.gaps < MIN_GAPS:
        return None
    elapsed_s = pace.last_s - pace.first_s
    if elapsed_s <= 0.0 or pace.paused_s > MAX_PAUSED_FRACTION * elapsed_s:
        return None
    return elapsed_s / pace.gaps


def first_event_s(pace: Pace) -> float | None:
    """Returns the seconds from the send to the first event, or None."""
    if pace.sent_s is None or pace.first_s is None:
        return None
    return max(0.0, pace.first_s - pace.sent_s)
