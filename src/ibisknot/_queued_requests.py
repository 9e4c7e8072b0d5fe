"""The requests of one process that wait for a scheduler's decision.

A queued request is sent again from time to time, because the decision on it may
be lost. In a large fleet with much batch work these are most of all messages to
the active scheduler. There, each report names the batch requests that are
queued, the answer says which of them the scheduler does not have, and only
these are sent again.
"""

from collections.abc import Iterable

import anyio

from ibisknot import admission
from ibisknot import deployment
from ibisknot import fleetview
from ibisknot import isolation
from ibisknot import job_owners
from ibisknot import ticket_types

RETRY_SPACING_S = 0.005
"""Pause between requests that are resent when the active scheduler changes."""
RESEND_S = {admission.ONLINE: 0.15, admission.BATCH: 1.5}
"""Time after which a queued request is sent again, by its kind."""
CONFIRMED_RESEND_S = 10.0
"""The same of a batch request that reports confirm."""


class Requests:
    """Requests that wait, and when they are sent again.

    Attributes:
        view: The fleet view.
        task_group: Runs the resends.
        pending: The requests by ticket id.
        confirming: Schedulers that have said which requests they do not have.
        is_retrying: Whether `_retry_pending` is running.
    """

    def __init__(
        self, view: fleetview.View, task_group: isolation.TaskStarter
    ) -> None:
        self.view = view
        self.task_group = task_group
        self.pending: dict[str, ticket_types.PendingRequest] = {}
        self.confirming: set[fleetview.Member] = set()
        self.is_retrying = False

    def resend_s(self, member: fleetview.Member, kind: str) -> float:
        """Returns the seconds after which a queued request is sent again."""
        if kind == admission.BATCH and member in self.confirming:
            return CONFIRMED_RESEND_S
        return RESEND_S[kind]

    def queued_at(self, member: fleetview.Member) -> list[str] | None:
        """Returns the ids to name in a report; None in a small fleet."""
        workers = sum(
            m.kind == deployment.WORKER for m in self.view.members.values()
        )
        if workers < job_owners.MIN_WORKERS_BESIDE_SCHEDULER:
            return None
        return [
            ticket_id
            for ticket_id, pending in self.pending.items()
            if pending.queued_at == member.name
        ]

    def on_confirmed(
        self,
        member: fleetview.Member,
        named: list[str] | None,
        not_queued: Iterable[str] | None,
    ) -> None:
        """Sends those requests again that a scheduler does not have.

        Args:
            member: The scheduler.
            named: The ids that the report has named, if any.
            not_queued: Those of them that it does not have; None if it did
                not look.
        """
        if named is None or not_queued is None:
            self.confirming.discard(member)
            return
        self.confirming.add(member)
        for ticket_id in not_queued:
            pending = self.pending.get(ticket_id)
            if pending is not None and pending.queued_at == member.name:
                pending.answered.set()

    def resend_misplaced(
        self, schedulers: list[fleetview.Member], active: str
    ) -> None:
        """Sends all requests again if one is queued at a passed scheduler.

        Args:
            schedulers: The present schedulers; others are forgotten.
            active: Name of the scheduler that is asked now.
        """
        self.confirming &= set(schedulers)
        if any(
            pending.queued_at not in ("", active)
            for pending in self.pending.values()
        ):
            self.start_retry()

    def start_retry(self) -> None:
        """Resends the pending requests, because the scheduler has changed."""
        if not self.is_retrying:
            self.is_retrying = True
            self.task_group.start_soon(self._retry_pending)

    async def _retry_pending(self) -> None:
        """Wakes the requests one by one, so that they arrive in no burst."""
        try:
            for pending in list(self.pending.values()):
                pending.answered.set()
                await anyio.sleep(RETRY_SPACING_S)
        finally:
            self.is_retrying = False
