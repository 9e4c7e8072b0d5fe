"""Plans: the changes an intent leads to, bound to a version."""

import hashlib
from typing import Any

import msgspec

from ibisknot import configuration
from ibisknot import intent as intent_module


class Difference(msgspec.Struct):
    """One changed field; `before` or `after` is None when absent."""

    path: str
    before: Any
    after: Any


class Plan(msgspec.Struct):
    """What will change, if confirmed against `base_version`.

    Attributes:
        id: Identifier to confirm by.
        author: The operator who asked for it.
        base_version: The version it was made from.
        intent: The intent.
        changes: Every field that changes.
        warnings: Effects that the operator should know of.
    """

    id: str
    author: str
    base_version: int
    intent: intent_module.Intent
    changes: list[Difference]
    warnings: list[str]


def _flatten(value: Any, path: str, into: dict[str, Any]) -> None:
    if isinstance(value, dict) and value:
        for name, child in value.items():
            _flatten(child, f"{path}/{name}" if path else name, into)
    else:
        into[path] = value


def difference(
    before: configuration.Configuration, after: configuration.Configuration
) -> list[Difference]:
    """Returns the changed fields in path order, without the version."""
    old: dict[str, Any] = {}
    new: dict[str, Any] = {}
    _flatten(msgspec.to_builtins(before), "", old)
    _flatten(msgspec.to_builtins(after), "", new)
    return [
        Difference(path, old.get(path), new.get(path))
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path) and path != "version"
    ]


def warnings(
    before: configuration.Configuration, after: configuration.Configuration
) -> list[str]:
    """Returns what the change takes away from callers."""
    found = []
    for model in before.models:
        if before.engines(model) and not after.engines(model):
            found.append(f"model {model} will have no active engine")
    for name, organisation in before.organisations.items():
        later = after.organisations.get(name)
        kept = later.keys if later is not None else {}
        for key_id in organisation.keys:
            if key_id not in kept:
                found.append(f"key {name}/{key_id} stops working")
    return found


def make(
    current: configuration.Configuration,
    intent: intent_module.Intent,
    *,
    author: str,
) -> Plan:
    """Makes the plan of an intent against the current configuration.

    Raises:
        BadRequestError: The intent leads to no valid configuration.
    """
    wanted = intent_module.apply(current, intent)
    content = msgspec.json.encode(
        (current.version, author, intent), order="sorted"
    )
    return Plan(
        id=f"plan-{hashlib.sha256(content).hexdigest()[:16]}",
        author=author,
        base_version=current.version,
        intent=intent,
        changes=difference(current, wanted),
        warnings=warnings(current, wanted),
    )
