"""Queries to all listed VMs that answer operators' requests."""

import dataclasses
from typing import Any

import anyio
import msgspec

from ibisknot import errors
from ibisknot import peer
from ibisknot import recent_events
from ibisknot import vmlist
from ibisknot.gen.config import ttypes

CALL_TIMEOUT_S = 1.0
POLL_PERIOD_S = 0.1
MAX_WAIT_S = 60.0


class VmStatus(msgspec.Struct):
    """State of one VM, as the operators' interface shows it.

    Attributes:
        vm: Name of the VM.
        data_centre: Name of its data centre.
        state: Its state in the platform's list.
        version: Configuration version in force; None if it did not answer.
    """

    vm: str
    data_centre: str
    state: str
    version: int | None


@dataclasses.dataclass(slots=True)
class FleetQueries:
    """Queries the processes of the listed VMs.

    Attributes:
        peers: Client of other VMs' processes.
        vms: The platform's list of VMs.
        entry_port: Peer port of the entries.
        batch_port: Peer port of the batch processes.
    """

    peers: peer.Client
    vms: vmlist.VmList
    entry_port: int
    batch_port: int

    async def read_version(self, vm: vmlist.ListedVm) -> int | None:
        """Returns the version in force on a VM, None if it does not answer."""
        try:
            answer = await self.peers.call(
                f"{vm.address}:{self.entry_port}",
                "version_in_force",
                ttypes.VersionAsk(),
                ttypes.VersionInForce,
                timeout_s=CALL_TIMEOUT_S,
            )
        except errors.IbisknotError:
            return None
        version: int = answer.version
        return version

    async def read_versions(self) -> list[VmStatus]:
        """Returns the version in force on each listed VM."""
        statuses: list[VmStatus] = []

        async def query(vm: vmlist.ListedVm) -> None:
            version = await self.read_version(vm)
            statuses.append(
                VmStatus(vm.name, vm.data_centre, vm.state, version)
            )

        async with anyio.create_task_group() as task_group:
            for vm in self.vms.by_name.values():
                task_group.start_soon(query, vm)
        return sorted(statuses, key=lambda status: status.vm)

    async def wait_for_version(
        self, version: int, *, wait_s: float
    ) -> list[str]:
        """Waits until a version is in force on each listed VM.

        Args:
            version: The version; a later one counts as well.
            wait_s: Seconds after which polling ends, at most `MAX_WAIT_S`.

        Returns:
            The names of the VMs on which it is not in force after the wait.
        """
        deadline_s = anyio.current_time() + min(wait_s, MAX_WAIT_S)
        reported: set[str] = set()

        async def query(vm: vmlist.ListedVm) -> None:
            if (await self.read_version(vm) or 0) >= version:
                reported.add(vm.name)

        while True:
            async with anyio.create_task_group() as task_group:
                for vm in self.vms.by_name.values():
                    if vm.name not in reported:
                        task_group.start_soon(query, vm)
            missing = sorted(self.vms.by_name.keys() - reported)
            if not missing or anyio.current_time() >= deadline_s:
                return missing
            await anyio.sleep(POLL_PERIOD_S)

    async def read_events(
        self, subject: str
    ) -> tuple[list[dict[str, Any]], list[str]]:
        """Returns the recent events about a subject on all listed VMs.

        Returns:
            The events in order of time, each with the name of its VM, and
            the names of the VMs of which a process did not answer.
        """
        events: list[dict[str, Any]] = []
        unanswered: list[str] = []

        async def query(vm: vmlist.ListedVm, port: int) -> None:
            try:
                answer = await self.peers.call(
                    f"{vm.address}:{port}",
                    recent_events.METHOD,
                    ttypes.EventsAsk(subject=subject),
                    ttypes.Events,
                    timeout_s=CALL_TIMEOUT_S,
                )
            except errors.IbisknotError:
                unanswered.append(vm.name)
                return
            for data in answer.events:
                events.append({"vm": vm.name, **msgspec.json.decode(data)})

        async with anyio.create_task_group() as task_group:
            for vm in self.vms.by_name.values():
                for port in (self.entry_port, self.batch_port):
                    task_group.start_soon(query, vm, port)
        events.sort(key=lambda event: str(event.get("time", "")))
        return events, sorted(set(unanswered))
