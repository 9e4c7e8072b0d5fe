"""Chooses the worker that runs a batch job, and notifies it."""

import random

import anyio
import xxhash

from ibisknot import deployment
from ibisknot import errors
from ibisknot import fleetview
from ibisknot import logs
from ibisknot import peer
from ibisknot import regions
from ibisknot.gen.fleet import ttypes

MIN_POLL_PERIOD_S = 1.5
MAX_FLEET_POLLS_PER_S = 2.8
"""Listings of the open jobs by all workers together.

A listing finds what a lost notification has missed.
"""
FIRST_POLL_SPREAD = 0.5
"""Largest deviation of the second listing from the period, as a fraction."""
POLL_SPREAD = 0.1
"""Largest deviation of later listings from the period, as a fraction."""
NOTIFY_TIMEOUT_S = 0.3
NOTIFY_ATTEMPTS = 5
NOTIFY_RETRY_PAUSE_S = 0.2
END_NOTIFY_ATTEMPTS = 40
"""Attempts to notify a member of a job's end; its items must not go on."""
MAX_NOTIFIED_BYTES = 256 * 1024
"""The owner reads the items of a larger job from the store."""
MIN_WORKERS_BESIDE_SCHEDULER = 5
"""Number of workers from which the active scheduler runs no batch jobs."""


def worker_names(view: fleetview.View) -> list[str]:
    """Returns the names of the fleet's workers."""
    return [
        m.name for m in view.members.values() if m.kind == deployment.WORKER
    ]


def allowed_workers(
    view: fleetview.View, route: str, organisation: str
) -> list[str]:
    """Returns the workers to which the items of a job may go.

    Args:
        view: Has the workers and the configuration.
        route: Name of the job's route.
        organisation: Name of its organisation.
    """
    allowed = regions.of_job(view.configuration, route, organisation)
    return [
        name
        for name in worker_names(view)
        if regions.serves(view, view.members[name].data_centre, allowed)
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


async def notify(
    view: fleetview.View,
    peers: peer.Client,
    job_id: str,
    owner: str,
    parts: list[bytes] | None = None,
    *,
    attempts: int = NOTIFY_ATTEMPTS,
) -> None:
    """Notifies a job's owner that the job is new or has changed.

    It is no longer notified when it has left the fleet. If all attempts are
    lost, the owner finds the job in its next listing.

    Args:
        view: Has the owner's address.
        peers: Sends the notification.
        job_id: Id of the job.
        owner: Name of the worker that runs it.
        parts: The items of a new job, as they are stored.
        attempts: Number of messages that may be lost.
    """
    if parts and sum(map(len, parts)) > MAX_NOTIFIED_BYTES:
        parts = None
    for _ in range(attempts):
        member = view.members.get(owner)
        if member is None:
            return
        try:
            await peers.call(
                member.address,
                "job_changed",
                ttypes.JobChanged(job=job_id, parts=parts),
                timeout_s=NOTIFY_TIMEOUT_S,
            )
        except errors.IbisknotError as error:
            logs.event("owner_silent", job=job_id, cause=error.message)
            await anyio.sleep(NOTIFY_RETRY_PAUSE_S)
        else:
            return


def poll_period_s(workers: int) -> float:
    """Returns the seconds between two listings of the open jobs by a worker.

    >>> poll_period_s(4), round(poll_period_s(14), 1)
    (1.5, 5.0)
    """
    return max(MIN_POLL_PERIOD_S, workers / MAX_FLEET_POLLS_PER_S)


class PollPacing:
    """Gives the times between a worker's listings of the open jobs.

    Workers that start together come to list at different times, so that one
    of them soon sees each change.

    Attributes:
        rng: Draws the deviations.
        spread: Largest deviation of the next time, as a fraction.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self.rng = rng or random.Random()
        self.spread = FIRST_POLL_SPREAD

    def next_delay_s(self, workers: int) -> float:
        """Returns the seconds until the next listing.

        Args:
            workers: Number of workers of the fleet.
        """
        factor = self.rng.uniform(1.0 - self.spread, 1.0 + self.spread)
        self.spread = POLL_SPREAD
        return poll_period_s(workers) * factor
