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

    __slots__ = ("failed", "next_index", "unread", "vm")

    def __init__(self, vm: str) -> None:
        self.vm = vm
        self.unread: list[ttypes.Result] = []
        self.next_index = 0
        self.failed = False


async def _read_ahead(
    replica_client: replicas.ReplicaClient,
    cursor: Cursor,
    group: str,
    first_index: int,
) -> None:
    while not cursor.unread and cursor.next_index >= 0 and not cursor.failed:
        try:
            page = await replica_client.read_result_page(
                cursor.vm, group, max(first_index, cursor.next_index)
            )
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
        cursor.unread = list(reversed(page.results))
        cursor.next_index = page.next


async def merge_results(
    replica_client: replicas.ReplicaClient, job: jobs.JobRecord
) -> AsyncIterator[ttypes.Result]:
    """Yields the results that any copy of an ended job has, in item order.

    A job ends only when each of its results is on every copy, so one copy is
    enough; the other one fills in for damage.

    Raises:
        UnavailableError: No copy answers any more.
    """
    cursors = [Cursor(vm) for vm in job.replicas]
    first_index = 0
    while True:
        for cursor in cursors:
            await _read_ahead(replica_client, cursor, job.id, first_index)
        if all(cursor.failed for cursor in cursors):
            message = f"no copy of the results of {job.id} is readable"
            raise errors.UnavailableError(message, retry_after_s=1.0)
        ready = [cursor for cursor in cursors if cursor.unread]
        if not ready:
            return
        earliest = min(ready, key=lambda cursor: cursor.unread[-1].index)
        result = earliest.unread.pop()
        first_index = result.index + 1
        for cursor in ready:
            while cursor.unread and cursor.unread[-1].index < first_index:
                cursor.unread.pop()
        yield result
