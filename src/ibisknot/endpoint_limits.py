"""Limits on requests that the endpoints of a fleet have named.

Each process has a table of what it has seen itself or was told. Of two answers
of an endpoint the later one counts.
"""

from collections.abc import Iterable
import math

from ibisknot import fleet_endpoint
from ibisknot import fleetview
from ibisknot import logs
from ibisknot import request_limits
from ibisknot.gen.fleet import ttypes

NO_LIMIT = -1.0
"""On the wire, the rate of an endpoint that has ended its limit."""


class Table:
    """The limits that one process knows.

    Attributes:
        view: Has the endpoints; those that have left are forgotten.
        limits: What an endpoint has named last, by its name. Endpoints that
            never named a limit have no entry.
    """

    def __init__(self, view: fleetview.View) -> None:
        self.view = view
        self.limits: dict[str, request_limits.NamedLimit] = {}

    def record_answer(
        self,
        endpoint: fleet_endpoint.Endpoint,
        rate_per_s: float | None,
        now: float,
    ) -> bool:
        """Records what an answer of an endpoint names.

        Args:
            endpoint: The endpoint.
            rate_per_s: Requests a second; infinite if the answer names no
                limit, None if it could not be read.
            now: Monotonic time in seconds.

        Returns:
            Whether that differs from what was known.
        """
        known = self.limits.get(endpoint.name)
        if rate_per_s is None or (known is None and rate_per_s == math.inf):
            return False
        named = request_limits.NamedLimit(endpoint.born_ms, rate_per_s, now)
        return self._adopt(endpoint.name, named)

    def adopt(
        self, messages: Iterable[ttypes.EndpointLimit], now: float
    ) -> list[str]:
        """Adopts what a peer knows.

        Returns:
            The names of the endpoints whose limits have changed.
        """
        changed = []
        for message in messages:
            rate_per_s = message.rate_per_s
            named = request_limits.NamedLimit(
                message.born_ms,
                math.inf if rate_per_s < 0.0 else rate_per_s,
                now - message.age_s,
            )
            if self._adopt(message.endpoint, named):
                changed.append(message.endpoint)
        return changed

    def _adopt(self, name: str, named: request_limits.NamedLimit) -> bool:
        """Adopts a limit if it is newer; returns whether the rate changed."""
        known = self.limits.get(name)
        endpoint = self.view.endpoints.get(name)
        if endpoint is None or endpoint.born_ms != named.born_ms:
            return False
        if not request_limits.is_newer(known, named):
            return False
        self.limits[name] = named
        before = known.rate_per_s if known is not None else math.inf
        if named.rate_per_s == before:
            return False
        logs.event(
            "endpoint_limit_changed",
            endpoint=name,
            rate_per_s=_loggable(named.rate_per_s),
            before_per_s=_loggable(before),
        )
        return True

    def rate_per_s(self, name: str) -> float:
        """Returns the requests a second of an endpoint, infinite if unknown."""
        known = self.limits.get(name)
        return known.rate_per_s if known is not None else math.inf

    def forget_gone(self) -> list[str]:
        """Forgets endpoints that have left or started again; returns them."""
        gone = [
            name
            for name, known in self.limits.items()
            if name not in self.view.endpoints
            or self.view.endpoints[name].born_ms != known.born_ms
        ]
        for name in gone:
            del self.limits[name]
        return gone

    def to_wire(self, now: float) -> list[ttypes.EndpointLimit]:
        """Returns the limits for a message to a peer."""
        return [
            ttypes.EndpointLimit(
                endpoint=name,
                born_ms=known.born_ms,
                rate_per_s=(
                    NO_LIMIT
                    if known.rate_per_s == math.inf
                    else known.rate_per_s
                ),
                age_s=now - known.named_s,
            )
            for name, known in self.limits.items()
        ]


def _loggable(rate_per_s: float) -> float | None:
    """Returns a rate for the log, None if there is no limit."""
    return None if rate_per_s == math.inf else rate_per_s
