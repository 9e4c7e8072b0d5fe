"""Answers the callers' calls of batch jobs at a gateway."""

from collections.abc import Callable
import dataclasses

from ibisknot import batch_intake
from ibisknot import batch_records
from ibisknot import errors
from ibisknot import gateway
from ibisknot import http11
from ibisknot import http_server
from ibisknot import requests
from ibisknot import serving
from ibisknot import timer

ANSWER_MARGIN_S = 0.3
DEFAULT_DEADLINE_S = 4.0
JSON = [(b"Content-Type", b"application/json")]


@dataclasses.dataclass(slots=True, frozen=True)
class Read:
    """Reads a job's results from a position on."""

    job: str
    after: int
    wait_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Body:
    """Reads the body of an item."""

    job: str
    item: str


@dataclasses.dataclass(slots=True, frozen=True)
class End:
    """Ends a job."""

    job: str


Call = Read | Body | End


@dataclasses.dataclass(slots=True, frozen=True)
class Dialect:
    """How calls and answers are written, as the adapter defines it."""

    call_of: Callable[[http11.Message], Call | None]
    submission: Callable[[str, bytes], batch_records.Submission]
    page: Callable[[int, int, list[batch_records.Result]], bytes]


class Calls:
    """Handles the calls of one gateway."""

    def __init__(
        self,
        intake: batch_intake.Intake,
        dialect: Dialect,
        clock: timer.Timer,
    ) -> None:
        self.intake = intake
        self.dialect = dialect
        self.clock = clock

    async def handle(
        self,
        exchange: http_server.Exchange,
        terms: requests.Terms,
        configuration: serving.Configuration,
    ) -> bool:
        """Answers a call of a batch job; False when it is another request.

        Raises:
            IbisknotError: The call fails.
        """
        host = exchange.message.header(b"host") or ""
        call = self.dialect.call_of(exchange.message)
        if call is not None:
            route = configuration.batch_route_of(host)
            if route is None:
                return False
            await self._answer(exchange, terms, configuration, route, call)
            return True
        path, _ = gateway.split_target(exchange.message.target)
        route = configuration.route_of(host, path)
        if route is None or route.kind != serving.BATCH:
            return False
        owner = _owner(configuration, terms, route)
        await self._submit(exchange, terms, route, owner)
        return True

    async def _submit(
        self,
        exchange: http_server.Exchange,
        terms: requests.Terms,
        route: serving.Route,
        owner: str,
    ) -> None:
        if exchange.message.method != b"POST":
            raise errors.NotFoundError("jobs are handed in by POST")
        submission = self.dialect.submission(terms.id, exchange.message.body)
        deadline_s = self._deadline_s(exchange, terms)
        try:
            await self.intake.submit(submission, route, owner, deadline_s)
        except errors.KeyValueUnknownError as error:
            # Neither accepted nor refused is known to be true.
            raise errors.DeadlineError(error.message) from None
        await exchange.respond(202, [])

    def _deadline_s(
        self, exchange: http_server.Exchange, terms: requests.Terms
    ) -> float:
        allowed_s = terms.deadline_s or DEFAULT_DEADLINE_S
        return exchange.message.received_s + allowed_s - ANSWER_MARGIN_S

    async def _answer(
        self,
        exchange: http_server.Exchange,
        terms: requests.Terms,
        configuration: serving.Configuration,
        route: serving.Route,
        call: Call,
    ) -> None:
        owner = _owner(configuration, terms, route)
        if isinstance(call, Read):
            total, results = await self.intake.read(
                call.job, owner, call.after, call.wait_s
            )
            body = self.dialect.page(total, call.after, results)
            await exchange.respond(200, JSON, body)
        elif isinstance(call, Body):
            found = await self.intake.body(call.job, owner, call.item)
            if found is None:
                raise errors.NotFoundError(f"no item {call.item}")
            await exchange.respond(200, [], found)
        else:
            deadline_s = self._deadline_s(exchange, terms)
            await self.intake.end(call.job, owner, deadline_s)
            await exchange.respond(200, [])


def _owner(
    configuration: serving.Configuration,
    terms: requests.Terms,
    route: serving.Route,
) -> str:
    organisation = gateway.find_organisation(configuration, terms, route)
    return "" if organisation is None else organisation.name
