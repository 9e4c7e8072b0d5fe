"""`ibisknot-worker`: gives out places and runs batch jobs."""

from ibisknot import batch_item
from ibisknot import batch_worker
from ibisknot import forward
from ibisknot import node
from ibisknot import retire
from ibisknot import scheduler

EXIT_MARGIN_S = 1.0


async def run(
    platform: node.Platform,
    dialect: forward.Dialect,
    item_headers: batch_item.ItemHeaders,
    retire_dialect: retire.Dialect,
) -> None:
    """Runs the program until it is told to stop."""
    async with node.node(platform, program="ibisknot-worker") as made:
        giver = scheduler.Scheduler(
            made.process.name,
            made.runner.view,
            made.peers,
            made.clock,
            made.group,
        )
        giver.start(made.server)
        made.runner.changed.append(giver.refresh)
        items = batch_item.Runner(
            made.places,
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
            made.group,
        )
        worker.start(made.server)
        retirement = retire.Retirement(
            made.process,
            made.store,
            worker,
            made.clock.now,
            made.group,
            retire_dialect,
        )
        made.runner.operator_changed.append(retirement.on_change)
        await made.stop.wait()
        end_s = made.clock.now() + made.process.bounds.grace_s - EXIT_MARGIN_S
        await worker.leave(end_s)
