"""Decisions on who may hold memory and connections."""

import random

import pytest

from ibisknot.client_limits import budget

KIB = 1024


def _never(_cause: str) -> None:
    raise AssertionError("a connection in use was closed")


class World:
    """A budget and the connections that were closed for it."""

    def __init__(self, max_bytes: int, max_connections: int) -> None:
        self.budget = budget.Budget(max_bytes)
        self.quota = self.budget.add_quota("callers", max_connections)
        self.closed: list[str] = []

    def open(self, name: str, address: str = "a") -> budget.Account:
        account = self.budget.open(
            self.quota, address, lambda _cause: self.closed.append(name)
        )
        assert account is not None
        return account


def test_work_in_progress_is_never_closed() -> None:
    """Guards against a request that is cut for the sake of another one."""
    world = World(100 * budget.CONNECTION_BYTES, 10)
    for n in range(10):
        world.budget.begin_work(world.open(f"{n}"))
    assert world.budget.open(world.quota, "b", _never) is None
    assert world.closed == []


def test_silent_connection_is_closed_before_one_that_was_used() -> None:
    """Guards against silent clients that displace callers."""
    world = World(100 * budget.CONNECTION_BYTES, 10)
    used = [world.open(f"used {n}") for n in range(5)]
    for account in used:
        world.budget.begin_work(account)
        world.budget.end_work(account)
    for n in range(20):
        world.open(f"silent {n}")
    assert world.closed == [f"silent {n}" for n in range(15)]


def test_client_that_makes_progress_stays() -> None:
    """Guards against a slow body that is cut by silent connections."""
    world = World(100 * budget.CONNECTION_BYTES, 10)
    slow = world.open("slow")
    for n in range(30):
        world.open(f"silent {n}")
        assert world.budget.charge(slow, 10)
    assert "slow" not in world.closed


def test_address_with_most_connections_loses_first() -> None:
    """Guards against one client that takes the connections of all."""
    world = World(100 * budget.CONNECTION_BYTES, 10)
    for n in range(3):
        world.open(f"other {n}", f"b{n}")
    for n in range(20):
        world.open(f"crowd {n}", "c")
    assert not [name for name in world.closed if name.startswith("other")]


def test_largest_consumer_is_closed_for_a_small_request() -> None:
    """Guards against large bodies that make small requests fail."""
    world = World(20 * budget.CONNECTION_BYTES, 100)
    for n in range(4):
        account = world.open(f"{n}")
        world.budget.charge(account, (n + 1) * budget.CONNECTION_BYTES)
    small = world.open("small")
    assert world.budget.charge(small, 10 * budget.CONNECTION_BYTES) is False
    world.budget.charge(small, -10 * budget.CONNECTION_BYTES)
    for n in range(10):
        assert world.budget.charge(world.open(f"s{n}"), KIB)
    assert world.closed[0] == "3"
    assert "small" not in world.closed


def test_small_request_is_served_when_connections_fill_the_budget() -> None:
    """Guards against idle connections that make each request too much."""
    world = World(20 * budget.CONNECTION_BYTES, 1000)
    for n in range(20):
        world.open(f"idle {n}")
    caller = world.open("caller")
    assert world.budget.charge(caller, 16 * KIB)
    assert "caller" not in world.closed


def test_readiness_is_admitted_when_callers_fill_the_budget() -> None:
    """Guards against a gateway that its load balancer removes under load."""
    world = World(20 * budget.CONNECTION_BYTES, 1000)
    readiness = world.budget.add_quota("readiness", 8)
    readiness.is_essential = True
    for n in range(20):
        world.budget.begin_work(world.open(f"{n}"))
    account = world.budget.open(readiness, "lb", _never)
    assert account is not None
    assert world.budget.charge(account, KIB)
    assert world.closed == []


@pytest.mark.parametrize("seed", range(20))
def test_charges_add_up(seed: int) -> None:
    """Guards against memory that is counted after it was given back."""
    rng = random.Random(seed)
    world = World(40 * budget.CONNECTION_BYTES, 30)
    accounts: list[budget.Account] = []
    for step in range(500):
        choice = rng.random()
        if choice < 0.3 or not accounts:
            opened = world.budget.open(
                world.quota, rng.choice("abc"), lambda _cause: None
            )
            if opened is not None:
                accounts.append(opened)
            continue
        account = rng.choice(accounts)
        if choice < 0.6:
            world.budget.charge(account, rng.randrange(300 * KIB))
        elif choice < 0.8 and not account.is_closed:
            world.budget.begin_work(account)
            if rng.random() < 0.8:
                world.budget.end_work(account, completed=step % 2 == 0)
        else:
            world.budget.release(account)
            accounts.remove(account)
        live = world.quota.accounts
        held = sum(a.held_bytes for a in live)
        assert world.quota.held_bytes == held
        used = held + len(live) * budget.CONNECTION_BYTES
        assert world.budget.used_bytes == used
        assert len(live) == sum(world.quota.by_address.values())
        assert len(live) <= world.quota.max_connections
    for account in accounts:
        world.budget.release(account)
    assert world.budget.used_bytes == 0
    assert world.quota.held_bytes == 0
