"""Where batch items run: a ticket for each try, given back at its end."""

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
    """What a try of an item needs.

    Attributes:
        model: The model to run on.
        organisation: Whose item it is.
        request_id: Id of the try.
        prompt: Text that the prefix estimate goes by.
        tokens: Tokens still to be made.
        deadline_s: Seconds until the job is due.
        alone: Whether no other item may run on the endpoint.
        avoid: Endpoints that failed this item just now.
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
    """Leave to run one try.

    Attributes:
        endpoint: Name of the endpoint, or "" when none serves the model.
        url: Its URL.
        alone: Whether no other item of this process runs there.
        revoked: Set when the try has to end at once.
        measured: What is reported when the place is given back.
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
"""An item waits so long for a ticket before the choice is made anew."""

AcquireTicket = Callable[
    [BatchTicketRequest], contextlib.AbstractAsyncContextManager[BatchTicket]
]
"""Waits for a place, and gives it back at the end of the context."""


@dataclasses.dataclass(slots=True)
class EndpointUse:
    """What this process runs on each endpoint.

    Attributes:
        flying: Number of items by endpoint.
        reserved: Endpoints kept for an item that runs alone.
        changed: Set when an item has ended.
    """

    running_items: dict[str, int] = dataclasses.field(default_factory=dict)
    reserved: set[str] = dataclasses.field(default_factory=set)
    item_ended: anyio.Event = dataclasses.field(default_factory=anyio.Event)


def choose_unreserved(
    use: EndpointUse, names: list[str], rng: random.Random
) -> str | None:
    """Returns an endpoint that is not reserved, or None when all are."""
    free = [name for name in names if name not in use.reserved]
    return rng.choice(free) if free else None


def reserve_one(
    use: EndpointUse, names: list[str], rng: random.Random
) -> str | None:
    """Reserves an endpoint, so that it becomes empty.

    One endpoint at most is reserved, so that the other items go on.
    """
    if any(name in use.reserved for name in names):
        return None
    found = rng.choice(names)
    use.reserved.add(found)
    return found


def from_admission(
    source: distribution.Distribution, client: tickets.Client
) -> AcquireTicket:
    """Returns an `Acquire` that takes a ticket from admission.

    Raises:
        OverloadedError: No endpoint was free in time.
    """

    @contextlib.asynccontextmanager
    async def acquire(ask: BatchTicketRequest) -> AsyncIterator[BatchTicket]:
        if not source.current.engines(ask.model):
            yield BatchTicket("")
            return
        ticket = await client.acquire(
            tickets.TicketRequest(
                kind=admission.BATCH,
                model=ask.model,
                organisation=ask.organisation,
                request_id=ask.request_id,
                prompt=ask.prompt,
                max_tokens=ask.max_tokens,
                max_wait_s=min(MAX_TICKET_WAIT_S, max(1.0, ask.due_in_s)),
                crash_suspect=ask.exclusive,
                avoid=ask.avoid,
            )
        )
        endpoint = source.current.endpoints.get(ticket.endpoint)
        place = BatchTicket(
            ticket.endpoint,
            endpoint.url if endpoint is not None else "",
            exclusive=ticket.exclusive,
            revoked=ticket.revoked,
        )
        try:
            yield place
        finally:
            await client.release(ticket, place.measurement)

    return acquire


def at_random(
    source: distribution.Distribution, use: EndpointUse, rng: random.Random
) -> AcquireTicket:
    """Returns an `Acquire` that takes a random endpoint at once."""

    @contextlib.asynccontextmanager
    async def acquire(ask: BatchTicketRequest) -> AsyncIterator[BatchTicket]:
        names = source.current.engines(ask.model)
        if not names:
            yield BatchTicket("")
            return
        name = await _wait_for_endpoint(
            use, names, rng, exclusive=ask.exclusive
        )
        use.running_items[name] = use.running_items.get(name, 0) + 1
        try:
            url = source.current.endpoints[name].url
            yield BatchTicket(name, url, exclusive=ask.exclusive)
        finally:
            use.running_items[name] -= 1
            if ask.exclusive:
                use.reserved.discard(name)
            use.item_ended.set()
            use.item_ended = anyio.Event()

    return acquire


async def _wait_for_endpoint(
    use: EndpointUse, names: list[str], rng: random.Random, *, exclusive: bool
) -> str:
    """Waits for an endpoint; an item that runs alone reserves it."""
    if not exclusive:
        while True:
            found = choose_unreserved(use, names, rng)
            if found is not None:
                return found
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
