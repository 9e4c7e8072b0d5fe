"""Writes and reads segments on the stores of several VMs."""

from collections.abc import AsyncIterator
import random

import anyio

from ibisknot import errors
from ibisknot import jobs
from ibisknot import logs
from ibisknot import peer
from ibisknot import vmlist
from ibisknot.gen.segments import ttypes

COPIES = 2
WRITE_TIMEOUT_S = 10.0
READ_ITEMS = 200


class Replicas:
    """Access to segments through the stores that hold copies."""

    def __init__(
        self, peers: peer.Client, vms: vmlist.VmList, *, port: int
    ) -> None:
        self.peers = peers
        self.vms = vms
        self.port = port
        self.choice = random.Random()

    def address(self, vm: str) -> str:
        """Returns the peer address of a VM's store.

        Raises:
            PeerError: The VM is not listed.
        """
        listed = self.vms.vms.get(vm)
        if listed is None:
            raise errors.PeerError(f"VM {vm} is not listed")
        return f"{listed.address}:{self.port}"

    def choose(self) -> list[str]:
        """Returns stores for a new segment, in different data centres.

        Raises:
            UnavailableError: There are too few stores.
        """
        stores = self.vms.stores()
        self.choice.shuffle(stores)
        if len(stores) < COPIES:
            message = f"{COPIES} stores are needed, {len(stores)} are live"
            raise errors.UnavailableError(message, retry_after_s=5.0)
        first = stores[0]
        others = sorted(
            stores[1:], key=lambda vm: vm.data_centre == first.data_centre
        )
        return [first.name, *(vm.name for vm in others[: COPIES - 1])]

    async def write(self, segment: str, items: list[bytes]) -> list[str]:
        """Writes a segment to two stores; returns their names.

        Raises:
            UnavailableError: Too few stores took it.
        """
        names = self.choose()
        message = ttypes.SegmentWrite(segment=segment, items=items)
        failed: list[str] = []

        async def write(name: str) -> None:
            try:
                await self.peers.call(
                    self.address(name),
                    "segment_write",
                    message,
                    ttypes.SegmentWritten,
                    timeout_s=WRITE_TIMEOUT_S,
                )
            except errors.IbisknotError as error:
                failed.append(f"{name}: {error.message}")

        async with anyio.create_task_group() as group:
            for name in names:
                group.start_soon(write, name)
        if failed:
            raise errors.UnavailableError(
                f"segment not written: {'; '.join(failed)}", retry_after_s=1.0
            )
        return names

    async def seal(self, record: jobs.SegmentRecord, epoch: int) -> None:
        """Seals every copy of a segment.

        Raises:
            FencedError: A higher epoch holds it.
            PeerError: A copy is not reachable.
        """
        message = ttypes.SegmentSeal(segment=record.id, epoch=epoch)
        for name in record.replicas:
            await self.peers.call(self.address(name), "segment_seal", message)

    async def append(
        self,
        record: jobs.SegmentRecord,
        epoch: int,
        results: list[ttypes.Result],
    ) -> None:
        """Appends results to every copy.

        Raises:
            FencedError: A higher epoch holds the segment.
            PeerError: A copy is not reachable.
        """
        message = ttypes.ResultAppend(
            segment=record.id, epoch=epoch, results=results
        )
        for name in record.replicas:
            await self.peers.call(
                self.address(name),
                "result_append",
                message,
                timeout_s=WRITE_TIMEOUT_S,
            )

    async def results_of(
        self, name: str, record: jobs.SegmentRecord
    ) -> list[ttypes.Result]:
        """Returns the results on one copy.

        Raises:
            PeerError: The copy is not reachable.
        """
        answer = await self.peers.call(
            self.address(name),
            "result_read",
            ttypes.ResultRead(segment=record.id),
            ttypes.Results,
            timeout_s=WRITE_TIMEOUT_S,
        )
        return answer.results

    async def results(self, record: jobs.SegmentRecord) -> list[ttypes.Result]:
        """Returns the results of a segment that every copy has.

        Raises:
            PeerError: A copy is not reachable.
        """
        first = await self.results_of(record.replicas[0], record)
        for name in record.replicas[1:]:
            other = {r.index for r in await self.results_of(name, record)}
            first = [r for r in first if r.index in other]
        return first

    async def items(self, record: jobs.SegmentRecord) -> AsyncIterator[bytes]:
        """Yields a segment's items from the first copy that answers.

        Raises:
            UnavailableError: No copy is reachable.
        """
        position = 0
        while position < record.count:
            items = await self._read(record, position)
            for item in items:
                yield item
            position += len(items)

    async def _read(
        self, record: jobs.SegmentRecord, position: int
    ) -> list[bytes]:
        message = ttypes.SegmentRead(
            segment=record.id, first=position, count=READ_ITEMS
        )
        for name in record.replicas:
            try:
                answer = await self.peers.call(
                    self.address(name),
                    "segment_read",
                    message,
                    ttypes.SegmentItems,
                    timeout_s=WRITE_TIMEOUT_S,
                )
            except errors.IbisknotError as error:
                logs.event(
                    "segment_read_failed",
                    level="warning",
                    segment=record.id,
                    vm=name,
                    error=error.message,
                )
                continue
            if answer.items:
                return answer.items
        message_text = f"no copy of segment {record.id} is readable"
        raise errors.UnavailableError(message_text, retry_after_s=1.0)
