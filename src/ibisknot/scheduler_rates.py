"""Charges requests for tickets to the rates of their organisations."""

import math

from ibisknot import fleetview
from ibisknot import rates
from ibisknot import scheduler_accrual
from ibisknot import timer
from ibisknot import token_level
from ibisknot.gen.fleet import ttypes

MIN_RESERVE_TOKENS = 2.0
"""Tokens of each organisation that a scheduler may grant in advance."""
RESERVE_BURST_FRACTION = 0.05
"""Fraction of a burst by which the reserve of a large organisation is more."""
SILENT_DEBT_S = 0.5
"""Time of a rate that is left to a scheduler of an earlier build if gateways
are silent, which it may serve."""
DEBT_PERIOD_S = 5.0
IDLE_S = 2.0
"""A scheduler that nobody has asked for this time was not active."""


class Rates:
    """One scheduler's part of the rates.

    Attributes:
        levels: The tokens of each organisation, by name.
        accruals: Says for which time the rates accrue here.
        asked_s: Monotonic time of the last request that was charged.
        rates_per_s: Rate of each organisation as last seen, by name.
        is_mirroring: Whether tickets of another scheduler were charged since.
        may_owe_until_s: Monotonic time until which silent gateways show that
            the scheduler before may still serve them.
        next_debt_s: Monotonic time before which no more is left to a standby
            of an earlier build.
    """

    def __init__(
        self,
        view: fleetview.View,
        clock: timer.Timer,
        accruals: scheduler_accrual.Accruals,
    ) -> None:
        self.view = view
        self.clock = clock
        self.accruals = accruals
        self.levels: dict[str, token_level.Level] = {}
        self.started_s = clock.now()
        self.asked_s = self.started_s
        self.rates_per_s: dict[str, float] = {}
        self.is_mirroring = False
        self.may_owe_until_s = -math.inf
        self.next_debt_s = -math.inf

    def consume_token(self, request: ttypes.PlaceAsk, now: float) -> bool:
        """Consumes a token; returns whether the request is within the rate."""
        if request.rate_per_s <= 0.0:
            return True
        self._take_over(now)
        allowance = rates.Allowance(request.rate_per_s, request.burst)
        level = self._updated(request.organisation, allowance)
        return token_level.consume(level, _reserve(allowance))

    def charge(self, organisation: str) -> None:
        """Charges a ticket that a scheduler of an earlier build has granted."""
        configuration = self.view.configuration
        if configuration is None:
            return
        found = configuration.organisations.get(organisation)
        allowance = None if found is None else found.allowance()
        if allowance is None:
            return
        level = self._updated(organisation, allowance)
        level.tokens = max(-allowance.burst, level.tokens - 1.0)
        self.is_mirroring = True

    def refund_token(self, request: ttypes.PlaceAsk) -> None:
        """Gives back the token of a request that was refused after all."""
        if request.rate_per_s > 0.0:
            self.levels[request.organisation].tokens += 1.0

    def next_token_s(self, request: ttypes.PlaceAsk) -> float:
        """Returns the seconds until a request is within the rate again."""
        allowance = rates.Allowance(request.rate_per_s, request.burst)
        level = self.levels[request.organisation]
        fraction = self.accruals.burst_fraction(_burst_s(allowance))
        return token_level.next_token_s(
            level, allowance, fraction, _reserve(allowance)
        )

    def _take_over(self, now: float) -> None:
        """Leaves tokens to an active scheduler of an earlier build.

        It may be cut off and go on. What it grants is followed, except to
        gateways that are cut off as well.
        """
        if self.is_mirroring and now - self.asked_s > IDLE_S:
            for level in self.levels.values():
                level.tokens = min(0.0, level.tokens)
            self.is_mirroring = False
            self.may_owe_until_s = now + IDLE_S
        self.asked_s = now
        if now < self.may_owe_until_s and self.accruals.has_silent_gateway():
            self.may_owe_until_s = -math.inf
            self._owe()
        if now >= self.next_debt_s and self.accruals.has_lost_earlier_build():
            self.next_debt_s = now + DEBT_PERIOD_S
            self._owe()

    def _owe(self) -> None:
        """Leaves a part of the rates to a scheduler that is not heard of."""
        for name, level in self.levels.items():
            level.tokens -= SILENT_DEBT_S * self.rates_per_s[name]

    def _updated(
        self, organisation: str, allowance: rates.Allowance
    ) -> token_level.Level:
        """Returns the tokens of an organisation as they are now."""
        self.rates_per_s[organisation] = allowance.rate
        level = self.levels.get(organisation)
        if level is None:
            level = token_level.Level(-_reserve(allowance), 0.0, self.started_s)
            self.levels[organisation] = level
        fraction = self.accruals.burst_fraction(_burst_s(allowance))
        token_level.update(
            level,
            allowance,
            time_s=self.accruals.rates.time_s,
            cap=allowance.burst * fraction,
            now=self.clock.now(),
            reserve=_reserve(allowance),
        )
        return level


def _burst_s(allowance: rates.Allowance) -> float:
    """Returns the seconds in which a burst accrues."""
    return allowance.burst / allowance.rate


def _reserve(allowance: rates.Allowance) -> float:
    """Returns the tokens that may be granted in advance."""
    return MIN_RESERVE_TOKENS + RESERVE_BURST_FRACTION * allowance.burst
