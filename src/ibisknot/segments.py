"""Write-once segments of batch items, and the results of the items, on disk.

A segment group is the folder of one file or job. It holds segments, each a
file of framed records named by its index, one append-only log of results, and
the epoch that may append to the log. Sealing a group with a higher epoch
fences former owners: their appends are refused from then on. A torn tail of
the log is truncated; damage before it is skipped and reported.
"""

from collections.abc import Callable
import errno
import os
import pathlib
import re
import shutil
import threading

import xxhash

from ibisknot import errors
from ibisknot import result_log
from ibisknot.gen.segments import ttypes

GROUP_NAME_PATTERN = re.compile(r"[A-Za-z0-9-]{1,80}")
RESULT_PAGE_LIMIT_BYTES = 2 * 1024 * 1024
"""A page of results ends with the result that reaches this limit."""
RESULT_PAGE_LIMIT_COUNT = 2000
CACHED_LOGS_LIMIT = 256
ITEM_INDEX_LIMIT = 1_000_000
"""Item indexes are below this limit."""
STAGED_PREFIX = ".staged-"
DELETED_PREFIX = ".deleted-"

FaultHook = Callable[[str], None]
"""Called with the name of each write step; tests raise or exit in it."""


def no_fault(_point: str) -> None:
    """Does nothing; the fault hook outside tests."""


def sync_folder(folder: pathlib.Path) -> None:
    """Fsyncs a folder, so that new and removed names in it are durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def segment_digest(items: list[bytes]) -> str:
    """Returns the digest of a segment's items as hexadecimal text.

    >>> segment_digest([b"a"]) == segment_digest([b"a"])
    True
    """
    hasher = xxhash.xxh3_128()
    for item in items:
        hasher.update(len(item).to_bytes(8, "big"))
        hasher.update(item)
    return hasher.hexdigest()


class SegmentStore:
    """The segment groups under one data folder.

    Calls block on the disk. Calls that change one group must not run at the
    same time; the `ibisknot-store` service serializes them. Folders that an
    interrupted link or delete left are removed at the start.

    Attributes:
        folder: The data folder.
        fault_hook: Called with the name of each write step.
        cache_lock: Guards `cached_logs`.
        cached_logs: Result logs by group name, the one used last at the end.
    """

    def __init__(
        self, folder: pathlib.Path, *, fault_hook: FaultHook = no_fault
    ) -> None:
        self.folder = folder
        self.fault_hook = fault_hook
        self.cache_lock = threading.Lock()
        self.cached_logs: dict[str, result_log.ResultLog] = {}
        self.folder.mkdir(parents=True, exist_ok=True)
        for leftover in self.folder.glob(f"{DELETED_PREFIX}*"):
            shutil.rmtree(leftover)
        for leftover in self.folder.glob(f"{STAGED_PREFIX}*"):
            shutil.rmtree(leftover)

    def group_path(self, group: str) -> pathlib.Path:
        """Returns the folder of a group, whether it exists or not.

        Raises:
            SegmentError: The name is invalid.
        """
        if not GROUP_NAME_PATTERN.fullmatch(group):
            raise errors.SegmentError(f"invalid group name {group!r}")
        return self.folder / group

    def group_names(self) -> list[str]:
        """Returns the names of all groups."""
        folder_names = [
            path.name for path in self.folder.iterdir() if path.is_dir()
        ]
        return sorted(
            name for name in folder_names if GROUP_NAME_PATTERN.fullmatch(name)
        )

    def missing_groups(self, groups: list[str]) -> list[str]:
        """Returns those of the given groups that have no folder."""
        return [
            group for group in groups if not self.group_path(group).is_dir()
        ]

    def existing_group_path(self, group: str) -> pathlib.Path:
        """Returns the folder of a group that must exist.

        Raises:
            SegmentError: The name is invalid.
            SegmentMissingError: The group does not exist.
        """
        path = self.group_path(group)
        if not path.is_dir():
            raise errors.SegmentMissingError(f"group {group} is missing")
        return path

    def write_segment(self, group: str, index: int, items: list[bytes]) -> str:
        """Writes and fsyncs a segment; returns the digest of its items.

        An equal rewrite is accepted and writes nothing.

        Raises:
            SegmentError: The segment exists with other items.
            DiskFullError: The disk is full; nothing was written.
        """
        folder = self.group_path(group)
        path = folder / _segment_file_name(index)
        items_digest = segment_digest(items)
        if path.exists():
            if segment_digest(self.read_segment(group, index)) != items_digest:
                message = f"segment {index} of {group} has other items"
                raise errors.SegmentError(message)
            return items_digest
        partial_path = path.with_suffix(".partial")
        try:
            folder.mkdir(exist_ok=True)
            with partial_path.open("wb") as file:
                self.fault_hook("items-written")
                for item in items:
                    file.write(result_log.encode_frame(item))
                file.flush()
                self.fault_hook("items-flushed")
                os.fsync(file.fileno())
            self.fault_hook("items-synced")
            partial_path.rename(path)
            self.fault_hook("items-renamed")
            sync_folder(folder)
            sync_folder(self.folder)
        except OSError as error:
            # The rename may be visible before it is durable. The name is
            # removed again, so that a refused write leaves nothing.
            path.unlink(missing_ok=True)
            partial_path.unlink(missing_ok=True)
            raise disk_error(error) from None
        return items_digest

    def read_segment(self, group: str, index: int) -> list[bytes]:
        """Returns a segment's items.

        Raises:
            SegmentMissingError: The segment is missing or damaged; the
                caller has to read another copy.
        """
        path = self.existing_group_path(group) / _segment_file_name(index)
        if not path.exists():
            message = f"segment {index} of {group} is missing"
            raise errors.SegmentMissingError(message)
        items: list[bytes] = []
        with path.open("rb") as file:
            scan_result = result_log.scan(
                file, lambda _, body: items.append(body)
            )
        if scan_result.damaged_bytes or scan_result.torn_bytes:
            message = f"segment {index} of {group} is damaged"
            raise errors.SegmentMissingError(message)
        return items

    def count_segments(self, group: str) -> int:
        """Returns the number of a group's segments."""
        return sum(1 for _ in self.existing_group_path(group).glob("*.items"))

    def link_segments(self, source: str, target: str, count: int) -> None:
        """Creates a group from hard links to another's segments, atomically.

        Args:
            source: Group that has the segments.
            target: Group to create; nothing is done if it exists already.
            count: Number of segments.

        Raises:
            SegmentError: The target exists with another number of segments.
            SegmentMissingError: The source has fewer than `count` segments.
            DiskFullError: The disk is full.
        """
        target_path = self.group_path(target)
        if target_path.is_dir():
            if self.count_segments(target) != count:
                raise errors.SegmentError(f"group {target} has other segments")
            return
        source_path = self.existing_group_path(source)
        staged_path = self.folder / f"{STAGED_PREFIX}{target}"
        try:
            if staged_path.exists():
                shutil.rmtree(staged_path)
            staged_path.mkdir()
            for index in range(count):
                name = _segment_file_name(index)
                os.link(source_path / name, staged_path / name)
            self.fault_hook("links-made")
            sync_folder(staged_path)
            staged_path.rename(target_path)
            self.fault_hook("links-renamed")
            sync_folder(self.folder)
        except FileNotFoundError:
            message = f"group {source} has fewer than {count} segments"
            raise errors.SegmentMissingError(message) from None
        except OSError as error:
            raise disk_error(error) from None

    def results_log(self, group: str) -> result_log.ResultLog:
        """Returns a group's result log, loaded unless it is cached.

        Raises:
            SegmentMissingError: The group does not exist.
        """
        with self.cache_lock:
            log = self.cached_logs.pop(group, None)
        if log is None:
            log = result_log.load(self.existing_group_path(group))
        with self.cache_lock:
            self.cached_logs[group] = log
            while len(self.cached_logs) > CACHED_LOGS_LIMIT:
                self.cached_logs.pop(next(iter(self.cached_logs)))
        return log

    def find_damaged_groups(self) -> list[str]:
        """Loads every result log; returns the groups whose log is damaged.

        A torn tail, which `result_log.load` truncates, is no damage.
        """
        damaged = []
        for group in self.group_names():
            if self.results_log(group).damaged_bytes:
                damaged.append(group)
        return damaged

    def seal_group(self, group: str, epoch: int) -> None:
        """Refuses later appends with a lower epoch, durably.

        Raises:
            FencedError: A higher epoch has sealed the group.
            SegmentMissingError: The group does not exist.
            DiskFullError: The disk is full.
        """
        folder = self.existing_group_path(group)
        log = self.results_log(group)
        if epoch < log.epoch:
            message = f"group {group} is sealed by epoch {log.epoch}"
            raise errors.FencedError(message)
        if epoch == log.epoch:
            return
        path = folder / result_log.EPOCH_FILE_NAME
        partial_path = path.with_suffix(".partial")
        try:
            with partial_path.open("w", encoding="ascii") as file:
                file.write(str(epoch))
                file.flush()
                os.fsync(file.fileno())
            self.fault_hook("epoch-synced")
            partial_path.rename(path)
            self.fault_hook("epoch-renamed")
            sync_folder(folder)
        except OSError as error:
            self.evict_log(group)
            raise disk_error(error) from None
        log.epoch = epoch

    def append_results(
        self,
        group: str,
        batches: list[tuple[int, list[ttypes.Result]]],
    ) -> list[errors.IbisknotError | None]:
        """Appends results with one fsync; the first result of an item stays.

        Args:
            group: Name of the group.
            batches: Pairs of the epoch of the sender and its results.

        Returns:
            For each batch None, a FencedError if the group is sealed by
            another epoch, or a SegmentError if an item index is invalid.

        Raises:
            DiskFullError: The disk is full; nothing was recorded.
            SegmentMissingError: The group does not exist.
        """
        folder = self.existing_group_path(group)
        log = self.results_log(group)
        outcomes: list[errors.IbisknotError | None] = []
        new_results: dict[int, ttypes.Result] = {}
        for epoch, results in batches:
            outcome = _append_error(group, log, epoch, results)
            outcomes.append(outcome)
            if outcome is None:
                log.extend_index(1 + max((r.index for r in results), default=0))
                offsets_plus_one = log.offsets_plus_one
                for result in results:
                    if not offsets_plus_one[result.index]:
                        new_results.setdefault(result.index, result)
        if new_results:
            try:
                log.append(folder, list(new_results.values()), self.fault_hook)
            except OSError as error:
                self.evict_log(group)
                log.truncate_to_durable(folder)
                raise disk_error(error) from None
        return outcomes

    def read_results(self, group: str, first_index: int) -> ttypes.Results:
        """Returns a page of results in item order, from an item on.

        Raises:
            SegmentMissingError: The group does not exist.
        """
        log = self.results_log(group)
        page = log.read_page(
            self.existing_group_path(group),
            first_index,
            RESULT_PAGE_LIMIT_COUNT,
            RESULT_PAGE_LIMIT_BYTES,
        )
        return ttypes.Results(results=page[0], next=page[1])

    def group_state(self, group: str) -> ttypes.GroupState:
        """Returns which items have results, and which of them are errors.

        Raises:
            SegmentMissingError: The group does not exist.
        """
        log = self.results_log(group)
        return ttypes.GroupState(
            epoch=log.epoch,
            segments=self.count_segments(group),
            done=log.done_bits(),
            failed=bytes(log.failed_bits),
        )

    def evict_log(self, group: str) -> None:
        """Removes a group's result log from the cache."""
        with self.cache_lock:
            self.cached_logs.pop(group, None)

    def delete_group(self, group: str, epoch: int) -> None:
        """Deletes a group; nothing is done if it does not exist.

        Raises:
            FencedError: A higher epoch has sealed the group.
        """
        path = self.group_path(group)
        if not path.is_dir():
            return
        log = self.results_log(group)
        if epoch < log.epoch:
            message = f"group {group} is sealed by epoch {log.epoch}"
            raise errors.FencedError(message)
        self.evict_log(group)
        deleted_path = self.folder / f"{DELETED_PREFIX}{group}"
        path.rename(deleted_path)
        self.fault_hook("delete-renamed")
        shutil.rmtree(deleted_path)
        sync_folder(self.folder)


def _segment_file_name(index: int) -> str:
    return f"{index:06d}.items"


def _append_error(
    group: str,
    log: result_log.ResultLog,
    epoch: int,
    results: list[ttypes.Result],
) -> errors.IbisknotError | None:
    """Returns why an append is refused, or None."""
    if epoch != log.epoch:
        message = f"group {group} accepts only appends of epoch {log.epoch}"
        return errors.FencedError(message)
    indexes = [result.index for result in results]
    if indexes and not (min(indexes) >= 0 and max(indexes) < ITEM_INDEX_LIMIT):
        return errors.SegmentError("an item index is negative or too large")
    return None


def disk_error(error: OSError) -> errors.IbisknotError:
    """Returns the typed error for a failed disk operation."""
    if error.errno in (errno.ENOSPC, errno.EDQUOT):
        return errors.DiskFullError("the disk is full")
    return errors.SegmentError(f"disk operation failed: {error}")
