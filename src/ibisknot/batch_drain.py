"""Hands over the batch jobs of a worker that stops or is emptied."""

import anyio

from ibisknot import batch_job
from ibisknot import batch_records
from ibisknot import batch_worker
from ibisknot import errors
from ibisknot import job_owners
from ibisknot import logs
from ibisknot import result_listing

POLL_PERIOD_S = 0.15
"""Period at which the worker checks whether it still has work."""


async def drain(worker: batch_worker.Worker, deadline_s: float) -> None:
    """Hands all jobs over and finishes the items that run at endpoints.

    Args:
        worker: The worker, which starts no more jobs and items.
        deadline_s: Monotonic time at which to return.
    """
    worker.is_draining = True
    for job in list(worker.jobs.values()):
        for task in list(job.tasks.values()):
            if not task.is_at_endpoint:
                task.cancel_scope.cancel()
    # A call to the store may take longer than what is left.
    with anyio.move_on_after(deadline_s - worker.clock.now()):
        async with anyio.create_task_group() as task_group:
            for job in list(worker.jobs.values()):
                task_group.start_soon(_hand_over, worker, job)
        while _is_busy(worker):
            await anyio.sleep(POLL_PERIOD_S)
    logs.event(
        "jobs_left",
        jobs=len(worker.jobs),
        items=sum(len(j.tasks) for j in worker.jobs.values()),
    )


def _is_busy(worker: batch_worker.Worker) -> bool:
    return any(j.tasks or j.unwritten for j in worker.jobs.values())


async def _hand_over(worker: batch_worker.Worker, job: batch_job.Job) -> None:
    """Hands over a job, except for the items that run here."""
    others = worker.other_workers(job.progress.meta)
    if not others:
        return
    while True:
        progress = job.progress
        if progress.is_complete():
            return
        if progress.owner != worker.process.name:
            # A write without an answer has been done.
            await worker.notify_owner(progress)
            return
        updated = batch_records.with_new_owner(
            progress,
            owner=job_owners.choose_owner(progress.meta.id, others),
            kept=[*job.tasks, *(i for i, _, _ in job.unwritten)],
            started_ms=worker.entry.own_member.started_ms,
        )
        try:
            if await worker.records.hand_over(job, updated):
                await worker.notify_owner(updated)
                return
            await worker.listing.reload(job)
        except errors.KeyValueError as error:
            logs.event(
                "job_not_handed_over",
                job=progress.meta.id,
                cause=error.message,
            )
            await anyio.sleep(result_listing.STORE_RETRY_PAUSE_S)
            await worker.listing.reload(job)
