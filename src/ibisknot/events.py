"""Server-sent events: splits a stream at the ends of its events."""

import dataclasses

MAXIMUM_EVENT_BYTES = 1024 * 1024


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """One whole event.

    Attributes:
        raw: Its bytes, the blank line included.
        id: Its id, or None.
        data: Its data lines, joined by line feeds.
    """

    raw: bytes
    id: int | None
    data: str


@dataclasses.dataclass(slots=True)
class Splitter:
    r"""Holds back the bytes of an event until it is whole.

    >>> splitter = Splitter()
    >>> feed(splitter, b"id: 1\ndata: a\n\nid: 2\nda")
    [Event(raw=b'id: 1\ndata: a\n\n', id=1, data='a')]
    >>> splitter.rest
    bytearray(b'id: 2\nda')
    """

    rest: bytearray = dataclasses.field(default_factory=bytearray)


def feed(splitter: Splitter, data: bytes) -> list[Event]:
    """Adds bytes and returns the events that are whole now.

    Raises:
        ValueError: An event is over the limit.
    """
    splitter.rest += data
    found = []
    while True:
        end = _end(splitter.rest)
        if end is None:
            break
        raw = bytes(splitter.rest[:end])
        del splitter.rest[:end]
        found.append(parse(raw))
    if len(splitter.rest) > MAXIMUM_EVENT_BYTES:
        raise ValueError("an event is over the limit")
    return found


def _end(rest: bytearray) -> int | None:
    ends = [
        at + len(mark)
        for mark in (b"\n\n", b"\r\n\r\n")
        if (at := rest.find(mark)) >= 0
    ]
    return min(ends, default=None)


def parse(raw: bytes) -> Event:
    r"""Parses one whole event.

    >>> parse(b"id: 7\ndata: x\ndata: y\n\n")
    Event(raw=b'id: 7\ndata: x\ndata: y\n\n', id=7, data='x\ny')
    """
    number = None
    data = []
    # Not splitlines(), which also splits at separators within the data.
    for line in raw.decode("utf-8", "replace").split("\n"):
        line = line.removesuffix("\r")
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "id" and value.isdigit():
            number = int(value)
        elif name == "data":
            data.append(value)
    return Event(raw, number, "\n".join(data))
