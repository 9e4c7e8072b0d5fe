"""A bounded ring of a process's recent decision events."""

import collections
from typing import Any

import msgspec

from ibisknot import logs
from ibisknot import peer
from ibisknot.gen.config import ttypes

RING_EVENTS = 4096
ANSWER_EVENTS = 200
METHOD = "recent_events"


class Ring:
    """The newest events; older ones are dropped."""

    def __init__(self, *, size: int = RING_EVENTS) -> None:
        self.events: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=size
        )

    def about(
        self, subject: str, *, limit: int = ANSWER_EVENTS
    ) -> list[dict[str, Any]]:
        """Returns the newest events that name a subject, oldest first."""
        found = [e for e in self.events if names(e, subject)]
        return found[-limit:]


def names(event: dict[str, Any], subject: str) -> bool:
    """Returns whether a field of an event is a subject.

    >>> names({"event": "request", "request": "r1"}, "r1")
    True
    """
    return any(value == subject for value in event.values())


def keep(server: peer.Server) -> Ring:
    """Starts to keep this process's events, and answers peers about them."""
    ring = Ring()
    logs.LISTENERS.append(ring.events.append)

    async def answer(ask: Any) -> Any:
        found = ring.about(ask.subject)
        return ttypes.Events(
            events=[msgspec.json.encode(e, enc_hook=str) for e in found]
        )

    server.on(METHOD, ttypes.EventsAsk, answer)
    return ring
