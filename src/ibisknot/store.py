"""`ibisknot-store`: keeps segments on a VM's disk."""

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
class Waiting:
    """An append that waits for its group's next fsync."""

    epoch: int
    results: list[ttypes.Result]
    error: errors.IbisknotError | None = None


class Service:
    """The store's peer methods."""

    def __init__(self, kept: segments.Segments) -> None:
        self.kept = kept
        self.locks: dict[str, anyio.Lock] = {}
        self.waiting: dict[str, list[Waiting]] = {}

    @contextlib.asynccontextmanager
    async def _locked(self, group: str) -> AsyncIterator[None]:
        """Makes calls on one group follow each other."""
        lock = self.locks.setdefault(group, anyio.Lock())
        try:
            async with lock:
                yield
        finally:
            if not lock.locked():
                self.locks.pop(group, None)

    async def _run(
        self, group: str, function: Callable[..., Any], *arguments: Any
    ) -> Any:
        """Runs a blocking call on one group."""
        async with self._locked(group):
            return await to_thread.run_sync(function, *arguments)

    async def write(self, message: ttypes.SegmentWrite) -> Any:
        """Writes a segment."""
        found = await self._run(
            message.group,
            self.kept.write,
            message.group,
            message.number,
            message.items,
        )
        return ttypes.SegmentWritten(digest=found)

    async def link(self, message: ttypes.SegmentLink) -> None:
        """Gives a group's segments to another group."""
        await self._run(
            message.target,
            self.kept.link,
            message.source,
            message.target,
            message.count,
        )

    async def read(self, message: ttypes.SegmentRead) -> Any:
        """Reads the items of a segment."""
        items = await to_thread.run_sync(
            self.kept.read, message.group, message.number
        )
        return ttypes.SegmentItems(items=items)

    async def seal(self, message: ttypes.SegmentSeal) -> None:
        """Seals a group."""
        await self._run(
            message.group, self.kept.seal, message.group, message.epoch
        )

    async def append(self, message: ttypes.ResultAppend) -> None:
        """Appends results; appends that wait together share an fsync."""
        mine = Waiting(message.epoch, message.results)
        self.waiting.setdefault(message.group, []).append(mine)
        async with self._locked(message.group):
            # An append that held the lock before may have taken this one.
            taken = self.waiting.pop(message.group, [])
            if taken:
                await to_thread.run_sync(self._flush, message.group, taken)
        if mine.error is not None:
            raise mine.error

    def _flush(self, group: str, taken: list[Waiting]) -> None:
        """Writes the appends that wait for a group."""
        batches = [(entry.epoch, entry.results) for entry in taken]
        try:
            outcomes = self.kept.append(group, batches)
        except errors.IbisknotError as error:
            outcomes = [error] * len(taken)
        for entry, outcome in zip(taken, outcomes, strict=True):
            entry.error = outcome

    async def results(self, message: ttypes.ResultRead) -> Any:
        """Reads results of a group."""
        return await self._run(
            message.group, self.kept.results, message.group, message.first
        )

    async def state(self, message: ttypes.GroupAsk) -> Any:
        """Returns which items of a group have results."""
        return await self._run(message.group, self.kept.state, message.group)

    async def missing(self, message: ttypes.GroupsAsk) -> Any:
        """Returns those of some groups that are not here."""
        found = await to_thread.run_sync(self.kept.missing, message.groups)
        return ttypes.GroupsMissing(groups=found)

    async def delete(self, message: ttypes.SegmentDelete) -> None:
        """Deletes a group."""
        await self._run(
            message.group, self.kept.delete, message.group, message.epoch
        )


def register(daemon: program.Daemon, service: Service) -> None:
    """Registers the store's peer methods."""
    server = daemon.server
    server.on("segment_write", ttypes.SegmentWrite, service.write)
    server.on("segment_link", ttypes.SegmentLink, service.link)
    server.on("segment_read", ttypes.SegmentRead, service.read)
    server.on("segment_seal", ttypes.SegmentSeal, service.seal)
    server.on("result_append", ttypes.ResultAppend, service.append)
    server.on("result_read", ttypes.ResultRead, service.results)
    server.on("group_state", ttypes.GroupAsk, service.state)
    server.on("groups_missing", ttypes.GroupsAsk, service.missing)
    server.on("segment_delete", ttypes.SegmentDelete, service.delete)


async def run(loaded: settings.Store) -> None:
    """Runs the store until it is told to stop."""
    async with program.daemon(loaded, name="ibisknot-store") as daemon:
        kept = segments.Segments(pathlib.Path(loaded.data_folder))
        damaged = await to_thread.run_sync(kept.check)
        register(daemon, Service(kept))
        logs.event("store_ready", folder=loaded.data_folder, damaged=damaged)
        await daemon.serve([])


def main() -> None:
    """Entry point of the program."""
    arguments = cappa.parse(Arguments, version=ibisknot.__version__)
    loaded = settings.load_or_exit(
        arguments.settings,
        settings.Store,
        check_only=arguments.check_settings,
    )
    program.run(run, loaded)
