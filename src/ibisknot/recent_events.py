"""A bounded ring of a process's recent decision events."""

import collections
from typing import Any

import msgspec

from ibisknot import logs
from ibisknot import peer
from ibisknot.gen.config import ttypes

MAX_EVENTS = 4096
MAX_RESPONSE_EVENTS = 200
METHOD = "recent_events"


class EventRing:
    """The newest events; older ones are dropped."""

    def __init__(self, *, max_events: int = MAX_EVENTS) -> None:
        self.events: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=max_events
        )

    def find_events(
        self, subject: str, *, limit: int = MAX_RESPONSE_EVENTS
    ) -> list[dict[str, Any]]:
        """Returns the newest events that name a subject, oldest first."""
        matching = [e for e in self.events if mentions(e, subject)]
        return matching[-limit:]


def mentions(event: dict[str, Any], subject: str) -> bool:
    """Returns whether a field of an event is a subject.

    >>> mentions({"event": "request", "request": "r1"}, "r1")
    True
    """
    return any(value == subject for value in event.values())


def start_recording(server: peer.Server) -> EventRing:
    """Starts to keep this process's events, and answers peers about them."""
    ring = EventRing()
    logs.LISTENERS.append(ring.events.append)

    async def answer(ask: Any) -> Any:
        matching = ring.find_events(ask.subject)
        return ttypes.Events(
            events=[msgspec.json.encode(e, enc_hook=str) for e in matching]
        )

    server.on(METHOD, ttypes.EventsAsk, answer)
    return ring
