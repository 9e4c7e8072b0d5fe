"""Write-once segments of items, and their results, under a data folder.

A group is the folder of one file or job. It holds numbered segments, each a
file of framed records, one append-only log of results, and the epoch that may
append to it. A torn tail of the log is cut; damage in its middle is passed
over and reported.
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

NAME = re.compile(r"[A-Za-z0-9-]{1,80}")
READ_BYTES = 2 * 1024 * 1024
READ_RESULTS = 2000
OPEN_GROUPS = 256
MAXIMUM_INDEX = 1_000_000
STAGED = ".staged-"
DELETED = ".deleted-"

Fault = Callable[[str], None]
"""Called with the name of each write step; tests make it fail or exit."""


def no_fault(_point: str) -> None:
    """Lets every write step pass."""


def sync_folder(folder: pathlib.Path) -> None:
    """Makes the names in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def digest(items: list[bytes]) -> str:
    """Returns a digest of a segment's items.

    >>> digest([b"a"]) == digest([b"a"])
    True
    """
    state = xxhash.xxh3_128()
    for item in items:
        state.update(len(item).to_bytes(8, "big"))
        state.update(item)
    return state.hexdigest()


class Segments:
    """The groups under one data folder. Its calls block on the disk.

    Calls that change one group must follow each other; the store's service
    sees to that.
    """

    def __init__(
        self, folder: pathlib.Path, *, fault: Fault = no_fault
    ) -> None:
        self.folder = folder
        self.fault = fault
        self.lock = threading.Lock()
        self.logs: dict[str, result_log.Log] = {}
        self.folder.mkdir(parents=True, exist_ok=True)
        for left in self.folder.glob(f"{DELETED}*"):
            shutil.rmtree(left)
        for left in self.folder.glob(f"{STAGED}*"):
            shutil.rmtree(left)

    def path(self, group: str) -> pathlib.Path:
        """Returns a group's folder.

        Raises:
            SegmentError: The name is invalid.
        """
        if not NAME.fullmatch(group):
            raise errors.SegmentError(f"invalid group name {group!r}")
        return self.folder / group

    def groups(self) -> list[str]:
        """Returns the names of all groups."""
        found = [path.name for path in self.folder.iterdir() if path.is_dir()]
        return sorted(name for name in found if NAME.fullmatch(name))

    def missing(self, groups: list[str]) -> list[str]:
        """Returns those of some groups that are not here."""
        return [group for group in groups if not self.path(group).is_dir()]

    def existing(self, group: str) -> pathlib.Path:
        """Returns the folder of a group that is here.

        Raises:
            SegmentMissingError: It is not.
        """
        path = self.path(group)
        if not path.is_dir():
            raise errors.SegmentMissingError(f"group {group} is missing")
        return path

    def write(self, group: str, number: int, items: list[bytes]) -> str:
        """Writes and fsyncs a segment; returns the digest of its items.

        Raises:
            SegmentError: The segment exists with other items.
            DiskFullError: The disk is full; nothing was written.
        """
        folder = self.path(group)
        path = folder / _items_name(number)
        wanted = digest(items)
        if path.exists():
            if digest(self.read(group, number)) != wanted:
                message = f"segment {number} of {group} differs"
                raise errors.SegmentError(message)
            return wanted
        temporary = path.with_suffix(".partial")
        try:
            folder.mkdir(exist_ok=True)
            with temporary.open("wb") as file:
                self.fault("items-written")
                for item in items:
                    file.write(result_log.frame(item))
                file.flush()
                self.fault("items-flushed")
                os.fsync(file.fileno())
            self.fault("items-synced")
            temporary.rename(path)
            self.fault("items-renamed")
            sync_folder(folder)
            sync_folder(self.folder)
        except OSError as error:
            # The name may be visible before it is durable; it is taken back,
            # so that a refused write leaves nothing.
            path.unlink(missing_ok=True)
            temporary.unlink(missing_ok=True)
            raise disk_error(error) from None
        return wanted

    def read(self, group: str, number: int) -> list[bytes]:
        """Returns a segment's items.

        Raises:
            SegmentMissingError: The segment is missing or damaged; another
                copy has to be read.
        """
        path = self.existing(group) / _items_name(number)
        if not path.exists():
            message = f"segment {number} of {group} is missing"
            raise errors.SegmentMissingError(message)
        items: list[bytes] = []
        with path.open("rb") as file:
            scan = result_log.scan(file, lambda _, body: items.append(body))
        if scan.damaged or scan.torn:
            message = f"segment {number} of {group} is damaged"
            raise errors.SegmentMissingError(message)
        return items

    def count(self, group: str) -> int:
        """Returns the number of a group's segments."""
        return sum(1 for _ in self.existing(group).glob("*.items"))

    def link(self, source: str, target: str, count: int) -> None:
        """Gives the segments of a group to another, atomically.

        Raises:
            SegmentMissingError: The source has not all `count` segments.
        """
        path = self.path(target)
        if path.is_dir():
            if self.count(target) != count:
                raise errors.SegmentError(f"group {target} differs")
            return
        origin = self.existing(source)
        staged = self.folder / f"{STAGED}{target}"
        try:
            if staged.exists():
                shutil.rmtree(staged)
            staged.mkdir()
            for number in range(count):
                name = _items_name(number)
                os.link(origin / name, staged / name)
            self.fault("links-made")
            sync_folder(staged)
            staged.rename(path)
            self.fault("links-renamed")
            sync_folder(self.folder)
        except FileNotFoundError:
            message = f"group {source} has fewer than {count} segments"
            raise errors.SegmentMissingError(message) from None
        except OSError as error:
            raise disk_error(error) from None

    def log(self, group: str) -> result_log.Log:
        """Returns a group's results, read from the disk at first use."""
        with self.lock:
            known = self.logs.pop(group, None)
        if known is None:
            known = result_log.load(self.existing(group))
        with self.lock:
            self.logs[group] = known
            while len(self.logs) > OPEN_GROUPS:
                self.logs.pop(next(iter(self.logs)))
        return known

    def check(self) -> list[str]:
        """Reads every log; returns the groups with damage in the middle."""
        found = []
        for group in self.groups():
            if self.log(group).damaged:
                found.append(group)
        return found

    def seal(self, group: str, epoch: int) -> None:
        """Refuses later appends with a lower epoch, durably.

        Raises:
            FencedError: A higher epoch has sealed the group.
            SegmentMissingError: The group is not here.
        """
        folder = self.existing(group)
        known = self.log(group)
        if epoch < known.epoch:
            message = f"group {group} is sealed by epoch {known.epoch}"
            raise errors.FencedError(message)
        if epoch == known.epoch:
            return
        path = folder / result_log.EPOCH_NAME
        temporary = path.with_suffix(".partial")
        try:
            with temporary.open("w", encoding="ascii") as file:
                file.write(str(epoch))
                file.flush()
                os.fsync(file.fileno())
            self.fault("epoch-synced")
            temporary.rename(path)
            self.fault("epoch-renamed")
            sync_folder(folder)
        except OSError as error:
            self.forget(group)
            raise disk_error(error) from None
        known.epoch = epoch

    def append(
        self,
        group: str,
        batches: list[tuple[int, list[ttypes.Result]]],
    ) -> list[errors.IbisknotError | None]:
        """Appends results with one fsync; the first result of an item stays.

        Args:
            group: The group's name.
            batches: Each an epoch and the results that come with it.

        Returns:
            For each batch None, or a FencedError when another epoch holds
            the group.

        Raises:
            DiskFullError: The disk is full; nothing was recorded.
            SegmentMissingError: The group is not here.
        """
        folder = self.existing(group)
        known = self.log(group)
        outcomes: list[errors.IbisknotError | None] = []
        fresh: dict[int, ttypes.Result] = {}
        for epoch, results in batches:
            outcome = _refusal(group, known, epoch, results)
            outcomes.append(outcome)
            if outcome is None:
                known.grow(1 + max((r.index for r in results), default=0))
                places = known.places
                for result in results:
                    if not places[result.index]:
                        fresh.setdefault(result.index, result)
        if fresh:
            try:
                known.append(folder, list(fresh.values()), self.fault)
            except OSError as error:
                self.forget(group)
                known.undo(folder)
                raise disk_error(error) from None
        return outcomes

    def results(self, group: str, first: int) -> ttypes.Results:
        """Returns results in item order, as many as fit into an answer."""
        known = self.log(group)
        found = known.read(
            self.existing(group), first, READ_RESULTS, READ_BYTES
        )
        return ttypes.Results(results=found[0], next=found[1])

    def state(self, group: str) -> ttypes.GroupState:
        """Returns which items have results."""
        known = self.log(group)
        return ttypes.GroupState(
            epoch=known.epoch,
            segments=self.count(group),
            done=known.done_bits(),
            failed=bytes(known.failed),
        )

    def forget(self, group: str) -> None:
        """Drops what is in memory of a group; it is read again when used."""
        with self.lock:
            self.logs.pop(group, None)

    def delete(self, group: str, epoch: int) -> None:
        """Removes a group.

        Raises:
            FencedError: A higher epoch has sealed the group.
        """
        path = self.path(group)
        if not path.is_dir():
            return
        known = self.log(group)
        if epoch < known.epoch:
            message = f"group {group} is sealed by epoch {known.epoch}"
            raise errors.FencedError(message)
        self.forget(group)
        gone = self.folder / f"{DELETED}{group}"
        path.rename(gone)
        self.fault("delete-renamed")
        shutil.rmtree(gone)
        sync_folder(self.folder)


def _items_name(number: int) -> str:
    return f"{number:06d}.items"


def _refusal(
    group: str,
    known: result_log.Log,
    epoch: int,
    results: list[ttypes.Result],
) -> errors.IbisknotError | None:
    if epoch != known.epoch:
        message = f"group {group} is held by epoch {known.epoch}"
        return errors.FencedError(message)
    indexes = [result.index for result in results]
    if indexes and not (min(indexes) >= 0 and max(indexes) < MAXIMUM_INDEX):
        return errors.SegmentError("an item index is out of range")
    return None


def disk_error(error: OSError) -> errors.IbisknotError:
    """Returns the typed error for a failed disk operation."""
    if error.errno in (errno.ENOSPC, errno.EDQUOT):
        return errors.DiskFullError("the disk is full")
    return errors.SegmentError(f"the disk failed: {error}")
