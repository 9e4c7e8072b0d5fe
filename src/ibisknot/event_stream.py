"""Splits a stream of server-sent events into its events."""

import dataclasses

MAX_EVENT_BYTES = 128 * 1024
"""Limit on the data of each stream that waits for the end of an event."""


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """One complete event.

    Attributes:
        raw: Its bytes, with the blank line at its end.
        id: Its id if that is a number, else None.
        data: Its data lines, joined by line feeds.
    """

    raw: bytes
    id: int | None
    data: str


@dataclasses.dataclass(slots=True)
class Splitter:
    r"""Collects the bytes of an event until it is complete.

    Attributes:
        incomplete: Bytes after the last complete event.

    >>> splitter = Splitter()
    >>> feed(splitter, b"id: 1\ndata: a\n\nid: 2\nda")
    [Event(raw=b'id: 1\ndata: a\n\n', id=1, data='a')]
    >>> splitter.incomplete
    bytearray(b'id: 2\nda')
    """

    incomplete: bytearray = dataclasses.field(default_factory=bytearray)


def feed(splitter: Splitter, data: bytes) -> list[Event]:
    """Adds bytes and returns the events that are complete with them.

    Raises:
        ValueError: An event is larger than `MAX_EVENT_BYTES`.
    """
    splitter.incomplete += data
    events = []
    while True:
        end = _find_end(splitter.incomplete)
        if end is None:
            break
        raw = bytes(splitter.incomplete[:end])
        del splitter.incomplete[:end]
        events.append(parse(raw))
    if len(splitter.incomplete) > MAX_EVENT_BYTES:
        raise ValueError("an event is over the size limit")
    return events


def _find_end(data: bytearray) -> int | None:
    """Returns the index after the first event, None if it is incomplete."""
    ends = [
        start + len(blank_line)
        for blank_line in (b"\n\n", b"\r\n\r\n")
        if (start := data.find(blank_line)) >= 0
    ]
    return min(ends, default=None)


def parse(raw: bytes) -> Event:
    r"""Parses one complete event.

    >>> parse(b"id: 7\ndata: x\ndata: y\n\n")
    Event(raw=b'id: 7\ndata: x\ndata: y\n\n', id=7, data='x\ny')
    """
    event_id = None
    data = []
    # splitlines() would also split at other separators within the data.
    for line in raw.decode("utf-8", "replace").split("\n"):
        line = line.removesuffix("\r")
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id" and value.isdigit():
            event_id = int(value)
        elif name == "data":
            data.append(value)
    return Event(raw, event_id, "\n".join(data))
