"""State of a batch job at the worker that runs it."""

import dataclasses
import math
import sys

import anyio
from anyio import abc

from ibisknot import batch_records
from ibisknot import batch_task
from ibisknot import listed_results

LATE_WRITE_S = 10.0
"""Time in which a write without an answer may still take effect."""
MAX_PENDING_WRITE_S = 0.3
"""A write that waits longer for its answer has perhaps been done.

Others may then see its results in the store before this worker knows.
"""


@dataclasses.dataclass(slots=True)
class Job:
    """A job that this worker runs.

    Attributes:
        progress: The job's record as last read or written.
        revision: Store revision of that record.
        items: All items; empty until they are read.
        unwritten: Item index, result and tokens of each unwritten result.
        listed: The listed results, as far as they are known here.
        lease_count: Count of this worker's leases when the record was last
            read or written.
        doubtful_until_s: Monotonic time until which a late write may still
            change the record.
        write_started_s: Monotonic time of the start of a write that has no
            answer yet, or None.
        results_changed: Set when results were listed or the job has stopped
            here; a new event follows.
        changed: Set when a task has finished or the job was handed over.
        max_results_bytes: Bytes of results that one write may hold, fewer
            after the store has refused a write.
        cancel_scope: Cancels everything that runs for the job.
        tasks: Unfinished tasks by item index.
        task_group: Runs the tasks; None until the items are read.
    """

    progress: batch_records.Progress
    revision: int
    items: list[batch_records.Item] = dataclasses.field(default_factory=list)
    unwritten: list[tuple[int, batch_records.ItemResult, int]] = (
        dataclasses.field(default_factory=list)
    )
    listed: listed_results.ListedResults = dataclasses.field(
        default_factory=listed_results.ListedResults
    )
    lease_count: int = 0
    doubtful_until_s: float = math.inf
    write_started_s: float | None = None
    results_changed: anyio.Event = dataclasses.field(
        default_factory=anyio.Event
    )
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    max_results_bytes: int = sys.maxsize
    cancel_scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )
    tasks: dict[int, batch_task.Task] = dataclasses.field(default_factory=dict)
    task_group: abc.TaskGroup | None = None


def runners(progress: batch_records.Progress) -> set[str]:
    """Returns the workers that run some or all of a job's items."""
    return {progress.owner, progress.kept_by} - {""}


def runs_at(progress: batch_records.Progress, worker: str) -> bool:
    """Returns whether a worker runs some or all of a job's items."""
    return worker in runners(progress)


def is_only_writer(
    job: Job, *, worker: str, lease_count: int, now: float
) -> bool:
    """Returns whether only this worker can have changed a job's record.

    It holds while the worker's entry is in the store, because another worker
    takes the job over only without that entry.

    Args:
        job: The job.
        worker: Name of this worker.
        lease_count: Count of the leases of its entry.
        now: Monotonic time in seconds.
    """
    progress = job.progress
    started_s = job.write_started_s
    if started_s is not None and now - started_s > MAX_PENDING_WRITE_S:
        return False
    return (
        progress.owner == worker
        and not progress.closed
        and not progress.kept
        and job.lease_count == lease_count
        and now >= job.doubtful_until_s
    )


def has_all_results(job: Job) -> bool:
    """Returns whether the results of all items are known here."""
    return len(job.listed.results) >= job.progress.meta.total


def notify_readers(job: Job) -> None:
    """Wakes the readers that wait for results of a job."""
    job.results_changed.set()
    job.results_changed = anyio.Event()


def record_own_write(
    job: Job, progress: batch_records.Progress, revision: int, lease_count: int
) -> None:
    """Records a successful write, which voids the earlier ones.

    Args:
        job: The job.
        progress: The record that was written.
        revision: Store revision of the write.
        lease_count: Count of this worker's leases before the write.
    """
    job.progress = progress
    job.revision = revision
    job.lease_count = lease_count
    job.doubtful_until_s = -math.inf
    notify_readers(job)
