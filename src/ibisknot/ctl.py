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
from ibisknot import _ctl_config
from ibisknot import _ctl_session
from ibisknot import _ctl_show

# Names of environment variables.
URL_VARIABLE = "IBISKNOT_URL"
KEY_VARIABLE = "IBISKNOT_OPERATOR_KEY"


@cappa.command(name="ibisknotctl")
@dataclasses.dataclass
class Arguments:
    """States intents, confirms plans and inspects the fleet."""

    command: cappa.Subcommands[_ctl_commands.Command | _ctl_config.Config]
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


def _print_error(error: _ctl_session.CommandError, *, as_json: bool) -> int:
    """Prints an error and returns its exit status."""
    print(f"ibisknotctl: {error}", file=sys.stderr)
    if as_json and error.response is not None:
        print(msgspec.json.encode(error.response).decode())
    elif error.response is not None and error.response["error"].get(
        "difference"
    ):
        out = rich_console.Console(stderr=True)
        _ctl_show.print_changes(error.response["error"]["difference"], out)
    return error.exit_status


def _is_in_force(response: Any) -> bool:
    """Returns False if a confirmed change is not yet on all listed VMs."""
    return not isinstance(response, dict) or response.get("in_force", True)


def run(argv: list[str]) -> int:
    """Runs a command line and returns the exit status."""
    arguments = cappa.parse(Arguments, argv=argv, version=ibisknot.__version__)
    if isinstance(arguments.command, _ctl_config.Config):
        check = arguments.command.command
        return _ctl_config.run(check, as_json=arguments.json)
    url = arguments.url or os.environ.get(URL_VARIABLE, "")
    key = arguments.key or os.environ.get(KEY_VARIABLE, "")
    if not url or not key:
        message = f"give --url and --key, or set {URL_VARIABLE} and"
        print(f"{message} {KEY_VARIABLE}", file=sys.stderr)
        return _ctl_session.EXIT_USAGE
    session = _ctl_session.Session(url, key, arguments.authority)
    try:
        response = _ctl_commands.execute(session, arguments.command)
    except _ctl_session.CommandError as error:
        return _print_error(error, as_json=arguments.json)
    _ctl_show.print_response(
        response, arguments.command, as_json=arguments.json
    )
    return 0 if _is_in_force(response) else _ctl_session.EXIT_NOT_IN_FORCE


def main() -> None:
    """Entry point of the program."""
    raise SystemExit(run(sys.argv[1:]))
