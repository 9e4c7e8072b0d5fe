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
        return rates.refresh_pool(
            self.ledger, self.holdings[0], NAME, now, ALLOWANCE
        )

    def admit(self, vm: int, now: float) -> bool:
        pool = self.pool(now)
        share = rates.share_of(self.holdings[vm], NAME, now)
        rates.record_demand(share, now)
        granted = rates.consume(share, now, ALLOWANCE)
        if not granted:
            granted = self.draw(vm, now)
        missing = rates.missing_units(share, ALLOWANCE)
        if vm and missing:
            transfer = rates.lend(
                self.ledger, pool, NAME, str(vm), missing, now, ALLOWANCE
            )
            rates.add_to_share(share, transfer, now, ALLOWANCE)
        return granted

    def draw(self, vm: int, now: float) -> bool:
        pool = self.pool(now)
        if rates.draw(pool, rates.ONE_TOKEN, now, ALLOWANCE):
            return True
        for holder in rates.recall_targets(self.ledger, NAME):
            if holder != str(vm):
                share = self.holdings[int(holder)].shares[NAME]
                missing = rates.ONE_TOKEN - pool.level
                transfer = rates.remove_recalled(share, missing, now, ALLOWANCE)
                self.take_back(holder, transfer, now)
        return rates.draw(pool, rates.ONE_TOKEN, now, ALLOWANCE) > 0

    def take_back(
        self, holder: str, transfer: rates.Transfer, now: float
    ) -> None:
        rates.accept_return(
            self.ledger, self.pool(now), NAME, holder, transfer, now, ALLOWANCE
        )

    def return_excess(self, now: float) -> None:
        for vm in range(1, VMS):
            share = rates.share_of(self.holdings[vm], NAME, now)
            units = rates.excess_units(share, now, ALLOWANCE)
            if units:
                tokens = share.level * units // share.units
                transfer = rates.remove_from_share(
                    share, units, tokens, now, ALLOWANCE
                )
                self.take_back(str(vm), transfer, now)


def make_fleet() -> Fleet:
    names = {str(vm) for vm in range(VMS)}
    ledger = rates.Ledger(1, "0", set(), names)
    return Fleet([rates.Holdings(1) for _ in range(VMS)], ledger)


def requests(load: float) -> list[tuple[float, int]]:
    rng = random.Random(7)
    results = []
    now = 0.0
    while now < SECONDS:
        now += rng.expovariate(load * ALLOWANCE.rate)
        results.append((now, rng.randrange(VMS)))
    return results


def shared(trace: list[tuple[float, int]]) -> list[bool]:
    fleet = make_fleet()
    returned_s = 0.0
    results = []
    for now, vm in trace:
        if now - returned_s >= RETURN_PERIOD_S:
            fleet.return_excess(now)
            returned_s = now
        results.append(fleet.admit(vm, now))
    return results


def split(trace: list[tuple[float, int]]) -> list[bool]:
    rate, burst = ALLOWANCE.rate / VMS, ALLOWANCE.burst / VMS
    vm_buckets = [buckets.Bucket(burst, 0.0) for _ in range(VMS)]
    return [
        buckets.consume(vm_buckets[vm], now, rate=rate, burst=burst)
        for now, vm in trace
    ]


def reference(trace: list[tuple[float, int]]) -> list[bool]:
    rate, burst = ALLOWANCE.rate, ALLOWANCE.burst
    bucket = buckets.Bucket(burst, 0.0)
    return [
        buckets.consume(bucket, t, rate=rate, burst=burst) for t, _ in trace
    ]


def refused_in_rate(trace: list[tuple[float, int]], results: list[bool]) -> int:
    pairs = zip(reference(trace), results, strict=True)
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
