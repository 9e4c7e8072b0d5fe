"""Chooses endpoints within one process while no scheduler responds."""

import collections
from collections.abc import Mapping
import math
import random

from ibisknot import accrual
from ibisknot import admission
from ibisknot import breaker
from ibisknot import deployment
from ibisknot import errors
from ibisknot import fleet_endpoint
from ibisknot import fleetview
from ibisknot import rates
from ibisknot import request_limits
from ibisknot import serving
from ibisknot import token_level
from ibisknot.locality import decision
from ibisknot.warmup import cold_limits
from ibisknot.warmup import own_share

FLEET_RESERVE_TOKENS = 9.0
"""Tokens of each organisation that all gateways together grant in advance."""
NO_ENDPOINT_RETRY_AFTER_S = 0.5


class Fallback:
    """Endpoint choice and rate limit of one process, without a scheduler.

    Attributes:
        view: The process's view of the fleet.
        rng: Breaks ties between endpoints.
        data_centre: Data centre of this process; empty if it is not known.
        circuits: Circuit breaker of each endpoint, by endpoint name.
        levels: Tokens of this process's share of each rate, by organisation
            name.
        accrued_s: Time for which this process's share has accrued here and
            was not passed on to a scheduler.
        used_s: Monotonic time at which the share was last used here.
        buckets: This process's share of the requests that an endpoint takes,
            by endpoint name.
        shares: This process's share of what cold endpoints take, by endpoint
            name.
    """

    def __init__(
        self,
        view: fleetview.View,
        rng: random.Random | None = None,
        data_centre: str = "",
    ) -> None:
        self.view = view
        self.rng = rng or random.Random()
        self.data_centre = data_centre
        self.circuits: dict[str, breaker.Breaker] = {}
        self.levels: dict[str, token_level.Level] = {}
        self.accrued_s = 0.0
        self.used_s = -math.inf
        self.buckets: dict[str, request_limits.Bucket] = {}
        self.shares: dict[str, own_share.Share] = {}

    def add_accrued(self, accrued_s: float, now: float) -> None:
        """Adds time of this process's share that it uses itself.

        Args:
            accrued_s: Seconds that were not passed on to a scheduler.
            now: Monotonic time in seconds.
        """
        if now - self.used_s - accrued_s > accrual.GRACE_S:
            # What was saved up before has gone to a scheduler meanwhile.
            for level in self.levels.values():
                level.tokens = min(0.0, level.tokens)
        self.used_s = now
        self.accrued_s += accrued_s
        for bucket in self.buckets.values():
            request_limits.add_accrued(bucket, accrued_s, 1.0)
        self._update_shares(accrued_s, now)

    def _update_shares(self, accrued_s: float, now: float) -> None:
        """Adds time to the shares of the endpoints that are cold.

        A new share begins anywhere, so that the processes' turns come one
        after the other.
        """
        cold = cold_limits.current(self.view, now)
        for name in self.shares.keys() - cold.keys():
            del self.shares[name]
        for name, limit in cold.items():
            share = self.shares.get(name)
            if share is None:
                share = own_share.Share(self.rng.random())
                self.shares[name] = share
            own_share.add_accrued(
                share,
                accrued_s,
                limit.rate_per_s,
                now,
                processes=len(self.view.members),
            )

    def record_outcome(self, endpoint: str, outcome: str, now: float) -> None:
        """Records how a request to an endpoint ended."""
        circuit = self._circuit(endpoint)
        if outcome == admission.OK:
            breaker.record_success(circuit)
        elif outcome in (admission.UNREACHABLE, admission.CRASHED):
            breaker.record_failure(circuit, now, endpoint_down=True)
        elif outcome == admission.FAILED:
            breaker.record_failure(circuit, now)

    def set_request_limit(
        self, endpoint: str, rate_per_s: float, now: float
    ) -> None:
        """Sets the requests a second that an endpoint takes of all processes.

        Args:
            endpoint: Name of the endpoint.
            rate_per_s: Requests a second; infinite without a limit.
            now: Monotonic time in seconds.
        """
        bucket = request_limits.set_share(
            self.buckets.pop(endpoint, None),
            rate_per_s,
            now,
            processes=len(self.view.members),
        )
        if bucket is not None:
            self.buckets[endpoint] = bucket

    def count_request(self, endpoint: str, now: float) -> None:
        """Counts a request that this process sends to an endpoint."""
        request_limits.consume(self.buckets.get(endpoint), now)
        own_share.consume(self.shares.get(endpoint))

    def _allows(self, endpoint: str, now: float) -> bool:
        """Returns whether circuit and limits of an endpoint allow a request."""
        bucket = self.buckets.get(endpoint)
        return (
            breaker.allows(self._circuit(endpoint), now)
            and request_limits.allows(bucket, now)
            and own_share.allows(self.shares.get(endpoint), now)
        )

    def _circuit(self, name: str) -> breaker.Breaker:
        """Returns the circuit breaker of an endpoint."""
        return self.circuits.setdefault(name, breaker.Breaker())

    def choose_endpoint(
        self,
        service: str,
        now: float,
        *,
        avoid: frozenset[str],
        in_flight: Mapping[str, int],
        excluded: frozenset[str] = frozenset(),
        software_version: str | None = None,
    ) -> fleet_endpoint.Endpoint:
        """Returns the endpoint with the fewest requests of this process.

        Of several, one in the data centre of this process is chosen if that
        has endpoints enough. Endpoints in `avoid` are chosen only if there is
        no other.

        Args:
            service: Name of the service that the endpoint must serve.
            now: Monotonic time in seconds.
            avoid: Names of the endpoints that have already failed the request.
            excluded: Names of the endpoints that are never chosen.
            in_flight: Count of this process's requests, by endpoint name.
            software_version: Version of the software that the endpoint must
                have; None if any version may serve.

        Raises:
            OverloadedError: No endpoint of the service takes a request now.
        """
        candidates = [
            endpoint
            for endpoint in fleetview.active_endpoints(self.view, service)
            if software_version in (None, endpoint.software_version)
            and endpoint.name not in excluded
            and self._allows(endpoint.name, now)
        ]
        candidates = [
            e for e in candidates if e.name not in self.shares
        ] or candidates
        # Other processes may not know of a limit yet.
        candidates = [
            e for e in candidates if e.name not in self.buckets
        ] or candidates
        candidates = [
            e for e in candidates if e.name not in avoid
        ] or candidates
        if not candidates:
            message = f"no endpoint of {service} takes a request now"
            raise errors.OverloadedError(
                message, retry_after_s=NO_ENDPOINT_RETRY_AFTER_S
            )
        home = self._home(candidates)
        return min(
            candidates,
            key=lambda e: (
                in_flight.get(e.name, 0),
                e.data_centre != home,
                self.rng.random(),
            ),
        )

    def _home(self, candidates: list[fleet_endpoint.Endpoint]) -> str | None:
        """Returns the data centre of this process if it is to be preferred."""
        processes = collections.Counter(
            m.data_centre for m in self.view.members.values()
        )
        loads = decision.loads((e.data_centre, 0, e.slots) for e in candidates)
        is_enough = decision.is_home_enough(
            self.data_centre, loads, processes, decision.Policy()
        )
        return self.data_centre if is_enough else None

    def consume_token(
        self, organisation: serving.Organisation, now: float
    ) -> None:
        """Consumes a token of this process's share of an organisation's rate.

        Raises:
            RateLimitError: The share has no whole token.
        """
        allowance = organisation.allowance()
        if allowance is None:
            return
        gateways = max(
            1,
            sum(
                m.kind == deployment.GATEWAY for m in self.view.members.values()
            ),
        )
        share = rates.Allowance(
            allowance.rate / gateways, allowance.burst / gateways
        )
        reserve = min(1.0, FLEET_RESERVE_TOKENS / gateways)
        level = self.levels.get(organisation.name)
        if level is None:
            level = token_level.Level(0.0, 0.0, now)
            self.levels[organisation.name] = level
        token_level.update(
            level,
            share,
            time_s=self.accrued_s,
            cap=max(share.burst, 1.0 - reserve),
            now=now,
            reserve=reserve,
        )
        if not token_level.consume(level, reserve):
            raise errors.RateLimitError(
                f"{organisation.name} is over its rate",
                retry_after_s=token_level.next_token_s(
                    level, share, 1.0, reserve
                ),
            )
