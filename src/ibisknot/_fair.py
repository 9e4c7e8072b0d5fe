"""Queues of waiting requests, fair among organisations."""

import bisect
import dataclasses
import math

HALF_LIFE_S = 5.0
"""Service is forgotten at this rate, so that a past burst is no debt."""


@dataclasses.dataclass(slots=True)
class Waiting:
    """A request that waits for a ticket.

    Attributes:
        kind: `online` or `batch`.
        tokens: Tokens that it will generate at most.
        words: Words of its prompt.
        blocks: Chained hashes of the prompt's leading blocks.
        holder: Peer address of the process that asks.
        arrived_s: Monotonic time at which it began to wait.
        expires_s: Monotonic time after which nobody waits for the answer.
        suspect: Whether it was in flight on an endpoint that crashed.
        avoid: Endpoints that already failed it.
        due_s: Monotonic time at which its result is due.
        needs_s: Seconds for which it will hold its place.
    """

    id: str
    kind: str
    organisation: str
    arrived_s: float
    expires_s: float
    tokens: int = 16
    words: int = 0
    blocks: tuple[int, ...] = ()
    holder: str = ""
    suspect: bool = False
    avoid: frozenset[str] = frozenset()
    due_s: float = math.inf
    needs_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Service:
    """Decayed amount of service that an organisation was given."""

    amount: float = 0.0
    updated_s: float = 0.0

    def at(self, now: float) -> float:
        """Returns the amount, decayed to `now`."""
        elapsed_s = max(0.0, now - self.updated_s)
        return float(self.amount * 0.5 ** (elapsed_s / HALF_LIFE_S))


class Fair:
    """Waiting requests by organisation, the worst-served first."""

    def __init__(self) -> None:
        self.queues: dict[str, list[Waiting]] = {}
        self.service: dict[str, Service] = {}
        self.size = 0
        self.next_expiry_s = math.inf

    def push(self, waiting: Waiting) -> None:
        """Adds a request in the order of arrival."""
        queue = self.queues.setdefault(waiting.organisation, [])
        bisect.insort(queue, waiting, key=lambda w: w.arrived_s)
        self.size += 1
        self.next_expiry_s = min(self.next_expiry_s, waiting.expires_s)

    def remove(self, number: str) -> bool:
        """Removes a request by its id; returns whether it was there."""
        for organisation, queue in self.queues.items():
            for index, waiting in enumerate(queue):
                if waiting.id == number:
                    del queue[index]
                    self._shrink(organisation)
                    return True
        return False

    def _shrink(self, organisation: str) -> None:
        self.size -= 1
        if not self.queues[organisation]:
            del self.queues[organisation]

    def first(self, now: float) -> Waiting | None:
        """Returns the next request: the oldest of the worst-served one."""
        if not self.queues:
            return None
        worst = min(
            self.queues,
            key=lambda name: (
                self.given(name, now),
                self.queues[name][0].arrived_s,
                name,
            ),
        )
        return self.queues[worst][0]

    def oldest(self) -> Waiting | None:
        """Returns the request that came first."""
        heads = [queue[0] for queue in self.queues.values()]
        return min(heads, key=lambda w: (w.arrived_s, w.id), default=None)

    def given(self, organisation: str, now: float) -> float:
        """Returns the decayed service given to an organisation."""
        service = self.service.get(organisation)
        return 0.0 if service is None else service.at(now)

    def take(self, waiting: Waiting, now: float) -> None:
        """Removes a granted request and charges its organisation."""
        self.queues[waiting.organisation].remove(waiting)
        self._shrink(waiting.organisation)
        amount = self.given(waiting.organisation, now) + waiting.tokens
        self.service[waiting.organisation] = Service(amount, now)

    def expire(self, now: float) -> list[Waiting]:
        """Removes and returns the requests whose deadline has passed."""
        if now < self.next_expiry_s:
            return []
        gone = [
            waiting
            for queue in self.queues.values()
            for waiting in queue
            if waiting.expires_s <= now
        ]
        for waiting in gone:
            self.remove(waiting.id)
        self.next_expiry_s = min(
            (w.expires_s for w in self.all()), default=math.inf
        )
        return gone

    def all(self) -> list[Waiting]:
        """Returns all waiting requests."""
        return [w for queue in self.queues.values() for w in queue]
