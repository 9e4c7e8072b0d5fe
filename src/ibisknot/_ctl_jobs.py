"""`ibisknotctl jobs`: shows the batch jobs with their progress."""

import dataclasses
import datetime
from typing import Any

from rich import console as rich_console
from rich import progress_bar
from rich import table as rich_table

JOBS_PATH = "/operator/jobs"
BAR_WIDTH = 20
"""Width of a progress bar in characters."""


@dataclasses.dataclass
class Jobs:
    """Shows the batch jobs, their progress and estimated finish."""


def make_table(response: Any) -> rich_table.Table:
    """Returns a table of the jobs, with a progress bar for each."""
    jobs_table = rich_table.Table(
        "job",
        "organisation",
        "state",
        "progress",
        "items",
        "errors",
        "finish",
        "deadline",
        "note",
    )
    for job in response["jobs"]:
        done = job["completed"] + job["failed"]
        jobs_table.add_row(
            job["job"],
            job["organisation"],
            job["state"],
            progress_bar.ProgressBar(
                total=job["total"], completed=done, width=BAR_WIDTH
            ),
            f"{done}/{job['total']}",
            str(job["failed"]),
            _format_time(job["finish_at"]),
            _format_time(job["deadline_at"]),
            "[red]deadline at risk[/red]" if job["at_risk"] else "",
        )
    return jobs_table


def print_jobs(response: Any, out: rich_console.Console) -> None:
    """Prints the jobs."""
    out.print(make_table(response))


def _format_time(seconds: int | None) -> str:
    """Returns seconds since 1970 as a date and time in UTC.

    >>> _format_time(0)
    '01-01 00:00:00'
    """
    if seconds is None:
        return "unknown"
    time_utc = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return time_utc.strftime("%m-%d %H:%M:%S")
