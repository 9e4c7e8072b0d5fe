"""Applies the limits that endpoints name to what a scheduler grants."""

from collections.abc import Callable
from collections.abc import Iterable

from ibisknot import endpoint_limits
from ibisknot import fleetview
from ibisknot import peer
from ibisknot import timer
from ibisknot.gen.fleet import ttypes

SetLimit = Callable[[str, str, float], None]
"""Sets the requests a second of a service's endpoint, by their names."""


class Limits:
    """The limits that one scheduler knows.

    Attributes:
        table: The limits, by endpoint.
        set_limit: Applies a limit.
    """

    def __init__(
        self, view: fleetview.View, clock: timer.Timer, set_limit: SetLimit
    ) -> None:
        self.view = view
        self.clock = clock
        self.table = endpoint_limits.Table(view)
        self.set_limit = set_limit

    def start(self, server: peer.Server) -> None:
        """Registers the peer method."""
        server.on("endpoint_limits", ttypes.EndpointLimits, self.on_change)

    async def on_change(self, message: ttypes.EndpointLimits) -> None:
        """Peer method: adopts limits that have changed."""
        self.adopt(message.limits)

    def adopt(self, limits: list[ttypes.EndpointLimit] | None) -> None:
        """Adopts and applies the limits that a process knows."""
        if limits:
            self.apply(self.table.adopt(limits, self.clock.now()))

    def apply(self, names: Iterable[str]) -> None:
        """Applies what is known of endpoints."""
        for name in names:
            endpoint = self.view.endpoints.get(name)
            if endpoint is not None:
                rate_per_s = self.table.rate_per_s(name)
                self.set_limit(endpoint.service, name, rate_per_s)

    def forget_gone(self) -> None:
        """Forgets the limits of endpoints that left or started again."""
        self.apply(self.table.forget_gone())
