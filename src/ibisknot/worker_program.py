"""`ibisknot-worker`: grants tickets and runs batch jobs."""

from ibisknot import batch_drain
from ibisknot import batch_item
from ibisknot import batch_records
from ibisknot import batch_worker
from ibisknot import forward
from ibisknot import job_answers
from ibisknot import node
from ibisknot import scheduler
from ibisknot import stream_records
from ibisknot import worker_retirement
from ibisknot.progress import journal

EXIT_MARGIN_S = 1.0
"""Time kept for the shutdown before the VM's grace period ends."""


async def run(
    platform: node.Platform,
    dialect: forward.Dialect,
    item_headers: batch_item.ItemHeaders,
    retire_dialect: worker_retirement.Dialect,
) -> None:
    """Runs the worker until a shutdown is requested."""
    async with node.start(platform, program="ibisknot-worker") as worker_node:
        ticket_scheduler = scheduler.Scheduler(
            worker_node.process.name,
            worker_node.runner.view,
            worker_node.peers,
            worker_node.clock,
            worker_node.tasks,
            origins=worker_node.streams.table,
            is_earlier_build=worker_node.tickets.share.is_earlier_build,
        )
        ticket_scheduler.start(worker_node.server)
        stream_records.Writer(
            worker_node.process.name,
            worker_node.store,
            worker_node.streams.table,
            worker_node.streams.history,
        ).start(worker_node.clock, stream_records.SCHEDULER_CHECK_PERIOD_S)
        worker_node.runner.change_callbacks.append(
            ticket_scheduler.update_endpoints
        )
        items = batch_item.Runner(
            worker_node.tickets,
            worker_node.client,
            dialect,
            item_headers,
            worker_node.clock.now,
            worker_node.runner.view,
            batch_records.max_output_bytes(worker_node.process.value_bytes),
        )
        worker = batch_worker.Worker(
            worker_node.process,
            worker_node.store,
            worker_node.runner.view,
            worker_node.peers,
            items,
            worker_node.clock,
            worker_node.tasks,
            worker_node.runner.registration,
            wait_to_retry=worker_node.store.gate.wait,
        )
        data_folder = worker_node.process.data_folder
        if data_folder is not None:
            worker.progress = await journal.open_journal(
                data_folder, worker.jobs.__contains__
            )
        if worker.progress is not None:
            worker.progress.start(worker_node.clock)
        worker.start(worker_node.server)
        worker_node.runner.change_callbacks.append(worker.on_members_changed)
        job_answers.Answers(
            worker,
            worker_node.runner.registration,
            worker_node.store,
            worker_node.clock.now,
            is_outage=worker_node.store.gate.is_outage,
        ).start(worker_node.server)
        retirement = worker_retirement.Retirement(
            worker_node.process,
            worker_node.store,
            worker,
            worker_node.clock.now,
            worker_node.tasks,
            retire_dialect,
        )
        worker_node.runner.operator_callbacks.append(retirement.on_change)
        await worker_node.stop_requested.wait()
        end_s = (
            worker_node.clock.now()
            + worker_node.process.bounds.grace_s
            - EXIT_MARGIN_S
        )
        await batch_drain.drain(worker, end_s)
        await worker_node.tunnels.drain(end_s)
