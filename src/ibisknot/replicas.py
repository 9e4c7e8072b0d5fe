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

COPIES = 2
CALL_TIMEOUT_S = 10.0
COPY_RESULTS = 500


class Replicas:
    """Access to groups through the stores that hold copies."""

    def __init__(
        self, peers: peer.Client, vms: vmlist.VmList, *, port: int
    ) -> None:
        self.peers = peers
        self.vms = vms
        self.port = port
        self.choice = random.Random()

    async def call(
        self, vm: str, method: str, message: Any, kind: Any = None
    ) -> Any:
        """Calls the store of a VM.

        Raises:
            PeerError: The VM is not listed or not reachable.
            IbisknotError: The store refused.
        """
        listed = self.vms.vms.get(vm)
        if listed is None:
            raise errors.PeerError(f"VM {vm} is not listed")
        address = f"{listed.address}:{self.port}"
        if kind is None:
            return await self.peers.call(
                address, method, message, timeout_s=CALL_TIMEOUT_S
            )
        return await self.peers.call(
            address, method, message, kind, timeout_s=CALL_TIMEOUT_S
        )

    async def each(
        self, names: list[str], method: str, message: Any
    ) -> dict[str, errors.IbisknotError]:
        """Calls several stores at once; returns the errors by VM."""
        failed: dict[str, errors.IbisknotError] = {}

        async def call(name: str) -> None:
            try:
                await self.call(name, method, message)
            except errors.IbisknotError as error:
                failed[name] = error

        async with anyio.create_task_group() as group:
            for name in names:
                group.start_soon(call, name)
        return failed

    def gone(self, vm: str) -> bool:
        """Returns whether the platform's list no longer has a VM."""
        return bool(self.vms.vms) and vm not in self.vms.vms

    def choose(
        self, kept: list[str], *, avoid: frozenset[str] = frozenset()
    ) -> list[str]:
        """Returns `kept` filled up with stores in other data centres.

        Raises:
            UnavailableError: There are too few stores.
        """
        names = list(kept)
        while len(names) < COPIES:
            listed = [self.vms.vms[n] for n in names if n in self.vms.vms]
            centres = {vm.data_centre for vm in listed}
            others = [
                vm
                for vm in self.vms.stores()
                if vm.name not in names and vm.name not in avoid
            ]
            if not others:
                message = f"{COPIES} stores are needed, {len(names)} are usable"
                raise errors.UnavailableError(message, retry_after_s=5.0)
            self.choice.shuffle(others)
            others.sort(key=lambda vm: vm.data_centre in centres)
            names.append(others[0].name)
        return names

    async def write(
        self, names: list[str], group: str, number: int, items: list[bytes]
    ) -> list[str]:
        """Writes a segment to two stores; returns their names.

        A store that fails is replaced by another one, which first gets the
        group's earlier segments.

        Raises:
            DiskFullError: A disk is full and there is no other store.
            UnavailableError: Too few stores took it.
        """
        message = ttypes.SegmentWrite(group=group, number=number, items=items)
        avoid: set[str] = set()
        while True:
            failed = await self.each(names, "segment_write", message)
            if not failed:
                return names
            for name, error in failed.items():
                self._log("segment_write_failed", group, name, error)
            kept = [name for name in names if name not in failed]
            avoid.update(failed)
            if number and not kept:
                raise _too_few(list(failed.values()))
            try:
                names = await self.fill_up(kept, group, number, avoid)
            except errors.UnavailableError:
                raise _too_few(list(failed.values())) from None

    async def fill_up(
        self, kept: list[str], group: str, count: int, avoid: set[str]
    ) -> list[str]:
        """Copies a group's first segments, so that two stores have them.

        Args:
            kept: Stores that have the segments.
            group: The group's name.
            count: Number of segments.
            avoid: Stores not to use; those that fail are added.

        Returns:
            The stores that have the segments.

        Raises:
            UnavailableError: There are too few stores.
        """
        while True:
            names = self.choose(kept, avoid=frozenset(avoid))
            for name in names[len(kept) :]:
                try:
                    if count:
                        await self.copy_items(kept[0], name, group, count)
                except errors.IbisknotError as error:
                    self._log("segment_copy_failed", group, name, error)
                    avoid.add(name)
            if avoid.isdisjoint(names):
                return names

    async def link(
        self, names: list[str], source: str, target: str, count: int
    ) -> dict[str, errors.IbisknotError]:
        """Gives a group's segments to another group on some stores."""
        message = ttypes.SegmentLink(source=source, target=target, count=count)
        return await self.each(names, "segment_link", message)

    async def delete(self, names: list[str], group: str, epoch: int) -> None:
        """Deletes a group where its stores answer."""
        message = ttypes.SegmentDelete(group=group, epoch=epoch)
        failed = await self.each(names, "segment_delete", message)
        for name, error in failed.items():
            self._log("segment_delete_failed", group, name, error)

    async def seal(self, vm: str, group: str, epoch: int) -> None:
        """Seals one copy of a group.

        Raises:
            FencedError: A higher epoch holds it.
            SegmentMissingError: The copy is not there.
            PeerError: The copy is not reachable.
        """
        message = ttypes.SegmentSeal(group=group, epoch=epoch)
        await self.call(vm, "segment_seal", message)

    async def state(self, vm: str, group: str) -> ttypes.GroupState:
        """Returns which items of one copy have results.

        Raises:
            PeerError: The copy is not reachable.
        """
        return await self.call(
            vm, "group_state", ttypes.GroupAsk(group=group), ttypes.GroupState
        )

    async def segment(
        self, names: list[str], group: str, number: int
    ) -> list[bytes]:
        """Returns the items of a segment from the first copy that answers.

        Raises:
            UnavailableError: No copy is readable.
        """
        message = ttypes.SegmentRead(group=group, number=number)
        for name in names:
            try:
                answer = await self.call(
                    name, "segment_read", message, ttypes.SegmentItems
                )
            except errors.IbisknotError as error:
                self._log("segment_read_failed", group, name, error)
                continue
            return answer.items
        text = f"no copy of segment {number} of {group} is readable"
        raise errors.UnavailableError(text, retry_after_s=1.0)

    async def page(self, vm: str, group: str, first: int) -> ttypes.Results:
        """Returns results of one copy from an item on.

        Raises:
            PeerError: The copy is not reachable.
        """
        message = ttypes.ResultRead(group=group, first=first)
        return await self.call(vm, "result_read", message, ttypes.Results)

    async def results(
        self, vm: str, group: str
    ) -> AsyncIterator[list[ttypes.Result]]:
        """Yields the results of one copy in item order, page by page.

        Raises:
            PeerError: The copy is not reachable.
        """
        first = 0
        while first >= 0:
            page = await self.page(vm, group, first)
            yield page.results
            first = page.next

    async def copy_items(
        self, source: str, target: str, group: str, count: int
    ) -> None:
        """Copies the first `count` segments of a group.

        Raises:
            IbisknotError: One of the stores did not answer or refused.
        """
        for number in range(count):
            items = await self.segment([source], group, number)
            message = ttypes.SegmentWrite(
                group=group, number=number, items=items
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
        async for results in self.results(source, group):
            wanted = [
                r
                for r in results
                if missing is None or bitmaps.has(missing, r.index)
            ]
            for start in range(0, len(wanted), COPY_RESULTS):
                message = ttypes.ResultAppend(
                    group=group,
                    epoch=epoch,
                    results=wanted[start : start + COPY_RESULTS],
                )
                await self.call(target, "result_append", message)

    def _log(
        self, name: str, group: str, vm: str, error: errors.IbisknotError
    ) -> None:
        logs.event(
            name, level="warning", group=group, vm=vm, cause=error.message
        )


def _too_few(failed: list[errors.IbisknotError]) -> errors.IbisknotError:
    """Returns the error of a write for which there is no other store."""
    if any(isinstance(error, errors.DiskFullError) for error in failed):
        return errors.DiskFullError("the disks are full")
    text = f"too few stores took the segment: {failed[0].message}"
    return errors.UnavailableError(text, retry_after_s=1.0)
