"""Answers the callers' calls of batch jobs at a gateway."""

from collections.abc import Callable
import dataclasses

from ibisknot import batch_jobs
from ibisknot import batch_records
from ibisknot import errors
from ibisknot import gateway
from ibisknot import http11
from ibisknot import http_server
from ibisknot import request_metadata
from ibisknot import serving
from ibisknot import timer

RESPONSE_MARGIN_S = 0.3
DEFAULT_TIMEOUT_S = 4.0
JSON_HEADERS = [(b"Content-Type", b"application/json")]


@dataclasses.dataclass(slots=True, frozen=True)
class ReadResults:
    """Reads a job's results from a position on."""

    job_id: str
    first_index: int
    max_wait_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class ReadItemBody:
    """Reads the body of an item."""

    job_id: str
    item_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class CancelJob:
    """Ends a job."""

    job_id: str


Call = ReadResults | ReadItemBody | CancelJob


@dataclasses.dataclass(slots=True, frozen=True)
class Dialect:
    """How calls and answers are written, as the adapter defines it."""

    decode_call: Callable[[http11.Message], Call | None]
    decode_submission: Callable[[str, bytes], batch_records.Submission]
    encode_page: Callable[[int, int, list[batch_records.ItemResult]], bytes]


class Handler:
    """Handles the calls of one gateway."""

    def __init__(
        self,
        jobs: batch_jobs.Jobs,
        dialect: Dialect,
        clock: timer.Timer,
    ) -> None:
        self.jobs = jobs
        self.dialect = dialect
        self.clock = clock

    async def handle(
        self,
        exchange: http_server.Exchange,
        metadata: request_metadata.CallerMetadata,
        configuration: serving.Configuration,
    ) -> bool:
        """Answers a call of a batch job; False when it is another request.

        Raises:
            IbisknotError: The call fails.
        """
        host = exchange.message.header(b"host") or ""
        call = self.dialect.decode_call(exchange.message)
        if call is not None:
            route = configuration.find_batch_route(host)
            if route is None:
                return False
            await self._perform(exchange, metadata, configuration, route, call)
            return True
        path, _ = gateway.split_target(exchange.message.target)
        route = configuration.find_route(host, path)
        if route is None or route.kind != serving.BATCH:
            return False
        organisation = _organisation_name(configuration, metadata, route)
        await self._submit(exchange, metadata, route, organisation)
        return True

    async def _submit(
        self,
        exchange: http_server.Exchange,
        metadata: request_metadata.CallerMetadata,
        route: serving.Route,
        organisation: str,
    ) -> None:
        if exchange.message.method != b"POST":
            raise errors.NotFoundError("jobs are handed in by POST")
        submission = self.dialect.decode_submission(
            metadata.id, exchange.message.body
        )
        deadline_s = self._deadline_s(exchange, metadata)
        try:
            await self.jobs.submit(submission, route, organisation, deadline_s)
        except errors.KeyValueUnknownError as error:
            # Neither accepted nor refused is known to be true.
            raise errors.DeadlineError(error.message) from None
        await exchange.respond(202, [])

    def _deadline_s(
        self,
        exchange: http_server.Exchange,
        metadata: request_metadata.CallerMetadata,
    ) -> float:
        timeout_s = metadata.timeout_s or DEFAULT_TIMEOUT_S
        return exchange.message.received_s + timeout_s - RESPONSE_MARGIN_S

    async def _perform(
        self,
        exchange: http_server.Exchange,
        metadata: request_metadata.CallerMetadata,
        configuration: serving.Configuration,
        route: serving.Route,
        call: Call,
    ) -> None:
        organisation = _organisation_name(configuration, metadata, route)
        if isinstance(call, ReadResults):
            total, results = await self.jobs.read_results(
                call.job_id, organisation, call.first_index, call.max_wait_s
            )
            body = self.dialect.encode_page(total, call.first_index, results)
            await exchange.respond(200, JSON_HEADERS, body)
        elif isinstance(call, ReadItemBody):
            item_body = await self.jobs.read_item_body(
                call.job_id, organisation, call.item_id
            )
            if item_body is None:
                raise errors.NotFoundError(f"no item {call.item_id}")
            await exchange.respond(200, [], item_body)
        else:
            deadline_s = self._deadline_s(exchange, metadata)
            await self.jobs.cancel(call.job_id, organisation, deadline_s)
            await exchange.respond(200, [])


def _organisation_name(
    configuration: serving.Configuration,
    metadata: request_metadata.CallerMetadata,
    route: serving.Route,
) -> str:
    organisation = gateway.find_organisation(configuration, metadata, route)
    return "" if organisation is None else organisation.name
