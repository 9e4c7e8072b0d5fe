"""Commands of `ibisknotctl` and the intents that they state.

The docstrings and field names of the commands are the command line's help texts
and options.
"""

import dataclasses
import pathlib
from typing import Annotated
from typing import Any

import cappa
import json5

from ibisknot import _ctl_jobs
from ibisknot import _ctl_session

PLANS_PATH = "/operator/plans"
ORGANISATION_NAME: cappa.Arg[str] = cappa.Arg(help="The organisation's name.")


@dataclasses.dataclass
class Plan:
    """States an intent and shows the plan of what it changes."""

    file: Annotated[
        str | None, cappa.Arg(help="Intent file, JSON with comments.")
    ] = None
    revert: Annotated[
        int | None,
        cappa.Arg(long=True, help="Plan the content of an older version."),
    ] = None


@dataclasses.dataclass
class Confirm:
    """Confirms a plan, which puts it in force."""

    plan: Annotated[str, cappa.Arg(help="The plan's id.")]
    wait: Annotated[
        bool,
        cappa.Arg(long=True, help="Wait until all listed VMs report it."),
    ] = False
    wait_s: Annotated[
        float, cappa.Arg(long=True, help="Longest wait in seconds.")
    ] = 15.0


@dataclasses.dataclass
class Key:
    """Creates a key and plans its addition; the key is shown once."""

    organisation: Annotated[str, ORGANISATION_NAME]
    key_id: Annotated[str, cappa.Arg(help="A name for the key.")]


@dataclasses.dataclass
class Withdraw:
    """Plans the withdrawal of a key."""

    organisation: Annotated[str, ORGANISATION_NAME]
    key_id: Annotated[str, cappa.Arg(help="The key's name.")]


@dataclasses.dataclass
class Organisation:
    """Plans a new organisation, or its removal."""

    organisation: Annotated[str, ORGANISATION_NAME]
    rate: Annotated[
        float | None, cappa.Arg(long=True, help="Requests a second.")
    ] = None
    burst: Annotated[
        float | None, cappa.Arg(long=True, help="Requests at once.")
    ] = None
    remove: Annotated[bool, cappa.Arg(long=True)] = False


@dataclasses.dataclass
class Rate:
    """Plans an organisation's rate, and its burst if given."""

    organisation: Annotated[str, ORGANISATION_NAME]
    rate: Annotated[float, cappa.Arg(help="Requests a second.")]
    burst: Annotated[
        float | None, cappa.Arg(long=True, help="Requests at once.")
    ] = None


@dataclasses.dataclass
class Route:
    """Plans a route to a plain service, or its removal."""

    route: Annotated[str, cappa.Arg(help="Name below /services/.")]
    service: Annotated[
        str | None, cappa.Arg(long=True, help="The service's name.")
    ] = None
    open: Annotated[
        bool, cappa.Arg(long=True, help="Requests need no key.")
    ] = False
    once: Annotated[
        bool, cappa.Arg(long=True, help="Calls must not be repeated.")
    ] = False
    remove: Annotated[bool, cappa.Arg(long=True)] = False


@dataclasses.dataclass
class Version:
    """Plans the version of a model that the fleet serves."""

    model: Annotated[str, cappa.Arg(help="The model's name.")]
    version: Annotated[str, cappa.Arg(help="The wanted version.")]


@dataclasses.dataclass
class Endpoint:
    """Plans that an endpoint is drained, or that it serves again."""

    endpoint: Annotated[str, cappa.Arg(help="The endpoint's name.")]
    state: Annotated[
        str, cappa.Arg(help="The wanted state.", choices=["active", "leaving"])
    ]


@dataclasses.dataclass
class Show:
    """Shows the configuration in force, or an older version."""

    version: Annotated[int | None, cappa.Arg(help="The version to show.")] = (
        None
    )


@dataclasses.dataclass
class Status:
    """Shows the version in force on each VM, and the orders."""


@dataclasses.dataclass
class History:
    """Shows the confirmed changes, newest first."""

    limit: Annotated[int, cappa.Arg(long=True)] = 20


@dataclasses.dataclass
class Operation:
    """Shows whether a change with an unknown outcome took effect."""

    operation: Annotated[str, cappa.Arg(help="The operation's id.")]


@dataclasses.dataclass
class Explain:
    """Shows what the VMs decided about a subject.

    The subject is a request, a job, an organisation or an endpoint.
    """

    subject: Annotated[str, cappa.Arg(help="Its id or name.")]


Command = (
    Plan
    | Confirm
    | Key
    | Withdraw
    | Organisation
    | Rate
    | Route
    | Version
    | Endpoint
    | Show
    | Status
    | History
    | Operation
    | Explain
    | _ctl_jobs.Jobs
)
PLANNING_COMMANDS = (
    Plan,
    Key,
    Withdraw,
    Organisation,
    Rate,
    Route,
    Version,
    Endpoint,
)


def _read_intent(path: str) -> Any:
    try:
        return json5.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        message = f"{path}: {error}"
        raise _ctl_session.CommandError(
            message, _ctl_session.EXIT_USAGE
        ) from None


def _usage_error(message: str) -> _ctl_session.CommandError:
    return _ctl_session.CommandError(message, _ctl_session.EXIT_USAGE)


def _plan_intent(command: Plan) -> Any:
    if (command.file is None) == (command.revert is None):
        raise _usage_error("plan needs an intent file or --revert VERSION")
    if command.file is not None:
        return _read_intent(command.file)
    return {"revert_to": command.revert}


def _organisation_intent(command: Organisation) -> Any:
    name = command.organisation
    if command.remove:
        return {"organisations": {name: None}}
    if command.rate is None:
        message = "organisation needs --rate, or --remove"
        raise _usage_error(message)
    burst = command.rate if command.burst is None else command.burst
    entry = {"rate_per_s": command.rate, "burst": burst}
    return {"organisations": {name: entry}}


def _rate_intent(command: Rate) -> Any:
    entry = {"rate_per_s": command.rate}
    if command.burst is not None:
        entry["burst"] = command.burst
    return {"organisations": {command.organisation: entry}}


def _route_intent(command: Route) -> Any:
    if command.remove:
        return {"routes": {command.route: None}}
    if command.service is None:
        raise _usage_error("route needs --service, or --remove")
    entry = {
        "service": command.service,
        "open": command.open,
        "idempotent": not command.once,
    }
    return {"routes": {command.route: entry}}


def make_intent(command: Any) -> Any:
    """Returns the intent that a planning command states.

    Raises:
        CommandError: The command's arguments contradict each other or are
            incomplete.

    >>> make_intent(Version("small", "2"))
    {'models': {'small': {'version': '2'}}}
    """
    match command:
        case Plan():
            return _plan_intent(command)
        case Withdraw(name, key_id):
            return {"organisations": {name: {"keys": {key_id: None}}}}
        case Organisation():
            return _organisation_intent(command)
        case Rate():
            return _rate_intent(command)
        case Route():
            return _route_intent(command)
        case Version(model, version):
            return {"models": {model: {"version": version}}}
        case Endpoint(endpoint, state):
            return {"endpoints": {endpoint: {"state": state}}}
    raise AssertionError(f"{command!r} states no intent")


def _create_key(session: _ctl_session.Session, command: Key) -> Any:
    created = session.call(
        "POST",
        "/operator/keys",
        {"organisation": command.organisation, "key_id": command.key_id},
    )
    plan = session.call("POST", PLANS_PATH, created["intent"])
    return {"key": created["key"], **plan}


def _confirm(session: _ctl_session.Session, command: Confirm) -> Any:
    path = f"{PLANS_PATH}/{command.plan}/confirm"
    if command.wait:
        path += f"?wait_s={command.wait_s:g}"
    return session.call("POST", path)


def execute(session: _ctl_session.Session, command: Any) -> Any:
    """Runs one command and returns the decoded response.

    Raises:
        CommandError: The command failed.
    """
    match command:
        case Confirm():
            return _confirm(session, command)
        case Key():
            return _create_key(session, command)
        case Show(version):
            query = "" if version is None else f"?version={version}"
            return session.call("GET", f"/operator/configuration{query}")
        case Status():
            return session.call("GET", "/operator/status?orders=1")
        case History(limit):
            return session.call("GET", f"/operator/history?limit={limit}")
        case Operation(operation):
            return session.call("GET", f"/operator/operations/{operation}")
        case _ctl_jobs.Jobs():
            return session.call("GET", _ctl_jobs.JOBS_PATH)
        case Explain(subject):
            return session.call("GET", f"/operator/explain/{subject}")
        case _:
            return session.call("POST", PLANS_PATH, make_intent(command))
