"""Empties a worker that the operator wants to take away.

A worker's disk holds nothing that must last, so it is empty as soon as its
jobs are with other workers.
"""

from collections.abc import Callable
import dataclasses

import anyio
from anyio import abc

from ibisknot import batch_worker
from ibisknot import deployment
from ibisknot import errors
from ibisknot import logs
from ibisknot import pairs

REPORT_RETRY_PAUSE_S = 0.3
MAX_DRAIN_FRACTION = 0.7
"""Part of the time allowed that items in progress may take."""


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """The operator's wish that a VM be emptied within a time."""

    vm: str
    within_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Dialect:
    """How orders and their status are written, as the adapter defines it."""

    decode_order: Callable[[pairs.Change], Order | None]
    encode_status: Callable[[str, bool], pairs.Put]


class Retirement:
    """Carries out an order that concerns this VM.

    Attributes:
        started: Whether an order is being carried out.
    """

    def __init__(
        self,
        process: deployment.Process,
        store: pairs.Store,
        worker: batch_worker.Worker,
        clock: Callable[[], float],
        task_group: abc.TaskGroup,
        dialect: Dialect,
    ) -> None:
        self.process = process
        self.store = store
        self.worker = worker
        self.clock = clock
        self.task_group = task_group
        self.dialect = dialect
        self.is_started = False

    def on_change(self, change: pairs.Change) -> None:
        """Looks whether the operator orders this VM to be emptied."""
        order = self.dialect.decode_order(change)
        if order is None or order.vm != self.process.name or self.is_started:
            return
        self.is_started = True
        logs.event(
            "retire_ordered", within_s=order.within_s, revision=change.revision
        )
        self.task_group.start_soon(self._carry_out, order)

    async def _carry_out(self, order: Order) -> None:
        deadline_s = self.clock() + order.within_s * MAX_DRAIN_FRACTION
        self.worker.is_draining = True
        await self._report(is_done=False)
        await self.worker.drain(deadline_s)
        await self._report(is_done=True)

    async def _report(self, *, is_done: bool) -> None:
        put = self.dialect.encode_status(self.process.name, is_done)
        while True:
            try:
                await self.store.transact([], [put])
            except errors.KeyValueError as error:
                logs.event("retire_not_reported", cause=error.message)
                await anyio.sleep(REPORT_RETRY_PAUSE_S)
                continue
            logs.event("retire_reported", done=is_done)
            return
