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


class ServiceDispatch:
    """Sends calls to the least loaded endpoint of a plain service.

    Attributes:
        running: Own calls in flight by endpoint.
        breakers: Circuit breakers by endpoint.
        budget: Bounds the retries of this process.
    """

    def __init__(
        self,
        source: distribution.Distribution,
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
        """Sends a call and returns its answer.

        Raises:
            OverloadedError: No endpoint serves it.
            EndpointError: Every allowed try failed.
        """
        breaker.add_credit(self.retry_budget)
        tried: set[str] = set()
        last: errors.EndpointError | None = None
        while len(tried) < MAX_ATTEMPTS:
            name = self._choose_endpoint(exchange, tried)
            if name is None:
                break
            tried.add(name)
            try:
                return await self._send_attempt(exchange, name)
            except errors.EndpointError as error:
                last = error
                dispatch.log_failure(exchange, name, error)
                if not dispatch.may_retry(exchange):
                    raise
                if not breaker.consume_credit(self.retry_budget):
                    raise
        if last is not None:
            raise last
        message = f"no active endpoint serves {exchange.require_target().name}"
        raise errors.OverloadedError(message, retry_after_s=1.0)

    def _choose_endpoint(
        self, exchange: exchange_module.Exchange, tried: set[str]
    ) -> str | None:
        names = dispatch.candidate_endpoints(
            self.source, exchange.require_target()
        )
        left = [name for name in names if name not in tried]
        now = anyio.current_time()
        allowed = [n for n in left if breaker.allows(self._breaker(n), now)]
        return min(
            allowed or left,
            key=lambda name: (self.in_flight.get(name, 0), name),
            default=None,
        )

    def _breaker(self, name: str) -> breaker.Breaker:
        return self.breakers.setdefault(name, breaker.Breaker())

    async def _send_attempt(
        self, exchange: exchange_module.Exchange, name: str
    ) -> exchange_module.Reply:
        state = self._breaker(name)
        breaker.record_sent(state)
        self._add_in_flight(name, 1)
        exchange.cleanup.callback(self._add_in_flight, name, -1)
        try:
            reply = await dispatch.send(
                self.source, self.endpoint_client, exchange, name
            )
            _check_request_id(exchange, reply)
            if not relay.is_event_stream(reply):
                body = await relay.read_complete(reply.body)
                reply.body = relay.single_chunk(body)
        except errors.EndpointError as error:
            down = error.ran == errors.NOT_RUN
            breaker.record_failure(
                state, anyio.current_time(), endpoint_down=down
            )
            raise
        except httpx.HTTPError as error:
            breaker.record_failure(state, anyio.current_time())
            raise errors.EndpointError(f"{name} failed: {error!r}") from None
        breaker.record_success(state)
        return reply

    def _add_in_flight(self, name: str, change: int) -> None:
        self.in_flight[name] = self.in_flight.get(name, 0) + change


def _check_request_id(
    exchange: exchange_module.Exchange, reply: exchange_module.Reply
) -> None:
    """Refuses an answer that names another request.

    Raises:
        EndpointError: The answer belongs to another request.
    """
    if reply.endpoint_request_id not in ("", exchange.id):
        raise errors.EndpointError("the answer belongs to another request")
