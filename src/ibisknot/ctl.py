"""`ibisknotctl`: the operators' command line.

Exit status: 0 done, 1 refused, 2 wrong usage, 3 conflict with a newer version,
4 not reachable or not available, 5 outcome unknown, 6 confirmed but not yet
reported by all listed VMs.
"""

import dataclasses
import os
import sys
from typing import Annotated
from typing import Any

import cappa
import msgspec
from rich import console as rich_console

import ibisknot
from ibisknot import _ctl_commands
from ibisknot import _ctl_session
from ibisknot import _ctl_show

URL_VARIABLE = "IBISKNOT_URL"
KEY_VARIABLE = "IBISKNOT_OPERATOR_KEY"


@cappa.command(name="ibisknotctl")
@dataclasses.dataclass
class Arguments:
    """States intents, confirms plans and inspects the fleet."""

    command: cappa.Subcommands[_ctl_commands.Command]
    url: Annotated[
        str, cappa.Arg(long=True, help=f"Entry URL, or {URL_VARIABLE}.")
    ] = ""
    key: Annotated[
        str, cappa.Arg(long=True, help=f"Operator key, or {KEY_VARIABLE}.")
    ] = ""
    authority: Annotated[
        str, cappa.Arg(long=True, help="Certificate authority of the entry.")
    ] = ""
    json: Annotated[
        bool, cappa.Arg(long=True, help="Print JSON for scripts.")
    ] = False


def _fail(error: _ctl_session.CommandError, *, as_json: bool) -> int:
    """Prints a failure and returns the exit status."""
    print(f"ibisknotctl: {error}", file=sys.stderr)
    if as_json and error.answer is not None:
        print(msgspec.json.encode(error.answer).decode())
    elif error.answer is not None and error.answer["error"].get("difference"):
        out = rich_console.Console(stderr=True)
        _ctl_show.differences(error.answer["error"]["difference"], out)
    return error.status


def _in_force(answer: Any) -> bool:
    return not isinstance(answer, dict) or answer.get("in_force", True)


def run(argv: list[str]) -> int:
    """Runs a command line and returns the exit status."""
    arguments = cappa.parse(Arguments, argv=argv, version=ibisknot.__version__)
    url = arguments.url or os.environ.get(URL_VARIABLE, "")
    key = arguments.key or os.environ.get(KEY_VARIABLE, "")
    if not url or not key:
        message = f"give --url and --key, or set {URL_VARIABLE} and"
        print(f"{message} {KEY_VARIABLE}", file=sys.stderr)
        return _ctl_session.EXIT_USAGE
    session = _ctl_session.Session(url, key, arguments.authority)
    try:
        answer = _ctl_commands.execute(session, arguments.command)
    except _ctl_session.CommandError as error:
        return _fail(error, as_json=arguments.json)
    _ctl_show.show(answer, arguments.command, as_json=arguments.json)
    return 0 if _in_force(answer) else _ctl_session.EXIT_NOT_IN_FORCE


def main() -> None:
    """Entry point of the program."""
    raise SystemExit(run(sys.argv[1:]))
