"""Background tasks whose failure does not end the program."""

from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from anyio import abc

from ibisknot import logs


def start(
    task_group: abc.TaskGroup,
    function: Callable[..., Awaitable[None]],
    *arguments: Any,
) -> None:
    """Starts a task in a task group; an error in it is logged, not raised."""

    async def run_and_log() -> None:
        try:
            await function(*arguments)
        except Exception as error:
            logs.event(
                "background_task_failed",
                level="error",
                task=getattr(function, "__qualname__", repr(function)),
                error=repr(error),
            )

    task_group.start_soon(run_and_log)
