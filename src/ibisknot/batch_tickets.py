"""Tickets of batch items on the own interface: one for each attempt.

They come from admission, or from a random choice of the endpoint.
"""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import random

import anyio

from ibisknot import admission
from ibisknot import distribution
from ibisknot import tickets


@dataclasses.dataclass(slots=True)
class BatchTicketRequest:
    """What one attempt of an item needs.

    Attributes:
        model: Name of the model.
        organisation: The organisation that owns the item.
        request_id: Id of the attempt.
        prompt: Text by which a cached prefix is estimated.
        max_tokens: Largest number of tokens that are still generated.
        due_in_s: Seconds until the job is due.
        exclusive: Whether no other item may run on the endpoint.
        avoid: Names of endpoints where the last attempt failed.
    """

    model: str
    organisation: str
    request_id: str
    prompt: str = ""
    max_tokens: int = 16
    due_in_s: float = 0.0
    exclusive: bool = False
    avoid: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, eq=False)
class BatchTicket:
    """Permission to run one attempt of an item at one endpoint.

    Attributes:
        endpoint: Name of the endpoint, or "" if none serves the model.
        url: URL of the endpoint.
        exclusive: Whether no other item of this process runs there.
        revoked: Set when the attempt must be cancelled at once.
        measurement: What is reported when the ticket is released; the caller
            sets it before that.
    """

    endpoint: str
    url: str = ""
    exclusive: bool = False
    revoked: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    measurement: admission.Measurement = dataclasses.field(
        default_factory=lambda: admission.Measurement(
            outcome=admission.CANCELLED
        )
    )


MAX_TICKET_WAIT_S = 20.0
"""Longest wait for a ticket before the next item is chosen anew."""

AcquireTicket = Callable[
    [BatchTicketRequest], contextlib.AbstractAsyncContextManager[BatchTicket]
]
"""Waits for a ticket, and releases it at the end of the context."""


@dataclasses.dataclass(slots=True)
class EndpointUse:
    """What this process runs on each endpoint.

    Attributes:
        running_items: Number of running items by endpoint.
        reserved: Names of endpoints that are kept for an exclusive item.
        item_ended: Set when an item ends, and then replaced by a new event.
    """

    running_items: dict[str, int] = dataclasses.field(default_factory=dict)
    reserved: set[str] = dataclasses.field(default_factory=set)
    item_ended: anyio.Event = dataclasses.field(default_factory=anyio.Event)


def choose_unreserved(
    use: EndpointUse, names: list[str], rng: random.Random
) -> str | None:
    """Returns a random endpoint that is not reserved, or None if all are."""
    unreserved = [name for name in names if name not in use.reserved]
    return rng.choice(unreserved) if unreserved else None


def reserve_one(
    use: EndpointUse, names: list[str], rng: random.Random
) -> str | None:
    """Reserves a random endpoint, so that its items end and it is empty.

    At most one endpoint is reserved, so that other items can run.

    Returns:
        Name of the endpoint, or None if another one is reserved.
    """
    if any(name in use.reserved for name in names):
        return None
    chosen = rng.choice(names)
    use.reserved.add(chosen)
    return chosen


def from_admission(
    source: distribution.LocalConfiguration, client: tickets.Client
) -> AcquireTicket:
    """Returns an `AcquireTicket` that acquires tickets from admission.

    Raises:
        OverloadedError: No endpoint was free in time.
    """

    @contextlib.asynccontextmanager
    async def acquire(
        request: BatchTicketRequest,
    ) -> AsyncIterator[BatchTicket]:
        if not source.current.active_engines(request.model):
            yield BatchTicket("")
            return
        ticket = await client.acquire(
            tickets.TicketRequest(
                kind=admission.BATCH,
                model=request.model,
                organisation=request.organisation,
                request_id=request.request_id,
                prompt=request.prompt,
                max_tokens=request.max_tokens,
                max_wait_s=min(MAX_TICKET_WAIT_S, max(1.0, request.due_in_s)),
                crash_suspect=request.exclusive,
                avoid=request.avoid,
            )
        )
        endpoint = source.current.endpoints.get(ticket.endpoint)
        batch_ticket = BatchTicket(
            ticket.endpoint,
            endpoint.url if endpoint is not None else "",
            exclusive=ticket.exclusive,
            revoked=ticket.revoked,
        )
        try:
            yield batch_ticket
        finally:
            await client.release(ticket, batch_ticket.measurement)

    return acquire


def at_random(
    source: distribution.LocalConfiguration,
    use: EndpointUse,
    rng: random.Random,
) -> AcquireTicket:
    """Returns an `AcquireTicket` that chooses a random endpoint itself."""

    @contextlib.asynccontextmanager
    async def acquire(
        request: BatchTicketRequest,
    ) -> AsyncIterator[BatchTicket]:
        names = source.current.active_engines(request.model)
        if not names:
            yield BatchTicket("")
            return
        name = await _wait_for_endpoint(
            use, names, rng, exclusive=request.exclusive
        )
        use.running_items[name] = use.running_items.get(name, 0) + 1
        try:
            url = source.current.endpoints[name].url
            yield BatchTicket(name, url, exclusive=request.exclusive)
        finally:
            use.running_items[name] -= 1
            if request.exclusive:
                use.reserved.discard(name)
            use.item_ended.set()
            use.item_ended = anyio.Event()

    return acquire


async def _wait_for_endpoint(
    use: EndpointUse, names: list[str], rng: random.Random, *, exclusive: bool
) -> str:
    """Waits for an endpoint; an exclusive item reserves an empty one."""
    if not exclusive:
        while True:
            name = choose_unreserved(use, names, rng)
            if name is not None:
                return name
            await use.item_ended.wait()
    reserved: str | None = None
    try:
        while True:
            if reserved is None:
                reserved = reserve_one(use, names, rng)
            if reserved is not None and not use.running_items.get(reserved):
                return reserved
            await use.item_ended.wait()
    except BaseException:
        if reserved is not None:
            use.reserved.discard(reserved)
        raise
