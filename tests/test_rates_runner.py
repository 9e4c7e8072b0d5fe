"""The runners of rates on several VMs, joined by peers in memory."""

from collections.abc import AsyncIterator
import contextlib
import dataclasses
from typing import Any

import anyio
from anyio import abc
import fake_key_value
import pytest

from ibisknot import background
from ibisknot import errors
from ibisknot import ownership
from ibisknot import peer
from ibisknot import rates
from ibisknot import rates_runner
from ibisknot import timer
from ibisknot import vmlist

NAME = "organisation"
SHARD = rates.shard_of(NAME)
ALLOWANCE = rates.Allowance(rate=50.0, burst=50.0)
NAMES = ["vm-1", "vm-2", "vm-3"]


@dataclasses.dataclass(slots=True)
class Network:
    """Calls handlers directly.

    Attributes:
        down: VMs that do not answer.
        suspected: VMs that do not count as live any more.
    """

    servers: dict[str, peer.Server] = dataclasses.field(default_factory=dict)
    vms: dict[str, vmlist.ListedVm] = dataclasses.field(default_factory=dict)
    down: set[str] = dataclasses.field(default_factory=set)
    suspected: set[str] = dataclasses.field(default_factory=set)

    async def call(
        self, address: str, method: str, request: Any, *_: Any, **__: Any
    ) -> Any:
        name = address.partition(":")[0]
        await anyio.sleep(0)
        if name in self.down:
            raise errors.PeerError(f"{name} is down")
        return await self.servers[name].handlers[method][1](request)

    async def refresh(self) -> None:
        await anyio.sleep(0)

    def live(self) -> list[vmlist.ListedVm]:
        return [
            vm for name, vm in self.vms.items() if name not in self.suspected
        ]


@contextlib.asynccontextmanager
async def fleet() -> AsyncIterator[
    tuple[Network, dict[str, rates_runner.Runner]]
]:
    network = Network()
    store: Any = fake_key_value.FakeKeyValue()
    runners = {}
    async with anyio.create_task_group() as task_group:
        for name in NAMES:
            network.vms[name] = vmlist.ListedVm(name, "centre", name)
            network.servers[name] = peer.Server()
            runners[name] = make_runner(name, network, store, task_group)
            runners[name].start(network.servers[name])
        yield network, runners
        task_group.cancel_scope.cancel()


def make_runner(
    name: str, network: Any, store: Any, task_group: abc.TaskGroup
) -> rates_runner.Runner:
    return rates_runner.Runner(
        vm=name,
        task_group=task_group,
        store=store,
        peers=network,
        vms=network,
        active_vms=network.live,
        port=1,
        clock=timer.Timer(),
        allowance=lambda _name: ALLOWANCE,
    )


def units(runner: rates_runner.Runner) -> int:
    return runner.share(NAME, ALLOWANCE).units


async def warm_up(runners: dict[str, rates_runner.Runner]) -> None:
    """Lets each VM ask once, and the owner supply the next in line."""
    owner, successor = ownership.ranked_owners(rates.KIND, SHARD, NAMES)
    for runner in runners.values():
        await runner.admit(NAME)
    for _ in range(100):
        await runners[owner].owner.check_shards(runners[owner].clock.now())
        if units(runners[successor]) >= rates.SUCCESSOR_UNITS:
            return
        await anyio.sleep(0.01)
    raise AssertionError("the next in line has no units")


@pytest.mark.anyio
async def test_next_in_line_serves_while_the_owner_is_lost() -> None:
    """Guards against an organisation that stops with one VM."""
    owner, successor = ownership.ranked_owners(rates.KIND, SHARD, NAMES)
    last = next(name for name in NAMES if name not in (owner, successor))
    async with fleet() as (network, runners):
        await warm_up(runners)
        network.down.add(owner)
        await runners[last].admit(NAME)
        network.suspected.add(owner)
        await runners[last].admit(NAME)
        assert SHARD in runners[successor].owner.ledgers


@pytest.mark.anyio
async def test_shutdown_hands_all_units_over() -> None:
    """Guards against a leaving VM that is still asked, or keeps units."""
    owner, successor = ownership.ranked_owners(rates.KIND, SHARD, NAMES)
    last = next(name for name in NAMES if name not in (owner, successor))
    async with fleet() as (_, runners):
        await warm_up(runners)
        await runners[owner].release_all()
        for _ in range(100):
            if SHARD in runners[successor].owner.all_reported:
                break
            await anyio.sleep(0.01)
        await runners[successor].owner.all_reported[SHARD].wait()
        assert units(runners[owner]) == 0
        held = sum(units(runner) for runner in runners.values())
        assert held == rates.ORGANISATION_UNITS
        assert runners[last].last_owner[SHARD] == successor
        await runners[last].admit(NAME)


@pytest.mark.anyio
async def test_background_error_does_not_end_the_program() -> None:
    """Guards against one failed message that ends a whole entry."""

    async def fail() -> None:
        raise KeyError("fault")

    async with anyio.create_task_group() as task_group:
        background.start(task_group, fail)
