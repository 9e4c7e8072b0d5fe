"""Handles the HTTP calls about batch jobs at a gateway."""

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

RESPONSE_MARGIN_S = 0.3
"""Time before the caller's deadline that is left to send the response."""
DEFAULT_TIMEOUT_S = 4.0
"""Timeout of a call that states none."""
JSON_HEADERS = [(b"Content-Type", b"application/json")]


@dataclasses.dataclass(slots=True, frozen=True)
class ReadResults:
    """A call that reads a job's results.

    Attributes:
        job_id: Id of the job.
        first_index: Index of the first result to return, in the order in
            which the results were listed.
        max_wait_s: Seconds to wait when that result does not exist yet.
    """

    job_id: str
    first_index: int
    max_wait_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class ReadItemBody:
    """A call that reads the request body of an item of a job."""

    job_id: str
    item_id: str


@dataclasses.dataclass(slots=True, frozen=True)
class CancelJob:
    """A call that ends a job, whether or not its items are done."""

    job_id: str


Call = ReadResults | ReadItemBody | CancelJob


@dataclasses.dataclass(slots=True, frozen=True)
class Dialect:
    """How the platform encodes calls and responses; an adapter defines it.

    Attributes:
        decode_call: Decodes a call on an existing job; returns None when the
            message is another request.
        decode_submission: Decodes a job from its id and the request's body.
        encode_page: Encodes a page of results from the number of the job's
            items, the index of the first result and the results.
    """

    decode_call: Callable[[http11.Request], Call | None]
    decode_submission: Callable[[str, bytes], batch_records.Submission]
    encode_page: Callable[[int, int, list[batch_records.ItemResult]], bytes]


class Handler:
    """Handles the batch calls that reach one gateway."""

    def __init__(self, jobs: batch_jobs.Jobs, dialect: Dialect) -> None:
        self.jobs = jobs
        self.dialect = dialect

    async def handle(
        self,
        exchange: http_server.Exchange,
        metadata: request_metadata.CallerMetadata,
        configuration: serving.Configuration,
    ) -> bool:
        """Responds to a request that concerns a batch job.

        Returns:
            False when the request does not concern batch jobs and no
            response was sent.

        Raises:
            IbisknotError: The call failed.
        """
        host = exchange.request.get_header(b"host") or ""
        path, _ = gateway.split_target(exchange.request.target)
        call = self.dialect.decode_call(exchange.request)
        if call is not None:
            route = configuration.find_batch_route(host)
            # A job is read also after its route was removed.
            if route is None and configuration.find_route(host, path):
                return False
            await self._perform(exchange, metadata, configuration, route, call)
            return True
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
        """Accepts a batch job and responds to its submission."""
        if exchange.request.method != b"POST":
            raise errors.NotFoundError("batch jobs are submitted with POST")
        submission = self.dialect.decode_submission(
            metadata.id, exchange.request.body
        )
        deadline_s = self._deadline_s(exchange, metadata)
        try:
            await self.jobs.submit(submission, route, organisation, deadline_s)
        except errors.KeyValueUnknownError as error:
            # The job may or may not have been accepted.
            raise errors.DeadlineError(error.message) from None
        await exchange.respond(202, [])

    def _deadline_s(
        self,
        exchange: http_server.Exchange,
        metadata: request_metadata.CallerMetadata,
    ) -> float:
        """Returns the monotonic time by which the handler must respond."""
        timeout_s = metadata.timeout_s or DEFAULT_TIMEOUT_S
        return exchange.request.received_s + timeout_s - RESPONSE_MARGIN_S

    async def _perform(
        self,
        exchange: http_server.Exchange,
        metadata: request_metadata.CallerMetadata,
        configuration: serving.Configuration,
        route: serving.Route | None,
        call: Call,
    ) -> None:
        """Performs a call on an existing job and responds to it."""
        organisation = _organisation_name(configuration, metadata, route)
        if isinstance(call, ReadResults):
            page = await self._read_page(call, organisation)
            await exchange.respond(200, JSON_HEADERS, page)
        elif isinstance(call, ReadItemBody):
            item_body = await self.jobs.reader.read_item_body(
                call.job_id, organisation, call.item_id
            )
            if item_body is None:
                raise errors.NotFoundError(
                    f"the job has no item {call.item_id}"
                )
            await exchange.respond(200, [], item_body)
        else:
            deadline_s = self._deadline_s(exchange, metadata)
            await self.jobs.cancel(call.job_id, organisation, deadline_s)
            await exchange.respond(200, [])

    async def _read_page(self, call: ReadResults, organisation: str) -> bytes:
        """Returns a page of results as it is sent.

        The results themselves are not held while it is sent.
        """
        total, results = await self.jobs.reader.read_results(
            call.job_id, organisation, call.first_index, call.max_wait_s
        )
        return self.dialect.encode_page(total, call.first_index, results)


def _organisation_name(
    configuration: serving.Configuration,
    metadata: request_metadata.CallerMetadata,
    route: serving.Route | None,
) -> str:
    """Returns the caller's organisation; empty where no key is needed."""
    organisation = gateway.find_organisation(configuration, metadata, route)
    return "" if organisation is None else organisation.name
