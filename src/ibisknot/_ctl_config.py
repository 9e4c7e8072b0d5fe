"""`ibisknotctl config`: checks a configuration before it is sent.

Exit status: 0 nothing found, 1 findings, 2 a file or the store cannot be read.
"""

import dataclasses
import importlib
import sys
from typing import Annotated
from typing import Any

import cappa
import msgspec
from rich import console as rich_console
from rich import table as rich_table

from ibisknot import errors

EXIT_FINDINGS = 1
EXIT_UNREADABLE = 2


@dataclasses.dataclass
class Check:
    """Shows what is wrong with a configuration and what it changes."""

    file: Annotated[str, cappa.Arg(help="The configuration, JSON.")]
    against: Annotated[
        str,
        cappa.Arg(
            long=True,
            help="File, or with --store the version, to compare with.",
        ),
    ] = ""
    store: Annotated[
        str,
        cappa.Arg(long=True, help="Key-value service with the one in force."),
    ] = ""


@dataclasses.dataclass
class Config:
    """Works on a configuration without sending it."""

    command: cappa.Subcommands[Check]


def run(command: Check, *, as_json: bool) -> int:
    """Checks a configuration, prints the report, returns the exit status."""
    # The adapter knows the format; other commands do without it.
    adapter = importlib.import_module("ibisknot.platform.configuration_check")
    try:
        text = adapter.read(command.file)
        against = _in_force(adapter, command)
        report = adapter.check(text, against=against)
    except errors.IbisknotError as error:
        print(f"ibisknotctl: {error.message}", file=sys.stderr)
        return EXIT_UNREADABLE
    if as_json:
        print(msgspec.json.encode(report).decode())
    else:
        _print_report(report, rich_console.Console())
    return EXIT_FINDINGS if report.findings else 0


def _in_force(adapter: Any, command: Check) -> str | None:
    """Returns the configuration to compare with, or None.

    Raises:
        SettingsError: It cannot be read, or has another version.
    """
    text: str | None = None
    if command.store:
        text = adapter.read_in_force(command.store, command.against)
    elif command.against:
        text = adapter.read(command.against)
    return text


def _print_report(report: Any, out: rich_console.Console) -> None:
    """Prints the findings, and the changes if there are any."""
    for finding in report.findings:
        out.print(
            f"line {finding.line}: {finding.level}: {finding.message}"
            f" ({finding.field}, {finding.code})",
            highlight=False,
            markup=False,
            soft_wrap=True,
        )
    if not report.findings:
        out.print("nothing found")
    if report.changes:
        table = rich_table.Table("path", "before", "after")
        for path, before, after in report.changes:
            table.add_row(path, str(before), str(after))
        out.print(table)
