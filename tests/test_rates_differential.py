"""The shared rates and the static split on the same requests."""

import dataclasses
import random

from ibisknot import buckets
from ibisknot import rates

VMS = 9
SECONDS = 60.0
ALLOWANCE = rates.Allowance(rate=20.0, burst=20.0)
NAME = "organisation"
RETURN_PERIOD_S = 0.5


@dataclasses.dataclass(slots=True)
class Fleet:
    """VMs whose messages arrive at once; the first one is the owner."""

    holdings: list[rates.Holdings]
    ledger: rates.Ledger

    def pool(self, now: float) -> rates.Share:
        return rates.pool(self.ledger, self.holdings[0], NAME, now, ALLOWANCE)

    def admit(self, vm: int, now: float) -> bool:
        pool = self.pool(now)
        share = rates.share_of(self.holdings[vm], NAME, now)
        rates.note_demand(share, now)
        granted = rates.spend(share, now, ALLOWANCE)
        if not granted:
            granted = self.draw(vm, now)
        missing = rates.missing_units(share, ALLOWANCE)
        if vm and missing:
            parcel = rates.lend(
                self.ledger, pool, NAME, str(vm), missing, now, ALLOWANCE
            )
            rates.add(share, parcel, now, ALLOWANCE)
        return granted

    def draw(self, vm: int, now: float) -> bool:
        pool = self.pool(now)
        if rates.draw(pool, rates.TOKEN, now, ALLOWANCE):
            return True
        for holder in rates.recall_targets(self.ledger, NAME):
            if holder != str(vm):
                share = self.holdings[int(holder)].shares[NAME]
                missing = rates.TOKEN - pool.level
                parcel = rates.spare(share, missing, now, ALLOWANCE)
                self.take_back(holder, parcel, now)
        return rates.draw(pool, rates.TOKEN, now, ALLOWANCE) > 0

    def take_back(self, holder: str, parcel: rates.Parcel, now: float) -> None:
        rates.take_back(
            self.ledger, self.pool(now), NAME, holder, parcel, now, ALLOWANCE
        )

    def return_excess(self, now: float) -> None:
        for vm in range(1, VMS):
            share = rates.share_of(self.holdings[vm], NAME, now)
            units = rates.excess(share, now, ALLOWANCE)
            if units:
                tokens = share.level * units // share.units
                parcel = rates.remove(share, units, tokens, now, ALLOWANCE)
                self.take_back(str(vm), parcel, now)


def make_fleet() -> Fleet:
    names = {str(vm) for vm in range(VMS)}
    ledger = rates.Ledger(1, "0", set(), names)
    return Fleet([rates.Holdings(1) for _ in range(VMS)], ledger)


def requests(load: float) -> list[tuple[float, int]]:
    choice = random.Random(7)
    found = []
    now = 0.0
    while now < SECONDS:
        now += choice.expovariate(load * ALLOWANCE.rate)
        found.append((now, choice.randrange(VMS)))
    return found


def shared(trace: list[tuple[float, int]]) -> list[bool]:
    fleet = make_fleet()
    returned_s = 0.0
    found = []
    for now, vm in trace:
        if now - returned_s >= RETURN_PERIOD_S:
            fleet.return_excess(now)
            returned_s = now
        found.append(fleet.admit(vm, now))
    return found


def split(trace: list[tuple[float, int]]) -> list[bool]:
    rate, burst = ALLOWANCE.rate / VMS, ALLOWANCE.burst / VMS
    held = [buckets.Bucket(burst, 0.0) for _ in range(VMS)]
    return [
        buckets.take(held[vm], now, rate=rate, burst=burst) for now, vm in trace
    ]


def reference(trace: list[tuple[float, int]]) -> list[bool]:
    rate, burst = ALLOWANCE.rate, ALLOWANCE.burst
    bucket = buckets.Bucket(burst, 0.0)
    return [buckets.take(bucket, t, rate=rate, burst=burst) for t, _ in trace]


def refused_in_rate(trace: list[tuple[float, int]], found: list[bool]) -> int:
    pairs = zip(reference(trace), found, strict=True)
    return sum(inside and not granted for inside, granted in pairs)


def test_shared_rates_refuse_nothing_that_is_in_rate() -> None:
    """Guards against units and tokens stranded where no request needs them."""
    trace = requests(load=0.8)
    assert refused_in_rate(trace, shared(trace)) == 0
    assert refused_in_rate(trace, split(trace)) > len(trace) // 20


def test_shared_rates_grant_what_one_bucket_grants() -> None:
    """Guards against capacity lost, or won, by moving it under overload."""
    trace = requests(load=4.0)
    exact = sum(reference(trace))
    assert 0.98 * exact <= sum(shared(trace)) <= exact
