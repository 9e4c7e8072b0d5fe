"""Applies the limits that endpoints name to what a scheduler grants."""

from collections.abc import Callable
from collections.abc import Iterable

from ibisknot import admission
from ibisknot import endpoint_limits
from ibisknot import fleetview
from ibisknot import logs
from ibisknot import peer
from ibisknot import request_limits
from ibisknot import timer
from ibisknot.gen.fleet import ttypes
from ibisknot.warmup import cold_limits

Change = Callable[[admission.Group, float], list[admission.Action]]
"""Changes a limit of a group at a monotonic time in seconds."""
SetLimit = Callable[[str, Change], None]
"""Changes the limit of an endpoint of a service, by the service's name."""


class Limits:
    """The limits that one scheduler knows.

    Attributes:
        table: The limits, by endpoint.
        set_limit: Applies a limit.
        cold: What the endpoints that are cold take, by name, as it was last
            applied.
    """

    def __init__(
        self, view: fleetview.View, clock: timer.Timer, set_limit: SetLimit
    ) -> None:
        self.view = view
        self.clock = clock
        self.table = endpoint_limits.Table(view)
        self.set_limit = set_limit
        self.cold: dict[str, request_limits.ColdLimit] = {}

    def start(self, server: peer.Server) -> None:
        """Registers the peer method."""
        server.on("endpoint_limits", ttypes.EndpointLimits, self.on_change)

    async def on_change(self, message: ttypes.EndpointLimits) -> None:
        """Peer method: adopts limits that have changed."""
        self.adopt(message.limits)

    def adopt(self, limits: list[ttypes.EndpointLimit] | None) -> None:
        """Adopts and applies the limits that a process knows."""
        self.update_cold()
        if limits:
            self.apply(self.table.adopt(limits, self.clock.now()))

    def apply(self, names: Iterable[str]) -> None:
        """Applies what is known of endpoints."""
        for name in names:
            endpoint = self.view.endpoints.get(name)
            if endpoint is not None:
                self.set_limit(endpoint.service, self._change(name))

    def _change(self, name: str) -> Change:
        """Returns the function that applies what is known of an endpoint."""
        rate_per_s = self.table.rate_per_s(name)
        cold = self.cold.get(name)
        if cold is not None:
            rate_per_s = min(
                cold.rate_per_s, max(request_limits.MIN_RATE_PER_S, rate_per_s)
            )
            cold = request_limits.ColdLimit(rate_per_s, cold.burst)
        return lambda group, now: admission.set_request_limit(
            group, now, name, rate_per_s, cold
        )

    def update_cold(self) -> None:
        """Applies the limits of endpoints that have turned cold or warm."""
        before = self.cold
        self.cold = cold_limits.current(self.view, self.clock.now())
        if self.cold == before:
            return
        names = before.keys() | self.cold.keys()
        changed = [n for n in names if before.get(n) != self.cold.get(n)]
        logs.event(
            "cold_endpoints_changed",
            cold=sorted(self.cold),
            changed=sorted(changed),
        )
        self.apply(changed)

    def forget_gone(self) -> None:
        """Forgets the limits of endpoints that left or started again.

        Those that have turned warm are applied as well.
        """
        self.update_cold()
        self.apply(self.table.forget_gone())
