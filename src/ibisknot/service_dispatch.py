"""Dispatches calls of plain services, with retries where they are allowed."""

import anyio
import httpx

from ibisknot import breaker
from ibisknot import dispatch
from ibisknot import distribution
from ibisknot import endpoint_http
from ibisknot import errors
from ibisknot import exchange as exchange_module
from ibisknot import relay

MAX_ATTEMPTS = 3
"""Most endpoints that one call is sent to."""


class ServiceDispatch:
    """Sends calls to endpoints of plain services.

    A call goes to the endpoint with the fewest calls of this process in flight
    whose circuit breaker allows it.

    Attributes:
        source: The configuration in force.
        endpoint_client: Sends calls to endpoints.
        in_flight: Number of this process's calls in flight, by endpoint.
        breakers: Circuit breakers by endpoint.
        retry_budget: Limits the retries of this process.
    """

    def __init__(
        self,
        source: distribution.LocalConfiguration,
        endpoint_client: endpoint_http.EndpointClient,
    ) -> None:
        self.source = source
        self.endpoint_client = endpoint_client
        self.in_flight: dict[str, int] = {}
        self.breakers: dict[str, breaker.Breaker] = {}
        self.retry_budget = breaker.RetryBudget()

    async def run(
        self, exchange: exchange_module.Exchange
    ) -> exchange_module.Reply:
        """Sends a call and returns its response.

        Raises:
            OverloadedError: No endpoint serves it.
            EndpointError: All allowed attempts failed.
        """
        breaker.add_credit(self.retry_budget)
        tried: set[str] = set()
        last_error: errors.EndpointError | None = None
        while len(tried) < MAX_ATTEMPTS:
            name = self._choose_endpoint(exchange, tried)
            if name is None:
                break
            tried.add(name)
            try:
                return await self._send_attempt(exchange, name)
            except errors.EndpointError as error:
                last_error = error
                dispatch.log_failure(exchange, name, error)
                if not dispatch.may_retry(exchange):
                    raise
                if not breaker.consume_credit(self.retry_budget):
                    raise
        if last_error is not None:
            raise last_error
        message = f"no active endpoint serves {exchange.require_target().name}"
        raise errors.OverloadedError(message, retry_after_s=1.0)

    def _choose_endpoint(
        self, exchange: exchange_module.Exchange, tried: set[str]
    ) -> str | None:
        """Returns the endpoint for the next attempt, None if none is left.

        If the circuit breakers allow no endpoint, they are ignored.
        """
        names = dispatch.candidate_endpoints(
            self.source, exchange.require_target()
        )
        untried = [name for name in names if name not in tried]
        now = anyio.current_time()
        allowed = [
            endpoint
            for endpoint in untried
            if breaker.allows(self._breaker(endpoint), now)
        ]
        return min(
            allowed or untried,
            key=lambda name: (self.in_flight.get(name, 0), name),
            default=None,
        )

    def _breaker(self, name: str) -> breaker.Breaker:
        return self.breakers.setdefault(name, breaker.Breaker())

    async def _send_attempt(
        self, exchange: exchange_module.Exchange, name: str
    ) -> exchange_module.Reply:
        """Sends a call to one endpoint and records the outcome.

        A response that is not a stream is read to its end, so that the call can
        still be repeated when it is truncated.

        Raises:
            EndpointError: The attempt failed.
        """
        endpoint_breaker = self._breaker(name)
        breaker.record_sent(endpoint_breaker)
        self._add_in_flight(name, 1)
        exchange.cleanup.callback(self._add_in_flight, name, -1)
        try:
            reply = await dispatch.send(
                self.source, self.endpoint_client, exchange, name
            )
            if not relay.is_event_stream(reply):
                body = await relay.read_complete(reply.body)
                reply.body = relay.single_chunk(body)
        except errors.EndpointError as error:
            is_unreachable = error.ran == errors.NOT_RUN
            breaker.record_failure(
                endpoint_breaker,
                anyio.current_time(),
                endpoint_down=is_unreachable,
            )
            raise
        except httpx.HTTPError as error:
            breaker.record_failure(endpoint_breaker, anyio.current_time())
            raise errors.EndpointError(f"{name} failed: {error!r}") from None
        breaker.record_success(endpoint_breaker)
        return reply

    def _add_in_flight(self, name: str, change: int) -> None:
        """Changes the number of calls in flight at an endpoint."""
        self.in_flight[name] = self.in_flight.get(name, 0) + change
