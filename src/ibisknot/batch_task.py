"""One item of a batch job that is being run, and its output so far."""

import dataclasses

import anyio

from ibisknot import batch_records
from ibisknot import logs
from ibisknot import serving

LINE_END_BYTES = 1
"""The line feed after the data of each event."""


@dataclasses.dataclass(slots=True)
class Task:
    """One item that is being run, and its state.

    Attributes:
        job_id: Id of the item's job.
        index: Index of the item in its job.
        item: The request to run.
        route_name: Name of the route on which the job was submitted.
        host: Host of that route.
        organisation: The job's organisation.
        submitted_s: Monotonic time at which the job was accepted.
        event_data: Data of the events received so far, in order.
        last_event_id: Id of the last of these events.
        service: Service at which the item runs; empty before the first
            attempt.
        software_version: Version of the software that `event_data` is from;
            None without data.
        stalls: Number of attempts that ended without progress.
        output_bytes: Size of the output so far in UTF-8.
        failures: Number of responses that report a failure of the item.
        output_resets: Number of times that the output was dropped.
        is_complete: Whether `event_data` is the whole output.
        attempts: Number of requests sent to endpoints.
        failed_endpoints: Names of the endpoints to avoid next, because the
            last attempt failed there.
        is_at_endpoint: Whether the item has a ticket and runs there.
        refused_since_s: Monotonic time of the first refusal of a ticket since
            the last one was granted, or None.
        without_route_since_s: Monotonic time since which the route is missing.
        cancel_scope: Cancels the task.
    """

    job_id: str
    index: int
    item: batch_records.Item
    route_name: str
    host: str
    organisation: serving.Organisation
    submitted_s: float
    event_data: list[str] = dataclasses.field(default_factory=list)
    last_event_id: int | None = None
    service: str = ""
    software_version: str | None = None
    stalls: int = 0
    output_bytes: int = 0
    output_resets: int = 0
    is_complete: bool = False
    failures: int = 0
    attempts: int = 0
    failed_endpoints: set[str] = dataclasses.field(default_factory=set)
    is_at_endpoint: bool = False
    refused_since_s: float | None = None
    without_route_since_s: float | None = None
    cancel_scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )


def restore(
    task: Task,
    events: list[str],
    *,
    last_event_id: int,
    service: str,
    software_version: str,
    is_complete: bool,
) -> None:
    """Gives a new task the output that an earlier process received.

    Args:
        task: The task, which has no output yet.
        events: Data of the events received so far, in order.
        last_event_id: Id of the last of them.
        service: Service at which the item ran.
        software_version: Version of the software that made them.
        is_complete: Whether they are the whole output.
    """
    task.event_data = events
    task.output_bytes = sum(len(e.encode()) + LINE_END_BYTES for e in events)
    task.last_event_id = last_event_id
    task.service = service
    task.software_version = software_version
    task.is_complete = is_complete


def done(task: Task) -> batch_records.ItemResult:
    """Returns the result of a task whose output is whole."""
    output = "\n".join(task.event_data)
    return batch_records.ItemResult(task.item.id, batch_records.DONE, output)


def clear_output(task: Task) -> None:
    """Drops the output received so far; the next attempt begins anew."""
    task.output_resets += 1
    task.event_data.clear()
    task.output_bytes = 0
    task.last_event_id = None
    task.software_version = None


def start_again(task: Task, cause: str) -> None:
    """Drops output that no endpoint can continue in time."""
    logs.event(
        "item_started_again",
        job=task.job_id,
        request=task.item.id,
        software=task.software_version,
        last_event=task.last_event_id,
        cause=cause,
    )
    clear_output(task)
