"""Chooses the worker that runs a batch job."""

import xxhash

from ibisknot import deployment
from ibisknot import fleetview


def worker_names(view: fleetview.View) -> list[str]:
    """Returns the names of the fleet's workers."""
    return [
        m.name for m in view.members.values() if m.kind == deployment.WORKER
    ]


def choose_owner(job_id: str, workers: list[str]) -> str:
    """Chooses a job's owner by rendezvous hashing; empty without workers.

    >>> choose_owner("j", []), choose_owner("j", ["w-1"])
    ('', 'w-1')
    """
    return max(
        workers,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{job_id}/{name}".encode()),
        default="",
    )
