"""Queue of requests that is fair among organisations."""

import bisect
from collections.abc import Iterable
import dataclasses
import math

SERVICE_HALF_LIFE_S = 5.0
"""Half-life of received service.

An organisation's past burst then stops counting against it.
"""


@dataclasses.dataclass(slots=True)
class QueuedRequest:
    """A request that is queued for a ticket.

    Attributes:
        id: Id of the request; its ticket has the same id.
        kind: `online` or `batch`.
        organisation: The organisation that it is charged to.
        arrived_s: Monotonic time at which it was queued first.
        expires_s: Monotonic time after which it is refused.
        max_tokens: Largest number of tokens that it generates.
        prompt_words: Words in its prompt.
        prompt_blocks: Chained hashes of the prompt's leading blocks.
        holder: Peer address of the process that requests the ticket.
        data_centre: Data centre of that process; empty if it is not known.
        crash_suspect: Whether it was in flight on an endpoint that crashed.
        avoid: Names of endpoints where it already failed; they are chosen
            only if no other endpoint is usable.
        due_s: Monotonic time at which its result is due.
        expected_duration_s: Expected seconds for which it occupies a slot.
        software_version: Version of the software that the endpoint must have;
            None if any version may serve.
        on_time_until_s: Monotonic time until which a grant is in time for its
            objective. After that it yields to requests that can be on time.
        is_late: Whether it has yielded.
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
    data_centre: str = ""
    crash_suspect: bool = False
    avoid: frozenset[str] = frozenset()
    due_s: float = math.inf
    expected_duration_s: float = 0.0
    software_version: str | None = None
    on_time_until_s: float = math.inf
    is_late: bool = False


@dataclasses.dataclass(slots=True)
class ReceivedService:
    """Service that an organisation received, with exponential decay.

    Attributes:
        amount: Tokens granted, as decayed at `updated_s`.
        updated_s: Monotonic time of `amount`.
    """

    amount: float = 0.0
    updated_s: float = 0.0

    def amount_at(self, now: float) -> float:
        """Returns the amount as decayed at `now`."""
        elapsed_s = max(0.0, now - self.updated_s)
        return float(self.amount * 0.5 ** (elapsed_s / SERVICE_HALF_LIFE_S))


def oldest(requests: Iterable[QueuedRequest]) -> QueuedRequest:
    """Returns the request that arrived first, of those that are not late.

    A late one is returned if there are no others.
    """
    return min(requests, key=lambda r: (r.is_late, r.arrived_s, r.id))


def _order(request: QueuedRequest) -> tuple[bool, float]:
    """Returns the key by which an organisation's requests are ordered."""
    return request.is_late, request.arrived_s


class FairQueue:
    """Queued requests; the organisation with the least service goes first.

    Attributes:
        queues: Queued requests of each organisation, in order of arrival, the
            late ones last; no entry is empty.
        service: Service received by each organisation.
        size: Number of queued requests.
        late_count: Number of those that are late.
        next_expiry_s: Monotonic time before which no request expires.
        next_late_s: Monotonic time before which no request becomes late.
    """

    def __init__(self) -> None:
        self.queues: dict[str, list[QueuedRequest]] = {}
        self.service: dict[str, ReceivedService] = {}
        self.size = 0
        self.late_count = 0
        self.next_expiry_s = math.inf
        self.next_late_s = math.inf

    def push(self, request: QueuedRequest) -> None:
        """Adds a request behind those that arrived before it."""
        queue = self.queues.setdefault(request.organisation, [])
        bisect.insort(queue, request, key=_order)
        self.size += 1
        self.late_count += request.is_late
        self.next_expiry_s = min(self.next_expiry_s, request.expires_s)
        if not request.is_late:
            self.next_late_s = min(self.next_late_s, request.on_time_until_s)

    def move_late_back(self, now: float) -> None:
        """Moves requests that became late behind those that can be on time."""
        if now < self.next_late_s:
            return
        self.next_late_s = math.inf
        for request in self.all_requests():
            if request.is_late:
                continue
            if now < request.on_time_until_s:
                self.next_late_s = min(
                    self.next_late_s, request.on_time_until_s
                )
                continue
            self.queues[request.organisation].remove(request)
            request.is_late = True
            bisect.insort(
                self.queues[request.organisation], request, key=_order
            )
            self.late_count += 1

    def remove(self, request_id: str) -> bool:
        """Removes a request by its id; returns whether it was queued."""
        for queue in self.queues.values():
            for index, request in enumerate(queue):
                if request.id == request_id:
                    del queue[index]
                    self._record_removal(request)
                    return True
        return False

    def _record_removal(self, request: QueuedRequest) -> None:
        """Updates the sizes and drops an organisation's empty queue."""
        self.size -= 1
        self.late_count -= request.is_late
        if not self.queues[request.organisation]:
            del self.queues[request.organisation]

    def next_request(self, now: float) -> QueuedRequest | None:
        """Returns the oldest request of the least-served organisation."""
        if not self.queues:
            return None
        least_served = min(
            self.queues,
            key=lambda name: (
                self.service_received(name, now),
                _order(self.queues[name][0]),
                name,
            ),
        )
        return self.queues[least_served][0]

    def on_time_count(self) -> int:
        """Returns the number of requests that can still be on time."""
        return self.size - self.late_count

    def oldest(self) -> QueuedRequest | None:
        """Returns the request that arrived first, late ones last."""
        heads = [queue[0] for queue in self.queues.values()]
        return oldest(heads) if heads else None

    def service_received(self, organisation: str, now: float) -> float:
        """Returns the decayed service that an organisation received."""
        service = self.service.get(organisation)
        return 0.0 if service is None else service.amount_at(now)

    def remove_granted(self, request: QueuedRequest, now: float) -> None:
        """Removes a granted request and charges its organisation for it."""
        self.queues[request.organisation].remove(request)
        self._record_removal(request)
        amount = (
            self.service_received(request.organisation, now)
            + request.max_tokens
        )
        self.service[request.organisation] = ReceivedService(amount, now)

    def expire(self, now: float) -> list[QueuedRequest]:
        """Removes and returns the requests whose `expires_s` has passed."""
        if now < self.next_expiry_s:
            return []
        expired = [
            request
            for queue in self.queues.values()
            for request in queue
            if request.expires_s <= now
        ]
        for request in expired:
            self.remove(request.id)
        self.next_expiry_s = min(
            (r.expires_s for r in self.all_requests()), default=math.inf
        )
        return expired

    def all_requests(self) -> list[QueuedRequest]:
        """Returns all queued requests."""
        return [r for queue in self.queues.values() for r in queue]
