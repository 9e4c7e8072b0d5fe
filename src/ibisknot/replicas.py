"""Writes and reads groups of segments on the stores of several VMs."""

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


class ReplicaClient:
    """Access to groups through the stores that hold copies."""

    def __init__(
        self, peers: peer.Client, vms: vmlist.VmList, *, port: int
    ) -> None:
        self.peers = peers
        self.vms = vms
        self.port = port
        self.rng = random.Random()

    async def call(
        self, vm: str, method: str, message: Any, answer_type: Any = None
    ) -> Any:
        """Calls the store of a VM.

        Raises:
            PeerError: The VM is not listed or not reachable.
            IbisknotError: The store refused.
        """
        listed_vm = self.vms.vms.get(vm)
        if listed_vm is None:
            raise errors.PeerError(f"VM {vm} is not listed")
        address = f"{listed_vm.address}:{self.port}"
        if answer_type is None:
            return await self.peers.call(
                address, method, message, timeout_s=CALL_TIMEOUT_S
            )
        return await self.peers.call(
            address, method, message, answer_type, timeout_s=CALL_TIMEOUT_S
        )

    async def call_all(
        self, vms: list[str], method: str, message: Any
    ) -> dict[str, errors.IbisknotError]:
        """Calls several stores at once; returns the errors by VM."""
        errors_by_vm: dict[str, errors.IbisknotError] = {}

        async def call(name: str) -> None:
            try:
                await self.call(name, method, message)
            except errors.IbisknotError as error:
                errors_by_vm[name] = error

        async with anyio.create_task_group() as task_group:
            for name in vms:
                task_group.start_soon(call, name)
        return errors_by_vm

    def is_unlisted(self, vm: str) -> bool:
        """Returns whether the platform's list no longer has a VM."""
        return bool(self.vms.vms) and vm not in self.vms.vms

    def choose_vms(
        self, existing: list[str], *, avoid: frozenset[str] = frozenset()
    ) -> list[str]:
        """Returns `kept` filled up with stores in other data centres.

        Raises:
            UnavailableError: There are too few stores.
        """
        chosen = list(existing)
        while len(chosen) < REPLICA_COUNT:
            chosen_vms = [self.vms.vms[n] for n in chosen if n in self.vms.vms]
            data_centres = {vm.data_centre for vm in chosen_vms}
            candidates = [
                vm
                for vm in self.vms.stores()
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
        """Writes a segment to two stores; returns their names.

        A store that fails is replaced by another one, which first gets the
        group's earlier segments.

        Raises:
            DiskFullError: A disk is full and there is no other store.
            UnavailableError: Too few stores took it.
        """
        message = ttypes.SegmentWrite(group=group, number=index, items=items)
        avoid: set[str] = set()
        while True:
            errors_by_vm = await self.call_all(vms, "segment_write", message)
            if not errors_by_vm:
                return vms
            for name, error in errors_by_vm.items():
                self._log_failure("segment_write_failed", group, name, error)
            existing = [name for name in vms if name not in errors_by_vm]
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
        """Copies a group's first segments, so that two stores have them.

        Args:
            existing: Stores that have the segments.
            group: The group's name.
            count: Number of segments.
            avoid: Stores not to use; those that fail are added.

        Returns:
            The stores that have the segments.

        Raises:
            UnavailableError: There are too few stores.
        """
        while True:
            vms = self.choose_vms(existing, avoid=frozenset(avoid))
            for name in vms[len(existing) :]:
                try:
                    if count:
                        await self.copy_segments(
                            existing[0], name, group, count
                        )
                except errors.IbisknotError as error:
                    self._log_failure("segment_copy_failed", group, name, error)
                    avoid.add(name)
            if avoid.isdisjoint(vms):
                return vms

    async def link_segments(
        self, vms: list[str], source: str, target: str, count: int
    ) -> dict[str, errors.IbisknotError]:
        """Gives a group's segments to another group on some stores."""
        message = ttypes.SegmentLink(source=source, target=target, count=count)
        return await self.call_all(vms, "segment_link", message)

    async def delete_group(
        self, vms: list[str], group: str, epoch: int
    ) -> None:
        """Deletes a group where its stores answer."""
        message = ttypes.SegmentDelete(group=group, epoch=epoch)
        errors_by_vm = await self.call_all(vms, "segment_delete", message)
        for name, error in errors_by_vm.items():
            self._log_failure("segment_delete_failed", group, name, error)

    async def seal_copy(self, vm: str, group: str, epoch: int) -> None:
        """Seals one copy of a group.

        Raises:
            FencedError: A higher epoch holds it.
            SegmentMissingError: The copy is not there.
            PeerError: The copy is not reachable.
        """
        message = ttypes.SegmentSeal(group=group, epoch=epoch)
        await self.call(vm, "segment_seal", message)

    async def copy_state(self, vm: str, group: str) -> ttypes.GroupState:
        """Returns which items of one copy have results.

        Raises:
            PeerError: The copy is not reachable.
        """
        return await self.call(
            vm, "group_state", ttypes.GroupAsk(group=group), ttypes.GroupState
        )

    async def read_segment(
        self, vms: list[str], group: str, index: int
    ) -> list[bytes]:
        """Returns the items of a segment from the first copy that answers.

        Raises:
            UnavailableError: No copy is readable.
        """
        message = ttypes.SegmentRead(group=group, number=index)
        for name in vms:
            try:
                answer = await self.call(
                    name, "segment_read", message, ttypes.SegmentItems
                )
            except errors.IbisknotError as error:
                self._log_failure("segment_read_failed", group, name, error)
                continue
            return answer.items
        text = f"no copy of segment {index} of {group} is readable"
        raise errors.UnavailableError(text, retry_after_s=1.0)

    async def read_result_page(
        self, vm: str, group: str, first: int
    ) -> ttypes.Results:
        """Returns results of one copy from an item on.

        Raises:
            PeerError: The copy is not reachable.
        """
        message = ttypes.ResultRead(group=group, first=first)
        return await self.call(vm, "result_read", message, ttypes.Results)

    async def result_pages(
        self, vm: str, group: str
    ) -> AsyncIterator[list[ttypes.Result]]:
        """Yields the results of one copy in item order, page by page.

        Raises:
            PeerError: The copy is not reachable.
        """
        first = 0
        while first >= 0:
            page = await self.read_result_page(vm, group, first)
            yield page.results
            first = page.next

    async def copy_segments(
        self, source: str, target: str, group: str, count: int
    ) -> None:
        """Copies the first `count` segments of a group.

        Raises:
            IbisknotError: One of the stores did not answer or refused.
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
        """Copies results, all of them or only those of some items.

        Raises:
            IbisknotError: One of the stores did not answer or refused.
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
    """Returns the error of a write for which there is no other store."""
    if any(isinstance(error, errors.DiskFullError) for error in causes):
        return errors.DiskFullError("the disks are full")
    text = f"too few stores took the segment: {causes[0].message}"
    return errors.UnavailableError(text, retry_after_s=1.0)
