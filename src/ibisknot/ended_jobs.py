"""Jobs of which one worker has listed all results, kept for their readers."""

import collections

from ibisknot import batch_job

MAX_JOBS = 256
MAX_BYTES = 16 * 1024 * 1024
"""Memory for the outputs of the jobs that are retained."""


def retain(
    ended: collections.OrderedDict[str, batch_job.Job], job: batch_job.Job
) -> None:
    """Adds a job as the last one; evicts the first ones over the limits."""
    job.items.clear()
    ended[job.progress.meta.id] = job
    while len(ended) > MAX_JOBS or (
        len(ended) > 1 and _memory_bytes(ended) > MAX_BYTES
    ):
        ended.popitem(last=False)


def _memory_bytes(ended: collections.OrderedDict[str, batch_job.Job]) -> int:
    return sum(job.listed.memory_bytes() for job in ended.values())
