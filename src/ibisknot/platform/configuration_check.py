"""Checks a file with the operator's value before it is written."""

import json
import pathlib
import re
from typing import Any

import anyio
import msgspec

from ibisknot import api_keys
from ibisknot import errors
from ibisknot import http_client
from ibisknot import pairs
from ibisknot.configcheck import checks
from ibisknot.configcheck import difference
from ibisknot.configcheck import findings
from ibisknot.configcheck import locations
from ibisknot.platform import configuration
from ibisknot.platform import key_value_store

NAME_FIELD = "Name"
_SECTIONS = {
    "routes": "Routes",
    "services": "Services",
    "organisations": "Tenants",
}
_FIELDS = {
    "name": "Name",
    "host": "Host",
    "prefix": "Prefix",
    "targets": "TrafficSplit",
    "timeout_s": "TimeoutMs",
    "objective_s": "TargetLatencyMs",
    "event_gap_target_s": "GapAimMs",
    "max_item_age_s": "MaxWaitS",
    "max_waiting_tokens": "MaxCount",
    "keys": "ApiKeys",
    "rate_per_s": "RatePerS",
    "burst": "Burst",
}
_ERROR_PATH = re.compile(r"at `\$(?P<path>[^`]*)`")
_PATH_STEP = re.compile(r"\.(?P<name>\w+)|\[(?P<index>\d+)\]")


class Location(msgspec.Struct):
    """A finding with its place in the file.

    Attributes:
        level: `error` or `warning`.
        code: Stable name of the kind of finding.
        line: Line in the file, from 1.
        field: Path of the field in the document.
        message: What is wrong.
    """

    level: str
    code: str
    line: int
    field: str
    message: str


class Report(msgspec.Struct):
    """What a check has found.

    Attributes:
        findings: What is wrong or has no effect.
        changes: Path, value before and value after of each difference from
            the configuration in force; None if it was not compared.
    """

    findings: list[Location]
    changes: list[tuple[str, Any, Any]] | None = None


def read(path: str) -> str:
    """Returns the text of a file.

    Raises:
        SettingsError: The file cannot be read.
    """
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise errors.SettingsError(f"{path}: {error}") from None


def read_in_force(store_address: str, version: str) -> str:
    """Returns the configuration that the key-value service has.

    Args:
        store_address: Address of the service, `host:port`.
        version: Version that it must have; empty for any.

    Raises:
        KeyValueError: The service does not answer.
        SettingsError: It has no configuration, or another version.
    """

    async def get() -> pairs.Pair | None:
        client = http_client.Client()
        store = key_value_store.Client(store_address, client)
        return await store.get(configuration.KEY)

    pair = anyio.run(get)
    if pair is None:
        raise errors.SettingsError("no configuration is in force")
    try:
        text = pair.value.decode()
    except UnicodeDecodeError as error:
        message = f"the configuration in force is not UTF-8: {error}"
        raise errors.SettingsError(message) from None
    found = configuration.decode(pair.value).version
    if version and version != str(found):
        raise errors.SettingsError(f"version {found} is in force")
    return text


def check(text: str, *, against: str | None = None) -> Report:
    """Returns what is wrong with a configuration, and what it changes.

    Args:
        text: The configuration as it would be written.
        against: The configuration in force, or None to compare nothing.

    Raises:
        SettingsError: The configuration in force is not JSON.
    """
    try:
        lines = locations.lines(text)
        document = json.loads(text)
    except (json.JSONDecodeError, RecursionError) as error:
        line = getattr(error, "lineno", 1)
        problem = Location(findings.ERROR, "not_json", line, "", str(error))
        return Report([problem])
    try:
        decoded = configuration.decode(text.encode())
    except errors.BadRequestError as error:
        return Report([_malformed(error.message, lines)])
    found = _unknown_kinds(document, lines)
    found += [
        _located(finding, document, lines)
        for finding in checks.check(
            decoded,
            [
                checks.KeyHolder(t[NAME_FIELD], t.get("ApiKeys", []))
                for t in document.get("Tenants") or []
            ],
            [s[NAME_FIELD] for s in document.get("Services", [])],
        )
    ]
    found.sort(key=lambda location: location.line)
    if against is None:
        return Report(found)
    return Report(found, _changes(against, document))


def _malformed(message: str, lines: dict[locations.Path, int]) -> Location:
    """Returns the finding of a document that gateways refuse."""
    path: locations.Path = ()
    match = _ERROR_PATH.search(message)
    if match is not None:
        path = tuple(
            step["name"] if step["name"] else int(step["index"])
            for step in _PATH_STEP.finditer(match["path"])
        )
    line = locations.nearest(lines, path)
    return Location(findings.ERROR, "malformed", line, _show(path), message)


def _unknown_kinds(
    document: Any, lines: dict[locations.Path, int]
) -> list[Location]:
    """Returns the routes that are left out because of their kind."""
    return [
        Location(
            findings.ERROR,
            "kind_unknown",
            lines["Routes", index, "Kind"],
            _show(("Routes", index, "Kind")),
            f"kind {route['Kind']!r} is unknown; the route is left out",
        )
        for index, route in enumerate(document.get("Routes", []))
        if route["Kind"] not in configuration.KINDS
    ]


def _located(
    finding: findings.Finding,
    document: Any,
    lines: dict[locations.Path, int],
) -> Location:
    """Returns a finding with its place in the document."""
    section = _SECTIONS[finding.section]
    index = finding.index
    if finding.section == "routes":
        known = [
            position
            for position, route in enumerate(document["Routes"])
            if route["Kind"] in configuration.KINDS
        ]
        index = known[finding.index]
    path: locations.Path = (section, index)
    if finding.field:
        path = (*path, _FIELDS[finding.field])
    return Location(
        finding.level,
        finding.code,
        locations.nearest(lines, path),
        _show(path),
        finding.message,
    )


def _changes(against: str, document: Any) -> list[tuple[str, Any, Any]]:
    """Returns the differences from the configuration in force.

    Raises:
        SettingsError: That configuration is not JSON.
    """
    try:
        in_force = json.loads(against)
    except (json.JSONDecodeError, RecursionError) as error:
        message = f"the configuration in force is not JSON: {error}"
        raise errors.SettingsError(message) from None
    return [
        (change.path, change.before, change.after)
        for change in difference.compare(
            _without_keys(in_force),
            _without_keys(document),
            name_field=NAME_FIELD,
        )
    ]


def _without_keys(document: Any) -> Any:
    """Returns a document with digests in place of API keys."""
    if not isinstance(document, dict):
        return document
    tenants = [
        {**tenant, "ApiKeys": [api_keys.digest(k) for k in tenant["ApiKeys"]]}
        if isinstance(tenant, dict) and "ApiKeys" in tenant
        else tenant
        for tenant in document.get("Tenants") or []
    ]
    return {**document, "Tenants": tenants}


def _show(path: locations.Path) -> str:
    """Returns a path as it is shown.

    >>> _show(("Routes", 3, "Prefix"))
    'Routes[3].Prefix'
    """
    return "".join(
        f"[{step}]" if isinstance(step, int) else f".{step}" for step in path
    ).lstrip(".")
