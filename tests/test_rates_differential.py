"""Shared rates, a static split and a single bucket on the same requests.

The single bucket is the exact reference of what the rate admits.
"""

import dataclasses
import random

from ibisknot import buckets
from ibisknot import rates

VM_COUNT = 9
TRACE_S = 60.0
ALLOWANCE = rates.Allowance(rate=20.0, burst=20.0)
ORGANISATION = "organisation"
RETURN_PERIOD_S = 0.5


@dataclasses.dataclass(slots=True)
class Fleet:
    """VMs whose messages arrive without delay; the first one is the owner."""

    holdings: list[rates.Holdings]
    ledger: rates.Ledger

    def refresh_pool(self, now: float) -> rates.Share:
        return rates.refresh_pool(
            self.ledger, self.holdings[0], ORGANISATION, now, ALLOWANCE
        )

    def admit(self, vm: int, now: float) -> bool:
        pool = self.refresh_pool(now)
        share = rates.share_of(self.holdings[vm], ORGANISATION, now)
        rates.record_demand(share, now)
        granted = rates.consume(share, now, ALLOWANCE)
        if not granted:
            granted = self.draw(vm, now)
        missing = rates.missing_units(share, ALLOWANCE)
        if vm and missing:
            transfer = rates.lend(
                self.ledger,
                pool,
                ORGANISATION,
                str(vm),
                missing,
                now,
                ALLOWANCE,
            )
            rates.add_to_share(share, transfer, now, ALLOWANCE)
        return granted

    def draw(self, vm: int, now: float) -> bool:
        pool = self.refresh_pool(now)
        if rates.draw(pool, rates.ONE_TOKEN, now, ALLOWANCE):
            return True
        for holder in rates.recall_targets(self.ledger, ORGANISATION):
            if holder != str(vm):
                share = self.holdings[int(holder)].shares[ORGANISATION]
                missing = rates.ONE_TOKEN - pool.level
                transfer = rates.remove_recalled(share, missing, now, ALLOWANCE)
                self.accept_return(holder, transfer, now)
        return rates.draw(pool, rates.ONE_TOKEN, now, ALLOWANCE) > 0

    def accept_return(
        self, holder: str, transfer: rates.Transfer, now: float
    ) -> None:
        rates.accept_return(
            self.ledger,
            self.refresh_pool(now),
            ORGANISATION,
            holder,
            transfer,
            now,
            ALLOWANCE,
        )

    def return_excess(self, now: float) -> None:
        for vm in range(1, VM_COUNT):
            share = rates.share_of(self.holdings[vm], ORGANISATION, now)
            units = rates.excess_units(share, now, ALLOWANCE)
            if units:
                tokens = share.level * units // share.units
                transfer = rates.remove_from_share(
                    share, units, tokens, now, ALLOWANCE
                )
                self.accept_return(str(vm), transfer, now)


def make_fleet() -> Fleet:
    holders = {str(vm) for vm in range(VM_COUNT)}
    ledger = rates.Ledger(1, "0", set(), holders)
    return Fleet([rates.Holdings(1) for _ in range(VM_COUNT)], ledger)


def make_trace(load: float) -> list[tuple[float, int]]:
    rng = random.Random(7)
    trace = []
    now = 0.0
    while now < TRACE_S:
        now += rng.expovariate(load * ALLOWANCE.rate)
        trace.append((now, rng.randrange(VM_COUNT)))
    return trace


def admit_with_shared_rates(trace: list[tuple[float, int]]) -> list[bool]:
    fleet = make_fleet()
    returned_s = 0.0
    results = []
    for now, vm in trace:
        if now - returned_s >= RETURN_PERIOD_S:
            fleet.return_excess(now)
            returned_s = now
        results.append(fleet.admit(vm, now))
    return results


def admit_with_static_split(trace: list[tuple[float, int]]) -> list[bool]:
    rate, burst = ALLOWANCE.rate / VM_COUNT, ALLOWANCE.burst / VM_COUNT
    vm_buckets = [buckets.Bucket(burst, 0.0) for _ in range(VM_COUNT)]
    return [
        buckets.consume(vm_buckets[vm], now, rate=rate, burst=burst)
        for now, vm in trace
    ]


def admit_with_one_bucket(trace: list[tuple[float, int]]) -> list[bool]:
    rate, burst = ALLOWANCE.rate, ALLOWANCE.burst
    bucket = buckets.Bucket(burst, 0.0)
    return [
        buckets.consume(bucket, t, rate=rate, burst=burst) for t, _ in trace
    ]


def count_refused_in_rate(
    trace: list[tuple[float, int]], results: list[bool]
) -> int:
    pairs = zip(admit_with_one_bucket(trace), results, strict=True)
    return sum(inside and not granted for inside, granted in pairs)


def test_shared_rates_refuse_nothing_that_is_in_rate() -> None:
    """Guards against units and tokens at VMs where no request needs them."""
    trace = make_trace(load=0.8)
    assert count_refused_in_rate(trace, admit_with_shared_rates(trace)) == 0
    assert (
        count_refused_in_rate(trace, admit_with_static_split(trace))
        > len(trace) // 20
    )


def test_shared_rates_grant_what_one_bucket_grants() -> None:
    """Guards against transfers that lose or create tokens under overload."""
    trace = make_trace(load=4.0)
    exact = sum(admit_with_one_bucket(trace))
    assert 0.98 * exact <= sum(admit_with_shared_rates(trace)) <= exact
