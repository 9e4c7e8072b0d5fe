"""Passes the time of a process's share of rates and limits on to schedulers."""

from collections.abc import Callable
from collections.abc import Iterable

from ibisknot import accrual
from ibisknot import fleetview
from ibisknot import logs
from ibisknot import timer

EARLIER_BUILD_HOLD_S = 1.0
"""Time of its share that a process gives up to a lost scheduler of an earlier
build."""


class Holder:
    """The share of one process.

    Attributes:
        source: The time of the share.
        schedulers: Returns the schedulers in their order.
        unresponsive: Names of those that do not answer; kept by the caller.
        counts_accrued: Whether a scheduler grants only what is passed on to
            it, as it has said since its start; unknown ones are left out.
    """

    def __init__(
        self,
        view: fleetview.View,
        clock: timer.Timer,
        schedulers: Callable[[], list[fleetview.Member]],
        unresponsive: set[str],
    ) -> None:
        self.view = view
        self.clock = clock
        self.schedulers = schedulers
        self.unresponsive = unresponsive
        self.source = accrual.Source(clock.now())
        self.counts_accrued: dict[fleetview.Member, bool] = {}

    def is_earlier_build(self, name: str) -> bool:
        """Returns whether a scheduler grants whole rates by itself."""
        member = self.view.members.get(name)
        return member is not None and not self.counts_accrued.get(member, True)

    def uses_own_share(self, member: fleetview.Member) -> bool:
        """Returns whether this process keeps to its share beside a scheduler.

        A scheduler of an earlier build grants whole rates. Only the first one
        may: another one may grant them at the same time.
        """
        is_first = member == self.schedulers()[0]
        return self.is_earlier_build(member.name) and not is_first

    def target(self) -> str:
        """Returns the scheduler to which the time of this share is passed on.

        It is the one that is asked. If that one is of an earlier build and
        the first, the next one follows what it grants.
        """
        responsive = [
            member
            for member in self.schedulers()
            if member.name not in self.unresponsive
        ]
        if not responsive or self.uses_own_share(responsive[0]):
            return ""
        for scheduler in responsive:
            if not self.is_earlier_build(scheduler.name):
                return scheduler.name
        return ""

    def take(self, member: fleetview.Member) -> float:
        """Returns the time that a message to a scheduler passes on."""
        if member.name != self.target():
            return 0.0
        return self.take_own()

    def take_own(self) -> float:
        """Returns the time that this process uses itself."""
        return accrual.take(self.source, self.clock.now())

    def give_back(self, seconds: float) -> None:
        """Returns time that was taken for a message that was never sent."""
        accrual.give_back(self.source, seconds)

    def on_lost(self, member: fleetview.Member) -> None:
        """Gives up time that a lost scheduler may go on to count.

        One of an earlier build that is cut off goes on with the share of this
        process for a while. Only a scheduler that follows it knows what it
        grants meanwhile.
        """
        if self.is_earlier_build(member.name) and not self.target():
            until_s = self.clock.now() + EARLIER_BUILD_HOLD_S
            accrual.withhold(self.source, until_s)

    def learn_build(
        self, member: fleetview.Member, counts_accrued: bool
    ) -> None:
        """Records whether a scheduler grants only what is passed on to it."""
        if self.counts_accrued.get(member) == counts_accrued:
            return
        self.counts_accrued[member] = counts_accrued
        logs.event(
            "scheduler_build",
            scheduler=member.name,
            counts_accrued=counts_accrued,
        )

    def forget_others(self, schedulers: Iterable[fleetview.Member]) -> None:
        """Forgets what schedulers that are gone have said."""
        for member in self.counts_accrued.keys() - set(schedulers):
            del self.counts_accrued[member]
