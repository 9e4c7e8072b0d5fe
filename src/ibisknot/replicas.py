"""Writes and reads segment groups on the stores of several VMs.

Each group has a copy on `REPLICA_COUNT` VMs. This module calls the stores;
the owner of a job's shard decides when copies are sealed and repaired.
"""

from collections.abc import AsyncIterator
import random
from typing import Any

import anyio

from ibisknot import bitmaps
from ibisknot import errors
from ibisknot import logs
from ibisknot import peer
from ibisknot import vmlist
from ibisknot.gen.segments import ttypes

REPLICA_COUNT = 2
CALL_TIMEOUT_S = 10.0
COPY_BATCH_RESULTS = 500
"""Maximum number of results in one append while a copy is made."""


class ReplicaClient:
    """Client of the stores that have the copies of segment groups.

    Attributes:
        peers: Calls the stores.
        vms: The platform's VM list.
        port: Port of the store on each VM.
        rng: Chooses among equally good stores.
    """

    def __init__(
        self, peers: peer.Client, vms: vmlist.VmList, *, port: int
    ) -> None:
        self.peers = peers
        self.vms = vms
        self.port = port
        self.rng = random.Random()

    async def call(
        self, vm: str, method: str, message: Any, response_type: Any = None
    ) -> Any:
        """Calls a peer method of a VM's store; returns its answer.

        Raises:
            PeerError: The VM is not listed or not reachable.
            IbisknotError: The store returned an error.
        """
        listed_vm = self.vms.by_name.get(vm)
        if listed_vm is None:
            raise errors.PeerError(f"VM {vm} is not listed")
        address = f"{listed_vm.address}:{self.port}"
        if response_type is None:
            return await self.peers.call(
                address, method, message, timeout_s=CALL_TIMEOUT_S
            )
        return await self.peers.call(
            address, method, message, response_type, timeout_s=CALL_TIMEOUT_S
        )

    async def call_all(
        self, vms: list[str], method: str, message: Any
    ) -> dict[str, errors.IbisknotError]:
        """Calls several stores at the same time; returns errors by VM."""
        errors_by_vm: dict[str, errors.IbisknotError] = {}

        async def call(vm: str) -> None:
            try:
                await self.call(vm, method, message)
            except errors.IbisknotError as error:
                errors_by_vm[vm] = error

        async with anyio.create_task_group() as task_group:
            for vm in vms:
                task_group.start_soon(call, vm)
        return errors_by_vm

    def is_unlisted(self, vm: str) -> bool:
        """Returns whether a VM is not on the platform's list.

        False as long as no list was read.
        """
        return bool(self.vms.by_name) and vm not in self.vms.by_name

    def choose_vms(
        self, existing: list[str], *, avoid: frozenset[str] = frozenset()
    ) -> list[str]:
        """Returns `existing`, extended to `REPLICA_COUNT` VMs with a store.

        Added VMs are random, in data centres without a copy if there are any.

        Args:
            existing: VMs that have a copy.
            avoid: VMs not to add.

        Raises:
            UnavailableError: There are too few stores.
        """
        chosen = list(existing)
        while len(chosen) < REPLICA_COUNT:
            chosen_vms = [
                self.vms.by_name[n] for n in chosen if n in self.vms.by_name
            ]
            data_centres = {vm.data_centre for vm in chosen_vms}
            candidates = [
                vm
                for vm in self.vms.store_vms()
                if vm.name not in chosen and vm.name not in avoid
            ]
            if not candidates:
                message = (
                    f"{REPLICA_COUNT} stores are needed, "
                    f"{len(chosen)} are usable"
                )
                raise errors.UnavailableError(message, retry_after_s=5.0)
            self.rng.shuffle(candidates)
            candidates.sort(key=lambda vm: vm.data_centre in data_centres)
            chosen.append(candidates[0].name)
        return chosen

    async def write_segment(
        self, vms: list[str], group: str, index: int, items: list[bytes]
    ) -> list[str]:
        """Writes a segment to all copies; returns the VMs that have it.

        A store that fails is replaced by another one, to which the group's
        earlier segments are copied first.

        Raises:
            DiskFullError: A disk is full and there is no other store.
            UnavailableError: Too few stores accepted the segment.
        """
        message = ttypes.SegmentWrite(group=group, number=index, items=items)
        avoid: set[str] = set()
        while True:
            errors_by_vm = await self.call_all(vms, "segment_write", message)
            if not errors_by_vm:
                return vms
            for vm, error in errors_by_vm.items():
                self._log_failure("segment_write_failed", group, vm, error)
            existing = [vm for vm in vms if vm not in errors_by_vm]
            avoid.update(errors_by_vm)
            if index and not existing:
                raise _write_error(list(errors_by_vm.values()))
            try:
                vms = await self.ensure_copies(existing, group, index, avoid)
            except errors.UnavailableError:
                raise _write_error(list(errors_by_vm.values())) from None

    async def ensure_copies(
        self, existing: list[str], group: str, count: int, avoid: set[str]
    ) -> list[str]:
        """Copies a group's first segments to as many VMs as are missing.

        Args:
            existing: VMs that have the segments.
            group: Name of the group.
            count: Number of segments to copy.
            avoid: VMs not to use; those whose store fails are added.

        Returns:
            The `REPLICA_COUNT` VMs that have the segments.

        Raises:
            UnavailableError: There are too few stores.
        """
        while True:
            vms = self.choose_vms(existing, avoid=frozenset(avoid))
            for vm in vms[len(existing) :]:
                try:
                    if count:
                        await self.copy_segments(existing[0], vm, group, count)
                except errors.IbisknotError as error:
                    self._log_failure("segment_copy_failed", group, vm, error)
                    avoid.add(vm)
            if avoid.isdisjoint(vms):
                return vms

    async def link_segments(
        self, vms: list[str], source: str, target: str, count: int
    ) -> dict[str, errors.IbisknotError]:
        """Creates group `target` from segments of `source` on some VMs.

        Args:
            vms: VMs whose stores have the source.
            source: Name of the group that has the segments.
            target: Name of the group to create.
            count: Number of segments.

        Returns:
            The errors by VM.
        """
        message = ttypes.SegmentLink(source=source, target=target, count=count)
        return await self.call_all(vms, "segment_link", message)

    async def delete_group(
        self, vms: list[str], group: str, epoch: int
    ) -> None:
        """Deletes a group; a store that fails is only logged."""
        message = ttypes.SegmentDelete(group=group, epoch=epoch)
        errors_by_vm = await self.call_all(vms, "segment_delete", message)
        for vm, error in errors_by_vm.items():
            self._log_failure("segment_delete_failed", group, vm, error)

    async def seal_copy(self, vm: str, group: str, epoch: int) -> None:
        """Seals one copy of a group.

        Raises:
            FencedError: A higher epoch has sealed it.
            SegmentMissingError: The store does not have the group.
            PeerError: The store is not reachable.
        """
        message = ttypes.SegmentSeal(group=group, epoch=epoch)
        await self.call(vm, "segment_seal", message)

    async def read_state(self, vm: str, group: str) -> ttypes.GroupState:
        """Returns which items have results in one copy.

        Raises:
            PeerError: The store is not reachable.
        """
        return await self.call(
            vm, "group_state", ttypes.GroupAsk(group=group), ttypes.GroupState
        )

    async def read_segment(
        self, vms: list[str], group: str, index: int
    ) -> list[bytes]:
        """Returns the items of a segment from the first readable copy.

        Raises:
            UnavailableError: No copy is readable.
        """
        message = ttypes.SegmentRead(group=group, number=index)
        for vm in vms:
            try:
                segment = await self.call(
                    vm, "segment_read", message, ttypes.SegmentItems
                )
            except errors.IbisknotError as error:
                self._log_failure("segment_read_failed", group, vm, error)
                continue
            return segment.items
        text = f"no copy of segment {index} of {group} is readable"
        raise errors.UnavailableError(text, retry_after_s=1.0)

    async def read_result_page(
        self, vm: str, group: str, first_index: int
    ) -> ttypes.Results:
        """Returns a page of the results in one copy, from an item on.

        Raises:
            PeerError: The store is not reachable.
        """
        message = ttypes.ResultRead(group=group, first=first_index)
        return await self.call(vm, "result_read", message, ttypes.Results)

    async def result_pages(
        self, vm: str, group: str
    ) -> AsyncIterator[list[ttypes.Result]]:
        """Yields the results in one copy in item order, page by page.

        Raises:
            PeerError: The store is not reachable.
        """
        first_index = 0
        while first_index >= 0:
            page = await self.read_result_page(vm, group, first_index)
            yield page.results
            first_index = page.next

    async def copy_segments(
        self, source: str, target: str, group: str, count: int
    ) -> None:
        """Copies the first `count` segments of a group to another VM.

        Raises:
            IbisknotError: A store did not answer or returned an error.
        """
        for index in range(count):
            items = await self.read_segment([source], group, index)
            message = ttypes.SegmentWrite(
                group=group, number=index, items=items
            )
            await self.call(target, "segment_write", message)

    async def copy_results(
        self,
        source: str,
        target: str,
        group: str,
        epoch: int,
        missing: bytearray | None = None,
    ) -> None:
        """Copies a group's results to another VM.

        Args:
            source: VM to read from.
            target: VM to append to.
            group: Name of the group.
            epoch: Epoch that has sealed the group on the target.
            missing: Bit map of the items to copy; None copies all.

        Raises:
            IbisknotError: A store did not answer or returned an error.
        """
        async for results in self.result_pages(source, group):
            wanted = [
                r
                for r in results
                if missing is None or bitmaps.contains(missing, r.index)
            ]
            for start in range(0, len(wanted), COPY_BATCH_RESULTS):
                message = ttypes.ResultAppend(
                    group=group,
                    epoch=epoch,
                    results=wanted[start : start + COPY_BATCH_RESULTS],
                )
                await self.call(target, "result_append", message)

    def _log_failure(
        self, event: str, group: str, vm: str, error: errors.IbisknotError
    ) -> None:
        logs.event(
            event, level="warning", group=group, vm=vm, cause=error.message
        )


def _write_error(causes: list[errors.IbisknotError]) -> errors.IbisknotError:
    """Returns the error of a write that failed on too many stores."""
    if any(isinstance(error, errors.DiskFullError) for error in causes):
        return errors.DiskFullError("the disks of the stores are full")
    text = f"too few stores accepted the segment: {causes[0].message}"
    return errors.UnavailableError(text, retry_after_s=1.0)
