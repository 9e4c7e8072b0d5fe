"""The serving configuration: routes, services, organisations and limits."""

import dataclasses
import random

from ibisknot import api_keys
from ibisknot import http_server
from ibisknot import rates

SAFE = "safe"
UNSAFE = "unsafe"
STREAM = "stream"
BATCH = "batch"


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """A service to which a route sends requests.

    Attributes:
        service: Name of the service.
        weight: Relative share of the route's requests.
    """

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Which services a group of requests goes to, and how it is handled.

    Attributes:
        name: Name of the route.
        host: Host of the requests, in lower case.
        prefix: Prefix of the requests' paths.
        kind: `safe`, `unsafe`, `stream` or `batch`.
        targets: The services, one of which is chosen for each request.
        timeout_s: Longest time until the response to a caller is complete.
        objective_s: Time within which a response should begin.
        priority: Priority of the requests; 0 is the most urgent.
        max_attempts: Number of endpoints that may run one request.
        allows_anonymous: Whether requests without an API key are allowed.
        resumable: Whether a stream may continue at another endpoint.
        event_gap_target_s: Longest pause between events that counts as on
            time.
        completion_target_s: Time after a batch job's submission at which its
            results are due; 0 means no target.
        max_item_age_s: Time after a batch job's submission at which its items
            are given up; 0 means never.
        max_waiting_tokens: Tokens that an organisation's batch items may have
            waiting; 0 means no limit.
        allowed_regions: Regions in which requests may run; empty for any.
    """

    name: str
    host: str
    prefix: str
    kind: str
    targets: tuple[Target, ...]
    timeout_s: float = 30.0
    objective_s: float = 1.0
    priority: int = 0
    max_attempts: int = 1
    allows_anonymous: bool = False
    resumable: bool = False
    event_gap_target_s: float = 0.0
    completion_target_s: float = 0.0
    max_item_age_s: float = 0.0
    max_waiting_tokens: int = 0
    allowed_regions: frozenset[str] = frozenset()

    def is_idempotent(self) -> bool:
        """Returns whether a request may be run more than once."""
        if self.kind == STREAM:
            return self.resumable
        return self.kind in (SAFE, BATCH)

    def choose_service(self, rng: random.Random) -> str | None:
        """Chooses the service of one request at random, by weight."""
        if not self.targets:
            return None
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [max(0.0, t.weight) for t in self.targets]
        if sum(weights) <= 0.0:
            return self.targets[0].service
        return rng.choices(self.targets, weights)[0].service


@dataclasses.dataclass(slots=True, frozen=True)
class WarmUp:
    """How a service's endpoints are treated while they are cold.

    Attributes:
        duration_s: Seconds for which an endpoint is cold after its start.
        rate_per_s: Requests a second that a cold endpoint takes.
    """

    duration_s: float
    rate_per_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Organisation:
    """An organisation with its rate limit over the whole fleet.

    Attributes:
        name: Name of the organisation.
        rate_per_s: Requests per second; 0 means no limit.
        burst: Requests that may start at once.
        priority: Priority of its requests, or None for the route's.
        allowed_regions: Regions in which its requests may run; empty for any.
    """

    name: str
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: int | None = None
    allowed_regions: frozenset[str] = frozenset()

    def allowance(self) -> rates.Allowance | None:
        """Returns the rate and burst, or None without a limit."""
        if self.rate_per_s <= 0.0:
            return None
        return rates.Allowance(self.rate_per_s, max(1.0, self.burst))


def regions_of(
    route: Route | None, organisation: Organisation | None
) -> frozenset[str] | None:
    """Returns the regions that a route and an organisation both allow.

    None allows any region, and an empty set none.

    >>> north, both = frozenset({"n"}), frozenset({"n", "s"})
    >>> regions_of(None, Organisation("o"))
    >>> regions_of(None, Organisation("o", allowed_regions=north))
    frozenset({'n'})
    """
    named = [
        restricted.allowed_regions
        for restricted in (route, organisation)
        if restricted is not None and restricted.allowed_regions
    ]
    return frozenset.intersection(*named) if named else None


@dataclasses.dataclass(slots=True)
class Configuration:
    """One version of the operator's serving configuration.

    Attributes:
        version: Version that the operator gave it.
        routes: Routes of all hosts.
        services: Names of the services.
        organisations: Organisations by name.
        organisations_by_key_hash: Names of organisations by the hash of each
            of their API keys.
        requires_key: Whether routes require an API key at all.
        limits: Limits of the HTTP server.
        memory_tokens: Tokens that the memory of one endpoint holds, by the
            service's name; services without a statement are missing.
        warm_ups: Warm-up of the services whose endpoints are cold after their
            start, by service.
    """

    version: int
    routes: list[Route]
    services: frozenset[str]
    organisations: dict[str, Organisation]
    organisations_by_key_hash: dict[str, str]
    requires_key: bool
    limits: http_server.Limits
    memory_tokens: dict[str, int] = dataclasses.field(default_factory=dict)
    warm_ups: dict[str, WarmUp] = dataclasses.field(default_factory=dict)

    def find_organisation(self, key: str | None) -> str | None:
        """Returns the name of the organisation that owns an API key."""
        return (
            None
            if key is None
            else self.organisations_by_key_hash.get(api_keys.digest(key))
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the host's route with the longest matching prefix."""
        host_name = host.partition(":")[0].lower()
        matches = [
            route
            for route in self.routes
            if route.host == host_name and path.startswith(route.prefix)
        ]
        return max(matches, key=lambda route: len(route.prefix), default=None)

    def find_batch_route(self, host: str) -> Route | None:
        """Returns the host's route for batch jobs, or None."""
        host_name = host.partition(":")[0].lower()
        for route in self.routes:
            if route.host == host_name and route.kind == BATCH:
                return route
        return None

    def find_route_by_name(self, name: str) -> Route | None:
        """Returns the route with a name, or None."""
        return next((r for r in self.routes if r.name == name), None)
