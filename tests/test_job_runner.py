"""The runner of batch items on the product's own interface."""

import types

import anyio
import fake_fleet

from ibisknot import admission
from ibisknot import batch_tickets
from ibisknot import errors
from ibisknot import items
from ibisknot import job_run
from ibisknot import job_runner
from ibisknot import jobs


class _CrashedEndpoints:
    """An endpoint client that finds no endpoint answering."""

    async def is_answering(self, _url: str) -> bool:
        return False


class _Daemon:
    def __init__(self) -> None:
        self.clock = fake_fleet.Clock()


def test_item_is_not_given_up_for_crashes_of_its_endpoints() -> None:
    """Guards against failing a sound item that ran at several crashes."""

    async def main() -> None:
        runner = object.__new__(job_runner.Runner)
        runner.daemon = _Daemon()  # type: ignore[assignment]
        runner.endpoint_client = _CrashedEndpoints()  # type: ignore[assignment]
        runner.ended_item_count = 0
        record = types.SimpleNamespace(id="j")
        run = job_run.JobRun(record, 0, 1, None)  # type: ignore[arg-type]
        task = items.Task(0, jobs.Item("a", "/v1/completions", {"model": "m"}))
        ticket = batch_tickets.BatchTicket("e", "http://e", exclusive=True)
        for _ in range(12):
            error = errors.TruncatedStreamError("cut by a crash")
            outcome = await runner._record_endpoint_error(
                run, task, error, ticket
            )
            assert outcome == admission.CRASHED
        assert not run.unwritten_results
        assert run.delayed[-1] is task

    anyio.run(main)
