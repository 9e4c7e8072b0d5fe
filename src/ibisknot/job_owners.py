"""Chooses the worker that runs a batch job."""

import xxhash

from ibisknot import deployment
from ibisknot import fleetview

MIN_WORKERS_BESIDE_SCHEDULER = 5
"""Number of workers from which the active scheduler runs no batch jobs."""


def worker_names(view: fleetview.View) -> list[str]:
    """Returns the names of the fleet's workers."""
    return [
        m.name for m in view.members.values() if m.kind == deployment.WORKER
    ]


def candidates(workers: list[str]) -> list[str]:
    """Returns the workers that may be given jobs.

    The first one in order of precedence grants the tickets of the whole fleet,
    so a large fleet gives it no other work.

    >>> candidates(["w-2", "w-1"])
    ['w-2', 'w-1']
    >>> candidates(["w-3", "w-2", "w-1", "w-5", "w-4"])
    ['w-3', 'w-2', 'w-5', 'w-4']
    """
    if len(workers) < MIN_WORKERS_BESIDE_SCHEDULER:
        return workers
    first = min(workers)
    return [name for name in workers if name != first]


def choose_owner(job_id: str, workers: list[str]) -> str:
    """Chooses a job's owner by rendezvous hashing; empty without workers.

    Args:
        job_id: Id of the job.
        workers: Names of all workers that may be chosen.

    >>> choose_owner("j", []), choose_owner("j", ["w-1"])
    ('', 'w-1')
    """
    return max(
        candidates(workers),
        key=lambda name: xxhash.xxh3_64_intdigest(f"{job_id}/{name}".encode()),
        default="",
    )
