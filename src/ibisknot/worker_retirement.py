"""Retires a worker's VM on the operator's order.

A worker keeps no durable data on its disk, so it is empty as soon as its jobs
are handed over to other workers.
"""

from collections.abc import Callable
import dataclasses

import anyio

from ibisknot import batch_drain
from ibisknot import batch_worker
from ibisknot import deployment
from ibisknot import errors
from ibisknot import guarded_key
from ibisknot import isolation
from ibisknot import logs
from ibisknot import pairs

REPORT_RETRY_PAUSE_S = 0.3
MAX_DRAIN_FRACTION = 0.7
"""Fraction of an order's time in which running items may finish."""


@dataclasses.dataclass(slots=True, frozen=True)
class Order:
    """The operator's order to empty a VM.

    Attributes:
        vm: Name of the VM.
        within_s: Seconds within which the VM must be empty.
    """

    vm: str
    within_s: float


@dataclasses.dataclass(slots=True, frozen=True)
class Dialect:
    """How the platform encodes orders and their status; an adapter defines it.

    Attributes:
        decode_order: Decodes a change in the store; returns None if the
            change is not an order.
        encode_status: Encodes the status of an order from the VM's name and
            whether the VM is empty.
    """

    decode_order: Callable[[pairs.Change], Order | None]
    encode_status: Callable[[str, bool], pairs.Put]


class Retirement:
    """Carries out the first order that concerns this VM.

    Attributes:
        is_started: Whether an order was received.
        status: The key of the status; None before the first report.
    """

    def __init__(
        self,
        process: deployment.Process,
        store: pairs.KeyValueStore,
        worker: batch_worker.Worker,
        clock: Callable[[], float],
        task_group: isolation.TaskStarter,
        dialect: Dialect,
    ) -> None:
        self.process = process
        self.store = store
        self.worker = worker
        self.clock = clock
        self.task_group = task_group
        self.dialect = dialect
        self.is_started = False
        self.status: guarded_key.GuardedKey | None = None

    def on_change(self, change: pairs.Change) -> None:
        """Starts the retirement if a change in the store orders it."""
        order = self.dialect.decode_order(change)
        if order is None or order.vm != self.process.name or self.is_started:
            return
        self.is_started = True
        logs.event(
            "retire_ordered", within_s=order.within_s, revision=change.revision
        )
        self.task_group.start_soon(self._carry_out, order)

    async def _carry_out(self, order: Order) -> None:
        """Drains the worker; reports the start and the end of it."""
        deadline_s = self.clock() + order.within_s * MAX_DRAIN_FRACTION
        self.worker.is_draining = True
        await self._report(is_done=False)
        await batch_drain.drain(self.worker, deadline_s)
        await self._report(is_done=True)

    async def _report(self, *, is_done: bool) -> None:
        """Writes the status to the store; retries until that succeeds.

        The guard keeps a late write of an earlier status from replacing it.
        """
        put = self.dialect.encode_status(self.process.name, is_done)
        if self.status is None:
            self.status = guarded_key.GuardedKey(self.store, put.key)
        while True:
            try:
                await self.status.write(put.value)
            except errors.KeyValueError as error:
                logs.event("retire_not_reported", cause=error.message)
                await anyio.sleep(REPORT_RETRY_PAUSE_S)
                continue
            logs.event("retire_reported", done=is_done)
            return
