"""Rates runners of several VMs, which call each other in memory."""

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

ORGANISATION = "organisation"
SHARD = rates.shard_of(ORGANISATION)
ALLOWANCE = rates.Allowance(rate=50.0, burst=50.0)
VM_NAMES = ["vm-1", "vm-2", "vm-3"]


@dataclasses.dataclass(slots=True)
class Network:
    """Peer client and VM list that call the handlers directly.

    Attributes:
        servers: Peer servers, by VM.
        by_name: The VMs on the platform's list.
        unresponsive: VMs that do not answer.
        inactive: VMs on the list that do not count as active.
    """

    servers: dict[str, peer.Server] = dataclasses.field(default_factory=dict)
    by_name: dict[str, vmlist.ListedVm] = dataclasses.field(
        default_factory=dict
    )
    unresponsive: set[str] = dataclasses.field(default_factory=set)
    inactive: set[str] = dataclasses.field(default_factory=set)

    async def call(
        self, address: str, method: str, request: Any, *_: Any, **__: Any
    ) -> Any:
        name = address.partition(":")[0]
        await anyio.sleep(0)
        if name in self.unresponsive:
            raise errors.PeerError(f"{name} does not answer")
        return await self.servers[name].handlers[method][1](request)

    async def refresh(self) -> None:
        await anyio.sleep(0)

    def active_vms(self) -> list[vmlist.ListedVm]:
        return [
            vm for name, vm in self.by_name.items() if name not in self.inactive
        ]


@contextlib.asynccontextmanager
async def fleet() -> AsyncIterator[
    tuple[Network, dict[str, rates_runner.Runner]]
]:
    network = Network()
    key_value: Any = fake_key_value.FakeKeyValue()
    runners = {}
    async with anyio.create_task_group() as task_group:
        for name in VM_NAMES:
            network.by_name[name] = vmlist.ListedVm(name, "centre", name)
            network.servers[name] = peer.Server()
            runners[name] = make_runner(name, network, key_value, task_group)
            runners[name].start(network.servers[name])
        yield network, runners
        task_group.cancel_scope.cancel()


def make_runner(
    name: str, network: Any, key_value: Any, task_group: abc.TaskGroup
) -> rates_runner.Runner:
    return rates_runner.Runner(
        vm=name,
        task_group=task_group,
        key_value=key_value,
        peers=network,
        vms=network,
        active_vms=network.active_vms,
        port=1,
        clock=timer.Timer(),
        allowance=lambda _name: ALLOWANCE,
    )


def units_of(runner: rates_runner.Runner) -> int:
    return runner.share(ORGANISATION, ALLOWANCE).units


async def warm_up(runners: dict[str, rates_runner.Runner]) -> None:
    """Sends a request from each VM until the successor was lent its units."""
    owner, successor = ownership.ranked_owners(rates.KIND, SHARD, VM_NAMES)
    for runner in runners.values():
        await runner.admit(ORGANISATION)
    for _ in range(100):
        await runners[owner].owner.check_shards(runners[owner].clock.now())
        if units_of(runners[successor]) >= rates.SUCCESSOR_UNITS:
            return
        await anyio.sleep(0.01)
    raise AssertionError("the successor has no units")


@pytest.mark.anyio
async def test_successor_serves_while_the_owner_is_lost() -> None:
    """Guards against one lost VM that stops all requests of an organisation."""
    owner, successor = ownership.ranked_owners(rates.KIND, SHARD, VM_NAMES)
    last = next(name for name in VM_NAMES if name not in (owner, successor))
    async with fleet() as (network, runners):
        await warm_up(runners)
        network.unresponsive.add(owner)
        await runners[last].admit(ORGANISATION)
        network.inactive.add(owner)
        await runners[last].admit(ORGANISATION)
        assert SHARD in runners[successor].owner.ledgers


@pytest.mark.anyio
async def test_shutdown_returns_all_units() -> None:
    """Guards against a draining VM that keeps units or is still called."""
    owner, successor = ownership.ranked_owners(rates.KIND, SHARD, VM_NAMES)
    last = next(name for name in VM_NAMES if name not in (owner, successor))
    async with fleet() as (_, runners):
        await warm_up(runners)
        await runners[owner].release_all()
        for _ in range(100):
            if SHARD in runners[successor].owner.all_reported:
                break
            await anyio.sleep(0.01)
        await runners[successor].owner.all_reported[SHARD].wait()
        assert units_of(runners[owner]) == 0
        total_units = sum(units_of(runner) for runner in runners.values())
        assert total_units == rates.ORGANISATION_UNITS
        assert runners[last].last_owner[SHARD] == successor
        await runners[last].admit(ORGANISATION)


@pytest.mark.anyio
async def test_background_error_does_not_end_the_program() -> None:
    """Guards against an error in a background task that ends the program."""

    async def fail() -> None:
        raise KeyError("fault")

    async with anyio.create_task_group() as task_group:
        background.start(task_group, fail)
