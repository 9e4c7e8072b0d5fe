"""Reads the results of an ended job from the copies that are there."""

from collections.abc import AsyncIterator

from ibisknot import errors
from ibisknot import jobs
from ibisknot import logs
from ibisknot import replicas
from ibisknot.gen.segments import ttypes


class Cursor:
    """A position in the results of one copy.

    Attributes:
        vm: The VM of the copy.
        page: Results that have been read but not passed on.
        next: Item to go on reading with, or -1 at the end.
        failed: Whether the copy stopped answering.
    """

    __slots__ = ("failed", "next", "page", "vm")

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.page: list[ttypes.Result] = []
        self.next = 0
        self.failed = False


async def _fill(
    copies: replicas.Replicas, cursor: Cursor, group: str, first: int
) -> None:
    while not cursor.page and cursor.next >= 0 and not cursor.failed:
        try:
            found = await copies.page(cursor.vm, group, max(first, cursor.next))
        except errors.IbisknotError as error:
            cursor.failed = True
            logs.event(
                "result_read_failed",
                level="warning",
                group=group,
                vm=cursor.vm,
                cause=error.message,
            )
            return
        cursor.page = list(reversed(found.results))
        cursor.next = found.next


async def merged(
    copies: replicas.Replicas, job: jobs.JobRecord
) -> AsyncIterator[ttypes.Result]:
    """Yields the results that any copy of an ended job has, in item order.

    A job ends only when each of its results is on every copy, so one copy is
    enough; the other one fills in for damage.

    Raises:
        UnavailableError: No copy answers any more.
    """
    cursors = [Cursor(vm) for vm in job.replicas]
    first = 0
    while True:
        for cursor in cursors:
            await _fill(copies, cursor, job.id, first)
        if all(cursor.failed for cursor in cursors):
            message = f"no copy of the results of {job.id} is readable"
            raise errors.UnavailableError(message, retry_after_s=1.0)
        ready = [cursor for cursor in cursors if cursor.page]
        if not ready:
            return
        chosen = min(ready, key=lambda cursor: cursor.page[-1].index)
        result = chosen.page.pop()
        first = result.index + 1
        for cursor in ready:
            while cursor.page and cursor.page[-1].index < first:
                cursor.page.pop()
        yield result
