"""Output of `ibisknotctl` for people."""

import datetime
from typing import Any

import msgspec
from rich import console as rich_console
from rich import table as rich_table

from ibisknot import _ctl_commands
from ibisknot import _ctl_jobs


def differences(
    changes: list[dict[str, Any]], out: rich_console.Console
) -> None:
    """Prints changed fields."""
    table = rich_table.Table("path", "before", "after")
    for change in changes:
        before, after = str(change["before"]), str(change["after"])
        table.add_row(change["path"], before, after)
    out.print(table)


def _plan(answer: Any, out: rich_console.Console) -> None:
    if "key" in answer:
        out.print(f"key (shown once): {answer['key']}", highlight=False)
    differences(answer["changes"], out)
    if answer["effects"]:
        table = rich_table.Table("effect on", "of", "now", "then", "unit")
        for effect in answer["effects"]:
            before = effect["before"]
            table.add_row(
                effect["kind"],
                effect["subject"],
                "not known" if before is None else str(before),
                str(effect["after"]),
                effect["unit"],
            )
        out.print(table)
    for warning in answer["warnings"]:
        out.print(f"warning: {warning}")
    expires = _time(answer["expires_at"])
    out.print(f"from version {answer['base_version']}, expires {expires}")
    out.print(f"confirm with: ibisknotctl confirm {answer['id']}")


def _time(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S UTC")


def _confirmed(answer: Any, out: rich_console.Console) -> None:
    out.print(f"version {answer['version']} is confirmed")
    if "in_force" not in answer:
        return
    if answer["in_force"]:
        out.print("it is in force on all listed VMs")
    else:
        out.print(f"not reported by: {', '.join(answer['missing'])}")


def _status(answer: Any, out: rich_console.Console) -> None:
    table = rich_table.Table("VM", "data centre", "state", "version")
    for vm in answer["vms"]:
        version = "no answer" if vm["version"] is None else str(vm["version"])
        table.add_row(vm["vm"], vm["data_centre"], vm["state"], version)
    out.print(table)
    out.print(f"current version: {answer['version']}")
    if not answer["current"]:
        out.print("this VM may be cut off: it refuses requests with a key")
    orders = answer.get("orders") or []
    if orders:
        table = rich_table.Table("endpoint", "model", "wanted", "state", "why")
        for order in orders:
            table.add_row(
                order["endpoint"],
                order["model"],
                order["wanted"],
                order["state"],
                order["reason"],
            )
        out.print(table)


def _history(answer: Any, out: rich_console.Console) -> None:
    table = rich_table.Table("version", "time", "author", "changed")
    for change in answer:
        names = [f"{c['kind']}/{c['name']}" for c in change["changes"]]
        shown = ", ".join(names[:4])
        if len(names) > 4:
            shown += f" and {len(names) - 4} more"
        table.add_row(
            str(change["version"]), _time(change["at"]), change["author"], shown
        )
    out.print(table)


def _explain(answer: Any, out: rich_console.Console) -> None:
    if answer["configuration"] is not None:
        out.print_json(msgspec.json.encode(answer["configuration"]).decode())
    for event in answer["events"]:
        rest = {
            name: value
            for name, value in event.items()
            if name not in ("time", "vm", "event", "level")
        }
        fields = " ".join(f"{name}={value}" for name, value in rest.items())
        out.print(
            f"{event['time']} {event['vm']} {event['event']} {fields}",
            highlight=False,
            soft_wrap=True,
        )
    if not answer["events"]:
        out.print(f"no VM keeps a recent event about {answer['subject']}")
    if answer["no_answer"]:
        out.print(f"no answer from: {', '.join(answer['no_answer'])}")


def show(answer: Any, command: Any, *, as_json: bool) -> None:
    """Prints an answer for a person or a script."""
    out = rich_console.Console()
    if as_json:
        print(msgspec.json.encode(answer).decode())
    elif isinstance(command, _ctl_commands.PLANNING):
        _plan(answer, out)
    elif isinstance(command, _ctl_commands.Confirm):
        _confirmed(answer, out)
    elif isinstance(command, _ctl_commands.Status):
        _status(answer, out)
    elif isinstance(command, _ctl_commands.History):
        _history(answer, out)
    elif isinstance(command, _ctl_commands.Explain):
        _explain(answer, out)
    elif isinstance(command, _ctl_jobs.Jobs):
        _ctl_jobs.show(answer, out)
    else:
        out.print_json(msgspec.json.encode(answer).decode())
