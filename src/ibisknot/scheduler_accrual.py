"""Counts at a scheduler for which time the shares of limits accrue there.

Processes of builds before `accrual` say nothing of their share. Such a process
passes its time on to the scheduler that it asks, as far as that one can tell.
Schedulers of these builds grant whole rates. While one of them grants, this
scheduler counts what processes report of its grants.
"""

from collections.abc import Callable
import math

from ibisknot import accrual
from ibisknot import deployment
from ibisknot import fleetview
from ibisknot import timer
from ibisknot.gen.fleet import ttypes

SILENT_S = 1.2
"""Time without a message, more than the period of reports."""


class Accruals:
    """The accounts of one scheduler.

    Attributes:
        rates: Accrual of the organisations' rates, shared by the gateways.
        limits: Accrual of the endpoints' limits, shared by all processes.
        is_earlier_build: Returns whether a scheduler, by its name, counts
            every rate as its own.
        on_limits_accrued: Called with the seconds for which limits accrued.
        asking: Processes of earlier builds that asked this scheduler last.
        mirrored: Processes of earlier builds that were last granted a ticket
            by a scheduler of an earlier build.
        seen_s: Monotonic time of the last message of such a process.
    """

    def __init__(
        self,
        own_name: str,
        view: fleetview.View,
        clock: timer.Timer,
        *,
        is_earlier_build: Callable[[str], bool],
        on_limits_accrued: Callable[[float], None],
    ) -> None:
        self.own_name = own_name
        self.view = view
        self.clock = clock
        self.rates = accrual.Account()
        self.limits = accrual.Account()
        self.is_earlier_build = is_earlier_build
        self.on_limits_accrued = on_limits_accrued
        self.asking: set[str] = set()
        self.mirrored: set[str] = set()
        self.seen_s: dict[str, float] = {}

    def on_request(self, message: ttypes.PlaceAsk) -> None:
        """Credits what a process passes on with a request for a ticket."""
        if message.accrued_s is not None:
            self.credit(message.holder, message.accrued_s)
            return
        self._credit_earlier_build(message.holder)
        self.asking.add(message.holder)
        self.mirrored.discard(message.holder)

    def on_report(self, message: ttypes.PlacesHeld) -> None:
        """Credits what a process passes on with a periodic report."""
        if message.accrued_s is not None:
            self.credit(message.holder, message.accrued_s)
        else:
            self._credit_earlier_build(message.holder)

    def on_acquired(self, holder: str, granted_by: str) -> bool:
        """Notes who has granted a ticket to a process.

        Returns:
            Whether the ticket counts against the limits here, because its
            scheduler has not counted it.
        """
        if holder not in self.seen_s:
            return self.is_earlier_build(granted_by)
        self._credit_earlier_build(holder)
        self.asking.discard(holder)
        if self.is_earlier_build(granted_by):
            self.mirrored.add(holder)
            return True
        self.mirrored.discard(holder)
        return False

    def chose_alone(self, holder: str, granted_by: str | None) -> bool:
        """Returns whether an earlier build has taken a ticket by itself."""
        return holder in self.seen_s and not granted_by

    def forget(self, holder: str) -> None:
        """Forgets a process that is gone."""
        self.asking.discard(holder)
        self.mirrored.discard(holder)
        self.seen_s.pop(holder, None)

    def burst_fraction(self, burst_s: float) -> float:
        """Returns the fraction of a rate's burst that may be saved up here."""
        return accrual.burst_fraction(
            self.rates, self._gateways(), self.clock.now(), burst_s
        )

    def has_silent_gateway(self) -> bool:
        """Returns whether a gateway has not been heard of for a while."""
        now = self.clock.now()
        heard_s = self.rates.heard_s
        return any(
            now - max(heard_s.get(g, -math.inf), self.seen_s.get(g, -math.inf))
            > SILENT_S
            for g in self._gateways()
        )

    def has_lost_earlier_build(self) -> bool:
        """Returns whether a gateway may have gone to a standby that grants all.

        Only if both are of an earlier build it gets whole rates there.
        """
        now = self.clock.now()
        is_lost = any(now - self.seen_s[h] > SILENT_S for h in self.asking)
        return is_lost and any(
            self.is_earlier_build(member.name)
            for member in self.view.members.values()
            if member.kind == deployment.WORKER
        )

    def limit_burst_fraction(self, burst_s: float) -> float:
        """Returns the fraction of a limit's burst that may be saved up here."""
        addresses = [m.address for m in self.view.members.values()]
        return accrual.burst_fraction(
            self.limits, addresses, self.clock.now(), burst_s
        )

    def _is_first(self) -> bool:
        """Returns whether this is the scheduler that is asked first."""
        members = fleetview.by_precedence(self.view.members.values())
        return bool(members) and members[0].name == self.own_name

    def _gateways(self) -> list[str]:
        return [
            member.address
            for member in self.view.members.values()
            if member.kind == deployment.GATEWAY
        ]

    def _credit_earlier_build(self, holder: str) -> None:
        """Credits the time since the last message of an earlier build."""
        now = self.clock.now()
        if holder not in self.seen_s and self._is_first():
            self.asking.add(holder)
        seen_s = self.seen_s.get(holder, now)
        self.seen_s[holder] = now
        if holder in self.asking or holder in self.mirrored:
            self.credit(holder, now - seen_s)

    def credit(self, holder: str, passed_on_s: float) -> None:
        """Credits time of a process that is a member of the fleet."""
        now = self.clock.now()
        members = self.view.members.values()
        member = next((m for m in members if m.address == holder), None)
        if member is None:
            return
        accrued_s = accrual.credit(
            self.limits, holder, passed_on_s, now, len(self.view.members)
        )
        self.on_limits_accrued(accrued_s)
        if member.kind == deployment.GATEWAY:
            shares = len(self._gateways())
            accrual.credit(self.rates, holder, passed_on_s, now, shares)
