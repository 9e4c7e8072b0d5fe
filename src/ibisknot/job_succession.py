"""Decides which worker goes on with the jobs of a worker that has left."""

from collections.abc import Callable
from collections.abc import Iterable

from ibisknot import batch_records
from ibisknot import fleetview
from ibisknot import job_owners

MEMBERS_STALE_S = 3.0
"""Age of the member list above which an absence is not confirmed."""
TAKEOVER_S = 1.5
"""Jobs are taken over from an owner absent from the fleet for this time."""


class Succession:
    """Follows which owners of jobs are absent from the fleet.

    Attributes:
        own_name: Name of this worker.
        own_started_ms: Returns the start of this process in Unix milliseconds.
        view: The fleet view.
        clock: Returns the monotonic time in seconds.
        check_within: Called with the seconds after which the open jobs must be
            listed again.
        missing_since_s: Monotonic time since which an owner is absent, by
            name.
    """

    def __init__(
        self,
        own_name: str,
        own_started_ms: Callable[[], int],
        view: fleetview.View,
        clock: Callable[[], float],
        check_within: Callable[[float], None],
    ) -> None:
        self.own_name = own_name
        self.own_started_ms = own_started_ms
        self.view = view
        self.clock = clock
        self.check_within = check_within
        self.missing_since_s: dict[str, float] = {}

    def on_members_changed(self, owners: Iterable[str]) -> None:
        """Has the jobs listed soon if one of their owners was lost."""
        present = set(job_owners.worker_names(self.view))
        for name in set(owners) - present - {""}:
            if name not in self.missing_since_s:
                self.missing_since_s[name] = self.clock()
                self.check_within(TAKEOVER_S)

    def update(self, now: float) -> None:
        """Updates the absences from the current member list."""
        for name in list(self.missing_since_s):
            if name in self.view.members:
                del self.missing_since_s[name]
            elif now - self.view.members_read_s > MEMBERS_STALE_S:
                # The member list is stale, so the absence is not confirmed.
                self.missing_since_s[name] = now
                self.check_within(TAKEOVER_S)

    def is_departed(self, worker: str) -> bool:
        """Returns whether a worker is absent for `TAKEOVER_S` or unnamed."""
        if not worker:
            return True
        if worker in job_owners.worker_names(self.view):
            return False
        now = self.clock()
        missing_s = now - self.missing_since_s.setdefault(worker, now)
        if missing_s < TAKEOVER_S:
            self.check_within(TAKEOVER_S - missing_s)
        return missing_s >= TAKEOVER_S

    def is_successor(self, progress: batch_records.Progress) -> bool:
        """Returns whether this worker succeeds a job's departed owner."""
        if not self.is_departed(progress.owner):
            return False
        meta = progress.meta
        workers = job_owners.allowed_workers(
            self.view, meta.route, meta.organisation
        )
        return job_owners.choose_owner(meta.id, workers) == self.own_name

    def are_kept_items_lost(self, progress: batch_records.Progress) -> bool:
        """Returns whether the process that kept items of a job has ended.

        A worker that was restarted under its name runs nothing of what its
        previous process kept.
        """
        started_ms = progress.kept_by_started_ms
        if progress.kept_by == self.own_name:
            return started_ms != self.own_started_ms()
        member = self.view.members.get(progress.kept_by)
        if member is not None and started_ms:
            return member.started_ms > started_ms
        return self.is_departed(progress.kept_by)
