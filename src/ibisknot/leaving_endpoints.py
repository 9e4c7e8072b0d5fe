"""Endpoints that the requests of one process must not use.

They are about to leave, in evacuated data centres, or outside the regions that
a request allows. Some have said in an answer that they leave: their entry may
say so later, or not at all while the store is away. The answer is evidence of
one start of one endpoint.
"""

import collections
from collections.abc import Callable

from ibisknot import errors
from ibisknot import fleet_endpoint
from ibisknot import fleetview
from ibisknot import logs
from ibisknot import regions
from ibisknot import ticket_types
from ibisknot.warmup import cold_limits

MAX_ENDPOINTS = 4096
"""Endpoints that are remembered, the last ones that were seen to leave."""
RETRY_AFTER_S = 1.0


class Table:
    """What one process knows of endpoints that must not be used.

    What was seen is forgotten only with the process: an entry that lapses and
    comes back is of the same start.

    Attributes:
        view: Has the endpoints, the evacuations and the regions.
        seen: Name and start in Unix milliseconds of each endpoint that has
            said that it leaves.
    """

    def __init__(self, view: fleetview.View) -> None:
        self.view = view
        self.seen: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    def record_answer(
        self, endpoint: fleet_endpoint.Endpoint, says_leaving: bool
    ) -> None:
        """Records whether an answer says that its endpoint leaves."""
        start = (endpoint.name, endpoint.born_ms)
        if not says_leaving or start in self.seen:
            return
        self.seen[start] = None
        if len(self.seen) > MAX_ENDPOINTS:
            self.seen.popitem(last=False)
        logs.event(
            "endpoint_says_leaving",
            endpoint=endpoint.name,
            born_ms=endpoint.born_ms,
        )

    def is_leaving(self, endpoint: fleet_endpoint.Endpoint) -> bool:
        """Returns whether an endpoint gets no more requests."""
        return (
            endpoint.leaving
            or (endpoint.name, endpoint.born_ms) in self.seen
            or fleetview.is_evacuated(self.view, endpoint)
        )

    def checker(self, endpoint: fleet_endpoint.Endpoint) -> Callable[[], None]:
        """Returns a function that refuses requests that must go elsewhere.

        A request may have got its ticket before it was known that its
        endpoint is evacuated, or that it has turned cold. The function raises
        EndpointRefusedError.
        """
        cold_until_s = cold_limits.until_s(self.view, endpoint.name)

        def check() -> None:
            if fleetview.is_evacuated(self.view, endpoint):
                raise errors.EndpointRefusedError(
                    f"{endpoint.name} is evacuated"
                )
            if cold_limits.has_turned_cold(self.view, endpoint, cold_until_s):
                raise errors.EndpointRefusedError(
                    f"{endpoint.name} has turned cold"
                )

        return check

    def names(self, service: str) -> frozenset[str]:
        """Returns the endpoints of a service that are not used any more.

        They were seen to leave or are in evacuated data centres. A scheduler
        may not know of either. Those whose entries say that they are draining
        are left out.
        """
        if not self.seen and not self.view.evacuations.data_centres:
            return frozenset()
        return frozenset(
            e.name
            for e in self.view.endpoints.values()
            if e.service == service and not e.leaving and self.is_leaving(e)
        )

    def excluded(self, request: ticket_types.TicketRequest) -> frozenset[str]:
        """Returns the endpoints of its service that a request must not use."""
        names = self.names(request.service)
        if request.allowed_regions is None:
            return names
        return names | {
            e.name
            for e in self.view.endpoints.values()
            if e.service == request.service and not self.allows(request, e)
        }

    def allows(
        self,
        request: ticket_types.TicketRequest,
        endpoint: fleet_endpoint.Endpoint,
    ) -> bool:
        """Returns whether a request may use an endpoint."""
        return not self.is_leaving(endpoint) and regions.serves(
            self.view, endpoint.data_centre, request.allowed_regions
        )

    def check(self, request: ticket_types.TicketRequest) -> None:
        """Refuses a request at once that no endpoint can take.

        Raises:
            OverloadedError: No endpoint takes it.
            SoftwareGoneError: None with the software that it needs does.
        """
        if request.allowed_regions is not None and not any(
            self.allows(request, endpoint)
            for endpoint in self.view.endpoints.values()
            if endpoint.service == request.service
        ):
            names = ", ".join(sorted(request.allowed_regions)) or "none"
            raise errors.OverloadedError(
                f"no endpoint of {request.service} in the regions {names}",
                retry_after_s=RETRY_AFTER_S,
            )
        self.check_service(request.service, request.software_version)

    def check_service(self, service: str, software: str | None) -> None:
        """Refuses a request at once that no endpoint can take.

        Args:
            service: Service of the request.
            software: Version of the software that it needs, or None.

        Raises:
            OverloadedError: All endpoints of the service are leaving or
                evacuated.
            SoftwareGoneError: All that have the software are.
        """
        leaving = self.names(service)
        if not leaving:
            return
        remaining = [
            endpoint
            for endpoint in fleetview.active_endpoints(self.view, service)
            if endpoint.name not in leaving
        ]
        if not remaining:
            message = f"all endpoints of {service} are leaving or evacuated"
            raise errors.OverloadedError(message, retry_after_s=RETRY_AFTER_S)
        versions = {endpoint.software_version for endpoint in remaining}
        if software is not None and software not in versions:
            raise errors.SoftwareGoneError(
                f"all endpoints of {service} with {software!r} are leaving "
                "or evacuated"
            )
