"""`ibisknot-batch`: runs the batch jobs of the shards that it owns."""

from collections.abc import AsyncIterator
import dataclasses
import random
import time
from typing import Annotated
from typing import Any
import uuid

import anyio
import cappa
import httpx
import msgspec

import ibisknot
from ibisknot import distribution
from ibisknot import engine
from ibisknot import errors
from ibisknot import follow
from ibisknot import jobs
from ibisknot import keyvalue
from ibisknot import logs
from ibisknot import metrics
from ibisknot import ownership
from ibisknot import program
from ibisknot import recent
from ibisknot import replicas
from ibisknot import settings
from ibisknot import traces
from ibisknot.gen.jobs import ttypes
from ibisknot.gen.segments import ttypes as segment_types

SCAN_PERIOD_S = 0.5
ITEM_TRIES = 3
RELEASE_TIMEOUT_S = 1.0
RETRY_PAUSE_S = 0.2


@dataclasses.dataclass
class Arguments:
    """Runs batch jobs on the fleet's idle capacity."""

    settings: Annotated[str, cappa.Arg(help="Settings file.")]
    check_settings: Annotated[
        bool, cappa.Arg(long=True, help="Check the settings file and exit.")
    ] = False


@dataclasses.dataclass(slots=True, eq=False)
class Work:
    """One item to run."""

    segment: jobs.SegmentRecord
    index: int
    body: bytes


@dataclasses.dataclass(slots=True)
class Running:
    """A job that this process runs.

    Attributes:
        scope: Cancelled when the job is.
        completed: Items with a result, errors not counted.
        failed: Items that ended with an error.
    """

    job: jobs.JobRecord
    scope: anyio.CancelScope
    completed: int = 0
    failed: int = 0


class Runner:
    """Runs the jobs of the shards that this VM holds."""

    def __init__(self, daemon: program.Daemon, loaded: settings.Batch) -> None:
        self.daemon = daemon
        self.loaded = loaded
        self.store = daemon.store
        self.source = distribution.Distribution(
            me=loaded.vm.name, listed=lambda: list(daemon.vms.vms)
        )
        self.copies = replicas.Replicas(
            daemon.peers, daemon.vms, port=loaded.store_port
        )
        self.engines = engine.Engines(overrides=loaded.address_overrides)
        self.lease = 0
        self.lease_until_s = 0.0
        self.epochs: dict[int, int] = {}
        self.running: dict[str, Running] = {}
        self.limit = anyio.CapacityLimiter(loaded.concurrency)

    async def hold_lease(self, now: float) -> None:
        """Timer callback: renews the lease and takes free shards."""
        if self.lease and now < self.lease_until_s:
            if await self.store.keep_alive(self.lease):
                self.lease_until_s = now + self.loaded.lease_s
            else:
                self.lease_until_s = 0.0
        if now >= self.lease_until_s:
            self.drop()
            self.lease = await self.store.grant(self.loaded.lease_s)
            self.lease_until_s = now + self.loaded.lease_s
        await self._take_shards()

    def drop(self) -> None:
        """Stops all work, because the lease has run out."""
        for entry in self.running.values():
            entry.scope.cancel()
        self.epochs.clear()

    async def release(self) -> None:
        """Gives the shards back, so that others need not wait for them."""
        try:
            with anyio.move_on_after(RELEASE_TIMEOUT_S):
                await self.store.revoke(self.lease)
        except errors.KeyValueError as error:
            logs.event(
                "lease_not_revoked", level="warning", cause=error.message
            )

    async def _take_shards(self) -> None:
        names = [vm.name for vm in self.daemon.vms.live()]
        me = self.loaded.vm.name
        for shard in range(jobs.SHARD_COUNT):
            if shard in self.epochs:
                continue
            if ownership.preferred("jobs", shard, names) != me:
                continue
            epoch = await ownership.take(
                self.store, "jobs", shard, vm=me, lease=self.lease
            )
            if epoch is not None:
                self.epochs[shard] = epoch
                logs.event("shard_taken", kind="jobs", shard=shard, epoch=epoch)

    async def scan(self, _now: float) -> None:
        """Timer callback: starts new jobs and stops cancelled ones."""
        for shard in list(self.epochs):
            prefix = f"{jobs.JOBS}{shard:04d}/"
            for pair in await self.store.list_prefix(prefix):
                job = msgspec.json.decode(pair.value, type=jobs.JobRecord)
                self._consider(job, shard)

    def _consider(self, job: jobs.JobRecord, shard: int) -> None:
        known = self.running.get(job.id)
        if job.state in jobs.FINAL or shard not in self.epochs:
            return
        if known is None:
            known = Running(job, anyio.CancelScope())
            self.running[job.id] = known
            self.daemon.group.start_soon(self._run, known, shard)
        elif job.state == jobs.CANCELLING and known.job.state != job.state:
            known.job.state = job.state
            known.scope.cancel()

    async def _run(self, entry: Running, shard: int) -> None:
        """Runs a job to its end, or until its lease or it is cancelled."""
        epoch = self.epochs[shard]
        logs.event("job_started", job=entry.job.id, epoch=epoch)
        try:
            with entry.scope, traces.span("job", job=entry.job.id):
                if entry.job.state == jobs.IN_PROGRESS:
                    await self._run_segments(entry, epoch)
            if self.epochs.get(shard) == epoch:
                await self._finish(entry, epoch)
        except errors.IbisknotError as error:
            logs.event(
                "job_interrupted",
                level="warning",
                job=entry.job.id,
                cause=error.message,
            )
        finally:
            self.running.pop(entry.job.id, None)

    async def _run_segments(self, entry: Running, epoch: int) -> None:
        for record in entry.job.segments:
            await self.copies.seal(record, epoch)
            done = {r.index: r for r in await self._reconcile(record, epoch)}
            failed = sum(r.failed for r in done.values())
            entry.failed += failed
            entry.completed += len(done) - failed
            async with anyio.create_task_group() as group:
                async for work in self._missing(record, done):
                    await self.limit.acquire_on_behalf_of(work)
                    group.start_soon(self._item, entry, work, epoch)

    async def _reconcile(
        self, record: jobs.SegmentRecord, epoch: int
    ) -> list[segment_types.Result]:
        """Copies results that only some copies have to the others."""
        found: dict[int, segment_types.Result] = {}
        for name in record.replicas:
            for result in await self.copies.results_of(name, record):
                found.setdefault(result.index, result)
        results = list(found.values())
        if results:
            await self.copies.append(record, epoch, results)
        return results

    async def _missing(
        self,
        record: jobs.SegmentRecord,
        done: dict[int, segment_types.Result],
    ) -> AsyncIterator[Work]:
        index = 0
        async for body in self.copies.items(record):
            if index not in done:
                yield Work(record, index, body)
            index += 1

    async def _item(self, entry: Running, work: Work, epoch: int) -> None:
        """Runs one item and records its result on both copies."""
        try:
            body, failed = await self._try_item(work)
        finally:
            self.limit.release_on_behalf_of(work)
        result = segment_types.Result(
            index=work.index, body=body, failed=failed
        )
        await self.copies.append(work.segment, epoch, [result])
        metrics.BATCH_ITEMS.inc({"outcome": "failed" if failed else "ok"})
        if failed:
            entry.failed += 1
        else:
            entry.completed += 1

    async def _try_item(self, work: Work) -> tuple[bytes, bool]:
        item = msgspec.json.decode(work.body, type=jobs.Item)
        failure = "no try was made"
        status = 500
        for _ in range(ITEM_TRIES):
            try:
                status, answer = await self._call(item)
            except errors.IbisknotError as error:
                failure = error.message
                await anyio.sleep(RETRY_PAUSE_S)
                continue
            if status == 200:
                return _result_line(item, status, answer), False
            failure = answer.decode(errors="replace")
            if status < 500:
                break
        line = _result_line(item, status, b"null", failure=failure)
        return line, True

    async def _call(self, item: jobs.Item) -> tuple[int, bytes]:
        names = self.source.current.engines(str(item.body.get("model", "")))
        if not names:
            return 404, b"no active endpoint serves this model"
        endpoint = self.source.current.endpoints[random.choice(names)]
        headers = {
            "content-type": "application/json",
            "x-request-id": uuid.uuid4().hex,
            **traces.headers(),
        }
        body = msgspec.json.encode({**item.body, "stream": False})
        async with self.engines.open(
            "POST", endpoint.url + item.url, headers=headers, body=body
        ) as response:
            try:
                return response.status_code, await response.aread()
            except httpx.HTTPError as error:
                message = f"the endpoint's answer was cut: {error!r}"
                raise errors.TruncatedStreamError(message) from None

    async def _finish(self, entry: Running, epoch: int) -> None:
        """Writes the job's final state, guarded by its revision."""
        job, revision = await jobs.read_job(self.store, entry.job.id)
        if job.state in jobs.FINAL:
            return
        cancelled = job.state == jobs.CANCELLING
        counted = entry.completed + entry.failed
        if not cancelled and counted < job.total():
            return
        job.state = jobs.CANCELLED if cancelled else jobs.COMPLETED
        job.completed = entry.completed
        job.failed = entry.failed
        job.finished_at = int(time.time())
        key = jobs.job_key(job.id)
        put = keyvalue.Put(key, msgspec.json.encode(job))
        await self.store.transact([keyvalue.Guard(key, revision)], [put])
        logs.event(
            "job_finished",
            job=job.id,
            state=job.state,
            completed=job.completed,
            failed=job.failed,
            epoch=epoch,
        )

    async def progress(self, ask: ttypes.JobAsk) -> Any:
        """Peer method: returns a running job's counts.

        Raises:
            NotFoundError: This process does not run the job.
        """
        entry = self.running.get(ask.job)
        if entry is None:
            raise errors.NotFoundError(f"job {ask.job} does not run here")
        return ttypes.JobProgress(
            job=ask.job,
            total=entry.job.total(),
            completed=entry.completed,
            failed=entry.failed,
        )


def _result_line(
    item: jobs.Item, status: int, body: bytes, *, failure: str = ""
) -> bytes:
    request_id = uuid.uuid4().hex
    response = {
        "status_code": status,
        "request_id": request_id,
        "body": msgspec.Raw(body),
    }
    error = {"code": "item_failed", "message": failure} if failure else None
    return msgspec.json.encode(
        {
            "id": f"batch_req_{request_id}",
            "custom_id": item.custom_id,
            "response": response,
            "error": error,
        }
    )


async def run(loaded: settings.Batch) -> None:
    """Runs the program until it is told to stop."""
    async with program.daemon(loaded, name="ibisknot-batch") as daemon:
        runner = Runner(daemon, loaded)
        daemon.server.on("job_progress", ttypes.JobAsk, runner.progress)
        follow.start_batch(daemon, runner.source)
        recent.keep(daemon.server)
        period_s = loaded.lease_s / 3
        daemon.clock.subscribe("lease", period_s, runner.hold_lease)
        daemon.clock.subscribe("scan", SCAN_PERIOD_S, runner.scan)
        logs.event("batch_ready", vm=loaded.vm.name)
        await daemon.serve([])
        runner.drop()
        if runner.lease:
            await runner.release()


def main() -> None:
    """Entry point of the program."""
    arguments = cappa.parse(Arguments, version=ibisknot.__version__)
    loaded = settings.load_or_exit(
        arguments.settings,
        settings.Batch,
        check_only=arguments.check_settings,
    )
    program.run(run, loaded)
