"""Charges requests for tickets to the rates of their organisations."""

from collections.abc import Mapping

from ibisknot import deployment
from ibisknot import fleetview
from ibisknot import rates
from ibisknot import timer
from ibisknot.gen.fleet import ttypes

GATEWAY_REPORT_TIMEOUT_S = 2.0
"""A gateway without a report for this time counts as using its own share."""
INITIAL_FILL = 0.5
"""Initial fraction of a burst; another scheduler may have used the rest."""


class Rates:
    """One scheduler's part of the rates.

    Attributes:
        shares: This scheduler's share of each rate, by organisation.
        last_report_s: Monotonic time of each holder's last report, by address;
            the scheduler keeps it up to date.
        started_s: Monotonic time of this process's start.
    """

    def __init__(
        self,
        view: fleetview.View,
        clock: timer.Timer,
        last_report_s: Mapping[str, float],
    ) -> None:
        self.view = view
        self.shares: dict[str, rates.Share] = {}
        self.last_report_s = last_report_s
        self.started_s = clock.now()

    def consume_token(self, request: ttypes.PlaceAsk, now: float) -> bool:
        """Consumes a token; returns whether the request is within the rate."""
        if request.rate_per_s <= 0.0:
            return True
        allowance = rates.Allowance(request.rate_per_s, request.burst)
        share = self.shares.get(request.organisation)
        units = self.local_units(now)
        if share is not None:
            rates.refill(share, now, allowance)
            share.units = units
        else:
            # `consume` adds what has accrued since this process's start.
            share = rates.Share(units=units, updated_s=self.started_s)
            share.level = int(rates.token_cap(units, allowance) * INITIAL_FILL)
            self.shares[request.organisation] = share
        return rates.consume(share, now, allowance)

    def local_units(self, now: float) -> int:
        """Returns the share units of a rate that this scheduler may use.

        A gateway that does not report uses the units of its own share. They
        are left out here, so that the organisation's rate is not exceeded.
        """
        gateways = {
            m.address
            for m in self.view.members.values()
            if m.kind == deployment.GATEWAY
        }
        # Gateways had no time to report to a scheduler that has just started.
        reporting_count = sum(
            now - self.last_report_s.get(address, self.started_s)
            <= GATEWAY_REPORT_TIMEOUT_S
            for address in gateways
        )
        if not reporting_count:
            return rates.ORGANISATION_UNITS
        return rates.ORGANISATION_UNITS * reporting_count // len(gateways)

    def refund_token(self, request: ttypes.PlaceAsk) -> None:
        """Gives back the token of a request that was refused after all."""
        if request.rate_per_s > 0.0:
            self.shares[request.organisation].level += rates.ONE_TOKEN

    def next_token_s(self, request: ttypes.PlaceAsk) -> float:
        """Returns the seconds until a request is within the rate again."""
        share = self.shares[request.organisation]
        allowance = rates.Allowance(request.rate_per_s, request.burst)
        return rates.next_token_s(share, allowance)
