"""Reads the results of an ended job from the copies that are readable."""

from collections.abc import AsyncIterator

from ibisknot import errors
from ibisknot import jobs
from ibisknot import logs
from ibisknot import replicas
from ibisknot.gen.segments import ttypes


class Cursor:
    """Progress of reading the results of one copy.

    Attributes:
        vm: The VM of the copy.
        unread: Results of the last page that were not yielded yet, in
            descending order of item indexes.
        next_index: Index of the item that the next page starts with, or -1
            after the last page.
        failed: Whether a read of the copy failed; it is not read again.
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
    """Reads the next page with results if the cursor has none left."""
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
    enough. All are read, because records of a copy may be damaged.

    Raises:
        UnavailableError: Reads of all copies have failed.
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
