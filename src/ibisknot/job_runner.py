"""Runs the batch jobs of the job shards that this VM owns.

One runner serves all jobs of the process. It chooses the job of which the next
item is started, acquires a ticket for each attempt of an item, and measures the
rate from which the jobs' finish is estimated. `job_run` has the steps of each
job.
"""

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
from ibisknot import job_run
from ibisknot import job_scheduling
from ibisknot import job_shards
from ibisknot import jobs
from ibisknot import logs
from ibisknot import maintenance
from ibisknot import metrics
from ibisknot import program
from ibisknot import replicas
from ibisknot import settings
from ibisknot import traces
from ibisknot.gen.jobs import ttypes

DISPATCH_POLL_PERIOD_S = 0.05
"""Longest time between two searches for items to start."""
RATE_PERIOD_S = 1.0
RATE_PERIODS_PER_PROGRESS_LOG = 10
"""The jobs' progress is logged once in this number of rate periods."""
RETRY_PAUSE_S = 0.2
UNREACHABLE_PAUSE_S = 0.5
"""Pause before the next attempt if the endpoint could not be reached."""
DEFAULT_MAX_TOKENS = 16
"""Assumed limit of an item that states no `max_tokens`."""


class Runner:
    """Runs the jobs of the owned shards.

    Attributes:
        daemon: The running program with its clock, key-value service, peers
            and task group.
        batch_settings: Settings of the batch program.
        replica_client: Calls the stores.
        endpoint_client: Sends requests to endpoints.
        acquire_ticket: Acquires the ticket of an attempt.
        choose_job: Chooses the job of which the next item is started.
        shards: The shards that this process owns.
        runs: Runs of the jobs that have not ended, by job id.
        maintenance: Repairs the copies of files and ended jobs, and removes
            expired jobs.
        running_item_count: Number of running items of all jobs.
        exclusive_item_count: Number of those that are crash suspects, which
            run with no other item on their endpoint. There is at most one, so
            that the other items are not delayed.
        schedule: State on which the choice of the next job depends.
        ended_item_count: Number of items that ended in this rate period.
        rate_period_count: Number of rate periods so far.
        item_ended: Set when an item ends, and then replaced by a new event.
    """

    def __init__(
        self,
        daemon: program.Daemon,
        batch_settings: settings.Batch,
        replica_client: replicas.ReplicaClient,
        endpoint_client: endpoint_http.EndpointClient,
        acquire_ticket: batch_tickets.AcquireTicket,
        choose_job: job_scheduling.ChooseJob,
    ) -> None:
        self.daemon = daemon
        self.batch_settings = batch_settings
        self.replica_client = replica_client
        self.endpoint_client = endpoint_client
        self.acquire_ticket = acquire_ticket
        self.choose_job = choose_job
        self.shards = job_shards.JobShards(
            daemon, batch_settings, self.on_record, self.on_loss
        )
        self.runs: dict[str, job_run.JobRun] = {}
        self.maintenance = maintenance.Maintenance(
            daemon, batch_settings, replica_client, self.shards
        )
        self.running_item_count = 0
        self.exclusive_item_count = 0
        self.schedule = job_scheduling.ScheduleState()
        self.ended_item_count = 0
        self.rate_period_count = 0
        self.item_ended = anyio.Event()

    async def on_record(
        self, shard: int, record: jobs.Record, revision: int
    ) -> None:
        """Handles a record of an owned shard that was read or has changed.

        A job that is not running yet is started. Files and ended jobs are
        passed on to maintenance.
        """
        epoch = self.shards.epoch(shard)
        if epoch is None:
            return
        if (
            isinstance(record, jobs.FileRecord)
            or record.state in jobs.FINAL_STATES
        ):
            self.maintenance.add_record(record, shard, revision)
            return
        run = self.runs.get(record.id)
        if run is None:
            make_guard = functools.partial(self.shards.guard, shard, epoch)
            run = job_run.JobRun(record, shard, epoch, make_guard)
            self.runs[record.id] = run
            self.daemon.task_group.start_soon(self._execute, run)
        if record.state == jobs.CANCELLING:
            self._cancel(run)

    def _cancel(self, run: job_run.JobRun) -> None:
        """Stops the items of a job that its caller has cancelled."""
        run.cancelled = True
        run.feed_scope.cancel()
        job_run.stop_items(run)

    def on_loss(self) -> None:
        """Stops all jobs, because their shards are no longer owned."""
        for run in self.runs.values():
            job_run.stop_items(run)
            run.ownership_scope.cancel()
        self.runs.clear()
        self.maintenance.clear()

    async def _execute(self, run: job_run.JobRun) -> None:
        """Runs a job and removes it from the running jobs at its end."""
        logs.event("job_started", job=run.job.id, epoch=run.epoch)
        try:
            with traces.span("job", job=run.job.id):
                await job_run.execute(
                    run, self.replica_client, self.daemon.key_value
                )
        finally:
            job_run.stop_items(run)
            if self.runs.get(run.job.id) is run:
                del self.runs[run.job.id]

    async def dispatch(self) -> None:
        """Starts items up to the configured concurrency, until cancelled."""
        while True:
            item_ended = self.item_ended
            while (
                self.running_item_count < self.batch_settings.concurrency
                and self._start_item()
            ):
                pass
            with anyio.move_on_after(DISPATCH_POLL_PERIOD_S):
                await item_ended.wait()

    def candidates(self) -> list[job_scheduling.Candidate]:
        """Returns the jobs of which an item can be started now."""
        found = []
        now_s = self.daemon.clock.now()
        for run in self.runs.values():
            job_run.requeue_due_tasks(run, now_s)
            can_start_suspect = (
                run.crash_suspects and not self.exclusive_item_count
            )
            if run.may_start_items and (run.ready or can_start_suspect):
                found.append(_make_candidate(run))
        return found

    def _start_item(self) -> bool:
        """Starts an item of the chosen job; returns False if none may start."""
        if not self.shards.may_dispatch():
            return False
        chosen = self.choose_job(self.candidates(), self.schedule, time.time())
        if chosen is None:
            return False
        job_scheduling.record_started(self.schedule, chosen)
        run = self.runs[chosen.job_id]
        if run.crash_suspects and not self.exclusive_item_count:
            task = run.crash_suspects.popleft()
        else:
            task = run.ready.popleft()
        self.running_item_count += 1
        self.exclusive_item_count += task.crash_suspect
        scope = anyio.CancelScope()
        run.item_scopes[task.index] = scope
        self.daemon.task_group.start_soon(self._run_item, run, task, scope)
        return True

    async def _run_item(
        self, run: job_run.JobRun, task: items.Task, scope: anyio.CancelScope
    ) -> None:
        """Makes one attempt of an item and updates the counts at its end."""
        exclusive = task.crash_suspect
        try:
            with scope:
                await self._attempt(run, task)
        except Exception as error:
            logs.event("item_error", level="error", error=repr(error))
            self._record_failure(run, task, 500, repr(error).encode())
        finally:
            self.running_item_count -= 1
            self.exclusive_item_count -= exclusive
            run.item_scopes.pop(task.index, None)
            run.notify_change()
            self.item_ended.set()
            self.item_ended = anyio.Event()

    async def _attempt(self, run: job_run.JobRun, task: items.Task) -> None:
        """Makes one attempt of an item; records a result or queues it again."""
        request = _make_ticket_request(run, task)
        try:
            async with self.acquire_ticket(request) as ticket:
                if not run.may_start_items or not self.shards.may_dispatch():
                    self._retry(run, task, RETRY_PAUSE_S)
                elif not ticket.endpoint:
                    error_body = b"no active endpoint serves this model"
                    self._record_failure(run, task, 503, error_body)
                else:
                    await self._run_at_endpoint(
                        run, task, ticket, request.request_id
                    )
        except errors.OverloadedError:
            self._retry(run, task, RETRY_PAUSE_S)

    async def _run_at_endpoint(
        self,
        run: job_run.JobRun,
        task: items.Task,
        ticket: batch_tickets.BatchTicket,
        request_id: str,
    ) -> None:
        """Runs an attempt under a ticket, until it ends or is revoked.

        Sets the ticket's measurement. The generated tokens stay in `task`, so
        that the next attempt continues from them.
        """
        meter = items.Meter(time.monotonic())
        response: items.Response | None = None
        failure: errors.EndpointError | None = None
        async with anyio.create_task_group() as task_group:

            async def cancel_on_revoke() -> None:
                await ticket.revoked.wait()
                task_group.cancel_scope.cancel()

            task_group.start_soon(cancel_on_revoke)
            try:
                response = await items.run_attempt(
                    self.endpoint_client, task, ticket.url, request_id, meter
                )
            except errors.EndpointError as error:
                failure = error
            task_group.cancel_scope.cancel()
        outcome = admission.CANCELLED
        if response is not None:
            outcome = admission.OK
            self._record_response(run, task, response, ticket)
        elif failure is not None:
            outcome = await self._record_endpoint_error(
                run, task, failure, ticket
            )
        else:
            # The ticket was revoked for online work.
            metrics.BATCH_ITEMS.inc({"outcome": "gave_way"})
            self._retry(run, task, 0.0)
        ticket.measurement = meter.to_measurement(outcome)

    def _record_response(
        self,
        run: job_run.JobRun,
        task: items.Task,
        response: items.Response,
        ticket: batch_tickets.BatchTicket,
    ) -> None:
        """Records an endpoint's response, which may report an error."""
        if response.status != 200:
            self._record_failure(run, task, response.status, response.body)
            return
        line = items.result_line(task, 200, response.body)
        job_run.record_result(run, task, line, failed=False)
        self.ended_item_count += 1

    async def _record_endpoint_error(
        self,
        run: job_run.JobRun,
        task: items.Task,
        error: errors.EndpointError,
        ticket: batch_tickets.BatchTicket,
    ) -> str:
        """Records an attempt without a complete response.

        In its log event `alone` means that the ticket was exclusive.

        Returns:
            The outcome to report to admission.
        """
        logs.event(
            "item_broke_off",
            level="warning",
            job=run.job.id,
            item=task.index,
            endpoint=ticket.endpoint,
            alone=ticket.exclusive,
            ran=error.ran,
            cause=error.message,
        )
        task.avoid = frozenset([ticket.endpoint])
        if error.ran == errors.NOT_RUN:
            self._retry(run, task, UNREACHABLE_PAUSE_S)
            return admission.UNREACHABLE
        if await self.endpoint_client.is_answering(ticket.url):
            self._record_failure(run, task, 0, error.message.encode())
            return admission.FAILED
        self._retry(run, task, items.record_crash(task))
        return admission.CRASHED

    def _record_failure(
        self,
        run: job_run.JobRun,
        task: items.Task,
        status: int,
        body: bytes,
    ) -> None:
        """Records a failed attempt; queues the item again or fails it.

        Args:
            run: The item's job.
            task: The item.
            status: HTTP status of the response, or 0 if the response was not
                complete.
            body: Body of the response, or the error message.
        """
        if not items.record_failure(task, status):
            self._retry(run, task, RETRY_PAUSE_S)
            return
        error_message = body.decode(errors="replace") or "the item failed"
        line = items.result_line(
            task, status or 502, b"", error_message=error_message
        )
        job_run.record_result(run, task, line, failed=True)
        self.ended_item_count += 1

    def _retry(
        self, run: job_run.JobRun, task: items.Task, pause_s: float
    ) -> None:
        """Queues an item for another attempt after a pause."""
        not_before_s = self.daemon.clock.now() + pause_s if pause_s else 0.0
        job_run.requeue_task(run, task, not_before_s)

    async def update_rate(self, _now: float) -> None:
        """Timer callback: measures the item rate and updates jobs at risk."""
        candidates = [_make_candidate(run) for run in self.runs.values()]
        ended_items, self.ended_item_count = self.ended_item_count, 0
        if candidates:
            job_scheduling.record_rate(
                self.schedule, ended_items, RATE_PERIOD_S
            )
        at_risk_ids = job_scheduling.jobs_at_risk(
            candidates, self.schedule, time.time()
        )
        metrics.BATCH_ITEMS_REMAINING.set(
            {}, sum(c.remaining_items for c in candidates)
        )
        metrics.BATCH_JOBS_AT_RISK.set({}, len(at_risk_ids))
        self.rate_period_count += 1
        for candidate in candidates:
            run = self.runs[candidate.job_id]
            if self.rate_period_count % RATE_PERIODS_PER_PROGRESS_LOG == 0:
                self._log_progress(run)
            if (candidate.job_id in at_risk_ids) != run.at_risk:
                run.at_risk = candidate.job_id in at_risk_ids
                self._log_risk_change(run, candidate)

    def _log_progress(self, run: job_run.JobRun) -> None:
        """Logs the progress of a job; `flying` counts its running items."""
        logs.event(
            "job_progress",
            job=run.job.id,
            total=run.job.item_count(),
            completed=run.ended_count - run.failed_count,
            failed=run.failed_count,
            flying=len(run.item_scopes),
        )

    def _log_risk_change(
        self, run: job_run.JobRun, candidate: job_scheduling.Candidate
    ) -> None:
        logs.event(
            "job_deadline_at_risk" if run.at_risk else "job_deadline_safe",
            level="warning" if run.at_risk else "info",
            job=run.job.id,
            deadline_at=run.job.deadline_at,
            remaining=candidate.remaining_items,
            rate_per_s=round(self.schedule.items_per_s, 2),
        )

    async def read_progress(self, request: ttypes.JobAsk) -> Any:
        """Peer method: returns the progress of a running job.

        Raises:
            NotFoundError: This process does not run the job.
        """
        run = self.runs.get(request.job)
        if run is None:
            raise errors.NotFoundError(f"job {request.job} does not run here")
        candidates = [_make_candidate(each) for each in self.runs.values()]
        finish_s = job_scheduling.estimated_finish_s(
            candidates, self.schedule, request.job, time.time()
        )
        return ttypes.JobProgress(
            job=request.job,
            total=run.job.item_count(),
            completed=run.ended_count - run.failed_count,
            failed=run.failed_count,
            finish_at=None if finish_s is None else int(finish_s),
            at_risk=run.at_risk,
        )

    async def cancel_job(self, request: ttypes.JobCancel) -> None:
        """Peer method: stops a job; its record is `cancelling` already."""
        run = self.runs.get(request.job)
        if run is not None:
            self._cancel(run)


def _make_candidate(run: job_run.JobRun) -> job_scheduling.Candidate:
    """Returns what the choice of the next job needs of a run."""
    return job_scheduling.Candidate(
        job_id=run.job.id,
        organisation=run.job.organisation,
        accepted_s=float(run.job.created_at),
        deadline_s=float(run.job.deadline_at),
        remaining_items=run.remaining_items(),
    )


def _make_ticket_request(
    run: job_run.JobRun, task: items.Task
) -> batch_tickets.BatchTicketRequest:
    """Returns the request for the ticket of an item's next attempt."""
    body = task.item.body
    requested_tokens = body.get("max_completion_tokens") or body.get(
        "max_tokens"
    )
    max_tokens = (
        requested_tokens
        if isinstance(requested_tokens, int)
        else DEFAULT_MAX_TOKENS
    )
    prompt = body.get("prompt") or body.get("messages") or ""
    prompt_text = prompt if isinstance(prompt, str) else _messages_text(prompt)
    return batch_tickets.BatchTicketRequest(
        model=str(body.get("model", "")),
        organisation=run.job.organisation,
        request_id=f"{run.job.id}.{task.index}.{uuid.uuid4().hex[:8]}",
        prompt=prompt_text,
        max_tokens=max(1, max_tokens - len(task.token_texts)),
        due_in_s=max(0.0, run.job.deadline_at - time.time()),
        exclusive=task.crash_suspect,
        avoid=task.avoid,
    )


def _messages_text(messages: Any) -> str:
    """Returns a prompt that is no string, such as messages, as text."""
    return msgspec.json.encode(messages).decode()
