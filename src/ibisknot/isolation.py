"""Boundaries that keep an unexpected error within one unit of work.

A unit is a request, a batch item, a job, a stored record or a peer's message.
Errors that a part expects are handled there. Any other one ends its unit, with
a log line and a count, and never its neighbours or the process.
"""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import traceback
from typing import Any
from typing import Protocol

import anyio
from anyio import abc

from ibisknot import logs
from ibisknot import metrics

MAX_LOGGED_CHARS = 300
"""Longer ids and causes are truncated in log lines."""
RESTART_PAUSE_S = 0.5
MAX_RESTART_PAUSE_S = 30.0

Function = Callable[..., Awaitable[None]]


def record(kind: str, unit_id: str, error: Exception) -> None:
    """Logs and counts an error that ended a unit.

    Args:
        kind: Kind of the unit, such as `job`.
        unit_id: Id of the unit.
        error: The error.
    """
    metrics.UNIT_FAILURES.inc({"unit": kind})
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].name}:{frames[-1].lineno}" if frames else ""
    logs.event(
        "unit_failed",
        level="error",
        unit=kind,
        id=ascii(unit_id)[:MAX_LOGGED_CHARS],
        cause=ascii(error)[:MAX_LOGGED_CHARS],
        place=place,
    )


async def run(
    kind: str, unit_id: str, function: Function, *arguments: Any
) -> bool:
    """Runs a unit; returns whether it ended without an unexpected error."""
    try:
        await function(*arguments)
    except Exception as error:
        record(kind, unit_id, error)
        return False
    return True


class TaskStarter(Protocol):
    """Starts tasks: a task group, or `Tasks`."""

    def start_soon(self, func: Callable[..., Any], *args: Any) -> Any:
        """Starts a task."""


class Tasks:
    """Starts tasks in a task group, each as a unit of its own.

    Attributes:
        task_group: Runs the tasks.
    """

    def __init__(self, task_group: abc.TaskGroup) -> None:
        self.task_group = task_group

    def start_soon(self, func: Function, *args: Any) -> None:
        """Starts a task whose unexpected error ends nothing else."""
        unit_id = getattr(func, "__qualname__", type(func).__name__)
        self.task_group.start_soon(run, "task", unit_id, func, *args)


def start(
    task_group: TaskStarter,
    kind: str,
    unit_id: str,
    function: Function,
    *arguments: Any,
) -> None:
    """Starts a unit as a task that cannot end its task group."""
    task_group.start_soon(run, kind, unit_id, function, *arguments)


class Failures:
    """Units that have failed, which start again only after a pause.

    Attributes:
        failed: Number of failures and monotonic time of the last one, by id;
            the last one at the end.
    """

    MAX_UNITS = 1000

    def __init__(self) -> None:
        self.failed: collections.OrderedDict[str, tuple[int, float]] = (
            collections.OrderedDict()
        )

    def record(self, unit_id: str, now: float) -> None:
        """Records a failure."""
        count, _ = self.failed.pop(unit_id, (0, now))
        self.failed[unit_id] = (count + 1, now)
        if len(self.failed) > self.MAX_UNITS:
            self.failed.popitem(last=False)

    def may_start(self, unit_id: str, now: float) -> bool:
        """Returns whether the pause after the last failure is over.

        >>> failures = Failures()
        >>> failures.record("j", 10.0)
        >>> failures.record("j", 20.0)
        >>> [failures.may_start("j", s) for s in (20.9, 21.0)]
        [False, True]
        """
        count, failed_s = self.failed.get(unit_id, (0, now))
        pause_s = RESTART_PAUSE_S * 2 ** min(count - 1, 10)
        return count == 0 or now - failed_s >= min(MAX_RESTART_PAUSE_S, pause_s)


async def keep_running(name: str, function: Function) -> None:
    """Runs a service of a process, and again after an unexpected error.

    Args:
        name: Name of the service.
        function: The service; it returns only when it has ended.
    """
    pause_s = RESTART_PAUSE_S
    while not await run("service", name, function):
        await anyio.sleep(pause_s)
        pause_s = min(MAX_RESTART_PAUSE_S, 2.0 * pause_s)
