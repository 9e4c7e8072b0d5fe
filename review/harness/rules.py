"""Checks of the rules on batch jobs, from what clients and engines saw."""

import asyncio
import time

import engine
import fleet

FINISH_S = 18.0
CALM_S = 5.0
"""Time at the end in which no engine may have an unlisted item."""
QUIET_S = 3.0
"""Time at the end in which no item of any batch job may be finished."""
FAILED_S = 20.0
"""Items that failed at an engine in this time at the end don't count."""
SHORT_RUN_S = 1.0
"""A run that its sender ends within this time doesn't count."""
READ_TRIES = 5
READ_PAUSE_S = 0.5


def _overlaps(run: engine.Run, start_s: float) -> bool:
    """Returns whether a run that counts was going on after a time."""
    is_short = not run.is_whole and run.end_s - run.at_s <= SHORT_RUN_S
    return run.end_s >= start_s and not is_short


def finish_rule_applies(played: fleet.Fleet, unlisted: set[str]) -> bool:
    """Returns whether unlisted items break the rule LOST when FinishS is over.

    That is so if the last 5 s brought no unlisted item to an engine, the
    engines were under half full, and no item was finished in the last 3 s.
    Items of which a run broke off in the last 20 s are left out.

    Args:
        played: The fleet.
        unlisted: Ids of the items without a result.
    """
    now = time.monotonic()
    failed = {
        run.request_id
        for made in played.engines
        for run in made.runs
        if not run.is_whole and _overlaps(run, now - FAILED_S)
    }
    unlisted = unlisted - failed
    if not unlisted:
        return False
    for made in played.engines:
        recent = [r for r in made.runs if _overlaps(r, now - CALM_S)]
        if any(r.request_id in unlisted for r in recent):
            return False
        if 2 * len(recent) >= engine.SLOTS:
            return False
        if any(r.is_whole and r.end_s > now - QUIET_S for r in made.runs):
            return False
    return True


async def unlisted_items(
    played: fleet.Fleet, jobs: dict[str, list[str]], *, key: str = fleet.KEY
) -> set[str]:
    """Reads jobs at all gateways; returns the items that none of them lists.

    Args:
        played: The fleet.
        jobs: The items of each job.
        key: Key of the jobs' tenant.

    Raises:
        CannotRunError: A job is read at no gateway.
    """
    unlisted: set[str] = set()
    for job, items in jobs.items():
        listed: set[str] | None = None
        for _ in range(READ_TRIES):
            statuses = []
            for node in played.gateways:
                status, results = await played.read_all(job, node, key=key)
                statuses.append(status)
                if status == 200:
                    found = {result["Id"] for result in results}
                    listed = found if listed is None else listed | found
            if listed is not None:
                break
            await asyncio.sleep(READ_PAUSE_S)
        if listed is None:
            raise fleet.CannotRunError(f"{job} can't be read: {statuses}")
        played.note(
            f"read {job} at each gateway: status {statuses}, "
            f"{len(listed)} of {len(items)} items listed"
        )
        unlisted |= set(items) - listed
    return unlisted
