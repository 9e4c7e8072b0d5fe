"""`ibisknot-batch`: runs the batch jobs of the job shards that it owns."""

import dataclasses
import random
from typing import Annotated

import cappa

import ibisknot
from ibisknot import batch_tickets
from ibisknot import configuration_follower
from ibisknot import distribution
from ibisknot import endpoint_http
from ibisknot import job_runner
from ibisknot import job_scheduling
from ibisknot import logs
from ibisknot import maintenance
from ibisknot import program
from ibisknot import recent_events
from ibisknot import replicas
from ibisknot import settings
from ibisknot import tickets
from ibisknot.gen.jobs import ttypes

NAIVE_POLICY = "naive"
"""Policy that runs jobs by arrival and chooses endpoints at random."""


@dataclasses.dataclass
class Arguments:
    """Runs batch jobs on the fleet's idle capacity."""

    settings: Annotated[str, cappa.Arg(help="Settings file.")]
    check_settings: Annotated[
        bool, cappa.Arg(long=True, help="Check the settings file and exit.")
    ] = False


def build_runner(
    daemon: program.Daemon,
    batch_settings: settings.Batch,
    source: distribution.LocalConfiguration,
) -> job_runner.Runner:
    """Builds the runner of batch jobs from the settings."""
    replica_client = replicas.ReplicaClient(
        daemon.peers, daemon.vm_list, port=batch_settings.store_port
    )
    endpoint_client = endpoint_http.EndpointClient(
        address_overrides=batch_settings.address_overrides
    )
    choose_job: job_scheduling.ChooseJob
    if batch_settings.policy == NAIVE_POLICY:
        choose_job = job_scheduling.choose_by_arrival
        acquire_ticket = batch_tickets.at_random(
            source, batch_tickets.EndpointUse(), random.Random()
        )
    else:
        choose_job = job_scheduling.choose_by_slack
        ticket_client = tickets.Client(
            daemon, source, daemon.vm_list.active_vms
        )
        acquire_ticket = batch_tickets.from_admission(source, ticket_client)
    return job_runner.Runner(
        daemon,
        batch_settings,
        replica_client,
        endpoint_client,
        acquire_ticket,
        choose_job,
    )


def start_runner(
    daemon: program.Daemon,
    batch_settings: settings.Batch,
    runner: job_runner.Runner,
) -> None:
    """Registers the runner's peer methods and timers, and starts dispatch."""
    daemon.server.on("job_progress", ttypes.JobAsk, runner.read_progress)
    daemon.server.on("job_cancel", ttypes.JobCancel, runner.cancel_job)
    clock = daemon.clock
    clock.subscribe("lease", batch_settings.lease_s / 3, runner.shards.tick)
    clock.subscribe("rate", job_runner.RATE_PERIOD_S, runner.update_rate)
    clock.subscribe(
        "upkeep", maintenance.MAINTENANCE_PERIOD_S, runner.maintenance.run_round
    )
    daemon.task_group.start_soon(runner.dispatch)


async def run(batch_settings: settings.Batch) -> None:
    """Runs the program until it is stopped, then releases the shards."""
    async with program.start(batch_settings, name="ibisknot-batch") as daemon:
        source = distribution.LocalConfiguration(
            vm_name=batch_settings.vm.name,
            listed_vms=lambda: list(daemon.vm_list.by_name),
        )
        configuration_follower.start_batch(daemon, source)
        recent_events.start_recording(daemon.server)
        runner = build_runner(daemon, batch_settings, source)
        start_runner(daemon, batch_settings, runner)
        logs.event("batch_ready", vm=batch_settings.vm.name)
        await daemon.serve([])
        await runner.shards.release()
        await runner.endpoint_client.aclose()


def main() -> None:
    """Entry point of the program."""
    arguments = cappa.parse(Arguments, version=ibisknot.__version__)
    batch_settings = settings.load_or_exit(
        arguments.settings,
        settings.Batch,
        check_only=arguments.check_settings,
    )
    program.run(run, batch_settings)
