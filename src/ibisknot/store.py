"""`ibisknot-store`: stores segment groups on a VM's disk."""

from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import pathlib
from typing import Annotated
from typing import Any

import anyio
from anyio import to_thread
import cappa

import ibisknot
from ibisknot import errors
from ibisknot import logs
from ibisknot import program
from ibisknot import segments
from ibisknot import settings
from ibisknot.gen.segments import ttypes


@dataclasses.dataclass
class Arguments:
    """Keeps segments of batch items and results on this VM's disk."""

    settings: Annotated[str, cappa.Arg(help="Settings file.")]
    check_settings: Annotated[
        bool, cappa.Arg(long=True, help="Check the settings file and exit.")
    ] = False


@dataclasses.dataclass(slots=True, eq=False)
class PendingAppend:
    """An append that waits for its group's next fsync.

    Attributes:
        epoch: Epoch of the sender.
        results: The results to append.
        error: Why the append was refused or failed, once it was processed.
    """

    epoch: int
    results: list[ttypes.Result]
    error: errors.IbisknotError | None = None


class Service:
    """The store's peer methods.

    Attributes:
        segment_store: The segment groups on disk.
        group_locks: Locks by group name, of groups with a call in progress.
        pending_appends: Appends that wait for an fsync, by group name.
    """

    def __init__(self, segment_store: segments.SegmentStore) -> None:
        self.segment_store = segment_store
        self.group_locks: dict[str, anyio.Lock] = {}
        self.pending_appends: dict[str, list[PendingAppend]] = {}

    @contextlib.asynccontextmanager
    async def _lock_group(self, group: str) -> AsyncIterator[None]:
        """Holds a group's lock, so that calls on it run one at a time."""
        lock = self.group_locks.setdefault(group, anyio.Lock())
        try:
            async with lock:
                yield
        finally:
            if not lock.locked():
                self.group_locks.pop(group, None)

    async def _run_on_group(
        self, group: str, function: Callable[..., Any], *arguments: Any
    ) -> Any:
        """Runs a blocking function in a thread under the group's lock."""
        async with self._lock_group(group):
            return await to_thread.run_sync(function, *arguments)

    async def write_segment(self, message: ttypes.SegmentWrite) -> Any:
        """Writes a segment."""
        digest = await self._run_on_group(
            message.group,
            self.segment_store.write_segment,
            message.group,
            message.number,
            message.items,
        )
        return ttypes.SegmentWritten(digest=digest)

    async def link_segments(self, message: ttypes.SegmentLink) -> None:
        """Creates a group from another group's segments."""
        await self._run_on_group(
            message.target,
            self.segment_store.link_segments,
            message.source,
            message.target,
            message.count,
        )

    async def read_segment(self, message: ttypes.SegmentRead) -> Any:
        """Reads the items of a segment."""
        items = await to_thread.run_sync(
            self.segment_store.read_segment, message.group, message.number
        )
        return ttypes.SegmentItems(items=items)

    async def seal_group(self, message: ttypes.SegmentSeal) -> None:
        """Seals a group."""
        await self._run_on_group(
            message.group,
            self.segment_store.seal_group,
            message.group,
            message.epoch,
        )

    async def append_results(self, message: ttypes.ResultAppend) -> None:
        """Appends results; concurrent appends to a group share an fsync.

        Raises:
            FencedError: The group is sealed by another epoch.
            DiskFullError: The disk is full; nothing was recorded.
            SegmentMissingError: The group does not exist.
        """
        pending = PendingAppend(message.epoch, message.results)
        self.pending_appends.setdefault(message.group, []).append(pending)
        async with self._lock_group(message.group):
            # The previous holder of the lock may have written this append.
            batch = self.pending_appends.pop(message.group, [])
            if batch:
                await to_thread.run_sync(
                    self._write_appends, message.group, batch
                )
        if pending.error is not None:
            raise pending.error

    def _write_appends(self, group: str, batch: list[PendingAppend]) -> None:
        """Writes a batch of appends to a group and sets their errors."""
        appends = [(pending.epoch, pending.results) for pending in batch]
        try:
            outcomes = self.segment_store.append_results(group, appends)
        except errors.IbisknotError as error:
            outcomes = [error] * len(batch)
        for pending, outcome in zip(batch, outcomes, strict=True):
            pending.error = outcome

    async def read_results(self, message: ttypes.ResultRead) -> Any:
        """Reads a page of a group's results."""
        return await self._run_on_group(
            message.group,
            self.segment_store.read_results,
            message.group,
            message.first,
        )

    async def group_state(self, message: ttypes.GroupAsk) -> Any:
        """Returns which items of a group have results."""
        return await self._run_on_group(
            message.group, self.segment_store.group_state, message.group
        )

    async def missing_groups(self, message: ttypes.GroupsAsk) -> Any:
        """Returns those of the given groups that this store does not have."""
        missing = await to_thread.run_sync(
            self.segment_store.missing_groups, message.groups
        )
        return ttypes.GroupsMissing(groups=missing)

    async def delete_group(self, message: ttypes.SegmentDelete) -> None:
        """Deletes a group."""
        await self._run_on_group(
            message.group,
            self.segment_store.delete_group,
            message.group,
            message.epoch,
        )


def register(daemon: program.Daemon, service: Service) -> None:
    """Registers the store's peer methods."""
    server = daemon.server
    server.on("segment_write", ttypes.SegmentWrite, service.write_segment)
    server.on("segment_link", ttypes.SegmentLink, service.link_segments)
    server.on("segment_read", ttypes.SegmentRead, service.read_segment)
    server.on("segment_seal", ttypes.SegmentSeal, service.seal_group)
    server.on("result_append", ttypes.ResultAppend, service.append_results)
    server.on("result_read", ttypes.ResultRead, service.read_results)
    server.on("group_state", ttypes.GroupAsk, service.group_state)
    server.on("groups_missing", ttypes.GroupsAsk, service.missing_groups)
    server.on("segment_delete", ttypes.SegmentDelete, service.delete_group)


async def run(store_settings: settings.Store) -> None:
    """Runs the store until shutdown is requested."""
    async with program.start(store_settings, name="ibisknot-store") as daemon:
        segment_store = segments.SegmentStore(
            pathlib.Path(store_settings.data_folder)
        )
        damaged = await to_thread.run_sync(segment_store.find_damaged_groups)
        register(daemon, Service(segment_store))
        logs.event(
            "store_ready", folder=store_settings.data_folder, damaged=damaged
        )
        await daemon.serve([])


def main() -> None:
    """Entry point of the program."""
    arguments = cappa.parse(Arguments, version=ibisknot.__version__)
    store_settings = settings.load_or_exit(
        arguments.settings,
        settings.Store,
        check_only=arguments.check_settings,
    )
    program.run(run, store_settings)
