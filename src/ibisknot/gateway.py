"""Answers callers: finds the route, checks the key, forwards the request."""

from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import Any

import anyio

from ibisknot import errors
from ibisknot import fleetview
from ibisknot import forward
from ibisknot import http_server
from ibisknot import logs
from ibisknot import metrics
from ibisknot import request_metadata
from ibisknot import serving
from ibisknot import timer

NO_CONFIGURATION_RETRY_S = 0.5
CLOSING_RETRY_S = 0.05
LOGGED_TARGET = 200
"""Characters of a target that a log line holds."""

BatchCall = Callable[
    [
        http_server.Exchange,
        request_metadata.CallerMetadata,
        serving.Configuration,
    ],
    Awaitable[bool],
]


class Gateway:
    """Handles the requests of one process.

    Attributes:
        batch: Answers calls of batch jobs; returns whether it was one.
        closing: Whether this process is about to end, so that a request
            might not be answered whole.
    """

    def __init__(
        self,
        view: fleetview.View,
        forwarder: forward.Forwarder,
        dialect: forward.Dialect,
        clock: timer.Timer,
        *,
        batch: BatchCall | None = None,
    ) -> None:
        self.view = view
        self.forwarder = forwarder
        self.dialect = dialect
        self.clock = clock
        self.batch = batch
        self.closing = False
        self.choice = random.Random()

    async def handle(self, exchange: http_server.Exchange) -> None:
        """Answers one request."""
        terms = self.dialect.terms(exchange.message.headers)
        try:
            await self._handle(exchange, terms)
        except errors.CallerGoneError:
            raise
        except errors.IbisknotError as error:
            await self._refuse(exchange, terms, error)
        except Exception as error:
            logs.event(
                "request_failed",
                level="error",
                request=terms.id,
                error=repr(error),
            )
            raised = errors.EndpointError(repr(error))
            await self._refuse(exchange, terms, raised)
        except BaseException:
            self._log(exchange, terms, "caller_left")
            raise

    async def _handle(
        self,
        exchange: http_server.Exchange,
        terms: request_metadata.CallerMetadata,
    ) -> None:
        if self.closing:
            raise errors.UnavailableError(
                "this VM stops", retry_after_s=CLOSING_RETRY_S
            )
        configuration = self.view.configuration
        if configuration is None:
            raise errors.StaleConfigurationError(
                "no configuration is known yet",
                retry_after_s=NO_CONFIGURATION_RETRY_S,
            )
        if self.batch is not None and await self.batch(
            exchange, terms, configuration
        ):
            self._log(exchange, terms, "batch_call")
            return
        route = find_route(configuration, exchange)
        organisation = find_organisation(configuration, terms, route)
        job = self._job(exchange, terms, route, organisation)
        await self._forward(job)
        if job.exchange.finished:
            self._log(
                exchange,
                terms,
                "answered",
                route=route.name,
                tries=job.tries,
                version=configuration.version,
            )

    def _job(
        self,
        exchange: http_server.Exchange,
        terms: request_metadata.CallerMetadata,
        route: serving.Route,
        organisation: serving.Organisation | None,
    ) -> forward.Job:
        service = route.choose_service(self.choice)
        if service is None:
            raise errors.OverloadedError(f"{route.name} has no service")
        received_s = exchange.message.received_s
        deadline_s = received_s + route.timeout_s
        caller_s = None
        if terms.timeout_s is not None:
            caller_s = received_s + terms.timeout_s
            deadline_s = min(deadline_s, caller_s)
        return forward.Job(
            exchange=exchange,
            terms=terms,
            route=route,
            organisation=organisation,
            service=service,
            deadline_s=deadline_s,
            caller_deadline_s=caller_s,
        )

    async def _forward(self, job: forward.Job) -> None:
        """Forwards a request up to its deadline.

        Raises:
            IbisknotError: It is not answered.
        """
        left_s = max(0.0, job.deadline_s - self.clock.now())
        with anyio.move_on_after(left_s) as scope:
            await self.forwarder.run(job)
        if not scope.cancelled_caught:
            return
        ran = errors.UNKNOWN if job.runs or job.tries else errors.NOT_RUN
        if ran == errors.NOT_RUN:
            raise errors.OverloadedError("no endpoint was free in time")
        raise errors.DeadlineError("the answer was not whole in time")

    async def _refuse(
        self,
        exchange: http_server.Exchange,
        terms: request_metadata.CallerMetadata,
        error: errors.IbisknotError,
    ) -> None:
        """Answers with an error, or breaks an answer off that has begun."""
        self._log(
            exchange,
            terms,
            error.code,
            cause=error.message,
            ran=error.ran,
            retry_after_s=error.retry_after_s,
        )
        if exchange.started:
            exchange.abort()
            return
        status = error.status
        if status in (429, 503) and error.ran != errors.NOT_RUN:
            # These two promise that the request has not run.
            status = 502
        headers = self.dialect.refusal(error.retry_after_s)
        await exchange.respond(status, headers, error.code.encode())

    def _log(
        self,
        exchange: http_server.Exchange,
        terms: request_metadata.CallerMetadata,
        outcome: str,
        **fields: Any,
    ) -> None:
        took_s = self.clock.now() - exchange.message.received_s
        metrics.REQUESTS.inc({"outcome": outcome})
        if not terms.id:
            target = exchange.message.target.decode("latin-1")
            fields["target"] = target[:LOGGED_TARGET]
        logs.event(
            "request",
            request=terms.id,
            outcome=outcome,
            took_s=round(took_s, 3),
            **fields,
        )


def split_target(target: bytes) -> tuple[str, str]:
    """Returns path and query of a request target.

    >>> split_target(b"/a/b?x=1")
    ('/a/b', 'x=1')
    """
    path, _, query = target.decode("latin-1").partition("?")
    return path, query


def find_route(
    configuration: serving.Configuration, exchange: http_server.Exchange
) -> serving.Route:
    """Returns the route of a request.

    Raises:
        NotFoundError: There is none.
    """
    path, _ = split_target(exchange.message.target)
    host = exchange.message.header(b"host") or ""
    route = configuration.find_route(host, path)
    if route is None:
        version = configuration.version
        raise errors.NotFoundError(
            f"version {version} has no route of {host!r} for {path!r}"
        )
    return route


def find_organisation(
    configuration: serving.Configuration,
    terms: request_metadata.CallerMetadata,
    route: serving.Route,
) -> serving.Organisation | None:
    """Returns whose request it is; None where no key is needed.

    Raises:
        AuthenticationError: The route needs a key and this is none.
    """
    if not configuration.requires_key:
        return None
    owner = configuration.find_organisation(terms.api_key)
    if owner is not None:
        return configuration.organisations[owner]
    if route.allows_anonymous:
        return None
    message = f"the key is not known in version {configuration.version}"
    raise errors.AuthenticationError(message)
