"""`ibisknot-worker`: gives out places and runs batch jobs."""

from ibisknot import batch_item
from ibisknot import batch_worker
from ibisknot import forward
from ibisknot import node
from ibisknot import scheduler


async def run(
    platform: node.Platform,
    dialect: forward.Dialect,
    item_headers: batch_item.ItemHeaders,
) -> None:
    """Runs the program until it is told to stop."""
    async with node.node(platform, program="ibisknot-worker") as made:
        giver = scheduler.Scheduler(
            made.runner.view, made.peers, made.clock, made.group
        )
        giver.start(made.server)
        made.runner.changed.append(giver.refresh)
        items = batch_item.Runner(
            made.places, made.client, dialect, item_headers, made.clock.now
        )
        worker = batch_worker.Worker(
            made.process,
            made.store,
            made.runner.view,
            items,
            made.clock,
            made.group,
        )
        worker.start(made.server)
        await made.stop.wait()
