"""Plans: the changes an intent leads to, bound to a version."""

import hashlib
from typing import Any

import msgspec

from ibisknot import configuration
from ibisknot import effects
from ibisknot import errors
from ibisknot import groups
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
        effects: Effects on capacity, running work and limits.
        warnings: What the change takes away from callers.
        expires_at: Wall-clock time after which it cannot be confirmed.
    """

    id: str
    author: str
    base_version: int
    intent: intent_module.Intent
    changes: list[Difference]
    effects: list[effects.Effect]
    warnings: list[str]
    expires_at: float = 0.0


def _flatten(value: Any, path: str, into: dict[str, Any]) -> None:
    if isinstance(value, dict) and value:
        for name, child in value.items():
            _flatten(child, f"{path}/{name}", into)
    else:
        into[path] = value


def difference(
    before: configuration.Configuration, after: configuration.Configuration
) -> list[Difference]:
    """Returns the changed fields in path order, without the version."""
    old: dict[str, Any] = {}
    new: dict[str, Any] = {}
    for change in groups.differences(before, after):
        path = f"{change.kind}/{change.name}"
        if change.kind == groups.POLICY:
            path = groups.POLICY
        if change.before is not None:
            _flatten(change.before, path, old)
        if change.after is not None:
            _flatten(change.after, path, new)
    return [
        Difference(path, old.get(path), new.get(path))
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    ]


def version_of(plan: str) -> int:
    """Returns the version that a plan leads to, from the plan's id.

    Raises:
        NotFoundError: The id is no plan's id.

    >>> version_of("plan-7-0123456789abcdef")
    7
    """
    parts = plan.split("-")
    if len(parts) != 3 or parts[0] != "plan" or not parts[1].isdigit():
        raise errors.NotFoundError(f"{plan!r} is no plan's id")
    return int(parts[1])


def make(
    current: configuration.Configuration,
    intent: intent_module.Intent,
    *,
    author: str,
    old: configuration.Configuration | None = None,
) -> tuple[Plan, configuration.Configuration]:
    """Makes the plan of an intent against the current configuration.

    Args:
        current: The current configuration.
        intent: What is wanted.
        author: Who wants it.
        old: The configuration to revert to, when the intent is a revert.

    Returns:
        The plan without effects, and the configuration that it leads to.

    Raises:
        BadRequestError: The intent leads to no valid configuration.
    """
    wanted = intent_module.apply(current, intent, old=old)
    content = msgspec.json.encode(
        (current.version, author, intent), order="sorted"
    )
    digest = hashlib.sha256(content).hexdigest()[:16]
    made = Plan(
        id=f"plan-{wanted.version}-{digest}",
        author=author,
        base_version=current.version,
        intent=intent,
        changes=difference(current, wanted),
        effects=[],
        warnings=effects.warnings(current, wanted),
    )
    return made, wanted
