"""The recent log events of a process, kept in memory for operators."""

import collections
from typing import Any

import msgspec

from ibisknot import logs
from ibisknot import peer
from ibisknot.gen.config import ttypes

MAX_EVENTS = 4096
"""Largest number of events that a process retains."""
MAX_RESPONSE_EVENTS = 200
"""Largest number of events in a response to a peer."""
METHOD = "recent_events"
"""Peer method that returns the events about a subject."""


class EventRing:
    """The newest events; older ones are evicted.

    Attributes:
        events: Fields of each event, oldest first.
    """

    def __init__(self, *, max_events: int = MAX_EVENTS) -> None:
        self.events: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=max_events
        )

    def find_events(
        self, subject: str, *, limit: int = MAX_RESPONSE_EVENTS
    ) -> list[dict[str, Any]]:
        """Returns the newest events that mention a subject, oldest first."""
        matching = [e for e in self.events if mentions(e, subject)]
        return matching[-limit:]


def mentions(event: dict[str, Any], subject: str) -> bool:
    """Returns whether the value of any field of an event equals a subject.

    >>> mentions({"event": "request", "request": "r1"}, "r1")
    True
    """
    return any(value == subject for value in event.values())


def start_recording(server: peer.Server) -> EventRing:
    """Starts to record this process's events, and serves them to peers."""
    ring = EventRing()
    logs.LISTENERS.append(ring.events.append)

    async def get_events(request: Any) -> Any:
        matching = ring.find_events(request.subject)
        return ttypes.Events(
            events=[msgspec.json.encode(e, enc_hook=str) for e in matching]
        )

    server.on(METHOD, ttypes.EventsAsk, get_events)
    return ring
