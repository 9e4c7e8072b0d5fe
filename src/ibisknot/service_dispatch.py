"""Dispatches calls of plain services, with retries where they are allowed."""

import anyio
import httpx

from ibisknot import breaker
from ibisknot import dispatch
from ibisknot import distribution
from ibisknot import engine
from ibisknot import errors
from ibisknot import exchange as exchange_module
from ibisknot import relay

MAXIMUM_TRIES = 3


class ServiceDispatch:
    """Sends calls to the least loaded endpoint of a plain service.

    Attributes:
        running: Own calls in flight by endpoint.
        breakers: Circuit breakers by endpoint.
        budget: Bounds the retries of this process.
    """

    def __init__(
        self, source: distribution.Distribution, engines: engine.Engines
    ) -> None:
        self.source = source
        self.engines = engines
        self.running: dict[str, int] = {}
        self.breakers: dict[str, breaker.Breaker] = {}
        self.budget = breaker.RetryBudget()

    async def run(
        self, exchange: exchange_module.Exchange
    ) -> exchange_module.Reply:
        """Sends a call and returns its answer.

        Raises:
            OverloadedError: No endpoint serves it.
            EndpointError: Every allowed try failed.
        """
        breaker.add_credit(self.budget)
        tried: set[str] = set()
        last: errors.EndpointError | None = None
        while len(tried) < MAXIMUM_TRIES:
            name = self._choose(exchange, tried)
            if name is None:
                break
            tried.add(name)
            try:
                return await self._try(exchange, name)
            except errors.EndpointError as error:
                last = error
                dispatch.log_failure(exchange, name, error)
                if not dispatch.may_retry(exchange):
                    raise
                if not breaker.consume_credit(self.budget):
                    raise
        if last is not None:
            raise last
        message = f"no active endpoint serves {exchange.goal().name}"
        raise errors.OverloadedError(message, retry_after_s=1.0)

    def _choose(
        self, exchange: exchange_module.Exchange, tried: set[str]
    ) -> str | None:
        names = dispatch.candidates(self.source, exchange.goal())
        left = [name for name in names if name not in tried]
        now = anyio.current_time()
        allowed = [n for n in left if breaker.allows(self._breaker(n), now)]
        return min(
            allowed or left,
            key=lambda name: (self.running.get(name, 0), name),
            default=None,
        )

    def _breaker(self, name: str) -> breaker.Breaker:
        return self.breakers.setdefault(name, breaker.Breaker())

    async def _try(
        self, exchange: exchange_module.Exchange, name: str
    ) -> exchange_module.Reply:
        state = self._breaker(name)
        breaker.record_sent(state)
        self._add(name, 1)
        exchange.closing.callback(self._add, name, -1)
        try:
            reply = await dispatch.send(
                self.source, self.engines, exchange, name
            )
            _check_id(exchange, reply)
            if not relay.is_event_stream(reply):
                body = await relay.read_whole(reply.body)
                reply.body = relay.single(body)
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

    def _add(self, name: str, change: int) -> None:
        self.running[name] = self.running.get(name, 0) + change


def _check_id(
    exchange: exchange_module.Exchange, reply: exchange_module.Reply
) -> None:
    """Refuses an answer that names another request.

    Raises:
        EndpointError: The answer belongs to another request.
    """
    if reply.upstream_id not in ("", exchange.id):
        raise errors.EndpointError("the answer belongs to another request")
