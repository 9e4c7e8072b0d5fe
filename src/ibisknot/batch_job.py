"""State of a batch job at the worker that runs it."""

import dataclasses

import anyio
from anyio import abc

from ibisknot import batch_item
from ibisknot import batch_records


@dataclasses.dataclass(slots=True)
class Job:
    """A job that this worker runs.

    Attributes:
        progress: The job's record as last read or written.
        revision: Store revision of that record.
        items: All items; empty until they are read.
        unwritten: Item index, result and tokens of each unwritten result.
        changed: Set when a task has finished or the job was handed over.
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
    changed: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    cancel_scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )
    tasks: dict[int, batch_item.Task] = dataclasses.field(default_factory=dict)
    task_group: abc.TaskGroup | None = None
