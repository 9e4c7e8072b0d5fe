"""`ibisknotctl`: the operators' command line."""

import dataclasses
import os
import pathlib
import sys
from typing import Annotated
from typing import Any

import cappa
import httpx
import json5
import msgspec
from rich import console as rich_console
from rich import table as rich_table

import ibisknot

URL_VARIABLE = "IBISKNOT_URL"
KEY_VARIABLE = "IBISKNOT_OPERATOR_KEY"
TIMEOUT_S = 30.0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4


class CommandError(Exception):
    """A command failed; `status` is the exit status."""

    def __init__(self, message: str, status: int) -> None:
        super().__init__(message)
        self.status = status


@dataclasses.dataclass
class Plan:
    """States an intent and shows the plan of what it changes."""

    file: Annotated[str, cappa.Arg(help="Intent file, JSON with comments.")]


@dataclasses.dataclass
class Confirm:
    """Confirms a plan, which puts it in force."""

    plan: Annotated[str, cappa.Arg(help="The plan's id.")]


@dataclasses.dataclass
class Key:
    """Makes a key and plans its addition; the key is shown once."""

    organisation: Annotated[str, cappa.Arg(help="The organisation's name.")]
    key_id: Annotated[str, cappa.Arg(help="A name for the key.")]


@dataclasses.dataclass
class Withdraw:
    """Plans the withdrawal of a key."""

    organisation: Annotated[str, cappa.Arg(help="The organisation's name.")]
    key_id: Annotated[str, cappa.Arg(help="The key's name.")]


@dataclasses.dataclass
class Show:
    """Shows the configuration in force."""


@dataclasses.dataclass
class Status:
    """Shows the version in force on each VM."""


@dataclasses.dataclass
class History:
    """Shows the confirmed changes, newest first."""


@dataclasses.dataclass
class Arguments:
    """States intents, confirms plans and inspects the fleet."""

    command: cappa.Subcommands[
        Plan | Confirm | Key | Withdraw | Show | Status | History
    ]
    url: Annotated[
        str, cappa.Arg(long=True, help=f"Entry URL, or {URL_VARIABLE}.")
    ] = ""
    key: Annotated[
        str, cappa.Arg(long=True, help=f"Operator key, or {KEY_VARIABLE}.")
    ] = ""
    json: Annotated[
        bool, cappa.Arg(long=True, help="Print JSON for scripts.")
    ] = False


class Session:
    """A connection to the operators' interface."""

    def __init__(self, url: str, key: str) -> None:
        self.client = httpx.Client(
            base_url=url,
            headers={"authorization": f"Bearer {key}"},
            timeout=TIMEOUT_S,
            trust_env=False,
        )

    def call(self, method: str, path: str, body: Any = None) -> Any:
        """Calls the interface and returns the decoded answer.

        Raises:
            CommandError: The call failed or was refused.
        """
        content = None if body is None else msgspec.json.encode(body)
        try:
            response = self.client.request(method, path, content=content)
        except httpx.HTTPError as error:
            message = f"{self.client.base_url}: not reachable: {error}"
            raise CommandError(message, EXIT_UNREACHABLE) from None
        answer = msgspec.json.decode(response.content)
        if response.is_success:
            return answer
        refusal = answer["error"]
        conflict = response.status_code == 409
        status = EXIT_CONFLICT if conflict else EXIT_REFUSED
        raise CommandError(f"{refusal['code']}: {refusal['message']}", status)


def _read_intent(path: str) -> Any:
    try:
        return json5.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise CommandError(f"{path}: {error}", EXIT_USAGE) from None


def _make_key(session: Session, command: Key) -> Any:
    made = session.call(
        "POST",
        "/operator/keys",
        {"organisation": command.organisation, "key_id": command.key_id},
    )
    plan = session.call("POST", "/operator/plans", made["intent"])
    return {"key": made["key"], **plan}


def _withdraw(session: Session, command: Withdraw) -> Any:
    entry = {"keys": {command.key_id: None}}
    intent = {"organisations": {command.organisation: entry}}
    return session.call("POST", "/operator/plans", intent)


def execute(session: Session, command: Any) -> Any:
    """Runs one command and returns its answer.

    Raises:
        CommandError: The command failed.
    """
    match command:
        case Plan():
            intent = _read_intent(command.file)
            return session.call("POST", "/operator/plans", intent)
        case Confirm():
            path = f"/operator/plans/{command.plan}/confirm"
            return session.call("POST", path)
        case Key():
            return _make_key(session, command)
        case Withdraw():
            return _withdraw(session, command)
        case Show():
            return session.call("GET", "/operator/configuration")
        case Status():
            return session.call("GET", "/operator/status")
        case _:
            return session.call("GET", "/operator/history")


def _print_plan(answer: Any, out: rich_console.Console) -> None:
    if "key" in answer:
        out.print(f"key (shown once): {answer['key']}", highlight=False)
    table = rich_table.Table("path", "before", "after")
    for change in answer["changes"]:
        table.add_row(
            change["path"], str(change["before"]), str(change["after"])
        )
    out.print(table)
    for warning in answer["warnings"]:
        out.print(f"warning: {warning}")
    out.print(f"confirm with: ibisknotctl confirm {answer['id']}")


def _print_status(answer: Any, out: rich_console.Console) -> None:
    table = rich_table.Table("VM", "data centre", "state", "version")
    for vm in answer["vms"]:
        version = "no answer" if vm["version"] is None else str(vm["version"])
        table.add_row(vm["vm"], vm["data_centre"], vm["state"], version)
    out.print(table)
    out.print(f"current version: {answer['version']}")


def show(answer: Any, command: Any, *, as_json: bool) -> None:
    """Prints an answer for a person or a script."""
    out = rich_console.Console()
    if as_json:
        print(msgspec.json.encode(answer).decode())
    elif isinstance(command, Plan | Key | Withdraw):
        _print_plan(answer, out)
    elif isinstance(command, Status):
        _print_status(answer, out)
    elif isinstance(command, Confirm):
        out.print(f"version {answer['version']} is confirmed")
    else:
        out.print_json(msgspec.json.encode(answer).decode())


def main() -> None:
    """Entry point of the program."""
    arguments = cappa.parse(Arguments, version=ibisknot.__version__)
    url = arguments.url or os.environ.get(URL_VARIABLE, "")
    key = arguments.key or os.environ.get(KEY_VARIABLE, "")
    if not url or not key:
        message = f"give --url and --key, or set {URL_VARIABLE} and"
        print(f"{message} {KEY_VARIABLE}", file=sys.stderr)
        raise SystemExit(EXIT_USAGE)
    try:
        answer = execute(Session(url, key), arguments.command)
    except CommandError as error:
        print(f"ibisknotctl: {error}", file=sys.stderr)
        raise SystemExit(error.status) from None
    show(answer, arguments.command, as_json=arguments.json)
