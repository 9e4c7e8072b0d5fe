"""Queues of waiting requests, fair among organisations."""

import bisect
import dataclasses
import math

SERVICE_HALF_LIFE_S = 5.0
"""Service is forgotten at this rate, so that a past burst is no debt."""


@dataclasses.dataclass(slots=True)
class QueuedRequest:
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
    max_tokens: int = 16
    prompt_words: int = 0
    prompt_blocks: tuple[int, ...] = ()
    holder: str = ""
    crash_suspect: bool = False
    avoid: frozenset[str] = frozenset()
    due_s: float = math.inf
    expected_duration_s: float = 0.0


@dataclasses.dataclass(slots=True)
class ReceivedService:
    """Decayed amount of service that an organisation was given."""

    amount: float = 0.0
    updated_s: float = 0.0

    def amount_at(self, now: float) -> float:
        """Returns the amount, decayed to `now`."""
        elapsed_s = max(0.0, now - self.updated_s)
        return float(self.amount * 0.5 ** (elapsed_s / SERVICE_HALF_LIFE_S))


class FairQueue:
    """Waiting requests by organisation, the worst-served first."""

    def __init__(self) -> None:
        self.queues: dict[str, list[QueuedRequest]] = {}
        self.service: dict[str, ReceivedService] = {}
        self.size = 0
        self.next_expiry_s = math.inf

    def push(self, waiting: QueuedRequest) -> None:
        """Adds a request in the order of arrival."""
        queue = self.queues.setdefault(waiting.organisation, [])
        bisect.insort(queue, waiting, key=lambda w: w.arrived_s)
        self.size += 1
        self.next_expiry_s = min(self.next_expiry_s, waiting.expires_s)

    def remove(self, request_id: str) -> bool:
        """Removes a request by its id; returns whether it was there."""
        for organisation, queue in self.queues.items():
            for index, waiting in enumerate(queue):
                if waiting.id == request_id:
                    del queue[index]
                    self._record_removal(organisation)
                    return True
        return False

    def _record_removal(self, organisation: str) -> None:
        self.size -= 1
        if not self.queues[organisation]:
            del self.queues[organisation]

    def next_request(self, now: float) -> QueuedRequest | None:
        """Returns the next request: the oldest of the worst-served one."""
        if not self.queues:
            return None
        worst = min(
            self.queues,
            key=lambda name: (
                self.service_received(name, now),
                self.queues[name][0].arrived_s,
                name,
            ),
        )
        return self.queues[worst][0]

    def oldest(self) -> QueuedRequest | None:
        """Returns the request that came first."""
        heads = [queue[0] for queue in self.queues.values()]
        return min(heads, key=lambda w: (w.arrived_s, w.id), default=None)

    def service_received(self, organisation: str, now: float) -> float:
        """Returns the decayed service given to an organisation."""
        service = self.service.get(organisation)
        return 0.0 if service is None else service.amount_at(now)

    def remove_granted(self, waiting: QueuedRequest, now: float) -> None:
        """Removes a granted request and charges its organisation."""
        self.queues[waiting.organisation].remove(waiting)
        self._record_removal(waiting.organisation)
        amount = (
            self.service_received(waiting.organisation, now)
            + waiting.max_tokens
        )
        self.service[waiting.organisation] = ReceivedService(amount, now)

    def expire(self, now: float) -> list[QueuedRequest]:
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
            (w.expires_s for w in self.all_requests()), default=math.inf
        )
        return gone

    def all_requests(self) -> list[QueuedRequest]:
        """Returns all waiting requests."""
        return [w for queue in self.queues.values() for w in queue]
