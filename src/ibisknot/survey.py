"""Questions that an operator's VM puts to all listed VMs."""

import dataclasses
from typing import Any

import anyio
import msgspec

from ibisknot import errors
from ibisknot import peer
from ibisknot import recent_events
from ibisknot import vmlist
from ibisknot.gen.config import ttypes

TIMEOUT_S = 1.0
WAIT_PERIOD_S = 0.1
MAXIMUM_WAIT_S = 60.0


class VmStatus(msgspec.Struct):
    """The version in force on one VM, or None when it did not answer."""

    vm: str
    data_centre: str
    state: str
    version: int | None


@dataclasses.dataclass(slots=True)
class Survey:
    """Asks the processes of the listed VMs.

    Attributes:
        peers: Calls the processes.
        vms: The platform's list.
        entry_port: Peer port of the entries.
        batch_port: Peer port of the batch processes.
    """

    peers: peer.Client
    vms: vmlist.VmList
    entry_port: int
    batch_port: int

    async def version(self, vm: vmlist.ListedVm) -> int | None:
        """Returns the version in force on a VM, None without an answer."""
        try:
            answer = await self.peers.call(
                f"{vm.address}:{self.entry_port}",
                "version_in_force",
                ttypes.VersionAsk(),
                ttypes.VersionInForce,
                timeout_s=TIMEOUT_S,
            )
        except errors.IbisknotError:
            return None
        version: int = answer.version
        return version

    async def versions(self) -> list[VmStatus]:
        """Returns the version in force on each listed VM."""
        found: list[VmStatus] = []

        async def ask(vm: vmlist.ListedVm) -> None:
            version = await self.version(vm)
            found.append(VmStatus(vm.name, vm.data_centre, vm.state, version))

        async with anyio.create_task_group() as group:
            for vm in self.vms.by_name.values():
                group.start_soon(ask, vm)
        return sorted(found, key=lambda status: status.vm)

    async def missing(self, version: int, *, wait_s: float) -> list[str]:
        """Waits until each listed VM has reported a version.

        Returns:
            The names of the VMs that have not.
        """
        until_s = anyio.current_time() + min(wait_s, MAXIMUM_WAIT_S)
        reported: set[str] = set()

        async def ask(vm: vmlist.ListedVm) -> None:
            if (await self.version(vm) or 0) >= version:
                reported.add(vm.name)

        while True:
            async with anyio.create_task_group() as group:
                for vm in self.vms.by_name.values():
                    if vm.name not in reported:
                        group.start_soon(ask, vm)
            left = sorted(self.vms.by_name.keys() - reported)
            if not left or anyio.current_time() >= until_s:
                return left
            await anyio.sleep(WAIT_PERIOD_S)

    async def events(
        self, subject: str
    ) -> tuple[list[dict[str, Any]], list[str]]:
        """Returns the recent events about a subject on all listed VMs.

        Returns:
            The events in order of time, each with its VM, and the names of
            the VMs whose entry did not answer.
        """
        found: list[dict[str, Any]] = []
        silent: list[str] = []

        async def ask(vm: vmlist.ListedVm, port: int) -> None:
            try:
                answer = await self.peers.call(
                    f"{vm.address}:{port}",
                    recent_events.METHOD,
                    ttypes.EventsAsk(subject=subject),
                    ttypes.Events,
                    timeout_s=TIMEOUT_S,
                )
            except errors.IbisknotError:
                silent.append(vm.name)
                return
            for data in answer.events:
                found.append({"vm": vm.name, **msgspec.json.decode(data)})

        async with anyio.create_task_group() as group:
            for vm in self.vms.by_name.values():
                for port in (self.entry_port, self.batch_port):
                    group.start_soon(ask, vm, port)
        found.sort(key=lambda event: str(event.get("time", "")))
        return found, sorted(set(silent))
