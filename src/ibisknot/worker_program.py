"""`ibisknot-worker`: gives out places and runs batch jobs."""

from ibisknot import batch_item
from ibisknot import batch_worker
from ibisknot import forward
from ibisknot import node
from ibisknot import scheduler
from ibisknot import worker_retirement

EXIT_MARGIN_S = 1.0


async def run(
    platform: node.Platform,
    dialect: forward.Dialect,
    item_headers: batch_item.ItemHeaders,
    retire_dialect: worker_retirement.Dialect,
) -> None:
    """Runs the program until it is told to stop."""
    async with node.start(platform, program="ibisknot-worker") as made:
        giver = scheduler.Scheduler(
            made.process.name,
            made.runner.view,
            made.peers,
            made.clock,
            made.task_group,
        )
        giver.start(made.server)
        made.runner.changed.append(giver.refresh)
        items = batch_item.Runner(
            made.tickets,
            made.client,
            dialect,
            item_headers,
            made.clock.now,
            made.runner.view,
        )
        worker = batch_worker.Worker(
            made.process,
            made.store,
            made.runner.view,
            made.peers,
            items,
            made.clock,
            made.task_group,
        )
        worker.start(made.server)
        retirement = worker_retirement.Retirement(
            made.process,
            made.store,
            worker,
            made.clock.now,
            made.task_group,
            retire_dialect,
        )
        made.runner.operator_changed.append(retirement.on_change)
        await made.stop_requested.wait()
        end_s = made.clock.now() + made.process.bounds.grace_s - EXIT_MARGIN_S
        await worker.drain(end_s)
