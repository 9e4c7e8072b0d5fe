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
class Ask:
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
    tokens: int = 16
    deadline_s: float = 0.0
    alone: bool = False
    avoid: frozenset[str] = frozenset()


@dataclasses.dataclass(slots=True, eq=False)
class Place:
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
    alone: bool = False
    revoked: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    measured: admission.Measured = dataclasses.field(
        default_factory=lambda: admission.Measured(outcome=admission.CANCELLED)
    )


TICKET_WAIT_S = 20.0
"""An item waits so long for a ticket before the choice is made anew."""

Acquire = Callable[[Ask], contextlib.AbstractAsyncContextManager[Place]]
"""Waits for a place, and gives it back at the end of the context."""


@dataclasses.dataclass(slots=True)
class Lanes:
    """What this process runs on each endpoint.

    Attributes:
        flying: Number of items by endpoint.
        reserved: Endpoints kept for an item that runs alone.
        changed: Set when an item has ended.
    """

    flying: dict[str, int] = dataclasses.field(default_factory=dict)
    reserved: set[str] = dataclasses.field(default_factory=set)
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)


def choose(lanes: Lanes, names: list[str], choice: random.Random) -> str | None:
    """Returns an endpoint that is not reserved, or None when all are."""
    free = [name for name in names if name not in lanes.reserved]
    return choice.choice(free) if free else None


def make_room(
    lanes: Lanes, names: list[str], choice: random.Random
) -> str | None:
    """Reserves an endpoint, so that it becomes empty.

    One endpoint at most is reserved, so that the other items go on.
    """
    if any(name in lanes.reserved for name in names):
        return None
    found = choice.choice(names)
    lanes.reserved.add(found)
    return found


def ticketed(
    source: distribution.Distribution, client: tickets.Client
) -> Acquire:
    """Returns an `Acquire` that takes a ticket from admission.

    Raises:
        OverloadedError: No endpoint was free in time.
    """

    @contextlib.asynccontextmanager
    async def acquire(ask: Ask) -> AsyncIterator[Place]:
        if not source.current.engines(ask.model):
            yield Place("")
            return
        ticket = await client.acquire(
            tickets.Ask(
                kind=admission.BATCH,
                model=ask.model,
                organisation=ask.organisation,
                request_id=ask.request_id,
                prompt=ask.prompt,
                tokens=ask.tokens,
                deadline_s=min(TICKET_WAIT_S, max(1.0, ask.deadline_s)),
                suspect=ask.alone,
                avoid=ask.avoid,
            )
        )
        endpoint = source.current.endpoints.get(ticket.endpoint)
        place = Place(
            ticket.endpoint,
            endpoint.url if endpoint is not None else "",
            alone=ticket.alone,
            revoked=ticket.revoked,
        )
        try:
            yield place
        finally:
            await client.release(ticket, place.measured)

    return acquire


def random_places(
    source: distribution.Distribution, lanes: Lanes, choice: random.Random
) -> Acquire:
    """Returns an `Acquire` that takes a random endpoint at once."""

    @contextlib.asynccontextmanager
    async def acquire(ask: Ask) -> AsyncIterator[Place]:
        names = source.current.engines(ask.model)
        if not names:
            yield Place("")
            return
        name = await _wait(lanes, names, choice, alone=ask.alone)
        lanes.flying[name] = lanes.flying.get(name, 0) + 1
        try:
            url = source.current.endpoints[name].url
            yield Place(name, url, alone=ask.alone)
        finally:
            lanes.flying[name] -= 1
            if ask.alone:
                lanes.reserved.discard(name)
            lanes.changed.set()
            lanes.changed = anyio.Event()

    return acquire


async def _wait(
    lanes: Lanes, names: list[str], choice: random.Random, *, alone: bool
) -> str:
    """Waits for an endpoint; an item that runs alone reserves it."""
    if not alone:
        while True:
            found = choose(lanes, names, choice)
            if found is not None:
                return found
            await lanes.changed.wait()
    mine: str | None = None
    try:
        while True:
            if mine is None:
                mine = make_room(lanes, names, choice)
            if mine is not None and not lanes.flying.get(mine):
                return mine
            await lanes.changed.wait()
    except BaseException:
        if mine is not None:
            lanes.reserved.discard(mine)
        raise
