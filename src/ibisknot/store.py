"""`ibisknot-store`: keeps segments on a VM's disk."""

from collections.abc import Callable
import dataclasses
import pathlib
from typing import Annotated
from typing import Any

import anyio
from anyio import to_thread
import cappa

import ibisknot
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


class Service:
    """The store's peer methods."""

    def __init__(self, kept: segments.Segments) -> None:
        self.kept = kept
        self.locks: dict[str, anyio.Lock] = {}

    async def _run(
        self, segment: str, function: Callable[..., Any], *arguments: Any
    ) -> Any:
        """Runs a blocking call; calls on one segment follow each other."""
        lock = self.locks.setdefault(segment, anyio.Lock())
        async with lock:
            return await to_thread.run_sync(function, *arguments)

    async def write(self, message: ttypes.SegmentWrite) -> Any:
        """Writes a segment."""
        found = await self._run(
            message.segment, self.kept.write, message.segment, message.items
        )
        return ttypes.SegmentWritten(digest=found)

    async def read(self, message: ttypes.SegmentRead) -> Any:
        """Reads items of a segment."""

        def read() -> list[bytes]:
            return self.kept.read(
                message.segment, first=message.first, count=message.count
            )

        items = await self._run(message.segment, read)
        return ttypes.SegmentItems(items=items)

    async def seal(self, message: ttypes.SegmentSeal) -> None:
        """Seals a segment."""
        await self._run(
            message.segment, self.kept.seal, message.segment, message.epoch
        )

    async def append(self, message: ttypes.ResultAppend) -> None:
        """Appends results to a segment."""
        await self._run(
            message.segment,
            self.kept.append,
            message.segment,
            message.epoch,
            message.results,
        )

    async def results(self, message: ttypes.ResultRead) -> Any:
        """Reads the results of a segment."""
        found = await self._run(
            message.segment, self.kept.results, message.segment
        )
        return ttypes.Results(results=found)

    async def delete(self, message: ttypes.SegmentDelete) -> None:
        """Deletes a segment."""
        await self._run(message.segment, self.kept.delete, message.segment)


def register(daemon: program.Daemon, service: Service) -> None:
    """Registers the store's peer methods."""
    server = daemon.server
    server.on("segment_write", ttypes.SegmentWrite, service.write)
    server.on("segment_read", ttypes.SegmentRead, service.read)
    server.on("segment_seal", ttypes.SegmentSeal, service.seal)
    server.on("result_append", ttypes.ResultAppend, service.append)
    server.on("result_read", ttypes.ResultRead, service.results)
    server.on("segment_delete", ttypes.SegmentDelete, service.delete)


async def run(loaded: settings.Store) -> None:
    """Runs the store until it is told to stop."""
    async with program.daemon(loaded, name="ibisknot-store") as daemon:
        kept = segments.Segments(pathlib.Path(loaded.data_folder))
        register(daemon, Service(kept))
        logs.event("store_ready", folder=loaded.data_folder)
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
