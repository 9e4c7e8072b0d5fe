"""Runs the jobs of the shards that this VM owns, item by item."""

import functools
import time
from typing import Any
import uuid

import anyio
import msgspec

from ibisknot import admission
from ibisknot import batch_tickets
from ibisknot import endpoint_http
from ibisknot import errors
from ibisknot import items
from ibisknot import job_scheduling
from ibisknot import job_shards
from ibisknot import jobs
from ibisknot import logs
from ibisknot import maintenance
from ibisknot import metrics
from ibisknot import program
from ibisknot import replicas
from ibisknot import runs
from ibisknot import settings
from ibisknot import traces
from ibisknot.gen.jobs import ttypes

POLL_S = 0.05
RATE_PERIOD_S = 1.0
PROGRESS_PERIODS = 10
"""Progress is logged each time the rate was measured so often."""
RETRY_PAUSE_S = 0.2
UNREACHABLE_PAUSE_S = 0.5
DEFAULT_TOKENS = 16


class Runner:
    """The jobs at hand and the items that run.

    Attributes:
        running: Jobs that have not ended.
        ended: Jobs that have, whose copies are kept complete.
        flying: Items that run now.
        alone: Those of them that run alone; one at a time, so that they hold
            up no others.
        schedule: What the choice of the next item depends on.
    """

    def __init__(
        self,
        daemon: program.Daemon,
        loaded: settings.Batch,
        copies: replicas.ReplicaClient,
        engines: endpoint_http.EndpointClient,
        acquire: batch_tickets.AcquireTicket,
        choose: job_scheduling.ChooseJob,
    ) -> None:
        self.daemon = daemon
        self.loaded = loaded
        self.copies = copies
        self.engines = engines
        self.acquire = acquire
        self.choose = choose
        self.shards = job_shards.JobShards(daemon, loaded, self.seen, self.lost)
        self.running: dict[str, runs.Run] = {}
        self.ended = maintenance.Maintenance(
            daemon, loaded, copies, self.shards
        )
        self.flying = 0
        self.alone = 0
        self.schedule = job_scheduling.ScheduleState()
        self.completed = 0
        self.measured = 0
        self.freed = anyio.Event()

    async def seen(self, shard: int, job: jobs.Record, revision: int) -> None:
        """Takes a job's or file's record, new or changed."""
        epoch = self.shards.epoch(shard)
        if epoch is None:
            return
        if isinstance(job, jobs.FileRecord) or job.state in jobs.FINAL:
            self.ended.add_record(job, shard, revision)
            return
        known = self.running.get(job.id)
        if known is None:
            guard = functools.partial(self.shards.guard, shard, epoch)
            known = runs.Run(job, shard, epoch, guard)
            self.running[job.id] = known
            self.daemon.task_group.start_soon(self._execute, known)
        if job.state == jobs.CANCELLING:
            self._cancel(known)

    def _cancel(self, run: runs.Run) -> None:
        run.cancelled = True
        run.work.cancel()
        runs.stop(run)

    def lost(self) -> None:
        """Ends all work, because the shards are lost."""
        for run in self.running.values():
            runs.stop(run)
            run.life.cancel()
        self.running.clear()
        self.ended.clear()

    async def _execute(self, run: runs.Run) -> None:
        logs.event("job_started", job=run.job.id, epoch=run.epoch)
        try:
            with traces.span("job", job=run.job.id):
                await runs.execute(run, self.copies, self.daemon.key_value)
        finally:
            runs.stop(run)
            if self.running.get(run.job.id) is run:
                del self.running[run.job.id]

    async def dispatch(self) -> None:
        """Starts items while there is room, until cancelled."""
        while True:
            freed = self.freed
            while self.flying < self.loaded.concurrency and self._start_one():
                pass
            with anyio.move_on_after(POLL_S):
                await freed.wait()

    def candidates(self) -> list[job_scheduling.Candidate]:
        """Returns the jobs that items may be started of."""
        found = []
        now_s = self.daemon.clock.now()
        for run in self.running.values():
            runs.release_delayed(run, now_s)
            suspects = run.suspects and not self.alone
            if run.active and (run.ready or suspects):
                found.append(_candidate(run))
        return found

    def _start_one(self) -> bool:
        if not self.shards.may_dispatch():
            return False
        chosen = self.choose(self.candidates(), self.schedule, time.time())
        if chosen is None:
            return False
        job_scheduling.record_started(self.schedule, chosen)
        run = self.running[chosen.job_id]
        if run.suspects and not self.alone:
            work = run.suspects.popleft()
        else:
            work = run.ready.popleft()
        self.flying += 1
        self.alone += work.suspect
        scope = anyio.CancelScope()
        run.flying[work.index] = scope
        self.daemon.task_group.start_soon(self._item, run, work, scope)
        return True

    async def _item(
        self, run: runs.Run, work: items.Work, scope: anyio.CancelScope
    ) -> None:
        alone = work.suspect
        try:
            with scope:
                await self._try(run, work)
        except Exception as error:
            logs.event("item_error", level="error", error=repr(error))
            self._failed(run, work, 500, repr(error).encode(), alone=False)
        finally:
            self.flying -= 1
            self.alone -= alone
            run.flying.pop(work.index, None)
            run.wake()
            self.freed.set()
            self.freed = anyio.Event()

    async def _try(self, run: runs.Run, work: items.Work) -> None:
        """Tries an item once, and records its result or puts it back."""
        ask = _ask(run, work)
        try:
            async with self.acquire(ask) as place:
                if not run.active or not self.shards.may_dispatch():
                    self._retry(run, work, RETRY_PAUSE_S)
                elif not place.endpoint:
                    text = b"no active endpoint serves this model"
                    self._failed(run, work, 503, text, alone=False)
                else:
                    await self._run(run, work, place, ask.request_id)
        except errors.OverloadedError:
            self._retry(run, work, RETRY_PAUSE_S)

    async def _run(
        self,
        run: runs.Run,
        work: items.Work,
        place: batch_tickets.BatchTicket,
        request_id: str,
    ) -> None:
        meter = items.Meter(time.monotonic())
        outcome: items.Outcome | None = None
        failure: errors.EndpointError | None = None
        async with anyio.create_task_group() as group:

            async def give_way() -> None:
                await place.revoked.wait()
                group.cancel_scope.cancel()

            group.start_soon(give_way)
            try:
                outcome = await items.attempt(
                    self.engines, work, place.url, request_id, meter
                )
            except errors.EndpointError as error:
                failure = error
            group.cancel_scope.cancel()
        result = admission.CANCELLED
        if outcome is not None:
            result = admission.OK
            self._answered(run, work, outcome, place)
        elif failure is not None:
            result = await self._broke(run, work, failure, place)
        else:
            metrics.BATCH_ITEMS.inc({"outcome": "gave_way"})
            self._retry(run, work, 0.0)
        place.measurement = meter.measured(result)

    def _answered(
        self,
        run: runs.Run,
        work: items.Work,
        outcome: items.Outcome,
        place: batch_tickets.BatchTicket,
    ) -> None:
        if outcome.status != 200:
            self._failed(
                run, work, outcome.status, outcome.body, alone=place.exclusive
            )
            return
        line = items.result_line(work, 200, outcome.body)
        runs.record(run, work, line, failed=False)
        self.completed += 1

    async def _broke(
        self,
        run: runs.Run,
        work: items.Work,
        error: errors.EndpointError,
        place: batch_tickets.BatchTicket,
    ) -> str:
        """Takes in a failed try; returns its outcome for admission."""
        logs.event(
            "item_broke_off",
            level="warning",
            job=run.job.id,
            item=work.index,
            endpoint=place.endpoint,
            alone=place.exclusive,
            ran=error.ran,
            cause=error.message,
        )
        work.avoid = frozenset([place.endpoint])
        if error.ran == errors.NOT_RUN:
            self._retry(run, work, UNREACHABLE_PAUSE_S)
            return admission.UNREACHABLE
        text = error.message.encode()
        self._failed(run, work, 0, text, alone=place.exclusive)
        if await self.engines.is_answering(place.url):
            return admission.FAILED
        return admission.CRASHED

    def _failed(
        self,
        run: runs.Run,
        work: items.Work,
        status: int,
        body: bytes,
        *,
        alone: bool,
    ) -> None:
        if not items.note_failure(work, status, alone=alone):
            self._retry(run, work, RETRY_PAUSE_S)
            return
        failure = body.decode(errors="replace") or "the item failed"
        line = items.result_line(work, status or 502, b"", failure=failure)
        runs.record(run, work, line, failed=True)
        self.completed += 1

    def _retry(self, run: runs.Run, work: items.Work, pause_s: float) -> None:
        at_s = self.daemon.clock.now() + pause_s if pause_s else 0.0
        runs.put_back(run, work, at_s)

    async def measure(self, _now: float) -> None:
        """Timer callback: takes the rate, and warns of late jobs."""
        everyone = [_candidate(run) for run in self.running.values()]
        done, self.completed = self.completed, 0
        if everyone:
            job_scheduling.record_rate(self.schedule, done, RATE_PERIOD_S)
        late = job_scheduling.jobs_at_risk(everyone, self.schedule, time.time())
        metrics.BATCH_REMAINING.set(
            {}, sum(c.remaining_items for c in everyone)
        )
        metrics.BATCH_AT_RISK.set({}, len(late))
        self.measured += 1
        for candidate in everyone:
            run = self.running[candidate.job_id]
            if self.measured % PROGRESS_PERIODS == 0:
                self._log_progress(run)
            if (candidate.job_id in late) != run.at_risk:
                run.at_risk = candidate.job_id in late
                self._warn(run, candidate)

    def _log_progress(self, run: runs.Run) -> None:
        logs.event(
            "job_progress",
            job=run.job.id,
            total=run.job.total(),
            completed=run.ended - run.failed,
            failed=run.failed,
            flying=len(run.flying),
        )

    def _warn(self, run: runs.Run, candidate: job_scheduling.Candidate) -> None:
        logs.event(
            "job_deadline_at_risk" if run.at_risk else "job_deadline_safe",
            level="warning" if run.at_risk else "info",
            job=run.job.id,
            deadline_at=run.job.deadline_at,
            remaining=candidate.remaining_items,
            rate_per_s=round(self.schedule.items_per_s, 2),
        )

    async def progress(self, ask: ttypes.JobAsk) -> Any:
        """Peer method: returns a running job's counts.

        Raises:
            NotFoundError: This process does not run the job.
        """
        run = self.running.get(ask.job)
        if run is None:
            raise errors.NotFoundError(f"job {ask.job} does not run here")
        everyone = [_candidate(known) for known in self.running.values()]
        finish_s = job_scheduling.estimated_finish_s(
            everyone, self.schedule, ask.job, time.time()
        )
        return ttypes.JobProgress(
            job=ask.job,
            total=run.job.total(),
            completed=run.ended - run.failed,
            failed=run.failed,
            finish_at=None if finish_s is None else int(finish_s),
            at_risk=run.at_risk,
        )

    async def cancel(self, ask: ttypes.JobCancel) -> None:
        """Peer method: stops a job whose record says so already."""
        run = self.running.get(ask.job)
        if run is not None:
            self._cancel(run)


def _candidate(run: runs.Run) -> job_scheduling.Candidate:
    return job_scheduling.Candidate(
        job_id=run.job.id,
        organisation=run.job.organisation,
        accepted_s=float(run.job.created_at),
        deadline_s=float(run.job.deadline_at),
        remaining_items=run.remaining(),
    )


def _ask(run: runs.Run, work: items.Work) -> batch_tickets.BatchTicketRequest:
    body = work.item.body
    tokens = body.get("max_completion_tokens") or body.get("max_tokens")
    limit = tokens if isinstance(tokens, int) else DEFAULT_TOKENS
    prompt = body.get("prompt") or body.get("messages") or ""
    text = prompt if isinstance(prompt, str) else _text(prompt)
    return batch_tickets.BatchTicketRequest(
        model=str(body.get("model", "")),
        organisation=run.job.organisation,
        request_id=f"{run.job.id}.{work.index}.{uuid.uuid4().hex[:8]}",
        prompt=text,
        max_tokens=max(1, limit - len(work.parts)),
        due_in_s=max(0.0, run.job.deadline_at - time.time()),
        exclusive=work.suspect,
        avoid=work.avoid,
    )


def _text(messages: Any) -> str:
    return msgspec.json.encode(messages).decode()
