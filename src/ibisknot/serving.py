"""The serving configuration: routes, services, organisations and limits."""

import dataclasses
import random

from ibisknot import http_server
from ibisknot import keys
from ibisknot import rates

SAFE = "safe"
UNSAFE = "unsafe"
STREAM = "stream"
BATCH = "batch"


@dataclasses.dataclass(slots=True, frozen=True)
class Target:
    """A service that a route sends to, with its share of the requests."""

    service: str
    weight: float


@dataclasses.dataclass(slots=True, frozen=True)
class Route:
    """Where requests go and how they may be treated.

    Attributes:
        kind: `safe`, `unsafe`, `stream` or `batch`.
        timeout_s: The longest time that a caller is kept waiting.
        objective_s: The time in which an answer should begin.
        priority: 0 is the most urgent.
        max_attempts: Endpoints that may run one request.
        open: Whether requests need no key.
        resumable: Whether a stream may go on at another endpoint.
        gap_s: The longest pause between events that counts as on time.
        completion_s: How long after a batch job came its results are due.
        keep_s: How long after a batch job came its items may be given up.
        max_tokens: Tokens that an organisation's items may have waiting; 0
            means no limit.
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

    def is_idempotent(self) -> bool:
        """Returns whether a request may run more than once."""
        if self.kind == STREAM:
            return self.resumable
        return self.kind in (SAFE, BATCH)

    def choose_service(self, rng: random.Random) -> str | None:
        """Returns the service for one request, by weight."""
        if not self.targets:
            return None
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [max(0.0, t.weight) for t in self.targets]
        if sum(weights) <= 0.0:
            return self.targets[0].service
        return rng.choices(self.targets, weights)[0].service


@dataclasses.dataclass(slots=True, frozen=True)
class Organisation:
    """An organisation with its rate over the whole fleet; 0 is no limit."""

    name: str
    rate_per_s: float = 0.0
    burst: float = 0.0
    priority: int | None = None

    def allowance(self) -> rates.Allowance | None:
        """Returns its rate and burst, or None without a limit."""
        if self.rate_per_s <= 0.0:
            return None
        return rates.Allowance(self.rate_per_s, max(1.0, self.burst))


@dataclasses.dataclass(slots=True)
class Configuration:
    """Everything that an operator has stated, at one version.

    Attributes:
        keys: Names of organisations by the hash of each of their keys.
        has_keys: Whether requests need a key at all.
    """

    version: int
    routes: list[Route]
    services: frozenset[str]
    organisations: dict[str, Organisation]
    organisations_by_key_hash: dict[str, str]
    requires_key: bool
    limits: http_server.Limits

    def find_organisation(self, key: str | None) -> str | None:
        """Returns the organisation that a key belongs to."""
        return (
            None
            if key is None
            else self.organisations_by_key_hash.get(keys.digest(key))
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the host's route with the longest prefix of a path."""
        host_name = host.partition(":")[0].lower()
        matches = [
            route
            for route in self.routes
            if route.host == host_name and path.startswith(route.prefix)
        ]
        return max(matches, key=lambda route: len(route.prefix), default=None)

    def find_batch_route(self, host: str) -> Route | None:
        """Returns the host's route for batch jobs."""
        host_name = host.partition(":")[0].lower()
        for route in self.routes:
            if route.host == host_name and route.kind == BATCH:
                return route
        return None

    def find_route_by_name(self, name: str) -> Route | None:
        """Returns a route by its name."""
        return next((r for r in self.routes if r.name == name), None)
