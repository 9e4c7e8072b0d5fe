"""`ibisknot-batch`: runs the batch jobs of the shards that it owns."""

import dataclasses
import random
from typing import Annotated

import cappa

import ibisknot
from ibisknot import batch_tickets
from ibisknot import distribution
from ibisknot import endpoint_http
from ibisknot import follow
from ibisknot import job_scheduling
from ibisknot import logs
from ibisknot import maintenance
from ibisknot import program
from ibisknot import recent
from ibisknot import replicas
from ibisknot import runner
from ibisknot import settings
from ibisknot import tickets
from ibisknot.gen.jobs import ttypes

NAIVE = "naive"


@dataclasses.dataclass
class Arguments:
    """Runs batch jobs on the fleet's idle capacity."""

    settings: Annotated[str, cappa.Arg(help="Settings file.")]
    check_settings: Annotated[
        bool, cappa.Arg(long=True, help="Check the settings file and exit.")
    ] = False


def assemble(
    daemon: program.Daemon,
    loaded: settings.Batch,
    source: distribution.Distribution,
) -> runner.Runner:
    """Puts the batch path together."""
    copies = replicas.ReplicaClient(
        daemon.peers, daemon.vm_list, port=loaded.store_port
    )
    engines = endpoint_http.EndpointClient(
        address_overrides=loaded.address_overrides
    )
    choose: job_scheduling.ChooseJob
    if loaded.policy == NAIVE:
        choose = job_scheduling.choose_by_arrival
        acquire = batch_tickets.at_random(
            source, batch_tickets.EndpointUse(), random.Random()
        )
    else:
        choose = job_scheduling.choose_by_slack
        client = tickets.Client(daemon, source, daemon.vm_list.active_vms)
        acquire = batch_tickets.from_admission(source, client)
    return runner.Runner(daemon, loaded, copies, engines, acquire, choose)


def subscribe(
    daemon: program.Daemon, loaded: settings.Batch, made: runner.Runner
) -> None:
    """Registers peer methods and periodic work."""
    daemon.server.on("job_progress", ttypes.JobAsk, made.progress)
    daemon.server.on("job_cancel", ttypes.JobCancel, made.cancel)
    clock = daemon.clock
    clock.subscribe("lease", loaded.lease_s / 3, made.shards.tick)
    clock.subscribe("rate", runner.RATE_PERIOD_S, made.measure)
    clock.subscribe(
        "upkeep", maintenance.MAINTENANCE_PERIOD_S, made.ended.run_round
    )
    daemon.task_group.start_soon(made.dispatch)


async def run(loaded: settings.Batch) -> None:
    """Runs the program until it is told to stop."""
    async with program.start(loaded, name="ibisknot-batch") as daemon:
        source = distribution.Distribution(
            me=loaded.vm.name, listed=lambda: list(daemon.vm_list.by_name)
        )
        follow.start_batch(daemon, source)
        recent.keep(daemon.server)
        made = assemble(daemon, loaded, source)
        subscribe(daemon, loaded, made)
        logs.event("batch_ready", vm=loaded.vm.name)
        await daemon.serve([])
        await made.shards.release()
        await made.engines.aclose()


def main() -> None:
    """Entry point of the program."""
    arguments = cappa.parse(Arguments, version=ibisknot.__version__)
    loaded = settings.load_or_exit(
        arguments.settings,
        settings.Batch,
        check_only=arguments.check_settings,
    )
    program.run(run, loaded)
