"""Output of `ibisknotctl`: tables and texts, or JSON for scripts."""

import datetime
from typing import Any

import msgspec
from rich import console as rich_console
from rich import table as rich_table

from ibisknot import _ctl_commands
from ibisknot import _ctl_jobs


def print_changes(
    changes: list[dict[str, Any]], out: rich_console.Console
) -> None:
    """Prints changed fields with their values before and after."""
    table = rich_table.Table("path", "before", "after")
    for change in changes:
        before, after = str(change["before"]), str(change["after"])
        table.add_row(change["path"], before, after)
    out.print(table)


def _print_plan(plan: Any, out: rich_console.Console) -> None:
    if "key" in plan:
        out.print(f"key (shown once): {plan['key']}", highlight=False)
    print_changes(plan["changes"], out)
    if plan["effects"]:
        table = rich_table.Table("effect on", "of", "now", "then", "unit")
        for effect in plan["effects"]:
            before = effect["before"]
            table.add_row(
                effect["kind"],
                effect["subject"],
                "not known" if before is None else str(before),
                str(effect["after"]),
                effect["unit"],
            )
        out.print(table)
    for warning in plan["warnings"]:
        out.print(f"warning: {warning}")
    expires = _format_time(plan["expires_at"])
    out.print(f"from version {plan['base_version']}, expires {expires}")
    out.print(f"confirm with: ibisknotctl confirm {plan['id']}")


def _format_time(seconds: float) -> str:
    time_utc = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return time_utc.strftime("%Y-%m-%d %H:%M:%S UTC")


def _print_confirmation(response: Any, out: rich_console.Console) -> None:
    out.print(f"version {response['version']} is confirmed")
    if "in_force" not in response:
        return
    if response["in_force"]:
        out.print("it is in force on all listed VMs")
    else:
        out.print(f"not reported by: {', '.join(response['missing'])}")


def _print_status(response: Any, out: rich_console.Console) -> None:
    table = rich_table.Table("VM", "data centre", "state", "version")
    for vm in response["vms"]:
        version = "no answer" if vm["version"] is None else str(vm["version"])
        table.add_row(vm["vm"], vm["data_centre"], vm["state"], version)
    out.print(table)
    out.print(f"current version: {response['version']}")
    if not response["current"]:
        out.print("this VM may be disconnected: it refuses requests with a key")
    orders = response.get("orders") or []
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


def _print_history(changes: Any, out: rich_console.Console) -> None:
    table = rich_table.Table("version", "time", "author", "changed")
    for change in changes:
        names = [f"{c['kind']}/{c['name']}" for c in change["changes"]]
        summary = ", ".join(names[:4])
        if len(names) > 4:
            summary += f" and {len(names) - 4} more"
        table.add_row(
            str(change["version"]),
            _format_time(change["at"]),
            change["author"],
            summary,
        )
    out.print(table)


def _print_explanation(response: Any, out: rich_console.Console) -> None:
    if response["configuration"] is not None:
        out.print_json(msgspec.json.encode(response["configuration"]).decode())
    for event in response["events"]:
        event_fields = {
            name: value
            for name, value in event.items()
            if name not in ("time", "vm", "event", "level")
        }
        fields = " ".join(
            f"{name}={value}" for name, value in event_fields.items()
        )
        out.print(
            f"{event['time']} {event['vm']} {event['event']} {fields}",
            highlight=False,
            soft_wrap=True,
        )
    if not response["events"]:
        out.print(f"no VM has a recent event about {response['subject']}")
    if response["no_answer"]:
        out.print(f"no answer from: {', '.join(response['no_answer'])}")


def print_response(response: Any, command: Any, *, as_json: bool) -> None:
    """Prints a command's response.

    Args:
        response: The decoded response.
        command: The command, which selects the layout.
        as_json: Whether to print the response as JSON.
    """
    out = rich_console.Console()
    if as_json:
        print(msgspec.json.encode(response).decode())
    elif isinstance(command, _ctl_commands.PLANNING_COMMANDS):
        _print_plan(response, out)
    elif isinstance(command, _ctl_commands.Confirm):
        _print_confirmation(response, out)
    elif isinstance(command, _ctl_commands.Status):
        _print_status(response, out)
    elif isinstance(command, _ctl_commands.History):
        _print_history(response, out)
    elif isinstance(command, _ctl_commands.Explain):
        _print_explanation(response, out)
    elif isinstance(command, _ctl_jobs.Jobs):
        _ctl_jobs.print_jobs(response, out)
    else:
        out.print_json(msgspec.json.encode(response).decode())
