"""Writes the progress of a worker's items to its disk, and reads it back."""

from collections.abc import Callable
import contextlib
import dataclasses
import os
import pathlib
import time

import anyio
from anyio import to_thread

from ibisknot import batch_records
from ibisknot import batch_task
from ibisknot import logs
from ibisknot import metrics
from ibisknot import timer
from ibisknot.progress import records

FILE_NAMES = ("items-0.log", "items-1.log")
"""Two files in turn, so that one of them is always whole."""
FLUSH_PERIOD_S = 0.25
MAX_FILE_BYTES = 8 * 1024 * 1024
"""Size at which the other file is begun with what is still needed.

It is twice of that if this is more, because each flush would otherwise write
all of it again.
"""
MAX_AGE_S = 120.0
"""Older progress is not used: the endpoints that made it may be gone."""
DISK_PAUSE_S = 5.0
"""Pause after the disk has refused a write."""


@dataclasses.dataclass(slots=True)
class Tracked:
    """An item whose progress is kept.

    Attributes:
        task: The item's task.
        written_events: Number of its events in the current file.
        written_resets: The task's `output_resets` at these events.
        is_done: Whether its run has succeeded.
        is_done_written: Whether the current file says so.
    """

    task: batch_task.Task
    written_events: int = 0
    written_resets: int = 0
    is_done: bool = False
    is_done_written: bool = False


class Journal:
    """The progress of the items of one worker.

    Attributes:
        folder: Folder of the files.
        is_open: Returns whether a job still runs here.
        unix_s: Returns the Unix time in seconds.
        saved: Progress that was read at the start and not yet used.
        tracked: The items that are kept, by job and index.
        file_index: Index of the current file in `FILE_NAMES`.
        file_bytes: Size of the current file.
        max_bytes: Size of the current file at which the other one is begun.
        begins_file: Whether the next write begins the current file anew.
        paused_until_s: Monotonic time before which the disk is not used.
        is_writing: Whether a write is in progress.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        is_open: Callable[[str], bool],
        *,
        unix_s: Callable[[], float] = time.time,
    ) -> None:
        self.folder = folder
        self.is_open = is_open
        self.unix_s = unix_s
        self.saved: dict[records.Key, records.Progress] = {}
        self.tracked: dict[records.Key, Tracked] = {}
        self.file_index = 0
        self.file_bytes = 0
        self.max_bytes = MAX_FILE_BYTES
        self.begins_file = True
        self.paused_until_s = 0.0
        self.is_writing = False

    def start(self, clock: timer.Timer) -> None:
        """Reads what an earlier process has left, and starts the writes."""
        self.load()
        clock.subscribe("item_progress", FLUSH_PERIOD_S, self.flush)

    def load(self) -> None:
        """Reads both files, the older one first.

        The file that was changed last is kept until the other one is whole.
        """
        paths = [self.folder / name for name in FILE_NAMES]
        found = [p for p in paths if p.exists()]
        found.sort(key=lambda p: p.stat().st_mtime_ns)
        oldest_ms = (self.unix_s() - MAX_AGE_S) * 1000
        for path in found:
            with contextlib.suppress(OSError):
                for record in records.decode(path.read_bytes()):
                    records.apply(self.saved, record)
        self.saved = {
            key: progress
            for key, progress in self.saved.items()
            if progress.written_ms >= oldest_ms
        }
        if found:
            self.file_index = 1 - FILE_NAMES.index(found[-1].name)
        logs.event("item_progress_read", items=len(self.saved))

    def track(self, task: batch_task.Task) -> None:
        """Keeps the progress of an item, and gives it what was saved."""
        key = (task.job_id, task.index)
        saved = self.saved.pop(key, None)
        self.tracked[key] = Tracked(task)
        if saved is None or saved.item_id != task.item.id:
            return
        batch_task.restore(
            task,
            saved.events,
            last_event_id=saved.last_event_id,
            service=saved.service,
            software_version=saved.software_version,
            is_complete=saved.is_complete,
        )
        self.tracked[key].is_done = saved.is_complete
        metrics.ITEMS_RESTORED.inc({"complete": str(saved.is_complete)})

    def finish(
        self, task: batch_task.Task, result: batch_records.ItemResult | None
    ) -> None:
        """Records how an item's task ended; None means it was cancelled."""
        key = (task.job_id, task.index)
        tracked = self.tracked.get(key)
        if tracked is None or tracked.task is not task:
            return
        if result is not None and result.state == batch_records.DONE:
            tracked.is_done = True
        else:
            del self.tracked[key]

    async def flush(self, now: float) -> None:
        """Timer callback: appends what the items received since the last."""
        if self.is_writing or now < self.paused_until_s:
            return
        for key in [k for k in self.tracked if not self.is_open(k[0])]:
            del self.tracked[key]
        data = records.encode(self._new_records())
        if not data:
            return
        self.is_writing = True
        path = self.folder / FILE_NAMES[self.file_index]
        try:
            # A disk may hang for seconds; the event loop must go on.
            await to_thread.run_sync(_append, path, data, self.begins_file)
        except OSError as error:
            self.paused_until_s = now + DISK_PAUSE_S
            self._begin_other_file()
            logs.event(
                "item_progress_not_written",
                level="warning",
                cause=repr(error),
            )
            return
        finally:
            self.is_writing = False
        if self.begins_file:
            self.max_bytes = max(MAX_FILE_BYTES, 2 * len(data))
        self.file_bytes += len(data)
        self.begins_file = False
        if self.file_bytes > self.max_bytes:
            self._begin_other_file()

    def _begin_other_file(self) -> None:
        """Makes the next write begin the other file with all progress."""
        self.file_index = 1 - self.file_index
        self.file_bytes = 0
        self.begins_file = True
        for tracked in self.tracked.values():
            tracked.written_events = 0
            tracked.is_done_written = False

    def _new_records(self) -> list[records.Record]:
        """Returns what the current file lacks, and counts it as written."""
        written_ms = int(self.unix_s() * 1000)
        new = []
        for (job_id, index), tracked in self.tracked.items():
            record = _new_record(job_id, index, tracked, written_ms)
            if record is not None:
                new.append(record)
        return new


def _new_record(
    job_id: str, index: int, tracked: Tracked, written_ms: int
) -> records.Record | None:
    """Returns what the file lacks of one item, or None."""
    task = tracked.task
    software = task.software_version
    count = len(task.event_data)
    if software is None or task.last_event_id is None:
        return None
    if task.output_resets != tracked.written_resets:
        tracked.written_events = 0
    if (
        count == tracked.written_events
        and tracked.is_done == tracked.is_done_written
    ):
        return None
    record = records.Record(
        job_id,
        index,
        task.item.id,
        task.service,
        software,
        tracked.written_events,
        task.event_data[tracked.written_events :],
        task.last_event_id,
        tracked.is_done,
        written_ms,
    )
    tracked.written_events = count
    tracked.written_resets = task.output_resets
    tracked.is_done_written = tracked.is_done
    return record


def _append(path: pathlib.Path, data: bytes, begins_file: bool) -> None:
    """Appends data to a file, or begins it anew, and syncs it."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
    if begins_file:
        flags |= os.O_TRUNC
    descriptor = os.open(path, flags, 0o600)
    try:
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


async def open_journal(
    data_folder: str, is_open: Callable[[str], bool]
) -> Journal | None:
    """Returns the journal of a worker, or None if it cannot use the disk."""
    folder = pathlib.Path(data_folder) / "progress"
    try:
        await anyio.Path(folder).mkdir(parents=True, exist_ok=True)
    except OSError as error:
        logs.event("item_progress_not_kept", level="warning", cause=repr(error))
        return None
    return Journal(folder, is_open)
