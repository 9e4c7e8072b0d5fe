"""Splits a stream of server-sent events into its events.

The work grows linearly with the bytes, however they are divided.
"""

from collections.abc import Iterator
import dataclasses
import re

MAX_EVENT_BYTES = 128 * 1024
"""Limit on the data of each stream that waits for the end of an event."""


BYTE_ORDER_MARK = b"\xef\xbb\xbf"
_LINE = re.compile(rb"(data|id|event|retry|[a-z][a-z0-9-]*:.*|:.*)?", re.DOTALL)
"""A line of an event: a field, a comment, or nothing."""
EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
_EVENT_END = re.compile(rb"\n\n|\r\n\r\n")
MAX_EVENT_END_BYTES = max(len(end) for end in EVENT_ENDS)


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
        searched: Number of these bytes that hold no end of an event.
        work_bytes: Number of bytes that were looked at so far.

    >>> splitter = Splitter()
    >>> list(feed(splitter, b"id: 1\ndata: a\n\nid: 2\nda"))
    [Event(raw=b'id: 1\ndata: a\n\n', id=1, data='a')]
    >>> splitter.incomplete
    bytearray(b'id: 2\nda')
    """

    incomplete: bytearray = dataclasses.field(default_factory=bytearray)
    searched: int = 0
    work_bytes: int = 0


@dataclasses.dataclass(slots=True)
class Boundary:
    r"""Where a stream stands that is passed on as it arrives.

    Attributes:
        has_event: Whether a whole event has arrived.
        tail: The last bytes, as many as the longest end of an event has.

    >>> boundary = Boundary()
    >>> follow(boundary, b"data: a\n")
    >>> boundary.has_event, is_within_event(boundary)
    (False, True)
    >>> follow(boundary, b"\n")
    >>> boundary.has_event, is_within_event(boundary)
    (True, False)
    """

    has_event: bool = False
    tail: bytes = b""


def follow(boundary: Boundary, data: bytes) -> None:
    """Records the next bytes of a stream."""
    joined = boundary.tail + data
    if not boundary.has_event:
        boundary.has_event = any(end in joined for end in EVENT_ENDS)
    boundary.tail = joined[-MAX_EVENT_END_BYTES:]


def is_within_event(boundary: Boundary) -> bool:
    """Returns whether the last event is incomplete."""
    return bool(boundary.tail) and not boundary.tail.endswith(EVENT_ENDS)


def feed(splitter: Splitter, data: bytes) -> Iterator[Event]:
    """Adds bytes and yields the events that are complete with them.

    The caller takes all events, or gives up the stream.

    Raises:
        ValueError: An event is larger than `MAX_EVENT_BYTES`.
    """
    buffer = splitter.incomplete
    buffer += data
    # The end may have begun in the bytes that were searched before.
    position = max(0, splitter.searched - MAX_EVENT_END_BYTES + 1)
    start = 0
    while found := _EVENT_END.search(buffer, position):
        end = found.end()
        splitter.work_bytes += end - position
        raw = bytes(buffer[start:end])
        start = position = end
        yield parse(raw)
    splitter.work_bytes += len(buffer) - position
    del buffer[:start]
    splitter.searched = len(buffer)
    if len(buffer) > MAX_EVENT_BYTES:
        raise ValueError("an event is over the size limit")


def is_well_formed(raw: bytes) -> bool:
    r"""Returns whether a complete event has only fields and comments.

    Names of fields are in lower case, so that the head of a response is none.

    >>> is_well_formed(b": note\nid: 7\nx-version: 2\ndata\n\n")
    True
    >>> is_well_formed(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
    False
    >>> is_well_formed(b"try again\n\n")
    False
    """
    lines = raw.removeprefix(BYTE_ORDER_MARK).split(b"\n")
    return all(_LINE.fullmatch(line.removesuffix(b"\r")) for line in lines)


def carries_nothing(event: Event) -> bool:
    r"""Returns whether an event has neither an id nor data.

    >>> carries_nothing(parse(b": note\n\n")), carries_nothing(parse(b"\n\n"))
    (True, True)
    >>> carries_nothing(parse(b"id: 7\n\n"))
    False
    """
    return event.id is None and not event.data


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
